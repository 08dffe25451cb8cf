package thrift

import (
	"errors"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"mallowlanding/internal/dispatch"
	"mallowlanding/internal/eventloop"
	"mallowlanding/router"
)

// Options are a server's settings.
type Options struct {
	Limits
	Ready func() bool // what check answers; any goroutine may ask
	Log   zerolog.Logger
}

// Limits are the settings that may change while a server runs.
type Limits struct {
	MaxConnections int     // at once; beyond that one without an open RPC gives way
	MaxMemoryMB    float64 // MB of a copy: the largest worker's
}

const (
	openMost    = 32              // RPCs open on one connection, by the protocol
	silentMost  = 2 * time.Second // from connecting to a first whole message; bad clients are owed a close within 3 s
	frameWithin = 2 * time.Second // from a message's first byte to its last
	idleMost    = 6 * time.Second // without an open RPC; clients close after 4 s themselves
	writeMost   = 2 * time.Second // a client that takes no byte for so long is cut off
	unreadMost  = 1 << 20         // bytes of answers that wait for a slow reader before it is cut off
	strikesMost = 3               // messages that can't be served before a connection is closed
	strikeRest  = 50 * time.Millisecond
	strikeLook  = 5 * time.Millisecond  // how often the reader looks meanwhile whether the client has gone
	halfRead    = 50 * time.Millisecond // a usual client's message is whole by then; one that is not may give way
	closeWithin = 20 * time.Millisecond // for so long the descriptor of one that gave way is waited for
	ticketsFor  = 5 * time.Second       // an RPC's id is known again for so long at the least, twice that at the most
)

// Server takes connections. The last fields belong to the loop's goroutine.
type Server struct {
	o      Options
	bounds atomic.Pointer[Limits]
	loop   *eventloop.Loop
	desk   *dispatch.Dispatcher
	held   atomic.Int32 // descriptors of connections, from their accept to the end of their close
	mu     sync.Mutex
	conns  map[*conn]bool

	now     router.Time
	dirty   []*conn                // with answers of this turn
	tickets [2]map[uint64]*pending // ids seen lately, nil where the RPC is over; the second from before the last change
	changed router.Time
}

// New makes a server for a desk that loop drives.
func New(loop *eventloop.Loop, d *dispatch.Dispatcher, o Options) *Server {
	s := &Server{o: o, loop: loop, desk: d, conns: map[*conn]bool{}, tickets: [2]map[uint64]*pending{{}, {}}}
	s.bounds.Store(&o.Limits)
	return s
}

// UpdateSettings takes new bounds; any goroutine may call it. Connections beyond a lower one give way at once, as far as they
// have no open RPC.
func (s *Server) UpdateSettings(b Limits) {
	s.bounds.Store(&b)
	for left := int(s.held.Load()); left > b.MaxConnections && s.giveWay(); left-- {
	}
}

// Serve takes connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) { // see Last
			return nil
		}
		if err != nil { // out of descriptors, or gone before it was taken
			s.o.Log.Warn().Err(err).Msg("accept")
			s.giveWay()
			time.Sleep(strikeLook)
			continue
		}
		if !s.makeRoom() {
			nc.Close()
			continue
		}
		s.held.Add(1)
		c := newConn(s, nc)
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go c.serve()
	}
}

// StopAccepting has Serve take what waits in the listener's backlog, and return: a listener that is just closed resets it.
func StopAccepting(l net.Listener) {
	if tcp, is := l.(*net.TCPListener); is && tcp.SetDeadline(time.Now().Add(closeWithin)) == nil {
		return
	}
	l.Close()
}

// makeRoom tells whether one more connection may be held, and closes another for it where all places are taken. Each
// counts until its descriptor is closed: one that gave way is waited for.
func (s *Server) makeRoom() bool {
	full := func() bool { return int(s.held.Load()) >= s.bounds.Load().MaxConnections }
	if !full() {
		return true
	}
	if !s.giveWay() {
		return false
	}
	for until := time.Now().Add(closeWithin); full() && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	return !full()
}

// giveWay closes a connection that nothing is open on: one that never sent a whole message, the first come first, else
// the one longest without an open RPC, else one whose message has been half there for long. It guards usual clients
// against those that connect by hundreds and say nothing. It tells whether there was one.
func (s *Server) giveWay() bool {
	stay := map[*conn]bool{} // a message of it came meanwhile
	for half := time.Duration(0); half <= halfRead; half += halfRead {
		for {
			s.mu.Lock()
			var victim *conn
			for c := range s.conns {
				if !stay[c] && c.idle(half) && (victim == nil || c.before(victim)) {
					victim = c
				}
			}
			s.mu.Unlock()
			if victim == nil {
				break
			}
			if victim.closeIdle(half) {
				return true
			}
			stay[victim] = true
		}
	}
	return false
}

// CloseIdle closes connections without an open RPC, and tells how many are left.
func (s *Server) CloseIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIdle(0)
	}
	return len(s.conns)
}

// Close ends all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.nc.Close()
	}
}

// BeginTurn tells the time of a turn.
func (s *Server) BeginTurn(now router.Time) {
	if s.now = now; now-s.changed >= eventloop.FromDuration(ticketsFor) {
		s.tickets, s.changed = [2]map[uint64]*pending{{}, s.tickets[0]}, now
	}
}

// FlushTurn sends the turn's answers; it may be called in a turn alone, at its end.
func (s *Server) FlushTurn() {
	for i, c := range s.dirty {
		c.dirty = false
		c.flush()
		s.dirty[i] = nil
	}
	s.dirty = s.dirty[:0]
}

// fresh tells whether an RPC's id may be taken from a connection. One that was seen lately may not, but for an RPC that
// is open for a client which was answered ok less often: it gives way. That guards usual clients against one that
// sends their ids before they do.
func (s *Server) fresh(ticket uint64, c *conn) bool {
	for _, tickets := range s.tickets {
		if p, seen := tickets[ticket]; p != nil && p.c.ok < c.ok && p.c != c {
			p.displace()
			s.forget(ticket)
		} else if seen {
			return false
		}
	}
	return true
}

// ended notes that an RPC is over; its id stays known for a while.
func (s *Server) ended(p *pending) {
	for _, tickets := range s.tickets {
		if tickets[p.ticket] == p {
			tickets[p.ticket] = nil
		}
	}
}

// forget has an id be fresh again: its connection ended before its answer, and its client may send it once more.
func (s *Server) forget(ticket uint64) {
	delete(s.tickets[0], ticket)
	delete(s.tickets[1], ticket)
}

func number(ticket string) uint64 {
	n, _ := strconv.ParseUint(ticket, 16, 64) // it is 16 hex digits
	return n
}

// isTimeOut tells whether a read or write met its deadline.
func isTimeOut(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
