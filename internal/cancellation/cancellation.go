// Package cancellation decides what happens when a client leaves or cancels: whether a cancelled RPC is denied or
// aborted, whether to wait for its call-outs first, and which load orders are no longer needed. It does no I/O and has
// no clock. docs/design/unix-clients.md describes the states.
package cancellation

import "mallowlanding/router"

// Verdict is the answer to a cancelled RPC.
type Verdict uint8

// Verdicts.
const (
	Wait  Verdict = iota // its call-outs are cancelled; one may still bring a result, or proof that the RPC never ran
	Deny                 // a retry is harmless
	Abort                // it may have run
)

// RPC tracks the call-outs of one RPC. Effect and Group are those of its method; a value with only these two set is an
// RPC without call-outs.
type RPC struct {
	Effect, Group string
	inFlight      int
	mayHaveRun    bool // a call-out that has ended may have run
	cancelled     bool
}

// Tighten applies changed settings of the method to an open RPC, for which the stricter of both effects holds; see
// router.StricterEffect.
func (r *RPC) Tighten(effect, group string) {
	r.Effect, r.Group, _ = router.StricterEffect(r.Effect, r.Group, 0, effect, group, 0)
}

// CallOutSent records a call-out.
func (r *RPC) CallOutSent() { r.inFlight++ }

// CallOutEnded records how a call-out ended. A worker that drops a cancelled call-out before running it reports
// router.Full, so the RPC has not run there.
func (r *RPC) CallOutEnded(outcome router.Outcome) {
	r.inFlight--
	switch outcome {
	case router.Full, router.ConnectFailed, router.NotSent, router.NotLoaded:
	default:
		r.mayHaveRun = true
	}
}

// Cancel records that the client has cancelled. Verdict then returns the answer.
func (r *RPC) Cancel() { r.cancelled = true }

// Cancelled reports whether the client has cancelled.
func (r *RPC) Cancelled() bool { return r.cancelled }

// Verdict returns the answer to a cancelled RPC, or Wait while a call-out is in flight. A denial promises that a retry
// is harmless: either the RPC has not run, or running it again has no further effect.
func (r *RPC) Verdict() Verdict {
	if r.inFlight > 0 {
		return Wait
	}
	return r.verdict(r.mayHaveRun)
}

// VerdictOnTimeout returns the answer to an RPC that is not waited for any longer. Call-outs still in flight may have
// run.
func (r *RPC) VerdictOnTimeout() Verdict { return r.verdict(r.mayHaveRun || r.inFlight > 0) }

// verdict denies an RPC if a retry is harmless, and aborts it otherwise. After a tokened RPC may have run, a retry is
// harmless only if all workers recognize it as a repeat.
func (r *RPC) verdict(mayHaveRun bool) Verdict {
	if mayHaveRun && (r.Effect == router.SideEffecting || r.Effect == router.Tokened && r.Group != "all") {
		return Abort
	}
	return Deny
}

// LoadDemand tracks the open RPCs and the load orders of each function.
type LoadDemand[Order comparable] struct {
	openRPCs map[router.FunctionID]int
	orders   map[router.FunctionID][]Order
}

// NewLoadDemand makes a LoadDemand without RPCs and orders.
func NewLoadDemand[Order comparable]() *LoadDemand[Order] {
	return &LoadDemand[Order]{openRPCs: map[router.FunctionID]int{}, orders: map[router.FunctionID][]Order{}}
}

// RPCOpened records a new RPC of a function.
func (d *LoadDemand[Order]) RPCOpened(fn router.FunctionID) { d.openRPCs[fn]++ }

// RPCClosed records that an RPC is no longer open. clientLeft says that its client left or cancelled: the load orders
// of the function are then no longer needed, unless another RPC of it is open. Orders of an answered RPC stay, since
// they may serve the next one. RPCClosed returns the orders that are no longer needed, in the order in which they were
// sent.
func (d *LoadDemand[Order]) RPCClosed(fn router.FunctionID, clientLeft bool) []Order {
	if d.openRPCs[fn]--; d.openRPCs[fn] > 0 {
		return nil
	}
	delete(d.openRPCs, fn)
	if !clientLeft {
		return nil
	}
	unwanted := d.orders[fn]
	delete(d.orders, fn)
	return unwanted
}

// OrderSent records a load order in flight.
func (d *LoadDemand[Order]) OrderSent(fn router.FunctionID, o Order) {
	d.orders[fn] = append(d.orders[fn], o)
}

// OrderEnded records the end of a load order.
func (d *LoadDemand[Order]) OrderEnded(fn router.FunctionID, o Order) {
	orders := d.orders[fn]
	for i := range orders {
		if orders[i] == o {
			orders = append(orders[:i:i], orders[i+1:]...)
			break
		}
	}
	if len(orders) == 0 {
		delete(d.orders, fn)
		return
	}
	d.orders[fn] = orders
}
