package experiment

import (
	"bytes"
	"context"
	"io"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/parquet-go/parquet-go"

	"mallowlanding/internal/emulate"
	"mallowlanding/internal/settings"
)

const planText = `<experiment name="two" seeds="3"><day scenario="day.xml"/><policy name="module"/><policy name="random"/>
<vary set="load@rate-per-s" values="40 80"/></experiment>`

func preparePlan(t *testing.T, text string) (dir string, plan *settings.Experiment) {
	t.Helper()
	dir = t.TempDir()
	day, err := os.ReadFile("../emulate/testdata/short.xml")
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string][]byte{"day.xml": bytes.Replace(day, []byte(`length-ms="8000"`), []byte(`length-ms="2000"`), 1),
		"plan.xml": []byte(text)} {
		if err := os.WriteFile(filepath.Join(dir, name), text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if plan, err = settings.ReadExperiment(filepath.Join(dir, "plan.xml")); err != nil {
		t.Fatal(err)
	}
	return dir, plan
}

// An experiment writes its files for each run of the plan, and resumes where it stopped without repeating finished
// runs.
func TestResume(t *testing.T) {
	dir, plan := preparePlan(t, planText)
	out := filepath.Join(dir, "out")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := Execute(ctx, plan, out, io.Discard); err == nil {
		t.Fatal("an experiment with a cancelled context returned no error")
	}
	runs, err := Execute(context.Background(), plan, out, io.Discard)
	if err != nil || len(runs) != 12 {
		t.Fatalf("%d runs, %v", len(runs), err)
	}
	files, err := filepath.Glob(filepath.Join(out, "runs", "*.parquet"))
	if err != nil || len(files) != 12 {
		t.Fatalf("files of runs: %v, %v, want 12", files, err)
	}
	// results that exist stay; missing ones are run again and come out the same
	if err := os.Remove(files[3]); err != nil {
		t.Fatal(err)
	}
	before, err := os.Stat(files[5])
	if err != nil {
		t.Fatal(err)
	}
	again, err := Execute(context.Background(), plan, out, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	for i := range runs {
		runs[i].TookMs, again[i].TookMs = 0, 0
		if runs[i] != again[i] || runs[i].Asked == 0 {
			t.Errorf("run %d: %+v, then %+v", i, runs[i], again[i])
		}
	}
	if after, err := os.Stat(files[5]); err != nil || after.ModTime() != before.ModTime() {
		t.Error("a finished run was run again")
	}
	saved, err := Read(out)
	if err != nil || len(saved) != 12 || saved[0].Cell != "day module load@rate-per-s=40" {
		t.Fatalf("saved runs: %v, %v", saved, err)
	}
	rpcs, err := filepath.Glob(filepath.Join(out, "rpcs", "*.parquet"))
	if err != nil || len(rpcs) != 12 {
		t.Fatalf("files of RPCs: %v, %v, want 12", rpcs, err)
	}
	all := int64(0)
	for _, file := range rpcs {
		rows, err := parquet.ReadFile[emulate.RPC](file)
		if err != nil {
			t.Fatal(err)
		}
		all += int64(len(rows))
	}
	counted := int64(0)
	for _, r := range runs {
		counted += r.Asked
	}
	if all != counted {
		t.Errorf("%d RPCs saved of %d", all, counted)
	}
	if err := Report(out, "two", runs); err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(filepath.Join(out, "report.html"))
	if err != nil || strings.Count(string(page), "<svg") != 2 || strings.Contains(string(page), "http-equiv") {
		t.Errorf("report of %d bytes is not a page with two charts: %v", len(page), err)
	}
	// an experiment does not differ from itself
	var b bytes.Buffer
	Compare(&b, runs, runs)
	if strings.Contains(b.String(), "yes") || !strings.Contains(b.String(), "4 cells in both; 0 only in the first") {
		t.Error(b.String())
	}
	// a malformed file is an error, not a reason to run again
	if err := os.WriteFile(files[0], []byte("PAR1"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Execute(context.Background(), plan, out, io.Discard); err == nil || !strings.Contains(err.Error(), "malformed") {
		t.Error(err)
	}
}

// Intervals and p values match published tables of Student's t: 2.776 at 4 degrees of freedom, 95%.
func TestStatistics(t *testing.T) {
	m := meanOf([]float64{1, 2, 3, 4, 5})
	if want := 2.776 * math.Sqrt(2.5) / math.Sqrt(5); m.Mean != 3 || math.Abs(m.Off-want) > 1e-3 {
		t.Errorf("mean of 1 to 5: %+v, want 3 ± %.4f", m, want)
	}
	pairs := func(xs ...float64) map[int64]float64 {
		out := map[int64]float64{}
		for i, x := range xs {
			out[int64(i)] = x
		}
		return out
	}
	// differences 1, 2, 3: t is 3.464 at 2 degrees of freedom, two-sided p is 0.0742
	d := pairedDifference(pairs(0, 0, 0), pairs(1, 2, 3))
	if math.Abs(d.P-0.0742) > 1e-3 || d.Real || d.Mean.Mean != 2 {
		t.Errorf("differences 1, 2, 3: %+v", d)
	}
	if d := pairedDifference(pairs(0, 0, 0, 0), pairs(1, 1.1, 0.9, 1)); !d.Real {
		t.Errorf("four differences near 1: %+v", d)
	}
	if d := pairedDifference(pairs(1, 2), pairs(1, 2)); d.P != 1 || d.Real {
		t.Errorf("equal samples: %+v", d)
	}
	if d := pairedDifference(pairs(1), pairs(2)); !math.IsNaN(d.P) || d.Real {
		t.Errorf("one seed: %+v", d)
	}
}

// An invalid plan is rejected with the place of the fault.
func TestInvalidPlans(t *testing.T) {
	dir, _ := preparePlan(t, planText)
	for text, want := range map[string]string{
		`<experiment name="x"><day scenario="none.xml"/></experiment>`:                                             "none.xml",
		`<experiment name="x"><day scenario="day.xml"/><vary set="load" values="1"/></experiment>`:                 "want ELEMENT/ELEMENT[N]@ATTRIBUTE",
		`<experiment name="x"><day scenario="day.xml"/><vary set="load/none@rate-per-s" values="1"/></experiment>`: `no element "none" in "load"`,
		`<experiment name="x"><day scenario="day.xml"/><vary set="load@rate-per-s" values="1 -4"/></experiment>`:   "out of range",
		`<experiment name="x"><day scenario="day.xml"/><policy name="a"/><policy name="a"/></experiment>`:          `policy "a" stands twice`,
		`<experiment name="x"><day scenario="day.xml"/><vary set="trouble[7]@part" values="1"/></experiment>`:      `no element "trouble[7]"`,
	} {
		file := filepath.Join(dir, "bad.xml")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := settings.ReadExperiment(file); err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "bad.xml:1") {
			t.Errorf("plan %s: error %v", text, err)
		}
	}
	_, plan := preparePlan(t, `<experiment name="x" seeds="1"><day scenario="day.xml"/><policy name="nonsense"/></experiment>`)
	if _, err := Execute(context.Background(), plan, t.TempDir(), io.Discard); err == nil || !strings.Contains(err.Error(), `no policy "nonsense"`) {
		t.Error(err)
	}
}
