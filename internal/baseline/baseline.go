// Package baseline has well-known policies to pick a worker, behind the same interface as router.Router, which is
// compared with them. They keep rules one and two of package router, since a comparison with a policy that breaks them
// would mean nothing. They know of no loads, cold workers or rations, and are not for production use.
package baseline

import (
	"fmt"
	"math"
	"math/rand"
	"slices"

	"mallowlanding/internal/routing"
	"mallowlanding/internal/settingkeys"
	"mallowlanding/router"
)

// ActualState returns the actual state of a function at a worker: its free lanes, whether a load is in progress, and
// the RPCs there; ok is false if the worker does not answer.
type ActualState func(w router.WorkerID, fn router.FunctionID) (free int, loading bool, rpcs int, ok bool)

// Policies are the names of the policies.
var Policies = []string{"random", "round-robin", "least-out", "power-of-two", "join-idle", "bounded-hash", "oracle"}

// loadFactor is the bound of bounded hashing: how far a worker's RPCs may exceed the mean. The value is that of the
// examples of the scheme's authors (Mirrokni, Thorup, Zadimoghaddam, 2016).
const loadFactor = 1.25

// retryPause is the pause before an RPC that never ran is sent again: 20 ms.
const retryPause = 20 * 10

// Factory returns the factory of a policy. It is nil, which means router.Router, for an empty name and for "module".
func Factory(name string, actual ActualState) (routing.Factory, error) {
	if name == "" || name == "module" {
		return nil, nil
	}
	if !slices.Contains(Policies, name) {
		return nil, fmt.Errorf("no policy %q; known are module, %v", name, Policies)
	}
	return func(actions router.Actions, now router.Time, seed int64, s router.Settings) routing.Router {
		p := &policy{name: name, actual: actual, actions: actions, rng: rand.New(rand.NewSource(seed)), workers: map[router.WorkerID]*worker{},
			waiting: map[uint64]*rpc{}}
		p.readSettings(s)
		return p
	}, nil
}

type method struct {
	effect, group string
	window        router.Time
}

type worker struct {
	id         router.WorkerID
	zone       router.ZoneID
	cell       router.CellID
	ready      bool
	inList     bool
	inFlight   int
	avoidUntil router.Time // after a failed connection
}

// policy is one baseline at one front end; it implements routing.Router.
type policy struct {
	name          string
	actual        ActualState
	actions       router.Actions
	rng           *rand.Rand
	methods       []method
	maxCallOuts   int
	retryAfter    router.Time
	workers       map[router.WorkerID]*worker
	sortedWorkers []*worker // by id
	lastIndex     int       // index of the worker that round robin used last
	idle          []*worker // workers that became idle, the earliest first
	waiting       map[uint64]*rpc
	lastToken     uint64
	now           router.Time
}

// rpc is one RPC; it implements routing.Handle.
type rpc struct {
	policy     *policy
	id         router.RPCID
	method     method
	fn         router.FunctionID
	timeoutAt  router.Time
	callOuts   []*worker
	inFlight   int
	ended      bool
	mayHaveRun bool // a call-out that ended may have run
	riskSince  router.Time
	riskWorker *worker
	timerSet   bool
}

// readSettings reads the limits of call-outs and the effects of the methods.
func (p *policy) readSettings(s router.Settings) {
	number := func(name string) float64 { v, _ := s[name].(float64); return v }
	text := func(name string) string { v, _ := s[name].(string); return v }
	p.maxCallOuts, p.retryAfter = int(number(settingkeys.Join(settingkeys.May, settingkeys.CallOuts))), router.Time(number(settingkeys.Join(settingkeys.May, settingkeys.ComeBack)))
	p.methods = nil
	for i := range int(number(settingkeys.Methods)) {
		p.methods = append(p.methods, method{effect: text(settingkeys.Item(settingkeys.Methods, i, settingkeys.Effect)),
			group: text(settingkeys.Item(settingkeys.Methods, i, settingkeys.Group)), window: router.Time(number(settingkeys.Item(settingkeys.Methods, i, settingkeys.Window)))})
	}
}

// BeginWorkerList implements routing.Router.
func (p *policy) BeginWorkerList(_ router.Time, update router.ListUpdate, _ uint64) {
	for _, w := range p.sortedWorkers {
		w.inList = update == router.ListChanges || update == router.ListFailed
	}
}

// AddListedWorker implements routing.Router.
func (p *policy) AddListedWorker(_ router.Time, id router.WorkerID, state router.Readiness, _ router.Time, zone router.ZoneID,
	cell router.CellID, _ router.KindID, _ float64) {
	w := p.workers[id]
	if w == nil {
		w = &worker{id: id}
		p.workers[id], p.sortedWorkers = w, append(p.sortedWorkers, w)
		slices.SortFunc(p.sortedWorkers, func(a, b *worker) int { return int(int64(a.id) - int64(b.id)) })
		p.idle = append(p.idle, w)
	}
	w.zone, w.cell, w.ready, w.inList = zone, cell, state == router.Ready, true
}

// EndWorkerList implements routing.Router.
func (p *policy) EndWorkerList(router.Time) {
	for _, w := range p.sortedWorkers {
		w.ready = w.ready && w.inList
	}
}

// LoadOrderEnded implements routing.Router. Baselines send no load orders and no checks.
func (p *policy) LoadOrderEnded(router.Time, router.WorkerID, router.FunctionID, router.Outcome, int, router.Time) {
}

// CheckEnded implements routing.Router.
func (p *policy) CheckEnded(router.Time, router.WorkerID, router.Outcome, router.Time, []float64) {}

// UpdateSettings implements routing.Router: baselines keep the settings that they started with.
func (p *policy) UpdateSettings(router.Time, router.ParsedSettings) {}

// LoadsHalted implements routing.Router.
func (p *policy) LoadsHalted(router.FunctionID) bool { return false }

// Dispatch implements routing.Router.
func (p *policy) Dispatch(router.Time) {}

// Submit implements routing.Router.
func (p *policy) Submit(now router.Time, id router.RPCID, m router.MethodID, _ router.CustomerID, fn router.FunctionID,
	budget router.Time, _, _ float64, _ int, _ router.Time, _ bool) routing.Handle {
	p.now = now
	r := &rpc{policy: p, id: id, method: p.methods[m], fn: fn, timeoutAt: now + budget}
	r.send()
	return r
}

// TimerFired implements routing.Router.
func (p *policy) TimerFired(now router.Time, token uint64) {
	p.now = now
	if r := p.waiting[token]; r != nil {
		delete(p.waiting, token)
		if r.timerSet = false; !r.ended {
			r.send()
		}
	}
}

// maySendTo reports whether the RPC may be sent to a worker. In the last 40 ms of its window a tokened RPC may not be
// repeated.
func (r *rpc) maySendTo(w *worker) bool {
	if !w.ready || r.policy.now < w.avoidUntil {
		return false
	}
	if !r.mayHaveRun || r.method.effect == router.Idempotent {
		return true
	}
	group := r.method.group == "all" || r.method.group == "zone" && w.zone == r.riskWorker.zone || r.method.group == "cell" && w.cell == r.riskWorker.cell
	return r.method.effect == router.Tokened && group && r.policy.now+400 <= r.riskSince+r.method.window
}

// send starts a call-out, or gives the RPC up, also if no more than 20 ms of its time are left.
func (r *rpc) send() {
	p := r.policy
	if len(r.callOuts) >= p.maxCallOuts || p.now >= r.timeoutAt-200 || r.mayHaveRun && r.method.effect == router.SideEffecting {
		r.giveUp()
		return
	}
	w := p.pick(r)
	if w == nil {
		r.retryLater()
		return
	}
	w.inFlight++
	r.inFlight++
	r.callOuts = append(r.callOuts, w)
	if r.riskWorker == nil {
		r.riskWorker, r.riskSince = w, p.now
	}
	p.actions.Send(r.id, w.id, 0, math.MaxInt64)
}

// retryLater has the RPC sent again after a pause, but 20 ms before its time is up at the latest.
func (r *rpc) retryLater() {
	p := r.policy
	r.timerSet = true
	p.lastToken++
	p.waiting[p.lastToken] = r
	p.actions.SetTimer(min(retryPause, max(1, r.timeoutAt-200-p.now)), p.lastToken)
}

// giveUp answers the RPC: denied where a retry is harmless, else aborted.
func (r *rpc) giveUp() {
	r.ended = true
	if r.mayHaveRun && (r.method.effect == router.SideEffecting || r.method.effect == router.Tokened && r.method.group != "all") {
		r.policy.actions.Abort(r.id, router.NoTime)
		return
	}
	r.policy.actions.Deny(r.id, r.policy.retryAfter, router.NoTime)
}

// CallOutEnded implements routing.Handle.
func (r *rpc) CallOutEnded(now router.Time, n int, _ router.WorkerID, o router.Outcome, closed bool, _ router.Warmth, _ int,
	_ router.Time, _ []float64) {
	p := r.policy
	p.now = now
	w := r.callOuts[n]
	w.inFlight--
	r.inFlight--
	if w.inFlight == 0 && w.ready {
		p.idle = append(p.idle, w)
	}
	switch o {
	case router.ConnectFailed, router.Reset:
		w.avoidUntil = now + 10000 // 1 s
	}
	switch o {
	case router.Full, router.ConnectFailed, router.NotSent, router.NotLoaded:
		if !r.mayHaveRun {
			r.riskWorker = nil
		}
	default:
		r.mayHaveRun = true
	}
	if r.ended = r.ended || closed; r.ended {
		return
	}
	if o == router.Full || o == router.ConnectFailed {
		r.retryLater()
		return
	}
	r.send()
}

// ConfirmWorkerList implements routing.Router: baselines use the worker list whatever its age.
func (p *policy) ConfirmWorkerList(router.Time, router.Time) {}

// ClientLeft implements routing.Handle.
func (r *rpc) ClientLeft(router.Time) { r.ended = true }

// Finished implements routing.Handle.
func (r *rpc) Finished() bool { return r.ended && r.inFlight == 0 && !r.timerSet }

// pick chooses the worker for an RPC by the policy; nil: none may be used.
func (p *policy) pick(r *rpc) *worker {
	var eligible []*worker
	for _, w := range p.sortedWorkers {
		if r.maySendTo(w) {
			eligible = append(eligible, w)
		}
	}
	if len(eligible) == 0 {
		return nil
	}
	randomWorker := func() *worker { return eligible[p.rng.Intn(len(eligible))] }
	leastLoaded := func(ws []*worker) *worker {
		return slices.MinFunc(ws, func(a, b *worker) int { return a.inFlight - b.inFlight })
	}
	switch p.name {
	case "random":
		return randomWorker()
	case "round-robin":
		p.lastIndex++
		return eligible[p.lastIndex%len(eligible)]
	case "least-out":
		return leastLoaded(eligible)
	case "power-of-two":
		return leastLoaded([]*worker{randomWorker(), randomWorker()})
	case "join-idle":
		for len(p.idle) > 0 {
			w := p.idle[0]
			p.idle = p.idle[1:]
			if w.inFlight == 0 && r.maySendTo(w) {
				return w
			}
		}
		return randomWorker()
	case "bounded-hash":
		total := 0
		for _, w := range eligible {
			total += w.inFlight
		}
		limit := int(loadFactor*float64(total+1)/float64(len(eligible))) + 1
		ranked := slices.Clone(eligible)
		slices.SortFunc(ranked, func(a, b *worker) int {
			if x, y := hashRank(r.fn, a.id), hashRank(r.fn, b.id); x != y {
				return map[bool]int{true: -1, false: 1}[x < y]
			}
			return 0
		})
		for _, w := range ranked {
			if w.inFlight < limit {
				return w
			}
		}
		return ranked[0]
	}
	// The oracle: a free lane at the worker with the fewest RPCs, else a worker that is loading the function, else the
	// worker with the fewest RPCs.
	var best *worker
	bestKey := [2]int{1 << 30, 1 << 30}
	for _, w := range eligible {
		free, loading, rpcs, ok := p.actual(w.id, r.fn)
		if !ok {
			continue
		}
		tier := 2
		if free > 0 {
			tier = 0
		} else if loading {
			tier = 1
		}
		if key := [2]int{tier, rpcs}; key[0] < bestKey[0] || key[0] == bestKey[0] && key[1] < bestKey[1] {
			best, bestKey = w, key
		}
	}
	return best
}

// hashRank orders the workers for a function, alike at all front ends.
func hashRank(fn router.FunctionID, w router.WorkerID) uint64 {
	x := uint64(fn) ^ uint64(w)*0x9e3779b97f4a7c15
	x ^= x >> 29
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 32
	return x
}
