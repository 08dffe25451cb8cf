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

const patience = 5 * time.Second

// machine has nothing but turns.
type machine struct{}

func (machine) BeginTurn(router.Time)        {}
func (machine) EndTurn()                     {}
func (machine) NextDue() (router.Time, bool) { return 0, false }

// rig is a set with one link, a worker that counts what comes whole, and a gate that connections come up behind.
type rig struct {
	t    *testing.T
	s    *LinkSet
	loop *eventloop.Loop
	l    net.Listener
	came chan string // a message's verb and path; "" for a connection that ended with nothing on it
	up   chan bool   // one waits at the gate
	gate chan bool
}

func newRig(t *testing.T) *rig {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, l: l, loop: eventloop.NewLoop(), came: make(chan string, 16), up: make(chan bool, 16), gate: make(chan bool, 16)}
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				for in, first := bufio.NewReader(nc), true; ; first = false {
					head, err := http.ReadRequest(in)
					if err != nil {
						if first {
							r.came <- ""
						}
						return
					}
					r.came <- head.Method + " " + head.RequestURI
					_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Slots-Up: 1\r\n\r\n")
				}
			}()
		}
	}()
	e := engine.New(engine.Options{Settings: router.Settings{}, Now: r.loop.Now(), Log: func(string) {}})
	r.s = New(r.loop, e, Options{ConnectTimeout: patience, OrderTimeout: patience, IdleTimeout: patience, MaxConnections: 8,
		Dialer: r, Log: zerolog.Nop()})
	ctx, stop := context.WithCancel(context.Background())
	over := make(chan bool)
	go func() { r.loop.Run(ctx, machine{}); close(over) }()
	t.Cleanup(func() { stop(); <-over; l.Close() })
	r.turn(func() { r.s.Add("w", l.Addr().String(), 1) })
	return r
}

// Dial implements Dialer: the connection is up, and the front end hears of it once the gate opens.
func (r *rig) Dial(ctx context.Context, address string, within time.Duration) (*httpconn.Conn, error) {
	conn, err := httpconn.Dial(context.WithoutCancel(ctx), address, within)
	r.up <- true
	<-r.gate
	return conn, err
}

// turn has f done in a turn, and waits for it.
func (r *rig) turn(f func()) {
	done := make(chan bool)
	r.loop.Post(func() { f(); close(done) })
	<-done
}

// message starts one and tells how it ends.
func (r *rig) message(within time.Duration) (x *exchange, ended chan end) {
	ended = make(chan end, 1)
	r.turn(func() {
		x = r.s.links["w"].start("message", []byte("PUT /v2/q/f/1 HTTP/1.1\r\nHost: w\r\n\r\n"), within, math.MaxInt64,
			func(e end) { ended <- e })
	})
	return x, ended
}

func (r *rig) sees(want string) {
	r.t.Helper()
	select {
	case got := <-r.came:
		if got != want {
			r.t.Fatalf("the worker saw %q, want %q", got, want)
		}
	case <-time.After(patience):
		r.t.Fatalf("the worker saw nothing, want %q", want)
	}
}

func (r *rig) ends(ended chan end, want router.Outcome) {
	r.t.Helper()
	select {
	case e := <-ended:
		got := router.OK
		if e.err != nil {
			got = e.outcome()
		}
		if got != want {
			r.t.Fatalf("it ended with %d, want %d: %v", got, want, e.err)
		}
	case <-time.After(patience):
		r.t.Fatal("it did not end")
	}
}

// goes: the connection that waits at the gate comes up, and the message goes out on it and is answered.
func (r *rig) goes(ended chan end) {
	r.t.Helper()
	<-r.up
	r.gate <- true
	r.sees("PUT /v2/q/f/1")
	r.ends(ended, router.OK)
}

// nothingGoes: it comes up too late, and carries nothing.
func (r *rig) nothingGoes(ended chan end) {
	r.t.Helper()
	r.gate <- true
	r.sees("")
	r.ends(ended, router.Full)
	r.counted(0)
}

// counted: no connection is counted that has ended, and none that stands is not.
func (r *rig) counted(want int) {
	r.t.Helper()
	r.turn(func() {
		if r.s.conns != want || len(r.s.links) > 0 && len(r.s.links["w"].all) > 0 {
			r.t.Errorf("%d connections are counted, want %d", r.s.conns, want)
		}
	})
}

// TestUnwantAgainstDial: whatever kind of message waits for its connection, an order or a check as well, it is not sent
// once the worker is wanted no more; what was sent before that is answered.
func TestUnwantAgainstDial(t *testing.T) {
	r := newRig(t)
	_, ended := r.message(patience)
	<-r.up
	r.turn(func() { r.s.Remove("w") })
	r.nothingGoes(ended)

	r = newRig(t)
	_, ended = r.message(patience)
	<-r.up
	r.gate <- true
	r.sees("PUT /v2/q/f/1")
	r.turn(func() { r.s.Remove("w") })
	r.ends(ended, router.OK)
	r.counted(0)
}

// TestUnwantEndsTheDial: it does not run on to its time-out.
func TestUnwantEndsTheDial(t *testing.T) {
	r := newRig(t)
	r.turn(func() {
		o := r.s.o
		o.Dialer = dialFunc(func(ctx context.Context, _ string, _ time.Duration) (*httpconn.Conn, error) {
			r.up <- true
			<-ctx.Done()
			return nil, ctx.Err()
		})
		r.s.UpdateSettings(o)
	})
	_, ended := r.message(time.Hour)
	<-r.up
	r.turn(func() { r.s.Remove("w") })
	r.ends(ended, router.Full)
	r.counted(0)
}

type dialFunc func(ctx context.Context, address string, within time.Duration) (*httpconn.Conn, error)

// Dial implements Dialer.
func (f dialFunc) Dial(ctx context.Context, address string, within time.Duration) (*httpconn.Conn, error) {
	return f(ctx, address, within)
}

// TestGiveUpAgainstDial: given up first, nothing is sent, and that tells nothing of the worker.
func TestGiveUpAgainstDial(t *testing.T) {
	r := newRig(t)
	x, ended := r.message(patience)
	<-r.up
	r.turn(x.giveUp)
	r.nothingGoes(ended)
}

// TestTimeUpAgainstDial: a connection that comes up after the message's time carries nothing.
func TestTimeUpAgainstDial(t *testing.T) {
	r := newRig(t)
	x, ended := r.message(20 * time.Millisecond)
	<-r.up
	time.Sleep(time.Until(x.by)) // the order is chosen: the gate opens after it
	r.nothingGoes(ended)
}

// TestRest: a used connection is used again once it has rested, and not before.
func TestRest(t *testing.T) {
	r := newRig(t)
	_, ended := r.message(patience)
	r.goes(ended)
	var was *httpconn.Conn
	r.turn(func() {
		l := r.s.links["w"]
		was = l.idle[0].conn
		l.idle[0].since = time.Now().Add(-rest)
	})
	_, ended = r.message(patience) // rested: used again, no dial
	r.sees("PUT /v2/q/f/1")
	r.ends(ended, router.OK)
	r.turn(func() {
		if l := r.s.links["w"]; len(l.idle) != 1 || l.idle[0].conn != was {
			t.Error("a connection that had rested was not used again")
		}
	})
	_, ended = r.message(patience) // not rested: a new one
	r.goes(ended)
	r.counted(2)
}

// TestFewerConnections: bounds that shrink have idle connections make way.
func TestFewerConnections(t *testing.T) {
	r := newRig(t)
	for range 3 {
		_, ended := r.message(patience)
		r.goes(ended)
	}
	r.counted(3)
	r.turn(func() {
		o := r.s.o
		o.MaxConnections = 2
		r.s.UpdateSettings(o)
	})
	_, ended := r.message(patience)
	r.goes(ended)
	r.counted(2)
}

// TestOutcomes: what an end without an answer proves.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		e    end
		want router.Outcome
	}{
		{end{err: httpconn.ErrNotSent, local: true}, router.Full},
		{end{err: errors.Join(httpconn.ErrNotSent, context.DeadlineExceeded)}, router.ConnectFailed},
		{end{err: httpconn.ErrBadAnswer}, router.Reset},
		{end{err: io.EOF}, router.Reset},
		{end{err: net.ErrClosed}, router.Cancelled},
	} {
		if got := c.e.outcome(); got != c.want {
			t.Errorf("%v: %d, want %d", c.e.err, got, c.want)
		}
	}
}

// TestTooLateToBegin: a message whose connection comes up after the last moment at which it may begin is never sent; one
// that is still in time is.
func TestTooLateToBegin(t *testing.T) {
	r := newRig(t)
	begin := func(by router.Time) chan end {
		ended := make(chan end, 1)
		r.turn(func() {
			r.s.links["w"].start("message", []byte("PUT /v2/q/f/1 HTTP/1.1\r\nHost: w\r\n\r\n"), patience, by,
				func(e end) { ended <- e })
		})
		return ended
	}
	late := begin(r.loop.Now() + eventloop.FromDuration(20*time.Millisecond))
	<-r.up
	time.Sleep(30 * time.Millisecond)
	r.gate <- true
	r.ends(late, router.NotSent)
	r.sees("")
	inTime := begin(r.loop.Now() + eventloop.FromDuration(patience))
	<-r.up
	r.gate <- true
	r.sees("PUT /v2/q/f/1")
	r.ends(inTime, router.OK)
}

// TestNothingBeginsAcrossAPause: what was decided before the process stood still never begins, whether the loop has had a
// turn since or not: what the list of workers told meanwhile may not be known yet.
func TestNothingBeginsAcrossAPause(t *testing.T) {
	const pauseMost = 50 * time.Millisecond
	for _, turned := range []bool{false, true} {
		r := newRig(t)
		r.turn(func() {
			o := r.s.o
			o.MaxPause = pauseMost
			r.s.UpdateSettings(o)
			r.s.BeginTurn()
		})
		ended := make(chan end, 1)
		r.turn(func() {
			r.s.links["w"].start("message", []byte("PUT /v2/q/f/1 HTTP/1.1\r\nHost: w\r\n\r\n"), patience, r.loop.Now()+eventloop.FromDuration(patience),
				func(e end) { ended <- e })
		})
		<-r.up
		time.Sleep(2 * pauseMost) // no turn of the loop calls Begin here: the process might as well stand still
		if turned {
			r.turn(r.s.BeginTurn)
		}
		r.gate <- true
		r.ends(ended, router.NotSent)
		r.sees("")
	}
}
