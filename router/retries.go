package router

import "slices"

// This file decides whether an RPC may have a further call-out.

// attemptsExhausted reports whether the RPC has had all call-outs that the settings allow.
func (p *RPC) attemptsExhausted() bool {
	return len(p.callOuts) >= int(p.router.settings.number("may.call-outs", 1))
}

// mayRetryAt enforces rule two: it reports whether a further call-out may go to the worker.
func (p *RPC) mayRetryAt(w *worker) bool {
	if p.inFlight > 0 || p.riskWorker == nil || p.method.effect == Idempotent {
		return p.inFlight == 0
	}
	group := p.method.group == "all" || p.method.group == "zone" && w.zone == p.riskWorker.zone ||
		p.method.group == "cell" && w.cell == p.riskWorker.cell
	return p.method.effect == Tokened && group && p.router.now+2*housekeepingInterval <= p.riskSince+p.method.window
}

// send starts a call-out at the worker.
func (p *RPC) send(w *worker) {
	r := p.router
	p.dequeue()
	cs := w.copies[p.fn.id]
	cs.lastUse, w.trialAllowed = r.now, false
	cs.inFlight++
	w.inFlight++
	p.fn.inFlight++
	p.callOuts, p.blockReason = append(p.callOuts, callOut{worker: w, copies: cs, sentAt: r.now, pausedBefore: r.pausedTime, awaitsLoad: cs.loading}), NoTime
	if p.inFlight++; p.inFlight == 1 {
		r.inFlight = append(r.inFlight, p)
	}
	if p.riskWorker == nil {
		p.riskWorker, p.riskSince = w, r.now
	}
	if r.isCold(w) {
		w.coldSent = append(w.coldSent, callOut{sentAt: r.now, cost: p.method.meanCost()})
	}
	r.actions.Send(p.id, w.id, 0, r.sendDeadline(w))
}

// ClientLeft ends the RPC, whose client left, without an answer. Call-outs in flight still report their end.
func (p *RPC) ClientLeft(now Time) {
	p.router.now, p.router.dirty = now, true
	p.dequeue()
	p.ended = true
}

// Finished reports whether no further event of the RPC can occur.
func (p *RPC) Finished() bool { return p.ended && p.inFlight == 0 }

// CallOutEnded handles the end of the n-th call-out. Closed: the RPC needs no further answer; concurrent: RPCs of the
// function that the call-out met at the worker.
func (p *RPC) CallOutEnded(now Time, n int, _ WorkerID, o Outcome, closed bool, warmth Warmth, concurrent int, took Time,
	report []float64) {
	r := p.router
	r.now, r.dirty = now, true
	if n >= len(p.callOuts) || p.callOuts[n].ended {
		return
	}
	c := &p.callOuts[n]
	c.ended = true
	c.worker.inFlight--
	c.copies.inFlight--
	p.fn.inFlight--
	if p.inFlight--; p.inFlight == 0 {
		r.inFlight = slices.DeleteFunc(r.inFlight, func(q *RPC) bool { return q == p })
	}
	c.worker.applyReport(r, report)
	p.learnFromCallOut(c, o, warmth, concurrent, took)
	if o == OK || o == Errored || o == TimedOut || o == Reset || o == Cancelled {
		p.mayHaveRun = true
	} else if !p.mayHaveRun && p.inFlight == 0 {
		p.riskWorker = nil
	}
	if p.ended = p.ended || closed; p.ended || p.inFlight > 0 {
		return
	}
	if p.mayHaveRun && p.method.effect == SideEffecting || o == TimedOut && !c.cancelled || r.now >= p.giveUpAt() ||
		p.attemptsExhausted() {
		p.giveUp()
		return
	}
	p.enqueue()
}
