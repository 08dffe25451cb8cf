// Package audit checks the five rules from what those saw that are not a front end: clients, workers, the roster,
// and whoever started and stopped the processes. It reads records and does no I/O.
package audit

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"mallowlanding/internal/record"
	"mallowlanding/router"
)

// Method is what a method's RPCs may do.
type Method struct {
	Effect, Group string
	Window        float64 // ms
}

// Figures are what the rules are held to; times in ms.
type Figures struct {
	Methods      map[string]Method
	Slack        float64 // what scheduling and sockets of one machine may add to any time
	Drain        float64 // grace after a front end was told
	FallMultiple float64
	Fall         float64
	Cold         float64
	LoadWindow   float64 // 0: loads are not rationed
	LoadFree     float64
	LoadShare    float64
}

// Break is one break of a rule.
type Break struct {
	Rule int
	RPC  string // or the worker, for rules 3 to 5
	T    int64  // ns since 1970
	Text string
}

// Result is what an audit found, and how much it looked at.
type Result struct {
	Breaks                                   []Break
	RPCs, Answers, CallOuts, Effects, Orders int
}

const ms = int64(1e6)

type auditor struct {
	f       Figures
	records []record.Record
	out     Result
	stops   map[string][][2]int64 // by front end: when it stood still
	kills   map[string][]int64
}

// Check audits records of any order. Each try of a client is an RPC of its own, marked "root/try".
func Check(f Figures, records []record.Record) Result {
	a := &auditor{f: f, records: slices.Clone(records), stops: map[string][][2]int64{}, kills: map[string][]int64{}}
	slices.SortStableFunc(a.records, func(x, y record.Record) int { return cmp.Compare(x.UnixNS, y.UnixNS) })
	for _, r := range a.records {
		switch r.Kind {
		case record.ProcessPaused:
			a.stops[r.FrontEnd] = append(a.stops[r.FrontEnd], [2]int64{r.UnixNS, 1 << 62})
		case record.ProcessResumed:
			if s := a.stops[r.FrontEnd]; len(s) > 0 {
				s[len(s)-1][1] = r.UnixNS
			}
		case record.ProcessEnded:
			a.kills[r.FrontEnd] = append(a.kills[r.FrontEnd], r.UnixNS)
		}
	}
	a.answers()
	a.effects()
	a.drains()
	a.cold()
	a.ration()
	slices.SortStableFunc(a.out.Breaks, func(x, y Break) int {
		return cmp.Or(cmp.Compare(x.Rule, y.Rule), cmp.Compare(x.T, y.T))
	})
	return a.out
}

func (a *auditor) broken(rule int, who string, t int64, format string, args ...any) {
	a.out.Breaks = append(a.out.Breaks, Break{rule, who, t, fmt.Sprintf(format, args...)})
}

func (a *auditor) slack() int64 { return int64(a.f.Slack * float64(ms)) }

// stood is how long the front end stood still between two moments: what it can't do then is not held against it.
func (a *auditor) stood(frontEnd string, from, to int64) int64 {
	sum := int64(0)
	for _, s := range a.stops[frontEnd] {
		sum += max(0, min(to, s[1])-max(from, s[0]))
	}
	return sum
}

// answers is rule one: exactly one final answer in time, for all that a running front end has taken.
func (a *auditor) answers() {
	type rpc struct {
		sent    record.Record
		answers int
		over    bool // its client left, or the connection broke
	}
	open := map[string]*rpc{}
	seen := map[string]bool{}
	var order []string
	for _, r := range a.records {
		if r.Kind == record.RequestReceived {
			seen[r.RPC] = true
		}
	}
	for _, r := range a.records {
		p := open[r.RPC]
		switch r.Kind {
		case record.RPCSent:
			a.out.RPCs++
			open[r.RPC] = &rpc{sent: r}
			order = append(order, r.RPC)
		case record.RPCAnswered:
			a.out.Answers++
			if p == nil {
				a.broken(1, r.RPC, r.UnixNS, "an answer to what was not sent")
				continue
			}
			if p.answers++; p.answers > 1 {
				a.broken(1, r.RPC, r.UnixNS, "answer %d of one RPC: %s", p.answers, r.Outcome)
			}
			due := p.sent.UnixNS + int64(p.sent.DurationMS*float64(ms)) + a.slack() + a.stood(p.sent.FrontEnd, p.sent.UnixNS, r.UnixNS)
			if r.UnixNS > due {
				a.broken(1, r.RPC, r.UnixNS, "%s from %s %.0f ms after its client's time was up", r.Outcome, p.sent.FrontEnd,
					float64(r.UnixNS-due+a.slack())/float64(ms))
			}
		case record.ClientLeft:
			if p != nil {
				p.over = true
			}
		case record.ConnectionLost:
			if p == nil {
				continue
			}
			p.over = true
			// what a killed front end held is no longer its duty; what was sent as it left may not have been taken
			died := slices.ContainsFunc(a.kills[r.FrontEnd], func(t int64) bool {
				return t >= p.sent.UnixNS-a.slack() && t <= r.UnixNS+a.slack()
			})
			if !died && (seen[r.RPC] || r.UnixNS > p.sent.UnixNS+a.slack()) {
				a.broken(1, r.RPC, r.UnixNS, "%s lived and closed the connection without an answer", r.FrontEnd)
			}
		}
	}
	for _, mark := range order {
		if p := open[mark]; p.answers == 0 && !p.over {
			a.broken(1, mark, p.sent.UnixNS, "%s never answered", p.sent.FrontEnd)
		}
	}
}

// proves: a worker's answer with this code proves that the RPC never ran there; docs/protocol.md has the codes.
func proves(code int) bool { return code == -32010 || code == -32011 }

func root(mark string) string {
	r, _, _ := strings.Cut(mark, "/")
	return r
}

// effects is rule two: no effect twice, no call-out or denial that could lead to one.
func (a *auditor) effects() {
	type callOut struct {
		record.Record
		zone, cell string
		never      bool // proved by now
	}
	type where struct{ zone, cell string }
	places := map[string]where{}
	calls := map[string][]*callOut{} // by mark
	ran := map[string]int{}          // effects by mark
	roots := map[string]int{}        // by root of the mark
	tokens := map[string]int64{}     // when a token's effect happened last
	for _, r := range a.records {
		m := a.f.Methods[r.Method]
		switch r.Kind {
		case record.WorkerStarted:
			places[r.Source] = where{r.Zone, r.Cell}
		case record.RequestReceived:
			a.out.CallOuts++
			if r.RPC == "" {
				continue
			}
			p := places[r.Source]
			now := &callOut{Record: r, zone: p.zone, cell: p.cell}
			for _, c := range calls[r.RPC] {
				if c.never || m.Effect == router.Idempotent {
					continue
				}
				if m.Effect == router.SideEffecting {
					a.broken(2, r.RPC, r.UnixNS, "%s sent it to %s though it may have run at %s", r.FrontEnd, r.Source, c.Source)
					break
				}
				inside := m.Group == "all" || m.Group == "zone" && c.zone == now.zone ||
					m.Group == "cell" && c.cell == now.cell
				if late := r.UnixNS - c.UnixNS - int64(m.Window*float64(ms)) - a.slack(); !inside || late > 0 {
					a.broken(2, r.RPC, r.UnixNS, "%s sent it to %s, outside the group or the window of %s, where it may have run",
						r.FrontEnd, r.Source, c.Source)
					break
				}
			}
			calls[r.RPC] = append(calls[r.RPC], now)
		case record.RequestEnded:
			for _, c := range calls[r.RPC] {
				c.never = c.never || c.Source == r.Source && proves(r.N)
			}
		case record.EffectApplied:
			a.out.Effects++
			if r.RPC == "" {
				continue
			}
			ran[r.RPC]++
			roots[root(r.RPC)]++
			if m.Effect == router.SideEffecting && roots[root(r.RPC)] > 1 {
				a.broken(2, r.RPC, r.UnixNS, "effect %d of one side-effecting RPC, at %s", roots[root(r.RPC)], r.Source)
			}
			if m.Effect == router.Tokened {
				last, before := tokens[r.Token]
				if before && m.Group == "all" && r.UnixNS-last <= int64(m.Window*float64(ms))-a.slack() {
					a.broken(2, r.RPC, r.UnixNS, "token %s took effect again within its window, at %s", r.Token, r.Source)
				}
				tokens[r.Token] = r.UnixNS
			}
		}
	}
	// a denial says that a retry is harmless, whatever happens later
	methods := map[string]string{}
	for _, r := range a.records {
		if r.Kind == record.RPCSent {
			methods[r.RPC] = r.Method
		}
		if r.Kind != record.RPCAnswered || r.Outcome != "denied" || ran[r.RPC] == 0 {
			continue
		}
		if m := a.f.Methods[methods[r.RPC]]; m.Effect == router.SideEffecting || m.Effect == router.Tokened && m.Group != "all" {
			a.broken(2, r.RPC, r.UnixNS, "denied, though its effect happened")
		}
	}
}

// drains is rule three: nothing new later than the grace after the front end was told.
func (a *auditor) drains() {
	type way struct{ frontEnd, worker string }
	told := map[way]int64{} // when it was told draining or gone; absent: it is told ready
	for _, r := range a.records {
		switch r.Kind {
		case record.StateSent:
			w := way{r.FrontEnd, r.Worker}
			if r.State == "ready" {
				delete(told, w)
			} else if _, before := told[w]; !before {
				told[w] = r.UnixNS
			}
		case record.RequestReceived, record.LoadOrdered:
			if r.Kind == record.LoadOrdered {
				a.out.Orders++
			}
			t, is := told[way{r.FrontEnd, r.Source}]
			if !is {
				continue
			}
			// one that stood still was told when it went on
			late := r.UnixNS - t - int64(a.f.Drain*float64(ms)) - a.slack() - a.stood(r.FrontEnd, t, r.UnixNS)
			if late > 0 {
				what := r.RPC
				if r.Kind == record.LoadOrdered {
					what = "a load order for " + r.Function
				}
				a.broken(3, r.Source, r.UnixNS, "%s sent it %s, %.0f ms after the grace was over", r.FrontEnd, what,
					float64(late)/float64(ms))
			}
		}
	}
}

// cold is rule four: within any window, what all front ends send a cold worker stays under the multiple of what it
// can do. It counts against them only if two thirds came from front ends that were told of its start.
func (a *auditor) cold() {
	type push struct {
		t    int64
		cost float64
		told bool
	}
	type life struct {
		began  record.Record
		pushes []push
		broken bool
	}
	lives := map[string]*life{}
	told := map[string]map[string]bool{} // by worker: front ends told that it is ready
	window := int64(a.f.Fall * float64(ms))
	for _, r := range a.records {
		switch r.Kind {
		case record.WorkerStarted:
			lives[r.Source] = &life{began: r}
			told[r.Source] = map[string]bool{}
		case record.StateSent:
			if t := told[r.Worker]; t != nil && r.State == "ready" {
				t[r.FrontEnd] = true
			}
		case record.WorkerOverloaded:
			if l := lives[r.Source]; l != nil && !l.broken {
				a.broken(4, r.Source, r.UnixNS, "it fell: sent %.0f ms of work, could do %.0f", r.WorkMS, r.DurationMS)
				l.broken = true
			}
		case record.RequestReceived:
			l := lives[r.Source]
			if l == nil || l.began.ColdMS == 0 || r.UnixNS-l.began.UnixNS > int64(l.began.ColdMS*float64(ms)) {
				continue
			}
			l.pushes = append(l.pushes, push{r.UnixNS, r.WorkMS, told[r.Source][r.FrontEnd]})
			l.pushes = slices.DeleteFunc(l.pushes, func(p push) bool { return p.t < r.UnixNS-window })
			sum, known := 0.0, 0.0
			for _, p := range l.pushes {
				if sum += p.cost; p.told {
					known += p.cost
				}
			}
			age := float64(r.UnixNS-l.began.UnixNS) / float64(ms) / l.began.ColdMS
			could := a.f.FallMultiple * (l.began.ColdFrom + (1-l.began.ColdFrom)*age) * l.began.Cores * a.f.Fall
			if sum > could+3*r.WorkMS && known >= sum*2/3 && !l.broken {
				a.broken(4, r.Source, r.UnixNS, "sent %.0f ms of work within %.0f ms, could do %.0f", sum, a.f.Fall, could)
				l.broken = true
			}
		}
	}
}

// ration is rule five: a front end's load orders of a window stay under the free ones and its share of the RPCs that
// it took.
func (a *auditor) ration() {
	if a.f.LoadWindow == 0 {
		return
	}
	window := int64(a.f.LoadWindow * float64(ms))
	orders, taken := map[string][]int64{}, map[string][]int64{}
	for _, r := range a.records {
		switch r.Kind {
		case record.RPCSent:
			taken[r.FrontEnd] = append(taken[r.FrontEnd], r.UnixNS)
		case record.LoadOrdered:
			since := func(times []int64, from int64) []int64 {
				return slices.DeleteFunc(times, func(t int64) bool { return t < from })
			}
			f := r.FrontEnd
			orders[f] = since(append(orders[f], r.UnixNS), r.UnixNS-window+a.slack())
			taken[f] = since(taken[f], r.UnixNS-window-a.slack()-a.stood(f, r.UnixNS-2*window, r.UnixNS))
			if most := a.f.LoadFree + a.f.LoadShare*float64(len(taken[f])); float64(len(orders[f])) > most {
				a.broken(5, r.Source, r.UnixNS, "load order %d of %s within %.0f ms, %.1f allowed", len(orders[f]), f, a.f.LoadWindow,
					most)
			}
		}
	}
}

// Wasted is work for clients that had left or cancelled.
type Wasted struct {
	Quits, Late      int     // clients that left; RPCs that got a core later than the margin after that
	Begun, Went, All float64 // ms of such work; of all work past the margin; of all work
}

// Waste sums up work done past a margin (ms) after its client had left.
func Waste(records []record.Record, margin float64) (w Wasted) {
	quit := map[string]int64{}
	for _, r := range records {
		if r.Kind == record.ClientLeft {
			w.Quits++
			quit[r.RPC] = r.UnixNS + int64(margin*float64(ms))
		}
	}
	for _, r := range records {
		if r.Kind != record.WorkDone {
			continue
		}
		w.All += r.DurationMS
		from, left := quit[r.RPC]
		if past := float64(r.UnixNS-from) / float64(ms); left && past > 0 {
			w.Went += min(past, r.DurationMS)
			if past >= r.DurationMS {
				w.Late++
				w.Begun += r.DurationMS
			}
		}
	}
	return w
}
