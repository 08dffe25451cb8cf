package httplink

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"mallowlanding/internal/engine"
	"mallowlanding/internal/eventloop"
	"mallowlanding/internal/eventloop/eventlooptest"
	"mallowlanding/internal/httpconn"
	"mallowlanding/internal/outbound"
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
	maxMS    chan string // X-Max-Ms of each request
	dialled  chan bool   // a connection is established and waits at the gate
	gate     chan bool
	dialErr  error // that Dial returns
}

func newFixture(t *testing.T) *fixture {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{t: t, l: l, loop: eventloop.NewLoop(), requests: make(chan string, 16), maxMS: make(chan string, 16), dialled: make(chan bool, 16), gate: make(chan bool, 16)}
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
							f.requests <- ""
						}
						return
					}
					f.maxMS <- req.Header.Get("X-Max-Ms")
					f.requests <- req.Method + " " + req.RequestURI
					_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Slots-Up: 1\r\n\r\n")
				}
			}()
		}
	}()
	e := engine.New(engine.Options{Settings: router.Settings{}, Now: f.loop.Now(), Log: func(string) {}})
	f.set = New(f.loop, e, Options{ConnectTimeout: testTimeout, OrderTimeout: testTimeout, IdleTimeout: testTimeout, MaxConnections: 8,
		Dialer: f, Log: zerolog.Nop()})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan bool)
	go func() { f.loop.Run(ctx, noopHandler{}); close(done) }()
	t.Cleanup(func() { stop(); <-done; l.Close() })
	f.inTurn(func() { f.set.Add("w", l.Addr().String(), 1) })
	return f
}

// Dial implements Dialer. It establishes the connection at once and returns it when the gate opens.
func (f *fixture) Dial(ctx context.Context, address string, timeout time.Duration) (*httpconn.Conn, error) {
	conn, err := httpconn.Dial(context.WithoutCancel(ctx), address, timeout)
	f.dialled <- true
	<-f.gate
	if f.dialErr != nil && err == nil {
		conn.Close()
		return nil, f.dialErr
	}
	return conn, err
}

// inTurn runs do in a turn of the event loop and waits for it.
func (f *fixture) inTurn(do func()) { eventlooptest.InTurn(f.loop, do) }

// startMessage starts an exchange; its result arrives on the channel.
func (f *fixture) startMessage(timeout time.Duration) (x *exchange, ended chan result) {
	return f.startMessageBy(timeout, math.MaxInt64)
}

// startMessageBy starts an exchange whose first byte is written by the time startBy.
func (f *fixture) startMessageBy(timeout time.Duration, startBy router.Time) (x *exchange, ended chan result) {
	ended = make(chan result, 1)
	m := message{label: "message", appendTo: always([]byte("PUT /v2/q/f/1 HTTP/1.1\r\nHost: w\r\n\r\n")), timeout: timeout,
		conditions: outbound.Conditions{SendBy: startBy}}
	f.inTurn(func() { x = f.set.links["w"].start(m, func(r result) { ended <- r }) })
	return x, ended
}

func (f *fixture) expectRequest(want string) {
	f.t.Helper()
	select {
	case got := <-f.requests:
		if got != want {
			f.t.Fatalf("the worker received %q, want %q", got, want)
		}
	case <-time.After(testTimeout):
		f.t.Fatalf("the worker received nothing, want %q", want)
	}
}

func (f *fixture) expectOutcome(ended chan result, want router.Outcome) {
	f.t.Helper()
	select {
	case r := <-ended:
		got := router.OK
		if r.err != nil {
			got = r.outcome()
		}
		if got != want {
			f.t.Fatalf("the exchange ended with outcome %d, want %d: %v", got, want, r.err)
		}
	case <-time.After(testTimeout):
		f.t.Fatal("the exchange did not end")
	}
}

// expectSent lets the connection at the gate through and expects that the message is sent on it and answered.
func (f *fixture) expectSent(ended chan result) {
	f.t.Helper()
	<-f.dialled
	f.gate <- true
	f.expectRequest("PUT /v2/q/f/1")
	f.expectOutcome(ended, router.OK)
}

// expectNothingSent lets the connection at the gate through and expects that nothing is sent on it.
func (f *fixture) expectNothingSent(ended chan result) {
	f.t.Helper()
	f.gate <- true
	f.expectRequest("")
	f.expectOutcome(ended, router.Full)
	f.expectConnCount(0)
}

// expectConnCount checks the number of connections that the set counts, and that no exchange is left.
func (f *fixture) expectConnCount(want int) {
	f.t.Helper()
	f.inTurn(func() {
		if f.set.connCount != want || len(f.set.links) > 0 && len(f.set.links["w"].exchanges) > 0 {
			f.t.Errorf("%d connections counted, want %d, or an exchange has not ended", f.set.connCount, want)
		}
	})
}

// TestRemoveDuringDial checks that a message that waits for its connection, whether call-out, order or check, is not
// sent once the link has been removed, and that one that was sent before is still answered.
func TestRemoveDuringDial(t *testing.T) {
	f := newFixture(t)
	_, ended := f.startMessage(testTimeout)
	<-f.dialled
	f.inTurn(func() { f.set.Remove("w") })
	f.expectNothingSent(ended)

	f = newFixture(t)
	_, ended = f.startMessage(testTimeout)
	<-f.dialled
	f.gate <- true
	f.expectRequest("PUT /v2/q/f/1")
	f.inTurn(func() { f.set.Remove("w") })
	f.expectOutcome(ended, router.OK)
	f.expectConnCount(0)
}

// TestRemoveCancelsDial checks that removing a link cancels its dials, which otherwise run on to their timeout.
func TestRemoveCancelsDial(t *testing.T) {
	f := newFixture(t)
	f.inTurn(func() {
		o := f.set.options
		o.Dialer = dialFunc(func(ctx context.Context, _ string, _ time.Duration) (*httpconn.Conn, error) {
			f.dialled <- true
			<-ctx.Done()
			return nil, ctx.Err()
		})
		f.set.UpdateSettings(o)
	})
	_, ended := f.startMessage(time.Hour)
	<-f.dialled
	f.inTurn(func() { f.set.Remove("w") })
	f.expectOutcome(ended, router.Full)
	f.expectConnCount(0)
}

type dialFunc func(ctx context.Context, address string, timeout time.Duration) (*httpconn.Conn, error)

// Dial implements Dialer.
func (f dialFunc) Dial(ctx context.Context, address string, timeout time.Duration) (*httpconn.Conn, error) {
	return f(ctx, address, timeout)
}

// TestStopDuringDial checks that a message that is cancelled before its connection is established is never sent, and
// that the outcome does not count against the worker.
func TestStopDuringDial(t *testing.T) {
	f := newFixture(t)
	x, ended := f.startMessage(testTimeout)
	<-f.dialled
	f.inTurn(func() { x.stop() })
	f.expectNothingSent(ended)
}

// TestDeadlineDuringDial checks that nothing is sent on a connection established after the message's deadline.
func TestDeadlineDuringDial(t *testing.T) {
	f := newFixture(t)
	x, ended := f.startMessage(20 * time.Millisecond)
	<-f.dialled
	time.Sleep(time.Until(x.deadline)) // the gate opens only after the deadline
	f.expectNothingSent(ended)
}

// TestConnReuseDelay checks that a connection is reused once reuseDelay has passed since its last response, not
// earlier.
func TestConnReuseDelay(t *testing.T) {
	f := newFixture(t)
	_, ended := f.startMessage(testTimeout)
	f.expectSent(ended)
	var first *httpconn.Conn
	f.inTurn(func() {
		l := f.set.links["w"]
		first = l.idle[0].conn
		l.idle[0].since = time.Now().Add(-reuseDelay)
	})
	_, ended = f.startMessage(testTimeout) // delay over: reused, no dial
	f.expectRequest("PUT /v2/q/f/1")
	f.expectOutcome(ended, router.OK)
	f.inTurn(func() {
		if l := f.set.links["w"]; len(l.idle) != 1 || l.idle[0].conn != first {
			t.Error("an idle connection was not reused after the delay")
		}
	})
	_, ended = f.startMessage(testTimeout) // delay not over: a new connection
	f.expectSent(ended)
	f.expectConnCount(2)
}

// TestLowerConnectionLimit checks that a new connection closes idle ones until the limit is met, after the limit has
// been lowered below their number.
func TestLowerConnectionLimit(t *testing.T) {
	f := newFixture(t)
	for range 3 {
		_, ended := f.startMessage(testTimeout)
		f.expectSent(ended)
	}
	f.expectConnCount(3)
	f.inTurn(func() {
		o := f.set.options
		o.MaxConnections = 2
		f.set.UpdateSettings(o)
	})
	_, ended := f.startMessage(testTimeout)
	f.expectSent(ended)
	f.expectConnCount(2)
}

// TestOutcomeOfError checks the outcome that is reported for each kind of error.
func TestOutcomeOfError(t *testing.T) {
	for _, c := range []struct {
		result result
		want   router.Outcome
	}{
		{result{err: httpconn.ErrNotSent, local: true}, router.Full},
		{result{err: errors.Join(httpconn.ErrNotSent, context.DeadlineExceeded)}, router.ConnectFailed},
		{result{err: httpconn.ErrBadResponse}, router.Reset},
		{result{err: io.EOF}, router.Reset},
		{result{err: net.ErrClosed}, router.Cancelled},
	} {
		if got := c.result.outcome(); got != c.want {
			t.Errorf("%v: %d, want %d", c.result.err, got, c.want)
		}
	}
}

// TestDialTimeoutDuringPause guards against a worker that is taken for dead because this process was paused while it
// connected.
func TestDialTimeoutDuringPause(t *testing.T) {
	for _, paused := range []bool{false, true} {
		maxPause, want := testTimeout, router.ConnectFailed
		if paused {
			maxPause, want = 50*time.Millisecond, router.NotSent
		}
		f := newFixture(t)
		f.dialErr = os.ErrDeadlineExceeded
		f.inTurn(func() {
			o := f.set.options
			o.MaxPause = maxPause
			f.set.UpdateSettings(o)
			f.set.BeginTurn()
		})
		_, ended := f.startMessage(testTimeout)
		<-f.dialled
		if paused {
			time.Sleep(2 * maxPause) // no turn calls BeginTurn meanwhile
		}
		f.gate <- true
		f.expectOutcome(ended, want)
	}
}

// TestNotSentAfterStartBy checks that a message is not sent if its connection is established after startBy, and is sent
// if that happens earlier.
func TestNotSentAfterStartBy(t *testing.T) {
	f := newFixture(t)
	_, late := f.startMessageBy(testTimeout, f.loop.Now()+eventloop.FromDuration(20*time.Millisecond))
	<-f.dialled
	time.Sleep(30 * time.Millisecond)
	f.gate <- true
	f.expectOutcome(late, router.NotSent)
	f.expectRequest("")
	_, inTime := f.startMessageBy(testTimeout, f.loop.Now()+eventloop.FromDuration(testTimeout))
	<-f.dialled
	f.gate <- true
	f.expectRequest("PUT /v2/q/f/1")
	f.expectOutcome(inTime, router.OK)
}

// TestNotSentAfterPause checks that a message that was decided on before a pause of the process is not sent, whether or
// not the event loop has had a turn since: changes of the worker list may not have been received yet.
func TestNotSentAfterPause(t *testing.T) {
	const maxPause = 50 * time.Millisecond
	for _, turnAfterPause := range []bool{false, true} {
		f := newFixture(t)
		f.inTurn(func() {
			o := f.set.options
			o.MaxPause = maxPause
			f.set.UpdateSettings(o)
			f.set.BeginTurn()
		})
		_, ended := f.startMessageBy(testTimeout, f.loop.Now()+eventloop.FromDuration(testTimeout))
		<-f.dialled
		time.Sleep(2 * maxPause) // no turn calls BeginTurn meanwhile, which looks like a pause of the process
		if turnAfterPause {
			f.inTurn(f.set.BeginTurn)
		}
		f.gate <- true
		f.expectOutcome(ended, router.NotSent)
		f.expectRequest("")
	}
}

// TestCancelDuringDial checks that a call-out or load order that is cancelled before its connection is established is
// never sent, and that the engine learns at once that the call-out was not.
func TestCancelDuringDial(t *testing.T) {
	f := newFixture(t)
	var e1, e2 bool
	f.inTurn(func() {
		l := f.set.links["w"]
		l.Send(1, testRPC(), eventloop.FromDuration(testTimeout), math.MaxInt64)
		l.OrderLoad(2, "f", engine.FunctionSpec{}, 1, math.MaxInt64)
	})
	<-f.dialled
	<-f.dialled
	f.inTurn(func() {
		l := f.set.links["w"]
		e1, e2 = l.CancelCallOut(1), l.CancelCallOut(7)
		l.CancelLoadOrder(2)
	})
	if !e1 || e2 {
		t.Errorf("never sent: %t, want true; of an unknown call-out: %t, want false", e1, e2)
	}
	f.gate <- true
	f.gate <- true
	f.expectRequest("")
	f.expectRequest("")
	eventlooptest.Await(t, f.loop, "the exchanges end", func() bool {
		l := f.set.links["w"]
		return len(l.callOuts) == 0 && len(l.orders) == 0
	})
	f.expectConnCount(0)
}

// TestCancelAfterSend checks that a call-out that has been sent may have run.
func TestCancelAfterSend(t *testing.T) {
	f := newFixture(t)
	f.gate <- true
	f.inTurn(func() { f.set.links["w"].Send(1, testRPC(), eventloop.FromDuration(testTimeout), math.MaxInt64) })
	f.expectRequest("GET /v2/q/m")
	neverSent := false
	f.inTurn(func() { neverSent = f.set.links["w"].CancelCallOut(1) })
	if neverSent {
		t.Error("a call-out that was sent counts as never sent")
	}
}

// TestTimeLeftWhenSent checks that X-Max-Ms is the time that is left when the request is sent, not when it was decided
// on.
func TestTimeLeftWhenSent(t *testing.T) {
	f := newFixture(t)
	f.inTurn(func() { f.set.links["w"].Send(1, testRPC(), eventloop.FromDuration(testTimeout), math.MaxInt64) })
	<-f.dialled
	const wait = 50 * time.Millisecond
	time.Sleep(wait)
	f.gate <- true
	f.expectRequest("GET /v2/q/m")
	got, err := strconv.Atoi(<-f.maxMS)
	if most := int((testTimeout - wait).Milliseconds()); err != nil || got > most {
		t.Errorf("X-Max-Ms %d, %v; want %d at the most", got, err, most)
	}
}

func testRPC() *engine.RPC {
	return &engine.RPC{Method: &engine.Method{Name: "m"}, Function: "f", ClientRPCID: "1"}
}
