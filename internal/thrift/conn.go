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

	"mallowlanding/internal/engine"
	"mallowlanding/internal/front"
	"mallowlanding/internal/sock"
	"mallowlanding/internal/turn"
	"mallowlanding/router"
)

// conn is one client's connection: a goroutine that reads; its RPCs belong to the loop's.
type conn struct {
	s       *Server
	nc      net.Conn
	now     sock.Writer
	since   atomic.Int64 // when it last sent a message or had an answer, Unix ns
	spoke   atomic.Bool  // it sent a whole message
	open    atomic.Int32 // RPCs that were read and are not over
	strikes atomic.Int32 // messages that could not be served, one after the other

	mu      sync.Mutex
	out     []byte // answers that the socket has not taken
	writing bool   // a goroutine writes them

	// the loop's
	desk  *front.Conn
	last  int32 // number of the last RPC
	ok    int   // RPCs that it was answered ok
	asks  map[int32]*pending
	gone  bool
	dirty bool // it has answers of this turn
}

// pending is where an open RPC's answer goes. It is the desk's Reply.
type pending struct {
	c      *conn
	seq    int32
	ticket uint64
	ask    *front.Ask
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{s: s, nc: nc, now: sock.NewWriter(nc), asks: map[int32]*pending{}}
	c.since.Store(time.Now().UnixNano())
	return c
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
		if c.strikes.Load() > 0 { // guards the core against clients that send such ones at full speed
			time.Sleep(strikeRest)
		}
		if strikes := c.strikes.Load(); strikes >= strikesMost && c.open.Load() == 0 {
			return fmt.Errorf("%d messages that can't be served", strikes)
		}
	}
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
		if !isTimeOut(err) || c.open.Load() == 0 && time.Now().UnixNano()-c.since.Load() >= int64(idleMost) {
			return err
		}
	}
	return c.nc.SetReadDeadline(time.Now().Add(frameWithin))
}

// execute implements peer.
func (c *conn) execute(seq int32, fields map[string]string, body []byte) {
	came := time.Now()
	p, err := c.s.params(fields, body)
	c.open.Add(1)
	c.s.loop.Post(func() {
		switch {
		case c.gone:
			c.open.Add(-1)
		case seq <= c.last || len(c.asks) >= openMost: // a number that was used, or more open than the protocol allows
			c.open.Add(-1)
			c.s.o.Log.Debug().Str("client", c.nc.RemoteAddr().String()).Int32("seq", seq).Int32("last", c.last).
				Int("open", len(c.asks)).Msg("a client breaks the order of numbers, or has too many RPCs open")
			c.shut()
			c.nc.Close()
		case err != nil:
			c.last = seq
			c.refuse(seq, err)
		case !c.s.fresh(number(p.Ticket), c):
			c.last = seq
			c.refuse(seq, errSeen)
		default:
			c.last = seq
			c.strikes.Store(0)
			a := &pending{c: c, seq: seq, ticket: number(p.Ticket)}
			c.asks[seq] = a
			c.s.tickets[0][a.ticket] = a
			c.s.o.Log.Debug().Float64("budget", p.Time).Bool("again", p.Repeat).Int("method", p.Method).Msg("take")
			a.ask = c.at().Take(p, turn.Span(time.Since(came)), a)
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
	c.open.Add(-1)
}

// interrupt implements peer.
func (c *conn) interrupt(seq int32) {
	c.s.loop.Post(func() {
		if p := c.asks[seq]; p != nil {
			p.ask.Leave()
			p.over()
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
	p.ask.Leave()
	p.c.strikes.Add(1)
	p.Refused(errSeen.Error())
}

// at is the connection's place at the desk; in a turn.
func (c *conn) at() *front.Conn {
	if c.desk == nil {
		c.desk = c.s.desk.Open(0)
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
		c.desk.Leave()
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
	p.c.open.Add(-1)
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
	c.out = c.out[c.now.Try(c.out):]
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

// Refused implements front.Reply.
func (p *pending) Refused(message string) { p.answer(failed(p.seq, message)) }

func (p *pending) answer(frame []byte) {
	p.c.say(frame) // first: a connection with nothing open and nothing to write may be closed at any time
	p.over()
}

// params reads an RPC's fields; any goroutine may. Nothing unchecked passes here.
func (s *Server) params(fields map[string]string, body []byte) (p front.Params, err error) {
	method, known := s.desk.Method(fields["method"])
	budget, err := figure(fields["budget"], budgetMost)
	if err != nil {
		return p, fmt.Errorf(`"budget": %w`, err)
	}
	p = front.Params{Method: method, Function: fields["obj"], Customer: fields["acct"], Token: fields["token"],
		Ticket: fields["rid"], Time: budget, Blob: body, Repeat: fields["again"] != ""}
	again, marked := fields["again"]
	switch {
	case !known:
		return p, fmt.Errorf(`no method %.40q`, fields["method"])
	case !hex(p.Ticket, 16):
		return p, fmt.Errorf(`"rid": %.40q is not 16 hex digits`, p.Ticket)
	case !hex(p.Function, 16):
		return p, fmt.Errorf(`"obj": %.40q is not 16 hex digits`, p.Function)
	case p.Token != "" && !visible(p.Token, 64):
		return p, errors.New(`"token" has bytes that can't be passed on`)
	case marked && again != "1":
		return p, fmt.Errorf(`"again": %.40q is not 1`, again)
	case len(body) > bodyMost:
		return p, fmt.Errorf("a body of %d bytes, %d are taken", len(body), bodyMost)
	}
	if p.Copy, err = s.copyOf(fields["facts"]); err != nil {
		return p, fmt.Errorf(`"facts": %w`, err)
	}
	return p, s.desk.Check(&p)
}

// copyOf reads what a copy of the function needs.
func (s *Server) copyOf(facts string) (*engine.Function, error) {
	fn := &engine.Function{}
	for fact := range strings.SplitSeq(facts, ";") {
		name, value, _ := strings.Cut(fact, ":")
		var v float64
		var err error
		switch name {
		case "memory_mb":
			fn.Memory, err = figure(value, s.o.MemoryMost)
		case "lanes":
			if v, err = figure(value, lanesMost); err == nil && v != float64(int(v)) {
				err = fmt.Errorf("%.24q is not whole", value)
			}
			fn.Lanes = int(v)
		case "load_ms":
			v, err = figure(value, budgetMost)
			fn.Load = router.Time(v * 10)
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
	}
	if fn.Memory == 0 || fn.Lanes == 0 {
		return nil, errors.New("memory_mb or lanes is missing")
	}
	return fn, nil
}
