package standin

import (
	"bytes"
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"mallowlanding/internal/clients"
	"mallowlanding/internal/eventloop"
	"mallowlanding/internal/frames"
	"mallowlanding/internal/jsonrpc"
	"mallowlanding/internal/record"
	"mallowlanding/internal/settings"
	"mallowlanding/internal/tensor"
	"mallowlanding/internal/workerlink"
	"mallowlanding/router"
)

// valueLimit bounds what stand-ins read.
const valueLimit = 64 << 20

// lookEvery is the pace of a worker's housekeeping, where its reports are not made more often.
const lookEvery = 100 * time.Millisecond

// ErrFell ends a worker that was pushed over.
var ErrFell = errors.New("pushed over while cold")

// worker serves a Model on sockets.
type worker struct {
	set    *settings.Worker
	log    zerolog.Logger
	rec    *record.Log
	loop   *eventloop.Loop
	timers eventloop.Timers
	model  *Model
	look   eventloop.Timer
	store  *jsonrpc.Caller
	roster *jsonrpc.Caller
	end    context.CancelCauseFunc

	mu    sync.Mutex
	conns map[*host]bool
}

// BeginTurn implements turn.Machine.
func (w *worker) BeginTurn(now router.Time) { w.model.Begin(now) }

// EndTurn implements turn.Machine.
func (w *worker) EndTurn() { w.timers.Fire(w.loop.Now()) }

// NextDue implements turn.Machine.
func (w *worker) NextDue() (router.Time, bool) { return w.timers.NextDue() }

// Worker runs a stand-in worker until the context ends: it then tells the roster that it drains, takes nothing new,
// ends what it holds within the drain time, and leaves. A fault that kills it ends it with an error.
func Worker(ctx context.Context, set *settings.Worker, drain time.Duration, log zerolog.Logger, ready func()) error {
	rec, err := record.Open(set.Log)
	if err != nil {
		return err
	}
	defer rec.Close()
	l, err := clients.Listen(set.Socket, 0o600)
	if err != nil {
		return err
	}
	life, end := context.WithCancelCause(context.Background())
	defer end(nil)
	w := &worker{set: set, log: log.With().Str("worker", set.Name).Logger(), rec: rec, loop: eventloop.NewLoop(), end: end,
		conns: map[*host]bool{}}
	w.model = NewModel(set, w, &w.timers, w.loop.Now())
	w.lookAt(w.loop.Now())
	var group errgroup.Group
	if w.store, err = dial(life, &group, storeSocket(set), nil); err != nil {
		l.Close()
		return err
	}
	cold := 0.0
	if set.Cold {
		cold = float64(set.Rules.Cold) / 10
	}
	if err := rec.Add(record.Record{Kind: record.Began, Who: set.Name, Zone: set.Zone, Cell: set.Cell, Cold: cold,
		From: set.Rules.ColdFrom, Cores: float64(set.Machine.Cores) * set.Machine.Speed}); err != nil {
		l.Close()
		return err
	}
	group.Go(func() error { w.loop.Run(life, w); return nil })
	group.Go(func() error { return accept(life, l, w.serve) })
	if set.Control != "" {
		cl, err := clients.Listen(set.Control, 0o600)
		if err != nil {
			end(err)
			_ = group.Wait()
			return err
		}
		group.Go(func() error { return accept(life, cl, w.control) })
	}
	if set.Roster != nil {
		if w.roster, err = dial(life, &group, set.Roster.Socket, nil); err != nil {
			end(err)
			_ = group.Wait()
			return err
		}
		w.join("ready")
	}
	w.log.Info().Str("socket", set.Socket).Bool("cold", set.Cold).Msg("worker runs")
	if ready != nil {
		ready()
	}
	select {
	case <-life.Done():
	case <-ctx.Done():
		w.log.Info().Msg("worker drains")
		w.loop.Post(w.drain)
		w.leave(life, drain)
	}
	end(nil)
	_ = group.Wait()
	if cause := context.Cause(life); cause != nil && !errors.Is(cause, context.Canceled) {
		return cause
	}
	return nil
}

func storeSocket(set *settings.Worker) string {
	if set.Store == nil {
		return ""
	}
	return set.Store.Socket
}

// dial connects to another stand-in; an empty socket gives nil.
func dial(ctx context.Context, group *errgroup.Group, socket string, other func(string, []byte)) (*jsonrpc.Caller, error) {
	if socket == "" {
		return nil, nil
	}
	nc, err := (&net.Dialer{Timeout: 5 * time.Second}).DialContext(ctx, "unix", socket)
	if err != nil {
		return nil, err
	}
	c := jsonrpc.NewCaller(nc, valueLimit)
	c.OnNotification = other
	group.Go(func() error { _ = c.Run(ctx); return nil })
	return c, nil
}

// accept serves each connection in a goroutine of its own until the context ends.
func accept(ctx context.Context, l net.Listener, serve func(ctx context.Context, nc net.Conn)) error {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	var group errgroup.Group
	for {
		nc, err := l.Accept()
		if err != nil {
			break
		}
		group.Go(func() error { serve(ctx, nc); return nil })
	}
	_ = group.Wait()
	return nil
}

// leave lets the worker go on for the drain time: front ends hear of it late. It then waits, as long again at the
// most, until nothing is at work.
func (w *worker) leave(ctx context.Context, drain time.Duration) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(drain):
	}
	for until := time.Now().Add(drain); time.Now().Before(until) && ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		jobs := make(chan int, 1)
		if !w.loop.Post(func() { jobs <- w.model.Jobs() }) || <-jobs == 0 {
			return
		}
	}
}

func (w *worker) drain() {
	w.model.Drain()
	w.join("draining")
}

// join tells the roster who this is and how it is.
func (w *worker) join(state string) {
	if w.roster == nil {
		return
	}
	b := jsonrpc.AppendString([]byte(`{"name":`), w.set.Name)
	for _, f := range [][2]string{{"socket", w.set.Socket}, {"zone", w.set.Zone}, {"cell", w.set.Cell},
		{"kind", w.set.Kind}, {"state", state}} {
		b = jsonrpc.AppendString(append(jsonrpc.AppendString(append(b, ','), f[0]), ':'), f[1])
	}
	b = append(strconv.AppendBool(append(b, `,"cold":`...), w.set.Cold), '}')
	w.roster.Notify("roster.join", b)
}

func (w *worker) lookAt(now router.Time) {
	every := min(w.set.Machine.ReportEvery, eventloop.FromDuration(lookEvery))
	w.timers.Set(&w.look, now+every, func(now router.Time) {
		w.model.Begin(now)
		w.model.Look()
		w.lookAt(now)
	})
}

// server is one who is asked on a connection, and asks nothing.
type server struct {
	jsonrpc.IgnoreBatches
	c *jsonrpc.Conn
}

// HandleInvalid implements jsonrpc.Peer.
func (s *server) HandleInvalid(id jsonrpc.ID, code int, message string) {
	s.c.Write(jsonrpc.AppendError(nil, id, code, message, nil))
}

// HandleResponse implements jsonrpc.Peer.
func (s *server) HandleResponse(jsonrpc.ID, []byte, int, string, []byte) {}

// host is a front end's connection.
type host struct {
	server
	w      *worker
	name   string          // the front end's; the reader's
	binary atomic.Bool     // frames both ways
	jobs   map[string]*Job // the loop's
}

func (w *worker) serve(ctx context.Context, nc net.Conn) {
	h := &host{w: w, server: server{c: jsonrpc.NewConn(nc, valueLimit)}, jobs: map[string]*Job{}}
	h.c.NextCodec = func() func(io.Reader) error {
		if !h.binary.Load() {
			return nil
		}
		return func(in io.Reader) error { return frames.Read(in, valueLimit, h) }
	}
	w.mu.Lock()
	w.conns[h] = true
	w.mu.Unlock()
	ready := append(jsonrpc.AppendString([]byte(`{"worker":`), w.set.Name), `,"protocol":`...)
	h.c.Write(jsonrpc.AppendRequest(nil, nil, "client.ready", append(strconv.AppendInt(ready, workerlink.ProtocolVersion, 10), `,"codecs":["cbor"],"batches":true}`...)))
	_ = h.c.Serve(ctx, h)
	w.mu.Lock()
	delete(w.conns, h)
	w.mu.Unlock()
}

// HandleRequest implements jsonrpc.Peer.
func (h *host) HandleRequest(id jsonrpc.ID, method string, params []byte) {
	var blob []byte
	if text, is := jsonrpc.ParseString(jsonrpc.Member(params, "blob")); is {
		var err error
		if blob, err = base64.StdEncoding.DecodeString(text); err != nil {
			h.fail(bytes.Clone(id), jsonrpc.InvalidParams, "blob: "+err.Error(), nil)
			return
		}
	}
	h.HandleRequestBlob(id, method, params, blob)
}

// HandleResponseBlob implements frames.Peer.
func (h *host) HandleResponseBlob([]byte, []byte, int, string, []byte, []byte) {}

// result and fail answer in the codec agreed on.
func (h *host) result(id, result, blob []byte) {
	if h.binary.Load() {
		h.c.WriteRaw(frames.AppendResponse(nil, id, result, 0, "", nil, blob))
		return
	}
	if len(blob) > 0 {
		result = append(result[:len(result)-1], `,"blob":"`...)
		result = append(base64.StdEncoding.AppendEncode(result, blob), `"}`...)
	}
	h.c.Write(jsonrpc.AppendResult(nil, id, result))
}

func (h *host) fail(id []byte, code int, message string, data []byte) {
	if h.binary.Load() {
		h.c.WriteRaw(frames.AppendResponse(nil, id, nil, code, message, data, nil))
		return
	}
	h.c.Write(jsonrpc.AppendError(nil, id, code, message, data))
}

// HandleRequestBlob implements frames.Peer.
func (h *host) HandleRequestBlob(id []byte, method string, params, blob []byte) {
	if method == "host.batch" {
		h.batch(params, blob)
		return
	}
	w, key := h.w, bytes.Clone(id)
	var j Job
	var time_ms, copies float64
	var called jsontext.Value
	if len(params) > 0 {
		_ = jsonrpc.ForEachMember(params, func(name []byte, v jsontext.Value) error {
			switch string(name) {
			case "front_end":
				h.name, _ = jsonrpc.ParseString(v)
			case "method":
				j.Method, _ = jsonrpc.ParseString(v)
			case "function":
				j.Function, _ = jsonrpc.ParseString(v)
			case "token":
				j.Token, _ = jsonrpc.ParseString(v)
			case "time_ms":
				time_ms, _ = jsonrpc.ParseNumber(v)
			case "memory_mb":
				j.Memory, _ = jsonrpc.ParseNumber(v)
			case "lanes":
				lanes, _ := jsonrpc.ParseNumber(v)
				j.Lanes = int(lanes)
			case "load_ms":
				load, _ := jsonrpc.ParseNumber(v)
				j.Load = router.Time(load * 10)
			case "copies":
				copies, _ = jsonrpc.ParseNumber(v)
			case "payload":
				j.Payload = bytes.Clone(v)
			case "id":
				called = bytes.Clone(v)
			}
			return nil
		})
	}
	switch method {
	case "host.codec": // from here on both sides send frames
		h.c.Write(jsonrpc.AppendRequest(nil, nil, "client.codec", append(jsonrpc.AppendString([]byte(`{"codec":`), frames.CodecName), '}')))
		h.binary.Store(true)
	case "host.request":
		j.Blob = blob
		h.takes(key, &j)
		w.loop.Post(func() {
			j.Until = w.loop.Now() + router.Time(time_ms*10)
			h.jobs[string(key)] = &j
			w.model.Request(&j)
		})
	case "host.hold":
		if copies > 0 {
			w.keep(record.Record{Kind: record.Hold, Who: w.set.Name, FrontEnd: h.name, Function: j.Function, N: int(copies)})
		}
		w.loop.Post(func() {
			w.model.Hold(string(key), j.Function, int(copies), j.Memory, j.Lanes, j.Load, func(code, stand int) {
				data := append(strconv.AppendInt([]byte(`{"copies":`), int64(stand), 10), '}')
				if code == 0 {
					h.result(key, data, nil)
					return
				}
				h.fail(key, code, "copies can't be held", data)
			})
		})
	case "host.call_off":
		w.loop.Post(func() {
			if job := h.jobs[string(called)]; job != nil {
				w.model.CallOff(job)
			} else if len(called) > 0 && called[0] == '"' {
				w.model.Unhold(string(called))
			}
		})
	case "host.ping":
		w.loop.Post(func() {
			if len(key) > 0 && w.model.now >= w.model.hungUntil {
				h.result(key, append(w.appendReport([]byte("{")), '}'), nil)
			}
		})
	case "host.shutdown":
		h.c.Close()
	default:
		if len(key) > 0 {
			h.fail(key, jsonrpc.MethodNotFound, fmt.Sprintf("no method %.80q", method), nil)
		}
	}
}

// takes notes a request that came, and where its answer goes.
func (h *host) takes(key []byte, j *Job) {
	w := h.w
	j.Mark = markOf(j.Payload)
	r := requestRecord(j, h.name)
	r.Who = w.set.Name
	if m := w.model.work[j.Method]; m != nil {
		r.Cost = float64(m.Mean) / 10
	}
	w.keep(r)
	j.Done = func(a Answer) {
		delete(h.jobs, string(key))
		w.keep(record.Record{Kind: record.Ended, Who: w.set.Name, FrontEnd: h.name, RPC: j.Mark, N: a.Code})
		h.answer(key, j, a)
	}
}

// batch takes requests that ride together, each with its own id and its part of the blob.
func (h *host) batch(params, blob []byte) {
	var jobs []*Job
	var keys []string
	var spans []router.Time
	err := tensor.ForEachObject(jsonrpc.Member(params, "requests"), "requests", func(part jsontext.Value) error {
		number := func(name string) float64 { n, _ := jsonrpc.ParseNumber(jsonrpc.Member(part, name)); return n }
		size := int(number("blob_bytes"))
		if size < 0 || size > len(blob) {
			return fmt.Errorf("blob_bytes %d, but %d bytes are left", size, len(blob))
		}
		j := &Job{Method: member(part, "method"), Function: member(part, "function"), Token: member(part, "token"),
			Memory: number("memory_mb"), Lanes: int(number("lanes")), Load: router.Time(number("load_ms") * 10),
			Payload: bytes.Clone(jsonrpc.Member(part, "payload")), Blob: blob[:size:size]}
		blob = blob[size:]
		key := bytes.Clone(jsonrpc.Member(part, "id"))
		h.takes(key, j)
		jobs, keys, spans = append(jobs, j), append(keys, string(key)), append(spans, router.Time(number("time_ms")*10))
		return nil
	})
	if err != nil || len(jobs) == 0 {
		h.w.log.Warn().Err(err).Msg("a batch that can't be read")
		h.c.Close()
		return
	}
	h.w.loop.Post(func() {
		for i, j := range jobs {
			j.Until = h.w.loop.Now() + spans[i]
			h.jobs[keys[i]] = j
		}
		h.w.model.Batch(jobs)
	})
}

func (w *worker) appendReport(b []byte) []byte {
	b = append(b, `"report":[`...)
	for i, v := range w.model.Report() {
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendFloat(b, v, 'f', 4, 64)
	}
	return append(b, ']')
}

// answer sends what came of an RPC: {"worker": …, "payload": …} as its value.
func (h *host) answer(id jsonrpc.ID, j *Job, a Answer) {
	b := append(strconv.AppendInt([]byte(`{"crowd":`), int64(a.Crowd), 10), ',')
	if a.Warmth != "" {
		b = append(jsonrpc.AppendString(append(b, `"warmth":`...), a.Warmth), ',')
	}
	b = h.w.appendReport(b)
	if a.Code != 0 {
		h.fail(id, a.Code, a.Message, append(b, '}'))
		return
	}
	if a.Repeat {
		b = append(b, `,"repeat":true`...)
	}
	if value, blob, is, err := infer(j.Payload, j.Blob); is {
		if err != nil {
			h.fail(id, failed, err.Error(), append(b, '}'))
			return
		}
		h.result(id, append(append(append(b, `,"value":`...), value...), '}'), blob)
		return
	}
	b = jsonrpc.AppendString(append(b, `,"value":{"worker":`...), h.w.set.Name)
	payload := j.Payload
	if len(payload) == 0 {
		payload = []byte("null")
	}
	b = append(append(b, `,"payload":`...), payload...)
	h.result(id, append(b, "}}"...), nil)
}

func (w *worker) keep(r record.Record) {
	if err := w.rec.Add(r); err != nil {
		w.end(fmt.Errorf("log: %w", err))
	}
}

// Worked implements World.
func (w *worker) Worked(j *Job, span router.Time) {
	w.keep(record.Record{Kind: record.Worked, Who: w.set.Name, RPC: j.Mark, Time: float64(span) / 10})
}

// Effect implements World.
func (w *worker) Effect(j *Job, dropped bool) {
	r := requestRecord(j, "")
	r.Who, r.Kind = w.set.Name, record.Effect
	if dropped {
		r.Kind = record.Dropped
	}
	w.keep(r)
}

// Fell implements World.
func (w *worker) Fell(pushed, could float64) {
	w.keep(record.Record{Kind: record.Fell, Who: w.set.Name, Cost: pushed, Time: could})
	w.log.Error().Float64("pushed_ms", pushed).Float64("could_ms", could).Msg("pushed over while cold")
	w.end(ErrFell)
}

// Fetch implements World.
func (w *worker) Fetch(function string, usual router.Time, done func(ok bool)) {
	if w.store == nil {
		w.timers.Set(new(eventloop.Timer), w.loop.Now()+usual, func(now router.Time) { w.model.Begin(now); done(true) })
		return
	}
	b := jsonrpc.AppendString([]byte(`{"function":`), function)
	b = append(strconv.AppendFloat(append(b, `,"usual_ms":`...), float64(usual)/10, 'f', 1, 64), '}')
	w.store.CallAsync("store.fetch", b, func(a jsonrpc.Response) {
		w.loop.Post(func() { done(a.Err == nil && a.Code == 0) })
	})
}

// Claim implements World.
func (w *worker) Claim(group, token string, window router.Time, done func(first, ok bool)) {
	if w.store == nil {
		w.loop.Post(func() { done(true, true) })
		return
	}
	b := jsonrpc.AppendString(append(jsonrpc.AppendString([]byte(`{"group":`), group), `,"token":`...), token)
	b = append(strconv.AppendFloat(append(b, `,"window_ms":`...), float64(window)/10, 'f', 1, 64), '}')
	w.store.CallAsync("token.claim", b, func(a jsonrpc.Response) {
		w.loop.Post(func() { done(string(a.Result) == "true", a.Err == nil && a.Code == 0) })
	})
}

// control takes faults on command.
func (w *worker) control(ctx context.Context, nc net.Conn) {
	c := jsonrpc.NewConn(nc, valueLimit)
	_ = c.Serve(ctx, &control{w: w, server: server{c: c}})
}

type control struct {
	server
	w *worker
}

// HandleRequest implements jsonrpc.Peer.
func (c *control) HandleRequest(id jsonrpc.ID, method string, params []byte) {
	w, key := c.w, bytes.Clone(id)
	number := func(name string) float64 {
		n, _ := jsonrpc.ParseNumber(jsonrpc.Member(params, name))
		return n
	}
	span := router.Time(number("for_ms") * 10)
	size, seed := number("size"), number("seed")
	var do func()
	switch method {
	case "fault.crash":
		do = func() { w.end(errors.New("crashed on command")) }
	case "fault.hang":
		do = func() { w.model.Hang(span) }
	case "fault.slow":
		do = func() { w.model.Slow(size, span) }
	case "fault.errors":
		do = func() { w.model.Errors(size, span) }
	case "fault.load_fails":
		do = func() { w.model.LoadsFail(size, span) }
	case "fault.reports_late":
		do = func() { w.model.ReportsLate(router.Time(size*10000), span) }
	case "fault.drain":
		do = w.drain
	case "fault.release":
		do = func() { w.model.Release(func(function string) bool { return Hit(function, size, int64(seed)) }) }
	case "fault.half_frame":
		do = func() { w.each(func(h *host) { h.c.WriteRaw([]byte(`{"jsonrpc":"2.0","id":`)); w.closeSoon(h) }) }
	case "fault.close":
		do = func() { w.each(func(h *host) { h.c.Close() }) }
	default:
		c.c.Write(jsonrpc.AppendError(nil, key, jsonrpc.MethodNotFound, fmt.Sprintf("no fault %.80q", method), nil))
		return
	}
	w.loop.Post(func() {
		w.log.Info().Str("fault", method).Float64("size", size).Dur("for", eventloop.ToDuration(span)).Msg("fault on command")
		do()
		c.c.Write(jsonrpc.AppendResult(nil, key, []byte("true")))
	})
}

// closeSoon closes once the half-written frame has left.
func (w *worker) closeSoon(h *host) {
	w.timers.Set(new(eventloop.Timer), w.loop.Now()+50, func(router.Time) { h.c.Close() })
}

func (w *worker) each(f func(*host)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for h := range w.conns {
		f(h)
	}
}

// Hit tells whether a function is among the share of all that a release anew concerns: the same at each worker.
func Hit(function string, share float64, seed int64) bool {
	rng := rand.New(rand.NewSource(seed ^ int64(xxhash.Sum64String(function))))
	return rng.Float64() < share
}

func member(object []byte, name string) string {
	text, _ := jsonrpc.ParseString(jsonrpc.Member(object, name))
	return text
}
