package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"mallowlanding/internal/admission"
	"mallowlanding/internal/engine"
	"mallowlanding/internal/nameid"
	"mallowlanding/internal/settingkeys"
	"mallowlanding/router"
)

// The test below runs every order of the events listed in this file, up to a length, on the real dispatcher, engine and
// router with a simulated clock: two clients send the same request, cancel it and leave; a worker answers in every way,
// fails and drains; time passes. After each order it lets all time limits expire and checks the answers.

// simulation is one run of the test. It implements the link to the only worker.
type simulation struct {
	dispatcher *Dispatcher
	engine     *engine.Engine
	now        router.Time
	effect     string
	conns      [2]*Conn
	replies    [2]recordedResponder
	submitted  [2]bool
	closed     [2]bool
	inFlight   []engine.CallOutID        // call-outs at the worker that have not ended
	mayHaveRun map[engine.CallOutID]bool // by RPC: a call-out has ended that may have run
	violation  string
	drained    bool
}

// Send implements engine.Link.
func (s *simulation) Send(id engine.CallOutID, _ *engine.RPC, _, _ router.Time) {
	rpc := id >> 8
	alreadyInFlight := slices.ContainsFunc(s.inFlight, func(o engine.CallOutID) bool { return o>>8 == rpc })
	switch {
	case s.drained:
		s.violation = "call-out sent to a drained worker"
	case s.effect == router.SideEffecting && s.mayHaveRun[rpc]:
		s.violation = "side-effecting RPC sent again although it may have run"
	case alreadyInFlight:
		s.violation = "RPC sent while another of its call-outs is in flight"
	}
	s.inFlight = append(s.inFlight, id)
}

// CancelCallOut implements engine.Link.
func (s *simulation) CancelCallOut(engine.CallOutID) bool { return false }

// CancelLoadOrder implements engine.Link.
func (s *simulation) CancelLoadOrder(engine.OrderID) {}

// OrderLoad implements engine.Link.
func (s *simulation) OrderLoad(engine.OrderID, string, engine.FunctionSpec, int, router.Time) {}

// Check implements engine.Link.
func (s *simulation) Check(engine.CheckID) {}

func newSimulation(effect string) *simulation {
	s := &simulation{effect: effect, now: 1e6, mayHaveRun: map[engine.CallOutID]bool{}}
	method := engine.Method{Name: "m", Effect: effect, Group: "all", Gain: 1, Deadline: 10000}
	s.engine = engine.New(engine.Options{Now: s.now, CancelWait: 1000, Log: func(string) {}, Settings: router.Settings{
		settingkeys.Methods: 1.0, settingkeys.Item(settingkeys.Methods, 0, settingkeys.Effect): effect,
		settingkeys.Item(settingkeys.Methods, 0, settingkeys.Group):  "all",
		settingkeys.Item(settingkeys.Methods, 0, settingkeys.Window): 20000.0,
		settingkeys.Join(settingkeys.May, settingkeys.CallOuts):      3.0,
		settingkeys.Join(settingkeys.May, settingkeys.Retract):       true}})
	s.dispatcher = New(s.engine, Options{Methods: []engine.Method{method},
		Limits: admission.Settings{MaxRouterQueued: 64, MaxRetryAfter: 5000},
		FunctionSpec: func(int, string) engine.FunctionSpec {
			return engine.FunctionSpec{MemoryMB: 100, Lanes: 4, LoadTime: 1000}
		}})
	for i := range s.conns {
		s.conns[i] = s.dispatcher.OpenConn(admission.PeerID(i))
	}
	s.runTurn(func() {
		s.engine.BeginWorkerList(router.ListComplete, 1)
		if err := s.engine.AddListedWorker("w", router.Ready, 0, 0, 0, 0); err != nil {
			s.violation = err.Error()
		}
		s.engine.EndWorkerList()
		s.engine.SetLink("w", s)
	})
	return s
}

// recordedResponder records the answers to one client.
type recordedResponder struct{ answers []string }

func (r *recordedResponder) OK([]byte, []byte)          { r.answers = append(r.answers, "ok") }
func (r *recordedResponder) Denied(string, router.Time) { r.answers = append(r.answers, "denied") }
func (r *recordedResponder) Aborted(string)             { r.answers = append(r.answers, "aborted") }
func (r *recordedResponder) Rejected(string)            { r.answers = append(r.answers, "refused") }

// runTurn runs one turn of the event loop, in the same steps as the gateway.
func (s *simulation) runTurn(f func()) {
	s.dispatcher.BeginTurn(s.now)
	s.engine.BeginTurn(s.now)
	f()
	s.dispatcher.Admit()
	s.engine.EndTurn()
}

// advance moves the clock on and runs all turns that are due.
func (s *simulation) advance(span router.Time) {
	end := s.now + span
	for {
		due, found := s.engine.NextDue()
		if d, ok := s.dispatcher.NextDue(); ok && (!found || d < due) {
			due, found = d, true
		}
		if !found || due > end {
			break
		}
		s.now = max(due, s.now)
		s.runTurn(func() {})
	}
	s.now = end
	s.runTurn(func() {})
}

// endCallOut returns an event that ends the oldest call-out in flight.
func (s *simulation) endCallOut(o router.Outcome) func() {
	return func() {
		id := s.inFlight[0]
		s.inFlight = s.inFlight[1:]
		if o != router.Full && o != router.ConnectFailed && o != router.NotLoaded {
			s.mayHaveRun[id>>8] = true
		}
		s.engine.CallOutEnded(id, nameid.Worker("w"), o, router.WarmthUnknown, 0, nil, []byte("1"), nil)
	}
}

// events lists the events of a run; possible reports whether an event can happen in the current state.
var events = []struct {
	name     string
	possible func(s *simulation) bool
	do       func(s *simulation)
}{
	{"A submits", func(s *simulation) bool { return !s.submitted[0] }, func(s *simulation) { s.submit(0) }},
	{"B submits", func(s *simulation) bool { return !s.submitted[1] }, func(s *simulation) { s.submit(1) }},
	{"A cancels", func(s *simulation) bool { return s.isOpen(0) }, func(s *simulation) { s.cancel(0) }},
	{"B cancels", func(s *simulation) bool { return s.isOpen(1) }, func(s *simulation) { s.cancel(1) }},
	{"A leaves", func(s *simulation) bool { return s.submitted[0] && !s.closed[0] }, func(s *simulation) { s.closeConn(0) }},
	{"B leaves", func(s *simulation) bool { return s.submitted[1] && !s.closed[1] }, func(s *simulation) { s.closeConn(1) }},
	{"ok", hasCallOut, func(s *simulation) { s.runTurn(s.endCallOut(router.OK)) }},
	{"full", hasCallOut, func(s *simulation) { s.runTurn(s.endCallOut(router.Full)) }},
	{"failed", hasCallOut, func(s *simulation) { s.runTurn(s.endCallOut(router.Errored)) }},
	{"cancelled", hasCallOut, func(s *simulation) { s.runTurn(s.endCallOut(router.Cancelled)) }},
	{"reset", hasCallOut, func(s *simulation) { s.runTurn(s.endCallOut(router.Reset)) }},
	{"connection failed", hasCallOut, func(s *simulation) { s.runTurn(s.endCallOut(router.ConnectFailed)) }},
	{"drain", func(s *simulation) bool { return !s.drained }, func(s *simulation) {
		s.runTurn(func() {
			s.drained = true
			s.engine.BeginWorkerList(router.ListChanges, 2)
			_ = s.engine.AddListedWorker("w", router.Draining, 0, 0, 0, 0)
			s.engine.EndWorkerList()
		})
	}},
	{"0.3 s pass", func(s *simulation) bool { return true }, func(s *simulation) { s.advance(3000) }},
}

func hasCallOut(s *simulation) bool { return len(s.inFlight) > 0 }

func (s *simulation) isOpen(i int) bool { return len(s.conns[i].open) > 0 }

func (s *simulation) submit(i int) {
	s.submitted[i] = true
	s.runTurn(func() {
		s.conns[i].Submit(Params{Function: "f", Token: "t", TimeoutMS: -1, Payload: []byte("1")}, 0, &s.replies[i])
	})
}

func (s *simulation) cancel(i int) {
	s.runTurn(func() {
		for p := range s.conns[i].open {
			p.Cancel()
		}
	})
}

func (s *simulation) closeConn(i int) {
	s.closed[i] = true
	s.runTurn(s.conns[i].Close)
}

// checkOutcome lets all time limits expire and returns what is wrong, empty if nothing is.
func (s *simulation) checkOutcome() string {
	mayHaveRun := len(s.mayHaveRun) > 0 || len(s.inFlight) > 0 // call-outs in flight may have run
	s.advance(30000)
	if s.violation != "" {
		return s.violation
	}
	for i := range s.conns {
		answers := s.replies[i].answers
		n := len(answers)
		switch {
		case !s.submitted[i] && n > 0, n > 1, s.submitted[i] && !s.closed[i] && n != 1:
			return fmt.Sprintf("client %d has %d answers: %s", i, n, answers)
		case s.effect == router.SideEffecting && mayHaveRun && !s.submitted[1-i] && slices.Contains(answers, "denied"):
			return "denied although it may have run"
		}
	}
	if c := s.engine.Counts(); c.Open > 0 || s.dispatcher.Waiting() > 0 || s.dispatcher.TokenedInProgress() > 0 ||
		len(s.conns[0].open)+len(s.conns[1].open) > 0 {
		return fmt.Sprintf("RPCs or requests are still open at the end: %+v", c)
	}
	return ""
}

// TestAllEventOrders checks that every client gets exactly one answer, that a denied RPC has not run unless a repeat is
// harmless, and that nothing stays open, whatever the order of events.
func TestAllEventOrders(t *testing.T) {
	const depth = 5
	for _, effect := range []string{router.Idempotent, router.Tokened, router.SideEffecting} {
		t.Run(effect, func(t *testing.T) {
			t.Parallel()
			runs, failed := 0, 0
			var explore func(order []int)
			explore = func(order []int) {
				s := newSimulation(effect)
				for _, i := range order {
					if !events[i].possible(s) {
						return
					}
					events[i].do(s)
				}
				if len(order) < depth {
					for i := range events {
						explore(append(order[:len(order):len(order)], i))
					}
					return
				}
				runs++
				if violation := s.checkOutcome(); violation != "" && failed < 5 {
					failed++
					names := []string{}
					for _, i := range order {
						names = append(names, events[i].name)
					}
					t.Errorf("%s: %s", strings.Join(names, ", "), violation)
				}
			}
			explore(nil)
			if runs < 3000 {
				t.Errorf("only %d orders were run, want at least 3000", runs)
			}
			t.Logf("%d orders were run", runs)
		})
	}
}
