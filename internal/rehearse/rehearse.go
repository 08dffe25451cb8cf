// Package rehearse plays a scenario with real processes on one machine: it starts a fleet, sends the load of the
// clients in an open loop, and injects the scheduled troubles. Then it checks the five rules, from the records of the
// clients, the workers and the roster, and prints the results of the RPCs.
package rehearse

import (
	"context"
	"errors"
	"io"
	"os"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"mallowlanding/internal/eventloop"
	"mallowlanding/internal/record"
	"mallowlanding/internal/scenario"
	"mallowlanding/internal/settings"
)

// ErrRuleBroken reports that one of the five rules was broken, or that an invalid configuration was accepted or run.
var ErrRuleBroken = errors.New("a rule was broken")

// Run plays a scenario with processes of this program and prints the results. The folder keep holds the files of the
// processes; if keep is empty, they go to a temporary folder, which is removed. A broken rule gives ErrRuleBroken.
func Run(ctx context.Context, s *settings.Scenario, keep string, out io.Writer, log zerolog.Logger) error {
	exe, err := os.Executable()
	if err != nil {
		return err
	}
	outcome, err := Play(ctx, s, exe, keep, log)
	if err != nil {
		return err
	}
	outcome.Print(out, s)
	if len(outcome.Audit.Violations) > 0 || outcome.OtherFailure {
		return ErrRuleBroken
	}
	return nil
}

// Play plays a scenario with processes of the program exe and audits their records.
func Play(ctx context.Context, s *settings.Scenario, exe, keep string, log zerolog.Logger) (*scenario.Outcome, error) {
	dir := keep
	var err error
	if dir == "" {
		if dir, err = os.MkdirTemp("", "mallow"); err != nil { // short: the length of socket paths is limited
			return nil, err
		}
		defer os.RemoveAll(dir)
	} else if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var clientRecords []record.Record
	addRecord := func(r record.Record) {
		mu.Lock()
		clientRecords = append(clientRecords, r)
		mu.Unlock()
	}
	f := &fleet{scenario: s, exe: exe, dir: dir, addRecord: addRecord, latest: map[string]*process{}}
	longestDeadline := time.Duration(0)
	for _, m := range s.Service.Methods {
		longestDeadline = max(longestDeadline, eventloop.ToDuration(m.Deadline))
	}
	stopped := false
	defer func() {
		if !stopped {
			f.stop(0)
		}
	}()
	if err := f.startAll(ctx); err != nil {
		return nil, err
	}
	// The front ends receive the worker list with the roster's lag.
	if !sleep(ctx, eventloop.ToDuration(s.Fleet.RosterLag)+500*time.Millisecond) {
		return nil, ctx.Err()
	}
	log.Info().Str("scenario", s.Name).Int("front_ends", s.Fleet.FrontEnds).Int("workers", len(f.workers)).
		Msg("the scenario starts")
	generator, err := newLoadGenerator(s, f, addRecord)
	if err != nil {
		return nil, err
	}
	defer generator.close()
	scenarioCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	injector := &faultInjector{fleet: f, generator: generator, log: log}
	troublesDone := make(chan struct{})
	begin := time.Now()
	go func() { defer close(troublesDone); injector.run(scenarioCtx, begin) }()
	generator.run(scenarioCtx)
	<-troublesDone
	// The last RPCs must be answered by their deadline, or a rule is broken.
	sleep(ctx, longestDeadline+eventloop.ToDuration(s.Slack))
	if err := injector.configs.collect(ctx, f); err != nil {
		log.Warn().Err(err).Msg("could not read the final states of the configurations from the control service")
	}
	f.stop(longestDeadline + time.Second)
	stopped = true
	cancel()
	generator.readers.Wait()
	fleetRecords, err := f.readRecords()
	if err != nil {
		return nil, err
	}
	mu.Lock()
	defer mu.Unlock()
	if keep != "" {
		recordLog, err := record.Open(f.path("callers.rec"))
		if err != nil {
			return nil, err
		}
		defer recordLog.Close()
		for _, r := range clientRecords {
			if err := recordLog.Add(r); err != nil {
				return nil, err
			}
		}
	}
	all := append(clientRecords, fleetRecords...)
	outcome := scenario.Evaluate(s, all, generator.tallies, injector.configs.String())
	outcome.OtherFailure = len(injector.configs.badInForce) > 0
	return outcome, ctx.Err()
}
