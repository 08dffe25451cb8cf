package router

import (
	"cmp"
	"math"
	"slices"
)

// This file handles the worker list and changes of the settings.

// adoptSettings replaces methods and customers, and keeps what was learned about those known before.
func (r *Router) adoptSettings(parsed ParsedSettings) {
	r.settings, r.zone = parsed.settings, ZoneID(parsed.settings.number("zone", 0))
	for i, old := range r.methods {
		updated := parsed.methods[i]
		updated.runTime, updated.coreTime, updated.maxBudget = old.runTime, old.coreTime, old.maxBudget
		old.effect, old.group, old.window = StricterEffect(old.effect, old.group, old.window, updated.effect, updated.group, updated.window)
	}
	r.methods = parsed.methods
	r.updateListValidity()
	for i, quota := range parsed.quotas {
		if i == len(r.customers) {
			r.customers = append(r.customers, &customer{tokens: quota * float64(sec), refilledAt: r.now})
		}
		r.customers[i].quota = quota
	}
}

// StricterEffect returns what binds an RPC that was submitted before its method's settings changed: only what both the
// old and the new settings promise. If the effect became more severe, the RPC may lack a token, so it must never run
// twice.
func StricterEffect(effect, group string, window Time, effect2, group2 string, window2 Time) (_, _ string, _ Time) {
	effects, groups := []string{Idempotent, Tokened, SideEffecting}, []string{"all", "zone", "cell"}
	if slices.Index(effects, effect2) > slices.Index(effects, effect) {
		return SideEffecting, "", 0
	} else if effect == Tokened && effect2 == Tokened {
		group = groups[max(slices.Index(groups, group), slices.Index(groups, group2))]
		return effect, group, min(window, window2)
	}
	return effect, group, window
}

// UpdateSettings applies new settings between two turns of the event loop. Methods, customers, zones and kinds keep
// their indexes; new ones are appended. What was learned stays. If the window of a rule grows, the time for which
// nothing was recorded counts as used up.
func (r *Router) UpdateSettings(now Time, parsed ParsedSettings) {
	s := parsed.settings
	r.now, r.dirty = now, true
	oldLoadWindow, oldFallWindow := r.settings.duration("functions.load-window", 0), r.settings.duration("rules.fall", sec)
	warm, oldFrontEnds := slices.DeleteFunc(slices.Clone(r.sortedWorkers), r.isCold), r.frontEnds()
	r.adoptSettings(parsed)
	r.rescale(oldFrontEnds)
	if s.duration("functions.load-window", 0) > oldLoadWindow {
		for range int(s.number("functions.load-free", 0)) {
			r.recentOrders = append(r.recentOrders, now)
		}
	}
	for _, w := range r.sortedWorkers {
		if r.isCold(w) && (s.duration("rules.fall", sec) > oldFallWindow || slices.Contains(warm, w)) {
			w.coldSent = append(w.coldSent, callOut{sentAt: now, cost: math.Inf(1)})
		}
	}
}

// rescale adjusts what has another meaning under the new settings: this front end's share of the fleet if the number of
// front ends changed, and values that are no longer reported. The recorded work of warm workers only shrinks, since the
// cold budget of rule four is derived from it.
func (r *Router) rescale(oldFrontEnds float64) {
	ratio := oldFrontEnds / r.frontEnds()
	if ratio != 1 {
		r.maxLoads, r.loadShare, r.loadTokens = r.maxLoads*ratio, r.loadShare*ratio, min(r.loadTokens, 1)
		r.fleetFactor = maxFleetFactor / 2.
		for kind := range r.warmWork {
			r.warmWork[kind] *= min(ratio, 1)
		}
	}
	for _, w := range r.sortedWorkers {
		w.recentWork *= min(ratio, 1)
		if r.settings.number("report.values.util", -1) < 0 {
			w.util = 0
		}
		if r.settings.number("report.values.pinned", -1) < 0 {
			w.pinned = 0
		}
		if r.settings["functions.tells-crowd"] == false {
			for _, cs := range w.copies {
				cs.otherRPCs = 0
			}
		}
	}
}

// BeginWorkerList starts a worker list or a list of changes. AddListedWorker brings its entries, EndWorkerList ends it.
func (r *Router) BeginWorkerList(now Time, update ListUpdate, _ uint64) {
	r.now, r.dirty = now, true
	if update == ListFailed {
		r.actions.SetTimer(sec, resubscribeToken)
	}
	for _, w := range r.sortedWorkers {
		w.inList = update == ListChanges || update == ListFailed
	}
}

// AddListedWorker handles one entry of the worker list.
func (r *Router) AddListedWorker(now Time, id WorkerID, state Readiness, started Time, zone ZoneID, cell CellID,
	kind KindID, _ float64) {
	w := r.workers[id]
	if w == nil {
		w = &worker{id: id, started: started, startKnown: started > 0, slowness: 1, evidenceAt: never, checkPassedAt: never,
			copies: map[FunctionID]*copySet{}}
		r.workers[id], r.sortedWorkers = w, append(r.sortedWorkers, w)
		slices.SortFunc(r.sortedWorkers, func(a, b *worker) int { return cmp.Compare(a.id, b.id) })
	} else if started > w.started {
		w.resetForRestart(started)
		w.symptom, w.trialAllowed = "", false
	}
	w.inList, w.zone, w.cell, w.kind = true, zone, cell, kind
	w.setState(state)
}

// setState sets the worker's state. The copies of a worker that drains or is removed are no longer usable.
func (w *worker) setState(state Readiness) {
	if w.state = state; state != Ready {
		clear(w.copies)
	}
}

// EndWorkerList ends the worker list: workers that a complete list leaves out are removed.
func (r *Router) EndWorkerList(now Time) {
	for _, w := range r.sortedWorkers {
		if !w.inList {
			w.setState(Removed)
		}
	}
	r.countCopies()
	ready := 0.0
	for _, w := range r.sortedWorkers {
		if w.state == Ready {
			ready++
		}
	}
	// Two loads for each worker. The caps also grow while the workers of a new fleet appear one after the other.
	if added := 2*ready/r.frontEnds() - r.loadShare; added > 0 {
		r.maxLoads, r.loadShare, r.loadTokens = r.maxLoads+added, r.loadShare+added, max(r.loadTokens+added, 1)
	}
}
