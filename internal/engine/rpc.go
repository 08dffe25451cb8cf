package engine

import (
	"mallowlanding/internal/cancellation"
	"mallowlanding/internal/eventloop"
	"mallowlanding/internal/nameid"
	"mallowlanding/router"
)

// RPC is one RPC at the engine.
type RPC struct {
	e           *Engine
	id          router.RPCID
	client      Client
	expiresAt   router.Time
	expiryTimer eventloop.Timer
	callOuts    []callOut
	inFlight    int
	closed      bool   // answered, or the client left
	lastCause   string // error text of the last failed call-out
	cancelState cancellation.RPC
	cancelTimer eventloop.Timer
	methodIndex router.MethodID

	Method       *Method
	Function     string
	Spec         FunctionSpec
	Token        string
	ClientRPCID  string // the client's own id of the RPC; empty: none
	Customer     string
	SoftDeadline router.Time // time at which the soft deadline expires
	Payload      []byte      // JSON
	Blob         []byte      // binary part of the payload
}

// callOut is one attempt to run an RPC at a worker.
type callOut struct {
	worker    *worker
	link      Link // that it was handed to; nil: none
	sentAt    router.Time
	cancelled bool // nobody waits for it any more, and the link knows
	neverSent bool // as the link has reported when it was cancelled
	ended     bool
}

// ClientLeft ends an RPC whose client left, without an answer. It cancels the call-outs in flight, and the load orders
// of its function if no other RPC needs them.
func (r *RPC) ClientLeft() {
	if r.closed {
		return
	}
	r.e.counts.Left++
	r.cancelOutstanding()
	r.close()
	r.e.release(r)
}

// Cancel handles a client's cancellation. The client still gets its one answer: the result, if it arrives in spite of
// the cancellation; denied, if a retry is harmless; else aborted. Workers have Options.CancelWait to report the end of
// the call-outs in flight.
func (r *RPC) Cancel() {
	if r.closed || r.cancelState.Cancelled() {
		return
	}
	e := r.e
	r.cancelOutstanding()
	r.answerCancelled(r.cancelState.Verdict())
	if !r.closed {
		e.timers.Set(&r.cancelTimer, min(e.now+e.cancelWait, r.expiresAt), func(router.Time) {
			r.answerCancelled(r.cancelState.VerdictOnTimeout())
		})
	}
}

// CallOuts returns the number of the RPC's call-outs so far.
func (r *RPC) CallOuts() int { return len(r.callOuts) }

// RetryHarmless reports whether a retry is harmless for a client that stops waiting for the RPC now.
func (r *RPC) RetryHarmless() bool { return r.cancelState.VerdictOnTimeout() == cancellation.Deny }

// cancelOutstanding has the router make no further call-out, and cancels the call-outs in flight and the load orders
// that no other RPC needs.
func (r *RPC) cancelOutstanding() {
	e := r.e
	if r.cancelState.Cancelled() {
		return
	}
	r.cancelState.Cancel()
	e.router.ClientLeft(e.now, r.id)
	r.cancelCallOuts()
	for _, id := range e.demand.RPCClosed(nameid.Function(r.Function), true) {
		if o := e.orders[id]; o != nil && o.worker.link != nil {
			o.worker.link.CancelLoadOrder(id)
		}
	}
}

// cancelCallOuts cancels the call-outs in flight. Those that were never sent end in the next turn.
func (r *RPC) cancelCallOuts() {
	for n := range r.callOuts {
		if r.callOuts[n].cancelled || !r.cancelCallOut(n) {
			continue
		}
		r.e.deferred = append(r.e.deferred, func() {
			if !r.callOuts[n].ended {
				r.endCallOut(n, router.NotSent, router.WarmthUnknown, 0, nil, nil, nil)
			}
		})
	}
}

// cancelCallOut tells the link, once, that nobody waits for the n-th call-out any more. It reports whether the call-out
// was never sent, so that it is known never to have run.
func (r *RPC) cancelCallOut(n int) (neverSent bool) {
	c := &r.callOuts[n]
	if c.ended || c.cancelled || c.link == nil {
		return c.neverSent
	}
	c.cancelled = true
	if c.neverSent = c.link.CancelCallOut(r.callOutID(n)); c.neverSent {
		r.cancelState.CallOutEnded(router.NotSent)
	}
	return c.neverSent
}

func (r *RPC) callOutID(n int) CallOutID { return CallOutID(uint64(r.id)<<8 | uint64(n)) }

// answerCancelled answers a cancelled RPC according to v.
func (r *RPC) answerCancelled(v cancellation.Verdict) {
	if r.closed || v == cancellation.Wait {
		return
	}
	r.close()
	if v == cancellation.Deny {
		r.e.counts.Denied++
		r.client.Denied(0)
	} else {
		r.e.counts.Aborted++
		r.client.Aborted("cancelled by its client")
	}
	r.e.release(r)
}

// expire ends the call-outs in flight when the client's time is over.
func (r *RPC) expire(router.Time) {
	for n := range r.callOuts {
		r.timeOutCallOut(n)
	}
}

// timeOutCallOut ends the n-th call-out, whose time is over. It may have run unless it was never sent.
func (r *RPC) timeOutCallOut(n int) {
	if r.callOuts[n].ended {
		return
	}
	outcome := router.TimedOut
	if r.cancelCallOut(n) {
		outcome = router.NotSent
	}
	r.endCallOut(n, outcome, router.WarmthUnknown, 0, nil, nil, nil)
}

func (r *RPC) endCallOut(n int, outcome router.Outcome, warmth router.Warmth, otherRPCs int, report []float64,
	result, blob []byte) {
	e, c := r.e, &r.callOuts[n]
	c.ended = true
	r.inFlight--
	if !c.neverSent { // else it is known since the call-out was cancelled
		r.cancelState.CallOutEnded(outcome)
	}
	if outcome == router.OK && !r.closed {
		r.close()
		e.counts.OK++
		r.client.OK(result, blob)
	} else if outcome != router.OK && len(result) > 0 {
		r.lastCause = string(result)
	}
	if r.cancelState.Cancelled() {
		r.answerCancelled(r.cancelState.Verdict())
	} else if !r.closed && r.inFlight == 0 {
		r.client.QueuedChanged(true)
	}
	e.router.CallOutEnded(e.now, r.id, n, c.worker.id, outcome, r.closed, warmth, otherRPCs, e.now-c.sentAt, report)
	e.release(r)
}

// close marks the RPC as answered or abandoned. Nothing is sent for it from then on.
func (r *RPC) close() {
	r.closed = true
	r.cancelCallOuts()
	if !r.cancelState.Cancelled() {
		r.e.demand.RPCClosed(nameid.Function(r.Function), false)
	}
}

// release drops an RPC that is closed and has no call-out in flight.
func (e *Engine) release(r *RPC) {
	if r.closed && r.inFlight == 0 {
		e.timers.Stop(&r.expiryTimer)
		e.timers.Stop(&r.cancelTimer)
		delete(e.rpcs, r.id)
		r.Payload, r.Blob = nil, nil
	}
}
