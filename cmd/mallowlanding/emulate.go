package main

import (
	"fmt"

	"mallowlanding/internal/emulate"
	"mallowlanding/internal/rehearse"
	"mallowlanding/internal/settings"
)

type emulateCmd struct {
	Scenario string `arg:"" help:"The scenario."`
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
	r, err := emulate.Run(e.ctx, s)
	if err != nil {
		return err
	}
	r.Print(e.out, s)
	fmt.Fprintf(e.out, "in virtual time: %d moments with events in %.1f s\n", r.Events, r.Took.Seconds())
	if len(r.Audit.Breaks) > 0 {
		return rehearse.ErrBroken
	}
	return nil
}
