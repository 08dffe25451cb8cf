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
	id, answerCh := conn.expect()
	if err := conn.send(ctx, []string{id}, func() []byte { return appendRequest(ctx, nil, id, r, repeat) }); err != nil {
		return nil, err
	}
	select {
	case a := <-answerCh:
		return a.value, a.err
	case <-ctx.Done():
	}
	a := conn.cancel(id, answerCh)
	if a.err == nil {
		return a.value, nil
	}
	return nil, errors.Join(ctx.Err(), a.err)
}

// appendRequest appends an RPC as it is sent now.
func appendRequest(ctx context.Context, out []byte, id string, r RPC, repeat bool) []byte {
	return jsonrpc.AppendRequest(out, jsonrpc.ID(id), r.Method, encodeParams(ctx, r, repeat))
}

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
	ids, answerChs := make([]string, len(rpcs)), make([]chan answer, len(rpcs))
	for i := range rpcs {
		ids[i], answerChs[i] = conn.expect()
	}
	if err := conn.send(ctx, ids, func() []byte { return encodeBatch(ctx, ids, rpcs) }); err != nil {
		return fail(err)
	}
	for i := range answerChs {
		select {
		case a := <-answerChs[i]:
			out[i] = Result{a.value, a.err}
			continue
		case <-ctx.Done():
		}
		a := conn.cancel(ids[i], answerChs[i])
		if out[i] = (Result{a.value, a.err}); errors.Is(a.err, ErrLost) {
			out[i].Err = errors.Join(ctx.Err(), a.err)
		}
	}
	return out
}

// encodeBatch returns RPCs as one JSON-RPC batch, as it is sent now.
func encodeBatch(ctx context.Context, ids []string, rpcs []RPC) []byte {
	batch := []byte{'['}
	for i, r := range rpcs {
		if i > 0 {
			batch = append(batch, ',')
		}
		batch = appendRequest(ctx, batch, ids[i], r, false)
	}
	return append(batch, ']')
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
		connection := newConn(nc)
		c.conn, c.current = connection, index
		go connection.read(c.options.Limit)
		return connection, nil
	}
	c.current++
	return nil, errors.Join(ErrUnsent, dialErr)
}
