// Package standin has the outside systems that the program meets, as far as it meets them: workers, the roster that
// tells who runs, and the store that all workers load from. They are models of what such systems do, not measures
// of real ones: a worker waits where a real one would compute.
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

// Answer is what a worker says of an RPC: code 0 with a value, or an error code and message.
type Answer struct {
	Code    int
	Message string
	Repeat  bool // a repeat whose effect was dropped
	Warmth  string
	Crowd   int
}

// Job is one RPC at a worker.
type Job struct {
	Method, Function, Token, Mark string
	Payload, Blob                 []byte
	Until                         router.Time // its client's time is up
	Memory                        float64
	Lanes                         int
	Load                          router.Time
	Done                          func(Answer)

	batch  []*Job // that ride with it
	lead   *Job   // of the batch that it rides with
	fn     *copies
	work   *settings.WorkMethod
	answer Answer
	begun  bool
	ran    bool // its effect has happened, or is about to
	over   bool
	timer  eventloop.Timer
	coreAt router.Time // when it got its core
}

// World is what a worker model reaches outside itself; answers come in later turns.
type World interface {
	Fetch(function string, usual router.Time, done func(ok bool))
	Claim(group, token string, window router.Time, done func(first, ok bool))
	Worked(j *Job, span router.Time)
	Effect(j *Job, dropped bool)
	Fell(pushed, could float64)
}

// copies are one function's on the worker.
type copies struct {
	name    string
	memory  float64
	lanes   int
	load    router.Time
	stand   int
	stale   int // of those, to go once idle: released anew
	loading int
	active  int
	lastUse router.Time
	waiting []*Job
	holds   []*hold
}

type hold struct {
	id   any
	n    int
	done func(code, stand int)
}

// Model is one worker, without I/O: memory, lanes, loads, cores, cold start, faults. It takes its time from a
// turn.Timers and belongs to one goroutine.
type Model struct {
	set        *settings.Worker
	world      World
	timers     *eventloop.Timers
	rng        *rand.Rand
	now, born  router.Time
	work       map[string]*settings.WorkMethod
	fns        map[string]*copies
	order      []string
	free       int // cores
	line       []*Job
	loads      int
	loadLine   []*copies
	queued     int
	jobs       int
	pushed     []push
	fallen     bool
	draining   bool
	reports    []float64
	reportLate router.Time
	history    []reportAt

	// faults, until a time
	hungUntil, slowUntil, errorsUntil, lateUntil router.Time
	failing                                      float64 // share of loads that fail, until failingUntil
	failingUntil                                 router.Time
	slowFunction                                 string // slower by slowOne, until slowOneUntil
	slowOne                                      float64
	slowOneUntil                                 router.Time
	slow, errors                                 float64
}

type push struct {
	at   router.Time
	cost float64
}

type reportAt struct {
	at     router.Time
	values []float64
}

// NewModel starts a worker at now; one that is not cold started long ago.
func NewModel(set *settings.Worker, world World, timers *eventloop.Timers, now router.Time) *Model {
	m := &Model{set: set, world: world, timers: timers, rng: rand.New(rand.NewSource(set.Seed)), now: now, born: now,
		work: map[string]*settings.WorkMethod{}, fns: map[string]*copies{}, free: set.Machine.Cores}
	if !set.Cold {
		m.born -= set.Rules.Cold
	}
	for i := range set.Work {
		m.work[set.Work[i].Method] = &set.Work[i]
	}
	m.reports = []float64{0, 0, 0, 0}
	return m
}

// Begin tells the time of a turn.
func (m *Model) Begin(now router.Time) { m.now = now }

// capacity is the share of its full speed that the worker has now.
func (m *Model) capacity() float64 {
	if age := m.now - m.born; age < m.set.Rules.Cold {
		return m.set.Rules.ColdFrom + (1-m.set.Rules.ColdFrom)*float64(age)/float64(m.set.Rules.Cold)
	}
	return 1
}

// Jobs is the number of RPCs that it holds.
func (m *Model) Jobs() int { return m.jobs }

func (m *Model) function(name string, memory float64, lanes int, load router.Time) *copies {
	fn := m.fns[name]
	if fn == nil {
		fn = &copies{name: name}
		m.fns[name] = fn
		m.order = append(m.order, name)
	}
	if memory > 0 {
		fn.memory, fn.lanes, fn.load = memory, max(lanes, 1), load
	}
	return fn
}

// batchCost is what each further RPC of a batch adds to the work of the first, as a share of it: a batch shares what
// a call of a model costs by itself.
const batchCost = 0.2

// Batch takes RPCs of one function that ride together: they run as one, each with its own end.
func (m *Model) Batch(jobs []*Job) {
	lead := jobs[0]
	lead.batch = jobs[1:]
	for _, j := range lead.batch {
		m.jobs++
		j.lead = lead
		if j.work = m.work[j.Method]; j.work == nil {
			j.work = &settings.WorkMethod{Method: j.Method, Effect: router.SideEffecting}
		}
		m.press(j)
		lead.Until = max(lead.Until, j.Until)
	}
	m.Request(lead)
}

// Request takes an RPC.
func (m *Model) Request(j *Job) {
	m.jobs++
	j.work = m.work[j.Method]
	if j.work == nil {
		j.work = &settings.WorkMethod{Method: j.Method, Effect: router.SideEffecting}
	}
	m.press(j)
	fn := m.function(j.Function, j.Memory, j.Lanes, j.Load)
	j.fn = fn
	j.answer.Crowd = fn.active + len(fn.waiting)
	if m.now < m.hungUntil {
		return // taken, and never answered
	}
	switch {
	case m.draining:
		m.finish(j, Answer{Code: full, Message: "it drains"})
		return
	case m.now < m.errorsUntil && m.rng.Float64() < m.errors:
		fail := func(_, _ bool) { m.finish(j, Answer{Code: failed, Message: "it failed"}) }
		if m.rng.Intn(2) == 0 {
			m.effect(j, fail) // an error proves nothing: the effect may have happened
		} else {
			fail(false, true)
		}
		return
	}
	fn.lastUse = m.now
	if fn.active < m.lanes(fn) && len(fn.waiting) == 0 {
		j.answer.Warmth = "stood"
		m.begin(j)
		return
	}
	if m.queued >= m.set.Machine.Queue {
		m.finish(j, Answer{Code: full, Message: "no place in the queue"})
		return
	}
	j.answer.Warmth = "stood"
	room := fn.loading*fn.lanes - len(fn.waiting)
	switch {
	case room > 0:
		j.answer.Warmth = "joined"
	case m.startLoad(fn):
		j.answer.Warmth = "began"
	case fn.stand-fn.stale+fn.loading == 0:
		m.finish(j, Answer{Code: full, Message: "no room for a load"})
		return
	}
	m.queued++
	fn.waiting = append(fn.waiting, j)
	m.timers.Set(&j.timer, j.Until, func(now router.Time) { m.now = now; m.drop(j, "its time was up before it began") })
}

func (m *Model) lanes(fn *copies) int { return (fn.stand - fn.stale) * fn.lanes }

// press counts what is pushed at a cold worker; too much within the window has it fall.
func (m *Model) press(j *Job) {
	r := &m.set.Rules
	if m.now-m.born >= r.Cold || m.fallen {
		return
	}
	m.pushed = append(m.pushed, push{m.now, float64(j.work.Mean)})
	m.pushed = slices.DeleteFunc(m.pushed, func(p push) bool { return p.at < m.now-r.Fall })
	sum := 0.0
	for _, p := range m.pushed {
		sum += p.cost
	}
	could := r.FallMultiple * m.capacity() * float64(m.set.Machine.Cores) * m.set.Machine.Speed * float64(r.Fall)
	if sum > could+3*float64(j.work.Mean) { // slack for chance
		m.fallen = true
		m.world.Fell(sum/10, could/10)
	}
}

// drop takes an RPC that has not begun out of the line.
func (m *Model) drop(j *Job, why string) bool {
	at := slices.Index(j.fn.waiting, j)
	if at < 0 {
		return false
	}
	j.fn.waiting = slices.Delete(j.fn.waiting, at, at+1)
	m.queued--
	m.finish(j, Answer{Code: full, Message: why})
	return true
}

// CallOff drops an RPC that has not begun, and stops one that runs, as far as the machine does that. A load that
// nobody waits for any more is given up: see nextLoads and runLoad.
func (m *Model) CallOff(j *Job) {
	if j.lead != nil || len(j.batch) > 0 { // the others go on
		switch lead := cmp.Or(j.lead, j); {
		case j.over || m.now < m.hungUntil:
		case lead.begun:
			m.finish1(j, Answer{Code: calledOff, Message: "called off while it ran"})
		default:
			m.finish1(j, Answer{Code: full, Message: "called off before it began"})
		}
		return
	}
	if j.over || m.set.Machine.CancelStops == "nothing" || m.now < m.hungUntil {
		return
	}
	if m.drop(j, "called off before it began") || m.set.Machine.CancelStops == "waiting" || !j.begun || j.ran {
		return
	}
	if at := slices.Index(m.line, j); at >= 0 { // it had a lane and waited for a core
		m.line = slices.Delete(m.line, at, at+1)
		m.leaveLane(j, Answer{Code: full, Message: "called off before it began"})
		return
	}
	m.timers.Stop(&j.timer)
	m.free++
	m.world.Worked(j, m.now-j.coreAt)
	m.leaveLane(j, Answer{Code: calledOff, Message: "called off while it ran"})
}

// Unhold gives up a load order.
func (m *Model) Unhold(id any) {
	for _, name := range m.order {
		fn := m.fns[name]
		for i, h := range fn.holds {
			if h.id == id {
				fn.holds = slices.Delete(fn.holds, i, i+1)
				h.done(full, fn.stand-fn.stale)
				return
			}
		}
	}
}

// unwanted: nobody waits for the load any more.
func (m *Model) unwanted(fn *copies) bool {
	return m.set.Machine.CancelStops != "nothing" && len(fn.waiting) == 0 && len(fn.holds) == 0
}

func (m *Model) finish(j *Job, a Answer) {
	m.timers.Stop(&j.timer)
	m.finish1(j, a)
	for _, rider := range j.batch {
		rider.answer = j.answer
		m.finish1(rider, a)
	}
}

// finish1 ends one RPC, whatever it rides with.
func (m *Model) finish1(j *Job, a Answer) {
	if j.over {
		return
	}
	j.over = true
	m.jobs--
	a.Crowd = j.answer.Crowd
	if a.Warmth == "" && a.Code == 0 {
		a.Warmth = j.answer.Warmth
	}
	if m.now >= m.hungUntil {
		j.Done(a)
	}
}

// begin has an RPC run: it takes a lane, then waits for a core.
func (m *Model) begin(j *Job) {
	j.begun = true
	m.timers.Stop(&j.timer)
	j.fn.active++
	m.line = append(m.line, j)
	m.dispatch()
}

func (m *Model) dispatch() {
	for m.free > 0 && len(m.line) > 0 {
		j := m.line[0]
		m.line = m.line[1:]
		m.free--
		work := float64(j.work.Mean)
		if s := j.work.Spread; s > 0 {
			work *= math.Exp(s*m.rng.NormFloat64() - s*s/2)
		}
		work *= 1 + batchCost*float64(len(j.batch))
		if m.now < m.slowOneUntil && j.Function == m.slowFunction {
			work *= m.slowOne
		}
		if m.now < m.slowUntil {
			work *= m.slow
		}
		j.coreAt = m.now
		span := max(router.Time(work/(m.set.Machine.Speed*m.capacity())), 0)
		if span == 0 {
			m.ran(j)
			continue
		}
		m.timers.Set(&j.timer, m.now+span, func(now router.Time) { m.now = now; m.ran(j) })
	}
}

// ran ends an RPC's work.
func (m *Model) ran(j *Job) {
	m.free++
	j.ran = true
	m.world.Worked(j, m.now-j.coreAt)
	for _, rider := range j.batch {
		if !rider.over {
			m.world.Effect(rider, false) // only idempotent RPCs ride
		}
	}
	m.effect(j, func(first, ok bool) {
		if !ok {
			m.leaveLane(j, Answer{Code: failed, Message: "its token can't be looked up"})
			return
		}
		m.leaveLane(j, Answer{Repeat: !first})
	})
	m.dispatch()
}

// effect makes an RPC's effect happen; of a tokened one it asks first whether it has happened, and drops a repeat's.
func (m *Model) effect(j *Job, then func(first, ok bool)) {
	if j.work.Effect != router.Tokened || j.Token == "" {
		m.world.Effect(j, false)
		then(true, true)
		return
	}
	group := j.work.Group
	switch group {
	case "zone":
		group += " " + m.set.Zone
	case "cell":
		group += " " + m.set.Cell
	}
	m.world.Claim(group, j.Token, j.work.Window, func(first, ok bool) {
		if ok { // else the group's memory of tokens is out of reach, and nothing happens
			m.world.Effect(j, !first)
		}
		then(first, ok)
	})
}

func (m *Model) leaveLane(j *Job, a Answer) {
	fn := j.fn
	fn.active--
	fn.lastUse = m.now
	m.finish(j, a)
	for fn.stale > 0 && fn.active <= (fn.stand-1)*fn.lanes {
		fn.stale--
		fn.stand--
	}
	m.fill(fn)
	m.dispatch()
	m.nextLoads()
}

// fill begins what waits for lanes.
func (m *Model) fill(fn *copies) {
	for len(fn.waiting) > 0 && fn.active < m.lanes(fn) {
		j := fn.waiting[0]
		fn.waiting = fn.waiting[1:]
		m.queued--
		m.begin(j)
	}
}

// startLoad begins a load of one copy, or puts it in the line of loads; false: there is no room.
func (m *Model) startLoad(fn *copies) bool {
	if m.loads >= m.set.Machine.MaxLoads && len(m.loadLine) >= 2*m.set.Machine.MaxLoads ||
		!m.makeRoom(fn.memory) {
		return false
	}
	fn.loading++
	if m.loads >= m.set.Machine.MaxLoads {
		m.loadLine = append(m.loadLine, fn)
		return true
	}
	m.runLoad(fn)
	return true
}

func (m *Model) runLoad(fn *copies) {
	m.loads++
	share := m.set.Machine.StartShare
	m.world.Fetch(fn.name, router.Time(float64(fn.load)*(1-share)), func(ok bool) {
		if ok && m.rng.Float64() < m.loadFails() {
			ok = false
		}
		if !ok || m.unwanted(fn) {
			m.loaded(fn, false)
			return
		}
		start := float64(fn.load) * share * math.Exp(0.3*m.rng.NormFloat64())
		m.timers.Set(new(eventloop.Timer), m.now+router.Time(start), func(now router.Time) { m.now = now; m.loaded(fn, true) })
	})
}

func (m *Model) loadFails() float64 {
	if m.now < m.failingUntil {
		return max(m.failing, m.set.Machine.LoadFailShare)
	}
	return m.set.Machine.LoadFailShare
}

func (m *Model) loaded(fn *copies, ok bool) {
	m.loads--
	fn.loading--
	if ok {
		fn.stand++
		fn.lastUse = m.now
		m.fill(fn)
	} else if fn.stand-fn.stale+fn.loading == 0 {
		waiting := fn.waiting
		fn.waiting = nil
		for _, j := range waiting {
			m.queued--
			m.finish(j, Answer{Code: missed, Message: "its load failed", Warmth: "load failed"})
		}
	}
	holds := fn.holds
	fn.holds = nil
	for _, h := range holds {
		switch {
		case fn.stand-fn.stale >= h.n:
			h.done(0, fn.stand-fn.stale)
		case fn.loading == 0:
			h.done(loadError, fn.stand-fn.stale)
		default:
			fn.holds = append(fn.holds, h)
		}
	}
	m.nextLoads()
}

func (m *Model) nextLoads() {
	for len(m.loadLine) > 0 && m.loads < m.set.Machine.MaxLoads {
		fn := m.loadLine[0]
		m.loadLine = m.loadLine[1:]
		if len(fn.waiting) == 0 && len(fn.holds) == 0 { // nothing waits for it any more
			fn.loading--
			continue
		}
		m.runLoad(fn)
	}
}

// memory is what is held, and what of it can't be freed.
func (m *Model) memory() (held, pinned float64) {
	for _, name := range m.order {
		fn := m.fns[name]
		held += float64(fn.stand+fn.loading) * fn.memory
		pinned += float64(fn.stand+fn.loading-fn.idle()) * fn.memory
	}
	return held, pinned
}

// idle copies have no RPC at work.
func (fn *copies) idle() int { return max(0, fn.stand-(fn.active+fn.lanes-1)/max(fn.lanes, 1)) }

// makeRoom unloads idle copies, the one idle longest first, until need fits.
func (m *Model) makeRoom(need float64) bool {
	held, pinned := m.memory()
	if pinned+need > m.set.Machine.MemoryMB {
		return false
	}
	for held+need > m.set.Machine.MemoryMB {
		var oldest *copies
		for _, name := range m.order {
			if fn := m.fns[name]; fn.idle() > 0 && (oldest == nil || fn.lastUse < oldest.lastUse) {
				oldest = fn
			}
		}
		if oldest == nil {
			return false
		}
		oldest.stand--
		oldest.stale = min(oldest.stale, oldest.stand)
		held -= oldest.memory
	}
	return true
}

// Hold answers a load order: done is told once n copies stand, or can't.
func (m *Model) Hold(id any, function string, n int, memory float64, lanes int, load router.Time,
	done func(code, stand int)) {
	fn := m.function(function, memory, lanes, load)
	if m.now < m.hungUntil {
		return
	}
	fn.lastUse = m.now
	stand := fn.stand - fn.stale
	if n <= stand {
		done(0, stand)
		return
	}
	if m.draining || fn.memory == 0 {
		done(full, stand)
		return
	}
	for fn.stand-fn.stale+fn.loading < n {
		if !m.startLoad(fn) {
			done(full, stand)
			return
		}
	}
	fn.holds = append(fn.holds, &hold{id, n, done})
}

// Look does what comes round: copies idle past the keep-alive go, and the report is made anew.
func (m *Model) Look() {
	for _, name := range m.order {
		if fn := m.fns[name]; fn.idle() > 0 && m.now-fn.lastUse >= m.set.Machine.KeepAlive {
			fn.stand -= fn.idle()
			fn.stale = min(fn.stale, fn.stand)
		}
	}
	_, pinned := m.memory()
	values := []float64{float64(m.set.Machine.Cores-m.free) / float64(m.set.Machine.Cores),
		pinned / m.set.Machine.MemoryMB, float64(m.jobs), float64(m.loads + len(m.loadLine))}
	m.history = append(m.history, reportAt{m.now, values})
	if m.now >= m.lateUntil {
		m.reportLate = 0
	}
	for len(m.history) > 0 && m.history[0].at <= m.now-m.reportLate {
		m.reports = m.history[0].values
		m.history = m.history[1:]
	}
}

// Report is the load report as it stands, in the order of settings.ReportValues.
func (m *Model) Report() []float64 { return m.reports }

// Drain has the worker take nothing new.
func (m *Model) Drain() { m.draining = true }

// Hang has it take RPCs and answer none.
func (m *Model) Hang(span router.Time) { m.hungUntil = m.now + span }

// Slow has work take longer, by a factor.
func (m *Model) Slow(factor float64, span router.Time) { m.slow, m.slowUntil = factor, m.now+span }

// SlowOne has one function's work take longer, by a factor.
func (m *Model) SlowOne(function string, factor float64, span router.Time) {
	m.slowFunction, m.slowOne, m.slowOneUntil = function, factor, m.now+span
}

// Hangs tells whether it answers nothing now.
func (m *Model) Hangs() bool { return m.now < m.hungUntil }

// Overfull tells where the worker holds more than it has: memory, cores, or lanes of a function. Empty: nowhere. It is
// for tests of the model itself.
func (m *Model) Overfull() string {
	if held, _ := m.memory(); held > m.set.Machine.MemoryMB {
		return fmt.Sprintf("holds %.0f of %.0f MB", held, m.set.Machine.MemoryMB)
	}
	if m.free < 0 || m.free > m.set.Machine.Cores {
		return fmt.Sprintf("%d of %d cores are free", m.free, m.set.Machine.Cores)
	}
	for _, name := range m.order {
		if fn := m.fns[name]; fn.active > fn.stand*fn.lanes {
			return fmt.Sprintf("%s: %d RPCs in %d lanes", name, fn.active, fn.stand*fn.lanes)
		}
	}
	return ""
}

// Stands tells of the function that is names: lanes of copies that are free, and whether a load is under way.
func (m *Model) Stands(is func(name string) bool) (free int, loading bool) {
	for _, name := range m.order {
		if fn := m.fns[name]; is(name) {
			return m.lanes(fn) - fn.active - len(fn.waiting), fn.loading > 0
		}
	}
	return 0, false
}

// LoadsFail has a share of loads fail for a time.
func (m *Model) LoadsFail(share float64, span router.Time) {
	m.failing, m.failingUntil = share, m.now+span
}

// Errors has a share of RPCs fail at once.
func (m *Model) Errors(share float64, span router.Time) { m.errors, m.errorsUntil = share, m.now+span }

// ReportsLate has reports come later.
func (m *Model) ReportsLate(by, span router.Time) { m.reportLate, m.lateUntil = by, m.now+span }

// Release voids the copies of the functions that hit names: a release anew. Those at work go when they are done.
func (m *Model) Release(hit func(function string) bool) {
	for _, name := range m.order {
		if fn := m.fns[name]; hit(name) {
			fn.stand -= fn.idle()
			fn.stale = fn.stand
		}
	}
}

// Answer codes, as docs/protocol.md has them.
const (
	full      = -32010
	missed    = -32011
	failed    = -32012
	calledOff = -32013
	loadError = -32014
)

// markOf reads the client's mark of one try from a payload: its member "mark", where it has one.
func markOf(payload []byte) string {
	if mark := member(payload, "mark"); mark != "" {
		return mark
	}
	return member(jsonrpc.Member(payload, "parameters"), "mark") // an infer's
}

func requestRecord(j *Job, frontEnd string) record.Record {
	return record.Record{Kind: record.Request, FrontEnd: frontEnd, RPC: j.Mark, Method: j.Method,
		Function: j.Function, Token: j.Token}
}
