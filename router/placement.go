package router

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// This file decides which worker an RPC goes to: the path, a function's homes, bounds of worker and fleet.

// place is the ordinary path: a warm instance with room, else a load. It tells whether the RPC went out.
func (p *RPC) place() bool {
	r := p.r
	if p.spent() {
		return p.keep(Attempts)
	}
	var best, joining *worker
	count, roomy, asking, loading := 0, false, false, false
	for _, w := range r.list {
		in := w.holds[p.fn.id]
		if in == nil || p.barred(w) != NoTime {
			continue
		}
		asking, loading = asking || in.asked, loading || in.loading
		count += in.copies
		if in.asked || in.lost(p.fn, r.now) || !in.hasRoom(p.fn, r.now) {
			continue
		}
		if roomy = true; !r.open(w) {
			continue
		}
		if in.loading {
			if !in.ordered && (joining == nil || p.before(w, joining)) {
				joining = w
			}
		} else if best == nil || p.preferred(w, best) {
			best = w
		}
	}
	// Exceptions: from a far instance, or one with others waiting, a copy is ordered where ours should stand.
	if best != nil && (r.far(best) || p.behind(best) >= farBehind) && r.set.is("functions.orders") &&
		count < fnCap && r.now >= p.fn.loadNext {
		if homes := p.homes(); len(homes) > 0 && !r.far(homes[0]) && r.confirmed(homes[0]) && r.orderRationAllows() {
			p.order(homes[0])
		}
	}
	if best == nil && p.hasWaited() && !p.timeToLoad() { // it would end waiting, and the load in vain
		return p.keep(cmp.Or(p.reason, LoadTime)) // what held it before tells more
	}
	if best = cmp.Or(best, joining); best != nil { // exception: it joins a load of ours, within its lanes
		if !r.confirmed(best) {
			r.ask(best)
			return p.keep(Unconfirmed)
		}
		p.send(best)
		return true
	}
	if asking {
		return p.keep(Asking)
	} else if p.keep(Lanes); roomy && loading {
		return false
	}
	return p.load(count, roomy)
}

// hasWaited: the RPC was held. A worker's check alone takes next to no time.
func (p *RPC) hasWaited() bool {
	return p.at < p.r.now && !(p.reason == Unconfirmed && p.r.now-p.at <= askWait)
}

// keep notes what keeps the RPC from going out; it is false, as place's answer.
func (p *RPC) keep(why Reason) bool {
	p.reason = why
	return false
}

// spare guards workers against many front ends that each send little: RPCs that may go out before ours out,
// loads waited for aside, reach our share of fleetBusy for each worker that takes any.
func (r *Router) spare(late bool) int {
	well, all, factor := 0.0, r.frontEnds(), r.fleetFactor
	if late {
		factor = lateFactor
	}
	for _, w := range r.list {
		if w.state == Ready && (w.ill == "" || r.allIll) {
			well++
		}
	}
	most := max(1, int(factor*fleetBusy*well/all+1-(r.set.num("me", 0)+1)/all))
	for _, p := range r.out {
		if c := &p.calls[len(p.calls)-1]; !c.in.loading && (c.w.ill == "" || r.allIll) {
			most--
		}
	}
	return most
}

// learnFleetFactor learns from a warm answer how much more than our even share of the fleet we may use.
func (r *Router) learnFleetFactor(inTime bool) {
	if inTime {
		r.fleetFactor = min(r.fleetFactor+factorUp, factorMost)
	} else {
		r.fleetFactor = max(1, r.fleetFactor*(1-factorDown))
	}
}

// preferred orders two workers with a warm instance that has room: by evidence, by zone, then as the design does.
func (p *RPC) preferred(w, best *worker) bool {
	r := p.r
	if r.confirmed(w) != r.confirmed(best) { // one that is need not be asked
		return r.confirmed(w)
	}
	return r.far(best) && !r.far(w) || r.far(w) == r.far(best) && p.before(w, best)
}

func (r *Router) far(w *worker) bool { return r.ownZoneFirst && w.zone != r.zone }

// before is the design's order of ties among warm instances; active counts others' RPCs as last told, and
// those that answers slower than elsewhere tell of.
func (p *RPC) before(w, best *worker) bool {
	in, other := w.holds[p.fn.id], best.holds[p.fn.id]
	c := p.behind(w) - p.behind(best)
	if p.r.rarelyConfirmed() { // keeps most workers confirmed
		c = cmp.Or(c, cmp.Compare(w.provenAt, best.provenAt))
	}
	c = cmp.Or(c, in.executed-other.executed, cmp.Compare(in.lastUse, other.lastUse), cmp.Compare(in.since, other.since))
	return c < 0 || c == 0 && p.r.rng.Intn(2) == 0
}

// behind is how many RPCs stand before one that goes to the warm instance there, as far as we know.
func (p *RPC) behind(w *worker) int {
	in := w.holds[p.fn.id]
	return in.active + int(math.Round(in.others)+math.Round(w.slow/p.r.slow-1))
}

// hasRoom: own RPCs there, and what answers tell of other front ends', leave a lane free.
func (in *instance) hasRoom(fn *function, now Time) bool {
	return float64(in.active)+math.Round(in.crowd(now)) < float64(in.copies*fn.lanes)
}

// crowd is what is left of the last news of other front ends' RPCs there.
func (in *instance) crowd(now Time) float64 { return in.others * fade(now-in.toldAt, crowdFade) }

// homes are the workers for a new load, best first. A rendezvous hash of function and worker ranks them, so
// that front ends that share nothing agree: the first, as many as keep the function's work under a part of
// what a mean worker does, come in an order of our own. One that is busy or full is passed over.
func (p *RPC) homes() []*worker {
	r, fn := p.r, p.fn
	var homes []*worker
	mean, near, count := 0.0, 0, 0
	for _, w := range r.list {
		mean += float64(w.active) / float64(len(r.list))
		if w.state == Ready && !r.far(w) {
			near++
		}
	}
	barred := [reasonCount]int{NotReady: 1} // of equals the first counts
	for _, w := range r.list {
		if w.state == Ready && w.holds[fn.id] != nil {
			count++
			continue
		}
		bar, told := p.barred(w), r.now-w.told < reportLasts
		if bar == NoTime && !r.open(w) {
			bar = WorkerShare
		} else if bar == NoTime && (float64(w.active) > 1.5*mean+1 || told && (w.util > 0.95 || w.pinned > pinnedFull)) {
			bar = BusyWorkers
		}
		if barred[bar]++; bar == NoTime {
			homes = append(homes, w)
		}
	}
	if len(homes) == 0 {
		p.keep(Reason(slices.Index(barred[:], slices.Max(barred[:]))))
	}
	rank := func(w *worker) uint64 {
		if r.far(w) {
			return mix(uint64(fn.id)*spread^uint64(w.id)) >> 1
		}
		return mix(uint64(fn.id)*spread^uint64(w.id)) | 1<<63
	}
	slices.SortFunc(homes, func(a, b *worker) int { return cmp.Compare(rank(b), rank(a)) })
	n := min(len(homes), max(1, 1+int(homeShare*p.share()*float64(near))-count))
	for n > 1 && r.far(homes[n-1]) {
		n--
	}
	me := uint64(r.set.num("me", 0)) * spread
	slices.SortFunc(homes[:n], func(a, b *worker) int { return cmp.Compare(mix(rank(b)^me), mix(rank(a)^me)) })
	return homes
}

// share is the function's part of the work asked for, this RPC left out: it is why we look. Front ends that
// carry little see few RPCs, so a guess comes first and gives way to what was seen.
func (p *RPC) share() float64 {
	one := p.m.mean()
	return (max(0, p.fn.asked-one) + shareBefore*shareWeight*one) / (max(0, p.r.asked-one) + shareWeight*one)
}

// barred tells which rule or what of the worker's health keeps this RPC from it now; NoTime: none does.
func (p *RPC) barred(w *worker) Reason {
	r := p.r
	if w.state != Ready {
		return NotReady
	} else if !r.usable(w) {
		return Unconfirmed
	} else if !r.coldRoom(w, p.m) {
		return ColdWorkers
	}
	// a way back: one RPC that may be repeated tries a worker whose pause is over
	if w.ill != "" && !r.allIll && (!w.trial || w.active > 0 || p.m.effect == SideEffecting) {
		return UnhealthyWorkers
	}
	for _, c := range p.calls {
		if c.w == w && !c.broke && r.now-c.at < sec {
			return Repeats
		}
	}
	if !p.mayRepeatAt(w) {
		return Repeats
	}
	return NoTime
}

// open: the worker is not full, nor holds our share of RPCs; those that wait for a load don't count.
func (r *Router) open(w *worker) bool {
	room := int(max(2, workerBusy/r.frontEnds(), w.bound)) - w.active
	if r.now < w.fullUntil || room > 0 {
		return r.now >= w.fullUntil
	}
	for _, in := range w.holds {
		if in.loading {
			room += in.active
		}
	}
	return room > 0
}

// updateZonePreference: where crossing has a price and this zone's memory holds all functions seen with room
// to spare, loads stay in the zone and its instances come first (exception to one home for all front ends).
func (r *Router) updateZonePreference() {
	room := 0.0
	for _, w := range r.list {
		if w.state == Ready && w.zone == r.zone {
			room += r.memory(w)
		}
	}
	near := r.set.num("price.cross-zone", 0) > 0 && r.now > r.born+needFade && room > zoneSpare*r.seen
	if near != r.ownZoneFirst {
		r.ownZoneFirst = near
		r.port.Log(fmt.Sprintf("loads stay in the zone: %t, memory %.0f MB, functions %.0f MB", near, room, r.seen))
	}
}
