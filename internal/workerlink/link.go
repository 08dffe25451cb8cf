// Package workerlink is a front end's side towards its workers: one connection to each, JSON-RPC 2.0 both ways, as
// docs/protocol.md words it. A link tells the engine how each call-out ended, and of one that it could not deliver,
// whether that proves that it never ran: a call-out none of whose bytes was given to the socket never ran; one of
// which a byte was may have.
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

// Error codes of workers' answers. All but Failed and CalledOff prove that the RPC never ran.
const (
	Full       = -32010 // not taken: no place, no memory, or the worker drains
	NotLoaded  = -32011 // not loaded there, or its load failed, before it ran
	Failed     = -32012 // it ran, or began to, and failed
	Cancelled  = -32013 // called off; it may have run
	LoadFailed = -32014 // a load order's load failed
)

// ProtocolVersion is the protocol's, as client.ready states it.
const ProtocolVersion = 1

// Options are the settings of all links of a front end.
type Options struct {
	FrontEnd       string
	ConnectTimeout time.Duration                                  // a worker that has not said client.ready by then is out of reach
	ValueBytes     int                                            // bytes of one JSON value from a worker
	QueuedBytes    int                                            // bytes that wait for a worker that reads slowly; call-outs beyond are not taken
	RedialMin      time.Duration                                  // first pause before a new connection, doubling
	RedialMax      time.Duration                                  // last one
	WrapLink       func(worker string, l engine.Link) engine.Link // nil: links go to the engine as they are
	Log            zerolog.Logger
}

// Set has a front end's links. All of its methods are for turns of the loop alone, but Run.
type Set struct {
	o      Options
	loop   *eventloop.Loop
	engine *engine.Engine
	links  map[string]*Link
	group  errgroup.Group
	ctx    context.Context
	dirty  []*stream // written to in this turn

	now     router.Time
	batches *batch.Batcher[riders, engine.CallOutID]
	waiting map[engine.CallOutID]rider // in a batch that has not left
}

// riders wait for each other: RPCs of one function to one worker.
type riders struct{ worker, function string }

// rider is one of them: its request as it came, and how long its client waited then.
type rider struct {
	l    *Link
	p    *engine.RPC
	came router.Time
	left router.Time
}

// New makes a set whose links live until the context ends.
func New(ctx context.Context, loop *eventloop.Loop, e *engine.Engine, o Options) *Set {
	return &Set{o: o, loop: loop, engine: e, links: map[string]*Link{}, ctx: ctx,
		batches: batch.New[riders, engine.CallOutID](), waiting: map[engine.CallOutID]rider{}}
}

// Wait returns once all links' goroutines have ended, after the context's end.
func (s *Set) Wait() { _ = s.group.Wait() }

// Add has a link to the worker kept up; id is the worker's at the engine.
func (s *Set) Add(name, socket string, id router.WorkerID) {
	l := s.links[name]
	if l != nil && l.socket == socket && l.ctx.Err() == nil {
		l.wanted = true
		return
	}
	if l != nil {
		l.cancel()
	}
	l = &Link{s: s, name: name, socket: socket, id: id, wanted: true, sent: map[string]flight{}}
	l.ctx, l.cancel = context.WithCancel(s.ctx)
	s.links[name] = l
	s.engine.SetLink(name, s.wrapped(l))
	s.group.Go(func() error { l.run(); return nil })
}

func (s *Set) wrapped(l *Link) engine.Link {
	if s.o.WrapLink != nil {
		return s.o.WrapLink(l.name, l)
	}
	return l
}

// Remove lets go of the link once nothing is out on it.
func (s *Set) Remove(name string) {
	if l := s.links[name]; l != nil {
		l.wanted = false
		l.retire()
	}
}

// flight is something out on a link: where its message begins in the stream, and who is told how it ended.
type flight struct {
	at     uint64
	ended  func(o router.Outcome, cause string)
	answer func(a answer)
}

// answer is a worker's answer as the reader decoded it; data of an error and results have the same members.
type answer struct {
	code    int
	message string
	value   []byte
	blob    []byte
	warmth  router.Warmth
	crowd   int
	report  []float64
	copies  int
}

// Link is the way to one worker.
type Link struct {
	s            *Set
	name, socket string
	id           router.WorkerID
	ctx          context.Context
	cancel       context.CancelFunc

	// the loop's
	wanted bool
	up     *stream           // nil: there is no connection on which the worker is ready
	sent   map[string]flight // out on the present connection, by id
	held   []*heldAsk        // sent once it is up; each expires
}

// stream is what goes out on one connection; nothing handed to it ever goes out on another.
type stream struct {
	now     sockio.Socket
	binary  bool   // the loop's: the codec agreed on
	batches bool   // the loop's: the worker takes host.batch
	total   uint64 // the loop's: bytes handed to the writer
	dirty   bool   // the loop's: written to in this turn

	mu      sync.Mutex
	out     []byte
	writing bool // the writer has taken bytes
	ended   bool
	more    *sync.Cond
	written uint64 // bytes that the socket took
}

type heldAsk struct{ ask, expire func() }

// retire ends an unwanted link with nothing out.
func (l *Link) retire() {
	if !l.wanted && len(l.sent) == 0 && len(l.held) == 0 {
		l.cancel()
	}
}

// Send implements engine.Link.
func (l *Link) Send(id engine.CallOutID, p *engine.RPC, left, _ router.Time) {
	if p.Method.MaxBatch > 1 && l.up != nil && l.up.binary && l.up.batches {
		s := l.s
		s.waiting[id] = rider{l, p, s.now, left}
		s.sendBatch(s.batches.Add(s.now, riders{l.name, p.Function}, id, p.Method.MaxBatch, p.Method.BatchWait, p.SoftDeadline-s.now))
		return
	}
	l.askWith(string(jsonrpc.NumberID(uint64(id))), "host.request", requestParams(p, left), p.Blob, l.flightOf(id))
}

// flightOf is a call-out's: who is told how it ended.
func (l *Link) flightOf(id engine.CallOutID) flight {
	return flight{
		ended: func(o router.Outcome, cause string) {
			l.s.engine.CallOutEnded(id, l.id, o, router.WarmthUnknown, 0, nil, []byte(cause), nil)
		},
		answer: func(a answer) { l.answered(id, a) },
	}
}

// sendBatch sends what rides together, each under its own id; one alone goes as it would without.
func (s *Set) sendBatch(ids []engine.CallOutID) {
	ids = slices.DeleteFunc(ids, func(id engine.CallOutID) bool {
		over := !s.engine.CallOutOpen(id) // its time was up meanwhile: this front end stood still
		if over {
			delete(s.waiting, id)
		}
		return over
	})
	if len(ids) == 0 {
		return
	}
	var blob []byte
	b := []byte(`{"requests":[`)
	var l *Link
	for i, id := range ids {
		r := s.waiting[id]
		delete(s.waiting, id)
		l = r.l
		left := max(0, r.left-(s.now-r.came))
		if len(ids) == 1 {
			l.askWith(string(jsonrpc.NumberID(uint64(id))), "host.request", requestParams(r.p, left), r.p.Blob, l.flightOf(id))
			return
		}
		if i > 0 {
			b = append(b, ',')
		}
		part := requestParams(r.p, left)
		b = append(append(b, part[:len(part)-1]...), `,"id":`...)
		b = strconv.AppendInt(append(strconv.AppendUint(b, uint64(id), 10), `,"blob_bytes":`...), int64(len(r.p.Blob)), 10)
		b = append(b, '}')
		blob = append(blob, r.p.Blob...)
	}
	if l.up == nil { // it went down in this turn
		for _, id := range ids {
			l.s.loop.Post(func() { l.flightOf(id).ended(router.ConnectFailed, "no connection to "+l.name) })
		}
		return
	}
	for _, id := range ids {
		f := l.flightOf(id)
		f.at = l.up.total
		l.sent[string(jsonrpc.NumberID(uint64(id)))] = f
	}
	l.write("", "host.batch", append(b, "]}"...), blob)
}

// BeginTurn tells the time of a turn.
func (s *Set) BeginTurn(now router.Time) { s.now = now }

// NextDue tells when a batch leaves.
func (s *Set) NextDue() (router.Time, bool) { return s.batches.NextDue() }

// SendDueBatches sends the batches whose wait is over; it may be called in a turn alone, before Flush.
func (s *Set) SendDueBatches() {
	for _, ids := s.batches.PopDue(s.now); ids != nil; _, ids = s.batches.PopDue(s.now) {
		s.sendBatch(ids)
	}
}

// requestParams are a request's, for a client that waits so long.
func requestParams(p *engine.RPC, left router.Time) []byte {
	b := append(make([]byte, 0, 256+len(p.Payload)), `{"method":`...)
	b = jsonrpc.AppendString(b, p.Method.Name)
	b = jsonrpc.AppendString(append(b, `,"function":`...), p.Function)
	if p.Token != "" {
		b = jsonrpc.AppendString(append(b, `,"token":`...), p.Token)
	}
	b = strconv.AppendFloat(append(b, `,"time_ms":`...), float64(left)/10, 'f', 1, 64)
	b = appendFunction(b, p.Spec)
	if len(p.Payload) > 0 {
		b = append(append(b, `,"payload":`...), p.Payload...)
	}
	return append(b, '}')
}

func appendFunction(b []byte, fn engine.FunctionSpec) []byte {
	b = strconv.AppendFloat(append(b, `,"memory_mb":`...), fn.MemoryMB, 'f', -1, 64)
	b = strconv.AppendInt(append(b, `,"lanes":`...), int64(fn.Lanes), 10)
	return strconv.AppendFloat(append(b, `,"load_ms":`...), float64(fn.LoadTime)/10, 'f', -1, 64)
}

// CancelCallOut implements engine.Link.
func (l *Link) CancelCallOut(id engine.CallOutID) {
	if r, waits := l.s.waiting[id]; waits { // it has not left: it never ran
		l.s.batches.Remove(riders{l.name, r.p.Function}, id)
		delete(l.s.waiting, id)
		l.s.loop.Post(func() { l.flightOf(id).ended(router.Full, "called off before it left") })
		return
	}
	params := append(strconv.AppendUint([]byte(`{"id":`), uint64(id), 10), '}')
	if l.up != nil {
		l.tell("host.call_off", params)
	}
}

// CancelLoadOrder implements engine.Link.
func (l *Link) CancelLoadOrder(id engine.OrderID) {
	if l.up != nil {
		l.tell("host.call_off", append(strconv.AppendUint([]byte(`{"id":"o`), uint64(id), 10), `"}`...))
	}
}

// OrderLoad implements engine.Link.
func (l *Link) OrderLoad(id engine.OrderID, function string, fn engine.FunctionSpec, copies int, _ router.Time) {
	b := appendFunction(jsonrpc.AppendString([]byte(`{"function":`), function), fn)
	b = append(strconv.AppendInt(append(b, `,"copies":`...), int64(copies), 10), '}')
	l.ask(`"o`+strconv.FormatUint(uint64(id), 10)+`"`, "host.hold", b, flight{
		ended: func(o router.Outcome, _ string) { l.s.engine.LoadOrderEnded(id, o, 0) },
		answer: func(a answer) {
			o := router.Errored
			switch a.code {
			case 0:
				o = router.OK
			case Full:
				o = router.Full
			}
			l.s.engine.LoadOrderEnded(id, o, a.copies)
		},
	})
}

// Check implements engine.Link.
func (l *Link) Check(id engine.CheckID) {
	l.ask(`"c`+strconv.FormatUint(uint64(id), 10)+`"`, "host.ping", nil, flight{
		ended: func(o router.Outcome, _ string) { l.s.engine.CheckEnded(id, o, nil) },
		answer: func(a answer) {
			if a.code != 0 {
				l.s.engine.CheckEnded(id, router.Errored, nil)
				return
			}
			l.s.engine.CheckEnded(id, router.OK, a.report)
		},
	})
}

// ask sends a request whose answer is awaited, or holds it until the link is up or the connect time-out is over.
func (l *Link) ask(id, method string, params []byte, f flight) { l.askWith(id, method, params, nil, f) }

// askWith is ask with bytes beside the params.
func (l *Link) askWith(id, method string, params, blob []byte, f flight) {
	if l.ctx.Err() != nil {
		l.s.loop.Post(func() { f.ended(router.ConnectFailed, "the link to "+l.name+" is closed") })
		return
	}
	if l.up == nil {
		h := &heldAsk{ask: func() { l.askWith(id, method, params, blob, f) },
			expire: func() { f.ended(router.ConnectFailed, "no connection to "+l.name) }}
		l.held = append(l.held, h)
		time.AfterFunc(l.s.o.ConnectTimeout, func() {
			l.s.loop.Post(func() {
				if at := slices.Index(l.held, h); at >= 0 {
					l.held = slices.Delete(l.held, at, at+1)
					h.expire()
					l.retire()
				}
			})
		})
		return
	}
	if l.up.waiting() > l.s.o.QueuedBytes {
		l.s.loop.Post(func() { f.ended(router.Full, l.name+" reads too slowly") })
		return
	}
	f.at = l.up.total
	l.sent[id] = f
	l.write(id, method, params, blob)
}

func (l *Link) tell(method string, params []byte) {
	l.write("", method, params, nil)
}

// write sends a request or a notification, in the codec agreed on. JSON carries bytes as params.blob, in base64.
func (l *Link) write(id, method string, params, blob []byte) {
	if !l.up.binary && len(blob) > 0 {
		params = append(params[:len(params)-1:len(params)-1], `,"blob":"`...)
		params = append(base64.StdEncoding.AppendEncode(params, blob), `"}`...)
	}
	l.up.mu.Lock()
	before := len(l.up.out)
	if l.up.binary {
		l.up.out = frames.AppendRequest(l.up.out, []byte(id), method, params, blob)
	} else {
		l.up.out = append(jsonrpc.AppendRequest(l.up.out, jsonrpc.ID(id), method, params), '\n')
	}
	l.up.total += uint64(len(l.up.out) - before)
	l.up.mu.Unlock()
	if !l.up.dirty {
		l.up.dirty = true
		l.s.dirty = append(l.s.dirty, l.up)
	}
}

func (st *stream) waiting() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return len(st.out)
}

// Flush sends what this turn wrote; it may be called in a turn alone, at its end.
func (s *Set) Flush() {
	for i, st := range s.dirty {
		st.flush()
		s.dirty[i] = nil
	}
	s.dirty = s.dirty[:0]
}

// flush writes what the socket takes at once; the rest is the writer's. It saves a change of goroutines for each turn.
func (st *stream) flush() {
	st.dirty = false
	st.mu.Lock()
	defer st.mu.Unlock()
	if !st.writing && !st.ended && len(st.out) > 0 {
		n := st.now.TryWrite(st.out)
		st.written += uint64(n)
		st.out = st.out[:copy(st.out, st.out[n:])]
	}
	if len(st.out) > 0 {
		st.more.Signal()
	}
}

// answered hands a call-out's answer to the engine.
func (l *Link) answered(id engine.CallOutID, a answer) {
	if a.code == 0 {
		if a.value == nil {
			a.value = []byte("null")
		}
		l.s.engine.CallOutEnded(id, l.id, router.OK, a.warmth, a.crowd, a.report, a.value, a.blob)
		return
	}
	if a.message == "" {
		a.message = "error " + strconv.Itoa(a.code)
	}
	l.s.engine.CallOutEnded(id, l.id, OutcomeOf(a.code), a.warmth, a.crowd, a.report, []byte(l.name+": "+a.message), nil)
}

// OutcomeOf is what a worker's code tells of an RPC; codes that we don't know prove nothing.
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

// ParseWarmth is what a worker's word tells of the copy.
func ParseWarmth(word string) router.Warmth { return warmths[word] }

var warmths = map[string]router.Warmth{"stood": router.AlreadyWarm, "began": router.StartedLoad,
	"joined": router.JoinedLoad, "load failed": router.LoadFailed}

// read takes what an answer's object tells.
func (a *answer) read(object []byte) {
	if len(object) == 0 || object[0] != '{' {
		return
	}
	_ = jsonrpc.ForEachMember(object, func(name []byte, v jsontext.Value) error {
		switch string(name) {
		case "value":
			a.value = bytes.Clone(v)
		case "warmth":
			word, _ := jsonrpc.ParseString(v)
			a.warmth = warmths[word]
		case "crowd":
			n, _ := jsonrpc.ParseNumber(v)
			a.crowd = int(min(max(n, 0), 1e6))
		case "report":
			a.report, _ = jsonrpc.ParseNumbers(v)
		case "copies":
			n, _ := jsonrpc.ParseNumber(v)
			a.copies = int(min(max(n, 0), 1000))
		}
		return nil
	})
}

// run keeps a connection up until the link's context ends.
func (l *Link) run() {
	pause := l.s.o.RedialMin
	for l.ctx.Err() == nil {
		ready, err := l.connect()
		if l.ctx.Err() != nil {
			break
		}
		if ready {
			pause = l.s.o.RedialMin
			l.s.o.Log.Info().Str("worker", l.name).AnErr("cause", err).Msg("connection to worker lost")
		} else if pause == l.s.o.RedialMin {
			l.s.o.Log.Info().Str("worker", l.name).AnErr("cause", err).Msg("no connection to worker")
		}
		select {
		case <-l.ctx.Done():
		case <-time.After(pause):
		}
		if pause = min(2*pause, l.s.o.RedialMax); ready {
			pause = l.s.o.RedialMin
		}
	}
}

// connect serves one connection to its end; ready: the worker was ready on it.
func (l *Link) connect() (ready bool, err error) {
	nc, err := (&net.Dialer{Timeout: l.s.o.ConnectTimeout}).DialContext(l.ctx, "unix", l.socket)
	if err != nil {
		return false, err
	}
	stop := context.AfterFunc(l.ctx, func() { nc.Close() })
	defer stop()
	st := &stream{now: sockio.NewSocket(nc)}
	st.more = sync.NewCond(&st.mu)
	p := &peer{l: l, nc: nc, st: st}
	if err := nc.SetReadDeadline(time.Now().Add(l.s.o.ConnectTimeout)); err != nil {
		nc.Close()
		return false, err
	}
	r := jsonrpc.NewReader(nc, l.s.o.ValueBytes)
	var dec jsonrpc.Decoder
	writer := make(chan struct{})
	go func() { defer close(writer); st.send(nc) }()
	for p.err == nil {
		if p.binary {
			if err := frames.Read(r.Remaining(), l.s.o.ValueBytes, p); err != nil {
				p.err = err
			}
			continue
		}
		value, err := r.Next()
		if err != nil {
			p.err = err
			break
		}
		dec.Decode(value, p)
	}
	nc.Close()
	st.mu.Lock()
	st.ended = true
	st.more.Signal()
	st.mu.Unlock()
	<-writer
	if p.ready {
		l.s.loop.Post(func() { l.down(st.written, p.err) })
	}
	return p.ready, p.err
}

// send writes until the stream's end or the first error.
func (st *stream) send(nc net.Conn) {
	var spare []byte
	for {
		st.mu.Lock()
		for len(st.out) == 0 && !st.ended {
			st.more.Wait()
		}
		if st.ended {
			st.mu.Unlock()
			return
		}
		out := st.out
		st.out, st.writing = spare[:0], true
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

// ready has what was held sent; in a turn.
func (l *Link) ready(st *stream, binary, batches bool) {
	l.up, l.sent = st, map[string]flight{}
	if binary {
		l.tell("host.codec", append(jsonrpc.AppendString([]byte(`{"codec":`), frames.CodecName), '}'))
		st.binary, st.batches = true, batches
	}
	l.tell("host.ping", append(jsonrpc.AppendString([]byte(`{"front_end":`), l.s.o.FrontEnd), '}'))
	held := l.held
	l.held = nil
	for _, h := range held {
		h.ask()
	}
}

// down ends all that was out: written tells how many bytes of the stream the socket took.
func (l *Link) down(written uint64, err error) {
	l.up = nil
	var unsent []engine.CallOutID
	for id, r := range l.s.waiting {
		if r.l == l {
			unsent = append(unsent, id)
		}
	}
	slices.Sort(unsent)
	for _, id := range unsent {
		l.s.batches.Remove(riders{l.name, l.s.waiting[id].p.Function}, id)
		delete(l.s.waiting, id)
		l.flightOf(id).ended(router.ConnectFailed, "connection to "+l.name+" lost before it left")
	}
	sent := l.sent
	l.sent = map[string]flight{}
	cause := fmt.Sprintf("connection to %s lost: %v", l.name, err)
	for _, id := range sortedByPlace(sent) {
		if f := sent[id]; f.at >= written {
			f.ended(router.ConnectFailed, cause) // not a byte of it left: it never ran
		} else {
			f.ended(router.Reset, cause)
		}
	}
	l.retire()
}

// peer reads one connection.
type peer struct {
	jsonrpc.IgnoreBatches
	l      *Link
	nc     net.Conn
	st     *stream
	ready  bool
	binary bool
	err    error
}

// HandleInvalid implements jsonrpc.Peer: what comes after nonsense can't be trusted.
func (p *peer) HandleInvalid(_ jsonrpc.ID, _ int, message string) {
	p.err = fmt.Errorf("nonsense from worker %s: %s", p.l.name, message)
}

// HandleRequest implements jsonrpc.Peer.
func (p *peer) HandleRequest(_ jsonrpc.ID, method string, params []byte) {
	l := p.l
	switch method {
	case "client.ready":
		worker, version, offered, batches := "", 0.0, false, false
		if len(params) > 0 && params[0] == '{' {
			_ = jsonrpc.ForEachMember(params, func(name []byte, v jsontext.Value) error {
				switch string(name) {
				case "worker":
					worker, _ = jsonrpc.ParseString(v)
				case "protocol":
					version, _ = jsonrpc.ParseNumber(v)
				case "batches":
					batches = v.Kind() == 't'
				case "codecs":
					offered = bytes.Contains(v, []byte(`"`+frames.CodecName+`"`))
				}
				return nil
			})
		}
		switch {
		case worker != l.name:
			p.err = fmt.Errorf("worker %.80q answers where %q should", worker, l.name)
		case version != ProtocolVersion:
			p.err = fmt.Errorf("worker %s speaks protocol %v, not %d", l.name, version, ProtocolVersion)
		case p.ready:
			p.err = fmt.Errorf("worker %s was ready before", l.name)
		default:
			p.ready = true
			p.err = p.nc.SetReadDeadline(time.Time{})
			l.s.loop.Post(func() { l.ready(p.st, offered, batches) })
		}
	case "client.codec": // what follows is in frames
		p.binary = p.ready
	case "client.fail":
		p.err = fmt.Errorf("worker %s gives up: %.200s", l.name, params)
	}
}

// HandleResponse implements jsonrpc.Peer.
func (p *peer) HandleResponse(id jsonrpc.ID, result []byte, code int, message string, data []byte) {
	var blob []byte
	if text, is := jsonrpc.ParseString(jsonrpc.Member(result, "blob")); is {
		var err error
		if blob, err = base64.StdEncoding.DecodeString(text); err != nil {
			p.err = fmt.Errorf("worker %s: blob: %w", p.l.name, err)
			return
		}
	}
	p.HandleResponseBlob(id, result, code, message, data, blob)
}

// HandleRequestBlob implements frames.Peer.
func (p *peer) HandleRequestBlob(id []byte, method string, params, _ []byte) {
	p.HandleRequest(id, method, params)
}

// HandleResponseBlob implements frames.Peer.
func (p *peer) HandleResponseBlob(id []byte, result []byte, code int, message string, data, blob []byte) {
	l, key := p.l, string(id)
	a := answer{code: code, message: message, blob: blob}
	a.read(result)
	a.read(data)
	l.s.loop.Post(func() {
		f, out := l.sent[key]
		if !out {
			l.s.o.Log.Debug().Str("worker", l.name).Str("id", key).Msg("answer to what is not out")
			return
		}
		delete(l.sent, key)
		f.answer(a)
		l.retire()
	})
}
