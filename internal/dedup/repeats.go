// Package dedup decides what a tokened RPC does that comes while one of the same token is still at work here: it
// joins it, and both get its answer, or it runs beside it, or it is refused. No I/O, no clock.
//
// Within one front end a repeat joins: a second call-out would ask the workers' memory of tokens for what is known
// here. Across front ends that memory decides, within its group and window.
package dedup

import "hash/maphash"

// Key is what must be alike for two RPCs to be the same one.
type Key struct {
	Method   string
	Customer string
	Token    string
}

// Decision is what becomes of an RPC that comes.
type Decision uint8

// Decisions.
const (
	First       Decision = iota // none of that token is open: it goes its way
	Joined                      // it waits for the open one's answer
	Conflicting                 // one of that token is open, but asks for something else: refused
)

// Tracker are a front end's tokened RPCs at work, each with those that joined it.
type Tracker[Waiter comparable] struct {
	seed maphash.Seed
	rpcs map[Key]*SharedRPC[Waiter]
}

// SharedRPC is one RPC at work and all who wait for it.
type SharedRPC[Waiter comparable] struct {
	o       *Tracker[Waiter]
	key     Key
	what    uint64
	waiters []Waiter
	over    bool
}

// New starts with none open.
func New[Waiter comparable]() *Tracker[Waiter] {
	return &Tracker[Waiter]{seed: maphash.MakeSeed(), rpcs: map[Key]*SharedRPC[Waiter]{}}
}

// Add takes an RPC: its function and the parts of its payload say what it asks for.
func (o *Tracker[Waiter]) Add(key Key, function string, w Waiter, payload ...[]byte) (*SharedRPC[Waiter], Decision) {
	var h maphash.Hash
	h.SetSeed(o.seed)
	_, _ = h.WriteString(function)
	for _, part := range payload {
		_ = h.WriteByte(0)
		_, _ = h.Write(part)
	}
	what := h.Sum64()
	if g := o.rpcs[key]; g != nil {
		if g.what != what {
			return nil, Conflicting
		}
		g.waiters = append(g.waiters, w)
		return g, Joined
	}
	g := &SharedRPC[Waiter]{o: o, key: key, what: what, waiters: []Waiter{w}}
	o.rpcs[key] = g
	return g, First
}

// Remove takes a waiter out. It tells whether nobody waits any more: the RPC itself is then left.
func (g *SharedRPC[Waiter]) Remove(w Waiter) (last bool) {
	for i := range g.waiters {
		if g.waiters[i] == w {
			g.waiters = append(g.waiters[:i:i], g.waiters[i+1:]...)
			break
		}
	}
	if len(g.waiters) > 0 || g.over {
		return false
	}
	g.end()
	return true
}

// Finish ends the RPC and returns who waits, in the order in which they came.
func (g *SharedRPC[Waiter]) Finish() []Waiter {
	w := g.waiters
	g.waiters = nil
	g.end()
	return w
}

func (g *SharedRPC[Waiter]) end() {
	if !g.over {
		g.over = true
		delete(g.o.rpcs, g.key)
	}
}
