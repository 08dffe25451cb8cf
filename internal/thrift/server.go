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
	Ready func() bool // the answer to a readiness check; called from any goroutine
	Log   zerolog.Logger
}

// Limits are the settings that may change while a server runs.
type Limits struct {
	MaxConnections int     // at the limit, an idle connection is closed for a new one
	MaxMemoryMB    float64 // limit of a copy's memory: the largest worker's
}

const (
	maxOpenRPCs           = 32                    // on one connection; set by the protocol
	firstMessageTimeout   = 2 * time.Second       // until a first full message; bad clients must be closed within 3 s
	messageTimeout        = 2 * time.Second       // from a message's first byte to its last
	idleTimeout           = 6 * time.Second       // without an open RPC; clients close after 4 s themselves
	writeTimeout          = 2 * time.Second       // for a write of queued answers, before the connection is closed
	maxUnsentBytes        = 1 << 20               // of answers to a slow reader, before its connection is closed
	maxInvalidRPCs        = 3                     // in a row, before the connection is closed
	invalidRPCPause       = 50 * time.Millisecond // before the next message is read after an invalid RPC
	pollInterval          = 5 * time.Millisecond  // between checks whether the client left; after a failed accept
	partialMessageTimeout = 50 * time.Millisecond // ordinary messages are complete by then; others may be closed
	closeTimeout          = 20 * time.Millisecond // to wait for the descriptor of a connection closed to make room
	rpcIDRetention        = 5 * time.Second       // least time that an RPC's id is remembered; the most is twice that
)

// Server accepts clients' connections.
type Server struct {
	options         Options
	limits          atomic.Pointer[Limits]
	loop            *eventloop.Loop
	dispatcher      *dispatch.Dispatcher
	openDescriptors atomic.Int32 // of connections, from accept until close has returned
	mu              sync.Mutex
	conns           map[*conn]bool

	// The following fields belong to the event loop's goroutine.
	now       router.Time
	toFlush   []*conn                // connections with answers from this turn
	recentIDs [2]map[uint64]*pending // RPCs by id, nil once finished; [1] holds those from before rotatedAt
	rotatedAt router.Time
}

// New returns a server for a dispatcher that runs on the event loop.
func New(loop *eventloop.Loop, d *dispatch.Dispatcher, o Options) *Server {
	s := &Server{options: o, loop: loop, dispatcher: d, conns: map[*conn]bool{}, recentIDs: [2]map[uint64]*pending{{}, {}}}
	s.limits.Store(&o.Limits)
	return s
}

// UpdateSettings replaces the limits. Any goroutine may call it. If there are more connections than the new limit, idle
// ones are closed at once.
func (s *Server) UpdateSettings(limits Limits) {
	s.limits.Store(&limits)
	for left := int(s.openDescriptors.Load()); left > limits.MaxConnections && s.closeOneIdle(); left-- {
	}
}

// Serve accepts connections until the listener is closed or StopAccepting is called.
func (s *Server) Serve(l net.Listener) error {
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) { // see StopAccepting
			return nil
		}
		if err != nil { // out of descriptors, or the client closed before accept
			s.options.Log.Warn().Err(err).Msg("accept failed")
			s.closeOneIdle()
			time.Sleep(pollInterval)
			continue
		}
		if !s.makeRoom() {
			nc.Close()
			continue
		}
		s.openDescriptors.Add(1)
		c := newConn(s, nc)
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go c.serve()
	}
}

// StopAccepting makes Serve accept the connections in the listener's backlog and return. Closing the listener would
// reset them.
func StopAccepting(l net.Listener) {
	if tcp, ok := l.(*net.TCPListener); ok && tcp.SetDeadline(time.Now().Add(closeTimeout)) == nil {
		return
	}
	l.Close()
}

// makeRoom reports whether one more connection may be accepted. At the limit it closes an idle one first and waits for
// its descriptor to be closed, since the connection counts until then.
func (s *Server) makeRoom() bool {
	full := func() bool { return int(s.openDescriptors.Load()) >= s.limits.Load().MaxConnections }
	if !full() {
		return true
	}
	if !s.closeOneIdle() {
		return false
	}
	for until := time.Now().Add(closeTimeout); full() && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	return !full()
}

// closeOneIdle closes an idle connection and reports whether there was one. It prefers connections that have never sent
// a complete message, the oldest first, then the one that has been idle for longest, then one with a message that has
// been incomplete for long. This protects ordinary clients from clients that open hundreds of connections and send
// nothing.
func (s *Server) closeOneIdle() bool {
	keep := map[*conn]bool{} // received a message meanwhile
	for partialTimeout := time.Duration(0); partialTimeout <= partialMessageTimeout; partialTimeout += partialMessageTimeout {
		for {
			s.mu.Lock()
			var victim *conn
			for c := range s.conns {
				if !keep[c] && c.isIdle(partialTimeout) && (victim == nil || c.closesBefore(victim)) {
					victim = c
				}
			}
			s.mu.Unlock()
			if victim == nil {
				break
			}
			if victim.closeIfIdle(partialTimeout) {
				return true
			}
			keep[victim] = true
		}
	}
	return false
}

// CloseIdle closes all idle connections and returns how many are left.
func (s *Server) CloseIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIfIdle(0)
	}
	return len(s.conns)
}

// Close closes all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.netConn.Close()
	}
}

// BeginTurn sets the time of a turn of the event loop and discards old RPC ids.
func (s *Server) BeginTurn(now router.Time) {
	if s.now = now; now-s.rotatedAt >= eventloop.FromDuration(rpcIDRetention) {
		s.recentIDs, s.rotatedAt = [2]map[uint64]*pending{{}, s.recentIDs[0]}, now
	}
}

// FlushTurn sends the answers of a turn. It must be called at the end of the turn.
func (s *Server) FlushTurn() {
	for i, c := range s.toFlush {
		c.needsFlush = false
		c.flush()
		s.toFlush[i] = nil
	}
	s.toFlush = s.toFlush[:0]
}

// acceptID reports whether an RPC with this id is accepted on a connection. The id of an open or recent RPC is
// rejected, unless that RPC is open for another client with fewer ok answers, which is then evicted. This protects
// ordinary clients from one that sends their ids before they do.
func (s *Server) acceptID(rpcID uint64, c *conn) bool {
	for _, ids := range s.recentIDs {
		if p, seen := ids[rpcID]; p != nil && p.conn.okAnswers < c.okAnswers && p.conn != c {
			p.evict()
			s.forgetID(rpcID)
		} else if seen {
			return false
		}
	}
	return true
}

// rpcFinished records that an RPC has finished. Its id stays known for a while.
func (s *Server) rpcFinished(p *pending) {
	for _, ids := range s.recentIDs {
		if ids[p.rpcID] == p {
			ids[p.rpcID] = nil
		}
	}
}

// forgetID makes an id acceptable again, for instance because its connection ended before the answer and its client may
// send the RPC again.
func (s *Server) forgetID(rpcID uint64) {
	delete(s.recentIDs[0], rpcID)
	delete(s.recentIDs[1], rpcID)
}

func parseID(rpcID string) uint64 {
	n, _ := strconv.ParseUint(rpcID, 16, 64) // parseParams has checked for 16 hex digits
	return n
}

// isTimeout reports whether a read or write has passed its deadline.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
