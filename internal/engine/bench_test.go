package engine

import (
	"testing"

	"mallowlanding/internal/nameid"
	"mallowlanding/internal/settingkeys"
	"mallowlanding/router"
)

type idle struct{}

func (idle) OK([]byte, []byte)  {}
func (idle) Denied(router.Time) {}
func (idle) Aborted(string)     {}
func (idle) HeldChanged(bool)   {}

// prompt answers each call-out in the turn after.
type prompt struct {
	e    *Engine
	sent []CallOutID
}

func (l *prompt) Send(id CallOutID, _ *RPC, _, _ router.Time)               { l.sent = append(l.sent, id) }
func (l *prompt) CancelLoadOrder(OrderID)                                   {}
func (l *prompt) CancelCallOut(CallOutID)                                   {}
func (l *prompt) OrderLoad(OrderID, string, FunctionSpec, int, router.Time) {}
func (l *prompt) Check(CheckID)                                             {}

// BenchmarkWarm is the engine and the module alone: one RPC on a warm copy, two turns.
func BenchmarkWarm(b *testing.B) {
	e := New(Options{Now: 1e6, Log: func(string) {}, Settings: router.Settings{
		settingkeys.Methods: 1.0, settingkeys.Item(settingkeys.Methods, 0, settingkeys.Effect): router.Idempotent,
		settingkeys.Join(settingkeys.May, settingkeys.CallOuts): 3.0}})
	l := &prompt{e: e}
	now := router.Time(1e6)
	e.BeginTurn(now)
	e.BeginWorkerList(router.ListComplete, 1)
	if err := e.AddListedWorker("w", router.Ready, 0, 0, 0, 0); err != nil {
		b.Fatal(err)
	}
	e.EndWorkerList()
	e.SetLink("w", l)
	e.EndTurn()
	w, m := nameid.Worker("w"), &Method{Name: "m", Effect: router.Idempotent, Deadline: 30000}
	b.ReportAllocs()
	for range b.N {
		now++
		e.BeginTurn(now)
		e.Submit(0, m, 0, "f", FunctionSpec{MemoryMB: 100, Lanes: 4, LoadTime: 100}, "", 30000, false, nil, nil, idle{})
		e.EndTurn()
		now++
		e.BeginTurn(now)
		for _, id := range l.sent {
			e.CallOutEnded(id, w, router.OK, router.AlreadyWarm, 0, nil, nil, nil)
		}
		l.sent = l.sent[:0]
		e.EndTurn()
	}
	if c := e.Counts(); c.OK != uint64(b.N) {
		b.Fatalf("%+v", c)
	}
}
