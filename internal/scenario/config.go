package scenario

import (
	"fmt"
	"math/rand"

	"mallowlanding/internal/settings"
	"mallowlanding/router"
)

// Configuration is the day's service with something changed: what does no harm, or what no front end may take.
func Configuration(s *settings.Scenario, dir string, n int, bad bool, rng *rand.Rand) (string, error) {
	next := s.Service
	next.Methods = append([]settings.Method(nil), s.Service.Methods...)
	next.CallOuts.RetryAfter += 1 + router.Time(n%50)
	switch n % 4 { // a method comes, and goes with the next
	case 0:
		extra := next.Methods[0]
		extra.Name = fmt.Sprintf("extra-%d", n)
		next.Methods = append(next.Methods, extra)
	case 1:
		next.Functions.Overrides = append([]settings.Function{{Name: fmt.Sprintf("fn-%d", n), Lanes: 2}}, next.Functions.Overrides...)
	}
	more := ""
	switch {
	case n%4 == 2:
		more = fmt.Sprintf("  <limits whole-open=\"%d\" open=\"100000\"/>\n", 19000+n)
	case n%4 == 3:
		more = "  <limits open=\"100000\"/>\n  <listener name=\"more\" socket=\"" + dir + "/FRONT.more" + "\"/>\n"
	}
	if bad {
		switch rng.Intn(4) {
		case 0: // figures that don't fit each other
			next.Methods[0].SoftDeadline = next.Methods[0].Deadline + 10
		case 1: // a reference to nothing
			more = "  <group name=\"g\" zone=\"nowhere\"><worker name=\"x\" socket=\"/nowhere\"/></group>\n"
		case 2: // out of range
			next.Methods[0].Lanes = 0
		case 3: // no service at all
			next.Methods = nil
		}
	}
	text, err := settings.ElementText("service", next)
	return "<configuration>\n" + text + more + "</configuration>\n", err
}

// Move is the day's service in another shape: four times the front ends, as if each client process had its own, no
// checks, and no word to clients of when to come back.
func Move(s *settings.Scenario) (string, error) {
	next := s.Service
	next.Shared.FrontEnds = 4 * s.Fleet.FrontEnds
	next.CallOuts.Check, next.CallOuts.AdviseRetry = false, false
	text, err := settings.ElementText("service", next)
	return "<configuration>\n" + text + "</configuration>\n", err
}
