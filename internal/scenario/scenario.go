// Package scenario has what rehearsals and the emulator share to play a scenario: the arrivals of RPCs, how clients
// retry, and the tallies of the outcomes. It does no I/O, except for printing to a writer, and reads no clock.
package scenario

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jedib0t/go-pretty/v6/table"

	"mallowlanding/internal/audit"
	"mallowlanding/internal/eventloop"
	"mallowlanding/internal/record"
	"mallowlanding/internal/settings"
	"mallowlanding/router"
)

// worstWindowSeconds is the length of the window for which the worst result is reported, the same as in the benchmark.
const worstWindowSeconds = 10

// leaveMarginMs is the time after its client left in which an RPC's work may still begin: two context switches on a
// busy machine.
const leaveMarginMs = 20

// Outcome is the result of playing a scenario.
type Outcome struct {
	Audit        audit.Result
	Waste        audit.WastedWork
	Methods      map[string]*Tally
	Seconds      []*Tally
	OtherFailure bool   // something failed beside the five rules
	Notes        string // further lines to print, from the rehearsal
}

// Tally counts the outcomes of RPCs, each with its repeats.
type Tally struct {
	Asked, OK, Late, Denied, Aborted, Lost int
	GainAsked, GainKept                    float64
	latency                                *hdrhistogram.Histogram // of ok, in microseconds
}

// NewTally returns an empty tally.
func NewTally() *Tally { return &Tally{latency: hdrhistogram.New(1, 120e6, 3)} }

// Tallies are the tallies of a scenario in progress, by method and by second. They are not safe for concurrent use.
type Tallies struct {
	Methods map[string]*Tally
	Seconds []*Tally
}

// NewTallies returns empty tallies for each method and each second of a scenario.
func NewTallies(s *settings.Scenario) *Tallies {
	tallies := &Tallies{Methods: map[string]*Tally{}}
	for i := range s.Service.Methods {
		tallies.Methods[s.Service.Methods[i].Name] = NewTally()
	}
	for range int(eventloop.ToDuration(s.Length)/time.Second) + 1 {
		tallies.Seconds = append(tallies.Seconds, NewTally())
	}
	return tallies
}

// Count adds the final outcome of an RPC. Due is when its first try was due, since the load began; took is the time
// from then to the outcome.
func (ts *Tallies) Count(m *settings.Method, due time.Duration, outcome string, took time.Duration) {
	second := min(int(due/time.Second), len(ts.Seconds)-1)
	for _, t := range []*Tally{ts.Methods[m.Name], ts.Seconds[second]} {
		t.Asked++
		t.GainAsked += m.Gain
		switch outcome {
		case OK:
			t.OK++
			if took <= eventloop.ToDuration(m.SoftDeadline) {
				t.GainKept += m.Gain
			} else {
				t.Late++
				t.GainKept += m.Gain * m.LateShare
			}
			_ = t.latency.RecordValue(min(took.Microseconds(), 120e6))
		case Denied:
			t.Denied++
		case Aborted:
			t.Aborted++
		default:
			t.Lost++
		}
	}
}

// Quantile returns the latency of RPCs that ended ok at p percent.
func (t *Tally) Quantile(p float64) time.Duration {
	return time.Duration(t.latency.ValueAtQuantile(p)) * time.Microsecond
}

// All returns the sum over all methods.
func (o *Outcome) All() *Tally {
	all := NewTally()
	for _, t := range o.Methods {
		all.Add(t)
	}
	return all
}

// Outcomes of an RPC as its client sees them.
const (
	OK      = "ok"
	Denied  = "denied"
	Aborted = "aborted"
	Lost    = "lost" // no answer
	Quit    = "quit" // the client left
)

// Arrival is one RPC that a client wants.
type Arrival struct {
	N        int
	At       time.Duration // since the load began
	Seed     int64         // of the client's random numbers
	Mix      settings.Mix
	Function string
	Once     bool // no other RPC is for this function
}

// Arrivals generates the RPCs of a scenario in the order of their times. The load is an open loop; the same seed gives
// the same arrivals.
type Arrivals struct {
	scenario *settings.Scenario
	rng      *rand.Rand
	zipf     *rand.Zipf
	n        int
	at       time.Duration
}

// NewArrivals returns a generator that starts at the beginning of the load.
func NewArrivals(s *settings.Scenario) *Arrivals {
	rng := rand.New(rand.NewSource(s.Seed))
	return &Arrivals{scenario: s, rng: rng, zipf: rand.NewZipf(rng, s.Load.Zipf, 1, uint64(s.Load.Functions-1))}
}

// rateAt returns the arrivals per second at a time of the scenario, and the share of RPCs that are each for a function
// of their own.
func (a *Arrivals) rateAt(at router.Time) (rate, once float64) {
	rate = a.scenario.Load.Rate
	for _, t := range a.scenario.Troubles {
		if at < t.At || at >= t.At+t.For {
			continue
		}
		switch t.Kind {
		case "burst":
			rate *= t.Size
		case "scan":
			once = t.Part
		}
	}
	return rate, once
}

// rateFactor returns the ratio of the arrival process's rate at a time to its mean rate.
func (a *Arrivals) rateFactor(at router.Time) float64 {
	l := &a.scenario.Load
	phase := float64(at%l.Period) / float64(l.Period)
	switch l.Process {
	case "bursty": // a fifth of each period is a burst; the mean is unchanged
		if phase < 0.2 {
			return 1 + 4*l.Depth
		}
		return 1 - l.Depth
	case "diurnal":
		return 1 - l.Depth*math.Cos(2*math.Pi*phase)
	}
	return 1
}

// nextTraced returns the next line of the trace. Its protocol is that of the mix entry of the same method, else that of
// the first entry.
func (a *Arrivals) nextTraced() (Arrival, bool) {
	if a.n >= len(a.scenario.Load.TraceEvents) {
		return Arrival{}, false
	}
	e := a.scenario.Load.TraceEvents[a.n]
	out := Arrival{N: a.n, At: eventloop.ToDuration(e.At), Seed: a.rng.Int63(), Function: e.Function,
		Mix: settings.Mix{Method: e.Method, Customer: e.Customer, Protocol: a.scenario.Load.Mix[0].Protocol}}
	for _, m := range a.scenario.Load.Mix {
		if m.Method == e.Method {
			out.Mix.Protocol = m.Protocol
		}
	}
	a.n++
	return out, out.At < eventloop.ToDuration(a.scenario.Length)
}

// Next returns the next arrival, or false at the end of the scenario.
func (a *Arrivals) Next() (Arrival, bool) {
	if a.n >= a.scenario.Load.MaxRPCs {
		return Arrival{}, false
	}
	if a.scenario.Load.Process == "trace" {
		return a.nextTraced()
	}
	rate, once := a.rateAt(eventloop.FromDuration(a.at))
	gap := func() float64 { return a.rng.ExpFloat64() }
	if a.scenario.Load.Process == "steady" {
		gap = func() float64 { return 1 }
	}
	// a varying rate: arrivals are drawn at its peak and thinned to the rate of their time
	for peak := 1 + 4*a.scenario.Load.Depth; ; {
		if a.scenario.Load.Process != "bursty" && a.scenario.Load.Process != "diurnal" {
			peak = 1
		}
		a.at += time.Duration(gap() / (rate * peak) * float64(time.Second))
		if a.at >= eventloop.ToDuration(a.scenario.Length) {
			return Arrival{}, false
		}
		if peak == 1 || a.rng.Float64()*peak < a.rateFactor(eventloop.FromDuration(a.at)) {
			break
		}
	}
	out := Arrival{N: a.n, At: a.at, Mix: a.scenario.Load.Mix[len(a.scenario.Load.Mix)-1]}
	for x, i := a.rng.Float64(), 0; i < len(a.scenario.Load.Mix); i++ {
		if x -= a.scenario.Load.Mix[i].Share; x < 0 {
			out.Mix = a.scenario.Load.Mix[i]
			break
		}
	}
	out.Function = fmt.Sprintf("%s-%d", out.Mix.Method, a.zipf.Uint64())
	if out.Once = a.rng.Float64() < once; out.Once {
		out.Function = fmt.Sprintf("%s-once-%d", out.Mix.Method, a.n)
	}
	out.Seed = a.rng.Int63()
	a.n++
	return out, true
}

// Client decides how one client sends and retries its RPC.
type Client struct {
	Method    *settings.Method
	callers   *settings.Callers
	rng       *rand.Rand
	Token     string
	tries     int
	firstSent time.Duration // time of the first try
	sent      bool
}

// NewClient returns a client with random numbers of its own.
func NewClient(s *settings.Scenario, m *settings.Method, a Arrival) *Client {
	return &Client{Method: m, callers: &s.Callers, rng: rand.New(&splitMix64{uint64(a.Seed)}), Token: fmt.Sprintf("t%d-%d", s.Seed, a.N)}
}

// splitMix64 is the random source SplitMix64 (Steele, Lea, Flood, 2014). Each RPC has its own, so it must be cheap to
// seed.
type splitMix64 struct{ state uint64 }

// Uint64 implements rand.Source64.
func (c *splitMix64) Uint64() uint64 {
	c.state += 0x9e3779b97f4a7c15
	z := c.state
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// Int63 implements rand.Source.
func (c *splitMix64) Int63() int64 { return int64(c.Uint64() >> 1) }

// Seed implements rand.Source.
func (c *splitMix64) Seed(seed int64) { c.state = uint64(seed) }

// Rand returns the client's random numbers.
func (c *Client) Rand() *rand.Rand { return c.rng }

// Try begins a try. Left is the time to the RPC's deadline; span is how long this try waits for its answer. It returns
// false if the client gives up.
func (c *Client) Try(now, left time.Duration) (span time.Duration, repeat, ok bool) {
	if left <= 0 || c.tries > c.callers.Retries {
		return 0, false, false
	}
	span = time.Duration(float64(eventloop.ToDuration(c.Method.Deadline)) * (c.callers.TryShare + (1-c.callers.TryShare)*c.rng.Float64()))
	if !c.sent {
		c.sent, c.firstSent = true, now
	}
	c.tries++
	return min(span, left), c.tries > 1, true
}

// Retry reports whether the client retries after an outcome, and how long it waits before that. Idempotent RPCs are
// retried after any failure, and tokened ones whose group is "all" within half of their window; others only if they
// were denied or not sent.
func (c *Client) Retry(now time.Duration, outcome string, sent bool, retryAfter time.Duration) (wait time.Duration, again bool) {
	m := c.Method
	again = !sent || outcome == Denied || m.Effect == router.Idempotent ||
		m.Effect == router.Tokened && m.Group == "all" && now-c.firstSent < eventloop.ToDuration(m.Window)/2
	if outcome == OK || outcome == Quit || !again {
		return 0, false
	}
	wait = eventloop.ToDuration(c.callers.Backoff)
	if retryAfter > 0 && c.rng.Float64() < c.callers.HeedShare {
		wait = retryAfter
	}
	return time.Duration(float64(wait) * (0.5 + c.rng.Float64())), true
}

// Impatient reports whether the client leaves before its answer arrives, after how long, and whether it does so by
// closing its connection.
func (c *Client) Impatient() (after time.Duration, closes, is bool) {
	is = c.rng.Float64() < c.callers.ImpatientShare
	after = time.Duration(c.rng.Float64() * float64(eventloop.ToDuration(c.Method.SoftDeadline)))
	return after, c.rng.Intn(2) == 0, is
}

// ChooseFrontEnd stands in for a load balancer before the front ends: it chooses one at random and leaves out those
// that are down for noticeAfter or longer, unless all are. The callback deadFor returns how long front end i is down,
// or a negative duration if it is up.
func ChooseFrontEnd(rng *rand.Rand, n int, deadFor func(i int) time.Duration, noticeAfter time.Duration) int {
	var alive []int
	for i := range n {
		if since := deadFor(i); since < noticeAfter {
			alive = append(alive, i)
		}
	}
	if len(alive) == 0 {
		return rng.Intn(n)
	}
	return alive[rng.Intn(len(alive))]
}

// Evaluate audits the records of a scenario that was played.
func Evaluate(s *settings.Scenario, records []record.Record, tallies *Tallies, notes string) *Outcome {
	return &Outcome{Audit: audit.Check(AuditLimits(s), records), Waste: audit.MeasureWaste(records, leaveMarginMs), Methods: tallies.Methods,
		Seconds: tallies.Seconds, Notes: notes}
}

// AuditLimits returns the limits by which the audit checks a scenario's records.
func AuditLimits(s *settings.Scenario) audit.Limits {
	rules, functions := &s.Service.Rules, &s.Service.Functions
	limits := audit.Limits{Methods: map[string]audit.Method{}, Slack: float64(s.Slack) / 10, DrainGrace: float64(rules.Drain) / 10,
		OverloadMultiple: rules.FallMultiple, OverloadWindow: float64(rules.Fall) / 10, Cold: float64(rules.Cold) / 10,
		LoadWindow: float64(functions.LoadWindow) / 10, FreeLoads: functions.LoadFree, LoadShare: functions.LoadShare}
	for _, m := range s.Service.Methods {
		limits.Methods[m.Name] = audit.Method{Effect: m.Effect, Group: m.Group, Window: float64(m.Window) / 10}
	}
	return limits
}

// GainShare returns the gain kept as a share of the gain of all RPCs, over all methods.
func (o *Outcome) GainShare() float64 {
	kept, asked := 0.0, 0.0
	for _, t := range o.Methods {
		kept, asked = kept+t.GainKept, asked+t.GainAsked
	}
	return kept / max(asked, 1e-9)
}

// worst returns the first second and the kept share of gain of the window that kept least.
func (o *Outcome) worst() (from int, share float64) {
	share = 2
	n := min(worstWindowSeconds, len(o.Seconds))
	for i := 0; i+n <= len(o.Seconds); i++ {
		kept, asked := 0.0, 0.0
		for _, t := range o.Seconds[i : i+n] {
			kept, asked = kept+t.GainKept, asked+t.GainAsked
		}
		if asked > 0 && kept/asked < share {
			from, share = i, kept/asked
		}
	}
	return from, share
}

// methodTable returns a table with a row for each method and one for all, and a function that appends a row.
func methodTable(out io.Writer, title string, methods map[string]*Tally) (w table.Writer, row func(name string, t *Tally)) {
	w = table.NewWriter()
	w.SetOutputMirror(out)
	w.SetStyle(table.StyleLight)
	w.SetTitle("%s: first tries with their repeats; latency of ok from the first try on, ms", title)
	w.AppendHeader(table.Row{"", "RPCs", "ok", "late", "denied", "aborted", "no answer", "gain kept", "p50", "p99", "p99.9"})
	row = func(name string, t *Tally) {
		q := func(p float64) string { return fmt.Sprintf("%.1f", float64(t.latency.ValueAtQuantile(p))/1000) }
		w.AppendRow(table.Row{name, t.Asked, t.OK, t.Late, t.Denied, t.Aborted, t.Lost,
			fmt.Sprintf("%.3f", t.GainKept/max(t.GainAsked, 1e-9)), q(50), q(99), q(99.9)})
	}
	names := []string{}
	for name := range methods {
		names = append(names, name)
	}
	slices.Sort(names)
	all := NewTally()
	for _, name := range names {
		row(name, methods[name])
		all.Add(methods[name])
	}
	w.AppendSeparator()
	row("all", all)
	return w, row
}

// Print writes a table of the tallies by method.
func (ts *Tallies) Print(out io.Writer, title string) {
	w, _ := methodTable(out, title, ts.Methods)
	w.Render()
}

// Merge adds the tallies of another process.
func (ts *Tallies) Merge(other *Tallies) error {
	for name, t := range other.Methods {
		if ts.Methods[name] == nil {
			return fmt.Errorf("tallies of method %q, which is unknown here", name)
		}
		ts.Methods[name].Add(t)
	}
	for i, t := range other.Seconds {
		if i < len(ts.Seconds) {
			ts.Seconds[i].Add(t)
		}
	}
	return nil
}

// MarshalJSON includes the histogram in its library's compressed encoding.
func (t *Tally) MarshalJSON() ([]byte, error) {
	h, err := t.latency.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return nil, err
	}
	return json.Marshal(tallyJSON{t.Asked, t.OK, t.Late, t.Denied, t.Aborted, t.Lost, t.GainAsked, t.GainKept, h})
}

// UnmarshalJSON decodes the output of MarshalJSON.
func (t *Tally) UnmarshalJSON(raw []byte) error {
	var j tallyJSON
	if err := json.Unmarshal(raw, &j); err != nil {
		return err
	}
	h, err := hdrhistogram.Decode(j.Latency)
	if err != nil {
		return err
	}
	*t = Tally{Asked: j.Asked, OK: j.OK, Late: j.Late, Denied: j.Denied, Aborted: j.Aborted, Lost: j.Lost, GainAsked: j.GainAsked,
		GainKept: j.GainKept, latency: h}
	return nil
}

type tallyJSON struct {
	Asked, OK, Late, Denied, Aborted, Lost int
	GainAsked, GainKept                    float64
	Latency                                []byte
}

// Print writes the tallies by method, the worst window, and the results of the audit.
func (o *Outcome) Print(out io.Writer, s *settings.Scenario) {
	w, row := methodTable(out, s.Name, o.Methods)
	w.AppendSeparator()
	from, _ := o.worst()
	window := NewTally()
	for i := from; i < min(from+worstWindowSeconds, len(o.Seconds)); i++ {
		row(fmt.Sprintf("second %d", i), o.Seconds[i])
		window.Add(o.Seconds[i])
	}
	row(fmt.Sprintf("worst %d s", worstWindowSeconds), window)
	w.Render()
	a := o.Audit
	fmt.Fprintf(out, "seen by clients, workers and roster: %d RPCs, %d answers, %d call-outs, %d load orders, %d effects\n",
		a.RPCs, a.Answers, a.CallOuts, a.Orders, a.Effects)
	fmt.Fprint(out, o.Notes)
	if waste := o.Waste; waste.ClientsLeft > 0 {
		fmt.Fprintf(out, "%d clients left: work begun later than %d ms after that %d times, %.0f ms; work past that %.0f ms of %.0f, %.2f%%\n",
			waste.ClientsLeft, leaveMarginMs, waste.StartedLate, waste.StartedLateMS, waste.WastedMS, waste.TotalMS, 100*waste.WastedMS/max(waste.TotalMS, 1e-9))
	}
	for rule := 1; rule <= 5; rule++ {
		var breaks []audit.Violation
		for _, v := range a.Violations {
			if v.Rule == rule {
				breaks = append(breaks, v)
			}
		}
		fmt.Fprintf(out, "rule %d: %d breaks\n", rule, len(breaks))
		for i, b := range breaks {
			if i == 10 {
				fmt.Fprintf(out, "  and %d more\n", len(breaks)-i)
				break
			}
			fmt.Fprintf(out, "  %s %s: %s\n", time.Unix(0, b.UnixNS).UTC().Format("15:04:05.000"), b.RPC, b.Text)
		}
	}
}

// Add adds another tally to t.
func (t *Tally) Add(o *Tally) {
	t.Asked, t.OK, t.Late, t.Denied = t.Asked+o.Asked, t.OK+o.OK, t.Late+o.Late, t.Denied+o.Denied
	t.Aborted, t.Lost = t.Aborted+o.Aborted, t.Lost+o.Lost
	t.GainAsked, t.GainKept = t.GainAsked+o.GainAsked, t.GainKept+o.GainKept
	t.latency.Merge(o.latency)
}
