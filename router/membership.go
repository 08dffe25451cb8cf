package router

import (
	"cmp"
	"math"
	"slices"
)

// This file decides the list of workers, and settings that change.

// takeSettings takes methods and customers over, and keeps what was learned of those known before.
func (r *Router) takeSettings(p ParsedSettings) {
	r.set, r.zone = p.set, ZoneID(p.set.num("zone", 0))
	for i, was := range r.methods {
		m := p.methods[i]
		m.work, m.cost, m.most = was.work, was.cost, was.most
		was.effect, was.group, was.window = StricterEffect(was.effect, was.group, was.window, m.effect, m.group, m.window)
	}
	r.methods = p.methods
	r.timeList()
	for i, quota := range p.quotas {
		if i == len(r.customers) {
			r.customers = append(r.customers, &customer{tokens: quota * float64(sec), at: r.now})
		}
		r.customers[i].quota = quota
	}
}

// StricterEffect is what binds an RPC that was taken before its method's settings changed: nothing is promised to
// it that either does not promise. Where the effect became graver it may lack the token: it never runs twice.
func StricterEffect(effect, group string, window Time, effect2, group2 string, window2 Time) (_, _ string, _ Time) {
	effects, groups := []string{Idempotent, Tokened, SideEffecting}, []string{"all", "zone", "cell"}
	if slices.Index(effects, effect2) > slices.Index(effects, effect) {
		return SideEffecting, "", 0
	} else if effect == Tokened && effect2 == Tokened {
		group = groups[max(slices.Index(groups, group), slices.Index(groups, group2))]
		return effect, group, min(window, window2)
	}
	return effect, group, window
}

// UpdateSettings takes new settings between two turns. Methods, customers, zones and kinds keep their places, new ones
// follow. What was learned stays; where a rule looks further back now, what is forgotten counts as used up.
func (r *Router) UpdateSettings(now Time, p ParsedSettings) {
	s := p.set
	r.now, r.dirty = now, true
	orders, fall := r.set.span("functions.load-window", 0), r.set.span("rules.fall", sec)
	warm, all := slices.DeleteFunc(slices.Clone(r.list), r.cold), r.frontEnds()
	r.takeSettings(p)
	r.rescale(all)
	if s.span("functions.load-window", 0) > orders {
		for range int(s.num("functions.load-free", 0)) {
			r.orders = append(r.orders, now)
		}
	}
	for _, w := range r.list {
		if r.cold(w) && (s.span("rules.fall", sec) > fall || slices.Contains(warm, w)) {
			w.sent = append(w.sent, callOut{at: now, cost: math.Inf(1)})
		}
	}
}

// rescale starts afresh what means something else now: our part of the fleet where front ends were added
// or left, and what is told no more. What warm workers do for us only shrinks: rule four rests on that.
func (r *Router) rescale(before float64) {
	part := before / r.frontEnds()
	if part != 1 {
		r.loadLimit, r.loadShare, r.tokens = r.loadLimit*part, r.loadShare*part, min(r.tokens, 1)
		r.fleetFactor = factorMost / 2.
		for kind := range r.warmWork {
			r.warmWork[kind] *= min(part, 1)
		}
	}
	for _, w := range r.list {
		w.served *= min(part, 1)
		if r.set.num("report.values.util", -1) < 0 {
			w.util = 0
		}
		if r.set.num("report.values.pinned", -1) < 0 {
			w.pinned = 0
		}
		if r.set["functions.tells-crowd"] == false {
			for _, in := range w.holds {
				in.others = 0
			}
		}
	}
}

// BeginWorkerList, Listed and ListEnds bring the list of workers, or its changes.
func (r *Router) BeginWorkerList(now Time, form ListUpdate, _ uint64) {
	r.now, r.dirty = now, true
	if form == ListFailed {
		r.port.SetTimer(sec, listenAgain)
	}
	for _, w := range r.list {
		w.listed = form == ListChanges || form == ListFailed
	}
}

// AddListedWorker is one entry of the list.
func (r *Router) AddListedWorker(now Time, id WorkerID, state Readiness, started Time, zone ZoneID, cell CellID,
	kind KindID, _ float64) {
	w := r.workers[id]
	if w == nil {
		w = &worker{id: id, started: started, known: started > 0, slow: 1, provenAt: never, passedAt: never,
			holds: map[FunctionID]*instance{}}
		r.workers[id], r.list = w, append(r.list, w)
		slices.SortFunc(r.list, func(a, b *worker) int { return cmp.Compare(a.id, b.id) })
	} else if started > w.started {
		w.restart(started)
		w.ill, w.trial = "", false
	}
	w.listed, w.zone, w.cell, w.kind = true, zone, cell, kind
	w.become(state)
}

// become takes over a state from the list: what drains or is gone holds nothing for us.
func (w *worker) become(state Readiness) {
	if w.state = state; state != Ready {
		clear(w.holds)
	}
}

// EndWorkerList closes the list: what a whole list leaves out is gone.
func (r *Router) EndWorkerList(now Time) {
	for _, w := range r.list {
		if !w.listed {
			w.become(Gone)
		}
	}
	r.count()
	ready := 0.0
	for _, w := range r.list {
		if w.state == Ready {
			ready++
		}
	}
	// two loads a worker; a fleet that comes one worker after the other has its room grow with it
	if grown := 2*ready/r.frontEnds() - r.loadShare; grown > 0 {
		r.loadLimit, r.loadShare, r.tokens = r.loadLimit+grown, r.loadShare+grown, max(r.tokens+grown, 1)
	}
}
