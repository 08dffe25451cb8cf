package scenariosearch

import (
	"context"
	"path/filepath"
	"reflect"
	"testing"

	"mallowlanding/internal/emulate"
	"mallowlanding/internal/settings"
)

// A search finds a scenario with a positive score and reduces it. No reduction of the result scores much higher, and
// the result replays identically from its file.
func TestSearch(t *testing.T) {
	base, err := settings.ReadScenario("../emulate/testdata/short.xml")
	if err != nil {
		t.Fatal(err)
	}
	reports := 0
	f, err := Run(context.Background(), base, 5, 12, func(string) { reports++ })
	if err != nil {
		t.Fatal(err)
	}
	if f.Score() <= 0 || reports == 0 || f.Evaluated <= 12 {
		t.Fatalf("%+v, %d lines of progress", f, reports)
	}
	for _, s := range reductions(f.Scenario) {
		next, err := evaluate(context.Background(), s)
		if err != nil {
			t.Fatal(err)
		}
		if next.Score() >= f.Score()/minScoreShare {
			t.Errorf("a reduction scores %.3f, the result only %.3f", next.Score(), f.Score())
		}
	}
	file := filepath.Join(t.TempDir(), "worst.xml")
	if err := settings.WriteFile(file, "scenario", f.Scenario); err != nil {
		t.Fatal(err)
	}
	s, err := settings.ReadScenario(file)
	if err != nil {
		t.Fatal(err)
	}
	a, err := emulate.Run(context.Background(), f.Scenario, "")
	if err != nil {
		t.Fatal(err)
	}
	b, err := emulate.Run(context.Background(), s, "")
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(a.Records, b.Records) {
		t.Error("the saved scenario gives other records")
	}
}
