package feed

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"mallowlanding/internal/httpconn"
	"mallowlanding/router"
)

const patience = 5 * time.Second

// service is a stand-in journal service: each ask waits until the test says what is answered.
type service struct {
	t    *testing.T
	l    net.Listener
	asks chan ask
	mu   sync.Mutex
	all  []net.Conn
}

type ask struct {
	nc   net.Conn
	tail int
}

func newService(t *testing.T) *service {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &service{t: t, l: l, asks: make(chan ask, 64)}
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.all = append(s.all, nc)
			s.mu.Unlock()
			go func() {
				defer nc.Close()
				for in := bufio.NewReader(nc); ; {
					head, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					tail, _ := strconv.Atoi(head.URL.Query().Get("tail"))
					s.asks <- ask{nc, tail}
				}
			}()
		}
	}()
	return s
}

func (s *service) close() {
	s.l.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, nc := range s.all {
		nc.Close()
	}
}

func (s *service) address() string { return s.l.Addr().String() }

// asked waits for the next ask, which must be from a number on.
func (s *service) asked(tail int) ask {
	s.t.Helper()
	select {
	case a := <-s.asks:
		if a.tail != tail {
			s.t.Fatalf("asked from %d, want %d", a.tail, tail)
		}
		return a
	case <-time.After(patience):
		s.t.Fatal("nothing was asked")
		return ask{}
	}
}

func (a ask) answer(body string) {
	fmt.Fprintf(a.nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// entry is an event: words are WORKER=STATE.
func entry(pos int, whole bool, words ...string) string {
	var list []string
	for _, word := range words {
		name, state, _ := strings.Cut(word, "=")
		list = append(list, fmt.Sprintf(`{"instanceId":%q,"hostPort":"127.0.0.1:1","lifecycle":%q}`, name, state))
	}
	return fmt.Sprintf(`{"pos":%d,"hosts":{"reset":%t,"instances":[%s]}}`, pos, whole, strings.Join(list, ","))
}

func answer(entries ...string) string {
	return fmt.Sprintf(`{"pos":1,"entries":[%s]}`, strings.Join(entries, ","))
}

// follower is a feed under test and what it told.
type follower struct {
	t      *testing.T
	f      *Feed
	told   chan string
	lapses chan time.Duration // from when a clock began to run to when it ends
}

func noLapse(time.Time, time.Time) {}

func follow(t *testing.T, s *service) *follower {
	t.Helper()
	before := goleak.IgnoreCurrent()
	fo := &follower{t: t, told: make(chan string, 64), lapses: make(chan time.Duration, 64)}
	fo.f = New(s.address(), func(events []Event, _ time.Time) {
		var all []string
		for _, e := range events {
			form := "changes"
			if e.Form == router.ListComplete {
				form = "whole"
			}
			words := []string{}
			for _, w := range e.Workers {
				words = append(words, fmt.Sprintf("%s=%d", w.Name, w.State))
			}
			slices.Sort(words)
			all = append(all, fmt.Sprintf("%d %s %s", e.Pos, form, strings.Join(words, " ")))
		}
		if len(all) > 0 {
			fo.told <- strings.Join(all, "; ")
		}
	}, func(since, by time.Time) { fo.lapses <- by.Sub(since) }, zerolog.Nop())
	ctx, stop := context.WithCancel(context.Background())
	over := make(chan bool)
	go func() { fo.f.Run(ctx); close(over) }()
	t.Cleanup(func() {
		stop()
		<-over
		s.close()
		goleak.VerifyNone(t, before)
	})
	return fo
}

func (fo *follower) tells(want string) {
	fo.t.Helper()
	select {
	case got := <-fo.told:
		if got != want {
			fo.t.Fatalf("told %q, want %q", got, want)
		}
	case <-time.After(patience):
		fo.t.Fatalf("nothing was told, want %q", want)
	}
}

func (fo *follower) nothing() {
	fo.t.Helper()
	select {
	case got := <-fo.told:
		fo.t.Fatalf("told %q", got)
	default:
	}
}

// TestOneAnswerIsToldAtOnce: the events of one answer come together, so that nothing is sent between them.
func TestOneAnswerIsToldAtOnce(t *testing.T) {
	s := newService(t)
	fo := follow(t, s)
	s.asked(0).answer(answer(entry(1, true, "a=active", "b=active"), entry(2, false, "a=left")))
	fo.tells("1 whole a=1 b=1; 2 changes a=0")
	s.asked(2)
}

// TestGap: a gap in the numbers has all told anew, as one whole list; what is known by then stays known.
func TestGap(t *testing.T) {
	s := newService(t)
	fo := follow(t, s)
	s.asked(0).answer(answer(entry(1, true, "a=active", "b=active")))
	fo.tells("1 whole a=1 b=1")
	s.asked(1).answer(answer(entry(3, false, "b=leaving")))
	again := s.asked(0)
	fo.nothing()
	again.answer(answer(entry(1, true, "a=active", "b=active"), entry(2, false, "a=left", "c=active"), entry(3, false, "b=leaving")))
	fo.tells("3 whole a=0 b=2 c=1")
	s.asked(3)
}

// TestGapThatNeverHeals: what comes behind it counts at last; a drain told there must be known.
func TestGapThatNeverHeals(t *testing.T) {
	s := newService(t)
	fo := follow(t, s)
	s.asked(0).answer(answer(entry(1, true, "a=active", "b=active")))
	fo.tells("1 whole a=1 b=1")
	gap := answer(entry(1, true, "a=active", "b=active"), entry(3, false, "b=leaving"))
	s.asked(1).answer(answer(entry(3, false, "b=leaving")))
	s.asked(0).answer(gap)
	s.asked(0).answer(gap)
	fo.tells("3 whole a=1 b=2")
	s.asked(3)
}

// TestWholeListInTheMiddle: it counts whatever numbers came before it.
func TestWholeListInTheMiddle(t *testing.T) {
	s := newService(t)
	fo := follow(t, s)
	s.asked(0).answer(answer(entry(1, true, "a=active")))
	fo.tells("1 whole a=1")
	s.asked(1).answer(answer(entry(7, true, "c=active"), entry(8, false, "d=active")))
	fo.tells("7 whole c=1; 8 changes d=1")
	s.asked(8)
}

// TestAnswersThatAreNotWhole: nothing of them counts, and the same is asked again on a new connection.
func TestAnswersThatAreNotWhole(t *testing.T) {
	s := newService(t)
	fo := follow(t, s)
	s.asked(0).answer(answer(entry(1, true, "a=active")))
	fo.tells("1 whole a=1")
	for _, bad := range []string{`{`, `[]`, `{"entries":{}}`, answer(`{"hosts":{}}`), answer(`{"pos":1.5,"hosts":{}}`),
		answer(entry(2, false, "b=active"), `{"pos":3,"hosts":{"instances":[{"lifecycle":"active"}]}}`)} {
		s.asked(1).answer(bad)
	}
	a := s.asked(1) // breaks off in the middle
	whole := answer(entry(2, false, "b=active"))
	fmt.Fprintf(a.nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(whole), whole[:len(whole)/2])
	a.nc.Close()
	s.asked(1).answer(whole)
	fo.tells("2 changes b=1")
}

// TestSilence: a service that takes the ask and says nothing is asked again soon after the wait; so is one that trickles.
func TestSilence(t *testing.T) {
	s := newService(t)
	fo := follow(t, s)
	first := s.asked(0)
	began := time.Now()
	again := s.asked(0)
	if took := time.Since(began); took > wait+2*time.Second {
		t.Errorf("asked again after %v", took)
	}
	first.answer(answer(entry(1, true, "late=active"))) // on a connection that was given up
	again.answer(answer(entry(1, true, "a=active")))
	fo.tells("1 whole a=1")
}

// TestLateAnswers: a service each of whose answers comes later than usual gets through at last.
func TestLateAnswers(t *testing.T) {
	s := newService(t)
	fo := follow(t, s)
	for range 4 {
		a := s.asked(0)
		select {
		case <-time.After(wait + 2*slackMin + slackMin/2):
			a.answer(answer(entry(1, true, "a=active")))
		case again := <-s.asks: // it was given up by then
			s.asks <- again
			continue
		}
		fo.tells("1 whole a=1")
		return
	}
	t.Fatal("no answer got through")
}

// TestMove: an answer of the old service that is read once the address has moved does not count; the new service is
// asked from the same number.
func TestMove(t *testing.T) {
	s, other := newService(t), newService(t)
	defer other.close()
	fo := follow(t, s)
	s.asked(0).answer(answer(entry(1, true, "a=active")))
	fo.tells("1 whole a=1")
	old := s.asked(1)
	fo.f.SetAddress(other.address())
	old.answer(answer(entry(2, false, "a=left")))
	other.asked(1).answer(answer(entry(2, false, "b=active")))
	fo.tells("2 changes b=1")
	fo.f.SetAddress(other.address()) // the same: nothing is given up
	other.asked(2).answer(answer(entry(3, false, "c=active")))
	fo.tells("3 changes c=1")
}

// TestAnswerReadAsItMoves: the same, where the old service's answer was read whole just before.
func TestAnswerReadAsItMoves(t *testing.T) {
	told := 0
	f := New("127.0.0.1:1", func([]Event, time.Time) { told++ }, noLapse, zerolog.Nop())
	whole := httpconn.Answer{Status: http.StatusOK, Body: []byte(answer(entry(1, true, "a=active")))}
	f.SetAddress("127.0.0.1:2")
	if err := f.answered("127.0.0.1:1", whole, time.Now()); err == nil || told > 0 || f.pos > 0 {
		t.Errorf("%v, told %d times, at %d", err, told, f.pos)
	}
	if err := f.answered("127.0.0.1:2", whole, time.Now()); err != nil || told != 1 || f.pos != 1 {
		t.Errorf("%v, told %d times, at %d", err, told, f.pos)
	}
}

// TestConfirms: an answer confirms the list as of when it was asked for, if it was read whole, was the followed service's, and
// the service knows of no other events than we do.
func TestConfirms(t *testing.T) {
	asked := time.Now().Add(-time.Second)
	first := `{"pos":1,"entries":[` + entry(1, true, "a=active") + `]}`
	for _, c := range []struct {
		name      string
		answers   []string
		confirmed bool
	}{
		{"all events", []string{first}, true},
		{"nothing new", []string{first, `{"pos":1,"entries":[]}`}, true},
		{"it knows of more than it tells", []string{first, `{"pos":3,"entries":[` + entry(2, false, "b=active") + `]}`}, false},
		{"an older state", []string{`{"pos":2,"entries":[` + entry(1, true, "a=active") + `,` + entry(2, false, "a=leaving") + `]}`, first}, false},
		{"it does not tell what it knows", []string{first, `{"entries":[]}`}, false},
		{"not valid", []string{first, `{"pos":2,"entries":[{"pos":2,"hosts":{"instances":[{}]}}]}`}, false},
		{"a gap", []string{first, `{"pos":3,"entries":[` + entry(3, false, "b=active") + `]}`}, false},
		{"a gap that never heals", []string{first, `{"pos":3,"entries":[` + entry(3, false, "b=active") + `]}`,
			`{"pos":3,"entries":[` + entry(3, false, "b=active") + `]}`, `{"pos":3,"entries":[` + entry(3, false, "b=active") + `]}`}, false},
		{"nothing new after such a gap", []string{first, `{"pos":3,"entries":[` + entry(3, false, "b=active") + `]}`,
			`{"pos":3,"entries":[` + entry(3, false, "b=active") + `]}`, `{"pos":3,"entries":[` + entry(3, false, "b=active") + `]}`,
			`{"pos":3,"entries":[]}`}, false},
		{"a whole list after such a gap", []string{first, `{"pos":3,"entries":[` + entry(3, false, "b=active") + `]}`,
			`{"pos":3,"entries":[` + entry(3, false, "b=active") + `]}`, `{"pos":3,"entries":[` + entry(3, false, "b=active") + `]}`,
			`{"pos":4,"entries":[` + entry(4, true, "b=active") + `]}`}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var asOf time.Time
			f := New("127.0.0.1:1", func(_ []Event, confirmed time.Time) { asOf = confirmed }, noLapse, zerolog.Nop())
			for _, body := range c.answers {
				asOf = time.Time{}
				_ = f.answered("127.0.0.1:1", httpconn.Answer{Status: http.StatusOK, Body: []byte(body)}, asked)
			}
			if asOf.IsZero() == c.confirmed {
				t.Errorf("confirmed as of %v", asOf)
			}
			if c.confirmed && !asOf.Equal(asked) {
				t.Errorf("confirmed as of %v, asked at %v", asOf, asked)
			}
		})
	}
}

// TestKnownConfirmsNothing: nobody can tell as of when the configuration's events were true.
func TestKnownConfirmsNothing(t *testing.T) {
	told := false
	f := New("127.0.0.1:1", func(_ []Event, asOf time.Time) { told = asOf.IsZero() }, noLapse, zerolog.Nop())
	if err := f.Apply([]byte(`{"pos":1,"entries":[`+entry(1, true, "a=active")+`]}`), time.Time{}); err != nil || !told {
		t.Errorf("%v, told as of nobody knows when: %t", err, told)
	}
}

// TestRefresh: the ask that is out is given up, and the new one is to be answered at once.
func TestRefresh(t *testing.T) {
	s := newService(t)
	fo := follow(t, s)
	s.asked(0).answer(answer(entry(1, true, "a=active")))
	fo.tells("1 whole a=1")
	s.asked(1)
	fo.f.AskAgain()
	s.asked(1).answer(answer(entry(2, false, "a=leaving")))
	fo.tells("2 changes a=2")
}

// TestLapses: an answer that breaks off has its clock, silence has another, from the end of the wait that was asked for; a
// service that can't be reached has none of these.
func TestLapses(t *testing.T) {
	s := newService(t)
	fo := follow(t, s)
	lapses := func(least, most time.Duration) {
		t.Helper()
		select {
		case got := <-fo.lapses:
			if got < least || got > most {
				t.Errorf("%v after it was seen, want %v to %v", got, least, most)
			}
		case <-time.After(patience):
			t.Error("no clock runs")
		}
	}
	s.asked(0).answer(answer(entry(1, true, "a=active")))
	fo.tells("1 whole a=1")
	a := s.asked(1)
	fmt.Fprint(a.nc, "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{")
	a.nc.Close()
	lapses(breakClock-time.Millisecond, breakClock+time.Millisecond)
	s.asked(1).answer(answer(entry(2, false, "a=leaving")))
	fo.tells("2 changes a=2")
	s.asked(2) // held for a second, as asked for, and the slack
	lapses(waitClock-slackMin-50*time.Millisecond, waitClock-slackMin)
	s.asked(2).nc.Close()
	s.asked(2)
	select {
	case got := <-fo.lapses:
		t.Errorf("%v after a connection that ended with no answer begun", got)
	case <-time.After(50 * time.Millisecond):
	}
}
