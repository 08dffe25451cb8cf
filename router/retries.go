package router

import "slices"

// This file decides when an RPC may have a further call-out.

// spent: the RPC has had all the call-outs that the settings allow.
func (p *RPC) spent() bool { return len(p.calls) >= int(p.r.set.num("may.call-outs", 1)) }

// mayRepeatAt keeps rule two for a further call-out.
func (p *RPC) mayRepeatAt(w *worker) bool {
	if p.out > 0 || p.risk == nil || p.m.effect == Idempotent {
		return p.out == 0
	}
	group := p.m.group == "all" || p.m.group == "zone" && w.zone == p.risk.zone ||
		p.m.group == "cell" && w.cell == p.risk.cell
	return p.m.effect == Tokened && group && p.r.now+2*beat <= p.riskAt+p.m.window
}

// send starts a call-out.
func (p *RPC) send(w *worker) {
	r := p.r
	p.unhold()
	in := w.holds[p.fn.id]
	in.lastUse, w.trial = r.now, false
	in.active++
	w.active++
	p.fn.out++
	p.calls, p.reason = append(p.calls, callOut{w: w, in: in, at: r.now, cold: in.loading}), NoTime
	if p.out++; p.out == 1 {
		r.out = append(r.out, p)
	}
	if p.risk == nil {
		p.risk, p.riskAt = w, r.now
	}
	if r.cold(w) {
		w.sent = append(w.sent, callOut{at: r.now, cost: p.m.mean()})
	}
	r.port.Send(p.id, w.id, 0, r.sendBy(w))
}

// ClientLeft tells that the client is gone: no answer is owed.
func (p *RPC) ClientLeft(now Time) {
	p.r.now, p.r.dirty = now, true
	p.unhold()
	p.ended = true
}

// Finished tells that nothing more can happen to the RPC.
func (p *RPC) Finished() bool { return p.ended && p.out == 0 }

// CallOutEnded tells how a call-out ended. Closed: no answer is owed; crowd: RPCs of its function that it met there.
func (p *RPC) CallOutEnded(now Time, n int, _ WorkerID, o Outcome, closed bool, warmth Warmth, crowd int, took Time,
	report []float64) {
	r := p.r
	r.now, r.dirty = now, true
	if n >= len(p.calls) || p.calls[n].done {
		return
	}
	c := &p.calls[n]
	c.done = true
	c.w.active--
	c.in.active--
	p.fn.out--
	if p.out--; p.out == 0 {
		r.out = slices.DeleteFunc(r.out, func(q *RPC) bool { return q == p })
	}
	c.w.report(r, report)
	p.judge(c, o, warmth, crowd, took)
	if o == OK || o == Errored || o == TimedOut || o == Reset || o == Cancelled {
		p.mayHave = true
	} else if !p.mayHave && p.out == 0 {
		p.risk = nil
	}
	if p.ended = p.ended || closed; p.ended || p.out > 0 {
		return
	}
	if p.mayHave && p.m.effect == SideEffecting || o == TimedOut && !c.retracted || r.now >= p.leaveAt() ||
		p.spent() {
		p.giveUp()
		return
	}
	p.hold()
}
