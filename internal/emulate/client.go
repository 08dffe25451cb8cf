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

// client is one RPC of a client, with its repeats.
type client struct {
	*scenario.Client
	w           *world
	arrival     scenario.Arrival
	tries       int
	lastOutcome string // outcome of the previous try
}

// attempt is one try of a client's RPC. It is the dispatch.Responder that the front end answers to.
type attempt struct {
	client       *client
	frontEnd     *frontEnd
	frontEndLife int // life of the front end when the RPC was sent
	mark         string
	timeoutMs    float64
	request      *dispatch.Request
	conn         *dispatch.Conn // an impatient client has a connection of its own
	timer        eventloop.Timer
	path         orderedPath
	ended        bool // the client has an outcome, or has left
	clientLeft   bool
}

func (c *client) deadline() router.Time {
	return c.w.start + eventloop.FromDuration(c.arrival.At) + c.Method.Deadline
}

// sendTry sends the RPC once, or ends it if no try is left.
func (c *client) sendTry() {
	w := c.w
	span, repeat, ok := c.Try(w.elapsed(), eventloop.ToDuration(c.deadline()-w.now))
	if !ok {
		c.count(scenario.Lost)
		return
	}
	f := w.fronts[scenario.ChooseFrontEnd(c.Rand(), len(w.fronts), func(i int) time.Duration {
		if w.fronts[i].diedAt == 0 {
			return -1
		}
		return eventloop.ToDuration(w.now - w.fronts[i].diedAt)
	}, eventloop.ToDuration(w.scenario.Callers.Notice))]
	t := &attempt{client: c, frontEnd: f, frontEndLife: f.life, mark: fmt.Sprintf("%d/%d", c.arrival.N, c.tries), timeoutMs: math.Floor(float64(span)/1e5) / 10}
	c.tries++
	leaveAfter, closes, impatient := c.Impatient()
	if !f.alive || f.closed {
		w.after(w.delay(), func() { t.end(scenario.Lost, false, 0) })
		return
	}
	t.addRecord(record.RPCSent, "")
	p := dispatch.Params{Method: f.methods[c.Method.Name], Function: c.arrival.Function, Customer: c.arrival.Mix.Customer, TimeoutMS: t.timeoutMs,
		Payload: []byte(t.mark), Repeat: repeat}
	if c.Method.Effect == router.Tokened {
		p.Token = c.Token
	}
	f.openAttempts[t] = true
	w.at(t.path.deliveryTime(w), func() {
		f.handle(t.frontEndLife, func() {
			t.conn = f.clientConn(c.arrival.N, impatient)
			t.request = t.conn.Submit(p, 0, t)
		})
	})
	w.events.Set(&t.timer, w.now+eventloop.FromDuration(span), func(router.Time) { t.end(scenario.Lost, true, 0) })
	if impatient {
		w.after(eventloop.FromDuration(leaveAfter), func() { t.leave(closes) })
	}
}

// leave has the client give up on the RPC: it closes its connection, or cancels the RPC.
func (t *attempt) leave(closes bool) {
	if t.ended {
		return
	}
	w := t.client.w
	t.clientLeft = true
	t.addRecord(record.ClientLeft, "")
	if closes { // no answer can arrive any more
		delete(t.frontEnd.openAttempts, t)
	}
	w.at(t.path.deliveryTime(w), func() {
		t.frontEnd.handle(t.frontEndLife, func() {
			switch {
			case closes && t.conn != nil:
				t.conn.Close()
			case t.request != nil:
				t.request.Cancel()
			}
		})
	})
	t.end(scenario.Quit, true, 0)
}

func (t *attempt) addRecord(kind, outcome string) {
	m := t.client.Method
	t.client.w.addRecord(record.Record{Source: "client", FrontEnd: t.frontEnd.name(), RPC: t.mark, Method: m.Name, Function: t.client.arrival.Function,
		Token: t.client.Token, DurationMS: t.timeoutMs, Kind: kind, Outcome: outcome})
}

// deliverAnswer carries the front end's answer to the client after a network delay, even if the client has left.
func (t *attempt) deliverAnswer(outcome string, retryAfter router.Time) {
	w := t.client.w
	w.after(w.delay(), func() {
		if t.frontEnd.life != t.frontEndLife || !t.frontEnd.openAttempts[t] { // the connection was lost before
			return
		}
		delete(t.frontEnd.openAttempts, t)
		t.addRecord(record.RPCAnswered, outcome)
		t.end(outcome, true, eventloop.ToDuration(retryAfter))
	})
}

// connectionLost handles the end of the front end's process while the RPC was open.
func (t *attempt) connectionLost() {
	if !t.clientLeft {
		t.addRecord(record.ConnectionLost, "")
	}
	t.end(scenario.Lost, true, 0)
}

// end records the outcome of this try; the client then retries or counts its RPC.
func (t *attempt) end(outcome string, sent bool, retryAfter time.Duration) {
	if t.ended {
		return
	}
	t.ended = true
	w, c := t.client.w, t.client
	w.events.Stop(&t.timer)
	wait, again := c.Retry(w.elapsed(), outcome, sent, retryAfter)
	if !again {
		c.count(outcome)
		return
	}
	w.after(eventloop.FromDuration(wait), func() {
		if c.w.now >= c.deadline() {
			c.count(outcome)
			return
		}
		c.lastOutcome = outcome
		c.sendTry()
	})
}

// count adds the RPC's final outcome to the tallies. An RPC whose client left is not counted.
func (c *client) count(outcome string) {
	if outcome == scenario.Quit {
		return
	}
	// no try was left: the outcome of the previous one counts
	if outcome == scenario.Lost && c.lastOutcome != "" && c.lastOutcome != scenario.Quit {
		outcome = c.lastOutcome
	}
	c.w.rpcs = append(c.w.rpcs, RPC{N: int32(c.arrival.N), Method: c.Method.Name, Function: c.arrival.Function, DueMs: c.arrival.At.Seconds() * 1000,
		TookMs: float64(c.w.now-c.w.start-eventloop.FromDuration(c.arrival.At)) / 10, Outcome: outcome, Tries: int32(c.tries)})
	c.w.tallies.Count(c.Method, c.arrival.At, outcome, eventloop.ToDuration(c.w.now-c.w.start-eventloop.FromDuration(c.arrival.At)))
}

// OK implements dispatch.Responder.
func (t *attempt) OK([]byte, []byte) { t.deliverAnswer(scenario.OK, 0) }

// Denied implements dispatch.Responder.
func (t *attempt) Denied(_ string, retryAfter router.Time) {
	t.deliverAnswer(scenario.Denied, retryAfter)
}

// Aborted implements dispatch.Responder.
func (t *attempt) Aborted(string) { t.deliverAnswer(scenario.Aborted, 0) }

// Rejected implements dispatch.Responder.
func (t *attempt) Rejected(string) { t.deliverAnswer("refused", 0) }
