package engine

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"mallowlanding/internal/nameid"
	"mallowlanding/internal/routing/routingtest"
	"mallowlanding/internal/settingkeys"
	"mallowlanding/router"
)

// unsentLink is a Link that never gets to send a call-out.
type unsentLink struct {
	recorder
	sendBy router.Time // of the last load order
}

// CancelCallOut implements Link.
func (l *unsentLink) CancelCallOut(id CallOutID) bool {
	l.recorder.CancelCallOut(id)
	return true
}

// OrderLoad implements Link.
func (l *unsentLink) OrderLoad(_ OrderID, _ string, _ FunctionSpec, _ int, sendBy router.Time) {
	l.sendBy = sendBy
}

// recorder is a Client and a Link that records its calls as text.
type recorder []string

// OK implements Client.
func (r *recorder) OK(result, _ []byte) { *r = append(*r, "ok "+string(result)) }

// Denied implements Client.
func (r *recorder) Denied(router.Time) { *r = append(*r, "denied") }

// Aborted implements Client.
func (r *recorder) Aborted(string) { *r = append(*r, "aborted") }

// QueuedChanged implements Client.
func (r *recorder) QueuedChanged(bool) {}

// Send implements Link.
func (r *recorder) Send(id CallOutID, _ *RPC, _, _ router.Time) {
	*r = append(*r, fmt.Sprint("send ", id))
}

// CancelCallOut implements Link.
func (r *recorder) CancelCallOut(id CallOutID) bool {
	*r = append(*r, fmt.Sprint("call off ", id))
	return false
}

// CancelLoadOrder implements Link.
func (r *recorder) CancelLoadOrder(OrderID) {}

// OrderLoad implements Link.
func (r *recorder) OrderLoad(OrderID, string, FunctionSpec, int, router.Time) {}

// Check implements Link.
func (r *recorder) Check(CheckID) {}

// newTestEngine returns an engine with a routingtest.Router and the one worker it sends to.
func newTestEngine(now router.Time) (e *Engine, scripted *routingtest.Router, link *recorder) {
	scripted, link = &routingtest.Router{}, &recorder{}
	e = New(Options{Settings: router.Settings{"may.call-outs": 3., "may.overlap": true}, Now: now, Log: func(string) {},
		NewRouter: scripted.Factory})
	w := e.ensureWorker("w")
	delete(e.workers, w.id)
	w.id, w.link = 1, link
	e.workers[1] = w
	return e, scripted, link
}

// TestAnswerAll checks that each open RPC gets exactly one answer, denied only where a retry is harmless, that
// call-outs in flight are cancelled, and that results arriving later are not passed on.
func TestAnswerAll(t *testing.T) {
	e, _, link := newTestEngine(1000)
	var got [3]recorder
	for i, effect := range []string{router.Idempotent, router.SideEffecting, router.Tokened} {
		m := &Method{Name: effect, Effect: effect, Group: "zone", Deadline: 1000}
		e.Submit(router.MethodID(i), m, 0, "f", FunctionSpec{}, "", 500, false, nil, nil, &got[i])
	}
	e.AnswerAll()
	e.AnswerAll()
	for id := range e.rpcs {
		e.CallOutEnded(CallOutID(uint64(id)<<8), 1, router.OK, router.AlreadyWarm, 0, nil, []byte("late"), nil)
	}
	e.BeginTurn(2000)
	e.EndTurn()
	for i, want := range []string{"[denied]", "[aborted]", "[aborted]"} {
		if fmt.Sprint(got[i]) != want {
			t.Errorf("RPC %d: %v, want %s", i, got[i], want)
		}
	}
	if want := (recorder{"send 256", "send 512", "send 768", "call off 256", "call off 512", "call off 768"}); !slices.Equal(*link, want) {
		t.Errorf("unexpected calls of the link: %v", *link)
	}
	if n := e.Counts().Open; n != 0 || len(e.rpcs) != 0 {
		t.Errorf("%d RPCs are open, %d are still stored, want 0, 0", n, len(e.rpcs))
	}
}

// TestAnswerAndTimeoutInOneTurn checks that a call-out ends once if its answer and the end of the RPC's time fall into
// the same turn, in either order.
func TestAnswerAndTimeoutInOneTurn(t *testing.T) {
	for _, answerFirst := range []bool{true, false} {
		e, scripted, _ := newTestEngine(1000)
		var got recorder
		p := e.Submit(0, &Method{Name: "m", Effect: router.SideEffecting, Deadline: 1000}, 0, "f", FunctionSpec{}, "", 500, false, nil, nil, &got)
		id := CallOutID(uint64(p.id) << 8)
		e.BeginTurn(p.expiresAt)
		answer := func() bool {
			return e.CallOutEnded(id, 1, router.OK, router.AlreadyWarm, 0, nil, []byte("a"), nil)
		}
		if answerFirst {
			if !answer() {
				t.Error("the answer was ignored")
			}
		}
		e.EndTurn()
		if !answerFirst && answer() {
			t.Error("an answer after the timeout was accepted")
		}
		want := []router.Outcome{router.TimedOut}
		if answerFirst {
			want = []router.Outcome{router.OK}
		}
		if !slices.Equal(scripted.Outcomes, want) || answerFirst != slices.Equal(got, recorder{"ok a"}) {
			t.Errorf("answer first %t: the router got %v, the client %v", answerFirst, scripted.Outcomes, got)
		}
	}
}

// TestNothingSentAfterClientLeft checks that no call-out of an RPC is sent once its client has left, even if the router
// asks for one.
func TestNothingSentAfterClientLeft(t *testing.T) {
	e, scripted, link := newTestEngine(1000)
	var got recorder
	p := e.Submit(0, &Method{Name: "m", Effect: router.Idempotent, Deadline: 1000}, 0, "f", FunctionSpec{}, "", 500, false, nil, nil, &got)
	p.ClientLeft()
	scripted.Actions.Send(p.id, 1, 0, math.MaxInt64)
	e.BeginTurn(1001)
	e.EndTurn()
	if want := (recorder{"send 256", "call off 256"}); !slices.Equal(*link, want) || len(got) > 0 {
		t.Errorf("calls of the link: %v; calls of the client: %v, want none", *link, got)
	}
}

// TestPruneKeepsEntriesInUse checks that functions and removed workers are kept for the retention time, and functions
// for as long as an RPC refers to them.
func TestPruneKeepsEntriesInUse(t *testing.T) {
	e, _, _ := newTestEngine(1000)
	var got recorder
	m := &Method{Name: "m", Effect: router.Idempotent, Deadline: 1000}
	f := e.Submit(0, m, 0, "f", FunctionSpec{}, "", 500, false, nil, nil, &got)
	f.ClientLeft()
	e.CallOutEnded(CallOutID(uint64(f.id)<<8), 1, router.Cancelled, router.WarmthUnknown, 0, nil, nil, nil)
	e.Submit(0, m, 0, "g", FunctionSpec{}, "", router.Time(1e9), false, nil, nil, &got)
	list := func(update router.ListUpdate, state router.Readiness, names ...string) {
		e.BeginWorkerList(update, 1)
		for _, name := range names {
			if err := e.AddListedWorker(name, state, 0, 0, 0, 0); err != nil {
				t.Fatal(err)
			}
		}
		e.EndWorkerList()
	}
	list(router.ListComplete, router.Ready, "a", "b", "c", "d")
	list(router.ListChanges, router.Removed, "a", "d")
	list(router.ListComplete, router.Ready, "c", "d")
	for _, c := range []struct {
		now            router.Time
		names, workers int
	}{{1000 + retention - 1, 2, 5}, {1000 + retention + pruneInterval, 1, 2}} {
		e.BeginTurn(c.now)
		e.EndTurn()
		if len(e.functions) != c.names || len(e.workers) != c.workers { // newTestEngine's own worker is in no list
			t.Errorf("at %d: %d functions, %d workers, want %d, %d", c.now, len(e.functions), len(e.workers), c.names, c.workers)
		}
	}
}

// TestNamesWithoutEndAreForgotten guards against memory that grows with each function that a client names; a load order
// for a forgotten one ends as not sent.
func TestNamesWithoutEndAreForgotten(t *testing.T) {
	now := router.Time(1000)
	e, _, _ := newTestEngine(now)
	for n := range 3 * maxFunctions {
		e.BeginTurn(now)
		p := e.Submit(0, &Method{Name: "m", Effect: router.Idempotent, Deadline: 30000}, 0, fmt.Sprint("f", n), FunctionSpec{}, "", 100, false, nil, nil, ignoringClient{})
		p.ClientLeft()
		for id := range e.rpcs {
			e.CallOutEnded(CallOutID(uint64(id)<<8), 1, router.Cancelled, router.WarmthUnknown, 0, nil, nil, nil)
		}
		e.EndTurn()
		now += 10
		if len(e.functions) > maxFunctions+1 {
			t.Fatalf("%d functions are known", len(e.functions))
		}
	}
	e.BeginTurn(now)
	(*actions)(e).OrderLoad(1, nameid.Function("f0"), 1, math.MaxInt64)
	e.EndTurn()
	e.BeginTurn(now + 1)
	if len(e.orders) > 0 || e.Counts().Orders > 0 {
		t.Errorf("%d orders are open and %d were sent for a function that is not known", len(e.orders), e.Counts().Orders)
	}
}

// TestOnGiveUpReportsReason checks that OnGiveUp gets the reason for which the router denied an RPC, so that the
// operator of a front end sees which limit kept the RPC from being sent.
func TestOnGiveUpReportsReason(t *testing.T) {
	reasons := []router.Reason{}
	e := New(Options{Now: 1e6, Log: func(string) {}, OnGiveUp: func(_ *RPC, why router.Reason) { reasons = append(reasons, why) },
		Settings: router.Settings{settingkeys.Methods: 1.0, settingkeys.Item(settingkeys.Methods, 0, settingkeys.Effect): router.Idempotent,
			settingkeys.Join(settingkeys.May, settingkeys.CallOuts): 3.0}})
	now := router.Time(1e6)
	e.BeginTurn(now)
	p := e.Submit(0, &Method{Name: "m", Effect: router.Idempotent, Deadline: 30000}, 0, "f", FunctionSpec{Lanes: 1}, "", 30000, false, nil, nil, ignoringClient{})
	e.EndTurn()
	for end := now + 30000; now < end && e.Counts().Open > 0; now += 100 {
		e.BeginTurn(now)
		e.EndTurn()
	}
	if len(reasons) != 1 || reasons[0] != router.NotReady || p.CallOuts() != 0 {
		t.Errorf("got reasons %v after %d call-outs, want only not-ready after 0", reasons, p.CallOuts())
	}
}

// TestUnsentCallOutNeverRan checks that a call-out that its link has not sent is withdrawn however it ends, that the
// router learns that it never ran, and that a client that cancels a side-effecting RPC is denied at once.
func TestUnsentCallOutNeverRan(t *testing.T) {
	for _, c := range []struct {
		name   string
		end    func(e *Engine, p *RPC, scripted *routingtest.Router)
		answer recorder
	}{
		{"time is up", func(e *Engine, p *RPC, _ *routingtest.Router) { e.BeginTurn(p.expiresAt); e.EndTurn() }, nil},
		{"cancelled", func(_ *Engine, p *RPC, _ *routingtest.Router) { p.Cancel() }, recorder{"denied"}},
		{"client left", func(_ *Engine, p *RPC, _ *routingtest.Router) { p.ClientLeft() }, nil},
		{"stop", func(e *Engine, _ *RPC, _ *routingtest.Router) { e.AnswerAll() }, recorder{"denied"}},
		{"router", func(_ *Engine, p *RPC, scripted *routingtest.Router) { scripted.Actions.CancelCallOut(p.id, 0) }, nil},
	} {
		e, scripted, _ := newTestEngine(1000)
		link := &unsentLink{}
		e.workers[1].link = link
		var got recorder
		p := e.Submit(0, &Method{Name: "m", Effect: router.SideEffecting, Deadline: 1000}, 0, "f", FunctionSpec{}, "", 500, false, nil, nil, &got)
		c.end(e, p, scripted)
		if !slices.Equal(got, c.answer) {
			t.Errorf("%s: answers %v, want %v", c.name, got, c.answer)
		}
		e.BeginTurn(2000)
		e.EndTurn()
		if want := []router.Outcome{router.NotSent}; !slices.Equal(scripted.Outcomes, want) {
			t.Errorf("%s: outcomes %v, want %v", c.name, scripted.Outcomes, want)
		}
		if want := (recorder{"send 256", "call off 256"}); !slices.Equal(link.recorder, want) {
			t.Errorf("%s: calls of the link %v, want %v", c.name, link.recorder, want)
		}
		if c.answer != nil && len(e.rpcs) > 0 {
			t.Errorf("%s: an RPC is still stored", c.name)
		}
	}
}

// TestAnswerWithdrawsOtherCallOut checks that nothing is sent for an RPC after its answer: a second call-out that is in
// flight then is cancelled.
func TestAnswerWithdrawsOtherCallOut(t *testing.T) {
	e, scripted, _ := newTestEngine(1000)
	link := &unsentLink{}
	e.workers[1].link = link
	var got recorder
	p := e.Submit(0, &Method{Name: "m", Effect: router.Idempotent, Deadline: 1000}, 0, "f", FunctionSpec{}, "", 500, false, nil, nil, &got)
	scripted.Actions.Send(p.id, 1, 0, math.MaxInt64)
	e.CallOutEnded(256, 1, router.OK, router.AlreadyWarm, 0, nil, []byte("a"), nil)
	if want := (recorder{"send 256", "send 257", "call off 257"}); !slices.Equal(link.recorder, want) || !slices.Equal(got, recorder{"ok a"}) {
		t.Errorf("calls of the link %v, want %v; answers %v", link.recorder, want, got)
	}
	e.BeginTurn(1001)
	e.EndTurn()
	if len(e.rpcs) > 0 {
		t.Error("the RPC is still stored")
	}
}

// TestLoadOrderIsSentBeforeItsTimeout checks that a link is not allowed to send a load order whose time is over.
func TestLoadOrderIsSentBeforeItsTimeout(t *testing.T) {
	e, scripted, _ := newTestEngine(1000)
	link := &unsentLink{}
	e.workers[1].link, e.orderTimeout = link, 70
	e.Submit(0, &Method{Name: "m", Effect: router.Idempotent, Deadline: 1000}, 0, "f", FunctionSpec{}, "", 500, false, nil, nil, ignoringClient{})
	scripted.Actions.OrderLoad(1, nameid.Function("f"), 1, math.MaxInt64)
	if link.sendBy != 1070 {
		t.Errorf("the order may be sent until %d, want 1070", link.sendBy)
	}
}
