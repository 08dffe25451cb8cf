package router

import (
	"cmp"
	"slices"
)

// This file decides RPCs that are held: their order, and when they are given up.

// hold queues the RPC; a full queue gives up its least gain, latest first.
func (p *RPC) hold() {
	r := p.r
	p.queued = true
	p.fn.held++
	r.held = append(r.held, p)
	least := p
	for _, q := range r.held {
		if p.fn.held > queueCap && q.fn == p.fn && q.worth() < least.worth() {
			least = q
		}
	}
	if r.now >= p.leaveAt() { // a client's last try may come with almost no time left
		p.giveUp()
	} else if p.fn.held > queueCap {
		least.giveUp()
	}
}

func (p *RPC) unhold() {
	if p.queued {
		p.queued = false
		p.fn.held--
		p.r.held = slices.DeleteFunc(p.r.held, func(q *RPC) bool { return q == p })
	}
}

// giveUp answers at once: denied where a retry is harmless, to come back as late as is heeded, else aborted.
func (p *RPC) giveUp() {
	p.unhold()
	p.ended = true
	if (p.mayHave || p.out > 0) && (p.m.effect == SideEffecting || p.m.effect == Tokened && p.m.group != "all") {
		p.r.port.Abort(p.id, p.reason)
		return
	}
	comeBack := p.r.set.span("may.come-back", 0)
	if p.r.set["may.advise"] == false {
		comeBack = 0 // clients are not given it; their own back-off is all there is
	}
	p.r.port.Deny(p.id, comeBack, p.reason)
}

// leaveAt is the last moment at which sending a held RPC still makes sense; at it, it is given up. A client's
// repeat comes after a try has spent all its time: where that was short, the RPC likely works for longer. One
// that never went out is given up while its client has half of its time left to try again elsewhere.
func (p *RPC) leaveAt() Time {
	need := p.work()
	if p.repeat {
		need *= repeatWorks
	}
	leave := p.end - max(Time(need), 2*beat)
	if len(p.calls) == 0 {
		leave = min(leave, max(p.late, p.end-(p.end-p.at)/2)-2*beat)
	}
	return leave
}

// work is the RPC's usual time on a warm instance.
func (p *RPC) work() float64 { return p.fn.work * p.size }

// timeToLoad: the client waits for long enough for a load and the RPC's own work.
func (p *RPC) timeToLoad() bool { return float64(p.end-p.r.now) >= p.fn.load+p.work() }

// worth is what an answer would earn now: past the soft deadline little, beyond the customer's share little.
func (p *RPC) worth() float64 {
	if p.r.now+Time(p.work()) > p.late {
		return p.gain * p.m.lateShare
	}
	return p.gain
}

// Dispatch sends what the moment's events made room for: higher gain first, then first come.
func (r *Router) Dispatch(now Time) {
	if r.now = now; !r.dirty {
		return
	}
	r.noticePause()
	if r.dirty = false; r.beats {
		r.beats = false
		r.housekeeping()
	}
	r.turn = now
	queue := slices.Clone(r.held)
	slices.SortStableFunc(queue, func(a, b *RPC) int {
		return cmp.Or(cmp.Compare(b.worth(), a.worth()), cmp.Compare(a.at, b.at))
	})
	stuck := map[*function]bool{}
	spare := map[bool]int{false: r.spare(false), true: r.spare(true)} // for RPCs that are late, and for others
	for _, p := range queue {
		late := p.worth() < p.gain
		if !p.queued || stuck[p.fn] && !p.keep(FunctionOrder) || spare[late] <= 0 && !p.keep(FleetShare) {
			continue
		}
		if p.place() {
			spare[false], spare[true] = r.spare(false), r.spare(true)
		} else {
			stuck[p.fn] = len(p.calls) == 0 && p.timeToLoad() // else others may go where it may not
		}
	}
}
