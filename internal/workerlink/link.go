// Package workerlink connects a front end to its workers: one connection to each, JSON-RPC 2.0 in both directions, as
// specified in docs/protocol.md. A link reports to the engine how each call-out ended, and for a call-out that was not
// answered, whether it may have run: it never ran if none of its bytes was written to the socket, and may have run
// otherwise.
package workerlink

import (
	"bytes"
	"context"
	"encoding/base64"
	"fmt"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-json-experiment/json/jsontext"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"mallowlanding/internal/batch"
	"mallowlanding/internal/engine"
	"mallowlanding/internal/eventloop"
	"mallowlanding/internal/frames"
	"mallowlanding/internal/jsonrpc"
	"mallowlanding/internal/sockio"
	"mallowlanding/router"
)

// Error codes of workers' answers. All but Failed and Cancelled prove that the RPC never ran.
const (
	Full       = -32010 // not accepted: no free lane, no memory, or the worker drains
	NotLoaded  = -32011 // the function is not loaded, or its load failed, so the RPC did not run
	Failed     = -32012 // the RPC started to run and failed
	Cancelled  = -32013 // cancelled; it may have run
	LoadFailed = -32014 // a load order's load failed
)

// ProtocolVersion is the version of the protocol that a worker must state in client.ready.
const ProtocolVersion = 1

// Options configure all links of a front end.
type Options struct {
	FrontEnd string
	// ConnectTimeout bounds connecting to a worker, then the wait for its client.ready, and the time for which a request
	// is queued without a ready worker. A worker that exceeds it counts as unreachable.
	ConnectTimeout time.Duration
	ValueBytes     int // maximum size of one JSON value from a worker
	// QueuedBytes bounds the unsent bytes for a worker that reads slowly. Above it, new requests end as router.Full.
	QueuedBytes int
	RedialMin   time.Duration                                  // first pause before reconnecting; it doubles
	RedialMax   time.Duration                                  // longest pause
	WrapLink    func(worker string, l engine.Link) engine.Link // replaces the link given to the engine; nil: no change
	Log         zerolog.Logger
}

// Set is the set of a front end's links. Its methods, except Wait, must be called in a turn of the event loop.
type Set struct {
	opts         Options
	loop         *eventloop.Loop
	engine       *engine.Engine
	links        map[string]*Link
	group        errgroup.Group
	ctx          context.Context
	dirtyStreams []*stream // written to in this turn of the event loop

	now     router.Time
	batches *batch.Batcher[batchKey, engine.CallOutID]
	batched map[engine.CallOutID]batchedRPC // in batches that have not been sent
}

// batchKey identifies the RPCs that may be sent in one batch: those of one function to one worker.
type batchKey struct{ worker, function string }

// batchedRPC is an RPC that waits for its batch to be sent. clientWait is how long its client would still wait at the
// time received.
type batchedRPC struct {
	link       *Link
	rpc        *engine.RPC
	received   router.Time
	clientWait router.Time
}

// New returns an empty set whose links exist until the context ends.
func New(ctx context.Context, loop *eventloop.Loop, e *engine.Engine, opts Options) *Set {
	return &Set{opts: opts, loop: loop, engine: e, links: map[string]*Link{}, ctx: ctx,
		batches: batch.New[batchKey, engine.CallOutID](), batched: map[engine.CallOutID]batchedRPC{}}
}

// Wait returns when the goroutines of all links have ended. Call it after the context has ended.
func (s *Set) Wait() { _ = s.group.Wait() }

// Add adds a link to the worker, if there is none to this socket, and keeps it connected. id is the engine's id of the
// worker.
func (s *Set) Add(name, socket string, id router.WorkerID) {
	l := s.links[name]
	if l != nil && l.socket == socket && l.ctx.Err() == nil {
		l.wanted = true
		return
	}
	if l != nil {
		l.cancel()
	}
	l = &Link{set: s, name: name, socket: socket, id: id, wanted: true, inFlight: map[string]request{}}
	l.ctx, l.cancel = context.WithCancel(s.ctx)
	s.links[name] = l
	s.engine.SetLink(name, s.wrap(l))
	s.group.Go(func() error { l.run(); return nil })
}

func (s *Set) wrap(l *Link) engine.Link {
	if s.opts.WrapLink != nil {
		return s.opts.WrapLink(l.name, l)
	}
	return l
}

// Remove closes the link as soon as no request is in flight or queued on it.
func (s *Set) Remove(name string) {
	if l := s.links[name]; l != nil {
		l.wanted = false
		l.closeIfIdle()
	}
}

// request is a request in flight on a link: the offset of its message in the stream, and the callbacks for its end.
// onEnded is called if the worker does not answer, onResponse if it does.
type request struct {
	offset     uint64
	onEnded    func(o router.Outcome, cause string)
	onResponse func(resp response)
}

// response is a worker's decoded response. Results and the data of errors have the same members.
type response struct {
	code         int
	message      string
	value        []byte
	blob         []byte
	warmth       router.Warmth
	othersAtCopy int // RPCs of other front ends at the copy
	report       []float64
	copies       int
}

// Link is the link to one worker.
type Link struct {
	set          *Set
	name, socket string
	id           router.WorkerID
	ctx          context.Context
	cancel       context.CancelFunc

	// used on the event loop's goroutine only
	wanted   bool               // false: the worker is removed, and the link closes when it is idle
	stream   *stream            // nil: no connection on which the worker has reported ready
	inFlight map[string]request // requests sent on the current connection, by id
	queued   []*queuedRequest   // to be sent when the worker is ready, unless they expire first
}

// stream is the output of one connection. Bytes queued on it are never sent on another connection.
type stream struct {
	socket   sockio.Socket
	binary   bool   // event loop only: frames are sent instead of JSON lines
	batches  bool   // event loop only: the worker accepts host.batch
	enqueued uint64 // event loop only: bytes queued so far
	dirty    bool   // event loop only: the stream is in Set.dirtyStreams

	mu      sync.Mutex
	unsent  []byte
	writing bool // a write of the writer goroutine is in progress
	ended   bool
	changed *sync.Cond
	written uint64 // bytes accepted by the socket
}

// queuedRequest is a request that waits for the worker to be ready.
type queuedRequest struct{ send, expire func() }

// closeIfIdle closes a removed link on which nothing is in flight or queued.
func (l *Link) closeIfIdle() {
	if !l.wanted && len(l.inFlight) == 0 && len(l.queued) == 0 {
		l.cancel()
	}
}

// Send implements engine.Link.
func (l *Link) Send(id engine.CallOutID, rpc *engine.RPC, clientWait, _ router.Time) {
	if rpc.Method.MaxBatch > 1 && l.stream != nil && l.stream.binary && l.stream.batches {
		s := l.set
		s.batched[id] = batchedRPC{l, rpc, s.now, clientWait}
		s.sendBatch(s.batches.Add(s.now, batchKey{l.name, rpc.Function}, id, rpc.Method.MaxBatch, rpc.Method.BatchWait, rpc.SoftDeadline-s.now))
		return
	}
	l.sendRequestWithBlob(string(jsonrpc.NumberID(uint64(id))), "host.request", requestParams(rpc, clientWait), rpc.Blob, l.callOutRequest(id))
}

// callOutRequest returns the callbacks that report the end of a call-out to the engine.
func (l *Link) callOutRequest(id engine.CallOutID) request {
	return request{
		onEnded: func(o router.Outcome, cause string) {
			l.set.engine.CallOutEnded(id, l.id, o, router.WarmthUnknown, 0, nil, []byte(cause), nil)
		},
		onResponse: func(resp response) { l.callOutAnswered(id, resp) },
	}
}

// sendBatch sends call-outs in one host.batch message, each under its own id. A single call-out is sent as
// host.request.
func (s *Set) sendBatch(ids []engine.CallOutID) {
	ids = slices.DeleteFunc(ids, func(id engine.CallOutID) bool {
		ended := !s.engine.CallOutOpen(id) // its deadline passed while this process was stalled
		if ended {
			delete(s.batched, id)
		}
		return ended
	})
	if len(ids) == 0 {
		return
	}
	var blob []byte
	b := []byte(`{"requests":[`)
	var l *Link
	for i, id := range ids {
		r := s.batched[id]
		delete(s.batched, id)
		l = r.link
		clientWait := max(0, r.clientWait-(s.now-r.received))
		if len(ids) == 1 {
			l.sendRequestWithBlob(string(jsonrpc.NumberID(uint64(id))), "host.request", requestParams(r.rpc, clientWait), r.rpc.Blob, l.callOutRequest(id))
			return
		}
		if i > 0 {
			b = append(b, ',')
		}
		params := requestParams(r.rpc, clientWait)
		b = append(append(b, params[:len(params)-1]...), `,"id":`...)
		b = strconv.AppendInt(append(strconv.AppendUint(b, uint64(id), 10), `,"blob_bytes":`...), int64(len(r.rpc.Blob)), 10)
		b = append(b, '}')
		blob = append(blob, r.rpc.Blob...)
	}
	if l.stream == nil { // the connection was lost in this turn
		for _, id := range ids {
			l.set.loop.Post(func() { l.callOutRequest(id).onEnded(router.ConnectFailed, "no connection to "+l.name) })
		}
		return
	}
	for _, id := range ids {
		req := l.callOutRequest(id)
		req.offset = l.stream.enqueued
		l.inFlight[string(jsonrpc.NumberID(uint64(id)))] = req
	}
	l.write("", "host.batch", append(b, "]}"...), blob)
}

// BeginTurn sets the time of a turn of the event loop.
func (s *Set) BeginTurn(now router.Time) { s.now = now }

// NextDue returns the time at which the next batch is due to be sent; false: there is none.
func (s *Set) NextDue() (router.Time, bool) { return s.batches.NextDue() }

// SendDueBatches sends the batches that are due. Call it in a turn of the event loop, before Flush.
func (s *Set) SendDueBatches() {
	for _, ids := s.batches.PopDue(s.now); ids != nil; _, ids = s.batches.PopDue(s.now) {
		s.sendBatch(ids)
	}
}

// requestParams returns the params of host.request for an RPC whose client waits for clientWait.
func requestParams(rpc *engine.RPC, clientWait router.Time) []byte {
	b := append(make([]byte, 0, 256+len(rpc.Payload)), `{"method":`...)
	b = jsonrpc.AppendString(b, rpc.Method.Name)
	b = jsonrpc.AppendString(append(b, `,"function":`...), rpc.Function)
	if rpc.Token != "" {
		b = jsonrpc.AppendString(append(b, `,"token":`...), rpc.Token)
	}
	b = strconv.AppendFloat(append(b, `,"time_ms":`...), float64(clientWait)/10, 'f', 1, 64)
	b = appendFunction(b, rpc.Spec)
	if len(rpc.Payload) > 0 {
		b = append(append(b, `,"payload":`...), rpc.Payload...)
	}
	return append(b, '}')
}

func appendFunction(b []byte, spec engine.FunctionSpec) []byte {
	b = strconv.AppendFloat(append(b, `,"memory_mb":`...), spec.MemoryMB, 'f', -1, 64)
	b = strconv.AppendInt(append(b, `,"lanes":`...), int64(spec.Lanes), 10)
	return strconv.AppendFloat(append(b, `,"load_ms":`...), float64(spec.LoadTime)/10, 'f', -1, 64)
}

// CancelCallOut implements engine.Link.
func (l *Link) CancelCallOut(id engine.CallOutID) {
	if r, queued := l.set.batched[id]; queued { // not sent yet, so it never ran
		l.set.batches.Remove(batchKey{l.name, r.rpc.Function}, id)
		delete(l.set.batched, id)
		l.set.loop.Post(func() { l.callOutRequest(id).onEnded(router.Full, "called off before it left") })
		return
	}
	params := append(strconv.AppendUint([]byte(`{"id":`), uint64(id), 10), '}')
	if l.stream != nil {
		l.notify("host.call_off", params)
	}
}

// CancelLoadOrder implements engine.Link.
func (l *Link) CancelLoadOrder(id engine.OrderID) {
	if l.stream != nil {
		l.notify("host.call_off", append(strconv.AppendUint([]byte(`{"id":"o`), uint64(id), 10), `"}`...))
	}
}

// OrderLoad implements engine.Link.
func (l *Link) OrderLoad(id engine.OrderID, function string, spec engine.FunctionSpec, copies int, _ router.Time) {
	b := appendFunction(jsonrpc.AppendString([]byte(`{"function":`), function), spec)
	b = append(strconv.AppendInt(append(b, `,"copies":`...), int64(copies), 10), '}')
	l.sendRequest(`"o`+strconv.FormatUint(uint64(id), 10)+`"`, "host.hold", b, request{
		onEnded: func(o router.Outcome, _ string) { l.set.engine.LoadOrderEnded(id, o, 0) },
		onResponse: func(resp response) {
			o := router.Errored
			switch resp.code {
			case 0:
				o = router.OK
			case Full:
				o = router.Full
			}
			l.set.engine.LoadOrderEnded(id, o, resp.copies)
		},
	})
}

// Check implements engine.Link.
func (l *Link) Check(id engine.CheckID) {
	l.sendRequest(`"c`+strconv.FormatUint(uint64(id), 10)+`"`, "host.ping", nil, request{
		onEnded: func(o router.Outcome, _ string) { l.set.engine.CheckEnded(id, o, nil) },
		onResponse: func(resp response) {
			if resp.code != 0 {
				l.set.engine.CheckEnded(id, router.Errored, nil)
				return
			}
			l.set.engine.CheckEnded(id, router.OK, resp.report)
		},
	})
}

// sendRequest sends a request that expects a response. Without a connection it queues the request until the worker is
// ready or the connect timeout has passed.
func (l *Link) sendRequest(id, method string, params []byte, req request) {
	l.sendRequestWithBlob(id, method, params, nil, req)
}

// sendRequestWithBlob is sendRequest with binary data in addition to the params.
func (l *Link) sendRequestWithBlob(id, method string, params, blob []byte, req request) {
	if l.ctx.Err() != nil {
		l.set.loop.Post(func() { req.onEnded(router.ConnectFailed, "the link to "+l.name+" is closed") })
		return
	}
	if l.stream == nil {
		q := &queuedRequest{send: func() { l.sendRequestWithBlob(id, method, params, blob, req) },
			expire: func() { req.onEnded(router.ConnectFailed, "no connection to "+l.name) }}
		l.queued = append(l.queued, q)
		time.AfterFunc(l.set.opts.ConnectTimeout, func() {
			l.set.loop.Post(func() {
				if i := slices.Index(l.queued, q); i >= 0 {
					l.queued = slices.Delete(l.queued, i, i+1)
					q.expire()
					l.closeIfIdle()
				}
			})
		})
		return
	}
	if l.stream.unsentBytes() > l.set.opts.QueuedBytes {
		l.set.loop.Post(func() { req.onEnded(router.Full, l.name+" reads too slowly") })
		return
	}
	req.offset = l.stream.enqueued
	l.inFlight[id] = req
	l.write(id, method, params, blob)
}

func (l *Link) notify(method string, params []byte) {
	l.write("", method, params, nil)
}

// write queues a request, or a notification if id is empty, in the agreed codec. In JSON the blob is sent in base64 as
// params.blob.
func (l *Link) write(id, method string, params, blob []byte) {
	if !l.stream.binary && len(blob) > 0 {
		params = append(params[:len(params)-1:len(params)-1], `,"blob":"`...)
		params = append(base64.StdEncoding.AppendEncode(params, blob), `"}`...)
	}
	l.stream.mu.Lock()
	before := len(l.stream.unsent)
	if l.stream.binary {
		l.stream.unsent = frames.AppendRequest(l.stream.unsent, []byte(id), method, params, blob)
	} else {
		l.stream.unsent = append(jsonrpc.AppendRequest(l.stream.unsent, jsonrpc.ID(id), method, params), '\n')
	}
	l.stream.enqueued += uint64(len(l.stream.unsent) - before)
	l.stream.mu.Unlock()
	if !l.stream.dirty {
		l.stream.dirty = true
		l.set.dirtyStreams = append(l.set.dirtyStreams, l.stream)
	}
}

func (st *stream) unsentBytes() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return len(st.unsent)
}

// Flush sends what was queued in this turn of the event loop. Call it at the end of the turn.
func (s *Set) Flush() {
	for i, st := range s.dirtyStreams {
		st.flush()
		s.dirtyStreams[i] = nil
	}
	s.dirtyStreams = s.dirtyStreams[:0]
}

// flush writes what the socket accepts without blocking and leaves the rest to the writer. This saves a switch of
// goroutines in each turn.
func (st *stream) flush() {
	st.dirty = false
	st.mu.Lock()
	defer st.mu.Unlock()
	if !st.writing && !st.ended && len(st.unsent) > 0 {
		n := st.socket.TryWrite(st.unsent)
		st.written += uint64(n)
		st.unsent = st.unsent[:copy(st.unsent, st.unsent[n:])]
	}
	if len(st.unsent) > 0 {
		st.changed.Signal()
	}
}

// callOutAnswered reports a worker's response to a call-out to the engine.
func (l *Link) callOutAnswered(id engine.CallOutID, resp response) {
	if resp.code == 0 {
		if resp.value == nil {
			resp.value = []byte("null")
		}
		l.set.engine.CallOutEnded(id, l.id, router.OK, resp.warmth, resp.othersAtCopy, resp.report, resp.value, resp.blob)
		return
	}
	if resp.message == "" {
		resp.message = "error " + strconv.Itoa(resp.code)
	}
	l.set.engine.CallOutEnded(id, l.id, OutcomeOf(resp.code), resp.warmth, resp.othersAtCopy, resp.report, []byte(l.name+": "+resp.message), nil)
}

// OutcomeOf returns the outcome that a worker's error code means. An unknown code is Errored: the RPC may have run.
func OutcomeOf(code int) router.Outcome {
	switch code {
	case 0:
		return router.OK
	case Full:
		return router.Full
	case NotLoaded:
		return router.NotLoaded
	case Cancelled:
		return router.Cancelled
	}
	return router.Errored
}

// ParseWarmth returns the state of the copy that a worker reports with word.
func ParseWarmth(word string) router.Warmth { return warmths[word] }

var warmths = map[string]router.Warmth{"stood": router.AlreadyWarm, "began": router.StartedLoad,
	"joined": router.JoinedLoad, "load failed": router.LoadFailed}

// decode sets the members of r from a response's result or error data.
func (r *response) decode(object []byte) {
	if len(object) == 0 || object[0] != '{' {
		return
	}
	_ = jsonrpc.ForEachMember(object, func(name []byte, v jsontext.Value) error {
		switch string(name) {
		case "value":
			r.value = bytes.Clone(v)
		case "warmth":
			word, _ := jsonrpc.ParseString(v)
			r.warmth = warmths[word]
		case "crowd":
			n, _ := jsonrpc.ParseNumber(v)
			r.othersAtCopy = int(min(max(n, 0), 1e6))
		case "report":
			r.report, _ = jsonrpc.ParseNumbers(v)
		case "copies":
			n, _ := jsonrpc.ParseNumber(v)
			r.copies = int(min(max(n, 0), 1000))
		}
		return nil
	})
}

// run keeps the link connected until its context ends.
func (l *Link) run() {
	pause := l.set.opts.RedialMin
	for l.ctx.Err() == nil {
		ready, err := l.connect()
		if l.ctx.Err() != nil {
			break
		}
		if ready {
			pause = l.set.opts.RedialMin
			l.set.opts.Log.Info().Str("worker", l.name).AnErr("cause", err).Msg("connection to worker lost")
		} else if pause == l.set.opts.RedialMin {
			l.set.opts.Log.Info().Str("worker", l.name).AnErr("cause", err).Msg("cannot connect to worker")
		}
		select {
		case <-l.ctx.Done():
		case <-time.After(pause):
		}
		if pause = min(2*pause, l.set.opts.RedialMax); ready {
			pause = l.set.opts.RedialMin
		}
	}
}

// connect opens a connection and serves it to its end. ready reports whether the worker became ready on it.
func (l *Link) connect() (ready bool, err error) {
	nc, err := (&net.Dialer{Timeout: l.set.opts.ConnectTimeout}).DialContext(l.ctx, "unix", l.socket)
	if err != nil {
		return false, err
	}
	stop := context.AfterFunc(l.ctx, func() { nc.Close() })
	defer stop()
	out := &stream{socket: sockio.NewSocket(nc)}
	out.changed = sync.NewCond(&out.mu)
	h := &connHandler{link: l, nc: nc, stream: out}
	if err := nc.SetReadDeadline(time.Now().Add(l.set.opts.ConnectTimeout)); err != nil {
		nc.Close()
		return false, err
	}
	r := jsonrpc.NewReader(nc, l.set.opts.ValueBytes)
	var dec jsonrpc.Decoder
	writer := make(chan struct{})
	go func() { defer close(writer); out.send(nc) }()
	for h.err == nil {
		if h.binary {
			if err := frames.Read(r.Remaining(), l.set.opts.ValueBytes, h); err != nil {
				h.err = err
			}
			continue
		}
		value, err := r.Next()
		if err != nil {
			h.err = err
			break
		}
		dec.Decode(value, h)
	}
	nc.Close()
	out.mu.Lock()
	out.ended = true
	out.changed.Signal()
	out.mu.Unlock()
	<-writer
	if h.ready {
		l.set.loop.Post(func() { l.connectionLost(out.written, h.err) })
	}
	return h.ready, h.err
}

// send writes queued bytes until the stream ends or a write fails.
func (st *stream) send(nc net.Conn) {
	var spare []byte
	for {
		st.mu.Lock()
		for len(st.unsent) == 0 && !st.ended {
			st.changed.Wait()
		}
		if st.ended {
			st.mu.Unlock()
			return
		}
		out := st.unsent
		st.unsent, st.writing = spare[:0], true
		st.mu.Unlock()
		n, err := nc.Write(out)
		st.mu.Lock()
		st.written += uint64(n)
		st.writing = false
		st.mu.Unlock()
		if err != nil {
			nc.Close()
			return
		}
		if spare = out; cap(spare) > 1<<16 {
			spare = nil
		}
	}
}

// workerReady starts using a connection whose worker is ready, and sends the queued requests. It runs in a turn of the
// event loop.
func (l *Link) workerReady(out *stream, binary, batches bool) {
	l.stream, l.inFlight = out, map[string]request{}
	if binary {
		l.notify("host.codec", append(jsonrpc.AppendString([]byte(`{"codec":`), frames.CodecName), '}'))
		out.binary, out.batches = true, batches
	}
	l.notify("host.ping", append(jsonrpc.AppendString([]byte(`{"front_end":`), l.set.opts.FrontEnd), '}'))
	queued := l.queued
	l.queued = nil
	for _, q := range queued {
		q.send()
	}
}

// connectionLost ends all requests that were in flight on a lost connection. written is the number of bytes of its
// stream that the socket accepted: a request whose message starts at or beyond that offset was not sent. It runs in a
// turn of the event loop.
func (l *Link) connectionLost(written uint64, err error) {
	l.stream = nil
	var batchedIDs []engine.CallOutID
	for id, r := range l.set.batched {
		if r.link == l {
			batchedIDs = append(batchedIDs, id)
		}
	}
	slices.Sort(batchedIDs)
	for _, id := range batchedIDs {
		l.set.batches.Remove(batchKey{l.name, l.set.batched[id].rpc.Function}, id)
		delete(l.set.batched, id)
		l.callOutRequest(id).onEnded(router.ConnectFailed, "connection to "+l.name+" lost before it left")
	}
	inFlight := l.inFlight
	l.inFlight = map[string]request{}
	cause := fmt.Sprintf("connection to %s lost: %v", l.name, err)
	for _, id := range sortedByOffset(inFlight) {
		if req := inFlight[id]; req.offset >= written {
			req.onEnded(router.ConnectFailed, cause) // none of its bytes was sent, so it never ran
		} else {
			req.onEnded(router.Reset, cause)
		}
	}
	l.closeIfIdle()
}

// connHandler handles the messages that arrive on one connection.
type connHandler struct {
	jsonrpc.IgnoreBatches
	link   *Link
	nc     net.Conn
	stream *stream
	ready  bool
	binary bool
	err    error
}

// HandleInvalid implements jsonrpc.Handler. It ends the connection, since nothing after a malformed message can be
// trusted.
func (h *connHandler) HandleInvalid(_ jsonrpc.ID, _ int, message string) {
	h.err = fmt.Errorf("nonsense from worker %s: %s", h.link.name, message)
}

// HandleRequest implements jsonrpc.Handler.
func (h *connHandler) HandleRequest(_ jsonrpc.ID, method string, params []byte) {
	l := h.link
	switch method {
	case "client.ready":
		workerName, version, offersFrames, batches := "", 0.0, false, false
		if len(params) > 0 && params[0] == '{' {
			_ = jsonrpc.ForEachMember(params, func(name []byte, v jsontext.Value) error {
				switch string(name) {
				case "worker":
					workerName, _ = jsonrpc.ParseString(v)
				case "protocol":
					version, _ = jsonrpc.ParseNumber(v)
				case "batches":
					batches = v.Kind() == 't'
				case "codecs":
					offersFrames = bytes.Contains(v, []byte(`"`+frames.CodecName+`"`))
				}
				return nil
			})
		}
		switch {
		case workerName != l.name:
			h.err = fmt.Errorf("worker %.80q answers where %q should", workerName, l.name)
		case version != ProtocolVersion:
			h.err = fmt.Errorf("worker %s speaks protocol %v, not %d", l.name, version, ProtocolVersion)
		case h.ready:
			h.err = fmt.Errorf("worker %s was ready before", l.name)
		default:
			h.ready = true
			h.err = h.nc.SetReadDeadline(time.Time{})
			l.set.loop.Post(func() { l.workerReady(h.stream, offersFrames, batches) })
		}
	case "client.codec": // the worker sends frames from here on
		h.binary = h.ready
	case "client.fail":
		h.err = fmt.Errorf("worker %s gives up: %.200s", l.name, params)
	}
}

// HandleResponse implements jsonrpc.Handler.
func (h *connHandler) HandleResponse(id jsonrpc.ID, result []byte, code int, message string, data []byte) {
	var blob []byte
	if text, ok := jsonrpc.ParseString(jsonrpc.Member(result, "blob")); ok {
		var err error
		if blob, err = base64.StdEncoding.DecodeString(text); err != nil {
			h.err = fmt.Errorf("worker %s: blob: %w", h.link.name, err)
			return
		}
	}
	h.HandleResponseBlob(id, result, code, message, data, blob)
}

// HandleRequestBlob implements frames.Handler.
func (h *connHandler) HandleRequestBlob(id []byte, method string, params, _ []byte) {
	h.HandleRequest(id, method, params)
}

// HandleResponseBlob implements frames.Handler.
func (h *connHandler) HandleResponseBlob(id []byte, result []byte, code int, message string, data, blob []byte) {
	l, key := h.link, string(id)
	resp := response{code: code, message: message, blob: blob}
	resp.decode(result)
	resp.decode(data)
	l.set.loop.Post(func() {
		req, known := l.inFlight[key]
		if !known {
			l.set.opts.Log.Debug().Str("worker", l.name).Str("id", key).Msg("response to a request that is not in flight")
			return
		}
		delete(l.inFlight, key)
		req.onResponse(resp)
		l.closeIfIdle()
	})
}
