// Package scenariosearch looks for the small day on which the program does worst: against the oracle, or by breaking a rule. It
// draws days by chance from one seed, takes the worst, and shrinks it while it stays as bad.
package scenariosearch

import (
	"context"
	"fmt"
	"math/rand"
	"runtime"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"

	"mallowlanding/internal/emulate"
	"mallowlanding/internal/settings"
	"mallowlanding/router"
)

// stays is the share of what was found that a smaller day must still show.
const stays = 0.8

// broken is what a day with a broken rule counts, above any loss of gain.
const broken = 10

// troubles are what days are drawn from, with the sizes that mean something for each.
var troubles = []struct {
	kind        string
	least, most float64
}{{"burst", 1.5, 4}, {"crash", 1, 1}, {"hang", 1, 1}, {"slow", 2, 10}, {"slow-function", 3, 30}, {"fast-errors", 0.2, 1},
	{"load-fails", 0.2, 1}, {"report-late", 1, 4}, {"deploy", 0.2, 1}, {"preempt", 1, 1}, {"ageing", 2, 8}, {"flush", 0.3, 1},
	{"scan", 1, 1}, {"close", 1, 1}, {"front-end-kill", 1, 1}, {"front-end-stall", 1, 1}, {"front-end-roll", 1, 1},
	{"answers-lost", 0.2, 1}, {"cut-to-workers", 1, 1}, {"cut-from-workers", 1, 1}, {"clock-step", 1, 10}}

// Found is a day and how bad it is.
type Found struct {
	Scenario *settings.Scenario
	Kept     float64 // by the module
	Oracle   float64
	Breaks   int
	Tried    int // days, shrinking included
}

// Score is what is looked for: gain lost to the oracle, and far above it a broken rule.
func (f *Found) Score() float64 {
	score := f.Oracle - f.Kept
	if f.Breaks > 0 {
		score += broken
	}
	return score
}

// Run draws so many days around base and returns the worst, shrunk. Say is told of progress.
func Run(ctx context.Context, base *settings.Scenario, seed int64, tries int, say func(string)) (*Found, error) {
	rng := rand.New(rand.NewSource(seed))
	days := make([]*settings.Scenario, tries)
	for i := range days {
		days[i] = draw(base, rng)
	}
	found := make([]*Found, tries)
	group, inner := errgroup.WithContext(ctx)
	group.SetLimit(runtime.NumCPU())
	var mu sync.Mutex
	worst := 0.0
	for i := range days {
		group.Go(func() (err error) {
			if found[i], err = judge(inner, days[i]); err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			if found[i].Score() > worst {
				worst = found[i].Score()
				say(fmt.Sprintf("day %d of %d: module %.3f, oracle %.3f, %d breaks", i+1, tries, found[i].Kept, found[i].Oracle, found[i].Breaks))
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	best := slices.MaxFunc(found, func(a, b *Found) int {
		if a.Score() < b.Score() {
			return -1
		} else if a.Score() > b.Score() {
			return 1
		}
		return 0
	})
	return shrink(ctx, best, tries, say)
}

// judge plays a day by the module and by the oracle.
func judge(ctx context.Context, s *settings.Scenario) (*Found, error) {
	m, err := emulate.Run(ctx, s, "")
	if err != nil {
		return nil, err
	}
	o, err := emulate.Run(ctx, s, "oracle")
	if err != nil {
		return nil, err
	}
	return &Found{Scenario: s, Kept: m.Kept(), Oracle: o.Kept(), Breaks: len(m.Audit.Violations)}, nil
}

// draw makes a day: another fleet, another load, up to four troubles.
func draw(base *settings.Scenario, rng *rand.Rand) *settings.Scenario {
	s := clone(base)
	s.Seed = rng.Int63n(1 << 40)
	s.Fleet.FrontEnds = 1 + rng.Intn(6)
	workers := 0
	for i := range s.Fleet.Groups {
		s.Fleet.Groups[i].Count = 1 + rng.Intn(10)
		workers += s.Fleet.Groups[i].Count
	}
	s.Load.Rate = base.Load.Rate * (0.3 + 1.2*rng.Float64()) * float64(workers) / 10
	s.Load.Functions = 1 + rng.Intn(2*base.Load.Functions)
	s.Troubles = nil
	for range 1 + rng.Intn(4) {
		t := troubles[rng.Intn(len(troubles))]
		s.Troubles = append(s.Troubles, settings.Trouble{Kind: t.kind, At: router.Time(rng.Int63n(int64(s.Length) * 2 / 3)),
			For: 5000 + router.Time(rng.Int63n(int64(s.Length)/3)), Part: 0.05 + 0.6*rng.Float64(), Size: t.least + (t.most-t.least)*rng.Float64()})
	}
	return s
}

func clone(s *settings.Scenario) *settings.Scenario {
	out := *s
	out.Fleet.Groups = slices.Clone(s.Fleet.Groups)
	out.Troubles = slices.Clone(s.Troubles)
	out.Load.Mix = slices.Clone(s.Load.Mix)
	return &out
}

// smaller are the days one step smaller than s.
func smaller(s *settings.Scenario) (out []*settings.Scenario) {
	with := func(change func(s *settings.Scenario)) {
		c := clone(s)
		change(c)
		out = append(out, c)
	}
	for i := range s.Troubles {
		with(func(c *settings.Scenario) { c.Troubles = slices.Delete(c.Troubles, i, i+1) })
	}
	for i := range s.Load.Mix {
		if len(s.Load.Mix) > 1 {
			with(func(c *settings.Scenario) {
				share := c.Load.Mix[i].Share
				c.Load.Mix = slices.Delete(c.Load.Mix, i, i+1)
				for j := range c.Load.Mix {
					c.Load.Mix[j].Share = min(1, c.Load.Mix[j].Share/(1-share))
				}
			})
		}
	}
	if s.Length > 40000 {
		with(func(c *settings.Scenario) {
			c.Length = c.Length * 3 / 4
			c.Troubles = slices.DeleteFunc(c.Troubles, func(t settings.Trouble) bool { return t.At >= c.Length })
		})
	}
	if s.Fleet.FrontEnds > 1 {
		with(func(c *settings.Scenario) { c.Fleet.FrontEnds-- })
	}
	for i, g := range s.Fleet.Groups {
		if g.Count > 1 {
			with(func(c *settings.Scenario) { c.Fleet.Groups[i].Count = g.Count / 2 })
		}
		if len(s.Fleet.Groups) > 1 {
			with(func(c *settings.Scenario) { c.Fleet.Groups = slices.Delete(c.Fleet.Groups, i, i+1) })
		}
	}
	if s.Load.Functions > 1 {
		with(func(c *settings.Scenario) { c.Load.Functions /= 2 })
	}
	if s.Load.Rate > 20 {
		with(func(c *settings.Scenario) { c.Load.Rate /= 2 })
	}
	return out
}

// shrink takes the first smaller day that is still as bad, until none is.
func shrink(ctx context.Context, f *Found, tried int, say func(string)) (*Found, error) {
	enough := stays * f.Score()
	if f.Breaks > 0 {
		enough = broken - 1
	}
	for again := true; again; {
		again = false
		for _, s := range smaller(f.Scenario) {
			next, err := judge(ctx, s)
			if err != nil {
				return nil, err
			}
			if tried++; next.Score() >= enough {
				f, again = next, true
				say(fmt.Sprintf("smaller: %d troubles, %d front ends, module %.3f, oracle %.3f, %d breaks", len(s.Troubles), s.Fleet.FrontEnds,
					next.Kept, next.Oracle, next.Breaks))
				break
			}
		}
	}
	f.Tried = tried
	return f, nil
}
