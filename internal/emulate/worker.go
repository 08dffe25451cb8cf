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

// look is the pace of a worker's housekeeping, as the stand-in's on sockets.
const look = 1000

// worker is one life of a worker: the stand-in's model on the world's clock. It is the model's World.
type worker struct {
	w      *world
	set    *settings.Worker
	model  *standin.Model
	timers eventloop.Timers
	wake   eventloop.Timer
	alive  bool
	links  []*link // of front ends, as they came
}

// begin starts a worker's life and has the roster tell of it.
func (w *world) begin(set *settings.Worker) *worker {
	x := &worker{w: w, set: set, alive: true}
	x.model = standin.NewModel(set, x, &x.timers, w.now)
	if w.workers[set.Name] == nil {
		w.order = append(w.order, set.Name)
	}
	w.workers[set.Name], w.byID[nameid.Worker(set.Name)] = x, x
	cold, started := 0.0, router.Time(0)
	if set.Cold {
		cold, started = float64(set.Rules.Cold)/10, w.now
	}
	w.keep(record.Record{Kind: record.WorkerStarted, Source: set.Name, Zone: set.Zone, Cell: set.Cell, ColdMS: cold, ColdFrom: set.Rules.ColdFrom,
		Cores: float64(set.Machine.Cores) * set.Machine.Speed})
	x.lookAgain()
	w.change(set.Name, func(m *member) { m.w, m.state, m.started = x, router.Ready, started })
	return x
}

func (x *worker) lookAgain() {
	x.w.after(min(x.set.Machine.ReportEvery, look), func() {
		if x.alive {
			x.do(x.model.Housekeep)
			x.w.looks++
			if why := x.model.OverCapacity(); why != "" && x.w.overfull == "" {
				x.w.overfull = x.set.Name + ": " + why
			}
			x.lookAgain()
		}
	})
}

// do has an event take place in a turn of the worker's.
func (x *worker) do(event func()) {
	if !x.alive {
		return
	}
	x.model.SetTime(x.w.now)
	event()
	x.timers.Fire(x.w.now)
	if due, any := x.timers.NextDue(); any && x.alive {
		x.w.events.Set(&x.wake, max(due, x.w.now), func(router.Time) { x.do(func() {}) })
	}
}

// die ends its life: connections break, and the roster tells after its lag.
func (x *worker) die() {
	if !x.alive {
		return
	}
	x.alive = false
	x.w.events.Stop(&x.wake)
	for _, l := range x.links {
		if l.worker == x {
			l.broke()
		}
	}
	x.w.change(x.set.Name, func(m *member) {
		if m.w == x { // else a new life has begun
			m.state = router.Gone
		}
	})
}

// drain has it take nothing new; the roster tells after its lag.
func (x *worker) drain() {
	x.do(x.model.Drain)
	x.w.change(x.set.Name, func(m *member) {
		if m.w == x {
			m.state = router.Draining
		}
	})
}

// Fetch implements standin.World.
func (x *worker) Fetch(_ string, usual router.Time, done func(ok bool)) {
	w := x.w
	if w.shelf == nil {
		w.after(usual, func() { x.do(func() { done(true) }) })
		return
	}
	w.after(w.delay(), func() {
		w.shelf.Fetch(w.now, usual, func(ok bool) {
			w.after(w.delay(), func() { x.do(func() { done(ok) }) })
		})
	})
}

// ClaimToken implements standin.World.
func (x *worker) ClaimToken(group, token string, window router.Time, done func(first, ok bool)) {
	w := x.w
	if w.shelf == nil {
		w.after(0, func() { x.do(func() { done(true, true) }) })
		return
	}
	w.after(w.delay(), func() {
		first := w.shelf.ClaimToken(w.now, group+"\x00"+token, window)
		w.after(w.delay(), func() { x.do(func() { done(first, true) }) })
	})
}

// RecordWork implements standin.World.
func (x *worker) RecordWork(j *standin.Job, span router.Time) {
	x.w.keep(record.Record{Kind: record.WorkDone, Source: x.set.Name, RPC: j.Mark, DurationMS: float64(span) / 10})
}

// RecordEffect implements standin.World.
func (x *worker) RecordEffect(j *standin.Job, dropped bool) {
	kind := record.EffectApplied
	if dropped {
		kind = record.EffectDropped
	}
	x.w.keep(record.Record{Kind: kind, Source: x.set.Name, RPC: j.Mark, Method: j.Method, Function: j.Function, Token: j.Token})
}

// ColdOverload implements standin.World.
func (x *worker) ColdOverload(pushed, could float64) {
	x.w.keep(record.Record{Kind: record.WorkerOverloaded, Source: x.set.Name, WorkMS: pushed, DurationMS: could})
	x.w.after(0, x.die)
}

func without[T comparable](list []T, item T) []T {
	return slices.DeleteFunc(list, func(t T) bool { return t == item })
}

func sortedKeys(m map[engine.CallOutID]*flight) []engine.CallOutID {
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
