// Package engine connects one front end's router to its clients and workers: it passes their events to the router
// and carries out what the router decides. It makes no routing decision of its own. It uses neither sockets nor a
// clock: clients, links to workers and the current time come through narrow interfaces, so that the same engine runs
// on sockets and in a simulation.
//
// The files: engine.go has the turns and the events, rpc.go the life of one RPC, actions.go what the router decides,
// workers.go the worker list and the links.
//
// An engine belongs to one goroutine. It runs in turns of an event loop: BeginTurn, then all events of one moment, then
// EndTurn.
package engine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mallowlanding/internal/cancellation"
	"mallowlanding/internal/eventloop"
	"mallowlanding/internal/nameid"
	"mallowlanding/internal/routing"
	"mallowlanding/internal/settingkeys"
	"mallowlanding/router"
)

// Client receives the final answer of an RPC: exactly one of OK, Denied and Aborted is called, once, unless the client
// has left.
type Client interface {
	OK(result, blob []byte)        // blob: the result's binary part, for an RPC that came with one
	Denied(retryAfter router.Time) // 0: no advice when to retry
	Aborted(cause string)
	QueuedChanged(queued bool) // whether the RPC waits in the router or is in flight to a worker
}

// Link sends to one worker. Its methods don't block; their results are reported to the engine in a later turn. A link
// whose connection breaks ends everything in flight on it: see Engine.CallOutEnded, LoadOrderEnded and CheckEnded.
type Link interface {
	// Send sends a call-out of an RPC whose client waits for left from now on. A call-out of which no byte has been sent
	// by then, or by the time sendBy, is not sent any more and ends as router.NotSent. The same applies to a load order.
	Send(id CallOutID, rpc *RPC, left, sendBy router.Time)
	// CancelCallOut is called when nobody waits for a call-out any more, for whatever reason. If none of its bytes has
	// been sent, none will be, and CancelCallOut returns true; the link need not report its end then.
	CancelCallOut(id CallOutID) (neverSent bool)
	CancelLoadOrder(id OrderID) // no RPC needs the load any more; it is not sent if it has not been
	OrderLoad(id OrderID, function string, spec FunctionSpec, copies int, sendBy router.Time)
	Check(id CheckID)
}

// Each kind of id is a type of its own, so that ids of different kinds cannot be confused.
type (
	CallOutID uint64
	OrderID   uint64
	CheckID   uint64
)

// Method has the settings of a method that the engine and the links use.
type Method struct {
	Name         string
	Effect       string
	Group        string  // for a tokened method: the workers that recognize and drop its repeats
	Gain         float64 // value of an answer in time
	SoftDeadline router.Time
	MaxBatch     int         // most RPCs of one function in one call-out to a worker; 1: no batches
	BatchWait    router.Time // longest wait for further RPCs of a batch
	Deadline     router.Time
	MaxBytes     int64 // limit of an RPC's payload; 0: no limit of the method's own
	Removed      bool  // no longer in the settings; only RPCs submitted before still use it
}

// FunctionSpec has the settings of a function's copies.
type FunctionSpec struct {
	MemoryMB float64 // of one copy
	Lanes    int     // RPCs that one copy runs at the same time
	LoadTime router.Time
}

// knownFunction is a function named by an RPC; Engine.functions holds it by the id of its name.
type knownFunction struct {
	name     string
	spec     FunctionSpec
	lastUsed router.Time // last RPC submitted or load ordered
}

// The router drops functions and workers that had no events for ten minutes. Their names are kept longer, because the
// router refers to them by the ids of their names.
const (
	retention     = router.Time(20 * time.Minute / eventloop.Unit)
	pruneInterval = router.Time(10 * time.Second / eventloop.Unit) // between two calls of Engine.prune
	maxFunctions  = 16 << 10                                       // known at once; more than the router has records of
)

type order struct {
	worker  *worker
	fn      router.FunctionID
	sentAt  router.Time
	timeout eventloop.Timer
}

type check struct {
	worker  *worker
	sentAt  router.Time
	timeout eventloop.Timer
}

// Counts are the engine's counters since its start.
type Counts struct {
	Taken    uint64 `json:"taken"`
	OK       uint64 `json:"ok"`
	Denied   uint64 `json:"denied"`
	Aborted  uint64 `json:"aborted"`
	Left     uint64 `json:"left"`
	CallOuts uint64 `json:"call_outs"`
	Orders   uint64 `json:"load_orders"`
	Checks   uint64 `json:"checks"`
	Turns    uint64 `json:"turns"`
	Open     int    `json:"open"` // submitted and not yet answered
}

// Engine runs one front end.
type Engine struct {
	timers       eventloop.Timers
	router       *routing.FrontEndRouter
	log          func(text string)
	now          router.Time
	answerMargin router.Time
	maxCallOuts  int
	overlap      bool
	orderTimeout router.Time
	lastRPCID    uint32
	lastID       uint64
	rpcs         map[router.RPCID]*RPC
	workers      map[router.WorkerID]*worker
	functions    map[router.FunctionID]knownFunction
	orders       map[OrderID]*order
	checks       map[CheckID]*check
	deferred     []func()
	counts       Counts
	subscribe    func()
	onGiveUp     func(*RPC, router.Reason)
	demand       *cancellation.LoadDemand[OrderID]
	listCount    uint64      // worker lists received
	listComplete bool        // the last worker list is a complete one
	lastPrune    router.Time // time of the last call of prune
	cancelWait   router.Time // see Options.CancelWait
}

// Options configure an engine.
type Options struct {
	Settings     router.Settings
	Seed         int64
	Now          router.Time
	AnswerMargin router.Time                       // part of an RPC's time reserved for sending its answer to the client
	Log          func(text string)                 // receives the router's log lines
	NewRouter    routing.Factory                   // nil: router.New
	CancelWait   router.Time                       // how long workers may take to report the end of a cancelled call-out
	Subscribe    func()                            // requests changes of the worker list; nil: they arrive anyway
	OnGiveUp     func(rpc *RPC, why router.Reason) // called when the router denies or aborts an RPC; may be nil
}

// New makes an engine whose time starts at o.Now.
func New(o Options) *Engine {
	e := &Engine{log: o.Log, now: o.Now, answerMargin: o.AnswerMargin, rpcs: map[router.RPCID]*RPC{},
		workers: map[router.WorkerID]*worker{}, functions: map[router.FunctionID]knownFunction{},
		orders: map[OrderID]*order{}, checks: map[CheckID]*check{}, subscribe: o.Subscribe, onGiveUp: o.OnGiveUp,
		demand: cancellation.NewLoadDemand[OrderID](), cancelWait: o.CancelWait}
	if e.onGiveUp == nil {
		e.onGiveUp = func(*RPC, router.Reason) {}
	}
	e.readSettings(o.Settings)
	e.router = routing.New(o.NewRouter, (*actions)(e), o.Now, o.Seed, o.Settings)
	return e
}

// readSettings takes over the router settings that the engine itself uses.
func (e *Engine) readSettings(s router.Settings) {
	number := func(name string) float64 { v, _ := s[name].(float64); return v }
	e.maxCallOuts = int(number(settingkeys.Join(settingkeys.May, settingkeys.CallOuts)))
	e.overlap, _ = s[settingkeys.Join(settingkeys.May, settingkeys.Overlap)].(bool)
	e.orderTimeout = router.Time(number(settingkeys.Join(settingkeys.Functions, settingkeys.OrderTimeout)))
}

// UpdateSettings applies new settings within a turn: s as given, parsed as the router reads them. Methods holds all
// methods by their index in the settings. RPCs submitted before obey the stricter of the old and the new effect of
// their method.
func (e *Engine) UpdateSettings(s router.Settings, parsed router.ParsedSettings, methods []Method) {
	e.readSettings(s)
	for _, r := range e.rpcs {
		m := &methods[r.methodIndex]
		r.cancelState.Tighten(m.Effect, m.Group)
	}
	e.router.UpdateSettings(e.now, parsed)
}

// BeginTurn begins a turn at the time now. It passes on deferred results, and prunes unused names at intervals.
func (e *Engine) BeginTurn(now router.Time) {
	e.now = now
	e.counts.Turns++
	e.runDeferred()
	if now-e.lastPrune >= pruneInterval || len(e.functions) > maxFunctions && now > e.lastPrune {
		e.lastPrune = now
		e.prune()
	}
}

// prune drops functions that have been unused, and workers that have been removed, for the retention time, so that
// memory does not grow with the number of names ever seen. A function with an open RPC or load order is kept.
func (e *Engine) prune() {
	inUse := map[router.FunctionID]bool{}
	for _, o := range e.orders {
		inUse[o.fn] = true
	}
	for _, r := range e.rpcs {
		inUse[nameid.Function(r.Function)] = true
	}
	maps.DeleteFunc(e.functions, func(id router.FunctionID, f knownFunction) bool {
		return !inUse[id] && e.now-f.lastUsed >= retention
	})
	e.pruneExcessFunctions(inUse)
	maps.DeleteFunc(e.workers, func(_ router.WorkerID, w *worker) bool {
		return w.removedAt > 0 && e.now-w.removedAt >= retention
	})
}

// pruneExcessFunctions drops the functions that have been unused for longest, if there are more than maxFunctions. The
// router has forgotten them long before.
func (e *Engine) pruneExcessFunctions(inUse map[router.FunctionID]bool) {
	if len(e.functions) <= maxFunctions {
		return
	}
	var unused []router.FunctionID
	for id := range e.functions {
		if !inUse[id] {
			unused = append(unused, id)
		}
	}
	slices.SortFunc(unused, func(a, b router.FunctionID) int {
		return cmp.Or(cmp.Compare(e.functions[a].lastUsed, e.functions[b].lastUsed), cmp.Compare(a, b))
	})
	excess := len(e.functions) - maxFunctions + maxFunctions/4 // a quarter more, so that this is rare
	for _, id := range unused[:min(excess, len(unused))] {
		delete(e.functions, id)
	}
}

// EndTurn ends a turn: it runs the timers that are due, then lets the router dispatch once.
func (e *Engine) EndTurn() {
	e.timers.Fire(e.now)
	e.router.Dispatch(e.now)
}

// NextDue returns when the engine needs a turn even if no event arrives; false: never.
func (e *Engine) NextDue() (router.Time, bool) {
	if len(e.deferred) > 0 {
		return e.now, true
	}
	return e.timers.NextDue()
}

// runDeferred passes on results that the engine itself produced in the last turn. The router never gets the result of
// an action within the turn of that action.
func (e *Engine) runDeferred() {
	later := e.deferred
	e.deferred = nil
	for _, f := range later {
		f()
	}
}

// Counts returns the counters, with the number of open RPCs.
func (e *Engine) Counts() Counts {
	c := e.counts
	for _, r := range e.rpcs {
		if !r.closed {
			c.Open++
		}
	}
	return c
}

// Describe returns the router's state as text, empty if this router has no description; see router.Router.
func (e *Engine) Describe() string {
	if d, ok := e.router.Router.(interface{ Describe() string }); ok {
		return d.Describe()
	}
	return ""
}

// Submit passes an RPC to the router. Left is how long its client waits from now on. MethodIndex and customer are
// indexes in the settings; customer is 0 where the settings list none. The id of the function's name must not be that
// of another function: see IDCollision.
func (e *Engine) Submit(methodIndex router.MethodID, method *Method, customer router.CustomerID, function string,
	spec FunctionSpec, token string, left router.Time, repeat bool, payload, blob []byte, client Client) *RPC {
	for e.lastRPCID++; e.rpcs[router.RPCID(e.lastRPCID)] != nil; e.lastRPCID++ {
	}
	id, functionID := router.RPCID(e.lastRPCID), nameid.Function(function)
	e.functions[functionID] = knownFunction{function, spec, e.now}
	r := &RPC{e: e, id: id, client: client, expiresAt: e.now + max(left-e.answerMargin, 0), Method: method,
		Function: function, Spec: spec, Token: token, Payload: payload, Blob: blob,
		SoftDeadline: e.now + method.SoftDeadline, methodIndex: methodIndex,
		cancelState: cancellation.RPC{Effect: method.Effect, Group: method.Group}}
	e.rpcs[id] = r
	e.demand.RPCOpened(functionID)
	e.counts.Taken++
	e.timers.Set(&r.expiryTimer, r.expiresAt, r.expire)
	e.router.Submit(e.now, id, methodIndex, customer, functionID, r.expiresAt-e.now, 0, spec.MemoryMB, spec.Lanes,
		spec.LoadTime, repeat)
	e.release(r)
	return r
}

// IDCollision returns the other known function whose name has the same id as this function's, if there is one.
func (e *Engine) IDCollision(function string) (other string, collides bool) {
	known, ok := e.functions[nameid.Function(function)]
	return known.name, ok && known.name != function
}

// LoadsHalted reports whether loads of a function are halted and no copy of it is known to be loaded; see
// router.Router.
func (e *Engine) LoadsHalted(function string) bool {
	return e.router.LoadsHalted(nameid.Function(function))
}

// AnswerAll gives every open RPC its answer now and cancels the call-outs in flight, before the process ends.
func (e *Engine) AnswerAll() {
	for _, id := range slices.Sorted(maps.Keys(e.rpcs)) {
		r := e.rpcs[id]
		if r.Cancel(); !r.closed {
			r.answerCancelled(r.cancelState.VerdictOnTimeout())
		}
	}
}

// CallOutEnded records how a call-out ended, by the worker's answer or at the link. Result is the worker's result for
// router.OK and an error text otherwise. CallOutEnded ignores a call-out that is unknown, has ended, or belongs to
// another worker, and returns false.
func (e *Engine) CallOutEnded(id CallOutID, w router.WorkerID, outcome router.Outcome, warmth router.Warmth,
	otherRPCs int, report []float64, result, blob []byte) bool {
	r, n := e.rpcs[router.RPCID(id>>8)], int(id&0xff)
	if r == nil || n >= len(r.callOuts) || r.callOuts[n].ended || r.callOuts[n].worker.id != w {
		return false
	}
	r.endCallOut(n, outcome, warmth, otherRPCs, report, result, blob)
	return true
}

// LoadOrderEnded records how a load order ended. An order that is unknown or has ended is ignored.
func (e *Engine) LoadOrderEnded(id OrderID, outcome router.Outcome, copies int) {
	if o := e.orders[id]; o != nil {
		delete(e.orders, id)
		e.demand.OrderEnded(o.fn, id)
		e.timers.Stop(&o.timeout)
		e.router.LoadOrderEnded(e.now, o.worker.id, o.fn, outcome, copies, e.now-o.sentAt)
	}
}

// CheckEnded records how a check ended. A check that is unknown or has ended is ignored.
func (e *Engine) CheckEnded(id CheckID, outcome router.Outcome, report []float64) {
	if c := e.checks[id]; c != nil {
		delete(e.checks, id)
		e.timers.Stop(&c.timeout)
		e.router.CheckEnded(e.now, c.worker.id, outcome, e.now-c.sentAt, report)
	}
}
