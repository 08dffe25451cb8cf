package scenario

import (
	"encoding/json"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mallowlanding/internal/settings"
)

const scenarioText = `<scenario name="s" length-ms="100000" seed="4"><service><method name="a" effect="idempotent"/><method name="b" effect="idempotent"/></service>
<fleet><workers count="1"/><work method="a"/></fleet><load rate-per-s="50" LOAD><mix method="a" share="1" front="http"/></load></scenario>`

func readScenario(t *testing.T, load, trace string) *settings.Scenario {
	t.Helper()
	dir := t.TempDir()
	file := filepath.Join(dir, "s.xml")
	if err := os.WriteFile(file, []byte(strings.Replace(scenarioText, "LOAD", load, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "trace"), []byte(trace), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := settings.ReadScenario(file)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func allArrivals(s *settings.Scenario) (out []Arrival) {
	arrivals := NewArrivals(s)
	for a, more := arrivals.Next(); more; a, more = arrivals.Next() {
		out = append(out, a)
	}
	return out
}

// Every arrival process has the mean rate of the settings, and the peak and spread of its kind.
func TestProcesses(t *testing.T) {
	for load, x := range map[string]struct {
		peak   float64 // rate over the mean in the busiest fifth of the period
		spread float64 // standard deviation of gaps over their mean
	}{
		``:                             {1, 1},
		`process="steady"`:             {1, 0},
		`process="bursty" depth="0.8"`: {4.2, -1},
		`process="diurnal" depth="1"`:  {1.9, -1},
	} {
		arrivals := allArrivals(readScenario(t, load, ""))
		if n := float64(len(arrivals)); math.Abs(n/5000-1) > 0.05 {
			t.Errorf("%s: %v arrivals, want 5000", load, n)
		}
		var fifths [5]float64
		var gaps []float64
		last := time.Duration(0)
		for _, a := range arrivals {
			fifths[int(a.At%(10*time.Second)/(2*time.Second))]++
			gaps = append(gaps, (a.At - last).Seconds())
			last = a.At
		}
		peak := 0.0
		for _, n := range fifths {
			peak = max(peak, n*5/float64(len(arrivals)))
		}
		if math.Abs(peak/x.peak-1) > 0.08 {
			t.Errorf("%s: the busiest fifth of the period has %.2f times the mean rate, want %.2f", load, peak, x.peak)
		}
		mean, sd := 0.0, 0.0
		for _, g := range gaps {
			mean += g / float64(len(gaps))
		}
		for _, g := range gaps {
			sd += (g - mean) * (g - mean) / float64(len(gaps))
		}
		if sd = math.Sqrt(sd) / mean; x.spread >= 0 && math.Abs(sd-x.spread) > 0.05 {
			t.Errorf("%s: the standard deviation of gaps is %.2f of their mean, want %.2f", load, sd, x.spread)
		}
	}
}

// A trace is replayed line by line; an invalid one is rejected with the place of the fault.
func TestTrace(t *testing.T) {
	arrivals := allArrivals(readScenario(t, `process="trace" trace="trace"`, "# a day\n0 a f1\n10.5 b f2\n\n10.5 a f1 c\n"))
	if len(arrivals) != 3 || arrivals[1].At != 10500*time.Microsecond || arrivals[1].Mix.Method != "b" || arrivals[1].Function != "f2" || arrivals[2].Mix.Customer != "c" ||
		arrivals[0].Mix.Protocol != "http" {
		t.Errorf("arrivals of the trace: %+v", arrivals)
	}
	dir := t.TempDir()
	for text, want := range map[string]string{"x a f": "trace:1: ", "5 a f\n4 a f": "trace:2: 4 ms is before", "1 a": "trace:1: ", "1 z f": `method "z"`} {
		file := filepath.Join(dir, "s.xml")
		_ = os.WriteFile(file, []byte(strings.Replace(scenarioText, "LOAD", `process="trace" trace="trace"`, 1)), 0o600)
		_ = os.WriteFile(filepath.Join(dir, "trace"), []byte(text), 0o600)
		if _, err := settings.ReadScenario(file); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("trace %q: error %v", text, err)
		}
	}
}

// Tallies of several processes, encoded as JSON and merged, equal those of a single process.
func TestMerge(t *testing.T) {
	s := readScenario(t, "", "")
	m := &s.Service.Methods[0]
	single := NewTallies(s)
	parts := []*Tallies{NewTallies(s), NewTallies(s)}
	for i := range 1000 {
		outcome, took := []string{OK, OK, Denied, Aborted, Lost}[i%5], time.Duration(i)*time.Millisecond
		for _, b := range []*Tallies{single, parts[i%2]} {
			b.Count(m, time.Duration(i)*90*time.Millisecond, outcome, took)
		}
	}
	merged := NewTallies(s)
	for _, p := range parts {
		raw, err := json.Marshal(p)
		if err != nil {
			t.Fatal(err)
		}
		var decoded Tallies
		if err := json.Unmarshal(raw, &decoded); err != nil {
			t.Fatal(err)
		}
		if err := merged.Merge(&decoded); err != nil {
			t.Fatal(err)
		}
	}
	a, b := single.Methods["a"], merged.Methods["a"]
	if a.Asked != 1000 || a.Asked != b.Asked || a.OK != b.OK || a.Late != b.Late || a.Denied != b.Denied || a.Aborted != b.Aborted ||
		a.Lost != b.Lost || math.Abs(a.GainKept-b.GainKept) > 1e-9 {
		t.Errorf("tally of one process %+v, merged %+v", a, b)
	}
	for _, p := range []float64{1, 50, 99, 100} {
		if a.Quantile(p) != b.Quantile(p) {
			t.Errorf("p%v: %v, merged %v", p, a.Quantile(p), b.Quantile(p))
		}
	}
	if err := merged.Merge(&Tallies{Methods: map[string]*Tally{"other": NewTally()}}); err == nil {
		t.Error("tallies of an unknown method were merged")
	}
}
