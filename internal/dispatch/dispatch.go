// Package dispatch handles client requests independently of the protocol: admission to the engine, joining of repeats,
// cancellation, expiry, and the delivery of each answer to every client that waits for it. A protocol's server decodes
// its clients' requests, submits them here, and encodes the one answer to each.
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

// Responder receives a request's answer: exactly one of its methods is called, once, unless the connection is closed or
// the request abandoned.
type Responder interface {
	OK(result, blob []byte)                        // blob: the result's binary part, for an RPC that came with one
	Denied(message string, retryAfter router.Time) // 0: no advice when to retry
	Aborted(cause string)
	Rejected(message string) // the request is invalid; it never ran
}

// Options are a dispatcher's settings.
type Options struct {
	Methods      []engine.Method
	Customers    []string // by index, empty where one was removed; none: RPCs name no customer
	FunctionSpec func(method int, name string) engine.FunctionSpec
	AnswerMargin router.Time // part of an RPC's time reserved for sending its answer to the client
	Limits       admission.Settings
	WrapClient   func(engine.Client) engine.Client // wraps the receiver of the engine's answers; nil: not wrapped
	// NoJoin: a repeat does not join an open RPC of the same token, so that each answer is what a worker answered to that
	// very RPC.
	NoJoin bool
}

// Params are the parameters of a request.
type Params struct {
	Method       int // index in the settings
	Function     string
	Customer     string
	Token        string
	TimeoutMS    float64 // how long the client waits; below 0: not specified
	Payload      []byte  // JSON
	Blob         []byte  // binary part of the payload
	Repeat       bool
	ClientRPCID  string               // the client's own id of the RPC, passed on with its call-outs; empty: none
	FunctionSpec *engine.FunctionSpec // needs of a copy, if given by the request itself; nil: as in the settings
}

// Dispatcher handles the requests of all protocols of a front end. It belongs to the goroutine of the event loop; only
// methods that say so may be called from others.
type Dispatcher struct {
	options    Options
	engine     *engine.Engine
	service    atomic.Pointer[Service]
	now        router.Time
	timers     eventloop.Timers
	queue      *admission.Queue
	repeats    *dedup.Tracker[*Request]
	executions map[*dedup.SharedRPC[*Request]]*execution
	lastSeq    uint64
	draining   bool
}

// Service lists the methods and customers that requests may name. It is immutable, and replaced when settings change.
type Service struct {
	byIndex       []engine.Method // by index
	methodIndex   map[string]int  // without removed methods
	customerIndex map[string]int
	functionSpec  func(method int, name string) engine.FunctionSpec
}

// NewService makes a service of methods and customers by their index in the settings. A customer without a name was
// removed. Any goroutine may call it.
func NewService(methods []engine.Method, customers []string,
	functionSpec func(int, string) engine.FunctionSpec) *Service {
	s := &Service{byIndex: methods, methodIndex: map[string]int{}, customerIndex: map[string]int{},
		functionSpec: functionSpec}
	for i, m := range methods {
		if !m.Removed {
			s.methodIndex[m.Name] = i
		}
	}
	for i, c := range customers {
		if c != "" {
			s.customerIndex[c] = i
		}
	}
	return s
}

// New makes the dispatcher of an engine.
func New(e *engine.Engine, options Options) *Dispatcher {
	d := &Dispatcher{options: options, engine: e, queue: admission.New(options.Limits), repeats: dedup.New[*Request](),
		executions: map[*dedup.SharedRPC[*Request]]*execution{}}
	d.service.Store(NewService(options.Methods, options.Customers, options.FunctionSpec))
	return d
}

// UpdateSettings replaces the service and the limits, within a turn of the event loop. Methods and customers keep their
// indexes; a removed one keeps its index for the RPCs that use it. A request still waiting for admission is subject to
// the new settings, and rejected if they don't allow it.
func (d *Dispatcher) UpdateSettings(s *Service, limits admission.Settings) {
	d.service.Store(s)
	d.queue.UpdateSettings(limits)
}

// MethodIndex returns the index of a method by its name. Any goroutine may call it.
func (d *Dispatcher) MethodIndex(name string) (index int, known bool) {
	index, known = d.service.Load().methodIndex[name]
	return index, known
}

// MethodAt returns the method at an index. Any goroutine may call it.
func (d *Dispatcher) MethodAt(index int) *engine.Method { return &d.service.Load().byIndex[index] }

// Validate returns an error if a parameter is missing or invalid. Errors use the parameter names of the protocols. Any
// goroutine may call it.
func (d *Dispatcher) Validate(p *Params) error {
	s := d.service.Load()
	m := &s.byIndex[p.Method]
	_, knownCustomer := s.customerIndex[p.Customer]
	switch {
	case m.MaxBytes > 0 && int64(len(p.Payload)+len(p.Blob)) > m.MaxBytes:
		return fmt.Errorf("payload of %d bytes, method %q takes %d", len(p.Payload)+len(p.Blob), m.Name, m.MaxBytes)
	case p.Function == "":
		return errors.New(`"function" is missing or empty`)
	case m.Effect == router.Tokened && p.Token == "":
		return fmt.Errorf(`"token" is missing: method %q is tokened`, m.Name)
	case len(s.customerIndex) > 0 && p.Customer == "":
		return errors.New(`"customer" is missing`)
	case p.Customer != "" && !knownCustomer:
		return fmt.Errorf("no customer %.80q", p.Customer)
	}
	return nil
}

// BeginTurn sets the time of a turn of the event loop.
func (d *Dispatcher) BeginTurn(now router.Time) { d.now = now }

// Admit submits to the engine the requests that the admission queue lets through. It is called after a turn's events
// and before Engine.EndTurn.
func (d *Dispatcher) Admit() {
	d.timers.Fire(d.now)
	for ticket := d.queue.Next(); ticket != nil; ticket = d.queue.Next() {
		ticket.Value.(*Request).admit()
	}
}

// NextDue returns when the dispatcher needs a turn even if no event arrives; false: never.
func (d *Dispatcher) NextDue() (router.Time, bool) {
	if d.queue.HasNext() {
		return d.now, true
	}
	return d.timers.NextDue()
}

// Waiting returns the number of requests in the admission queue, not yet submitted to the engine.
func (d *Dispatcher) Waiting() int { return d.queue.Waiting() }

// TokenedInProgress returns the number of tokened RPCs at the engine.
func (d *Dispatcher) TokenedInProgress() int { return len(d.executions) }

// Drain has all further requests denied.
func (d *Dispatcher) Drain() { d.draining = true }

// Draining reports whether further requests are denied because the front end is stopping.
func (d *Dispatcher) Draining() bool { return d.draining }

// Conn is the connection of one client.
type Conn struct {
	dispatcher *Dispatcher
	queue      *admission.Conn
	open       map[*Request]bool
	closed     bool
}

// OpenConn adds a connection.
func (d *Dispatcher) OpenConn(peer admission.PeerID) *Conn {
	return &Conn{dispatcher: d, queue: d.queue.OpenConn(peer), open: map[*Request]bool{}}
}

// OpenRPCs returns the number of requests open on the connection.
func (c *Conn) OpenRPCs() int { return len(c.open) }

// Close ends the connection, whose client has left: its open requests get no answer.
func (c *Conn) Close() {
	c.closed = true
	for _, r := range c.byArrival() {
		r.remove()
		if r.execution != nil && r.execution.removeWaiter(r) {
			r.execution.rpc.ClientLeft()
		}
	}
}

// byArrival returns the open requests in the order in which they arrived.
func (c *Conn) byArrival() []*Request {
	all := make([]*Request, 0, len(c.open))
	for r := range c.open {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *Request) int { return cmp.Compare(a.seq, b.seq) })
	return all
}

// Request is one RPC as sent by its client. Several requests of the same token may share one RPC at the engine.
type Request struct {
	conn        *Conn
	params      Params
	responder   Responder
	seq         uint64
	expiresAt   router.Time // when the client stops waiting
	ticket      *admission.Ticket
	expiryTimer eventloop.Timer // set while the request waits for admission, or for the RPC that it joined
	execution   *execution
}

// execution is one RPC at the engine with the requests that wait for its answer. It implements engine.Client.
type execution struct {
	dispatcher *Dispatcher
	rpc        *engine.RPC
	leader     *Request // the request whose ticket counts the RPC as queued by the router
	shared     *dedup.SharedRPC[*Request]
}

// Submit adds a request to the admission queue. Elapsed is the time since the request arrived; it is deducted from the
// client's time. The answer may be given before Submit returns; the request is then finished.
func (c *Conn) Submit(p Params, elapsed router.Time, responder Responder) *Request {
	d := c.dispatcher
	r := &Request{conn: c, params: p, responder: responder}
	if c.closed {
		return r
	}
	if d.draining {
		responder.Denied("denied: this front end is leaving", 0)
		return r
	}
	method := d.MethodAt(p.Method)
	left := method.Deadline
	if p.TimeoutMS >= 0 {
		left = min(left, router.Time(math.Min(p.TimeoutMS*10, math.MaxInt32)))
	}
	r.expiresAt = d.now + left - elapsed
	ticket, rejection, displaced := c.queue.Enqueue(d.now, p.Function, int64(len(p.Payload)+len(p.Blob)), method.Gain, r)
	if rejection != nil {
		responder.Denied(rejection.Reason, rejection.RetryAfter)
		return r
	}
	if displaced != nil {
		displacedRequest := displaced.Value.(*Request)
		displacedRequest.remove()
		displacedRequest.responder.Denied("denied: an RPC of more gain took its place", d.queue.RetryAfter())
	}
	d.lastSeq++
	r.ticket, r.seq = ticket, d.lastSeq
	c.open[r] = true
	d.timers.Set(&r.expiryTimer, r.expiresAt-d.options.AnswerMargin, func(router.Time) { r.expire() })
	return r
}

// WasSent reports whether the request has had a call-out, so that it may have reached a worker.
func (r *Request) WasSent() bool {
	return r.execution != nil && r.execution.rpc != nil && r.execution.rpc.CallOuts() > 0
}

// Idempotent reports whether a second execution of the request would be harmless.
func (r *Request) Idempotent() bool {
	return r.conn.dispatcher.MethodAt(r.params.Method).Effect == router.Idempotent
}

// Finished reports whether the request is no longer open.
func (r *Request) Finished() bool { return !r.conn.open[r] }

// admit submits a request that has passed the admission queue to the engine, or joins it to an open RPC of the same
// token.
func (r *Request) admit() {
	d := r.conn.dispatcher
	d.timers.Stop(&r.expiryTimer)
	if err := d.Validate(&r.params); err != nil { // the settings may have changed while it waited
		r.remove()
		r.responder.Rejected(err.Error())
		return
	}
	method := d.MethodAt(r.params.Method)
	e := &execution{dispatcher: d, leader: r}
	if method.Effect == router.Tokened && !d.options.NoJoin {
		key := dedup.Key{Method: method.Name, Customer: r.params.Customer, Token: r.params.Token}
		shared, decision := d.repeats.Add(key, r.params.Function, r, r.params.Payload, r.params.Blob)
		switch decision {
		case dedup.Conflicting:
			r.remove()
			r.responder.Rejected("an RPC of this token is open that asks for something else")
			return
		case dedup.Joined:
			r.execution = d.executions[shared]
			r.ticket.SetRouterQueued(false)
			d.timers.Set(&r.expiryTimer, r.expiresAt-d.options.AnswerMargin, func(router.Time) { r.expire() })
			return
		}
		e.shared = shared
		d.executions[shared] = e
	}
	if other, collides := d.engine.IDCollision(r.params.Function); collides {
		r.remove()
		e.finish()
		r.responder.Rejected(fmt.Sprintf("function %.80q has the id of function %.80q: rename one of them",
			r.params.Function, other))
		return
	}
	var client engine.Client = e
	if d.options.WrapClient != nil {
		client = d.options.WrapClient(e)
	}
	r.execution = e
	spec := r.params.FunctionSpec
	if spec == nil {
		fromSettings := d.service.Load().functionSpec(r.params.Method, r.params.Function)
		spec = &fromSettings
	}
	e.rpc = d.engine.Submit(router.MethodID(r.params.Method), method,
		router.CustomerID(d.service.Load().customerIndex[r.params.Customer]), r.params.Function, *spec, r.params.Token,
		r.expiresAt-d.now, r.params.Repeat, r.params.Payload, r.params.Blob, client)
	e.rpc.ClientRPCID = r.params.ClientRPCID // set in time: call-outs are sent at the end of the turn
}

// Cancel handles the client's cancellation of the request, which still gets its one answer.
func (r *Request) Cancel() {
	switch {
	case r.Finished():
	case r.execution == nil: // it waits for admission and has not run
		r.remove()
		r.responder.Denied("denied: cancelled", 0)
	case r.execution.removeWaiter(r):
		r.execution.shared, r.execution.leader = nil, r // the answer goes to this request
		r.execution.rpc.Cancel()
	default: // other requests wait for the same RPC, which continues
		r.stopWaiting()
	}
}

// Abandon ends the request without an answer. Other requests of the connection are not affected.
func (r *Request) Abandon() {
	if r.Finished() {
		return
	}
	r.remove()
	if r.execution != nil && r.execution.removeWaiter(r) {
		r.execution.rpc.ClientLeft()
	}
}

// expire answers a request whose time is over while it waits for admission or for an RPC that it joined.
func (r *Request) expire() {
	switch {
	case r.execution == nil:
		r.remove()
		r.responder.Denied("denied", r.conn.dispatcher.queue.RetryAfter())
	case r.execution.removeWaiter(r):
		r.stopWaiting()
		r.execution.rpc.ClientLeft()
	default:
		r.stopWaiting()
	}
}

// stopWaiting answers a request that no longer waits for an RPC which may have run or may still run.
func (r *Request) stopWaiting() {
	r.remove()
	if r.execution.rpc.RetryHarmless() {
		r.responder.Denied("denied", 0)
		return
	}
	r.responder.Aborted("it waited for an RPC of the same token")
}

// remove takes the request out of the open ones and releases its ticket.
func (r *Request) remove() {
	delete(r.conn.open, r)
	r.conn.dispatcher.timers.Stop(&r.expiryTimer)
	r.ticket.Release(r.conn.dispatcher.now)
}

// removeWaiter has r wait for the RPC no longer, and reports whether no request waits for it any more.
func (e *execution) removeWaiter(r *Request) (last bool) {
	if e.shared == nil {
		return true
	}
	if last = e.shared.Remove(r); last {
		delete(e.dispatcher.executions, e.shared)
	}
	return last
}

// finish ends the execution and returns the requests that wait for its answer.
func (e *execution) finish() []*Request {
	if e.shared == nil {
		if e.leader.conn.open[e.leader] {
			return []*Request{e.leader}
		}
		return nil
	}
	delete(e.dispatcher.executions, e.shared)
	return e.shared.Finish()
}

// OK implements engine.Client.
func (e *execution) OK(result, blob []byte) {
	for _, r := range e.finish() {
		r.remove()
		r.responder.OK(result, blob)
	}
}

// Denied implements engine.Client.
func (e *execution) Denied(retryAfter router.Time) {
	for _, r := range e.finish() {
		r.remove()
		r.responder.Denied("denied", retryAfter)
	}
}

// Aborted implements engine.Client.
func (e *execution) Aborted(cause string) {
	for _, r := range e.finish() {
		r.remove()
		r.responder.Aborted(cause)
	}
}

// QueuedChanged implements engine.Client.
func (e *execution) QueuedChanged(queued bool) { e.leader.ticket.SetRouterQueued(queued) }
