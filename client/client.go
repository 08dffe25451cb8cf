// Package client implements a client of mallowlanding's front ends: JSON-RPC 2.0 over Unix sockets, as specified in
// docs/protocol.md.
//
// A Client keeps one connection, to one of several front ends, on which it sends RPCs without waiting for the answers
// of earlier ones. When the connection is lost it connects to the next front end. It repeats an RPC only where that is
// harmless:
//
//   - if it was never sent, or was denied, whatever its method;
//   - if the connection was lost, or the RPC was aborted: if its method is idempotent, or is tokened with the group
//     "all" and its window has not passed.
package client

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/go-json-experiment/json/jsontext"

	"mallowlanding/internal/jsonrpc"
)

// Effect says which RPCs of a method may run twice.
type Effect struct {
	Idempotent bool          // an RPC may run any number of times
	Window     time.Duration // tokened, with group "all": a repeat within it has no effect; otherwise 0
}

// Options are a client's settings.
type Options struct {
	Sockets []string          // of the front ends, in the order in which they are tried
	Methods map[string]Effect // by name; RPCs of methods that are not listed must never run twice
	Repeats int               // most repeats after the first try; 0: none
	BackOff time.Duration     // before the first repeat, then doubling; ±50% jitter; default 50 ms
	Limit   int               // most bytes of an answer; default 64 MiB
	Seed    int64             // of the jitter; default 1
}

// RPC is a request to run a method of a function.
type RPC struct {
	Method   string
	Function string
	Customer string
	Token    string
	Payload  []byte // JSON; may be empty
}

// Denied is the error of an RPC that was denied: a retry is harmless, but not before ComeBack has passed, if it is not
// 0.
type Denied struct {
	Message  string
	ComeBack time.Duration
}

func (e *Denied) Error() string { return e.Message }

// Aborted is the error of an RPC that was aborted: it may have run, and nothing is promised about its effect.
type Aborted struct{ Cause string }

func (e *Aborted) Error() string { return "aborted: " + e.Cause }

// Refused is the error of an RPC that the front end rejected as wrong: the code is one of JSON-RPC, or -32003 if the
// client lacks permission.
type Refused struct {
	Code    int
	Message string
}

func (e *Refused) Error() string { return fmt.Sprintf("%s (%d)", e.Message, e.Code) }

// Errors of the connection.
var (
	ErrUnsent = errors.New("not sent: no front end could be reached") // the RPC never ran
	ErrLost   = errors.New("connection lost: it may have run")
)

// Client is a client of front ends. It is safe for concurrent use.
type Client struct {
	options Options

	mu      sync.Mutex
	rng     *rand.Rand
	conn    *conn
	current int // index in options.Sockets of the front end in use
	closed  bool
}

// New returns a client. It connects when the first RPC is sent.
func New(o Options) *Client {
	if o.BackOff == 0 {
		o.BackOff = 50 * time.Millisecond
	}
	if o.Limit == 0 {
		o.Limit = 64 << 20
	}
	if o.Seed == 0 {
		o.Seed = 1
	}
	return &Client{options: o, rng: rand.New(rand.NewSource(o.Seed))}
}

// Close closes the connection; RPCs in flight on it end with ErrLost.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.conn != nil {
		c.conn.nc.Close()
	}
}

// Call sends an RPC, repeats it where that is harmless, and returns the worker's value. The context's deadline is sent
// as the RPC's time; when the context ends, the RPC is cancelled.
func (c *Client) Call(ctx context.Context, r RPC) ([]byte, error) {
	var mayHaveRunSince time.Time // when a try that may have run ended first
	for try := 0; ; try++ {
		value, err := c.sendOnce(ctx, r, try > 0)
		if err == nil || try >= c.options.Repeats || ctx.Err() != nil {
			return value, err
		}
		effect := c.options.Methods[r.Method]
		wait := c.options.BackOff << min(try, 10)
		var denied *Denied
		var aborted *Aborted
		switch {
		case errors.As(err, &denied):
			if denied.ComeBack > 0 {
				wait = denied.ComeBack
			}
		case errors.Is(err, ErrUnsent):
		case errors.Is(err, ErrLost) || errors.As(err, &aborted):
			if mayHaveRunSince.IsZero() {
				mayHaveRunSince = time.Now()
			}
			if !effect.Idempotent && time.Since(mayHaveRunSince)+wait*3/2 >= effect.Window {
				return value, err
			}
		default:
			return value, err
		}
		c.mu.Lock()
		wait = time.Duration(float64(wait) * (0.5 + c.rng.Float64()))
		c.mu.Unlock()
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return nil, err
		}
	}
}

// sendOnce sends an RPC once and waits for the answer.
func (c *Client) sendOnce(ctx context.Context, r RPC, repeat bool) ([]byte, error) {
	conn, err := c.connect(ctx)
	if err != nil {
		return nil, err
	}
	id, answerCh, err := conn.send(r.Method, encodeParams(ctx, r, repeat))
	if err != nil {
		return nil, err
	}
	select {
	case a := <-answerCh:
		return a.value, a.err
	case <-ctx.Done():
		conn.cancel(id)
		select { // the front end still sends the answer of an RPC that was cancelled or whose time is up
		case a := <-answerCh:
			if a.err == nil {
				return a.value, nil
			}
			return nil, errors.Join(ctx.Err(), a.err)
		case <-time.After(cancelTimeout):
			return nil, errors.Join(ctx.Err(), ErrLost)
		}
	}
}

// cancelTimeout bounds the wait for the answer to a cancelled RPC.
const cancelTimeout = time.Second

func encodeParams(ctx context.Context, r RPC, repeat bool) []byte {
	b := jsonrpc.AppendString([]byte(`{"function":`), r.Function)
	for _, f := range [][2]string{{"customer", r.Customer}, {"token", r.Token}} {
		if f[1] != "" {
			b = jsonrpc.AppendString(append(jsonrpc.AppendString(append(b, ','), f[0]), ':'), f[1])
		}
	}
	if deadline, ok := ctx.Deadline(); ok {
		left := max(0, time.Until(deadline)).Seconds() * 1000
		b = strconv.AppendFloat(append(b, `,"time_ms":`...), left, 'f', 1, 64)
	}
	if repeat {
		b = append(b, `,"repeat":true`...)
	}
	if len(r.Payload) > 0 {
		b = append(append(b, `,"payload":`...), r.Payload...)
	}
	return append(b, '}')
}

// Result is the result of an RPC of a batch.
type Result struct {
	Value []byte
	Err   error
}

// Batch sends RPCs as one JSON-RPC batch. It repeats none of them; which may be repeated is left to the caller. The
// results are in the order of the RPCs.
func (c *Client) Batch(ctx context.Context, rpcs []RPC) []Result {
	out := make([]Result, len(rpcs))
	fail := func(err error) []Result {
		for i := range out {
			out[i].Err = err
		}
		return out
	}
	if len(rpcs) == 0 {
		return out
	}
	conn, err := c.connect(ctx)
	if err != nil {
		return fail(err)
	}
	batch := []byte{'['}
	ids, answerChs := make([]string, len(rpcs)), make([]chan answer, len(rpcs))
	for i, r := range rpcs {
		ids[i], answerChs[i] = conn.expect()
		if i > 0 {
			batch = append(batch, ',')
		}
		batch = jsonrpc.AppendRequest(batch, jsonrpc.ID(ids[i]), r.Method, encodeParams(ctx, r, false))
	}
	if err := conn.write(append(batch, ']')); err != nil {
		conn.forget(ids...)
		return fail(err)
	}
	for i := range answerChs {
		select {
		case a := <-answerChs[i]:
			out[i] = Result{a.value, a.err}
		case <-ctx.Done():
			conn.cancel(ids[i])
			select {
			case a := <-answerChs[i]:
				out[i] = Result{a.value, a.err}
			case <-time.After(cancelTimeout):
				out[i].Err = errors.Join(ctx.Err(), ErrLost)
			}
		}
	}
	return out
}

// connect returns the current connection if it still works. Otherwise it opens a new one, to the first front end that
// accepts it, starting with the current one.
func (c *Client) connect(ctx context.Context) (*conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errors.Join(ErrUnsent, net.ErrClosed)
	}
	if c.conn != nil && !c.conn.hasEnded() {
		return c.conn, nil
	}
	var dialErr error
	for i := range c.options.Sockets {
		index := (c.current + i) % len(c.options.Sockets)
		nc, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "unix", c.options.Sockets[index])
		if err != nil {
			dialErr = errors.Join(dialErr, err)
			continue
		}
		connection := &conn{nc: nc, pending: map[string]chan answer{}}
		c.conn, c.current = connection, index
		go connection.read(c.options.Limit)
		return connection, nil
	}
	c.current++
	return nil, errors.Join(ErrUnsent, dialErr)
}

type answer struct {
	value []byte
	err   error
}

// conn is a connection to a front end.
type conn struct {
	jsonrpc.IgnoreBatches
	nc net.Conn

	writing sync.Mutex // held during a write

	mu      sync.Mutex
	lastID  uint64
	pending map[string]chan answer
	ended   error // why nothing more can be sent
}

func (c *conn) hasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended != nil
}

// expect assigns the id of a request, and returns the channel that will receive its answer.
func (c *conn) expect() (id string, answerCh chan answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	id, answerCh = strconv.FormatUint(c.lastID, 10), make(chan answer, 1)
	if c.ended != nil {
		answerCh <- answer{err: ErrUnsent}
		return id, answerCh
	}
	c.pending[id] = answerCh
	return id, answerCh
}

func (c *conn) forget(ids ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		delete(c.pending, id)
	}
}

func (c *conn) send(method string, params []byte) (id string, answerCh chan answer, err error) {
	id, answerCh = c.expect()
	if err := c.write(jsonrpc.AppendRequest(nil, jsonrpc.ID(id), method, params)); err != nil {
		c.forget(id)
		return "", nil, err
	}
	return id, answerCh, nil
}

// write sends a value. The error is ErrUnsent if not a byte of it was written, and ErrLost if some were.
func (c *conn) write(value []byte) error {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.nc.Write(append(value, '\n'))
	if err == nil {
		return nil
	}
	c.mu.Lock()
	if c.ended == nil {
		c.ended = err // nothing more is sent on this connection; RPCs in flight may still be answered
	}
	c.mu.Unlock()
	if n == 0 {
		return errors.Join(ErrUnsent, err)
	}
	return errors.Join(ErrLost, err)
}

func (c *conn) cancel(id string) {
	_ = c.write(jsonrpc.AppendRequest(nil, nil, "rpc.cancel", []byte(`{"id":`+id+`}`)))
}

func (c *conn) read(limit int) {
	r := jsonrpc.NewReader(c.nc, limit)
	var dec jsonrpc.Decoder
	var err error
	for err == nil {
		var value []byte
		if value, err = r.Next(); err == nil {
			dec.Decode(value, c)
		}
	}
	c.nc.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = err
	for id, answerCh := range c.pending {
		delete(c.pending, id)
		answerCh <- answer{err: errors.Join(ErrLost, err)}
	}
}

// HandleRequest implements jsonrpc.Handler. Front ends send no requests to clients.
func (c *conn) HandleRequest(jsonrpc.ID, string, []byte) {}

// HandleInvalid implements jsonrpc.Handler.
func (c *conn) HandleInvalid(jsonrpc.ID, int, string) { c.nc.Close() }

// HandleResponse implements jsonrpc.Handler.
func (c *conn) HandleResponse(id jsonrpc.ID, result []byte, code int, message string, data []byte) {
	a := answer{}
	switch code {
	case 0:
		a.value = append([]byte(nil), result...)
	case -32001:
		ms, _ := jsonrpc.ParseNumber(jsontext.Value(jsonrpc.Member(data, "come_back_ms")))
		a.err = &Denied{message, time.Duration(ms * float64(time.Millisecond))}
	case -32002:
		cause, _ := jsonrpc.ParseString(jsonrpc.Member(data, "cause"))
		a.err = &Aborted{cause}
	default:
		a.err = &Refused{code, message}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if string(id) == "null" {
		if code != -32001 && code != -32003 { // there is no way to know which RPC the error is for
			c.nc.Close()
			return
		}
		for pendingID, answerCh := range c.pending { // the front end refused the connection: RPCs in flight on it never ran
			delete(c.pending, pendingID)
			answerCh <- a
		}
		return
	}
	if answerCh := c.pending[string(id)]; answerCh != nil {
		delete(c.pending, string(id))
		answerCh <- a
	}
}
