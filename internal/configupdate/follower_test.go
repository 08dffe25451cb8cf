package configupdate

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// recorder implements Actions and records what the follower does.
type recorder struct {
	actions []string
	logs    []string
}

func (s *recorder) record(format string, args ...any) {
	s.actions = append(s.actions, fmt.Sprintf(format, args...))
}

func (s *recorder) Check(v Version)                 { s.record("check %d", v) }
func (s *recorder) Apply(v Version)                 { s.record("apply %d", v) }
func (s *recorder) Save(v Version)                  { s.record("keep %d", v) }
func (s *recorder) Accept(nonce string, saved bool) { s.record("accept %s kept=%t", nonce, saved) }
func (s *recorder) Refuse(nonce string, v Version, reason string) {
	s.record("turn-down %s %d", nonce, v)
}
func (s *recorder) RequestFull(nonce string) { s.record("ask-whole %s", nonce) }
func (s *recorder) Log(text string)          { s.logs = append(s.logs, text) }
func (s *recorder) SendStatus(current VersionRef, refused Version, saved, connected bool) {
	s.record("tell %d refused=%d kept=%t", current.Version, refused, saved)
}

// The scenarios of testdata/follower.txt, each below a line '== NAME'. The follower starts with version 3 of digest c
// in force and saved.
//
//	connected | lost
//	offer NONCE VERSION DIGEST [base=V] [unsound]
//	checked V [reason] | applied V [reason] | kept V [reason]
//	want ACTION          the next action of the follower
//
// Each action must be expected before the next step. The scripts call an offer with a wrong digest unsound, Save keep,
// Refuse turn-down, RequestFull ask-whole and SendStatus tell.
func TestScenarios(t *testing.T) {
	text, err := os.ReadFile("testdata/follower.txt")
	if err != nil {
		t.Fatal(err)
	}
	_, all, _ := strings.Cut("\n"+string(text), "\n== ")
	for part := range strings.SplitSeq(all, "\n== ") {
		name, steps, _ := strings.Cut(part, "\n")
		t.Run(name, func(t *testing.T) {
			s := &recorder{}
			f := New(s, VersionRef{3, "c"}, true)
			for line := range strings.Lines(steps) {
				words := strings.Fields(line)
				if len(words) == 0 {
					continue
				}
				if words[0] == "want" {
					if want := strings.Join(words[1:], " "); len(s.actions) == 0 || s.actions[0] != want {
						t.Fatalf("got actions %[2]q, want %[1]q next", want, s.actions)
					}
					s.actions = s.actions[1:]
					continue
				}
				if len(s.actions) > 0 {
					t.Fatalf("before step %q: unexpected actions %q", strings.TrimSpace(line), s.actions)
				}
				step(t, f, words)
			}
			if len(s.actions) > 0 {
				t.Fatalf("at the end: unexpected actions %q", s.actions)
			}
		})
	}
}

func step(t *testing.T, f *Follower, words []string) {
	number := func(i int) Version {
		n, err := strconv.ParseUint(words[i], 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		return Version(n)
	}
	switch words[0] {
	case "connected":
		f.HandleConnect()
	case "lost":
		f.HandleDisconnect()
	case "offer":
		o := Offer{VersionRef: VersionRef{number(2), words[3]}, Nonce: words[1], DigestOK: true}
		for _, option := range words[4:] {
			if base, is := strings.CutPrefix(option, "base="); is {
				n, _ := strconv.ParseUint(base, 10, 64)
				o.Base = Version(n)
			}
			o.DigestOK = o.DigestOK && option != "unsound"
		}
		f.HandleOffer(o)
	case "checked":
		f.HandleCheckResult(number(1), strings.Join(words[2:], " "))
	case "applied":
		f.HandleApplyResult(number(1), strings.Join(words[2:], " "))
	case "kept":
		f.HandleSaveResult(number(1), strings.Join(words[2:], " "))
	default:
		t.Fatalf("unknown step %q", words[0])
	}
}

// simulation is a service, a stream that breaks and repeats responses, and the actions of a follower, all at random.
type simulation struct {
	t          *rapid.T
	f          *Follower
	texts      map[Version]string
	bad        map[Version]bool
	newest     Version
	connected  bool
	nonce      int
	unanswered string // nonce of the unanswered response
	offer      Offer
	answers    map[string]int // by nonce
	reported   VersionRef     // the version in force, as last reported to the service
	inForce    VersionRef     // the version that is really in force
	saved      VersionRef
	pending    []func()
	maxApplied Version
	statuses   int
}

func (sim *simulation) Check(v Version) {
	bad := sim.bad[v]
	sim.pending = append(sim.pending, func() {
		if bad {
			sim.f.HandleCheckResult(v, "bad")
		} else {
			sim.f.HandleCheckResult(v, "")
		}
	})
}

func (sim *simulation) Apply(v Version) {
	if sim.bad[v] {
		sim.t.Fatalf("bad version %d was applied", v)
	}
	if v < sim.maxApplied {
		sim.t.Fatalf("version %d applied after version %d", v, sim.maxApplied)
	}
	fails := rapid.IntRange(0, 9).Draw(sim.t, "apply fails") == 0
	sim.pending = append(sim.pending, func() {
		if fails {
			sim.f.HandleApplyResult(v, "no socket")
			return
		}
		sim.inForce, sim.maxApplied = VersionRef{v, sim.texts[v]}, v
		sim.f.HandleApplyResult(v, "")
	})
}

func (sim *simulation) Save(v Version) {
	fails := rapid.IntRange(0, 9).Draw(sim.t, "keep fails") == 0
	sim.pending = append(sim.pending, func() {
		if fails {
			sim.f.HandleSaveResult(v, "disk full")
			return
		}
		sim.saved = VersionRef{v, sim.texts[v]}
		sim.inForce.Version = v // a version with the same text is only saved, not applied
		sim.f.HandleSaveResult(v, "")
	})
}

func (sim *simulation) answer(nonce string) {
	if !sim.connected {
		sim.t.Fatalf("answer to response %s without a stream", nonce)
	}
	sim.answers[nonce]++
	if nonce == sim.unanswered {
		sim.unanswered = ""
	}
	sim.reported, _ = sim.f.Current()
}

func (sim *simulation) Accept(nonce string, saved bool) {
	current, isSaved := sim.f.Current()
	if saved && sim.saved != current || saved != isSaved {
		sim.t.Fatalf("%v reported as saved, but the disk has %v", current, sim.saved)
	}
	if current.Digest != sim.inForce.Digest {
		sim.t.Fatalf("%v accepted, but %v is in force", current, sim.inForce)
	}
	sim.answer(nonce)
}

func (sim *simulation) Refuse(nonce string, v Version, reason string) {
	if reason == "" {
		sim.t.Fatal("version refused without a reason")
	}
	if current, _ := sim.f.Current(); current.Version == v && current.Digest == sim.texts[v] {
		sim.t.Fatalf("version %d is in force, but was refused", v)
	}
	sim.answer(nonce)
}

func (sim *simulation) RequestFull(nonce string) { sim.answer(nonce) }
func (sim *simulation) Log(string)               {}
func (sim *simulation) SendStatus(current VersionRef, _ Version, saved, connected bool) {
	sim.reported = current
	sim.statuses++
}

// For random events at the service, the stream and the disk, and random crashes: only valid versions are applied,
// version numbers never go back, each response has one answer, what was reported as saved is on disk, and once no event
// is left the follower runs the newest version or has refused it.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{t: t, texts: map[Version]string{0: ""}, bad: map[Version]bool{}, answers: map[string]int{}}
		sim.f = New(sim, VersionRef{}, false)
		send := func() {
			if !sim.connected || sim.unanswered != "" || sim.newest == 0 {
				return
			}
			sim.nonce++
			sim.unanswered = strconv.Itoa(sim.nonce)
			sim.offer = Offer{VersionRef: VersionRef{sim.newest, sim.texts[sim.newest]}, Nonce: sim.unanswered, DigestOK: true}
			if sim.reported.Version > 0 && rapid.Bool().Draw(sim.t, "changes") {
				sim.offer.Base = sim.reported.Version
			}
			sim.f.HandleOffer(sim.offer)
		}
		connect := func() {
			if !sim.connected {
				sim.connected, sim.unanswered = true, ""
				sim.f.HandleConnect()
			}
		}
		disconnect := func() {
			if sim.connected {
				sim.connected, sim.unanswered = false, ""
				sim.f.HandleDisconnect()
			}
		}
		finish := func() {
			for len(sim.pending) > 0 {
				do := sim.pending[0]
				sim.pending = sim.pending[1:]
				do()
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(*rapid.T) {
				sim.newest++
				sim.texts[sim.newest] = strconv.Itoa(rapid.IntRange(0, 5).Draw(sim.t, "text"))
				sim.bad[sim.newest] = sim.texts[sim.newest] == "5"
			},
			"send":    func(*rapid.T) { send() },
			"connect": func(*rapid.T) { connect() },
			"lose":    func(*rapid.T) { disconnect() },
			"repeat": func(*rapid.T) {
				if sim.connected && sim.offer.Nonce == strconv.Itoa(sim.nonce) {
					before := sim.answers[sim.offer.Nonce]
					sim.f.HandleOffer(sim.offer)
					if before > 0 && sim.answers[sim.offer.Nonce] != before+1 && len(sim.pending) == 0 && sim.unanswered == "" {
						t.Fatalf("a repeated response was not answered again")
					}
				}
			},
			"work": func(*rapid.T) {
				if len(sim.pending) > 0 {
					do := sim.pending[0]
					sim.pending = sim.pending[1:]
					do()
				}
			},
			"crash": func(*rapid.T) { // the follower restarts from its disk
				sim.connected, sim.unanswered, sim.pending = false, "", nil
				sim.inForce, sim.maxApplied = sim.saved, sim.saved.Version
				sim.f = New(sim, sim.saved, sim.saved.Version > 0)
			},
			"": func(t *rapid.T) {
				current, _ := sim.f.Current()
				if current.Digest != sim.inForce.Digest {
					t.Fatalf("the follower reports %v, but %v is in force", current, sim.inForce)
				}
				if sim.bad[current.Version] {
					t.Fatalf("a bad version is in force: %v", current)
				}
			},
		})
		finish()
		connect()
		for range 6 { // a full response may be requested first, and a failed apply retried
			send()
			finish()
		}
		current, _ := sim.f.Current()
		refused, _ := sim.f.LastRefused()
		if sim.newest > 0 && current.Version != sim.newest && refused.Version != sim.newest {
			t.Fatalf("at the end: the newest version is %d, in force is %v, refused is %v", sim.newest, current, refused)
		}
		if sim.unanswered != "" {
			t.Fatalf("response %s was not answered", sim.unanswered)
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
