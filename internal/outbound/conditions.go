// Package outbound holds what the links to workers have in common: a message is begun, that is, its first byte is
// written, only while all that it was decided on still holds. It has the conditions, the state of a message, and the
// queue of messages for one connection. It does no I/O and has no clock.
package outbound

import (
	"errors"
	"math"
	"sync/atomic"

	"mallowlanding/router"
)

// Reasons why a message is not begun. With each of them it never left this process.
var (
	ErrWithdrawn      = errors.New("withdrawn before it was sent")
	ErrExpired        = errors.New("nobody waits for its answer any more")
	ErrUnconfirmed    = errors.New("too late to begin: nothing proves any more that the worker does not drain")
	ErrPaused         = errors.New("the process was paused after it was decided on")
	ErrWaited         = errors.New("the worker took nothing in time")
	ErrConnectionLost = errors.New("the connection was lost before it was sent")
)

// Conditions must hold when the first byte of a message is written. All times are by the event loop's clock; a time of
// 0 sets no limit.
type Conditions struct {
	DecidedAt     router.Time // when the message was handed to the link
	Deadline      router.Time // from then on nobody waits for the answer
	SendBy        router.Time // until then the worker is known not to drain
	WaitUntil     router.Time // until then the message may wait for a connection or for the worker to read
	SurvivesPause bool        // it depends on nothing that changes while the process is paused
}

// Check returns why a message may not be begun now, or nil.
func (c *Conditions) Check(now router.Time, pauses *PauseDetector) error {
	switch {
	case c.Deadline > 0 && now >= c.Deadline:
		return ErrExpired
	case c.SendBy > 0 && now > c.SendBy:
		return ErrUnconfirmed
	case !c.SurvivesPause && pauses.PausedSince(c.DecidedAt, now):
		return ErrPaused
	case c.WaitUntil > 0 && now > c.WaitUntil:
		return ErrWaited
	}
	return nil
}

// validUntil returns the last moment at which the conditions may hold.
func (c *Conditions) validUntil() router.Time {
	last := router.Time(math.MaxInt64)
	if c.Deadline > 0 {
		last = c.Deadline - 1
	}
	if c.SendBy > 0 {
		last = min(last, c.SendBy)
	}
	if c.WaitUntil > 0 {
		last = min(last, c.WaitUntil)
	}
	return last
}

// PauseDetector detects pauses of the process by the turns of its event loop. What a process knows of its workers may
// be out of date after a pause. The zero value detects none. Any goroutine may use it.
type PauseDetector struct {
	limit     atomic.Int64 // longest time between two turns that is no pause; 0: nothing is a pause
	lastTurn  atomic.Int64 // when the last turn began
	resumedAt atomic.Int64 // when the last turn after a pause began
}

// SetLimit sets the longest time between two turns that is no pause. With 0 nothing is a pause.
func (d *PauseDetector) SetLimit(limit router.Time) { d.limit.Store(int64(limit)) }

// BeginTurn records that a turn of the event loop begins.
func (d *PauseDetector) BeginTurn(now router.Time) {
	if d.inPause(now) {
		d.resumedAt.Store(int64(now))
	}
	d.lastTurn.Store(int64(now))
}

// PausedSince reports whether the process has been paused since the given time.
func (d *PauseDetector) PausedSince(since, now router.Time) bool {
	return d.inPause(now) || since < router.Time(d.resumedAt.Load())
}

// inPause reports whether the last turn began longer ago than the limit.
func (d *PauseDetector) inPause(now router.Time) bool {
	limit, last := d.limit.Load(), d.lastTurn.Load()
	return limit > 0 && last > 0 && int64(now)-last > limit
}

// State is how far a message has got.
type State uint8

// States of a message. Only an Unsent one is known never to have run.
const (
	Sent   State = iota // written whole, or not known to the queue
	Begun               // some of its bytes have been written
	Unsent              // none of its bytes has been written
)

// Permit gives a message that has a connection of its own the permission to write its first byte. The caller
// serializes all calls, and writes the byte before it makes another call.
type Permit struct {
	Conditions Conditions
	begun      bool
	withdrawn  bool
}

// Begin returns why the message may not be begun, or nil: it then counts as begun. A message of which only a part was
// written on a broken connection may be begun again.
func (p *Permit) Begin(now router.Time, pauses *PauseDetector) error {
	if p.withdrawn {
		return ErrWithdrawn
	}
	if err := p.Conditions.Check(now, pauses); err != nil {
		return err
	}
	p.begun = true
	return nil
}

// Withdraw has the message not begun any more. It reports whether it never was.
func (p *Permit) Withdraw() (neverBegun bool) {
	p.withdrawn = true
	return !p.begun
}
