package main

import (
	"cmp"
	"net/http"
	"time"
)

// silence is a time in which discovery reports nothing.
type silence struct {
	from, until time.Time // until: zero while the silence lasts
	limit       time.Duration
}

// recoveryLimit is the longest time from the end of a fault to a front end's next request: its last one may still be
// open.
const recoveryLimit = 2500 * time.Millisecond

// reportedAt returns the time at which a drain counts as reported.
func (f *outageFleet) reportedAt(drained time.Time) time.Time {
	for _, s := range f.silences {
		if drained.Before(s.from) || !s.until.IsZero() && drained.After(s.until) {
			continue
		}
		reported := s.from.Add(s.limit)
		if drained.After(reported) {
			reported = drained
		}
		if recovered := s.until.Add(recoveryLimit); !s.until.IsZero() && recovered.Before(reported) {
			reported = recovered
		}
		return reported
	}
	return drained
}

// beginSilence notes that discovery stops reporting, endSilence that it reports again.
func (f *outageFleet) beginSilence(limit time.Duration) {
	f.silences = append(f.silences, silence{from: time.Now(), limit: cmp.Or(limit, silenceLimit)})
}

func (f *outageFleet) endSilence() { f.silences[len(f.silences)-1].until = time.Now() }

// verify fails the test if calls or load orders reached a draining worker past its grace, or if too few RPCs were
// served or too many checks sent once drains counted as reported.
func (f *outageFleet) verify(began, reportedBy time.Time) {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	lateness := time.Duration(f.maxLateness.Load())
	received, refused := map[messageKind]int{}, map[messageKind]int{}
	violations, shown := 0, 0
	for _, msg := range f.messages {
		if msg.at.After(reportedBy) {
			received[msg.kind]++
			if msg.status != http.StatusOK {
				refused[msg.kind]++
			}
		}
		if msg.drained.IsZero() || msg.kind != callMessage && msg.kind != orderMessage {
			continue
		}
		if limit := f.reportedAt(msg.drained).Add(f.mode.grace + graceTolerance + lateness); msg.at.After(limit) {
			if violations++; shown < 5 {
				shown++
				f.t.Errorf("%s sent to draining worker %d, %v past its grace, %v into the outage", msg.kind, msg.worker,
					msg.at.Sub(limit).Round(time.Millisecond), msg.at.Sub(began).Round(time.Millisecond))
			}
		}
	}
	served, all := 0, 0
	for _, r := range f.rpcs {
		if r.at.After(reportedBy) {
			if all++; r.served {
				served++
			}
		}
	}
	share := float64(served) / float64(max(all, 1))
	f.t.Logf("past the time limit: %d of %d RPCs served (%.3f); received %v, refused %v; %d calls and orders to draining workers; timers up to %v late",
		served, all, share, received, refused, violations, lateness.Round(time.Millisecond))
	if violations > 0 {
		f.t.Errorf("%d calls and orders sent to draining workers past their grace", violations)
	}
	if all == 0 || share < f.mode.minServed {
		f.t.Errorf("served %.3f of %d RPCs past the time limit, want at least %.2f", share, all, f.mode.minServed)
	}
	if checks := received[checkMessage]; checks > all+50 {
		f.t.Errorf("%d checks for %d RPCs: too many", checks, all)
	}
	if f.t.Failed() {
		for i, fe := range f.frontEnds {
			f.t.Logf("log of front end %d: %s", i, fe.log)
		}
	}
}
