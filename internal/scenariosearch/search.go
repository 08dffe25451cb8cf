// Package scenariosearch searches for a small scenario on which the router does worst: it loses the most gain compared
// with the oracle baseline, or breaks a rule. It draws random scenarios from one seed, takes the worst, and reduces it
// while the result stays nearly as bad.
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

// minScoreShare is the share of the worst score that a reduced scenario must still reach. If the worst scenario breaks
// a rule, the reduced one must break a rule instead.
const minScoreShare = 0.8

// breakScore is added to the score of a scenario with a broken rule; it exceeds any loss of gain.
const breakScore = 10

// troubles are the kinds of trouble to draw from, each with its range of useful sizes.
var troubles = []struct {
	kind             string
	minSize, maxSize float64
}{{"burst", 1.5, 4}, {"crash", 1, 1}, {"hang", 1, 1}, {"slow", 2, 10}, {"slow-function", 3, 30}, {"fast-errors", 0.2, 1},
	{"load-fails", 0.2, 1}, {"report-late", 1, 4}, {"deploy", 0.2, 1}, {"preempt", 1, 1}, {"ageing", 2, 8}, {"flush", 0.3, 1},
	{"scan", 1, 1}, {"close", 1, 1}, {"front-end-kill", 1, 1}, {"front-end-stall", 1, 1}, {"front-end-roll", 1, 1},
	{"answers-lost", 0.2, 1}, {"cut-to-workers", 1, 1}, {"cut-from-workers", 1, 1}, {"clock-step", 1, 10}}

// Candidate is a scenario with the results of the router and the oracle.
type Candidate struct {
	Scenario    *settings.Scenario
	RouterShare float64 // share of gain kept by the router
	OracleShare float64
	Breaks      int
	Evaluated   int // scenarios evaluated, reductions included
}

// Score returns the value that the search maximizes: the oracle's share of gain less the router's, plus breakScore if a
// rule is broken.
func (c *Candidate) Score() float64 {
	score := c.OracleShare - c.RouterShare
	if c.Breaks > 0 {
		score += breakScore
	}
	return score
}

// Run draws tries scenarios around base and returns the worst after reduction. It calls report with lines of progress.
func Run(ctx context.Context, base *settings.Scenario, seed int64, tries int, report func(string)) (*Candidate, error) {
	rng := rand.New(rand.NewSource(seed))
	scenarios := make([]*settings.Scenario, tries)
	for i := range scenarios {
		scenarios[i] = randomScenario(base, rng)
	}
	found := make([]*Candidate, tries)
	group, inner := errgroup.WithContext(ctx)
	group.SetLimit(runtime.NumCPU())
	var mu sync.Mutex
	worstScore := 0.0
	for i := range scenarios {
		group.Go(func() (err error) {
			if found[i], err = evaluate(inner, scenarios[i]); err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			if found[i].Score() > worstScore {
				worstScore = found[i].Score()
				report(fmt.Sprintf("scenario %d of %d: router %.3f, oracle %.3f, %d rule breaks", i+1, tries, found[i].RouterShare, found[i].OracleShare, found[i].Breaks))
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	worst := slices.MaxFunc(found, func(a, b *Candidate) int {
		if a.Score() < b.Score() {
			return -1
		} else if a.Score() > b.Score() {
			return 1
		}
		return 0
	})
	return shrink(ctx, worst, tries, report)
}

// evaluate plays a scenario with the router and with the oracle.
func evaluate(ctx context.Context, s *settings.Scenario) (*Candidate, error) {
	routerResult, err := emulate.Run(ctx, s, "")
	if err != nil {
		return nil, err
	}
	oracleResult, err := emulate.Run(ctx, s, "oracle")
	if err != nil {
		return nil, err
	}
	return &Candidate{Scenario: s, RouterShare: routerResult.GainShare(), OracleShare: oracleResult.GainShare(), Breaks: len(routerResult.Audit.Violations)}, nil
}

// randomScenario varies base: another fleet, another load, and one to four troubles.
func randomScenario(base *settings.Scenario, rng *rand.Rand) *settings.Scenario {
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
			For: 5000 + router.Time(rng.Int63n(int64(s.Length)/3)), Part: 0.05 + 0.6*rng.Float64(), Size: t.minSize + (t.maxSize-t.minSize)*rng.Float64()})
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

// reductions returns the scenarios that are one step smaller than s.
func reductions(s *settings.Scenario) (out []*settings.Scenario) {
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

// shrink replaces the scenario by its first reduction that still has the minimum score, until there is none.
func shrink(ctx context.Context, candidate *Candidate, evaluated int, report func(string)) (*Candidate, error) {
	minScore := minScoreShare * candidate.Score()
	if candidate.Breaks > 0 {
		minScore = breakScore - 1
	}
	for again := true; again; {
		again = false
		for _, s := range reductions(candidate.Scenario) {
			next, err := evaluate(ctx, s)
			if err != nil {
				return nil, err
			}
			if evaluated++; next.Score() >= minScore {
				candidate, again = next, true
				report(fmt.Sprintf("reduced to %d troubles, %d front ends: router %.3f, oracle %.3f, %d rule breaks", len(s.Troubles), s.Fleet.FrontEnds,
					next.RouterShare, next.OracleShare, next.Breaks))
				break
			}
		}
	}
	candidate.Evaluated = evaluated
	return candidate, nil
}
