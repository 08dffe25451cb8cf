package main

import (
	"bytes"
	"reflect"
	"testing"
)

const seedCount = 200

func encodeSite(t *testing.T, seed uint64) []byte {
	t.Helper()
	var out bytes.Buffer
	if err := Write(&out, Draw(seed)); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// TestDrawnSitesAreValid checks that each drawn site can be read back strictly and is allowed by the protocol.
func TestDrawnSitesAreValid(t *testing.T) {
	for seed := range uint64(seedCount) {
		site, err := Read(bytes.NewReader(encodeSite(t, seed)))
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if err := site.validate(); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

func TestSameSeedSameSite(t *testing.T) {
	for seed := range uint64(seedCount) {
		if !bytes.Equal(encodeSite(t, seed), encodeSite(t, seed)) {
			t.Errorf("seed %d gives two different sites", seed)
		}
		if bytes.Equal(encodeSite(t, seed), encodeSite(t, seed+1)) {
			t.Errorf("seeds %d and %d give the same site", seed, seed+1)
		}
	}
}

// TestDrawnSitesCoverProtocol checks that the sites of many seeds together have all properties that front ends must
// handle.
func TestDrawnSitesCoverProtocol(t *testing.T) {
	seen := map[string]bool{}
	for seed := range uint64(seedCount) {
		site := Draw(seed)
		seen["orders"] = seen["orders"] || site.Functions.Orders
		seen["no orders"] = seen["no orders"] || !site.Functions.Orders
		seen["probes"] = seen["probes"] || site.Allow.Probes
		seen["no probes"] = seen["no probes"] || !site.Allow.Probes
		seen["tenants"] = seen["tenants"] || len(site.Tenants) > 0
		seen["no tenants"] = seen["no tenants"] || len(site.Tenants) == 0
		seen["one zone"] = seen["one zone"] || len(site.Net.Zones) == 1
		seen["several zones"] = seen["several zones"] || len(site.Net.Zones) > 1
		seen["one attempt"] = seen["one attempt"] || site.Allow.MaxAttempts == 1
		seen["three attempts"] = seen["three attempts"] || site.Allow.MaxAttempts == 3
		seen["second copies"] = seen["second copies"] || site.Allow.SecondCopies
		for _, class := range site.Classes {
			seen[class.Effect] = true
			seen["a class with few RPCs"] = seen["a class with few RPCs"] || class.Share[1] < 0.1
			seen["a deadline shorter than a load"] = seen["a deadline shorter than a load"] ||
				float64(class.DeadlineMS) < site.Functions.Classes[0].LoadMS[1]
		}
	}
	want := []string{"orders", "no orders", "probes", "no probes", "tenants", "no tenants", "one zone", "several zones", "one attempt",
		"three attempts", "second copies", "safe", "keyed", "unsafe", "a class with few RPCs", "a deadline shorter than a load"}
	for _, property := range want {
		if !seen[property] {
			t.Errorf("none of %d sites has %s", seedCount, property)
		}
	}
}

func TestReadRejectsMalformed(t *testing.T) {
	for name, text := range map[string]string{"an unknown key": "name = 'a'\nnobody = 1\n", "a string for a number": "[day]\ntick_ms = 'x'\n",
		"a truncated table": "[day\n"} {
		if _, err := Read(bytes.NewReader([]byte(text))); err == nil {
			t.Errorf("%s is accepted", name)
		}
	}
}

func TestValidateRejects(t *testing.T) {
	for name, corrupt := range map[string]func(*Site){
		"no class":           func(s *Site) { s.Classes = nil },
		"a reversed range":   func(s *Site) { s.Discovery.AddS = Range{2, 1} },
		"aim above deadline": func(s *Site) { s.Classes[0].AimMS = s.Classes[0].DeadlineMS + 1 },
		"an unknown effect":  func(s *Site) { s.Classes[0].Effect = "odd" },
		"keyed, no window":   func(s *Site) { s.Classes[0].Effect, s.Classes[0].WindowMS = "keyed", 0 },
		"no attempts":        func(s *Site) { s.Allow.MaxAttempts = 0 },
		"no zone":            func(s *Site) { s.Net.Zones = nil },
	} {
		site := Draw(1)
		if err := site.validate(); err != nil {
			t.Fatal(err)
		}
		corrupt(&site)
		if site.validate() == nil {
			t.Errorf("%s is accepted", name)
		}
		if reflect.DeepEqual(site, Draw(1)) {
			t.Errorf("%s: the site was not changed", name)
		}
	}
}
