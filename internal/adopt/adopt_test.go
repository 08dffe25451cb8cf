package adopt

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

type stage struct {
	did  []string
	logs []string
}

func (s *stage) act(format string, args ...any) { s.did = append(s.did, fmt.Sprintf(format, args...)) }

func (s *stage) Check(v Version)                { s.act("check %d", v) }
func (s *stage) Apply(v Version)                { s.act("apply %d", v) }
func (s *stage) Keep(v Version)                 { s.act("keep %d", v) }
func (s *stage) Accept(nonce string, kept bool) { s.act("accept %s kept=%t", nonce, kept) }
func (s *stage) TurnDown(nonce string, v Version, why string) {
	s.act("turn-down %s %d", nonce, v)
}
func (s *stage) AskWhole(nonce string) { s.act("ask-whole %s", nonce) }
func (s *stage) Log(text string)       { s.logs = append(s.logs, text) }
func (s *stage) Tell(h Held, refused Version, kept, up bool) {
	s.act("tell %d refused=%d kept=%t", h.Version, refused, kept)
}

// Scenarios, each under a line of '== NAME'; a follower that holds version 3 of digest c, kept.
//
//	connected | lost
//	offer NONCE VERSION DIGEST [base=V] [unsound]
//	checked V [why] | applied V [why] | kept V [why]
//	want ACTION          the next thing done
//
// Everything done must be wanted before the next step.
func TestScenarios(t *testing.T) {
	text, err := os.ReadFile("testdata/follower.txt")
	if err != nil {
		t.Fatal(err)
	}
	_, all, _ := strings.Cut("\n"+string(text), "\n== ")
	for part := range strings.SplitSeq(all, "\n== ") {
		name, steps, _ := strings.Cut(part, "\n")
		t.Run(name, func(t *testing.T) {
			s := &stage{}
			f := New(s, Held{3, "c"}, true)
			for line := range strings.Lines(steps) {
				w := strings.Fields(line)
				if len(w) == 0 {
					continue
				}
				if w[0] == "want" {
					if want := strings.Join(w[1:], " "); len(s.did) == 0 || s.did[0] != want {
						t.Fatalf("want %q, did %q", want, s.did)
					}
					s.did = s.did[1:]
					continue
				}
				if len(s.did) > 0 {
					t.Fatalf("before %q: also did %q", strings.TrimSpace(line), s.did)
				}
				step(t, f, w)
			}
			if len(s.did) > 0 {
				t.Fatalf("at the end: also did %q", s.did)
			}
		})
	}
}

func step(t *testing.T, f *Follower, w []string) {
	number := func(i int) Version {
		n, err := strconv.ParseUint(w[i], 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		return Version(n)
	}
	switch w[0] {
	case "connected":
		f.Connected()
	case "lost":
		f.Lost()
	case "offer":
		o := Offer{Held: Held{number(2), w[3]}, Nonce: w[1], Sound: true}
		for _, option := range w[4:] {
			if base, is := strings.CutPrefix(option, "base="); is {
				n, _ := strconv.ParseUint(base, 10, 64)
				o.Base = Version(n)
			}
			o.Sound = o.Sound && option != "unsound"
		}
		f.Offered(o)
	case "checked":
		f.Checked(number(1), strings.Join(w[2:], " "))
	case "applied":
		f.Applied(number(1), strings.Join(w[2:], " "))
	case "kept":
		f.Kept(number(1), strings.Join(w[2:], " "))
	default:
		t.Fatalf("no step %q", w[0])
	}
}

// world is a service, a stream that loses and repeats, and the shell around a follower; all by chance.
type world struct {
	t        *rapid.T
	f        *Follower
	texts    map[Version]string
	bad      map[Version]bool
	newest   Version
	up       bool
	nonce    int
	sent     string // the nonce not answered yet
	offer    Offer
	answers  map[string]int // by nonce
	known    Held           // what the service believes in force
	inForce  Held           // what acts
	disk     Held
	pending  []func()
	maxForce Version
	tolds    int
}

func (w *world) Check(v Version) {
	bad := w.bad[v]
	w.pending = append(w.pending, func() {
		if bad {
			w.f.Checked(v, "bad")
		} else {
			w.f.Checked(v, "")
		}
	})
}

func (w *world) Apply(v Version) {
	if w.bad[v] {
		w.t.Fatalf("version %d is bad, and was applied", v)
	}
	if v < w.maxForce {
		w.t.Fatalf("version %d after %d", v, w.maxForce)
	}
	fails := rapid.IntRange(0, 9).Draw(w.t, "apply fails") == 0
	w.pending = append(w.pending, func() {
		if fails {
			w.f.Applied(v, "no socket")
			return
		}
		w.inForce, w.maxForce = Held{v, w.texts[v]}, v
		w.f.Applied(v, "")
	})
}

func (w *world) Keep(v Version) {
	fails := rapid.IntRange(0, 9).Draw(w.t, "keep fails") == 0
	w.pending = append(w.pending, func() {
		if fails {
			w.f.Kept(v, "disk full")
			return
		}
		w.disk = Held{v, w.texts[v]}
		w.inForce.Version = v // a version of the same text takes its number with the keeping
		w.f.Kept(v, "")
	})
}

func (w *world) answer(nonce string) {
	if !w.up {
		w.t.Fatalf("answer to %s without a stream", nonce)
	}
	w.answers[nonce]++
	if nonce == w.sent {
		w.sent = ""
	}
	w.known, _ = w.f.Held()
}

func (w *world) Accept(nonce string, kept bool) {
	held, isKept := w.f.Held()
	if kept && w.disk != held || kept != isKept {
		w.t.Fatalf("told that %v is kept, the disk has %v", held, w.disk)
	}
	if held.Digest != w.inForce.Digest {
		w.t.Fatalf("accepted %v, in force is %v", held, w.inForce)
	}
	w.answer(nonce)
}

func (w *world) TurnDown(nonce string, v Version, why string) {
	if why == "" {
		w.t.Fatal("turned down without a reason")
	}
	if held, _ := w.f.Held(); held.Version == v && held.Digest == w.texts[v] {
		w.t.Fatalf("version %d is in force and was turned down", v)
	}
	w.answer(nonce)
}

func (w *world) AskWhole(nonce string) { w.answer(nonce) }
func (w *world) Log(string)            {}
func (w *world) Tell(h Held, _ Version, kept, up bool) {
	w.known = h
	w.tolds++
}

// Whatever the service, the stream, the disk and a crash do: only good versions act, numbers never fall, each response
// has one answer, what was told as kept is on disk, and once all is quiet the follower has the newest good version that it can.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, texts: map[Version]string{0: ""}, bad: map[Version]bool{}, answers: map[string]int{}}
		w.f = New(w, Held{}, false)
		send := func() {
			if !w.up || w.sent != "" || w.newest == 0 {
				return
			}
			w.nonce++
			w.sent = strconv.Itoa(w.nonce)
			w.offer = Offer{Held: Held{w.newest, w.texts[w.newest]}, Nonce: w.sent, Sound: true}
			if w.known.Version > 0 && rapid.Bool().Draw(w.t, "changes") {
				w.offer.Base = w.known.Version
			}
			w.f.Offered(w.offer)
		}
		connect := func() {
			if !w.up {
				w.up, w.sent = true, ""
				w.f.Connected()
			}
		}
		lose := func() {
			if w.up {
				w.up, w.sent = false, ""
				w.f.Lost()
			}
		}
		finish := func() {
			for len(w.pending) > 0 {
				do := w.pending[0]
				w.pending = w.pending[1:]
				do()
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(*rapid.T) {
				w.newest++
				w.texts[w.newest] = strconv.Itoa(rapid.IntRange(0, 5).Draw(w.t, "text"))
				w.bad[w.newest] = w.texts[w.newest] == "5"
			},
			"send":    func(*rapid.T) { send() },
			"connect": func(*rapid.T) { connect() },
			"lose":    func(*rapid.T) { lose() },
			"repeat": func(*rapid.T) {
				if w.up && w.offer.Nonce == strconv.Itoa(w.nonce) {
					before := w.answers[w.offer.Nonce]
					w.f.Offered(w.offer)
					if before > 0 && w.answers[w.offer.Nonce] != before+1 && len(w.pending) == 0 && w.sent == "" {
						t.Fatalf("a response that came again has no answer again")
					}
				}
			},
			"work": func(*rapid.T) {
				if len(w.pending) > 0 {
					do := w.pending[0]
					w.pending = w.pending[1:]
					do()
				}
			},
			"crash": func(*rapid.T) { // it begins anew from its disk
				w.up, w.sent, w.pending = false, "", nil
				w.inForce, w.maxForce = w.disk, w.disk.Version
				w.f = New(w, w.disk, w.disk.Version > 0)
			},
			"": func(t *rapid.T) {
				held, _ := w.f.Held()
				if held.Digest != w.inForce.Digest {
					t.Fatalf("held %v, in force %v", held, w.inForce)
				}
				if w.bad[held.Version] {
					t.Fatalf("a bad version is held: %v", held)
				}
			},
		})
		finish()
		connect()
		for range 6 { // a response of changes may be asked for whole; what can't be applied may be offered again
			send()
			finish()
		}
		held, _ := w.f.Held()
		refused, _ := w.f.Refused()
		if w.newest > 0 && held.Version != w.newest && refused.Version != w.newest {
			t.Fatalf("quiet, newest is %d, held %v, refused %v", w.newest, held, refused)
		}
		if w.sent != "" {
			t.Fatalf("response %s was never answered", w.sent)
		}
	})
}

// The same verdict every time: cases are drawn from one seed, unless a command line names another.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
