package workerlink

import (
	"fmt"
	"math/rand"
	"strconv"
	"testing"
	"time"

	"mallowlanding/internal/engine"
	"mallowlanding/internal/eventloop"
	"mallowlanding/router"
)

const (
	randomRuns  = 24
	randomSteps = 250
)

// randomDay is a front end whose RPCs come and end at random, while its worker stops reading and breaks connections.
type randomDay struct {
	*fixture
	rng     *rand.Rand
	clients []*client
}

// TestNeverRanMeansNeverReceived checks, over random ends of RPCs and a worker that reads in bouts, that the worker never
// receives an RPC of which the router was told that it never ran, and receives none twice.
func TestNeverRanMeansNeverReceived(t *testing.T) {
	for seed := range int64(randomRuns) {
		t.Run(strconv.FormatInt(seed, 10), func(t *testing.T) {
			t.Parallel()
			codec := []string{"json", "cbor"}[seed%2]
			d := &randomDay{rng: rand.New(rand.NewSource(seed)), fixture: newFixture(t, codec, func(o *Options) {
				o.ConnectTimeout, o.QueuedBytes = 50*time.Millisecond, 1<<20
			})}
			d.set.unwantedRestTimeout = 5 * time.Millisecond
			d.addLink()
			for range randomSteps {
				d.step()
			}
			d.finish()
			d.check()
		})
	}
}

// step does one random thing.
func (d *randomDay) step() {
	switch d.rng.Intn(16) {
	case 0, 1, 2, 3, 4, 5:
		d.submitRandom()
	case 6:
		d.endOne(func(c *client) { c.rpc.Cancel() })
	case 7:
		d.endOne(func(c *client) { c.rpc.ClientLeft() })
	case 8:
		d.endOne(func(c *client) { d.router.Actions.CancelCallOut(c.id, 0) })
	case 9:
		d.worker.set(func() { d.worker.reading = false })
	case 10, 11:
		d.workerReads()
	case 12:
		if d.rng.Intn(4) == 0 {
			d.inTurn(func() { d.set.Drain("w") })
		}
	case 13:
		if d.rng.Intn(6) == 0 {
			d.worker.set(func() {
				for _, nc := range d.worker.conns {
					nc.Close()
				}
			})
		}
	default:
		time.Sleep(time.Duration(d.rng.Intn(8)) * time.Millisecond)
	}
}

// submitRandom submits an RPC of a random size, time and method.
func (d *randomDay) submitRandom() {
	m := &engine.Method{Name: "hold", Effect: router.SideEffecting, Deadline: eventloop.FromDuration(longWait),
		SoftDeadline: eventloop.FromDuration(longWait), MaxBatch: 1 + 3*d.rng.Intn(2), BatchWait: eventloop.FromDuration(3 * time.Millisecond)}
	size := 10
	if d.rng.Intn(3) == 0 {
		size = d.rng.Intn(300 << 10)
	}
	c, wait := &client{}, time.Duration(1+d.rng.Intn(80))*time.Millisecond
	d.inTurn(func() { d.submitInTurn(c, m, wait, size) })
	d.clients = append(d.clients, c)
}

// endOne ends one of the last RPCs.
func (d *randomDay) endOne(end func(c *client)) {
	if n := len(d.clients); n > 0 {
		c := d.clients[n-1-d.rng.Intn(min(n, 8))]
		d.inTurn(func() { end(c) })
	}
}

// finish waits until all call-outs have ended and the worker has read everything.
func (d *randomDay) finish() {
	d.workerReads()
	d.await("all call-outs end", func() bool { return len(d.router.ByRPC) == len(d.clients) })
	for last := -1; ; time.Sleep(settleTime) {
		n := 0
		d.worker.set(func() { n = len(d.worker.received) })
		if n == last {
			return
		}
		last = n
	}
}

func (d *randomDay) check() {
	received := map[string]int{}
	d.worker.set(func() {
		for _, m := range d.worker.received {
			if m.method == "host.request" {
				received[m.id]++
			}
		}
	})
	counts := map[router.Outcome]int{}
	d.inTurn(func() {
		for id, outcome := range d.router.ByRPC {
			counts[outcome]++
			n := received[fmt.Sprint(uint64(id)<<8)]
			neverRan := outcome == router.NotSent || outcome == router.Full || outcome == router.ConnectFailed
			if n > 1 || n > 0 && neverRan {
				d.t.Errorf("RPC %d ended as %s and was received %d times", id, outcome, n)
			}
		}
	})
	d.t.Logf("%d RPCs, %d received, outcomes %v", len(d.clients), len(received), counts)
}
