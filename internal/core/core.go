// Package core holds one front end's router with the handles of its RPCs. The bench's adapter and the engine of
// the program both bring their events here, so that they agree on what an event means.
package core

import "mallowlanding/router"

// Handle is an RPC at a module; router.RPC is one.
type Handle interface {
	Ended(now router.Time, n int, w router.WorkerID, o router.Outcome, closed bool, warmth router.Warmth, crowd int,
		took router.Time, report []float64)
	Left(now router.Time)
	Over() bool
}

// Module decides each RPC's path; router.Router does, and baselines that it is compared with.
type Module interface {
	Take(now router.Time, id router.RPCID, m router.MethodID, customer router.CustomerID, fn router.FunctionID,
		budget router.Time, cost, memory float64, lanes int, load router.Time, repeat bool) Handle
	ListBegins(now router.Time, form router.ListForm, version uint64)
	Listed(now router.Time, id router.WorkerID, state router.Readiness, started router.Time, zone router.ZoneID,
		cell router.CellID, kind router.KindID, weight float64)
	ListEnds(now router.Time)
	ListConfirmed(now, asOf router.Time)
	Held(now router.Time, id router.WorkerID, fn router.FunctionID, o router.Outcome, copies int, took router.Time)
	Checked(now router.Time, id router.WorkerID, o router.Outcome, took router.Time, report []float64)
	Reminded(now router.Time, token uint64)
	Renew(now router.Time, p router.Prepared)
	Halted(fn router.FunctionID) bool
	Settle(now router.Time)
}

// Make makes a module; see router.New.
type Make func(port router.Port, now router.Time, seed int64, s router.Settings) Module

// own is the router as a Module.
type own struct{ *router.Router }

// Take implements Module.
func (o own) Take(now router.Time, id router.RPCID, m router.MethodID, customer router.CustomerID, fn router.FunctionID,
	budget router.Time, cost, memory float64, lanes int, load router.Time, repeat bool) Handle {
	return o.Router.Take(now, id, m, customer, fn, budget, cost, memory, lanes, load, repeat)
}

// Core is a module and the handles of the RPCs that something can still happen to.
type Core struct {
	Module
	rpcs map[router.RPCID]Handle
}

// New starts the module of one front end: the router, unless make makes another.
func New(make Make, port router.Port, now router.Time, seed int64, s router.Settings) *Core {
	c := &Core{rpcs: map[router.RPCID]Handle{}}
	if make == nil {
		c.Module = own{router.New(port, now, seed, s)}
	} else {
		c.Module = make(port, now, seed, s)
	}
	return c
}

// Take hands an RPC to the module. Budget is the time that its client still waits; cost and load are 0 where
// unknown; memory is in MB, lanes are RPCs side by side in one copy.
func (c *Core) Take(now router.Time, id router.RPCID, m router.MethodID, customer router.CustomerID,
	fn router.FunctionID, budget router.Time, cost, memory float64, lanes int, load router.Time, repeat bool) {
	c.rpcs[id] = c.Module.Take(now, id, m, customer, fn, budget, cost, memory, lanes, load, repeat)
	c.Release(id)
}

// Left tells that the RPC's client is gone; an unknown RPC is passed over.
func (c *Core) Left(now router.Time, id router.RPCID) {
	if rpc := c.rpcs[id]; rpc != nil {
		rpc.Left(now)
		c.Release(id)
	}
}

// Ended tells how the RPC's n-th call-out ended; closed: no answer is owed for the RPC any more. An unknown RPC is
// passed over.
func (c *Core) Ended(now router.Time, id router.RPCID, n int, w router.WorkerID, o router.Outcome, closed bool,
	warmth router.Warmth, crowd int, took router.Time, report []float64) {
	if rpc := c.rpcs[id]; rpc != nil {
		rpc.Ended(now, n, w, o, closed, warmth, crowd, took, report)
		c.Release(id)
	}
}

// Release lets go of a handle that nothing more can happen to.
func (c *Core) Release(id router.RPCID) {
	if rpc := c.rpcs[id]; rpc != nil && rpc.Over() {
		delete(c.rpcs, id)
	}
}
