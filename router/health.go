package router

import (
	"fmt"
	"slices"
)

// This file decides which workers are unhealthy, and their way back.

// judge learns from a call-out's end about the worker, the instance and the function.
func (p *RPC) judge(c *callOut, o Outcome, warmth Warmth, crowd int, took Time) {
	r, w, fn, in := p.r, c.w, p.fn, c.in
	if o == OK || o == Errored || o == NotLoaded || o == Full {
		w.heard = r.now
	}
	switch o {
	case OK:
		w.proved(c.at)
		if c.at > w.turnedAwayAt {
			w.turnedAwayAt = 0
		}
		w.errors -= w.errors / 4
		w.served += p.m.mean() / float64(servedFade)
		if now := w.holds[fn.id]; now == nil || now.asked {
			w.holds[fn.id] = in
		}
		cold := warmth == StartedLoad || warmth == JoinedLoad || warmth == WarmthUnknown && c.cold &&
			float64(took) > p.work()+fn.load/2
		r.loaded(fn, in, cold, cold && warmth != JoinedLoad, max(float64(took)-p.work(), 0))
		in.executed++
		weight := max(0.25, 1-fade(r.now-in.toldAt, crowdFade))
		in.others = in.crowd(r.now)*(1-weight) + max(0, float64(crowd-in.active))*weight
		in.lastUse, in.toldAt = r.now, r.now
		if !cold && !r.wasPaused() {
			r.learnFleetFactor(took <= p.m.soft)
			rare := min(0.25, max(0.125, 1-fade(r.now-w.timed, slowFade))) // rare answers weigh more
			w.slow, w.timed = w.slow+(min(float64(took)/p.work(), 10)-w.slow)*rare, r.now
			fn.work += (min(float64(took)/p.size, 4*fn.work) - fn.work) / 16
			p.m.work += (min(float64(took), 4*p.m.work) - p.m.work) / 64
		}
		if w.ill != "" && w.slow <= slowIll*r.slow && w.errors <= errorsIll {
			r.port.Log(fmt.Sprintf("worker %d well after %s: slow %.1f errors %.2f", w.id, w.ill, w.slow, w.errors))
			w.ill, w.illBack, w.trial = "", 0, false
		} else if w.ill == "" && w.slow > slowIll*r.slow {
			w.markUnhealthy(r, "slowness", w.slow)
		}
	case Errored, NotLoaded:
		if warmth == LoadFailed || o == NotLoaded {
			if in.loading && w.holds[fn.id] == in { // RPCs that joined the load tell of one failure, not of many
				r.loadFailed(fn)
			}
			delete(w.holds, fn.id)
			break
		}
		in.loading = false
		if w.errors += (1 - w.errors) / 4; w.errors > errorsIll {
			w.markUnhealthy(r, "errors", w.errors)
		}
	case Full:
		r.learnFromRefusal(w, c.cold)
		w.fullUntil = r.now + Time(p.m.work)/2
		if in.loading && in.active == 0 {
			delete(w.holds, fn.id)
			r.tokens += r.realShare // it never began
		}
	case Reset: // a connection may break alone; a process that ends refuses new ones, too
		in.loading, c.broke = false, true
		if w.errors += (1 - w.errors) / 8; w.errors > errorsIll {
			w.markUnhealthy(r, "broken connections", w.errors)
		}
	case ConnectFailed:
		w.restart(r.now)
		w.markUnhealthy(r, "no connection", float64(w.active))
	case TimedOut, Cancelled, NotSent:
		if !c.cold && !c.retracted && o == TimedOut {
			r.learnFleetFactor(false)
		}
		if in.loading && in.active == 0 {
			delete(w.holds, fn.id)
			fn.loadNext = max(fn.loadNext, r.now+fn.backoff) // timed-out loads only back off
		}
	}
}

// wasPaused: after a pause of our own what comes now may have come long ago, and times tell nothing.
func (r *Router) wasPaused() bool { return r.now-r.turn > pause }

func (w *worker) report(r *Router, values []float64) {
	told := func(name string, to *float64) bool {
		at := int(r.set.num("report.values."+name, -1))
		if at < 0 || at >= len(values) {
			return false
		}
		*to, w.told = values[at], r.now
		return true
	}
	if told("pinned", &w.pinned); !told("util", &w.util) {
		return
	}
	// Exception: a worker with idle cores is given more than our even share, where that bound held RPCs back.
	if even := max(2, workerBusy/r.frontEnds()); w.util >= busyUtil {
		w.bound *= 0.9
	} else if w.util < idleUtil && float64(w.active+2) > max(even, w.bound) {
		w.bound = min(max(even, w.bound)+0.25, workerMost*even)
	}
}

// markUnhealthy takes a worker off the ordinary path for a doubling pause; a check, then one RPC, tries it.
func (w *worker) markUnhealthy(r *Router, symptom string, figure float64) {
	if w.ill == "" {
		r.port.Log(fmt.Sprintf("worker %d ill: %s %.2f, %d out", w.id, symptom, figure, w.active))
	}
	w.ill, w.trial = symptom, false
	w.illBack = min(max(2*w.illBack, illBackMin), illBackMax)
	w.illUntil = r.now + w.illBack
}

// CheckEnded answers a check: one that passed lets an RPC try the worker.
func (r *Router) CheckEnded(now Time, id WorkerID, o Outcome, took Time, report []float64) {
	r.now, r.dirty = now, true
	w := r.record(id)
	w.checking = false
	w.report(r, report)
	r.learnFromCheck(w, o, now-took)
	if o != OK && w.ill != "" {
		w.markUnhealthy(r, w.ill, 0)
	}
	w.trial = o == OK && w.ill != ""
}

// recoverUnhealthy leads ill workers back: a check, where allowed, then one RPC.
func (r *Router) recoverUnhealthy() {
	ill, slows := 0, []float64{}
	for _, w := range r.list {
		if w.state != Ready {
			continue
		}
		slows = append(slows, w.slow)
		if w.ill == "" {
			continue
		}
		ill++
		if r.now < w.illUntil || w.trial || w.checking {
			continue
		}
		if r.set.is("may.check") {
			r.check(w)
		}
		w.trial = !w.checking
	}
	ready := len(slows)
	if slices.Sort(slows); ready > 0 {
		r.slow = max(1, slows[ready/2])
	}
	// if most look ill, the cause is elsewhere
	if all := 2*ill > ready; all != r.allIll {
		r.allIll = all
		r.port.Log(fmt.Sprintf("%d of %d workers look ill, health ignored: %t", ill, ready, all))
	}
}

// watchSilence guards against workers that take RPCs and answer none, whatever the cause: one whose answer is
// long overdue, with nothing heard from it since, is ill, and RPCs that may be repeated leave it.
func (r *Router) watchSilence() {
	for _, p := range slices.Clone(r.out) {
		c := &p.calls[len(p.calls)-1]
		due := silentWorks*p.work() + p.fn.load // a belief may be wrong
		if c.cold {
			due += 2 * p.fn.load
		} else if !c.done && c.in.toldAt < c.at && float64(r.now-c.at) > silentWorks*p.work() {
			c.in.loading = true // inferred: what we believed warm is being loaded, or worse
		}
		if c.done || c.retracted || c.w.heard > c.at || float64(r.now-c.at) < due {
			continue
		} else if c.w.ill == "" {
			c.w.markUnhealthy(r, "silence", float64(r.now-c.at)/float64(ms))
		}
		if r.set.is("may.retract") && !p.ended && p.m.effect != SideEffecting && r.now < p.leaveAt() &&
			!p.spent() && r.now+Time(p.work()) < p.late {
			c.retracted = true
			r.port.CancelCallOut(p.id, len(p.calls)-1)
		}
	}
}
