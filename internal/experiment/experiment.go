// Package experiment runs a plan's days over all cores, keeps every RPC and every run in columnar files, and makes a
// report of them. A run that was finished is not run again: an experiment that was stopped goes on where it was.
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

// Run is one day with one seed, as it came out: a row of runs.parquet.
type Run struct {
	Cell     string  `parquet:"cell,dict"` // what was set, beside the seed
	Day      string  `parquet:"day,dict"`
	Policy   string  `parquet:"policy,dict"`
	Set      string  `parquet:"set,dict"` // overrides, by blanks
	Seed     int64   `parquet:"seed"`
	Kept     float64 `parquet:"gain_kept"` // share of the gain asked for
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
	TookMs   float64 `parquet:"took_ms"` // of the real clock
}

// job is a run to be done.
type job struct {
	Run
	file string
	set  []settings.Override
}

// key names a run's files: all that it depends on, the scenario's text included.
func (j *job) key() (string, error) {
	text, err := os.ReadFile(j.file)
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(fmt.Appendf(text, "\x00%s\x00%s\x00%d", j.Policy, j.Set, j.Seed))
	return fmt.Sprintf("%x", sum[:12]), nil
}

// jobs are all combinations, seeds innermost.
func jobs(x *settings.Experiment) (out []job) {
	policies := []string{"module"}
	if len(x.Policies) > 0 {
		policies = nil
		for _, p := range x.Policies {
			policies = append(policies, p.Name)
		}
	}
	grids := [][]settings.Override{nil}
	for _, v := range x.Varied {
		var next [][]settings.Override
		for _, g := range grids {
			steps, _ := v.OverrideSets() // checked with the plan
			for _, step := range steps {
				next = append(next, slices.Concat(g, step))
			}
		}
		grids = next
	}
	for _, d := range x.Days {
		for _, g := range grids {
			for _, p := range policies {
				var set []string
				for _, o := range g {
					set = append(set, o.Path+"="+o.Value)
				}
				name := strings.TrimSuffix(filepath.Base(d.File), ".xml")
				for i := range x.Seeds {
					out = append(out, job{file: d.File, set: g, Run: Run{Day: name, Policy: p, Set: strings.Join(set, " "),
						Cell: strings.Join(append([]string{name, p}, set...), " "), Seed: x.FirstSeed + int64(i)}})
				}
			}
		}
	}
	return out
}

// Play runs what the folder does not have yet, and writes runs.parquet and report.html there. Progress goes to bar.
func Play(ctx context.Context, x *settings.Experiment, dir string, bar io.Writer) ([]Run, error) {
	for _, sub := range []string{"runs", "rpcs"} {
		if err := os.MkdirAll(filepath.Join(dir, sub), 0o755); err != nil {
			return nil, err
		}
	}
	all := jobs(x)
	progress := progressbar.NewOptions(len(all), progressbar.OptionSetWriter(bar), progressbar.OptionShowCount(),
		progressbar.OptionSetDescription(x.Name), progressbar.OptionSetPredictTime(true), progressbar.OptionThrottle(200e6))
	group, running := errgroup.WithContext(ctx)
	group.SetLimit(runtime.NumCPU())
	runs := make([]Run, len(all))
	var mu sync.Mutex
	for i := range all {
		if running.Err() != nil {
			break
		}
		group.Go(func() error {
			r, err := one(running, dir, &all[i])
			if err != nil {
				return fmt.Errorf("%s, seed %d: %w", all[i].Cell, all[i].Seed, err)
			}
			runs[i] = r
			mu.Lock()
			defer mu.Unlock()
			return progress.Add(1)
		})
	}
	// the group's own context is over by now in any case: asked in place of ours it hid a run's error, where the last
	// run of all was through
	if err := errors.Join(group.Wait(), ctx.Err()); err != nil {
		return nil, err
	}
	_, _ = fmt.Fprintln(bar)
	if err := write(filepath.Join(dir, "runs.parquet"), runs); err != nil {
		return nil, err
	}
	return runs, nil
}

// one does a run, or reads what it gave before.
func one(ctx context.Context, dir string, j *job) (Run, error) {
	key, err := j.key()
	if err != nil {
		return Run{}, err
	}
	kept := filepath.Join(dir, "runs", key+".parquet")
	if rows, err := parquet.ReadFile[Run](kept); err == nil && len(rows) == 1 {
		r := rows[0]
		r.Cell, r.Day = j.Cell, j.Day // names may have changed; what was run has not
		return r, nil
	} else if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return Run{}, fmt.Errorf("%s is spoilt, remove it: %w", kept, err)
	}
	s, err := settings.ReadScenarioWith(j.file, j.set)
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
	out.Kept, out.OKShare = r.Kept(), float64(all.OK)/float64(max(all.Asked, 1))
	out.Asked, out.Late, out.Denied, out.Aborted, out.Lost = int64(all.Asked), int64(all.Late), int64(all.Denied), int64(all.Aborted), int64(all.Lost)
	out.CallOuts, out.Orders, out.Breaks = int64(r.Audit.CallOuts), int64(r.Audit.Orders), int64(len(r.Audit.Violations))
	out.P50, out.P99 = all.Quantile(50).Seconds()*1000, all.Quantile(99).Seconds()*1000
	out.TookMs = r.Took.Seconds() * 1000
	if err := write(filepath.Join(dir, "rpcs", key+".parquet"), r.RPCs); err != nil {
		return Run{}, err
	}
	return out, write(kept, []Run{out}) // last: a run that is there is whole
}

// write writes a columnar file whole or not at all.
func write[T any](file string, rows []T) error {
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

// Read reads an experiment's runs.
func Read(dir string) ([]Run, error) {
	runs, err := parquet.ReadFile[Run](filepath.Join(dir, "runs.parquet"))
	if err != nil {
		return nil, fmt.Errorf("%s: no finished experiment: %w", dir, err)
	}
	return runs, nil
}
