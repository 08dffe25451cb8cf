package router

import "slices"

// forget drops records that nothing can happen to any more, so that memory does not grow with all functions ever asked
// for and all workers that ever were: functions without an RPC or a copy, and workers gone, for forgetAfter. It decides
// nothing: every figure of theirs has faded, or run out, long before.
func (r *Router) forget() {
	for id, fn := range r.fns {
		if r.now-fn.needAt >= forgetAfter && fn.out+fn.held == 0 && !r.heldAnywhere(id) {
			delete(r.fns, id)
			r.seen -= fn.size
		}
	}
	for _, w := range r.list {
		switch {
		case w.state != Gone:
			w.goneAt = 0
		case w.goneAt == 0:
			w.goneAt = r.now
		case r.now-w.goneAt >= forgetAfter && w.active == 0 && !w.checking:
			delete(r.workers, w.id)
		}
	}
	if len(r.workers) < len(r.list) {
		r.list = slices.DeleteFunc(r.list, func(w *worker) bool { return r.workers[w.id] != w })
	}
}

func (r *Router) heldAnywhere(id FunctionID) bool {
	return slices.ContainsFunc(r.list, func(w *worker) bool { return w.holds[id] != nil })
}

// record is a worker's, for answers that come late; of one that is forgotten, one that stands for it.
func (r *Router) record(id WorkerID) *worker {
	if w := r.workers[id]; w != nil {
		return w
	}
	return &worker{id: id, provenAt: never, passedAt: never, holds: map[FunctionID]*instance{}}
}
