// Package experiment emulates the runs of a plan on all cores, saves every RPC and every run in Parquet files, and
// writes a report. Finished runs are not repeated, so an experiment that was stopped resumes where it stopped.
package experiment

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"

	"github.com/parquet-go/parquet-go"
	"github.com/schollz/progressbar/v3"
	"golang.org/x/sync/errgroup"

	"mallowlanding/internal/emulate"
	"mallowlanding/internal/settings"
)

// Run is the result of one scenario with one seed: a row of runs.parquet.
type Run struct {
	Cell     string  `parquet:"cell,dict"` // scenario, policy and overrides
	Day      string  `parquet:"day,dict"`
	Policy   string  `parquet:"policy,dict"`
	Set      string  `parquet:"set,dict"` // overrides, separated by blanks
	Seed     int64   `parquet:"seed"`
	Kept     float64 `parquet:"gain_kept"` // share of the gain of all RPCs
	OKShare  float64 `parquet:"ok_share"`
	Late     int64   `parquet:"late"`
	Denied   int64   `parquet:"denied"`
	Aborted  int64   `parquet:"aborted"`
	Lost     int64   `parquet:"no_answer"`
	Asked    int64   `parquet:"asked"`
	CallOuts int64   `parquet:"call_outs"`
	Orders   int64   `parquet:"load_orders"`
	Breaks   int64   `parquet:"rule_breaks"`
	P50      float64 `parquet:"p50_ms"`
	P99      float64 `parquet:"p99_ms"`
	TookMs   float64 `parquet:"took_ms"` // real time
}

// job is a run of the plan and what it needs to be executed.
type job struct {
	Run
	scenarioFile string
	overrides    []settings.Override
}

// key returns the name of the run's files: a hash of all that the run depends on, including the scenario's text.
func (j *job) key() (string, error) {
	text, err := os.ReadFile(j.scenarioFile)
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(fmt.Appendf(text, "\x00%s\x00%s\x00%d", j.Policy, j.Set, j.Seed))
	return fmt.Sprintf("%x", sum[:12]), nil
}

// expandPlan returns a job for each combination of the plan; the seed varies fastest.
func expandPlan(plan *settings.Experiment) (out []job) {
	policies := []string{"module"}
	if len(plan.Policies) > 0 {
		policies = nil
		for _, p := range plan.Policies {
			policies = append(policies, p.Name)
		}
	}
	grids := [][]settings.Override{nil}
	for _, v := range plan.Varied {
		var next [][]settings.Override
		for _, g := range grids {
			steps, _ := v.OverrideSets() // the plan's reader has checked this
			for _, step := range steps {
				next = append(next, slices.Concat(g, step))
			}
		}
		grids = next
	}
	for _, d := range plan.Scenarios {
		for _, g := range grids {
			for _, p := range policies {
				var set []string
				for _, o := range g {
					set = append(set, o.Path+"="+o.Value)
				}
				name := strings.TrimSuffix(filepath.Base(d.File), ".xml")
				for i := range plan.Seeds {
					out = append(out, job{scenarioFile: d.File, overrides: g, Run: Run{Day: name, Policy: p, Set: strings.Join(set, " "),
						Cell: strings.Join(append([]string{name, p}, set...), " "), Seed: plan.FirstSeed + int64(i)}})
				}
			}
		}
	}
	return out
}

// Execute runs all jobs whose results are not in dir yet, and writes runs.parquet there. A progress bar is written to
// bar.
func Execute(ctx context.Context, plan *settings.Experiment, dir string, bar io.Writer) ([]Run, error) {
	for _, sub := range []string{"runs", "rpcs"} {
		if err := os.MkdirAll(filepath.Join(dir, sub), 0o755); err != nil {
			return nil, err
		}
	}
	all := expandPlan(plan)
	progress := progressbar.NewOptions(len(all), progressbar.OptionSetWriter(bar), progressbar.OptionShowCount(),
		progressbar.OptionSetDescription(plan.Name), progressbar.OptionSetPredictTime(true), progressbar.OptionThrottle(200e6))
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(runtime.NumCPU())
	runs := make([]Run, len(all))
	var mu sync.Mutex
	for i := range all {
		if groupCtx.Err() != nil {
			break
		}
		group.Go(func() error {
			r, err := runJob(groupCtx, dir, &all[i])
			if err != nil {
				return fmt.Errorf("%s, seed %d: %w", all[i].Cell, all[i].Seed, err)
			}
			runs[i] = r
			mu.Lock()
			defer mu.Unlock()
			return progress.Add(1)
		})
	}
	// Check ctx, not groupCtx: groupCtx is always cancelled once Wait returns. Checking it in place of ctx hid a run's
	// error if the last run had finished.
	if err := errors.Join(group.Wait(), ctx.Err()); err != nil {
		return nil, err
	}
	_, _ = fmt.Fprintln(bar)
	if err := writeFile(filepath.Join(dir, "runs.parquet"), runs); err != nil {
		return nil, err
	}
	return runs, nil
}

// runJob executes a run and saves its results, or reads the results that an earlier execution saved.
func runJob(ctx context.Context, dir string, j *job) (Run, error) {
	key, err := j.key()
	if err != nil {
		return Run{}, err
	}
	file := filepath.Join(dir, "runs", key+".parquet")
	if rows, err := parquet.ReadFile[Run](file); err == nil && len(rows) == 1 {
		r := rows[0]
		r.Cell, r.Day = j.Cell, j.Day // the names may have changed since, the inputs have not
		return r, nil
	} else if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return Run{}, fmt.Errorf("%s is malformed, remove it: %w", file, err)
	}
	s, err := settings.ReadScenarioWith(j.scenarioFile, j.overrides)
	if err != nil {
		return Run{}, err
	}
	s.Seed = j.Seed
	r, err := emulate.Run(ctx, s, j.Policy)
	if err != nil {
		return Run{}, err
	}
	all := r.All()
	out := j.Run
	out.Kept, out.OKShare = r.GainShare(), float64(all.OK)/float64(max(all.Asked, 1))
	out.Asked, out.Late, out.Denied, out.Aborted, out.Lost = int64(all.Asked), int64(all.Late), int64(all.Denied), int64(all.Aborted), int64(all.Lost)
	out.CallOuts, out.Orders, out.Breaks = int64(r.Audit.CallOuts), int64(r.Audit.Orders), int64(len(r.Audit.Violations))
	out.P50, out.P99 = all.Quantile(50).Seconds()*1000, all.Quantile(99).Seconds()*1000
	out.TookMs = r.Elapsed.Seconds() * 1000
	if err := writeFile(filepath.Join(dir, "rpcs", key+".parquet"), r.RPCs); err != nil {
		return Run{}, err
	}
	return out, writeFile(file, []Run{out}) // last, so that the file of a run shows that its RPCs are saved
}

// writeFile writes a Parquet file atomically.
func writeFile[T any](file string, rows []T) error {
	tmp, err := os.CreateTemp(filepath.Dir(file), ".new-*")
	if err != nil {
		return err
	}
	defer os.Remove(tmp.Name())
	w := parquet.NewGenericWriter[T](tmp, parquet.Compression(&parquet.Zstd))
	_, err = w.Write(rows)
	if err = errors.Join(err, w.Close(), tmp.Close()); err != nil {
		return err
	}
	return os.Rename(tmp.Name(), file)
}

// Read reads the runs of a finished experiment from its folder.
func Read(dir string) ([]Run, error) {
	runs, err := parquet.ReadFile[Run](filepath.Join(dir, "runs.parquet"))
	if err != nil {
		return nil, fmt.Errorf("%s: no results of a finished experiment: %w", dir, err)
	}
	return runs, nil
}
