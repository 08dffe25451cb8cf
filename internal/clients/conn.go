package clients

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"mallowlanding/internal/access"
	"mallowlanding/internal/admission"
	"mallowlanding/internal/dispatch"
	"mallowlanding/internal/eventloop"
	"mallowlanding/internal/jsonrpc"
	"mallowlanding/internal/sockio"
	"mallowlanding/router"

	"github.com/go-json-experiment/json/jsontext"
)

// lookAgain is how often a client that closed its sending side is looked at: is it gone altogether?
const lookAgain = 20 * time.Millisecond

// conn is one client's connection: a goroutine that reads, one that writes; its RPCs belong to the loop's.
type conn struct {
	s       *Server
	nc      net.Conn
	now     sockio.Socket
	dec     jsonrpc.Decoder
	headers atomic.Bool
	right   access.Permissions
	peer    admission.PeerID
	turns   chan struct{} // room for RPCs that are on their way to the loop
	batch   *batch        // the one that the reader is in

	mu      sync.Mutex
	out     []byte // answers not yet taken by the writer
	writing int    // bytes that it has taken
	ended   bool   // nothing more is read, or nothing more can be written
	more    *sync.Cond

	// the loop's
	desk  *dispatch.Conn
	byID  map[string]*pending
	dirty bool // it has answers of this turn
}

// pending is one RPC of the connection, or one part of a batch: where its answer goes. It is the desk's Reply; ask
// belongs to the loop's goroutine.
type pending struct {
	c     *conn
	id    jsonrpc.ID // empty: a notification
	batch *batch
	ask   *dispatch.Request
}

// batch gathers answers until all its parts have theirs.
type batch struct {
	c    *conn
	mu   sync.Mutex
	left int // parts without an answer, and one for the reader
	out  []byte
}

func newConn(s *Server, nc net.Conn, peer admission.PeerID, right access.Permissions) *conn {
	c := &conn{s: s, nc: nc, now: sockio.NewSocket(nc), turns: make(chan struct{}, s.o.Limits.OpenRPCs), byID: map[string]*pending{}, right: right}
	c.peer = peer
	c.more = sync.NewCond(&c.mu)
	return c
}

// serve reads until the client's side ends, and then waits for what is open.
func (c *conn) serve(ctx context.Context) {
	written := make(chan struct{})
	go func() { defer close(written); c.write() }()
	why := c.read()
	if errors.Is(why, io.EOF) || errors.Is(why, io.ErrUnexpectedEOF) {
		c.awaitAnswers(ctx)
	} else if ctx.Err() == nil && !errors.Is(why, net.ErrClosed) && !errors.Is(why, syscall.ECONNRESET) {
		c.s.o.Log.Info().Err(why).Msg("a client's connection ends")
		c.say(jsonrpc.AppendError(nil, jsonrpc.NullID, jsonrpc.ParseError, "framing: "+why.Error(), nil))
		c.awaitAnswers(ctx)
	}
	c.s.loop.Post(c.leave)
	c.mu.Lock()
	c.ended = true
	c.more.Broadcast()
	c.mu.Unlock()
	<-written
	c.nc.Close()
	c.s.mu.Lock()
	delete(c.s.conns, c)
	c.s.mu.Unlock()
}

// read takes values until the stream ends or can't be followed.
func (c *conn) read() error {
	r := jsonrpc.NewReader(c.nc, c.s.o.Limits.ValueBytes)
	for {
		value, err := r.Next()
		c.headers.Store(r.HasHeaders())
		if err == jsonrpc.ErrTooLarge {
			c.say(jsonrpc.AppendError(nil, jsonrpc.NullID, jsonrpc.InvalidRequest,
				fmt.Sprintf("a value of more than %d bytes", c.s.o.Limits.ValueBytes), nil))
			continue
		}
		if err != nil {
			return err
		}
		c.dec.Decode(value, c)
		c.mu.Lock()
		for len(c.out)+c.writing > c.s.o.Limits.AnswerBytes && !c.ended { // it reads too slowly
			c.more.Wait()
		}
		c.mu.Unlock()
	}
}

// awaitAnswers: the client sends no more. It may have closed just that side and still wait for its answers.
func (c *conn) awaitAnswers(ctx context.Context) {
	for ctx.Err() == nil && !c.peerGone() {
		none := make(chan bool, 1)
		if !c.s.loop.Post(func() { none <- c.at().OpenRPCs() == 0 }) || <-none && c.waiting() == 0 {
			return
		}
		select {
		case <-time.After(lookAgain):
		case <-ctx.Done():
		}
	}
}

// peerGone tells whether the client has closed both sides, or the socket is broken.
func (c *conn) peerGone() bool {
	raw, err := c.nc.(syscall.Conn).SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd)}}
		n, err := unix.Poll(fds, 0)
		gone = err == nil && n > 0 && fds[0].Revents&(unix.POLLHUP|unix.POLLERR) != 0
	})
	return gone || err != nil
}

// leave ends what is open; in a turn.
func (c *conn) leave() {
	if c.desk != nil {
		c.desk.Close()
	}
}

// at is the connection's place at the desk; in a turn.
func (c *conn) at() *dispatch.Conn {
	if c.desk == nil {
		c.desk = c.s.desk.OpenConn(c.peer)
	}
	return c.desk
}

func (c *conn) waiting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.out) + c.writing
}

// say hands a value to the writer.
func (c *conn) say(value []byte) {
	c.mu.Lock()
	if !c.ended {
		c.out = jsonrpc.AppendFrame(c.out, value, c.headers.Load())
		c.more.Broadcast()
	}
	c.mu.Unlock()
}

// sayLater hands over a value that leaves at the turn's end; in a turn.
func (c *conn) sayLater(value []byte) {
	c.mu.Lock()
	if !c.ended {
		c.out = jsonrpc.AppendFrame(c.out, value, c.headers.Load())
	}
	c.mu.Unlock()
	if !c.dirty {
		c.dirty = true
		c.s.dirty = append(c.s.dirty, c)
	}
}

// flush writes what the socket takes at once; the rest is the writer's. It saves a change of goroutines for each turn.
func (c *conn) flush() {
	c.dirty = false
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing == 0 && len(c.out) > 0 && !c.ended {
		n := c.now.TryWrite(c.out)
		c.out = c.out[:copy(c.out, c.out[n:])]
	}
	if len(c.out) > 0 {
		c.more.Broadcast()
	}
}

func (c *conn) write() {
	var spare []byte
	for {
		c.mu.Lock()
		for len(c.out) == 0 && !c.ended {
			c.more.Wait()
		}
		if len(c.out) == 0 {
			c.mu.Unlock()
			return
		}
		out := c.out
		c.out, c.writing = spare[:0], len(out)
		c.mu.Unlock()
		err := c.writeAll(out)
		c.mu.Lock()
		c.writing = 0
		if err != nil {
			c.ended, c.out = true, nil
		}
		c.more.Broadcast()
		c.mu.Unlock()
		if spare = out; cap(spare) > 1<<16 {
			spare = nil
		}
		if err != nil {
			if errors.Is(err, syscall.ETIMEDOUT) || isTimeOut(err) {
				c.s.o.Log.Warn().Dur("for", c.s.o.Limits.WriteTimeout).Msg("a client that reads nothing is cut off")
			}
			c.nc.Close() // the reader sees it
			return
		}
	}
}

func isTimeOut(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// writeAll gives up once nothing was taken for the time-out.
func (c *conn) writeAll(out []byte) error {
	for len(out) > 0 {
		if err := c.nc.SetWriteDeadline(time.Now().Add(c.s.o.Limits.WriteTimeout)); err != nil {
			return err
		}
		part := out[:min(len(out), 1<<18)]
		n, err := c.nc.Write(part)
		if out = out[n:]; err != nil && !(n > 0 && isTimeOut(err)) {
			return err
		}
	}
	return nil
}

// BeginBatch implements jsonrpc.Peer.
func (c *conn) BeginBatch() { c.batch = &batch{c: c, left: 1} }

// EndBatch implements jsonrpc.Peer.
func (c *conn) EndBatch() {
	b := c.batch
	c.batch = nil
	b.add(nil)
}

// add takes one part's answer, nil for none; the last one has the batch sent.
func (b *batch) add(answer []byte) {
	b.mu.Lock()
	if answer != nil {
		sep := byte(',')
		if len(b.out) == 0 {
			sep = '['
		}
		b.out = append(append(b.out, sep), answer...)
	}
	b.left--
	done := b.left == 0
	b.mu.Unlock()
	if done && len(b.out) > 0 {
		b.c.say(append(b.out, ']'))
	}
}

// part makes the place for an answer.
func (c *conn) part(id jsonrpc.ID) *pending {
	p := &pending{c: c, id: bytes.Clone(id), batch: c.batch}
	if c.batch != nil {
		c.batch.mu.Lock()
		c.batch.left++
		c.batch.mu.Unlock()
	}
	return p
}

// answer sends what append makes; notifications get none.
func (p *pending) answer(inTurn bool, append func(out []byte, id jsonrpc.ID) []byte) {
	var value []byte
	if len(p.id) > 0 {
		value = append(nil, p.id)
		if change := p.c.s.o.RewriteAnswer; change != nil {
			value = change(value)
		}
	}
	switch {
	case p.batch != nil:
		p.batch.add(value)
	case value != nil && inTurn:
		p.c.sayLater(value)
	case value != nil:
		p.c.say(value)
	}
}

func (p *pending) fail(code int, message string) {
	p.answer(false, func(out []byte, id jsonrpc.ID) []byte {
		return jsonrpc.AppendError(out, id, code, message, nil)
	})
}

// HandleInvalid implements jsonrpc.Peer.
func (c *conn) HandleInvalid(id jsonrpc.ID, code int, message string) { c.part(id).fail(code, message) }

// HandleResponse implements jsonrpc.Peer: clients owe no answers.
func (c *conn) HandleResponse(id jsonrpc.ID, _ []byte, _ int, _ string, _ []byte) {
	c.part(id).fail(jsonrpc.InvalidRequest, "a response, where nothing was asked")
}

// HandleRequest implements jsonrpc.Peer.
func (c *conn) HandleRequest(id jsonrpc.ID, method string, raw []byte) {
	p := c.part(id)
	m, known := c.s.desk.MethodIndex(method)
	if method == "rpc.cancel" {
		c.askedToCancel(p, raw)
		return
	}
	if method == "rpc.status" && c.s.o.Status != nil {
		c.s.loop.Post(func() {
			p.answer(true, func(out []byte, id jsonrpc.ID) []byte { return jsonrpc.AppendResult(out, id, c.s.o.Status()) })
		})
		return
	}
	if !known {
		p.fail(jsonrpc.MethodNotFound, fmt.Sprintf("no method %.80q", method))
		return
	}
	ps, err := readParams(raw)
	ps.Method = m
	if err == nil {
		if err = c.s.desk.Validate(&ps); err != nil {
			err = fmt.Errorf("params: %w", err)
		}
	}
	if err != nil {
		p.fail(jsonrpc.InvalidParams, err.Error())
		return
	}
	if err := c.right.Check(method, ps.Customer); err != nil {
		p.fail(PermissionDenied, err.Error())
		return
	}
	came := time.Now()
	c.turns <- struct{}{}
	if !c.s.loop.Post(func() {
		<-c.turns
		c.take(p, ps, came)
	}) {
		<-c.turns
		p.fail(Denied, "denied: the front end has stopped")
	}
}

func readParams(raw []byte) (ps dispatch.Params, err error) {
	ps.TimeoutMS = -1
	if len(raw) == 0 || raw[0] != '{' {
		return ps, errors.New("params must be an object that names them")
	}
	seen := map[string]bool{}
	text := func(to *string, name string, v jsontext.Value) error {
		s, is := jsonrpc.ParseString(v)
		if *to = s; !is {
			return fmt.Errorf("params: %q must be a string", name)
		}
		return nil
	}
	err = jsonrpc.ForEachMember(raw, func(name []byte, v jsontext.Value) error {
		n := string(name)
		if seen[n] {
			return fmt.Errorf("params: %.80q stands twice", n)
		}
		seen[n] = true
		switch n {
		case "function":
			return text(&ps.Function, n, v)
		case "customer":
			return text(&ps.Customer, n, v)
		case "token":
			return text(&ps.Token, n, v)
		case "time_ms":
			t, is := jsonrpc.ParseNumber(v)
			if ps.TimeoutMS = t; !is || t < 0 {
				return errors.New(`params: "time_ms" must be a number of at least 0`)
			}
		case "repeat":
			if ps.Repeat = v.Kind() == 't'; v.Kind() != 't' && v.Kind() != 'f' {
				return errors.New(`params: "repeat" must be true or false`)
			}
		case "payload":
			ps.Payload = bytes.Clone(v)
		default:
			return fmt.Errorf("params: unknown name %.80q", n)
		}
		return nil
	})
	return ps, err
}

// askedToCancel takes rpc.cancel: its answer tells whether an RPC of that id was open on this connection.
func (c *conn) askedToCancel(p *pending, raw []byte) {
	id := bytes.Clone(jsonrpc.Member(raw, "id"))
	if id == nil || len(id) > 0 && (id[0] == '{' || id[0] == '[' || id[0] == 't' || id[0] == 'f') {
		p.fail(jsonrpc.InvalidParams, `params: "id" must be the id of an RPC: a string, a number or null`)
		return
	}
	c.s.loop.Post(func() {
		open := c.byID[string(id)]
		p.answer(true, func(out []byte, own jsonrpc.ID) []byte {
			return jsonrpc.AppendResult(out, own, strconv.AppendBool(nil, open != nil))
		})
		if open != nil {
			open.ask.Cancel()
		}
	})
}

// take brings the RPC to the desk; in a turn.
func (c *conn) take(p *pending, ps dispatch.Params, came time.Time) {
	if len(p.id) > 0 && c.byID[string(p.id)] != nil {
		p.answer(true, func(out []byte, id jsonrpc.ID) []byte {
			return jsonrpc.AppendError(out, id, jsonrpc.InvalidRequest, "an RPC of this id is open on this connection", nil)
		})
		return
	}
	if len(p.id) > 0 {
		c.byID[string(p.id)] = p
	}
	p.ask = c.at().Submit(ps, eventloop.FromDuration(time.Since(came)), p)
}

// over notes that the RPC has its answer.
func (p *pending) over() {
	if p.c.byID[string(p.id)] == p {
		delete(p.c.byID, string(p.id))
	}
}

// OK implements front.Reply.
func (p *pending) OK(result, _ []byte) {
	p.over()
	p.answer(true, func(out []byte, id jsonrpc.ID) []byte { return jsonrpc.AppendResult(out, id, result) })
}

// Denied implements front.Reply.
func (p *pending) Denied(message string, comeBack router.Time) {
	p.over()
	p.answer(true, func(out []byte, id jsonrpc.ID) []byte { return appendDenied(out, id, message, comeBack) })
}

// Aborted implements front.Reply.
func (p *pending) Aborted(cause string) {
	p.over()
	p.answer(true, func(out []byte, id jsonrpc.ID) []byte {
		var data []byte
		if cause != "" {
			data = append(jsonrpc.AppendString([]byte(`{"cause":`), cause), '}')
		}
		return jsonrpc.AppendError(out, id, Aborted, "aborted", data)
	})
}

// Rejected implements front.Reply.
func (p *pending) Rejected(message string) {
	p.over()
	p.answer(true, func(out []byte, id jsonrpc.ID) []byte {
		return jsonrpc.AppendError(out, id, jsonrpc.InvalidParams, "params: "+message, nil)
	})
}
