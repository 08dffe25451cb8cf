// Package httpconn exchanges one HTTP/1.1 message for its answer on a connection of our own. It never asks twice by itself
// and tells whether what was asked left whole: net/http's Transport hides both, and a repeat that nobody decided breaks
// the rule that no effect happens twice. Heads and bodies are bounded.
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

// Bounds of an answer.
const (
	headMost  = 16 << 10
	interimes = 8 // 1xx answers in front of the final one
)

// ErrNotSent: what was asked did not leave whole, so it never ran.
var ErrNotSent = errors.New("not sent whole")

// ErrBadAnswer: an answer came that can't be read, is not whole, or has no end.
var ErrBadAnswer = errors.New("spoilt answer")

// Conn is a connection. One exchange at a time.
type Conn struct {
	nc    net.Conn
	raw   syscall.RawConn
	limit io.LimitedReader
	in    *bufio.Reader
}

// Answer is a whole one.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Dial makes a connection, within the time given.
func Dial(ctx context.Context, address string, within time.Duration) (*Conn, error) {
	d := net.Dialer{Timeout: within, KeepAlive: -1}
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	raw, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		nc.Close()
		return nil, err
	}
	c := &Conn{nc: nc, raw: raw}
	c.limit.R = nc
	c.in = bufio.NewReaderSize(&c.limit, 1024)
	return c, nil
}

// Close ends the connection; any goroutine may.
func (c *Conn) Close() { c.nc.Close() }

// Reusable tells whether the connection may be used again: it stands, and nothing came on it that nobody asked for. It
// doesn't wait.
func (c *Conn) Reusable() bool {
	return c.in.Buffered() == 0 && sockio.IsIdle(c.raw)
}

// WriteNow writes what the socket takes of a message at once and tells how many bytes that were. It doesn't wait, so that
// it may be called under a lock. Exchange has to follow with the rest, also where none is left.
func (c *Conn) WriteNow(message []byte, by time.Time) (n int, err error) {
	if err := c.nc.SetDeadline(by); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if n, err = sockio.TryWrite(c.raw, message); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return n, nil
}

// Exchange sends a message, or what Offer left of it, and reads its answer, whose body has bodyMost bytes at most. After
// an error the connection is of no further use; again tells whether it is after an answer.
func (c *Conn) Exchange(message []byte, by time.Time, bodyMost int64) (a Answer, again bool, err error) {
	if err := c.nc.SetDeadline(by); err != nil {
		return a, false, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if len(message) > 0 {
		if _, err := c.nc.Write(message); err != nil {
			return a, false, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	var resp *http.Response
	c.limit.N = headMost
	if _, err := c.in.Peek(1); err != nil { // no answer was begun: that is not a spoilt one
		return a, false, c.readError(err)
	}
	for i := 0; ; i++ {
		c.limit.N = headMost
		if resp, err = http.ReadResponse(c.in, nil); err != nil {
			return a, false, c.readError(err)
		}
		if resp.StatusCode >= 200 {
			break
		}
		if i >= interimes || resp.StatusCode == http.StatusSwitchingProtocols {
			return a, false, fmt.Errorf("%w: status %d", ErrBadAnswer, resp.StatusCode)
		}
	}
	chunked := len(resp.TransferEncoding) > 0
	if resp.ContentLength > bodyMost || resp.ContentLength < 0 && !chunked {
		return a, false, fmt.Errorf("%w: a body of %d bytes, %d are taken", ErrBadAnswer, resp.ContentLength, bodyMost)
	}
	c.limit.N = bodyMost + headMost // chunks have heads, too
	body, err := io.ReadAll(io.LimitReader(resp.Body, bodyMost+1))
	if err != nil {
		return a, false, c.readError(err)
	}
	if int64(len(body)) > bodyMost {
		return a, false, fmt.Errorf("%w: a body of more than %d bytes", ErrBadAnswer, bodyMost)
	}
	return Answer{resp.StatusCode, resp.Header, body}, c.in.Buffered() == 0 && !resp.Close, nil
}

// readError tells a connection that broke, and one that was silent for too long, from an answer that can't be read.
func (c *Conn) readError(err error) error {
	var op *net.OpError
	switch {
	case errors.As(err, &op): // a reset, a close of our own, or the deadline
		return err
	case c.limit.N <= 0:
		return fmt.Errorf("%w: a head or body without end", ErrBadAnswer)
	case errors.Is(err, io.EOF):
		return err
	}
	return fmt.Errorf("%w: %w", ErrBadAnswer, err)
}
