package emulate

import "testing"

// TestRollServesEachMethod guards against front ends that deny RPCs after they start beside a warm fleet. It restarts
// fifty front ends, each with little load, in steps while workers are replaced. Each method must keep the
// share of its gain that minServed sets.
func TestRollServesEachMethod(t *testing.T) {
	minServed := map[string]float64{"plan": 0.9, "ring": 0.9, "store": 0.9}
	r := run(t, read(t, "testdata/roll.xml"))
	for _, v := range r.Audit.Violations {
		t.Errorf("rule %d, %s: %s", v.Rule, v.RPC, v.Text)
	}
	for method, want := range minServed {
		tally := r.Methods[method]
		served := tally.GainKept / tally.GainAsked
		t.Logf("%s: served %.3f of %d RPCs, %d late, %d denied", method, served, tally.Asked, tally.Late, tally.Denied)
		if served < want {
			t.Errorf("%s: served %.3f, want %.2f", method, served, want)
		}
	}
}
