// Package engine runs one front end: it turns what happens in the world into the module's calls, and what the
// module decides into what goes out. It knows no socket and no clock: links to workers, clients that are owed
// answers and the time of a turn come through narrow interfaces, so that the same engine runs on sockets and in a
// simulation. It decides nothing on its own.
//
// An engine belongs to one goroutine. A turn is Begin, then all events of one moment, then End.
package engine

import (
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

// Client is where an RPC's final answer goes: exactly one of OK, Denied and Aborted is called, once, unless the client
// left.
type Client interface {
	OK(result, blob []byte)      // blob: bytes beside the result, where the RPC came with some
	Denied(comeBack router.Time) // 0: no advice when to come back
	Aborted(cause string)
	HeldChanged(held bool) // the RPC went out to a worker, or is held by the module again
}

// Link is the way to one worker. Its methods don't wait; what comes of them is told to the engine in a later turn.
// A link that breaks ends all that is out on it by itself: see Engine.Answered, Held and Checked.
type Link interface {
	// Send sends an RPC whose client still waits for left. What has not begun to leave by a time never leaves: it ends as
	// Moot. So does an order.
	Send(id CallOutID, rpc *RPC, left, by router.Time)
	CancelCallOut(id CallOutID)
	CancelLoadOrder(id OrderID) // nobody wants the load any more
	OrderLoad(id OrderID, function string, fn FunctionSpec, copies int, by router.Time)
	Check(id CheckID)
}

// Each kind of id is a type of its own.
type (
	CallOutID uint64
	OrderID   uint64
	CheckID   uint64
)

// Method is what the settings say of a kind of RPC that the engine needs itself.
type Method struct {
	Name         string
	Effect       string
	Group        string  // of a tokened one: the workers that drop its repeats
	Gain         float64 // what an answer in time is worth
	SoftDeadline router.Time
	MaxBatch     int         // so many of one function may ride one call-out to a worker; 1: none do
	BatchWait    router.Time // for so long they may wait for each other
	Deadline     router.Time
	MaxBytes     int64 // of one RPC's payload; 0: no bound of its own
	Removed      bool  // it was removed: only RPCs that came before have it
}

// FunctionSpec is what the settings tell of a loaded copy of a function.
type FunctionSpec struct {
	MemoryMB float64 // MB of one copy
	Lanes    int     // RPCs side by side in one copy
	LoadTime router.Time
}

// RPC is the handle of one RPC.
type RPC struct {
	e        *Engine
	id       router.RPCID
	client   Client
	end      router.Time
	deadline eventloop.Timer
	calls    []callOut
	out      int
	closed   bool   // answered, or its client left
	cause    string // what the last failed call-out told
	leave    cancellation.RPC
	callOff  eventloop.Timer
	place    router.MethodID

	Method       *Method
	Function     string
	Spec         FunctionSpec
	Token        string
	ClientRPCID  string // the client's own id; empty: it has none
	Customer     string
	SoftDeadline router.Time // when its soft deadline is over
	Payload      []byte      // JSON
	Blob         []byte      // bytes beside it
}

type named struct {
	name string
	fn   FunctionSpec
	used router.Time // last taken or ordered
}

type callOut struct {
	worker *worker
	at     router.Time
	done   bool
}

type worker struct {
	id     router.WorkerID
	name   string
	link   Link
	listed uint64      // the last list that named it
	gone   router.Time // since when it is; 0: it is not
}

// The module forgets what nothing was heard of for ten minutes; names are kept for longer, since it goes by their ids.
const (
	forgetAfter = router.Time(20 * time.Minute / eventloop.Unit)
	forgetLook  = router.Time(10 * time.Second / eventloop.Unit) // how often that is looked at
)

type order struct {
	worker  *worker
	fn      router.FunctionID
	at      router.Time
	timeOut eventloop.Timer
}

type check struct {
	worker  *worker
	at      router.Time
	timeOut eventloop.Timer
}

// Counts are an engine's sums since it began.
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
	Open     int    `json:"open"` // taken and not yet answered
}

// Engine runs one front end.
type Engine struct {
	timers  eventloop.Timers
	core    *routing.FrontEndRouter
	log     func(text string)
	now     router.Time
	margin  router.Time
	most    int
	overlap bool
	orderBy router.Time
	lastRPC uint32
	lastID  uint64
	rpcs    map[router.RPCID]*RPC
	workers map[router.WorkerID]*worker
	names   map[router.FunctionID]named
	orders  map[OrderID]*order
	checks  map[CheckID]*check
	later   []func()
	counts  Counts
	listen  func()
	givenUp func(*RPC, router.Reason)
	wanted  *cancellation.LoadDemand[OrderID]
	lists   uint64      // of workers, that came
	whole   bool        // the last of them
	forgot  router.Time // when it was last looked what may be forgotten
	within  router.Time // workers have so long to tell what came of a call-off
}

// Options are what an engine is told besides the module's settings.
type Options struct {
	Settings     router.Settings
	Seed         int64
	Now          router.Time
	AnswerMargin router.Time                     // kept of each RPC's time for the answer's way to the client
	Log          func(text string)               // the module's lines for those on call
	NewRouter    routing.Factory                 // nil: the router
	CancelWait   router.Time                     // how long workers have to tell what came of a call-off
	Subscribe    func()                          // the module asks for changes of the list; nil: they come by themselves
	OnGiveUp     func(p *RPC, why router.Reason) // the module gives an RPC up; nil: nobody wants to know
}

// New starts an engine at o.Now.
func New(o Options) *Engine {
	e := &Engine{log: o.Log, now: o.Now, margin: o.AnswerMargin, rpcs: map[router.RPCID]*RPC{},
		workers: map[router.WorkerID]*worker{}, names: map[router.FunctionID]named{},
		orders: map[OrderID]*order{}, checks: map[CheckID]*check{}, listen: o.Subscribe, givenUp: o.OnGiveUp,
		wanted: cancellation.NewLoadDemand[OrderID](), within: o.CancelWait}
	if e.givenUp == nil {
		e.givenUp = func(*RPC, router.Reason) {}
	}
	e.heed(o.Settings)
	e.core = routing.New(o.NewRouter, (*port)(e), o.Now, o.Seed, o.Settings)
	return e
}

// heed reads what the engine itself needs of the module's settings.
func (e *Engine) heed(s router.Settings) {
	number := func(name string) float64 { v, _ := s[name].(float64); return v }
	e.most = int(number(settingkeys.Join(settingkeys.May, settingkeys.CallOuts)))
	e.overlap, _ = s[settingkeys.Join(settingkeys.May, settingkeys.Overlap)].(bool)
	e.orderBy = router.Time(number(settingkeys.Join(settingkeys.Functions, settingkeys.OrderTimeout)))
}

// UpdateSettings takes new settings, as they are and as the module reads them; in a turn. Methods are all that there are, at their places; RPCs taken before are bound by
// the stricter of both.
func (e *Engine) UpdateSettings(s router.Settings, p router.ParsedSettings, methods []Method) {
	e.heed(s)
	for _, p := range e.rpcs {
		m := &methods[p.place]
		p.leave.Tighten(m.Effect, m.Group)
	}
	e.core.UpdateSettings(e.now, p)
}

// BeginTurn begins a turn.
func (e *Engine) BeginTurn(now router.Time) {
	e.now = now
	e.counts.Turns++
	e.passLater()
	if now-e.forgot >= forgetLook {
		e.forgot = now
		e.forget()
	}
}

// forget drops names and workers that nothing can happen to any more: memory must not grow with all that ever were.
func (e *Engine) forget() {
	out := map[router.FunctionID]bool{}
	for _, o := range e.orders {
		out[o.fn] = true
	}
	for _, p := range e.rpcs {
		out[nameid.Function(p.Function)] = true
	}
	maps.DeleteFunc(e.names, func(fn router.FunctionID, n named) bool { return !out[fn] && e.now-n.used >= forgetAfter })
	maps.DeleteFunc(e.workers, func(_ router.WorkerID, w *worker) bool { return w.gone > 0 && e.now-w.gone >= forgetAfter })
}

// EndTurn ends a turn: timers that are due, then the module settles once.
func (e *Engine) EndTurn() {
	e.timers.Fire(e.now)
	e.core.Dispatch(e.now)
}

// NextDue tells when the engine wants a turn though nothing comes.
func (e *Engine) NextDue() (router.Time, bool) {
	if len(e.later) > 0 {
		return e.now, true
	}
	return e.timers.NextDue()
}

// passLater hands on what came of the last turn's own actions: never in the turn that took them.
func (e *Engine) passLater() {
	later := e.later
	e.later = nil
	for _, f := range later {
		f()
	}
}

// Counts tells the sums so far.
func (e *Engine) Counts() Counts {
	c := e.counts
	for _, p := range e.rpcs {
		if !p.closed {
			c.Open++
		}
	}
	return c
}

// Describe tells what the module believes, where it can tell; see router.Router.
func (e *Engine) Describe() string {
	if v, can := e.core.Router.(interface{ Describe() string }); can {
		return v.Describe()
	}
	return ""
}

// Submit hands an RPC to the module. Left is how long its client waits from now on; m is the method's place in the
// settings, customer the customer's, 0 where there are none. The function's name must not meet another's id: see
// Meets.
func (e *Engine) Submit(m router.MethodID, method *Method, customer router.CustomerID, function string, fn FunctionSpec,
	token string, left router.Time, repeat bool, payload, blob []byte, client Client) *RPC {
	for e.lastRPC++; e.rpcs[router.RPCID(e.lastRPC)] != nil; e.lastRPC++ {
	}
	id, fid := router.RPCID(e.lastRPC), nameid.Function(function)
	e.names[fid] = named{function, fn, e.now}
	p := &RPC{e: e, id: id, client: client, end: e.now + max(left-e.margin, 0), Method: method, Function: function,
		Spec: fn, Token: token, Payload: payload, Blob: blob, SoftDeadline: e.now + method.SoftDeadline, place: m, leave: cancellation.RPC{Effect: method.Effect, Group: method.Group}}
	e.rpcs[id] = p
	e.wanted.RPCOpened(fid)
	e.counts.Taken++
	e.timers.Set(&p.deadline, p.end, p.timeUp)
	e.core.Submit(e.now, id, m, customer, fid, p.end-e.now, 0, fn.MemoryMB, fn.Lanes, fn.LoadTime, repeat)
	e.release(p)
	return p
}

// IDCollision tells the name that already goes by the id of this one, where there is such a name.
func (e *Engine) IDCollision(function string) (other string, meets bool) {
	known, is := e.names[nameid.Function(function)]
	return known.name, is && known.name != function
}

// LoadsHalted tells whether loads of a function are halted and no copy of it is believed to stand; see router.Router.
func (e *Engine) LoadsHalted(function string) bool {
	return e.core.LoadsHalted(nameid.Function(function))
}

// ClientLeft tells that the client is gone: nothing is owed any more. What is out is called off, and what it alone wanted.
func (p *RPC) ClientLeft() {
	if p.closed {
		return
	}
	p.e.counts.Left++
	p.withdraw()
	p.close()
	p.e.release(p)
}

// Cancel tells that the client wants no result any more, but its one answer: the result, if there is one by now;
// denied, if a retry is harmless; else aborted. Workers have a while to tell what came of what was out there.
func (p *RPC) Cancel() {
	if p.closed || p.leave.Cancelled() {
		return
	}
	e := p.e
	p.withdraw()
	p.settle(p.leave.Verdict())
	if !p.closed {
		e.timers.Set(&p.callOff, min(e.now+e.within, p.end), func(router.Time) { p.settle(p.leave.VerdictOnTimeout()) })
	}
}

// AnswerAll gives every RPC that is open its one answer now, and calls off what is out: the process is about to end.
func (e *Engine) AnswerAll() {
	for _, id := range slices.Sorted(maps.Keys(e.rpcs)) {
		p := e.rpcs[id]
		if p.Cancel(); !p.closed {
			p.settle(p.leave.VerdictOnTimeout())
		}
	}
}

// CallOuts is how many call-outs the RPC has had.
func (p *RPC) CallOuts() int { return len(p.calls) }

// RetryHarmless tells whether a client that stops waiting while the RPC goes on may be told that a retry is harmless.
func (p *RPC) RetryHarmless() bool { return p.leave.VerdictOnTimeout() == cancellation.Deny }

// withdraw takes the client's wish back: the module makes no further call-out, workers hear that nobody waits.
func (p *RPC) withdraw() {
	e := p.e
	if p.leave.Cancelled() {
		return
	}
	p.leave.Cancel()
	e.core.ClientLeft(e.now, p.id)
	for n := range p.calls {
		if c := &p.calls[n]; !c.done && c.worker.link != nil {
			c.worker.link.CancelCallOut(CallOutID(uint64(p.id)<<8 | uint64(n)))
		}
	}
	for _, id := range e.wanted.RPCClosed(nameid.Function(p.Function), true) {
		if o := e.orders[id]; o != nil && o.worker.link != nil {
			o.worker.link.CancelLoadOrder(id)
		}
	}
}

// settle gives a cancelled RPC its answer.
func (p *RPC) settle(v cancellation.Verdict) {
	if p.closed || v == cancellation.Wait {
		return
	}
	p.close()
	if v == cancellation.Deny {
		p.e.counts.Denied++
		p.client.Denied(0)
	} else {
		p.e.counts.Aborted++
		p.client.Aborted("cancelled by its client")
	}
	p.e.release(p)
}

// timeUp ends what is out when the client's time is up: with no answer in time it may have run.
func (p *RPC) timeUp(now router.Time) {
	for n := range p.calls {
		if c := &p.calls[n]; !c.done {
			p.ended(n, router.TimedOut, router.WarmthUnknown, 0, nil, nil, nil)
		}
	}
}

// CallOutOpen tells whether a call-out has not ended.
func (e *Engine) CallOutOpen(id CallOutID) bool {
	p, n := e.rpcs[router.RPCID(id>>8)], int(id&0xff)
	return p != nil && n < len(p.calls) && !p.calls[n].done
}

// CallOutEnded tells how a call-out ended, as the worker answered or the link saw. Result is the worker's, for OK; the
// cause in words, else. A call-out that is unknown, over, or of another worker is passed over: it reports false.
func (e *Engine) CallOutEnded(id CallOutID, w router.WorkerID, o router.Outcome, warmth router.Warmth, crowd int,
	report []float64, result, blob []byte) bool {
	p, n := e.rpcs[router.RPCID(id>>8)], int(id&0xff)
	if p == nil || n >= len(p.calls) || p.calls[n].done || p.calls[n].worker.id != w {
		return false
	}
	p.ended(n, o, warmth, crowd, report, result, blob)
	return true
}

func (p *RPC) ended(n int, o router.Outcome, warmth router.Warmth, crowd int, report []float64, result, blob []byte) {
	e, c := p.e, &p.calls[n]
	c.done = true
	p.out--
	p.leave.CallOutEnded(o)
	if o == router.OK && !p.closed {
		p.close()
		e.counts.OK++
		p.client.OK(result, blob)
	} else if o != router.OK && len(result) > 0 {
		p.cause = string(result)
	}
	if p.leave.Cancelled() {
		p.settle(p.leave.Verdict())
	} else if !p.closed && p.out == 0 {
		p.client.HeldChanged(true)
	}
	e.core.CallOutEnded(e.now, p.id, n, c.worker.id, o, p.closed, warmth, crowd, e.now-c.at, report)
	e.release(p)
}

// close marks that nothing is owed any more.
func (p *RPC) close() {
	if p.closed = true; !p.leave.Cancelled() {
		p.e.wanted.RPCClosed(nameid.Function(p.Function), false)
	}
}

// release lets go of an RPC that nothing more can happen to.
func (e *Engine) release(p *RPC) {
	if p.closed && p.out == 0 {
		e.timers.Stop(&p.deadline)
		e.timers.Stop(&p.callOff)
		delete(e.rpcs, p.id)
		p.Payload, p.Blob = nil, nil
	}
}

// SetLink names the link of a worker; nil: there is none, and call-outs there can't be connected.
func (e *Engine) SetLink(name string, link Link) {
	e.worker(name).link = link
}

func (e *Engine) worker(name string) *worker {
	id := nameid.Worker(name)
	w := e.workers[id]
	if w == nil {
		w = &worker{id: id, name: name}
		e.workers[id] = w
	}
	return w
}

// BeginWorkerList, Listed and ListEnds bring the list of workers or its changes; see router.Router.
func (e *Engine) BeginWorkerList(form router.ListUpdate, version uint64) {
	e.lists++
	e.whole = form == router.ListComplete
	e.core.BeginWorkerList(e.now, form, version)
}

// AddListedWorker is one entry. Started 0: long ago. A name that meets another's id is refused.
func (e *Engine) AddListedWorker(name string, state router.Readiness, started router.Time, zone router.ZoneID,
	cell router.CellID, kind router.KindID) error {
	if w := e.workers[nameid.Worker(name)]; w != nil && w.name != name {
		return fmt.Errorf("worker %q has the id of worker %q: rename one of them", name, w.name)
	}
	w := e.worker(name)
	if w.listed = e.lists; state != router.Removed {
		w.gone = 0
	} else if w.gone == 0 {
		w.gone = e.now
	}
	e.core.AddListedWorker(e.now, w.id, state, started, zone, cell, kind, 1)
	return nil
}

// EndWorkerList closes the list.
func (e *Engine) EndWorkerList() {
	if e.whole {
		for _, w := range e.workers {
			if w.listed != e.lists && w.gone == 0 {
				w.gone = e.now
			}
		}
	}
	e.core.EndWorkerList(e.now)
}

// ConfirmWorkerList tells that the list was whole and true at a time; see router.Router.
func (e *Engine) ConfirmWorkerList(asOf router.Time) { e.core.ConfirmWorkerList(e.now, asOf) }

// LoadOrderEnded answers a load order; one that is unknown or over is passed over.
func (e *Engine) LoadOrderEnded(id OrderID, o router.Outcome, copies int) {
	if or := e.orders[id]; or != nil {
		delete(e.orders, id)
		e.wanted.OrderEnded(or.fn, id)
		e.timers.Stop(&or.timeOut)
		e.core.LoadOrderEnded(e.now, or.worker.id, or.fn, o, copies, e.now-or.at)
	}
}

// CheckEnded answers a check; one that is unknown or over is passed over.
func (e *Engine) CheckEnded(id CheckID, o router.Outcome, report []float64) {
	if c := e.checks[id]; c != nil {
		delete(e.checks, id)
		e.timers.Stop(&c.timeOut)
		e.core.CheckEnded(e.now, c.worker.id, o, e.now-c.at, report)
	}
}

// port carries out what the module decides.
type port Engine

// Send implements router.Port.
func (pt *port) Send(rpc router.RPCID, w router.WorkerID, limit, by router.Time) {
	e, p := (*Engine)(pt), pt.rpcs[rpc]
	if p == nil { // the module's own fault; the RPC is over
		return
	}
	n, wk := len(p.calls), e.workers[w]
	p.calls = append(p.calls, callOut{worker: wk, at: e.now})
	p.leave.CallOutSent()
	if p.out++; p.out == 1 && !p.closed {
		p.client.HeldChanged(false)
	}
	moot := p.closed || e.now >= p.end || n >= e.most || p.out > 1 && !e.overlap
	id := CallOutID(uint64(rpc)<<8 | uint64(n))
	switch {
	case moot:
		e.later = append(e.later, func() { e.CallOutEnded(id, w, router.NotSent, router.WarmthUnknown, 0, nil, nil, nil) })
	case wk.link == nil:
		e.later = append(e.later, func() {
			e.CallOutEnded(id, w, router.ConnectFailed, router.WarmthUnknown, 0, nil, []byte("no link to "+wk.name), nil)
		})
	default:
		e.counts.CallOuts++
		left := p.end - e.now
		if limit > 0 { // the link gives up by itself then
			left = min(left, limit)
		}
		wk.link.Send(id, p, left, by)
		if limit > 0 && e.now+limit < p.end {
			e.timers.Set(new(eventloop.Timer), e.now+limit, func(router.Time) {
				e.CallOutEnded(id, w, router.TimedOut, router.WarmthUnknown, 0, nil, nil, nil)
			})
		}
	}
}

// Deny implements router.Port.
func (pt *port) Deny(rpc router.RPCID, comeBack router.Time, why router.Reason) {
	if p := pt.rpcs[rpc]; p != nil && !p.closed {
		pt.givenUp(p, why)
		p.close()
		pt.counts.Denied++
		p.client.Denied(comeBack)
		pt.core.Release(rpc)
		(*Engine)(pt).release(p)
	}
}

// Abort implements router.Port.
func (pt *port) Abort(rpc router.RPCID, why router.Reason) {
	if p := pt.rpcs[rpc]; p != nil && !p.closed {
		pt.givenUp(p, why)
		p.close()
		pt.counts.Aborted++
		p.client.Aborted(p.cause)
		pt.core.Release(rpc)
		(*Engine)(pt).release(p)
	}
}

// CancelCallOut implements router.Port.
func (pt *port) CancelCallOut(rpc router.RPCID, n int) {
	e, p := (*Engine)(pt), pt.rpcs[rpc]
	if p == nil || n >= len(p.calls) || p.calls[n].done {
		return
	}
	c, id := &p.calls[n], CallOutID(uint64(rpc)<<8|uint64(n))
	if c.worker.link != nil {
		c.worker.link.CancelCallOut(id)
	}
	w := c.worker.id
	e.later = append(e.later, func() { e.CallOutEnded(id, w, router.Cancelled, router.WarmthUnknown, 0, nil, nil, nil) })
}

// SetTimer implements router.Port.
func (pt *port) SetTimer(after router.Time, token uint64) {
	e := (*Engine)(pt)
	// never in the turn that asks for it
	e.timers.Set(new(eventloop.Timer), e.now+max(after, 1), func(now router.Time) { e.core.TimerFired(now, token) })
}

// Check implements router.Port.
func (pt *port) Check(w router.WorkerID) {
	e, wk := (*Engine)(pt), pt.workers[w]
	e.lastID++
	id := CheckID(e.lastID)
	c := &check{worker: wk, at: e.now}
	e.checks[id] = c
	e.counts.Checks++
	if wk.link == nil {
		e.later = append(e.later, func() { e.CheckEnded(id, router.ConnectFailed, nil) })
		return
	}
	e.timers.Set(&c.timeOut, e.now+e.orderBy, func(router.Time) { e.CheckEnded(id, router.TimedOut, nil) })
	wk.link.Check(id)
}

// OrderLoad implements router.Port.
func (pt *port) OrderLoad(w router.WorkerID, fn router.FunctionID, n int, by router.Time) {
	e, wk := (*Engine)(pt), pt.workers[w]
	e.lastID++
	id := OrderID(e.lastID)
	o := &order{worker: wk, fn: fn, at: e.now}
	e.orders[id] = o
	if n > 0 {
		e.counts.Orders++
		e.wanted.OrderSent(fn, id)
	}
	if wk.link == nil {
		e.later = append(e.later, func() { e.LoadOrderEnded(id, router.ConnectFailed, 0) })
		return
	}
	e.timers.Set(&o.timeOut, e.now+e.orderBy, func(router.Time) { e.LoadOrderEnded(id, router.TimedOut, 0) })
	f := e.names[fn]
	f.used = e.now
	e.names[fn] = f
	wk.link.OrderLoad(id, f.name, f.fn, n, by)
}

// SubscribeWorkers implements router.Port.
func (pt *port) SubscribeWorkers() {
	if pt.listen != nil {
		pt.listen()
	}
}

// Log implements router.Port.
func (pt *port) Log(text string) { pt.log(text) }
