package client

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"mallowlanding/internal/gateway"
	"mallowlanding/internal/settings"
	"mallowlanding/internal/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testService is a roster with a store and two stand-in workers. Tests start front ends for them.
type testService struct {
	t   *testing.T
	dir string
	ctx context.Context
}

func start(t *testing.T) *testService {
	dir, err := os.MkdirTemp("", "ml")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &testService{t: t, dir: dir, ctx: ctx}
	var running sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		running.Wait()
		os.RemoveAll(dir)
	})
	run := func(serve func(ready func()) error) {
		ready := make(chan struct{})
		running.Add(1)
		go func() {
			defer running.Done()
			if err := serve(func() { close(ready) }); err != nil {
				t.Error(err)
			}
		}()
		<-ready
	}
	rs, err := settings.ReadRoster(s.write("roster.xml", `<roster socket="%[1]s/roster.sock" lag-ms="0"><store socket="%[1]s/store.sock" mean-ms="0"/></roster>`))
	if err != nil {
		t.Fatal(err)
	}
	run(func(ready func()) error { return standin.Roster(ctx, rs, zerolog.Nop(), ready) })
	for i := range 2 {
		ws, err := settings.ReadWorker(s.write(fmt.Sprintf("w%d.xml", i), fmt.Sprintf(`<worker name="w%d" socket="%%[1]s/w%d.sock" cold="no">
<work method="query" mean-ms="2"/><work method="slow" mean-ms="300" spread="0" effect="side-effecting"/>
<roster socket="%%[1]s/roster.sock"/><store socket="%%[1]s/store.sock"/></worker>`, i, i)))
		if err != nil {
			t.Fatal(err)
		}
		run(func(ready func()) error { return standin.Worker(ctx, ws, 0, zerolog.Nop(), ready) })
	}
	return s
}

func (s *testService) write(name, text string) string {
	file := filepath.Join(s.dir, name)
	if err := os.WriteFile(file, fmt.Appendf(nil, text, s.dir), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return file
}

// startFrontEnd runs a front end; the returned channel is closed once it has stopped.
func (s *testService) startFrontEnd(ctx context.Context, name string) <-chan struct{} {
	f, err := settings.ReadFrontEnd(s.write(name+".xml", `<front-end name="`+name+`"><clients socket="%[1]s/`+name+`.sock" hand-over="%[1]s/`+name+`.next"/>
<kserve socket="%[1]s/`+name+`.http" grpc-socket="%[1]s/`+name+`.grpc"><model name="m" method="query"/></kserve>
<roster socket="%[1]s/roster.sock"/><service><method name="query" effect="idempotent" lanes="8" load-ms="5"/>
<method name="slow" effect="side-effecting" load-ms="5" soft-deadline-ms="900"/></service></front-end>`))
	if err != nil {
		s.t.Fatal(err)
	}
	ready, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		if err := gateway.Serve(ctx, f, zerolog.Nop(), func() { close(ready) }); err != nil {
			s.t.Error(err)
		}
	}()
	<-ready
	return stopped
}

func (s *testService) socket(name string) string { return filepath.Join(s.dir, name+".sock") }

func TestErrors(t *testing.T) {
	s := start(t)
	ctx, stop := context.WithCancel(context.Background())
	stopped := s.startFrontEnd(ctx, "a")
	c := New(Options{Sockets: []string{s.socket("none"), s.socket("a")}})
	defer func() { c.Close(); stop(); <-stopped }()
	value, err := c.Call(ctx, RPC{Method: "query", Function: "f", Payload: []byte(`[1.0]`)})
	if err != nil || !strings.Contains(string(value), `"payload":[1.0]`) {
		t.Errorf("query: value %s, error %v", value, err)
	}
	var refused *Refused
	if _, err := c.Call(ctx, RPC{Method: "none", Function: "f"}); !errors.As(err, &refused) || refused.Code != -32601 {
		t.Errorf("unknown method: %v, want Refused with code -32601", err)
	}
	shortCtx, cancel := context.WithTimeout(ctx, 250*time.Millisecond)
	defer cancel()
	var aborted *Aborted
	if _, err := c.Call(shortCtx, RPC{Method: "slow", Function: "g"}); !errors.As(err, &aborted) {
		t.Errorf("time up while the RPC runs: %v, want Aborted", err)
	}
	results := c.Batch(ctx, []RPC{{Method: "query", Function: "f"}, {Method: "none"}, {Method: "query", Function: "h"}})
	if results[0].Err != nil || !errors.As(results[1].Err, &refused) || results[2].Err != nil {
		t.Errorf("batch: %v, want an error only of the second RPC", results)
	}
	cancelledCtx, cancelCall := context.WithCancel(ctx)
	time.AfterFunc(50*time.Millisecond, cancelCall)
	start := time.Now()
	if _, err := c.Call(cancelledCtx, RPC{Method: "slow", Function: "g"}); !errors.Is(err, context.Canceled) || time.Since(start) > 250*time.Millisecond {
		t.Errorf("cancelled RPC: %v after %v", err, time.Since(start))
	}
	unreachable := New(Options{Sockets: []string{s.socket("none")}, Repeats: 2, BackOff: time.Millisecond})
	if _, err := unreachable.Call(ctx, RPC{Method: "query", Function: "f"}); !errors.Is(err, ErrUnsent) {
		t.Errorf("no front end there: %v, want ErrUnsent", err)
	}
}

// The first front end stops while RPCs run. They must be answered, and later ones must go to the second front end.
func TestFailover(t *testing.T) {
	s := start(t)
	ctx, stop := context.WithCancel(context.Background())
	firstCtx, stopFirst := context.WithCancel(ctx)
	stoppedA, stoppedB := s.startFrontEnd(firstCtx, "a"), s.startFrontEnd(ctx, "b")
	c := New(Options{Sockets: []string{s.socket("a"), s.socket("b")}, Repeats: 5})
	defer func() { c.Close(); stop(); <-stoppedA; <-stoppedB }()
	if _, err := c.Call(ctx, RPC{Method: "slow", Function: "f"}); err != nil {
		t.Fatal(err)
	}
	done := make(chan error)
	go func() {
		_, err := c.Call(ctx, RPC{Method: "slow", Function: "f"})
		done <- err
	}()
	time.Sleep(50 * time.Millisecond)
	stopFirst()
	for range 20 {
		if _, err := c.Call(ctx, RPC{Method: "slow", Function: "f"}); err != nil {
			t.Errorf("RPC after the first front end was stopped: %v", err)
		}
		if c.current == 1 {
			break
		}
	}
	if err := <-done; err != nil {
		t.Errorf("RPC in flight when the first front end was stopped: %v", err)
	}
}

// Ten successors in turn take over the socket under load, the last with a thousand RPCs in flight. Every RPC must be
// answered ok: none may be lost, refused or denied. The clients treat the method as side-effecting, since their options
// don't list it, and so repeat an RPC only if it was never sent or was denied.
func TestHandover(t *testing.T) {
	s := start(t)
	ctx, stop := context.WithCancel(context.Background())
	stopped := s.startFrontEnd(ctx, "a")
	var calls, failures atomic.Int64
	var clients sync.WaitGroup
	done := make(chan struct{})
	call := func(c *Client, method string) {
		calls.Add(1)
		if _, err := c.Call(ctx, RPC{Method: method, Function: "f"}); err != nil {
			failures.Add(1)
			t.Error(err)
		}
	}
	for i := range 16 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			c := New(Options{Sockets: []string{s.socket("a")}, Repeats: 3, BackOff: time.Millisecond, Seed: int64(i + 1)})
			defer c.Close()
			for {
				select {
				case <-done:
					return
				default:
					call(c, "query")
				}
			}
		}()
	}
	for n := range 10 {
		time.Sleep(50 * time.Millisecond)
		if n == 9 {
			c := New(Options{Sockets: []string{s.socket("a")}, Repeats: 3, BackOff: time.Millisecond})
			defer c.Close()
			for range 1000 {
				clients.Add(1)
				go func() { defer clients.Done(); call(c, "query") }()
			}
			time.Sleep(10 * time.Millisecond)
		}
		next := s.startFrontEnd(ctx, "a")
		select {
		case <-stopped:
		case <-time.After(10 * time.Second):
			t.Fatal("the old front end does not stop after the hand-over")
		}
		stopped = next
	}
	close(done)
	clients.Wait()
	// the KServe socket must have been handed over too
	if nc, err := net.Dial("unix", filepath.Join(s.dir, "a.http")); err != nil {
		t.Error(err)
	} else {
		nc.Close()
	}
	stop()
	<-stopped
	if calls.Load() < 1200 {
		t.Errorf("only %d RPCs were sent, want 1200 at least", calls.Load())
	}
	t.Logf("%d RPCs over ten hand-overs, %d not ok", calls.Load(), failures.Load())
}
