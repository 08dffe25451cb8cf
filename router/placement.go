package router

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// This file decides which worker an RPC is sent to: the ordinary path, the home workers of a function, and the limits
// of a worker and of the fleet.

// place is the ordinary path: a warm copy with a free lane, else a load. It reports whether the RPC was sent.
func (p *RPC) place() bool {
	r := p.router
	if p.attemptsExhausted() {
		return p.block(Attempts)
	}
	var best, joining *worker
	copies, freeLane, asking, loading := 0, false, false, false
	for _, w := range r.sortedWorkers {
		cs := w.copies[p.fn.id]
		if cs == nil || p.reasonAgainst(w) != NoTime {
			continue
		}
		asking, loading = asking || cs.asked, loading || cs.loading
		copies += cs.count
		if cs.asked || cs.orderOverdue(p.fn, r.now) || !cs.hasFreeLane(p.fn, r.now) {
			continue
		}
		if freeLane = true; !r.hasCapacity(w) {
			continue
		}
		if cs.loading {
			if !cs.byOrder && (joining == nil || p.betterThan(w, joining)) {
				joining = w
			}
		} else if best == nil || p.preferred(w, best) {
			best = w
		}
	}
	// Exceptions: if the best copy is in another zone, or has many RPCs ahead, a further copy is ordered at the
	// function's home in this front end's zone.
	if best != nil && (r.inOtherZone(best) || p.queueAhead(best) >= extraCopyQueue) && r.settings.enabled("functions.orders") &&
		copies < functionCopyCap && r.now >= p.fn.nextLoad {
		if homes := p.homeWorkers(); len(homes) > 0 && !r.inOtherZone(homes[0]) && r.confirmed(homes[0]) && r.orderRationAllows() {
			p.orderLoad(homes[0])
		}
	}
	// The RPC would run out of time while it waits, and the load would be of no use to it. What blocked it before says
	// more than the lack of time.
	if best == nil && p.hasWaited() && !p.hasTimeToLoad() {
		return p.block(cmp.Or(p.blockReason, LoadTime))
	}
	// Exception: the RPC joins a load that another RPC of this front end started, if the copy will have a free lane.
	if best = cmp.Or(best, joining); best != nil {
		if !r.confirmed(best) {
			r.ensureCheck(best)
			return p.block(Unconfirmed)
		}
		p.send(best)
		return true
	}
	if asking {
		return p.block(Asking)
	} else if p.block(Lanes); freeLane && loading {
		return false
	}
	return p.startLoad(copies, freeLane)
}

// hasWaited reports whether the RPC was queued before this turn. Waiting for a worker's check alone does not count: it
// takes next to no time.
func (p *RPC) hasWaited() bool {
	return p.submittedAt < p.router.now && !(p.blockReason == Unconfirmed && p.router.now-p.submittedAt <= askTimeout)
}

// block records why the RPC is not sent. It returns false, as place does then.
func (p *RPC) block(reason Reason) bool {
	p.blockReason = reason
	return false
}

// sendAllowance returns how many more RPCs this front end may send now. Its limit of RPCs in flight is its share of
// fleetInFlightCap for each healthy worker, which protects workers from many front ends that each send little. RPCs
// that wait for a load, or are in flight at an unhealthy worker, do not count. Late: for RPCs whose answers would be
// late.
func (r *Router) sendAllowance(late bool) int {
	healthy, frontEnds, factor := 0.0, r.frontEnds(), r.fleetFactor
	if late {
		factor = lateFleetFactor
	}
	for _, w := range r.sortedWorkers {
		if w.state == Ready && (w.symptom == "" || r.ignoreHealth) {
			healthy++
		}
	}
	allowance := max(1, int(factor*fleetInFlightCap*healthy/frontEnds+1-(r.settings.number("me", 0)+1)/frontEnds))
	for _, p := range r.inFlight {
		if c := &p.callOuts[len(p.callOuts)-1]; !c.copies.loading && (c.worker.symptom == "" || r.ignoreHealth) {
			allowance--
		}
	}
	return allowance
}

// learnFleetFactor adjusts, after an answer from a warm copy, how far this front end may exceed its even share of the
// fleet.
func (r *Router) learnFleetFactor(inTime bool) {
	if inTime {
		r.fleetFactor = min(r.fleetFactor+fleetFactorStep, maxFleetFactor)
	} else {
		r.fleetFactor = max(1, r.fleetFactor*(1-fleetFactorDrop))
	}
}

// preferred reports whether w precedes best, both with a warm copy that has a free lane: by evidence that it does not
// drain, by zone, then by betterThan.
func (p *RPC) preferred(w, best *worker) bool {
	r := p.router
	// A confirmed worker needs no check.
	if r.confirmed(w) != r.confirmed(best) {
		return r.confirmed(w)
	}
	return r.inOtherZone(best) && !r.inOtherZone(w) || r.inOtherZone(w) == r.inOtherZone(best) && p.betterThan(w, best)
}

// inOtherZone reports whether the worker is in another zone while loads stay in the own one.
func (r *Router) inOtherZone(w *worker) bool { return r.ownZoneFirst && w.zone != r.zone }

// betterThan is the design's order of warm copies: fewest RPCs ahead, fewest completed, longest unused, first loaded.
// RPCs ahead include those of other front ends as last reported, and as suggested by answers that are slower than
// elsewhere.
func (p *RPC) betterThan(w, best *worker) bool {
	cs, other := w.copies[p.fn.id], best.copies[p.fn.id]
	c := p.queueAhead(w) - p.queueAhead(best)
	// Using the oldest evidence first keeps most workers confirmed.
	if p.router.onlyRPCsConfirm() {
		c = cmp.Or(c, cmp.Compare(w.evidenceAt, best.evidenceAt))
	}
	c = cmp.Or(c, cs.completed-other.completed, cmp.Compare(cs.lastUse, other.lastUse), cmp.Compare(cs.stateSince, other.stateSince))
	return c < 0 || c == 0 && p.router.rng.Intn(2) == 0
}

// queueAhead estimates how many RPCs precede a new one at the worker's warm copy.
func (p *RPC) queueAhead(w *worker) int {
	cs := w.copies[p.fn.id]
	return cs.inFlight + int(math.Round(cs.otherRPCs)+math.Round(w.slowness/p.router.medianSlowness-1))
}

// hasFreeLane reports whether the RPCs of this front end and the estimated ones of others leave a lane free.
func (cs *copySet) hasFreeLane(fn *function, now Time) bool {
	return float64(cs.inFlight)+math.Round(cs.estimatedOthers(now)) < float64(cs.count*fn.lanes)
}

// estimatedOthers is the decayed estimate of other front ends' RPCs at the copies.
func (cs *copySet) estimatedOthers(now Time) float64 {
	return cs.otherRPCs * decay(now-cs.reportedAt, othersDecay)
}

// homeWorkers returns the workers for a new load, best first. A rendezvous hash of function and worker ranks them, so
// that front ends agree without sharing state. The first ones are the function's homes, so many that its work takes at
// most 1/homeFactor of a mean worker's work at each; each front end has an order of its own among them. Busy and full
// workers are left out. If no worker remains, the most frequent reason blocks the RPC.
func (p *RPC) homeWorkers() []*worker {
	r, fn := p.router, p.fn
	var homes []*worker
	meanInFlight, ownZone, withCopies := 0.0, 0, 0
	for _, w := range r.sortedWorkers {
		meanInFlight += float64(w.inFlight) / float64(len(r.sortedWorkers))
		if w.state == Ready && !r.inOtherZone(w) {
			ownZone++
		}
	}
	reasons := [reasonCount]int{NotReady: 1} // on a tie the first reason wins
	for _, w := range r.sortedWorkers {
		if w.state == Ready && w.copies[fn.id] != nil {
			withCopies++
			continue
		}
		reason, reported := p.reasonAgainst(w), r.now-w.reportedAt < reportValidity
		if reason == NoTime && !r.hasCapacity(w) {
			reason = WorkerShare
		} else if reason == NoTime && (float64(w.inFlight) > 1.5*meanInFlight+1 || reported && (w.util > 0.95 || w.pinned > fullPinnedShare)) {
			reason = BusyWorkers
		}
		if reasons[reason]++; reason == NoTime {
			homes = append(homes, w)
		}
	}
	if len(homes) == 0 {
		p.block(Reason(slices.Index(reasons[:], slices.Max(reasons[:]))))
	}
	rank := func(w *worker) uint64 {
		if r.inOtherZone(w) {
			return hash64(uint64(fn.id)*hashMultiplier^uint64(w.id)) >> 1
		}
		return hash64(uint64(fn.id)*hashMultiplier^uint64(w.id)) | 1<<63
	}
	slices.SortFunc(homes, func(a, b *worker) int { return cmp.Compare(rank(b), rank(a)) })
	n := min(len(homes), max(1, 1+int(homeFactor*p.workShare()*float64(ownZone))-withCopies))
	for n > 1 && r.inOtherZone(homes[n-1]) {
		n--
	}
	me := uint64(r.settings.number("me", 0)) * hashMultiplier
	slices.SortFunc(homes[:n], func(a, b *worker) int { return cmp.Compare(hash64(rank(b)^me), hash64(rank(a)^me)) })
	return homes
}

// workShare is the function's share of the submitted work. This RPC is left out, since its arrival is why the share is
// computed. A front end with little traffic sees few RPCs, so the share starts from a prior estimate: the more RPCs it
// sees, the less that counts.
func (p *RPC) workShare() float64 {
	rpcCost := p.method.meanCost()
	return (max(0, p.fn.recentWork-rpcCost) + priorShare*priorShareWeight*rpcCost) / (max(0, p.router.recentWork-rpcCost) + priorShareWeight*rpcCost)
}

// reasonAgainst returns the rule or health state that keeps this RPC from the worker now, or NoTime if there is none.
func (p *RPC) reasonAgainst(w *worker) Reason {
	r := p.router
	if w.state != Ready {
		return NotReady
	} else if !r.usable(w) {
		return Unconfirmed
	} else if !r.coldBudgetAllows(w, p.method) {
		return ColdWorkers
	}
	// Once its pause is over, an unhealthy worker is tried with one RPC that may be repeated.
	if w.symptom != "" && !r.ignoreHealth && (!w.trialAllowed || w.inFlight > 0 || p.method.effect == SideEffecting) {
		return UnhealthyWorkers
	}
	for _, c := range p.callOuts {
		if c.worker == w && !c.connBroke && r.now-c.sentAt < sec {
			return Repeats
		}
	}
	if !p.mayRetryAt(w) {
		return Repeats
	}
	return NoTime
}

// hasCapacity reports whether the worker is neither full nor has this front end's share of RPCs. RPCs that wait for a
// load do not count.
func (r *Router) hasCapacity(w *worker) bool {
	free := int(max(2, workerInFlightCap/r.frontEnds(), w.maxInFlight)) - w.inFlight
	if r.now < w.fullUntil || free > 0 {
		return r.now >= w.fullUntil
	}
	for _, cs := range w.copies {
		if cs.loading {
			free += cs.inFlight
		}
	}
	return free > 0
}

// updateZonePreference decides whether loads stay in the zone and its copies come first: where crossing zones has a
// price and the zone's memory holds all known functions with room to spare. This is an exception to the rule that all
// front ends share a function's homes.
func (r *Router) updateZonePreference() {
	memory := 0.0
	for _, w := range r.sortedWorkers {
		if w.state == Ready && w.zone == r.zone {
			memory += r.workerMemory(w)
		}
	}
	stayInZone := r.settings.number("price.cross-zone", 0) > 0 && r.now > r.createdAt+peakDecay && memory > zoneMemoryFactor*r.functionMemory
	if stayInZone != r.ownZoneFirst {
		r.ownZoneFirst = stayInZone
		r.actions.Log(fmt.Sprintf("loads stay in the zone: %t, memory %.0f MB, functions %.0f MB", stayInZone, memory, r.functionMemory))
	}
}
