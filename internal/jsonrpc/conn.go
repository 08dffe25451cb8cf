package jsonrpc

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"sync"
)

// Conn is one end of a stream of JSON-RPC messages, one a line. Messages to send are queued; messages received are
// passed to a Handler.
type Conn struct {
	nc    net.Conn
	limit int
	// NextCodec is called before each message. It returns a function that reads one message in another codec, or nil if
	// the message is a JSON line. If NextCodec is nil, all messages are JSON lines.
	NextCodec func() func(in io.Reader) error
	offset    int64 // see Offset

	mu      sync.Mutex
	changed *sync.Cond
	unsent  []byte
	ended   bool
}

// NewConn returns a Conn on nc that reads values of up to limit bytes.
func NewConn(nc net.Conn, limit int) *Conn {
	c := &Conn{nc: nc, limit: limit}
	c.changed = sync.NewCond(&c.mu)
	return c
}

// Write queues a value to be sent. It does not block.
func (c *Conn) Write(value []byte) {
	c.mu.Lock()
	if !c.ended {
		c.unsent = AppendFrame(c.unsent, value, false)
		c.changed.Signal()
	}
	c.mu.Unlock()
}

// WriteRaw queues bytes without framing, for example a part of a value.
func (c *Conn) WriteRaw(b []byte) {
	c.mu.Lock()
	c.unsent = append(c.unsent, b...)
	c.changed.Signal()
	c.mu.Unlock()
}

// Offset returns how many bytes of the stream came before the message that is being handled. A Handler may call it.
func (c *Conn) Offset() int64 { return c.offset }

// Close closes the connection. Queued messages may be lost.
func (c *Conn) Close() { c.nc.Close() }

// Serve reads messages and passes them to h until the stream or the context ends. It then closes the connection.
func (c *Conn) Serve(ctx context.Context, h Handler) error {
	stop := context.AfterFunc(ctx, func() { c.nc.Close() })
	defer stop()
	written := make(chan struct{})
	go func() { defer close(written); c.send() }()
	r := NewReader(c.nc, c.limit)
	var dec Decoder
	var err error
	for {
		c.offset = r.Offset()
		if c.NextCodec != nil {
			if next := c.NextCodec(); next != nil { // the other side uses another codec from here on
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
		dec.Decode(value, h)
	}
	c.nc.Close()
	c.mu.Lock()
	c.ended = true
	c.changed.Signal()
	c.mu.Unlock()
	<-written
	return err
}

func (c *Conn) send() {
	var spare []byte
	for {
		c.mu.Lock()
		for len(c.unsent) == 0 && !c.ended {
			c.changed.Wait()
		}
		if c.ended {
			c.mu.Unlock()
			return
		}
		out := c.unsent
		c.unsent = spare[:0]
		c.mu.Unlock()
		if _, err := c.nc.Write(out); err != nil {
			c.nc.Close()
			return
		}
		spare = out
	}
}

// ErrConnectionLost is the error of a call whose connection ended before the response.
var ErrConnectionLost = errors.New("connection lost")

// Response is the outcome of a call. Err is set if no response arrived. The receiver may keep Result and Data.
type Response struct {
	Result  []byte
	Code    int
	Message string
	Data    []byte
	Err     error
}

// Caller sends requests over a Conn and passes the responses to callbacks. It implements Handler for Conn.Serve.
type Caller struct {
	IgnoreBatches
	*Conn
	mu             sync.Mutex
	lastID         uint64
	pending        map[string]func(Response)
	ended          bool
	OnNotification func(method string, params []byte) // called for requests and notifications; nil: ignored
	Streaming      bool                               // every response to a request is passed on, not only the first
}

// NewCaller returns a Caller on nc. Run must be called to receive responses.
func NewCaller(nc net.Conn, limit int) *Caller {
	return &Caller{Conn: NewConn(nc, limit), pending: map[string]func(Response){}}
}

// Run reads responses until the stream or the context ends. Calls that are pending then end with ErrConnectionLost.
func (c *Caller) Run(ctx context.Context) error {
	err := c.Serve(ctx, c)
	c.mu.Lock()
	c.ended = true
	pending := c.pending
	c.pending = nil
	c.mu.Unlock()
	for _, f := range pending {
		f(Response{Err: ErrConnectionLost})
	}
	return err
}

// CallAsync sends a request and returns. onResponse is called once, or for each response if Streaming is set, on Run's
// goroutine or, if the connection has ended, on this one.
func (c *Caller) CallAsync(method string, params []byte, onResponse func(Response)) {
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		onResponse(Response{Err: ErrConnectionLost})
		return
	}
	c.lastID++
	id := NumberID(c.lastID)
	c.pending[string(id)] = onResponse
	c.mu.Unlock()
	c.Write(AppendRequest(nil, id, method, params))
}

// Notify sends a notification.
func (c *Caller) Notify(method string, params []byte) {
	c.Write(AppendRequest(nil, nil, method, params))
}

// Call sends a request and waits for the response or the end of the context.
func (c *Caller) Call(ctx context.Context, method string, params []byte) Response {
	response := make(chan Response, 1)
	c.CallAsync(method, params, func(a Response) { response <- a })
	select {
	case a := <-response:
		return a
	case <-ctx.Done():
		return Response{Err: ctx.Err()}
	}
}

// HandleInvalid implements Handler. It closes the connection.
func (c *Caller) HandleInvalid(ID, int, string) { c.Close() }

// HandleRequest implements Handler.
func (c *Caller) HandleRequest(_ ID, method string, params []byte) {
	if c.OnNotification != nil {
		c.OnNotification(method, params)
	}
}

// HandleResponse implements Handler.
func (c *Caller) HandleResponse(id ID, result []byte, code int, message string, data []byte) {
	c.mu.Lock()
	onResponse := c.pending[string(id)]
	if !c.Streaming {
		delete(c.pending, string(id))
	}
	c.mu.Unlock()
	if onResponse != nil {
		onResponse(Response{Result: bytes.Clone(result), Code: code, Message: message, Data: bytes.Clone(data)})
	}
}

// Closed reports whether the stream has ended.
func (c *Caller) Closed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}
