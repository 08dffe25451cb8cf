package workerlink

import (
	"slices"

	"mallowlanding/internal/engine"
)

// batchKey identifies the RPCs that may be sent in one batch: those of one function to one worker.
type batchKey struct{ worker, function string }

// batchedCallOut is a call-out that waits for its batch to be due.
type batchedCallOut struct {
	link    *Link
	callOut *callOut
}

// queueBatch queues the call-outs of a batch as one message, each under its own id.
func (s *Set) queueBatch(ids []engine.CallOutID) {
	var l *Link
	var callOuts []*callOut
	for _, id := range ids {
		b := s.batched[id]
		delete(s.batched, id)
		l, callOuts = b.link, append(callOuts, b.callOut)
	}
	if l != nil {
		l.queueCallOuts(callOuts)
	}
}

// QueueDueBatches queues the batches that are due. Call it in a turn of the event loop, before Flush.
func (s *Set) QueueDueBatches() {
	for _, ids := s.batches.PopDue(s.now); ids != nil; _, ids = s.batches.PopDue(s.now) {
		s.queueBatch(ids)
	}
}

// unbatch removes a call-out from its batch, and reports whether it was in one that is not due.
func (s *Set) unbatch(id engine.CallOutID) bool {
	b, batched := s.batched[id]
	if batched {
		s.batches.Remove(batchKey{b.link.name, b.callOut.function}, id)
		delete(s.batched, id)
	}
	return batched
}

// unbatchLink removes the call-outs of a link from their batches. They end in a later event, since they were never
// sent.
func (s *Set) unbatchLink(l *Link, err error) {
	var ids []engine.CallOutID
	for id, b := range s.batched {
		if b.link == l {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	outcome := l.outcomeOfDropped(err)
	for _, id := range ids {
		s.unbatch(id)
		s.loop.Post(func() { l.callOutRequest(id).onEnded(outcome, l.name+": "+err.Error()) })
	}
}
