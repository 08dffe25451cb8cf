// Package router is the decision module of mallowlanding. Tuned values are in this file, decisions here and
// in the files that each name what they decide.
//
// New makes one Router for each front end. Take hands it an RPC and returns the RPC's handle; what happens to
// that RPC later is a method call on the handle (Ended, Left). The list of workers comes as ListBegins,
// Listed..., ListEnds; orders and checks are answered by Held and Checked, timers by Reminded. After the
// events of one moment the caller calls Settle once. The module acts through Port. The same events lead to
// the same actions. The ordinary path is RPC.place: a warm instance with room, else a load, else the queue.
package router

import (
	"cmp"
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
	factorMost  = 5        // so many times that while they are in time: some front ends carry more
	factorUp    = 0.02     // up with each warm answer in time; down by factorDown of it with each late one
	factorDown  = 0.07     // both: one late in five holds it at one, one in twenty at the most
	lateFactor  = 0.5      // of our even share, for an RPC that is late: it must not make others late
	slowFade    = 4 * sec  // in this time a worker's slowness falls to a third, where answers are rare
	needFade    = 3 * sec  // in this time a function's peak of RPCs falls to a third
	askHomes    = 2        // homes asked at once
	askLasts    = sec      // for so long we don't ask again
	askWait     = 3 * beat // for so long an answer is waited for
	forgetAfter = 6e6      // ten minutes: a record goes with nothing heard of it for so long, far beyond its use
	pinnedFull  = 0.9      // share of memory that can't be freed above which a worker has no room for a load
	listenAgain = 1        // token of the timer that asks for the list again

	spread = 0x9e3779b97f4a7c15 // an odd number that spreads ids over all bits
)

// Router is the decision module of one front end.
type Router struct {
	port                 Actions
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
	loadLimit, totalCap  float64 // the caps of both: learned from the store; what the workers' memory holds
	loadShare, tokens    float64 // our share of two loads a worker; loads that may begin now
	tokensAt             Time
	warmWork             map[KindID]float64 // what a warm worker of the kind does for us
	slow                 float64            // workers' median slowness, 1 or more
	realShare, loadsSeen float64            // part of loads that found no copy; loads whose end we saw
	asked, load          float64            // work of RPCs taken lately; mean time of loads
	fleetFactor          float64            // how many times our even share of the fleet we may use
	ownZoneFirst, allIll bool               // loads stay in the zone; health is ignored
	dirty, beats         bool               // settling is due, with housekeeping
	listAsOf, listUntil  Time               // when the list was last known to be whole and true; it alone is evidence until
	listLasts            Time               // how old it may be; 0: discovery tells each change as it comes
	wokeAt, sleptAt      Time               // the end and the begin of the last time that we stood still
	drainGrace           Time               // how long after a drain was told something may still be sent
	wasLapsed            bool               // the list was too old when last looked at
}

// New starts the module of one front end.
func New(port Actions, now Time, seed int64, s Settings) *Router {
	r := &Router{port: port, now: now, rng: rand.New(rand.NewSource(seed)), workers: map[WorkerID]*worker{},
		fns: map[FunctionID]*function{}, warmWork: map[KindID]float64{}, born: now,
		turn: now, slow: 1, realShare: 0.5, fleetFactor: factorMost / 2., listAsOf: never, wokeAt: never}
	r.takeSettings(ParseSettings(s))
	if port.SetTimer(beat, 0); s.word("list") == "asked" {
		port.SubscribeWorkers()
	}
	return r
}

// Submit takes an RPC and returns its handle. Cost is the hint's core time, 0 where there is none.
func (r *Router) Submit(now Time, id RPCID, m MethodID, c CustomerID, fid FunctionID, budget Time, cost,
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
		if r.wasPaused() {
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

// TimerFired is the heartbeat; its work is done when all that came with it is known.
func (r *Router) TimerFired(now Time, token uint64) {
	r.now, r.dirty = now, true
	if token == listenAgain {
		r.port.SubscribeWorkers()
		return
	}
	r.port.SetTimer(beat, 0)
	r.beats = true
}

// housekeeping fades what is old, looks after the workers and gives up what waited for too long.
func (r *Router) housekeeping() {
	warm := map[KindID]float64{}
	for _, w := range r.list {
		if w.served -= w.served * float64(beat) / float64(servedFade); w.state == Ready && !r.cold(w) {
			if warm[w.kind]++; warm[w.kind] == 1 {
				r.warmWork[w.kind] = 0
			}
			r.warmWork[w.kind] += (w.served - r.warmWork[w.kind]) / warm[w.kind]
		}
	}
	for _, fn := range r.fns {
		fn.asked -= fn.asked * float64(beat) / float64(askedFade)
	}
	r.asked -= r.asked * float64(beat) / float64(askedFade)
	r.forget()
	r.orderRationAllows() // drops what lies before its window
	r.count()
	r.watchList()
	r.watchSilence()
	r.updateZonePreference()
	r.recoverUnhealthy()
	for _, p := range slices.Clone(r.held) {
		if r.now >= p.leaveAt() {
			p.giveUp()
		}
	}
}
