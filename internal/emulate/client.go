package emulate

import (
	"fmt"
	"math"
	"time"

	"mallowlanding/internal/dispatch"
	"mallowlanding/internal/eventloop"
	"mallowlanding/internal/record"
	"mallowlanding/internal/scenario"
	"mallowlanding/router"
)

// client is one RPC with its repeats.
type client struct {
	*scenario.Client
	w     *world
	a     scenario.Arrival
	tries int
	last  string // outcome of the try before
}

// attempt is one try of it.
type attempt struct {
	c     *client
	f     *frontEnd
	life  int // the front end's that it was sent to
	mark  string
	ms    float64
	ask   *dispatch.Request
	conn  *dispatch.Conn // its own, of an impatient client
	timer eventloop.Timer
	to    way
	over  bool // the client knows how it ended, or cares no more
	left  bool
}

func (c *client) deadline() router.Time {
	return c.w.start + eventloop.FromDuration(c.a.At) + c.Method.Deadline
}

// try sends it once.
func (c *client) try() {
	w := c.w
	span, repeat, goes := c.Try(w.since(), eventloop.ToDuration(c.deadline()-w.now))
	if !goes {
		c.ended(scenario.Lost)
		return
	}
	f := w.fronts[scenario.Front(c.Rand(), len(w.fronts), func(i int) time.Duration {
		if w.fronts[i].diedAt == 0 {
			return -1
		}
		return eventloop.ToDuration(w.now - w.fronts[i].diedAt)
	}, eventloop.ToDuration(w.s.Clients.Notice))]
	t := &attempt{c: c, f: f, life: f.life, mark: fmt.Sprintf("%d/%d", c.a.N, c.tries), ms: math.Floor(float64(span)/1e5) / 10}
	c.tries++
	patience, closes, impatient := c.Impatient()
	if !f.alive || f.closed {
		w.after(w.delay(), func() { t.ends(scenario.Lost, false, 0) })
		return
	}
	t.keep(record.RPCSent, "")
	p := dispatch.Params{Method: f.methods[c.Method.Name], Function: c.a.Function, Customer: c.a.Mix.Customer, TimeoutMS: t.ms,
		Payload: []byte(t.mark), Repeat: repeat}
	if c.Method.Effect == router.Tokened {
		p.Token = c.Token
	}
	f.open[t] = true
	w.at(t.to.arrival(w), func() {
		f.do(t.life, func() {
			t.conn = f.conn(c.a.N, impatient)
			t.ask = t.conn.Submit(p, 0, t)
		})
	})
	w.events.Set(&t.timer, w.now+eventloop.FromDuration(span), func(router.Time) { t.ends(scenario.Lost, true, 0) })
	if impatient {
		w.after(eventloop.FromDuration(patience), func() { t.leaves(closes) })
	}
}

// leaves: it wants nothing any more; it closes its connection, or cancels.
func (t *attempt) leaves(closes bool) {
	if t.over {
		return
	}
	w := t.c.w
	t.left = true
	t.keep(record.ClientLeft, "")
	if closes { // no answer can come any more
		delete(t.f.open, t)
	}
	w.at(t.to.arrival(w), func() {
		t.f.do(t.life, func() {
			switch {
			case closes && t.conn != nil:
				t.conn.Close()
			case t.ask != nil:
				t.ask.Cancel()
			}
		})
	})
	t.ends(scenario.Quit, true, 0)
}

func (t *attempt) keep(kind, outcome string) {
	m := t.c.Method
	t.c.w.keep(record.Record{Source: "client", FrontEnd: t.f.name(), RPC: t.mark, Method: m.Name, Function: t.c.a.Function,
		Token: t.c.Token, DurationMS: t.ms, Kind: kind, Outcome: outcome})
}

// answered: the front end has said something; it reaches the client after a delay, wanted or not.
func (t *attempt) answered(outcome string, comeBack router.Time) {
	w := t.c.w
	w.after(w.delay(), func() {
		if t.f.life != t.life || !t.f.open[t] { // the connection broke before
			return
		}
		delete(t.f.open, t)
		t.keep(record.RPCAnswered, outcome)
		t.ends(outcome, true, eventloop.ToDuration(comeBack))
	})
}

// broke: the front end died with it open.
func (t *attempt) broke() {
	if !t.left {
		t.keep(record.ConnectionLost, "")
	}
	t.ends(scenario.Lost, true, 0)
}

// ends is what the client goes on from.
func (t *attempt) ends(outcome string, sent bool, comeBack time.Duration) {
	if t.over {
		return
	}
	t.over = true
	w, c := t.c.w, t.c
	w.events.Stop(&t.timer)
	wait, again := c.Again(w.since(), outcome, sent, comeBack)
	if !again {
		c.ended(outcome)
		return
	}
	w.after(eventloop.FromDuration(wait), func() {
		if c.w.now >= c.deadline() {
			c.ended(outcome)
			return
		}
		c.last = outcome
		c.try()
	})
}

// ended counts it.
func (c *client) ended(outcome string) {
	if outcome == scenario.Quit {
		return
	}
	if outcome == scenario.Lost && c.last != "" && c.last != scenario.Quit { // no try was left: the last one's outcome stands
		outcome = c.last
	}
	c.w.rpcs = append(c.w.rpcs, RPC{N: int32(c.a.N), Method: c.Method.Name, Function: c.a.Function, DueMs: c.a.At.Seconds() * 1000,
		TookMs: float64(c.w.now-c.w.start-eventloop.FromDuration(c.a.At)) / 10, Outcome: outcome, Tries: int32(c.tries)})
	c.w.book.Count(c.Method, c.a.At, outcome, eventloop.ToDuration(c.w.now-c.w.start-eventloop.FromDuration(c.a.At)))
}

// OK implements front.Reply.
func (t *attempt) OK([]byte, []byte) { t.answered(scenario.OK, 0) }

// Denied implements front.Reply.
func (t *attempt) Denied(_ string, comeBack router.Time) { t.answered(scenario.Denied, comeBack) }

// Aborted implements front.Reply.
func (t *attempt) Aborted(string) { t.answered(scenario.Aborted, 0) }

// Rejected implements front.Reply.
func (t *attempt) Rejected(string) { t.answered("refused", 0) }
