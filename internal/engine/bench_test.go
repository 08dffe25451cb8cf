package engine

import (
	"testing"

	"mallowlanding/internal/nameid"
	"mallowlanding/internal/settingkeys"
	"mallowlanding/router"
)

// ignoringClient is a Client that ignores its answer.
type ignoringClient struct{}

func (ignoringClient) OK([]byte, []byte)  {}
func (ignoringClient) Denied(router.Time) {}
func (ignoringClient) Aborted(string)     {}
func (ignoringClient) QueuedChanged(bool) {}

// promptLink is a link that collects the call-outs sent in a turn; the benchmark answers them in the next turn.
type promptLink struct {
	e    *Engine
	sent []CallOutID
}

func (l *promptLink) Send(id CallOutID, _ *RPC, _, _ router.Time)               { l.sent = append(l.sent, id) }
func (l *promptLink) CancelLoadOrder(OrderID)                                   {}
func (l *promptLink) CancelCallOut(CallOutID) bool                              { return false }
func (l *promptLink) OrderLoad(OrderID, string, FunctionSpec, int, router.Time) {}
func (l *promptLink) Check(CheckID)                                             {}

// BenchmarkWarm measures the engine and the router alone: one RPC on a warm copy, in two turns.
func BenchmarkWarm(b *testing.B) {
	e := New(Options{Now: 1e6, Log: func(string) {}, Settings: router.Settings{
		settingkeys.Methods: 1.0, settingkeys.Item(settingkeys.Methods, 0, settingkeys.Effect): router.Idempotent,
		settingkeys.Join(settingkeys.May, settingkeys.CallOuts): 3.0}})
	l := &promptLink{e: e}
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
		e.Submit(0, m, 0, "f", FunctionSpec{MemoryMB: 100, Lanes: 4, LoadTime: 100}, "", 30000, false, nil, nil, ignoringClient{})
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
