// The decision module of mallowlanding: every decision, table and tuned value is in this file.
//
// How it is called: New makes one Router for each front end. Take hands it an RPC and returns the RPC's
// handle; what happens to that RPC later is a method call on the handle (Ended, Left). The list of workers
// comes as ListBegins, Listed..., ListEnds; orders and checks are answered by Held and Checked, timers by
// Reminded. After the events of one moment the caller calls Settle once. The module acts through Port; Port,
// the ids and the words are in port.go. The same events lead to the same actions.
//
// The ordinary path (docs/design.md) is RPC.place: a warm instance with room, else a load, else the queue.
package router

import (
	"cmp"
	"fmt"
	"math"
	"math/rand"
	"slices"
)

const (
	ms  Time = 10
	sec Time = 1000 * ms

	pause       = 5 * beat // we stood still if no turn came for so long
	beat        = 20 * ms  // pace of housekeeping; the leave margins below are several beats
	fnCap       = 5        // the design's cap of instances for a function, raised to recent in flight
	totalCap    = 100      // the design's cap of all instances, where no memory is told
	queueCap    = 100      // RPCs held for one function
	loadErrors  = 3        // load errors in a row that halt a function (design)
	loadBackMin = sec      // first backoff of loads, doubling (design: 1 s)
	loadBackMax = 10 * sec // last one (design: 10 s)
	priorLoad   = sec      // a load's time before any was seen or told, a soft deadline at the most
	priorWork   = sec / 10 // an RPC's time on a warm instance before any was seen
	illBackMin  = sec      // first pause of a worker found ill, doubling
	illBackMax  = 8 * sec  // last one
	errorsIll   = 0.5      // smoothed share of errors above which a worker is ill
	slowIll     = 3.5      // smoothed slowness against peers above which a worker is ill
	silentWorks = 6        // an answer later than so many usual times counts towards silence
	zoneSpare   = 3        // a zone's memory over that of all functions in use, for loads to stay in the zone
	servedFade  = 5 * sec  // time over which the work of warm workers is averaged
	askedFade   = 20 * sec // time over which the work asked for is averaged, for a function's share of it
	shareBefore = 0.01     // share of the work of a function seen for the first time: such are often popular
	shareWeight = 100      // RPCs that this guess weighs as much as: fewer tell little of a share so small
	realOver    = 16       // loads over which the part that found no copy is averaged; the first ones evenly
	reportLasts = sec      // for so long a report tells that a worker is busy: where nothing is sent, none comes
	hintTrust   = 0.5      // part of a hint's deviation from its function's mean that is believed
	repeatWorks = 3        // a client's repeat is worth sending with so many usual times left
	coldStretch = 1.5      // what warm workers could do over what they are seen to do, at the least
	coldFew     = 3        // front ends that may send a cold worker one RPC a window, whatever they know
	crowdFade   = sec      // in this time the news of others' RPCs at an instance falls to a third
	homeShare   = 3        // of a mean worker's work one function's has at most one in so many, by its homes
	loadLost    = 2        // usual times of a load after which its copy is waited for no longer
	farBehind   = 3        // RPCs behind which a warm instance is left for a further copy
	workerBusy  = 6        // RPCs of all front ends that a worker is given at once; of ours two at the least
	idleUtil    = 0.8      // a worker that reports less is given more than that, answer by answer
	busyUtil    = 0.95     // and less again where it reports more: its cores are taken
	workerMost  = 4        // so many times workerBusy at the most
	fleetBusy   = 8        // RPCs of all front ends for each worker, on the mean, while answers are late
	easeMost    = 5        // so many times that while they are in time: some front ends carry more
	easeUp      = 0.02     // up with each warm answer in time; down by easeDown of it with each late one
	easeDown    = 0.07     // both: one late in five holds it at one, one in twenty at the most
	lateEase    = 0.5      // of our even share, for an RPC that is late: it must not make others late
	slowFade    = 4 * sec  // in this time a worker's slowness falls to a third, where answers are rare
	needFade    = 3 * sec  // in this time a function's peak of RPCs falls to a third
	askHomes    = 2        // homes asked at once
	askLasts    = sec      // for so long we don't ask again
	askWait     = 3 * beat // for so long an answer is waited for
	forgetAfter = 6e6      // ten minutes: a record goes with nothing heard of it for so long, far beyond its use
	listenAgain = 1        // token of the timer that asks for the list again

	spread = 0x9e3779b97f4a7c15 // an odd number that spreads ids over all bits
)

// Router is the decision module of one front end.
type Router struct {
	port                 Port
	rng                  *rand.Rand
	now, born, turn      Time // turn: when we last settled
	set                  Settings
	zone                 ZoneID
	methods              []*method
	customers            []*customer
	workers              map[WorkerID]*worker
	list                 []*worker // by id
	fns                  map[FunctionID]*function
	seen                 float64 // memory of one copy of each function
	held, out            []*RPC  // in order of arrival; with a call-out out
	orders, taken        []Time  // load orders and RPCs taken within the ration's window
	pending, total       int     // loads under way; they and all instances
	room, totalCap       float64 // the caps of both: learned from the store; what the workers' memory holds
	room0, tokens        float64 // our share of two loads a worker; loads that may begin now
	tokensAt             Time
	could                map[KindID]float64 // what a warm worker of the kind does for us
	slow                 float64            // workers' median slowness, 1 or more
	realShare, loadsSeen float64            // part of loads that found no copy; loads whose end we saw
	asked, load          float64            // work of RPCs taken lately; mean time of loads
	ease                 float64            // how many times our even share of the fleet we may use
	near, allIll         bool               // loads stay in the zone; health is ignored
	dirty, beats         bool               // settling is due, with housekeeping
}

// New starts the module of one front end.
func New(port Port, now Time, seed int64, s Settings) *Router {
	r := &Router{port: port, now: now, rng: rand.New(rand.NewSource(seed)), workers: map[WorkerID]*worker{},
		fns: map[FunctionID]*function{}, could: map[KindID]float64{}, born: now, turn: now, slow: 1, realShare: 0.5,
		ease: easeMost / 2.}
	r.heed(Prepare(s))
	if port.Remind(beat, 0); s.word("list") == "asked" {
		port.Listen()
	}
	return r
}

// heed takes methods and customers over, and keeps what was learned of those known before.
func (r *Router) heed(p Prepared) {
	r.set, r.zone = p.set, ZoneID(p.set.num("zone", 0))
	for i, was := range r.methods {
		m := p.methods[i]
		m.work, m.cost, m.most = was.work, was.cost, was.most
		was.effect, was.group, was.window = Stricter(was.effect, was.group, was.window, m.effect, m.group, m.window)
	}
	r.methods = p.methods
	for i, quota := range p.quotas {
		if i == len(r.customers) {
			r.customers = append(r.customers, &customer{tokens: quota * float64(sec), at: r.now})
		}
		r.customers[i].quota = quota
	}
}

// Stricter is what binds an RPC that was taken before its method's settings changed: nothing is promised to
// it that either does not promise. Where the effect became graver it may lack the token: it never runs twice.
func Stricter(effect, group string, window Time, effect2, group2 string, window2 Time) (_, _ string, _ Time) {
	effects, groups := []string{Idempotent, Tokened, SideEffecting}, []string{"all", "zone", "cell"}
	if slices.Index(effects, effect2) > slices.Index(effects, effect) {
		return SideEffecting, "", 0
	} else if effect == Tokened && effect2 == Tokened {
		group = groups[max(slices.Index(groups, group), slices.Index(groups, group2))]
		return effect, group, min(window, window2)
	}
	return effect, group, window
}

// Renew takes new settings between two turns. Methods, customers, zones and kinds keep their places, new ones
// follow. What was learned stays; where a rule looks further back now, what is forgotten counts as used up.
func (r *Router) Renew(now Time, p Prepared) {
	s := p.set
	r.now, r.dirty = now, true
	orders, fall := r.set.span("functions.load-window", 0), r.set.span("rules.fall", sec)
	warm, all := slices.DeleteFunc(slices.Clone(r.list), r.cold), r.frontEnds()
	r.heed(p)
	r.moved(all)
	if s.span("functions.load-window", 0) > orders {
		for range int(s.num("functions.load-free", 0)) {
			r.orders = append(r.orders, now)
		}
	}
	for _, w := range r.list {
		if r.cold(w) && (s.span("rules.fall", sec) > fall || slices.Contains(warm, w)) {
			w.sent = append(w.sent, callOut{at: now, cost: math.Inf(1)})
		}
	}
}

// moved starts afresh what means something else now: our part of the fleet, where the count of front ends has
// changed, and what is told no more. What warm workers do for us only shrinks: rule four rests on that.
func (r *Router) moved(before float64) {
	part := before / r.frontEnds()
	if part != 1 {
		r.room, r.room0, r.tokens, r.ease = r.room*part, r.room0*part, min(r.tokens, 1), easeMost/2.
		for kind := range r.could {
			r.could[kind] *= min(part, 1)
		}
	}
	for _, w := range r.list {
		w.served *= min(part, 1)
		if r.set.num("report.values.util", -1) < 0 {
			w.util = 0
		}
		if r.set.num("report.values.pinned", -1) < 0 {
			w.pinned = 0
		}
		if r.set["functions.tells-crowd"] == false {
			for _, in := range w.holds {
				in.others = 0
			}
		}
	}
}

// ListBegins, Listed and ListEnds bring the list of workers, or its changes.
func (r *Router) ListBegins(now Time, form ListForm, _ uint64) {
	r.now, r.dirty = now, true
	if form == Failed {
		r.port.Remind(sec, listenAgain)
	}
	for _, w := range r.list {
		w.listed = form == Changes || form == Failed
	}
}

// Listed is one entry of the list.
func (r *Router) Listed(now Time, id WorkerID, state Readiness, started Time, zone ZoneID, cell CellID,
	kind KindID, _ float64) {
	w := r.workers[id]
	if w == nil {
		w = &worker{id: id, started: started, known: started > 0, slow: 1, holds: map[FunctionID]*instance{}}
		r.workers[id], r.list = w, append(r.list, w)
		slices.SortFunc(r.list, func(a, b *worker) int { return cmp.Compare(a.id, b.id) })
	} else if started > w.started {
		w.restart(started)
		w.ill, w.trial = "", false
	}
	w.listed, w.zone, w.cell, w.kind = true, zone, cell, kind
	w.become(state)
}

// become takes over a state from the list: what drains or is gone holds nothing for us.
func (w *worker) become(state Readiness) {
	if w.state = state; state != Ready {
		clear(w.holds)
	}
}

// ListEnds closes the list: what a whole list leaves out is gone.
func (r *Router) ListEnds(now Time) {
	for _, w := range r.list {
		if !w.listed {
			w.become(Gone)
		}
	}
	r.count()
	ready := 0.0
	for _, w := range r.list {
		if w.state == Ready {
			ready++
		}
	}
	// two loads a worker; a fleet that comes one worker after the other has its room grow with it
	if grown := 2*ready/r.frontEnds() - r.room0; grown > 0 {
		r.room, r.room0, r.tokens = r.room+grown, r.room0+grown, max(r.tokens+grown, 1)
	}
}

// count drops instances that idled past the least keep-alive, and counts the rest and the loads under way.
func (r *Router) count() {
	r.pending, r.total, r.totalCap = 0, 0, 0
	for _, w := range r.list {
		for id, in := range w.holds {
			keep := r.set.span("functions.keep-alive", 10*sec)
			if in.asked {
				keep = askWait
			}
			if in.loading {
				if !in.lost(r.fns[id], r.now) {
					r.pending++
				}
			} else if in.active == 0 && r.now-in.lastUse >= keep {
				delete(w.holds, id)
				continue
			}
			r.total += in.copies
		}
		if w.state == Ready {
			r.totalCap += r.memory(w)
		}
	}
	if r.totalCap *= float64(len(r.fns)) / max(r.seen, 1); r.totalCap == 0 {
		r.totalCap = totalCap
	}
}

// restart forgets what stood on a worker that began anew, empty and cold. What was sent there counts on.
func (w *worker) restart(at Time) {
	w.started, w.known, w.errors, w.slow = at, true, 0, 1
	clear(w.holds)
}

// Take takes an RPC and returns its handle. Cost is the hint's core time, 0 where there is none.
func (r *Router) Take(now Time, id RPCID, m MethodID, c CustomerID, fid FunctionID, budget Time, cost,
	memory float64, lanes int, load Time, repeat bool) *RPC {
	r.now, r.dirty = now, true
	fn := r.fns[fid]
	if fn == nil {
		fn = &function{id: fid, load: cmp.Or(float64(load), r.load, float64(min(priorLoad, r.methods[m].soft))),
			work: r.methods[m].work, size: memory, backoff: loadBackMin}
		r.fns[fid] = fn
		r.seen += memory
	}
	fn.lanes = max(lanes, 1)
	p := &RPC{r: r, id: id, m: r.methods[m], fn: fn, at: now, late: now, end: now + budget, size: 1}
	p.gain, p.repeat = p.m.gain, repeat
	if repeat && p.m.deadline > 0 { // the deadline runs from the first try: the budget tells what is left of it
		p.late += p.m.soft - max(0, p.m.deadline-budget)
	} else if !repeat {
		p.late, p.m.most = p.late+p.m.soft, max(p.m.most, budget) // a marked one's budget may be longer
		if r.stoodStill() {
			p.late -= p.m.most - budget
		} else if !r.set.is("clients.mark-repeats") && budget > p.m.soft && budget < p.m.most-beat {
			// cut by the deadline: an unmarked repeat. Where clients mark theirs, budgets tell nothing of that
			p.late -= max(0, p.m.deadline-budget)
		}
	}
	if cost > 0 {
		p.m.cost += (cost - p.m.cost) / 20
		fn.cost = cmp.Or(fn.cost, cost)
		fn.cost += (cost - fn.cost) / 20
		p.size = hintTrust*cost/fn.cost + 1 - hintTrust
	}
	if int(c) < len(r.customers) && !r.customers[c].within(now) {
		p.gain *= r.set.num("over-share-gain", 1)
	}
	r.taken = append(r.taken, now)
	fn.asked, r.asked = fn.asked+p.m.mean(), r.asked+p.m.mean()
	p.hold()
	fn.need, fn.needAt = max(fn.recent(now), float64(fn.out+fn.held)), now
	return p
}

func (c *customer) within(now Time) bool {
	c.tokens, c.at = min(c.tokens+c.quota*float64(now-c.at), 2*c.quota*float64(sec)), now
	if c.tokens < 1 {
		return false
	}
	c.tokens--
	return true
}

func (fn *function) recent(now Time) float64 { return fn.need * fade(now-fn.needAt, needFade) }

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
		} else if best == nil || r.far(best) && !r.far(w) ||
			r.far(w) == r.far(best) && p.before(w, best) {
			best = w
		}
	}
	// Exceptions: from a far instance, or one with others waiting, a copy is ordered where ours should stand.
	if best != nil && (r.far(best) || p.behind(best) >= farBehind) && r.set.is("functions.orders") &&
		count < fnCap && r.now >= p.fn.loadNext {
		if homes := p.homes(); len(homes) > 0 && !r.far(homes[0]) && r.mayOrder() {
			p.order(homes[0])
		}
	}
	if best == nil && p.at < r.now && !p.timeToLoad() { // it would end waiting, and the load in vain
		p.keep(cmp.Or(p.reason, LoadTime)) // what held it before tells more
		return false
	}
	if best = cmp.Or(best, joining); best != nil { // exception: it joins a load of ours, within its lanes
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

// keep notes what keeps the RPC from going out; it is false, as place's answer.
func (p *RPC) keep(why Reason) bool {
	p.reason = why
	return false
}

// spare guards workers against many front ends that each send little: RPCs that may go out before ours out,
// loads waited for aside, reach our share of fleetBusy for each worker that takes any.
func (r *Router) spare(late bool) int {
	well, all, ease := 0.0, r.frontEnds(), r.ease
	if late {
		ease = lateEase
	}
	for _, w := range r.list {
		if w.state == Ready && (w.ill == "" || r.allIll) {
			well++
		}
	}
	most := max(1, int(ease*fleetBusy*well/all+1-(r.set.num("me", 0)+1)/all))
	for _, p := range r.out {
		if c := &p.calls[len(p.calls)-1]; !c.in.loading && (c.w.ill == "" || r.allIll) {
			most--
		}
	}
	return most
}

// eased learns from a warm answer how much more than our even share of the fleet we may use.
func (r *Router) eased(inTime bool) {
	if inTime {
		r.ease = min(r.ease+easeUp, easeMost)
	} else {
		r.ease = max(1, r.ease*(1-easeDown))
	}
}

func (r *Router) far(w *worker) bool { return r.near && w.zone != r.zone }

// order has a copy loaded that no RPC rides on.
func (p *RPC) order(w *worker) {
	p.begin(w).ordered = true
	p.r.orders = append(p.r.orders, p.r.now)
	p.r.port.Hold(w.id, p.fn.id, 1)
}

// begin notes a load under way.
func (p *RPC) begin(w *worker) *instance {
	in := w.holds[p.fn.id]
	if in == nil {
		in = &instance{}
		w.holds[p.fn.id] = in
	}
	in.copies, in.loading, in.ordered, in.since, in.lastUse = max(in.copies, 1), true, false, p.r.now, p.r.now
	p.r.pending++
	p.r.total++
	return in
}

// before is the design's order of ties among warm instances; active counts others' RPCs as last told, and
// those that answers slower than elsewhere tell of.
func (p *RPC) before(w, best *worker) bool {
	in, other := w.holds[p.fn.id], best.holds[p.fn.id]
	c := cmp.Or(p.behind(w)-p.behind(best),
		in.executed-other.executed, cmp.Compare(in.lastUse, other.lastUse), cmp.Compare(in.since, other.since))
	return c < 0 || c == 0 && p.r.rng.Intn(2) == 0
}

// behind is how many RPCs stand before one that goes to the warm instance there, as far as we know.
func (p *RPC) behind(w *worker) int {
	in := w.holds[p.fn.id]
	return in.active + int(math.Round(in.others)+math.Round(w.slow/p.r.slow-1))
}

// lost: a worker that hangs answers no order; it keeps no RPC waiting and takes no other load's place.
func (in *instance) lost(fn *function, now Time) bool {
	return in.ordered && float64(now-in.since) > loadLost*fn.load
}

// hasRoom: own RPCs there, and what answers tell of other front ends', leave a lane free.
func (in *instance) hasRoom(fn *function, now Time) bool {
	return float64(in.active)+math.Round(in.crowd(now)) < float64(in.copies*fn.lanes)
}

// crowd is what is left of the last news of other front ends' RPCs there.
func (in *instance) crowd(now Time) float64 { return in.others * fade(now-in.toldAt, crowdFade) }

// load starts a load under the caps. Where orders are allowed and the ration has room it is ordered, and the
// RPC waits for whichever copy is free first; else the RPC goes to the loading worker at once.
// Exception: where lanes stand free at a worker that holds our share, another copy helps only on idle cores.
func (p *RPC) load(count int, roomy bool) bool {
	r, fn := p.r, p.fn
	need := max(fn.recent(r.now), float64(fn.out+1))
	limit := min(math.Ceil(need/float64(fn.lanes)), max(fnCap, need))
	// Exception: an RPC held for as long as a load takes lifts the cap to the design's own figure.
	if p.queued && float64(r.now-p.at) > fn.load {
		limit = max(fnCap, need)
	}
	if float64(count) >= limit {
		return p.keep(FunctionCap)
	} else if float64(r.total+1) > r.totalCap {
		return p.keep(FleetCap)
	} else if r.now < fn.loadNext {
		return p.keep(LoadBackoff)
	} else if float64(r.pending)*r.realShare >= max(r.room, 1) {
		return p.keep(LoadPace)
	}
	homes := p.homes()
	told := r.set.num("report.values.util", -1) >= 0
	if len(homes) == 0 || roomy && !(told && homes[0].util < idleUtil) {
		return false
	}
	// Exception: where it may, it first asks the first homes for copies that others brought there.
	if r.set.is("functions.orders") && r.now >= fn.askNext {
		fn.askNext = r.now + askLasts
		for _, w := range homes[:min(askHomes, len(homes))] {
			w.holds[fn.id] = &instance{asked: true, lastUse: r.now}
			r.port.Hold(w.id, fn.id, 0)
		}
		return p.keep(Asking)
	}
	if !r.mayLoad(fn) {
		return p.keep(LoadPace)
	}
	r.tokens -= r.realShare
	if fn.errors >= loadErrors {
		fn.loadNext = r.now + fn.backoff // one trial load
	}
	if r.set.is("functions.orders") && r.mayOrder() {
		p.order(homes[0])
		return false
	}
	p.begin(homes[0])
	p.send(homes[0])
	return true
}

// mayLoad paces loads by what the store is seen to take, our share of which may be below one at a time. Only
// the part of them counts that found no copy of another front end's.
func (r *Router) mayLoad(fn *function) bool {
	r.tokens = min(r.tokens+r.room*float64(r.now-r.tokensAt)/fn.load, max(r.room, 1))
	r.tokensAt = r.now
	return r.tokens >= r.realShare
}

// mayOrder keeps rule five: orders within the window, this one included, under the ration. The window is
// widened by slack: clocks are cut to whole units.
func (r *Router) mayOrder() bool {
	window := r.set.span("functions.load-window", 0)
	within := func(times []Time, slack Time) []Time {
		return slices.DeleteFunc(times, func(t Time) bool { return t < r.now-window-slack })
	}
	r.orders, r.taken = within(r.orders, ms), within(r.taken, -ms)
	ration := r.set.num("functions.load-free", 0) + r.set.num("functions.load-share", 0)*float64(len(r.taken))
	return window == 0 || float64(len(r.orders)+1) <= ration
}

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
		bar, told := p.barred(w), r.now-w.told < reportLasts
		if w.state == Ready && w.holds[fn.id] != nil {
			count++
			continue
		} else if bar == NoTime && !r.open(w) {
			bar = WorkerShare
		} else if bar == NoTime && (float64(w.active) > 1.5*mean+1 || told && (w.util > 0.95 || w.pinned > 0.9)) {
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
	} else if !r.coldRoom(w, p.m) {
		return ColdWorkers
	}
	// a way back: one RPC that may be repeated tries a worker whose pause is over
	if w.ill != "" && !r.allIll && (!w.trial || w.active > 0 || p.m.effect == SideEffecting) {
		return IllWorkers
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

// spent: the RPC has had all the call-outs that the settings allow.
func (p *RPC) spent() bool { return len(p.calls) >= int(p.r.set.num("may.call-outs", 1)) }

// mayRepeatAt keeps rule two for a further call-out.
func (p *RPC) mayRepeatAt(w *worker) bool {
	if p.out > 0 || p.risk == nil || p.m.effect == Idempotent {
		return p.out == 0
	}
	group := p.m.group == "all" || p.m.group == "zone" && w.zone == p.risk.zone ||
		p.m.group == "cell" && w.cell == p.risk.cell
	return p.m.effect == Tokened && group && p.r.now+2*beat <= p.riskAt+p.m.window
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
	budget := r.set.num("rules.fall-multiple", 1) * share * coldStretch * r.could[w.kind] * float64(window)
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

// send starts a call-out.
func (p *RPC) send(w *worker) {
	r := p.r
	p.unhold()
	in := w.holds[p.fn.id]
	in.lastUse, w.trial = r.now, false
	in.active++
	w.active++
	p.fn.out++
	p.calls, p.reason = append(p.calls, callOut{w: w, in: in, at: r.now, cold: in.loading}), NoTime
	if p.out++; p.out == 1 {
		r.out = append(r.out, p)
	}
	if p.risk == nil {
		p.risk, p.riskAt = w, r.now
	}
	if r.cold(w) {
		w.sent = append(w.sent, callOut{at: r.now, cost: p.m.mean()})
	}
	r.port.Send(p.id, w.id, 0)
}

// hold queues the RPC; a full queue gives up its least gain, latest first.
func (p *RPC) hold() {
	r := p.r
	p.queued = true
	p.fn.held++
	r.held = append(r.held, p)
	least := p
	for _, q := range r.held {
		if p.fn.held > queueCap && q.fn == p.fn && q.worth() < least.worth() {
			least = q
		}
	}
	if r.now >= p.leaveAt() { // a client's last try may come with almost no time left
		p.giveUp()
	} else if p.fn.held > queueCap {
		least.giveUp()
	}
}

func (p *RPC) unhold() {
	if p.queued {
		p.queued = false
		p.fn.held--
		p.r.held = slices.DeleteFunc(p.r.held, func(q *RPC) bool { return q == p })
	}
}

// giveUp answers at once: denied where a retry is harmless, to come back as late as is heeded, else aborted.
func (p *RPC) giveUp() {
	p.unhold()
	p.ended = true
	if (p.mayHave || p.out > 0) && (p.m.effect == SideEffecting || p.m.effect == Tokened && p.m.group != "all") {
		p.r.port.Abort(p.id, p.reason)
		return
	}
	comeBack := p.r.set.span("may.come-back", 0)
	if p.r.set["may.advise"] == false {
		comeBack = 0 // clients are not given it; their own back-off is all there is
	}
	p.r.port.Deny(p.id, comeBack, p.reason)
}

// Left tells that the client is gone: no answer is owed.
func (p *RPC) Left(now Time) {
	p.r.now, p.r.dirty = now, true
	p.unhold()
	p.ended = true
}

// Over tells that nothing more can happen to the RPC.
func (p *RPC) Over() bool { return p.ended && p.out == 0 }

// Ended tells how a call-out ended. Closed: no answer is owed; crowd: RPCs of its function that it met there.
func (p *RPC) Ended(now Time, n int, _ WorkerID, o Outcome, closed bool, warmth Warmth, crowd int, took Time,
	report []float64) {
	r := p.r
	r.now, r.dirty = now, true
	if n >= len(p.calls) || p.calls[n].done {
		return
	}
	c := &p.calls[n]
	c.done = true
	c.w.active--
	c.in.active--
	p.fn.out--
	if p.out--; p.out == 0 {
		r.out = slices.DeleteFunc(r.out, func(q *RPC) bool { return q == p })
	}
	c.w.report(r, report)
	p.judge(c, o, warmth, crowd, took)
	if o == OK || o == Errored || o == TimedOut || o == Reset || o == CalledOff {
		p.mayHave = true
	} else if !p.mayHave && p.out == 0 {
		p.risk = nil
	}
	if p.ended = p.ended || closed; p.ended || p.out > 0 {
		return
	}
	if p.mayHave && p.m.effect == SideEffecting || o == TimedOut && !c.retracted || r.now >= p.leaveAt() ||
		p.spent() {
		p.giveUp()
		return
	}
	p.hold()
}

// judge learns from a call-out's end about the worker, the instance and the function.
func (p *RPC) judge(c *callOut, o Outcome, warmth Warmth, crowd int, took Time) {
	r, w, fn, in := p.r, c.w, p.fn, c.in
	if o == OK || o == Errored || o == Missed || o == Full {
		w.heard = r.now
	}
	switch o {
	case OK:
		w.errors -= w.errors / 4
		w.served += p.m.mean() / float64(servedFade)
		if now := w.holds[fn.id]; now == nil || now.asked {
			w.holds[fn.id] = in
		}
		cold := warmth == BeganLoad || warmth == JoinedLoad || warmth == Untold && c.cold &&
			float64(took) > p.work()+fn.load/2
		r.loaded(fn, in, cold, cold && warmth != JoinedLoad, max(float64(took)-p.work(), 0))
		in.executed++
		weight := max(0.25, 1-fade(r.now-in.toldAt, crowdFade))
		in.others = in.crowd(r.now)*(1-weight) + max(0, float64(crowd-in.active))*weight
		in.lastUse, in.toldAt = r.now, r.now
		if !cold && !r.stoodStill() {
			r.eased(took <= p.m.soft)
			heed := min(0.25, max(0.125, 1-fade(r.now-w.timed, slowFade))) // rare answers weigh more
			w.slow, w.timed = w.slow+(min(float64(took)/p.work(), 10)-w.slow)*heed, r.now
			fn.work += (min(float64(took)/p.size, 4*fn.work) - fn.work) / 16
			p.m.work += (min(float64(took), 4*p.m.work) - p.m.work) / 64
		}
		if w.ill != "" && w.slow <= slowIll*r.slow && w.errors <= errorsIll {
			r.port.Log(fmt.Sprintf("worker %d well after %s: slow %.1f errors %.2f", w.id, w.ill, w.slow, w.errors))
			w.ill, w.illBack, w.trial = "", 0, false
		} else if w.ill == "" && w.slow > slowIll*r.slow {
			w.sicken(r, "slowness", w.slow)
		}
	case Errored, Missed:
		if warmth == LoadFailed || o == Missed {
			if in.loading && w.holds[fn.id] == in { // RPCs that joined the load tell of one failure, not of many
				r.loadFailed(fn)
			}
			delete(w.holds, fn.id)
			break
		}
		in.loading = false
		if w.errors += (1 - w.errors) / 4; w.errors > errorsIll {
			w.sicken(r, "errors", w.errors)
		}
	case Full:
		w.fullUntil = r.now + Time(p.m.work)/2
		if in.loading && in.active == 0 {
			delete(w.holds, fn.id)
			r.tokens += r.realShare // it never began
		}
	case Reset: // a connection may break alone; a process that ends refuses new ones, too
		in.loading, c.broke = false, true
		if w.errors += (1 - w.errors) / 8; w.errors > errorsIll {
			w.sicken(r, "broken connections", w.errors)
		}
	case ConnectFailed:
		w.restart(r.now)
		w.sicken(r, "no connection", float64(w.active))
	case TimedOut, CalledOff, Moot:
		if !c.cold && !c.retracted && o == TimedOut {
			r.eased(false)
		}
		if in.loading && in.active == 0 {
			delete(w.holds, fn.id)
			fn.loadNext = max(fn.loadNext, r.now+fn.backoff) // timed-out loads only back off
		}
	}
}

// stoodStill: after a pause of our own what comes now may have come long ago, and times tell nothing.
func (r *Router) stoodStill() bool { return r.now-r.turn > pause }

// loaded ends a load, or renews the belief in a warm instance.
func (r *Router) loaded(fn *function, in *instance, cold, began bool, took float64) {
	if in.loading {
		in.loading, in.since = false, r.now
		r.loadsSeen++
		weight := 1 / min(realOver, r.loadsSeen+1)
		if r.realShare -= r.realShare * weight; began {
			r.realShare += weight
		}
	}
	if !cold {
		return
	}
	if fn.errors >= loadErrors {
		r.port.Log(fmt.Sprintf("function %d loads again", fn.id))
	}
	fn.errors, fn.backoff = 0, loadBackMin
	if r.stoodStill() {
		return
	}
	// the store is shared: loads that take far longer than usual mean fewer at once, everywhere
	if r.room += r.room0 / 16; took > 2.5*fn.load {
		r.room = max(r.room0/8, r.room*0.8)
	}
	fn.load += (min(took, 3*fn.load) - fn.load) / 4
	r.load = cmp.Or(r.load, took)
	r.load += (min(took, 3*r.load) - r.load) / 16
}

// Halted tells whether loads of the function are halted and no copy of it is believed to stand.
func (r *Router) Halted(id FunctionID) bool {
	fn := r.fns[id]
	return fn != nil && fn.errors >= loadErrors && !slices.ContainsFunc(r.list, func(w *worker) bool {
		in := w.holds[id]
		return in != nil && !in.loading && !in.asked
	})
}

// loadFailed counts a load error; the third in a row halts loads of the function. The store may fail all of
// them: until some have ended well, each is taken to find no copy.
func (r *Router) loadFailed(fn *function) {
	r.room = max(r.room0/8, r.room/2)
	r.tokens, r.realShare, r.loadsSeen = r.tokens-(1-r.realShare), 1, 0
	if fn.errors++; fn.errors < loadErrors {
		return
	}
	if fn.errors == loadErrors {
		r.port.Log(fmt.Sprintf("function %d halted: %d load errors", fn.id, fn.errors))
	}
	fn.loadNext = r.now + fn.backoff
	fn.backoff = min(2*fn.backoff, loadBackMax)
}

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

// sicken takes a worker off the ordinary path for a doubling pause; then a check, then one RPC, tries it.
func (w *worker) sicken(r *Router, symptom string, figure float64) {
	if w.ill == "" {
		r.port.Log(fmt.Sprintf("worker %d ill: %s %.2f, %d out", w.id, symptom, figure, w.active))
	}
	w.ill, w.trial = symptom, false
	w.illBack = min(max(2*w.illBack, illBackMin), illBackMax)
	w.illUntil = r.now + w.illBack
}

// Held answers a load order.
func (r *Router) Held(now Time, id WorkerID, fid FunctionID, o Outcome, copies int, took Time) {
	r.now, r.dirty = now, true
	w, fn := r.record(id), r.fns[fid]
	in := w.holds[fid]
	if in == nil || in.asked {
		delete(w.holds, fid)
		if copies > 0 && w.state == Ready {
			w.holds[fid] = &instance{copies: copies, since: now, lastUse: now}
		}
		return
	}
	switch {
	case copies == 0 && !in.ordered: // a late answer to a question
	case o == Reset && !in.lost(fn, now) && w.state == Ready && r.mayOrder(): // it stands, but nobody would tell
		r.orders = append(r.orders, now)
		r.port.Hold(id, fid, 1)
	case o == OK || copies > 0:
		in.copies, in.lastUse, in.ordered = max(copies, 1), now, false
		w.heard = now
		r.loaded(fn, in, in.loading, in.loading, float64(took))
	case o == Errored:
		delete(w.holds, fn.id)
		r.loadFailed(fn)
	case o == Full:
		w.fullUntil = now + sec/4
		delete(w.holds, fn.id)
	default:
		delete(w.holds, fn.id)
		fn.loadNext = max(fn.loadNext, now+fn.backoff)
	}
}

// Checked answers a check: one that passed lets an RPC try the worker.
func (r *Router) Checked(now Time, id WorkerID, o Outcome, _ Time, report []float64) {
	r.now, r.dirty = now, true
	w := r.record(id)
	w.checking = false
	if w.report(r, report); o != OK && w.ill != "" {
		w.sicken(r, w.ill, 0)
	}
	w.trial = o == OK && w.ill != ""
}

// Reminded is the heartbeat; its work is done when all that came with it is known.
func (r *Router) Reminded(now Time, token uint64) {
	r.now, r.dirty = now, true
	if token == listenAgain {
		r.port.Listen()
		return
	}
	r.port.Remind(beat, 0)
	r.beats = true
}

// keepHouse fades what is old, looks after the workers and gives up what waited for too long.
func (r *Router) keepHouse() {
	warm := map[KindID]float64{}
	for _, w := range r.list {
		if w.served -= w.served * float64(beat) / float64(servedFade); w.state == Ready && !r.cold(w) {
			if warm[w.kind]++; warm[w.kind] == 1 {
				r.could[w.kind] = 0
			}
			r.could[w.kind] += (w.served - r.could[w.kind]) / warm[w.kind]
		}
	}
	for _, fn := range r.fns {
		fn.asked -= fn.asked * float64(beat) / float64(askedFade)
	}
	r.asked -= r.asked * float64(beat) / float64(askedFade)
	r.forget()
	r.mayOrder() // drops what lies before its window
	r.count()
	r.watchSilence()
	r.weighZone()
	r.tend()
	for _, p := range slices.Clone(r.held) {
		if r.now >= p.leaveAt() {
			p.giveUp()
		}
	}
}

// tend leads ill workers back: a check, where allowed, then one RPC.
func (r *Router) tend() {
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
		if w.checking = r.set.is("may.check"); w.checking {
			r.port.Check(w.id)
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

// weighZone: where crossing has a price and this zone's memory holds all functions seen with room to spare,
// loads stay in the zone and its instances come first (an exception to one home for all front ends).
func (r *Router) weighZone() {
	room := 0.0
	for _, w := range r.list {
		if w.state == Ready && w.zone == r.zone {
			room += r.memory(w)
		}
	}
	near := r.set.num("price.cross-zone", 0) > 0 && r.now > r.born+needFade && room > zoneSpare*r.seen
	if near != r.near {
		r.near = near
		r.port.Log(fmt.Sprintf("loads stay in the zone: %t, memory %.0f MB, functions %.0f MB", near, room, r.seen))
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
			c.w.sicken(r, "silence", float64(r.now-c.at)/float64(ms))
		}
		if r.set.is("may.retract") && !p.ended && p.m.effect != SideEffecting && r.now < p.leaveAt() &&
			!p.spent() && r.now+Time(p.work()) < p.late {
			c.retracted = true
			r.port.Retract(p.id, len(p.calls)-1)
		}
	}
}

// leaveAt is the last moment at which sending a held RPC still makes sense; at it, it is given up. A client's
// repeat comes after a try has spent all its time: where that was short, the RPC likely works for longer. One
// that never went out is given up while its client has half of its time left to try again elsewhere.
func (p *RPC) leaveAt() Time {
	need := p.work()
	if p.repeat {
		need *= repeatWorks
	}
	leave := p.end - max(Time(need), 2*beat)
	if len(p.calls) == 0 {
		leave = min(leave, max(p.late, p.end-(p.end-p.at)/2)-2*beat)
	}
	return leave
}

// work is the RPC's usual time on a warm instance.
func (p *RPC) work() float64 { return p.fn.work * p.size }

// timeToLoad: the client waits for long enough for a load and the RPC's own work.
func (p *RPC) timeToLoad() bool { return float64(p.end-p.r.now) >= p.fn.load+p.work() }

// worth is what an answer would earn now: past the soft deadline little, beyond the customer's share little.
func (p *RPC) worth() float64 {
	if p.r.now+Time(p.work()) > p.late {
		return p.gain * p.m.lateShare
	}
	return p.gain
}

// Settle sends what the moment's events made room for: higher gain first, then first come.
func (r *Router) Settle(now Time) {
	if r.now = now; !r.dirty {
		return
	}
	if r.dirty = false; r.beats {
		r.beats = false
		r.keepHouse()
	}
	r.turn = now
	queue := slices.Clone(r.held)
	slices.SortStableFunc(queue, func(a, b *RPC) int {
		return cmp.Or(cmp.Compare(b.worth(), a.worth()), cmp.Compare(a.at, b.at))
	})
	stuck := map[*function]bool{}
	spare := map[bool]int{false: r.spare(false), true: r.spare(true)} // for RPCs that are late, and for others
	for _, p := range queue {
		late := p.worth() < p.gain
		if !p.queued || stuck[p.fn] && !p.keep(FunctionOrder) || spare[late] <= 0 && !p.keep(FleetShare) {
			continue
		}
		if p.place() {
			spare[false], spare[true] = r.spare(false), r.spare(true)
		} else {
			stuck[p.fn] = len(p.calls) == 0 && p.timeToLoad() // else others may go where it may not
		}
	}
}
