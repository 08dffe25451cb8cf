// Package emulate plays a scenario in virtual time: the real engine, router, dispatcher and admission of each front
// end, the models of the stand-in workers and store, clients that repeat, and a network with delays between them. All
// events run on one goroutine in one order, so the same scenario and seed give byte-identical records. The network
// delays come from the scenario, not from measurements of a real network.
package emulate

import (
	"context"
	"math"
	"math/rand"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"mallowlanding/internal/baseline"
	"mallowlanding/internal/eventloop"
	"mallowlanding/internal/nameid"
	"mallowlanding/internal/record"
	"mallowlanding/internal/routing"
	"mallowlanding/internal/scenario"
	"mallowlanding/internal/settings"
	"mallowlanding/internal/standin"
	"mallowlanding/router"
)

// epoch is the virtual time at which a scenario begins, in tenths of a millisecond: 10 minutes after 0, because 0
// stands for long ago.
const epoch = 10 * 60 * 10000

// settleTime is the time that front ends have to connect to workers before the first RPC, after the roster's lag, in
// tenths of a millisecond.
const settleTime = 5000

// contextCheckInterval is the number of moments with events between two checks of the context.
const contextCheckInterval = 1 << 14

// world is the state of one emulated scenario.
type world struct {
	scenario      *settings.Scenario
	now           router.Time
	start         router.Time      // when the load begins
	events        eventloop.Timers // of all parts; those due at the same time run in the order in which they were set
	delayDist     distuv.LogNormal
	networkRand   *rand.Rand // random numbers of the network
	store         *standin.StoreModel
	fronts        []*frontEnd
	workers       map[string]*worker
	byID          map[router.WorkerID]*worker
	workerNames   []string  // in the order in which workers first started
	fleet         []*worker // current workers, from which troubles draw
	roster        map[string]*rosterEntry
	rosterNames   []string // in the order of their first entry
	rosterVersion uint64
	nextWorker    int // number in the name of the next replacement
	records       []record.Record
	tallies       *scenario.Tallies
	messageLosses []messageLoss
	newRouter     routing.Factory // nil: the program's own router
	rpcs          []RPC

	inspections int
	overLimit   string
}

// rosterEntry is a worker as the roster lists it.
type rosterEntry struct {
	worker  *worker
	state   router.Readiness
	started router.Time // 0: long ago
}

// randSource adapts a seeded generator to the random source that the statistics library expects.
type randSource struct{ *rand.Rand }

// Uint64 implements rand.Source of math/rand/v2.
func (s randSource) Uint64() uint64 { return s.Rand.Uint64() }

// RPC is the final outcome of one client's RPC with its repeats.
type RPC struct {
	N        int32   `parquet:"n"`
	Method   string  `parquet:"method,dict"`
	Function string  `parquet:"function,dict"`
	DueMs    float64 `parquet:"due_ms"`
	TookMs   float64 `parquet:"took_ms"`
	Outcome  string  `parquet:"outcome,dict"`
	Tries    int32   `parquet:"tries"`
}

// Result is the outcome of an emulated scenario.
type Result struct {
	*scenario.Outcome
	RPCs    []RPC
	Records []record.Record
	Events  int           // moments of virtual time with events
	Elapsed time.Duration // real time

	Inspections int    // checks of workers for use above their memory or lanes
	OverLimit   string // the first excess found, if any
}

// Run plays a scenario. Policy names a baseline that decides in place of the router; if it is empty, the router
// decides.
func Run(ctx context.Context, s *settings.Scenario, policy string) (*Result, error) {
	if err := checkSupported(s); err != nil {
		return nil, err
	}
	begin := time.Now()
	n := s.Fleet.Network
	w := &world{scenario: s, now: epoch, networkRand: rand.New(rand.NewSource(s.Seed ^ 0x6e6574)), workers: map[string]*worker{}, byID: map[router.WorkerID]*worker{},
		roster: map[string]*rosterEntry{}, tallies: scenario.NewTallies(s)}
	newRouter, err := baseline.Factory(policy, w.oracleView)
	if err != nil {
		return nil, err
	}
	w.newRouter = newRouter
	// a log-normal distribution with the mean of the settings: its median is the mean over e^(sigma^2/2)
	w.delayDist = distuv.LogNormal{Mu: math.Log(float64(n.DelayUs)) - n.Spread*n.Spread/2, Sigma: n.Spread, Src: randSource{w.networkRand}}
	if s.Fleet.Store != nil {
		w.store = standin.NewStoreModel(s.Fleet.Store, &w.events)
	}
	for _, cfg := range s.Workers() {
		w.startWorker(cfg)
	}
	w.nextWorker = len(w.workerNames)
	w.fleet = slices.Clone(w.allWorkers())
	for i := range s.Fleet.FrontEnds {
		f := &frontEnd{w: w, index: i}
		w.fronts = append(w.fronts, f)
		f.start()
	}
	w.start = w.now + s.Fleet.RosterLag + settleTime
	w.at(w.start, w.startArrivals)
	for n := range s.Troubles {
		t, rng := s.Troubles[n], rand.New(rand.NewSource(s.Seed+int64(n)))
		w.at(w.start+t.At, func() { w.startTrouble(t, rng) })
	}
	longest := router.Time(0)
	for _, m := range s.Service.Methods {
		longest = max(longest, m.Deadline)
	}
	end := w.start + s.Length + longest + s.Slack + 10000
	events := 0
	for ; ; events++ {
		due, any := w.events.NextDue()
		if !any || due > end {
			break
		}
		if events%contextCheckInterval == 0 && ctx.Err() != nil {
			return nil, ctx.Err()
		}
		w.now = max(w.now, due)
		w.events.Fire(w.now)
	}
	return &Result{Outcome: scenario.Evaluate(s, w.records, w.tallies, ""), Records: w.records, RPCs: w.rpcs, Inspections: w.inspections, OverLimit: w.overLimit, Events: events, Elapsed: time.Since(begin)}, nil
}

func (w *world) allWorkers() (out []*worker) {
	for _, name := range w.workerNames {
		out = append(out, w.workers[name])
	}
	return out
}

// at runs do at virtual time t, or now if t has passed.
func (w *world) at(t router.Time, do func()) {
	w.events.Set(new(eventloop.Timer), max(t, w.now), func(router.Time) { do() })
}

// after runs do after d of virtual time.
func (w *world) after(d router.Time, do func()) { w.at(w.now+d, do) }

// delay draws the network delay of one message, in tenths of a millisecond. A fraction of a unit is rounded up with a
// probability equal to it, so that the mean is kept.
func (w *world) delay() router.Time {
	units := w.delayDist.Rand() / 100
	whole := math.Floor(units)
	if w.networkRand.Float64() < units-whole {
		whole++
	}
	return router.Time(whole)
}

// orderedPath is one direction of a connection: messages arrive in the order in which they are sent.
type orderedPath struct{ last router.Time }

// deliveryTime returns when a message that is sent now arrives.
func (p *orderedPath) deliveryTime(w *world) router.Time {
	p.last = max(p.last, w.now+w.delay())
	return p.last
}

// addRecord adds a record with the current virtual time; time 0 of the virtual clock stands for 1970.
func (w *world) addRecord(r record.Record) {
	r.UnixNS = int64(w.now) * int64(eventloop.Unit)
	w.records = append(w.records, r)
}

// updateRoster changes a worker's entry in the roster and notifies all front ends, after the roster's lag.
func (w *world) updateRoster(name string, apply func(e *rosterEntry)) {
	w.after(w.scenario.Fleet.RosterLag, func() {
		e := w.roster[name]
		if e == nil {
			e = &rosterEntry{}
			w.roster[name], w.rosterNames = e, append(w.rosterNames, name)
		}
		apply(e)
		w.rosterVersion++
		for _, f := range w.fronts {
			f.notifyList(router.ListChanges, []string{name})
		}
	})
}

// startArrivals starts a client for each arrival of the scenario when it is due.
func (w *world) startArrivals() {
	arrivals := scenario.NewArrivals(w.scenario)
	methods := map[string]*settings.Method{}
	for i := range w.scenario.Service.Methods {
		methods[w.scenario.Service.Methods[i].Name] = &w.scenario.Service.Methods[i]
	}
	var next func()
	next = func() {
		a, more := arrivals.Next()
		if !more {
			return
		}
		w.at(w.start+eventloop.FromDuration(a.At), func() {
			c := &client{w: w, arrival: a, Client: scenario.NewClient(w.scenario, methods[a.Mix.Method], a)}
			c.sendTry()
			next()
		})
	}
	next()
}

// oracleView returns the real state of a function on a worker, for the oracle baseline: free lanes of its copies,
// whether a load is under way, and the RPCs that run on the worker. It returns false if the worker is down or hangs.
func (w *world) oracleView(id router.WorkerID, fn router.FunctionID) (free int, loading bool, jobs int, ok bool) {
	x := w.byID[id]
	if x == nil || !x.alive || x.model.Hanging() {
		return 0, false, 0, false
	}
	free, loading = x.model.FreeLanes(func(name string) bool { return nameid.Function(name) == fn })
	return free, loading, x.model.JobCount(), true
}

// elapsed returns the time since the load began.
func (w *world) elapsed() time.Duration { return eventloop.ToDuration(w.now - w.start) }
