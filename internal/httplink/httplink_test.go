package httplink

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"mallowlanding/internal/engine"
	"mallowlanding/internal/eventloop"
	"mallowlanding/internal/httpconn"
	"mallowlanding/router"
)

const testTimeout = 5 * time.Second

// noopHandler is an event loop handler that does nothing.
type noopHandler struct{}

func (noopHandler) BeginTurn(router.Time)        {}
func (noopHandler) EndTurn()                     {}
func (noopHandler) NextDue() (router.Time, bool) { return 0, false }

// fixture is a LinkSet with one link, to a worker that records the requests it receives completely. Dial returns each
// new connection only once the test opens the gate for it.
type fixture struct {
	t        *testing.T
	set      *LinkSet
	loop     *eventloop.Loop
	l        net.Listener
	requests chan string // method and path of each request; "" for a connection that ended without one
	dialled  chan bool   // a connection is established and waits at the gate
	gate     chan bool
}

func newFixture(t *testing.T) *fixture {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &fixture{t: t, l: l, loop: eventloop.NewLoop(), requests: make(chan string, 16), dialled: make(chan bool, 16), gate: make(chan bool, 16)}
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				for in, first := bufio.NewReader(nc), true; ; first = false {
					req, err := http.ReadRequest(in)
					if err != nil {
						if first {
							r.requests <- ""
						}
						return
					}
					r.requests <- req.Method + " " + req.RequestURI
					_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Slots-Up: 1\r\n\r\n")
				}
			}()
		}
	}()
	e := engine.New(engine.Options{Settings: router.Settings{}, Now: r.loop.Now(), Log: func(string) {}})
	r.set = New(r.loop, e, Options{ConnectTimeout: testTimeout, OrderTimeout: testTimeout, IdleTimeout: testTimeout, MaxConnections: 8,
		Dialer: r, Log: zerolog.Nop()})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan bool)
	go func() { r.loop.Run(ctx, noopHandler{}); close(done) }()
	t.Cleanup(func() { stop(); <-done; l.Close() })
	r.inTurn(func() { r.set.Add("w", l.Addr().String(), 1) })
	return r
}

// Dial implements Dialer. It establishes the connection at once and returns it when the gate opens.
func (r *fixture) Dial(ctx context.Context, address string, within time.Duration) (*httpconn.Conn, error) {
	conn, err := httpconn.Dial(context.WithoutCancel(ctx), address, within)
	r.dialled <- true
	<-r.gate
	return conn, err
}

// inTurn runs f in a turn of the event loop and waits for it.
func (r *fixture) inTurn(f func()) {
	done := make(chan bool)
	r.loop.Post(func() { f(); close(done) })
	<-done
}

// startMessage starts an exchange; its result arrives on the channel.
func (r *fixture) startMessage(timeout time.Duration) (x *exchange, ended chan result) {
	ended = make(chan result, 1)
	r.inTurn(func() {
		x = r.set.links["w"].start("message", []byte("PUT /v2/q/f/1 HTTP/1.1\r\nHost: w\r\n\r\n"), timeout, math.MaxInt64,
			func(e result) { ended <- e })
	})
	return x, ended
}

func (r *fixture) expectRequest(want string) {
	r.t.Helper()
	select {
	case got := <-r.requests:
		if got != want {
			r.t.Fatalf("the worker received %q, want %q", got, want)
		}
	case <-time.After(testTimeout):
		r.t.Fatalf("the worker received nothing, want %q", want)
	}
}

func (r *fixture) expectOutcome(ended chan result, want router.Outcome) {
	r.t.Helper()
	select {
	case e := <-ended:
		got := router.OK
		if e.err != nil {
			got = e.outcome()
		}
		if got != want {
			r.t.Fatalf("the exchange ended with outcome %d, want %d: %v", got, want, e.err)
		}
	case <-time.After(testTimeout):
		r.t.Fatal("the exchange did not end")
	}
}

// expectSent lets the connection at the gate through and expects that the message is sent on it and answered.
func (r *fixture) expectSent(ended chan result) {
	r.t.Helper()
	<-r.dialled
	r.gate <- true
	r.expectRequest("PUT /v2/q/f/1")
	r.expectOutcome(ended, router.OK)
}

// expectNothingSent lets the connection at the gate through and expects that nothing is sent on it.
func (r *fixture) expectNothingSent(ended chan result) {
	r.t.Helper()
	r.gate <- true
	r.expectRequest("")
	r.expectOutcome(ended, router.Full)
	r.expectConnCount(0)
}

// expectConnCount checks the number of connections that the set counts, and that no exchange is left.
func (r *fixture) expectConnCount(want int) {
	r.t.Helper()
	r.inTurn(func() {
		if r.set.connCount != want || len(r.set.links) > 0 && len(r.set.links["w"].exchanges) > 0 {
			r.t.Errorf("%d connections counted, want %d, or an exchange has not ended", r.set.connCount, want)
		}
	})
}

// TestRemoveDuringDial checks that a message that waits for its connection, whether call-out, order or check, is not
// sent once the link has been removed, and that one that was sent before is still answered.
func TestRemoveDuringDial(t *testing.T) {
	r := newFixture(t)
	_, ended := r.startMessage(testTimeout)
	<-r.dialled
	r.inTurn(func() { r.set.Remove("w") })
	r.expectNothingSent(ended)

	r = newFixture(t)
	_, ended = r.startMessage(testTimeout)
	<-r.dialled
	r.gate <- true
	r.expectRequest("PUT /v2/q/f/1")
	r.inTurn(func() { r.set.Remove("w") })
	r.expectOutcome(ended, router.OK)
	r.expectConnCount(0)
}

// TestRemoveCancelsDial checks that removing a link cancels its dials, which otherwise run on to their timeout.
func TestRemoveCancelsDial(t *testing.T) {
	r := newFixture(t)
	r.inTurn(func() {
		o := r.set.options
		o.Dialer = dialFunc(func(ctx context.Context, _ string, _ time.Duration) (*httpconn.Conn, error) {
			r.dialled <- true
			<-ctx.Done()
			return nil, ctx.Err()
		})
		r.set.UpdateSettings(o)
	})
	_, ended := r.startMessage(time.Hour)
	<-r.dialled
	r.inTurn(func() { r.set.Remove("w") })
	r.expectOutcome(ended, router.Full)
	r.expectConnCount(0)
}

type dialFunc func(ctx context.Context, address string, within time.Duration) (*httpconn.Conn, error)

// Dial implements Dialer.
func (f dialFunc) Dial(ctx context.Context, address string, within time.Duration) (*httpconn.Conn, error) {
	return f(ctx, address, within)
}

// TestStopDuringDial checks that a message that is cancelled before its connection is established is never sent, and
// that the outcome does not count against the worker.
func TestStopDuringDial(t *testing.T) {
	r := newFixture(t)
	x, ended := r.startMessage(testTimeout)
	<-r.dialled
	r.inTurn(x.stop)
	r.expectNothingSent(ended)
}

// TestDeadlineDuringDial checks that nothing is sent on a connection established after the message's deadline.
func TestDeadlineDuringDial(t *testing.T) {
	r := newFixture(t)
	x, ended := r.startMessage(20 * time.Millisecond)
	<-r.dialled
	time.Sleep(time.Until(x.deadline)) // the gate opens only after the deadline
	r.expectNothingSent(ended)
}

// TestConnReuseDelay checks that a connection is reused once reuseDelay has passed since its last response, not
// earlier.
func TestConnReuseDelay(t *testing.T) {
	r := newFixture(t)
	_, ended := r.startMessage(testTimeout)
	r.expectSent(ended)
	var was *httpconn.Conn
	r.inTurn(func() {
		l := r.set.links["w"]
		was = l.idle[0].conn
		l.idle[0].since = time.Now().Add(-reuseDelay)
	})
	_, ended = r.startMessage(testTimeout) // delay over: reused, no dial
	r.expectRequest("PUT /v2/q/f/1")
	r.expectOutcome(ended, router.OK)
	r.inTurn(func() {
		if l := r.set.links["w"]; len(l.idle) != 1 || l.idle[0].conn != was {
			t.Error("an idle connection was not reused after the delay")
		}
	})
	_, ended = r.startMessage(testTimeout) // delay not over: a new connection
	r.expectSent(ended)
	r.expectConnCount(2)
}

// TestLowerConnectionLimit checks that idle connections are closed when the limit has been lowered below their number.
func TestLowerConnectionLimit(t *testing.T) {
	r := newFixture(t)
	for range 3 {
		_, ended := r.startMessage(testTimeout)
		r.expectSent(ended)
	}
	r.expectConnCount(3)
	r.inTurn(func() {
		o := r.set.options
		o.MaxConnections = 2
		r.set.UpdateSettings(o)
	})
	_, ended := r.startMessage(testTimeout)
	r.expectSent(ended)
	r.expectConnCount(2)
}

// TestOutcomeOfError checks the outcome that is reported for each kind of error.
func TestOutcomeOfError(t *testing.T) {
	for _, c := range []struct {
		e    result
		want router.Outcome
	}{
		{result{err: httpconn.ErrNotSent, local: true}, router.Full},
		{result{err: errors.Join(httpconn.ErrNotSent, context.DeadlineExceeded)}, router.ConnectFailed},
		{result{err: httpconn.ErrBadResponse}, router.Reset},
		{result{err: io.EOF}, router.Reset},
		{result{err: net.ErrClosed}, router.Cancelled},
	} {
		if got := c.e.outcome(); got != c.want {
			t.Errorf("%v: %d, want %d", c.e.err, got, c.want)
		}
	}
}

// TestNotSentAfterStartBy checks that a message is not sent if its connection is established after startBy, and is sent
// if that happens earlier.
func TestNotSentAfterStartBy(t *testing.T) {
	r := newFixture(t)
	start := func(startBy router.Time) chan result {
		ended := make(chan result, 1)
		r.inTurn(func() {
			r.set.links["w"].start("message", []byte("PUT /v2/q/f/1 HTTP/1.1\r\nHost: w\r\n\r\n"), testTimeout, startBy,
				func(e result) { ended <- e })
		})
		return ended
	}
	late := start(r.loop.Now() + eventloop.FromDuration(20*time.Millisecond))
	<-r.dialled
	time.Sleep(30 * time.Millisecond)
	r.gate <- true
	r.expectOutcome(late, router.NotSent)
	r.expectRequest("")
	inTime := start(r.loop.Now() + eventloop.FromDuration(testTimeout))
	<-r.dialled
	r.gate <- true
	r.expectRequest("PUT /v2/q/f/1")
	r.expectOutcome(inTime, router.OK)
}

// TestNotSentAfterPause checks that a message that was decided on before a pause of the process is not sent, whether or
// not the event loop has had a turn since: changes of the worker list may not have been received yet.
func TestNotSentAfterPause(t *testing.T) {
	const maxPause = 50 * time.Millisecond
	for _, turned := range []bool{false, true} {
		r := newFixture(t)
		r.inTurn(func() {
			o := r.set.options
			o.MaxPause = maxPause
			r.set.UpdateSettings(o)
			r.set.BeginTurn()
		})
		ended := make(chan result, 1)
		r.inTurn(func() {
			r.set.links["w"].start("message", []byte("PUT /v2/q/f/1 HTTP/1.1\r\nHost: w\r\n\r\n"), testTimeout, r.loop.Now()+eventloop.FromDuration(testTimeout),
				func(e result) { ended <- e })
		})
		<-r.dialled
		time.Sleep(2 * maxPause) // no turn calls BeginTurn meanwhile, which looks like a pause of the process
		if turned {
			r.inTurn(r.set.BeginTurn)
		}
		r.gate <- true
		r.expectOutcome(ended, router.NotSent)
		r.expectRequest("")
	}
}
