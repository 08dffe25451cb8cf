package main

import (
	"bytes"
	"reflect"
	"testing"
)

const seeds = 200

func written(t *testing.T, seed uint64) []byte {
	t.Helper()
	var out bytes.Buffer
	if err := Write(&out, Draw(seed)); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// TestDrawnSitesLoad reads each drawn site back strictly, and holds it against what the protocol allows.
func TestDrawnSitesLoad(t *testing.T) {
	for seed := range uint64(seeds) {
		site, err := Read(bytes.NewReader(written(t, seed)))
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if err := site.check(); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

func TestSameSeedSameSite(t *testing.T) {
	for seed := range uint64(seeds) {
		if !bytes.Equal(written(t, seed), written(t, seed)) {
			t.Errorf("seed %d draws two sites", seed)
		}
		if bytes.Equal(written(t, seed), written(t, seed+1)) {
			t.Errorf("seeds %d and %d draw one site", seed, seed+1)
		}
	}
}

// TestDrawnSitesDiffer: over many seeds all is met that front ends have to serve.
func TestDrawnSitesDiffer(t *testing.T) {
	met := map[string]bool{}
	for seed := range uint64(seeds) {
		site := Draw(seed)
		met["orders"] = met["orders"] || site.Functions.Orders
		met["no orders"] = met["no orders"] || !site.Functions.Orders
		met["probes"] = met["probes"] || site.Allow.Probes
		met["no probes"] = met["no probes"] || !site.Allow.Probes
		met["tenants"] = met["tenants"] || len(site.Tenants) > 0
		met["no tenants"] = met["no tenants"] || len(site.Tenants) == 0
		met["one zone"] = met["one zone"] || len(site.Net.Zones) == 1
		met["zones"] = met["zones"] || len(site.Net.Zones) > 1
		met["one attempt"] = met["one attempt"] || site.Allow.MaxAttempts == 1
		met["three attempts"] = met["three attempts"] || site.Allow.MaxAttempts == 3
		met["second copies"] = met["second copies"] || site.Allow.SecondCopies
		for _, class := range site.Classes {
			met[class.Effect] = true
			met["few"] = met["few"] || class.Share[1] < 0.1
			met["shorter than a load"] = met["shorter than a load"] ||
				float64(class.DeadlineMS) < site.Functions.Classes[0].LoadMS[1]
		}
	}
	want := []string{"orders", "no orders", "probes", "no probes", "tenants", "no tenants", "one zone", "zones", "one attempt",
		"three attempts", "second copies", "safe", "keyed", "unsafe", "few", "shorter than a load"}
	for _, what := range want {
		if !met[what] {
			t.Errorf("no site of %d has %s", seeds, what)
		}
	}
}

func TestReadRefuses(t *testing.T) {
	for name, text := range map[string]string{"an unknown name": "name = 'a'\nnobody = 1\n", "a word for a figure": "[day]\ntick_ms = 'x'\n",
		"half a table": "[day\n"} {
		if _, err := Read(bytes.NewReader([]byte(text))); err == nil {
			t.Errorf("%s is taken", name)
		}
	}
}

func TestCheckRefuses(t *testing.T) {
	for name, spoil := range map[string]func(*Site){
		"no class":           func(s *Site) { s.Classes = nil },
		"a turned range":     func(s *Site) { s.Discovery.AddS = Range{2, 1} },
		"aim over deadline":  func(s *Site) { s.Classes[0].AimMS = s.Classes[0].DeadlineMS + 1 },
		"an unknown effect":  func(s *Site) { s.Classes[0].Effect = "odd" },
		"keyed without time": func(s *Site) { s.Classes[0].Effect, s.Classes[0].WindowMS = "keyed", 0 },
		"no attempts":        func(s *Site) { s.Allow.MaxAttempts = 0 },
		"no zone":            func(s *Site) { s.Net.Zones = nil },
	} {
		site := Draw(1)
		if before := site.check(); before != nil {
			t.Fatal(before)
		}
		spoil(&site)
		if site.check() == nil {
			t.Errorf("%s is taken", name)
		}
		if reflect.DeepEqual(site, Draw(1)) {
			t.Errorf("%s: nothing was spoilt", name)
		}
	}
}
