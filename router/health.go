package router

import (
	"fmt"
	"slices"
)

// This file decides which workers are unhealthy, and how they come back into use.

// learnFromCallOut updates the records of the worker, the copies and the function after a call-out.
func (p *RPC) learnFromCallOut(c *callOut, o Outcome, warmth Warmth, concurrent int, took Time) {
	r, w, fn, cs := p.router, c.worker, p.fn, c.copies
	if o == OK || o == Errored || o == NotLoaded || o == Full {
		w.lastAnswer = r.now
	}
	switch o {
	case OK:
		w.addEvidence(c.sentAt)
		if c.sentAt > w.idleRefusalAt {
			w.idleRefusalAt = 0
		}
		w.errorRate -= w.errorRate / 4
		w.recentWork += p.method.meanCost() / float64(workerWorkDecay)
		if current := w.copies[fn.id]; current == nil || current.asked {
			w.copies[fn.id] = cs
		}
		includedLoad := warmth == StartedLoad || warmth == JoinedLoad || warmth == WarmthUnknown && c.awaitsLoad &&
			float64(took) > p.runTime()+fn.loadTime/2
		r.loadEnded(fn, cs, includedLoad, includedLoad && warmth != JoinedLoad, max(float64(took)-p.runTime(), 0))
		cs.completed++
		weight := max(0.25, 1-decay(r.now-cs.reportedAt, othersDecay))
		cs.otherRPCs = cs.estimatedOthers(r.now)*(1-weight) + max(0, float64(concurrent-cs.inFlight))*weight
		cs.lastUse, cs.reportedAt = r.now, r.now
		if !includedLoad && !r.wasPaused() {
			r.learnFleetFactor(took <= p.method.softDeadline)
			// The rarer the answers, the more each one weighs.
			timeWeight := min(0.25, max(0.125, 1-decay(r.now-w.lastTimed, slownessDecay)))
			w.slowness, w.lastTimed = w.slowness+(min(float64(took)/p.runTime(), 10)-w.slowness)*timeWeight, r.now
			fn.runTime += (min(float64(took)/p.relativeCost, 4*fn.runTime) - fn.runTime) / 16
			p.method.runTime += (min(float64(took), 4*p.method.runTime) - p.method.runTime) / 64
		}
		if w.symptom != "" && w.slowness <= unhealthySlowness*r.medianSlowness && w.errorRate <= unhealthyErrorRate {
			r.actions.Log(fmt.Sprintf("worker %d healthy again after %s: slowness %.1f, error rate %.2f", w.id, w.symptom, w.slowness, w.errorRate))
			w.symptom, w.unhealthyPause, w.trialAllowed = "", 0, false
		} else if w.symptom == "" && w.slowness > unhealthySlowness*r.medianSlowness {
			w.markUnhealthy(r, "slowness", w.slowness)
		}
	case Errored, NotLoaded:
		if warmth == LoadFailed || o == NotLoaded {
			// All RPCs that joined the load report the same failure; it is counted once.
			if cs.loading && w.copies[fn.id] == cs {
				r.loadFailed(fn)
			}
			delete(w.copies, fn.id)
			break
		}
		cs.loading = false
		if w.errorRate += (1 - w.errorRate) / 4; w.errorRate > unhealthyErrorRate {
			w.markUnhealthy(r, "errors", w.errorRate)
		}
	case Full:
		r.learnFromRefusal(w, c.awaitsLoad)
		w.fullUntil = r.now + Time(p.method.runTime)/2
		if cs.loading && cs.inFlight == 0 {
			delete(w.copies, fn.id)
			r.loadTokens += r.storeLoadShare // the load never started
		}
	// A connection may break alone; a process that ended refuses new connections as well.
	case Reset:
		cs.loading, c.connBroke = false, true
		if w.errorRate += (1 - w.errorRate) / 8; w.errorRate > unhealthyErrorRate {
			w.markUnhealthy(r, "broken connections", w.errorRate)
		}
	case ConnectFailed:
		w.resetForRestart(r.now)
		w.markUnhealthy(r, "no connection", float64(w.inFlight))
	case TimedOut, Cancelled, NotSent:
		if !c.awaitsLoad && !c.cancelled && o == TimedOut {
			r.learnFleetFactor(false)
		}
		if cs.loading && cs.inFlight == 0 {
			delete(w.copies, fn.id)
			fn.nextLoad = max(fn.nextLoad, r.now+fn.loadBackoff) // a load that timed out only delays the next one
		}
	}
}

// wasPaused reports whether this process was paused: what it receives now may have arrived long ago, so measured times
// mean nothing.
func (r *Router) wasPaused() bool { return r.now-r.lastDispatch > maxDispatchGap }

// applyReport takes over the values that the worker reported.
func (w *worker) applyReport(r *Router, values []float64) {
	readValue := func(name string, dst *float64) bool {
		index := int(r.settings.number("report.values."+name, -1))
		if index < 0 || index >= len(values) {
			return false
		}
		*dst, w.reportedAt = values[index], r.now
		return true
	}
	if readValue("pinned", &w.pinned); !readValue("util", &w.util) {
		return
	}
	// Exception: a worker with idle cores is given more than this front end's even share if that limit kept RPCs
	// waiting.
	if evenShare := max(2, workerInFlightCap/r.frontEnds()); w.util >= busyUtil {
		w.maxInFlight *= 0.9
	} else if w.util < idleUtil && float64(w.inFlight+2) > max(evenShare, w.maxInFlight) {
		w.maxInFlight = min(max(evenShare, w.maxInFlight)+0.25, idleShareFactor*evenShare)
	}
}

// markUnhealthy takes a worker out of ordinary use for a pause, which doubles each time. After it a check and then one
// RPC try the worker.
func (w *worker) markUnhealthy(r *Router, symptom string, value float64) {
	if w.symptom == "" {
		r.actions.Log(fmt.Sprintf("worker %d unhealthy: %s %.2f, %d in flight", w.id, symptom, value, w.inFlight))
	}
	w.symptom, w.trialAllowed = symptom, false
	w.unhealthyPause = min(max(2*w.unhealthyPause, minUnhealthyPause), maxUnhealthyPause)
	w.unhealthyUntil = r.now + w.unhealthyPause
}

// CheckEnded handles the end of a check. After one that passed, an RPC may try an unhealthy worker.
func (r *Router) CheckEnded(now Time, id WorkerID, o Outcome, took Time, report []float64) {
	r.now, r.dirty = now, true
	w := r.workerRecord(id)
	w.checkPending = false
	w.applyReport(r, report)
	r.learnFromCheck(w, o, now-took)
	if o != OK && w.symptom != "" {
		w.markUnhealthy(r, w.symptom, 0)
	}
	w.trialAllowed = o == OK && w.symptom != ""
}

// recoverUnhealthy lets unhealthy workers be tried once their pause is over: by a check where checks are allowed, then
// by one RPC. It also updates the median slowness.
func (r *Router) recoverUnhealthy() {
	unhealthy, slownesses := 0, []float64{}
	for _, w := range r.sortedWorkers {
		if w.state != Ready {
			continue
		}
		slownesses = append(slownesses, w.slowness)
		if w.symptom == "" {
			continue
		}
		unhealthy++
		if r.now < w.unhealthyUntil || w.trialAllowed || w.checkPending {
			continue
		}
		if r.settings.enabled("may.check") {
			r.startCheck(w)
		}
		w.trialAllowed = !w.checkPending
	}
	ready := len(slownesses)
	if slices.Sort(slownesses); ready > 0 {
		r.medianSlowness = max(1, slownesses[ready/2])
	}
	// If most workers look unhealthy, the cause is elsewhere.
	if ignore := 2*unhealthy > ready; ignore != r.ignoreHealth {
		r.ignoreHealth = ignore
		r.actions.Log(fmt.Sprintf("%d of %d workers look unhealthy, health ignored: %t", unhealthy, ready, ignore))
	}
}

// detectSilentWorkers guards against workers that accept RPCs and answer none, for whatever reason. A worker whose
// answer is long overdue and that has answered nothing since is unhealthy, and RPCs that may be repeated are cancelled
// there. Time in which this process was paused does not count: answers may have arrived that it has not read.
func (r *Router) detectSilentWorkers() {
	for _, p := range slices.Clone(r.inFlight) {
		c := &p.callOuts[len(p.callOuts)-1]
		waited := r.now - c.sentAt - (r.pausedTime - c.pausedBefore)
		overdueAfter := silenceFactor*p.runTime() + p.fn.loadTime // the copy may have to be loaded after all
		if c.awaitsLoad {
			overdueAfter += 2 * p.fn.loadTime
		} else if !c.ended && c.copies.reportedAt < c.sentAt && float64(waited) > silenceFactor*p.runTime() {
			c.copies.loading = true // inferred: the copy believed warm is being loaded, or worse
		}
		if c.ended || c.cancelled || c.worker.lastAnswer > c.sentAt || float64(waited) < overdueAfter {
			continue
		} else if c.worker.symptom == "" {
			c.worker.markUnhealthy(r, "silence", float64(waited)/float64(ms))
		}
		if r.settings.enabled("may.retract") && !p.ended && p.method.effect != SideEffecting && r.now < p.giveUpAt() &&
			!p.attemptsExhausted() && r.now+Time(p.runTime()) < p.softDeadline {
			c.cancelled = true
			r.actions.CancelCallOut(p.id, len(p.callOuts)-1)
		}
	}
}
