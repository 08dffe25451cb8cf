// Package router decides, for one front end, which worker runs each RPC and when functions are loaded. Constants are in
// this file; the other files each state what they decide. Comments say "design" of what the system's design prescribes,
// and "exception" where the code deviates from it or from the ordinary path.
//
// New creates the router of a front end. Submit adds an RPC and returns its handle, which receives the later events of
// that RPC (CallOutEnded, ClientLeft). The worker list arrives as BeginWorkerList, AddListedWorker for each entry, and
// EndWorkerList. LoadOrderEnded and CheckEnded bring the results of load orders and checks, TimerFired an expired
// timer. After the events of one turn of the event loop (those of one moment, handled together) the caller calls
// Dispatch once. The router acts through Actions alone. The same events lead to the same actions. The ordinary path is
// RPC.place: a warm copy with a free lane, else a load, else the queue.
//
// Comments and tests refer to five rules by number:
//
//  1. Each RPC is answered before its client's time is up.
//  2. An RPC that may have run is sent again only where its method's effect, group and window allow it.
//  3. Nothing is sent to a worker whose drain was reported longer ago than the grace.
//  4. A cold worker is sent no more work within a window than its cold budget.
//  5. Load orders within a window stay within the ration.
package router

import (
	"cmp"
	"math/rand"
	"slices"
)

const (
	ms  Time = 10
	sec Time = 1000 * ms

	// A longer time between two dispatches means that the process was paused.
	maxDispatchGap = 5 * housekeepingInterval
	// Also the unit of the safety margins before deadlines.
	housekeepingInterval = 20 * ms

	functionCopyCap  = 5   // copies of one function (design); raised to its recent peak of RPCs
	defaultMaxCopies = 100 // copies of all functions (design), where no memory sizes are known
	functionQueueCap = 100 // queued RPCs of one function

	haltAfterErrors = 3        // consecutive load errors that halt loads of a function (design)
	minLoadBackoff  = sec      // first backoff of loads, then doubled (design: 1 s)
	maxLoadBackoff  = 10 * sec // longest backoff of loads (design: 10 s)

	defaultLoadTime = sec      // time of a load before one is stated or observed; a soft deadline at the most
	defaultRunTime  = sec / 10 // time of an RPC on a warm copy before one is observed

	minUnhealthyPause  = sec     // first pause of an unhealthy worker, then doubled
	maxUnhealthyPause  = 8 * sec // longest pause of an unhealthy worker
	unhealthyErrorRate = 0.5     // smoothed error rate above which a worker is unhealthy
	unhealthySlowness  = 3.5     // smoothed slowness against peers above which a worker is unhealthy
	silenceFactor      = 6       // usual run times after which a missing answer counts as silence

	// Loads stay in a zone if its memory exceeds that of all functions in use by this factor.
	zoneMemoryFactor = 3

	workerWorkDecay   = 5 * sec  // averaging period of the work of warm workers
	functionWorkDecay = 20 * sec // averaging period of submitted work, for a function's share of it

	// Assumed share of the work for a function that is seen for the first time, since such functions are often popular.
	priorShare = 0.01
	// Number of RPCs that priorShare weighs as much as: fewer RPCs say little about so small a share.
	priorShareWeight = 100

	// Number of loads over which storeLoadShare is averaged; the first ones weigh the same.
	storeShareLoads = 16
	// How long a report marks a worker as busy. A worker that is sent nothing sends no newer report.
	reportValidity = sec
	// Part of a hint's deviation from its function's mean that counts.
	hintWeight = 0.5
	// A client's repeat is sent only while this many usual run times are left.
	repeatTimeFactor = 3

	coldHeadroom   = 1.5 // warm workers can do at least this multiple of their observed work
	minColdSenders = 3   // front ends that may send a cold worker one RPC per window, whatever they know

	othersDecay = sec // time in which the estimate of other front ends' RPCs at a copy falls to 1/e
	// A function has so many homes that its work takes at most 1/homeFactor of a mean worker's work at each.
	homeFactor         = 3
	orderOverdueFactor = 2 // usual load times after which a load order's copy is not waited for any longer
	extraCopyQueue     = 3 // RPCs ahead of a new one at a warm copy from which on a further copy is ordered

	// RPCs in flight at a worker, of all front ends together; each front end may send at least 2.
	workerInFlightCap = 6
	idleUtil          = 0.8  // a worker that reports less may get more than its share, by a step with each answer
	busyUtil          = 0.95 // a worker that reports more gets less again by steps, since its cores are taken
	idleShareFactor   = 4    // limit of that increase, as a multiple of the front end's even share

	// RPCs in flight per worker on average, of all front ends together, while answers are late.
	fleetInFlightCap = 8
	// Largest multiple of fleetInFlightCap, while answers are in time: some front ends carry more load than others.
	maxFleetFactor = 5
	// Increase of the factor with each warm answer in time.
	fleetFactorStep = 0.02
	// Part of the factor that is taken away with each late warm answer. With fleetFactorStep, one late answer in five
	// keeps the factor at 1, one in twenty keeps it at the maximum.
	fleetFactorDrop = 0.07
	// Multiple of the front end's even share for an RPC that is late itself: it must not make others late.
	lateFleetFactor = 0.5

	slownessDecay = 4 * sec // time in which a worker's slowness falls to 1/e where answers are rare
	peakDecay     = 3 * sec // time in which a function's peak of RPCs falls to 1/e

	maxAskedHomes = 2                        // home workers that are asked for copies at once
	askInterval   = sec                      // time between two questions for copies of a function
	askTimeout    = 3 * housekeepingInterval // how long the answer to a question or a check is waited for

	// 10 minutes: a record that has been unused for so long affects no decision any more.
	unusedRetention = 6e6
	// Most functions with a record, besides those with RPCs or copies.
	maxFunctions = 4096
	// Share of memory that cannot be freed above which a worker has no room for a load.
	fullPinnedShare  = 0.9
	resubscribeToken = 1 // token of the timer that requests the worker list again

	hashMultiplier = 0x9e3779b97f4a7c15 // odd, to spread ids over all bits
)

// Router decides for one front end; see the package comment.
type Router struct {
	actions                      Actions
	rng                          *rand.Rand
	now, createdAt, lastDispatch Time
	settings                     Settings
	zone                         ZoneID
	methods                      []*method
	customers                    []*customer
	workers                      map[WorkerID]*worker
	sortedWorkers                []*worker // by id
	functions                    map[FunctionID]*function
	functionMemory               float64            // MB of one copy of each known function
	queue, inFlight              []*RPC             // in order of arrival; those with an open call-out
	recentOrders, recentSubmits  []Time             // times of load orders and new RPCs, in the ration's window
	pendingLoads, totalCopies    int                // loads in progress; copies, those being loaded included
	maxLoads, maxCopies          float64            // caps of both: learned from loads; from the workers' memory
	loadShare, loadTokens        float64            // own share of two loads per worker; loads that may start now
	loadTokensAt                 Time               // last refill of loadTokens
	warmWork                     map[KindID]float64 // recent work of a warm worker for this front end
	medianSlowness               float64            // of the workers, at least 1
	storeLoadShare, loadsEnded   float64            // share of loads that found no copy and used the store; loads ended
	recentWork, meanLoadTime     float64            // decaying sum of the work of new RPCs; mean of all functions
	fleetFactor                  float64            // this front end may use this multiple of its even share
	ownZoneFirst, ignoreHealth   bool               // loads stay in the zone; most workers look unhealthy
	dirty, housekeepingDue       bool               // events since the last Dispatch; its timer was one of them
	listAsOf, listValidUntil     Time               // when the list was last known correct; end of its time as evidence
	listMaxAge                   Time               // age limit of the list; 0: discovery reports each change at once
	pauseEnd, pauseStart         Time               // of the last pause of the process
	pausedTime                   Time               // sum of all pauses of the process
	drainGrace                   Time               // sending is allowed for this long after a reported drain
	listWasExpired               bool               // the last log line on the list's age said that it had expired
}

// New creates the router of one front end.
func New(actions Actions, now Time, seed int64, s Settings) *Router {
	r := &Router{actions: actions, now: now, rng: rand.New(rand.NewSource(seed)), workers: map[WorkerID]*worker{},
		functions: map[FunctionID]*function{}, warmWork: map[KindID]float64{}, createdAt: now,
		lastDispatch: now, medianSlowness: 1, storeLoadShare: 0.5, fleetFactor: maxFleetFactor / 2., listAsOf: never, pauseEnd: never}
	r.adoptSettings(ParseSettings(s))
	if actions.SetTimer(housekeepingInterval, 0); s.text("list") == "asked" {
		actions.SubscribeWorkers()
	}
	return r
}

// Submit queues a new RPC and returns its handle. Budget is the time that its client still waits. Cost is the core time
// of its hint and load the stated load time, both 0 where unknown; memory is the size of a copy in MB.
func (r *Router) Submit(now Time, id RPCID, m MethodID, customerID CustomerID, functionID FunctionID, budget Time, cost,
	memory float64, lanes int, load Time, repeat bool) *RPC {
	r.now, r.dirty = now, true
	fn := r.functions[functionID]
	if fn == nil {
		fn = &function{id: functionID, loadTime: cmp.Or(float64(load), r.meanLoadTime, float64(min(defaultLoadTime, r.methods[m].softDeadline))),
			runTime: r.methods[m].runTime, memory: memory, loadBackoff: minLoadBackoff}
		r.functions[functionID] = fn
		r.functionMemory += memory
	}
	fn.lanes = max(lanes, 1)
	p := &RPC{router: r, id: id, method: r.methods[m], fn: fn, submittedAt: now, softDeadline: now, timeoutAt: now + budget, relativeCost: 1}
	p.gain, p.repeat = p.method.gain, repeat
	// The deadline runs from the first try, so the budget of a repeat shows how much of it is left.
	if repeat && p.method.deadline > 0 {
		p.softDeadline += p.method.softDeadline - max(0, p.method.deadline-budget)
	} else if !repeat {
		// The longest budget is learned from first tries alone: that of a marked repeat may be longer.
		p.softDeadline, p.method.maxBudget = p.softDeadline+p.method.softDeadline, max(p.method.maxBudget, budget)
		if r.wasPaused() {
			p.softDeadline -= p.method.maxBudget - budget
		} else if !r.settings.enabled("clients.mark-repeats") && budget > p.method.softDeadline && budget < p.method.maxBudget-housekeepingInterval {
			// The client cut the budget to the rest of its deadline, so this is an unmarked repeat. Where clients mark
			// repeats, a short budget is no sign of one.
			p.softDeadline -= max(0, p.method.deadline-budget)
		}
	}
	if cost > 0 {
		p.method.coreTime += (cost - p.method.coreTime) / 20
		fn.coreTime = cmp.Or(fn.coreTime, cost)
		fn.coreTime += (cost - fn.coreTime) / 20
		p.relativeCost = hintWeight*cost/fn.coreTime + 1 - hintWeight
	}
	if int(customerID) < len(r.customers) && !r.customers[customerID].takeToken(now) {
		p.gain *= r.settings.number("over-share-gain", 1)
	}
	r.recentSubmits = append(r.recentSubmits, now)
	fn.recentWork, r.recentWork = fn.recentWork+p.method.meanCost(), r.recentWork+p.method.meanCost()
	p.enqueue()
	fn.peak, fn.lastSubmit = max(fn.recentPeak(now), float64(fn.inFlight+fn.queued)), now
	return p
}

// takeToken takes one RPC from the customer's token bucket. It returns false if the customer is beyond its share.
func (c *customer) takeToken(now Time) bool {
	c.tokens, c.refilledAt = min(c.tokens+c.quota*float64(now-c.refilledAt), 2*c.quota*float64(sec)), now
	if c.tokens < 1 {
		return false
	}
	c.tokens--
	return true
}

// recentPeak is the decayed peak of the function's RPCs, queued and in flight.
func (fn *function) recentPeak(now Time) float64 {
	return fn.peak * decay(now-fn.lastSubmit, peakDecay)
}

// TimerFired handles an expired timer: it requests the worker list again or marks housekeeping as due. Dispatch does
// the housekeeping, once all events of the turn are known.
func (r *Router) TimerFired(now Time, token uint64) {
	r.now, r.dirty = now, true
	if token == resubscribeToken {
		r.actions.SubscribeWorkers()
		return
	}
	r.actions.SetTimer(housekeepingInterval, 0)
	r.housekeepingDue = true
}

// housekeeping decays averages, drops unused records, updates the health of workers, and gives up queued RPCs whose
// time is over.
func (r *Router) housekeeping() {
	warmWorkers := map[KindID]float64{}
	for _, w := range r.sortedWorkers {
		if w.recentWork -= w.recentWork * float64(housekeepingInterval) / float64(workerWorkDecay); w.state == Ready && !r.isCold(w) {
			if warmWorkers[w.kind]++; warmWorkers[w.kind] == 1 {
				r.warmWork[w.kind] = 0
			}
			r.warmWork[w.kind] += (w.recentWork - r.warmWork[w.kind]) / warmWorkers[w.kind]
		}
	}
	for _, fn := range r.functions {
		fn.recentWork -= fn.recentWork * float64(housekeepingInterval) / float64(functionWorkDecay)
	}
	r.recentWork -= r.recentWork * float64(housekeepingInterval) / float64(functionWorkDecay)
	r.dropUnused()
	r.dropExcessFunctions()
	r.orderRationAllows() // drops entries from before the window
	r.countCopies()
	r.logListExpiry()
	r.detectSilentWorkers()
	r.updateZonePreference()
	r.recoverUnhealthy()
	for _, p := range slices.Clone(r.queue) {
		if r.now >= p.giveUpAt() {
			p.giveUp()
		}
	}
}
