// Package scenario has what a scripted day is, whoever plays it: who asks for what and when, how clients try again, and the
// table of what became of it. No I/O, no clock.
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

// worstWindow is how many seconds the worst window has, as on the bench.
const worstWindow = 10

// leftMargin is how long after its client left work may still begin, in ms: two changes of process on a busy machine.
const leftMargin = 20

// Outcome is what a day brought.
type Outcome struct {
	Audit   audit.Result
	Waste   audit.WastedWork
	Methods map[string]*Tally
	Seconds []*Tally
	Broken  bool   // something other than the five rules broke
	Notes   string // lines of whoever played it
}

// Tally sums up what became of one method's first tries, each with its repeats.
type Tally struct {
	Asked, OK, Late, Denied, Aborted, Lost int
	GainAsked, GainKept                    float64
	latency                                *hdrhistogram.Histogram // of ok, in microseconds
}

// NewTally begins with nothing.
func NewTally() *Tally { return &Tally{latency: hdrhistogram.New(1, 120e6, 3)} }

// Book is a day's tallies while it goes on. It belongs to one goroutine.
type Book struct {
	Methods map[string]*Tally
	Seconds []*Tally
}

// NewBook begins one.
func NewBook(s *settings.Scenario) *Book {
	b := &Book{Methods: map[string]*Tally{}}
	for i := range s.Service.Methods {
		b.Methods[s.Service.Methods[i].Name] = NewTally()
	}
	for range int(eventloop.ToDuration(s.Length)/time.Second) + 1 {
		b.Seconds = append(b.Seconds, NewTally())
	}
	return b
}

// Count takes one first try with its repeats: due since the day began, ended took later.
func (b *Book) Count(m *settings.Method, due time.Duration, outcome string, took time.Duration) {
	at := min(int(due/time.Second), len(b.Seconds)-1)
	for _, t := range []*Tally{b.Methods[m.Name], b.Seconds[at]} {
		t.Asked++
		t.GainAsked += m.Gain
		switch outcome {
		case OK:
			t.OK++
			if took <= eventloop.ToDuration(m.Soft) {
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

// Quantile is the latency of ok at p percent.
func (t *Tally) Quantile(p float64) time.Duration {
	return time.Duration(t.latency.ValueAtQuantile(p)) * time.Microsecond
}

// All sums up the methods.
func (o *Outcome) All() *Tally {
	all := NewTally()
	for _, t := range o.Methods {
		all.Add(t)
	}
	return all
}

// Outcomes as clients see them.
const (
	OK      = "ok"
	Denied  = "denied"
	Aborted = "aborted"
	Lost    = "lost" // no answer
	Quit    = "quit" // the client wants nothing any more
)

// Arrival is one RPC that a client wants.
type Arrival struct {
	N        int
	At       time.Duration // since the day began
	Seed     int64         // of the client's own chance
	Mix      settings.Mix
	Function string
	Once     bool // nobody else asks for the function
}

// Arrivals are a day's, in their order: an open loop, the same ones for the same seed.
type Arrivals struct {
	s    *settings.Scenario
	rng  *rand.Rand
	zipf *rand.Zipf
	n    int
	at   time.Duration
}

// NewArrivals begins a day's.
func NewArrivals(s *settings.Scenario) *Arrivals {
	rng := rand.New(rand.NewSource(s.Seed))
	return &Arrivals{s: s, rng: rng, zipf: rand.NewZipf(rng, s.Load.Zipf, 1, uint64(s.Load.Functions-1))}
}

// rateAt is the arrivals a second at a moment of the day, and the share that is for functions wanted once.
func (a *Arrivals) rateAt(at router.Time) (rate, once float64) {
	rate = a.s.Load.Rate
	for _, t := range a.s.Troubles {
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

// swing is how the process moves the rate about its mean at a moment.
func (a *Arrivals) swing(at router.Time) float64 {
	l := &a.s.Load
	phase := float64(at%l.Period) / float64(l.Period)
	switch l.Process {
	case "bursty": // a fifth of each period is a burst; the mean stays
		if phase < 0.2 {
			return 1 + 4*l.Depth
		}
		return 1 - l.Depth
	case "diurnal":
		return 1 - l.Depth*math.Cos(2*math.Pi*phase)
	}
	return 1
}

// traced is the next line of the trace, in the mix of its method where there is one.
func (a *Arrivals) traced() (Arrival, bool) {
	if a.n >= len(a.s.Load.Events) {
		return Arrival{}, false
	}
	e := a.s.Load.Events[a.n]
	out := Arrival{N: a.n, At: eventloop.ToDuration(e.At), Seed: a.rng.Int63(), Function: e.Function,
		Mix: settings.Mix{Method: e.Method, Customer: e.Customer, Front: a.s.Load.Mix[0].Front}}
	for _, m := range a.s.Load.Mix {
		if m.Method == e.Method {
			out.Mix.Front = m.Front
		}
	}
	a.n++
	return out, out.At < eventloop.ToDuration(a.s.Length)
}

// Next gives the next arrival; false: the day is over.
func (a *Arrivals) Next() (Arrival, bool) {
	if a.n >= a.s.Load.Most {
		return Arrival{}, false
	}
	if a.s.Load.Process == "trace" {
		return a.traced()
	}
	rate, once := a.rateAt(eventloop.FromDuration(a.at))
	gap := func() float64 { return a.rng.ExpFloat64() }
	if a.s.Load.Process == "steady" {
		gap = func() float64 { return 1 }
	}
	// a rate that swings: drawn at its highest, and thinned to what it is at that moment
	for most := 1 + 4*a.s.Load.Depth; ; {
		if a.s.Load.Process != "bursty" && a.s.Load.Process != "diurnal" {
			most = 1
		}
		a.at += time.Duration(gap() / (rate * most) * float64(time.Second))
		if a.at >= eventloop.ToDuration(a.s.Length) {
			return Arrival{}, false
		}
		if most == 1 || a.rng.Float64()*most < a.swing(eventloop.FromDuration(a.at)) {
			break
		}
	}
	out := Arrival{N: a.n, At: a.at, Mix: a.s.Load.Mix[len(a.s.Load.Mix)-1]}
	for x, i := a.rng.Float64(), 0; i < len(a.s.Load.Mix); i++ {
		if x -= a.s.Load.Mix[i].Share; x < 0 {
			out.Mix = a.s.Load.Mix[i]
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

// Client is how one client goes about its RPC.
type Client struct {
	Method *settings.Method
	s      *settings.Callers
	rng    *rand.Rand
	Token  string
	try    int
	first  time.Duration // when it was first sent
	sent   bool
}

// NewClient begins one; its chance is its own.
func NewClient(s *settings.Scenario, m *settings.Method, a Arrival) *Client {
	return &Client{Method: m, s: &s.Clients, rng: rand.New(&chance{uint64(a.Seed)}), Token: fmt.Sprintf("t%d-%d", s.Seed, a.N)}
}

// chance is a source that costs little to seed: there is one for each RPC. It is SplitMix64 (Steele, Lea, Flood, 2014).
type chance struct{ x uint64 }

// Uint64 implements rand.Source64.
func (c *chance) Uint64() uint64 {
	c.x += 0x9e3779b97f4a7c15
	z := c.x
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// Int63 implements rand.Source.
func (c *chance) Int63() int64 { return int64(c.Uint64() >> 1) }

// Seed implements rand.Source.
func (c *chance) Seed(seed int64) { c.x = uint64(seed) }

// Rand is the client's own chance.
func (c *Client) Rand() *rand.Rand { return c.rng }

// Try begins a try while left of its time is left: how long this try waits. False: it gives up.
func (c *Client) Try(now, left time.Duration) (span time.Duration, repeat, goes bool) {
	if left <= 0 || c.try > c.s.Retries {
		return 0, false, false
	}
	span = time.Duration(float64(eventloop.ToDuration(c.Method.Deadline)) * (c.s.TryShare + (1-c.s.TryShare)*c.rng.Float64()))
	if !c.sent {
		c.sent, c.first = true, now
	}
	c.try++
	return min(span, left), c.try > 1, true
}

// Again tells whether it tries again after an outcome, and how long it waits before: idempotent ones go again after any
// failure, tokened ones of one group within their window, others only after a denial or where nothing was sent.
func (c *Client) Again(now time.Duration, outcome string, sent bool, comeBack time.Duration) (wait time.Duration, again bool) {
	m := c.Method
	again = !sent || outcome == Denied || m.Effect == router.Idempotent ||
		m.Effect == router.Tokened && m.Group == "all" && now-c.first < eventloop.ToDuration(m.Window)/2
	if outcome == OK || outcome == Quit || !again {
		return 0, false
	}
	wait = eventloop.ToDuration(c.s.BackOff)
	if comeBack > 0 && c.rng.Float64() < c.s.Heed {
		wait = comeBack
	}
	return time.Duration(float64(wait) * (0.5 + c.rng.Float64())), true
}

// Impatient tells whether it will leave before its answer comes, after how long, and by closing its connection.
func (c *Client) Impatient() (after time.Duration, closes, is bool) {
	is = c.rng.Float64() < c.s.Impatient
	after = time.Duration(c.rng.Float64() * float64(eventloop.ToDuration(c.Method.Soft)))
	return after, c.rng.Intn(2) == 0, is
}

// Front is the plain layer before the front ends: each in turn by chance, dead ones left out once that was noticed. Dead
// tells since when one is known to be dead; below 0: it lives.
func Front(rng *rand.Rand, n int, dead func(i int) time.Duration, notice time.Duration) int {
	var alive []int
	for i := range n {
		if since := dead(i); since < notice {
			alive = append(alive, i)
		}
	}
	if len(alive) == 0 {
		return rng.Intn(n)
	}
	return alive[rng.Intn(len(alive))]
}

// Judge audits a day's records.
func Judge(s *settings.Scenario, records []record.Record, b *Book, notes string) *Outcome {
	return &Outcome{Audit: audit.Check(Figures(s), records), Waste: audit.MeasureWaste(records, leftMargin), Methods: b.Methods,
		Seconds: b.Seconds, Notes: notes}
}

// Figures are what a scenario's rules are held to.
func Figures(s *settings.Scenario) audit.Limits {
	r, fn := &s.Service.Rules, &s.Service.Functions
	f := audit.Limits{Methods: map[string]audit.Method{}, Slack: float64(s.Slack) / 10, DrainGrace: float64(r.Drain) / 10,
		OverloadMultiple: r.FallMultiple, OverloadWindow: float64(r.Fall) / 10, Cold: float64(r.Cold) / 10,
		LoadWindow: float64(fn.LoadWindow) / 10, FreeLoads: fn.LoadFree, LoadShare: fn.LoadShare}
	for _, m := range s.Service.Methods {
		f.Methods[m.Name] = audit.Method{Effect: m.Effect, Group: m.Group, Window: float64(m.Window) / 10}
	}
	return f
}

// Kept is the share of gain kept of gain asked, over all methods.
func (o *Outcome) Kept() float64 {
	kept, asked := 0.0, 0.0
	for _, t := range o.Methods {
		kept, asked = kept+t.GainKept, asked+t.GainAsked
	}
	return kept / max(asked, 1e-9)
}

// worst is the window of seconds that kept least.
func (o *Outcome) worst() (from int, share float64) {
	share = 2
	n := min(worstWindow, len(o.Seconds))
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

// methodTable begins a table with a row for each method and one for all.
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

// Print writes the tallies of methods.
func (b *Book) Print(out io.Writer, title string) {
	w, _ := methodTable(out, title, b.Methods)
	w.Render()
}

// Merge adds what another process has counted.
func (b *Book) Merge(o *Book) error {
	for name, t := range o.Methods {
		if b.Methods[name] == nil {
			return fmt.Errorf("tallies of method %q, which is unknown here", name)
		}
		b.Methods[name].Add(t)
	}
	for i, t := range o.Seconds {
		if i < len(b.Seconds) {
			b.Seconds[i].Add(t)
		}
	}
	return nil
}

// MarshalJSON has the histogram go along, in its library's own compressed form.
func (t *Tally) MarshalJSON() ([]byte, error) {
	h, err := t.latency.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return nil, err
	}
	return json.Marshal(tallyJSON{t.Asked, t.OK, t.Late, t.Denied, t.Aborted, t.Lost, t.GainAsked, t.GainKept, h})
}

// UnmarshalJSON reads what MarshalJSON wrote.
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

// Print writes the table.
func (o *Outcome) Print(out io.Writer, s *settings.Scenario) {
	w, row := methodTable(out, s.Name, o.Methods)
	w.AppendSeparator()
	from, _ := o.worst()
	window := NewTally()
	for i := from; i < min(from+worstWindow, len(o.Seconds)); i++ {
		row(fmt.Sprintf("second %d", i), o.Seconds[i])
		window.Add(o.Seconds[i])
	}
	row(fmt.Sprintf("worst %d s", worstWindow), window)
	w.Render()
	a := o.Audit
	fmt.Fprintf(out, "seen by clients, workers and roster: %d RPCs, %d answers, %d call-outs, %d load orders, %d effects\n",
		a.RPCs, a.Answers, a.CallOuts, a.Orders, a.Effects)
	fmt.Fprint(out, o.Notes)
	if q := o.Waste; q.ClientsLeft > 0 {
		fmt.Fprintf(out, "%d clients left: work begun later than %d ms after that %d times, %.0f ms; work past that %.0f ms of %.0f, %.2f%%\n",
			q.ClientsLeft, leftMargin, q.StartedLate, q.StartedLateMS, q.WastedMS, q.TotalMS, 100*q.WastedMS/max(q.TotalMS, 1e-9))
	}
	for rule := 1; rule <= 5; rule++ {
		var breaks []audit.Violation
		for _, b := range a.Violations {
			if b.Rule == rule {
				breaks = append(breaks, b)
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

// Add sums up.
func (t *Tally) Add(o *Tally) {
	t.Asked, t.OK, t.Late, t.Denied = t.Asked+o.Asked, t.OK+o.OK, t.Late+o.Late, t.Denied+o.Denied
	t.Aborted, t.Lost = t.Aborted+o.Aborted, t.Lost+o.Lost
	t.GainAsked, t.GainKept = t.GainAsked+o.GainAsked, t.GainKept+o.GainKept
	t.latency.Merge(o.latency)
}
