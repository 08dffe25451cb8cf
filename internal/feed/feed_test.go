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

const testTimeout = 5 * time.Second

// fakeService is a stand-in journal service that hands its requests to the test, which answers them.
type fakeService struct {
	t        *testing.T
	listener net.Listener
	requests chan request
	mu       sync.Mutex
	conns    []net.Conn
}

type request struct {
	conn    net.Conn
	fromPos int
}

func newService(t *testing.T) *fakeService {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeService{t: t, listener: l, requests: make(chan request, 64)}
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, nc)
			s.mu.Unlock()
			go func() {
				defer nc.Close()
				for in := bufio.NewReader(nc); ; {
					req, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					fromPos, _ := strconv.Atoi(req.URL.Query().Get("tail"))
					s.requests <- request{nc, fromPos}
				}
			}()
		}
	}()
	return s
}

func (s *fakeService) close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, nc := range s.conns {
		nc.Close()
	}
}

func (s *fakeService) address() string { return s.listener.Addr().String() }

// expectRequest waits for the next request and checks the event number that it asks from.
func (s *fakeService) expectRequest(fromPos int) request {
	s.t.Helper()
	select {
	case r := <-s.requests:
		if r.fromPos != fromPos {
			s.t.Fatalf("request from event %d, want %d", r.fromPos, fromPos)
		}
		return r
	case <-time.After(testTimeout):
		s.t.Fatal("no request came")
		return request{}
	}
}

func (r request) respond(body string) {
	fmt.Fprintf(r.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// entryJSON encodes an event; each of workerStates is WORKER=STATE.
func entryJSON(pos int, reset bool, workerStates ...string) string {
	var list []string
	for _, pair := range workerStates {
		name, state, _ := strings.Cut(pair, "=")
		list = append(list, fmt.Sprintf(`{"instanceId":%q,"hostPort":"127.0.0.1:1","lifecycle":%q}`, name, state))
	}
	return fmt.Sprintf(`{"pos":%d,"hosts":{"reset":%t,"instances":[%s]}}`, pos, reset, strings.Join(list, ","))
}

func responseJSON(entries ...string) string {
	return fmt.Sprintf(`{"pos":1,"entries":[%s]}`, strings.Join(entries, ","))
}

// testFeed is a running feed with the events and expiries that it has reported.
type testFeed struct {
	t        *testing.T
	feed     *Feed
	events   chan string
	expiries chan time.Duration // time from the failure until the expiry
}

func ignoreExpiry(time.Time, time.Time) {}

func startFeed(t *testing.T, s *fakeService) *testFeed {
	t.Helper()
	before := goleak.IgnoreCurrent()
	tf := &testFeed{t: t, events: make(chan string, 64), expiries: make(chan time.Duration, 64)}
	tf.feed = New(s.address(), func(events []Event, _ time.Time) {
		var all []string
		for _, e := range events {
			update := "changes"
			if e.Update == router.ListComplete {
				update = "whole"
			}
			states := []string{}
			for _, w := range e.Workers {
				states = append(states, fmt.Sprintf("%s=%d", w.Name, w.State))
			}
			slices.Sort(states)
			all = append(all, fmt.Sprintf("%d %s %s", e.Pos, update, strings.Join(states, " ")))
		}
		if len(all) > 0 {
			tf.events <- strings.Join(all, "; ")
		}
	}, func(since, by time.Time) { tf.expiries <- by.Sub(since) }, zerolog.Nop())
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan bool)
	go func() { tf.feed.Run(ctx); close(done) }()
	t.Cleanup(func() {
		stop()
		<-done
		s.close()
		goleak.VerifyNone(t, before)
	})
	return tf
}

func (tf *testFeed) expectEvents(want string) {
	tf.t.Helper()
	select {
	case got := <-tf.events:
		if got != want {
			tf.t.Fatalf("got events %q, want %q", got, want)
		}
	case <-time.After(testTimeout):
		tf.t.Fatalf("got no events, want %q", want)
	}
}

func (tf *testFeed) expectNoEvents() {
	tf.t.Helper()
	select {
	case got := <-tf.events:
		tf.t.Fatalf("got events %q, want none", got)
	default:
	}
}

// TestEventsOfOneResponseTogether checks that the events of one response are reported in a single call. Otherwise a
// request could be sent to a worker between an event that lists it and one that removes it.
func TestEventsOfOneResponseTogether(t *testing.T) {
	s := newService(t)
	tf := startFeed(t, s)
	s.expectRequest(0).respond(responseJSON(entryJSON(1, true, "a=active", "b=active"), entryJSON(2, false, "a=left")))
	tf.expectEvents("1 whole a=1 b=1; 2 changes a=0")
	s.expectRequest(2)
}

// TestGapCausesReplay checks that after a gap in the event numbers all events are requested again and reported as one
// full list, and that the numbering then goes on from its last event.
func TestGapCausesReplay(t *testing.T) {
	s := newService(t)
	tf := startFeed(t, s)
	s.expectRequest(0).respond(responseJSON(entryJSON(1, true, "a=active", "b=active")))
	tf.expectEvents("1 whole a=1 b=1")
	s.expectRequest(1).respond(responseJSON(entryJSON(3, false, "b=leaving")))
	again := s.expectRequest(0)
	tf.expectNoEvents()
	again.respond(responseJSON(entryJSON(1, true, "a=active", "b=active"), entryJSON(2, false, "a=left", "c=active"), entryJSON(3, false, "b=leaving")))
	tf.expectEvents("3 whole a=0 b=2 c=1")
	s.expectRequest(3)
}

// TestPermanentGap checks that events behind a gap are applied once the retries have not filled it: they may report a
// drain.
func TestPermanentGap(t *testing.T) {
	s := newService(t)
	tf := startFeed(t, s)
	s.expectRequest(0).respond(responseJSON(entryJSON(1, true, "a=active", "b=active")))
	tf.expectEvents("1 whole a=1 b=1")
	gap := responseJSON(entryJSON(1, true, "a=active", "b=active"), entryJSON(3, false, "b=leaving"))
	s.expectRequest(1).respond(responseJSON(entryJSON(3, false, "b=leaving")))
	s.expectRequest(0).respond(gap)
	s.expectRequest(0).respond(gap)
	tf.expectEvents("3 whole a=1 b=2")
	s.expectRequest(3)
}

// TestFullListAfterGap checks that a full list is applied whatever its number, without a replay.
func TestFullListAfterGap(t *testing.T) {
	s := newService(t)
	tf := startFeed(t, s)
	s.expectRequest(0).respond(responseJSON(entryJSON(1, true, "a=active")))
	tf.expectEvents("1 whole a=1")
	s.expectRequest(1).respond(responseJSON(entryJSON(7, true, "c=active"), entryJSON(8, false, "d=active")))
	tf.expectEvents("7 whole c=1; 8 changes d=1")
	s.expectRequest(8)
}

// TestInvalidResponses checks that nothing of an invalid or truncated response is applied, and that the same events are
// requested again.
func TestInvalidResponses(t *testing.T) {
	s := newService(t)
	tf := startFeed(t, s)
	s.expectRequest(0).respond(responseJSON(entryJSON(1, true, "a=active")))
	tf.expectEvents("1 whole a=1")
	for _, bad := range []string{`{`, `[]`, `{"entries":{}}`, responseJSON(`{"hosts":{}}`), responseJSON(`{"pos":1.5,"hosts":{}}`),
		responseJSON(`{"pos":2,"hosts":{"reset":true,"instances":{}}}`), responseJSON(`{"pos":2,"hosts":{"reset":true,"instances":"a"}}`),
		responseJSON(entryJSON(2, false, "b=active"), `{"pos":3,"hosts":{"instances":[{"lifecycle":"active"}]}}`)} {
		s.expectRequest(1).respond(bad)
	}
	req := s.expectRequest(1) // breaks off in the middle
	full := responseJSON(entryJSON(2, false, "b=active"))
	fmt.Fprintf(req.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(full), full[:len(full)/2])
	req.conn.Close()
	s.expectRequest(1).respond(full)
	tf.expectEvents("2 changes b=1")
}

// TestNoResponse checks that a new request is sent soon after the wait if the service has not answered the last one.
// The deadline covers the complete response, so a service that sends it too slowly is treated the same way.
func TestNoResponse(t *testing.T) {
	s := newService(t)
	tf := startFeed(t, s)
	first := s.expectRequest(0)
	began := time.Now()
	again := s.expectRequest(0)
	if took := time.Since(began); took > maxWait+2*time.Second {
		t.Errorf("requested again after %v", took)
	}
	first.respond(responseJSON(entryJSON(1, true, "late=active"))) // on a connection that the feed has closed
	again.respond(responseJSON(entryJSON(1, true, "a=active")))
	tf.expectEvents("1 whole a=1")
}

// TestLateResponses checks that a service whose responses are always late gets one through in the end, since the time
// allowed for a response grows.
func TestLateResponses(t *testing.T) {
	s := newService(t)
	tf := startFeed(t, s)
	for range 4 {
		req := s.expectRequest(0)
		select {
		case <-time.After(maxWait + 2*minSlack + minSlack/2):
			req.respond(responseJSON(entryJSON(1, true, "a=active")))
		case again := <-s.requests: // the feed has timed out
			s.requests <- again
			continue
		}
		tf.expectEvents("1 whole a=1")
		return
	}
	t.Fatal("no response was in time")
}

// TestSetAddress checks that a response of the old service is ignored once the address has changed, and that the new
// service is asked from the same event number.
func TestSetAddress(t *testing.T) {
	s, other := newService(t), newService(t)
	defer other.close()
	tf := startFeed(t, s)
	s.expectRequest(0).respond(responseJSON(entryJSON(1, true, "a=active")))
	tf.expectEvents("1 whole a=1")
	old := s.expectRequest(1)
	tf.feed.SetAddress(other.address())
	old.respond(responseJSON(entryJSON(2, false, "a=left")))
	other.expectRequest(1).respond(responseJSON(entryJSON(2, false, "b=active")))
	tf.expectEvents("2 changes b=1")
	tf.feed.SetAddress(other.address()) // unchanged, so the request in flight stays
	other.expectRequest(2).respond(responseJSON(entryJSON(3, false, "c=active")))
	tf.expectEvents("3 changes c=1")
}

// TestResponseOfFormerService checks the same for a response of the old service that was read completely just before
// the address changed.
func TestResponseOfFormerService(t *testing.T) {
	calls := 0
	f := New("127.0.0.1:1", func([]Event, time.Time) { calls++ }, ignoreExpiry, zerolog.Nop())
	full := httpconn.Response{Status: http.StatusOK, Body: []byte(responseJSON(entryJSON(1, true, "a=active")))}
	f.SetAddress("127.0.0.1:2")
	if err := f.handleResponse("127.0.0.1:1", full, time.Now()); err == nil || calls > 0 || f.lastPos > 0 {
		t.Errorf("error %v, %d calls, at event %d", err, calls, f.lastPos)
	}
	if err := f.handleResponse("127.0.0.1:2", full, time.Now()); err != nil || calls != 1 || f.lastPos != 1 {
		t.Errorf("error %v, %d calls, at event %d", err, calls, f.lastPos)
	}
}

// TestListConfirmation checks that a response confirms the list as of the time of its request only if it is valid and
// the service knows of the same events as the feed.
func TestListConfirmation(t *testing.T) {
	askedAt := time.Now().Add(-time.Second)
	first := `{"pos":1,"entries":[` + entryJSON(1, true, "a=active") + `]}`
	for _, c := range []struct {
		name      string
		responses []string
		confirmed bool
	}{
		{"all events", []string{first}, true},
		{"nothing new", []string{first, `{"pos":1,"entries":[]}`}, true},
		{"an event without workers", []string{first, `{"pos":2,"entries":[` + entryJSON(2, false) + `]}`}, true},
		{"an event that lacks its instances", []string{first, `{"pos":2,"entries":[{"pos":2,"hosts":{"generation":2}}]}`}, true},
		{"a complete list without workers", []string{first, `{"pos":2,"entries":[` + entryJSON(2, true) + `]}`}, true},
		{"service knows of events that it does not send", []string{first, `{"pos":3,"entries":[` + entryJSON(2, false, "b=active") + `]}`}, false},
		{"an older state", []string{`{"pos":2,"entries":[` + entryJSON(1, true, "a=active") + `,` + entryJSON(2, false, "a=leaving") + `]}`, first}, false},
		{"last event number is missing", []string{first, `{"entries":[]}`}, false},
		{"invalid", []string{first, `{"pos":2,"entries":[{"pos":2,"hosts":{"instances":[{}]}}]}`}, false},
		{"a gap", []string{first, `{"pos":3,"entries":[` + entryJSON(3, false, "b=active") + `]}`}, false},
		{"a permanent gap", []string{first, `{"pos":3,"entries":[` + entryJSON(3, false, "b=active") + `]}`,
			`{"pos":3,"entries":[` + entryJSON(3, false, "b=active") + `]}`, `{"pos":3,"entries":[` + entryJSON(3, false, "b=active") + `]}`}, false},
		{"nothing new after a permanent gap", []string{first, `{"pos":3,"entries":[` + entryJSON(3, false, "b=active") + `]}`,
			`{"pos":3,"entries":[` + entryJSON(3, false, "b=active") + `]}`, `{"pos":3,"entries":[` + entryJSON(3, false, "b=active") + `]}`,
			`{"pos":3,"entries":[]}`}, false},
		{"a full list after a permanent gap", []string{first, `{"pos":3,"entries":[` + entryJSON(3, false, "b=active") + `]}`,
			`{"pos":3,"entries":[` + entryJSON(3, false, "b=active") + `]}`, `{"pos":3,"entries":[` + entryJSON(3, false, "b=active") + `]}`,
			`{"pos":4,"entries":[` + entryJSON(4, true, "b=active") + `]}`}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var asOf time.Time
			f := New("127.0.0.1:1", func(_ []Event, confirmed time.Time) { asOf = confirmed }, ignoreExpiry, zerolog.Nop())
			for _, body := range c.responses {
				asOf = time.Time{}
				_ = f.handleResponse("127.0.0.1:1", httpconn.Response{Status: http.StatusOK, Body: []byte(body)}, askedAt)
			}
			if asOf.IsZero() == c.confirmed {
				t.Errorf("confirmed as of %v", asOf)
			}
			if c.confirmed && !asOf.Equal(askedAt) {
				t.Errorf("confirmed as of %v, requested at %v", asOf, askedAt)
			}
		})
	}
}

// TestConfiguredEventsConfirmNothing checks that the configuration's events are applied without confirming the list: it
// is not known when they were correct.
func TestConfiguredEventsConfirmNothing(t *testing.T) {
	unconfirmed := false
	f := New("127.0.0.1:1", func(_ []Event, asOf time.Time) { unconfirmed = asOf.IsZero() }, ignoreExpiry, zerolog.Nop())
	if err := f.Apply([]byte(`{"pos":1,"entries":[`+entryJSON(1, true, "a=active")+`]}`), time.Time{}); err != nil || !unconfirmed {
		t.Errorf("error %v, list left unconfirmed: %t", err, unconfirmed)
	}
}

// TestRequestAgain checks that the request in flight is dropped and a new one is sent.
func TestRequestAgain(t *testing.T) {
	s := newService(t)
	tf := startFeed(t, s)
	s.expectRequest(0).respond(responseJSON(entryJSON(1, true, "a=active")))
	tf.expectEvents("1 whole a=1")
	s.expectRequest(1)
	tf.feed.RequestAgain()
	s.expectRequest(1).respond(responseJSON(entryJSON(2, false, "a=leaving")))
	tf.expectEvents("2 changes a=2")
}

// TestExpiries checks the expiry reported after a response that broke off, and after no response, which counts from the
// end of the requested wait. A connection that ends before a response has begun reports none: the service counts as
// unreachable, and the router applies SilenceExpiry by itself.
func TestExpiries(t *testing.T) {
	s := newService(t)
	tf := startFeed(t, s)
	expectExpiry := func(minDelay, maxDelay time.Duration) {
		t.Helper()
		select {
		case got := <-tf.expiries:
			if got < minDelay || got > maxDelay {
				t.Errorf("expiry %v after the failure, want %v to %v", got, minDelay, maxDelay)
			}
		case <-time.After(testTimeout):
			t.Error("no expiry was reported")
		}
	}
	s.expectRequest(0).respond(responseJSON(entryJSON(1, true, "a=active")))
	tf.expectEvents("1 whole a=1")
	req := s.expectRequest(1)
	fmt.Fprint(req.conn, "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{")
	req.conn.Close()
	expectExpiry(breakExpiry-time.Millisecond, breakExpiry+time.Millisecond)
	s.expectRequest(1).respond(responseJSON(entryJSON(2, false, "a=leaving")))
	tf.expectEvents("2 changes a=2")
	s.expectRequest(2) // times out after the requested wait of a second and the slack
	expectExpiry(waitExpiry-minSlack-50*time.Millisecond, waitExpiry-minSlack)
	s.expectRequest(2).conn.Close()
	s.expectRequest(2)
	select {
	case got := <-tf.expiries:
		t.Errorf("expiry %v after a connection that ended before a response", got)
	case <-time.After(50 * time.Millisecond):
	}
}
