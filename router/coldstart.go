package router

import (
	"cmp"
	"math"
	"slices"
)

// This file decides how much a recently started worker may be sent.

// resetForRestart clears what was known of a worker that restarted empty and cold. What was sent before still counts
// against its cold budget.
func (w *worker) resetForRestart(at Time) {
	w.started, w.startKnown, w.errorRate, w.slowness = at, true, 0, 1
	clear(w.copies)
}

// coldBudgetAllows enforces rule four: within any window of the stated length, the work that all front ends send to a
// cold worker must stay below multiple x capacity. Capacity is the least share that the settings allow at the worker's
// age, times the work that warm workers of its kind do for this front end. Each front end sees only its share of that
// work, so the budgets of all front ends add up to that of the worker. Where the budget includes a fraction of an RPC,
// as many front ends as the fractions amount to may send a whole one: those that come first in an order which all front
// ends compute alike.
func (r *Router) coldBudgetAllows(w *worker, m *method) bool {
	if !r.isCold(w) {
		return true
	}
	window := r.settings.duration("rules.fall", sec)
	w.coldSent = slices.DeleteFunc(w.coldSent, func(s callOut) bool { return s.sentAt < r.now-window-housekeepingInterval })
	startShare := r.settings.number("rules.cold-from", 0.1)
	capacityShare := startShare + (1-startShare)*max(0, float64(r.now-window-w.started))/float64(r.settings.duration("rules.cold", 20*sec))
	budget := r.settings.number("rules.fall-multiple", 1) * capacityShare * coldHeadroom * r.warmWork[w.kind] * float64(window)
	frontEnds := r.frontEnds()
	position := math.Mod(r.settings.number("me", 0)+float64(hash64(uint64(w.id))%uint64(frontEnds)), frontEnds)
	budget = (max(math.Floor(budget/m.meanCost()+1-(position+1)/frontEnds), min(1, minColdSenders-position)) - 0.5) * m.meanCost()
	for _, sent := range w.coldSent {
		budget -= sent.cost
	}
	return budget >= 0
}

// isCold reports whether the worker started so recently that rule four limits what it is sent.
func (r *Router) isCold(w *worker) bool {
	return w.startKnown && r.now < w.started+r.settings.duration("rules.cold", 0)
}

// meanCost is the mean work of an RPC: the core time of the hints, or the run time without hints.
func (m *method) meanCost() float64 { return cmp.Or(m.coreTime, m.runTime) }
