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

// Bounds of the pause between attempts to connect to a worker, in tenths of a millisecond: the defaults of a front end.
const (
	redialMin = 200
	redialMax = 10000
)

// frontEnd is one front end: the engine and the dispatcher of a real process, with simulated links to workers.
type frontEnd struct {
	w             *world
	index         int
	life          int // increases with each stop: messages to an earlier life are lost
	alive         bool
	diedAt        router.Time // 0: alive, as far as clients know
	engine        *engine.Engine
	dispatcher    *dispatch.Dispatcher
	methods       map[string]int
	settings      *settings.FrontEnd // in force
	links         map[string]*link
	sharedConns   []*dispatch.Conn
	timer         eventloop.Timer
	closed        bool // it has drained: nothing more can be sent to it
	stalled       bool
	stalledEvents []func()          // arrived while it was stalled
	openAttempts  map[*attempt]bool // attempts whose clients wait
	clockOffset   router.Time       // how far its clock is ahead of the world's
}

func (f *frontEnd) name() string { return fmt.Sprintf("front-%d", f.index) }

// start starts the front end with a new engine and dispatcher.
func (f *frontEnd) start() {
	if f.alive { // another trouble has restarted it
		return
	}
	w := f.w
	f.alive, f.closed, f.diedAt, f.stalled, f.stalledEvents = true, false, 0, false, nil
	f.links, f.openAttempts, f.sharedConns, f.methods = map[string]*link{}, map[*attempt]bool{}, nil, map[string]int{}
	cfg := &settings.FrontEnd{Number: f.index, FrontEnds: w.scenario.Fleet.FrontEnds, Zone: w.scenario.ZoneOf(f.index), Service: w.scenario.Service,
		Clients: settings.DefaultClients()}
	f.settings = cfg
	clients := &cfg.Clients
	clients.ConnOpen = 100000 // as in rehearsals
	f.engine = engine.New(engine.Options{Settings: cfg.RouterSettings(), Seed: w.scenario.Seed + int64(f.index), Now: f.now(), AnswerMargin: clients.AnswerMargin,
		CancelWait: clients.CancelWait, Log: func(string) {}, NewRouter: w.newRouter})
	methods := w.scenario.Service.EngineMethods()
	for i, m := range methods {
		f.methods[m.Name] = i
	}
	f.dispatcher = dispatch.New(f.engine, dispatch.Options{Methods: methods, Customers: w.scenario.Service.CustomerNames(), FunctionSpec: w.scenario.Service.FunctionSpecs(),
		AnswerMargin: clients.AnswerMargin, Limits: f.settings.LimitSettings()})
	w.addRecord(record.Record{Kind: record.ProcessStarted, Source: "world", FrontEnd: f.name()})
	life := f.life
	w.after(w.delay(), func() {
		if f.life == life && f.alive {
			f.notifyList(router.ListComplete, w.rosterNames)
		}
	})
}

// updateSettings applies a configuration as a front end's process does. It runs inside a turn of the event loop.
func (f *frontEnd) updateSettings(conf *settings.Configuration) {
	next := *f.settings
	next.Service = *conf.AlignService(&f.settings.Service)
	next.Clients.ApplyLimits(conf.Limits)
	f.settings = &next
	methods := next.Service.EngineMethods()
	routerSettings := next.RouterSettings()
	f.engine.UpdateSettings(routerSettings, router.ParseSettings(routerSettings), methods)
	f.dispatcher.UpdateSettings(dispatch.NewService(methods, next.Service.CustomerNames(), next.Service.FunctionSpecs()), f.settings.LimitSettings())
}

// now returns the time by the front end's own clock.
func (f *frontEnd) now() router.Time { return f.w.now + f.clockOffset }

// stop ends the front end without notice: the connections of clients and workers are lost.
func (f *frontEnd) stop() {
	w := f.w
	w.addRecord(record.Record{Kind: record.ProcessEnded, Source: "world", FrontEnd: f.name()})
	f.alive, f.diedAt = false, w.now
	f.life++
	w.events.Stop(&f.timer)
	for _, t := range f.pendingAttempts() {
		w.after(w.delay(), t.connectionLost)
	}
	f.openAttempts = nil
	for _, l := range f.links {
		l.worker = nil // no response reaches the front end
	}
}

// pendingAttempts returns the attempts whose clients wait, in the order in which they were sent.
func (f *frontEnd) pendingAttempts() []*attempt {
	out := make([]*attempt, 0, len(f.openAttempts))
	for t := range f.openAttempts {
		out = append(out, t)
	}
	sortAttempts(out)
	return out
}

// clientConn returns the connection of the client of RPC n: a new one if it is dedicated, else one of the shared ones.
func (f *frontEnd) clientConn(n int, dedicated bool) *dispatch.Conn {
	if dedicated {
		return f.dispatcher.OpenConn(admission.PeerID(0))
	}
	for len(f.sharedConns) < max(f.w.scenario.Callers.Connections, 1) {
		f.sharedConns = append(f.sharedConns, f.dispatcher.OpenConn(admission.PeerID(0)))
	}
	return f.sharedConns[n%len(f.sharedConns)]
}

// handle runs an event in a turn of the event loop, unless the given life is over. A stalled front end handles the
// event when it resumes.
func (f *frontEnd) handle(life int, event func()) {
	switch {
	case f.life != life || !f.alive:
	case f.stalled:
		f.stalledEvents = append(f.stalledEvents, event)
	default:
		f.runTurn(event)
	}
}

// runTurn runs one turn of the event loop.
func (f *frontEnd) runTurn(events ...func()) {
	f.dispatcher.BeginTurn(f.now())
	f.engine.BeginTurn(f.now())
	for _, event := range events {
		event()
	}
	f.dispatcher.Admit()
	f.engine.EndTurn()
	due, any := f.engine.NextDue()
	if d, is := f.dispatcher.NextDue(); is && (!any || d < due) {
		due, any = d, true
	}
	if any {
		life := f.life
		f.w.events.Set(&f.timer, max(due-f.clockOffset, f.w.now), func(router.Time) { f.handle(life, func() {}) })
	}
}

// stall suspends the front end for a time; it handles the events that arrived meanwhile in one turn when it resumes.
func (f *frontEnd) stall(span router.Time) {
	w, life := f.w, f.life
	if !f.alive || f.stalled {
		return
	}
	f.stalled = true
	w.addRecord(record.Record{Kind: record.ProcessPaused, Source: "world", FrontEnd: f.name()})
	w.after(span, func() {
		if f.life != life {
			return
		}
		f.stalled = false
		w.addRecord(record.Record{Kind: record.ProcessResumed, Source: "world", FrontEnd: f.name()})
		events := f.stalledEvents
		f.stalledEvents = nil
		f.runTurn(events...)
	})
}

// notifyList delivers the roster's worker list, or changes of it, to the front end.
func (f *frontEnd) notifyList(update router.ListUpdate, names []string) {
	w := f.w
	if !f.alive {
		return
	}
	type entry struct {
		name   string
		listed rosterEntry
	}
	var entries []entry
	for _, name := range names {
		if listed := w.roster[name]; update != router.ListComplete || listed.state != router.Removed {
			entries = append(entries, entry{name, *listed})
			w.addRecord(record.Record{Kind: record.StateSent, Source: "roster", FrontEnd: f.name(), Worker: name,
				State: map[router.Readiness]string{router.Removed: "gone", router.Ready: "ready", router.Draining: "draining"}[listed.state]})
		}
	}
	version := w.rosterVersion
	w.after(w.delay(), func() {
		f.handle(f.life, func() {
			f.engine.BeginWorkerList(update, version)
			for _, e := range entries {
				s, started := &w.scenario.Service, e.listed.started
				if started > 0 { // convert to the front end's clock
					started += f.clockOffset
				}
				if f.engine.AddListedWorker(e.name, e.listed.state, started, s.ZoneID(e.listed.worker.settings.Zone), s.CellID(e.listed.worker.settings.Cell), s.KindID(e.listed.worker.settings.Kind)) != nil {
					continue
				}
				f.updateLink(e.name, e.listed)
			}
			f.engine.EndWorkerList()
		})
	})
}

// updateLink connects to a listed worker, or marks the link to a removed one as unwanted.
func (f *frontEnd) updateLink(name string, listed rosterEntry) {
	l := f.links[name]
	if listed.state == router.Removed {
		if l != nil {
			l.wanted = false
		}
		return
	}
	if l == nil {
		l = &link{frontEnd: f, name: name, id: nameid.Worker(name), callOuts: map[engine.CallOutID]*callOut{}}
		f.links[name] = l
	}
	if l.wanted = true; l.worker == nil && !l.dialing {
		l.dial(redialMin)
	}
}

// link is a front end's connection to a worker. It implements engine.Link.
type link struct {
	frontEnd   *frontEnd
	name       string
	id         router.WorkerID
	wanted     bool
	dialing    bool
	worker     *worker // nil: not connected
	generation int     // increases with each connection: messages of earlier ones are lost
	callOuts   map[engine.CallOutID]*callOut
	orders     []engine.OrderID
	checks     []engine.CheckID
	toWorker   orderedPath // messages of one connection stay in order
	fromWorker orderedPath
}

// callOut is a call-out that is in flight.
type callOut struct {
	job *standin.Job // nil: it has not reached the worker
}

// dial connects to the worker. While the worker is down it retries, with a pause that doubles up to redialMax.
func (l *link) dial(pause router.Time) {
	f, w := l.frontEnd, l.frontEnd.w
	life := f.life
	l.dialing = true
	w.after(w.delay()+w.delay(), func() {
		f.handle(life, func() {
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
			l.generation++
			x.links = append(x.links, l)
			f.engine.SetLink(l.name, l)
		})
	})
}

// connectionLost handles the end of the connection: the worker closed it or stopped. RPCs in flight may have run.
func (l *link) connectionLost() {
	f, w, generation := l.frontEnd, l.frontEnd.w, l.generation
	life := f.life
	w.after(w.delay(), func() {
		f.handle(life, func() {
			if l.generation != generation || l.worker == nil {
				return
			}
			l.worker = nil
			f.engine.SetLink(l.name, nil)
			for _, id := range sortedCallOutIDs(l.callOuts) {
				f.engine.CallOutEnded(id, l.id, router.Reset, router.WarmthUnknown, 0, nil, []byte("connection lost"), nil)
			}
			for _, id := range l.orders {
				f.engine.LoadOrderEnded(id, router.Reset, 0)
			}
			for _, id := range l.checks {
				f.engine.CheckEnded(id, router.Reset, nil)
			}
			clear(l.callOuts)
			l.orders, l.checks = nil, nil
			if l.wanted {
				l.dial(redialMin)
			}
		})
	})
}

// atWorker runs an event at the worker after a network delay, if the connection is still up then.
func (l *link) atWorker(do func(x *worker)) {
	w, x, generation := l.frontEnd.w, l.worker, l.generation
	if x == nil || w.isMessageLost(l.frontEnd, x, toWorker) {
		return
	}
	w.at(l.toWorker.deliveryTime(w), func() {
		x.read(w.now, func() {
			if l.generation == generation {
				do(x)
			}
		})
	})
}

// atFrontEnd runs an event at the front end after a network delay, if the connection is still up then.
func (l *link) atFrontEnd(x *worker, do func()) {
	w, f, generation := l.frontEnd.w, l.frontEnd, l.generation
	life := f.life
	if w.isMessageLost(f, x, toFrontEnd) {
		return
	}
	w.at(l.fromWorker.deliveryTime(w), func() {
		f.handle(life, func() {
			if l.generation == generation && l.worker == x {
				do()
			}
		})
	})
}

// Send implements engine.Link.
func (l *link) Send(id engine.CallOutID, p *engine.RPC, left, _ router.Time) {
	w, sent, name := l.frontEnd.w, &callOut{}, l.frontEnd.name()
	l.callOuts[id] = sent
	j := &standin.Job{Method: p.Method.Name, Function: p.Function, Token: p.Token, Mark: string(p.Payload), Deadline: w.now + left,
		Memory: p.Spec.MemoryMB, Lanes: p.Spec.Lanes, LoadTime: p.Spec.LoadTime}
	l.atWorker(func(x *worker) {
		if sent.job = j; x.arrivedNS > 0 { // the worker counts the time left from when it reads the request
			j.Deadline = w.now + left
		}
		r := record.Record{Kind: record.RequestReceived, Source: x.settings.Name, FrontEnd: name, RPC: j.Mark, Method: j.Method, Function: j.Function,
			Token: j.Token, ArrivedNS: x.arrivedNS}
		for i := range x.settings.Work {
			if x.settings.Work[i].Method == j.Method {
				r.WorkMS = float64(x.settings.Work[i].Mean) / 10
			}
		}
		w.addRecord(r)
		j.Done = func(a standin.Response) {
			w.addRecord(record.Record{Kind: record.RequestEnded, Source: x.settings.Name, FrontEnd: name, RPC: j.Mark, N: a.Code})
			report := append([]float64(nil), x.model.Report()...)
			l.atFrontEnd(x, func() {
				if _, out := l.callOuts[id]; !out {
					return
				}
				delete(l.callOuts, id)
				l.frontEnd.engine.CallOutEnded(id, l.id, workerlink.OutcomeOf(a.Code), workerlink.ParseWarmth(a.Warmth), a.RPCsAtCopies, report, []byte(a.Message), nil)
			})
		}
		x.model.Submit(j)
	})
}

// CancelCallOut implements engine.Link. Every call-out is sent at once.
func (l *link) CancelCallOut(id engine.CallOutID) (neverSent bool) {
	sent := l.callOuts[id]
	if sent == nil {
		return false
	}
	l.atWorker(func(x *worker) {
		if sent.job != nil {
			x.model.Cancel(sent.job)
		}
	})
	return false
}

// CancelLoadOrder implements engine.Link.
func (l *link) CancelLoadOrder(id engine.OrderID) {
	l.atWorker(func(x *worker) { x.model.CancelLoad(orderKey{l, id}) })
}

// orderKey identifies a load order at a worker: order IDs are unique within one front end only.
type orderKey struct {
	link *link
	id   engine.OrderID
}

// OrderLoad implements engine.Link.
func (l *link) OrderLoad(id engine.OrderID, function string, fn engine.FunctionSpec, copies int, _ router.Time) {
	w, name := l.frontEnd.w, l.frontEnd.name()
	l.orders = append(l.orders, id)
	l.atWorker(func(x *worker) {
		if copies > 0 {
			w.addRecord(record.Record{Kind: record.LoadOrdered, Source: x.settings.Name, FrontEnd: name, Function: function, N: copies, ArrivedNS: x.arrivedNS})
		}
		x.model.OrderLoad(orderKey{l, id}, function, copies, fn.MemoryMB, fn.Lanes, fn.LoadTime, func(code, loaded int) {
			l.atFrontEnd(x, func() {
				l.orders = remove(l.orders, id)
				l.frontEnd.engine.LoadOrderEnded(id, workerlink.OutcomeOf(code), loaded)
			})
		})
	})
}

// Check implements engine.Link.
func (l *link) Check(id engine.CheckID) {
	l.checks = append(l.checks, id)
	l.atWorker(func(x *worker) {
		if x.model.Hanging() {
			return
		}
		report := append([]float64(nil), x.model.Report()...)
		l.atFrontEnd(x, func() {
			l.checks = remove(l.checks, id)
			l.frontEnd.engine.CheckEnded(id, router.OK, report)
		})
	})
}
