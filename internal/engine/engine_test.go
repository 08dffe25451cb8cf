package engine

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"mallowlanding/internal/routing"
	"mallowlanding/internal/settingkeys"
	"mallowlanding/router"
)

// script is a module that sends each RPC to one worker and notes what it is told.
type script struct {
	port  router.Actions
	ended []router.Outcome
}

// handle is an RPC of it: whatever ends, nothing follows.
type handle struct {
	m    *script
	over bool
}

// Submit implements core.Module.
func (m *script) Submit(_ router.Time, id router.RPCID, _ router.MethodID, _ router.CustomerID, _ router.FunctionID,
	_ router.Time, _, _ float64, _ int, _ router.Time, _ bool) routing.Handle {
	m.port.Send(id, 1, 0, math.MaxInt64)
	return &handle{m: m}
}

// CallOutEnded implements core.Handle.
func (h *handle) CallOutEnded(_ router.Time, _ int, _ router.WorkerID, o router.Outcome, closed bool, _ router.Warmth, _ int,
	_ router.Time, _ []float64) {
	h.m.ended = append(h.m.ended, o)
	h.over = closed
}

// ClientLeft implements core.Handle.
func (h *handle) ClientLeft(router.Time) { h.over = true }

// Finished implements core.Handle.
func (h *handle) Finished() bool { return h.over }

// The rest of core.Module does nothing.
func (m *script) BeginWorkerList(router.Time, router.ListUpdate, uint64) {}

// AddListedWorker implements core.Module.
func (m *script) AddListedWorker(router.Time, router.WorkerID, router.Readiness, router.Time, router.ZoneID, router.CellID,
	router.KindID, float64) {
}

// EndWorkerList implements core.Module.
func (m *script) EndWorkerList(router.Time)        {}
func (*script) ConfirmWorkerList(_, _ router.Time) {}

// LoadOrderEnded implements core.Module.
func (m *script) LoadOrderEnded(router.Time, router.WorkerID, router.FunctionID, router.Outcome, int, router.Time) {
}

// CheckEnded implements core.Module.
func (m *script) CheckEnded(router.Time, router.WorkerID, router.Outcome, router.Time, []float64) {}

// TimerFired implements core.Module.
func (m *script) TimerFired(router.Time, uint64) {}

// UpdateSettings implements core.Module.
func (m *script) UpdateSettings(router.Time, router.ParsedSettings) {}

// LoadsHalted implements core.Module.
func (m *script) LoadsHalted(router.FunctionID) bool { return false }

// Dispatch implements core.Module.
func (m *script) Dispatch(router.Time) {}

// notes are what a client, or a link, was told.
type notes []string

// OK implements Client.
func (n *notes) OK(result, _ []byte) { *n = append(*n, "ok "+string(result)) }

// Denied implements Client.
func (n *notes) Denied(router.Time) { *n = append(*n, "denied") }

// Aborted implements Client.
func (n *notes) Aborted(string) { *n = append(*n, "aborted") }

// HeldChanged implements Client.
func (n *notes) HeldChanged(bool) {}

// Send implements Link.
func (n *notes) Send(id CallOutID, _ *RPC, _, _ router.Time) {
	*n = append(*n, fmt.Sprint("send ", id))
}

// CancelCallOut implements Link.
func (n *notes) CancelCallOut(id CallOutID) { *n = append(*n, fmt.Sprint("call off ", id)) }

// CancelLoadOrder implements Link.
func (n *notes) CancelLoadOrder(OrderID) {}

// OrderLoad implements Link.
func (n *notes) OrderLoad(OrderID, string, FunctionSpec, int, router.Time) {}

// Check implements Link.
func (n *notes) Check(CheckID) {}

// rig is an engine with one worker, whose module sends all there.
func rig(now router.Time) (e *Engine, m *script, link *notes) {
	m, link = &script{}, &notes{}
	e = New(Options{Settings: router.Settings{"may.call-outs": 3., "may.overlap": true}, Now: now, Log: func(string) {},
		NewRouter: func(port router.Actions, _ router.Time, _ int64, _ router.Settings) routing.Router {
			m.port = port
			return m
		}})
	w := e.worker("w")
	delete(e.workers, w.id)
	w.id, w.link = 1, link
	e.workers[1] = w
	return e, m, link
}

// TestAnswerAll: each RPC that is open gets its one answer, denied only where a retry is harmless, what is out is called
// off, and nothing that ends later is told.
func TestAnswerAll(t *testing.T) {
	e, _, link := rig(1000)
	var got [3]notes
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
	if want := (notes{"send 256", "send 512", "send 768", "call off 256", "call off 512", "call off 768"}); !slices.Equal(*link, want) {
		t.Errorf("the link was told %v", *link)
	}
	if n := e.Counts().Open; n != 0 || len(e.rpcs) != 0 {
		t.Errorf("%d are open, %d are kept", n, len(e.rpcs))
	}
}

// TestAnswerAgainstTimeOut: an answer and the end of the RPC's time in one turn, in either order, are one end.
func TestAnswerAgainstTimeOut(t *testing.T) {
	for _, answerFirst := range []bool{true, false} {
		e, m, _ := rig(1000)
		var got notes
		p := e.Submit(0, &Method{Name: "m", Effect: router.SideEffecting, Deadline: 1000}, 0, "f", FunctionSpec{}, "", 500, false, nil, nil, &got)
		id := CallOutID(uint64(p.id) << 8)
		e.BeginTurn(p.end)
		answer := func() bool {
			return e.CallOutEnded(id, 1, router.OK, router.AlreadyWarm, 0, nil, []byte("a"), nil)
		}
		if answerFirst {
			if !answer() {
				t.Error("the answer was passed over")
			}
		}
		e.EndTurn()
		if !answerFirst && answer() {
			t.Error("an answer counts after the time-out")
		}
		want := []router.Outcome{router.TimedOut}
		if answerFirst {
			want = []router.Outcome{router.OK}
		}
		if !slices.Equal(m.ended, want) || answerFirst != slices.Equal(got, notes{"ok a"}) {
			t.Errorf("answer first %t: the module was told %v, the client %v", answerFirst, m.ended, got)
		}
	}
}

// TestLeftAgainstSend: nothing of an RPC whose client has left goes out, though the module had decided it.
func TestLeftAgainstSend(t *testing.T) {
	e, m, link := rig(1000)
	var got notes
	p := e.Submit(0, &Method{Name: "m", Effect: router.Idempotent, Deadline: 1000}, 0, "f", FunctionSpec{}, "", 500, false, nil, nil, &got)
	p.ClientLeft()
	m.port.Send(p.id, 1, 0, math.MaxInt64)
	e.BeginTurn(1001)
	e.EndTurn()
	if want := (notes{"send 256", "call off 256"}); !slices.Equal(*link, want) || len(got) > 0 {
		t.Errorf("the link was told %v, the client %v", *link, got)
	}
}

// TestForgets: names of functions, and workers that are gone, are kept while something is out, and for a while.
func TestForgets(t *testing.T) {
	e, _, _ := rig(1000)
	var got notes
	m := &Method{Name: "m", Effect: router.Idempotent, Deadline: 1000}
	f := e.Submit(0, m, 0, "f", FunctionSpec{}, "", 500, false, nil, nil, &got)
	f.ClientLeft()
	e.CallOutEnded(CallOutID(uint64(f.id)<<8), 1, router.Cancelled, router.WarmthUnknown, 0, nil, nil, nil)
	e.Submit(0, m, 0, "g", FunctionSpec{}, "", router.Time(1e9), false, nil, nil, &got)
	list := func(form router.ListUpdate, state router.Readiness, names ...string) {
		e.BeginWorkerList(form, 1)
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
		at             router.Time
		names, workers int
	}{{1000 + forgetAfter - 1, 2, 5}, {1000 + forgetAfter + forgetLook, 1, 2}} {
		e.BeginTurn(c.at)
		e.EndTurn()
		if len(e.names) != c.names || len(e.workers) != c.workers { // the rig's own worker is not in the whole list
			t.Errorf("at %d: %d names, %d workers, want %d, %d", c.at, len(e.names), len(e.workers), c.names, c.workers)
		}
	}
}

// TestGivenUpTellsWhy: who runs a front end sees which bound held an RPC that is refused.
func TestGivenUpTellsWhy(t *testing.T) {
	told := []router.Reason{}
	e := New(Options{Now: 1e6, Log: func(string) {}, OnGiveUp: func(_ *RPC, why router.Reason) { told = append(told, why) },
		Settings: router.Settings{settingkeys.Methods: 1.0, settingkeys.Item(settingkeys.Methods, 0, settingkeys.Effect): router.Idempotent,
			settingkeys.Join(settingkeys.May, settingkeys.CallOuts): 3.0}})
	now := router.Time(1e6)
	e.BeginTurn(now)
	p := e.Submit(0, &Method{Name: "m", Effect: router.Idempotent, Deadline: 30000}, 0, "f", FunctionSpec{Lanes: 1}, "", 30000, false, nil, nil, idle{})
	e.EndTurn()
	for end := now + 30000; now < end && e.Counts().Open > 0; now += 100 {
		e.BeginTurn(now)
		e.EndTurn()
	}
	if len(told) != 1 || told[0] != router.NotReady || p.CallOuts() != 0 {
		t.Errorf("told %v after %d call-outs", told, p.CallOuts())
	}
}
