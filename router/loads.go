package router

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// This file decides when a copy is loaded, and what is learned when a load ends: caps, pace, load orders and their
// ration.

// countCopies drops copies that have been idle for the minimum keep-alive time, and recounts the remaining ones, the
// loads in progress, and the cap of copies that the workers' memory allows.
func (r *Router) countCopies() {
	r.pendingLoads, r.totalCopies, r.maxCopies = 0, 0, 0
	for _, w := range r.sortedWorkers {
		for id, cs := range w.copies {
			keepAlive := r.settings.duration("functions.keep-alive", 10*sec)
			if cs.asked {
				keepAlive = askTimeout
			}
			if cs.loading {
				if !cs.orderOverdue(r.functions[id], r.now) {
					r.pendingLoads++
				}
			} else if cs.inFlight == 0 && r.now-cs.lastUse >= keepAlive {
				delete(w.copies, id)
				continue
			}
			r.totalCopies += cs.count
		}
		if w.state == Ready {
			r.maxCopies += r.workerMemory(w)
		}
	}
	if r.maxCopies *= float64(len(r.functions)) / max(r.functionMemory, 1); r.maxCopies == 0 {
		r.maxCopies = defaultMaxCopies
	}
}

// orderLoad orders a copy at the worker without sending the RPC there.
func (p *RPC) orderLoad(w *worker) {
	p.beginLoad(w).byOrder = true
	p.router.recentOrders = append(p.router.recentOrders, p.router.now)
	p.router.actions.OrderLoad(w.id, p.fn.id, 1, p.router.sendDeadline(w))
}

// beginLoad records that a load starts at the worker.
func (p *RPC) beginLoad(w *worker) *copySet {
	cs := w.copies[p.fn.id]
	if cs == nil {
		cs = &copySet{}
		w.copies[p.fn.id] = cs
	}
	cs.count, cs.loading, cs.byOrder, cs.stateSince, cs.lastUse = max(cs.count, 1), true, false, p.router.now, p.router.now
	p.router.pendingLoads++
	p.router.totalCopies++
	return cs
}

// orderOverdue reports whether a load order has gone unanswered for too long, as at a worker that hangs. Such an order
// keeps no RPC waiting and does not count against the cap of loads.
func (cs *copySet) orderOverdue(fn *function, now Time) bool {
	return cs.byOrder && float64(now-cs.stateSince) > orderOverdueFactor*fn.loadTime
}

// startLoad starts a load of the RPC's function within the caps, and reports whether the RPC was sent. Where load
// orders are allowed and the ration has room, the copy is ordered and the RPC waits for the first free copy; else the
// RPC itself is sent to the worker and starts the load. Copies is the number of the function's copies, freeLane whether
// one has a free lane. Exception: if lanes are free at a worker that has this front end's share of RPCs, a further copy
// is loaded only on idle cores.
func (p *RPC) startLoad(copies int, freeLane bool) bool {
	r, fn := p.router, p.fn
	peak := max(fn.recentPeak(r.now), float64(fn.inFlight+1))
	limit := min(math.Ceil(peak/float64(fn.lanes)), max(functionCopyCap, peak))
	// Exception: an RPC queued for longer than a load takes raises the limit to the design's own cap.
	if p.queued && float64(r.now-p.submittedAt) > fn.loadTime {
		limit = max(functionCopyCap, peak)
	}
	if float64(copies) >= limit {
		return p.block(FunctionCap)
	} else if float64(r.totalCopies+1) > r.maxCopies {
		return p.block(FleetCap)
	} else if r.now < fn.nextLoad {
		return p.block(LoadBackoff)
	} else if float64(r.pendingLoads)*r.storeLoadShare >= max(r.maxLoads, 1) {
		return p.block(LoadPace)
	}
	homes := p.homeWorkers()
	utilReported := r.settings.number("report.values.util", -1) >= 0
	if len(homes) == 0 || freeLane && !(utilReported && homes[0].util < idleUtil) {
		return false
	}
	// Exception: where load orders are allowed, the first home workers are asked for copies that other front ends had
	// loaded.
	if r.settings.enabled("functions.orders") && r.now >= fn.nextAsk {
		fn.nextAsk = r.now + askInterval
		for _, w := range homes[:min(maxAskedHomes, len(homes))] {
			w.copies[fn.id] = &copySet{asked: true, lastUse: r.now}
			r.actions.OrderLoad(w.id, fn.id, 0, forever)
		}
		return p.block(Asking)
	}
	if !r.loadPaceAllows(fn) {
		return p.block(LoadPace)
	} else if !r.confirmed(homes[0]) {
		r.ensureCheck(homes[0])
		return p.block(Unconfirmed)
	}
	r.loadTokens -= r.storeLoadShare
	if fn.loadErrors >= haltAfterErrors {
		fn.nextLoad = r.now + fn.loadBackoff // one trial load per backoff
	}
	if r.settings.enabled("functions.orders") && r.orderRationAllows() {
		p.orderLoad(homes[0])
		return false
	}
	p.beginLoad(homes[0])
	p.send(homes[0])
	return true
}

// loadPaceAllows paces loads by a token bucket that follows what the store sustains; this front end's share may be less
// than one load at a time. Only the share of loads that use the store counts: the others find a copy of another front
// end.
func (r *Router) loadPaceAllows(fn *function) bool {
	r.loadTokens = min(r.loadTokens+r.maxLoads*float64(r.now-r.loadTokensAt)/fn.loadTime, max(r.maxLoads, 1))
	r.loadTokensAt = r.now
	return r.loadTokens >= r.storeLoadShare
}

// orderRationAllows enforces rule five: the load orders within the window, a new one included, stay within the ration.
// Since times are truncated to whole units, orders count for 1 ms longer than the window and RPCs for 1 ms less.
func (r *Router) orderRationAllows() bool {
	window := r.settings.duration("functions.load-window", 0)
	within := func(times []Time, margin Time) []Time {
		return slices.DeleteFunc(times, func(t Time) bool { return t < r.now-window-margin })
	}
	r.recentOrders, r.recentSubmits = within(r.recentOrders, ms), within(r.recentSubmits, -ms)
	ration := r.settings.number("functions.load-free", 0) + r.settings.number("functions.load-share", 0)*float64(len(r.recentSubmits))
	return window == 0 || float64(len(r.recentOrders)+1) <= ration
}

// loadEnded updates the records after a load, or after an answer from a warm copy. The parameter includedLoad tells
// whether a load took place, which then lasted for took; startedLoad tells whether it was started for this front end,
// and did not find or join another one's.
func (r *Router) loadEnded(fn *function, cs *copySet, includedLoad, startedLoad bool, took float64) {
	if cs.loading {
		cs.loading, cs.stateSince = false, r.now
		r.loadsEnded++
		weight := 1 / min(storeShareLoads, r.loadsEnded+1)
		if r.storeLoadShare -= r.storeLoadShare * weight; startedLoad {
			r.storeLoadShare += weight
		}
	}
	if !includedLoad {
		return
	}
	if fn.loadErrors >= haltAfterErrors {
		r.actions.Log(fmt.Sprintf("function %d loads again", fn.id))
	}
	fn.loadErrors, fn.loadBackoff = 0, minLoadBackoff
	if r.wasPaused() {
		return
	}
	// The store is shared: loads that take far longer than usual mean that all front ends must load less at once.
	if r.maxLoads += r.loadShare / 16; took > 2.5*fn.loadTime {
		r.maxLoads = max(r.loadShare/8, r.maxLoads*0.8)
	}
	fn.loadTime += (min(took, 3*fn.loadTime) - fn.loadTime) / 4
	r.meanLoadTime = cmp.Or(r.meanLoadTime, took)
	r.meanLoadTime += (min(took, 3*r.meanLoadTime) - r.meanLoadTime) / 16
}

// LoadsHalted reports whether loads of the function are halted and no copy of it is believed to be loaded.
func (r *Router) LoadsHalted(id FunctionID) bool {
	fn := r.functions[id]
	return fn != nil && fn.loadErrors >= haltAfterErrors && !slices.ContainsFunc(r.sortedWorkers, func(w *worker) bool {
		cs := w.copies[id]
		return cs != nil && !cs.loading && !cs.asked
	})
}

// loadFailed counts a load error; the third in a row halts loads of the function. The store may be failing all loads,
// so until some succeed each load is assumed to find no copy and to use the store.
func (r *Router) loadFailed(fn *function) {
	r.maxLoads = max(r.loadShare/8, r.maxLoads/2)
	r.loadTokens, r.storeLoadShare, r.loadsEnded = r.loadTokens-(1-r.storeLoadShare), 1, 0
	if fn.loadErrors++; fn.loadErrors < haltAfterErrors {
		return
	}
	if fn.loadErrors == haltAfterErrors {
		r.actions.Log(fmt.Sprintf("function %d halted: %d load errors", fn.id, fn.loadErrors))
	}
	fn.nextLoad = r.now + fn.loadBackoff
	fn.loadBackoff = min(2*fn.loadBackoff, maxLoadBackoff)
}

// LoadOrderEnded handles the end of a load order, or the answer to a question for copies.
func (r *Router) LoadOrderEnded(now Time, id WorkerID, functionID FunctionID, o Outcome, copies int, took Time) {
	r.now, r.dirty = now, true
	r.detectPause()
	w, fn := r.workerRecord(id), r.functions[functionID]
	cs := w.copies[functionID]
	// An earlier start means that this is the late answer to a question for copies.
	if startedAt := now - took; o == OK && cs != nil && cs.byOrder && startedAt >= cs.stateSince {
		w.addEvidence(cs.stateSince)
	}
	if cs == nil || cs.asked {
		delete(w.copies, functionID)
		if copies > 0 && w.state == Ready {
			w.copies[functionID] = &copySet{count: copies, stateSince: now, lastUse: now}
		}
		return
	}
	switch {
	case copies == 0 && !cs.byOrder: // late answer to a question for copies
	case o == Reset && !cs.orderOverdue(fn, now) && w.state == Ready && r.confirmed(w) && r.orderRationAllows():
		r.recentOrders = append(r.recentOrders, now) // the worker still loads, but could not report the end
		r.actions.OrderLoad(id, functionID, 1, r.sendDeadline(w))
	case o == OK || copies > 0:
		cs.count, cs.lastUse, cs.byOrder = max(copies, 1), now, false
		w.lastAnswer = now
		r.loadEnded(fn, cs, cs.loading, cs.loading, float64(took))
	case o == Errored:
		delete(w.copies, fn.id)
		r.loadFailed(fn)
	case o == Full:
		w.fullUntil = now + sec/4
		delete(w.copies, fn.id)
	default:
		delete(w.copies, fn.id)
		fn.nextLoad = max(fn.nextLoad, now+fn.loadBackoff)
	}
}
