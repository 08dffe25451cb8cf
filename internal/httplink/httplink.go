// Package httplink connects a front end to workers that speak HTTP/1.1, with one request at a time on a connection.
// Connections belong to a worker's id, never to its address: a new worker may reuse the address of a removed one.
//
// A link reports to the engine how each call-out and load order ended, and whether the result proves that it never ran:
// a request that was not written completely never arrived completely. Only such a request is ever sent again.
package httplink

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"mallowlanding/internal/engine"
	"mallowlanding/internal/eventloop"
	"mallowlanding/internal/httpconn"
	"mallowlanding/internal/operatorsettings"
	"mallowlanding/router"
)

const (
	rpcPath = "/v2/q/"
	maxBody = 64 << 10 // bytes of a response body; the protocol limits bodies to 16 KiB
	// A connection is not reused within this time after its last response. Responses carry no id, so a stray second
	// copy of a response would be taken for the next request's. Such copies arrive a few milliseconds late; 50 ms is
	// the allowance that the protocol adds to each of its time limits for socket delays.
	reuseDelay        = 50 * time.Millisecond
	maxExtraConns     = 3           // further connections tried for a request that has not been written completely
	idleCheckInterval = time.Second // time between two checks of the idle connections
)

// Options are the settings that all links of a front end share.
type Options struct {
	ConnectTimeout time.Duration
	OrderTimeout   time.Duration // a load order without a response by then has failed
	IdleTimeout    time.Duration // workers close connections idle this long; the front end does so at half of it
	MaxPause       time.Duration // a request decided on before a longer pause of the process is not sent; 0: no limit
	MaxConnections int           // to all workers together, including idle connections
	ReportValues   []string      // names of the values of a load report, as the router's settings spell them, by index
	Dialer         Dialer        // nil: httpconn.Dial
	Log            zerolog.Logger
}

// Dialer opens connections to workers.
type Dialer interface {
	Dial(ctx context.Context, address string, timeout time.Duration) (*httpconn.Conn, error)
}

type tcpDialer struct{}

func (tcpDialer) Dial(ctx context.Context, address string, timeout time.Duration) (*httpconn.Conn, error) {
	return httpconn.Dial(ctx, address, timeout)
}

// LinkSet holds a front end's links. Its methods may only be called in turns of the event loop, that is, on its
// goroutine.
type LinkSet struct {
	options       Options
	loop          *eventloop.Loop
	engine        *engine.Engine
	links         map[string]*Link
	connCount     int // connections that are open or being dialled
	idleCheckedAt time.Time

	// Times by the event loop's clock, read by exchanges: when the last turn began, and when the last turn after a
	// pause of the process began.
	lastTurn, resumedAt atomic.Int64
}

// New returns a LinkSet without links.
func New(loop *eventloop.Loop, e *engine.Engine, o Options) *LinkSet {
	s := &LinkSet{loop: loop, engine: e, links: map[string]*Link{}}
	s.UpdateSettings(o)
	return s
}

// Link sends requests to one worker. Its fields are used on the event loop's goroutine only; exchanges run on their
// own.
type Link struct {
	set       *LinkSet
	name      string
	address   string
	id        router.WorkerID
	idle      []idleConn
	callOuts  map[engine.CallOutID]*exchange
	exchanges map[*exchange]bool // call-outs, orders and checks that have not ended
	removed   bool
}

type idleConn struct {
	conn  *httpconn.Conn
	since time.Time
}

// Add creates a link to the worker at the address, unless there is one; id is the engine's id of the worker.
func (s *LinkSet) Add(name, address string, id router.WorkerID) {
	l := s.links[name]
	if l != nil && l.address == address {
		return
	}
	s.Remove(name)
	l = &Link{set: s, name: name, address: address, id: id, callOuts: map[engine.CallOutID]*exchange{},
		exchanges: map[*exchange]bool{}}
	s.links[name] = l
	s.engine.SetLink(name, l)
}

// Remove removes a link: nothing more is sent on it. Requests in flight may still end or be cancelled. Requests that
// wait for their connection are stopped: a connection that is established late would carry an RPC or a load order past
// the grace of the worker's drain.
func (s *LinkSet) Remove(name string) {
	if l := s.links[name]; l != nil {
		l.removed = true
		delete(s.links, name)
		for x := range l.exchanges {
			x.stopUnsent()
		}
		l.closeIdle(time.Now())
	}
}

// UpdateSettings replaces the options; exchanges that have started keep the old ones.
func (s *LinkSet) UpdateSettings(o Options) {
	if s.options = o; o.Dialer == nil {
		s.options.Dialer = tcpDialer{}
	}
}

// Describe returns the number of call-outs in flight and of idle connections for each link; see router.Router.Describe.
func (s *LinkSet) Describe() string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(s.links)) {
		l := s.links[name]
		fmt.Fprintf(&b, " %d:%d/%d", l.id, len(l.callOuts), len(l.idle))
	}
	return fmt.Sprintf("connections %d of %d;%s", s.connCount, s.options.MaxConnections, b.String())
}

// BeginTurn records pauses of the process and closes connections that have been idle for too long.
func (s *LinkSet) BeginTurn() {
	turnAt := s.loop.Now()
	if s.paused(turnAt, s.options.MaxPause) {
		s.resumedAt.Store(int64(turnAt))
	}
	s.lastTurn.Store(int64(turnAt))
	now := time.Now()
	if now.Sub(s.idleCheckedAt) < idleCheckInterval {
		return
	}
	s.idleCheckedAt = now
	for _, l := range s.links {
		l.closeIdle(now.Add(-s.options.IdleTimeout / 2))
	}
}

// paused reports whether the last turn of the event loop began longer ago than the limit, which means that changes of
// the worker list may not have been received. With a limit of 0 nothing counts as a pause. Any goroutine may call it.
func (s *LinkSet) paused(now router.Time, limit time.Duration) bool {
	last := router.Time(s.lastTurn.Load())
	return limit > 0 && last > 0 && now-last > eventloop.FromDuration(limit)
}

// Close closes all idle connections when the front end stops.
func (s *LinkSet) Close() {
	for _, l := range s.links {
		l.closeIdle(time.Now())
	}
}

// closeIdle closes connections that have been idle since before the given time, and those that can't be reused.
func (l *Link) closeIdle(before time.Time) {
	kept := l.idle[:0]
	for _, c := range l.idle {
		if c.since.Before(before) || !c.conn.Reusable() {
			l.closeConn(c.conn)
			continue
		}
		kept = append(kept, c)
	}
	clear(l.idle[len(kept):])
	l.idle = kept
}

func (l *Link) closeConn(c *httpconn.Conn) {
	c.Close()
	l.set.connCount--
}

// takeIdle removes and returns an idle connection that may be reused, or nil if there is none.
func (l *Link) takeIdle() *httpconn.Conn {
	now := time.Now()
	for i := len(l.idle) - 1; i >= 0; i-- {
		c := l.idle[i]
		if now.Sub(c.since) < reuseDelay {
			continue
		}
		l.idle = append(l.idle[:i], l.idle[i+1:]...)
		if c.conn.Reusable() {
			return c.conn
		}
		l.closeConn(c.conn)
	}
	return nil
}

// makeRoom reports whether one more connection may be opened. It closes idle connections to any worker, the oldest
// first, until there is room.
func (s *LinkSet) makeRoom() bool {
	for s.connCount >= s.options.MaxConnections {
		var oldest *Link
		for _, l := range s.links {
			if len(l.idle) > 0 && (oldest == nil || l.idle[0].since.Before(oldest.idle[0].since)) {
				oldest = l
			}
		}
		if oldest == nil {
			return false
		}
		oldest.closeConn(oldest.idle[0].conn)
		oldest.idle = oldest.idle[1:]
	}
	return true
}

// exchange is one request to a worker, from the moment it is handed to the link until its response or error.
type exchange struct {
	link      *Link
	options   Options
	label     string
	message   []byte
	deadline  time.Time
	decidedAt router.Time    // when the request was handed over, by the event loop's clock
	startBy   router.Time    // its first byte is written by then or never, by the event loop's clock
	onEnd     func(r result) // called in a turn of the event loop
	ctx       context.Context
	cancel    context.CancelFunc

	// State that sendFirstBytes checks and sets under the lock before the first byte is written.
	mu      sync.Mutex
	conn    *httpconn.Conn
	started bool // the first bytes were handed to the socket
	stopped bool // the response is no longer wanted, or the request must not be sent
}

// result is the outcome of an exchange: a response if err is nil.
type result struct {
	status  int
	headers responseHeaders
	body    []byte
	err     error
	local   bool // not sent for a reason that says nothing about the worker: out of descriptors, link removed, cancelled
}

// responseHeaders are the headers of a response that a link uses. A response is kept without the others, of which a
// worker may send very many.
type responseHeaders struct {
	shed, remark, company, meter, slotsUp string
}

func readHeaders(h http.Header) responseHeaders {
	return responseHeaders{shed: h.Get("X-Shed"), remark: h.Get("X-Remark"), company: h.Get("X-Company"), meter: h.Get("X-Meter"),
		slotsUp: h.Get("X-Slots-Up")}
}

// start sends a message on a connection that no other exchange uses. Its first byte is written by startBy, a time of
// the event loop's clock, or never.
func (l *Link) start(label string, message []byte, timeout time.Duration, startBy router.Time, onEnd func(r result)) *exchange {
	x := &exchange{link: l, options: l.set.options, label: label, message: message, deadline: time.Now().Add(timeout),
		decidedAt: l.set.loop.Now(), startBy: startBy, onEnd: onEnd}
	x.ctx, x.cancel = context.WithCancel(context.Background())
	conn := l.takeIdle()
	if conn == nil {
		if l.removed || !l.set.makeRoom() {
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
	for _, localErr := range []error{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, errCancelled} {
		res.local = res.local || errors.Is(err, localErr) // says nothing about the worker
	}
	if err != nil && conn != nil {
		conn.Close()
	}
	x.cancel()
	if ev := x.options.Log.Debug(); ev != nil {
		ev.Str("worker", x.link.name).Str("what", x.label).Int("status", res.status).AnErr("error", err).
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

// Reasons why an exchange ended before its first byte was written.
var (
	errCancelled = errors.New("given up before it began")
	errExpired   = errors.New("too late to begin: nothing proves any more that the worker does not drain")
	errPaused    = errors.New("the process was paused while the connection was made")
)

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
				err = errors.Join(errCancelled, err)
			}
			if isTimeout(err) && x.pausedMeanwhile() {
				err = errors.Join(errPaused, err)
			}
			if err != nil {
				return resp, nil, false, errors.Join(httpconn.ErrNotSent, err)
			}
		}
		var n int
		if n, err = x.sendFirstBytes(conn); err == nil {
			resp, reusable, err = conn.Exchange(x.message[n:], x.deadline, maxBody)
		}
		if !errors.Is(err, httpconn.ErrNotSent) || errors.Is(err, errCancelled) || errors.Is(err, errExpired) || attemptsLeft == 0 {
			return resp, conn, reusable, err
		}
		conn.Close()
		conn = nil
	}
}

// sendFirstBytes is the only place where a message's first byte is written. It first checks that the link has not been
// removed, the request has not been cancelled, and its time is not over. Remove and CancelCallOut take the same lock,
// so either they come first and nothing is sent, or the message was started before them. This matters when a connection
// is established late, after the worker has begun to drain or the client has left.
func (x *exchange) sendFirstBytes(c *httpconn.Conn) (n int, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn = c
	if x.stopped || !time.Now().Before(x.deadline) {
		return 0, errors.Join(httpconn.ErrNotSent, errCancelled)
	}
	// Checked here and not where the request was decided on: the connection may have been established late, and the
	// process may have been paused in between.
	if x.expired() {
		return 0, errors.Join(httpconn.ErrNotSent, errExpired)
	}
	x.started = true
	return c.WriteNow(x.message, x.deadline)
}

// expired reports whether startBy has passed, or the process has been paused since the request was decided on. A
// startBy of math.MaxInt64 never expires.
func (x *exchange) expired() bool {
	if x.startBy == math.MaxInt64 {
		return false
	}
	return x.link.set.loop.Now() > x.startBy || x.pausedMeanwhile()
}

// pausedMeanwhile reports whether the process has been paused since the request was decided on.
func (x *exchange) pausedMeanwhile() bool {
	set := x.link.set
	return set.paused(set.loop.Now(), x.options.MaxPause) || x.decidedAt < router.Time(set.resumedAt.Load())
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// stop closes the connection, which cancels the request at the worker. A request that has not been started is never
// sent.
func (x *exchange) stop() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.stopped = true; x.conn != nil {
		x.conn.Close()
	}
	x.cancel()
}

// stopUnsent cancels a request that has not been started. One that has may still be answered, but is not sent again on
// another connection.
func (x *exchange) stopUnsent() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.stopped = true; !x.started {
		x.cancel()
	}
}

// outcome returns what an error proves about the request.
func (r result) outcome() router.Outcome {
	switch {
	case errors.Is(r.err, errExpired), errors.Is(r.err, errPaused): // says nothing about the worker
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

// Send implements engine.Link.
func (l *Link) Send(id engine.CallOutID, rpc *engine.RPC, timeLeft, startBy router.Time) {
	b := make([]byte, 0, 256+len(rpc.Blob))
	method := "POST "
	if len(rpc.Blob) == 0 {
		method = "GET "
	}
	b = append(append(append(b, method...), rpcPath...), rpc.Method.Name...)
	b = l.appendHost(b)
	b = append(append(b, "\r\nX-Ticket: "...), rpc.ClientRPCID...)
	b = append(append(b, "\r\nX-Ref: "...), rpc.Function...)
	b = strconv.AppendInt(append(b, "\r\nX-Max-Ms: "...), max(1, int64(timeLeft/10)), 10)
	if rpc.Token != "" {
		b = append(append(b, "\r\nX-Nonce: "...), rpc.Token...)
	}
	if len(rpc.Blob) > 0 {
		b = strconv.AppendInt(append(b, "\r\nContent-Length: "...), int64(len(rpc.Blob)), 10)
	}
	b = append(append(b, "\r\n\r\n"...), rpc.Blob...)
	l.callOuts[id] = l.start(rpc.ClientRPCID, b, eventloop.ToDuration(timeLeft), startBy, func(res result) {
		delete(l.callOuts, id)
		if res.err != nil {
			l.set.engine.CallOutEnded(id, l.id, res.outcome(), router.WarmthUnknown, 0, nil, []byte(res.err.Error()), nil)
			return
		}
		o, warmth := parseOutcome(res)
		var body, cause []byte
		if o == router.OK {
			body = res.body
		} else {
			cause = strconv.AppendInt([]byte("worker "+l.name+" answers "), int64(res.status), 10)
		}
		otherRPCs, err := strconv.Atoi(res.headers.company)
		if err != nil || otherRPCs < 0 || otherRPCs > math.MaxInt16 {
			otherRPCs = 0
		}
		l.set.engine.CallOutEnded(id, l.id, o, warmth, otherRPCs, l.set.parseReport(res.headers.meter), cause, body)
	})
}

func (l *Link) appendHost(b []byte) []byte {
	return append(append(b, " HTTP/1.1\r\nHost: "...), l.address...)
}

// parseOutcome returns what a response's status and its X-Shed and X-Remark headers mean.
func parseOutcome(res result) (router.Outcome, router.Warmth) {
	didNotRun := res.headers.shed == "1"
	warmth := router.WarmthUnknown
	switch res.headers.remark {
	case "warm":
		warmth = router.AlreadyWarm
	case "cold":
		warmth = router.StartedLoad
	case "joined":
		warmth = router.JoinedLoad
	case "load_failed":
		warmth = router.LoadFailed
	}
	switch {
	case res.status == http.StatusOK:
		return router.OK, warmth
	case res.status == http.StatusNotFound:
		return router.NotLoaded, warmth
	case res.status == http.StatusServiceUnavailable && didNotRun:
		return router.Full, warmth
	case res.status == http.StatusGatewayTimeout && didNotRun:
		return router.NotSent, warmth
	}
	return router.Errored, warmth
}

// parseReport returns the values of a load report in the order of the settings, or nil if one is missing or invalid.
func (s *LinkSet) parseReport(header string) []float64 {
	if header == "" || len(s.options.ReportValues) == 0 {
		return nil
	}
	values, found := make([]float64, len(s.options.ReportValues)), 0
	for field := range strings.SplitSeq(header, ";") {
		name, value, _ := strings.Cut(field, ":")
		v, err := strconv.ParseFloat(value, 64)
		for i, known := range s.options.ReportValues {
			if err == nil && known == operatorsettings.Translate(name) && !math.IsNaN(v) && !math.IsInf(v, 0) {
				values[i] = v
				found++
			}
		}
	}
	if found < len(values) {
		return nil
	}
	return values
}

// CancelCallOut implements engine.Link.
func (l *Link) CancelCallOut(id engine.CallOutID) {
	if x := l.callOuts[id]; x != nil {
		x.stop()
	}
}

// CancelLoadOrder implements engine.Link. It does nothing: a load order stays valid after its connection has closed, so
// the worker can't be notified.
func (l *Link) CancelLoadOrder(engine.OrderID) {}

// OrderLoad implements engine.Link.
func (l *Link) OrderLoad(id engine.OrderID, function string, _ engine.FunctionSpec, copies int, startBy router.Time) {
	b := append(append([]byte("PUT "+rpcPath), function...), '/')
	b = append(l.appendHost(strconv.AppendInt(b, int64(copies), 10)), "\r\n\r\n"...)
	l.start("order of "+function, b, l.set.options.OrderTimeout, startBy, func(res result) {
		if res.err != nil {
			l.set.engine.LoadOrderEnded(id, res.outcome(), 0)
			return
		}
		n, err := strconv.Atoi(res.headers.slotsUp)
		if err != nil || n < 0 || n > math.MaxInt16 {
			n = 0
		}
		o, _ := parseOutcome(res)
		l.set.engine.LoadOrderEnded(id, o, n)
	})
}

// Check implements engine.Link.
func (l *Link) Check(id engine.CheckID) {
	b := append(l.appendHost([]byte("GET /-/gauges")), "\r\n\r\n"...)
	l.start("check", b, l.set.options.ConnectTimeout, math.MaxInt64, func(res result) {
		switch {
		case res.err != nil:
			l.set.engine.CheckEnded(id, res.outcome(), nil)
		case res.status != http.StatusOK:
			l.set.engine.CheckEnded(id, router.Errored, nil)
		default:
			l.set.engine.CheckEnded(id, router.OK, l.set.parseReport(res.headers.meter))
		}
	})
}
