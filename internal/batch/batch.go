// Package batch decides which RPCs ride one call-out together: those of one function to one worker that come within a
// short wait. It only delays; where each RPC goes is the module's, and each keeps its own end. No I/O, no clock.
package batch

import (
	"slices"

	"mallowlanding/router"
)

// softPart is the part of the time left to an RPC's soft deadline that a wait for others may take at most: the rest is
// for the way, the line at the worker and the work.
const softPart = 8

// Batcher hold what waits, by key: one for each worker and function.
type Batcher[Key, Item comparable] struct {
	lines map[Key]*line[Item]
	order []Key // of lines, as they began
}

type line[Item comparable] struct {
	items []Item
	most  int
	leave router.Time
}

// New starts with nothing waiting.
func New[Key, Item comparable]() *Batcher[Key, Item] {
	return &Batcher[Key, Item]{lines: map[Key]*line[Item]{}}
}

// Add takes an RPC that may ride with others: at most so many, waiting no longer than wait, and no longer than its
// part of the time left to its soft deadline. It returns a batch that is full, or that may not wait.
func (l *Batcher[Key, Item]) Add(now router.Time, key Key, item Item, most int, wait, softLeft router.Time) []Item {
	leave := now + max(0, min(wait, softLeft/softPart))
	at := l.lines[key]
	if at == nil {
		at = &line[Item]{leave: leave}
		l.lines[key] = at
		l.order = append(l.order, key)
	}
	at.items = append(at.items, item)
	at.most = most
	at.leave = min(at.leave, leave)
	if len(at.items) >= at.most || at.leave <= now {
		return l.take(key)
	}
	return nil
}

// Remove takes an RPC out that has not left: its client has gone. It reports whether it was there.
func (l *Batcher[Key, Item]) Remove(key Key, item Item) bool {
	at := l.lines[key]
	if at == nil {
		return false
	}
	i := slices.Index(at.items, item)
	if i < 0 {
		return false
	}
	at.items = slices.Delete(at.items, i, i+1)
	if len(at.items) == 0 {
		l.take(key)
	}
	return true
}

// NextDue tells when the first batch leaves.
func (l *Batcher[Key, Item]) NextDue() (due router.Time, any bool) {
	for _, key := range l.order {
		if at := l.lines[key]; !any || at.leave < due {
			due, any = at.leave, true
		}
	}
	return due, any
}

// PopDue gives the next batch whose wait is over; nil: there is none.
func (l *Batcher[Key, Item]) PopDue(now router.Time) (Key, []Item) {
	for _, key := range l.order {
		if l.lines[key].leave <= now {
			return key, l.take(key)
		}
	}
	var none Key
	return none, nil
}

func (l *Batcher[Key, Item]) take(key Key) []Item {
	items := l.lines[key].items
	delete(l.lines, key)
	l.order = slices.DeleteFunc(l.order, func(k Key) bool { return k == key })
	return items
}
