package emulate

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"mallowlanding/internal/engine"
	"mallowlanding/internal/eventloop"
	"mallowlanding/internal/nameid"
	"mallowlanding/internal/record"
	"mallowlanding/internal/settings"
	"mallowlanding/internal/standin"
	"mallowlanding/router"
)

// housekeepingInterval is the longest time between two runs of a worker's periodic housekeeping, as in the stand-in
// worker on sockets, in tenths of a millisecond.
const housekeepingInterval = 1000

// worker is one life of a worker: the stand-in's model on the world's clock. It implements standin.Environment for that
// model.
type worker struct {
	w        *world
	settings *settings.Worker
	model    *standin.Model
	timers   eventloop.Timers
	timer    eventloop.Timer
	alive    bool
	// arrivedNS is when the message that is being handled arrived, in ns of virtual time; 0 if it was read at once.
	arrivedNS int64
	links     []*link // of front ends, in the order in which they connected
}

// startWorker starts a worker and adds it to the roster.
func (w *world) startWorker(cfg *settings.Worker) *worker {
	x := &worker{w: w, settings: cfg, alive: true}
	x.model = standin.NewModel(cfg, x, &x.timers, w.now)
	if w.workers[cfg.Name] == nil {
		w.workerNames = append(w.workerNames, cfg.Name)
	}
	w.workers[cfg.Name], w.byID[nameid.Worker(cfg.Name)] = x, x
	cold, started := 0.0, router.Time(0)
	if cfg.Cold {
		cold, started = float64(cfg.Rules.Cold)/10, w.now
	}
	w.addRecord(record.Record{Kind: record.WorkerStarted, Source: cfg.Name, Zone: cfg.Zone, Cell: cfg.Cell, ColdMS: cold, ColdFrom: cfg.Rules.ColdFrom,
		Cores: float64(cfg.Machine.Cores) * cfg.Machine.Speed})
	x.scheduleHousekeeping()
	w.updateRoster(cfg.Name, func(e *rosterEntry) { e.worker, e.state, e.started = x, router.Ready, started })
	return x
}

func (x *worker) scheduleHousekeeping() {
	x.w.after(min(x.settings.Machine.ReportInterval, housekeepingInterval), func() {
		if x.alive {
			x.handle(x.model.Housekeep)
			x.w.inspections++
			if why := x.model.OverCapacity(); why != "" && x.w.overLimit == "" {
				x.w.overLimit = x.settings.Name + ": " + why
			}
			x.scheduleHousekeeping()
		}
	})
}

// read handles a message that arrived at a time. A worker that hangs reads it when it goes on.
func (x *worker) read(arrivedAt router.Time, message func()) {
	if until := x.model.HangsUntil(); x.alive && until > x.w.now {
		x.w.at(until, func() { x.read(arrivedAt, message) })
		return
	}
	x.arrivedNS = 0
	if arrivedAt < x.w.now {
		x.arrivedNS = int64(arrivedAt) * int64(eventloop.Unit)
	}
	x.handle(message)
}

// handle runs an event and the timers that are due in a turn of the worker's event loop.
func (x *worker) handle(event func()) {
	if !x.alive {
		return
	}
	x.model.SetTime(x.w.now)
	event()
	x.timers.Fire(x.w.now)
	if due, any := x.timers.NextDue(); any && x.alive {
		x.w.events.Set(&x.timer, max(due, x.w.now), func(router.Time) { x.handle(func() {}) })
	}
}

// stop ends the worker: its connections are lost at once, and the roster removes it after its lag.
func (x *worker) stop() {
	if !x.alive {
		return
	}
	x.alive = false
	x.w.events.Stop(&x.timer)
	for _, l := range x.links {
		if l.worker == x {
			l.connectionLost()
		}
	}
	x.w.updateRoster(x.settings.Name, func(e *rosterEntry) {
		if e.worker == x { // else a new worker of this name has started
			e.state = router.Removed
		}
	})
}

// drain has the worker accept nothing new; the roster lists it as draining after its lag.
func (x *worker) drain() {
	x.handle(x.model.Drain)
	x.w.updateRoster(x.settings.Name, func(e *rosterEntry) {
		if e.worker == x {
			e.state = router.Draining
		}
	})
}

// Fetch implements standin.Environment.
func (x *worker) Fetch(_ string, usual router.Time, done func(ok bool)) {
	w := x.w
	if w.store == nil {
		w.after(usual, func() { x.handle(func() { done(true) }) })
		return
	}
	w.after(w.delay(), func() {
		w.store.Fetch(w.now, usual, func(ok bool) {
			w.after(w.delay(), func() { x.handle(func() { done(ok) }) })
		})
	})
}

// ClaimToken implements standin.Environment.
func (x *worker) ClaimToken(group, token string, window router.Time, done func(first, ok bool)) {
	w := x.w
	if w.store == nil {
		w.after(0, func() { x.handle(func() { done(true, true) }) })
		return
	}
	w.after(w.delay(), func() {
		first := w.store.ClaimToken(w.now, group+"\x00"+token, window)
		w.after(w.delay(), func() { x.handle(func() { done(first, true) }) })
	})
}

// RecordWork implements standin.Environment.
func (x *worker) RecordWork(j *standin.Job, span router.Time) {
	x.w.addRecord(record.Record{Kind: record.WorkDone, Source: x.settings.Name, RPC: j.Mark, DurationMS: float64(span) / 10})
}

// RecordEffect implements standin.Environment.
func (x *worker) RecordEffect(j *standin.Job, dropped bool) {
	kind := record.EffectApplied
	if dropped {
		kind = record.EffectDropped
	}
	x.w.addRecord(record.Record{Kind: kind, Source: x.settings.Name, RPC: j.Mark, Method: j.Method, Function: j.Function, Token: j.Token})
}

// ColdOverload implements standin.Environment.
func (x *worker) ColdOverload(sentMS, maxMS float64) {
	x.w.addRecord(record.Record{Kind: record.WorkerOverloaded, Source: x.settings.Name, WorkMS: sentMS, DurationMS: maxMS})
	x.w.after(0, x.stop)
}

func remove[T comparable](list []T, item T) []T {
	return slices.DeleteFunc(list, func(t T) bool { return t == item })
}

func sortedCallOutIDs(m map[engine.CallOutID]*callOut) []engine.CallOutID {
	out := make([]engine.CallOutID, 0, len(m))
	for id := range m {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

func sortAttempts(ts []*attempt) {
	number := func(t *attempt) (n, try int) {
		a, b, _ := strings.Cut(t.mark, "/")
		n, _ = strconv.Atoi(a)
		try, _ = strconv.Atoi(b)
		return n, try
	}
	slices.SortFunc(ts, func(a, b *attempt) int {
		n, i := number(a)
		m, j := number(b)
		return cmp.Or(cmp.Compare(n, m), cmp.Compare(i, j))
	})
}
