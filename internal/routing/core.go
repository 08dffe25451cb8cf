// Package routing holds one front end's router with the handles of its RPCs. The bench's adapter and the engine of
// the program both bring their events here, so that they agree on what an event means.
package routing

import "mallowlanding/router"

// Handle is an RPC at a module; router.RPC is one.
type Handle interface {
	CallOutEnded(now router.Time, n int, w router.WorkerID, o router.Outcome, closed bool, warmth router.Warmth, crowd int,
		took router.Time, report []float64)
	ClientLeft(now router.Time)
	Finished() bool
}

// Router decides each RPC's path; router.Router does, and baselines that it is compared with.
type Router interface {
	Submit(now router.Time, id router.RPCID, m router.MethodID, customer router.CustomerID, fn router.FunctionID,
		budget router.Time, cost, memory float64, lanes int, load router.Time, repeat bool) Handle
	BeginWorkerList(now router.Time, form router.ListUpdate, version uint64)
	AddListedWorker(now router.Time, id router.WorkerID, state router.Readiness, started router.Time, zone router.ZoneID,
		cell router.CellID, kind router.KindID, weight float64)
	EndWorkerList(now router.Time)
	ConfirmWorkerList(now, asOf router.Time)
	LoadOrderEnded(now router.Time, id router.WorkerID, fn router.FunctionID, o router.Outcome, copies int, took router.Time)
	CheckEnded(now router.Time, id router.WorkerID, o router.Outcome, took router.Time, report []float64)
	TimerFired(now router.Time, token uint64)
	UpdateSettings(now router.Time, p router.ParsedSettings)
	LoadsHalted(fn router.FunctionID) bool
	Dispatch(now router.Time)
}

// Factory makes a module; see router.New.
type Factory func(port router.Actions, now router.Time, seed int64, s router.Settings) Router

// own is the router as a Module.
type own struct{ *router.Router }

// Submit implements Module.
func (o own) Submit(now router.Time, id router.RPCID, m router.MethodID, customer router.CustomerID, fn router.FunctionID,
	budget router.Time, cost, memory float64, lanes int, load router.Time, repeat bool) Handle {
	return o.Router.Submit(now, id, m, customer, fn, budget, cost, memory, lanes, load, repeat)
}

// FrontEndRouter is a module and the handles of the RPCs that something can still happen to.
type FrontEndRouter struct {
	Router
	rpcs map[router.RPCID]Handle
}

// New starts the module of one front end: the router, unless make makes another.
func New(make Factory, port router.Actions, now router.Time, seed int64, s router.Settings) *FrontEndRouter {
	c := &FrontEndRouter{rpcs: map[router.RPCID]Handle{}}
	if make == nil {
		c.Router = own{router.New(port, now, seed, s)}
	} else {
		c.Router = make(port, now, seed, s)
	}
	return c
}

// Submit hands an RPC to the module. Budget is the time that its client still waits; cost and load are 0 where
// unknown; memory is in MB, lanes are RPCs side by side in one copy.
func (c *FrontEndRouter) Submit(now router.Time, id router.RPCID, m router.MethodID, customer router.CustomerID,
	fn router.FunctionID, budget router.Time, cost, memory float64, lanes int, load router.Time, repeat bool) {
	c.rpcs[id] = c.Router.Submit(now, id, m, customer, fn, budget, cost, memory, lanes, load, repeat)
	c.Release(id)
}

// ClientLeft tells that the RPC's client is gone; an unknown RPC is passed over.
func (c *FrontEndRouter) ClientLeft(now router.Time, id router.RPCID) {
	if rpc := c.rpcs[id]; rpc != nil {
		rpc.ClientLeft(now)
		c.Release(id)
	}
}

// CallOutEnded tells how the RPC's n-th call-out ended; closed: no answer is owed for the RPC any more. An unknown RPC is
// passed over.
func (c *FrontEndRouter) CallOutEnded(now router.Time, id router.RPCID, n int, w router.WorkerID, o router.Outcome, closed bool,
	warmth router.Warmth, crowd int, took router.Time, report []float64) {
	if rpc := c.rpcs[id]; rpc != nil {
		rpc.CallOutEnded(now, n, w, o, closed, warmth, crowd, took, report)
		c.Release(id)
	}
}

// Release lets go of a handle that nothing more can happen to.
func (c *FrontEndRouter) Release(id router.RPCID) {
	if rpc := c.rpcs[id]; rpc != nil && rpc.Finished() {
		delete(c.rpcs, id)
	}
}
