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
	Policy   string `help:"A baseline that decides in place of the router: random, round-robin, least-out, power-of-two, join-idle, bounded-hash, oracle."`
	Against  int    `help:"Also run the scenario this many times with real processes (at least twice), and report where the emulator differs by more than those runs do."`
	Seed     int64  `default:"-1" help:"Seed in place of the scenario's own."`
}

// Run plays a scenario in virtual time.
func (c *emulateCmd) Run(e *runEnv) error {
	s, err := settings.ReadScenario(c.Scenario)
	if err != nil {
		return usageError{err}
	}
	if c.Seed >= 0 {
		s.Seed = c.Seed
	}
	result, err := emulate.Run(e.ctx, s, c.Policy)
	if err != nil {
		return err
	}
	if c.Against > 0 {
		return c.compareWithSockets(e, s, result)
	}
	result.Print(e.stdout, s)
	fmt.Fprintf(e.stdout, "in virtual time: %d moments with events in %.1f s\n", result.Events, result.Elapsed.Seconds())
	if len(result.Audit.Violations) > 0 {
		return rehearse.ErrRuleBroken
	}
	return nil
}

// compareWithSockets runs the scenario with real processes and reports where the emulated result differs.
func (c *emulateCmd) compareWithSockets(e *runEnv, s *settings.Scenario, emulated *emulate.Result) error {
	exe, err := os.Executable()
	if err != nil {
		return err
	}
	var outcomes []*scenario.Outcome
	for range max(c.Against, 2) {
		outcome, err := rehearse.Play(e.ctx, s, exe, "", e.log)
		if err != nil {
			return err
		}
		outcomes = append(outcomes, outcome)
	}
	emulate.CompareWithSockets(e.stdout, s.Name, emulated.Outcome, outcomes)
	return nil
}

type experimentCmd struct {
	Run     experimentRunCmd     `cmd:"" default:"withargs" help:"Run a plan; a plan that was interrupted continues."`
	Hunt    huntCmd              `cmd:"" help:"Search for the small scenario on which the router does worst, and save it."`
	Compare experimentCompareCmd `cmd:"" help:"Report whether the results of two experiments differ."`
}

type experimentRunCmd struct {
	Plan string `arg:"" help:"The plan."`
	Out  string `short:"o" help:"Folder for the results; by default the plan's name."`
}

// Run runs a plan, prints its results and writes a report.
func (c *experimentRunCmd) Run(e *runEnv) error {
	plan, err := settings.ReadExperiment(c.Plan)
	if err != nil {
		return usageError{err}
	}
	dir := c.Out
	if dir == "" {
		dir = plan.Name
	}
	runs, err := experiment.Execute(e.ctx, plan, dir, os.Stderr)
	if err != nil {
		return err
	}
	experiment.Print(e.stdout, plan.Name, runs)
	if err := experiment.Report(dir, plan.Name, runs); err != nil {
		return err
	}
	fmt.Fprintf(e.stdout, "%s/report.html, %s/runs.parquet, and each run's RPCs in %s/rpcs\n", dir, dir, dir)
	return nil
}

type experimentCompareCmd struct {
	First  string `arg:"" help:"Folder of an experiment's results."`
	Second string `arg:"" help:"Folder of the other experiment's results."`
}

func (c *experimentCompareCmd) Run(e *runEnv) error {
	first, err := experiment.Read(c.First)
	if err != nil {
		return usageError{err}
	}
	second, err := experiment.Read(c.Second)
	if err != nil {
		return usageError{err}
	}
	experiment.Compare(e.stdout, first, second)
	return nil
}

type loadCmd struct {
	Scenario  string   `arg:"" help:"The scenario, whose load and callers are used."`
	JSONRPC   []string `name:"json-rpc" sep:"," help:"JSON-RPC client sockets, one for each front end."`
	HTTP      []string `sep:"," help:"KServe HTTP sockets of the front ends, in the same order."`
	GRPC      []string `sep:"," help:"KServe gRPC sockets of the front ends, in the same order."`
	Processes int      `default:"1" help:"Processes that share the load."`
	Share     int      `hidden:"" default:"-1"`
	Of        int      `hidden:""`
}

// Run sends the load, or, in a process that it started for this, one share of the load.
func (c *loadCmd) Run(e *runEnv) error {
	s, err := settings.ReadScenario(c.Scenario)
	if err != nil {
		return usageError{err}
	}
	sockets := rehearse.Sockets{JSONRPC: c.JSONRPC, HTTP: c.HTTP, GRPC: c.GRPC}
	if sockets.Len() == 0 {
		return usageError{errors.New("no sockets given: use --json-rpc, --http or --grpc")}
	}
	if c.Share < 0 {
		return rehearse.Load(e.ctx, s, c.Scenario, sockets, max(c.Processes, 1), e.stdout)
	}
	book, err := rehearse.LoadShare(e.ctx, s, sockets, c.Share, c.Of)
	if err != nil {
		return usageError{err}
	}
	return json.NewEncoder(e.stdout).Encode(book)
}

type huntCmd struct {
	Scenario string `arg:"" help:"The scenario that is varied at random."`
	Tries    int    `default:"200" help:"Number of random scenarios to try."`
	Seed     int64  `default:"1" help:"Seed of the search."`
	Out      string `short:"o" default:"worst.xml" help:"File for the worst scenario found."`
}

// Run searches for the worst scenario and writes it to a file.
func (c *huntCmd) Run(e *runEnv) error {
	s, err := settings.ReadScenario(c.Scenario)
	if err != nil {
		return usageError{err}
	}
	found, err := scenariosearch.Run(e.ctx, s, c.Seed, c.Tries, func(text string) { e.log.Info().Msg(text) })
	if err != nil {
		return err
	}
	found.Scenario.Name = fmt.Sprintf("%s-hunted-%d", s.Name, c.Seed)
	if err := settings.WriteFile(c.Out, "scenario", found.Scenario); err != nil {
		return err
	}
	fmt.Fprintf(e.stdout, "%s: module %.3f, oracle %.3f, %d rule breaks, after %d days\n", c.Out, found.RouterShare, found.OracleShare, found.Breaks, found.Evaluated)
	return nil
}
