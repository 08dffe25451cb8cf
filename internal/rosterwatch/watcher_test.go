package rosterwatch

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"mallowlanding/internal/engine"
	"mallowlanding/internal/eventloop"
	"mallowlanding/internal/eventloop/eventlooptest"
	"mallowlanding/internal/routing/routingtest"
	"mallowlanding/internal/workerlink"
	"mallowlanding/router"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// loopHandler runs the turns of an engine.
type loopHandler struct {
	*engine.Engine
	links *workerlink.Set
}

// BeginTurn implements eventloop.Handler.
func (h loopHandler) BeginTurn(now router.Time) {
	h.links.BeginTurn(now)
	h.Engine.BeginTurn(now)
}

// startWatcher runs a watcher of the roster on the socket until the test ends.
func startWatcher(t *testing.T, socket string) (w *Watcher, loop *eventloop.Loop) {
	loop = eventloop.NewLoop()
	scripted := &routingtest.Router{}
	e := engine.New(engine.Options{Settings: router.Settings{}, Now: loop.Now(), Log: func(string) {}, NewRouter: scripted.Factory})
	ctx, stop := context.WithCancel(context.Background())
	links := workerlink.New(ctx, loop, e, workerlink.Options{Limits: workerlink.Limits{ConnectTimeout: time.Second}, RedialMin: time.Second, RedialMax: time.Second,
		Log: zerolog.Nop()})
	w = New(loop, e, links, Options{FrontEnd: "front", Sockets: []string{socket}, Zone: func(string) router.ZoneID { return 0 },
		Cell: func(string) router.CellID { return 0 }, Kind: func(string) router.KindID { return 0 }, Log: zerolog.Nop()})
	loopCtx, stopLoop := context.WithCancel(context.Background())
	loopDone, watchDone := make(chan bool), make(chan bool)
	go func() { loop.Run(loopCtx, loopHandler{e, links}); close(loopDone) }()
	go func() { _ = w.Run(ctx); close(watchDone) }()
	t.Cleanup(func() {
		stop()
		<-watchDone
		stopLoop()
		<-loopDone
		links.Wait()
	})
	return w, loop
}

// TestListsOfRosterThatReadsNothing guards against a drain that the front end has been told of and does not know, since
// it waits to acknowledge earlier lists to a roster that reads no acknowledgments.
func TestListsOfRosterThatReadsNothing(t *testing.T) {
	const lists = 5000 // whose acknowledgments are more than a socket holds
	socket := filepath.Join(t.TempDir(), "roster")
	l, err := net.Listen("unix", socket)
	if err != nil {
		t.Fatal(err)
	}
	w, loop := startWatcher(t, socket)
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close(); l.Close() })
	go func() {
		for version := 1; version <= lists; version++ {
			state := "ready"
			if version == lists {
				state = "draining"
			}
			_, _ = fmt.Fprintf(nc, `{"jsonrpc":"2.0","method":"roster.list","params":{"version":%d,"whole":true,"workers":[`+
				`{"name":"w","socket":"/nowhere/w","state":%q,"life":1,"age_ms":-1}]}}`+"\n", version, state)
		}
	}()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		state := ""
		if eventlooptest.InTurn(loop, func() { state = w.RosterState("w") }); state == "draining" {
			return
		}
	}
	t.Error("the front end has not applied the last list")
}
