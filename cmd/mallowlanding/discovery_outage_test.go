package main

// The tests of this file guard against a front end that uses its worker list whatever the list's age.
//
// Failure: while the journal service, which is the discovery service, could not be reached, front ends sent RPCs and
// load orders to workers that had begun to drain. They did so after the drain counted as reported, 7 s into the
// outage, and after its grace, until the worker list was confirmed again. The workers refused the messages, and other
// workers served the RPCs.
//
// It comes about in this order: the service becomes unreachable, a busy worker begins to drain, 7 s of the outage and
// the grace pass, and messages to the worker go on until the list is confirmed again. However the service fails, the
// violations begin at the end of the grace, and nothing else changes at that time.
//
// Cause: the router did not know when the worker list had last been confirmed, so a worker stayed "ready" for longer
// than the list could vouch for it. Every kind of outage below broke the rule on draining in the same way. A change
// to the choice of the least-loaded worker, so that workers that refuse are not preferred, reduced the number of
// violations, but not the kinds of outage that caused them. See docs/incidents/2026-12-02-discovery-out-of-reach.md.

import (
	"fmt"
	"math/rand"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Time limits of the protocol, and settings of the front ends. When a limit has passed, a drain that discovery could
// not report counts as reported.
const (
	silenceLimit    = 7 * time.Second        // from the start of a silence
	unansweredLimit = 3 * time.Second        // from a request without a response: the requested wait of 1 s, and 2 s
	truncatedLimit  = 2 * time.Second        // from a truncated response
	reloadLimit     = 4 * time.Second        // from a reload that changes the address of discovery
	drainGrace      = 500 * time.Millisecond // rules.drainGraceNs
	graceTolerance  = 50 * time.Millisecond  // the protocol's tolerance for each time limit
)

// Times from the start of an outage. The first drains begin before the time limit has passed, the last one after it.
const (
	outageFirstDrain  = 600 * time.Millisecond
	outageSecondDrain = 9 * time.Second
	outageLength      = 12 * time.Second
	loadAfterOutage   = time.Second // how long the load continues after the outage
)

// Sizes of the fleet and of its load.
const (
	outageFrontEnds = 3
	outageWorkers   = 8
	outageStreams   = 4                      // concurrent clients of each front end
	outageThinkTime = 100 * time.Millisecond // from an answer to the client's next RPC
	outageFunctions = 6
	sparseThinkTime = 900 * time.Millisecond // the same with little traffic
)

// outageMode is one kind of outage of discovery, with the settings of the fleet and other faults during the outage.
type outageMode struct {
	name         string
	discovery    discoveryFault
	configEdits  []string      // pairs of a text in the configuration and its replacement
	reportLimit  time.Duration // from the start of the outage until a drain counts as reported; 0: silenceLimit
	grace        time.Duration // from the report of a drain until nothing more may be sent to the worker; 0: drainGrace
	thinkTime    time.Duration // from an answer to the client's next RPC; 0: outageThinkTime
	workTime     time.Duration // execution time of an RPC; 0: outageWorkTime
	restart      bool          // a front end is killed and restarted during the outage
	reload       bool          // a reload gives the front ends a discovery address that refuses connections
	pause        bool          // a front end is paused (SIGSTOP) while the time limit passes
	drainingPass bool          // draining workers pass their checks
	noOrders     bool          // the configuration does not allow load orders
	minServed    float64       // smallest share of RPCs to be served once drains count as reported
}

// TestDiscoveryOutage runs front ends as processes, with stand-ins for the workers and the journal service on sockets
// of this machine, and counts the messages to workers past the grace of a drain that counts as reported.
func TestDiscoveryOutage(t *testing.T) {
	for _, mode := range []outageMode{
		{name: "refused", discovery: discoveryRefuses, minServed: 0.95},
		{name: "no response", discovery: discoveryHangs, reportLimit: unansweredLimit, minServed: 0.95},
		{name: "trickling response", discovery: discoveryTrickles, reportLimit: unansweredLimit, minServed: 0.95},
		{name: "errors", discovery: discoveryFails, minServed: 0.95},
		{name: "truncated response", discovery: discoveryTruncates, reportLimit: truncatedLimit, minServed: 0.95},
		{name: "stale state", discovery: discoveryIsStale, minServed: 0.95},
	} {
		t.Run(mode.name, func(t *testing.T) {
			t.Parallel()
			runOutage(t, mode)
		})
	}
}

// TestDiscoveryOutageWithOtherFaults is TestDiscoveryOutage with a second fault, or with unusual settings or traffic.
func TestDiscoveryOutageWithOtherFaults(t *testing.T) {
	for _, mode := range []outageMode{
		{name: "a front end restarts during the outage", discovery: discoveryRefuses, restart: true, minServed: 0.9},
		{name: "a reload names an unreachable address", discovery: discoveryRefuses, reload: true, reportLimit: reloadLimit, minServed: 0.95},
		{name: "a front end is paused during the outage", discovery: discoveryHangs, pause: true, minServed: 0.6},
		{name: "draining workers pass their checks", discovery: discoveryRefuses, drainingPass: true, minServed: 0.7},
		{name: "no checks", discovery: discoveryRefuses, configEdits: []string{`"mayProbe":true`, `"mayProbe":false`}},
		{name: "little traffic", discovery: discoveryRefuses, thinkTime: sparseThinkTime, minServed: 0.95},
		{name: "little traffic and no orders", discovery: discoveryHangs, thinkTime: sparseThinkTime, noOrders: true, minServed: 0.95},
		{name: "no orders", discovery: discoveryRefuses, noOrders: true, minServed: 0.95},
	} {
		t.Run(mode.name, func(t *testing.T) {
			t.Parallel()
			runOutage(t, mode)
		})
	}
}

func runOutage(t *testing.T, mode outageMode) {
	f := newOutageFleet(t, mode)
	mode = f.mode
	f.startLoad()
	time.Sleep(1500 * time.Millisecond) // until copies are loaded and each worker has served some RPCs

	f.discovery.startFault(mode.discovery)
	began := time.Now()
	f.beginSilence(mode.reportLimit)
	reportedBy := began.Add(mode.reportLimit)
	sleepUntil := func(after time.Duration) { time.Sleep(time.Until(began.Add(after))) }
	if mode.reload {
		for i := range f.frontEnds {
			f.reload(i, unusedAddress(t))
		}
	}
	sleepUntil(outageFirstDrain)
	f.drain(0)
	f.drain(1)
	if mode.restart {
		sleepUntil(2 * time.Second)
		f.restart(0)
	}
	if mode.pause {
		sleepUntil(6500 * time.Millisecond)
		f.signal(0, syscall.SIGSTOP)
		sleepUntil(8500 * time.Millisecond)
		f.signal(0, syscall.SIGCONT)
	}
	sleepUntil(outageSecondDrain)
	f.drain(2)
	sleepUntil(outageLength)
	f.discovery.endFault()
	f.endSilence()
	if mode.reload {
		for i := range f.frontEnds {
			f.reload(i, f.discovery.address)
		}
	}
	time.Sleep(loadAfterOutage)
	f.stopLoad()
	f.verify(began, reportedBy)
}

// TestDiscoveryOutageRandom draws faults, settings and traffic from a seed: outages of all kinds and lengths one
// after the other; workers that drain, stop and restart; front ends that are paused, killed or reloaded. For manual
// runs the environment variable DISCOVERY_OUTAGE_SEEDS names other seeds, as FIRST-LAST.
func TestDiscoveryOutageRandom(t *testing.T) {
	first, last := 1, 3
	if seeds := os.Getenv("DISCOVERY_OUTAGE_SEEDS"); seeds != "" {
		if _, err := fmt.Sscanf(seeds, "%d-%d", &first, &last); err != nil {
			t.Fatalf("DISCOVERY_OUTAGE_SEEDS: %v", err)
		}
	}
	for seed := first; seed <= last; seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			runRandomOutages(t, int64(seed))
		})
	}
}

// randomLength is the time in which random faults occur.
const randomLength = 18 * time.Second

func runRandomOutages(t *testing.T, seed int64) {
	rng := rand.New(rand.NewSource(seed))
	randomDuration := func(low, high time.Duration) time.Duration {
		return low + time.Duration(rng.Int63n(int64(high-low)))
	}
	randomBool := func(share float64) bool { return rng.Float64() < share }
	mode := outageMode{grace: randomDuration(300*time.Millisecond, 1200*time.Millisecond), thinkTime: randomDuration(20*time.Millisecond, time.Second),
		workTime: randomDuration(5*time.Millisecond, 700*time.Millisecond), noOrders: randomBool(0.4)}
	if randomBool(0.25) {
		mode.configEdits = []string{`"mayProbe":true`, `"mayProbe":false`}
	}
	f := newOutageFleet(t, mode)
	mode = f.mode
	f.startLoad()
	time.Sleep(time.Second)
	began := time.Now()
	var steps sync.WaitGroup
	sleepUntil := func(at time.Duration) { time.Sleep(time.Until(began.Add(at))) }
	faults := []discoveryFault{discoveryRefuses, discoveryHangs, discoveryTrickles, discoveryFails, discoveryTruncates}
	restarts := randomBool(0.5)
	if !restarts { // a front end that starts with the old state cannot detect that the service is as far behind
		faults = append(faults, discoveryIsStale)
	}

	type outage struct {
		at, length time.Duration
		fault      discoveryFault
	}
	var outages []outage
	for at := randomDuration(0, 2*time.Second); at < randomLength-time.Second; {
		o := outage{at, randomDuration(300*time.Millisecond, 14*time.Second), faults[rng.Intn(len(faults))]}
		o.length = min(o.length, randomLength-at)
		outages = append(outages, o)
		at += o.length + randomDuration(300*time.Millisecond, 3*time.Second)
	}
	steps.Go(func() {
		for _, o := range outages {
			sleepUntil(o.at)
			f.beginSilence(map[discoveryFault]time.Duration{discoveryHangs: unansweredLimit, discoveryTrickles: unansweredLimit, discoveryTruncates: truncatedLimit}[o.fault])
			f.discovery.startFault(o.fault)
			sleepUntil(o.at + o.length)
			f.discovery.endFault()
			f.endSilence()
		}
	})
	for worker := range outageWorkers - 3 { // the last three workers do not drain, so that RPCs can be served
		drainAt, drainLength, downtime, stops := randomDuration(0, randomLength-time.Second), randomDuration(time.Second, 6*time.Second), randomDuration(200*time.Millisecond, 2*time.Second), randomBool(0.6)
		steps.Go(func() {
			sleepUntil(drainAt)
			f.drain(worker)
			if sleepUntil(drainAt + drainLength); !stops {
				return
			}
			f.workers[worker].stop()
			f.discovery.publish(f.instances("left", worker), false)
			sleepUntil(drainAt + drainLength + downtime)
			f.workers[worker].start()
			f.discovery.publish(f.instancesStartedAt("active", time.Now().UnixMilli(), worker), false)
		})
	}
	if hangAt, length := randomDuration(0, randomLength), randomDuration(time.Second, 5*time.Second); randomBool(0.5) {
		steps.Go(func() {
			sleepUntil(hangAt)
			w := f.workers[outageWorkers-1]
			w.mu.Lock()
			defer w.mu.Unlock()
			w.hangsUntil = time.Now().Add(length)
		})
	}
	for i := range f.frontEnds {
		at, length, action := randomDuration(0, randomLength-4*time.Second), randomDuration(100*time.Millisecond, 3*time.Second), rng.Intn(4)
		steps.Go(func() {
			sleepUntil(at)
			switch action {
			case 0:
				f.signal(i, syscall.SIGSTOP)
				sleepUntil(at + length)
				f.signal(i, syscall.SIGCONT)
			case 1:
				if restarts {
					f.restart(i)
				}
			case 2: // a reload with the same address does not restart the time limit
				f.reload(i, f.discovery.address)
			}
		})
	}
	steps.Wait()
	sleepUntil(randomLength)
	time.Sleep(loadAfterOutage)
	f.stopLoad()
	t.Logf("grace %v, think %v, work %v, orders %t, outages %v, settings %v", mode.grace, mode.thinkTime, mode.workTime, !mode.noOrders, outages, mode.configEdits)
	f.verify(began, began)
}
