package main

import (
	"cmp"
	"net/http"
	"time"
)

// silence is a time in which discovery tells nothing.
type silence struct {
	from, until time.Time // until: zero while it lasts
	clock       time.Duration
}

// recovery is how long a front end takes at the most to ask again once discovery is back: its last ask may still be out.
const recovery = 2500 * time.Millisecond

// told is when a drain counts as told.
func (f *outageFleet) told(drained time.Time) time.Time {
	for _, s := range f.silences {
		if drained.Before(s.from) || !s.until.IsZero() && drained.After(s.until) {
			continue
		}
		told := s.from.Add(s.clock)
		if drained.After(told) {
			told = drained
		}
		if again := s.until.Add(recovery); !s.until.IsZero() && again.Before(told) {
			told = again
		}
		return told
	}
	return drained
}

// silent begins a time in which discovery tells nothing, heard ends it.
func (f *outageFleet) silent(clock time.Duration) {
	f.silences = append(f.silences, silence{from: time.Now(), clock: cmp.Or(clock, silenceClock)})
}

func (f *outageFleet) heard() { f.silences[len(f.silences)-1].until = time.Now() }

// judge counts what was sent to a worker that drains beyond its grace, and what was served past the clock.
func (f *outageFleet) judge(began, told time.Time) {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	lateness := time.Duration(f.lateness.Load())
	counts, refused := map[sendKind]int{}, map[sendKind]int{}
	broken, shown := 0, 0
	for _, s := range f.sends {
		if s.at.After(told) {
			counts[s.what]++
			if s.status != http.StatusOK {
				refused[s.what]++
			}
		}
		if s.drained.IsZero() || s.what != sentCall && s.what != sentOrder {
			continue
		}
		if by := f.told(s.drained).Add(f.mode.grace + drainSlack + lateness); s.at.After(by) {
			if broken++; shown < 5 {
				shown++
				f.t.Errorf("%s to worker %d, which drains, %v past its grace, %v into the outage", s.what, s.worker,
					s.at.Sub(by).Round(time.Millisecond), s.at.Sub(began).Round(time.Millisecond))
			}
		}
	}
	served, all := 0, 0
	for _, r := range f.rpcs {
		if r.at.After(told) {
			if all++; r.served {
				served++
			}
		}
	}
	share := float64(served) / float64(max(all, 1))
	f.t.Logf("past the clock: %d of %d RPCs served (%.3f); came %v, turned away %v; %d sends and orders to workers that drain; this process up to %v late",
		served, all, share, counts, refused, broken, lateness.Round(time.Millisecond))
	if broken > 0 {
		f.t.Errorf("%d sends and orders to workers that drain", broken)
	}
	if all == 0 || share < f.mode.servedMin {
		f.t.Errorf("served %.3f of %d RPCs past the clock, %.2f are wanted", share, all, f.mode.servedMin)
	}
	if checks := counts[sentCheck]; checks > all+50 {
		f.t.Errorf("%d checks for %d RPCs", checks, all)
	}
	if f.t.Failed() {
		for i, fe := range f.frontEnds {
			f.t.Logf("front end %d: %s", i, fe.log)
		}
	}
}
