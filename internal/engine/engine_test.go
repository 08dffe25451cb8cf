package engine

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"mallowlanding/internal/core"
	"mallowlanding/internal/terms"
	"mallowlanding/router"
)

// script is a module that sends each RPC to one worker and notes what it is told.
type script struct {
	port  router.Port
	ended []router.Outcome
}

// handle is an RPC of it: whatever ends, nothing follows.
type handle struct {
	m    *script
	over bool
}

// Take implements core.Module.
func (m *script) Take(_ router.Time, id router.RPCID, _ router.MethodID, _ router.CustomerID, _ router.FunctionID,
	_ router.Time, _, _ float64, _ int, _ router.Time, _ bool) core.Handle {
	m.port.Send(id, 1, 0, math.MaxInt64)
	return &handle{m: m}
}

// Ended implements core.Handle.
func (h *handle) Ended(_ router.Time, _ int, _ router.WorkerID, o router.Outcome, closed bool, _ router.Warmth, _ int,
	_ router.Time, _ []float64) {
	h.m.ended = append(h.m.ended, o)
	h.over = closed
}

// Left implements core.Handle.
func (h *handle) Left(router.Time) { h.over = true }

// Over implements core.Handle.
func (h *handle) Over() bool { return h.over }

// The rest of core.Module does nothing.
func (m *script) ListBegins(router.Time, router.ListForm, uint64) {}

// Listed implements core.Module.
func (m *script) Listed(router.Time, router.WorkerID, router.Readiness, router.Time, router.ZoneID, router.CellID,
	router.KindID, float64) {
}

// ListEnds implements core.Module.
func (m *script) ListEnds(router.Time)         {}
func (*script) ListConfirmed(_, _ router.Time) {}

// Held implements core.Module.
func (m *script) Held(router.Time, router.WorkerID, router.FunctionID, router.Outcome, int, router.Time) {
}

// Checked implements core.Module.
func (m *script) Checked(router.Time, router.WorkerID, router.Outcome, router.Time, []float64) {}

// Reminded implements core.Module.
func (m *script) Reminded(router.Time, uint64) {}

// Renew implements core.Module.
func (m *script) Renew(router.Time, router.Prepared) {}

// Halted implements core.Module.
func (m *script) Halted(router.FunctionID) bool { return false }

// Settle implements core.Module.
func (m *script) Settle(router.Time) {}

// notes are what a client, or a link, was told.
type notes []string

// OK implements Client.
func (n *notes) OK(result, _ []byte) { *n = append(*n, "ok "+string(result)) }

// Denied implements Client.
func (n *notes) Denied(router.Time) { *n = append(*n, "denied") }

// Aborted implements Client.
func (n *notes) Aborted(string) { *n = append(*n, "aborted") }

// Moved implements Client.
func (n *notes) Moved(bool) {}

// Send implements Link.
func (n *notes) Send(id CallOutID, _ *RPC, _, _ router.Time) {
	*n = append(*n, fmt.Sprint("send ", id))
}

// CallOff implements Link.
func (n *notes) CallOff(id CallOutID) { *n = append(*n, fmt.Sprint("call off ", id)) }

// Unhold implements Link.
func (n *notes) Unhold(OrderID) {}

// Hold implements Link.
func (n *notes) Hold(OrderID, string, Function, int, router.Time) {}

// Check implements Link.
func (n *notes) Check(CheckID) {}

// rig is an engine with one worker, whose module sends all there.
func rig(now router.Time) (e *Engine, m *script, link *notes) {
	m, link = &script{}, &notes{}
	e = New(Options{Settings: router.Settings{"may.call-outs": 3., "may.overlap": true}, Now: now, Log: func(string) {},
		Module: func(port router.Port, _ router.Time, _ int64, _ router.Settings) core.Module { m.port = port; return m }})
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
		e.Take(router.MethodID(i), m, 0, "f", Function{}, "", 500, false, nil, nil, &got[i])
	}
	e.AnswerAll()
	e.AnswerAll()
	for id := range e.rpcs {
		e.Answered(CallOutID(uint64(id)<<8), 1, router.OK, router.StoodWarm, 0, nil, []byte("late"), nil)
	}
	e.Begin(2000)
	e.End()
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
		p := e.Take(0, &Method{Name: "m", Effect: router.SideEffecting, Deadline: 1000}, 0, "f", Function{}, "", 500, false, nil, nil, &got)
		id := CallOutID(uint64(p.id) << 8)
		e.Begin(p.end)
		answer := func() bool {
			return e.Answered(id, 1, router.OK, router.StoodWarm, 0, nil, []byte("a"), nil)
		}
		if answerFirst {
			if !answer() {
				t.Error("the answer was passed over")
			}
		}
		e.End()
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
	p := e.Take(0, &Method{Name: "m", Effect: router.Idempotent, Deadline: 1000}, 0, "f", Function{}, "", 500, false, nil, nil, &got)
	p.Left()
	m.port.Send(p.id, 1, 0, math.MaxInt64)
	e.Begin(1001)
	e.End()
	if want := (notes{"send 256", "call off 256"}); !slices.Equal(*link, want) || len(got) > 0 {
		t.Errorf("the link was told %v, the client %v", *link, got)
	}
}

// TestForgets: names of functions, and workers that are gone, are kept while something is out, and for a while.
func TestForgets(t *testing.T) {
	e, _, _ := rig(1000)
	var got notes
	m := &Method{Name: "m", Effect: router.Idempotent, Deadline: 1000}
	f := e.Take(0, m, 0, "f", Function{}, "", 500, false, nil, nil, &got)
	f.Left()
	e.Answered(CallOutID(uint64(f.id)<<8), 1, router.CalledOff, router.Untold, 0, nil, nil, nil)
	e.Take(0, m, 0, "g", Function{}, "", router.Time(1e9), false, nil, nil, &got)
	list := func(form router.ListForm, state router.Readiness, names ...string) {
		e.ListBegins(form, 1)
		for _, name := range names {
			if err := e.Listed(name, state, 0, 0, 0, 0); err != nil {
				t.Fatal(err)
			}
		}
		e.ListEnds()
	}
	list(router.Whole, router.Ready, "a", "b", "c", "d")
	list(router.Changes, router.Gone, "a", "d")
	list(router.Whole, router.Ready, "c", "d")
	for _, c := range []struct {
		at             router.Time
		names, workers int
	}{{1000 + forgetAfter - 1, 2, 5}, {1000 + forgetAfter + forgetLook, 1, 2}} {
		e.Begin(c.at)
		e.End()
		if len(e.names) != c.names || len(e.workers) != c.workers { // the rig's own worker is not in the whole list
			t.Errorf("at %d: %d names, %d workers, want %d, %d", c.at, len(e.names), len(e.workers), c.names, c.workers)
		}
	}
}

// TestGivenUpTellsWhy: who runs a front end sees which bound held an RPC that is refused.
func TestGivenUpTellsWhy(t *testing.T) {
	told := []router.Reason{}
	e := New(Options{Now: 1e6, Log: func(string) {}, GivenUp: func(_ *RPC, why router.Reason) { told = append(told, why) },
		Settings: router.Settings{terms.Methods: 1.0, terms.At(terms.Methods, 0, terms.Effect): router.Idempotent,
			terms.Path(terms.May, terms.CallOuts): 3.0}})
	now := router.Time(1e6)
	e.Begin(now)
	p := e.Take(0, &Method{Name: "m", Effect: router.Idempotent, Deadline: 30000}, 0, "f", Function{Lanes: 1}, "", 30000, false, nil, nil, idle{})
	e.End()
	for end := now + 30000; now < end && e.Counts().Open > 0; now += 100 {
		e.Begin(now)
		e.End()
	}
	if len(told) != 1 || told[0] != router.NotReady || p.CallOuts() != 0 {
		t.Errorf("told %v after %d call-outs", told, p.CallOuts())
	}
}
