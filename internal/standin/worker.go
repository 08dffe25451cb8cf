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

// maxValueBytes bounds the size of a message that a stand-in reads.
const maxValueBytes = 64 << 20

// housekeepingInterval is the longest time between two runs of a worker's housekeeping; reports may need it more often.
const housekeepingInterval = 100 * time.Millisecond

// ErrColdOverload ends a cold worker that was sent more work than the overload rule allows.
var ErrColdOverload = errors.New("cold worker overloaded")

// worker serves a Model on a socket.
type worker struct {
	cfg          *settings.Worker
	log          zerolog.Logger
	records      *record.Log
	loop         *eventloop.Loop
	timers       eventloop.Timers
	model        *Model
	housekeeping eventloop.Timer
	store        *jsonrpc.Caller
	roster       *jsonrpc.Caller
	end          context.CancelCauseFunc // ends the worker; the cause is what Worker returns

	hangs     hangTimer
	mu        sync.Mutex
	frontEnds map[*frontEndConn]bool
}

// BeginTurn implements eventloop.Handler.
func (w *worker) BeginTurn(now router.Time) { w.model.SetTime(now) }

// EndTurn implements eventloop.Handler.
func (w *worker) EndTurn() { w.timers.Fire(w.loop.Now()) }

// NextDue implements eventloop.Handler.
func (w *worker) NextDue() (router.Time, bool) { return w.timers.NextDue() }

// Worker runs a stand-in worker until the context ends. It then notifies the roster that it drains, and refuses new
// RPCs and loads. It returns once the drain time is over and its RPCs have ended, at the latest after twice the drain
// time. A fault that kills it makes it return an error.
func Worker(ctx context.Context, cfg *settings.Worker, drain time.Duration, log zerolog.Logger, ready func()) error {
	records, err := record.Open(cfg.Log)
	if err != nil {
		return err
	}
	defer records.Close()
	l, err := clients.Listen(cfg.Socket, 0o600)
	if err != nil {
		return err
	}
	lifeCtx, end := context.WithCancelCause(context.Background())
	defer end(nil)
	w := &worker{cfg: cfg, log: log.With().Str("worker", cfg.Name).Logger(), records: records, loop: eventloop.NewLoop(), end: end,
		frontEnds: map[*frontEndConn]bool{}}
	w.model = NewModel(cfg, w, &w.timers, w.loop.Now())
	w.scheduleHousekeeping(w.loop.Now())
	var group errgroup.Group
	if w.store, err = dial(lifeCtx, &group, storeSocket(cfg), nil); err != nil {
		l.Close()
		return err
	}
	cold := 0.0
	if cfg.Cold {
		cold = float64(cfg.Rules.Cold) / 10
	}
	if err := records.Add(record.Record{Kind: record.WorkerStarted, Source: cfg.Name, Zone: cfg.Zone, Cell: cfg.Cell, ColdMS: cold,
		ColdFrom: cfg.Rules.ColdFrom, Cores: float64(cfg.Machine.Cores) * cfg.Machine.Speed}); err != nil {
		l.Close()
		return err
	}
	group.Go(func() error { w.loop.Run(lifeCtx, w); return nil })
	group.Go(func() error { return accept(lifeCtx, l, w.serve) })
	if cfg.Control != "" {
		cl, err := clients.Listen(cfg.Control, 0o600)
		if err != nil {
			end(err)
			_ = group.Wait()
			return err
		}
		group.Go(func() error { return accept(lifeCtx, cl, w.control) })
	}
	if cfg.Roster != nil {
		if w.roster, err = dial(lifeCtx, &group, cfg.Roster.Socket, nil); err != nil {
			end(err)
			_ = group.Wait()
			return err
		}
		w.join("ready")
	}
	w.log.Info().Str("socket", cfg.Socket).Bool("cold", cfg.Cold).Msg("worker started")
	if ready != nil {
		ready()
	}
	select {
	case <-lifeCtx.Done():
	case <-ctx.Done():
		w.log.Info().Msg("worker draining")
		w.loop.Post(w.drain)
		w.waitIdle(lifeCtx, drain)
	}
	end(nil)
	_ = group.Wait()
	if cause := context.Cause(lifeCtx); cause != nil && !errors.Is(cause, context.Canceled) {
		return cause
	}
	return nil
}

func storeSocket(cfg *settings.Worker) string {
	if cfg.Store == nil {
		return ""
	}
	return cfg.Store.Socket
}

// dial connects to another stand-in; it returns nil if socket is empty.
func dial(ctx context.Context, group *errgroup.Group, socket string, onNotification func(string, []byte)) (*jsonrpc.Caller, error) {
	if socket == "" {
		return nil, nil
	}
	nc, err := (&net.Dialer{Timeout: 5 * time.Second}).DialContext(ctx, "unix", socket)
	if err != nil {
		return nil, err
	}
	c := jsonrpc.NewCaller(nc, maxValueBytes)
	c.OnNotification = onNotification
	group.Go(func() error { _ = c.Run(ctx); return nil })
	return c, nil
}

// accept serves each connection in its own goroutine until the context ends.
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

// waitIdle waits for the drain time, since front ends learn of the drain late and send RPCs until then. It then waits
// until no RPC is left, but no longer than the drain time once more.
func (w *worker) waitIdle(ctx context.Context, drain time.Duration) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(drain):
	}
	for deadline := time.Now().Add(drain); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		jobs := make(chan int, 1)
		if !w.loop.Post(func() { jobs <- w.model.JobCount() }) || <-jobs == 0 {
			return
		}
	}
}

func (w *worker) drain() {
	w.model.Drain()
	w.join("draining")
}

// join sends the worker's identity and state to the roster.
func (w *worker) join(state string) {
	if w.roster == nil {
		return
	}
	b := jsonrpc.AppendString([]byte(`{"name":`), w.cfg.Name)
	for _, f := range [][2]string{{"socket", w.cfg.Socket}, {"zone", w.cfg.Zone}, {"cell", w.cfg.Cell},
		{"kind", w.cfg.Kind}, {"state", state}} {
		b = jsonrpc.AppendString(append(jsonrpc.AppendString(append(b, ','), f[0]), ':'), f[1])
	}
	b = append(strconv.AppendBool(append(b, `,"cold":`...), w.cfg.Cold), '}')
	w.roster.Notify("roster.join", b)
}

func (w *worker) scheduleHousekeeping(now router.Time) {
	every := min(w.cfg.Machine.ReportInterval, eventloop.FromDuration(housekeepingInterval))
	w.timers.Set(&w.housekeeping, now+every, func(now router.Time) {
		w.model.SetTime(now)
		w.model.Housekeep()
		w.scheduleHousekeeping(now)
	})
}

// requestHandler is the base of the connections' handlers: they receive requests and send none that expect a response.
type requestHandler struct {
	jsonrpc.IgnoreBatches
	conn *jsonrpc.Conn
}

// HandleInvalid implements jsonrpc.Handler for the types that embed requestHandler.
func (s *requestHandler) HandleInvalid(id jsonrpc.ID, code int, message string) {
	s.conn.Write(jsonrpc.AppendError(nil, id, code, message, nil))
}

// HandleResponse implements jsonrpc.Handler for the types that embed requestHandler.
func (s *requestHandler) HandleResponse(jsonrpc.ID, []byte, int, string, []byte) {}

// frontEndConn is the connection of a front end.
type frontEndConn struct {
	requestHandler
	w      *worker
	input  *hangingConn
	name   string          // the front end's; set by the goroutine that reads
	binary atomic.Bool     // CBOR frames are used in both directions
	jobs   map[string]*Job // by request id; used on the event loop
}

func (w *worker) serve(ctx context.Context, nc net.Conn) {
	input := newHangingConn(nc, &w.hangs)
	input.waitWhileHanging(0) // a process that hangs accepts no connection
	h := &frontEndConn{w: w, input: input, requestHandler: requestHandler{conn: jsonrpc.NewConn(input, maxValueBytes)}, jobs: map[string]*Job{}}
	h.conn.NextCodec = func() func(io.Reader) error {
		if !h.binary.Load() {
			return nil
		}
		return func(in io.Reader) error { return frames.Read(in, maxValueBytes, h) }
	}
	w.mu.Lock()
	w.frontEnds[h] = true
	w.mu.Unlock()
	ready := append(jsonrpc.AppendString([]byte(`{"worker":`), w.cfg.Name), `,"protocol":`...)
	h.conn.Write(jsonrpc.AppendRequest(nil, nil, "client.ready", append(strconv.AppendInt(ready, workerlink.ProtocolVersion, 10), `,"codecs":["cbor"],"batches":true}`...)))
	_ = h.conn.Serve(ctx, h)
	w.mu.Lock()
	delete(w.frontEnds, h)
	w.mu.Unlock()
}

// HandleRequest implements jsonrpc.Handler.
func (h *frontEndConn) HandleRequest(id jsonrpc.ID, method string, params []byte) {
	var blob []byte
	if text, ok := jsonrpc.ParseString(jsonrpc.Member(params, "blob")); ok {
		var err error
		if blob, err = base64.StdEncoding.DecodeString(text); err != nil {
			h.respondError(bytes.Clone(id), jsonrpc.InvalidParams, "blob: "+err.Error(), nil)
			return
		}
	}
	h.HandleRequestBlob(id, method, params, blob)
}

// HandleResponseBlob implements frames.Handler.
func (h *frontEndConn) HandleResponseBlob([]byte, []byte, int, string, []byte, []byte) {}

// respondResult sends a result in the codec agreed on.
func (h *frontEndConn) respondResult(id, result, blob []byte) {
	if h.binary.Load() {
		h.conn.WriteRaw(frames.AppendResponse(nil, id, result, 0, "", nil, blob))
		return
	}
	if len(blob) > 0 {
		result = append(result[:len(result)-1], `,"blob":"`...)
		result = append(base64.StdEncoding.AppendEncode(result, blob), `"}`...)
	}
	h.conn.Write(jsonrpc.AppendResult(nil, id, result))
}

func (h *frontEndConn) respondError(id []byte, code int, message string, data []byte) {
	if h.binary.Load() {
		h.conn.WriteRaw(frames.AppendResponse(nil, id, nil, code, message, data, nil))
		return
	}
	h.conn.Write(jsonrpc.AppendError(nil, id, code, message, data))
}

// HandleRequestBlob implements frames.Handler.
func (h *frontEndConn) HandleRequestBlob(id []byte, method string, params, blob []byte) {
	if method == "host.batch" {
		h.batch(params, blob)
		return
	}
	w, requestID := h.w, bytes.Clone(id)
	var j Job
	var timeMS, copies float64
	var cancelID jsontext.Value
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
				timeMS, _ = jsonrpc.ParseNumber(v)
			case "memory_mb":
				j.Memory, _ = jsonrpc.ParseNumber(v)
			case "lanes":
				lanes, _ := jsonrpc.ParseNumber(v)
				j.Lanes = int(lanes)
			case "load_ms":
				load, _ := jsonrpc.ParseNumber(v)
				j.LoadTime = router.Time(load * 10)
			case "copies":
				copies, _ = jsonrpc.ParseNumber(v)
			case "payload":
				j.Payload = bytes.Clone(v)
			case "id":
				cancelID = bytes.Clone(v)
			}
			return nil
		})
	}
	switch method {
	case "host.codec": // both sides send frames from here on
		h.conn.Write(jsonrpc.AppendRequest(nil, nil, "client.codec", append(jsonrpc.AppendString([]byte(`{"codec":`), frames.CodecName), '}')))
		h.binary.Store(true)
	case "host.request":
		j.Blob = blob
		h.register(requestID, &j)
		w.loop.Post(func() {
			j.Deadline = w.loop.Now() + router.Time(timeMS*10)
			h.jobs[string(requestID)] = &j
			w.model.Submit(&j)
		})
	case "host.hold":
		if copies > 0 {
			w.addRecord(record.Record{Kind: record.LoadOrdered, Source: w.cfg.Name, FrontEnd: h.name, Function: j.Function, N: int(copies),
				ArrivedNS: h.arrivedNS()})
		}
		w.loop.Post(func() {
			w.model.OrderLoad(string(requestID), j.Function, int(copies), j.Memory, j.Lanes, j.LoadTime, func(code, loaded int) {
				data := append(strconv.AppendInt([]byte(`{"copies":`), int64(loaded), 10), '}')
				if code == 0 {
					h.respondResult(requestID, data, nil)
					return
				}
				h.respondError(requestID, code, "copies can't be held", data)
			})
		})
	case "host.call_off":
		w.loop.Post(func() {
			if job := h.jobs[string(cancelID)]; job != nil {
				w.model.Cancel(job)
			} else if len(cancelID) > 0 && cancelID[0] == '"' {
				w.model.CancelLoad(string(cancelID))
			}
		})
	case "host.ping":
		w.loop.Post(func() {
			if len(requestID) > 0 && w.model.now >= w.model.hangUntil {
				h.respondResult(requestID, append(w.appendReport([]byte("{")), '}'), nil)
			}
		})
	case "host.shutdown":
		h.conn.Close()
	default:
		if len(requestID) > 0 {
			h.respondError(requestID, jsonrpc.MethodNotFound, fmt.Sprintf("no method %.80q", method), nil)
		}
	}
}

// arrivedNS returns when the message that is being handled had arrived; 0 if it was read at once.
func (h *frontEndConn) arrivedNS() int64 { return h.input.arrivedNS(h.conn.Offset()) }

// register records a received request, and sets j.Done to send the response.
func (h *frontEndConn) register(requestID []byte, j *Job) {
	w := h.w
	j.Mark = clientMark(j.Payload)
	r := requestRecord(j, h.name)
	r.Source, r.ArrivedNS = w.cfg.Name, h.arrivedNS()
	if m := w.model.work[j.Method]; m != nil {
		r.WorkMS = float64(m.Mean) / 10
	}
	w.addRecord(r)
	j.Done = func(response Response) {
		delete(h.jobs, string(requestID))
		w.addRecord(record.Record{Kind: record.RequestEnded, Source: w.cfg.Name, FrontEnd: h.name, RPC: j.Mark, N: response.Code})
		h.respond(requestID, j, response)
	}
}

// batch accepts a batch of requests, each with its own id and its part of the blob.
func (h *frontEndConn) batch(params, blob []byte) {
	var jobs []*Job
	var requestIDs []string
	var timeouts []router.Time
	err := tensor.ForEachObject(jsonrpc.Member(params, "requests"), "requests", func(part jsontext.Value) error {
		number := func(name string) float64 { n, _ := jsonrpc.ParseNumber(jsonrpc.Member(part, name)); return n }
		size := int(number("blob_bytes"))
		if size < 0 || size > len(blob) {
			return fmt.Errorf("blob_bytes %d, but %d bytes are left", size, len(blob))
		}
		j := &Job{Method: member(part, "method"), Function: member(part, "function"), Token: member(part, "token"),
			Memory: number("memory_mb"), Lanes: int(number("lanes")), LoadTime: router.Time(number("load_ms") * 10),
			Payload: bytes.Clone(jsonrpc.Member(part, "payload")), Blob: blob[:size:size]}
		blob = blob[size:]
		requestID := bytes.Clone(jsonrpc.Member(part, "id"))
		h.register(requestID, j)
		jobs, requestIDs, timeouts = append(jobs, j), append(requestIDs, string(requestID)), append(timeouts, router.Time(number("time_ms")*10))
		return nil
	})
	if err != nil || len(jobs) == 0 {
		h.w.log.Warn().Err(err).Msg("malformed batch; closing the connection")
		h.conn.Close()
		return
	}
	h.w.loop.Post(func() {
		for i, j := range jobs {
			j.Deadline = h.w.loop.Now() + timeouts[i]
			h.jobs[requestIDs[i]] = j
		}
		h.w.model.SubmitBatch(jobs)
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

// respond sends the response to an RPC. The value of an infer request is the model's output, that of any other RPC is
// {"worker": NAME, "payload": PAYLOAD}.
func (h *frontEndConn) respond(id jsonrpc.ID, j *Job, response Response) {
	b := append(strconv.AppendInt([]byte(`{"crowd":`), int64(response.RPCsAtCopies), 10), ',')
	if response.Warmth != "" {
		b = append(jsonrpc.AppendString(append(b, `"warmth":`...), response.Warmth), ',')
	}
	b = h.w.appendReport(b)
	if response.Code != 0 {
		h.respondError(id, response.Code, response.Message, append(b, '}'))
		return
	}
	if response.Repeat {
		b = append(b, `,"repeat":true`...)
	}
	if value, blob, isInfer, err := runModel(j.Payload, j.Blob); isInfer {
		if err != nil {
			h.respondError(id, codeFailed, err.Error(), append(b, '}'))
			return
		}
		h.respondResult(id, append(append(append(b, `,"value":`...), value...), '}'), blob)
		return
	}
	b = jsonrpc.AppendString(append(b, `,"value":{"worker":`...), h.w.cfg.Name)
	payload := j.Payload
	if len(payload) == 0 {
		payload = []byte("null")
	}
	b = append(append(b, `,"payload":`...), payload...)
	h.respondResult(id, append(b, "}}"...), nil)
}

func (w *worker) addRecord(r record.Record) {
	if err := w.records.Add(r); err != nil {
		w.end(fmt.Errorf("record log: %w", err))
	}
}

// RecordWork implements Environment.
func (w *worker) RecordWork(j *Job, duration router.Time) {
	w.addRecord(record.Record{Kind: record.WorkDone, Source: w.cfg.Name, RPC: j.Mark, DurationMS: float64(duration) / 10})
}

// RecordEffect implements Environment.
func (w *worker) RecordEffect(j *Job, dropped bool) {
	r := requestRecord(j, "")
	r.Source, r.Kind = w.cfg.Name, record.EffectApplied
	if dropped {
		r.Kind = record.EffectDropped
	}
	w.addRecord(r)
}

// ColdOverload implements Environment.
func (w *worker) ColdOverload(sentMS, maxMS float64) {
	w.addRecord(record.Record{Kind: record.WorkerOverloaded, Source: w.cfg.Name, WorkMS: sentMS, DurationMS: maxMS})
	w.log.Error().Float64("pushed_ms", sentMS).Float64("could_ms", maxMS).Msg("cold worker overloaded")
	w.end(ErrColdOverload)
}

// Fetch implements Environment.
func (w *worker) Fetch(function string, usualTime router.Time, done func(ok bool)) {
	if w.store == nil {
		w.timers.Set(new(eventloop.Timer), w.loop.Now()+usualTime, func(now router.Time) { w.model.SetTime(now); done(true) })
		return
	}
	b := jsonrpc.AppendString([]byte(`{"function":`), function)
	b = append(strconv.AppendFloat(append(b, `,"usual_ms":`...), float64(usualTime)/10, 'f', 1, 64), '}')
	w.store.CallAsync("store.fetch", b, func(a jsonrpc.Response) {
		w.loop.Post(func() { done(a.Err == nil && a.Code == 0) })
	})
}

// ClaimToken implements Environment.
func (w *worker) ClaimToken(group, token string, window router.Time, done func(first, ok bool)) {
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

// control serves the control socket, on which faults are injected.
func (w *worker) control(ctx context.Context, nc net.Conn) {
	c := jsonrpc.NewConn(nc, maxValueBytes)
	_ = c.Serve(ctx, &controlConn{w: w, requestHandler: requestHandler{conn: c}})
}

type controlConn struct {
	requestHandler
	w *worker
}

// HandleRequest implements jsonrpc.Handler.
func (c *controlConn) HandleRequest(id jsonrpc.ID, method string, params []byte) {
	w, requestID := c.w, bytes.Clone(id)
	number := func(name string) float64 {
		n, _ := jsonrpc.ParseNumber(jsonrpc.Member(params, name))
		return n
	}
	span := router.Time(number("for_ms") * 10)
	size, seed := number("size"), number("seed")
	var inject func()
	switch method {
	case "fault.crash":
		inject = func() { w.end(errors.New("crash injected by the control socket")) }
	case "fault.hang":
		inject = func() {
			w.model.Hang(span)
			w.hangs.hang(eventloop.ToDuration(span))
		}
	case "fault.slow":
		inject = func() { w.model.Slow(size, span) }
	case "fault.errors":
		inject = func() { w.model.FailRPCs(size, span) }
	case "fault.load_fails":
		inject = func() { w.model.FailLoads(size, span) }
	case "fault.reports_late":
		inject = func() { w.model.DelayReports(router.Time(size*10000), span) }
	case "fault.drain":
		inject = w.drain
	case "fault.release":
		inject = func() {
			w.model.Release(func(function string) bool { return InReleaseShare(function, size, int64(seed)) })
		}
	case "fault.half_frame":
		inject = func() {
			w.eachFrontEnd(func(h *frontEndConn) { h.conn.WriteRaw([]byte(`{"jsonrpc":"2.0","id":`)); w.closeSoon(h) })
		}
	case "fault.close":
		inject = func() { w.eachFrontEnd(func(h *frontEndConn) { h.conn.Close() }) }
	default:
		c.conn.Write(jsonrpc.AppendError(nil, requestID, jsonrpc.MethodNotFound, fmt.Sprintf("no fault %.80q", method), nil))
		return
	}
	w.loop.Post(func() {
		w.log.Info().Str("fault", method).Float64("size", size).Dur("for", eventloop.ToDuration(span)).Msg("injecting a fault")
		inject()
		c.conn.Write(jsonrpc.AppendResult(nil, requestID, []byte("true")))
	})
}

// closeSoon closes the connection after 5 ms, when the partial frame has been sent.
func (w *worker) closeSoon(h *frontEndConn) {
	w.timers.Set(new(eventloop.Timer), w.loop.Now()+50, func(router.Time) { h.conn.Close() })
}

func (w *worker) eachFrontEnd(f func(*frontEndConn)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for h := range w.frontEnds {
		f(h)
	}
}

// InReleaseShare reports whether a function is among the share of functions that a simulated release replaces. It gives
// the same result at every worker.
func InReleaseShare(function string, share float64, seed int64) bool {
	rng := rand.New(rand.NewSource(seed ^ int64(xxhash.Sum64String(function))))
	return rng.Float64() < share
}

func member(object []byte, name string) string {
	text, _ := jsonrpc.ParseString(jsonrpc.Member(object, name))
	return text
}
