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

type stage struct {
	did  []string
	logs []string
}

func (s *stage) act(format string, args ...any) { s.did = append(s.did, fmt.Sprintf(format, args...)) }

func (s *stage) Check(v Version)                { s.act("check %d", v) }
func (s *stage) Apply(v Version)                { s.act("apply %d", v) }
func (s *stage) Save(v Version)                 { s.act("keep %d", v) }
func (s *stage) Accept(nonce string, kept bool) { s.act("accept %s kept=%t", nonce, kept) }
func (s *stage) Refuse(nonce string, v Version, why string) {
	s.act("turn-down %s %d", nonce, v)
}
func (s *stage) RequestFull(nonce string) { s.act("ask-whole %s", nonce) }
func (s *stage) Log(text string)          { s.logs = append(s.logs, text) }
func (s *stage) SendStatus(h VersionRef, refused Version, kept, up bool) {
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
			f := New(s, VersionRef{3, "c"}, true)
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
		f.HandleConnect()
	case "lost":
		f.HandleDisconnect()
	case "offer":
		o := Offer{VersionRef: VersionRef{number(2), w[3]}, Nonce: w[1], DigestOK: true}
		for _, option := range w[4:] {
			if base, is := strings.CutPrefix(option, "base="); is {
				n, _ := strconv.ParseUint(base, 10, 64)
				o.Base = Version(n)
			}
			o.DigestOK = o.DigestOK && option != "unsound"
		}
		f.HandleOffer(o)
	case "checked":
		f.HandleCheckResult(number(1), strings.Join(w[2:], " "))
	case "applied":
		f.HandleApplyResult(number(1), strings.Join(w[2:], " "))
	case "kept":
		f.HandleSaveResult(number(1), strings.Join(w[2:], " "))
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
	known    VersionRef     // what the service believes in force
	inForce  VersionRef     // what acts
	disk     VersionRef
	pending  []func()
	maxForce Version
	tolds    int
}

func (w *world) Check(v Version) {
	bad := w.bad[v]
	w.pending = append(w.pending, func() {
		if bad {
			w.f.HandleCheckResult(v, "bad")
		} else {
			w.f.HandleCheckResult(v, "")
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
			w.f.HandleApplyResult(v, "no socket")
			return
		}
		w.inForce, w.maxForce = VersionRef{v, w.texts[v]}, v
		w.f.HandleApplyResult(v, "")
	})
}

func (w *world) Save(v Version) {
	fails := rapid.IntRange(0, 9).Draw(w.t, "keep fails") == 0
	w.pending = append(w.pending, func() {
		if fails {
			w.f.HandleSaveResult(v, "disk full")
			return
		}
		w.disk = VersionRef{v, w.texts[v]}
		w.inForce.Version = v // a version of the same text takes its number with the keeping
		w.f.HandleSaveResult(v, "")
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
	w.known, _ = w.f.Current()
}

func (w *world) Accept(nonce string, kept bool) {
	held, isKept := w.f.Current()
	if kept && w.disk != held || kept != isKept {
		w.t.Fatalf("told that %v is kept, the disk has %v", held, w.disk)
	}
	if held.Digest != w.inForce.Digest {
		w.t.Fatalf("accepted %v, in force is %v", held, w.inForce)
	}
	w.answer(nonce)
}

func (w *world) Refuse(nonce string, v Version, why string) {
	if why == "" {
		w.t.Fatal("turned down without a reason")
	}
	if held, _ := w.f.Current(); held.Version == v && held.Digest == w.texts[v] {
		w.t.Fatalf("version %d is in force and was turned down", v)
	}
	w.answer(nonce)
}

func (w *world) RequestFull(nonce string) { w.answer(nonce) }
func (w *world) Log(string)               {}
func (w *world) SendStatus(h VersionRef, _ Version, kept, up bool) {
	w.known = h
	w.tolds++
}

// Whatever the service, the stream, the disk and a crash do: only good versions act, numbers never fall, each response
// has one answer, what was told as kept is on disk, and once all is quiet the follower has the newest good version that it can.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, texts: map[Version]string{0: ""}, bad: map[Version]bool{}, answers: map[string]int{}}
		w.f = New(w, VersionRef{}, false)
		send := func() {
			if !w.up || w.sent != "" || w.newest == 0 {
				return
			}
			w.nonce++
			w.sent = strconv.Itoa(w.nonce)
			w.offer = Offer{VersionRef: VersionRef{w.newest, w.texts[w.newest]}, Nonce: w.sent, DigestOK: true}
			if w.known.Version > 0 && rapid.Bool().Draw(w.t, "changes") {
				w.offer.Base = w.known.Version
			}
			w.f.HandleOffer(w.offer)
		}
		connect := func() {
			if !w.up {
				w.up, w.sent = true, ""
				w.f.HandleConnect()
			}
		}
		lose := func() {
			if w.up {
				w.up, w.sent = false, ""
				w.f.HandleDisconnect()
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
					w.f.HandleOffer(w.offer)
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
				held, _ := w.f.Current()
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
		held, _ := w.f.Current()
		refused, _ := w.f.LastRefused()
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
