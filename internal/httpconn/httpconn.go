// Package httpconn sends one HTTP/1.1 request at a time on a connection and reads its response. Unlike the Transport of
// net/http, it never sends a request again by itself, and it reports whether a request was written completely: an
// automatic retry could run a side effect twice. The sizes of headers and bodies are limited.
package httpconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"mallowlanding/internal/sockio"
)

// Limits of a response.
const (
	maxHeader  = 16 << 10
	maxInterim = 8 // 1xx responses before the final one
)

// ErrNotSent means that the request was not written completely, so it never ran.
var ErrNotSent = errors.New("not sent whole")

// ErrBadResponse means that a response came that is malformed, truncated or too large, or does not give its length.
var ErrBadResponse = errors.New("spoilt answer")

// Conn is a connection for one exchange at a time.
type Conn struct {
	netConn net.Conn
	raw     syscall.RawConn
	limited io.LimitedReader
	reader  *bufio.Reader
}

// Response is a complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Dial opens a connection within the timeout.
func Dial(ctx context.Context, address string, timeout time.Duration) (*Conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAlive: -1}
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	raw, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		nc.Close()
		return nil, err
	}
	c := &Conn{netConn: nc, raw: raw}
	c.limited.R = nc
	c.reader = bufio.NewReaderSize(&c.limited, 1024)
	return c, nil
}

// Close closes the connection. Any goroutine may call it.
func (c *Conn) Close() { c.netConn.Close() }

// Reusable reports whether the connection may be used for another exchange: it is open and no unexpected bytes have
// arrived. It does not block.
func (c *Conn) Reusable() bool {
	return c.reader.Buffered() == 0 && sockio.IsIdle(c.raw)
}

// WriteNow writes as much of a message as the socket accepts without blocking and returns the number of bytes, so it
// may be called with a lock held. Exchange must follow with the remaining bytes, even if there are none.
func (c *Conn) WriteNow(message []byte, deadline time.Time) (n int, err error) {
	if err := c.netConn.SetDeadline(deadline); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if n, err = sockio.TryWrite(c.raw, message); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return n, nil
}

// Exchange sends a message, or the bytes that WriteNow has left of it, and reads the response, whose body may have up
// to maxBody bytes. The connection can't be used after an error; reusable reports whether it can after a response.
func (c *Conn) Exchange(message []byte, deadline time.Time, maxBody int64) (response Response, reusable bool, err error) {
	if err := c.netConn.SetDeadline(deadline); err != nil {
		return response, false, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if len(message) > 0 {
		if _, err := c.netConn.Write(message); err != nil {
			return response, false, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	var resp *http.Response
	c.limited.N = maxHeader
	if _, err := c.reader.Peek(1); err != nil { // no response has begun, so it is not a malformed one
		return response, false, c.readError(err)
	}
	for i := 0; ; i++ {
		c.limited.N = maxHeader
		if resp, err = http.ReadResponse(c.reader, nil); err != nil {
			return response, false, c.readError(err)
		}
		if resp.StatusCode >= 200 {
			break
		}
		if i >= maxInterim || resp.StatusCode == http.StatusSwitchingProtocols {
			return response, false, fmt.Errorf("%w: status %d", ErrBadResponse, resp.StatusCode)
		}
	}
	chunked := len(resp.TransferEncoding) > 0
	if resp.ContentLength > maxBody || resp.ContentLength < 0 && !chunked {
		return response, false, fmt.Errorf("%w: a body of %d bytes, %d are taken", ErrBadResponse, resp.ContentLength, maxBody)
	}
	c.limited.N = maxBody + maxHeader // chunks have headers, too
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	if err != nil {
		return response, false, c.readError(err)
	}
	if int64(len(body)) > maxBody {
		return response, false, fmt.Errorf("%w: a body of more than %d bytes", ErrBadResponse, maxBody)
	}
	return Response{resp.StatusCode, resp.Header, body}, c.reader.Buffered() == 0 && !resp.Close, nil
}

// readError distinguishes failures of the connection and timeouts from responses that can't be parsed.
func (c *Conn) readError(err error) error {
	var opErr *net.OpError
	switch {
	case errors.As(err, &opErr): // a reset, a call of Close, or the deadline
		return err
	case c.limited.N <= 0:
		return fmt.Errorf("%w: a head or body without end", ErrBadResponse)
	case errors.Is(err, io.EOF):
		return err
	}
	return fmt.Errorf("%w: %w", ErrBadResponse, err)
}
