package scenariosearch

import (
	"context"
	"path/filepath"
	"reflect"
	"testing"

	"mallowlanding/internal/emulate"
	"mallowlanding/internal/settings"
)

// A hunt is the same for a seed; what it keeps is no larger than what it found, as bad, and replays from its file.
func TestHunt(t *testing.T) {
	base, err := settings.ReadScenario("../emulate/testdata/short.xml")
	if err != nil {
		t.Fatal(err)
	}
	said := 0
	f, err := Run(context.Background(), base, 5, 12, func(string) { said++ })
	if err != nil {
		t.Fatal(err)
	}
	if f.Score() <= 0 || said == 0 || f.Tried <= 12 {
		t.Fatalf("%+v, %d said", f, said)
	}
	for _, s := range smaller(f.Scenario) {
		next, err := judge(context.Background(), s)
		if err != nil {
			t.Fatal(err)
		}
		if next.Score() >= f.Score()/stays {
			t.Errorf("a smaller day is worse: %.3f to %.3f", next.Score(), f.Score())
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
		t.Error("what was kept replays otherwise")
	}
}
