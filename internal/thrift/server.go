package thrift

import (
	"cmp"
	"errors"
	"net"
	"os"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"mallowlanding/internal/dispatch"
	"mallowlanding/internal/eventloop"
	"mallowlanding/internal/intake"
	"mallowlanding/internal/memlimit"
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
	MaxConnections int           // at the limit, an idle connection is closed for a new one
	MaxMemoryMB    float64       // limit of a copy's memory: the largest worker's
	RequestBytes   int64         // held for large RPCs of all clients; 0: defaultHeldBytes
	AnswerBytes    int64         // held for answers that clients have not read; 0: defaultHeldBytes
	RetryAfter     router.Time   // advice to clients whose RPCs are refused; 0: none
	IDRetention    time.Duration // least time that the id of an RPC that was sent is remembered; 0: minIDRetention
}

const (
	maxOpenRPCs           = 32                     // on one connection; set by the protocol
	firstMessageTimeout   = 2 * time.Second        // until a first full message; bad clients must be closed within 3 s
	messageTimeout        = 2 * time.Second        // from a message's first byte to its last
	idleTimeout           = 6 * time.Second        // without an open RPC; clients close after 4 s themselves
	writeTimeout          = 2 * time.Second        // for a write of queued answers, before the connection is closed
	maxUnsentBytes        = 1 << 20                // of answers to a slow reader, before its connection is closed
	maxUnsentWhileReading = 64 << 10               // of answers to a client of which no more messages are read
	maxInvalidRPCs        = 3                      // in a row, before the connection is closed
	invalidRPCPause       = 50 * time.Millisecond  // before the next message is read after an invalid RPC
	pollInterval          = 5 * time.Millisecond   // between checks whether the client left; after a failed accept
	partialMessageTimeout = 50 * time.Millisecond  // ordinary messages are complete by then; others may be closed
	minIdleToClose        = 200 * time.Millisecond // of a client that was served, before its connection makes room
	closeTimeout          = 20 * time.Millisecond  // to wait for the descriptor of a connection closed to make room
	departureInterval     = 20 * time.Millisecond  // between checks whether clients that are not read have left
	minIDRetention        = 5 * time.Second        // the most is twice the retention
	defaultHeldBytes      = 8 << 20
	maxBacklogTime        = 2500 * time.Millisecond // that a client may keep sending more than is read
	maxHeldPart           = 2                       // an RPC whose client keeps sending is refused after 1/maxHeldPart of its time
)

// intakeLimits are the rates of messages. router.Time counts 100 us. A client has at most 32 RPCs open, and a front end
// serves far fewer RPCs a second than all connections together may send messages.
var intakeLimits = intake.Limits{SourceMessages: 32, SourceCost: 64, SourceRate: 0.2, SourceBurst: 64, NewSourceBurst: 8, TotalRate: 1.6, TotalBurst: 128,
	TotalMessages: 256, Quantum: 8}

// intakeInterval is the time after which messages that wait for the token buckets are looked at again.
const intakeInterval = router.Time(time.Millisecond / eventloop.Unit)

// Server accepts clients' connections.
type Server struct {
	options           Options
	limits            atomic.Pointer[Limits]
	loop              *eventloop.Loop
	dispatcher        *dispatch.Dispatcher
	intake            *intake.Scheduler[*message]
	requests, answers *memlimit.Account
	counts            counts
	openDescriptors   atomic.Int32 // of connections, from accept until close has returned
	mu                sync.Mutex
	conns             map[*conn]bool
	blocked           map[*conn]bool // those whose reader waits
	stall             stallClock

	// The following fields belong to the event loop's goroutine.
	now              router.Time
	toFlush          []*conn                // connections with answers from this turn
	holding          []*conn                // connections with held RPCs
	recentIDs        [2]map[uint64]*pending // RPCs by id, nil once finished; [1] holds those from before rotatedAt
	rotatedAt        router.Time
	departuresSeenAt time.Time
}

// New returns a server for a dispatcher that runs on the event loop.
func New(loop *eventloop.Loop, d *dispatch.Dispatcher, o Options) *Server {
	s := &Server{options: o, loop: loop, dispatcher: d, conns: map[*conn]bool{}, blocked: map[*conn]bool{},
		recentIDs: [2]map[uint64]*pending{{}, {}}, intake: intake.New[*message](intakeLimits, loop.Wake),
		requests: memlimit.NewAccount(0), answers: memlimit.NewAccount(0)}
	s.setLimits(o.Limits)
	return s
}

func (s *Server) setLimits(limits Limits) {
	limits.IDRetention = max(limits.IDRetention, minIDRetention)
	s.limits.Store(&limits)
	s.requests.SetLimit(cmp.Or(limits.RequestBytes, defaultHeldBytes))
	s.answers.SetLimit(cmp.Or(limits.AnswerBytes, defaultHeldBytes))
}

// UpdateSettings replaces the limits. Any goroutine may call it. If there are more connections than the new limit, idle
// ones are closed at once.
func (s *Server) UpdateSettings(limits Limits) {
	s.setLimits(limits)
	for left := int(s.openDescriptors.Load()); left > limits.MaxConnections && s.closeOneIdle(0); left-- {
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
			s.closeOneIdle(0)
			time.Sleep(pollInterval)
			continue
		}
		if !s.makeRoom() {
			nc.Close()
			continue
		}
		s.openDescriptors.Add(1)
		s.counts.accepted.Add(1)
		c := newConn(s, nc)
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go c.serve()
		runtime.Gosched() // all that is ready to run goes before the next connection
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
		c.closeFor(closedByServer)
	}
}

// remove forgets a connection whose reader has ended.
func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// BeginTurn sets the time of a turn of the event loop and discards old RPC ids.
func (s *Server) BeginTurn(now router.Time) {
	s.stall.turn(time.Now())
	if s.now = now; now-s.rotatedAt >= eventloop.FromDuration(s.limits.Load().IDRetention) {
		s.recentIDs, s.rotatedAt = [2]map[uint64]*pending{{}, s.recentIDs[0]}, now
	}
}

// MarkMessages has the next HandleMessages handle the messages that have been read until now.
func (s *Server) MarkMessages() { s.intake.Mark() }

// HandleMessages handles clients' messages. It must be called in each turn of the event loop, after its other events.
// After a stall of the process it first lets the readers run, so that no RPC begins whose interrupt came meanwhile.
func (s *Server) HandleMessages() {
	now := time.Now()
	if now.Sub(s.departuresSeenAt) >= departureInterval {
		s.departuresSeenAt = now
		s.closeDeparted()
	}
	if s.stall.endedNow() {
		time.Sleep(readAfterStall)
		s.intake.Mark()
	}
	s.intake.Take(s.now, func(m *message) { m.conn.handle(m) })
	s.holding = slices.DeleteFunc(s.holding, func(c *conn) bool {
		c.refuseHeld(now)
		c.inHolding = len(c.held) > 0
		return !c.inHolding
	})
}

// NextDue returns when the server needs a turn even if no event arrives; false: never.
func (s *Server) NextDue() (router.Time, bool) { return s.now + intakeInterval, s.intake.Waiting() }

// FlushTurn sends the answers of a turn. It must be called at the end of the turn.
func (s *Server) FlushTurn() {
	for i, c := range s.toFlush {
		c.needsFlush = false
		c.flush()
		s.toFlush[i] = nil
	}
	s.toFlush = s.toFlush[:0]
}

// isTimeout reports whether a read or write has passed its deadline.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
