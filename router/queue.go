package router

import (
	"cmp"
	"slices"
)

// This file handles queued RPCs: their order, and when they are given up.

// enqueue queues the RPC. If its function has too many queued RPCs, the one with the least gain is given up, the latest
// among equals.
func (p *RPC) enqueue() {
	r := p.router
	p.queued = true
	p.fn.queued++
	r.queue = append(r.queue, p)
	least := p
	for _, q := range r.queue {
		if p.fn.queued > functionQueueCap && q.fn == p.fn && q.currentGain() < least.currentGain() {
			least = q
		}
	}
	if r.now >= p.giveUpAt() { // a client's last try may arrive with almost no time left
		p.giveUp()
	} else if p.fn.queued > functionQueueCap {
		least.giveUp()
	}
}

// dequeue removes the RPC from the queue if it is queued.
func (p *RPC) dequeue() {
	if p.queued {
		p.queued = false
		p.fn.queued--
		p.router.queue = slices.DeleteFunc(p.router.queue, func(q *RPC) bool { return q == p })
	}
}

// giveUp answers the RPC at once: denied where a retry is harmless, else aborted. A denied client is asked to retry
// after the longest time that clients respect.
func (p *RPC) giveUp() {
	p.dequeue()
	p.ended = true
	if (p.mayHaveRun || p.inFlight > 0) && (p.method.effect == SideEffecting || p.method.effect == Tokened && p.method.group != "all") {
		p.router.actions.Abort(p.id, p.blockReason)
		return
	}
	retryAfter := p.router.settings.duration("may.come-back", 0)
	if p.router.settings["may.advise"] == false {
		retryAfter = 0 // clients do not receive it and use their own backoff
	}
	p.router.actions.Deny(p.id, retryAfter, p.blockReason)
}

// giveUpAt is the time at which a queued RPC is given up: the last moment at which sending it is still useful. A
// client's repeat follows a try that used up its time; if that time was short, the RPC probably runs for longer than
// usual. An RPC that was never sent is given up, once it is late, while its client has half of its time left for a try
// elsewhere.
func (p *RPC) giveUpAt() Time {
	needed := p.runTime()
	if p.repeat {
		needed *= repeatTimeFactor
	}
	latest := p.timeoutAt - max(Time(needed), 2*housekeepingInterval)
	if len(p.callOuts) == 0 {
		latest = min(latest, max(p.softDeadline, p.timeoutAt-(p.timeoutAt-p.submittedAt)/2)-2*housekeepingInterval)
	}
	return latest
}

// runTime is the RPC's usual time on a warm copy.
func (p *RPC) runTime() float64 { return p.fn.runTime * p.relativeCost }

// hasTimeToLoad reports whether the client waits long enough for a load and the RPC's own run time.
func (p *RPC) hasTimeToLoad() bool {
	return float64(p.timeoutAt-p.router.now) >= p.fn.loadTime+p.runTime()
}

// currentGain is the gain of an answer if the RPC is sent now: less past the soft deadline. Submit reduces the gain of
// RPCs beyond their customer's share.
func (p *RPC) currentGain() float64 {
	if p.router.now+Time(p.runTime()) > p.softDeadline {
		return p.gain * p.method.lateShare
	}
	return p.gain
}

// Dispatch sends the RPCs that the events of this turn made room for: higher gain first, then in order of arrival. It
// does the housekeeping first if that is due.
func (r *Router) Dispatch(now Time) {
	if r.now = now; !r.dirty {
		return
	}
	r.detectPause()
	if r.wasPaused() {
		r.pausedTime += now - r.lastDispatch
	}
	if r.dirty = false; r.housekeepingDue {
		r.housekeepingDue = false
		r.housekeeping()
	}
	r.lastDispatch = now
	queue := slices.Clone(r.queue)
	slices.SortStableFunc(queue, func(a, b *RPC) int {
		return cmp.Or(cmp.Compare(b.currentGain(), a.currentGain()), cmp.Compare(a.submittedAt, b.submittedAt))
	})
	blocked := map[*function]bool{}
	allowance := map[bool]int{false: r.sendAllowance(false), true: r.sendAllowance(true)} // by whether the RPC is late
	for _, p := range queue {
		late := p.currentGain() < p.gain
		if !p.queued || blocked[p.fn] && !p.block(FunctionOrder) || allowance[late] <= 0 && !p.block(FleetShare) {
			continue
		}
		if p.place() {
			allowance[false], allowance[true] = r.sendAllowance(false), r.sendAllowance(true)
		} else {
			// An RPC that was sent before, or has no time for a load, may be barred from workers that the next RPC may
			// use.
			blocked[p.fn] = len(p.callOuts) == 0 && p.hasTimeToLoad()
		}
	}
}
