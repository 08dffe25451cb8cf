// Package emulate plays a scenario in virtual time: the real engine, module, desk and gate of each front end, the stand-in
// workers' and store's own models, clients that repeat, and a network with delays between them. One goroutine, one order
// of events: the same scenario and seed give the same day to the byte. Nothing here is measured on a real network; the
// figures of delays are the scenario's.
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

// epoch is when the day begins, by the virtual clock: some time after 0, which stands for long ago.
const epoch = 10 * 60 * 10000

// settleIn is what front ends have to hear of workers before the first RPC, beyond the roster's lag.
const settleIn = 5000

// looks is how many events pass between two looks at the context.
const looks = 1 << 14

// world is one day.
type world struct {
	s       *settings.Scenario
	now     router.Time
	start   router.Time      // of the load
	events  eventloop.Timers // of everybody, in the order in which they were set where their time is the same
	delays  distuv.LogNormal
	net     *rand.Rand // the network's chance
	shelf   *standin.StoreModel
	fronts  []*frontEnd
	workers map[string]*worker
	byID    map[router.WorkerID]*worker
	order   []string  // of workers' names, as they came
	fleet   []*worker // that are part of the fleet now; troubles draw from these
	members map[string]*member
	listed  []string // of members' names
	version uint64
	next    int // number of the next replacement
	records []record.Record
	book    *scenario.Book
	cuts    []cut
	module  routing.Factory // nil: the router
	rpcs    []RPC

	looks    int
	overfull string
}

// member is a worker as the roster knows it.
type member struct {
	w       *worker
	state   router.Readiness
	started router.Time // 0: long ago
}

// source gives the statistics library a seeded chance of ours.
type source struct{ *rand.Rand }

// Uint64 implements the library's source.
func (s source) Uint64() uint64 { return s.Rand.Uint64() }

// RPC is one client's RPC with its repeats, as it ended.
type RPC struct {
	N        int32   `parquet:"n"`
	Method   string  `parquet:"method,dict"`
	Function string  `parquet:"function,dict"`
	DueMs    float64 `parquet:"due_ms"`
	TookMs   float64 `parquet:"took_ms"`
	Outcome  string  `parquet:"outcome,dict"`
	Tries    int32   `parquet:"tries"`
}

// Result is a day that was emulated.
type Result struct {
	*scenario.Outcome
	RPCs    []RPC
	Records []record.Record
	Events  int           // that happened
	Took    time.Duration // by the real clock

	Looks    int    // at workers, whether they hold more than they have
	Overfull string // what was found first; empty: nothing
}

// Run plays a scenario; policy names a baseline that decides instead of the module, empty: the module does.
func Run(ctx context.Context, s *settings.Scenario, policy string) (*Result, error) {
	if err := playable(s); err != nil {
		return nil, err
	}
	begin := time.Now()
	n := s.Fleet.Network
	w := &world{s: s, now: epoch, net: rand.New(rand.NewSource(s.Seed ^ 0x6e6574)), workers: map[string]*worker{}, byID: map[router.WorkerID]*worker{},
		members: map[string]*member{}, book: scenario.NewBook(s)}
	module, err := baseline.Factory(policy, w.truth)
	if err != nil {
		return nil, err
	}
	w.module = module
	// a log-normal delay of the stated mean: its median is the mean over e^(sigma^2/2)
	w.delays = distuv.LogNormal{Mu: math.Log(float64(n.DelayUs)) - n.Spread*n.Spread/2, Sigma: n.Spread, Src: source{w.net}}
	if s.Fleet.Store != nil {
		w.shelf = standin.NewStoreModel(s.Fleet.Store, &w.events)
	}
	for _, set := range s.Workers() {
		w.begin(set)
	}
	w.next = len(w.order)
	w.fleet = slices.Clone(w.all())
	for i := range s.Fleet.FrontEnds {
		f := &frontEnd{w: w, i: i}
		w.fronts = append(w.fronts, f)
		f.begin()
	}
	w.start = w.now + s.Fleet.RosterLag + settleIn
	w.at(w.start, w.arrive)
	for n := range s.Troubles {
		t, rng := s.Troubles[n], rand.New(rand.NewSource(s.Seed+int64(n)))
		w.at(w.start+t.At, func() { w.trouble(t, rng) })
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
		if events%looks == 0 && ctx.Err() != nil {
			return nil, ctx.Err()
		}
		w.now = max(w.now, due)
		w.events.Fire(w.now)
	}
	return &Result{Outcome: scenario.Judge(s, w.records, w.book, ""), Records: w.records, RPCs: w.rpcs, Looks: w.looks, Overfull: w.overfull, Events: events, Took: time.Since(begin)}, nil
}

func (w *world) all() (out []*worker) {
	for _, name := range w.order {
		out = append(out, w.workers[name])
	}
	return out
}

// at has something happen.
func (w *world) at(t router.Time, do func()) {
	w.events.Set(new(eventloop.Timer), max(t, w.now), func(router.Time) { do() })
}

// after is at, from now on.
func (w *world) after(d router.Time, do func()) { w.at(w.now+d, do) }

// delay draws one message's way, in units of a tenth of a millisecond: what is shorter is drawn as chance of one.
func (w *world) delay() router.Time {
	units := w.delays.Rand() / 100
	whole := math.Floor(units)
	if w.net.Float64() < units-whole {
		whole++
	}
	return router.Time(whole)
}

// way is one direction of a connection: what is sent later never comes earlier.
type way struct{ last router.Time }

// arrival is when a message that is sent now comes.
func (y *way) arrival(w *world) router.Time {
	y.last = max(y.last, w.now+w.delay())
	return y.last
}

// keep notes what somebody saw; the virtual clock's zero is 1970.
func (w *world) keep(r record.Record) {
	r.UnixNS = int64(w.now) * int64(eventloop.Unit)
	w.records = append(w.records, r)
}

// change tells all front ends of a member, after the roster's lag.
func (w *world) change(name string, apply func(m *member)) {
	w.after(w.s.Fleet.RosterLag, func() {
		m := w.members[name]
		if m == nil {
			m = &member{}
			w.members[name], w.listed = m, append(w.listed, name)
		}
		apply(m)
		w.version++
		for _, f := range w.fronts {
			f.told(router.ListChanges, []string{name})
		}
	})
}

// arrive takes the day's next arrival and waits for the one after.
func (w *world) arrive() {
	arrivals := scenario.NewArrivals(w.s)
	methods := map[string]*settings.Method{}
	for i := range w.s.Service.Methods {
		methods[w.s.Service.Methods[i].Name] = &w.s.Service.Methods[i]
	}
	var next func()
	next = func() {
		a, more := arrivals.Next()
		if !more {
			return
		}
		w.at(w.start+eventloop.FromDuration(a.At), func() {
			c := &client{w: w, a: a, Client: scenario.NewClient(w.s, methods[a.Mix.Method], a)}
			c.try()
			next()
		})
	}
	next()
}

// truth tells how a function stands on a worker, for the baseline that may know: copies' lanes that are free, a load under
// way, RPCs at work there.
func (w *world) truth(id router.WorkerID, fn router.FunctionID) (free int, loading bool, jobs int, ok bool) {
	x := w.byID[id]
	if x == nil || !x.alive || x.model.Hanging() {
		return 0, false, 0, false
	}
	free, loading = x.model.FreeLanes(func(name string) bool { return nameid.Function(name) == fn })
	return free, loading, x.model.JobCount(), true
}

// since is a moment of the day.
func (w *world) since() time.Duration { return eventloop.ToDuration(w.now - w.start) }
