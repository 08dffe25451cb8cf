package workerlink

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"mallowlanding/internal/engine"
	"mallowlanding/internal/eventloop"
	"mallowlanding/internal/outbound"
	"mallowlanding/router"
)

// unwantedRestTimeout is how long the rest of a half-written message may take once nobody waits for its answer. The
// connection is then closed, so that the worker never gets the message whole.
const unwantedRestTimeout = 100 * time.Millisecond

// Link is the link to one worker. Its fields are used in turns of the event loop only.
type Link struct {
	set          *Set
	name, socket string
	id           router.WorkerID
	ctx          context.Context
	cancel       context.CancelFunc

	wanted       bool                // false: the worker is removed, and the link closes when it is idle
	out          *stream             // of the current connection, or of the next one that becomes ready
	inFlight     map[string]*request // requests on out that have not ended, by id
	lastSequence uint64              // of the requests
	flushes      bool                // the link is in set.toFlush
	waits        bool                // the link is in set.waiting
}

// request is a request that has not ended. onEnded is called if the worker does not answer, onResponse if it does.
type request struct {
	sequence   uint64 // position among the requests of the link
	onEnded    func(o router.Outcome, cause string)
	onResponse func(resp response)
}

func newLink(s *Set, name, socket string, id router.WorkerID) *Link {
	l := &Link{set: s, name: name, socket: socket, id: id, wanted: true, inFlight: map[string]*request{}}
	l.ctx, l.cancel = context.WithCancel(s.ctx)
	l.out = newStream(l)
	return l
}

// closeIfIdle closes a removed link on which nothing is in flight.
func (l *Link) closeIfIdle() {
	if !l.wanted && len(l.inFlight) == 0 {
		l.cancel()
	}
}

// Send implements engine.Link.
func (l *Link) Send(id engine.CallOutID, rpc *engine.RPC, clientWait, sendBy router.Time) {
	s := l.set
	c := callOut{id: id, key: callOutKey(id), method: rpc.Method.Name, function: rpc.Function, token: rpc.Token, spec: rpc.Spec, payload: rpc.Payload, blob: rpc.Blob,
		conditions: l.conditions(clientWait, sendBy)}
	if rpc.Method.MaxBatch > 1 && l.out.acceptsBatches() {
		s.batched[id] = batchedCallOut{l, &c}
		s.queueBatch(s.batches.Add(s.now, batchKey{l.name, rpc.Function}, id, rpc.Method.MaxBatch, rpc.Method.BatchWait, rpc.SoftDeadline-s.now))
		return
	}
	l.queueCallOuts([]*callOut{&c})
}

// conditions returns the conditions of a request that is decided on now, and whose answer is waited for for the given
// time; 0: without limit.
func (l *Link) conditions(answerWait, sendBy router.Time) outbound.Conditions {
	now := l.set.now
	c := outbound.Conditions{DecidedAt: now, SendBy: sendBy, WaitUntil: now + eventloop.FromDuration(l.set.connectTime())}
	if answerWait > 0 {
		c.Deadline = now + answerWait
	}
	return c
}

// queueCallOuts queues call-outs as one message.
func (l *Link) queueCallOuts(callOuts []*callOut) {
	st := l.out
	m := &outbound.Message{AppendTo: func(out []byte, now router.Time, ids []string) []byte {
		return appendCallOuts(out, st.binary, callOuts, now, ids)
	}}
	m.Requests = make([]outbound.Request, 0, len(callOuts))
	requests := make([]*request, len(callOuts))
	for i, c := range callOuts {
		m.Requests = append(m.Requests, outbound.Request{ID: c.key, Conditions: c.conditions, Size: c.size()})
		requests[i] = l.callOutRequest(c.id)
	}
	l.queue(m, requests)
}

// callOutRequest returns the callbacks that report the end of a call-out to the engine.
func (l *Link) callOutRequest(id engine.CallOutID) *request {
	return &request{
		onEnded: func(o router.Outcome, cause string) {
			l.set.engine.CallOutEnded(id, l.id, o, router.WarmthUnknown, 0, nil, []byte(cause), nil)
		},
		onResponse: func(resp response) { l.callOutAnswered(id, resp) },
	}
}

// callOutAnswered reports a worker's response to a call-out to the engine.
func (l *Link) callOutAnswered(id engine.CallOutID, resp response) {
	if resp.code == 0 {
		if resp.value == nil {
			resp.value = []byte("null")
		}
		l.set.engine.CallOutEnded(id, l.id, router.OK, resp.warmth, resp.othersAtCopy, resp.report, resp.value, resp.blob)
		return
	}
	if resp.message == "" {
		resp.message = "error " + strconv.Itoa(resp.code)
	}
	l.set.engine.CallOutEnded(id, l.id, OutcomeOf(resp.code), resp.warmth, resp.othersAtCopy, resp.report, []byte(l.name+": "+resp.message), nil)
}

// CancelCallOut implements engine.Link.
func (l *Link) CancelCallOut(id engine.CallOutID) (neverSent bool) {
	return l.set.unbatch(id) || l.cancelRequest(callOutKey(id))
}

// CancelLoadOrder implements engine.Link.
func (l *Link) CancelLoadOrder(id engine.OrderID) {
	key := orderKey(id)
	if req := l.inFlight[key]; l.cancelRequest(key) {
		l.set.loop.Post(func() { req.onEnded(router.NotSent, outbound.ErrWithdrawn.Error()) })
	}
}

// cancelRequest has a request not sent if it is unsent, and reports whether it was. Otherwise the worker is told that
// nobody waits for the answer.
func (l *Link) cancelRequest(key string) (neverSent bool) {
	if l.inFlight[key] == nil {
		return false
	}
	switch l.out.withdraw(key) {
	case outbound.Unsent:
		delete(l.inFlight, key)
		l.closeIfIdle()
		return true
	case outbound.Begun:
		l.out.closeUnlessRestWritten(l.set.unwantedRestTimeout)
	}
	l.notify("host.call_off", append(append([]byte(`{"id":`), key...), '}'))
	return false
}

// OrderLoad implements engine.Link.
func (l *Link) OrderLoad(id engine.OrderID, function string, spec engine.FunctionSpec, copies int, sendBy router.Time) {
	l.queueRequest(orderKey(id), "host.hold", holdParams(function, spec, copies), l.conditions(0, sendBy), &request{
		onEnded: func(o router.Outcome, _ string) { l.set.engine.LoadOrderEnded(id, o, 0) },
		onResponse: func(resp response) {
			o := router.Errored
			switch resp.code {
			case 0:
				o = router.OK
			case Full:
				o = router.Full
			}
			l.set.engine.LoadOrderEnded(id, o, resp.copies)
		},
	})
}

// Check implements engine.Link.
func (l *Link) Check(id engine.CheckID) {
	conditions := l.conditions(0, 0)
	conditions.SurvivesPause = true
	l.queueRequest(checkKey(id), "host.ping", nil, conditions, &request{
		onEnded: func(o router.Outcome, _ string) { l.set.engine.CheckEnded(id, o, nil) },
		onResponse: func(resp response) {
			if resp.code != 0 {
				l.set.engine.CheckEnded(id, router.Errored, nil)
				return
			}
			l.set.engine.CheckEnded(id, router.OK, resp.report)
		},
	})
}

// queueRequest queues a message of one request.
func (l *Link) queueRequest(key, method string, params []byte, conditions outbound.Conditions, req *request) {
	m := l.plainMessage(key, method, params)
	m.Requests[0].Conditions = conditions
	l.queue(m, []*request{req})
}

// plainMessage returns a message that says the same whenever it is sent: a request, or a notification without a key.
func (l *Link) plainMessage(key, method string, params []byte) *outbound.Message {
	st := l.out
	return &outbound.Message{Requests: []outbound.Request{{ID: key, Size: len(params) + messageOverhead}},
		AppendTo: func(out []byte, _ router.Time, _ []string) []byte {
			return appendMessage(out, st.binary, key, method, params, nil)
		}}
}

// queue queues a message with a request for each of its parts. It is sent at the end of the turn if the worker is
// ready and reads, else when it is, unless its conditions do not hold any more.
func (l *Link) queue(m *outbound.Message, requests []*request) {
	endAll := func(o router.Outcome, cause string) {
		l.set.loop.Post(func() {
			for _, req := range requests {
				req.onEnded(o, cause)
			}
		})
	}
	if l.ctx.Err() != nil {
		endAll(router.ConnectFailed, "the link to "+l.name+" is closed")
		return
	}
	if l.out.queuedBytes() > l.set.opts.QueuedBytes {
		endAll(router.Full, l.name+" reads too slowly")
		return
	}
	for i, req := range requests {
		l.lastSequence++
		req.sequence = l.lastSequence
		l.inFlight[m.Requests[i].ID] = req
	}
	l.out.add(m)
	l.flushLater()
}

// notify queues a notification.
func (l *Link) notify(method string, params []byte) {
	l.out.add(l.plainMessage("", method, params))
	l.flushLater()
}

func (l *Link) flushLater() {
	if !l.flushes {
		l.flushes = true
		l.set.toFlush = append(l.set.toFlush, l)
	}
}

// flush writes what the worker takes now. It watches the rest for the end of its time.
func (l *Link) flush() {
	l.flushes = false
	if l.out.flush(); l.out.hasUnsent() && !l.waits {
		l.waits = true
		l.set.waiting = append(l.set.waiting, l)
	}
	l.postDropped(l.out)
}

// expire ends the requests that may not be sent any more. It reports whether others still wait.
func (l *Link) expire() (waits bool) {
	l.out.expire(l.set.now)
	l.endDropped()
	l.waits = l.out.hasUnsent()
	return l.waits
}

// dropUnsent ends the requests that have not been sent.
func (l *Link) dropUnsent(err error) {
	l.set.unbatchLink(l, err)
	l.out.dropUnsent(err)
	l.postDropped(l.out)
}

// postDropped has the event loop end the requests that were dropped from a stream. Any goroutine may call it.
func (l *Link) postDropped(st *stream) {
	if st.hasDropped() {
		l.set.loop.Post(func() {
			if st == l.out {
				l.endDropped()
			}
		})
	}
}

// endDropped ends the requests that were removed from the queue because their conditions did not hold any more.
func (l *Link) endDropped() {
	for _, d := range l.out.takeDropped() {
		req := l.inFlight[d.ID]
		if req == nil {
			continue
		}
		delete(l.inFlight, d.ID)
		l.set.opts.Log.Debug().Str("worker", l.name).Str("id", d.ID).AnErr("cause", d.Err).Msg("request not sent")
		req.onEnded(l.outcomeOfDropped(d.Err), fmt.Sprintf("%s: %v", l.name, d.Err))
	}
	l.closeIfIdle()
}

// outcomeOfDropped returns what the end of a request that was never sent says about its worker.
func (l *Link) outcomeOfDropped(err error) router.Outcome {
	switch {
	case errors.Is(err, outbound.ErrConnectionLost), errors.Is(err, outbound.ErrWaited) && !l.out.isReady():
		return router.ConnectFailed
	case errors.Is(err, outbound.ErrWaited), errors.Is(err, outbound.ErrWithdrawn):
		return router.Full
	}
	return router.NotSent
}

// connectionLost ends all requests that were in flight on a lost connection. One that has not been begun never ran. It
// runs in a turn of the event loop.
func (l *Link) connectionLost(err error) {
	l.endDropped()
	lost := l.out
	lost.connectionLost()
	l.out = newStream(l)
	l.set.unbatchLink(l, outbound.ErrConnectionLost)
	l.endAll(lost, fmt.Sprintf("connection to %s lost: %v", l.name, err))
	l.closeIfIdle()
}

// endAll ends the requests on a stream, in the order in which they were queued, so that the same events are always
// reported in the same order.
func (l *Link) endAll(lost *stream, cause string) {
	inFlight := l.inFlight
	l.inFlight = map[string]*request{}
	keys := make([]string, 0, len(inFlight))
	for key := range inFlight {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b string) int { return cmp.Compare(inFlight[a].sequence, inFlight[b].sequence) })
	for _, key := range keys {
		outcome := router.Reset
		if lost.state(key) == outbound.Unsent {
			outcome = router.ConnectFailed
		}
		inFlight[key].onEnded(outcome, cause)
	}
}
