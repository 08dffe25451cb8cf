// Package rehearse plays a scripted day: a fleet of processes of their own on one machine, clients that ask in an
// open loop, troubles at their times. It then checks the five rules from what passed over the sockets and from the
// workers' log of effects, and prints what became of the RPCs.
package rehearse

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/rs/zerolog"

	"mallowlanding/internal/audit"
	"mallowlanding/internal/record"
	"mallowlanding/internal/settings"
	"mallowlanding/internal/turn"
)

// ErrBroken: a rule broke.
var ErrBroken = errors.New("a rule broke")

// worstWindow is how many seconds the worst window has, as on the bench.
const worstWindow = 10

// leftMargin is how long after its client left work may still begin, in ms: two changes of process on a busy machine.
const leftMargin = 20

// Outcome is what a rehearsal found.
type Outcome struct {
	Audit   audit.Result
	Waste   audit.Wasted
	Methods map[string]*tally
	Seconds []*tally
	Configs *configs
}

// Run plays a scenario with the program's own executable and prints its table. Keep names a folder in which all that
// the processes left stays; an empty name: it goes. A broken rule is ErrBroken.
func Run(ctx context.Context, s *settings.Scenario, keep string, out io.Writer, log zerolog.Logger) error {
	exe, err := os.Executable()
	if err != nil {
		return err
	}
	o, err := Play(ctx, s, exe, keep, log)
	if err != nil {
		return err
	}
	o.print(out, s)
	if len(o.Audit.Breaks) > 0 || len(o.Configs.BadAccepted) > 0 {
		return ErrBroken
	}
	return nil
}

// Play runs a scenario's processes as exe and audits what they left.
func Play(ctx context.Context, s *settings.Scenario, exe, keep string, log zerolog.Logger) (*Outcome, error) {
	dir := keep
	var err error
	if dir == "" {
		if dir, err = os.MkdirTemp("", "mallow"); err != nil { // short: socket paths are bounded
			return nil, err
		}
		defer os.RemoveAll(dir)
	} else if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var seen []record.Record
	keepRecord := func(r record.Record) {
		mu.Lock()
		seen = append(seen, r)
		mu.Unlock()
	}
	f := &fleet{s: s, exe: exe, dir: dir, keep: keepRecord, procs: map[string]*process{}}
	longest := time.Duration(0)
	for _, m := range s.Service.Methods {
		longest = max(longest, turn.Duration(m.Deadline))
	}
	stopped := false
	defer func() {
		if !stopped {
			f.stop(0)
		}
	}()
	if err := f.run(ctx); err != nil {
		return nil, err
	}
	// the list comes to the front ends with the roster's lag
	if !sleep(ctx, turn.Duration(s.Fleet.RosterLag)+500*time.Millisecond) {
		return nil, ctx.Err()
	}
	log.Info().Str("scenario", s.Name).Int("front_ends", s.Fleet.FrontEnds).Int("workers", len(f.workers)).
		Msg("the day begins")
	c, err := newCallers(s, f, keepRecord)
	if err != nil {
		return nil, err
	}
	defer c.close()
	day, end := context.WithCancel(ctx)
	defer end()
	m := &maker{f: f, callers: c, log: log}
	troubles := make(chan struct{})
	begin := time.Now()
	go func() { defer close(troubles); m.run(day, begin) }()
	c.run(day)
	<-troubles
	// what was sent last is answered before its time is up, or a rule breaks
	sleep(ctx, longest+turn.Duration(s.Slack))
	if err := m.configs.look(ctx, f); err != nil {
		log.Warn().Err(err).Msg("the control service does not tell how the day's configurations ended")
	}
	f.stop(longest + time.Second)
	stopped = true
	end()
	c.open.Wait()
	theirs, err := f.records()
	if err != nil {
		return nil, err
	}
	mu.Lock()
	defer mu.Unlock()
	if keep != "" {
		l, err := record.Open(f.path("callers.rec"))
		if err != nil {
			return nil, err
		}
		defer l.Close()
		for _, r := range seen {
			if err := l.Add(r); err != nil {
				return nil, err
			}
		}
	}
	all := append(seen, theirs...)
	return &Outcome{Audit: audit.Check(figures(s), all), Waste: audit.Waste(all, leftMargin), Methods: c.methods,
		Seconds: c.seconds, Configs: &m.configs}, ctx.Err()
}

func figures(s *settings.Scenario) audit.Figures {
	r, fn := &s.Service.Rules, &s.Service.Functions
	f := audit.Figures{Methods: map[string]audit.Method{}, Slack: float64(s.Slack) / 10, Drain: float64(r.Drain) / 10,
		FallMultiple: r.FallMultiple, Fall: float64(r.Fall) / 10, Cold: float64(r.Cold) / 10,
		LoadWindow: float64(fn.LoadWindow) / 10, LoadFree: fn.LoadFree, LoadShare: fn.LoadShare}
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

func (o *Outcome) print(out io.Writer, s *settings.Scenario) {
	w := table.NewWriter()
	w.SetOutputMirror(out)
	w.SetStyle(table.StyleLight)
	w.SetTitle("%s: first tries with their repeats; latency of ok from the first try on, ms", s.Name)
	w.AppendHeader(table.Row{"", "RPCs", "ok", "late", "denied", "aborted", "no answer", "gain kept", "p50", "p99", "p99.9"})
	row := func(name string, t *tally) {
		q := func(p float64) string { return fmt.Sprintf("%.1f", float64(t.latency.ValueAtQuantile(p))/1000) }
		w.AppendRow(table.Row{name, t.Asked, t.OK, t.Late, t.Denied, t.Aborted, t.Lost,
			fmt.Sprintf("%.3f", t.GainKept/max(t.GainAsked, 1e-9)), q(50), q(99), q(99.9)})
	}
	names := []string{}
	for name := range o.Methods {
		names = append(names, name)
	}
	slices.Sort(names)
	all := newTally()
	for _, name := range names {
		row(name, o.Methods[name])
		all.add(o.Methods[name])
	}
	w.AppendSeparator()
	row("all", all)
	w.AppendSeparator()
	from, _ := o.worst()
	window := newTally()
	for i := from; i < min(from+worstWindow, len(o.Seconds)); i++ {
		row(fmt.Sprintf("second %d", i), o.Seconds[i])
		window.add(o.Seconds[i])
	}
	row(fmt.Sprintf("worst %d s", worstWindow), window)
	w.Render()
	a := o.Audit
	fmt.Fprintf(out, "seen by clients, workers and roster: %d RPCs, %d answers, %d call-outs, %d load orders, %d effects\n",
		a.RPCs, a.Answers, a.CallOuts, a.Orders, a.Effects)
	fmt.Fprint(out, o.Configs)
	if q := o.Waste; q.Quits > 0 {
		fmt.Fprintf(out, "%d clients left: work begun later than %d ms after that %d times, %.0f ms; work past that %.0f ms of %.0f, %.2f%%\n",
			q.Quits, leftMargin, q.Late, q.Begun, q.Went, q.All, 100*q.Went/max(q.All, 1e-9))
	}
	for rule := 1; rule <= 5; rule++ {
		var breaks []audit.Break
		for _, b := range a.Breaks {
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
			fmt.Fprintf(out, "  %s %s: %s\n", time.Unix(0, b.T).UTC().Format("15:04:05.000"), b.RPC, b.Text)
		}
	}
}

func (t *tally) add(o *tally) {
	t.Asked, t.OK, t.Late, t.Denied = t.Asked+o.Asked, t.OK+o.OK, t.Late+o.Late, t.Denied+o.Denied
	t.Aborted, t.Lost = t.Aborted+o.Aborted, t.Lost+o.Lost
	t.GainAsked, t.GainKept = t.GainAsked+o.GainAsked, t.GainKept+o.GainKept
	t.latency.Merge(o.latency)
}
