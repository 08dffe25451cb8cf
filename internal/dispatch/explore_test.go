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

// The explorer plays every order of the events below, to a depth, on the real gate, repeats, leaving, engine and
// module, under a clock of its own: two clients ask for the same thing, cancel, leave; a worker answers in every way,
// goes and drains; time passes. After each order it lets time run out and checks what was owed.

// world is one play. It is the link to the only worker.
type world struct {
	d       *Dispatcher
	e       *engine.Engine
	now     router.Time
	effect  string
	conns   [2]*Conn
	replies [2]reply
	asked   [2]bool
	left    [2]bool
	out     []engine.CallOutID        // at the worker, without an end
	ran     map[engine.CallOutID]bool // RPCs of which a call-out is not proved never to have run
	broken  string
	drained bool
}

// Send implements engine.Link.
func (w *world) Send(id engine.CallOutID, _ *engine.RPC, _, _ router.Time) {
	rpc := id >> 8
	beside := slices.ContainsFunc(w.out, func(o engine.CallOutID) bool { return o>>8 == rpc })
	switch {
	case w.drained:
		w.broken = "sent to a drained worker"
	case w.effect == router.SideEffecting && w.ran[rpc]:
		w.broken = "a side-effecting RPC sent again though it may have run"
	case beside:
		w.broken = "an RPC sent beside itself"
	}
	w.out = append(w.out, id)
}

// CancelCallOut implements engine.Link.
func (w *world) CancelCallOut(engine.CallOutID) {}

// CancelLoadOrder implements engine.Link.
func (w *world) CancelLoadOrder(engine.OrderID) {}

// OrderLoad implements engine.Link.
func (w *world) OrderLoad(engine.OrderID, string, engine.FunctionSpec, int, router.Time) {}

// Check implements engine.Link.
func (w *world) Check(engine.CheckID) {}

func newWorld(effect string) *world {
	w := &world{effect: effect, now: 1e6, ran: map[engine.CallOutID]bool{}}
	method := engine.Method{Name: "m", Effect: effect, Group: "all", Gain: 1, Deadline: 10000}
	w.e = engine.New(engine.Options{Now: w.now, CancelWait: 1000, Log: func(string) {}, Settings: router.Settings{
		settingkeys.Methods: 1.0, settingkeys.Item(settingkeys.Methods, 0, settingkeys.Effect): effect,
		settingkeys.Item(settingkeys.Methods, 0, settingkeys.Group): "all", settingkeys.Item(settingkeys.Methods, 0, settingkeys.Window): 20000.0,
		settingkeys.Join(settingkeys.May, settingkeys.CallOuts): 3.0, settingkeys.Join(settingkeys.May, settingkeys.Retract): true}})
	w.d = New(w.e, Options{Methods: []engine.Method{method}, Limits: admission.Settings{MaxHeld: 64, MaxRetryAfter: 5000},
		FunctionSpec: func(int, string) engine.FunctionSpec {
			return engine.FunctionSpec{MemoryMB: 100, Lanes: 4, LoadTime: 1000}
		}})
	for i := range w.conns {
		w.conns[i] = w.d.OpenConn(admission.PeerID(i))
	}
	w.turn(func() {
		w.e.BeginWorkerList(router.ListComplete, 1)
		if err := w.e.AddListedWorker("w", router.Ready, 0, 0, 0, 0); err != nil {
			w.broken = err.Error()
		}
		w.e.EndWorkerList()
		w.e.SetLink("w", w)
	})
	return w
}

// reply keeps what one client is told.
type reply struct{ told []string }

func (r *reply) OK([]byte, []byte)          { r.told = append(r.told, "ok") }
func (r *reply) Denied(string, router.Time) { r.told = append(r.told, "denied") }
func (r *reply) Aborted(string)             { r.told = append(r.told, "aborted") }
func (r *reply) Rejected(string)            { r.told = append(r.told, "refused") }

// turn is one of the front end's, as the gateway has it.
func (w *world) turn(f func()) {
	w.d.BeginTurn(w.now)
	w.e.BeginTurn(w.now)
	f()
	w.d.Admit()
	w.e.EndTurn()
}

// pass lets time go on, with all turns that fall due.
func (w *world) pass(span router.Time) {
	end := w.now + span
	for {
		due, any := w.e.NextDue()
		if d, is := w.d.NextDue(); is && (!any || d < due) {
			due, any = d, true
		}
		if !any || due > end {
			break
		}
		w.now = max(due, w.now)
		w.turn(func() {})
	}
	w.now = end
	w.turn(func() {})
}

func (w *world) answer(o router.Outcome) func() {
	return func() {
		id := w.out[0]
		w.out = w.out[1:]
		if o != router.Full && o != router.ConnectFailed && o != router.NotLoaded {
			w.ran[id>>8] = true
		}
		w.e.CallOutEnded(id, nameid.Worker("w"), o, router.WarmthUnknown, 0, nil, []byte("1"), nil)
	}
}

// events are what may happen, and whether each can now.
var events = []struct {
	name string
	can  func(w *world) bool
	do   func(w *world)
}{
	{"A asks", func(w *world) bool { return !w.asked[0] }, func(w *world) { w.ask(0) }},
	{"B asks", func(w *world) bool { return !w.asked[1] }, func(w *world) { w.ask(1) }},
	{"A cancels", func(w *world) bool { return w.open(0) }, func(w *world) { w.cancel(0) }},
	{"B cancels", func(w *world) bool { return w.open(1) }, func(w *world) { w.cancel(1) }},
	{"A leaves", func(w *world) bool { return w.asked[0] && !w.left[0] }, func(w *world) { w.leave(0) }},
	{"B leaves", func(w *world) bool { return w.asked[1] && !w.left[1] }, func(w *world) { w.leave(1) }},
	{"ok", out, func(w *world) { w.turn(w.answer(router.OK)) }},
	{"full", out, func(w *world) { w.turn(w.answer(router.Full)) }},
	{"failed", out, func(w *world) { w.turn(w.answer(router.Errored)) }},
	{"called off", out, func(w *world) { w.turn(w.answer(router.Cancelled)) }},
	{"reset", out, func(w *world) { w.turn(w.answer(router.Reset)) }},
	{"never reached", out, func(w *world) { w.turn(w.answer(router.ConnectFailed)) }},
	{"drain", func(w *world) bool { return !w.drained }, func(w *world) {
		w.turn(func() {
			w.drained = true
			w.e.BeginWorkerList(router.ListChanges, 2)
			_ = w.e.AddListedWorker("w", router.Draining, 0, 0, 0, 0)
			w.e.EndWorkerList()
		})
	}},
	{"0.3 s pass", func(w *world) bool { return true }, func(w *world) { w.pass(3000) }},
}

func out(w *world) bool { return len(w.out) > 0 }

func (w *world) open(i int) bool { return len(w.conns[i].open) > 0 }

func (w *world) ask(i int) {
	w.asked[i] = true
	w.turn(func() {
		w.conns[i].Submit(Params{Function: "f", Token: "t", TimeoutMS: -1, Payload: []byte("1")}, 0, &w.replies[i])
	})
}

func (w *world) cancel(i int) {
	w.turn(func() {
		for p := range w.conns[i].open {
			p.Cancel()
		}
	})
}

func (w *world) leave(i int) {
	w.left[i] = true
	w.turn(w.conns[i].Close)
}

// verdict lets time run out and tells what is wrong.
func (w *world) verdict() string {
	ran := len(w.ran) > 0 || len(w.out) > 0 // what is out and unanswered may have run
	w.pass(30000)
	if w.broken != "" {
		return w.broken
	}
	for i := range w.conns {
		told := w.replies[i].told
		n := len(told)
		switch {
		case !w.asked[i] && n > 0, n > 1, w.asked[i] && !w.left[i] && n != 1:
			return fmt.Sprintf("client %d has %d answers: %s", i, n, told)
		case w.effect == router.SideEffecting && ran && !w.asked[1-i] && slices.Contains(told, "denied"):
			return "denied, though it may have run"
		}
	}
	if c := w.e.Counts(); c.Open > 0 || w.d.Waiting() > 0 || w.d.TokenedInProgress() > 0 || len(w.conns[0].open)+len(w.conns[1].open) > 0 {
		return fmt.Sprintf("something is still open: %+v", c)
	}
	return ""
}

func TestEveryOrder(t *testing.T) {
	const depth = 5
	for _, effect := range []string{router.Idempotent, router.Tokened, router.SideEffecting} {
		t.Run(effect, func(t *testing.T) {
			t.Parallel()
			plays, failed := 0, 0
			var explore func(order []int)
			explore = func(order []int) {
				w := newWorld(effect)
				for _, i := range order {
					if !events[i].can(w) {
						return
					}
					events[i].do(w)
				}
				if len(order) < depth {
					for i := range events {
						explore(append(order[:len(order):len(order)], i))
					}
					return
				}
				plays++
				if wrong := w.verdict(); wrong != "" && failed < 5 {
					failed++
					names := []string{}
					for _, i := range order {
						names = append(names, events[i].name)
					}
					t.Errorf("%s: %s", strings.Join(names, ", "), wrong)
				}
			}
			explore(nil)
			if plays < 3000 {
				t.Errorf("only %d orders", plays)
			}
			t.Logf("%d orders", plays)
		})
	}
}
