// Package dispatch is the part of the clients' side that no protocol has to do with: the gate before the engine, repeats
// that join, cancelling, time that runs out, and who is owed an answer. Each protocol's front decodes what its clients
// ask for, takes it here, and encodes the one answer.
package dispatch

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"sync/atomic"

	"mallowlanding/internal/admission"
	"mallowlanding/internal/dedup"
	"mallowlanding/internal/engine"
	"mallowlanding/internal/eventloop"
	"mallowlanding/router"
)

// Responder is where an RPC's answer goes; exactly one of its methods is called, once, unless its connection leaves.
type Responder interface {
	OK(result, blob []byte)                      // blob: bytes beside the result, where the RPC came with some
	Denied(message string, comeBack router.Time) // 0: no advice when to come back
	Aborted(cause string)
	Rejected(message string) // what it asks for is wrong; it never ran
}

// Options are a desk's settings.
type Options struct {
	Methods      []engine.Method
	Customers    []string // by place, empty where one is gone; none: RPCs name no customer
	FunctionSpec func(method int, name string) engine.FunctionSpec
	AnswerMargin router.Time // kept of each RPC's time for the answer's way to the client
	Limits       admission.Settings
	WrapClient   func(engine.Client) engine.Client // nil: answers go as they are
	NoJoin       bool                              // RPCs of one token never join: each answer is one that a worker made for that very RPC
}

// Params are what an RPC asks for.
type Params struct {
	Method       int // place in the settings
	Function     string
	Customer     string
	Token        string
	TimeoutMS    float64 // how long its client waits, in ms; below 0: not told
	Payload      []byte  // JSON
	Blob         []byte  // bytes beside it
	Repeat       bool
	ClientRPCID  string               // the client's own id of the RPC, which its call-outs carry on; empty: it has none
	FunctionSpec *engine.FunctionSpec // what a copy of the function needs, where the RPC itself tells; nil: the settings do
}

// Dispatcher is a front end's, for all of its protocols. It belongs to the loop's goroutine.
type Dispatcher struct {
	o        Options
	engine   *engine.Engine
	service  atomic.Pointer[Service]
	now      router.Time
	timers   eventloop.Timers
	gate     *admission.Queue
	repeats  *dedup.Tracker[*Request]
	works    map[*dedup.SharedRPC[*Request]]*work
	order    uint64
	stopping bool
}

// Service is what RPCs may ask for. It is replaced whole.
type Service struct {
	list      []engine.Method // by place
	methods   map[string]int  // without those that are gone
	customers map[string]int
	function  func(method int, name string) engine.FunctionSpec
}

// NewService makes a service of methods and customers by place, those without a name gone; that needs no turn.
func NewService(methods []engine.Method, customers []string, function func(int, string) engine.FunctionSpec) *Service {
	s := &Service{list: methods, methods: map[string]int{}, customers: map[string]int{}, function: function}
	for i, m := range methods {
		if !m.Removed {
			s.methods[m.Name] = i
		}
	}
	for i, c := range customers {
		if c != "" {
			s.customers[c] = i
		}
	}
	return s
}

// New makes the desk of an engine.
func New(e *engine.Engine, o Options) *Dispatcher {
	d := &Dispatcher{o: o, engine: e, gate: admission.New(o.Limits), repeats: dedup.New[*Request](),
		works: map[*dedup.SharedRPC[*Request]]*work{}}
	d.service.Store(NewService(o.Methods, o.Customers, o.FunctionSpec))
	return d
}

// UpdateSettings takes a new service and new bounds; in a turn. Methods and customers keep their places; one that is gone
// keeps it for the RPCs that have it. An RPC that waits at the gate goes by the new settings, or is refused by them.
func (d *Dispatcher) UpdateSettings(s *Service, gate admission.Settings) {
	d.service.Store(s)
	d.gate.UpdateSettings(gate)
}

// MethodIndex finds a method's place; any goroutine may ask.
func (d *Dispatcher) MethodIndex(name string) (place int, known bool) {
	place, known = d.service.Load().methods[name]
	return place, known
}

// MethodAt is the method at a place; any goroutine may ask.
func (d *Dispatcher) MethodAt(place int) *engine.Method { return &d.service.Load().list[place] }

// Validate tells what is missing or wrong in what is asked for; any goroutine may ask. The words are those of the
// protocols' parameters.
func (d *Dispatcher) Validate(p *Params) error {
	s := d.service.Load()
	m := &s.list[p.Method]
	_, knownCustomer := s.customers[p.Customer]
	switch {
	case m.MaxBytes > 0 && int64(len(p.Payload)+len(p.Blob)) > m.MaxBytes:
		return fmt.Errorf("payload of %d bytes, method %q takes %d", len(p.Payload)+len(p.Blob), m.Name, m.MaxBytes)
	case p.Function == "":
		return errors.New(`"function" is missing or empty`)
	case m.Effect == router.Tokened && p.Token == "":
		return fmt.Errorf(`"token" is missing: method %q is tokened`, m.Name)
	case len(s.customers) > 0 && p.Customer == "":
		return errors.New(`"customer" is missing`)
	case p.Customer != "" && !knownCustomer:
		return fmt.Errorf("no customer %.80q", p.Customer)
	}
	return nil
}

// BeginTurn tells the time of a turn.
func (d *Dispatcher) BeginTurn(now router.Time) { d.now = now }

// Admit hands to the engine what may pass the gate: after a turn's events, before the engine's end of the turn.
func (d *Dispatcher) Admit() {
	d.timers.Fire(d.now)
	for t := d.gate.Next(); t != nil; t = d.gate.Next() {
		t.Value.(*Request).start()
	}
}

// NextDue tells when the desk wants a turn though nothing comes.
func (d *Dispatcher) NextDue() (router.Time, bool) {
	if d.gate.HasNext() {
		return d.now, true
	}
	return d.timers.NextDue()
}

// Waiting is the number of RPCs at the gate, which the engine has not taken yet.
func (d *Dispatcher) Waiting() int { return d.gate.Waiting() }

// TokenedInProgress is the number of tokened RPCs at work.
func (d *Dispatcher) TokenedInProgress() int { return len(d.works) }

// Drain has RPCs that come from now on denied.
func (d *Dispatcher) Drain() { d.stopping = true }

// Draining tells whether RPCs that come are denied because the front end leaves.
func (d *Dispatcher) Draining() bool { return d.stopping }

// Conn is the handle of one client's connection.
type Conn struct {
	d    *Dispatcher
	gate *admission.Conn
	open map[*Request]bool
	gone bool
}

// OpenConn tells of a connection.
func (d *Dispatcher) OpenConn(peer admission.PeerID) *Conn {
	return &Conn{d: d, gate: d.gate.OpenConn(peer), open: map[*Request]bool{}}
}

// OpenRPCs is the number of RPCs open on the connection.
func (c *Conn) OpenRPCs() int { return len(c.open) }

// Close tells that the client is gone: nothing is owed on this connection any more.
func (c *Conn) Close() {
	c.gone = true
	for _, a := range c.inOrder() {
		a.forget()
		if a.work != nil && a.work.leave(a) {
			a.work.rpc.ClientLeft()
		}
	}
}

// inOrder is what is open, in the order in which it came.
func (c *Conn) inOrder() []*Request {
	all := make([]*Request, 0, len(c.open))
	for a := range c.open {
		all = append(all, a)
	}
	slices.SortFunc(all, func(a, b *Request) int { return cmp.Compare(a.order, b.order) })
	return all
}

// Request is the handle of one RPC as its client sees it.
type Request struct {
	c      *Conn
	p      Params
	reply  Responder
	order  uint64
	until  router.Time // its client's time is up
	ticket *admission.Ticket
	timer  eventloop.Timer // while it waits at the gate, or joined another's work
	work   *work
}

// work is one RPC at the engine and all who wait for its answer. It is the engine's Client.
type work struct {
	d     *Dispatcher
	rpc   *engine.RPC
	lead  *Request // whose ticket holds the place
	group *dedup.SharedRPC[*Request]
}

// Submit brings an RPC to the gate. Waited is how long ago it came in, which is taken off its time. The answer may be given
// before Take returns; the handle is then over.
func (c *Conn) Submit(p Params, waited router.Time, reply Responder) *Request {
	d := c.d
	a := &Request{c: c, p: p, reply: reply}
	if c.gone {
		return a
	}
	if d.stopping {
		reply.Denied("denied: this front end is leaving", 0)
		return a
	}
	method := d.MethodAt(p.Method)
	left := method.Deadline
	if p.TimeoutMS >= 0 {
		left = min(left, router.Time(math.Min(p.TimeoutMS*10, math.MaxInt32)))
	}
	a.until = d.now + left - waited
	t, refused, displaced := c.gate.Enqueue(d.now, p.Function, int64(len(p.Payload)+len(p.Blob)), method.Gain, a)
	if refused != nil {
		reply.Denied(refused.Reason, refused.RetryAfter)
		return a
	}
	if displaced != nil {
		gives := displaced.Value.(*Request)
		gives.forget()
		gives.reply.Denied("denied: an RPC of more gain took its place", d.gate.RetryAfter())
	}
	d.order++
	a.ticket, a.order = t, d.order
	c.open[a] = true
	d.timers.Set(&a.timer, a.until-d.o.AnswerMargin, func(router.Time) { a.expire() })
	return a
}

// Finished tells whether the RPC is open no more.
func (a *Request) Finished() bool { return !a.c.open[a] }

// start hands the RPC to the engine, or has it join one at work, once it has passed the gate.
func (a *Request) start() {
	d := a.c.d
	d.timers.Stop(&a.timer)
	if err := d.Validate(&a.p); err != nil { // the settings changed while it waited
		a.forget()
		a.reply.Rejected(err.Error())
		return
	}
	method := d.MethodAt(a.p.Method)
	w := &work{d: d, lead: a}
	if method.Effect == router.Tokened && !d.o.NoJoin {
		key := dedup.Key{Method: method.Name, Customer: a.p.Customer, Token: a.p.Token}
		group, decision := d.repeats.Add(key, a.p.Function, a, a.p.Payload, a.p.Blob)
		switch decision {
		case dedup.Conflicting:
			a.forget()
			a.reply.Rejected("an RPC of this token is open that asks for something else")
			return
		case dedup.Joined:
			a.work = d.works[group]
			a.ticket.SetHeld(false)
			d.timers.Set(&a.timer, a.until-d.o.AnswerMargin, func(router.Time) { a.expire() })
			return
		}
		w.group = group
		d.works[group] = w
	}
	if other, meets := d.engine.IDCollision(a.p.Function); meets {
		a.forget()
		w.end()
		a.reply.Rejected(fmt.Sprintf("function %.80q has the id of function %.80q: rename one of them", a.p.Function, other))
		return
	}
	var client engine.Client = w
	if d.o.WrapClient != nil {
		client = d.o.WrapClient(w)
	}
	a.work = w
	fn := a.p.FunctionSpec
	if fn == nil {
		told := d.service.Load().function(a.p.Method, a.p.Function)
		fn = &told
	}
	w.rpc = d.engine.Submit(router.MethodID(a.p.Method), method, router.CustomerID(d.service.Load().customers[a.p.Customer]),
		a.p.Function, *fn, a.p.Token, a.until-d.now, a.p.Repeat, a.p.Payload, a.p.Blob, client)
	w.rpc.ClientRPCID = a.p.ClientRPCID // what is sent is sent at the turn's end
}

// Cancel tells that the client wants no result any more, but its one answer.
func (a *Request) Cancel() {
	switch {
	case a.Finished():
	case a.work == nil: // it waited at the gate, and never ran
		a.forget()
		a.reply.Denied("denied: cancelled", 0)
	case a.work.leave(a):
		a.work.group, a.work.lead = nil, a // the answer is this one's
		a.work.rpc.Cancel()
	default: // others wait for the same work: it goes on
		a.part()
	}
}

// Abandon tells that the client wants nothing any more, not even an answer; others of its connection may.
func (a *Request) Abandon() {
	if a.Finished() {
		return
	}
	a.forget()
	if a.work != nil && a.work.leave(a) {
		a.work.rpc.ClientLeft()
	}
}

// expire: its time is up at the gate, or while another's work that it joined goes on.
func (a *Request) expire() {
	switch {
	case a.work == nil:
		a.forget()
		a.reply.Denied("denied", a.c.d.gate.RetryAfter())
	case a.work.leave(a):
		a.part()
		a.work.rpc.ClientLeft()
	default:
		a.part()
	}
}

// part answers a client that stops waiting for work that may have run, or may run yet.
func (a *Request) part() {
	a.forget()
	if a.work.rpc.RetryHarmless() {
		a.reply.Denied("denied", 0)
		return
	}
	a.reply.Aborted("it waited for an RPC of the same token")
}

// forget takes the RPC out of what is open.
func (a *Request) forget() {
	delete(a.c.open, a)
	a.c.d.timers.Stop(&a.timer)
	a.ticket.Release(a.c.d.now)
}

// leave takes a out of who waits; it tells whether nobody does any more.
func (w *work) leave(a *Request) (last bool) {
	if w.group == nil {
		return true
	}
	if last = w.group.Remove(a); last {
		delete(w.d.works, w.group)
	}
	return last
}

// end returns who waits for the work, and forgets its group.
func (w *work) end() []*Request {
	if w.group == nil {
		if w.lead.c.open[w.lead] {
			return []*Request{w.lead}
		}
		return nil
	}
	delete(w.d.works, w.group)
	return w.group.Finish()
}

// OK implements engine.Client.
func (w *work) OK(result, blob []byte) {
	for _, a := range w.end() {
		a.forget()
		a.reply.OK(result, blob)
	}
}

// Denied implements engine.Client.
func (w *work) Denied(comeBack router.Time) {
	for _, a := range w.end() {
		a.forget()
		a.reply.Denied("denied", comeBack)
	}
}

// Aborted implements engine.Client.
func (w *work) Aborted(cause string) {
	for _, a := range w.end() {
		a.forget()
		a.reply.Aborted(cause)
	}
}

// QueuedChanged implements engine.Client.
func (w *work) QueuedChanged(held bool) { w.lead.ticket.SetHeld(held) }
