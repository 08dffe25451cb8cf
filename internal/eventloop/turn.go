// Package eventloop gives state machines their turns: timers without a clock of their own, and a loop that hands one
// goroutine all that came in since its last turn.
//
// A state machine that takes its time from Timers runs under any clock: Loop drives it by the real one, a
// simulation by its own.
package eventloop

import (
	"container/heap"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"mallowlanding/router"
)

// Unit is the module's unit of time.
const Unit = 100 * time.Microsecond

// epoch is where the loops' clocks begin: late enough that what started long before the process has a time above 0.
const epoch = router.Time(1e10)

// FromDuration turns a duration into the module's units, cut to whole ones.
func FromDuration(d time.Duration) router.Time { return router.Time(d / Unit) }

// ToDuration is the inverse of Span.
func ToDuration(t router.Time) time.Duration { return time.Duration(t) * Unit }

// Timer is one thing to do at a time. The zero value is not set.
type Timer struct {
	due   router.Time
	order uint64
	at    int // place in the heap + 1; 0: not set
	do    func(now router.Time)
}

// Timers hold what is due when. Of those due at one time the first set comes first.
type Timers struct {
	heap  timerHeap
	order uint64
}

// Set has do done at due; a timer already set is moved.
func (ts *Timers) Set(t *Timer, due router.Time, do func(now router.Time)) {
	ts.order++
	t.due, t.order, t.do = due, ts.order, do
	if t.at > 0 {
		heap.Fix(&ts.heap, t.at-1)
		return
	}
	heap.Push(&ts.heap, t)
}

// Stop takes a timer back; one that is not set is left alone.
func (ts *Timers) Stop(t *Timer) {
	if t.at > 0 {
		heap.Remove(&ts.heap, t.at-1)
		t.do = nil
	}
}

// NextDue tells when the next timer is due.
func (ts *Timers) NextDue() (router.Time, bool) {
	if len(ts.heap) == 0 {
		return 0, false
	}
	return ts.heap[0].due, true
}

// Fire does all that is due by now, and what that makes due at once.
func (ts *Timers) Fire(now router.Time) {
	for len(ts.heap) > 0 && ts.heap[0].due <= now {
		t := heap.Pop(&ts.heap).(*Timer)
		do := t.do
		t.do = nil
		do(now)
	}
}

type timerHeap []*Timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].due < h[j].due || h[i].due == h[j].due && h[i].order < h[j].order
}
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].at, h[j].at = i+1, j+1
}
func (h *timerHeap) Push(x any) {
	t := x.(*Timer)
	*h = append(*h, t)
	t.at = len(*h)
}
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h, t.at = old[:len(old)-1], 0
	return t
}

// Handler is what a loop drives. All of its methods are called from the loop's goroutine alone.
type Handler interface {
	BeginTurn(now router.Time)    // a turn begins; the events that came follow
	EndTurn()                     // they have all come; timers that are due come in here
	NextDue() (router.Time, bool) // when the machine wants a turn though nothing comes
}

// Loop gives a machine its turns by the real clock.
type Loop struct {
	start time.Time
	mu    sync.Mutex
	queue []func()
	over  bool
	wake  chan struct{}
	pace  atomic.Int64 // ns
}

// NewLoop starts the loop's clock.
func NewLoop() *Loop { return &Loop{start: time.Now(), wake: make(chan struct{}, 1)} }

// SetMinInterval has turns begin so far apart at the least: under load each turn then brings more events, and what a turn costs
// by itself is paid less often. Any goroutine may call it.
func (l *Loop) SetMinInterval(d time.Duration) { l.pace.Store(int64(d)) }

// Now reads the loop's clock; any goroutine may.
func (l *Loop) Now() router.Time { return epoch + FromDuration(time.Since(l.start)) }

// Post has f done in the next turn, from any goroutine, without waiting. It reports false where the loop is over
// and f will never be done.
func (l *Loop) Post(f func()) bool {
	l.mu.Lock()
	if l.over {
		l.mu.Unlock()
		return false
	}
	l.queue = append(l.queue, f)
	first := len(l.queue) == 1
	l.mu.Unlock()
	if first {
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
	return true
}

// Run drives m until the context ends. What was posted before that is still done.
func (l *Loop) Run(ctx context.Context, m Handler) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var spare []func()
	var last time.Time
	for {
		if wait := time.Duration(l.pace.Load()) - time.Since(last); wait > 0 && !last.IsZero() {
			time.Sleep(wait)
		}
		last = time.Now()
		l.mu.Lock()
		batch := l.queue
		l.queue = spare[:0]
		over := ctx.Err() != nil
		l.over = over
		l.mu.Unlock()
		m.BeginTurn(l.Now())
		for i, f := range batch {
			f()
			batch[i] = nil
		}
		m.EndTurn()
		spare = batch
		if over {
			return
		}
		wait := time.Hour
		if due, any := m.NextDue(); any {
			wait = max(0, ToDuration(due-epoch)-time.Since(l.start))
		}
		timer.Reset(wait)
		select {
		case <-l.wake:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
}
