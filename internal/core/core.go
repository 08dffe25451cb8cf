// Package core holds one front end's router with the handles of its RPCs. The bench's adapter and the engine of
// the program both bring their events here, so that they agree on what an event means.
package core

import "mallowlanding/router"

// Core is a router and the handles of the RPCs that something can still happen to.
type Core struct {
	*router.Router
	rpcs map[router.RPCID]*router.RPC
}

// New starts the router of one front end; see router.New.
func New(port router.Port, now router.Time, seed int64, s router.Settings) *Core {
	c := &Core{rpcs: map[router.RPCID]*router.RPC{}}
	c.Router = router.New(port, now, seed, s)
	return c
}

// Take hands an RPC to the module. Budget is the time that its client still waits; cost and load are 0 where
// unknown; memory is in MB, lanes are RPCs side by side in one copy.
func (c *Core) Take(now router.Time, id router.RPCID, m router.MethodID, customer router.CustomerID,
	fn router.FunctionID, budget router.Time, cost, memory float64, lanes int, load router.Time, repeat bool) {
	c.rpcs[id] = c.Router.Take(now, id, m, customer, fn, budget, cost, memory, lanes, load, repeat)
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
