// Package intake schedules the messages of many connections fairly, before anything else is done for them. It does no
// I/O and has no clock of its own.
//
// A Source holds the messages of one connection that wait to be handled. It is bounded: when it is full, its reader
// stops reading, and TCP makes the sender wait. Scheduler.Take handles messages round-robin over the sources, by cost,
// as in deficit round robin. Each source, and all of them together, have a token bucket: a connection that sends at full
// speed waits behind itself and delays others by at most one round.
package intake

import (
	"slices"
	"sync"

	"mallowlanding/router"
)

// Limits bound what a scheduler takes. A message costs 1 and a part that grows with its size; see Cost.
type Limits struct {
	SourceMessages int     // waiting messages of one source
	SourceCost     int     // waiting cost of one source; a single message may exceed it
	SourceRate     float64 // cost that one source may spend per unit of router.Time
	SourceBurst    float64 // cost that one source may spend at once
	NewSourceBurst float64 // the same for a new source
	TotalRate      float64 // the same for all sources together
	TotalBurst     float64
	TotalMessages  int // waiting messages of all sources, beyond which each may have few; see maxWaiting
	Quantum        int // cost that one source may spend before the next one's turn
}

// bytesPerCost is the size that costs as much as a message itself.
const bytesPerCost = 2 << 10

// Cost returns the cost of a message of so many bytes.
func Cost(bytes int) int { return 1 + bytes/bytesPerCost }

// bucket is a token bucket. Its tokens may become negative, by the cost of one message.
type bucket struct {
	tokens     float64
	refilledAt router.Time
}

func (b *bucket) refill(now router.Time, rate, burst float64) {
	if now > b.refilledAt {
		b.tokens = min(burst, b.tokens+rate*float64(now-b.refilledAt))
		b.refilledAt = now
	}
}

// Scheduler holds the sources that have waiting messages. T is the type of a message.
type Scheduler[T any] struct {
	limits Limits
	wake   func()

	mu      sync.Mutex
	active  []*Source[T] // with waiting messages, in round-robin order
	total   bucket
	waiting int    // messages
	added   uint64 // messages added so far
	marked  uint64 // messages that had been added at the last call of Mark
}

// Source holds the waiting messages of one connection.
type Source[T any] struct {
	scheduler *Scheduler[T]
	onSpace   func() // called when a full source has room again, by the goroutine of Take

	// Guarded by Scheduler.mu.
	waiting []entry[T]
	cost    int
	own     bucket
	active  bool // in Scheduler.active
	full    bool // the reader waits for room
}

type entry[T any] struct {
	message T
	cost    int
	number  uint64 // in the order in which messages were added to the scheduler
}

// New makes a scheduler without sources. It calls wake, on any goroutine, when a message waits and none did before.
func New[T any](limits Limits, wake func()) *Scheduler[T] {
	return &Scheduler[T]{limits: limits, wake: wake, total: bucket{tokens: limits.TotalBurst}}
}

// NewSource makes the source of one connection. It calls onSpace after Full has returned true and there is room again.
func (s *Scheduler[T]) NewSource(onSpace func()) *Source[T] {
	s.mu.Lock()
	refilledAt := s.total.refilledAt
	s.mu.Unlock()
	return &Source[T]{scheduler: s, onSpace: onSpace, own: bucket{s.limits.NewSourceBurst, refilledAt}}
}

// Full reports whether the source has no room for a further message. If so, onSpace is called once there is room.
func (c *Source[T]) Full() bool {
	s := c.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	c.full = len(c.waiting) >= s.maxWaiting(c) || c.cost >= s.limits.SourceCost
	return c.full
}

// maxWaiting returns how many messages of a source may wait: no more than its token bucket allows to be handled soon,
// and at least one. While many messages wait, a source that has spent little may have those of one turn, and one that is
// new or has spent its tokens a single one. The caller holds mu.
func (s *Scheduler[T]) maxWaiting(c *Source[T]) int {
	most := min(s.limits.SourceMessages, int(c.own.tokens))
	if s.waiting >= s.limits.TotalMessages {
		most = min(s.limits.Quantum, int(float64(s.limits.Quantum)*c.own.tokens/s.limits.SourceBurst))
	}
	return max(1, most)
}

// Add appends a message. The caller has seen to it that the source is not full; the end of a connection may always be
// added.
func (c *Source[T]) Add(message T, cost int) {
	s := c.scheduler
	s.mu.Lock()
	s.added++
	c.waiting = append(c.waiting, entry[T]{message, cost, s.added})
	c.cost += cost
	s.waiting++
	wasIdle := len(s.active) == 0
	if !c.active {
		c.active = true
		s.active = append(s.active, c)
	}
	s.mu.Unlock()
	if wasIdle {
		s.wake()
	}
}

// Clear drops all waiting messages and returns them.
func (c *Source[T]) Clear() (dropped []T) {
	s := c.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range c.waiting {
		dropped = append(dropped, e.message)
	}
	s.waiting -= len(c.waiting)
	c.waiting, c.cost = nil, 0
	return dropped
}

// Waiting reports whether a message waits.
func (s *Scheduler[T]) Waiting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.active) > 0
}

// Mark has the next Take handle the messages added until now and no later ones. An event loop that calls it before it
// takes the events of a turn handles no message before an event that came earlier.
func (s *Scheduler[T]) Mark() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.marked = s.added
}

// Take handles marked messages, of each source in turn for the cost of a quantum, as far as the token buckets allow. The
// handler runs without a lock and may call Clear.
func (s *Scheduler[T]) Take(now router.Time, handle func(message T)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total.refill(now, s.limits.TotalRate, s.limits.TotalBurst)
	for skipped := 0; skipped < len(s.active) && s.total.tokens > 0; {
		c := s.active[0]
		s.active = append(s.active[:0], s.active[1:]...)
		c.own.refill(now, s.limits.SourceRate, s.limits.SourceBurst)
		if len(c.waiting) == 0 {
			c.active = false
			continue
		}
		if !s.mayTake(c) {
			s.active = append(s.active, c)
			skipped++
			continue
		}
		skipped = 0
		left := s.limits.Quantum
		for left > 0 && s.mayTake(c) {
			message, cost, hasRoom := s.next(c)
			left -= cost
			s.mu.Unlock()
			handle(message)
			if hasRoom {
				c.onSpace()
			}
			s.mu.Lock()
		}
		c.active = len(c.waiting) > 0
		switch {
		case c.active && left > 0 && s.total.tokens <= 0: // its turn goes on in the next call
			s.active = slices.Insert(s.active, 0, c)
		case c.active:
			s.active = append(s.active, c)
		}
	}
}

// mayTake reports whether the first message of a source may be handled now. The caller holds mu.
func (s *Scheduler[T]) mayTake(c *Source[T]) bool {
	return len(c.waiting) > 0 && c.waiting[0].number <= s.marked && c.own.tokens > 0 && s.total.tokens > 0
}

// next takes the first message of a source, with its cost, and reports whether its reader is to be told that there is room.
func (s *Scheduler[T]) next(c *Source[T]) (message T, cost int, hasRoom bool) {
	first := c.waiting[0]
	c.waiting[0] = entry[T]{}
	c.waiting = c.waiting[1:]
	c.cost -= first.cost
	c.own.tokens -= float64(first.cost)
	s.total.tokens -= float64(first.cost)
	s.waiting--
	hasRoom = c.full && len(c.waiting) <= s.maxWaiting(c)/2 && c.cost <= s.limits.SourceCost/2
	if hasRoom {
		c.full = false
	}
	return first.message, first.cost, hasRoom
}
