package client

import (
	"context"
	"errors"
	"net"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/go-json-experiment/json/jsontext"

	"mallowlanding/internal/jsonrpc"
)

const (
	// cancelTimeout bounds sending the cancellation of an RPC and the wait for its answer.
	cancelTimeout = time.Second
	// restTimeout is how long the rest of a half-written request may take once its caller has left. The connection is
	// then closed, so that the front end never gets the request whole.
	restTimeout = 100 * time.Millisecond
)

type answer struct {
	value []byte
	err   error
}

// conn is a connection to a front end.
type conn struct {
	jsonrpc.IgnoreBatches
	nc net.Conn

	writing chan struct{} // holds a value during a write, and while the rest of a request is written

	mu      sync.Mutex
	lastID  uint64
	pending map[string]chan answer
	ended   error // why nothing more can be sent
}

func newConn(nc net.Conn) *conn {
	return &conn{nc: nc, writing: make(chan struct{}, 1), pending: map[string]chan answer{}}
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

// send sends the requests with the given ids, which expect has assigned. It encodes them when it is their turn to be
// written. The error is ErrUnsent if not a byte of them was written before the context ended, and ErrLost if some were;
// the ids are forgotten then.
func (c *conn) send(ctx context.Context, ids []string, encode func() []byte) error {
	err := c.write(ctx, ids, encode)
	if err != nil {
		c.forget(ids...)
	}
	return err
}

func (c *conn) write(ctx context.Context, ids []string, encode func() []byte) error {
	select {
	case c.writing <- struct{}{}:
	case <-ctx.Done():
		return errors.Join(ErrUnsent, ctx.Err())
	}
	if err := ctx.Err(); err != nil {
		<-c.writing
		return errors.Join(ErrUnsent, err)
	}
	value := append(encode(), '\n')
	n, err := c.writeUntilDone(ctx, value)
	switch {
	case err == nil:
		<-c.writing
		return nil
	case errors.Is(err, os.ErrDeadlineExceeded) && n > 0:
		go c.writeRest(value[n:], ids)
		return errors.Join(ErrLost, ctx.Err())
	case errors.Is(err, os.ErrDeadlineExceeded):
		<-c.writing
		return errors.Join(ErrUnsent, ctx.Err())
	}
	<-c.writing
	c.end(err)
	if n == 0 {
		return errors.Join(ErrUnsent, err)
	}
	return errors.Join(ErrLost, err)
}

// writeUntilDone writes a value. When the context ends it stops, with os.ErrDeadlineExceeded, and returns how many bytes
// have been written.
func (c *conn) writeUntilDone(ctx context.Context, value []byte) (n int, err error) {
	interrupted := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		_ = c.nc.SetWriteDeadline(time.Now())
		close(interrupted)
	})
	n, err = c.nc.Write(value)
	if !stop() {
		<-interrupted
		_ = c.nc.SetWriteDeadline(time.Time{})
	}
	return n, err
}

// writeRest writes the rest of requests whose caller has left, and cancels them. If the front end does not take it, the
// connection is closed.
func (c *conn) writeRest(rest []byte, ids []string) {
	defer func() { <-c.writing }()
	for _, id := range ids {
		rest = append(appendCancel(rest, id), '\n')
	}
	_ = c.nc.SetWriteDeadline(time.Now().Add(restTimeout))
	if _, err := c.nc.Write(rest); err != nil {
		c.end(err)
		c.nc.Close()
		return
	}
	_ = c.nc.SetWriteDeadline(time.Time{})
}

// end has nothing more sent on this connection; RPCs in flight may still be answered.
func (c *conn) end(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended == nil {
		c.ended = err
	}
}

func appendCancel(out []byte, id string) []byte {
	return jsonrpc.AppendRequest(out, nil, "rpc.cancel", []byte(`{"id":`+id+`}`))
}

// cancel cancels an RPC that has been sent and returns its answer: the front end still answers an RPC that was cancelled
// or whose time is up. The error is ErrLost if none comes in time.
func (c *conn) cancel(id string, answerCh chan answer) answer {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	_ = c.write(ctx, nil, func() []byte { return appendCancel(nil, id) })
	select {
	case a := <-answerCh:
		return a
	case <-ctx.Done():
		return answer{err: ErrLost}
	}
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
