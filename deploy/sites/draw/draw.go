package main

import (
	"fmt"
	"math"
	"math/rand/v2"
)

// Words for names; each site takes the first so many of a shuffled list.
var (
	places    = []string{"quarry", "meadow", "harbor", "orchid", "bakery", "canyon", "turbine", "viaduct"}
	zoneNames = []string{"dune", "moor", "fen", "ridge", "cove"}
	methods   = []string{"read-gauge", "bake-tile", "post-entry", "trace-line"}
	tenants   = []string{"alder", "birch", "cedar", "dogwood"}
	kindNames = []string{"granite", "chalk", "flint"}
)

// drawer draws a site's figures from one seeded source.
type drawer struct{ random *rand.Rand }

// between is a figure from low to high, of equal chance on a logarithmic scale, with three digits.
func (d drawer) between(low, high float64) float64 {
	figure := low * math.Pow(high/low, d.random.Float64())
	unit := math.Pow(10, math.Floor(math.Log10(figure))-2)
	return math.Round(math.Round(figure/unit)*unit*1e6) / 1e6
}

// around is a range whose middle lies from low to high, and that reaches a quarter to either side.
func (d drawer) around(low, high float64) Range {
	middle := d.between(low, high)
	return Range{round(middle * 0.75), round(middle * 1.25)}
}

func round(figure float64) float64 { return math.Round(figure*1e4) / 1e4 }

// whole is a whole figure from low to high.
func (d drawer) whole(low, high int) int { return low + d.random.IntN(high-low+1) }

// chance is true so often.
func (d drawer) chance(share float64) bool { return d.random.Float64() < share }

func (d drawer) some(words []string, count int) []string {
	taken := make([]string, 0, count)
	for _, place := range d.random.Perm(len(words))[:count] {
		taken = append(taken, words[place])
	}
	return taken
}

// Draw makes the site of a seed: the same seed, the same site.
func Draw(seed uint64) Site {
	d := drawer{rand.New(rand.NewPCG(seed, 0))}
	zones := d.some(zoneNames, d.whole(1, 4))
	site := Site{
		Name: fmt.Sprintf("%s-%d", d.some(places, 1)[0], seed), Family: "warm", Wire: "wire.json",
		Day: Day{LengthS: Range{38, 48}, TickMS: d.whole(1, 4), MaxRequests: 50000, Troubles: Range{1, 2.99},
			InStep: d.chance(0.5), StartSpreadMS: Range{50, 700}},
		Scale: Scale{Servers: [2]int{9, 14}, Balancers: [2]int{2, 4}, BigServers: [2]int{10, 14},
			BigBalancers: [2]int{2, 4}, TwinServers: 8, TwinBalancers: 2},
		Load:      d.load(len(zones)),
		Net:       d.net(zones),
		Front:     Front{Entry: "front", NoticeS: Range{1, 3.5}},
		Clients:   d.clients(),
		Discovery: d.discovery(),
		Rules:     Rules{DrainGraceMS: d.whole(3, 7) * 100, FallMultiple: d.whole(2, 4), FallMS: d.whole(8, 16) * 100},
		Goal:      Goal{Whole: 0.6, WorstWindow: 0.2, WorstClass: 0.2},
	}
	site.Prices = Prices{CrossZone: 0.015, Waste: d.between(0.03, 0.08), Probe: 0.01, LateFail: 0.1, Origin: d.between(0.02, 0.05)}
	if len(zones) == 1 {
		site.Prices.CrossZone = 0
	}
	site.Allow = Allow{Probes: d.chance(0.5), Cancel: true, SecondCopies: d.chance(0.5), RetryAfter: d.chance(0.7),
		MaxAttempts: d.whole(1, 3), CPUMSPerS: 450}
	site.Classes = d.classes()
	site.Tenants = d.tenants()
	if len(site.Tenants) > 0 {
		site.Load.OverShareWorth, site.Load.QuotaOfCapacity = d.between(0.1, 0.3), &Range{0.7, 0.9}
		site.Goal.WorstClass, site.Goal.WorstTenant = 0.1, 0.1
	}
	site.Functions = d.functions(site.Classes, len(site.Tenants) > 0)
	site.Tiers = []Tier{d.tier(site.Allow.Probes)}
	site.Troubles = d.troubles()
	return site
}

func (d drawer) load(zones int) Load {
	skew := any(0)
	if zones > 1 {
		skew = Range{0.1, 0.4}
	}
	return Load{Quiet: Range{0.3, 0.45}, Trouble: Range{0.4, 0.6}, Overload: Range{1, 1.15}, Big: Range{0.4, 0.58},
		Shape: d.some([]string{"wave", "steady", "bursty", "ramp"}, 2), Swing: Range{0.1, 0.3}, ZoneSkew: skew,
		StreamCV: Range{0.4, 1.2}, Hints: "none", WorthBy: "request"}
}

func (d drawer) net(zones []string) Net {
	net := Net{Zones: zones, SameMS: Range{0.1, 0.4}, ClientMS: Range{0.3, 1.4}, Jitter: Range{0.1, 0.3},
		ServerSkew: Range{0, 0.2}}
	if len(zones) > 1 {
		cross := d.around(0.6, 2)
		net.CrossMS = &cross
	}
	return net
}

func (d drawer) clients() Clients {
	return Clients{Retries: Range{0, float64(d.whole(1, 3)) - 0.01}, TryShare: Range{0.5, 1},
		Backoff: d.some([]string{"none", "fixed", "exp"}, 2), Honour: Range{0.4, 0.9}, BackoffMS: Range{60, 350},
		MaxRetryAfterMS: d.whole(2, 20) * 100, Impatient: Range{0, 0.01}, MarksRetry: d.chance(0.5)}
}

func (d drawer) discovery() Discovery {
	return Discovery{Mode: "push", NoticeS: Range{1, 4.5}, SilentNoticeS: Range{5, 12}, AddS: Range{0.3, 2.2},
		PeriodMS: Range{160, 1000}, SpreadMS: Range{40, 330}}
}

// classes are two to four, of very different gain; one is never repeated, one has few RPCs, one may have a deadline
// under a load's time.
func (d drawer) classes() []Class {
	shares := [][]float64{{0.75, 0.25}, {0.65, 0.25, 0.1}, {0.6, 0.2, 0.14, 0.06}}[d.whole(0, 2)]
	names := d.some(methods, len(shares))
	effects := []string{"safe", []string{"unsafe", "keyed"}[d.whole(0, 1)], "unsafe", "keyed"}
	tight := d.whole(0, len(shares)) // the class with a short deadline; none where it is the count
	classes := make([]Class, 0, len(shares))
	for i, share := range shares {
		work := d.between(12, 150)
		aim := int(work * d.between(6, 14))
		class := Class{Name: names[i], Share: Range{round(share * 0.9), round(share * 1.1)},
			WorkMS: Range{round(work * 0.8), round(work * 1.2)}, Dist: d.some([]string{"exp", "lognormal"}, 1),
			CV: Range{0.5, 1}, AttemptNoise: Range{0.1, 0.4}, AimMS: aim, DeadlineMS: aim * d.whole(3, 5),
			Worth: 1 + i*d.whole(1, 3), LateWorth: d.between(0.05, 0.3), Effect: effects[i]}
		if i == tight {
			class.DeadlineMS = aim * 3 / 2
		}
		if class.Effect == "keyed" {
			class.Group = []string{"all", "zone"}[d.whole(0, 1)]
			class.WindowMS = class.DeadlineMS
		}
		classes = append(classes, class)
	}
	return classes
}

func (d drawer) tenants() []Tenant {
	if d.chance(0.5) {
		return nil
	}
	shares := [][]float64{{0.6, 0.4}, {0.5, 0.3, 0.2}, {0.4, 0.3, 0.2, 0.1}}[d.whole(0, 2)]
	list := make([]Tenant, 0, len(shares))
	for i, name := range d.some(tenants, len(shares)) {
		list = append(list, Tenant{Name: name, Share: shares[i], Usage: Range{0.6, 1.4}})
	}
	return list
}

// functions load in one to fifteen times the mean work of the classes' longest.
func (d drawer) functions(classes []Class, byTenant bool) Functions {
	longest := 0.0
	for _, class := range classes {
		longest = max(longest, class.WorkMS[1])
	}
	f := Functions{OnMiss: "load", Orders: d.chance(0.5), TellsWarm: true, TellsLoad: d.chance(0.5),
		TellsCrowd: d.chance(0.5), ByTenant: byTenant, More: []string{"single", "eager"}[d.whole(0, 1)],
		WaitsForRoom: d.chance(0.5), KeepS: Range{9, 15}, LoadsAtOnce: Range{3, 6}, SparePerCore: Range{3.5, 6},
		Catalog: Range{0.25, 0.55}, Zipf: Range{1.1, 1.35}, Offset: Range{2, 4}, Turning: Range{0, 0.25},
		SpellS: Range{12, 28}, Disk: Range{0, 1}, FetchShare: Range{0.45, 0.8}, StartCore: Range{0, 0.25},
		LoadFail: Range{0, 0.018}, FailSays: []string{"miss", "error"}, StoreHeadroom: d.around(3.5, 5),
		StoreThrash: Range{0.02, 0.2}, StoreTakes: d.around(6, 9), StoreFallMultiple: 3 * d.whole(0, 1)}
	if f.Orders {
		f.LoadFree, f.LoadShare = d.whole(2, 8), d.between(0.05, 0.3)
		f.LoadWindowMS, f.OrderTimeoutMS = d.whole(3, 6)*1000, d.whole(2, 5)*1000
	}
	for range d.whole(1, 2) {
		load := longest * d.between(3, 15)
		f.Classes = append(f.Classes, FunctionClass{MemoryMB: d.around(300, 3000), SizeSigma: Range{0.3, 0.55},
			LoadMS: Range{round(load * 0.7), round(load * 1.4)}, LoadSigma: Range{0.3, 0.5}, Lanes: 1 << d.whole(0, 2),
			WorkSigma: Range{0.2, 0.45}})
	}
	return f
}

func (d drawer) tier(probes bool) Tier {
	tier := Tier{Name: "workers", CellSize: [2]int{3, 7}, Weights: "none",
		Report: Report{How: "answers", Fields: d.some([]string{"inflight", "util", "queue"}, 2), PeriodMS: Range{160, 800},
			DelayMS: Range{10, 230}, Noise: Range{0.02, 0.1}},
		Conn: Conn{Streams: 64, HandshakeRTTs: [2]int{1, 2}, HandshakeUS: Range{400, 1700}, IdleS: d.whole(6, 25),
			ConnectTimeoutMS: d.whole(10, 40) * 10, CapPerCore: Range{400, 850}, FullTax: Range{0.04, 0.14}}}
	if probes {
		tier.Probe = &Probe{WorkUS: Range{110, 450}, CapPerCore: Range{4, 9.5}, TimeoutMS: d.whole(10, 25) * 10}
		if d.chance(0.5) {
			tier.Report.How = "probe"
		}
	}
	coldFrom, cold := d.around(0.2, 0.4), d.around(6, 16)
	for i, share := range [][]float64{{0.6, 0.4}, {0.45, 0.35, 0.2}}[d.whole(0, 1)] {
		speed := []float64{1, 0.7, 0.85}[i]
		tier.Kinds = append(tier.Kinds, Kind{Name: kindNames[i], Share: Range{round(share * 0.85), round(share * 1.15)},
			Cores: d.whole(2, 4), Speed: Range{round(speed * 0.9), round(speed * 1.12)}, SpeedCV: Range{0.04, 0.2},
			SlotsPerCore: Range{2, 5}, QueuePerCore: Range{4, 10}, Thrash: Range{0.05, 0.2}, ThrashAt: Range{4, 7},
			ColdFrom: coldFrom, ColdS: cold, WarmBy: "time", ErrorRate: Range{0, 0.001},
			Cancel: []string{"queued", "all"}, DropsExpired: d.chance(0.5)})
	}
	return tier
}

// troubles are those of a fleet that is renewed, and one more.
func (d drawer) troubles() []Trouble {
	roll := Trouble{Name: "balancer_roll", LenS: &Range{22, 9}, Part: &Range{0.5, 0.9}, Size: &Range{0.08, 0.25}, Extra: &Range{0.3, 1}}
	deploy := Trouble{Name: "deploy", LenS: &Range{36, 22}, Part: &Range{0.5, 0.9}, Size: &Range{0.06, 0.18}, Extra: &Range{2.5, 5}, Weight: 2}
	others := []Trouble{
		{Name: "hang", LenS: &Range{6, 20}, Part: &Range{0.06, 0.15}},
		{Name: "flush", Size: &Range{0.36, 0.9}},
		{Name: "burst", LenS: &Range{2, 7}, Size: &Range{1.4, 2.1}, Extra: &Range{1.9, 0.4}},
		{Name: "fast_errors", LenS: &Range{6, 20}, Part: &Range{0.06, 0.15}, Size: &Range{0.3, 0.9}},
	}
	return []Trouble{roll, deploy, others[d.whole(0, len(others)-1)]}
}
