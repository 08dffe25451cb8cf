package workerlink

import (
	"context"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"mallowlanding/internal/engine"
	"mallowlanding/internal/eventloop"
	"mallowlanding/internal/eventloop/eventlooptest"
	"mallowlanding/internal/nameid"
	"mallowlanding/internal/outbound"
	"mallowlanding/internal/routing/routingtest"
	"mallowlanding/internal/settingkeys"
	"mallowlanding/router"
)

const (
	settleTime = 30 * time.Millisecond // in which a message that is sent by mistake arrives
	longWait   = time.Minute
	largeBytes = 1 << 20 // of a payload that no socket takes at once
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fixture is a front end without clients and without decisions: a scripted router sends each RPC to the one worker.
type fixture struct {
	t      *testing.T
	loop   *eventloop.Loop
	router routingtest.Router
	engine *engine.Engine
	set    *Set
	worker *testWorker

	submitted router.RPCID // RPCs submitted so far; the engine numbers them from 1
}

// BeginTurn implements eventloop.Handler.
func (f *fixture) BeginTurn(now router.Time) {
	f.set.BeginTurn(now)
	f.engine.BeginTurn(now)
}

// EndTurn implements eventloop.Handler.
func (f *fixture) EndTurn() {
	f.set.Expire()
	f.engine.EndTurn()
	f.set.QueueDueBatches()
	f.set.Flush()
}

// NextDue implements eventloop.Handler.
func (f *fixture) NextDue() (router.Time, bool) {
	due, ok := f.engine.NextDue()
	if linkDue, linkOK := f.set.NextDue(); linkOK && (!ok || linkDue < due) {
		return linkDue, true
	}
	return due, ok
}

// newFixture starts a front end and its worker.
func newFixture(t *testing.T, codec string, configure func(o *Options)) *fixture {
	f := &fixture{t: t, loop: eventloop.NewLoop(), worker: startWorker(t, codecs[codec])}
	f.router.Worker = nameid.Worker("w")
	settings := router.Settings{settingkeys.Join(settingkeys.May, settingkeys.CallOuts): 3.0,
		settingkeys.Join(settingkeys.May, settingkeys.Overlap):            true,
		settingkeys.Join(settingkeys.Functions, settingkeys.OrderTimeout): float64(eventloop.FromDuration(longWait))}
	f.engine = engine.New(engine.Options{Settings: settings, Now: f.loop.Now(), Log: func(string) {}, NewRouter: f.router.Factory, CancelWait: 100})
	options := Options{FrontEnd: "front", Limits: Limits{ConnectTimeout: longWait}, ValueBytes: 1 << 24, QueuedBytes: 1 << 24,
		RedialMin: time.Millisecond, RedialMax: 10 * time.Millisecond, Log: zerolog.Nop()}
	if configure != nil {
		configure(&options)
	}
	ctx, stop := context.WithCancel(context.Background())
	loopCtx, stopLoop := context.WithCancel(context.Background())
	f.set = New(ctx, f.loop, f.engine, options)
	f.set.unwantedRestTimeout = longWait // a test that is slow to go on sees no other outcome
	done := make(chan bool)
	go func() { f.loop.Run(loopCtx, f); close(done) }()
	t.Cleanup(func() { stop(); stopLoop(); <-done; f.set.Wait() })
	f.inTurn(func() {
		f.engine.BeginWorkerList(router.ListComplete, 1)
		if err := f.engine.AddListedWorker("w", router.Ready, 0, 0, 0, 0); err != nil {
			t.Error(err)
		}
		f.engine.EndWorkerList()
	})
	return f
}

var codecs = map[string]string{"json": "[]", "cbor": `["cbor"]`}

// inTurn runs do in a turn of the event loop and waits for it.
func (f *fixture) inTurn(do func()) { eventlooptest.InTurn(f.loop, do) }

// await waits until what condition returns in a turn is true.
func (f *fixture) await(what string, condition func() bool) {
	f.t.Helper()
	eventlooptest.Await(f.t, f.loop, what, condition)
}

func (f *fixture) addLink() {
	f.inTurn(func() { f.set.Add("w", f.worker.socket(), nameid.Worker("w")) })
}

func (f *fixture) link() *Link { return f.set.links["w"] }

// client records the answer of an RPC. It is used in turns of the event loop.
type client struct {
	id     router.RPCID
	rpc    *engine.RPC
	answer string
}

// OK implements engine.Client.
func (c *client) OK([]byte, []byte) { c.answer += "ok" }

// Denied implements engine.Client.
func (c *client) Denied(router.Time) { c.answer += "denied" }

// Aborted implements engine.Client.
func (c *client) Aborted(string) { c.answer += "aborted" }

// QueuedChanged implements engine.Client.
func (c *client) QueuedChanged(bool) {}

// submit submits a side-effecting RPC that has a time.
func (f *fixture) submit(wait time.Duration, payloadBytes int) *client {
	c := &client{}
	m := &engine.Method{Name: "hold", Effect: router.SideEffecting, Deadline: eventloop.FromDuration(longWait), MaxBatch: 1}
	f.inTurn(func() { f.submitInTurn(c, m, wait, payloadBytes) })
	return c
}

func (f *fixture) submitInTurn(c *client, m *engine.Method, wait time.Duration, payloadBytes int) {
	f.submitted++
	c.id = f.submitted
	payload := []byte(`"` + strings.Repeat("x", payloadBytes) + `"`)
	c.rpc = f.engine.Submit(0, m, 0, "f", engine.FunctionSpec{MemoryMB: 1, Lanes: 1}, "", eventloop.FromDuration(wait), false, payload, nil, c)
}

// block has the worker read nothing, and fills its socket with a message of which a part does not fit. It returns the
// client of that message.
func (f *fixture) block() *client {
	f.t.Helper()
	f.worker.set(func() { f.worker.reading = false })
	c := f.submit(longWait, largeBytes)
	f.await("the socket is full", func() bool {
		f.link().out.mu.Lock()
		defer f.link().out.mu.Unlock()
		return f.link().out.blocked
	})
	return c
}

func (f *fixture) workerReads() { f.worker.set(func() { f.worker.reading = true }) }

// expectOutcomes waits until call-outs have ended, and checks that they are all and how they ended.
func (f *fixture) expectOutcomes(want ...router.Outcome) {
	f.t.Helper()
	f.await("the call-outs end", func() bool { return len(f.router.Outcomes) >= len(want) })
	f.inTurn(func() {
		if !slices.Equal(f.router.Outcomes, want) {
			f.t.Errorf("outcomes %v, want %v", f.router.Outcomes, want)
		}
	})
}

// ends are the ways in which a call-out may end before it is sent, with the outcome that the router gets. Each is given
// a client whose RPC waits.
var ends = map[string]struct {
	end     func(f *fixture, c *client)
	outcome router.Outcome
}{
	"its time is up": {func(*fixture, *client) {}, router.NotSent},
	"cancelled by its client": {func(f *fixture, c *client) {
		f.inTurn(c.rpc.Cancel)
		f.inTurn(func() {
			if c.answer != "denied" {
				f.t.Errorf("answer %q to an RPC that never ran", c.answer)
			}
		})
	}, router.NotSent},
	"its client left":    {func(f *fixture, c *client) { f.inTurn(c.rpc.ClientLeft) }, router.NotSent},
	"the front end ends": {func(f *fixture, _ *client) { f.inTurn(f.engine.AnswerAll) }, router.NotSent},
	"cancelled by the router": {func(f *fixture, c *client) {
		f.inTurn(func() { f.router.Actions.CancelCallOut(c.id, 0) })
	}, router.NotSent},
	"the worker drains":    {func(f *fixture, _ *client) { f.inTurn(func() { f.set.Drain("w") }) }, router.Full},
	"the worker is gone":   {func(f *fixture, _ *client) { f.inTurn(func() { f.set.Remove("w") }) }, router.Full},
	"the worker has moved": {func(f *fixture, _ *client) { f.inTurn(func() { f.set.Add("w", "/nowhere", nameid.Worker("w")) }) }, router.Full},
}

// endAfter is the time of an RPC whose time ends before it is sent.
const endAfter = 300 * time.Millisecond

// states are what an RPC may wait for, each with how the test gets there and how it goes on.
var states = map[string]struct {
	codecs  []string
	prepare func(f *fixture)
	submit  func(f *fixture, wait time.Duration) *client
	goOn    func(f *fixture)
	before  string // what the worker receives beside the RPC
}{
	"the worker reads nothing": {[]string{"json", "cbor"}, func(f *fixture) { f.addLink(); f.block() },
		func(f *fixture, wait time.Duration) *client { return f.submit(wait, 10) }, (*fixture).workerReads, "host.request 256"},
	"the worker reads nothing, large": {[]string{"json", "cbor"}, func(f *fixture) { f.addLink(); f.block() },
		func(f *fixture, wait time.Duration) *client { return f.submit(wait, largeBytes) }, (*fixture).workerReads, "host.request 256"},
	"the worker is not ready": {[]string{"json", "cbor"}, func(f *fixture) { f.worker.set(func() { f.worker.ready = false }); f.addLink() },
		func(f *fixture, wait time.Duration) *client { return f.submit(wait, 10) }, func(f *fixture) { f.worker.set(func() { f.worker.ready = true }) }, ""},
	"its batch is not due": {[]string{"cbor"}, func(f *fixture) {
		f.addLink()
		f.await("the worker accepts batches", func() bool { return f.link().out.acceptsBatches() })
	}, submitBatched, func(*fixture) {}, ""},
}

// submitBatched submits an RPC whose batch is not due before the test has ended.
func submitBatched(f *fixture, wait time.Duration) *client {
	c := &client{}
	m := &engine.Method{Name: "hold", Effect: router.SideEffecting, Deadline: eventloop.FromDuration(longWait), MaxBatch: 8,
		BatchWait: eventloop.FromDuration(longWait / 10), SoftDeadline: eventloop.FromDuration(longWait)}
	f.inTurn(func() { f.submitInTurn(c, m, wait, 10) })
	return c
}

// TestNothingIsSentAfterItsEnd guards against requests that wait for a connection, a batch or a worker that reads
// nothing, and are sent when that is over although nobody waits for them any more. They are known never to have run.
func TestNothingIsSentAfterItsEnd(t *testing.T) {
	for stateName, state := range states {
		for _, codec := range state.codecs {
			for endName, end := range ends {
				t.Run(stateName+"/"+codec+"/"+endName, func(t *testing.T) {
					t.Parallel()
					f := newFixture(t, codec, nil)
					state.prepare(f)
					f.inTurn(func() { f.router.Outcomes = nil })
					wait := longWait
					if endName == "its time is up" {
						wait = endAfter
					}
					c := state.submit(f, wait)
					end.end(f, c)
					f.await("the call-out ends", func() bool { return len(f.router.Outcomes) > 0 })
					f.inTurn(func() {
						if got := f.router.Outcomes[0]; got != end.outcome {
							t.Errorf("outcome %s, want %s", got, end.outcome)
						}
					})
					state.goOn(f)
					if endName == "the worker has moved" || endName == "the worker is gone" && state.before == "" {
						f.worker.expect("") // the connection has been closed, or is closed half-way in a message
						return
					}
					f.worker.expect(state.before + f.calledOff(endName, state.before))
				})
			}
		}
	}
}

// calledOff returns the call-off that the worker gets for the message that blocked it, if all RPCs ended.
func (f *fixture) calledOff(endName, before string) string {
	if endName == "the front end ends" && before != "" {
		return ", host.call_off 256"
	}
	return ""
}

// TestLoadOrderIsNotSentAfterItsEnd guards against load orders that wait for a worker and are sent late: past the grace
// of its drain, outside the ration, or when no RPC needs the load any more.
func TestLoadOrderIsNotSentAfterItsEnd(t *testing.T) {
	for name, end := range map[string]func(f *fixture, c *client){
		"no RPC needs it":   func(f *fixture, c *client) { f.inTurn(c.rpc.ClientLeft) },
		"the worker drains": func(f *fixture, _ *client) { f.inTurn(func() { f.set.Drain("w") }) },
		"the worker is gone": func(f *fixture, _ *client) {
			f.inTurn(func() { f.set.Remove("w") })
		},
		"nothing proves that the worker does not drain": func(f *fixture, _ *client) { time.Sleep(60 * time.Millisecond) },
	} {
		for _, codec := range []string{"json", "cbor"} {
			f := newFixture(t, codec, nil)
			f.addLink()
			c := f.block()
			f.inTurn(func() {
				sendBy := f.loop.Now() + eventloop.FromDuration(50*time.Millisecond)
				f.router.Actions.OrderLoad(nameid.Worker("w"), nameid.Function("f"), 1, sendBy)
			})
			end(f, c)
			f.workerReads()
			want := "host.request 256"
			if name == "no RPC needs it" {
				want += ", host.call_off 256"
			}
			f.worker.expect(want)
		}
	}
}

// TestCheckIsNotSentAfterItsEnd checks that a check that the worker does not take in time is never sent, so that checks of a worker
// that reads nothing don't add up.
func TestCheckIsNotSentAfterItsEnd(t *testing.T) {
	for _, codec := range []string{"json", "cbor"} {
		f := newFixture(t, codec, nil)
		f.addLink()
		f.block()
		f.inTurn(func() { f.set.UpdateLimits(Limits{ConnectTimeout: 20 * time.Millisecond}) })
		f.inTurn(func() { f.router.Actions.Check(nameid.Worker("w")) })
		f.await("the check ends", func() bool { return len(f.link().inFlight) == 1 })
		f.workerReads()
		f.worker.expect("host.request 256")
	}
}

// TestOtherAttemptIsNotSentAfterAnswer checks that of two call-outs of an RPC the one that waits is never sent once the
// other one is answered.
func TestOtherAttemptIsNotSentAfterAnswer(t *testing.T) {
	for _, codec := range []string{"json", "cbor"} {
		f := newFixture(t, codec, nil)
		f.addLink()
		c := f.block()
		f.inTurn(func() { f.router.Actions.Send(c.id, nameid.Worker("w"), 0, math.MaxInt64) })
		f.inTurn(func() {
			f.engine.CallOutEnded(256, nameid.Worker("w"), router.OK, router.AlreadyWarm, 0, nil, []byte("1"), nil)
		})
		f.workerReads()
		f.worker.expect("host.request 256")
	}
}

// TestWaitsNoLongerThanConnectTimeout checks that an RPC that the worker does not take in time ends, so that another
// worker can get it: as refused by a worker that reads too slowly, as unreachable if there is no connection.
func TestWaitsNoLongerThanConnectTimeout(t *testing.T) {
	short := func(o *Options) { o.ConnectTimeout = 100 * time.Millisecond }
	f := newFixture(t, "cbor", short)
	f.addLink()
	f.await("the worker is ready", func() bool { return f.link().out.isReady() })
	f.block()
	f.submit(longWait, 10)
	f.expectOutcomes(router.Full)
	f.workerReads()
	f.worker.expect("host.request 256")

	f = newFixture(t, "cbor", short)
	f.worker.set(func() { f.worker.ready = false })
	f.addLink()
	f.submit(longWait, 10)
	f.expectOutcomes(router.ConnectFailed)
}

// TestUpdateLimits checks that a new connect timeout holds for what is sent from then on.
func TestUpdateLimits(t *testing.T) {
	f := newFixture(t, "json", nil)
	f.addLink()
	f.block()
	f.inTurn(func() { f.set.UpdateLimits(Limits{ConnectTimeout: 50 * time.Millisecond}) })
	f.submit(longWait, 10)
	f.expectOutcomes(router.Full)
}

// TestNotSentAfterPause checks that what was decided on before a pause of the process is not sent after it: changes of
// the worker list may not have been received yet.
func TestNotSentAfterPause(t *testing.T) {
	const maxPause = 100 * time.Millisecond
	f := newFixture(t, "json", func(o *Options) { o.MaxPause = maxPause })
	f.addLink()
	f.block()
	f.inTurn(func() {
		f.submitInTurn(&client{}, &engine.Method{Name: "hold", Effect: router.SideEffecting, Deadline: eventloop.FromDuration(longWait)}, longWait, 10)
	})
	f.inTurn(func() { // the event loop stands still, as in a pause
		time.Sleep(2 * maxPause)
		f.workerReads()
		time.Sleep(settleTime)
	})
	f.worker.expect("host.request 256")
	f.expectOutcomes(router.NotSent)
}

// TestTimeLeftWhenSent checks that time_ms is the time that is left when the request is sent.
func TestTimeLeftWhenSent(t *testing.T) {
	for _, codec := range []string{"json", "cbor"} {
		f := newFixture(t, codec, nil)
		f.addLink()
		f.block()
		began := time.Now()
		f.submit(longWait, 10)
		time.Sleep(100 * time.Millisecond)
		waited := time.Since(began)
		f.workerReads()
		f.worker.expect("host.request 256, host.request 512")
		f.worker.mu.Lock()
		if got, most := f.worker.received[1].timeMS, float64((longWait-waited).Milliseconds()+1); got > most {
			t.Errorf("%s: time_ms %f, want %f at the most", codec, got, most)
		}
		f.worker.mu.Unlock()
	}
}

// TestHalfWrittenMessage checks what becomes of a message of which the worker has read a part when its client leaves:
// the rest follows if the worker reads on at once, and it is told that nobody waits. Else the connection is closed, so
// that the worker never gets the message whole, and a new one is opened.
func TestHalfWrittenMessage(t *testing.T) {
	for _, codec := range []string{"json", "cbor"} {
		f := newFixture(t, codec, nil)
		f.addLink()
		c := f.block()
		f.inTurn(c.rpc.ClientLeft)
		f.workerReads()
		f.worker.expect("host.request 256, host.call_off 256")

		f = newFixture(t, codec, nil)
		f.set.unwantedRestTimeout = unwantedRestTimeout
		f.addLink()
		c = f.block()
		f.inTurn(c.rpc.ClientLeft)
		f.worker.wait(func() bool { return len(f.worker.conns) == 2 })
		f.submit(longWait, 10)
		f.workerReads()
		f.worker.expect("host.request 512")
		f.await("the first connection ends", func() (ended bool) {
			f.worker.set(func() { ended = len(f.worker.ended) == 1 })
			return ended
		})
		f.worker.expect("host.request 512") // also once the first connection has been read to its end
	}
}

// TestSlowReaderKeepsConnection checks that a half-written message whose client waits stays on its connection.
func TestSlowReaderKeepsConnection(t *testing.T) {
	f := newFixture(t, "json", nil)
	f.set.unwantedRestTimeout = unwantedRestTimeout
	f.addLink()
	f.block()
	time.Sleep(2 * unwantedRestTimeout)
	f.workerReads()
	f.worker.expect("host.request 256")
}

// TestConnectionLost checks which requests on a lost connection may have run: those of which a byte was written.
func TestConnectionLost(t *testing.T) {
	f := newFixture(t, "json", nil)
	f.addLink()
	f.block()
	f.submit(longWait, 10)
	f.worker.set(func() { f.worker.conns[0].Close() })
	f.expectOutcomes(router.Reset, router.ConnectFailed)
}

// TestResponseToUnsentRequest checks that a response to a request that the worker can't have is passed over.
func TestResponseToUnsentRequest(t *testing.T) {
	f := newFixture(t, "json", nil)
	f.addLink()
	f.block()
	c := f.submit(longWait, 10)
	f.inTurn(func() { f.link().handleResponse("512", response{}) })
	f.workerReads()
	f.worker.expect("host.request 256, host.request 512")
	f.inTurn(func() { f.link().handleResponse("512", response{}) })
	f.inTurn(func() {
		if c.answer != "ok" {
			t.Errorf("answer %q", c.answer)
		}
	})
}

// TestQueuedBytesAreBounded checks that a worker that reads too slowly is not queued for without bound.
func TestQueuedBytesAreBounded(t *testing.T) {
	f := newFixture(t, "json", func(o *Options) { o.QueuedBytes = largeBytes })
	f.addLink()
	f.block()
	f.submit(longWait, largeBytes)
	f.submit(longWait, 10)
	f.expectOutcomes(router.Full)
}

// TestBatchWithoutEndedRPCs checks that a batch that waits for its worker is sent without the RPCs that have ended.
func TestBatchWithoutEndedRPCs(t *testing.T) {
	f := newFixture(t, "cbor", nil)
	f.addLink()
	f.await("the worker accepts batches", func() bool { return f.link().out.acceptsBatches() })
	f.block()
	m := &engine.Method{Name: "hold", Effect: router.SideEffecting, Deadline: eventloop.FromDuration(longWait), MaxBatch: 3,
		BatchWait: eventloop.FromDuration(longWait), SoftDeadline: eventloop.FromDuration(longWait)}
	clients := []*client{{}, {}, {}}
	f.inTurn(func() {
		for _, c := range clients {
			f.submitInTurn(c, m, longWait, 10)
		}
	})
	if state := f.link().out.state("512"); state != outbound.Unsent {
		t.Fatalf("state %d", state)
	}
	f.inTurn(clients[1].rpc.ClientLeft)
	f.workerReads()
	f.worker.expect(fmt.Sprintf("host.request 256, host.request %d, host.request %d", 2<<8, 4<<8))
}
