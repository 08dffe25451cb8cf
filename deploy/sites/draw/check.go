package main

import (
	"errors"
	"fmt"
	"slices"
)

// check holds a site against what the operators' protocol allows. An error names the place.
func (s Site) check() error {
	if s.Name == "" || len(s.Net.Zones) == 0 || len(s.Classes) == 0 || len(s.Tiers) == 0 || len(s.Functions.Classes) == 0 {
		return errors.New("a site needs a name, zones, classes, workers and functions")
	}
	if s.Allow.MaxAttempts < 1 || s.Allow.MaxAttempts > 4 {
		return fmt.Errorf("allow.max_attempts: %d is not 1 to 4", s.Allow.MaxAttempts)
	}
	for name, bounds := range map[string]Range{"discovery.notice_s": s.Discovery.NoticeS, "discovery.add_s": s.Discovery.AddS,
		"discovery.period_ms": s.Discovery.PeriodMS, "clients.backoff_ms": s.Clients.BackoffMS, "fam.keep_s": s.Functions.KeepS} {
		if bounds[0] < 0 || bounds[0] > bounds[1] {
			return fmt.Errorf("%s: %v is no range", name, bounds)
		}
	}
	for i, class := range s.Classes {
		if err := class.check(); err != nil {
			return fmt.Errorf("class %d: %w", i, err)
		}
	}
	for i, class := range s.Functions.Classes {
		if class.Lanes < 1 || class.LoadMS[0] <= 0 || class.LoadMS[0] > class.LoadMS[1] {
			return fmt.Errorf("fam.class %d: %d lanes, loads of %v ms", i, class.Lanes, class.LoadMS)
		}
	}
	return nil
}

func (c Class) check() error {
	switch {
	case !slices.Contains([]string{"safe", "keyed", "unsafe"}, c.Effect):
		return fmt.Errorf("effect %q is unknown", c.Effect)
	case c.AimMS < 1 || c.DeadlineMS < c.AimMS:
		return fmt.Errorf("aim %d ms, deadline %d ms", c.AimMS, c.DeadlineMS)
	case c.Worth < 1:
		return fmt.Errorf("worth %d", c.Worth)
	case c.Effect == "keyed" && (c.WindowMS < 1 || c.Group == ""):
		return fmt.Errorf("keyed within %d ms, group %q", c.WindowMS, c.Group)
	}
	return nil
}
