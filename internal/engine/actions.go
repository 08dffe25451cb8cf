package engine

import (
	"mallowlanding/internal/eventloop"
	"mallowlanding/router"
)

// actions carries out the router's decisions.
type actions Engine

// Send implements router.Actions.
func (a *actions) Send(rpc router.RPCID, w router.WorkerID, limit, sendBy router.Time) {
	e, r := (*Engine)(a), a.rpcs[rpc]
	if r == nil { // a fault of the router: the RPC has ended
		return
	}
	n, target := len(r.callOuts), e.workers[w]
	r.callOuts = append(r.callOuts, callOut{worker: target, sentAt: e.now})
	r.cancelState.CallOutSent()
	if r.inFlight++; r.inFlight == 1 && !r.closed {
		r.client.QueuedChanged(false)
	}
	notSent := r.closed || e.now >= r.expiresAt || n >= e.maxCallOuts || r.inFlight > 1 && !e.overlap
	id := r.callOutID(n)
	switch {
	case notSent:
		e.deferred = append(e.deferred, func() {
			e.CallOutEnded(id, w, router.NotSent, router.WarmthUnknown, 0, nil, nil, nil)
		})
	case target.link == nil:
		e.deferred = append(e.deferred, func() {
			e.CallOutEnded(id, w, router.ConnectFailed, router.WarmthUnknown, 0, nil, []byte("no link to "+target.name), nil)
		})
	default:
		e.counts.CallOuts++
		left := r.expiresAt - e.now
		if limit > 0 { // the link then times out by itself
			left = min(left, limit)
		}
		r.callOuts[n].link = target.link
		target.link.Send(id, r, left, sendBy)
		if limit > 0 && e.now+limit < r.expiresAt {
			e.timers.Set(new(eventloop.Timer), e.now+limit, func(router.Time) { r.timeOutCallOut(n) })
		}
	}
}

// Deny implements router.Actions.
func (a *actions) Deny(rpc router.RPCID, retryAfter router.Time, why router.Reason) {
	if r := a.rpcs[rpc]; r != nil && !r.closed {
		a.onGiveUp(r, why)
		r.close()
		a.counts.Denied++
		r.client.Denied(retryAfter)
		a.router.Release(rpc)
		(*Engine)(a).release(r)
	}
}

// Abort implements router.Actions.
func (a *actions) Abort(rpc router.RPCID, why router.Reason) {
	if r := a.rpcs[rpc]; r != nil && !r.closed {
		a.onGiveUp(r, why)
		r.close()
		a.counts.Aborted++
		r.client.Aborted(r.lastCause)
		a.router.Release(rpc)
		(*Engine)(a).release(r)
	}
}

// CancelCallOut implements router.Actions.
func (a *actions) CancelCallOut(rpc router.RPCID, n int) {
	e, r := (*Engine)(a), a.rpcs[rpc]
	if r == nil || n >= len(r.callOuts) || r.callOuts[n].ended {
		return
	}
	outcome := router.Cancelled
	if r.cancelCallOut(n) {
		outcome = router.NotSent
	}
	id, w := r.callOutID(n), r.callOuts[n].worker.id
	e.deferred = append(e.deferred, func() {
		e.CallOutEnded(id, w, outcome, router.WarmthUnknown, 0, nil, nil, nil)
	})
}

// SetTimer implements router.Actions.
func (a *actions) SetTimer(after router.Time, token uint64) {
	e := (*Engine)(a)
	// A timer never fires in the turn that sets it.
	e.timers.Set(new(eventloop.Timer), e.now+max(after, 1), func(now router.Time) { e.router.TimerFired(now, token) })
}

// Check implements router.Actions.
func (a *actions) Check(w router.WorkerID) {
	e, target := (*Engine)(a), a.workers[w]
	e.lastID++
	id := CheckID(e.lastID)
	c := &check{worker: target, sentAt: e.now}
	e.checks[id] = c
	e.counts.Checks++
	if target.link == nil {
		e.deferred = append(e.deferred, func() { e.CheckEnded(id, router.ConnectFailed, nil) })
		return
	}
	e.timers.Set(&c.timeout, e.now+e.orderTimeout, func(router.Time) { e.CheckEnded(id, router.TimedOut, nil) })
	target.link.Check(id)
}

// OrderLoad implements router.Actions.
func (a *actions) OrderLoad(w router.WorkerID, fn router.FunctionID, n int, sendBy router.Time) {
	e, target := (*Engine)(a), a.workers[w]
	e.lastID++
	id := OrderID(e.lastID)
	o := &order{worker: target, fn: fn, sentAt: e.now}
	e.orders[id] = o
	f, known := e.functions[fn]
	if !known { // pruned: nobody has asked for it for long
		e.deferred = append(e.deferred, func() { e.LoadOrderEnded(id, router.NotSent, 0) })
		return
	}
	if n > 0 {
		e.counts.Orders++
		e.demand.OrderSent(fn, id)
	}
	if target.link == nil {
		e.deferred = append(e.deferred, func() { e.LoadOrderEnded(id, router.ConnectFailed, 0) })
		return
	}
	e.timers.Set(&o.timeout, e.now+e.orderTimeout, func(router.Time) { e.LoadOrderEnded(id, router.TimedOut, 0) })
	f.lastUsed = e.now
	e.functions[fn] = f
	target.link.OrderLoad(id, f.name, f.spec, n, min(sendBy, e.now+e.orderTimeout))
}

// SubscribeWorkers implements router.Actions.
func (a *actions) SubscribeWorkers() {
	if a.subscribe != nil {
		a.subscribe()
	}
}

// Log implements router.Actions.
func (a *actions) Log(text string) { a.log(text) }
