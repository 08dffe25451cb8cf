package experiment

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"

	"github.com/jedib0t/go-pretty/v6/table"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	_ "embed"
)

// confidence is the level of the intervals; a difference is significant if its p is below 1-confidence.
const confidence = 0.95

// Mean is a mean over the seeds with its confidence interval by Student's t.
type Mean struct {
	N         int
	Mean, Off float64 // the interval is Mean ± Off; Off is NaN for a single seed
}

func meanOf(xs []float64) Mean {
	m, sd := stat.MeanStdDev(xs, nil)
	out := Mean{N: len(xs), Mean: m, Off: math.NaN()}
	if len(xs) > 1 {
		t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(xs) - 1)}
		out.Off = t.Quantile(1-(1-confidence)/2) * sd / math.Sqrt(float64(len(xs)))
	}
	return out
}

// String returns the mean with its interval.
func (m Mean) String() string {
	if math.IsNaN(m.Off) {
		return fmt.Sprintf("%.4f", m.Mean)
	}
	return fmt.Sprintf("%.4f ± %.4f", m.Mean, m.Off)
}

// Difference is the mean difference of two samples paired by their seeds.
type Difference struct {
	Mean
	P    float64 // p value of a paired t test; NaN for fewer than two pairs
	Real bool    // P is below 1-confidence
}

// pairedDifference pairs values by seed and leaves out seeds that only one side has.
func pairedDifference(a, b map[int64]float64) Difference {
	var d []float64
	for seed, x := range a {
		if y, both := b[seed]; both {
			d = append(d, y-x)
		}
	}
	slices.Sort(d) // the order of a floating-point sum must not depend on the map's
	if len(d) == 0 {
		return Difference{Mean: Mean{Mean: math.NaN(), Off: math.NaN()}, P: math.NaN()}
	}
	out := Difference{Mean: meanOf(d), P: math.NaN()}
	if len(d) < 2 {
		return out
	}
	_, sd := stat.MeanStdDev(d, nil)
	switch {
	case sd == 0 && out.Mean.Mean == 0:
		out.P = 1
	case sd == 0:
		out.P = 0
	default:
		t := out.Mean.Mean / (sd / math.Sqrt(float64(len(d))))
		out.P = 2 * distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(d) - 1)}.CDF(-math.Abs(t))
	}
	out.Real = out.P < 1-confidence
	return out
}

// metrics are the values that reports and comparisons show.
var metrics = []struct {
	Name string
	Of   func(Run) float64
}{
	{"gain kept", func(r Run) float64 { return r.Kept }},
	{"ok share", func(r Run) float64 { return r.OKShare }},
	{"p99 ms", func(r Run) float64 { return r.P99 }},
}

// groupByCell returns the runs by cell, and the cells in the order of the plan.
func groupByCell(runs []Run) (order []string, by map[string][]Run) {
	by = map[string][]Run{}
	for _, r := range runs {
		if by[r.Cell] == nil {
			order = append(order, r.Cell)
		}
		by[r.Cell] = append(by[r.Cell], r)
	}
	return order, by
}

func bySeed(runs []Run, metric func(Run) float64) map[int64]float64 {
	out := map[int64]float64{}
	for _, r := range runs {
		out[r.Seed] = metric(r)
	}
	return out
}

func values(runs []Run, metric func(Run) float64) (out []float64) {
	for _, r := range runs {
		out = append(out, metric(r))
	}
	return out
}

// row is the row of one cell in the report.
type row struct {
	Cell          string
	Seeds         int
	Kept, OK      Mean
	P50, P99      Mean
	Breaks        int64
	Against       Difference // of gain kept, from the first cell of the same scenario and overrides
	First, Broken bool
}

func reportRows(runs []Run) (out []row) {
	order, by := groupByCell(runs)
	firstCell := map[string]string{} // by scenario and overrides
	for _, cell := range order {
		rs := by[cell]
		setting := rs[0].Day + " " + rs[0].Set
		if firstCell[setting] == "" {
			firstCell[setting] = cell
		}
		x := row{Cell: cell, Seeds: len(rs), Kept: meanOf(values(rs, metrics[0].Of)), OK: meanOf(values(rs, metrics[1].Of)),
			P50: meanOf(values(rs, func(r Run) float64 { return r.P50 })), P99: meanOf(values(rs, metrics[2].Of)), First: firstCell[setting] == cell,
			Against: pairedDifference(bySeed(by[firstCell[setting]], metrics[0].Of), bySeed(rs, metrics[0].Of))}
		for _, r := range rs {
			x.Breaks += r.Breaks
		}
		x.Broken = x.Breaks > 0
		out = append(out, x)
	}
	return out
}

// Print writes a table of the cells.
func Print(out io.Writer, name string, runs []Run) {
	t := table.NewWriter()
	t.SetOutputMirror(out)
	t.SetStyle(table.StyleLight)
	t.SetTitle("%s: means over seeds with %.0f%% intervals; differences paired by seed", name, confidence*100)
	t.AppendHeader(table.Row{"cell", "seeds", "gain kept", "to the day's first", "p", "p99 ms", "rule breaks"})
	for _, r := range reportRows(runs) {
		against, p := "", ""
		if !r.First {
			against, p = fmt.Sprintf("%+.4f ± %.4f", r.Against.Mean.Mean, r.Against.Off), fmt.Sprintf("%.3f", r.Against.P)
		}
		t.AppendRow(table.Row{r.Cell, r.Seeds, r.Kept, against, p, fmt.Sprintf("%.0f ± %.0f", r.P99.Mean, r.P99.Off), r.Breaks})
	}
	t.Render()
}

// Compare writes a table of the differences, and whether they are significant, for each cell that both experiments
// have.
func Compare(out io.Writer, a, b []Run) {
	order, byA := groupByCell(a)
	_, byB := groupByCell(b)
	t := table.NewWriter()
	t.SetOutputMirror(out)
	t.SetStyle(table.StyleLight)
	t.SetTitle("second less first, paired by seed; real: p below %.2f", 1-confidence)
	t.AppendHeader(table.Row{"cell", "figure", "first", "difference", "p", "real"})
	both := 0
	for _, cell := range order {
		if byB[cell] == nil {
			continue
		}
		both++
		for _, f := range metrics {
			d := pairedDifference(bySeed(byA[cell], f.Of), bySeed(byB[cell], f.Of))
			t.AppendRow(table.Row{cell, f.Name, fmt.Sprintf("%.4f", stat.Mean(values(byA[cell], f.Of), nil)),
				fmt.Sprintf("%+.4f ± %.4f", d.Mean.Mean, d.Off), fmt.Sprintf("%.3f", d.P), map[bool]string{true: "yes", false: "no"}[d.Real]})
		}
	}
	t.Render()
	fmt.Fprintf(out, "%d cells in both; %d only in the first, %d only in the second\n", both, len(order)-both, len(byB)-both)
}

// chart draws the means of all rows with their intervals as an SVG image.
func chart(title string, rs []row, metric func(row) Mean) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = title
	var pts plotter.XYs
	var errs plotter.YErrors
	var names []string
	for i, r := range rs {
		m := metric(r)
		off := m.Off
		if math.IsNaN(off) {
			off = 0
		}
		pts = append(pts, plotter.XY{X: float64(i), Y: m.Mean})
		errs = append(errs, struct{ Low, High float64 }{off, off})
		names = append(names, fmt.Sprint(i+1))
	}
	data := struct {
		plotter.XYs
		plotter.YErrors
	}{pts, errs}
	marks, err := plotter.NewScatter(pts)
	if err != nil {
		return "", err
	}
	marks.GlyphStyle.Shape = draw.CircleGlyph{}
	whiskers, err := plotter.NewYErrorBars(data)
	if err != nil {
		return "", err
	}
	p.Add(plotter.NewGrid(), whiskers, marks)
	p.NominalX(names...)
	c := vgsvg.New(vg.Length(max(len(rs), 4))*40+100, 260)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	svg := b.Bytes()
	if i := bytes.Index(svg, []byte("<svg")); i > 0 {
		svg = svg[i:]
	}
	return template.HTML(svg), nil //nolint:gosec // the SVG is drawn above, from no outside text
}

//go:embed report.html.tmpl
var pageTemplate string

// Report writes report.html, a self-contained page, to dir.
func Report(dir, name string, runs []Run) error {
	rs := reportRows(runs)
	kept, err := chart("gain kept", rs, func(r row) Mean { return r.Kept })
	if err != nil {
		return err
	}
	p99, err := chart("p99 of ok, ms", rs, func(r row) Mean { return r.P99 })
	if err != nil {
		return err
	}
	t, err := template.New("report").Funcs(template.FuncMap{"next": func(i int) int { return i + 1 },
		"round": func(f float64) string { return fmt.Sprintf("%.0f", f) }, "four": func(f float64) string { return fmt.Sprintf("%+.4f", f) },
		"three": func(f float64) string { return fmt.Sprintf("%.3f", f) }}).Parse(pageTemplate)
	if err != nil {
		return err
	}
	var b bytes.Buffer
	if err := t.Execute(&b, map[string]any{"Name": name, "Rows": rs, "Runs": len(runs), "Charts": []template.HTML{kept, p99},
		"Confidence": fmt.Sprintf("%.0f%%", confidence*100)}); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "report.html"), b.Bytes(), 0o644)
}
