package main

import (
	"fmt"
	"math"
	"math/rand/v2"
)

// Lists that names are drawn from.
var (
	siteNames   = []string{"quarry", "meadow", "harbor", "orchid", "bakery", "canyon", "turbine", "viaduct"}
	zoneNames   = []string{"dune", "moor", "fen", "ridge", "cove"}
	methodNames = []string{"read-gauge", "bake-tile", "post-entry", "trace-line"}
	tenantNames = []string{"alder", "birch", "cedar", "dogwood"}
	kindNames   = []string{"granite", "chalk", "flint"}
)

// generator draws the settings of a site from a seeded random source.
type generator struct{ rng *rand.Rand }

// logBetween draws a number from low to high, uniformly on a logarithmic scale, with three significant digits.
func (g generator) logBetween(low, high float64) float64 {
	value := low * math.Pow(high/low, g.rng.Float64())
	step := math.Pow(10, math.Floor(math.Log10(value))-2)
	return math.Round(math.Round(value/step)*step*1e6) / 1e6
}

// rangeAround draws a middle from low to high and returns the range from 25 % below it to 25 % above it.
func (g generator) rangeAround(low, high float64) Range {
	middle := g.logBetween(low, high)
	return Range{round4(middle * 0.75), round4(middle * 1.25)}
}

// round4 rounds to four decimal places.
func round4(value float64) float64 { return math.Round(value*1e4) / 1e4 }

// intBetween draws an integer from low to high, both included.
func (g generator) intBetween(low, high int) int { return low + g.rng.IntN(high-low+1) }

// randomBool returns true with the probability share.
func (g generator) randomBool(share float64) bool { return g.rng.Float64() < share }

// sample draws count different names.
func (g generator) sample(names []string, count int) []string {
	chosen := make([]string, 0, count)
	for _, index := range g.rng.Perm(len(names))[:count] {
		chosen = append(chosen, names[index])
	}
	return chosen
}

// Draw returns the site of a seed. The same seed always gives the same site.
func Draw(seed uint64) Site {
	g := generator{rand.New(rand.NewPCG(seed, 0))}
	zones := g.sample(zoneNames, g.intBetween(1, 4))
	site := Site{
		Name: fmt.Sprintf("%s-%d", g.sample(siteNames, 1)[0], seed), Family: "warm", Wire: "wire.json",
		Day: Day{LengthS: Range{38, 48}, TickMS: g.intBetween(1, 4), MaxRequests: 50000, Troubles: Range{1, 2.99},
			InStep: g.randomBool(0.5), StartSpreadMS: Range{50, 700}},
		Scale: Scale{Servers: [2]int{9, 14}, Balancers: [2]int{2, 4}, BigServers: [2]int{10, 14},
			BigBalancers: [2]int{2, 4}, TwinServers: 8, TwinBalancers: 2},
		Load:      g.load(len(zones)),
		Net:       g.net(zones),
		Front:     Front{Entry: "front", NoticeS: Range{1, 3.5}},
		Clients:   g.clients(),
		Discovery: g.discovery(),
		Rules:     Rules{DrainGraceMS: g.intBetween(3, 7) * 100, FallMultiple: g.intBetween(2, 4), FallMS: g.intBetween(8, 16) * 100},
		Goal:      Goal{Whole: 0.6, WorstWindow: 0.2, WorstClass: 0.2},
	}
	site.Prices = Prices{CrossZone: 0.015, Waste: g.logBetween(0.03, 0.08), Probe: 0.01, LateFail: 0.1, Origin: g.logBetween(0.02, 0.05)}
	if len(zones) == 1 {
		site.Prices.CrossZone = 0
	}
	site.Allow = Allow{Probes: g.randomBool(0.5), Cancel: true, SecondCopies: g.randomBool(0.5), RetryAfter: g.randomBool(0.7),
		MaxAttempts: g.intBetween(1, 3), CPUMSPerS: 450}
	site.Classes = g.classes()
	site.Tenants = g.tenants()
	if len(site.Tenants) > 0 {
		site.Load.OverShareWorth, site.Load.QuotaOfCapacity = g.logBetween(0.1, 0.3), &Range{0.7, 0.9}
		site.Goal.WorstClass, site.Goal.WorstTenant = 0.1, 0.1
	}
	site.Functions = g.functions(site.Classes, len(site.Tenants) > 0)
	site.Tiers = []Tier{g.tier(site.Allow.Probes)}
	site.Troubles = g.troubles()
	return site
}

func (g generator) load(zones int) Load {
	skew := any(0)
	if zones > 1 {
		skew = Range{0.1, 0.4}
	}
	return Load{Quiet: Range{0.3, 0.45}, Trouble: Range{0.4, 0.6}, Overload: Range{1, 1.15}, Big: Range{0.4, 0.58},
		Shape: g.sample([]string{"wave", "steady", "bursty", "ramp"}, 2), Swing: Range{0.1, 0.3}, ZoneSkew: skew,
		StreamCV: Range{0.4, 1.2}, Hints: "none", WorthBy: "request"}
}

func (g generator) net(zones []string) Net {
	net := Net{Zones: zones, SameMS: Range{0.1, 0.4}, ClientMS: Range{0.3, 1.4}, Jitter: Range{0.1, 0.3},
		ServerSkew: Range{0, 0.2}}
	if len(zones) > 1 {
		cross := g.rangeAround(0.6, 2)
		net.CrossMS = &cross
	}
	return net
}

func (g generator) clients() Clients {
	return Clients{Retries: Range{0, float64(g.intBetween(1, 3)) - 0.01}, TryShare: Range{0.5, 1},
		Backoff: g.sample([]string{"none", "fixed", "exp"}, 2), Honour: Range{0.4, 0.9}, BackoffMS: Range{60, 350},
		MaxRetryAfterMS: g.intBetween(2, 20) * 100, Impatient: Range{0, 0.01}, MarksRetry: g.randomBool(0.5)}
}

func (g generator) discovery() Discovery {
	return Discovery{Mode: "push", NoticeS: Range{1, 4.5}, SilentNoticeS: Range{5, 12}, AddS: Range{0.3, 2.2},
		PeriodMS: Range{160, 1000}, SpreadMS: Range{40, 330}}
}

// classes draws two to four classes with very different gains. At least one must not be repeated without a token, the
// last has the smallest share of the RPCs, and one may have a deadline that is shorter than a load.
func (g generator) classes() []Class {
	shares := [][]float64{{0.75, 0.25}, {0.65, 0.25, 0.1}, {0.6, 0.2, 0.14, 0.06}}[g.intBetween(0, 2)]
	names := g.sample(methodNames, len(shares))
	effects := []string{"safe", []string{"unsafe", "keyed"}[g.intBetween(0, 1)], "unsafe", "keyed"}
	shortDeadline := g.intBetween(0, len(shares)) // index of the class with a short deadline; len(shares): none
	classes := make([]Class, 0, len(shares))
	for i, share := range shares {
		work := g.logBetween(12, 150)
		softDeadline := int(work * g.logBetween(6, 14))
		class := Class{Name: names[i], Share: Range{round4(share * 0.9), round4(share * 1.1)},
			WorkMS: Range{round4(work * 0.8), round4(work * 1.2)}, Dist: g.sample([]string{"exp", "lognormal"}, 1),
			CV: Range{0.5, 1}, AttemptNoise: Range{0.1, 0.4}, AimMS: softDeadline, DeadlineMS: softDeadline * g.intBetween(3, 5),
			Worth: 1 + i*g.intBetween(1, 3), LateWorth: g.logBetween(0.05, 0.3), Effect: effects[i]}
		if i == shortDeadline {
			class.DeadlineMS = softDeadline * 3 / 2
		}
		if class.Effect == "keyed" {
			class.Group = []string{"all", "zone"}[g.intBetween(0, 1)]
			class.WindowMS = class.DeadlineMS
		}
		classes = append(classes, class)
	}
	return classes
}

func (g generator) tenants() []Tenant {
	if g.randomBool(0.5) {
		return nil
	}
	shares := [][]float64{{0.6, 0.4}, {0.5, 0.3, 0.2}, {0.4, 0.3, 0.2, 0.1}}[g.intBetween(0, 2)]
	list := make([]Tenant, 0, len(shares))
	for i, name := range g.sample(tenantNames, len(shares)) {
		list = append(list, Tenant{Name: name, Share: shares[i], Usage: Range{0.6, 1.4}})
	}
	return list
}

// functions draws the settings of the functions. A load takes 3 to 15 times the work of the longest class, with a
// spread of 0.7 to 1.4 around that.
func (g generator) functions(classes []Class, byTenant bool) Functions {
	longest := 0.0
	for _, class := range classes {
		longest = max(longest, class.WorkMS[1])
	}
	f := Functions{OnMiss: "load", Orders: g.randomBool(0.5), TellsWarm: true, TellsLoad: g.randomBool(0.5),
		TellsCrowd: g.randomBool(0.5), ByTenant: byTenant, More: []string{"single", "eager"}[g.intBetween(0, 1)],
		WaitsForRoom: g.randomBool(0.5), KeepS: Range{9, 15}, LoadsAtOnce: Range{3, 6}, SparePerCore: Range{3.5, 6},
		Catalog: Range{0.25, 0.55}, Zipf: Range{1.1, 1.35}, Offset: Range{2, 4}, Turning: Range{0, 0.25},
		SpellS: Range{12, 28}, Disk: Range{0, 1}, FetchShare: Range{0.45, 0.8}, StartCore: Range{0, 0.25},
		LoadFail: Range{0, 0.018}, FailSays: []string{"miss", "error"}, StoreHeadroom: g.rangeAround(3.5, 5),
		StoreThrash: Range{0.02, 0.2}, StoreTakes: g.rangeAround(6, 9), StoreFallMultiple: 3 * g.intBetween(0, 1)}
	if f.Orders {
		f.LoadFree, f.LoadShare = g.intBetween(2, 8), g.logBetween(0.05, 0.3)
		f.LoadWindowMS, f.OrderTimeoutMS = g.intBetween(3, 6)*1000, g.intBetween(2, 5)*1000
	}
	for range g.intBetween(1, 2) {
		load := longest * g.logBetween(3, 15)
		f.Classes = append(f.Classes, FunctionClass{MemoryMB: g.rangeAround(300, 3000), SizeSigma: Range{0.3, 0.55},
			LoadMS: Range{round4(load * 0.7), round4(load * 1.4)}, LoadSigma: Range{0.3, 0.5}, Lanes: 1 << g.intBetween(0, 2),
			WorkSigma: Range{0.2, 0.45}})
	}
	return f
}

func (g generator) tier(probes bool) Tier {
	tier := Tier{Name: "workers", CellSize: [2]int{3, 7}, Weights: "none",
		Report: Report{How: "answers", Fields: g.sample([]string{"inflight", "util", "queue"}, 2), PeriodMS: Range{160, 800},
			DelayMS: Range{10, 230}, Noise: Range{0.02, 0.1}},
		Conn: Conn{Streams: 64, HandshakeRTTs: [2]int{1, 2}, HandshakeUS: Range{400, 1700}, IdleS: g.intBetween(6, 25),
			ConnectTimeoutMS: g.intBetween(10, 40) * 10, CapPerCore: Range{400, 850}, FullTax: Range{0.04, 0.14}}}
	if probes {
		tier.Probe = &Probe{WorkUS: Range{110, 450}, CapPerCore: Range{4, 9.5}, TimeoutMS: g.intBetween(10, 25) * 10}
		if g.randomBool(0.5) {
			tier.Report.How = "probe"
		}
	}
	coldFrom, cold := g.rangeAround(0.2, 0.4), g.rangeAround(6, 16)
	for i, share := range [][]float64{{0.6, 0.4}, {0.45, 0.35, 0.2}}[g.intBetween(0, 1)] {
		speed := []float64{1, 0.7, 0.85}[i]
		tier.Kinds = append(tier.Kinds, Kind{Name: kindNames[i], Share: Range{round4(share * 0.85), round4(share * 1.15)},
			Cores: g.intBetween(2, 4), Speed: Range{round4(speed * 0.9), round4(speed * 1.12)}, SpeedCV: Range{0.04, 0.2},
			SlotsPerCore: Range{2, 5}, QueuePerCore: Range{4, 10}, Thrash: Range{0.05, 0.2}, ThrashAt: Range{4, 7},
			ColdFrom: coldFrom, ColdS: cold, WarmBy: "time", ErrorRate: Range{0, 0.001},
			Cancel: []string{"queued", "all"}, DropsExpired: g.randomBool(0.5)})
	}
	return tier
}

// troubles returns the troubles of a fleet under maintenance, a rolling restart of the front ends and a deployment of
// the workers, and another one that is drawn.
func (g generator) troubles() []Trouble {
	roll := Trouble{Name: "balancer_roll", LenS: &Range{22, 9}, Part: &Range{0.5, 0.9}, Size: &Range{0.08, 0.25}, Extra: &Range{0.3, 1}}
	deploy := Trouble{Name: "deploy", LenS: &Range{36, 22}, Part: &Range{0.5, 0.9}, Size: &Range{0.06, 0.18}, Extra: &Range{2.5, 5}, Weight: 2}
	others := []Trouble{
		{Name: "hang", LenS: &Range{6, 20}, Part: &Range{0.06, 0.15}},
		{Name: "flush", Size: &Range{0.36, 0.9}},
		{Name: "burst", LenS: &Range{2, 7}, Size: &Range{1.4, 2.1}, Extra: &Range{1.9, 0.4}},
		{Name: "fast_errors", LenS: &Range{6, 20}, Part: &Range{0.06, 0.15}, Size: &Range{0.3, 0.9}},
	}
	return []Trouble{roll, deploy, others[g.intBetween(0, len(others)-1)]}
}
