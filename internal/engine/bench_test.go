package engine

import (
	"testing"

	"mallowlanding/internal/ident"
	"mallowlanding/internal/terms"
	"mallowlanding/router"
)

type idle struct{}

func (idle) OK([]byte, []byte)  {}
func (idle) Denied(router.Time) {}
func (idle) Aborted(string)     {}
func (idle) Moved(bool)         {}

// prompt answers each call-out in the turn after.
type prompt struct {
	e    *Engine
	sent []CallOutID
}

func (l *prompt) Send(id CallOutID, _ *RPC, _, _ router.Time)      { l.sent = append(l.sent, id) }
func (l *prompt) Unhold(OrderID)                                   {}
func (l *prompt) CallOff(CallOutID)                                {}
func (l *prompt) Hold(OrderID, string, Function, int, router.Time) {}
func (l *prompt) Check(CheckID)                                    {}

// BenchmarkWarm is the engine and the module alone: one RPC on a warm copy, two turns.
func BenchmarkWarm(b *testing.B) {
	e := New(Options{Now: 1e6, Log: func(string) {}, Settings: router.Settings{
		terms.Methods: 1.0, terms.At(terms.Methods, 0, terms.Effect): router.Idempotent,
		terms.Path(terms.May, terms.CallOuts): 3.0}})
	l := &prompt{e: e}
	now := router.Time(1e6)
	e.Begin(now)
	e.ListBegins(router.Whole, 1)
	if err := e.Listed("w", router.Ready, 0, 0, 0, 0); err != nil {
		b.Fatal(err)
	}
	e.ListEnds()
	e.Connect("w", l)
	e.End()
	w, m := ident.Worker("w"), &Method{Name: "m", Effect: router.Idempotent, Deadline: 30000}
	b.ReportAllocs()
	for range b.N {
		now++
		e.Begin(now)
		e.Take(0, m, 0, "f", Function{Memory: 100, Lanes: 4, Load: 100}, "", 30000, false, nil, nil, idle{})
		e.End()
		now++
		e.Begin(now)
		for _, id := range l.sent {
			e.Answered(id, w, router.OK, router.StoodWarm, 0, nil, nil, nil)
		}
		l.sent = l.sent[:0]
		e.End()
	}
	if c := e.Counts(); c.OK != uint64(b.N) {
		b.Fatalf("%+v", c)
	}
}
