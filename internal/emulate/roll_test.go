package emulate

import "testing"

// TestRollServesEachMethod guards against front ends that start beside a warm fleet and refuse: fifty that each send
// little are restarted in steps while workers are replaced, and no method may fall under its share.
func TestRollServesEachMethod(t *testing.T) {
	least := map[string]float64{"plan": 0.9, "ring": 0.9, "store": 0.9}
	r := run(t, read(t, "testdata/roll.xml"))
	for _, b := range r.Audit.Violations {
		t.Errorf("rule %d, %s: %s", b.Rule, b.RPC, b.Text)
	}
	for method, want := range least {
		tally := r.Methods[method]
		served := tally.GainKept / tally.GainAsked
		t.Logf("%s: served %.3f of %d RPCs, %d late, %d denied", method, served, tally.Asked, tally.Late, tally.Denied)
		if served < want {
			t.Errorf("%s: served %.3f, want %.2f", method, served, want)
		}
	}
}
