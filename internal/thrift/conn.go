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

// conn is one client's connection: a goroutine that reads; its RPCs belong to the loop's.
type conn struct {
	s       *Server
	nc      net.Conn
	now     sockio.Socket
	since   atomic.Int64 // when it last sent a message or had an answer, Unix ns
	spoke   atomic.Bool  // it sent a whole message
	strikes atomic.Int32 // messages that could not be served, one after the other

	// Whether the connection may be closed is decided once, under mu: see closeIdle.
	mu      sync.Mutex
	open    int       // RPCs that were read and are not over
	reading time.Time // since when a message is being read; zero: none is
	closing bool      // no further message is read
	out     []byte    // answers that the socket has not taken
	writing bool      // a goroutine writes them

	// the loop's
	desk  *dispatch.Conn
	last  int32 // number of the last RPC
	ok    int   // RPCs that it was answered ok
	asks  map[int32]*pending
	early map[int32]bool // taken back before they came
	gone  bool
	dirty bool // it has answers of this turn
}

// pending is where an open RPC's answer goes. It is the desk's Reply.
type pending struct {
	c      *conn
	seq    int32
	ticket uint64
	ask    *dispatch.Request
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{s: s, nc: nc, now: sockio.NewSocket(nc), asks: map[int32]*pending{}}
	c.since.Store(time.Now().UnixNano())
	return c
}

// idle tells whether nothing is open on the connection: no RPC, no answer that waits for the socket, no message that is
// being read, or one that has been half there for longer than half, where that is above 0.
func (c *conn) idle(half time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleNow(half)
}

func (c *conn) idleNow(half time.Duration) bool {
	stuck := half > 0 && !c.reading.IsZero() && time.Since(c.reading) > half
	return !c.closing && c.open == 0 && len(c.out) == 0 && !c.writing && (c.reading.IsZero() || stuck)
}

// closeIdle closes the connection if nothing is open on it, bytes in the socket that nobody has read included. It is
// the one place where that is decided, and takes the lock that a reader takes before it reads a message: either the
// message comes first and the connection stays, or it is not read, and its client sends it again elsewhere. It guards
// against RPCs that are taken on a connection that is just being closed.
func (c *conn) closeIdle(half time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idleNow(half) || c.reading.IsZero() && c.now.HasUnread() {
		return false
	}
	c.closing = true
	c.nc.Close()
	return true
}

// begins notes that a message's first byte is there; false: the connection is being closed.
func (c *conn) begins() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading.IsZero() {
		c.reading = time.Now()
	}
	return !c.closing
}

// ends notes that a message was read and handed on; more: the first bytes of the next one are here.
func (c *conn) ends(more bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = time.Time{}
	if more {
		c.reading = time.Now()
	}
}

// opens counts RPCs that are open.
func (c *conn) opens(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open += n
}

func (c *conn) anyOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open > 0
}

// before tells whether c gives way before other does: neither has an open RPC.
func (c *conn) before(other *conn) bool {
	if a, b := c.spoke.Load(), other.spoke.Load(); a != b {
		return !a
	}
	return c.since.Load() < other.since.Load()
}

func (c *conn) serve() {
	err := c.read()
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		c.s.o.Log.Debug().Err(err).Str("client", c.nc.RemoteAddr().String()).Msg("a client's connection ends")
	}
	c.s.loop.Post(c.shut)
	c.s.mu.Lock()
	delete(c.s.conns, c)
	c.s.mu.Unlock()
	c.drain()
	c.nc.Close()
	c.s.held.Add(-1)
}

// drain lets answers that wait for the socket go out before it is closed.
func (c *conn) drain() {
	for until := time.Now().Add(strikeRest); c.waiting() > 0 && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
}

// read takes messages until the stream ends or can't be followed.
func (c *conn) read() error {
	r := bufio.NewReaderSize(c.nc, 1024)
	if err := c.nc.SetReadDeadline(time.Now().Add(silentMost)); err != nil {
		return err
	}
	for {
		if c.spoke.Load() {
			if err := c.awaitMessage(r); err != nil {
				return err
			}
		} else if _, err := r.Peek(1); err != nil {
			return err
		}
		if !c.begins() {
			return net.ErrClosed
		}
		var head [4]byte
		if _, err := io.ReadFull(r, head[:]); err != nil {
			return err
		}
		n := int32(binary.BigEndian.Uint32(head[:]))
		if n <= 0 || n > frameMost {
			return fmt.Errorf("a frame of %d bytes, %d are taken", n, frameMost)
		}
		frame := make([]byte, n)
		if _, err := io.ReadFull(r, frame); err != nil {
			return err
		}
		c.spoke.Store(true)
		c.since.Store(time.Now().UnixNano())
		if err := decode(frame, c); err != nil {
			return fmt.Errorf("message: %w", err)
		}
		c.ends(r.Buffered() > 0)
		if c.strikes.Load() > 0 && c.rest() {
			return io.EOF
		}
		if strikes := c.strikes.Load(); strikes >= strikesMost && !c.anyOpen() {
			return fmt.Errorf("%d messages that can't be served", strikes)
		}
	}
}

// rest guards the core against clients that send at full speed what can't be served: their reader waits a while. It
// tells whether the client has gone meanwhile, so that its other RPCs don't go out for nobody.
func (c *conn) rest() (gone bool) {
	for until := time.Now().Add(strikeRest); time.Now().Before(until) && !gone; {
		time.Sleep(strikeLook)
		gone = c.now.PeerClosed()
	}
	return gone
}

// awaitMessage waits for a message's first byte, for as long as an RPC is open or the connection is not idle for long.
func (c *conn) awaitMessage(r *bufio.Reader) error {
	for r.Buffered() == 0 {
		if err := c.nc.SetReadDeadline(time.Now().Add(idleMost)); err != nil {
			return err
		}
		_, err := r.Peek(1)
		if err == nil {
			break
		}
		if !isTimeOut(err) || !c.anyOpen() && time.Now().UnixNano()-c.since.Load() >= int64(idleMost) {
			return err
		}
	}
	return c.nc.SetReadDeadline(time.Now().Add(frameWithin))
}

// execute implements peer.
func (c *conn) execute(seq int32, fields map[string]string, body []byte) {
	came := time.Now()
	p, err := c.s.params(fields, body)
	c.opens(1)
	c.s.loop.Post(func() {
		switch {
		case c.gone:
			c.opens(-1)
		case c.early[seq]: // no answer is owed
			delete(c.early, seq)
			c.last = max(c.last, seq)
			c.opens(-1)
		case seq <= c.last || len(c.asks) >= openMost: // a number that was used, or more open than the protocol allows
			c.opens(-1)
			c.s.o.Log.Debug().Str("client", c.nc.RemoteAddr().String()).Int32("seq", seq).Int32("last", c.last).
				Int("open", len(c.asks)).Msg("a client breaks the order of numbers, or has too many RPCs open")
			c.shut()
			c.nc.Close()
		case err != nil:
			c.last = seq
			c.refuse(seq, err)
		case !c.s.fresh(number(p.ClientRPCID), c):
			c.last = seq
			c.refuse(seq, errSeen)
		default:
			c.last = seq
			c.strikes.Store(0)
			a := &pending{c: c, seq: seq, ticket: number(p.ClientRPCID)}
			c.asks[seq] = a
			c.s.tickets[0][a.ticket] = a
			c.s.o.Log.Debug().Float64("budget", p.TimeoutMS).Bool("again", p.Repeat).Int("method", p.Method).Msg("take")
			a.ask = c.at().Submit(p, eventloop.FromDuration(time.Since(came)), a)
		}
	})
}

// errSeen: the id of an RPC must be new.
var errSeen = errors.New(`"rid" was seen before`)

// refuse answers what can't be served; in a turn.
func (c *conn) refuse(seq int32, err error) {
	c.strikes.Add(1)
	c.s.o.Log.Debug().Err(err).Str("client", c.nc.RemoteAddr().String()).Int32("seq", seq).Int("open", len(c.asks)).
		Msg("an RPC that can't be served")
	c.say(failed(seq, err.Error()))
	c.opens(-1)
}

// interrupt implements peer.
func (c *conn) interrupt(seq int32) {
	c.s.loop.Post(func() {
		if p := c.asks[seq]; p != nil {
			p.ask.Abandon()
			p.over()
		} else if seq > c.last && len(c.early) < openMost { // it came before its RPC
			if c.early == nil {
				c.early = map[int32]bool{}
			}
			c.early[seq] = true
		}
	})
}

// check implements peer.
func (c *conn) check(seq int32) {
	good := c.s.o.Ready()
	c.s.loop.Post(func() { c.say(answered(callCheck, seq, nil, good)) })
}

// displace answers an open RPC whose id belongs to another client; in a turn.
func (p *pending) displace() {
	p.ask.Abandon()
	p.c.strikes.Add(1)
	p.Rejected(errSeen.Error())
}

// at is the connection's place at the desk; in a turn.
func (c *conn) at() *dispatch.Conn {
	if c.desk == nil {
		c.desk = c.s.desk.OpenConn(0)
	}
	return c.desk
}

// shut: its client is gone, nothing is owed any more; in a turn.
func (c *conn) shut() {
	if c.gone {
		return
	}
	c.gone = true
	if len(c.asks) > 0 {
		c.s.o.Log.Debug().Str("client", c.nc.RemoteAddr().String()).Int("open", len(c.asks)).Int32("last", c.last).
			Msg("a connection ends with RPCs open")
	}
	if c.desk != nil {
		c.desk.Close()
	}
	for _, p := range c.asks {
		p.over()
		c.s.forget(p.ticket)
	}
}

func (p *pending) over() {
	p.c.s.ended(p)
	delete(p.c.asks, p.seq)
	p.c.since.Store(time.Now().UnixNano())
	p.c.opens(-1)
}

// say hands an answer over that leaves at the turn's end; in a turn.
func (c *conn) say(frame []byte) {
	if c.gone {
		return
	}
	c.mu.Lock()
	c.out = append(c.out, frame...)
	unread := len(c.out)
	c.mu.Unlock()
	if unread > unreadMost {
		c.shut()
		c.nc.Close()
		return
	}
	if !c.dirty {
		c.dirty = true
		c.s.dirty = append(c.s.dirty, c)
	}
}

// flush writes what the socket takes at once; a goroutine of its own writes the rest.
func (c *conn) flush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing {
		return
	}
	c.out = c.out[c.now.TryWrite(c.out):]
	if len(c.out) == 0 {
		c.out = nil
		return
	}
	c.writing = true
	go c.write()
}

func (c *conn) write() {
	for {
		c.mu.Lock()
		out := c.out
		if c.out = nil; len(out) == 0 {
			c.writing = false
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		_ = c.nc.SetWriteDeadline(time.Now().Add(writeMost))
		if _, err := c.nc.Write(out); err != nil {
			c.nc.Close() // the reader ends, too
			c.mu.Lock()
			c.out, c.writing = nil, false
			c.mu.Unlock()
			return
		}
	}
}

// waiting is how many bytes of answers the socket has not taken; 1 while a goroutine writes.
func (c *conn) waiting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing {
		return len(c.out) + 1
	}
	return len(c.out)
}

// OK implements front.Reply.
func (p *pending) OK(_, blob []byte) {
	p.c.ok++
	p.answer(answered(callExecute, p.seq, blob, true))
}

// Denied implements front.Reply.
func (p *pending) Denied(_ string, comeBack router.Time) { p.answer(refused(p.seq, comeBack)) }

// Aborted implements front.Reply.
func (p *pending) Aborted(cause string) { p.answer(failed(p.seq, cause)) }

// Rejected implements front.Reply.
func (p *pending) Rejected(message string) { p.answer(failed(p.seq, message)) }

func (p *pending) answer(frame []byte) {
	p.c.say(frame) // first: a connection with nothing open and nothing to write may be closed at any time
	p.over()
}

// params reads an RPC's fields; any goroutine may. Nothing unchecked passes here.
func (s *Server) params(fields map[string]string, body []byte) (p dispatch.Params, err error) {
	method, known := s.desk.MethodIndex(fields["method"])
	budget, err := figure(fields["budget"], budgetMost)
	if err != nil {
		return p, fmt.Errorf(`"budget": %w`, err)
	}
	p = dispatch.Params{Method: method, Function: fields["obj"], Customer: fields["acct"], Token: fields["token"],
		ClientRPCID: fields["rid"], TimeoutMS: budget, Blob: body, Repeat: fields["again"] != ""}
	again, marked := fields["again"]
	switch {
	case !known:
		return p, fmt.Errorf(`no method %.40q`, fields["method"])
	case !hex(p.ClientRPCID, 16):
		return p, fmt.Errorf(`"rid": %.40q is not 16 hex digits`, p.ClientRPCID)
	case !hex(p.Function, 16):
		return p, fmt.Errorf(`"obj": %.40q is not 16 hex digits`, p.Function)
	case p.Token != "" && !visible(p.Token, 64):
		return p, errors.New(`"token" has bytes that can't be passed on`)
	case marked && again != "1":
		return p, fmt.Errorf(`"again": %.40q is not 1`, again)
	case len(body) > bodyMost:
		return p, fmt.Errorf("a body of %d bytes, %d are taken", len(body), bodyMost)
	}
	if p.FunctionSpec, err = s.copyOf(fields["facts"]); err != nil {
		return p, fmt.Errorf(`"facts": %w`, err)
	}
	return p, s.desk.Validate(&p)
}

// copyOf reads what a copy of the function needs.
func (s *Server) copyOf(facts string) (*engine.FunctionSpec, error) {
	fn := &engine.FunctionSpec{}
	for fact := range strings.SplitSeq(facts, ";") {
		name, value, _ := strings.Cut(fact, ":")
		var v float64
		var err error
		switch name {
		case "memory_mb":
			fn.MemoryMB, err = figure(value, s.bounds.Load().MaxMemoryMB)
		case "lanes":
			if v, err = figure(value, lanesMost); err == nil && v != float64(int(v)) {
				err = fmt.Errorf("%.24q is not whole", value)
			}
			fn.Lanes = int(v)
		case "load_ms":
			v, err = figure(value, budgetMost)
			fn.LoadTime = router.Time(v * 10)
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
	}
	if fn.MemoryMB == 0 || fn.Lanes == 0 {
		return nil, errors.New("memory_mb or lanes is missing")
	}
	return fn, nil
}
