package client

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-json-experiment/json"
)

// longTime is a time of an RPC that no test waits for.
const longTime = time.Minute

// silentFrontEnd accepts one connection and reads from it only what a test asks for.
type silentFrontEnd struct {
	t      *testing.T
	socket string
	conns  chan net.Conn
}

func startSilentFrontEnd(t *testing.T) *silentFrontEnd {
	f := &silentFrontEnd{t: t, socket: filepath.Join(t.TempDir(), "f"), conns: make(chan net.Conn, 16)}
	l, err := net.Listen("unix", f.socket)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(f.conns)
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			f.conns <- nc
		}
	}()
	t.Cleanup(func() {
		l.Close()
		for nc := range f.conns {
			nc.Close()
		}
	})
	return f
}

// receivedRequest is a message that a front end has received whole.
type receivedRequest struct {
	Method string `json:"method"`
	Params struct {
		Function string  `json:"function"`
		TimeMS   float64 `json:"time_ms"`
	} `json:"params"`
}

// readAll reads the messages of a connection until none has come for the given time. It reports whether the connection
// has ended.
func (f *silentFrontEnd) readAll(nc net.Conn, quiet time.Duration) (out []receivedRequest, ended bool) {
	for r := bufio.NewReader(nc); ; {
		_ = nc.SetReadDeadline(time.Now().Add(quiet))
		line, err := r.ReadBytes('\n')
		if err != nil {
			return out, errors.Is(err, io.EOF)
		}
		var m receivedRequest
		if err := json.Unmarshal(line, &m); err != nil {
			f.t.Errorf("%.80q: %v", line, err)
		}
		out = append(out, m)
	}
}

func functionsOf(requests []receivedRequest) (out []string) {
	for _, r := range requests {
		if out = append(out, r.Params.Function); r.Method == "rpc.cancel" {
			out[len(out)-1] = "cancel"
		}
	}
	return out
}

// callInBackground calls a function with a payload that no socket takes at once. It returns when the connection is full.
func callInBackground(ctx context.Context, t *testing.T, c *Client, function string) (ended chan error) {
	ended = make(chan error, 1)
	go func() {
		_, err := c.Call(ctx, RPC{Method: "m", Function: function, Payload: []byte(`"` + strings.Repeat("x", 1<<20) + `"`)})
		ended <- err
	}()
	time.Sleep(50 * time.Millisecond)
	return ended
}

// TestNothingIsSentAfterTheCallEnded guards against RPCs that wait while the front end reads nothing, keep their
// callers waiting past the end of their contexts, and are sent when it reads on.
func TestNothingIsSentAfterTheCallEnded(t *testing.T) {
	f := startSilentFrontEnd(t)
	c := New(Options{Sockets: []string{f.socket}})
	first, endFirst := context.WithTimeout(context.Background(), longTime)
	firstEnded := callInBackground(first, t, c, "first")
	for _, end := range []string{"deadline", "cancel"} {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		if end == "cancel" {
			ctx, cancel = context.WithCancel(context.Background())
			time.AfterFunc(100*time.Millisecond, cancel)
		}
		began := time.Now()
		_, err := c.Call(ctx, RPC{Method: "m", Function: end})
		if took := time.Since(began); took > 5*time.Second || !errors.Is(err, ErrUnsent) || !errors.Is(err, ctx.Err()) {
			t.Errorf("%s: the call took %v: %v", end, took, err)
		}
		if results := c.Batch(ctx, []RPC{{Method: "m", Function: end}}); !errors.Is(results[0].Err, ErrUnsent) {
			t.Errorf("%s: batch: %v", end, results[0].Err)
		}
		cancel()
	}
	waiting, endWaiting := context.WithTimeout(context.Background(), longTime)
	began := time.Now()
	waitingEnded := make(chan error, 1)
	go func() {
		_, err := c.Call(waiting, RPC{Method: "m", Function: "last"})
		waitingEnded <- err
	}()
	time.Sleep(200 * time.Millisecond)
	waited := time.Since(began)
	got, _ := f.readAll(<-f.conns, 200*time.Millisecond)
	if functions := functionsOf(got); !slices.Equal(functions, []string{"first", "last"}) {
		t.Fatalf("received %v", functions)
	}
	if most := float64((longTime - waited).Milliseconds()) + 51; got[1].Params.TimeMS > most {
		t.Errorf("time_ms %f, want %f at the most", got[1].Params.TimeMS, most)
	}
	endFirst()
	endWaiting()
	c.Close()
	<-firstEnded
	<-waitingEnded
}

// TestHalfWrittenRequest checks what becomes of a request of which the front end has read a part when its call ends:
// the rest follows if the front end reads on at once, with a cancellation; else the connection is closed, so that the
// front end never gets the request whole.
func TestHalfWrittenRequest(t *testing.T) {
	f := startSilentFrontEnd(t)
	c := New(Options{Sockets: []string{f.socket}})
	ctx, cancel := context.WithCancel(context.Background())
	ended := callInBackground(ctx, t, c, "first")
	time.AfterFunc(20*time.Millisecond, cancel)
	got, _ := f.readAll(<-f.conns, 500*time.Millisecond)
	if functions := functionsOf(got); !slices.Equal(functions, []string{"first", "cancel"}) {
		t.Errorf("received %v", functions)
	}
	if err := <-ended; !errors.Is(err, ErrLost) {
		t.Errorf("ended with %v", err)
	}
	c.Close()

	c = New(Options{Sockets: []string{f.socket}})
	ctx, cancel = context.WithCancel(context.Background())
	ended = callInBackground(ctx, t, c, "first")
	cancel()
	if err := <-ended; !errors.Is(err, ErrLost) || !errors.Is(err, context.Canceled) {
		t.Errorf("ended with %v", err)
	}
	for deadline := time.Now().Add(5 * time.Second); !c.conn.hasEnded() && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	nc := <-f.conns
	r, readErr := io.ReadAll(nc)
	if readErr != nil || strings.HasSuffix(string(r), "\n") {
		t.Errorf("received %d bytes, %v", len(r), readErr)
	}
	nc.Close()
	c.Close()
}
