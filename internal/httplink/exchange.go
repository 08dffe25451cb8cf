package httplink

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"mallowlanding/internal/eventloop"
	"mallowlanding/internal/httpconn"
	"mallowlanding/internal/outbound"
	"mallowlanding/router"
)

// message is a request that an exchange sends.
type message struct {
	label string
	// appendTo appends the request as it is sent when the given time is left for it.
	appendTo   func(out []byte, timeLeft router.Time) []byte
	timeout    time.Duration // from now on, for connection, request and response
	conditions outbound.Conditions
}

// exchange is one request to a worker, from the moment it is handed to the link until its response or error.
type exchange struct {
	link     *Link
	options  Options
	message  message
	deadline time.Time
	onEnd    func(r result) // called in a turn of the event loop
	ctx      context.Context
	cancel   context.CancelFunc

	// State that sendFirstBytes checks and sets under the lock before the first byte is written.
	mu     sync.Mutex
	conn   *httpconn.Conn
	permit outbound.Permit
}

// result is the outcome of an exchange: a response if err is nil.
type result struct {
	status  int
	headers responseHeaders
	body    []byte
	err     error
	local   bool // not sent for a reason that says nothing about the worker: out of descriptors, link removed, cancelled
}

// start sends a message on a connection that no other exchange uses. Its first byte is written while its conditions
// hold, or never.
func (l *Link) start(m message, onEnd func(r result)) *exchange {
	now := l.set.loop.Now()
	m.conditions.DecidedAt, m.conditions.Deadline = now, now+eventloop.FromDuration(m.timeout)
	x := &exchange{link: l, options: l.set.options, message: m, deadline: time.Now().Add(m.timeout), onEnd: onEnd,
		permit: outbound.Permit{Conditions: m.conditions}}
	x.ctx, x.cancel = context.WithCancel(context.Background())
	conn := l.takeIdle()
	if conn == nil {
		if l.removed || !l.set.makeRoom() {
			x.permit.Withdraw()
			l.set.loop.Post(func() { onEnd(result{err: httpconn.ErrNotSent, local: true}) })
			return x
		}
		l.set.connCount++
	}
	l.exchanges[x] = true
	go x.run(conn)
	return x
}

// run performs the exchange and posts its result to the event loop.
func (x *exchange) run(conn *httpconn.Conn) {
	began := time.Now()
	resp, conn, reusable, err := x.send(conn)
	res := result{status: resp.Status, headers: readHeaders(resp.Header), body: resp.Body, err: err}
	for _, localErr := range []error{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, outbound.ErrWithdrawn, outbound.ErrExpired} {
		res.local = res.local || errors.Is(err, localErr) // says nothing about the worker
	}
	if err != nil && conn != nil {
		conn.Close()
	}
	x.cancel()
	if ev := x.options.Log.Debug(); ev != nil {
		ev.Str("worker", x.link.name).Str("what", x.message.label).Int("status", res.status).AnErr("error", err).
			Str("remark", res.headers.remark).Str("company", res.headers.company).Str("meter", res.headers.meter).
			Dur("took", time.Since(began)).Msg("exchange with worker ended")
	}
	x.link.set.loop.Post(func() {
		l := x.link
		delete(l.exchanges, x)
		if err == nil && reusable && !l.removed {
			l.idle = append(l.idle, idleConn{conn, time.Now()})
		} else {
			if conn != nil {
				conn.Close()
			}
			l.set.connCount--
		}
		x.onEnd(res)
	})
}

// send writes the message and reads the response. A message that was not written completely is sent again on a new
// connection, up to maxExtraConns times.
func (x *exchange) send(conn *httpconn.Conn) (resp httpconn.Response, used *httpconn.Conn, reusable bool, err error) {
	for attemptsLeft := maxExtraConns; ; attemptsLeft-- {
		if conn == nil {
			conn, err = x.options.Dialer.Dial(x.ctx, x.link.address, min(x.options.ConnectTimeout, time.Until(x.deadline)))
			if errors.Is(err, syscall.ECONNRESET) && attemptsLeft > 0 { // established, then reset
				continue
			}
			if err != nil && x.ctx.Err() != nil {
				err = errors.Join(outbound.ErrWithdrawn, err)
			}
			if isTimeout(err) && x.pausedMeanwhile() {
				err = errors.Join(outbound.ErrPaused, err)
			}
			if err != nil {
				return resp, nil, false, errors.Join(httpconn.ErrNotSent, err)
			}
		}
		var rest []byte
		var refused error
		if rest, refused, err = x.sendFirstBytes(conn); refused != nil {
			return resp, conn, false, errors.Join(httpconn.ErrNotSent, refused)
		}
		if err == nil {
			resp, reusable, err = conn.Exchange(rest, x.deadline, maxBody)
		}
		if !errors.Is(err, httpconn.ErrNotSent) || attemptsLeft == 0 {
			return resp, conn, reusable, err
		}
		conn.Close()
		conn = nil
	}
}

// sendFirstBytes is the only place where a message's first byte is written, and returns the bytes that are left. It
// first checks that the request has not been withdrawn and that its conditions hold, else it returns what refused it.
// Remove and CancelCallOut take the same lock, so either they come first and nothing is sent, or the message was begun
// before them. This matters when a connection is established late, after the worker has begun to drain or the client
// has left.
func (x *exchange) sendFirstBytes(c *httpconn.Conn) (rest []byte, refused, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn = c
	set := x.link.set
	now := set.loop.Now()
	if refused = x.permit.Begin(now, &set.pauses); refused != nil {
		return nil, refused, nil
	}
	text := x.message.appendTo(nil, x.permit.Conditions.Deadline-now)
	n, err := c.WriteNow(text, x.deadline)
	return text[n:], nil, err
}

// pausedMeanwhile reports whether the process has been paused since the request was decided on.
func (x *exchange) pausedMeanwhile() bool {
	set := x.link.set
	return set.pauses.PausedSince(x.permit.Conditions.DecidedAt, set.loop.Now())
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// stop closes the connection, which cancels the request at the worker. A request that has not been begun is never
// sent; stop reports whether that is so.
func (x *exchange) stop() (neverSent bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	neverSent = x.permit.Withdraw()
	if x.conn != nil {
		x.conn.Close()
	}
	x.cancel()
	return neverSent
}

// stopUnsent cancels a request that has not been begun. One that has may still be answered, but is not sent again on
// another connection.
func (x *exchange) stopUnsent() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.permit.Withdraw() {
		x.cancel()
	}
}

// outcome returns what an error proves about the request.
func (r result) outcome() router.Outcome {
	switch {
	case errors.Is(r.err, outbound.ErrUnconfirmed), errors.Is(r.err, outbound.ErrPaused): // says nothing about the worker
		return router.NotSent
	case r.local, errors.Is(r.err, httpconn.ErrNotSent) && errors.Is(r.err, syscall.ECONNRESET): // each connection was reset
		return router.Full
	case errors.Is(r.err, httpconn.ErrNotSent):
		return router.ConnectFailed
	case errors.Is(r.err, httpconn.ErrBadResponse): // the connection is at fault, not the function; the request has run
		return router.Reset
	case isTimeout(r.err):
		return router.TimedOut
	case errors.Is(r.err, io.EOF), errors.Is(r.err, syscall.ECONNRESET), errors.Is(r.err, syscall.EPIPE):
		return router.Reset
	case errors.Is(r.err, net.ErrClosed):
		return router.Cancelled
	}
	return router.Errored
}
