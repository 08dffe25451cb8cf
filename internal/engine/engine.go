// Package engine connects one front end's router to its clients and workers: it passes their events to the router
// and carries out what the router decides. It makes no routing decision of its own. It uses neither sockets nor a
// clock: clients, links to workers and the current time come through narrow interfaces, so that the same engine runs
// on sockets and in a simulation.
//
// An engine belongs to one goroutine. It runs in turns of an event loop: BeginTurn, then all events of one moment, then
// EndTurn.
package engine

import (
	"cmp"
	"fmt"
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

// RPC is one RPC at the engine.
type RPC struct {
	e           *Engine
	id          router.RPCID
	client      Client
	expiresAt   router.Time
	expiryTimer eventloop.Timer
	callOuts    []callOut
	inFlight    int
	closed      bool   // answered, or the client left
	lastCause   string // error text of the last failed call-out
	cancelState cancellation.RPC
	cancelTimer eventloop.Timer
	methodIndex router.MethodID

	Method       *Method
	Function     string
	Spec         FunctionSpec
	Token        string
	ClientRPCID  string // the client's own id of the RPC; empty: none
	Customer     string
	SoftDeadline router.Time // time at which the soft deadline expires
	Payload      []byte      // JSON
	Blob         []byte      // binary part of the payload
}

// knownFunction is a function named by an RPC; Engine.functions holds it by the id of its name.
type knownFunction struct {
	name     string
	spec     FunctionSpec
	lastUsed router.Time // last RPC submitted or load ordered
}

type callOut struct {
	worker    *worker
	link      Link // that it was handed to; nil: none
	sentAt    router.Time
	cancelled bool // nobody waits for it any more, and the link knows
	neverSent bool // as the link has reported when it was cancelled
	ended     bool
}

type worker struct {
	id        router.WorkerID
	name      string
	link      Link
	lastList  uint64      // number of the last worker list that contained it
	removedAt router.Time // when it left the worker list; 0: it is in the list
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

// ClientLeft ends an RPC whose client left, without an answer. It cancels the call-outs in flight, and the load orders
// of its function if no other RPC needs them.
func (r *RPC) ClientLeft() {
	if r.closed {
		return
	}
	r.e.counts.Left++
	r.cancelOutstanding()
	r.close()
	r.e.release(r)
}

// Cancel handles a client's cancellation. The client still gets its one answer: the result, if it arrives in spite of
// the cancellation; denied, if a retry is harmless; else aborted. Workers have Options.CancelWait to report the end of
// the call-outs in flight.
func (r *RPC) Cancel() {
	if r.closed || r.cancelState.Cancelled() {
		return
	}
	e := r.e
	r.cancelOutstanding()
	r.answerCancelled(r.cancelState.Verdict())
	if !r.closed {
		e.timers.Set(&r.cancelTimer, min(e.now+e.cancelWait, r.expiresAt), func(router.Time) {
			r.answerCancelled(r.cancelState.VerdictOnTimeout())
		})
	}
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

// CallOuts returns the number of the RPC's call-outs so far.
func (r *RPC) CallOuts() int { return len(r.callOuts) }

// RetryHarmless reports whether a retry is harmless for a client that stops waiting for the RPC now.
func (r *RPC) RetryHarmless() bool { return r.cancelState.VerdictOnTimeout() == cancellation.Deny }

// cancelOutstanding has the router make no further call-out, and cancels the call-outs in flight and the load orders
// that no other RPC needs.
func (r *RPC) cancelOutstanding() {
	e := r.e
	if r.cancelState.Cancelled() {
		return
	}
	r.cancelState.Cancel()
	e.router.ClientLeft(e.now, r.id)
	r.cancelCallOuts()
	for _, id := range e.demand.RPCClosed(nameid.Function(r.Function), true) {
		if o := e.orders[id]; o != nil && o.worker.link != nil {
			o.worker.link.CancelLoadOrder(id)
		}
	}
}

// cancelCallOuts cancels the call-outs in flight. Those that were never sent end in the next turn.
func (r *RPC) cancelCallOuts() {
	for n := range r.callOuts {
		if !r.cancelCallOut(n) {
			continue
		}
		r.e.deferred = append(r.e.deferred, func() {
			if !r.callOuts[n].ended {
				r.endCallOut(n, router.NotSent, router.WarmthUnknown, 0, nil, nil, nil)
			}
		})
	}
}

// cancelCallOut tells the link, once, that nobody waits for the n-th call-out any more. It reports whether the call-out
// was taken back by this call, so that it is known never to have run.
func (r *RPC) cancelCallOut(n int) (neverSent bool) {
	c := &r.callOuts[n]
	if c.ended || c.cancelled || c.link == nil {
		return false
	}
	c.cancelled = true
	if c.neverSent = c.link.CancelCallOut(r.callOutID(n)); c.neverSent {
		r.cancelState.CallOutEnded(router.NotSent)
	}
	return c.neverSent
}

func (r *RPC) callOutID(n int) CallOutID { return CallOutID(uint64(r.id)<<8 | uint64(n)) }

// answerCancelled answers a cancelled RPC according to v.
func (r *RPC) answerCancelled(v cancellation.Verdict) {
	if r.closed || v == cancellation.Wait {
		return
	}
	r.close()
	if v == cancellation.Deny {
		r.e.counts.Denied++
		r.client.Denied(0)
	} else {
		r.e.counts.Aborted++
		r.client.Aborted("cancelled by its client")
	}
	r.e.release(r)
}

// expire ends the call-outs in flight when the client's time is over.
func (r *RPC) expire(router.Time) {
	for n := range r.callOuts {
		r.timeOutCallOut(n)
	}
}

// timeOutCallOut ends the n-th call-out, whose time is over. It may have run unless it was never sent.
func (r *RPC) timeOutCallOut(n int) {
	c := &r.callOuts[n]
	if c.ended {
		return
	}
	outcome := router.TimedOut
	if r.cancelCallOut(n) || c.neverSent {
		outcome = router.NotSent
	}
	r.endCallOut(n, outcome, router.WarmthUnknown, 0, nil, nil, nil)
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

func (r *RPC) endCallOut(n int, outcome router.Outcome, warmth router.Warmth, otherRPCs int, report []float64,
	result, blob []byte) {
	e, c := r.e, &r.callOuts[n]
	c.ended = true
	r.inFlight--
	if !c.neverSent { // else it is known since the call-out was cancelled
		r.cancelState.CallOutEnded(outcome)
	}
	if outcome == router.OK && !r.closed {
		r.close()
		e.counts.OK++
		r.client.OK(result, blob)
	} else if outcome != router.OK && len(result) > 0 {
		r.lastCause = string(result)
	}
	if r.cancelState.Cancelled() {
		r.answerCancelled(r.cancelState.Verdict())
	} else if !r.closed && r.inFlight == 0 {
		r.client.QueuedChanged(true)
	}
	e.router.CallOutEnded(e.now, r.id, n, c.worker.id, outcome, r.closed, warmth, otherRPCs, e.now-c.sentAt, report)
	e.release(r)
}

// close marks the RPC as answered or abandoned. Nothing is sent for it from then on.
func (r *RPC) close() {
	r.closed = true
	r.cancelCallOuts()
	if !r.cancelState.Cancelled() {
		r.e.demand.RPCClosed(nameid.Function(r.Function), false)
	}
}

// release drops an RPC that is closed and has no call-out in flight.
func (e *Engine) release(r *RPC) {
	if r.closed && r.inFlight == 0 {
		e.timers.Stop(&r.expiryTimer)
		e.timers.Stop(&r.cancelTimer)
		delete(e.rpcs, r.id)
		r.Payload, r.Blob = nil, nil
	}
}

// SetLink sets the link of a worker. While it is nil, call-outs to the worker end as router.ConnectFailed.
func (e *Engine) SetLink(name string, link Link) {
	e.ensureWorker(name).link = link
}

func (e *Engine) ensureWorker(name string) *worker {
	id := nameid.Worker(name)
	w := e.workers[id]
	if w == nil {
		w = &worker{id: id, name: name}
		e.workers[id] = w
	}
	return w
}

// BeginWorkerList begins a worker list or a set of changes to it. Calls of AddListedWorker and one of EndWorkerList
// follow; see router.Router.
func (e *Engine) BeginWorkerList(update router.ListUpdate, version uint64) {
	e.listCount++
	e.listComplete = update == router.ListComplete
	e.router.BeginWorkerList(e.now, update, version)
}

// AddListedWorker adds one entry to the current list. Started is 0 for a worker that started long ago. A name that has
// the id of another worker's name is refused.
func (e *Engine) AddListedWorker(name string, state router.Readiness, started router.Time, zone router.ZoneID,
	cell router.CellID, kind router.KindID) error {
	if w := e.workers[nameid.Worker(name)]; w != nil && w.name != name {
		return fmt.Errorf("worker %q has the id of worker %q: rename one of them", name, w.name)
	}
	w := e.ensureWorker(name)
	if w.lastList = e.listCount; state != router.Removed {
		w.removedAt = 0
	} else if w.removedAt == 0 {
		w.removedAt = e.now
	}
	e.router.AddListedWorker(e.now, w.id, state, started, zone, cell, kind, 1)
	return nil
}

// EndWorkerList ends the current list. Workers that a complete list does not contain are removed.
func (e *Engine) EndWorkerList() {
	if e.listComplete {
		for _, w := range e.workers {
			if w.lastList != e.listCount && w.removedAt == 0 {
				w.removedAt = e.now
			}
		}
	}
	e.router.EndWorkerList(e.now)
}

// ConfirmWorkerList records that the worker list was complete and correct at the time asOf; see router.Router.
func (e *Engine) ConfirmWorkerList(asOf router.Time) { e.router.ConfirmWorkerList(e.now, asOf) }

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

// actions carries out the router's decisions.
type actions Engine

// Send implements router.Actions.
func (a *actions) Send(rpc router.RPCID, w router.WorkerID, limit, sendBy router.Time) {
	e, r := (*Engine)(a), a.rpcs[rpc]
	if r == nil { // a fault of the router: the RPC has ended
		return
	}
	n, target := len(r.callOuts), e.workers[w]
	r.callOuts = append(r.callOuts, callOut{worker: target, sentAt: e.now})
	r.cancelState.CallOutSent()
	if r.inFlight++; r.inFlight == 1 && !r.closed {
		r.client.QueuedChanged(false)
	}
	notSent := r.closed || e.now >= r.expiresAt || n >= e.maxCallOuts || r.inFlight > 1 && !e.overlap
	id := CallOutID(uint64(rpc)<<8 | uint64(n))
	switch {
	case notSent:
		e.deferred = append(e.deferred, func() {
			e.CallOutEnded(id, w, router.NotSent, router.WarmthUnknown, 0, nil, nil, nil)
		})
	case target.link == nil:
		e.deferred = append(e.deferred, func() {
			e.CallOutEnded(id, w, router.ConnectFailed, router.WarmthUnknown, 0, nil, []byte("no link to "+target.name), nil)
		})
	default:
		e.counts.CallOuts++
		left := r.expiresAt - e.now
		if limit > 0 { // the link then times out by itself
			left = min(left, limit)
		}
		r.callOuts[n].link = target.link
		target.link.Send(id, r, left, sendBy)
		if limit > 0 && e.now+limit < r.expiresAt {
			e.timers.Set(new(eventloop.Timer), e.now+limit, func(router.Time) { r.timeOutCallOut(n) })
		}
	}
}

// Deny implements router.Actions.
func (a *actions) Deny(rpc router.RPCID, retryAfter router.Time, why router.Reason) {
	if r := a.rpcs[rpc]; r != nil && !r.closed {
		a.onGiveUp(r, why)
		r.close()
		a.counts.Denied++
		r.client.Denied(retryAfter)
		a.router.Release(rpc)
		(*Engine)(a).release(r)
	}
}

// Abort implements router.Actions.
func (a *actions) Abort(rpc router.RPCID, why router.Reason) {
	if r := a.rpcs[rpc]; r != nil && !r.closed {
		a.onGiveUp(r, why)
		r.close()
		a.counts.Aborted++
		r.client.Aborted(r.lastCause)
		a.router.Release(rpc)
		(*Engine)(a).release(r)
	}
}

// CancelCallOut implements router.Actions.
func (a *actions) CancelCallOut(rpc router.RPCID, n int) {
	e, r := (*Engine)(a), a.rpcs[rpc]
	if r == nil || n >= len(r.callOuts) || r.callOuts[n].ended {
		return
	}
	outcome := router.Cancelled
	if r.cancelCallOut(n) || r.callOuts[n].neverSent {
		outcome = router.NotSent
	}
	id, w := r.callOutID(n), r.callOuts[n].worker.id
	e.deferred = append(e.deferred, func() {
		e.CallOutEnded(id, w, outcome, router.WarmthUnknown, 0, nil, nil, nil)
	})
}

// SetTimer implements router.Actions.
func (a *actions) SetTimer(after router.Time, token uint64) {
	e := (*Engine)(a)
	// A timer never fires in the turn that sets it.
	e.timers.Set(new(eventloop.Timer), e.now+max(after, 1), func(now router.Time) { e.router.TimerFired(now, token) })
}

// Check implements router.Actions.
func (a *actions) Check(w router.WorkerID) {
	e, target := (*Engine)(a), a.workers[w]
	e.lastID++
	id := CheckID(e.lastID)
	c := &check{worker: target, sentAt: e.now}
	e.checks[id] = c
	e.counts.Checks++
	if target.link == nil {
		e.deferred = append(e.deferred, func() { e.CheckEnded(id, router.ConnectFailed, nil) })
		return
	}
	e.timers.Set(&c.timeout, e.now+e.orderTimeout, func(router.Time) { e.CheckEnded(id, router.TimedOut, nil) })
	target.link.Check(id)
}

// OrderLoad implements router.Actions.
func (a *actions) OrderLoad(w router.WorkerID, fn router.FunctionID, n int, sendBy router.Time) {
	e, target := (*Engine)(a), a.workers[w]
	e.lastID++
	id := OrderID(e.lastID)
	o := &order{worker: target, fn: fn, sentAt: e.now}
	e.orders[id] = o
	f, known := e.functions[fn]
	if !known { // pruned: nobody has asked for it for long
		e.deferred = append(e.deferred, func() { e.LoadOrderEnded(id, router.NotSent, 0) })
		return
	}
	if n > 0 {
		e.counts.Orders++
		e.demand.OrderSent(fn, id)
	}
	if target.link == nil {
		e.deferred = append(e.deferred, func() { e.LoadOrderEnded(id, router.ConnectFailed, 0) })
		return
	}
	e.timers.Set(&o.timeout, e.now+e.orderTimeout, func(router.Time) { e.LoadOrderEnded(id, router.TimedOut, 0) })
	f.lastUsed = e.now
	e.functions[fn] = f
	target.link.OrderLoad(id, f.name, f.spec, n, min(sendBy, e.now+e.orderTimeout))
}

// SubscribeWorkers implements router.Actions.
func (a *actions) SubscribeWorkers() {
	if a.subscribe != nil {
		a.subscribe()
	}
}

// Log implements router.Actions.
func (a *actions) Log(text string) { a.log(text) }
