// Package routingtest has a router for tests of what lies around the router.
package routingtest

import (
	"cmp"
	"math"

	"mallowlanding/internal/routing"
	"mallowlanding/router"
)

// Router is a router that sends each RPC at once to one worker and records the outcomes of call-outs.
type Router struct {
	Actions  router.Actions
	Worker   router.WorkerID // that gets the RPCs; 0: the one with id 1
	SendBy   router.Time     // passed on with each call-out; 0: no limit
	Outcomes []router.Outcome
	ByRPC    map[router.RPCID]router.Outcome // of the last call-out of each RPC
}

// Factory is a routing.Factory that returns r.
func (r *Router) Factory(actions router.Actions, _ router.Time, _ int64, _ router.Settings) routing.Router {
	r.Actions, r.ByRPC = actions, map[router.RPCID]router.Outcome{}
	return r
}

// scriptedRPC is an RPC at a Router. It makes no further call-out, however the first one ends.
type scriptedRPC struct {
	router *Router
	id     router.RPCID
	ended  bool // the call-out that the router made has ended
	closed bool // nothing is waited for any more
}

// Submit implements routing.Router.
func (r *Router) Submit(_ router.Time, id router.RPCID, _ router.MethodID, _ router.CustomerID, _ router.FunctionID,
	_ router.Time, _, _ float64, _ int, _ router.Time, _ bool) routing.Handle {
	sendBy := cmp.Or(r.SendBy, math.MaxInt64)
	r.Actions.Send(id, cmp.Or(r.Worker, 1), 0, sendBy)
	return &scriptedRPC{router: r, id: id}
}

// CallOutEnded implements routing.Handle.
func (p *scriptedRPC) CallOutEnded(_ router.Time, _ int, _ router.WorkerID, o router.Outcome, closed bool, _ router.Warmth, _ int,
	_ router.Time, _ []float64) {
	p.router.Outcomes = append(p.router.Outcomes, o)
	p.router.ByRPC[p.id] = o
	p.ended, p.closed = true, p.closed || closed
}

// ClientLeft implements routing.Handle.
func (p *scriptedRPC) ClientLeft(router.Time) { p.closed = true }

// Finished implements routing.Handle.
func (p *scriptedRPC) Finished() bool { return p.ended && p.closed }

// BeginWorkerList implements routing.Router. This method and those below do nothing.
func (r *Router) BeginWorkerList(router.Time, router.ListUpdate, uint64) {}

// AddListedWorker implements routing.Router.
func (r *Router) AddListedWorker(router.Time, router.WorkerID, router.Readiness, router.Time, router.ZoneID, router.CellID,
	router.KindID, float64) {
}

// EndWorkerList implements routing.Router.
func (r *Router) EndWorkerList(router.Time)        {}
func (*Router) ConfirmWorkerList(_, _ router.Time) {}

// LoadOrderEnded implements routing.Router.
func (r *Router) LoadOrderEnded(router.Time, router.WorkerID, router.FunctionID, router.Outcome, int, router.Time) {
}

// CheckEnded implements routing.Router.
func (r *Router) CheckEnded(router.Time, router.WorkerID, router.Outcome, router.Time, []float64) {
}

// TimerFired implements routing.Router.
func (r *Router) TimerFired(router.Time, uint64) {}

// UpdateSettings implements routing.Router.
func (r *Router) UpdateSettings(router.Time, router.ParsedSettings) {}

// LoadsHalted implements routing.Router.
func (r *Router) LoadsHalted(router.FunctionID) bool { return false }

// Dispatch implements routing.Router.
func (r *Router) Dispatch(router.Time) {}
