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

const testTimeout = 5 * time.Second

// loopHandler handles turns of the event loop for a server and its engine.
type loopHandler struct {
	*engine.Engine
	server *Server
}

// BeforeEvents implements eventloop.EventsHandler.
func (h loopHandler) BeforeEvents() { h.server.MarkMessages() }

// BeginTurn implements eventloop.Handler.
func (h loopHandler) BeginTurn(now router.Time) { h.server.BeginTurn(now); h.Engine.BeginTurn(now) }

// EndTurn implements eventloop.Handler.
func (h loopHandler) EndTurn() { h.server.HandleMessages(); h.Engine.EndTurn(); h.server.FlushTurn() }

// startServer starts a server without workers. The caller runs Serve and closes done once it has returned.
func startServer(t *testing.T, limits Limits) (s *Server, l net.Listener, done chan bool) {
	before := goleak.IgnoreCurrent()
	loop := eventloop.NewLoop()
	e := engine.New(engine.Options{Settings: router.Settings{}, Now: loop.Now(), Log: func(string) {}})
	s = New(loop, dispatch.New(e, dispatch.Options{NoJoin: true}), Options{Limits: limits, Ready: func() bool { return true }, Log: zerolog.Nop()})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan bool)
	go func() { loop.Run(ctx, loopHandler{e, s}); close(ended) }()
	done = make(chan bool)
	t.Cleanup(func() {
		l.Close()
		<-done
		s.Close()
		waitFor(t, "connections end", func() bool { return s.openDescriptors.Load() == 0 })
		stop()
		<-ended
		goleak.VerifyNone(t, before)
	})
	return s, l, done
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not in time", what)
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

// connectedPair returns the client's and the server's end of a connection that no server reads.
func connectedPair(t *testing.T) (client, accepted net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client = dial(t, l)
	accepted, err = l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	return client, accepted
}

// isClosed reports whether the server has closed a client's connection.
func isClosed(nc net.Conn) bool {
	_ = nc.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := nc.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// TestStopAccepting checks that connections in the listener's backlog are accepted, not reset, before it is closed.
func TestStopAccepting(t *testing.T) {
	s, l, done := startServer(t, Limits{MaxConnections: 16})
	var conns []net.Conn
	for range 8 { // Serve does not run yet
		conns = append(conns, dial(t, l))
	}
	StopAccepting(l)
	go func() { _ = s.Serve(l); close(done) }()
	<-done
	l.Close()
	if n := s.openDescriptors.Load(); n != 8 {
		t.Errorf("%d connections were accepted, want 8", n)
	}
	for i, nc := range conns {
		if isClosed(nc) {
			t.Errorf("connection %d is closed", i)
		}
	}
}

// TestMaxConnections checks that at the limit a new connection closes one of a client that has sent nothing, and that
// no more descriptors are open than allowed.
func TestMaxConnections(t *testing.T) {
	const maxConns = 4
	s, l, done := startServer(t, Limits{MaxConnections: maxConns})
	go func() { _ = s.Serve(l); close(done) }()
	var conns []net.Conn
	for range 5 * maxConns {
		conns = append(conns, dial(t, l))
		if n := s.openDescriptors.Load(); n > maxConns {
			t.Fatalf("%d descriptors are open, limit %d", n, maxConns)
		}
	}
	waitFor(t, "all but the latest connections are closed", func() bool {
		n := 0
		for _, nc := range conns {
			if !isClosed(nc) {
				n++
			}
		}
		return n == maxConns
	})
	if isClosed(conns[len(conns)-1]) {
		t.Error("the latest connection was not accepted")
	}
	s.UpdateSettings(Limits{MaxConnections: 1})
	waitFor(t, "all but one connection are closed at a lower limit", func() bool { return s.openDescriptors.Load() == 1 })
}

// TestCloseIdle checks that a connection is not closed while a message is being read or an RPC is open, and that no
// message begins once it has been decided to close the connection.
func TestCloseIdle(t *testing.T) {
	s, l, done := startServer(t, Limits{MaxConnections: 4})
	go func() { _ = s.Serve(l); close(done) }()
	connect := func() *conn {
		nc := dial(t, l)
		var c *conn
		waitFor(t, "the connection is accepted", func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			for other := range s.conns {
				if other.netConn.RemoteAddr().String() == nc.LocalAddr().String() {
					c = other
				}
			}
			return c != nil
		})
		return c
	}
	c := connect()
	if !c.beginMessage() {
		t.Error("a message could not begin")
	}
	if c.closeIfIdle(0) {
		t.Error("closed while a message is being read")
	}
	c.addOpenRPCs(1)
	c.endMessage(false)
	if c.closeIfIdle(0) {
		t.Error("closed with an RPC open")
	}
	c.addOpenRPCs(-1)
	if !c.closeIfIdle(0) {
		t.Error("not closed without open RPCs")
	}
	if c.beginMessage() {
		t.Error("a message began on a connection that is being closed")
	}
	if c.closeIfIdle(0) {
		t.Error("closed twice")
	}

	c = connect()
	c.beginMessage()
	c.mu.Lock()
	c.readingSince = time.Now().Add(-2 * partialMessageTimeout)
	c.mu.Unlock()
	if c.closeIfIdle(0) || !c.closeIfIdle(partialMessageTimeout) {
		t.Error("a connection with an old incomplete message must be closed with a partial timeout, and only then")
	}
}

// TestUnreadBytesPreventClose checks that a connection with bytes that the reader has not seen yet is not closed as
// idle.
func TestUnreadBytesPreventClose(t *testing.T) {
	s := &Server{options: Options{Log: zerolog.Nop()}, conns: map[*conn]bool{}}
	client, nc := connectedPair(t)
	c := newConn(s, nc)                                // no reader runs
	if _, err := client.Write([]byte{0}); err != nil { // on loopback it has arrived when Write returns
		t.Fatal(err)
	}
	if c.closeIfIdle(0) {
		t.Fatal("closed with a byte unread")
	}
	s.conns[c] = true
	closedOne := make(chan bool, 1)
	go func() { closedOne <- s.closeOneIdle(0) }()
	select {
	case closed := <-closedOne:
		if closed {
			t.Fatal("closeOneIdle closed a connection with a byte unread")
		}
	case <-time.After(testTimeout):
		t.Fatal("closeOneIdle does not return if no connection can be closed")
	}
	if _, err := io.ReadFull(nc, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if !c.closeIfIdle(0) {
		t.Error("not closed after the byte was read")
	}
}

// TestServedConnectionOutlastsUnfinishedOnes guards against ordinary clients that lose their connections to clients that
// send incomplete messages: at the limit those give way, and a connection that was just served does not.
func TestServedConnectionOutlastsUnfinishedOnes(t *testing.T) {
	const maxConns = 4
	s, l, done := startServer(t, Limits{MaxConnections: maxConns})
	go func() { _ = s.Serve(l); close(done) }()
	served := dial(t, l)
	check := []byte("\x00\x00\x00\x12\x80\x01\x00\x01\x00\x00\x00\x05check\x00\x00\x00\x01\x00")
	useServed := func() {
		t.Helper()
		if _, err := served.Write(check); err != nil {
			t.Fatal(err)
		}
		_ = served.SetReadDeadline(time.Now().Add(testTimeout))
		if _, err := served.Read(make([]byte, 256)); err != nil {
			t.Fatalf("the served connection: %v", err)
		}
	}
	useServed()
	var unfinished []net.Conn
	for range 3 * maxConns {
		nc := dial(t, l)
		_, _ = nc.Write(check[:len(check)-1]) // fails if the connection is refused
		unfinished = append(unfinished, nc)
		time.Sleep(partialMessageTimeout + 10*time.Millisecond)
		useServed()
	}
	if isClosed(unfinished[len(unfinished)-1]) {
		t.Error("the latest connection was not accepted")
	}
}

// TestBytesReceivedInTimeAreRead guards against a connection that is closed for a time in which the process was stopped:
// bytes that were received before the deadline are read after it.
func TestBytesReceivedInTimeAreRead(t *testing.T) {
	client, nc := connectedPair(t)
	r := newReader(newConn(&Server{options: Options{Log: zerolog.Nop()}}, nc))
	for _, sent := range []bool{true, false} {
		r.extended = false
		if sent {
			if _, err := client.Write([]byte{7}); err != nil { // on loopback it has arrived when Write returns
				t.Fatal(err)
			}
		}
		if err := nc.SetReadDeadline(time.Now().Add(-time.Second)); err != nil {
			t.Fatal(err)
		}
		if _, err := r.ReadByte(); (err == nil) != sent || !sent && !isTimeout(err) {
			t.Errorf("bytes received: %v, error %v", sent, err)
		}
	}
}
