// Package rehearse plays a scripted day: a fleet of processes of their own on one machine, clients that ask in an
// open loop, troubles at their times. It then checks the five rules from what passed over the sockets and from the
// workers' log of effects, and prints what became of the RPCs.
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

// ErrBroken: a rule broke.
var ErrBroken = errors.New("a rule broke")

// Run plays a scenario with the program's own executable and prints its table. Keep names a folder in which all that
// the processes left stays; an empty name: it goes. A broken rule is ErrBroken.
func Run(ctx context.Context, s *settings.Scenario, keep string, out io.Writer, log zerolog.Logger) error {
	exe, err := os.Executable()
	if err != nil {
		return err
	}
	o, err := Play(ctx, s, exe, keep, log)
	if err != nil {
		return err
	}
	o.Print(out, s)
	if len(o.Audit.Violations) > 0 || o.OtherFailure {
		return ErrBroken
	}
	return nil
}

// Play runs a scenario's processes as exe and audits what they left.
func Play(ctx context.Context, s *settings.Scenario, exe, keep string, log zerolog.Logger) (*scenario.Outcome, error) {
	dir := keep
	var err error
	if dir == "" {
		if dir, err = os.MkdirTemp("", "mallow"); err != nil { // short: socket paths are bounded
			return nil, err
		}
		defer os.RemoveAll(dir)
	} else if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var seen []record.Record
	keepRecord := func(r record.Record) {
		mu.Lock()
		seen = append(seen, r)
		mu.Unlock()
	}
	f := &fleet{s: s, exe: exe, dir: dir, keep: keepRecord, procs: map[string]*process{}}
	longest := time.Duration(0)
	for _, m := range s.Service.Methods {
		longest = max(longest, eventloop.ToDuration(m.Deadline))
	}
	stopped := false
	defer func() {
		if !stopped {
			f.stop(0)
		}
	}()
	if err := f.run(ctx); err != nil {
		return nil, err
	}
	// the list comes to the front ends with the roster's lag
	if !sleep(ctx, eventloop.ToDuration(s.Fleet.RosterLag)+500*time.Millisecond) {
		return nil, ctx.Err()
	}
	log.Info().Str("scenario", s.Name).Int("front_ends", s.Fleet.FrontEnds).Int("workers", len(f.workers)).
		Msg("the day begins")
	c, err := newCallers(s, f, keepRecord)
	if err != nil {
		return nil, err
	}
	defer c.close()
	today, end := context.WithCancel(ctx)
	defer end()
	m := &maker{f: f, callers: c, log: log}
	troubles := make(chan struct{})
	begin := time.Now()
	go func() { defer close(troubles); m.run(today, begin) }()
	c.run(today)
	<-troubles
	// what was sent last is answered before its time is up, or a rule breaks
	sleep(ctx, longest+eventloop.ToDuration(s.Slack))
	if err := m.configs.look(ctx, f); err != nil {
		log.Warn().Err(err).Msg("the control service does not tell how the day's configurations ended")
	}
	f.stop(longest + time.Second)
	stopped = true
	end()
	c.open.Wait()
	theirs, err := f.records()
	if err != nil {
		return nil, err
	}
	mu.Lock()
	defer mu.Unlock()
	if keep != "" {
		l, err := record.Open(f.path("callers.rec"))
		if err != nil {
			return nil, err
		}
		defer l.Close()
		for _, r := range seen {
			if err := l.Add(r); err != nil {
				return nil, err
			}
		}
	}
	all := append(seen, theirs...)
	o := scenario.Evaluate(s, all, c.book, m.configs.String())
	o.OtherFailure = len(m.configs.BadAccepted) > 0
	return o, ctx.Err()
}
