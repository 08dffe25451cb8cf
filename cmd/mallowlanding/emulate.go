package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"mallowlanding/internal/emulate"
	"mallowlanding/internal/experiment"
	"mallowlanding/internal/rehearse"
	"mallowlanding/internal/scenario"
	"mallowlanding/internal/scenariosearch"
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
	fmt.Fprintf(e.out, "in virtual time: %d moments with events in %.1f s\n", r.Events, r.Elapsed.Seconds())
	if len(r.Audit.Violations) > 0 {
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
	var sockets []*scenario.Outcome
	for range max(c.Against, 2) {
		o, err := rehearse.Play(e.ctx, s, exe, "", e.log)
		if err != nil {
			return err
		}
		sockets = append(sockets, o)
	}
	emulate.CompareWithSockets(e.out, s.Name, r.Outcome, sockets)
	return nil
}

type experimentCmd struct {
	Run     experimentRunCmd     `cmd:"" default:"withargs" help:"Run a plan; one that was stopped goes on."`
	Hunt    huntCmd              `cmd:"" help:"Look for the small day on which the module does worst, and keep it."`
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
	runs, err := experiment.Execute(e.ctx, x, dir, os.Stderr)
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

type loadCmd struct {
	Scenario  string   `arg:"" help:"The scenario, whose load and callers are used."`
	JSONRPC   []string `name:"json-rpc" sep:"," help:"Client sockets, one a front end."`
	HTTP      []string `sep:"," help:"Sockets of the KServe front's HTTP, in the same order."`
	GRPC      []string `sep:"," help:"Likewise, of its gRPC."`
	Processes int      `default:"1" help:"Processes that share the load."`
	Share     int      `hidden:"" default:"-1"`
	Of        int      `hidden:""`
}

// Run sends the load, or a process's share of it.
func (c *loadCmd) Run(e *env) error {
	s, err := settings.ReadScenario(c.Scenario)
	if err != nil {
		return misuse{err}
	}
	at := rehearse.Sockets{JSONRPC: c.JSONRPC, HTTP: c.HTTP, GRPC: c.GRPC}
	if at.Len() == 0 {
		return misuse{errors.New("no socket is named: --json-rpc, --http, --grpc")}
	}
	if c.Share < 0 {
		return rehearse.Load(e.ctx, s, c.Scenario, at, max(c.Processes, 1), e.out)
	}
	book, err := rehearse.Part(e.ctx, s, at, c.Share, c.Of)
	if err != nil {
		return misuse{err}
	}
	return json.NewEncoder(e.out).Encode(book)
}

type huntCmd struct {
	Scenario string `arg:"" help:"The scenario that days are drawn around."`
	Tries    int    `default:"200" help:"Days to draw."`
	Seed     int64  `default:"1" help:"Of the hunt."`
	Out      string `short:"o" default:"worst.xml" help:"Where the day is kept."`
}

// Run hunts.
func (c *huntCmd) Run(e *env) error {
	s, err := settings.ReadScenario(c.Scenario)
	if err != nil {
		return misuse{err}
	}
	f, err := scenariosearch.Run(e.ctx, s, c.Seed, c.Tries, func(text string) { e.log.Info().Msg(text) })
	if err != nil {
		return err
	}
	f.Scenario.Name = fmt.Sprintf("%s-hunted-%d", s.Name, c.Seed)
	if err := settings.WriteFile(c.Out, "scenario", f.Scenario); err != nil {
		return err
	}
	fmt.Fprintf(e.out, "%s: module %.3f, oracle %.3f, %d rule breaks, after %d days\n", c.Out, f.RouterShare, f.OracleShare, f.Breaks, f.Evaluated)
	return nil
}
