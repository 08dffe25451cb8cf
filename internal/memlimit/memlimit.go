// Package memlimit counts the bytes that a process holds for others against a limit, so that memory is bounded whoever
// sends. It does no I/O and allocates nothing itself: a caller reserves bytes before it allocates them, and releases
// them once nothing refers to them.
package memlimit

import "sync/atomic"

// calmShare is the share of the limit below which an exhausted account counts as recovered.
const calmShare = 0.75

// Account counts reserved bytes. Any goroutine may use it.
type Account struct {
	limit, used, peak atomic.Int64
	exhausted         atomic.Bool
	refusals          atomic.Uint64
}

// NewAccount makes an account with a limit in bytes.
func NewAccount(limit int64) *Account {
	a := &Account{}
	a.limit.Store(limit)
	return a
}

// SetLimit changes the limit. Bytes that are reserved stay reserved.
func (a *Account) SetLimit(limit int64) { a.limit.Store(limit) }

// Reserve reserves n bytes and reports whether they were within the limit; if not, nothing is reserved.
func (a *Account) Reserve(n int64) bool {
	used := a.used.Add(n)
	if used > a.limit.Load() {
		a.used.Add(-n)
		a.exhausted.Store(true)
		a.refusals.Add(1)
		return false
	}
	for peak := a.peak.Load(); used > peak && !a.peak.CompareAndSwap(peak, used); peak = a.peak.Load() {
	}
	return true
}

// Release gives back n reserved bytes.
func (a *Account) Release(n int64) {
	if a.used.Add(-n) < int64(calmShare*float64(a.limit.Load())) {
		a.exhausted.Store(false)
	}
}

// Usage is the state of an account.
type Usage struct {
	Used, Peak, Limit int64
	Refusals          uint64 // reservations that were beyond the limit
	Exhausted         bool   // one was, and the account has not recovered since
}

// Usage returns the state of the account.
func (a *Account) Usage() Usage {
	return Usage{a.used.Load(), a.peak.Load(), a.limit.Load(), a.refusals.Load(), a.exhausted.Load()}
}
