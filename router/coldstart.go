package router

import (
	"cmp"
	"math"
	"slices"
)

// This file decides what a worker that has just started may be sent.

// restart forgets what stood on a worker that began anew, empty and cold. What was sent there counts on.
func (w *worker) restart(at Time) {
	w.started, w.known, w.errors, w.slow = at, true, 0, 1
	clear(w.holds)
}

// coldRoom keeps rule four: within any window of the stated length, what all front ends send a cold worker
// must stay under multiple x capacity. Capacity is the least the settings allow at its age times what warm
// workers of its kind do for us; each front end sees its share, so the shares add up. Parts of an RPC are a
// whole one for as many front ends as they make up: those whose turn, which all count alike, comes first.
func (r *Router) coldRoom(w *worker, m *method) bool {
	if !r.cold(w) {
		return true
	}
	window := r.set.span("rules.fall", sec)
	w.sent = slices.DeleteFunc(w.sent, func(s callOut) bool { return s.at < r.now-window-beat })
	from := r.set.num("rules.cold-from", 0.1)
	share := from + (1-from)*max(0, float64(r.now-window-w.started))/float64(r.set.span("rules.cold", 20*sec))
	budget := r.set.num("rules.fall-multiple", 1) * share * coldStretch * r.warmWork[w.kind] * float64(window)
	all := r.frontEnds()
	turn := math.Mod(r.set.num("me", 0)+float64(mix(uint64(w.id))%uint64(all)), all)
	budget = (max(math.Floor(budget/m.mean()+1-(turn+1)/all), min(1, coldFew-turn)) - 0.5) * m.mean()
	for _, s := range w.sent {
		budget -= s.cost
	}
	return budget >= 0
}

func (r *Router) cold(w *worker) bool {
	return w.known && r.now < w.started+r.set.span("rules.cold", 0)
}

func (m *method) mean() float64 { return cmp.Or(m.cost, m.work) }
