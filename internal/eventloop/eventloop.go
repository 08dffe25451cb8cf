// Package eventloop provides an event loop and timers for state machines. Loop runs all events of a state machine on
// one goroutine, in turns: one turn handles every event that arrived since the last one.
//
// Timers has no clock of its own, so that the same state machine runs on the real clock, driven by Loop, and on the
// clock of a simulation.
package eventloop

import (
	"container/heap"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"mallowlanding/router"
)

// Unit is the unit of router.Time.
const Unit = 100 * time.Microsecond

// startTime is the reading of a loop's clock at its start. It is large enough that events long before the start of the
// process have a time above 0.
const startTime = router.Time(1e10)

// FromDuration converts a duration to router.Time, rounded towards zero.
func FromDuration(d time.Duration) router.Time { return router.Time(d / Unit) }

// ToDuration is the inverse of FromDuration.
func ToDuration(t router.Time) time.Duration { return time.Duration(t) * Unit }

// Timer calls a function at a given time. The zero value is a timer that is not set.
type Timer struct {
	due     router.Time
	seq     uint64
	heapPos int // index in the heap + 1; 0: not set
	run     func(now router.Time)
}

// Timers is a set of timers. Timers due at the same time fire in the order in which they were set.
type Timers struct {
	heap    timerHeap
	lastSeq uint64
}

// Set has run called at the time due. A timer that is already set is changed.
func (ts *Timers) Set(t *Timer, due router.Time, run func(now router.Time)) {
	ts.lastSeq++
	t.due, t.seq, t.run = due, ts.lastSeq, run
	if t.heapPos > 0 {
		heap.Fix(&ts.heap, t.heapPos-1)
		return
	}
	heap.Push(&ts.heap, t)
}

// Stop unsets a timer. It does nothing if the timer is not set.
func (ts *Timers) Stop(t *Timer) {
	if t.heapPos > 0 {
		heap.Remove(&ts.heap, t.heapPos-1)
		t.run = nil
	}
}

// NextDue returns when the next timer is due; false: no timer is set.
func (ts *Timers) NextDue() (router.Time, bool) {
	if len(ts.heap) == 0 {
		return 0, false
	}
	return ts.heap[0].due, true
}

// Fire calls the functions of all timers due by now, including timers that those calls set for now or earlier.
func (ts *Timers) Fire(now router.Time) {
	for len(ts.heap) > 0 && ts.heap[0].due <= now {
		t := heap.Pop(&ts.heap).(*Timer)
		run := t.run
		t.run = nil
		run(now)
	}
}

// timerHeap implements heap.Interface, ordered by due time, then by the order of setting.
type timerHeap []*Timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].due < h[j].due || h[i].due == h[j].due && h[i].seq < h[j].seq
}
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapPos, h[j].heapPos = i+1, j+1
}
func (h *timerHeap) Push(x any) {
	t := x.(*Timer)
	*h = append(*h, t)
	t.heapPos = len(*h)
}
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h, t.heapPos = old[:len(old)-1], 0
	return t
}

// Handler is a state machine driven by a Loop. All its methods are called on the loop's goroutine.
type Handler interface {
	BeginTurn(now router.Time)    // begins a turn; the events follow
	EndTurn()                     // ends a turn after its events; runs the timers that are due
	NextDue() (router.Time, bool) // when a turn is needed even if no event arrives; false: never
}

// EventsHandler is a Handler that gets events from elsewhere, too.
type EventsHandler interface {
	// BeforeEvents is called before a turn takes its events: what came elsewhere until then is not older than events that
	// the turn leaves to the next one.
	BeforeEvents()
}

// Loop runs the turns of a Handler by the real clock.
type Loop struct {
	start       time.Time
	mu          sync.Mutex
	queue       []func()
	stopped     bool
	wake        chan struct{}
	minInterval atomic.Int64 // ns
	queuedSince time.Time    // when the first event of the queue was posted; guarded by mu

	load Load // since the last call of TakeLoad; belongs to the goroutine of Run
}

// Load is the largest backlog of a loop in a period.
type Load struct {
	Events int           // in one turn
	Delay  time.Duration // from the posting of an event to the turn that handles it
	Turn   time.Duration // duration of a turn
}

// TakeLoad returns the load since the last call and begins a new period. It must be called in a turn.
func (l *Loop) TakeLoad() Load {
	load := l.load
	l.load = Load{}
	return load
}

// addTurn records a turn that began at start and handled events, of which the first was posted at queuedSince.
func (l *Loop) addTurn(start, queuedSince time.Time, events int) {
	l.load.Events = max(l.load.Events, events)
	l.load.Turn = max(l.load.Turn, time.Since(start))
	if events > 0 {
		l.load.Delay = max(l.load.Delay, start.Sub(queuedSince))
	}
}

// NewLoop makes a loop and starts its clock.
func NewLoop() *Loop { return &Loop{start: time.Now(), wake: make(chan struct{}, 1)} }

// SetMinInterval sets the least time between the starts of two turns. Under load each turn then handles more events, so
// that the fixed cost of a turn is paid less often. Any goroutine may call it.
func (l *Loop) SetMinInterval(d time.Duration) { l.minInterval.Store(int64(d)) }

// Now reads the loop's clock. Any goroutine may call it.
func (l *Loop) Now() router.Time { return startTime + FromDuration(time.Since(l.start)) }

// Post has f called in the next turn. It does not block, and any goroutine may call it. It returns false if the loop
// has ended and f will never be called.
func (l *Loop) Post(f func()) bool {
	l.mu.Lock()
	if l.stopped {
		l.mu.Unlock()
		return false
	}
	l.queue = append(l.queue, f)
	wasEmpty := len(l.queue) == 1
	if wasEmpty {
		l.queuedSince = time.Now()
	}
	l.mu.Unlock()
	if wasEmpty {
		l.Wake()
	}
	return true
}

// Wake has a turn begin soon. Any goroutine may call it.
func (l *Loop) Wake() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run runs h until the context is done. Events posted before then are still handled.
func (l *Loop) Run(ctx context.Context, h Handler) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var reusable []func()
	var lastTurn time.Time
	for {
		if wait := time.Duration(l.minInterval.Load()) - time.Since(lastTurn); wait > 0 && !lastTurn.IsZero() {
			time.Sleep(wait)
		}
		lastTurn = time.Now()
		if before, ok := h.(EventsHandler); ok {
			before.BeforeEvents()
		}
		l.mu.Lock()
		events, queuedSince := l.queue, l.queuedSince
		l.queue = reusable[:0]
		stopping := ctx.Err() != nil
		l.stopped = stopping
		l.mu.Unlock()
		h.BeginTurn(l.Now())
		for i, f := range events {
			f()
			events[i] = nil
		}
		h.EndTurn()
		l.addTurn(lastTurn, queuedSince, len(events))
		reusable = events
		if stopping {
			return
		}
		wait := time.Hour
		if due, ok := h.NextDue(); ok {
			wait = max(0, ToDuration(due-startTime)-time.Since(l.start))
		}
		timer.Reset(wait)
		select {
		case <-l.wake:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
}
