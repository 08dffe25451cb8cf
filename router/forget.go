package router

import (
	"cmp"
	"slices"
)

// dropUnused drops records that are no longer in use, so that memory does not grow with every function and worker ever
// seen: functions without RPCs and copies, and removed workers without call-outs in flight or pending checks, both
// after unusedRetention. No decision depends on it: all values in such records have decayed or expired long before.
func (r *Router) dropUnused() {
	for id, fn := range r.functions {
		if r.now-fn.lastSubmit >= unusedRetention && fn.inFlight+fn.queued == 0 && !r.hasCopies(id) {
			delete(r.functions, id)
			r.functionMemory -= fn.memory
		}
	}
	for _, w := range r.sortedWorkers {
		switch {
		case w.state != Removed:
			w.removedAt = 0
		case w.removedAt == 0:
			w.removedAt = r.now
		case r.now-w.removedAt >= unusedRetention && w.inFlight == 0 && !w.checkPending:
			delete(r.workers, w.id)
		}
	}
	if len(r.workers) < len(r.sortedWorkers) {
		r.sortedWorkers = slices.DeleteFunc(r.sortedWorkers, func(w *worker) bool { return r.workers[w.id] != w })
	}
}

// hasCopies reports whether any worker is believed to hold or load copies of the function.
func (r *Router) hasCopies(id FunctionID) bool {
	return slices.ContainsFunc(r.sortedWorkers, func(w *worker) bool { return w.copies[id] != nil })
}

// dropExcessFunctions drops the records of the functions that have been unused for longest, if there are more than
// maxFunctions: clients may name new functions without end. Functions with RPCs or copies keep their records.
func (r *Router) dropExcessFunctions() {
	if len(r.functions) <= maxFunctions {
		return
	}
	withCopies := map[FunctionID]bool{}
	for _, w := range r.sortedWorkers {
		for id := range w.copies {
			withCopies[id] = true
		}
	}
	var unused []*function
	for id, fn := range r.functions {
		if fn.inFlight+fn.queued == 0 && !withCopies[id] {
			unused = append(unused, fn)
		}
	}
	slices.SortFunc(unused, func(a, b *function) int {
		return cmp.Or(cmp.Compare(a.lastSubmit, b.lastSubmit), cmp.Compare(a.id, b.id))
	})
	excess := len(r.functions) - maxFunctions + maxFunctions/4 // a quarter more, so that this is rare
	for _, fn := range unused[:min(excess, len(unused))] {
		delete(r.functions, fn.id)
		r.functionMemory -= fn.memory
	}
}

// workerRecord returns the record of a worker, for results that arrive late: an empty one if it was dropped.
func (r *Router) workerRecord(id WorkerID) *worker {
	if w := r.workers[id]; w != nil {
		return w
	}
	return &worker{id: id, evidenceAt: never, checkPassedAt: never, copies: map[FunctionID]*copySet{}}
}
