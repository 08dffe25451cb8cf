package simadapter

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"

	"mallowlanding/internal/operatorsettings"
	"mallowlanding/internal/routing"
	"mallowlanding/router"
)

const (
	nsPerUnit = 100_000 // router.Time counts tenths of a millisecond
	entrySize = 22      // bytes of an entry of a worker list
	maxLists  = 16      // worker lists kept for use by the instances
)

var (
	outcomes = map[uint8]router.Outcome{
		10: router.OK, 20: router.Errored, 30: router.Full, 40: router.TimedOut, 50: router.ConnectFailed,
		60: router.Reset, 70: router.Cancelled, 80: router.NotSent, 90: router.NotLoaded,
	}
	readiness   = map[uint8]router.Readiness{0: router.Removed, 1: router.Ready, 2: router.Draining}
	listUpdates = map[uint8]router.ListUpdate{
		0: router.ListChanges, 1: router.ListComplete, 2: router.ListCached, 3: router.ListFailed,
	}
	errUnknown = errors.New("unknown value")
)

// host holds the instances of one process. They share the reply and the bytes of the worker lists, nothing else.
type host struct {
	instances map[uint16]*instance
	lists     map[uint8][]byte // entries of the worker lists by number; a list that was sent may have none
	reply     writer
	acting    *instance // whose actions are being added to the reply
	now       router.Time
}

// instance is one front end. It implements router.Actions by records in the reply.
type instance struct {
	host   *host
	number uint16
	router *routing.FrontEndRouter
}

// Serve answers frames until the end of the input.
func Serve(in io.Reader, out io.Writer) error {
	h := &host{instances: map[uint16]*instance{}, lists: map[uint8][]byte{}}
	buffered := bufio.NewReaderSize(in, 1<<16)
	for {
		records, clock, body, err := readFrame(buffered)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		failure, err := h.handleBatch(records, clock, body)
		if err != nil {
			return err
		}
		if _, err := out.Write(h.reply.finish()); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
		if failure != nil {
			return failure
		}
	}
}

// handleBatch handles the events of one frame in order, and then dispatches at the instances concerned. A panic of a
// router becomes a reply with the record BROKEN and is returned as failure.
func (h *host) handleBatch(records uint32, clock uint64, body []byte) (failure, malformed error) {
	h.reply.reset()
	h.acting = nil
	h.now = router.Time(clock / nsPerUnit)
	var current *instance
	var affected []*instance
	number, selected := uint16(0), false
	defer func() {
		if p := recover(); p != nil {
			failure = fmt.Errorf("router failed: %v", p)
			h.reply.reset()
			h.reply.record(150) // the following records belong to this instance
			h.reply.u16(number)
			h.reply.record(100) // BROKEN
			h.reply.text(failure.Error())
		}
	}()
	r := &reader{buf: body}
	for i := range records {
		code := r.u8()
		var err error
		switch {
		case r.err != nil:
			err = r.err
		case code == 20: // select an instance for the following events
			number, selected = r.u16(), true
			current = h.instances[number]
			if current != nil {
				affected = append(affected, current)
			}
		case code == 80: // a worker list
			err = h.storeList(r)
		case !selected:
			err = errors.New("no instance selected before it")
		case code == 110: // start the instance
			if current, err = h.startInstance(number, r); err == nil {
				affected = append(affected, current)
			}
		case code == 90: // stop the instance
			delete(h.instances, number)
			current = nil
		default:
			err = h.handleEvent(current, code, r)
		}
		if err == nil {
			err = r.err
		}
		if err != nil {
			return nil, fmt.Errorf("record %d, code %d: %w", i+1, code, err)
		}
	}
	if len(r.buf) != 0 {
		return nil, fmt.Errorf("%d bytes left over after %d records", len(r.buf), records)
	}
	for i, inst := range affected {
		if h.instances[inst.number] == inst && !containsInstance(affected[:i], inst) {
			number = inst.number
			inst.router.Dispatch(h.now)
		}
	}
	return nil, nil
}

func containsInstance(list []*instance, inst *instance) bool {
	for _, other := range list {
		if other == inst {
			return true
		}
	}
	return false
}

// storeList keeps a worker list until an instance reads it.
func (h *host) storeList(r *reader) error {
	slot, n := r.u8(), r.u32()
	entries := r.next(uint64(n) * entrySize)
	if r.err != nil {
		return r.err
	}
	if slot >= maxLists {
		return fmt.Errorf("worker list number %d: %w", slot, errUnknown)
	}
	for offset := 16; offset < len(entries); offset += entrySize { // the readiness is at offset 16 of an entry
		if _, known := readiness[entries[offset]]; !known {
			return fmt.Errorf("readiness %d: %w", entries[offset], errUnknown)
		}
	}
	h.lists[slot] = slices.Clone(entries)
	return nil
}

func (h *host) startInstance(number uint16, r *reader) (*instance, error) {
	seed := r.u64()
	text := r.next(uint64(r.u32()))
	if r.err != nil {
		return nil, r.err
	}
	s, err := operatorsettings.Parse(text)
	if err != nil {
		return nil, err
	}
	inst := &instance{host: h, number: number}
	h.instances[number] = inst
	inst.router = routing.New(nil, inst, h.now, int64(seed), s)
	return inst, nil
}

func timeOf(ns uint64) router.Time { return router.Time(min(ns, math.MaxInt64) / nsPerUnit) }

func (r *reader) report() []float64 { return r.f32s(int(r.u8())) }

func (r *reader) outcome() router.Outcome {
	code := r.u8()
	o, known := outcomes[code]
	if !known && r.err == nil {
		r.err = fmt.Errorf("outcome %d: %w", code, errUnknown)
	}
	return o
}

// handleEvent passes one event to the instance. An event for an instance that is not running is decoded and dropped.
func (h *host) handleEvent(inst *instance, code uint8, r *reader) error {
	switch code {
	case 10: // timer
		if token := r.u64(); inst != nil && r.err == nil {
			inst.router.TimerFired(h.now, token)
		}
	case 30: // end of a call-out
		h.callOutEnded(inst, r)
	case 40: // end of a load order
		o, fn, w, n := r.outcome(), r.u64(), r.u32(), r.u8()
		delay := r.u64()
		if inst != nil && r.err == nil {
			inst.router.LoadOrderEnded(h.now, router.WorkerID(w), router.FunctionID(fn), o, int(n), timeOf(delay))
		}
	case 50: // stream
		r.next(4 + 4 + 8 + 1) // streams are not supported
	case 60: // end of a check
		o, delay, w := r.outcome(), r.u64(), r.u32()
		report := r.report()
		if inst != nil && r.err == nil {
			inst.router.CheckEnded(h.now, router.WorkerID(w), o, timeOf(delay), report)
		}
	case 70: // client left
		if id := r.u32(); inst != nil && r.err == nil {
			inst.router.ClientLeft(h.now, router.RPCID(id))
		}
	case 100: // a number and a text, ignored
		r.u16()
		r.next(uint64(r.u16()))
	case 120: // update of the worker list
		return h.workerList(inst, r)
	case 130: // new RPC
		h.submit(inst, r)
	default:
		return errors.New("unknown code")
	}
	return r.err
}

func (h *host) callOutEnded(inst *instance, r *reader) {
	id, complete, n, w := r.u32(), r.u8(), r.u8(), r.u32()
	o, detail, delay := r.outcome(), r.u32(), r.u64()
	report := r.report()
	if inst == nil || r.err != nil {
		return
	}
	inst.router.CallOutEnded(h.now, router.RPCID(id), int(n), router.WorkerID(w), o, complete != 0,
		router.Warmth(detail%8), int(detail/8), timeOf(delay), report)
}

func (h *host) submit(inst *instance, r *reader) {
	id, method, customer, fn := r.u32(), r.u16(), r.u32(), r.u64()
	budget, cost := r.u64(), r.u64()
	memory, lanes, load, flags := r.f32(), r.f32(), r.f32(), r.u8()
	if inst == nil || r.err != nil {
		return
	}
	if flags&1 == 0 {
		cost = 0
	}
	inst.router.Submit(h.now, router.RPCID(id), router.MethodID(method),
		router.CustomerID(customer), router.FunctionID(fn), timeOf(budget), float64(cost)/nsPerUnit,
		memory, int(lanes), router.Time(load*1e6/nsPerUnit), flags&2 != 0)
}

func (h *host) workerList(inst *instance, r *reader) error {
	code, version, slot := r.u8(), r.u64(), r.u8()
	if r.err != nil {
		return r.err
	}
	update, known := listUpdates[code]
	if !known {
		return fmt.Errorf("worker list update %d: %w", code, errUnknown)
	}
	entries, sent := h.lists[slot]
	if update != router.ListFailed && !sent {
		return fmt.Errorf("worker list number %d was never sent", slot)
	}
	if inst == nil {
		return nil
	}
	inst.router.BeginWorkerList(h.now, update, version)
	if update != router.ListFailed {
		for entry := (&reader{buf: entries}); len(entry.buf) > 0; {
			started, zone, w, cell := entry.u64(), entry.u16(), entry.u32(), entry.u16()
			state, kind, size := entry.u8(), entry.u8(), entry.f32()
			inst.router.AddListedWorker(h.now, router.WorkerID(w), readiness[state], router.Time(started/nsPerUnit),
				router.ZoneID(zone), router.CellID(cell), router.KindID(kind), size)
		}
	}
	inst.router.EndWorkerList(h.now)
	return nil
}

// beginAction adds a record to the reply, after one that names the instance if the last record belongs to another.
func (inst *instance) beginAction(code uint8) *writer {
	out := &inst.host.reply
	if inst.host.acting != inst {
		inst.host.acting = inst
		out.record(150)
		out.u16(inst.number)
	}
	out.record(code)
	return out
}

func nanoseconds(t router.Time) uint64 { return uint64(max(t, 0)) * nsPerUnit }

// Send implements router.Actions.
func (inst *instance) Send(rpc router.RPCID, w router.WorkerID, limit, _ router.Time) {
	out := inst.beginAction(10)
	out.u32(uint32(rpc))
	out.u32(uint32(w))
	out.u64(nanoseconds(limit))
}

// Deny implements router.Actions.
func (inst *instance) Deny(rpc router.RPCID, retryAfter router.Time, _ router.Reason) {
	out := inst.beginAction(20)
	out.u32(uint32(rpc))
	out.u64(nanoseconds(retryAfter))
	inst.router.Release(rpc)
}

// Abort implements router.Actions.
func (inst *instance) Abort(rpc router.RPCID, _ router.Reason) {
	inst.beginAction(30).u32(uint32(rpc))
	inst.router.Release(rpc)
}

// CancelCallOut implements router.Actions.
func (inst *instance) CancelCallOut(rpc router.RPCID, n int) {
	out := inst.beginAction(40)
	out.u32(uint32(rpc))
	out.u8(uint8(n))
}

// SetTimer implements router.Actions.
func (inst *instance) SetTimer(after router.Time, token uint64) {
	out := inst.beginAction(50)
	out.u64(nanoseconds(after))
	out.u64(token)
}

// Check implements router.Actions.
func (inst *instance) Check(w router.WorkerID) { inst.beginAction(60).u32(uint32(w)) }

// OrderLoad implements router.Actions.
func (inst *instance) OrderLoad(w router.WorkerID, fn router.FunctionID, n int, _ router.Time) {
	out := inst.beginAction(130)
	out.u64(uint64(fn))
	out.u8(uint8(n))
	out.u32(uint32(w))
}

// SubscribeWorkers implements router.Actions.
func (inst *instance) SubscribeWorkers() { inst.beginAction(110).u8(1) }

// Log implements router.Actions.
func (inst *instance) Log(text string) { inst.beginAction(90).text(text) }
