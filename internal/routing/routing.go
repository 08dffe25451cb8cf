// Package routing keeps the router of one front end together with the handles of its RPCs. The adapter for the
// simulator and the engine of the program both pass their events through it, so that an event means the same in both.
package routing

import "mallowlanding/router"

// Handle receives the events of one RPC; router.RPC implements it.
type Handle interface {
	CallOutEnded(now router.Time, n int, w router.WorkerID, o router.Outcome, closed bool, warmth router.Warmth, concurrent int,
		took router.Time, report []float64)
	ClientLeft(now router.Time)
	Finished() bool
}

// Router decides where each RPC runs. It is implemented by router.Router and by the baselines that router.Router is
// compared with.
type Router interface {
	Submit(now router.Time, id router.RPCID, method router.MethodID, customer router.CustomerID, fn router.FunctionID,
		budget router.Time, cost, memory float64, lanes int, load router.Time, repeat bool) Handle
	BeginWorkerList(now router.Time, update router.ListUpdate, version uint64)
	AddListedWorker(now router.Time, id router.WorkerID, state router.Readiness, started router.Time, zone router.ZoneID,
		cell router.CellID, kind router.KindID, weight float64)
	EndWorkerList(now router.Time)
	ConfirmWorkerList(now, asOf router.Time)
	LoadOrderEnded(now router.Time, id router.WorkerID, fn router.FunctionID, o router.Outcome, copies int, took router.Time)
	CheckEnded(now router.Time, id router.WorkerID, o router.Outcome, took router.Time, report []float64)
	TimerFired(now router.Time, token uint64)
	UpdateSettings(now router.Time, parsed router.ParsedSettings)
	LoadsHalted(fn router.FunctionID) bool
	Dispatch(now router.Time)
}

// Factory creates a router; see router.New.
type Factory func(actions router.Actions, now router.Time, seed int64, s router.Settings) Router

// routerAdapter makes router.Router a Router: Submit returns a Handle.
type routerAdapter struct{ *router.Router }

// Submit implements Router.
func (a routerAdapter) Submit(now router.Time, id router.RPCID, method router.MethodID, customer router.CustomerID, fn router.FunctionID,
	budget router.Time, cost, memory float64, lanes int, load router.Time, repeat bool) Handle {
	return a.Router.Submit(now, id, method, customer, fn, budget, cost, memory, lanes, load, repeat)
}

// FrontEndRouter is a router and the handles of the RPCs that can still have events.
type FrontEndRouter struct {
	Router
	rpcs map[router.RPCID]Handle
}

// New creates the router of one front end: router.Router, or what factory makes if it is not nil.
func New(factory Factory, actions router.Actions, now router.Time, seed int64, s router.Settings) *FrontEndRouter {
	f := &FrontEndRouter{rpcs: map[router.RPCID]Handle{}}
	if factory == nil {
		f.Router = routerAdapter{router.New(actions, now, seed, s)}
	} else {
		f.Router = factory(actions, now, seed, s)
	}
	return f
}

// Submit passes an RPC to the router. Budget is the time that its client still waits; cost and load are 0 where
// unknown; memory is in MB; lanes is how many RPCs run in one copy at the same time.
func (f *FrontEndRouter) Submit(now router.Time, id router.RPCID, method router.MethodID, customer router.CustomerID,
	fn router.FunctionID, budget router.Time, cost, memory float64, lanes int, load router.Time, repeat bool) {
	f.rpcs[id] = f.Router.Submit(now, id, method, customer, fn, budget, cost, memory, lanes, load, repeat)
	f.Release(id)
}

// ClientLeft reports that the RPC's client left; an unknown RPC is ignored.
func (f *FrontEndRouter) ClientLeft(now router.Time, id router.RPCID) {
	if rpc := f.rpcs[id]; rpc != nil {
		rpc.ClientLeft(now)
		f.Release(id)
	}
}

// CallOutEnded reports how the RPC's n-th call-out ended. Closed: the RPC needs no further answer. An unknown RPC is
// ignored.
func (f *FrontEndRouter) CallOutEnded(now router.Time, id router.RPCID, n int, w router.WorkerID, o router.Outcome, closed bool,
	warmth router.Warmth, concurrent int, took router.Time, report []float64) {
	if rpc := f.rpcs[id]; rpc != nil {
		rpc.CallOutEnded(now, n, w, o, closed, warmth, concurrent, took, report)
		f.Release(id)
	}
}

// Release drops the handle of an RPC that can have no further events.
func (f *FrontEndRouter) Release(id router.RPCID) {
	if rpc := f.rpcs[id]; rpc != nil && rpc.Finished() {
		delete(f.rpcs, id)
	}
}
