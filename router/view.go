package router

import "fmt"

// Describe summarizes the router's state in one line for the debug log, where it is compared with the traffic on the
// sockets: the queue and the limits, then for each ready worker "id:RPCs in flight/functions with copies/those being
// loaded", C if it is cold, U if nothing proves that it does not drain, and its symptom if it is unhealthy.
func (r *Router) Describe() string {
	s := fmt.Sprintf("queued %d in-flight %d fleet-factor %.2f max-loads %.1f load-tokens %.1f loading %d copies %d of %.0f store-loads %.2f;",
		len(r.queue), len(r.inFlight), r.fleetFactor, r.maxLoads, r.loadTokens, r.pendingLoads, r.totalCopies, r.maxCopies, r.storeLoadShare)
	for _, w := range r.sortedWorkers {
		if w.state != Ready {
			continue
		}
		loading := 0
		for _, cs := range w.copies {
			if cs.loading {
				loading++
			}
		}
		s += fmt.Sprintf(" %d:%d/%d/%d", w.id, w.inFlight, len(w.copies), loading)
		if r.isCold(w) {
			s += "C"
		}
		if !r.confirmed(w) {
			s += "U"
		}
		if w.symptom != "" {
			s += "[" + w.symptom + "]"
		}
	}
	return s
}
