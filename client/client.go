// Package client speaks to mallowlanding's front ends: JSON-RPC 2.0 over Unix sockets, as docs/protocol.md words it.
//
// A Client keeps one connection to one of several front ends, sends RPCs without waiting for others' answers, goes on
// to the next front end when one is lost, and repeats an RPC only where that is harmless:
//
//   - it was never sent, or was denied: any;
//   - the connection broke, or it was aborted: idempotent ones; tokened ones of the group of all within their window.
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

// Effect is what running an RPC twice would do.
type Effect struct {
	Idempotent bool          // it may run again
	Window     time.Duration // tokened, of the group of all: a repeat within it has no effect; 0: not so
}

// Options are a client's settings.
type Options struct {
	Sockets []string          // of front ends, the first to be tried first
	Methods map[string]Effect // by method; what is not here must never run twice
	Repeats int               // at most so many, after the first try
	BackOff time.Duration     // first pause before a repeat, doubling, each drawn from half to one and a half of it; default 50 ms
	Limit   int               // bytes of one answer; default 64 MiB
	Seed    int64             // of the pauses; default 1
}

// RPC is what is asked for.
type RPC struct {
	Method   string
	Function string
	Customer string
	Token    string
	Payload  []byte // JSON; empty: none
}

// Denied says that a retry is harmless, after ComeBack where that is told.
type Denied struct {
	Message  string
	ComeBack time.Duration
}

func (e *Denied) Error() string { return e.Message }

// Aborted promises nothing: it may have run.
type Aborted struct{ Cause string }

func (e *Aborted) Error() string { return "aborted: " + e.Cause }

// Refused is an error of the one who asks: the code is JSON-RPC's, or -32003 for a peer that may not.
type Refused struct {
	Code    int
	Message string
}

func (e *Refused) Error() string { return fmt.Sprintf("%s (%d)", e.Message, e.Code) }

// Errors of the way there.
var (
	ErrUnsent = errors.New("not sent: no front end could be reached") // it never ran
	ErrLost   = errors.New("connection lost: it may have run")
)

// Client is safe for several goroutines.
type Client struct {
	o Options

	mu     sync.Mutex
	rng    *rand.Rand
	conn   *conn
	at     int // place of the front end in use
	closed bool
}

// New makes a client; it connects with the first RPC.
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
	return &Client{o: o, rng: rand.New(rand.NewSource(o.Seed))}
}

// Close ends the connection; RPCs out on it end as lost.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.conn != nil {
		c.conn.nc.Close()
	}
}

// Call sends an RPC and returns the worker's value. The context's deadline is the client's time; its end has the RPC
// cancelled.
func (c *Client) Call(ctx context.Context, r RPC) ([]byte, error) {
	var first time.Time // when it may have run first
	for try := 0; ; try++ {
		value, err := c.once(ctx, r, try > 0)
		if err == nil || try >= c.o.Repeats || ctx.Err() != nil {
			return value, err
		}
		effect := c.o.Methods[r.Method]
		wait := c.o.BackOff << min(try, 10)
		var denied *Denied
		var aborted *Aborted
		switch {
		case errors.As(err, &denied):
			if denied.ComeBack > 0 {
				wait = denied.ComeBack
			}
		case errors.Is(err, ErrUnsent):
		case errors.Is(err, ErrLost) || errors.As(err, &aborted):
			if first.IsZero() {
				first = time.Now()
			}
			if !effect.Idempotent && time.Since(first)+wait*3/2 >= effect.Window {
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

// once sends an RPC once.
func (c *Client) once(ctx context.Context, r RPC, repeat bool) ([]byte, error) {
	k, err := c.connect(ctx)
	if err != nil {
		return nil, err
	}
	id, got, err := k.send(r.Method, params(ctx, r, repeat))
	if err != nil {
		return nil, err
	}
	select {
	case a := <-got:
		return a.value, a.err
	case <-ctx.Done():
		k.cancel(id)
		select { // one answer is owed, though the client's time is up or it has lost interest
		case a := <-got:
			if a.err == nil {
				return a.value, nil
			}
			return nil, errors.Join(ctx.Err(), a.err)
		case <-time.After(cancelPatience):
			return nil, errors.Join(ctx.Err(), ErrLost)
		}
	}
}

// cancelPatience is how long the answer to a cancelled RPC is waited for.
const cancelPatience = time.Second

func params(ctx context.Context, r RPC, repeat bool) []byte {
	b := jsonrpc.AppendString([]byte(`{"function":`), r.Function)
	for _, f := range [][2]string{{"customer", r.Customer}, {"token", r.Token}} {
		if f[1] != "" {
			b = jsonrpc.AppendString(append(jsonrpc.AppendString(append(b, ','), f[0]), ':'), f[1])
		}
	}
	if deadline, has := ctx.Deadline(); has {
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

// Result is one part of a batch.
type Result struct {
	Value []byte
	Err   error
}

// Batch sends RPCs as one JSON-RPC batch, once: which of them may be repeated is the caller's to see. Results stand
// in the RPCs' order.
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
	k, err := c.connect(ctx)
	if err != nil {
		return fail(err)
	}
	value := []byte{'['}
	ids, gots := make([]string, len(rpcs)), make([]chan answer, len(rpcs))
	for i, r := range rpcs {
		ids[i], gots[i] = k.expect()
		if i > 0 {
			value = append(value, ',')
		}
		value = jsonrpc.AppendRequest(value, jsonrpc.ID(ids[i]), r.Method, params(ctx, r, false))
	}
	if err := k.write(append(value, ']')); err != nil {
		k.forget(ids...)
		return fail(err)
	}
	for i := range gots {
		select {
		case a := <-gots[i]:
			out[i] = Result{a.value, a.err}
		case <-ctx.Done():
			k.cancel(ids[i])
			select {
			case a := <-gots[i]:
				out[i] = Result{a.value, a.err}
			case <-time.After(cancelPatience):
				out[i].Err = errors.Join(ctx.Err(), ErrLost)
			}
		}
	}
	return out
}

// connect gives the connection in use, or a new one to the first front end that takes it, from the one in use on.
func (c *Client) connect(ctx context.Context) (*conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errors.Join(ErrUnsent, net.ErrClosed)
	}
	if c.conn != nil && !c.conn.over() {
		return c.conn, nil
	}
	var failed error
	for i := range c.o.Sockets {
		at := (c.at + i) % len(c.o.Sockets)
		nc, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "unix", c.o.Sockets[at])
		if err != nil {
			failed = errors.Join(failed, err)
			continue
		}
		k := &conn{nc: nc, wait: map[string]chan answer{}}
		c.conn, c.at = k, at
		go k.read(c.o.Limit)
		return k, nil
	}
	c.at++
	return nil, errors.Join(ErrUnsent, failed)
}

type answer struct {
	value []byte
	err   error
}

// conn is one connection.
type conn struct {
	jsonrpc.IgnoreBatches
	nc net.Conn

	writing sync.Mutex

	mu    sync.Mutex
	last  uint64
	wait  map[string]chan answer
	ended error
}

func (k *conn) over() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ended != nil
}

// expect makes the place for an answer.
func (k *conn) expect() (id string, got chan answer) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.last++
	id, got = strconv.FormatUint(k.last, 10), make(chan answer, 1)
	if k.ended != nil {
		got <- answer{err: ErrUnsent}
		return id, got
	}
	k.wait[id] = got
	return id, got
}

func (k *conn) forget(ids ...string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, id := range ids {
		delete(k.wait, id)
	}
}

func (k *conn) send(method string, params []byte) (id string, got chan answer, err error) {
	id, got = k.expect()
	if err := k.write(jsonrpc.AppendRequest(nil, jsonrpc.ID(id), method, params)); err != nil {
		k.forget(id)
		return "", nil, err
	}
	return id, got, nil
}

// write sends a value. Where not a byte of it left, it never will: ErrUnsent.
func (k *conn) write(value []byte) error {
	k.writing.Lock()
	defer k.writing.Unlock()
	n, err := k.nc.Write(append(value, '\n'))
	if err == nil {
		return nil
	}
	k.mu.Lock()
	if k.ended == nil {
		k.ended = err // no more is sent here; what is out may still be answered
	}
	k.mu.Unlock()
	if n == 0 {
		return errors.Join(ErrUnsent, err)
	}
	return errors.Join(ErrLost, err)
}

func (k *conn) cancel(id string) {
	_ = k.write(jsonrpc.AppendRequest(nil, nil, "rpc.cancel", []byte(`{"id":`+id+`}`)))
}

func (k *conn) read(limit int) {
	r := jsonrpc.NewReader(k.nc, limit)
	var dec jsonrpc.Decoder
	var err error
	for err == nil {
		var value []byte
		if value, err = r.Next(); err == nil {
			dec.Decode(value, k)
		}
	}
	k.nc.Close()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ended = err
	for id, got := range k.wait {
		delete(k.wait, id)
		got <- answer{err: errors.Join(ErrLost, err)}
	}
}

// HandleRequest implements jsonrpc.Peer: front ends ask nothing.
func (k *conn) HandleRequest(jsonrpc.ID, string, []byte) {}

// HandleInvalid implements jsonrpc.Peer.
func (k *conn) HandleInvalid(jsonrpc.ID, int, string) { k.nc.Close() }

// HandleResponse implements jsonrpc.Peer.
func (k *conn) HandleResponse(id jsonrpc.ID, result []byte, code int, message string, data []byte) {
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
	k.mu.Lock()
	defer k.mu.Unlock()
	if string(id) == "null" {
		if code != -32001 && code != -32003 { // which of ours it was can't be told
			k.nc.Close()
			return
		}
		for i, got := range k.wait { // the connection itself is turned away: what is out on it never ran
			delete(k.wait, i)
			got <- a
		}
		return
	}
	if got := k.wait[string(id)]; got != nil {
		delete(k.wait, string(id))
		got <- a
	}
}
