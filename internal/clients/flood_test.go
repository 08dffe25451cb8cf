package clients

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"mallowlanding/internal/dispatch"
	"mallowlanding/internal/engine"
	"mallowlanding/internal/eventloop"
	"mallowlanding/router"
)

// TestEveryKindOfMessageIsBounded guards against an event loop whose queue one client fills: while the loop does not run,
// the connection is read up to a bound and no further, whatever the kind of its messages.
func TestEveryKindOfMessageIsBounded(t *testing.T) {
	for _, message := range []string{
		`{"jsonrpc":"2.0","method":"rpc.cancel","params":{"id":1}}`,
		`{"jsonrpc":"2.0","id":1,"method":"rpc.status"}`,
		`{"jsonrpc":"2.0","id":1,"method":"query","params":{"function":"f"}}`,
	} {
		t.Run(message, func(t *testing.T) {
			dir, err := os.MkdirTemp("", "ml")
			if err != nil {
				t.Fatal(err)
			}
			defer os.RemoveAll(dir)
			l, err := Listen(filepath.Join(dir, "s"), 0o600)
			if err != nil {
				t.Fatal(err)
			}
			loop := eventloop.NewLoop() // does not run
			e := engine.New(engine.Options{Settings: router.Settings{}, Now: loop.Now(), Log: func(string) {}})
			d := dispatch.New(e, dispatch.Options{Methods: []engine.Method{{Name: "query", Effect: router.Idempotent, Deadline: 1e4}}})
			s := New(loop, d, Options{Limits: Limits{Connections: 4, OpenRPCs: 8, ValueBytes: 1 << 16, AnswerBytes: 1 << 16,
				WriteTimeout: time.Second}, Status: func() []byte { return []byte("{}") }, Log: zerolog.Nop()})
			ctx, stop := context.WithCancel(context.Background())
			served := make(chan error, 1)
			go func() { served <- s.Serve(ctx, l) }()
			nc, err := net.Dial("unix", filepath.Join(dir, "s"))
			if err != nil {
				t.Fatal(err)
			}
			defer nc.Close()
			const megabytes = 8 << 20 // far more than the sockets' buffers hold
			_ = nc.SetWriteDeadline(time.Now().Add(500 * time.Millisecond))
			n, err := nc.Write([]byte(strings.Repeat(message+"\n", megabytes/len(message))))
			if err == nil {
				t.Errorf("%d bytes were read while the event loop handled nothing", n)
			}
			stop()
			runLoop(loop, s)
			if err := <-served; err != nil {
				t.Error(err)
			}
		})
	}
}

// runLoop handles the events of a loop and ends it.
func runLoop(loop *eventloop.Loop, s *Server) {
	ctx, stop := context.WithCancel(context.Background())
	time.AfterFunc(100*time.Millisecond, stop)
	loop.Run(ctx, flushingHandler{s})
}

// flushingHandler is an event loop handler that only sends the answers of a turn.
type flushingHandler struct{ server *Server }

func (flushingHandler) BeginTurn(router.Time)        {}
func (h flushingHandler) EndTurn()                   { h.server.Flush() }
func (flushingHandler) NextDue() (router.Time, bool) { return 0, false }
