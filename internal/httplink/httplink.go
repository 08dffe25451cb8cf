// Package httplink connects a front end to workers that speak HTTP/1.1, with one request at a time on a connection.
// Connections belong to a worker's id, never to its address: a new worker may reuse the address of a removed one.
//
// A link reports to the engine how each call-out and load order ended, and whether the result proves that it never ran:
// a request that was not written completely never arrived completely. Only such a request is ever sent again.
package httplink

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"mallowlanding/internal/engine"
	"mallowlanding/internal/eventloop"
	"mallowlanding/internal/httpconn"
	"mallowlanding/internal/outbound"
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
	pauses        outbound.PauseDetector
}

// New returns a LinkSet without links.
func New(loop *eventloop.Loop, e *engine.Engine, o Options) *LinkSet {
	s := &LinkSet{loop: loop, engine: e, links: map[string]*Link{}}
	s.UpdateSettings(o)
	return s
}

// Add creates a link to the worker at the address, unless there is one; id is the engine's id of the worker.
func (s *LinkSet) Add(name, address string, id router.WorkerID) {
	l := s.links[name]
	if l != nil && l.address == address {
		return
	}
	s.Remove(name)
	l = &Link{set: s, name: name, address: address, id: id, callOuts: map[engine.CallOutID]*exchange{},
		orders: map[engine.OrderID]*exchange{}, exchanges: map[*exchange]bool{}}
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

// UpdateSettings replaces the options; exchanges that have started keep the old ones, except MaxPause.
func (s *LinkSet) UpdateSettings(o Options) {
	s.pauses.SetLimit(eventloop.FromDuration(o.MaxPause))
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
	s.pauses.BeginTurn(s.loop.Now())
	now := time.Now()
	if now.Sub(s.idleCheckedAt) < idleCheckInterval {
		return
	}
	s.idleCheckedAt = now
	for _, l := range s.links {
		l.closeIdle(now.Add(-s.options.IdleTimeout / 2))
	}
}

// Close closes all idle connections when the front end stops.
func (s *LinkSet) Close() {
	for _, l := range s.links {
		l.closeIdle(time.Now())
	}
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
