package emulate

import (
	"fmt"
	"io"
	"math"
	"slices"

	"github.com/jedib0t/go-pretty/v6/table"

	"mallowlanding/internal/scenario"
)

// CompareWithSockets compares an emulated scenario with several runs of the same scenario on sockets. A value agrees if
// it lies outside the range of the socket runs by no more than the width of that range. It returns the number of values
// that do not agree.
func CompareWithSockets(out io.Writer, name string, emulated *scenario.Outcome, sockets []*scenario.Outcome) (differ int) {
	t := table.NewWriter()
	t.SetOutputMirror(out)
	t.SetStyle(table.StyleLight)
	t.SetTitle("%s: emulated beside %d runs on sockets", name, len(sockets))
	t.AppendHeader(table.Row{"method", "figure", "sockets, least", "most", "emulated", "agrees"})
	var methods []string
	for m := range emulated.Methods {
		methods = append(methods, m)
	}
	slices.Sort(methods)
	tally := func(o *scenario.Outcome, m string) *scenario.Tally {
		if m == "" {
			return o.All()
		}
		return o.Methods[m]
	}
	for _, m := range append(methods, "") {
		for _, f := range []struct {
			name string
			of   func(t *scenario.Tally) float64
		}{
			{"gain kept", func(t *scenario.Tally) float64 { return t.GainKept / max(t.GainAsked, 1e-9) }},
			{"ok share", func(t *scenario.Tally) float64 { return float64(t.OK) / float64(max(t.Asked, 1)) }},
			{"p50 ms", func(t *scenario.Tally) float64 { return t.Quantile(50).Seconds() * 1000 }},
			{"p90 ms", func(t *scenario.Tally) float64 { return t.Quantile(90).Seconds() * 1000 }},
			{"p99 ms", func(t *scenario.Tally) float64 { return t.Quantile(99).Seconds() * 1000 }},
		} {
			lowest, highest := math.Inf(1), math.Inf(-1)
			for _, o := range sockets {
				x := f.of(tally(o, m))
				lowest, highest = min(lowest, x), max(highest, x)
			}
			x := f.of(tally(emulated, m))
			agrees := x >= lowest-(highest-lowest) && x <= highest+(highest-lowest)
			if !agrees {
				differ++
			}
			show := func(x float64) string {
				if math.Abs(x) < 2 {
					return fmt.Sprintf("%.3f", x)
				}
				return fmt.Sprintf("%.1f", x)
			}
			label := m
			if m == "" {
				label = "all"
			}
			t.AppendRow(table.Row{label, f.name, show(lowest), show(highest), show(x), map[bool]string{true: "yes", false: "no"}[agrees]})
		}
	}
	t.Render()
	fmt.Fprintf(out, "%d figures differ by more than the runs on sockets do\n", differ)
	return differ
}
