package main

import (
	"fmt"
	"os"

	"mallowlanding/internal/day"
	"mallowlanding/internal/emulate"
	"mallowlanding/internal/experiment"
	"mallowlanding/internal/rehearse"
	"mallowlanding/internal/settings"
)

type emulateCmd struct {
	Scenario string `arg:"" help:"The scenario."`
	Policy   string `help:"A baseline that decides instead of the module: random, round-robin, least-out, power-of-two, join-idle, bounded-hash, oracle."`
	Against  int    `help:"Play it on sockets, too, so many times (two at the least), and tell where the emulator differs by more than they do."`
	Seed     int64  `default:"-1" help:"Instead of the scenario's own."`
}

// Run plays a day in virtual time.
func (c *emulateCmd) Run(e *env) error {
	s, err := settings.ReadScenario(c.Scenario)
	if err != nil {
		return misuse{err}
	}
	if c.Seed >= 0 {
		s.Seed = c.Seed
	}
	r, err := emulate.Run(e.ctx, s, c.Policy)
	if err != nil {
		return err
	}
	if c.Against > 0 {
		return c.against(e, s, r)
	}
	r.Print(e.out, s)
	fmt.Fprintf(e.out, "in virtual time: %d moments with events in %.1f s\n", r.Events, r.Took.Seconds())
	if len(r.Audit.Breaks) > 0 {
		return rehearse.ErrBroken
	}
	return nil
}

// against holds the day against sockets.
func (c *emulateCmd) against(e *env, s *settings.Scenario, r *emulate.Result) error {
	exe, err := os.Executable()
	if err != nil {
		return err
	}
	var sockets []*day.Outcome
	for range max(c.Against, 2) {
		o, err := rehearse.Play(e.ctx, s, exe, "", e.log)
		if err != nil {
			return err
		}
		sockets = append(sockets, o)
	}
	emulate.Against(e.out, s.Name, r.Outcome, sockets)
	return nil
}

type experimentCmd struct {
	Run     experimentRunCmd     `cmd:"" default:"withargs" help:"Run a plan; one that was stopped goes on."`
	Compare experimentCompareCmd `cmd:"" help:"Tell whether two experiments differ."`
}

type experimentRunCmd struct {
	Plan string `arg:"" help:"The plan."`
	Out  string `short:"o" help:"Folder of its results; by default the plan's name."`
}

// Run runs a plan.
func (c *experimentRunCmd) Run(e *env) error {
	x, err := settings.ReadExperiment(c.Plan)
	if err != nil {
		return misuse{err}
	}
	dir := c.Out
	if dir == "" {
		dir = x.Name
	}
	runs, err := experiment.Play(e.ctx, x, dir, os.Stderr)
	if err != nil {
		return err
	}
	experiment.Print(e.out, x.Name, runs)
	if err := experiment.Report(dir, x.Name, runs); err != nil {
		return err
	}
	fmt.Fprintf(e.out, "%s/report.html, %s/runs.parquet, and each run's RPCs in %s/rpcs\n", dir, dir, dir)
	return nil
}

type experimentCompareCmd struct {
	First  string `arg:"" help:"Folder of an experiment's results."`
	Second string `arg:"" help:"Likewise."`
}

// Run compares.
func (c *experimentCompareCmd) Run(e *env) error {
	a, err := experiment.Read(c.First)
	if err != nil {
		return misuse{err}
	}
	b, err := experiment.Read(c.Second)
	if err != nil {
		return misuse{err}
	}
	experiment.Compare(e.out, a, b)
	return nil
}
