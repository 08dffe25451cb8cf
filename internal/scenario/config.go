package scenario

import (
	"fmt"
	"math/rand"

	"mallowlanding/internal/settings"
	"mallowlanding/router"
)

// ChangedConfiguration returns the text of a configuration: the scenario's service with a change that depends on n. The
// change is harmless, or, if bad is set, one that every front end must reject. Dir is the folder of the front ends'
// sockets.
func ChangedConfiguration(s *settings.Scenario, dir string, n int, bad bool, rng *rand.Rand) (string, error) {
	next := s.Service
	next.Methods = append([]settings.Method(nil), s.Service.Methods...)
	next.CallOuts.RetryAfter += 1 + router.Time(n%50)
	switch n % 4 { // a new method, which the next configuration lacks
	case 0:
		method := next.Methods[0]
		method.Name = fmt.Sprintf("extra-%d", n)
		next.Methods = append(next.Methods, method)
	case 1:
		next.Functions.Overrides = append([]settings.Function{{Name: fmt.Sprintf("fn-%d", n), Lanes: 2}}, next.Functions.Overrides...)
	}
	extra := ""
	switch {
	case n%4 == 2:
		extra = fmt.Sprintf("  <limits whole-open=\"%d\" open=\"100000\"/>\n", 19000+n)
	case n%4 == 3:
		extra = "  <limits open=\"100000\"/>\n  <listener name=\"more\" socket=\"" + dir + "/FRONT.more" + "\"/>\n"
	}
	if bad {
		switch rng.Intn(4) {
		case 0: // values that contradict each other
			next.Methods[0].SoftDeadline = next.Methods[0].Deadline + 10
		case 1: // a reference to a zone that does not exist
			extra = "  <group name=\"g\" zone=\"nowhere\"><worker name=\"x\" socket=\"/nowhere\"/></group>\n"
		case 2: // a value out of range
			next.Methods[0].Lanes = 0
		case 3: // a service without methods
			next.Methods = nil
		}
	}
	text, err := settings.ElementText("service", next)
	return "<configuration>\n" + text + extra + "</configuration>\n", err
}

// ConfigurationOfOtherShape returns the text of a configuration: the scenario's service for four times the front ends,
// as if each client process had its own, without checks of workers and without advice to clients on when to retry.
func ConfigurationOfOtherShape(s *settings.Scenario) (string, error) {
	next := s.Service
	next.Shared.FrontEnds = 4 * s.Fleet.FrontEnds
	next.CallOuts.Check, next.CallOuts.AdviseRetry = false, false
	text, err := settings.ElementText("service", next)
	return "<configuration>\n" + text + "</configuration>\n", err
}
