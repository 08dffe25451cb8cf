package emulate

import (
	"context"
	"testing"

	"mallowlanding/internal/settings"
)

// BenchmarkBadDay plays examples/bad-day.xml and reports the RPCs per second of one core.
func BenchmarkBadDay(b *testing.B) {
	s, err := settings.ReadScenario("../../examples/bad-day.xml")
	if err != nil {
		b.Fatal(err)
	}
	rpcs := 0
	for b.Loop() {
		r, err := Run(context.Background(), s, "")
		if err != nil {
			b.Fatal(err)
		}
		rpcs += len(r.RPCs)
	}
	b.ReportMetric(float64(rpcs)/b.Elapsed().Seconds(), "RPCs/s")
}
