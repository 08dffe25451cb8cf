// Package audit checks that front ends keep the five rules, from the records of all others: clients, workers, the
// roster, and the program that starts and stops the processes. It does no I/O.
package audit

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"mallowlanding/internal/record"
	"mallowlanding/router"
)

// Method is what the rules depend on in a method.
type Method struct {
	Effect, Group string
	Window        float64 // ms in which a repeated token has no effect
}

// Limits are the bounds that the rules set. Times are in ms.
type Limits struct {
	Methods          map[string]Method
	Slack            float64 // what scheduling and sockets of one machine may add to any time
	DrainGrace       float64 // how long a front end may use a worker after it was notified of its drain or removal
	OverloadMultiple float64 // work that a cold worker may be sent in OverloadWindow, as a multiple of its capacity
	OverloadWindow   float64
	Cold             float64
	LoadWindow       float64 // 0: loads are not rationed
	FreeLoads        float64 // load orders that a front end may send in a LoadWindow in any case
	LoadShare        float64 // further load orders for each RPC that it received
}

// Violation is a violation of a rule.
type Violation struct {
	Rule   int
	RPC    string // the RPC's mark, or the worker for rules 3 to 5
	UnixNS int64  // ns since 1970
	Text   string
}

// Result is the outcome of an audit: the violations, and the number of records checked of each sort.
type Result struct {
	Violations                               []Violation
	RPCs, Answers, CallOuts, Effects, Orders int
}

const nsPerMS = int64(1e6)

type auditor struct {
	limits  Limits
	records []record.Record
	result  Result
	pauses  map[string][][2]int64 // by front end: start and end of each time it was suspended
	ends    map[string][]int64    // by front end: when its process ended
}

// leaveMarginNS is for how long something may still be sent for an RPC whose client has left.
const leaveMarginNS = int64(100e6)

// Check audits records, which may be in any order. Each try of a client counts as an RPC and has the mark "root/try".
func Check(limits Limits, records []record.Record) Result {
	a := &auditor{limits: limits, records: slices.Clone(records), pauses: map[string][][2]int64{},
		ends: map[string][]int64{}}
	for i := range a.records { // front ends are judged by when they sent something, not by when a worker read it
		a.records[i].UnixNS = a.records[i].SentNS()
	}
	slices.SortStableFunc(a.records, func(x, y record.Record) int { return cmp.Compare(x.UnixNS, y.UnixNS) })
	for _, r := range a.records {
		switch r.Kind {
		case record.ProcessPaused:
			a.pauses[r.FrontEnd] = append(a.pauses[r.FrontEnd], [2]int64{r.UnixNS, 1 << 62})
		case record.ProcessResumed:
			if pauses := a.pauses[r.FrontEnd]; len(pauses) > 0 {
				pauses[len(pauses)-1][1] = r.UnixNS
			}
		case record.ProcessEnded:
			a.ends[r.FrontEnd] = append(a.ends[r.FrontEnd], r.UnixNS)
		}
	}
	a.checkAnswers()
	a.checkEffects()
	a.checkDrains()
	a.checkColdWorkers()
	a.checkLoadRation()
	slices.SortStableFunc(a.result.Violations, func(x, y Violation) int {
		return cmp.Or(cmp.Compare(x.Rule, y.Rule), cmp.Compare(x.UnixNS, y.UnixNS))
	})
	return a.result
}

func (a *auditor) violation(rule int, subject string, unixNS int64, format string, args ...any) {
	a.result.Violations = append(a.result.Violations, Violation{rule, subject, unixNS, fmt.Sprintf(format, args...)})
}

func (a *auditor) slack() int64 { return int64(a.limits.Slack * float64(nsPerMS)) }

// pausedBetween returns how long a front end was suspended between two times. It can't act while it is suspended, so
// the rules allow it that much more time.
func (a *auditor) pausedBetween(frontEnd string, from, to int64) int64 {
	sum := int64(0)
	for _, pause := range a.pauses[frontEnd] {
		sum += max(0, min(to, pause[1])-max(from, pause[0]))
	}
	return sum
}

// rpcState is what checkAnswers knows of one RPC.
type rpcState struct {
	sent       record.Record
	answers    int
	answeredNS int64 // time of the first answer
	leftNS     int64 // when its client left; 0: it has not
	closed     bool  // its client left, or the connection was lost
	done       bool  // its client waits no more
}

// checkAnswers checks rule one: every RPC that a running front end received gets exactly one final answer, in time, and
// nothing is sent for it after that.
func (a *auditor) checkAnswers() {
	rpcs := map[string]*rpcState{}
	received := map[string]bool{}
	waiting := map[joinKey]int{} // RPCs that wait, by what a repeat joins
	finish := func(state *rpcState) {
		if !state.done {
			state.done = true
			waiting[joinKeyOf(&state.sent)]--
		}
	}
	var marks []string
	for _, r := range a.records {
		if r.Kind == record.RequestReceived {
			received[r.RPC] = true
		}
	}
	for _, r := range a.records {
		state := rpcs[r.RPC]
		switch r.Kind {
		case record.RPCSent:
			a.result.RPCs++
			rpcs[r.RPC] = &rpcState{sent: r}
			marks = append(marks, r.RPC)
			waiting[joinKeyOf(&r)]++
		case record.RequestReceived:
			if state != nil && (r.Token == "" || waiting[joinKeyOf(&state.sent)] == 0) {
				a.checkSentInTime(&r, state)
			}
		case record.RPCAnswered:
			a.result.Answers++
			if state == nil {
				a.violation(1, r.RPC, r.UnixNS, "an answer to what was not sent")
				continue
			}
			if state.answers++; state.answers > 1 {
				a.violation(1, r.RPC, r.UnixNS, "answer %d of one RPC: %s", state.answers, r.Outcome)
				continue
			}
			state.answeredNS = r.UnixNS
			finish(state)
			a.checkAnswerInTime(&r, state)
		case record.ClientLeft:
			if state != nil {
				state.closed, state.leftNS = true, r.UnixNS
				finish(state)
			}
		case record.ConnectionLost:
			if state == nil {
				continue
			}
			state.closed = true
			finish(state)
			a.checkConnectionLost(&r, state, received[r.RPC])
		}
	}
	for _, mark := range marks {
		if state := rpcs[mark]; state.answers == 0 && !state.closed {
			a.violation(1, mark, state.sent.UnixNS, "%s never answered", state.sent.FrontEnd)
		}
	}
}

// joinKey identifies the RPCs that may share one call-out: those of one token at one front end.
type joinKey struct{ frontEnd, token string }

func joinKeyOf(r *record.Record) joinKey { return joinKey{r.FrontEnd, r.Token} }

// checkAnswerInTime checks that an RPC was answered before its client's time was up.
func (a *auditor) checkAnswerInTime(answer *record.Record, state *rpcState) {
	due := state.sent.UnixNS + int64(state.sent.DurationMS*float64(nsPerMS)) + a.slack() +
		a.pausedBetween(state.sent.FrontEnd, state.sent.UnixNS, answer.UnixNS)
	if answer.UnixNS > due {
		a.violation(1, answer.RPC, answer.UnixNS, "%s from %s %.0f ms after its client's time was up", answer.Outcome, state.sent.FrontEnd,
			float64(answer.UnixNS-due+a.slack())/float64(nsPerMS))
	}
}

// checkSentInTime checks that a request was sent to a worker before the answer of its RPC, and no later than the margin
// after its client left.
func (a *auditor) checkSentInTime(request *record.Record, state *rpcState) {
	check := func(sinceNS, marginNS int64, what string) {
		late := request.UnixNS - sinceNS - marginNS - a.slack() - a.pausedBetween(request.FrontEnd, sinceNS, request.UnixNS)
		if sinceNS > 0 && late > 0 {
			a.violation(1, request.RPC, request.UnixNS, "%s sent it to %s %.0f ms after %s", request.FrontEnd, request.Source,
				float64(request.UnixNS-sinceNS)/float64(nsPerMS), what)
		}
	}
	check(state.answeredNS, 0, "its answer")
	check(state.leftNS, leaveMarginNS, "its client had left")
}

// checkConnectionLost checks a connection that ended without an answer. A front end that was killed need not answer
// what it had received, and one that exited may not have received what was sent at that time.
func (a *auditor) checkConnectionLost(lost *record.Record, state *rpcState, received bool) {
	ended := slices.ContainsFunc(a.ends[lost.FrontEnd], func(t int64) bool {
		return t >= state.sent.UnixNS-a.slack() && t <= lost.UnixNS+a.slack()
	})
	if !ended && (received || lost.UnixNS > state.sent.UnixNS+a.slack()) {
		a.violation(1, lost.RPC, lost.UnixNS, "%s lived and closed the connection without an answer", lost.FrontEnd)
	}
}

// provesNotRun reports whether a worker's response with this code proves that the RPC never ran there. The codes are
// specified in docs/protocol.md.
func provesNotRun(code int) bool { return code == -32010 || code == -32011 }

func rootMark(mark string) string {
	r, _, _ := strings.Cut(mark, "/")
	return r
}

// checkEffects checks rule two: no effect happens twice, and no call-out or denial is sent that could lead to that.
func (a *auditor) checkEffects() {
	type callOut struct {
		record.Record
		zone, cell string
		notRun     bool // a response proves it
	}
	type location struct{ zone, cell string }
	locations := map[string]location{}
	callOuts := map[string][]*callOut{} // by mark
	effects := map[string]int{}         // effects by mark
	rootEffects := map[string]int{}     // by root of the mark, which all tries of a client's RPC share
	lastEffect := map[string]int64{}    // by token: when its effect last happened
	for _, r := range a.records {
		m := a.limits.Methods[r.Method]
		switch r.Kind {
		case record.WorkerStarted:
			locations[r.Source] = location{r.Zone, r.Cell}
		case record.RequestReceived:
			a.result.CallOuts++
			if r.RPC == "" {
				continue
			}
			loc := locations[r.Source]
			current := &callOut{Record: r, zone: loc.zone, cell: loc.cell}
			for _, c := range callOuts[r.RPC] {
				if c.notRun || m.Effect == router.Idempotent {
					continue
				}
				if m.Effect == router.SideEffecting {
					a.violation(2, r.RPC, r.UnixNS, "%s sent it to %s though it may have run at %s", r.FrontEnd, r.Source, c.Source)
					break
				}
				inGroup := m.Group == "all" || m.Group == "zone" && c.zone == current.zone ||
					m.Group == "cell" && c.cell == current.cell
				if late := r.UnixNS - c.UnixNS - int64(m.Window*float64(nsPerMS)) - a.slack(); !inGroup || late > 0 {
					a.violation(2, r.RPC, r.UnixNS, "%s sent it to %s, outside the group or the window of %s, where it may have run",
						r.FrontEnd, r.Source, c.Source)
					break
				}
			}
			callOuts[r.RPC] = append(callOuts[r.RPC], current)
		case record.RequestEnded:
			for _, c := range callOuts[r.RPC] {
				c.notRun = c.notRun || c.Source == r.Source && provesNotRun(r.N)
			}
		case record.EffectApplied:
			a.result.Effects++
			if r.RPC == "" {
				continue
			}
			effects[r.RPC]++
			rootEffects[rootMark(r.RPC)]++
			if m.Effect == router.SideEffecting && rootEffects[rootMark(r.RPC)] > 1 {
				a.violation(2, r.RPC, r.UnixNS, "effect %d of one side-effecting RPC, at %s",
					rootEffects[rootMark(r.RPC)], r.Source)
			}
			if m.Effect == router.Tokened {
				last, seen := lastEffect[r.Token]
				if seen && m.Group == "all" && r.UnixNS-last <= int64(m.Window*float64(nsPerMS))-a.slack() {
					a.violation(2, r.RPC, r.UnixNS, "token %s took effect again within its window, at %s", r.Token, r.Source)
				}
				lastEffect[r.Token] = r.UnixNS
			}
		}
	}
	// a denial promises that a retry is harmless, so the effect must not happen later either
	methods := map[string]string{}
	for _, r := range a.records {
		if r.Kind == record.RPCSent {
			methods[r.RPC] = r.Method
		}
		if r.Kind != record.RPCAnswered || r.Outcome != "denied" || effects[r.RPC] == 0 {
			continue
		}
		if m := a.limits.Methods[methods[r.RPC]]; m.Effect == router.SideEffecting ||
			m.Effect == router.Tokened && m.Group != "all" {
			a.violation(2, r.RPC, r.UnixNS, "denied, though its effect happened")
		}
	}
}

// checkDrains checks rule three: a front end sends nothing new to a draining or removed worker once the grace after it
// was notified is over.
func (a *auditor) checkDrains() {
	type pair struct{ frontEnd, worker string }
	notifiedAt := map[pair]int64{} // when it was notified that the worker drains or is removed; no entry while it is ready
	for _, r := range a.records {
		switch r.Kind {
		case record.StateSent:
			key := pair{r.FrontEnd, r.Worker}
			if r.State == "ready" {
				delete(notifiedAt, key)
			} else if _, known := notifiedAt[key]; !known {
				notifiedAt[key] = r.UnixNS
			}
		case record.RequestReceived, record.LoadOrdered:
			if r.Kind == record.LoadOrdered {
				a.result.Orders++
			}
			since, ok := notifiedAt[pair{r.FrontEnd, r.Source}]
			if !ok {
				continue
			}
			// a front end that was suspended is notified when it continues
			late := r.UnixNS - since - int64(a.limits.DrainGrace*float64(nsPerMS)) - a.slack() -
				a.pausedBetween(r.FrontEnd, since, r.UnixNS)
			if late > 0 {
				what := r.RPC
				if r.Kind == record.LoadOrdered {
					what = "a load order for " + r.Function
				}
				a.violation(3, r.Source, r.UnixNS, "%s sent it %s, %.0f ms after the grace was over", r.FrontEnd, what,
					float64(late)/float64(nsPerMS))
			}
		}
	}
}

// checkColdWorkers checks rule four: the work that all front ends send a cold worker within a window stays under a
// multiple of what it can do. Exceeding that is a violation only if at least two thirds of the work came from front
// ends that were notified of the worker's start. A worker's failure from overload is a violation in any case.
func (a *auditor) checkColdWorkers() {
	type workSample struct {
		t        int64
		cost     float64
		notified bool
	}
	type workerState struct {
		start      record.Record
		recentWork []workSample
		reported   bool
	}
	workers := map[string]*workerState{}
	notified := map[string]map[string]bool{} // by worker: the front ends notified that it is ready
	window := int64(a.limits.OverloadWindow * float64(nsPerMS))
	for _, r := range a.records {
		switch r.Kind {
		case record.WorkerStarted:
			workers[r.Source] = &workerState{start: r}
			notified[r.Source] = map[string]bool{}
		case record.StateSent:
			if t := notified[r.Worker]; t != nil && r.State == "ready" {
				t[r.FrontEnd] = true
			}
		case record.WorkerOverloaded:
			if w := workers[r.Source]; w != nil && !w.reported {
				a.violation(4, r.Source, r.UnixNS, "it fell: sent %.0f ms of work, could do %.0f", r.WorkMS, r.DurationMS)
				w.reported = true
			}
		case record.RequestReceived:
			w := workers[r.Source]
			if w == nil || w.start.ColdMS == 0 || r.UnixNS-w.start.UnixNS > int64(w.start.ColdMS*float64(nsPerMS)) {
				continue
			}
			w.recentWork = append(w.recentWork, workSample{r.UnixNS, r.WorkMS, notified[r.Source][r.FrontEnd]})
			w.recentWork = slices.DeleteFunc(w.recentWork, func(p workSample) bool { return p.t < r.UnixNS-window })
			sum, notifiedWork := 0.0, 0.0
			for _, p := range w.recentWork {
				if sum += p.cost; p.notified {
					notifiedWork += p.cost
				}
			}
			age := float64(r.UnixNS-w.start.UnixNS) / float64(nsPerMS) / w.start.ColdMS
			maxWork := a.limits.OverloadMultiple * (w.start.ColdFrom + (1-w.start.ColdFrom)*age) * w.start.Cores *
				a.limits.OverloadWindow
			if sum > maxWork+3*r.WorkMS && notifiedWork >= sum*2/3 && !w.reported {
				a.violation(4, r.Source, r.UnixNS, "sent %.0f ms of work within %.0f ms, could do %.0f", sum,
					a.limits.OverloadWindow, maxWork)
				w.reported = true
			}
		}
	}
}

// checkLoadRation checks rule five: the load orders that a front end sends in a window stay under a fixed number plus a
// share of the RPCs that it received.
func (a *auditor) checkLoadRation() {
	if a.limits.LoadWindow == 0 {
		return
	}
	window := int64(a.limits.LoadWindow * float64(nsPerMS))
	orders, rpcs := map[string][]int64{}, map[string][]int64{}
	for _, r := range a.records {
		switch r.Kind {
		case record.RPCSent:
			rpcs[r.FrontEnd] = append(rpcs[r.FrontEnd], r.UnixNS)
		case record.LoadOrdered:
			dropBefore := func(times []int64, from int64) []int64 {
				return slices.DeleteFunc(times, func(t int64) bool { return t < from })
			}
			frontEnd := r.FrontEnd
			orders[frontEnd] = dropBefore(append(orders[frontEnd], r.UnixNS), r.UnixNS-window+a.slack())
			rpcs[frontEnd] = dropBefore(rpcs[frontEnd],
				r.UnixNS-window-a.slack()-a.pausedBetween(frontEnd, r.UnixNS-2*window, r.UnixNS))
			if maxOrders := a.limits.FreeLoads + a.limits.LoadShare*float64(len(rpcs[frontEnd])); float64(len(orders[frontEnd])) > maxOrders {
				a.violation(5, r.Source, r.UnixNS, "load order %d of %s within %.0f ms, %.1f allowed",
					len(orders[frontEnd]), frontEnd, a.limits.LoadWindow, maxOrders)
			}
		}
	}
}

// WastedWork is the work that workers did for clients that had left or cancelled.
type WastedWork struct {
	ClientsLeft, StartedLate         int     // clients that left; RPCs of theirs that got a core only after the margin
	StartedLateMS, WastedMS, TotalMS float64 // work of those RPCs; all work after the margin; all work at all
}

// MeasureWaste adds up the work done later than a margin (in ms) after the client had left.
func MeasureWaste(records []record.Record, margin float64) (w WastedWork) {
	marginEnd := map[string]int64{}
	for _, r := range records {
		if r.Kind == record.ClientLeft {
			w.ClientsLeft++
			marginEnd[r.RPC] = r.UnixNS + int64(margin*float64(nsPerMS))
		}
	}
	for _, r := range records {
		if r.Kind != record.WorkDone {
			continue
		}
		w.TotalMS += r.DurationMS
		end, clientLeft := marginEnd[r.RPC]
		if past := float64(r.UnixNS-end) / float64(nsPerMS); clientLeft && past > 0 {
			w.WastedMS += min(past, r.DurationMS)
			if past >= r.DurationMS {
				w.StartedLate++
				w.StartedLateMS += r.DurationMS
			}
		}
	}
	return w
}
