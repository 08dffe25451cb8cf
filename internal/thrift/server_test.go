package thrift

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"mallowlanding/internal/dispatch"
	"mallowlanding/internal/engine"
	"mallowlanding/internal/eventloop"
	"mallowlanding/router"
)

const patience = 5 * time.Second

// machine gives a server its turns.
type machine struct {
	*engine.Engine
	s *Server
}

// BeginTurn begins a turn.
func (m machine) BeginTurn(now router.Time) { m.s.BeginTurn(now); m.Engine.BeginTurn(now) }

// EndTurn ends a turn.
func (m machine) EndTurn() { m.Engine.EndTurn(); m.s.FlushTurn() }

// serve runs a server without workers; over is closed once it takes no more connections.
func serve(t *testing.T, b Limits) (s *Server, l net.Listener, over chan bool) {
	before := goleak.IgnoreCurrent()
	loop := eventloop.NewLoop()
	e := engine.New(engine.Options{Settings: router.Settings{}, Now: loop.Now(), Log: func(string) {}})
	s = New(loop, dispatch.New(e, dispatch.Options{NoJoin: true}), Options{Limits: b, Ready: func() bool { return true }, Log: zerolog.Nop()})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan bool)
	go func() { loop.Run(ctx, machine{e, s}); close(ended) }()
	over = make(chan bool)
	t.Cleanup(func() {
		l.Close()
		<-over
		s.Close()
		until(t, "connections end", func() bool { return s.held.Load() == 0 })
		stop()
		<-ended
		goleak.VerifyNone(t, before)
	})
	return s, l, over
}

func until(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not so", what)
		}
	}
}

func dial(t *testing.T, l net.Listener) net.Conn {
	t.Helper()
	nc, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	return nc
}

// ended tells whether a connection has ended, as its client sees it.
func ended(nc net.Conn) bool {
	_ = nc.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := nc.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// TestLast: connections that wait in the listener's backlog as it closes are taken, not reset.
func TestLast(t *testing.T) {
	s, l, over := serve(t, Limits{MaxConnections: 16})
	var all []net.Conn
	for range 8 { // nobody takes them yet
		all = append(all, dial(t, l))
	}
	StopAccepting(l)
	go func() { _ = s.Serve(l); close(over) }()
	<-over
	l.Close()
	if n := s.held.Load(); n != 8 {
		t.Errorf("%d connections were taken", n)
	}
	for i, nc := range all {
		if ended(nc) {
			t.Errorf("connection %d has ended", i)
		}
	}
}

// TestHeld: with all places taken by clients that say nothing, one that comes makes one of them go, and no more
// descriptors are held than allowed.
func TestHeld(t *testing.T) {
	const most = 4
	s, l, over := serve(t, Limits{MaxConnections: most})
	go func() { _ = s.Serve(l); close(over) }()
	var all []net.Conn
	for range 5 * most {
		all = append(all, dial(t, l))
		if n := s.held.Load(); n > most {
			t.Fatalf("%d are held, %d may be", n, most)
		}
	}
	until(t, "all but the latest have ended", func() bool {
		n := 0
		for _, nc := range all {
			if !ended(nc) {
				n++
			}
		}
		return n == most
	})
	if ended(all[len(all)-1]) {
		t.Error("the latest one was not taken")
	}
	s.UpdateSettings(Limits{MaxConnections: 1})
	until(t, "with a lower bound all but one end", func() bool { return s.held.Load() == 1 })
}

// TestCloseIdle: what a connection is closed for is decided once. A message that has begun keeps it; once it is decided,
// no message begins.
func TestCloseIdle(t *testing.T) {
	s, l, over := serve(t, Limits{MaxConnections: 4})
	go func() { _ = s.Serve(l); close(over) }()
	one := func() *conn {
		nc := dial(t, l)
		var c *conn
		until(t, "it is taken", func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			for other := range s.conns {
				if other.nc.RemoteAddr().String() == nc.LocalAddr().String() {
					c = other
				}
			}
			return c != nil
		})
		return c
	}
	c := one()
	if !c.begins() {
		t.Error("a message could not begin")
	}
	if c.closeIdle(0) {
		t.Error("closed while a message is read")
	}
	c.opens(1)
	c.ends(false)
	if c.closeIdle(0) {
		t.Error("closed with an RPC open")
	}
	c.opens(-1)
	if !c.closeIdle(0) {
		t.Error("not closed with nothing open")
	}
	if c.begins() {
		t.Error("a message begins on a connection that is being closed")
	}
	if c.closeIdle(0) {
		t.Error("closed twice")
	}

	c = one()
	c.begins()
	c.mu.Lock()
	c.reading = time.Now().Add(-2 * halfRead)
	c.mu.Unlock()
	if c.closeIdle(0) || !c.closeIdle(halfRead) {
		t.Error("a message that is half there for long gives way only where nothing else does")
	}
}

// TestUnread: bytes that came, and that no reader has seen, keep a connection from being closed.
func TestUnread(t *testing.T) {
	s := &Server{o: Options{Log: zerolog.Nop()}, conns: map[*conn]bool{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client := dial(t, l)
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	c := newConn(s, nc)                                // nobody reads it
	if _, err := client.Write([]byte{0}); err != nil { // on loopback it is there when Write returns
		t.Fatal(err)
	}
	if c.closeIdle(0) {
		t.Fatal("closed with a byte unread")
	}
	s.conns[c] = true
	gave := make(chan bool, 1)
	go func() { gave <- s.giveWay() }()
	select {
	case is := <-gave:
		if is {
			t.Fatal("it gave way with a byte unread")
		}
	case <-time.After(patience):
		t.Fatal("a connection that can't give way is tried for ever")
	}
	if _, err := io.ReadFull(nc, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if !c.closeIdle(0) {
		t.Error("not closed once it is read")
	}
}
