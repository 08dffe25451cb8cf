package platform

import (
	"mallowlanding/internal/feed"
	"mallowlanding/internal/nameid"
	"mallowlanding/router"
)

// listedWorkers holds the ready workers of the worker list. No two of them have one address if the list tells which one
// started later.
type listedWorkers struct {
	byName    map[string]feed.Worker
	byAddress map[string]string // name of the worker that started last at the address
}

func newListedWorkers() listedWorkers {
	return listedWorkers{byName: map[string]feed.Worker{}, byAddress: map[string]string{}}
}

// add adds a ready worker, or renews its entry.
func (l *listedWorkers) add(w feed.Worker) {
	l.remove(w.Name)
	l.byName[w.Name], l.byAddress[w.Address] = w, w.Name
}

func (l *listedWorkers) remove(name string) {
	if address := l.byName[name].Address; l.byAddress[address] == name {
		delete(l.byAddress, address)
	}
	delete(l.byName, name)
}

// successor returns which of a worker and another one that is listed at its address has started later; the other one is
// gone. There is none where the list does not tell.
func (l *listedWorkers) successor(w feed.Worker) (later, gone string) {
	other, taken := l.byName[l.byAddress[w.Address]]
	switch {
	case !taken || other.Name == w.Name:
		return "", ""
	case w.StartedMs > other.StartedMs:
		return w.Name, other.Name
	case w.StartedMs < other.StartedMs:
		return other.Name, w.Name
	}
	return "", ""
}

func (f *FrontEnd) applyEvent(e feed.Event) {
	f.engine.BeginWorkerList(e.Update, e.Pos)
	named := map[string]bool{}
	for _, w := range e.Workers {
		if err := f.applyWorker(w); err != nil {
			f.log.Error().Err(err).Msg("worker of the list skipped")
		}
		named[w.Name] = true
	}
	f.engine.EndWorkerList()
	if e.Update == router.ListComplete {
		for name := range f.listed.byName {
			if !named[name] {
				f.removeWorker(name)
			}
		}
	}
}

// applyWorker applies one entry of the worker list.
func (f *FrontEnd) applyWorker(w feed.Worker) error {
	known, isListed := f.listed.byName[w.Name]
	if w.Address == "" {
		w.Address = known.Address
	}
	if w.State == router.Ready {
		later, gone := f.listed.successor(w)
		if gone != "" {
			f.log.Info().Str("worker", gone).Str("successor", later).Str("address", w.Address).
				Msg("worker is gone: another one has started at its address")
		}
		if gone == w.Name {
			w.State = router.Removed
		} else if gone != "" {
			predecessor := f.listed.byName[gone]
			predecessor.State = router.Removed
			if err := f.passWorker(predecessor); err != nil {
				return err
			}
			f.removeWorker(gone)
		}
	}
	if err := f.passWorker(w); err != nil {
		return err
	}
	if w.State != router.Ready || w.Address == "" { // nothing more is sent to it
		f.removeWorker(w.Name)
		return nil
	}
	if isListed && w.StartedMs > known.StartedMs { // its connections lead to a process that has ended
		f.links.Remove(w.Name)
	}
	f.listed.add(w)
	f.links.Add(w.Name, w.Address, nameid.Worker(w.Name))
	return nil
}

// passWorker passes one entry of the worker list to the engine.
func (f *FrontEnd) passWorker(w feed.Worker) error {
	started := router.Time(0)
	if w.StartedMs > 0 {
		started = max(1, router.Time(w.StartedMs*10)+f.epoch)
	}
	return f.engine.AddListedWorker(w.Name, w.State, started, router.ZoneID(indexOf(f.zones, w.Zone)), router.CellID(w.Cell),
		router.KindID(indexOf(f.kinds, w.Kind)))
}

// removeWorker has nothing more sent to a worker.
func (f *FrontEnd) removeWorker(name string) {
	f.links.Remove(name)
	f.listed.remove(name)
}

// indexOf returns the index of a name in a list, or the length of the list if it is missing.
func indexOf(list []string, name string) int {
	for i, entry := range list {
		if entry == name {
			return i
		}
	}
	return len(list)
}
