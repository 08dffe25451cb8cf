// Package workerlink connects a front end to its workers: one connection to each, JSON-RPC 2.0 in both directions, as
// specified in docs/protocol.md. A link reports to the engine how each call-out ended, and for a call-out that was not
// answered, whether it may have run: it never ran if none of its bytes was written to the socket, and may have run
// otherwise.
//
// The files: set.go has the links of a front end, link.go what the engine asks of one, batches.go the batches of
// call-outs, messages.go what is sent, responses.go what is received, stream.go the output of one connection, and
// conn.go its input. Which message is written when is decided by package outbound.
package workerlink

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"mallowlanding/internal/batch"
	"mallowlanding/internal/engine"
	"mallowlanding/internal/eventloop"
	"mallowlanding/internal/outbound"
	"mallowlanding/router"
)

// Limits are the options that may change while the links exist.
type Limits struct {
	// ConnectTimeout bounds connecting to a worker, then the wait for its client.ready, and the time for which a request
	// waits for its first byte to be written. A worker that exceeds it counts as unreachable, or as too slow a reader.
	ConnectTimeout time.Duration
	MaxPause       time.Duration // a request decided on before a longer pause of the process is not sent; 0: no limit
}

// Options configure all links of a front end.
type Options struct {
	FrontEnd string
	Limits
	ValueBytes int // maximum size of one JSON value from a worker
	// QueuedBytes bounds the unsent bytes for a worker that reads slowly. Above it, new requests end as router.Full.
	QueuedBytes int
	RedialMin   time.Duration                                  // first pause before reconnecting; it doubles
	RedialMax   time.Duration                                  // longest pause
	WrapLink    func(worker string, l engine.Link) engine.Link // replaces the link given to the engine; nil: no change
	Log         zerolog.Logger
}

// Set is the set of a front end's links. Its methods, except Wait, must be called in a turn of the event loop.
type Set struct {
	opts                Options
	loop                *eventloop.Loop
	engine              *engine.Engine
	links               map[string]*Link
	group               errgroup.Group
	ctx                 context.Context
	unwantedRestTimeout time.Duration // see the constant
	connectTimeout      atomic.Int64  // in ns; see Limits
	pauses              outbound.PauseDetector
	now                 router.Time
	toFlush             []*Link // requests or notifications were queued on them in this turn of the event loop
	waiting             []*Link // requests on them wait for a connection or for the worker to read

	batches *batch.Batcher[batchKey, engine.CallOutID]
	batched map[engine.CallOutID]batchedCallOut // in batches that are not due
}

// New returns an empty set whose links exist until the context ends.
func New(ctx context.Context, loop *eventloop.Loop, e *engine.Engine, opts Options) *Set {
	s := &Set{opts: opts, loop: loop, engine: e, links: map[string]*Link{}, ctx: ctx,
		unwantedRestTimeout: unwantedRestTimeout,
		batches:             batch.New[batchKey, engine.CallOutID](), batched: map[engine.CallOutID]batchedCallOut{}}
	s.UpdateLimits(opts.Limits)
	return s
}

// UpdateLimits replaces the limits; connections that are being made and requests that wait keep the old connect timeout.
func (s *Set) UpdateLimits(limits Limits) {
	s.connectTimeout.Store(int64(limits.ConnectTimeout))
	s.pauses.SetLimit(eventloop.FromDuration(limits.MaxPause))
}

// connectTime returns the connect timeout. Any goroutine may call it.
func (s *Set) connectTime() time.Duration { return time.Duration(s.connectTimeout.Load()) }

// Wait returns when the goroutines of all links have ended. Call it after the context has ended.
func (s *Set) Wait() { _ = s.group.Wait() }

// Add adds a link to the worker, if there is none to this socket, and keeps it connected. id is the engine's id of the
// worker.
func (s *Set) Add(name, socket string, id router.WorkerID) {
	l := s.links[name]
	if l != nil && l.socket == socket && l.ctx.Err() == nil {
		l.wanted = true
		return
	}
	if l != nil {
		l.dropUnsent(outbound.ErrWithdrawn)
		l.cancel()
	}
	l = newLink(s, name, socket, id)
	s.links[name] = l
	s.engine.SetLink(name, s.wrap(l))
	s.group.Go(func() error { l.run(); return nil })
}

func (s *Set) wrap(l *Link) engine.Link {
	if s.opts.WrapLink != nil {
		return s.opts.WrapLink(l.name, l)
	}
	return l
}

// Drain has nothing sent to a worker that was decided on before it was known to drain. Requests that it has are still
// answered.
func (s *Set) Drain(name string) {
	if l := s.links[name]; l != nil {
		l.dropUnsent(outbound.ErrWithdrawn)
	}
}

// Remove has nothing more sent on a link, and closes it as soon as no request is in flight on it.
func (s *Set) Remove(name string) {
	if l := s.links[name]; l != nil {
		l.wanted = false
		l.dropUnsent(outbound.ErrWithdrawn)
		l.closeIfIdle()
	}
}

// BeginTurn sets the time of a turn of the event loop.
func (s *Set) BeginTurn(now router.Time) {
	s.now = now
	s.pauses.BeginTurn(now)
}

// Expire ends the requests that have waited for too long. Call it in each turn of the event loop, before the engine's
// EndTurn.
func (s *Set) Expire() {
	s.waiting = slices.DeleteFunc(s.waiting, func(l *Link) bool { return !l.expire() })
}

// NextDue returns when a batch is due to be sent, or a request has waited for too long; false: there is none.
func (s *Set) NextDue() (due router.Time, ok bool) {
	due, ok = s.batches.NextDue()
	for _, l := range s.waiting {
		if expiry, expires := l.out.nextExpiry(); expires && (!ok || expiry < due) {
			due, ok = expiry, true
		}
	}
	return due, ok
}

// Flush sends what was queued in this turn of the event loop. Call it at the end of the turn.
func (s *Set) Flush() {
	for i, l := range s.toFlush {
		l.flush()
		s.toFlush[i] = nil
	}
	s.toFlush = s.toFlush[:0]
}
