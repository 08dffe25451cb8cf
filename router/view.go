package router

import "fmt"

// Describe tells in one line what the module believes, for a debug log that is held against what the sockets carried: the
// queue and the bounds, then each worker that is ready with RPCs out there, copies, those of them that load, C where it
// is cold, U where nothing proves that it does not drain, and the symptom where it is ill. It decides nothing.
func (r *Router) Describe() string {
	s := fmt.Sprintf("held %d out %d fleet-factor %.2f load-limit %.1f tokens %.1f pending %d total %d of %.0f loads-real %.2f;",
		len(r.held), len(r.out), r.fleetFactor, r.loadLimit, r.tokens, r.pending, r.total, r.totalCap, r.realShare)
	for _, w := range r.list {
		if w.state != Ready {
			continue
		}
		loading := 0
		for _, in := range w.holds {
			if in.loading {
				loading++
			}
		}
		s += fmt.Sprintf(" %d:%d/%d/%d", w.id, w.active, len(w.holds), loading)
		if r.cold(w) {
			s += "C"
		}
		if !r.confirmed(w) {
			s += "U"
		}
		if w.ill != "" {
			s += "[" + w.ill + "]"
		}
	}
	return s
}
