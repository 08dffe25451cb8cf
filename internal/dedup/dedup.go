// Package dedup decides what happens to a tokened RPC that arrives while another of the same token is open at this
// front end: if both are the same request, the second joins the first and gets its answer; if not, it is refused. The
// package does no I/O and has no clock.
//
// Joining saves a second call-out, which the worker would recognize as a repeat by its own record of tokens. Between
// front ends only the workers' record recognizes repeats, within the method's group and window.
package dedup

import "hash/maphash"

// Key identifies an RPC: a repeat has the same key.
type Key struct {
	Method   string
	Customer string
	Token    string
}

// Decision says what happens to a new RPC.
type Decision uint8

// Decisions.
const (
	First       Decision = iota // no RPC of its key is open: it is run
	Joined                      // it waits for the answer of the open RPC
	Conflicting                 // the open RPC of its key has another function or payload: it is refused
)

// Tracker holds a front end's open tokened RPCs, each with the requests that wait for it.
type Tracker[Waiter comparable] struct {
	seed maphash.Seed
	rpcs map[Key]*SharedRPC[Waiter]
}

// SharedRPC is one open RPC and all that wait for its answer.
type SharedRPC[Waiter comparable] struct {
	tracker  *Tracker[Waiter]
	key      Key
	digest   uint64 // of the function and the payload
	waiters  []Waiter
	finished bool
}

// New makes an empty tracker.
func New[Waiter comparable]() *Tracker[Waiter] {
	return &Tracker[Waiter]{seed: maphash.MakeSeed(), rpcs: map[Key]*SharedRPC[Waiter]{}}
}

// Add adds an RPC for the waiter w. The open RPC of its key is the same one if its function and the parts of its
// payload are equal, compared by a hash.
func (t *Tracker[Waiter]) Add(key Key, function string, w Waiter, payload ...[]byte) (*SharedRPC[Waiter], Decision) {
	var hash maphash.Hash
	hash.SetSeed(t.seed)
	_, _ = hash.WriteString(function)
	for _, part := range payload {
		_ = hash.WriteByte(0)
		_, _ = hash.Write(part)
	}
	digest := hash.Sum64()
	if s := t.rpcs[key]; s != nil {
		if s.digest != digest {
			return nil, Conflicting
		}
		s.waiters = append(s.waiters, w)
		return s, Joined
	}
	s := &SharedRPC[Waiter]{tracker: t, key: key, digest: digest, waiters: []Waiter{w}}
	t.rpcs[key] = s
	return s, First
}

// Remove removes a waiter. It reports whether that was the last one; the RPC is then no longer tracked.
func (s *SharedRPC[Waiter]) Remove(w Waiter) (last bool) {
	for i := range s.waiters {
		if s.waiters[i] == w {
			s.waiters = append(s.waiters[:i:i], s.waiters[i+1:]...)
			break
		}
	}
	if len(s.waiters) > 0 || s.finished {
		return false
	}
	s.finish()
	return true
}

// Finish ends the RPC and returns its waiters in the order in which they were added.
func (s *SharedRPC[Waiter]) Finish() []Waiter {
	waiters := s.waiters
	s.waiters = nil
	s.finish()
	return waiters
}

// finish ends the tracking of the RPC. Further calls have no effect.
func (s *SharedRPC[Waiter]) finish() {
	if !s.finished {
		s.finished = true
		delete(s.tracker.rpcs, s.key)
	}
}
