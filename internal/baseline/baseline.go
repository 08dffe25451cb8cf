// Package baseline has well-known ways to pick a worker, behind the module's own port, to compare the module with. They
// keep rules one and two as the module does, since a comparison with what breaks them says nothing; they know of no loads,
// cold workers or rations. Not for service.
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

// ActualState tells how a function stands on a worker: free lanes, a load under way, RPCs there; ok: the worker answers.
type ActualState func(w router.WorkerID, fn router.FunctionID) (free int, loading bool, jobs int, ok bool)

// Policies are the policies.
var Policies = []string{"random", "round-robin", "least-out", "power-of-two", "join-idle", "bounded-hash", "oracle"}

// bound is how far above the mean a worker may be loaded with bounded hashing: the load factor of the scheme's authors'
// own examples (Mirrokni, Thorup, Zadimoghaddam, 2016).
const bound = 1.25

// retry is the pause before an RPC that never ran goes out again.
const retry = 20 * 10

// Factory makes the maker of a policy; an empty name gives nil, which stands for the module.
func Factory(name string, truth ActualState) (routing.Factory, error) {
	if name == "" || name == "module" {
		return nil, nil
	}
	if !slices.Contains(Policies, name) {
		return nil, fmt.Errorf("no policy %q: there are module, %v", name, Policies)
	}
	return func(port router.Actions, now router.Time, seed int64, s router.Settings) routing.Router {
		p := &policy{name: name, truth: truth, port: port, rng: rand.New(rand.NewSource(seed)), workers: map[router.WorkerID]*worker{},
			held: map[uint64]*rpc{}}
		p.heed(s)
		return p
	}, nil
}

type method struct {
	effect, group string
	window        router.Time
}

type worker struct {
	id     router.WorkerID
	zone   router.ZoneID
	cell   router.CellID
	ready  bool
	listed bool
	out    int
	avoid  router.Time // a connection failed: not before
}

type policy struct {
	name    string
	truth   ActualState
	port    router.Actions
	rng     *rand.Rand
	methods []method
	most    int
	back    router.Time
	workers map[router.WorkerID]*worker
	list    []*worker // by id
	next    int       // of round robin
	idle    []*worker // that reported idle, oldest first
	held    map[uint64]*rpc
	token   uint64
	now     router.Time
}

type rpc struct {
	p       *policy
	id      router.RPCID
	m       method
	fn      router.FunctionID
	end     router.Time
	calls   []*worker
	out     int
	over    bool
	may     bool // one that is over may have run
	riskAt  router.Time
	risk    *worker
	waiting bool
}

func (p *policy) heed(s router.Settings) {
	number := func(name string) float64 { v, _ := s[name].(float64); return v }
	word := func(name string) string { v, _ := s[name].(string); return v }
	p.most, p.back = int(number(settingkeys.Join(settingkeys.May, settingkeys.CallOuts))), router.Time(number(settingkeys.Join(settingkeys.May, settingkeys.ComeBack)))
	p.methods = nil
	for i := range int(number(settingkeys.Methods)) {
		p.methods = append(p.methods, method{effect: word(settingkeys.Item(settingkeys.Methods, i, settingkeys.Effect)),
			group: word(settingkeys.Item(settingkeys.Methods, i, settingkeys.Group)), window: router.Time(number(settingkeys.Item(settingkeys.Methods, i, settingkeys.Window)))})
	}
}

// BeginWorkerList implements core.Module.
func (p *policy) BeginWorkerList(_ router.Time, form router.ListUpdate, _ uint64) {
	for _, w := range p.list {
		w.listed = form == router.ListChanges || form == router.ListFailed
	}
}

// AddListedWorker implements core.Module.
func (p *policy) AddListedWorker(_ router.Time, id router.WorkerID, state router.Readiness, _ router.Time, zone router.ZoneID,
	cell router.CellID, _ router.KindID, _ float64) {
	w := p.workers[id]
	if w == nil {
		w = &worker{id: id}
		p.workers[id], p.list = w, append(p.list, w)
		slices.SortFunc(p.list, func(a, b *worker) int { return int(int64(a.id) - int64(b.id)) })
		p.idle = append(p.idle, w)
	}
	w.zone, w.cell, w.ready, w.listed = zone, cell, state == router.Ready, true
}

// EndWorkerList implements core.Module.
func (p *policy) EndWorkerList(router.Time) {
	for _, w := range p.list {
		w.ready = w.ready && w.listed
	}
}

// LoadOrderEnded, Checked, Renew, Halted and Settle implement core.Module: a baseline asks for nothing that they answer.
func (p *policy) LoadOrderEnded(router.Time, router.WorkerID, router.FunctionID, router.Outcome, int, router.Time) {
}

// CheckEnded implements core.Module.
func (p *policy) CheckEnded(router.Time, router.WorkerID, router.Outcome, router.Time, []float64) {}

// UpdateSettings implements core.Module.
func (p *policy) UpdateSettings(router.Time, router.ParsedSettings) {}

// LoadsHalted implements core.Module.
func (p *policy) LoadsHalted(router.FunctionID) bool { return false }

// Dispatch implements core.Module.
func (p *policy) Dispatch(router.Time) {}

// Submit implements core.Module.
func (p *policy) Submit(now router.Time, id router.RPCID, m router.MethodID, _ router.CustomerID, fn router.FunctionID,
	budget router.Time, _, _ float64, _ int, _ router.Time, _ bool) routing.Handle {
	p.now = now
	r := &rpc{p: p, id: id, m: p.methods[m], fn: fn, end: now + budget}
	r.send()
	return r
}

// TimerFired implements core.Module.
func (p *policy) TimerFired(now router.Time, token uint64) {
	p.now = now
	if r := p.held[token]; r != nil {
		delete(p.held, token)
		if r.waiting = false; !r.over {
			r.send()
		}
	}
}

// mayGo tells whether the RPC may go to a worker.
func (r *rpc) mayGo(w *worker) bool {
	if !w.ready || r.p.now < w.avoid {
		return false
	}
	if !r.may || r.m.effect == router.Idempotent {
		return true
	}
	group := r.m.group == "all" || r.m.group == "zone" && w.zone == r.risk.zone || r.m.group == "cell" && w.cell == r.risk.cell
	return r.m.effect == router.Tokened && group && r.p.now+400 <= r.riskAt+r.m.window
}

// send sends it once more, or gives it up.
func (r *rpc) send() {
	p := r.p
	if len(r.calls) >= p.most || p.now >= r.end-200 || r.may && r.m.effect == router.SideEffecting {
		r.giveUp()
		return
	}
	w := p.pick(r)
	if w == nil {
		r.wait()
		return
	}
	w.out++
	r.out++
	r.calls = append(r.calls, w)
	if r.risk == nil {
		r.risk, r.riskAt = w, p.now
	}
	p.port.Send(r.id, w.id, 0, math.MaxInt64)
}

// wait has it go out again a little later.
func (r *rpc) wait() {
	p := r.p
	r.waiting = true
	p.token++
	p.held[p.token] = r
	p.port.SetTimer(min(retry, max(1, r.end-200-p.now)), p.token)
}

func (r *rpc) giveUp() {
	r.over = true
	if r.may && (r.m.effect == router.SideEffecting || r.m.effect == router.Tokened && r.m.group != "all") {
		r.p.port.Abort(r.id, router.NoTime)
		return
	}
	r.p.port.Deny(r.id, r.p.back, router.NoTime)
}

// CallOutEnded implements core.Handle.
func (r *rpc) CallOutEnded(now router.Time, n int, _ router.WorkerID, o router.Outcome, closed bool, _ router.Warmth, _ int,
	_ router.Time, _ []float64) {
	p := r.p
	p.now = now
	w := r.calls[n]
	w.out--
	r.out--
	if w.out == 0 && w.ready {
		p.idle = append(p.idle, w)
	}
	switch o {
	case router.ConnectFailed, router.Reset:
		w.avoid = now + 10000
	}
	switch o {
	case router.Full, router.ConnectFailed, router.NotSent, router.NotLoaded:
		if !r.may {
			r.risk = nil
		}
	default:
		r.may = true
	}
	if r.over = r.over || closed; r.over {
		return
	}
	if o == router.Full || o == router.ConnectFailed {
		r.wait()
		return
	}
	r.send()
}

// ConfirmWorkerList implements core.Module: these policies go by the list whatever its age.
func (p *policy) ConfirmWorkerList(router.Time, router.Time) {}

// ClientLeft implements core.Handle.
func (r *rpc) ClientLeft(router.Time) { r.over = true }

// Finished implements core.Handle.
func (r *rpc) Finished() bool { return r.over && r.out == 0 && !r.waiting }

// pick is the policy.
func (p *policy) pick(r *rpc) *worker {
	var able []*worker
	for _, w := range p.list {
		if r.mayGo(w) {
			able = append(able, w)
		}
	}
	if len(able) == 0 {
		return nil
	}
	chance := func() *worker { return able[p.rng.Intn(len(able))] }
	least := func(ws []*worker) *worker {
		return slices.MinFunc(ws, func(a, b *worker) int { return a.out - b.out })
	}
	switch p.name {
	case "random":
		return chance()
	case "round-robin":
		p.next++
		return able[p.next%len(able)]
	case "least-out":
		return least(able)
	case "power-of-two":
		return least([]*worker{chance(), chance()})
	case "join-idle":
		for len(p.idle) > 0 {
			w := p.idle[0]
			p.idle = p.idle[1:]
			if w.out == 0 && r.mayGo(w) {
				return w
			}
		}
		return chance()
	case "bounded-hash":
		total := 0
		for _, w := range able {
			total += w.out
		}
		most := int(bound*float64(total+1)/float64(len(able))) + 1
		ranked := slices.Clone(able)
		slices.SortFunc(ranked, func(a, b *worker) int {
			if x, y := rank(r.fn, a.id), rank(r.fn, b.id); x != y {
				return map[bool]int{true: -1, false: 1}[x < y]
			}
			return 0
		})
		for _, w := range ranked {
			if w.out < most {
				return w
			}
		}
		return ranked[0]
	}
	// the oracle: a free lane on the worker with the fewest RPCs; else where a load is under way; else the emptiest
	var best *worker
	bestKey := [2]int{1 << 30, 1 << 30}
	for _, w := range able {
		free, loading, jobs, ok := p.truth(w.id, r.fn)
		if !ok {
			continue
		}
		class := 2
		if free > 0 {
			class = 0
		} else if loading {
			class = 1
		}
		if key := [2]int{class, jobs}; key[0] < bestKey[0] || key[0] == bestKey[0] && key[1] < bestKey[1] {
			best, bestKey = w, key
		}
	}
	return best
}

// rank orders workers for a function, alike at all front ends.
func rank(fn router.FunctionID, w router.WorkerID) uint64 {
	x := uint64(fn) ^ uint64(w)*0x9e3779b97f4a7c15
	x ^= x >> 29
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 32
	return x
}
