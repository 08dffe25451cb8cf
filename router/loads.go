package router

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// This file decides when a copy is loaded, and what its end teaches: caps, pace, orders and their ration.

// count drops instances that idled past the least keep-alive, and counts the rest and the loads under way.
func (r *Router) count() {
	r.pending, r.total, r.totalCap = 0, 0, 0
	for _, w := range r.list {
		for id, in := range w.holds {
			keep := r.set.span("functions.keep-alive", 10*sec)
			if in.asked {
				keep = askWait
			}
			if in.loading {
				if !in.lost(r.fns[id], r.now) {
					r.pending++
				}
			} else if in.active == 0 && r.now-in.lastUse >= keep {
				delete(w.holds, id)
				continue
			}
			r.total += in.copies
		}
		if w.state == Ready {
			r.totalCap += r.memory(w)
		}
	}
	if r.totalCap *= float64(len(r.fns)) / max(r.seen, 1); r.totalCap == 0 {
		r.totalCap = totalCap
	}
}

// order has a copy loaded that no RPC rides on.
func (p *RPC) order(w *worker) {
	p.begin(w).ordered = true
	p.r.orders = append(p.r.orders, p.r.now)
	p.r.port.OrderLoad(w.id, p.fn.id, 1, p.r.sendBy(w))
}

// begin notes a load under way.
func (p *RPC) begin(w *worker) *instance {
	in := w.holds[p.fn.id]
	if in == nil {
		in = &instance{}
		w.holds[p.fn.id] = in
	}
	in.copies, in.loading, in.ordered, in.since, in.lastUse = max(in.copies, 1), true, false, p.r.now, p.r.now
	p.r.pending++
	p.r.total++
	return in
}

// lost: a worker that hangs answers no order; it keeps no RPC waiting and takes no other load's place.
func (in *instance) lost(fn *function, now Time) bool {
	return in.ordered && float64(now-in.since) > loadLost*fn.load
}

// load starts a load under the caps. Where orders are allowed and the ration has room it is ordered, and the
// RPC waits for whichever copy is free first; else the RPC goes to the loading worker at once.
// Exception: where lanes stand free at a worker that holds our share, another copy helps only on idle cores.
func (p *RPC) load(count int, roomy bool) bool {
	r, fn := p.r, p.fn
	need := max(fn.recent(r.now), float64(fn.out+1))
	limit := min(math.Ceil(need/float64(fn.lanes)), max(fnCap, need))
	// Exception: an RPC held for as long as a load takes lifts the cap to the design's own figure.
	if p.queued && float64(r.now-p.at) > fn.load {
		limit = max(fnCap, need)
	}
	if float64(count) >= limit {
		return p.keep(FunctionCap)
	} else if float64(r.total+1) > r.totalCap {
		return p.keep(FleetCap)
	} else if r.now < fn.loadNext {
		return p.keep(LoadBackoff)
	} else if float64(r.pending)*r.realShare >= max(r.loadLimit, 1) {
		return p.keep(LoadPace)
	}
	homes := p.homes()
	told := r.set.num("report.values.util", -1) >= 0
	if len(homes) == 0 || roomy && !(told && homes[0].util < idleUtil) {
		return false
	}
	// Exception: where it may, it first asks the first homes for copies that others brought there.
	if r.set.is("functions.orders") && r.now >= fn.askNext {
		fn.askNext = r.now + askLasts
		for _, w := range homes[:min(askHomes, len(homes))] {
			w.holds[fn.id] = &instance{asked: true, lastUse: r.now}
			r.port.OrderLoad(w.id, fn.id, 0, forever)
		}
		return p.keep(Asking)
	}
	if !r.loadPaceAllows(fn) {
		return p.keep(LoadPace)
	} else if !r.confirmed(homes[0]) {
		r.ask(homes[0])
		return p.keep(Unconfirmed)
	}
	r.tokens -= r.realShare
	if fn.errors >= loadErrors {
		fn.loadNext = r.now + fn.backoff // one trial load
	}
	if r.set.is("functions.orders") && r.orderRationAllows() {
		p.order(homes[0])
		return false
	}
	p.begin(homes[0])
	p.send(homes[0])
	return true
}

// loadPaceAllows paces loads by what the store is seen to take; our share may be below one at a time. Only
// the part of them counts that found no copy of another front end's.
func (r *Router) loadPaceAllows(fn *function) bool {
	r.tokens = min(r.tokens+r.loadLimit*float64(r.now-r.tokensAt)/fn.load, max(r.loadLimit, 1))
	r.tokensAt = r.now
	return r.tokens >= r.realShare
}

// orderRationAllows keeps rule five: orders within the window, this one included, under the ration. The
// window is widened by slack: clocks are cut to whole units.
func (r *Router) orderRationAllows() bool {
	window := r.set.span("functions.load-window", 0)
	within := func(times []Time, slack Time) []Time {
		return slices.DeleteFunc(times, func(t Time) bool { return t < r.now-window-slack })
	}
	r.orders, r.taken = within(r.orders, ms), within(r.taken, -ms)
	ration := r.set.num("functions.load-free", 0) + r.set.num("functions.load-share", 0)*float64(len(r.taken))
	return window == 0 || float64(len(r.orders)+1) <= ration
}

// loaded ends a load, or renews the belief in a warm instance.
func (r *Router) loaded(fn *function, in *instance, cold, began bool, took float64) {
	if in.loading {
		in.loading, in.since = false, r.now
		r.loadsSeen++
		weight := 1 / min(realOver, r.loadsSeen+1)
		if r.realShare -= r.realShare * weight; began {
			r.realShare += weight
		}
	}
	if !cold {
		return
	}
	if fn.errors >= loadErrors {
		r.port.Log(fmt.Sprintf("function %d loads again", fn.id))
	}
	fn.errors, fn.backoff = 0, loadBackMin
	if r.wasPaused() {
		return
	}
	// the store is shared: loads that take far longer than usual mean fewer at once, everywhere
	if r.loadLimit += r.loadShare / 16; took > 2.5*fn.load {
		r.loadLimit = max(r.loadShare/8, r.loadLimit*0.8)
	}
	fn.load += (min(took, 3*fn.load) - fn.load) / 4
	r.load = cmp.Or(r.load, took)
	r.load += (min(took, 3*r.load) - r.load) / 16
}

// LoadsHalted tells whether loads of the function are halted and no copy of it is believed to stand.
func (r *Router) LoadsHalted(id FunctionID) bool {
	fn := r.fns[id]
	return fn != nil && fn.errors >= loadErrors && !slices.ContainsFunc(r.list, func(w *worker) bool {
		in := w.holds[id]
		return in != nil && !in.loading && !in.asked
	})
}

// loadFailed counts a load error; the third in a row halts loads of the function. The store may fail all of
// them: until some have ended well, each is taken to find no copy.
func (r *Router) loadFailed(fn *function) {
	r.loadLimit = max(r.loadShare/8, r.loadLimit/2)
	r.tokens, r.realShare, r.loadsSeen = r.tokens-(1-r.realShare), 1, 0
	if fn.errors++; fn.errors < loadErrors {
		return
	}
	if fn.errors == loadErrors {
		r.port.Log(fmt.Sprintf("function %d halted: %d load errors", fn.id, fn.errors))
	}
	fn.loadNext = r.now + fn.backoff
	fn.backoff = min(2*fn.backoff, loadBackMax)
}

// LoadOrderEnded answers a load order.
func (r *Router) LoadOrderEnded(now Time, id WorkerID, fid FunctionID, o Outcome, copies int, took Time) {
	r.now, r.dirty = now, true
	r.noticePause()
	w, fn := r.record(id), r.fns[fid]
	in := w.holds[fid]
	if began := now - took; o == OK && in != nil && in.ordered && began >= in.since { // else a question's late answer
		w.proved(in.since)
	}
	if in == nil || in.asked {
		delete(w.holds, fid)
		if copies > 0 && w.state == Ready {
			w.holds[fid] = &instance{copies: copies, since: now, lastUse: now}
		}
		return
	}
	switch {
	case copies == 0 && !in.ordered: // a late answer to a question
	case o == Reset && !in.lost(fn, now) && w.state == Ready && r.confirmed(w) && r.orderRationAllows():
		r.orders = append(r.orders, now) // the order stands, but nobody would tell of its end
		r.port.OrderLoad(id, fid, 1, r.sendBy(w))
	case o == OK || copies > 0:
		in.copies, in.lastUse, in.ordered = max(copies, 1), now, false
		w.heard = now
		r.loaded(fn, in, in.loading, in.loading, float64(took))
	case o == Errored:
		delete(w.holds, fn.id)
		r.loadFailed(fn)
	case o == Full:
		w.fullUntil = now + sec/4
		delete(w.holds, fn.id)
	default:
		delete(w.holds, fn.id)
		fn.loadNext = max(fn.loadNext, now+fn.backoff)
	}
}
