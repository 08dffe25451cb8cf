package engine

import (
	"fmt"

	"mallowlanding/internal/nameid"
	"mallowlanding/router"
)

// worker is a worker by the id of its name.
type worker struct {
	id        router.WorkerID
	name      string
	link      Link
	lastList  uint64      // number of the last worker list that contained it
	removedAt router.Time // when it left the worker list; 0: it is in the list
}

// SetLink sets the link of a worker. While it is nil, call-outs to the worker end as router.ConnectFailed.
func (e *Engine) SetLink(name string, link Link) {
	e.ensureWorker(name).link = link
}

func (e *Engine) ensureWorker(name string) *worker {
	id := nameid.Worker(name)
	w := e.workers[id]
	if w == nil {
		w = &worker{id: id, name: name}
		e.workers[id] = w
	}
	return w
}

// BeginWorkerList begins a worker list or a set of changes to it. Calls of AddListedWorker and one of EndWorkerList
// follow; see router.Router.
func (e *Engine) BeginWorkerList(update router.ListUpdate, version uint64) {
	e.listCount++
	e.listComplete = update == router.ListComplete
	e.router.BeginWorkerList(e.now, update, version)
}

// AddListedWorker adds one entry to the current list. Started is 0 for a worker that started long ago. A name that has
// the id of another worker's name is refused.
func (e *Engine) AddListedWorker(name string, state router.Readiness, started router.Time, zone router.ZoneID,
	cell router.CellID, kind router.KindID) error {
	if w := e.workers[nameid.Worker(name)]; w != nil && w.name != name {
		return fmt.Errorf("worker %q has the id of worker %q: rename one of them", name, w.name)
	}
	w := e.ensureWorker(name)
	if w.lastList = e.listCount; state != router.Removed {
		w.removedAt = 0
	} else if w.removedAt == 0 {
		w.removedAt = e.now
	}
	e.router.AddListedWorker(e.now, w.id, state, started, zone, cell, kind, 1)
	return nil
}

// EndWorkerList ends the current list. Workers that a complete list does not contain are removed.
func (e *Engine) EndWorkerList() {
	if e.listComplete {
		for _, w := range e.workers {
			if w.lastList != e.listCount && w.removedAt == 0 {
				w.removedAt = e.now
			}
		}
	}
	e.router.EndWorkerList(e.now)
}

// ConfirmWorkerList records that the worker list was complete and correct at the time asOf; see router.Router.
func (e *Engine) ConfirmWorkerList(asOf router.Time) { e.router.ConfirmWorkerList(e.now, asOf) }
