// Package batch collects RPCs of one function that go to the same worker within a short time, to be sent in one
// call-out. It only delays RPCs: the router has already chosen their worker, and each RPC ends on its own. It does no
// I/O and has no clock.
package batch

import (
	"slices"

	"mallowlanding/router"
)

// softDeadlineDivisor limits the wait of an RPC to an eighth of the time left to its soft deadline. The rest is needed
// for transport, queueing at the worker and execution.
const softDeadlineDivisor = 8

// Batcher holds the RPCs that wait in batches, one batch for each key. A key identifies a worker and a function.
type Batcher[Key, Item comparable] struct {
	batches map[Key]*pending[Item]
	order   []Key // of batches, in the order in which they were begun
}

// pending is a batch that has not been sent.
type pending[Item comparable] struct {
	items    []Item
	maxItems int
	due      router.Time
}

// New makes an empty batcher.
func New[Key, Item comparable]() *Batcher[Key, Item] {
	return &Batcher[Key, Item]{batches: map[Key]*pending[Item]{}}
}

// Add adds an RPC to the batch of its key, which holds at most maxItems RPCs. The RPC waits no longer than wait, and no
// longer than an eighth of softLeft, the time left to its soft deadline. Add returns the batch if it is full or due
// now, and nil otherwise.
func (b *Batcher[Key, Item]) Add(now router.Time, key Key, item Item, maxItems int, wait, softLeft router.Time) []Item {
	due := now + max(0, min(wait, softLeft/softDeadlineDivisor))
	p := b.batches[key]
	if p == nil {
		p = &pending[Item]{due: due}
		b.batches[key] = p
		b.order = append(b.order, key)
	}
	p.items = append(p.items, item)
	p.maxItems = maxItems
	p.due = min(p.due, due)
	if len(p.items) >= p.maxItems || p.due <= now {
		return b.pop(key)
	}
	return nil
}

// Remove removes an RPC whose client left from its batch. It reports whether the RPC was still waiting.
func (b *Batcher[Key, Item]) Remove(key Key, item Item) bool {
	p := b.batches[key]
	if p == nil {
		return false
	}
	i := slices.Index(p.items, item)
	if i < 0 {
		return false
	}
	p.items = slices.Delete(p.items, i, i+1)
	if len(p.items) == 0 {
		b.pop(key)
	}
	return true
}

// NextDue returns when the next batch is due; false: none is waiting.
func (b *Batcher[Key, Item]) NextDue() (due router.Time, ok bool) {
	for _, key := range b.order {
		if p := b.batches[key]; !ok || p.due < due {
			due, ok = p.due, true
		}
	}
	return due, ok
}

// PopDue removes and returns the next batch that is due; nil: none is.
func (b *Batcher[Key, Item]) PopDue(now router.Time) (Key, []Item) {
	for _, key := range b.order {
		if b.batches[key].due <= now {
			return key, b.pop(key)
		}
	}
	var none Key
	return none, nil
}

// pop removes and returns the batch of a key.
func (b *Batcher[Key, Item]) pop(key Key) []Item {
	items := b.batches[key].items
	delete(b.batches, key)
	b.order = slices.DeleteFunc(b.order, func(k Key) bool { return k == key })
	return items
}
