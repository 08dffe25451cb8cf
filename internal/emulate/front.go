package emulate

import (
	"fmt"

	"mallowlanding/internal/admission"
	"mallowlanding/internal/dispatch"
	"mallowlanding/internal/engine"
	"mallowlanding/internal/eventloop"
	"mallowlanding/internal/nameid"
	"mallowlanding/internal/record"
	"mallowlanding/internal/settings"
	"mallowlanding/internal/standin"
	"mallowlanding/internal/workerlink"
	"mallowlanding/router"
)

// Pauses between attempts to reach a worker, and how long one to a worker that says nothing takes: a front end's defaults.
const (
	redialMin = 200
	redialMax = 10000
)

// frontEnd is one front end: the engine and the desk that a process has, on links of the world's.
type frontEnd struct {
	w       *world
	i       int
	life    int // rises with each death: what was on its way to a former life is lost
	alive   bool
	diedAt  router.Time // 0: it lives, as far as clients know
	e       *engine.Engine
	desk    *dispatch.Dispatcher
	methods map[string]int
	set     *settings.FrontEnd // as it is now
	links   map[string]*link
	pool    []*dispatch.Conn
	wake    eventloop.Timer
	closed  bool // it leaves, and no more can be sent to it
	stalled bool
	inbox   []func()          // came while it stood still
	open    map[*attempt]bool // whose clients wait
	ahead   router.Time       // its clock runs ahead by so much
}

func (f *frontEnd) name() string { return fmt.Sprintf("front-%d", f.i) }

// begin starts a life.
func (f *frontEnd) begin() {
	if f.alive { // another trouble has brought it back
		return
	}
	w := f.w
	f.alive, f.closed, f.diedAt, f.stalled, f.inbox = true, false, 0, false, nil
	f.links, f.open, f.pool, f.methods = map[string]*link{}, map[*attempt]bool{}, nil, map[string]int{}
	set := &settings.FrontEnd{Number: f.i, Of: w.s.Fleet.FrontEnds, Zone: w.s.ZoneOf(f.i), Service: w.s.Service,
		Clients: settings.DefaultClients()}
	f.set = set
	own := &set.Clients
	own.Open = 100000 // as rehearsals have it
	f.e = engine.New(engine.Options{Settings: set.RouterSettings(), Seed: w.s.Seed + int64(f.i), Now: f.now(), AnswerMargin: own.Margin,
		CancelWait: own.CallOff, Log: func(string) {}, NewRouter: w.module})
	methods := w.s.Service.EngineMethods()
	for i, m := range methods {
		f.methods[m.Name] = i
	}
	f.desk = dispatch.New(f.e, dispatch.Options{Methods: methods, Customers: w.s.Service.CustomerNames(), FunctionSpec: w.s.Service.FunctionFor(),
		AnswerMargin: own.Margin, Limits: f.set.LimitSettings()})
	w.keep(record.Record{Kind: record.ProcessStarted, Source: "world", FrontEnd: f.name()})
	life := f.life
	w.after(w.delay(), func() {
		if f.life == life && f.alive {
			f.told(router.ListComplete, w.listed)
		}
	})
}

// renew takes a configuration, as a front end's shell does; in a turn.
func (f *frontEnd) renew(conf *settings.Configuration) {
	next := *f.set
	next.Service = *conf.AlignService(&f.set.Service)
	next.Clients.ApplyLimits(conf.Limits)
	f.set = &next
	methods := next.Service.EngineMethods()
	module := next.RouterSettings()
	f.e.UpdateSettings(module, router.ParseSettings(module), methods)
	f.desk.UpdateSettings(dispatch.NewService(methods, next.Service.CustomerNames(), next.Service.FunctionFor()), f.set.LimitSettings())
}

// now is its own clock.
func (f *frontEnd) now() router.Time { return f.w.now + f.ahead }

// die ends a life without a word: clients' and workers' connections break.
func (f *frontEnd) die() {
	w := f.w
	w.keep(record.Record{Kind: record.ProcessEnded, Source: "world", FrontEnd: f.name()})
	f.alive, f.diedAt = false, w.now
	f.life++
	w.events.Stop(&f.wake)
	for _, t := range f.waiting() {
		w.after(w.delay(), t.broke)
	}
	f.open = nil
	for _, l := range f.links {
		l.worker = nil // nothing comes back
	}
}

// waiting are the attempts whose clients wait, in the order in which they were sent.
func (f *frontEnd) waiting() []*attempt {
	out := make([]*attempt, 0, len(f.open))
	for t := range f.open {
		out = append(out, t)
	}
	sortAttempts(out)
	return out
}

// conn gives a client's connection.
func (f *frontEnd) conn(n int, own bool) *dispatch.Conn {
	if own {
		return f.desk.OpenConn(admission.PeerID(0))
	}
	for len(f.pool) < max(f.w.s.Clients.Connections, 1) {
		f.pool = append(f.pool, f.desk.OpenConn(admission.PeerID(0)))
	}
	return f.pool[n%len(f.pool)]
}

// do has an event take place in a turn, unless that life is over; one that stands still takes it when it goes on.
func (f *frontEnd) do(life int, event func()) {
	switch {
	case f.life != life || !f.alive:
	case f.stalled:
		f.inbox = append(f.inbox, event)
	default:
		f.turn(event)
	}
}

// turn is one turn of its loop.
func (f *frontEnd) turn(events ...func()) {
	f.desk.BeginTurn(f.now())
	f.e.BeginTurn(f.now())
	for _, event := range events {
		event()
	}
	f.desk.Admit()
	f.e.EndTurn()
	due, any := f.e.NextDue()
	if d, is := f.desk.NextDue(); is && (!any || d < due) {
		due, any = d, true
	}
	if any {
		life := f.life
		f.w.events.Set(&f.wake, max(due-f.ahead, f.w.now), func(router.Time) { f.do(life, func() {}) })
	}
}

// stall has it stand still for a time; all that came is there when it goes on.
func (f *frontEnd) stall(span router.Time) {
	w, life := f.w, f.life
	if !f.alive || f.stalled {
		return
	}
	f.stalled = true
	w.keep(record.Record{Kind: record.ProcessPaused, Source: "world", FrontEnd: f.name()})
	w.after(span, func() {
		if f.life != life {
			return
		}
		f.stalled = false
		w.keep(record.Record{Kind: record.ProcessResumed, Source: "world", FrontEnd: f.name()})
		events := f.inbox
		f.inbox = nil
		f.turn(events...)
	})
}

// told brings the roster's list or changes of it.
func (f *frontEnd) told(form router.ListUpdate, names []string) {
	w := f.w
	if !f.alive {
		return
	}
	type entry struct {
		name string
		m    member
	}
	var entries []entry
	for _, name := range names {
		if m := w.members[name]; form != router.ListComplete || m.state != router.Gone {
			entries = append(entries, entry{name, *m})
			w.keep(record.Record{Kind: record.StateSent, Source: "roster", FrontEnd: f.name(), Worker: name,
				State: map[router.Readiness]string{router.Gone: "gone", router.Ready: "ready", router.Draining: "draining"}[m.state]})
		}
	}
	version := w.version
	w.after(w.delay(), func() {
		f.do(f.life, func() {
			f.e.BeginWorkerList(form, version)
			for _, e := range entries {
				s, started := &w.s.Service, e.m.started
				if started > 0 { // by its own clock
					started += f.ahead
				}
				if f.e.AddListedWorker(e.name, e.m.state, started, s.ZoneID(e.m.w.set.Zone), s.CellID(e.m.w.set.Cell), s.KindID(e.m.w.set.Kind)) != nil {
					continue
				}
				f.want(e.name, e.m)
			}
			f.e.EndWorkerList()
		})
	})
}

// want keeps a link up to a worker, or drops it.
func (f *frontEnd) want(name string, m member) {
	l := f.links[name]
	if m.state == router.Gone {
		if l != nil {
			l.wanted = false
		}
		return
	}
	if l == nil {
		l = &link{f: f, name: name, id: nameid.Worker(name), out: map[engine.CallOutID]*flight{}}
		f.links[name] = l
	}
	if l.wanted = true; l.worker == nil && !l.dialing {
		l.dial(redialMin)
	}
}

// link is a front end's connection to a worker. It is the engine's Link.
type link struct {
	f       *frontEnd
	name    string
	id      router.WorkerID
	wanted  bool
	dialing bool
	worker  *worker // nil: it is down
	round   int     // rises with each connection: what was on a former one is lost
	out     map[engine.CallOutID]*flight
	orders  []engine.OrderID
	checks  []engine.CheckID
	to      way // messages of one connection keep their order
	from    way
}

// flight is a call-out on its way or at the worker.
type flight struct {
	job *standin.Job // nil: it has not come there
}

// dial connects, now or later.
func (l *link) dial(pause router.Time) {
	f, w := l.f, l.f.w
	life := f.life
	l.dialing = true
	w.after(w.delay()+w.delay(), func() {
		f.do(life, func() {
			x := w.workers[l.name]
			if x == nil || !x.alive || !l.wanted {
				if !l.wanted {
					l.dialing = false
					return
				}
				w.after(pause, func() {
					if f.life == life && l.dialing {
						l.dial(min(2*pause, redialMax))
					}
				})
				return
			}
			l.dialing, l.worker = false, x
			l.round++
			x.links = append(x.links, l)
			f.e.SetLink(l.name, l)
		})
	})
}

// broke: the worker closed, or died. What is out may have run.
func (l *link) broke() {
	f, w, round := l.f, l.f.w, l.round
	life := f.life
	w.after(w.delay(), func() {
		f.do(life, func() {
			if l.round != round || l.worker == nil {
				return
			}
			l.worker = nil
			f.e.SetLink(l.name, nil)
			for _, id := range sortedKeys(l.out) {
				f.e.CallOutEnded(id, l.id, router.Reset, router.WarmthUnknown, 0, nil, []byte("connection lost"), nil)
			}
			for _, id := range l.orders {
				f.e.LoadOrderEnded(id, router.Reset, 0)
			}
			for _, id := range l.checks {
				f.e.CheckEnded(id, router.Reset, nil)
			}
			clear(l.out)
			l.orders, l.checks = nil, nil
			if l.wanted {
				l.dial(redialMin)
			}
		})
	})
}

// there has something happen at the worker, a delay later, if the connection still stands then.
func (l *link) there(do func(x *worker)) {
	w, x, round := l.f.w, l.worker, l.round
	if x == nil || w.lost(l.f, x, toWorker) {
		return
	}
	w.at(l.to.arrival(w), func() {
		if x.alive && l.round == round {
			x.do(func() { do(x) })
		}
	})
}

// back has something happen at the front end, likewise.
func (l *link) back(x *worker, do func()) {
	w, f, round := l.f.w, l.f, l.round
	life := f.life
	if w.lost(f, x, toFront) {
		return
	}
	w.at(l.from.arrival(w), func() {
		f.do(life, func() {
			if l.round == round && l.worker == x {
				do()
			}
		})
	})
}

// Send implements engine.Link.
func (l *link) Send(id engine.CallOutID, p *engine.RPC, left, _ router.Time) {
	w, fl, name := l.f.w, &flight{}, l.f.name()
	l.out[id] = fl
	j := &standin.Job{Method: p.Method.Name, Function: p.Function, Token: p.Token, Mark: string(p.Payload), Deadline: w.now + left,
		Memory: p.Spec.MemoryMB, Lanes: p.Spec.Lanes, LoadTime: p.Spec.LoadTime}
	l.there(func(x *worker) {
		fl.job = j
		r := record.Record{Kind: record.RequestReceived, Source: x.set.Name, FrontEnd: name, RPC: j.Mark, Method: j.Method, Function: j.Function,
			Token: j.Token}
		for i := range x.set.Work {
			if x.set.Work[i].Method == j.Method {
				r.WorkMS = float64(x.set.Work[i].Mean) / 10
			}
		}
		w.keep(r)
		j.Done = func(a standin.Response) {
			w.keep(record.Record{Kind: record.RequestEnded, Source: x.set.Name, FrontEnd: name, RPC: j.Mark, N: a.Code})
			report := append([]float64(nil), x.model.Report()...)
			l.back(x, func() {
				if _, out := l.out[id]; !out {
					return
				}
				delete(l.out, id)
				l.f.e.CallOutEnded(id, l.id, workerlink.OutcomeOf(a.Code), workerlink.ParseWarmth(a.Warmth), a.RPCsAtCopies, report, []byte(a.Message), nil)
			})
		}
		x.model.Submit(j)
	})
}

// CancelCallOut implements engine.Link.
func (l *link) CancelCallOut(id engine.CallOutID) {
	fl := l.out[id]
	if fl == nil {
		return
	}
	l.there(func(x *worker) {
		if fl.job != nil {
			x.model.Cancel(fl.job)
		}
	})
}

// CancelLoadOrder implements engine.Link.
func (l *link) CancelLoadOrder(id engine.OrderID) {
	l.there(func(x *worker) { x.model.CancelLoad(orderAt{l, id}) })
}

// orderAt names an order at a worker.
type orderAt struct {
	l  *link
	id engine.OrderID
}

// OrderLoad implements engine.Link.
func (l *link) OrderLoad(id engine.OrderID, function string, fn engine.FunctionSpec, copies int, _ router.Time) {
	w, name := l.f.w, l.f.name()
	l.orders = append(l.orders, id)
	l.there(func(x *worker) {
		if copies > 0 {
			w.keep(record.Record{Kind: record.LoadOrdered, Source: x.set.Name, FrontEnd: name, Function: function, N: copies})
		}
		x.model.OrderLoad(orderAt{l, id}, function, copies, fn.MemoryMB, fn.Lanes, fn.LoadTime, func(code, stand int) {
			l.back(x, func() {
				l.orders = without(l.orders, id)
				l.f.e.LoadOrderEnded(id, workerlink.OutcomeOf(code), stand)
			})
		})
	})
}

// Check implements engine.Link.
func (l *link) Check(id engine.CheckID) {
	l.checks = append(l.checks, id)
	l.there(func(x *worker) {
		if x.model.Hanging() {
			return
		}
		report := append([]float64(nil), x.model.Report()...)
		l.back(x, func() {
			l.checks = without(l.checks, id)
			l.f.e.CheckEnded(id, router.OK, report)
		})
	})
}
