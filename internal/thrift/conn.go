package thrift

import (
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"mallowlanding/internal/dispatch"
	"mallowlanding/internal/eventloop"
	"mallowlanding/internal/intake"
	"mallowlanding/internal/sockio"
	"mallowlanding/router"
)

// conn is one client's connection. Its own goroutine reads messages; the event loop's goroutine handles them.
type conn struct {
	server      *Server
	netConn     net.Conn
	socket      sockio.Socket
	source      *intake.Source[*message] // messages that have been read and not handled
	resume      chan struct{}            // tells a waiting reader to look whether it may read on
	lastActive  atomic.Int64             // time of its last message or answer, Unix ns
	sentMessage atomic.Bool              // a complete message has been received
	invalidRPCs atomic.Int32             // consecutive RPCs that were rejected as invalid
	inputEnded  atomic.Bool              // nothing more is read; RPCs that have not begun never do
	ended       atomic.Bool              // the server closes the connection, for endReason
	endReason   atomic.Int32

	// Guarded by mu, under which closeIfIdle decides whether the connection may be closed.
	mu              sync.Mutex
	unhandled       int       // messages that have been read and not handled
	openRPCs        int       // RPCs that have been read and have not finished
	readingSince    time.Time // when the message being read began; zero: none is
	reservedReading int64     // bytes reserved for the message being read
	closing         bool      // no further message is read
	unsent          []byte    // answers that have not been written to the socket
	writing         bool      // a goroutine is writing answers
	writingBytes    int       // those that it writes now
	reservedUnsent  int64     // bytes reserved for answers

	// The following fields belong to the event loop's goroutine.
	dispatchConn     *dispatch.Conn
	lastSeq          int32 // sequence number of the last RPC
	okAnswers        int   // RPCs answered ok
	pendingBySeq     map[int32]*pending
	held             []*pending     // open RPCs that have not been submitted: an interrupt of theirs may be unread
	inHolding        bool           // in Server.holding
	interruptedEarly map[int32]bool // RPCs whose interrupt came first, by sequence number
	closed           bool
	needsFlush       bool // has answers from this turn
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{server: s, netConn: nc, socket: sockio.NewSocket(nc), pendingBySeq: map[int32]*pending{}, resume: make(chan struct{}, 1)}
	if s.intake != nil {
		c.source = s.intake.NewSource(c.signalResume)
	}
	c.lastActive.Store(time.Now().UnixNano())
	return c
}

// isIdleLocked reports whether the connection has no open RPC, no unsent answer and no message being read. A message that
// has been incomplete for longer than partialTimeout does not count, if that is above 0. The caller holds mu.
func (c *conn) isIdleLocked(partialTimeout time.Duration) bool {
	return !c.closing && c.openRPCs == 0 && c.unhandled == 0 && len(c.unsent) == 0 && !c.writing &&
		(c.readingSince.IsZero() || c.isStuckLocked(partialTimeout))
}

// isStuckLocked reports whether a message has been incomplete for longer than partialTimeout, if that is above 0. The
// caller holds mu.
func (c *conn) isStuckLocked(partialTimeout time.Duration) bool {
	return partialTimeout > 0 && !c.readingSince.IsZero() && time.Since(c.readingSince) > partialTimeout
}

// closeIfIdle closes the connection if it is idle and its socket has no unread bytes, and reports whether it has. This
// is the only place where that is decided. It takes the lock that the reader takes before it reads a message, so that
// no RPC is accepted on a connection that is being closed: either the message comes first and the connection stays
// open, or it is not read, and the client sends it again elsewhere.
func (c *conn) closeIfIdle(partialTimeout time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isIdleLocked(partialTimeout) || c.readingSince.IsZero() && c.socket.HasUnread() {
		return false
	}
	c.closing = true
	c.netConn.Close()
	return true
}

// beginMessage records that the first byte of a message has been received. It returns false if the connection is being
// closed.
func (c *conn) beginMessage() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readingSince.IsZero() {
		c.readingSince = time.Now()
	}
	return !c.closing
}

// endMessage records that a message has been read and handled. If more is set, the next one has begun.
func (c *conn) endMessage(more bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readingSince = time.Time{}
	if more {
		c.readingSince = time.Now()
	}
}

// addOpenRPCs adds n to the number of open RPCs.
func (c *conn) addOpenRPCs(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openRPCs += n
}

func (c *conn) hasOpenRPCs() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.openRPCs > 0
}

// setReserved records how many bytes are reserved for the message being read.
func (c *conn) setReserved(n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reservedReading = n
}

// closeRank is the order in which connections are closed to make room.
type closeRank int

const (
	silentRank   closeRank = iota // nothing was received
	stuckNewRank                  // its first message has been incomplete for long
	stuckRank                     // a later message has
	idleRank                      // it is idle
	notClosable                   // it has an open RPC, or was active a short time ago
)

// closeRank returns the rank of the connection; an idle one has to be idle for minIdle.
func (c *conn) closeRank(minIdle time.Duration) closeRank {
	c.mu.Lock()
	defer c.mu.Unlock()
	reading, sent := !c.readingSince.IsZero(), c.sentMessage.Load()
	switch {
	case !c.isIdleLocked(partialMessageTimeout):
		return notClosable
	case reading && sent:
		return stuckRank
	case reading:
		return stuckNewRank
	case !sent:
		return silentRank
	case time.Now().UnixNano()-c.lastActive.Load() < int64(minIdle):
		return notClosable
	}
	return idleRank
}

// closeFor closes the connection for a reason. Any goroutine may call it.
func (c *conn) closeFor(reason closeReason) {
	if c.ended.CompareAndSwap(false, true) {
		c.endReason.Store(int32(reason))
	}
	c.netConn.Close()
	c.signalResume()
}

// end closes the connection and abandons its RPCs. It must be called in a turn of the event loop.
func (c *conn) end(reason closeReason) {
	c.shutDown()
	c.closeFor(reason)
}

// handle handles one message. It must be called in a turn of the event loop.
func (c *conn) handle(m *message) {
	switch {
	case c.closed:
		c.drop(m)
	case m.kind == interruptMessage:
		c.handleInterrupt(m.seq)
	case m.kind == checkMessage:
		c.send(encodeAnswer(methodCheck, m.seq, nil, c.server.options.Ready()))
	case m.isRPC():
		c.handleRPC(m)
	}
	c.countHandled(m)
	if m.drained || m.kind == inputDrainedMessage {
		c.submitHeld()
	}
}

// countHandled records that a message has been handled or dropped.
func (c *conn) countHandled(m *message) {
	if m.kind == inputDrainedMessage {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unhandled--
}

// drop forgets a message that gets no answer.
func (c *conn) drop(m *message) {
	c.server.requests.Release(m.reserved)
	if m.isRPC() {
		c.addOpenRPCs(-1)
	}
}

// errDuplicateID rejects an RPC whose id is that of an open or recent one.
var errDuplicateID = errors.New(`"rid" was seen before`)

// handleRPC accepts, rejects or refuses an RPC.
func (c *conn) handleRPC(m *message) {
	log := c.server.options.Log
	switch {
	case c.interruptedEarly[m.seq]: // needs no answer
		delete(c.interruptedEarly, m.seq)
		c.lastSeq = max(c.lastSeq, m.seq)
		c.drop(m)
	case m.seq <= c.lastSeq || len(c.pendingBySeq) >= maxOpenRPCs: // number used before, or too many open RPCs
		c.drop(m)
		log.Debug().Str("client", c.netConn.RemoteAddr().String()).Int32("seq", m.seq).Int32("last", c.lastSeq).
			Int("open", len(c.pendingBySeq)).Msg("closing client connection: sequence number used before, or too many open RPCs")
		c.end(closedSequence)
	case m.kind == refusedMessage:
		c.lastSeq = m.seq
		c.server.counts.refusals[refusedMemory].Add(1)
		c.send(encodeShed(m.seq, c.server.limits.Load().RetryAfter))
		c.drop(m)
	case m.invalid != nil:
		c.rejectRPC(m, refusedInvalid, m.invalid)
	case c.inputEnded.Load(): // nobody waits for it
		c.lastSeq = m.seq
		c.drop(m)
	case !c.server.acceptID(parseID(m.params.ClientRPCID), c):
		c.rejectRPC(m, refusedDuplicateID, errDuplicateID)
	default:
		c.acceptRPC(m)
	}
}

// acceptRPC opens an RPC, which is submitted once all that its client has sent has been read.
func (c *conn) acceptRPC(m *message) {
	c.lastSeq = m.seq
	c.invalidRPCs.Store(0)
	p := &pending{conn: c, seq: m.seq, rpcID: parseID(m.params.ClientRPCID), params: m.params, receivedAt: m.receivedAt, reserved: m.reserved}
	timeout := min(eventloop.FromDuration(time.Duration(m.params.TimeoutMS*float64(time.Millisecond))), c.server.dispatcher.MethodAt(m.params.Method).Deadline)
	p.refuseAt = p.receivedAt.Add(eventloop.ToDuration(timeout) / maxHeldPart)
	c.pendingBySeq[m.seq] = p
	c.server.recentIDs[0][p.rpcID] = p
	if !c.inHolding {
		c.inHolding = true
		c.server.holding = append(c.server.holding, c)
	}
	c.held = append(c.held, p)
}

// submitHeld submits the held RPCs to the dispatcher.
func (c *conn) submitHeld() {
	held := c.held
	c.held = nil
	for _, p := range held {
		if c.pendingBySeq[p.seq] != p { // the answer to another one has ended the connection
			continue
		}
		c.server.options.Log.Debug().Float64("budget", p.params.TimeoutMS).Bool("again", p.params.Repeat).Int("method", p.params.Method).Msg("RPC received")
		p.request = c.openDispatchConn().Submit(p.params, eventloop.FromDuration(time.Since(p.receivedAt)), p)
		p.params = dispatch.Params{}
	}
}

// refuseHeld denies held RPCs of which too much time has passed.
func (c *conn) refuseHeld(now time.Time) {
	for _, p := range slices.Clone(c.held) {
		if now.After(p.refuseAt) {
			c.server.counts.refusals[refusedBacklog].Add(1)
			p.Denied("", c.server.limits.Load().RetryAfter)
		}
	}
}

// rejectRPC answers an RPC that is invalid, or not accepted.
func (c *conn) rejectRPC(m *message, reason refusalReason, err error) {
	c.lastSeq = m.seq
	c.invalidRPCs.Add(1)
	c.server.counts.refusals[reason].Add(1)
	c.server.options.Log.Debug().Err(err).Str("client", c.netConn.RemoteAddr().String()).Int32("seq", m.seq).Int("open", len(c.pendingBySeq)).
		Msg("invalid RPC rejected")
	c.send(encodeFault(m.seq, err.Error()))
	c.drop(m)
}

// handleInterrupt ends an RPC that its client has taken back.
func (c *conn) handleInterrupt(seq int32) {
	if p := c.pendingBySeq[seq]; p != nil {
		p.abandon()
		p.finish()
	} else if seq > c.lastSeq && len(c.interruptedEarly) < maxOpenRPCs { // received before its RPC
		if c.interruptedEarly == nil {
			c.interruptedEarly = map[int32]bool{}
		}
		c.interruptedEarly[seq] = true
	}
}

// openDispatchConn returns the connection's counterpart in the dispatcher, and opens it first if needed. It must be
// called in a turn of the event loop.
func (c *conn) openDispatchConn() *dispatch.Conn {
	if c.dispatchConn == nil {
		c.dispatchConn = c.server.dispatcher.OpenConn(0)
	}
	return c.dispatchConn
}

// shutDown abandons all open RPCs, because the client has left and needs no answers. It must be called in a turn of the
// event loop.
func (c *conn) shutDown() {
	if c.closed {
		return
	}
	c.closed = true
	if len(c.pendingBySeq) > 0 {
		c.server.options.Log.Debug().Str("client", c.netConn.RemoteAddr().String()).Int("open", len(c.pendingBySeq)).Int32("last", c.lastSeq).
			Msg("client connection ended with open RPCs")
	}
	if c.dispatchConn != nil {
		c.dispatchConn.Close()
	}
	for _, p := range c.pendingBySeq {
		p.finish()
	}
	c.dropWaiting()
}

// pending is an open RPC. It implements dispatch.Responder.
type pending struct {
	conn       *conn
	seq        int32
	rpcID      uint64
	reserved   int64 // bytes of the server's account
	receivedAt time.Time
	params     dispatch.Params   // while it is held
	refuseAt   time.Time         // it is held no longer than until then
	request    *dispatch.Request // nil while it is held
}

// wasSent reports whether the RPC may have reached a worker.
func (p *pending) wasSent() bool { return p.request != nil && p.request.WasSent() }

// mayBeEvicted reports whether a second execution under the RPC's id would be harmless.
func (p *pending) mayBeEvicted() bool {
	return !p.wasSent() || p.request.Idempotent()
}

// abandon ends the RPC at the dispatcher, without an answer.
func (p *pending) abandon() {
	if p.request != nil {
		p.request.Abandon()
	}
}

// evict rejects an open RPC whose id belongs to another client. It must be called in a turn of the event loop.
func (p *pending) evict() {
	p.abandon()
	p.conn.invalidRPCs.Add(1)
	p.conn.server.counts.refusals[refusedDuplicateID].Add(1)
	p.Rejected(errDuplicateID.Error())
}

// finish closes the RPC, which was answered or abandoned.
func (p *pending) finish() {
	c := p.conn
	if c.pendingBySeq[p.seq] != p { // its own answer has ended the connection
		return
	}
	c.server.rpcFinished(p)
	delete(c.pendingBySeq, p.seq)
	if p.request == nil {
		c.held = slices.DeleteFunc(c.held, func(held *pending) bool { return held == p })
	}
	c.lastActive.Store(time.Now().UnixNano())
	c.server.requests.Release(p.reserved)
	c.addOpenRPCs(-1)
}

// OK implements dispatch.Responder.
func (p *pending) OK(_, blob []byte) {
	p.conn.okAnswers++
	p.answer(encodeAnswer(methodExecute, p.seq, blob, true))
}

// Denied implements dispatch.Responder.
func (p *pending) Denied(_ string, retryAfter router.Time) { p.answer(encodeShed(p.seq, retryAfter)) }

// Aborted implements dispatch.Responder.
func (p *pending) Aborted(cause string) { p.answer(encodeFault(p.seq, cause)) }

// Rejected implements dispatch.Responder.
func (p *pending) Rejected(message string) { p.answer(encodeFault(p.seq, message)) }

func (p *pending) answer(frame []byte) {
	p.conn.send(frame) // before finish: a connection without open RPCs and unsent answers may be closed at any time
	p.finish()
}
