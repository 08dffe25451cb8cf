// Package httplink is a front end's side towards workers that speak HTTP/1.1, one message at a time on a connection.
// Connections belong to a worker's id, never to its address: a new worker may have that of one that is gone.
//
// A link tells the engine how each call-out and order ended, and whether that proves that it never ran: what did not
// leave whole never arrived whole. It sends nothing twice, but for what did not leave whole.
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
	path     = "/v2/q/"
	bodyMost = 64 << 10 // of an answer; the protocol's bodies have 16 KiB
	// A used connection rests, so that what comes behind its answer meets no other message: nothing in an answer tells
	// whose it is. A second copy comes some milliseconds late; 50 ms are what the protocol gives each time limit for the
	// sockets' sake.
	rest      = 50 * time.Millisecond
	connsMost = 3           // more connections that a message is tried on while it has not left whole
	look      = time.Second // how often idle connections are looked at
)

// Options are the settings of all links of a front end.
type Options struct {
	ConnectTimeout time.Duration
	OrderTimeout   time.Duration // an order without an answer by then is given up
	IdleTimeout    time.Duration // workers close connections idle for so long; we do in half that time
	MaxPause       time.Duration // nothing that was decided before a longer pause of the process begins; 0: pauses do not matter
	MaxConnections int           // to all workers at once, idle ones included
	ReportValues   []string      // the figures of a load report, in our words, by their places
	Dialer         Dialer        // nil: hop's
	Log            zerolog.Logger
}

// Dialer makes connections to workers.
type Dialer interface {
	Dial(ctx context.Context, address string, within time.Duration) (*httpconn.Conn, error)
}

type dialer struct{}

func (dialer) Dial(ctx context.Context, address string, within time.Duration) (*httpconn.Conn, error) {
	return httpconn.Dial(ctx, address, within)
}

// LinkSet has a front end's links. Its methods are for turns of the loop alone.
type LinkSet struct {
	o      Options
	loop   *eventloop.Loop
	engine *engine.Engine
	links  map[string]*Link
	conns  int // connections that stand or are being made
	looked time.Time

	// By the loop's clock, for exchanges: when the last turn began, and the last one after a pause.
	lastTurn, wokeAt atomic.Int64
}

// New makes a set.
func New(loop *eventloop.Loop, e *engine.Engine, o Options) *LinkSet {
	s := &LinkSet{loop: loop, engine: e, links: map[string]*Link{}}
	s.UpdateSettings(o)
	return s
}

// Link is the way to one worker. All but what exchanges do belongs to the loop's goroutine.
type Link struct {
	s       *LinkSet
	name    string
	address string
	id      router.WorkerID
	idle    []idle
	out     map[engine.CallOutID]*exchange
	all     map[*exchange]bool // call-outs, orders and checks that have not ended
	gone    bool
}

type idle struct {
	conn  *httpconn.Conn
	since time.Time
}

// Add has a link to the worker at an address; id is the worker's at the engine.
func (s *LinkSet) Add(name, address string, id router.WorkerID) {
	l := s.links[name]
	if l != nil && l.address == address {
		return
	}
	s.Remove(name)
	l = &Link{s: s, name: name, address: address, id: id, out: map[engine.CallOutID]*exchange{},
		all: map[*exchange]bool{}}
	s.links[name] = l
	s.engine.SetLink(name, l)
}

// Remove lets go of a link: nothing more is sent on it; what is out may still end, or be called off. What waits for its
// connection is given up: one that came up late would carry an RPC or an order past the grace of the worker's drain.
func (s *LinkSet) Remove(name string) {
	if l := s.links[name]; l != nil {
		l.gone = true
		delete(s.links, name)
		for x := range l.all {
			x.unwant()
		}
		l.closeIdle(time.Now())
	}
}

// UpdateSettings takes new settings.
func (s *LinkSet) UpdateSettings(o Options) {
	if s.o = o; o.Dialer == nil {
		s.o.Dialer = dialer{}
	}
}

// Describe tells for each link what is out on it and how many connections are idle; see router.Router's.
func (s *LinkSet) Describe() string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(s.links)) {
		l := s.links[name]
		fmt.Fprintf(&b, " %d:%d/%d", l.id, len(l.out), len(l.idle))
	}
	return fmt.Sprintf("connections %d of %d;%s", s.conns, s.o.MaxConnections, b.String())
}

// BeginTurn notes pauses of the process, and looks after idle connections.
func (s *LinkSet) BeginTurn() {
	turnAt := s.loop.Now()
	if s.paused(turnAt, s.o.MaxPause) {
		s.wokeAt.Store(int64(turnAt))
	}
	s.lastTurn.Store(int64(turnAt))
	now := time.Now()
	if now.Sub(s.looked) < look {
		return
	}
	s.looked = now
	for _, l := range s.links {
		l.closeIdle(now.Add(-s.o.IdleTimeout / 2))
	}
}

// paused: no turn came for longer than most; with 0 none counts as a pause. Nobody knows what the list of workers has told
// meanwhile. Any goroutine may ask.
func (s *LinkSet) paused(now router.Time, most time.Duration) bool {
	last := router.Time(s.lastTurn.Load())
	return most > 0 && last > 0 && now-last > eventloop.FromDuration(most)
}

// Close closes all idle connections: the front end ends.
func (s *LinkSet) Close() {
	for _, l := range s.links {
		l.closeIdle(time.Now())
	}
}

// closeIdle closes connections idle since before a time.
func (l *Link) closeIdle(before time.Time) {
	kept := l.idle[:0]
	for _, c := range l.idle {
		if c.since.Before(before) || !c.conn.Reusable() {
			l.drop(c.conn)
			continue
		}
		kept = append(kept, c)
	}
	clear(l.idle[len(kept):])
	l.idle = kept
}

func (l *Link) drop(c *httpconn.Conn) {
	c.Close()
	l.s.conns--
}

// take gives an idle connection that may be used again; nil: there is none.
func (l *Link) take() *httpconn.Conn {
	now := time.Now()
	for i := len(l.idle) - 1; i >= 0; i-- {
		c := l.idle[i]
		if now.Sub(c.since) < rest {
			continue
		}
		l.idle = append(l.idle[:i], l.idle[i+1:]...)
		if c.conn.Reusable() {
			return c.conn
		}
		l.drop(c.conn)
	}
	return nil
}

// room tells whether one more connection may be made; idle ones of any worker give way.
func (s *LinkSet) room() bool {
	for s.conns >= s.o.MaxConnections {
		var oldest *Link
		for _, l := range s.links {
			if len(l.idle) > 0 && (oldest == nil || l.idle[0].since.Before(oldest.idle[0].since)) {
				oldest = l
			}
		}
		if oldest == nil {
			return false
		}
		oldest.drop(oldest.idle[0].conn)
		oldest.idle = oldest.idle[1:]
	}
	return true
}

// exchange is one message that is out.
type exchange struct {
	l       *Link
	o       Options
	what    string
	message []byte
	by      time.Time
	decided router.Time // by the loop's clock, as beginBy
	beginBy router.Time // by the loop's clock: its first byte goes out by then, or never
	ended   func(e end) // in a turn
	ctx     context.Context
	cancel  context.CancelFunc

	// The last question before the first byte goes out, and the answers to it: see begin.
	mu    sync.Mutex
	conn  *httpconn.Conn
	begun bool // a first byte was offered
	over  bool // nobody waits for it any more, or it must not begin
}

// end is how an exchange ended; Err nil: with an answer.
type end struct {
	httpconn.Answer
	err   error
	local bool // it never left: for lack of descriptors here, because the worker is gone, or nobody waited any more
}

// start sends a message on a connection of its own. It begins to leave by a time of the loop's clock, or never.
func (l *Link) start(what string, message []byte, within time.Duration, beginBy router.Time, ended func(e end)) *exchange {
	x := &exchange{l: l, o: l.s.o, what: what, message: message, by: time.Now().Add(within),
		decided: l.s.loop.Now(), beginBy: beginBy, ended: ended}
	x.ctx, x.cancel = context.WithCancel(context.Background())
	conn := l.take()
	if conn == nil {
		if l.gone || !l.s.room() {
			l.s.loop.Post(func() { ended(end{err: httpconn.ErrNotSent, local: true}) })
			return x
		}
		l.s.conns++
	}
	l.all[x] = true
	go x.run(conn)
	return x
}

// run has the exchange. What did not leave whole is sent on a new connection, a few times.
func (x *exchange) run(conn *httpconn.Conn) {
	began := time.Now()
	a, conn, again, err := x.try(conn)
	e := end{Answer: a, err: err}
	for _, ours := range []error{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, errUnwanted} {
		e.local = e.local || errors.Is(err, ours) // it tells nothing of the worker
	}
	if err != nil && conn != nil {
		conn.Close()
	}
	x.cancel()
	if ev := x.o.Log.Debug(); ev != nil {
		ev.Str("worker", x.l.name).Str("what", x.what).Int("status", a.Status).AnErr("error", err).
			Str("remark", a.Header.Get("X-Remark")).Str("company", a.Header.Get("X-Company")).Str("meter", a.Header.Get("X-Meter")).
			Dur("took", time.Since(began)).Msg("exchange")
	}
	x.l.s.loop.Post(func() {
		l := x.l
		delete(l.all, x)
		if err == nil && again && !l.gone {
			l.idle = append(l.idle, idle{conn, time.Now()})
		} else {
			if conn != nil {
				conn.Close()
			}
			l.s.conns--
		}
		x.ended(e)
	})
}

// Reasons for which an exchange ended before its first byte went out.
var (
	errUnwanted = errors.New("given up before it began")
	errLapsed   = errors.New("too late to begin: nothing proves any more that the worker does not drain")
)

func (x *exchange) try(conn *httpconn.Conn) (a httpconn.Answer, used *httpconn.Conn, again bool, err error) {
	for left := connsMost; ; left-- {
		if conn == nil {
			conn, err = x.o.Dialer.Dial(x.ctx, x.l.address, min(x.o.ConnectTimeout, time.Until(x.by)))
			if errors.Is(err, syscall.ECONNRESET) && left > 0 { // it came up, and broke
				continue
			}
			if err != nil && x.ctx.Err() != nil {
				err = errors.Join(errUnwanted, err)
			}
			if err != nil {
				return a, nil, false, errors.Join(httpconn.ErrNotSent, err)
			}
		}
		var n int
		if n, err = x.begin(conn); err == nil {
			a, again, err = conn.Exchange(x.message[n:], x.by, bodyMost)
		}
		if !errors.Is(err, httpconn.ErrNotSent) || errors.Is(err, errUnwanted) || errors.Is(err, errLapsed) || left == 0 {
			return a, conn, again, err
		}
		conn.Close()
		conn = nil
	}
}

// begin is the one place where a message's first byte goes out. It asks for the last time whether it still may: its
// worker still wanted, its client still there, its time not up. Unwant and giving up take the same lock: either they come
// first and nothing is sent, or the message had begun before them. It guards against connections that come up late, when
// the worker drains or the client has gone meanwhile.
func (x *exchange) begin(c *httpconn.Conn) (n int, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn = c
	if x.over || !time.Now().Before(x.by) {
		return 0, errors.Join(httpconn.ErrNotSent, errUnwanted)
	}
	// Here and not where it was decided: a connection may come up late, and the process may have stood still since.
	if x.lapsed() {
		return 0, errors.Join(httpconn.ErrNotSent, errLapsed)
	}
	x.begun = true
	return c.WriteNow(x.message, x.by)
}

// lapsed: it is too late to begin, or the process stood still since that was decided. What may begin at any time does.
func (x *exchange) lapsed() bool {
	if x.beginBy == math.MaxInt64 {
		return false
	}
	now := x.l.s.loop.Now()
	return now > x.beginBy || x.l.s.paused(now, x.o.MaxPause) || x.decided < router.Time(x.l.s.wokeAt.Load())
}

// giveUp closes the connection: that is how a worker is told. Nothing begins any more.
func (x *exchange) giveUp() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.over = true; x.conn != nil {
		x.conn.Close()
	}
	x.cancel()
}

// unwant gives up what has not begun; what has may still be answered, but is not tried on another connection.
func (x *exchange) unwant() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.over = true; !x.begun {
		x.cancel()
	}
}

// outcome is what an end without an answer proves.
func (e end) outcome() router.Outcome {
	var op net.Error
	switch {
	case errors.Is(e.err, errLapsed):
		return router.NotSent
	case e.local, errors.Is(e.err, httpconn.ErrNotSent) && errors.Is(e.err, syscall.ECONNRESET): // connections came up, and broke
		return router.Full
	case errors.Is(e.err, httpconn.ErrNotSent):
		return router.ConnectFailed
	case errors.Is(e.err, httpconn.ErrBadAnswer): // it tells of the way, not of the function; it has run
		return router.Reset
	case errors.As(e.err, &op) && op.Timeout():
		return router.TimedOut
	case errors.Is(e.err, io.EOF), errors.Is(e.err, syscall.ECONNRESET), errors.Is(e.err, syscall.EPIPE):
		return router.Reset
	case errors.Is(e.err, net.ErrClosed):
		return router.Cancelled
	}
	return router.Errored
}

// Send implements engine.Link.
func (l *Link) Send(id engine.CallOutID, p *engine.RPC, left, by router.Time) {
	b := make([]byte, 0, 256+len(p.Blob))
	verb := "POST "
	if len(p.Blob) == 0 {
		verb = "GET "
	}
	b = append(append(append(b, verb...), path...), p.Method.Name...)
	b = l.host(b)
	b = append(append(b, "\r\nX-Ticket: "...), p.ClientRPCID...)
	b = append(append(b, "\r\nX-Ref: "...), p.Function...)
	b = strconv.AppendInt(append(b, "\r\nX-Max-Ms: "...), max(1, int64(left/10)), 10)
	if p.Token != "" {
		b = append(append(b, "\r\nX-Nonce: "...), p.Token...)
	}
	if len(p.Blob) > 0 {
		b = strconv.AppendInt(append(b, "\r\nContent-Length: "...), int64(len(p.Blob)), 10)
	}
	b = append(append(b, "\r\n\r\n"...), p.Blob...)
	l.out[id] = l.start(p.ClientRPCID, b, eventloop.ToDuration(left), by, func(e end) {
		delete(l.out, id)
		if e.err != nil {
			l.s.engine.CallOutEnded(id, l.id, e.outcome(), router.WarmthUnknown, 0, nil, []byte(e.err.Error()), nil)
			return
		}
		o, warmth := answered(e)
		var body, cause []byte
		if o == router.OK {
			body = e.Body
		} else {
			cause = strconv.AppendInt([]byte("worker "+l.name+" answers "), int64(e.Status), 10)
		}
		crowd, err := strconv.Atoi(e.Header.Get("X-Company"))
		if err != nil || crowd < 0 || crowd > math.MaxInt16 {
			crowd = 0
		}
		l.s.engine.CallOutEnded(id, l.id, o, warmth, crowd, l.s.report(e.Header.Get("X-Meter")), cause, body)
	})
}

func (l *Link) host(b []byte) []byte {
	return append(append(b, " HTTP/1.1\r\nHost: "...), l.address...)
}

// answered tells what an answer's status and note mean.
func answered(e end) (router.Outcome, router.Warmth) {
	notRun := e.Header.Get("X-Shed") == "1"
	warmth := router.WarmthUnknown
	switch e.Header.Get("X-Remark") {
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
	case e.Status == http.StatusOK:
		return router.OK, warmth
	case e.Status == http.StatusNotFound:
		return router.NotLoaded, warmth
	case e.Status == http.StatusServiceUnavailable && notRun:
		return router.Full, warmth
	case e.Status == http.StatusGatewayTimeout && notRun:
		return router.NotSent, warmth
	}
	return router.Errored, warmth
}

// report reads a load report: the figures of the settings, by their places; nil where one can't be read.
func (s *LinkSet) report(meter string) []float64 {
	if meter == "" || len(s.o.ReportValues) == 0 {
		return nil
	}
	out, found := make([]float64, len(s.o.ReportValues)), 0
	for field := range strings.SplitSeq(meter, ";") {
		name, value, _ := strings.Cut(field, ":")
		v, err := strconv.ParseFloat(value, 64)
		for i, known := range s.o.ReportValues {
			if err == nil && known == operatorsettings.Translate(name) && !math.IsNaN(v) && !math.IsInf(v, 0) {
				out[i] = v
				found++
			}
		}
	}
	if found < len(out) {
		return nil
	}
	return out
}

// CancelCallOut implements engine.Link.
func (l *Link) CancelCallOut(id engine.CallOutID) {
	if x := l.out[id]; x != nil {
		x.giveUp()
	}
}

// CancelLoadOrder implements engine.Link: an order stands even if its connection ends, so there is nobody to tell.
func (l *Link) CancelLoadOrder(engine.OrderID) {}

// OrderLoad implements engine.Link.
func (l *Link) OrderLoad(id engine.OrderID, function string, _ engine.FunctionSpec, copies int, by router.Time) {
	b := append(append([]byte("PUT "+path), function...), '/')
	b = append(l.host(strconv.AppendInt(b, int64(copies), 10)), "\r\n\r\n"...)
	l.start("order of "+function, b, l.s.o.OrderTimeout, by, func(e end) {
		if e.err != nil {
			l.s.engine.LoadOrderEnded(id, e.outcome(), 0)
			return
		}
		n, err := strconv.Atoi(e.Header.Get("X-Slots-Up"))
		if err != nil || n < 0 || n > math.MaxInt16 {
			n = 0
		}
		o, _ := answered(e)
		l.s.engine.LoadOrderEnded(id, o, n)
	})
}

// Check implements engine.Link.
func (l *Link) Check(id engine.CheckID) {
	b := append(l.host([]byte("GET /-/gauges")), "\r\n\r\n"...)
	l.start("check", b, l.s.o.ConnectTimeout, math.MaxInt64, func(e end) {
		switch {
		case e.err != nil:
			l.s.engine.CheckEnded(id, e.outcome(), nil)
		case e.Status != http.StatusOK:
			l.s.engine.CheckEnded(id, router.Errored, nil)
		default:
			l.s.engine.CheckEnded(id, router.OK, l.s.report(e.Header.Get("X-Meter")))
		}
	})
}
