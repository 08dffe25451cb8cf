package simadapter

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"

	"mallowlanding/internal/operatorsettings"
	"mallowlanding/internal/routing"
	"mallowlanding/router"
)

const (
	nsPerUnit = 100_000 // the module counts in tenths of a millisecond
	entrySize = 22
	lists     = 16
)

var (
	outcomes = map[uint8]router.Outcome{
		10: router.OK, 20: router.Errored, 30: router.Full, 40: router.TimedOut, 50: router.ConnectFailed,
		60: router.Reset, 70: router.Cancelled, 80: router.NotSent, 90: router.NotLoaded,
	}
	readiness = map[uint8]router.Readiness{0: router.Removed, 1: router.Ready, 2: router.Draining}
	forms     = map[uint8]router.ListUpdate{
		0: router.ListChanges, 1: router.ListComplete, 2: router.ListCached, 3: router.ListFailed,
	}
	errUnknown = errors.New("unknown value")
)

// host holds the instances of one process; they share the reply buffer and the lists' bytes, nothing else.
type host struct {
	instances map[uint16]*instance
	lists     [lists][]byte
	out       writer
	speaker   *instance // whose actions the reply is taking
	now       router.Time
}

// instance is one front end. It is the router's Port.
type instance struct {
	h      *host
	number uint16
	router *routing.FrontEndRouter
}

// Serve answers batches until the end of input.
func Serve(in io.Reader, out io.Writer) error {
	h := &host{instances: map[uint16]*instance{}}
	buffered := bufio.NewReaderSize(in, 1<<16)
	for {
		records, clock, body, err := readFrame(buffered)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		broken, err := h.batch(records, clock, body)
		if err != nil {
			return err
		}
		if _, err := out.Write(h.out.finish()); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
		if broken != nil {
			return broken
		}
	}
}

// batch takes one frame's events in order. A panic of the module becomes a BROKEN reply and the first error.
func (h *host) batch(records uint32, clock uint64, body []byte) (broken, malformed error) {
	h.out.reset()
	h.speaker = nil
	h.now = router.Time(clock / nsPerUnit)
	var current *instance
	var touched []*instance
	number, named := uint16(0), false
	defer func() {
		if p := recover(); p != nil {
			broken = fmt.Errorf("router failed: %v", p)
			h.out.reset()
			h.out.record(150)
			h.out.u16(number)
			h.out.record(100)
			h.out.text(broken.Error())
		}
	}()
	r := &reader{b: body}
	for i := range records {
		code := r.u8()
		var err error
		switch {
		case r.err != nil:
			err = r.err
		case code == 20:
			number, named = r.u16(), true
			current = h.instances[number]
			if current != nil {
				touched = append(touched, current)
			}
		case code == 80:
			err = h.keepList(r)
		case !named:
			err = errors.New("no instance named before it")
		case code == 110:
			if current, err = h.up(number, r); err == nil {
				touched = append(touched, current)
			}
		case code == 90:
			delete(h.instances, number)
			current = nil
		default:
			err = h.event(current, code, r)
		}
		if err == nil {
			err = r.err
		}
		if err != nil {
			return nil, fmt.Errorf("record %d, code %d: %w", i+1, code, err)
		}
	}
	if len(r.b) != 0 {
		return nil, fmt.Errorf("%d bytes left over after %d records", len(r.b), records)
	}
	for i, in := range touched {
		if h.instances[in.number] == in && !seen(touched[:i], in) {
			number = in.number
			in.router.Dispatch(h.now)
		}
	}
	return nil, nil
}

func seen(before []*instance, in *instance) bool {
	for _, b := range before {
		if b == in {
			return true
		}
	}
	return false
}

func (h *host) keepList(r *reader) error {
	slot, n := r.u8(), r.u32()
	entries := r.take(uint64(n) * entrySize)
	if r.err != nil {
		return r.err
	}
	if slot >= lists {
		return fmt.Errorf("list number %d: %w", slot, errUnknown)
	}
	for at := 16; at < len(entries); at += entrySize {
		if _, known := readiness[entries[at]]; !known {
			return fmt.Errorf("readiness %d: %w", entries[at], errUnknown)
		}
	}
	h.lists[slot] = append([]byte(nil), entries...)
	return nil
}

func (h *host) up(number uint16, r *reader) (*instance, error) {
	seed := r.u64()
	text := r.take(uint64(r.u32()))
	if r.err != nil {
		return nil, r.err
	}
	s, err := operatorsettings.Parse(text)
	if err != nil {
		return nil, err
	}
	in := &instance{h: h, number: number}
	h.instances[number] = in
	in.router = routing.New(nil, in, h.now, int64(seed), s)
	return in, nil
}

func span(ns uint64) router.Time { return router.Time(min(ns, math.MaxInt64) / nsPerUnit) }

func (r *reader) report() []float64 { return r.f32s(int(r.u8())) }

func (r *reader) outcome() router.Outcome {
	code := r.u8()
	o, known := outcomes[code]
	if !known && r.err == nil {
		r.err = fmt.Errorf("outcome %d: %w", code, errUnknown)
	}
	return o
}

// event hands one event to the instance; an event for a front end that is not up is read and dropped.
func (h *host) event(in *instance, code uint8, r *reader) error {
	switch code {
	case 10:
		if token := r.u64(); in != nil && r.err == nil {
			in.router.TimerFired(h.now, token)
		}
	case 30:
		h.result(in, r)
	case 40:
		o, fn, w, n := r.outcome(), r.u64(), r.u32(), r.u8()
		delay := r.u64()
		if in != nil && r.err == nil {
			in.router.LoadOrderEnded(h.now, router.WorkerID(w), router.FunctionID(fn), o, int(n), span(delay))
		}
	case 50:
		r.take(4 + 4 + 8 + 1) // streams are no kind of method here
	case 60:
		o, delay, w := r.outcome(), r.u64(), r.u32()
		report := r.report()
		if in != nil && r.err == nil {
			in.router.CheckEnded(h.now, router.WorkerID(w), o, span(delay), report)
		}
	case 70:
		if id := r.u32(); in != nil && r.err == nil {
			in.router.ClientLeft(h.now, router.RPCID(id))
		}
	case 100:
		r.u16()
		r.take(uint64(r.u16()))
	case 120:
		return h.targets(in, r)
	case 130:
		h.order(in, r)
	default:
		return errors.New("unknown code")
	}
	return r.err
}

func (h *host) result(in *instance, r *reader) {
	id, complete, n, w := r.u32(), r.u8(), r.u8(), r.u32()
	o, detail, delay := r.outcome(), r.u32(), r.u64()
	report := r.report()
	if in == nil || r.err != nil {
		return
	}
	in.router.CallOutEnded(h.now, router.RPCID(id), int(n), router.WorkerID(w), o, complete != 0,
		router.Warmth(detail%8), int(detail/8), span(delay), report)
}

func (h *host) order(in *instance, r *reader) {
	id, method, customer, fn := r.u32(), r.u16(), r.u32(), r.u64()
	budget, cost := r.u64(), r.u64()
	memory, lanes, load, bits := r.f32(), r.f32(), r.f32(), r.u8()
	if in == nil || r.err != nil {
		return
	}
	if bits&1 == 0 {
		cost = 0
	}
	in.router.Submit(h.now, router.RPCID(id), router.MethodID(method),
		router.CustomerID(customer), router.FunctionID(fn), span(budget), float64(cost)/nsPerUnit,
		memory, int(lanes), router.Time(load*1e6/nsPerUnit), bits&2 != 0)
}

func (h *host) targets(in *instance, r *reader) error {
	code, version, slot := r.u8(), r.u64(), r.u8()
	if r.err != nil {
		return r.err
	}
	form, known := forms[code]
	if !known {
		return fmt.Errorf("list form %d: %w", code, errUnknown)
	}
	if form != router.ListFailed && (slot >= lists || h.lists[slot] == nil) {
		return fmt.Errorf("list number %d was never sent", slot)
	}
	if in == nil {
		return nil
	}
	in.router.BeginWorkerList(h.now, form, version)
	if form != router.ListFailed {
		for e := (&reader{b: h.lists[slot]}); len(e.b) > 0; {
			started, zone, w, cell := e.u64(), e.u16(), e.u32(), e.u16()
			state, kind, size := e.u8(), e.u8(), e.f32()
			in.router.AddListedWorker(h.now, router.WorkerID(w), readiness[state], router.Time(started/nsPerUnit),
				router.ZoneID(zone), router.CellID(cell), router.KindID(kind), size)
		}
	}
	in.router.EndWorkerList(h.now)
	return nil
}

func (in *instance) act(code uint8) *writer {
	out := &in.h.out
	if in.h.speaker != in {
		in.h.speaker = in
		out.record(150)
		out.u16(in.number)
	}
	out.record(code)
	return out
}

func ns(t router.Time) uint64 { return uint64(max(t, 0)) * nsPerUnit }

// Send implements router.Port.
func (in *instance) Send(rpc router.RPCID, w router.WorkerID, limit, _ router.Time) {
	out := in.act(10)
	out.u32(uint32(rpc))
	out.u32(uint32(w))
	out.u64(ns(limit))
}

// Deny implements router.Port.
func (in *instance) Deny(rpc router.RPCID, comeBack router.Time, _ router.Reason) {
	out := in.act(20)
	out.u32(uint32(rpc))
	out.u64(ns(comeBack))
	in.router.Release(rpc)
}

// Abort implements router.Port.
func (in *instance) Abort(rpc router.RPCID, _ router.Reason) {
	in.act(30).u32(uint32(rpc))
	in.router.Release(rpc)
}

// CancelCallOut implements router.Port.
func (in *instance) CancelCallOut(rpc router.RPCID, n int) {
	out := in.act(40)
	out.u32(uint32(rpc))
	out.u8(uint8(n))
}

// SetTimer implements router.Port.
func (in *instance) SetTimer(after router.Time, token uint64) {
	out := in.act(50)
	out.u64(ns(after))
	out.u64(token)
}

// Check implements router.Port.
func (in *instance) Check(w router.WorkerID) { in.act(60).u32(uint32(w)) }

// OrderLoad implements router.Port.
func (in *instance) OrderLoad(w router.WorkerID, fn router.FunctionID, n int, _ router.Time) {
	out := in.act(130)
	out.u64(uint64(fn))
	out.u8(uint8(n))
	out.u32(uint32(w))
}

// SubscribeWorkers implements router.Port.
func (in *instance) SubscribeWorkers() { in.act(110).u8(1) }

// Log implements router.Port.
func (in *instance) Log(text string) { in.act(90).text(text) }
