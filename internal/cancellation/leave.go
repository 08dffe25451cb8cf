// Package cancellation decides what is owed when somebody leaves or cancels: whether an RPC that was called off may be
// denied or must be aborted, how long its worker is waited for, and which load orders nobody wants any more. No I/O,
// no clock; docs/design/unix-clients.md has the states.
package cancellation

import "mallowlanding/router"

// Verdict is what a cancelled RPC gets.
type Verdict uint8

// Verdicts.
const (
	Wait  Verdict = iota // its call-outs were called off; one may still bring a result, or proof that it never ran
	Deny                 // a retry is harmless
	Abort                // it may have run
)

// RPC follows one RPC's call-outs as far as leaving needs to know. The zero value with Effect and Group set is one
// without call-outs.
type RPC struct {
	Effect, Group string
	out           int
	may           bool // a call-out that is over may have run
	cancelled     bool
}

// Tighten tells that the method's settings changed while the RPC is open; see router.Stricter.
func (r *RPC) Tighten(effect, group string) {
	r.Effect, r.Group, _ = router.StricterEffect(r.Effect, r.Group, 0, effect, group, 0)
}

// CallOutSent tells of a call-out.
func (r *RPC) CallOutSent() { r.out++ }

// CallOutEnded tells how one ended. A worker that dropped it before it began says so: Full, and never ran.
func (r *RPC) CallOutEnded(o router.Outcome) {
	r.out--
	switch o {
	case router.Full, router.ConnectFailed, router.NotSent, router.NotLoaded:
	default:
		r.may = true
	}
}

// Cancel notes that the client wants no result any more; Verdict tells what it gets.
func (r *RPC) Cancel() { r.cancelled = true }

// Cancelled tells whether the client has cancelled.
func (r *RPC) Cancelled() bool { return r.cancelled }

// Verdict is what a cancelled RPC gets now. A denial promises that a retry is harmless: nothing may have run, or a
// repeat of what did has no effect.
func (r *RPC) Verdict() Verdict {
	if r.out > 0 {
		return Wait
	}
	return r.final(r.may)
}

// VerdictOnTimeout is what it gets when its workers have been waited for long enough: what is still out may have run.
func (r *RPC) VerdictOnTimeout() Verdict { return r.final(r.may || r.out > 0) }

func (r *RPC) final(may bool) Verdict {
	if may && (r.Effect == router.SideEffecting || r.Effect == router.Tokened && r.Group != "all") {
		return Abort
	}
	return Deny
}

// LoadDemand follows who wants a function: its RPCs that are open, and the load orders given for it.
type LoadDemand[Order comparable] struct {
	open   map[router.FunctionID]int
	orders map[router.FunctionID][]Order
}

// NewLoadDemand starts with nothing wanted.
func NewLoadDemand[Order comparable]() *LoadDemand[Order] {
	return &LoadDemand[Order]{open: map[router.FunctionID]int{}, orders: map[router.FunctionID][]Order{}}
}

// RPCOpened tells of an open RPC.
func (w *LoadDemand[Order]) RPCOpened(fn router.FunctionID) { w.open[fn]++ }

// RPCClosed tells that an RPC is open no more. Left: its client left or cancelled, so that its wish is void; an answered
// RPC's order may serve the next. It returns the orders that nobody wants any more, in the order in which they were
// given.
func (w *LoadDemand[Order]) RPCClosed(fn router.FunctionID, left bool) []Order {
	if w.open[fn]--; w.open[fn] > 0 {
		return nil
	}
	delete(w.open, fn)
	if !left {
		return nil
	}
	void := w.orders[fn]
	delete(w.orders, fn)
	return void
}

// OrderSent tells of a load order under way.
func (w *LoadDemand[Order]) OrderSent(fn router.FunctionID, o Order) {
	w.orders[fn] = append(w.orders[fn], o)
}

// OrderEnded tells that an order is over.
func (w *LoadDemand[Order]) OrderEnded(fn router.FunctionID, o Order) {
	orders := w.orders[fn]
	for i := range orders {
		if orders[i] == o {
			orders = append(orders[:i:i], orders[i+1:]...)
			break
		}
	}
	if len(orders) == 0 {
		delete(w.orders, fn)
		return
	}
	w.orders[fn] = orders
}
