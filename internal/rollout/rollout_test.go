package rollout

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// The scenarios of testdata/rollouts.txt, each below a line '== NAME'. They run with stages 0.25 and 1, a hold of 100
// ms, an answer timeout of 1000 ms, a live timeout of 500 ms and a minimum of ten RPCs for a comparison.
//
//	followers N                     followers f0 to fN-1 report that they run no version
//	at MS                           advances the time to MS in ticks of 10 ms; live followers report every 100 ms
//	submit TEXT [base=V]            submits a version; followers refuse a text that begins with bad
//	rollback V
//	answers                         every follower accepts or refuses its target if it does not run it yet
//	answer NAME                     one follower does so
//	away NAME | back NAME           a follower stops or resumes reporting
//	rpcs SHARE_OK N WHO             adds N RPCs to followers that run the candidate (with), the others (without), or all
//	report NAME VERSION             a follower reports that it runs VERSION
//	want state V STATE | want targets V=COUNT ... | want reason V TEXT | want stable V | want error TEXT
func TestScenarios(t *testing.T) {
	text, err := os.ReadFile("testdata/rollouts.txt")
	if err != nil {
		t.Fatal(err)
	}
	_, all, _ := strings.Cut("\n"+string(text), "\n== ")
	for part := range strings.SplitSeq(all, "\n== ") {
		name, steps, _ := strings.Cut(part, "\n")
		t.Run(name, func(t *testing.T) {
			p := &player{t: t, s: New(Settings{Stages: []float64{0.25, 1}, Hold: 100, AnswerTimeout: 1000, LiveTimeout: 500,
				MaxOKDrop: 0.1, MinRPCs: 10}), reports: map[string]*Report{}, away: map[string]bool{}}
			for line := range strings.Lines(steps) {
				if words := strings.Fields(line); len(words) > 0 && words[0] != "#" {
					if err := p.step(words); err != nil {
						t.Fatalf("%s: %v", strings.TrimSpace(line), err)
					}
				}
			}
		})
	}
}

// player runs the steps of a scenario.
type player struct {
	t       *testing.T
	s       *State
	now     Millis
	reports map[string]*Report
	away    map[string]bool
	err     error
}

func (p *player) names() []string {
	var out []string
	for name := range p.reports {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

func (p *player) answer(name string) {
	r, target := p.reports[name], p.s.Target(name)
	if e := p.s.Entries[target]; target > r.Version && e != nil && !p.away[name] {
		if strings.HasPrefix(e.Text, "bad") {
			r.Refused, r.Reason = target, "it is bad"
		} else {
			r.Version, r.Digest = target, e.Digest
		}
		p.s.RecordReport(p.now, *r)
	}
}

func (p *player) step(words []string) error {
	version := func(i int) Version { n, _ := strconv.Atoi(words[i]); return Version(n) }
	switch words[0] {
	case "followers":
		n, _ := strconv.Atoi(words[1])
		for i := range n {
			r := &Report{Name: fmt.Sprintf("f%d", i)}
			p.reports[r.Name] = r
			p.s.RecordReport(p.now, *r)
		}
	case "at":
		for until := Millis(version(1)); p.now < until; {
			p.now += 10
			for _, name := range p.names() {
				if p.now%100 == 0 && !p.away[name] {
					p.s.RecordReport(p.now, *p.reports[name])
				}
			}
			p.s.Tick(p.now)
		}
	case "submit":
		base := Version(0)
		if len(words) > 2 {
			n, _ := strconv.Atoi(strings.TrimPrefix(words[2], "base="))
			base = Version(n)
		}
		_, p.err = p.s.Submit(p.now, words[1], "digest of "+words[1], "op", "", base)
	case "rollback":
		_, p.err = p.s.Rollback(p.now, version(1), "op", "")
	case "answers":
		for _, name := range p.names() {
			p.answer(name)
		}
	case "answer":
		p.answer(words[1])
	case "away", "back":
		p.away[words[1]] = words[0] == "away"
	case "report":
		p.reports[words[1]].Version = version(2)
		p.s.RecordReport(p.now, *p.reports[words[1]])
	case "rpcs":
		share, _ := strconv.ParseFloat(words[1], 64)
		n := float64(version(2))
		for _, name := range p.names() {
			r := p.reports[name]
			if with := r.Version == p.s.Candidate; words[3] == "all" || with == (words[3] == "with") {
				ok := uint64(share * n)
				r.Counters.OK += ok
				r.Counters.Aborted += uint64(n) - ok
				r.Counters.Taken += uint64(n)
				p.s.RecordReport(p.now, *r)
			}
		}
	case "want":
		return p.want(words[1:])
	default:
		return fmt.Errorf("unknown step %q", words[0])
	}
	return nil
}

func (p *player) want(words []string) error {
	n, _ := strconv.Atoi(words[min(1, len(words)-1)])
	e := p.s.Entries[Version(n)]
	if (words[0] == "state" || words[0] == "reason") && e == nil {
		return fmt.Errorf("no version %d", n)
	}
	switch words[0] {
	case "state":
		if e.State != words[2] {
			return fmt.Errorf("got state %s: %s", e.State, e.Reason)
		}
	case "reason":
		if text := strings.Join(words[2:], " "); !strings.Contains(e.Reason, text) {
			return fmt.Errorf("got reason %q", e.Reason)
		}
	case "stable":
		if p.s.Stable != Version(n) {
			return fmt.Errorf("got stable version %d", p.s.Stable)
		}
	case "error":
		if text := strings.Join(words[1:], " "); p.err == nil || !strings.Contains(p.err.Error(), text) {
			return fmt.Errorf("got error %v", p.err)
		}
	case "targets":
		counts := map[Version]int{}
		for name := range p.reports {
			counts[p.s.Target(name)]++
		}
		for _, pair := range words[1:] {
			v, count, _ := strings.Cut(pair, "=")
			n, _ := strconv.Atoi(v)
			if strconv.Itoa(counts[Version(n)]) != count {
				return fmt.Errorf("got targets %v", counts)
			}
		}
	default:
		return fmt.Errorf("unknown expectation")
	}
	return nil
}

// For random events in random order: version numbers only rise, a follower's target never falls below the version that
// it runs, and a good version that is submitted last is accepted by all followers. All of this also holds for a state
// that was restored from a snapshot.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := Settings{Stages: []float64{0.3, 1}, Hold: 20, AnswerTimeout: 300, LiveTimeout: 200, MaxOKDrop: 0.2, MinRPCs: 50}
		s := New(settings)
		now := Millis(0)
		reports := map[string]*Report{}
		for i := range rapid.IntRange(1, 6).Draw(t, "followers") {
			name := fmt.Sprintf("f%d", i)
			reports[name] = &Report{Name: name}
		}
		names := func() []string {
			var out []string
			for name := range reports {
				out = append(out, name)
			}
			slices.Sort(out)
			return out
		}
		last := Version(0)
		targets := map[string]Version{}
		step := func(ms Millis) {
			now += ms
			s.Tick(now)
		}
		report := func(name string) {
			r, target := reports[name], s.Target(name)
			if e := s.Entries[target]; target > r.Version && e != nil {
				if e.Text == "bad" {
					r.Refused, r.Reason = target, "bad"
				} else {
					r.Version, r.Digest = target, e.Digest
				}
			}
			s.RecordReport(now, *r)
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				text := rapid.SampledFrom([]string{"a", "b", "c", "bad"}).Draw(t, "text")
				v, err := s.Submit(now, text, text, "op", "", 0)
				if err != nil || v <= last {
					t.Fatalf("version %d after %d: %v", v, last, err)
				}
				last = v
			},
			"rollback": func(t *rapid.T) {
				if v, err := s.Rollback(now, 0, "op", ""); err == nil {
					if v <= last {
						t.Fatalf("version %d after %d", v, last)
					}
					last = v
				}
			},
			"report": func(t *rapid.T) { report(rapid.SampledFrom(names()).Draw(t, "who")) },
			"tick":   func(t *rapid.T) { step(Millis(rapid.IntRange(1, 150).Draw(t, "ms"))) },
			"snapshot": func(t *rapid.T) {
				raw, err := json.Marshal(s)
				if err != nil {
					t.Fatal(err)
				}
				restored := New(settings)
				if err := json.Unmarshal(raw, restored); err != nil {
					t.Fatal(err)
				}
				s = restored
			},
			"": func(t *rapid.T) {
				last = max(last, s.Newest)
				for _, name := range names() {
					v := s.Target(name)
					if r := reports[name]; r.Version > 0 && v < r.Version {
						t.Fatalf("%s runs version %d, but its target is %d", name, r.Version, v)
					}
					targets[name] = v
				}
				if s.Stable != 0 && s.Entries[s.Stable].Text == "bad" {
					t.Fatalf("a bad version was accepted")
				}
			},
		})
		v, err := s.Submit(now, "good", "good", "op", "", 0)
		if err != nil {
			t.Fatal(err)
		}
		for range 200 {
			for _, name := range names() {
				report(name)
			}
			step(20)
		}
		if e := s.Entries[s.Stable]; e == nil || e.Text != "good" {
			t.Fatalf("the last version %d is %+v; the stable version is %d", v, s.Entries[v], s.Stable)
		}
		for _, r := range reports {
			if r.Digest != "good" {
				t.Fatalf("follower %+v does not run the last version", r)
			}
		}
	})
}

// TestMain fixes the seed of the random tests, unless the command line gives one, so that every run tests the same
// cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
