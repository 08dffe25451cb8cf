package router

import (
	"fmt"
	"math"
)

// This file decides for how long a worker is assumed not to drain, and which workers are checked after that.
//
// Rule three binds as soon as discovery has reported a drain. If discovery has been silent for a stated time
// (listMaxAge), a drain counts as reported even if no report arrived. Until then the worker list is evidence enough.
// After that a drain counts as reported the moment it begins, so a call-out or load order needs evidence that is no
// older than the rule's grace: a call-out that was served, a load order that was carried out, or a check that passed,
// each dated to its start. A question for copies proves nothing, since workers that drain answer it as usual.

// forever is a time that never comes.
const forever Time = math.MaxInt64

// never is a time before all events.
const never Time = math.MinInt64 / 2

// ConfirmWorkerList reports that the worker list was complete and correct at asOf: the time of a request that discovery
// answered with "nothing newer". A time before the previous one withdraws evidence.
func (r *Router) ConfirmWorkerList(now, asOf Time) {
	r.now, r.dirty = now, true
	wasExpired := r.listExpired()
	r.listAsOf = asOf
	r.updateListValidity()
	if !wasExpired || r.listExpired() {
		return
	}
	for _, w := range r.sortedWorkers { // the list itself shows which workers have restarted
		w.checkFailed, w.nextCheck, w.checkPause = false, 0, 0
	}
}

// updateListValidity computes until when the list alone allows a call-out or load order. Without a maximum age
// discovery reports each change at once, and the list is always valid.
func (r *Router) updateListValidity() {
	r.listMaxAge, r.drainGrace = r.settings.duration("rules.list-lasts", 0), r.settings.duration("rules.drain", 0)
	switch {
	case r.listMaxAge == 0:
		r.listValidUntil = forever
	case r.listAsOf < r.pauseEnd:
		r.listValidUntil = min(r.listAsOf+r.listMaxAge, r.pauseStart) + r.drainGrace
	default:
		r.listValidUntil = r.listAsOf + r.listMaxAge + r.drainGrace
	}
}

// MaxPause is the longest pause of the process after which earlier knowledge and decisions are still valid: half the
// drain grace, so that enough of it remains for what follows. It is 0 if the settings state no grace.
func MaxPause(s Settings) Time { return s.duration("rules.drain", 0) / 2 }

// detectPause handles a pause of the process. The list is valid only because changes arrive at once. Nothing arrives
// during a pause, but what was sent then counts as reported: a list from before the pause is evidence only up to its
// start, and is requested again.
func (r *Router) detectPause() {
	if r.listMaxAge == 0 || r.now-r.lastDispatch <= MaxPause(r.settings) || r.pauseEnd == r.now {
		return
	}
	if r.listAsOf >= r.pauseEnd { // otherwise the list is older than an earlier pause
		r.pauseStart = r.lastDispatch
	}
	r.pauseEnd = r.now
	r.updateListValidity()
	r.actions.Log(fmt.Sprintf("process paused for %d ms: requesting the worker list again", (r.now-r.lastDispatch)/ms))
	r.actions.SubscribeWorkers()
}

// listExpired reports whether the list is too old to be evidence, so that each worker needs evidence of its own.
func (r *Router) listExpired() bool { return r.now+housekeepingInterval > r.listValidUntil }

// sendDeadline is the last moment at which the first byte of a call-out or load order may be sent to the worker.
func (r *Router) sendDeadline(w *worker) Time {
	evidence := w.evidenceAt
	if !r.suspected(w) {
		evidence = max(evidence, w.checkPassedAt)
	}
	return max(r.listValidUntil, evidence+r.drainGrace)
}

// suspected reports whether the worker may be draining although it passes its checks: it refused RPCs that it had room
// for. A list confirmed as of a later time overrules this.
func (r *Router) suspected(w *worker) bool { return w.idleRefusalAt > max(r.listAsOf, 0) }

// confirmed reports whether there is evidence that the worker does not drain, with time left to send.
func (r *Router) confirmed(w *worker) bool { return r.now+housekeepingInterval <= r.sendDeadline(w) }

// addEvidence records that the worker did not drain at startedAt. Evidence is dated to the start of a request: an
// answer after two seconds proves nothing about those two seconds.
func (w *worker) addEvidence(startedAt Time) { w.evidenceAt = max(w.evidenceAt, startedAt) }

// usable reports whether the worker is confirmed, or a check may confirm it.
func (r *Router) usable(w *worker) bool {
	return r.confirmed(w) || r.settings.enabled("may.check") && r.now >= w.nextCheck && !(w.checkPending && r.now-w.checkSentAt > askTimeout)
}

// ensureCheck checks an unconfirmed worker that an RPC needs, unless a check is pending. Workers that no RPC needs are
// not checked: with many front ends the checks would add up.
func (r *Router) ensureCheck(w *worker) {
	if !w.checkPending {
		r.startCheck(w)
	}
}

func (r *Router) startCheck(w *worker) {
	w.checkPending, w.checkSentAt = true, r.now
	r.actions.Check(w.id)
}

// learnFromCheck takes the end of a check as evidence for or against the worker.
func (r *Router) learnFromCheck(w *worker, o Outcome, startedAt Time) {
	switch {
	case o == OK && r.suspected(w) && !r.looksBusy(w):
		w.postponeCheck(r)
	case o == OK:
		w.idleRefusalAt = 0
		// A worker that failed its check was removed or drained. Now it is back, so it is assumed to have restarted.
		if w.checkFailed {
			r.actions.Log(fmt.Sprintf("worker %d passes its check again: assumed to have restarted", w.id))
			w.resetForRestart(r.now)
			w.checkFailed = false
		}
		w.checkPause = 0
		w.checkPassedAt = max(w.checkPassedAt, startedAt)
	case o == Full || o == NotSent: // for want of descriptors, or of time: the result says nothing about the worker
		w.nextCheck = r.now + housekeepingInterval
	case r.listExpired():
		if !w.checkFailed {
			r.actions.Log(fmt.Sprintf("worker %d is not confirmed: check ended with %s", w.id, o))
		}
		w.checkFailed, w.idleRefusalAt = true, 0
		w.postponeCheck(r)
	}
}

// postponeCheck delays the next check of the worker by a pause that doubles each time.
func (w *worker) postponeCheck(r *Router) {
	w.checkPause = min(max(2*w.checkPause, minUnhealthyPause), maxUnhealthyPause)
	w.nextCheck = r.now + w.checkPause
}

// learnFromRefusal handles the outcome Full. It proves neither that the worker drains nor that it does not. But a
// worker that looks idle and refuses RPCs for which its warm copy has lanes may be draining, and then its checks are no
// evidence, nor are earlier ones. This may begin long before the list expires.
func (r *Router) learnFromRefusal(w *worker, awaitedLoad bool) {
	if !awaitedLoad && !r.looksBusy(w) && r.settings.number("report.values.util", -1) >= 0 {
		w.idleRefusalAt = r.now
	}
}

// looksBusy reports whether a recent report explains why the worker refuses RPCs.
func (r *Router) looksBusy(w *worker) bool {
	return r.now-w.reportedAt < reportValidity && (w.util >= idleUtil || w.pinned > fullPinnedShare)
}

// onlyRPCsConfirm reports whether RPCs alone keep workers confirmed, since checks are not allowed and the list grows
// old. A worker that is no longer confirmed then stays unusable until the next list.
func (r *Router) onlyRPCsConfirm() bool {
	return r.listMaxAge > 0 && r.now > r.listAsOf+r.listMaxAge/2 && !r.settings.enabled("may.check")
}

// logListExpiry logs when the list becomes too old to be evidence, and when it is confirmed again.
func (r *Router) logListExpiry() {
	expired := r.listExpired()
	if expired == r.listWasExpired {
		return
	}
	r.listWasExpired = expired
	if !expired {
		r.actions.Log("worker list confirmed again")
		return
	}
	age := "never confirmed"
	if r.listAsOf > never {
		age = fmt.Sprintf("confirmed %d ms ago", (r.now-r.listAsOf)/ms)
	}
	r.actions.Log(fmt.Sprintf("worker list too old, %s: each worker needs evidence of its own, checks allowed: %t", age, r.settings.enabled("may.check")))
}
