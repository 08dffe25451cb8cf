package thrift

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mallowlanding/internal/dispatch"
	"mallowlanding/internal/engine"
	"mallowlanding/internal/eventloop"
	"mallowlanding/internal/sockio"
	"mallowlanding/router"
)

// conn is one client's connection. Its own goroutine reads messages; the event loop's goroutine handles its RPCs.
type conn struct {
	server      *Server
	netConn     net.Conn
	socket      sockio.Socket
	lastActive  atomic.Int64 // time of its last message or answer, Unix ns
	sentMessage atomic.Bool  // a complete message has been received
	invalidRPCs atomic.Int32 // consecutive RPCs that were rejected as invalid

	// Guarded by mu, under which closeIfIdle decides whether the connection may be closed.
	mu           sync.Mutex
	openRPCs     int       // RPCs that have been read and have not finished
	readingSince time.Time // when the message being read began; zero: none is
	closing      bool      // no further message is read
	unsent       []byte    // answers that have not been written to the socket
	writing      bool      // a goroutine is writing them

	// The following fields belong to the event loop's goroutine.
	dispatchConn     *dispatch.Conn
	lastSeq          int32 // sequence number of the last RPC
	okAnswers        int   // RPCs answered ok
	pendingBySeq     map[int32]*pending
	interruptedEarly map[int32]bool // RPCs whose interrupt came first, by sequence number
	closed           bool
	needsFlush       bool // has answers from this turn
}

// pending is an open RPC. It implements dispatch.Responder.
type pending struct {
	conn    *conn
	seq     int32
	rpcID   uint64
	request *dispatch.Request
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{server: s, netConn: nc, socket: sockio.NewSocket(nc), pendingBySeq: map[int32]*pending{}}
	c.lastActive.Store(time.Now().UnixNano())
	return c
}

// isIdle reports whether the connection has no open RPC, no unsent answer and no message being read. A message that has
// been incomplete for longer than partialTimeout does not count, if that is above 0.
func (c *conn) isIdle(partialTimeout time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isIdleLocked(partialTimeout)
}

func (c *conn) isIdleLocked(partialTimeout time.Duration) bool {
	stuck := partialTimeout > 0 && !c.readingSince.IsZero() && time.Since(c.readingSince) > partialTimeout
	return !c.closing && c.openRPCs == 0 && len(c.unsent) == 0 && !c.writing && (c.readingSince.IsZero() || stuck)
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

// closesBefore reports whether c is closed before other to make room, where neither has an open RPC.
func (c *conn) closesBefore(other *conn) bool {
	if a, b := c.sentMessage.Load(), other.sentMessage.Load(); a != b {
		return !a
	}
	return c.lastActive.Load() < other.lastActive.Load()
}

func (c *conn) serve() {
	err := c.read()
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		c.server.options.Log.Debug().Err(err).Str("client", c.netConn.RemoteAddr().String()).Msg("client connection ended with an error")
	}
	c.server.loop.Post(c.shutDown)
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	c.awaitUnsent()
	c.netConn.Close()
	c.server.openDescriptors.Add(-1)
}

// awaitUnsent waits a short time for unsent answers to be written before the connection is closed.
func (c *conn) awaitUnsent() {
	for until := time.Now().Add(invalidRPCPause); c.unsentBytes() > 0 && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
}

// read reads messages until the stream ends or is malformed.
func (c *conn) read() error {
	r := bufio.NewReaderSize(c.netConn, 1024)
	if err := c.netConn.SetReadDeadline(time.Now().Add(firstMessageTimeout)); err != nil {
		return err
	}
	for {
		if c.sentMessage.Load() {
			if err := c.awaitMessage(r); err != nil {
				return err
			}
		} else if _, err := r.Peek(1); err != nil {
			return err
		}
		if !c.beginMessage() {
			return net.ErrClosed
		}
		var head [4]byte
		if _, err := io.ReadFull(r, head[:]); err != nil {
			return err
		}
		n := int32(binary.BigEndian.Uint32(head[:]))
		if n <= 0 || n > maxFrame {
			return fmt.Errorf("frame of %d bytes, limit %d", n, maxFrame)
		}
		frame := make([]byte, n)
		if _, err := io.ReadFull(r, frame); err != nil {
			return err
		}
		c.sentMessage.Store(true)
		c.lastActive.Store(time.Now().UnixNano())
		if err := decode(frame, c); err != nil {
			return fmt.Errorf("message: %w", err)
		}
		c.endMessage(r.Buffered() > 0)
		if c.invalidRPCs.Load() > 0 && c.pauseAfterInvalid() {
			return io.EOF
		}
		if invalid := c.invalidRPCs.Load(); invalid >= maxInvalidRPCs && !c.hasOpenRPCs() {
			return fmt.Errorf("%d invalid RPCs in a row", invalid)
		}
	}
}

// pauseAfterInvalid delays reading after an invalid RPC, so that clients that send those at full speed don't occupy the
// core. It reports whether the client has left meanwhile, so that its other RPCs are not sent to workers in vain.
func (c *conn) pauseAfterInvalid() (clientLeft bool) {
	for until := time.Now().Add(invalidRPCPause); time.Now().Before(until) && !clientLeft; {
		time.Sleep(pollInterval)
		clientLeft = c.socket.PeerClosed()
	}
	return clientLeft
}

// awaitMessage waits for the first byte of a message. It returns an error once the connection has been idle, with no
// open RPC, for idleTimeout.
func (c *conn) awaitMessage(r *bufio.Reader) error {
	for r.Buffered() == 0 {
		if err := c.netConn.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
			return err
		}
		_, err := r.Peek(1)
		if err == nil {
			break
		}
		if !isTimeout(err) || !c.hasOpenRPCs() && time.Now().UnixNano()-c.lastActive.Load() >= int64(idleTimeout) {
			return err
		}
	}
	return c.netConn.SetReadDeadline(time.Now().Add(messageTimeout))
}

// execute implements requestHandler.
func (c *conn) execute(seq int32, fields map[string]string, body []byte) {
	receivedAt := time.Now()
	p, err := c.server.parseParams(fields, body)
	c.addOpenRPCs(1)
	c.server.loop.Post(func() {
		switch {
		case c.closed:
			c.addOpenRPCs(-1)
		case c.interruptedEarly[seq]: // needs no answer
			delete(c.interruptedEarly, seq)
			c.lastSeq = max(c.lastSeq, seq)
			c.addOpenRPCs(-1)
		case seq <= c.lastSeq || len(c.pendingBySeq) >= maxOpenRPCs: // number used before, or too many open RPCs
			c.addOpenRPCs(-1)
			c.server.options.Log.Debug().Str("client", c.netConn.RemoteAddr().String()).Int32("seq", seq).Int32("last", c.lastSeq).
				Int("open", len(c.pendingBySeq)).Msg("closing client connection: sequence number used before, or too many open RPCs")
			c.shutDown()
			c.netConn.Close()
		case err != nil:
			c.lastSeq = seq
			c.rejectRPC(seq, err)
		case !c.server.acceptID(parseID(p.ClientRPCID), c):
			c.lastSeq = seq
			c.rejectRPC(seq, errDuplicateID)
		default:
			c.lastSeq = seq
			c.invalidRPCs.Store(0)
			a := &pending{conn: c, seq: seq, rpcID: parseID(p.ClientRPCID)}
			c.pendingBySeq[seq] = a
			c.server.recentIDs[0][a.rpcID] = a
			c.server.options.Log.Debug().Float64("budget", p.TimeoutMS).Bool("again", p.Repeat).Int("method", p.Method).Msg("RPC received")
			a.request = c.openDispatchConn().Submit(p, eventloop.FromDuration(time.Since(receivedAt)), a)
		}
	})
}

// errDuplicateID rejects an RPC whose id is that of an open or recent one.
var errDuplicateID = errors.New(`"rid" was seen before`)

// rejectRPC answers an invalid RPC. It must be called in a turn of the event loop.
func (c *conn) rejectRPC(seq int32, err error) {
	c.invalidRPCs.Add(1)
	c.server.options.Log.Debug().Err(err).Str("client", c.netConn.RemoteAddr().String()).Int32("seq", seq).Int("open", len(c.pendingBySeq)).
		Msg("invalid RPC rejected")
	c.send(encodeFault(seq, err.Error()))
	c.addOpenRPCs(-1)
}

// interrupt implements requestHandler.
func (c *conn) interrupt(seq int32) {
	c.server.loop.Post(func() {
		if p := c.pendingBySeq[seq]; p != nil {
			p.request.Abandon()
			p.finish()
		} else if seq > c.lastSeq && len(c.interruptedEarly) < maxOpenRPCs { // received before its RPC
			if c.interruptedEarly == nil {
				c.interruptedEarly = map[int32]bool{}
			}
			c.interruptedEarly[seq] = true
		}
	})
}

// check implements requestHandler.
func (c *conn) check(seq int32) {
	ready := c.server.options.Ready()
	c.server.loop.Post(func() { c.send(encodeAnswer(methodCheck, seq, nil, ready)) })
}

// evict rejects an open RPC whose id belongs to another client. It must be called in a turn of the event loop.
func (p *pending) evict() {
	p.request.Abandon()
	p.conn.invalidRPCs.Add(1)
	p.Rejected(errDuplicateID.Error())
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
		c.server.forgetID(p.rpcID)
	}
}

func (p *pending) finish() {
	p.conn.server.rpcFinished(p)
	delete(p.conn.pendingBySeq, p.seq)
	p.conn.lastActive.Store(time.Now().UnixNano())
	p.conn.addOpenRPCs(-1)
}

// send queues an answer, which is written at the end of the turn. It must be called in a turn of the event loop.
func (c *conn) send(frame []byte) {
	if c.closed {
		return
	}
	c.mu.Lock()
	c.unsent = append(c.unsent, frame...)
	unsent := len(c.unsent)
	c.mu.Unlock()
	if unsent > maxUnsentBytes {
		c.shutDown()
		c.netConn.Close()
		return
	}
	if !c.needsFlush {
		c.needsFlush = true
		c.server.toFlush = append(c.server.toFlush, c)
	}
}

// flush writes as much as the socket accepts without blocking, and starts a goroutine that writes the rest.
func (c *conn) flush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing {
		return
	}
	c.unsent = c.unsent[c.socket.TryWrite(c.unsent):]
	if len(c.unsent) == 0 {
		c.unsent = nil
		return
	}
	c.writing = true
	go c.writeUnsent()
}

func (c *conn) writeUnsent() {
	for {
		c.mu.Lock()
		batch := c.unsent
		if c.unsent = nil; len(batch) == 0 {
			c.writing = false
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		_ = c.netConn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := c.netConn.Write(batch); err != nil {
			c.netConn.Close() // ends the reader, too
			c.mu.Lock()
			c.unsent, c.writing = nil, false
			c.mu.Unlock()
			return
		}
	}
}

// unsentBytes returns how many bytes of answers have not been written. While a goroutine is writing, it adds 1 to those
// that are still queued.
func (c *conn) unsentBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing {
		return len(c.unsent) + 1
	}
	return len(c.unsent)
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

// parseParams parses and validates all fields of an RPC. Any goroutine may call it.
func (s *Server) parseParams(fields map[string]string, body []byte) (p dispatch.Params, err error) {
	method, methodKnown := s.dispatcher.MethodIndex(fields["method"])
	budget, err := parseNumber(fields["budget"], maxBudgetMs)
	if err != nil {
		return p, fmt.Errorf(`"budget": %w`, err)
	}
	p = dispatch.Params{Method: method, Function: fields["obj"], Customer: fields["acct"], Token: fields["token"],
		ClientRPCID: fields["rid"], TimeoutMS: budget, Blob: body, Repeat: fields["again"] != ""}
	again, isRepeat := fields["again"]
	switch {
	case !methodKnown:
		return p, fmt.Errorf(`no method %.40q`, fields["method"])
	case !isHex(p.ClientRPCID, 16):
		return p, fmt.Errorf(`"rid": %.40q is not 16 hex digits`, p.ClientRPCID)
	case !isHex(p.Function, 16):
		return p, fmt.Errorf(`"obj": %.40q is not 16 hex digits`, p.Function)
	case p.Token != "" && !isVisibleASCII(p.Token, 64):
		return p, errors.New(`"token" has bytes that can't be passed on`)
	case isRepeat && again != "1":
		return p, fmt.Errorf(`"again": %.40q is not 1`, again)
	case len(body) > maxBody:
		return p, fmt.Errorf("a body of %d bytes, %d are taken", len(body), maxBody)
	}
	if p.FunctionSpec, err = s.parseFunctionSpec(fields["facts"]); err != nil {
		return p, fmt.Errorf(`"facts": %w`, err)
	}
	return p, s.dispatcher.Validate(&p)
}

// parseFunctionSpec parses the resources that a copy of the function needs.
func (s *Server) parseFunctionSpec(facts string) (*engine.FunctionSpec, error) {
	spec := &engine.FunctionSpec{}
	for fact := range strings.SplitSeq(facts, ";") {
		name, value, _ := strings.Cut(fact, ":")
		var v float64
		var err error
		switch name {
		case "memory_mb":
			spec.MemoryMB, err = parseNumber(value, s.limits.Load().MaxMemoryMB)
		case "lanes":
			if v, err = parseNumber(value, maxLanes); err == nil && v != float64(int(v)) {
				err = fmt.Errorf("%.24q is not whole", value)
			}
			spec.Lanes = int(v)
		case "load_ms":
			v, err = parseNumber(value, maxBudgetMs)
			spec.LoadTime = router.Time(v * 10)
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
	}
	if spec.MemoryMB == 0 || spec.Lanes == 0 {
		return nil, errors.New("memory_mb or lanes is missing")
	}
	return spec, nil
}
