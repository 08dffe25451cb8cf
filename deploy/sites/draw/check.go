package main

import (
	"errors"
	"fmt"
	"slices"
)

// validate checks a site against what the operators' protocol allows. An error names the setting.
func (s Site) validate() error {
	if s.Name == "" || len(s.Net.Zones) == 0 || len(s.Classes) == 0 || len(s.Tiers) == 0 || len(s.Functions.Classes) == 0 {
		return errors.New("a site needs a name, zones, classes, workers and functions")
	}
	if s.Allow.MaxAttempts < 1 || s.Allow.MaxAttempts > 4 {
		return fmt.Errorf("allow.max_attempts: %d is not between 1 and 4", s.Allow.MaxAttempts)
	}
	for name, bounds := range map[string]Range{"discovery.notice_s": s.Discovery.NoticeS, "discovery.add_s": s.Discovery.AddS,
		"discovery.period_ms": s.Discovery.PeriodMS, "clients.backoff_ms": s.Clients.BackoffMS, "fam.keep_s": s.Functions.KeepS} {
		if bounds[0] < 0 || bounds[0] > bounds[1] {
			return fmt.Errorf("%s: %v is not a range", name, bounds)
		}
	}
	for i, class := range s.Classes {
		if err := class.validate(); err != nil {
			return fmt.Errorf("class %d: %w", i, err)
		}
	}
	for i, class := range s.Functions.Classes {
		if class.Lanes < 1 || class.LoadMS[0] <= 0 || class.LoadMS[0] > class.LoadMS[1] {
			return fmt.Errorf("fam.class %d: invalid lanes %d or load_ms %v", i, class.Lanes, class.LoadMS)
		}
	}
	return nil
}

// validate checks a class of RPCs.
func (c Class) validate() error {
	switch {
	case !slices.Contains([]string{"safe", "keyed", "unsafe"}, c.Effect):
		return fmt.Errorf("unknown effect %q", c.Effect)
	case c.AimMS < 1 || c.DeadlineMS < c.AimMS:
		return fmt.Errorf("aim_ms %d is below 1 or above deadline_ms %d", c.AimMS, c.DeadlineMS)
	case c.Worth < 1:
		return fmt.Errorf("worth %d is below 1", c.Worth)
	case c.Effect == "keyed" && (c.WindowMS < 1 || c.Group == ""):
		return fmt.Errorf("effect keyed needs a window and a group: got window_ms %d, group %q", c.WindowMS, c.Group)
	}
	return nil
}
