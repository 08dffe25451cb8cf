package router

import (
	"fmt"
	"math"
)

// This file decides for how long it may be believed that a worker does not drain, and whom to ask once that is over.
//
// Rule three binds as soon as discovery has told of a drain, and counts it as told a stated time into discovery's silence
// even where nothing was heard. Until then the list is evidence enough. Past it a drain counts as told the moment it
// begins, so that a call-out or an order needs evidence no older than the rule's grace: of a call-out that was served, of
// a load order that was carried out, or of a check that passed, each as of when it began. An ask for copies proves nothing:
// workers that drain answer it as ever.

// forever is the end of what does not run out.
const forever Time = math.MaxInt64

// never is before anything that was heard.
const never Time = math.MinInt64 / 2

// ConfirmWorkerList tells that the list was whole and true at a time: the one at which discovery was asked, when it has
// answered that nothing newer is known. An earlier time than before takes evidence back.
func (r *Router) ConfirmWorkerList(now, asOf Time) {
	r.now, r.dirty = now, true
	lapsed := r.listLapsed()
	r.listAsOf = asOf
	r.timeList()
	if !lapsed || r.listLapsed() {
		return
	}
	for _, w := range r.list { // the list tells by itself who has restarted
		w.refused, w.askNext, w.askPause = false, 0, 0
	}
}

// timeList works out until when the list alone allows a call-out or an order. Without a stated time discovery tells each
// change as it comes: the list holds until then.
func (r *Router) timeList() {
	r.listLasts, r.drainGrace = r.set.span("rules.list-lasts", 0), r.set.span("rules.drain", 0)
	switch {
	case r.listLasts == 0:
		r.listUntil = forever
	case r.listAsOf < r.wokeAt:
		r.listUntil = min(r.listAsOf+r.listLasts, r.sleptAt) + r.drainGrace
	default:
		r.listUntil = r.listAsOf + r.listLasts + r.drainGrace
	}
}

// MaxPause is the longest pause of the process that what is known, and what was decided, outlasts: half the grace, so that
// enough of it remains for what follows the pause. 0: the settings state no grace.
func MaxPause(s Settings) Time { return s.span("rules.drain", 0) / 2 }

// noticePause: the list holds since changes are heard of at once. While we stood still nothing was heard, and what was told
// then counts as told: a list from before a pause is evidence of when the pause began. It is asked for anew.
func (r *Router) noticePause() {
	if r.listLasts == 0 || r.now-r.turn <= MaxPause(r.set) || r.wokeAt == r.now {
		return
	}
	if r.listAsOf >= r.wokeAt { // else the list is older than a pause before this one
		r.sleptAt = r.turn
	}
	r.wokeAt = r.now
	r.timeList()
	r.port.Log(fmt.Sprintf("stood still for %d ms: the list is asked for anew", (r.now-r.turn)/ms))
	r.port.SubscribeWorkers()
}

// listLapsed: the list is too old to be evidence, each worker needs some of its own.
func (r *Router) listLapsed() bool { return r.now+beat > r.listUntil }

// sendBy is the last moment at which a call-out's or an order's first byte may go to the worker.
func (r *Router) sendBy(w *worker) Time {
	proven := w.provenAt
	if !r.suspected(w) {
		proven = max(proven, w.passedAt)
	}
	return max(r.listUntil, proven+r.drainGrace)
}

// suspected: the worker may drain and pass its checks, since it turned away what it had room for. The list, once it is
// confirmed as of later, knows better.
func (r *Router) suspected(w *worker) bool { return w.turnedAwayAt > max(r.listAsOf, 0) }

// confirmed: there is evidence that the worker does not drain, and time left to send on it.
func (r *Router) confirmed(w *worker) bool { return r.now+beat <= r.sendBy(w) }

// proved notes that the worker did not drain at a time. Evidence counts from when a question began: one that was answered
// after two seconds tells nothing of these two.
func (w *worker) proved(began Time) { w.provenAt = max(w.provenAt, began) }

// usable: the worker is confirmed, or may be by asking it.
func (r *Router) usable(w *worker) bool {
	return r.confirmed(w) || r.set.is("may.check") && r.now >= w.askNext && !(w.checking && r.now-w.askedAt > askWait)
}

// ask checks a worker that an RPC wants and that is not confirmed. Only those that are wanted are asked, and each once at
// a time: with many front ends more would be a crowd.
func (r *Router) ask(w *worker) {
	if !w.checking {
		r.check(w)
	}
}

func (r *Router) check(w *worker) {
	w.checking, w.askedAt = true, r.now
	r.port.Check(w.id)
}

// learnFromCheck takes a check's end as evidence for or against the worker.
func (r *Router) learnFromCheck(w *worker, o Outcome, began Time) {
	switch {
	case o == OK && r.suspected(w) && !r.looksBusy(w):
		w.postpone(r)
	case o == OK:
		w.turnedAwayAt = 0
		if w.refused { // it went, or drained, and is back: whatever it is by now, it began anew
			r.port.Log(fmt.Sprintf("worker %d passes its check again: taken for restarted", w.id))
			w.restart(r.now)
			w.refused = false
		}
		w.askPause = 0
		w.passedAt = max(w.passedAt, began)
	case o == Full: // no descriptor of ours was free: it tells nothing of the worker
		w.askNext = r.now + beat
	case r.listLapsed():
		if !w.refused {
			r.port.Log(fmt.Sprintf("worker %d is not confirmed: check ended with %s", w.id, o))
		}
		w.refused, w.turnedAwayAt = true, 0
		w.postpone(r)
	}
}

// postpone has a worker asked again after a doubling pause.
func (w *worker) postpone(r *Router) {
	w.askPause = min(max(2*w.askPause, illBackMin), illBackMax)
	w.askNext = r.now + w.askPause
}

// learnFromRefusal: full proves neither that a worker drains nor that it does not. But one that looks idle and turns away
// what a warm copy has lanes for may drain, and its checks are then no evidence, those before it neither. That may begin
// long before the list is too old.
func (r *Router) learnFromRefusal(w *worker, cold bool) {
	if !cold && !r.looksBusy(w) && r.set.num("report.values.util", -1) >= 0 {
		w.turnedAwayAt = r.now
	}
}

// looksBusy: a recent report explains why it would turn RPCs away.
func (r *Router) looksBusy(w *worker) bool {
	return r.now-w.told < reportLasts && (w.util >= idleUtil || w.pinned > pinnedFull)
}

// rarelyConfirmed: only RPCs keep workers confirmed, since checks are not allowed and the list gets old. A worker that no
// longer is can't be used again until the list comes.
func (r *Router) rarelyConfirmed() bool {
	return r.listLasts > 0 && r.now > r.listAsOf+r.listLasts/2 && !r.set.is("may.check")
}

// watchList logs when the list grows too old to be used alone, and when it is confirmed again.
func (r *Router) watchList() {
	lapsed := r.listLapsed()
	if lapsed == r.wasLapsed {
		return
	}
	r.wasLapsed = lapsed
	if !lapsed {
		r.port.Log("the list is confirmed again")
		return
	}
	age := "never confirmed"
	if r.listAsOf > never {
		age = fmt.Sprintf("confirmed %d ms ago", (r.now-r.listAsOf)/ms)
	}
	r.port.Log(fmt.Sprintf("the list is too old, %s: each worker needs evidence of its own, checks allowed: %t", age, r.set.is("may.check")))
}
