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

// closedPollInterval is how often a half-closed connection is checked for being closed on both sides.
const closedPollInterval = 20 * time.Millisecond

// conn is a client's connection. One goroutine reads from it and one writes to it; its RPCs are handled on the event
// loop's goroutine.
type conn struct {
	server      *Server
	nc          net.Conn
	socket      sockio.Socket
	dec         jsonrpc.Decoder
	useHeaders  atomic.Bool
	permissions access.Permissions
	peer        admission.PeerID
	eventSlots  chan struct{} // limits the events posted to the event loop that it has not begun to handle
	batch       *batch        // the batch being read; nil: none

	mu      sync.Mutex
	unsent  []byte // queued answers, not yet taken by the writer
	writing int    // bytes that the writer has taken and not yet written
	ended   bool   // reading is over, or writing has failed
	changed *sync.Cond

	// used on the event loop's goroutine only
	dispatchConn *dispatch.Conn
	byID         map[string]*pending
	dirty        bool // the connection is in server.dirtyConns
}

// pending is a message of the connection that awaits an answer: an RPC, another request or an element of a batch. It
// implements dispatch.Responder; request is used on the event loop's goroutine only.
type pending struct {
	conn    *conn
	id      jsonrpc.ID // empty: a notification
	batch   *batch
	request *dispatch.Request
}

// batch collects the answers of a JSON-RPC batch and sends them together.
type batch struct {
	conn      *conn
	mu        sync.Mutex
	remaining int // elements without an answer, plus one while the batch is being read
	out       []byte
}

func newConn(s *Server, nc net.Conn, peer admission.PeerID, permissions access.Permissions) *conn {
	c := &conn{server: s, nc: nc, socket: sockio.NewSocket(nc), eventSlots: make(chan struct{}, s.opts.Limits.OpenRPCs), byID: map[string]*pending{}, permissions: permissions}
	c.peer = peer
	c.changed = sync.NewCond(&c.mu)
	return c
}

// serve reads requests until the client closes its sending side, and then waits until the open ones are answered.
func (c *conn) serve(ctx context.Context) {
	written := make(chan struct{})
	go func() { defer close(written); c.write() }()
	readErr := c.read()
	if errors.Is(readErr, io.EOF) || errors.Is(readErr, io.ErrUnexpectedEOF) {
		c.awaitAnswers(ctx)
	} else if ctx.Err() == nil && !errors.Is(readErr, net.ErrClosed) && !errors.Is(readErr, syscall.ECONNRESET) {
		c.server.opts.Log.Info().Err(readErr).Msg("client connection ended: unreadable input")
		c.enqueue(jsonrpc.AppendError(nil, jsonrpc.NullID, jsonrpc.ParseError, "framing: "+readErr.Error(), nil))
		c.awaitAnswers(ctx)
	}
	c.server.loop.Post(c.closeDispatchConn)
	c.mu.Lock()
	c.ended = true
	c.changed.Broadcast()
	c.mu.Unlock()
	<-written
	c.nc.Close()
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
}

// read handles JSON values until the stream ends or its framing is invalid.
func (c *conn) read() error {
	r := jsonrpc.NewReader(c.nc, c.server.opts.Limits.ValueBytes)
	for {
		value, err := r.Next()
		c.useHeaders.Store(r.HasHeaders())
		if err == jsonrpc.ErrTooLarge {
			c.enqueue(jsonrpc.AppendError(nil, jsonrpc.NullID, jsonrpc.InvalidRequest,
				fmt.Sprintf("a value of more than %d bytes", c.server.opts.Limits.ValueBytes), nil))
			continue
		}
		if err != nil {
			return err
		}
		c.dec.Decode(value, c)
		c.mu.Lock()
		for len(c.unsent)+c.writing > c.server.opts.Limits.AnswerBytes && !c.ended { // the client reads too slowly
			c.changed.Wait()
		}
		c.mu.Unlock()
	}
}

// awaitAnswers waits until nothing is open on the connection, or the client has closed both sides. A client may close
// its sending side and still read its answers.
func (c *conn) awaitAnswers(ctx context.Context) {
	for ctx.Err() == nil && !c.peerClosed() {
		idle := make(chan bool, 1)
		if !c.server.loop.Post(func() { idle <- c.openDispatchConn().OpenRPCs() == 0 }) || <-idle && c.unsentBytes() == 0 {
			return
		}
		select {
		case <-time.After(closedPollInterval):
		case <-ctx.Done():
		}
	}
}

// peerClosed reports whether the client has closed both sides, or the socket has failed.
func (c *conn) peerClosed() bool {
	raw, err := c.nc.(syscall.Conn).SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd)}}
		n, err := unix.Poll(fds, 0)
		closed = err == nil && n > 0 && fds[0].Revents&(unix.POLLHUP|unix.POLLERR) != 0
	})
	return closed || err != nil
}

// closeDispatchConn abandons the connection's open RPCs. It runs in a turn of the event loop.
func (c *conn) closeDispatchConn() {
	if c.dispatchConn != nil {
		c.dispatchConn.Close()
	}
}

// openDispatchConn returns the dispatcher's handle of the connection and opens it at the first call. It runs in a turn
// of the event loop.
func (c *conn) openDispatchConn() *dispatch.Conn {
	if c.dispatchConn == nil {
		c.dispatchConn = c.server.dispatcher.OpenConn(c.peer)
	}
	return c.dispatchConn
}

func (c *conn) unsentBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.unsent) + c.writing
}

// enqueue queues a value and wakes the writer.
func (c *conn) enqueue(value []byte) {
	c.mu.Lock()
	if !c.ended {
		c.unsent = jsonrpc.AppendFrame(c.unsent, value, c.useHeaders.Load())
		c.changed.Broadcast()
	}
	c.mu.Unlock()
}

// enqueueInTurn queues a value that flush sends at the end of the turn. It runs in a turn of the event loop.
func (c *conn) enqueueInTurn(value []byte) {
	c.mu.Lock()
	if !c.ended {
		c.unsent = jsonrpc.AppendFrame(c.unsent, value, c.useHeaders.Load())
	}
	c.mu.Unlock()
	if !c.dirty {
		c.dirty = true
		c.server.dirtyConns = append(c.server.dirtyConns, c)
	}
}

// flush writes what the socket accepts without blocking and leaves the rest to the writer. This saves a switch of
// goroutines in each turn.
func (c *conn) flush() {
	c.dirty = false
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing == 0 && len(c.unsent) > 0 && !c.ended {
		n := c.socket.TryWrite(c.unsent)
		c.unsent = c.unsent[:copy(c.unsent, c.unsent[n:])]
	}
	if len(c.unsent) > 0 {
		c.changed.Broadcast()
	}
}

func (c *conn) write() {
	var spare []byte
	for {
		c.mu.Lock()
		for len(c.unsent) == 0 && !c.ended {
			c.changed.Wait()
		}
		if len(c.unsent) == 0 {
			c.mu.Unlock()
			return
		}
		out := c.unsent
		c.unsent, c.writing = spare[:0], len(out)
		c.mu.Unlock()
		err := c.writeAll(out)
		c.mu.Lock()
		c.writing = 0
		if err != nil {
			c.ended, c.unsent = true, nil
		}
		c.changed.Broadcast()
		c.mu.Unlock()
		if spare = out; cap(spare) > 1<<16 {
			spare = nil
		}
		if err != nil {
			if errors.Is(err, syscall.ETIMEDOUT) || isTimeout(err) {
				c.server.opts.Log.Warn().Dur("for", c.server.opts.Limits.WriteTimeout).Msg("connection closed: client reads no answers")
			}
			c.nc.Close() // ends the reader
			return
		}
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// writeAll writes all of out; it fails when no byte is accepted within the write timeout.
func (c *conn) writeAll(out []byte) error {
	for len(out) > 0 {
		if err := c.nc.SetWriteDeadline(time.Now().Add(c.server.opts.Limits.WriteTimeout)); err != nil {
			return err
		}
		part := out[:min(len(out), 1<<18)]
		n, err := c.nc.Write(part)
		if out = out[n:]; err != nil && !(n > 0 && isTimeout(err)) {
			return err
		}
	}
	return nil
}

// BeginBatch implements jsonrpc.Handler.
func (c *conn) BeginBatch() { c.batch = &batch{conn: c, remaining: 1} }

// EndBatch implements jsonrpc.Handler.
func (c *conn) EndBatch() {
	b := c.batch
	c.batch = nil
	b.add(nil)
}

// add adds the answer to one element, nil for none, and sends the batch when it is complete.
func (b *batch) add(answer []byte) {
	b.mu.Lock()
	if answer != nil {
		sep := byte(',')
		if len(b.out) == 0 {
			sep = '['
		}
		b.out = append(append(b.out, sep), answer...)
	}
	b.remaining--
	done := b.remaining == 0
	b.mu.Unlock()
	if done && len(b.out) > 0 {
		b.conn.enqueue(append(b.out, ']'))
	}
}

// newPending registers a message that awaits an answer, as an element of the current batch if there is one.
func (c *conn) newPending(id jsonrpc.ID) *pending {
	p := &pending{conn: c, id: bytes.Clone(id), batch: c.batch}
	if c.batch != nil {
		c.batch.mu.Lock()
		c.batch.remaining++
		c.batch.mu.Unlock()
	}
	return p
}

// send sends the answer that appendTo builds, or none if the message is a notification.
func (p *pending) send(inTurn bool, appendTo func(out []byte, id jsonrpc.ID) []byte) {
	var value []byte
	if len(p.id) > 0 {
		value = appendTo(nil, p.id)
		if rewrite := p.conn.server.opts.RewriteAnswer; rewrite != nil {
			value = rewrite(value)
		}
	}
	switch {
	case p.batch != nil:
		p.batch.add(value)
	case value != nil && inTurn:
		p.conn.enqueueInTurn(value)
	case value != nil:
		p.conn.enqueue(value)
	}
}

func (p *pending) sendError(code int, message string) {
	p.send(false, func(out []byte, id jsonrpc.ID) []byte {
		return jsonrpc.AppendError(out, id, code, message, nil)
	})
}

// HandleInvalid implements jsonrpc.Handler.
func (c *conn) HandleInvalid(id jsonrpc.ID, code int, message string) {
	c.newPending(id).sendError(code, message)
}

// HandleResponse implements jsonrpc.Handler. The front end sends clients no requests, so every response is invalid.
func (c *conn) HandleResponse(id jsonrpc.ID, _ []byte, _ int, _ string, _ []byte) {
	c.newPending(id).sendError(jsonrpc.InvalidRequest, "a response, where nothing was asked")
}

// HandleRequest implements jsonrpc.Handler.
func (c *conn) HandleRequest(id jsonrpc.ID, method string, raw []byte) {
	p := c.newPending(id)
	methodIndex, known := c.server.dispatcher.MethodIndex(method)
	if method == "rpc.cancel" {
		c.handleCancel(p, raw)
		return
	}
	if method == "rpc.status" && c.server.opts.Status != nil {
		c.post(p, func() {
			p.send(true, func(out []byte, id jsonrpc.ID) []byte { return jsonrpc.AppendResult(out, id, c.server.opts.Status()) })
		})
		return
	}
	if !known {
		p.sendError(jsonrpc.MethodNotFound, fmt.Sprintf("no method %.80q", method))
		return
	}
	params, err := readParams(raw)
	params.Method = methodIndex
	if err == nil {
		if err = c.server.dispatcher.Validate(&params); err != nil {
			err = fmt.Errorf("params: %w", err)
		}
	}
	if err != nil {
		p.sendError(jsonrpc.InvalidParams, err.Error())
		return
	}
	if err := c.permissions.Check(method, params.Customer); err != nil {
		p.sendError(PermissionDenied, err.Error())
		return
	}
	received := time.Now()
	c.post(p, func() { c.submit(p, params, received) })
}

// post has the event loop handle a message of the client. It waits while too many events of the connection have not been
// handled, whatever their kind. If the loop has ended, the message is denied.
func (c *conn) post(p *pending, handle func()) {
	c.eventSlots <- struct{}{}
	if !c.server.loop.Post(func() {
		<-c.eventSlots
		handle()
	}) {
		<-c.eventSlots
		p.sendError(Denied, "denied: the front end has stopped")
	}
}

func readParams(raw []byte) (params dispatch.Params, err error) {
	params.TimeoutMS = -1
	if len(raw) == 0 || raw[0] != '{' {
		return params, errors.New("params must be an object that names them")
	}
	seen := map[string]bool{}
	parseString := func(to *string, name string, v jsontext.Value) error {
		s, ok := jsonrpc.ParseString(v)
		if *to = s; !ok {
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
			return parseString(&params.Function, n, v)
		case "customer":
			return parseString(&params.Customer, n, v)
		case "token":
			return parseString(&params.Token, n, v)
		case "time_ms":
			timeout, ok := jsonrpc.ParseNumber(v)
			if params.TimeoutMS = timeout; !ok || timeout < 0 {
				return errors.New(`params: "time_ms" must be a number of at least 0`)
			}
		case "repeat":
			if params.Repeat = v.Kind() == 't'; v.Kind() != 't' && v.Kind() != 'f' {
				return errors.New(`params: "repeat" must be true or false`)
			}
		case "payload":
			params.Payload = bytes.Clone(v)
		default:
			return fmt.Errorf("params: unknown name %.80q", n)
		}
		return nil
	})
	return params, err
}

// handleCancel handles rpc.cancel. The result is whether an RPC of that id was open on this connection.
func (c *conn) handleCancel(p *pending, raw []byte) {
	id := bytes.Clone(jsonrpc.Member(raw, "id"))
	if id == nil || len(id) > 0 && (id[0] == '{' || id[0] == '[' || id[0] == 't' || id[0] == 'f') {
		p.sendError(jsonrpc.InvalidParams, `params: "id" must be the id of an RPC: a string, a number or null`)
		return
	}
	c.post(p, func() {
		target := c.byID[string(id)]
		p.send(true, func(out []byte, cancelID jsonrpc.ID) []byte {
			return jsonrpc.AppendResult(out, cancelID, strconv.AppendBool(nil, target != nil))
		})
		if target != nil {
			target.request.Cancel()
		}
	})
}

// submit passes the RPC to the dispatcher. It runs in a turn of the event loop.
func (c *conn) submit(p *pending, params dispatch.Params, received time.Time) {
	if len(p.id) > 0 && c.byID[string(p.id)] != nil {
		p.send(true, func(out []byte, id jsonrpc.ID) []byte {
			return jsonrpc.AppendError(out, id, jsonrpc.InvalidRequest, "an RPC of this id is open on this connection", nil)
		})
		return
	}
	if len(p.id) > 0 {
		c.byID[string(p.id)] = p
	}
	p.request = c.openDispatchConn().Submit(params, eventloop.FromDuration(time.Since(received)), p)
}

// unregister removes an answered RPC from byID.
func (p *pending) unregister() {
	if p.conn.byID[string(p.id)] == p {
		delete(p.conn.byID, string(p.id))
	}
}

// OK implements dispatch.Responder.
func (p *pending) OK(result, _ []byte) {
	p.unregister()
	p.send(true, func(out []byte, id jsonrpc.ID) []byte { return jsonrpc.AppendResult(out, id, result) })
}

// Denied implements dispatch.Responder.
func (p *pending) Denied(message string, retryAfter router.Time) {
	p.unregister()
	p.send(true, func(out []byte, id jsonrpc.ID) []byte { return appendDenied(out, id, message, retryAfter) })
}

// Aborted implements dispatch.Responder.
func (p *pending) Aborted(cause string) {
	p.unregister()
	p.send(true, func(out []byte, id jsonrpc.ID) []byte {
		var data []byte
		if cause != "" {
			data = append(jsonrpc.AppendString([]byte(`{"cause":`), cause), '}')
		}
		return jsonrpc.AppendError(out, id, Aborted, "aborted", data)
	})
}

// Rejected implements dispatch.Responder.
func (p *pending) Rejected(message string) {
	p.unregister()
	p.send(true, func(out []byte, id jsonrpc.ID) []byte {
		return jsonrpc.AppendError(out, id, jsonrpc.InvalidParams, "params: "+message, nil)
	})
}
