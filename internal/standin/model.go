// Package standin implements stand-ins for the outside systems that the program talks to: workers, the roster that
// reports which workers run, and the store that all workers load functions from. They model the behaviour of such
// systems, not the speed of real ones: a worker waits where a real one would compute.
package standin

import (
	"cmp"
	"fmt"
	"math"
	"math/rand"
	"slices"

	"mallowlanding/internal/eventloop"
	"mallowlanding/internal/jsonrpc"
	"mallowlanding/internal/record"
	"mallowlanding/internal/settings"
	"mallowlanding/router"
)

// Response is a worker's response to an RPC: code 0 with a value, or an error code and a message.
type Response struct {
	Code         int
	Message      string
	Repeat       bool   // the RPC was a repeat, and its effect was dropped
	Warmth       string // whether the RPC found a loaded copy or waited for a load, in the words of docs/protocol.md
	RPCsAtCopies int    // RPCs that ran or waited at the function's copies when this one came
}

// Job is one RPC at a worker.
type Job struct {
	Method, Function, Token, Mark string
	Payload, Blob                 []byte
	Deadline                      router.Time // when the client's time is up
	Memory                        float64     // MB of a copy of the function
	Lanes                         int         // of a copy
	LoadTime                      router.Time
	Done                          func(Response)

	batch      []*Job // the other RPCs of the batch that it leads
	lead       *Job   // the first RPC of its batch; nil if it leads one or is in none
	function   *functionState
	work       *settings.WorkMethod
	response   Response
	started    bool
	effectDone bool // its effect has happened, or is about to happen
	finished   bool
	timer      eventloop.Timer
	coreSince  router.Time // when it was given a core
}

// Environment connects a worker model to the outside: the store, the record log and the process. The callbacks done are
// called in a later turn of the event loop.
type Environment interface {
	Fetch(function string, usualTime router.Time, done func(ok bool))
	ClaimToken(group, token string, window router.Time, done func(first, ok bool))
	RecordWork(j *Job, duration router.Time)
	RecordEffect(j *Job, dropped bool)
	ColdOverload(sentMS, maxMS float64)
}

// functionState is the state of one function at the worker: its copies and the RPCs and load orders that wait for them.
type functionState struct {
	name     string
	memory   float64
	lanes    int
	loadTime router.Time
	loaded   int
	stale    int // of loaded: copies of an older release, unloaded once idle
	loading  int // copies being loaded, or queued for it
	active   int // lanes in use
	lastUse  router.Time
	waiting  []*Job // for a free lane
	orders   []*loadOrder
}

type loadOrder struct {
	id   any
	n    int
	done func(code, loaded int)
}

// Model is the model of one worker, without I/O: its memory, lanes, loads, cores, cold start and faults. Its timers are
// in an eventloop.Timers. It belongs to one goroutine.
type Model struct {
	cfg            *settings.Worker
	env            Environment
	timers         *eventloop.Timers
	rng            *rand.Rand
	now, startedAt router.Time
	work           map[string]*settings.WorkMethod
	functions      map[string]*functionState
	functionNames  []string
	freeCores      int
	coreQueue      []*Job // have a lane, and wait for a core
	activeLoads    int
	loadQueue      []*functionState // an entry for each load that waits to start
	queued         int              // RPCs that wait for a lane
	jobCount       int
	recentWork     []workSample // sent to the cold worker within the window of its overload rule
	overloaded     bool
	draining       bool
	report         []float64
	reportDelay    router.Time
	reportHistory  []timedReport

	// injected faults, each in effect until a point in time
	hangUntil, slowUntil, errorsUntil, reportDelayUntil router.Time
	loadFailShare                                       float64 // share of loads that fail, until loadFailUntil
	loadFailUntil                                       router.Time
	slowFunction                                        string // slower by slowFunctionFactor, until slowFunctionUntil
	slowFunctionFactor                                  float64
	slowFunctionUntil                                   router.Time
	slowFactor, errorShare                              float64
}

type workSample struct {
	at   router.Time
	cost float64
}

type timedReport struct {
	at     router.Time
	values []float64
}

// NewModel returns the model of a worker that starts at now; if its settings say that it is not cold, its cold start is
// over already.
func NewModel(cfg *settings.Worker, env Environment, timers *eventloop.Timers, now router.Time) *Model {
	m := &Model{cfg: cfg, env: env, timers: timers, rng: rand.New(rand.NewSource(cfg.Seed)), now: now, startedAt: now,
		work: map[string]*settings.WorkMethod{}, functions: map[string]*functionState{}, freeCores: cfg.Machine.Cores}
	if !cfg.Cold {
		m.startedAt -= cfg.Rules.Cold
	}
	for i := range cfg.Work {
		m.work[cfg.Work[i].Method] = &cfg.Work[i]
	}
	m.report = []float64{0, 0, 0, 0}
	return m
}

// SetTime sets the time of the current turn of the event loop.
func (m *Model) SetTime(now router.Time) { m.now = now }

// capacity returns the share of its full speed that the worker has now; it rises linearly during the cold start.
func (m *Model) capacity() float64 {
	if age := m.now - m.startedAt; age < m.cfg.Rules.Cold {
		return m.cfg.Rules.ColdFrom + (1-m.cfg.Rules.ColdFrom)*float64(age)/float64(m.cfg.Rules.Cold)
	}
	return 1
}

// JobCount returns the number of RPCs at the worker that have not ended.
func (m *Model) JobCount() int { return m.jobCount }

func (m *Model) lookup(name string, memory float64, lanes int, loadTime router.Time) *functionState {
	fn := m.functions[name]
	if fn == nil {
		fn = &functionState{name: name}
		m.functions[name] = fn
		m.functionNames = append(m.functionNames, name)
	}
	if memory > 0 {
		fn.memory, fn.lanes, fn.loadTime = memory, max(lanes, 1), loadTime
	}
	return fn
}

// batchCostShare is the work that each further RPC of a batch adds, as a share of the first one's work. It is small
// since the RPCs of a batch share the fixed cost of calling the model.
const batchCostShare = 0.2

// SubmitBatch accepts a batch of RPCs of one function. They run as one, but each gets its own response.
func (m *Model) SubmitBatch(jobs []*Job) {
	lead := jobs[0]
	lead.batch = jobs[1:]
	for _, j := range lead.batch {
		m.jobCount++
		j.lead = lead
		if j.work = m.work[j.Method]; j.work == nil {
			j.work = &settings.WorkMethod{Method: j.Method, Effect: router.SideEffecting}
		}
		m.checkColdOverload(j)
		lead.Deadline = max(lead.Deadline, j.Deadline)
	}
	m.Submit(lead)
}

// Submit accepts an RPC.
func (m *Model) Submit(j *Job) {
	m.jobCount++
	j.work = m.work[j.Method]
	if j.work == nil {
		j.work = &settings.WorkMethod{Method: j.Method, Effect: router.SideEffecting}
	}
	m.checkColdOverload(j)
	fn := m.lookup(j.Function, j.Memory, j.Lanes, j.LoadTime)
	j.function = fn
	j.response.RPCsAtCopies = fn.active + len(fn.waiting)
	if m.now < m.hangUntil {
		return // accepted, but never answered
	}
	switch {
	case m.draining:
		m.finish(j, Response{Code: codeFull, Message: "it drains"})
		return
	case m.now < m.errorsUntil && m.rng.Float64() < m.errorShare:
		fail := func(_, _ bool) { m.finish(j, Response{Code: codeFailed, Message: "it failed"}) }
		if m.rng.Intn(2) == 0 {
			m.applyEffect(j, fail) // an error does not prove that the effect has not happened
		} else {
			fail(false, true)
		}
		return
	}
	fn.lastUse = m.now
	if fn.active < m.usableLanes(fn) && len(fn.waiting) == 0 {
		j.response.Warmth = "stood"
		m.start(j)
		return
	}
	if m.queued >= m.cfg.Machine.Queue {
		m.finish(j, Response{Code: codeFull, Message: "no place in the queue"})
		return
	}
	j.response.Warmth = "stood"
	freeLanes := fn.loading*fn.lanes - len(fn.waiting)
	switch {
	case freeLanes > 0:
		j.response.Warmth = "joined"
	case m.startLoad(fn):
		j.response.Warmth = "began"
	case fn.loaded-fn.stale+fn.loading == 0:
		m.finish(j, Response{Code: codeFull, Message: "no room for a load"})
		return
	}
	m.queued++
	fn.waiting = append(fn.waiting, j)
	m.timers.Set(&j.timer, j.Deadline, func(now router.Time) { m.now = now; m.dropWaiting(j, "its time was up before it began") })
}

func (m *Model) usableLanes(fn *functionState) int { return (fn.loaded - fn.stale) * fn.lanes }

// checkColdOverload counts the work that a cold worker is sent. If it is more than the overload rule allows within its
// window, the worker fails.
func (m *Model) checkColdOverload(j *Job) {
	rules := &m.cfg.Rules
	if m.now-m.startedAt >= rules.Cold || m.overloaded {
		return
	}
	m.recentWork = append(m.recentWork, workSample{m.now, float64(j.work.Mean)})
	m.recentWork = slices.DeleteFunc(m.recentWork, func(p workSample) bool { return p.at < m.now-rules.Fall })
	work := 0.0
	for _, p := range m.recentWork {
		work += p.cost
	}
	maxWork := rules.FallMultiple * m.capacity() * float64(m.cfg.Machine.Cores) * m.cfg.Machine.Speed * float64(rules.Fall)
	if work > maxWork+3*float64(j.work.Mean) { // slack for random variation
		m.overloaded = true
		m.env.ColdOverload(work/10, maxWork/10)
	}
}

// dropWaiting removes an RPC that waits for a lane from its queue; it returns false if the RPC does not wait.
func (m *Model) dropWaiting(j *Job, reason string) bool {
	index := slices.Index(j.function.waiting, j)
	if index < 0 {
		return false
	}
	j.function.waiting = slices.Delete(j.function.waiting, index, index+1)
	m.queued--
	m.finish(j, Response{Code: codeFull, Message: reason})
	return true
}

// Cancel drops an RPC that has not started and stops one that runs, as far as the machine settings allow. A load for
// which nothing waits any more is abandoned by startQueuedLoads or runLoad.
func (m *Model) Cancel(j *Job) {
	if j.lead != nil || len(j.batch) > 0 { // the other RPCs of the batch continue
		switch lead := cmp.Or(j.lead, j); {
		case j.finished || m.now < m.hangUntil:
		case lead.started:
			m.finishOne(j, Response{Code: codeCancelled, Message: "called off while it ran"})
		default:
			m.finishOne(j, Response{Code: codeFull, Message: "called off before it began"})
		}
		return
	}
	if j.finished || m.cfg.Machine.CancelStops == "nothing" || m.now < m.hangUntil {
		return
	}
	if m.dropWaiting(j, "called off before it began") || m.cfg.Machine.CancelStops == "waiting" || !j.started || j.effectDone {
		return
	}
	if index := slices.Index(m.coreQueue, j); index >= 0 { // it has a lane and waits for a core
		m.coreQueue = slices.Delete(m.coreQueue, index, index+1)
		m.releaseLane(j, Response{Code: codeFull, Message: "called off before it began"})
		return
	}
	m.timers.Stop(&j.timer)
	m.freeCores++
	m.env.RecordWork(j, m.now-j.coreSince)
	m.releaseLane(j, Response{Code: codeCancelled, Message: "called off while it ran"})
}

// CancelLoad cancels the load order with the given id.
func (m *Model) CancelLoad(id any) {
	for _, name := range m.functionNames {
		fn := m.functions[name]
		for i, order := range fn.orders {
			if order.id == id {
				fn.orders = slices.Delete(fn.orders, i, i+1)
				order.done(codeFull, fn.loaded-fn.stale)
				return
			}
		}
	}
}

// loadUnwanted reports whether nothing waits for a load of fn any more and the machine stops such loads.
func (m *Model) loadUnwanted(fn *functionState) bool {
	return m.cfg.Machine.CancelStops != "nothing" && len(fn.waiting) == 0 && len(fn.orders) == 0
}

func (m *Model) finish(j *Job, response Response) {
	m.timers.Stop(&j.timer)
	m.finishOne(j, response)
	for _, member := range j.batch {
		member.response = j.response
		m.finishOne(member, response)
	}
}

// finishOne ends one RPC, not the other RPCs of its batch.
func (m *Model) finishOne(j *Job, response Response) {
	if j.finished {
		return
	}
	j.finished = true
	m.jobCount--
	response.RPCsAtCopies = j.response.RPCsAtCopies
	if response.Warmth == "" && response.Code == 0 {
		response.Warmth = j.response.Warmth
	}
	if m.now >= m.hangUntil {
		j.Done(response)
	}
}

// start gives an RPC a lane and queues it for a core.
func (m *Model) start(j *Job) {
	j.started = true
	m.timers.Stop(&j.timer)
	j.function.active++
	m.coreQueue = append(m.coreQueue, j)
	m.startQueuedRPCs()
}

// startQueuedRPCs starts RPCs that wait for a core while cores are free.
func (m *Model) startQueuedRPCs() {
	for m.freeCores > 0 && len(m.coreQueue) > 0 {
		j := m.coreQueue[0]
		m.coreQueue = m.coreQueue[1:]
		m.freeCores--
		work := float64(j.work.Mean)
		if s := j.work.Spread; s > 0 {
			work *= math.Exp(s*m.rng.NormFloat64() - s*s/2)
		}
		work *= 1 + batchCostShare*float64(len(j.batch))
		if m.now < m.slowFunctionUntil && j.Function == m.slowFunction {
			work *= m.slowFunctionFactor
		}
		if m.now < m.slowUntil {
			work *= m.slowFactor
		}
		j.coreSince = m.now
		duration := max(router.Time(work/(m.cfg.Machine.Speed*m.capacity())), 0)
		if duration == 0 {
			m.workDone(j)
			continue
		}
		m.timers.Set(&j.timer, m.now+duration, func(now router.Time) { m.now = now; m.workDone(j) })
	}
}

// workDone handles the end of an RPC's work: it frees the core, applies the effect and sends the response.
func (m *Model) workDone(j *Job) {
	m.freeCores++
	j.effectDone = true
	m.env.RecordWork(j, m.now-j.coreSince)
	for _, member := range j.batch {
		if !member.finished {
			m.env.RecordEffect(member, false) // only idempotent RPCs are batched
		}
	}
	m.applyEffect(j, func(first, ok bool) {
		if !ok {
			m.releaseLane(j, Response{Code: codeFailed, Message: "its token can't be looked up"})
			return
		}
		m.releaseLane(j, Response{Repeat: !first})
	})
	m.startQueuedRPCs()
}

// applyEffect applies an RPC's effect. For a tokened RPC it claims the token first, and drops the effect of a repeat.
func (m *Model) applyEffect(j *Job, done func(first, ok bool)) {
	if j.work.Effect != router.Tokened || j.Token == "" {
		m.env.RecordEffect(j, false)
		done(true, true)
		return
	}
	group := j.work.Group
	switch group {
	case "zone":
		group += " " + m.cfg.Zone
	case "cell":
		group += " " + m.cfg.Cell
	}
	m.env.ClaimToken(group, j.Token, j.work.Window, func(first, ok bool) {
		if ok { // otherwise the group's tokens can't be reached, and there is no effect
			m.env.RecordEffect(j, !first)
		}
		done(first, ok)
	})
}

func (m *Model) releaseLane(j *Job, response Response) {
	fn := j.function
	fn.active--
	fn.lastUse = m.now
	m.finish(j, response)
	for fn.stale > 0 && fn.active <= (fn.loaded-1)*fn.lanes {
		fn.stale--
		fn.loaded--
	}
	m.startWaiting(fn)
	m.startQueuedRPCs()
	m.startQueuedLoads()
}

// startWaiting starts RPCs that wait for a lane while lanes are free.
func (m *Model) startWaiting(fn *functionState) {
	for len(fn.waiting) > 0 && fn.active < m.usableLanes(fn) {
		j := fn.waiting[0]
		fn.waiting = fn.waiting[1:]
		m.queued--
		m.start(j)
	}
}

// startLoad starts or queues the load of one copy; it returns false if the queue of loads is full or no memory is free.
func (m *Model) startLoad(fn *functionState) bool {
	if m.activeLoads >= m.cfg.Machine.MaxLoads && len(m.loadQueue) >= 2*m.cfg.Machine.MaxLoads ||
		!m.freeMemory(fn.memory) {
		return false
	}
	fn.loading++
	if m.activeLoads >= m.cfg.Machine.MaxLoads {
		m.loadQueue = append(m.loadQueue, fn)
		return true
	}
	m.runLoad(fn)
	return true
}

func (m *Model) runLoad(fn *functionState) {
	m.activeLoads++
	share := m.cfg.Machine.StartShare
	m.env.Fetch(fn.name, router.Time(float64(fn.loadTime)*(1-share)), func(ok bool) {
		if ok && m.rng.Float64() < m.loadFailureShare() {
			ok = false
		}
		if !ok || m.loadUnwanted(fn) {
			m.loadEnded(fn, false)
			return
		}
		start := float64(fn.loadTime) * share * math.Exp(0.3*m.rng.NormFloat64())
		m.timers.Set(new(eventloop.Timer), m.now+router.Time(start), func(now router.Time) { m.now = now; m.loadEnded(fn, true) })
	})
}

func (m *Model) loadFailureShare() float64 {
	if m.now < m.loadFailUntil {
		return max(m.loadFailShare, m.cfg.Machine.LoadFailShare)
	}
	return m.cfg.Machine.LoadFailShare
}

func (m *Model) loadEnded(fn *functionState, ok bool) {
	m.activeLoads--
	fn.loading--
	if ok {
		fn.loaded++
		fn.lastUse = m.now
		m.startWaiting(fn)
	} else if fn.loaded-fn.stale+fn.loading == 0 {
		waiting := fn.waiting
		fn.waiting = nil
		for _, j := range waiting {
			m.queued--
			m.finish(j, Response{Code: codeNotLoaded, Message: "its load failed", Warmth: "load failed"})
		}
	}
	orders := fn.orders
	fn.orders = nil
	for _, order := range orders {
		switch {
		case fn.loaded-fn.stale >= order.n:
			order.done(0, fn.loaded-fn.stale)
		case fn.loading == 0:
			order.done(codeLoadError, fn.loaded-fn.stale)
		default:
			fn.orders = append(fn.orders, order)
		}
	}
	m.startQueuedLoads()
}

func (m *Model) startQueuedLoads() {
	for len(m.loadQueue) > 0 && m.activeLoads < m.cfg.Machine.MaxLoads {
		fn := m.loadQueue[0]
		m.loadQueue = m.loadQueue[1:]
		if len(fn.waiting) == 0 && len(fn.orders) == 0 { // nothing waits for the load any more
			fn.loading--
			continue
		}
		m.runLoad(fn)
	}
}

// memoryUse returns the memory in use, and the part of it that can't be freed (all but idle copies).
func (m *Model) memoryUse() (used, pinned float64) {
	for _, name := range m.functionNames {
		fn := m.functions[name]
		used += float64(fn.loaded+fn.loading) * fn.memory
		pinned += float64(fn.loaded+fn.loading-fn.idleCopies()) * fn.memory
	}
	return used, pinned
}

// idleCopies returns the number of loaded copies that run no RPC.
func (fn *functionState) idleCopies() int {
	return max(0, fn.loaded-(fn.active+fn.lanes-1)/max(fn.lanes, 1))
}

// freeMemory unloads idle copies, of the least recently used function first, until need more MB fit; it returns false
// if they can't.
func (m *Model) freeMemory(need float64) bool {
	used, pinned := m.memoryUse()
	if pinned+need > m.cfg.Machine.MemoryMB {
		return false
	}
	for used+need > m.cfg.Machine.MemoryMB {
		var oldest *functionState
		for _, name := range m.functionNames {
			if fn := m.functions[name]; fn.idleCopies() > 0 && (oldest == nil || fn.lastUse < oldest.lastUse) {
				oldest = fn
			}
		}
		if oldest == nil {
			return false
		}
		oldest.loaded--
		oldest.stale = min(oldest.stale, oldest.loaded)
		used -= oldest.memory
	}
	return true
}

// OrderLoad accepts a load order: done is called once n copies are loaded, or when they can't be.
func (m *Model) OrderLoad(id any, function string, n int, memory float64, lanes int, loadTime router.Time,
	done func(code, loaded int)) {
	fn := m.lookup(function, memory, lanes, loadTime)
	if m.now < m.hangUntil {
		return
	}
	fn.lastUse = m.now
	loaded := fn.loaded - fn.stale
	if n <= loaded {
		done(0, loaded)
		return
	}
	if m.draining || fn.memory == 0 {
		done(codeFull, loaded)
		return
	}
	for fn.loaded-fn.stale+fn.loading < n {
		if !m.startLoad(fn) {
			done(codeFull, loaded)
			return
		}
	}
	fn.orders = append(fn.orders, &loadOrder{id, n, done})
}

// Housekeep does the periodic work: it unloads copies that have been idle for the keep-alive time, and updates the load
// report.
func (m *Model) Housekeep() {
	for _, name := range m.functionNames {
		if fn := m.functions[name]; fn.idleCopies() > 0 && m.now-fn.lastUse >= m.cfg.Machine.KeepAlive {
			fn.loaded -= fn.idleCopies()
			fn.stale = min(fn.stale, fn.loaded)
		}
	}
	_, pinned := m.memoryUse()
	values := []float64{float64(m.cfg.Machine.Cores-m.freeCores) / float64(m.cfg.Machine.Cores),
		pinned / m.cfg.Machine.MemoryMB, float64(m.jobCount), float64(m.activeLoads + len(m.loadQueue))}
	m.reportHistory = append(m.reportHistory, timedReport{m.now, values})
	if m.now >= m.reportDelayUntil {
		m.reportDelay = 0
	}
	for len(m.reportHistory) > 0 && m.reportHistory[0].at <= m.now-m.reportDelay {
		m.report = m.reportHistory[0].values
		m.reportHistory = m.reportHistory[1:]
	}
}

// Report returns the current load report, in the order of settings.ReportValues.
func (m *Model) Report() []float64 { return m.report }

// Drain makes the worker refuse new RPCs and loads.
func (m *Model) Drain() { m.draining = true }

// Hang makes the worker answer none of the RPCs that it has, for the given time. What it is sent meanwhile is read
// later, by whoever drives the model.
func (m *Model) Hang(span router.Time) { m.hangUntil = m.now + span }

// HangsUntil returns the end of the last hang.
func (m *Model) HangsUntil() router.Time { return m.hangUntil }

// Slow makes the work of all RPCs take longer by a factor, for the given time.
func (m *Model) Slow(factor float64, span router.Time) {
	m.slowFactor, m.slowUntil = factor, m.now+span
}

// SlowFunction makes the work of one function take longer by a factor, for the given time.
func (m *Model) SlowFunction(function string, factor float64, span router.Time) {
	m.slowFunction, m.slowFunctionFactor, m.slowFunctionUntil = function, factor, m.now+span
}

// Hanging reports whether the worker hangs now.
func (m *Model) Hanging() bool { return m.now < m.hangUntil }

// OverCapacity describes which limit of the worker is exceeded: memory, cores, or the lanes of a function. It returns
// an empty string if none is. It is for tests of the model itself.
func (m *Model) OverCapacity() string {
	if used, _ := m.memoryUse(); used > m.cfg.Machine.MemoryMB {
		return fmt.Sprintf("holds %.0f of %.0f MB", used, m.cfg.Machine.MemoryMB)
	}
	if m.freeCores < 0 || m.freeCores > m.cfg.Machine.Cores {
		return fmt.Sprintf("%d of %d cores are free", m.freeCores, m.cfg.Machine.Cores)
	}
	for _, name := range m.functionNames {
		if fn := m.functions[name]; fn.active > fn.loaded*fn.lanes {
			return fmt.Sprintf("%s: %d RPCs in %d lanes", name, fn.active, fn.loaded*fn.lanes)
		}
	}
	return ""
}

// FreeLanes returns the number of free lanes of the first function that matches, less the RPCs that wait for one, and
// whether a copy of it is being loaded.
func (m *Model) FreeLanes(matches func(name string) bool) (free int, loading bool) {
	for _, name := range m.functionNames {
		if fn := m.functions[name]; matches(name) {
			return m.usableLanes(fn) - fn.active - len(fn.waiting), fn.loading > 0
		}
	}
	return 0, false
}

// FailLoads makes a share of loads fail, for the given time.
func (m *Model) FailLoads(share float64, span router.Time) {
	m.loadFailShare, m.loadFailUntil = share, m.now+span
}

// FailRPCs makes a share of RPCs fail immediately, for the given time.
func (m *Model) FailRPCs(share float64, span router.Time) {
	m.errorShare, m.errorsUntil = share, m.now+span
}

// DelayReports makes load reports lag by a delay, for the given time.
func (m *Model) DelayReports(delay, span router.Time) {
	m.reportDelay, m.reportDelayUntil = delay, m.now+span
}

// Release simulates a new release of the functions that released selects: their copies become stale. Idle ones are
// unloaded at once, the others when they become idle.
func (m *Model) Release(released func(function string) bool) {
	for _, name := range m.functionNames {
		if fn := m.functions[name]; released(name) {
			fn.loaded -= fn.idleCopies()
			fn.stale = fn.loaded
		}
	}
}

// Error codes of responses, as specified in docs/protocol.md.
const (
	codeFull      = -32010
	codeNotLoaded = -32011
	codeFailed    = -32012
	codeCancelled = -32013
	codeLoadError = -32014
)

// clientMark returns the mark by which a client identifies one try: the member "mark" of the payload, if any.
func clientMark(payload []byte) string {
	if mark := member(payload, "mark"); mark != "" {
		return mark
	}
	return member(jsonrpc.Member(payload, "parameters"), "mark") // of an infer request
}

func requestRecord(j *Job, frontEnd string) record.Record {
	return record.Record{Kind: record.RequestReceived, FrontEnd: frontEnd, RPC: j.Mark, Method: j.Method,
		Function: j.Function, Token: j.Token}
}
