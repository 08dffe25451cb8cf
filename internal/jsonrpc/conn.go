package jsonrpc

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"sync"
)

// Conn is one end of a stream of JSON-RPC messages, a line each: what is written is queued, what is read goes to a
// peer.
type Conn struct {
	nc        net.Conn
	limit     int
	NextCodec func() func(in io.Reader) error // gives the reader of one message in another codec, once that is agreed on; nil: none is

	mu    sync.Mutex
	more  *sync.Cond
	out   []byte
	ended bool
}

// NewConn takes a connection; values of up to limit bytes are read.
func NewConn(nc net.Conn, limit int) *Conn {
	c := &Conn{nc: nc, limit: limit}
	c.more = sync.NewCond(&c.mu)
	return c
}

// Write queues a value and does not wait.
func (c *Conn) Write(value []byte) {
	c.mu.Lock()
	if !c.ended {
		c.out = AppendFrame(c.out, value, false)
		c.more.Signal()
	}
	c.mu.Unlock()
}

// WriteRaw queues bytes as they are: half a value, say.
func (c *Conn) WriteRaw(b []byte) {
	c.mu.Lock()
	c.out = append(c.out, b...)
	c.more.Signal()
	c.mu.Unlock()
}

// Close ends the connection; what is queued may be lost.
func (c *Conn) Close() { c.nc.Close() }

// Serve reads messages for p until the stream or the context ends, and closes the connection.
func (c *Conn) Serve(ctx context.Context, p Handler) error {
	stop := context.AfterFunc(ctx, func() { c.nc.Close() })
	defer stop()
	written := make(chan struct{})
	go func() { defer close(written); c.send() }()
	r := NewReader(c.nc, c.limit)
	var dec Decoder
	var err error
	for {
		if c.NextCodec != nil {
			if next := c.NextCodec(); next != nil { // the other side has changed the codec
				if err = next(r.Remaining()); err != nil {
					break
				}
				continue
			}
		}
		var value []byte
		if value, err = r.Next(); err != nil {
			break
		}
		dec.Decode(value, p)
	}
	c.nc.Close()
	c.mu.Lock()
	c.ended = true
	c.more.Signal()
	c.mu.Unlock()
	<-written
	return err
}

func (c *Conn) send() {
	var spare []byte
	for {
		c.mu.Lock()
		for len(c.out) == 0 && !c.ended {
			c.more.Wait()
		}
		if c.ended {
			c.mu.Unlock()
			return
		}
		out := c.out
		c.out = spare[:0]
		c.mu.Unlock()
		if _, err := c.nc.Write(out); err != nil {
			c.nc.Close()
			return
		}
		spare = out
	}
}

// ErrConnectionLost is told of what was asked on a connection that has ended.
var ErrConnectionLost = errors.New("connection lost")

// Response is what came of a question; Err: the connection ended first. Result and Data are the receiver's.
type Response struct {
	Result  []byte
	Code    int
	Message string
	Data    []byte
	Err     error
}

// Caller asks over a Conn and passes answers on. Its Peer methods serve Conn.Serve.
type Caller struct {
	IgnoreBatches
	*Conn
	mu             sync.Mutex
	last           uint64
	wait           map[string]func(Response)
	ended          bool
	OnNotification func(method string, params []byte) // notifications that come; nil: none are expected
	Streaming      bool                               // further answers to one question are passed on, too
}

// NewCaller takes a connection; Run serves it.
func NewCaller(nc net.Conn, limit int) *Caller {
	return &Caller{Conn: NewConn(nc, limit), wait: map[string]func(Response){}}
}

// Run reads answers until the stream or the context ends; what is still asked then ends with ErrLost.
func (c *Caller) Run(ctx context.Context) error {
	err := c.Serve(ctx, c)
	c.mu.Lock()
	c.ended = true
	wait := c.wait
	c.wait = nil
	c.mu.Unlock()
	for _, f := range wait {
		f(Response{Err: ErrConnectionLost})
	}
	return err
}

// CallAsync sends a request; f is called once, from the reader's goroutine or from this one.
func (c *Caller) CallAsync(method string, params []byte, f func(Response)) {
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		f(Response{Err: ErrConnectionLost})
		return
	}
	c.last++
	id := NumberID(c.last)
	c.wait[string(id)] = f
	c.mu.Unlock()
	c.Write(AppendRequest(nil, id, method, params))
}

// Notify sends a notification.
func (c *Caller) Notify(method string, params []byte) {
	c.Write(AppendRequest(nil, nil, method, params))
}

// Call asks and waits.
func (c *Caller) Call(ctx context.Context, method string, params []byte) Response {
	got := make(chan Response, 1)
	c.CallAsync(method, params, func(a Response) { got <- a })
	select {
	case a := <-got:
		return a
	case <-ctx.Done():
		return Response{Err: ctx.Err()}
	}
}

// HandleInvalid implements Peer.
func (c *Caller) HandleInvalid(ID, int, string) { c.Close() }

// HandleRequest implements Peer.
func (c *Caller) HandleRequest(_ ID, method string, params []byte) {
	if c.OnNotification != nil {
		c.OnNotification(method, params)
	}
}

// HandleResponse implements Peer.
func (c *Caller) HandleResponse(id ID, result []byte, code int, message string, data []byte) {
	c.mu.Lock()
	f := c.wait[string(id)]
	if !c.Streaming {
		delete(c.wait, string(id))
	}
	c.mu.Unlock()
	if f != nil {
		f(Response{Result: bytes.Clone(result), Code: code, Message: message, Data: bytes.Clone(data)})
	}
}

// Closed tells whether the stream has ended.
func (c *Caller) Closed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}
