package kserve

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"mallowlanding/internal/admission"
	"mallowlanding/internal/certs"
	"mallowlanding/internal/dispatch"
	"mallowlanding/internal/eventloop"
	"mallowlanding/internal/jsonrpc"
	"mallowlanding/internal/tensor"
	"mallowlanding/router"
)

// TensorMeta is what the metadata tell of an input or output; -1 in a shape: of any length.
type TensorMeta struct {
	Name, Datatype string
	Shape          []int64
}

// Model is one version of a model that is served: a function, asked for by a method.
type Model struct {
	Name, Version, Platform string
	Method                  int // place in the settings
	Function                string
	Inputs, Outputs         []TensorMeta
}

// Options are a server's settings.
type Options struct {
	Name                                    string // of the server, in its metadata
	Models                                  []Model
	BodyBytes                               int64 // a larger body is refused before it is read
	TimeHeader, CustomerHeader, TokenHeader string
	Keys                                    *certs.Store // of ServeTLS and ServeGRPCTLS; nil: they are not used
	Clients                                 []certs.Client
	Ready                                   func() bool                // in a turn: RPCs are taken, and somebody could run them
	Halted                                  func(function string) bool // in a turn: loads of it are halted, and no copy stands
	Log                                     zerolog.Logger
}

// Server answers the protocol's HTTP paths.
type Server struct {
	o      Options
	loop   *eventloop.Loop
	desk   *dispatch.Dispatcher
	models atomic.Pointer[map[string][]*Model] // versions of each, in their order
	http   http.Server
	grpc   []*grpc.Server // plain, and with TLS where there are keys

	mu    sync.Mutex
	conns map[net.Conn]*peer
}

// peer is one HTTP connection's place at the desk; its fields are the loop's.
type peer struct {
	conn *dispatch.Conn
}

type connKey struct{}

// New makes a server for a desk that loop drives.
func New(loop *eventloop.Loop, d *dispatch.Dispatcher, o Options) *Server {
	s := &Server{o: o, loop: loop, desk: d, conns: map[net.Conn]*peer{}}
	s.UpdateSettings(o.Models)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v2/health/live", func(w http.ResponseWriter, _ *http.Request) { write(w, 200, []byte(`{"live":true}`)) })
	mux.HandleFunc("GET /v2/health/ready", s.ready)
	mux.HandleFunc("GET /v2", s.metadata)
	for _, version := range []string{"", "/versions/{version}"} {
		mux.HandleFunc("GET /v2/models/{model}"+version, s.modelMetadata)
		mux.HandleFunc("GET /v2/models/{model}"+version+"/ready", s.modelReady)
		mux.HandleFunc("POST /v2/models/{model}"+version+"/infer", s.infer)
	}
	for _, path := range []string{"/v2/repository/", "/v2/models/{model}/config", "/v2/models/{model}/stats",
		"/v2/models/{model}/generate", "/v2/systemsharedmemory/", "/v2/cudasharedmemory/"} {
		mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
			fail(w, http.StatusNotImplemented, "not served here: "+r.URL.Path)
		})
	}
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		fail(w, http.StatusNotFound, fmt.Sprintf("no such path, or not by %s: %.80s", r.Method, r.URL.Path))
	})
	s.http = http.Server{Handler: mux, ReadHeaderTimeout: headerTimeOut, ConnContext: s.connected,
		ConnState: s.state}
	s.grpc = []*grpc.Server{newGRPC(s)}
	if o.Keys != nil {
		s.grpc = append(s.grpc, newGRPC(s, grpc.Creds(credentials.NewTLS(o.Keys.ServerConfig("h2")))))
	}
	return s
}

// UpdateSettings takes new models; infers that came before keep theirs.
func (s *Server) UpdateSettings(models []Model) {
	by := map[string][]*Model{}
	for i := range models {
		by[models[i].Name] = append(by[models[i].Name], &models[i])
	}
	s.models.Store(&by)
}

// versions are those of a model.
func (s *Server) versions(model string) []*Model { return (*s.models.Load())[model] }

// headerTimeOut bounds how long a client may take over its headers.
const headerTimeOut = 10 * time.Second

// Serve takes connections until Close or Drain.
func (s *Server) Serve(l net.Listener) error {
	if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// ServeTLS is Serve with the keys.
func (s *Server) ServeTLS(l net.Listener) error {
	return s.Serve(tls.NewListener(l, s.o.Keys.ServerConfig("http/1.1")))
}

// Drain takes no more connections, and returns once all that came are answered or the context ends.
func (s *Server) Drain(ctx context.Context) {
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		for _, g := range s.grpc { // GOAWAY, then what is open is answered
			g.GracefulStop()
		}
	}()
	_ = s.http.Shutdown(ctx)
	select {
	case <-stopped:
	case <-ctx.Done():
		for _, g := range s.grpc {
			g.Stop()
		}
		<-stopped
	}
}

// Close ends all connections.
func (s *Server) Close() {
	_ = s.http.Close()
	for _, g := range s.grpc {
		g.Stop()
	}
}

func (s *Server) connected(ctx context.Context, nc net.Conn) context.Context {
	p := &peer{}
	s.mu.Lock()
	s.conns[nc] = p
	s.mu.Unlock()
	return context.WithValue(ctx, connKey{}, p)
}

func (s *Server) state(nc net.Conn, state http.ConnState) {
	if state != http.StateClosed && state != http.StateHijacked {
		return
	}
	s.mu.Lock()
	p := s.conns[nc]
	delete(s.conns, nc)
	s.mu.Unlock()
	if p != nil {
		s.loop.Post(func() {
			if p.conn != nil {
				p.conn.Close()
			}
		})
	}
}

func write(w http.ResponseWriter, status int, body []byte, tail ...[]byte) {
	if w.Header().Get("Content-Type") == "" {
		w.Header().Set("Content-Type", "application/json")
	}
	n := len(body)
	for _, part := range tail {
		n += len(part)
	}
	w.Header().Set("Content-Length", strconv.Itoa(n))
	w.WriteHeader(status)
	_, _ = w.Write(body)
	for _, part := range tail {
		_, _ = w.Write(part)
	}
}

func fail(w http.ResponseWriter, status int, message string) {
	write(w, status, append(jsonrpc.AppendString([]byte(`{"error":`), message), '}'))
}

// isReady asks in a turn; of a model, too, unless it is nil.
func (s *Server) isReady(m *Model) bool {
	got := make(chan bool, 1)
	if !s.loop.Post(func() {
		got <- !s.desk.Draining() && (s.o.Ready == nil || s.o.Ready()) &&
			(m == nil || s.o.Halted == nil || !s.o.Halted(m.Function))
	}) {
		return false
	}
	return <-got
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if s.isReady(nil) {
		write(w, 200, []byte(`{"ready":true}`))
		return
	}
	write(w, http.StatusServiceUnavailable, []byte(`{"ready":false}`))
}

func (s *Server) metadata(w http.ResponseWriter, _ *http.Request) {
	b := jsonrpc.AppendString([]byte(`{"name":`), s.o.Name)
	write(w, 200, append(b, `,"version":"2","extensions":["binary_tensor_data"]}`...))
}

// find finds a model; without a version the last one stated is meant.
func (s *Server) find(name, version string) (*Model, error) {
	versions := s.versions(name)
	for i := len(versions) - 1; i >= 0; i-- {
		if version == "" || versions[i].Version == version {
			return versions[i], nil
		}
	}
	if len(versions) == 0 {
		return nil, fmt.Errorf("no model %.80q", name)
	}
	return nil, fmt.Errorf("model %q has no version %.80q", name, version)
}

// model finds the model that a path names, or says that there is none.
func (s *Server) model(w http.ResponseWriter, r *http.Request) *Model {
	m, err := s.find(r.PathValue("model"), r.PathValue("version"))
	if err != nil {
		fail(w, http.StatusNotFound, err.Error())
	}
	return m
}

func (s *Server) modelReady(w http.ResponseWriter, r *http.Request) {
	m := s.model(w, r)
	if m == nil {
		return
	}
	ready, status := s.isReady(m), 200
	if !ready {
		status = http.StatusServiceUnavailable
	}
	b := jsonrpc.AppendString([]byte(`{"name":`), m.Name)
	write(w, status, append(strconv.AppendBool(append(b, `,"ready":`...), ready), '}'))
}

func (s *Server) modelMetadata(w http.ResponseWriter, r *http.Request) {
	m := s.model(w, r)
	if m == nil {
		return
	}
	b := jsonrpc.AppendString([]byte(`{"name":`), m.Name)
	b = append(b, `,"versions":[`...)
	for i, v := range s.versions(m.Name) {
		if i > 0 {
			b = append(b, ',')
		}
		b = jsonrpc.AppendString(b, v.Version)
	}
	b = jsonrpc.AppendString(append(b, `],"platform":`...), m.Platform)
	for _, part := range []struct {
		name string
		ts   []TensorMeta
	}{{"inputs", m.Inputs}, {"outputs", m.Outputs}} {
		b = append(append(append(b, `,"`...), part.name...), `":[`...)
		for i, t := range part.ts {
			if i > 0 {
				b = append(b, ',')
			}
			b = jsonrpc.AppendString(append(b, `{"name":`...), t.Name)
			b = jsonrpc.AppendString(append(b, `,"datatype":`...), t.Datatype)
			b = append(tensor.AppendShape(append(b, `,"shape":`...), t.Shape), '}')
		}
		b = append(b, ']')
	}
	write(w, 200, append(b, '}'))
}

// check holds an infer against the model's metadata, where they name inputs or outputs: what is wrong is said before
// anything runs.
func (m *Model) check(in *infer) error {
	for _, t := range in.inputs {
		at := slices.IndexFunc(m.Inputs, func(i TensorMeta) bool { return i.Name == t.Name })
		if at < 0 && len(m.Inputs) > 0 {
			return fmt.Errorf("model %q has no input %q", m.Name, t.Name)
		}
		if at >= 0 && (m.Inputs[at].Datatype != t.Datatype || !fits(m.Inputs[at].Shape, t.Shape)) {
			return fmt.Errorf("input %q is %s %v, model %q takes %s %v", t.Name, t.Datatype, t.Shape, m.Name,
				m.Inputs[at].Datatype, m.Inputs[at].Shape)
		}
	}
	for _, i := range m.Inputs {
		if !slices.ContainsFunc(in.inputs, func(t tensor.Tensor) bool { return t.Name == i.Name }) {
			return fmt.Errorf("input %q of model %q is missing", i.Name, m.Name)
		}
	}
	for _, o := range in.outputs {
		if len(m.Outputs) > 0 && !slices.ContainsFunc(m.Outputs, func(t TensorMeta) bool { return t.Name == o.name }) {
			return fmt.Errorf("model %q has no output %q", m.Name, o.name)
		}
	}
	return nil
}

// fits tells whether a shape is one of those that want allows.
func fits(want, got []int64) bool {
	if len(want) != len(got) {
		return false
	}
	for i := range want {
		if want[i] >= 0 && want[i] != got[i] {
			return false
		}
	}
	return true
}

// outcome is an RPC's one answer.
type outcome struct {
	kind     kind
	value    []byte // of ok
	blob     []byte // likewise
	message  string // of all others
	comeBack router.Time
}

type kind uint8

const (
	isOK kind = iota
	isDenied
	isAborted
	isRefused
)

// reply waits for an RPC's one answer. It is the desk's Reply.
type reply chan outcome

// OK implements front.Reply.
func (r reply) OK(result, blob []byte) { r <- outcome{kind: isOK, value: result, blob: blob} }

// Denied implements front.Reply.
func (r reply) Denied(message string, comeBack router.Time) {
	r <- outcome{kind: isDenied, message: message, comeBack: comeBack}
}

// Aborted implements front.Reply.
func (r reply) Aborted(cause string) {
	r <- outcome{kind: isAborted, message: "aborted, it may have run: " + cause}
}

// Rejected implements front.Reply.
func (r reply) Rejected(message string) { r <- outcome{kind: isRefused, message: message} }

// ask brings an infer to the desk and waits for its answer; false: its client has left.
func (s *Server) ask(ctx context.Context, at *peer, p dispatch.Params, came time.Time) (outcome, bool) {
	got := make(reply, 1)
	var ask *dispatch.Request
	if !s.loop.Post(func() {
		if at.conn == nil {
			at.conn = s.desk.OpenConn(admission.PeerID(0))
		}
		ask = at.conn.Submit(p, eventloop.FromDuration(time.Since(came)), got)
	}) {
		got.Denied("denied: this front end has stopped", 0)
	}
	select {
	case o := <-got:
		return o, true
	case <-ctx.Done():
		s.loop.Post(func() {
			if ask != nil {
				ask.Abandon()
			}
		})
		return outcome{}, false
	}
}

// readBody reads a body into one piece of memory of its size, where that was told.
func readBody(from io.Reader, told int64) ([]byte, error) {
	if told < 0 {
		return io.ReadAll(from)
	}
	body := make([]byte, told)
	_, err := io.ReadFull(from, body)
	return body, err
}

// readTime reads a time in ms of a header.
func readTime(text string) (float64, error) {
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || ms < 0 || math.IsInf(ms, 0) || math.IsNaN(ms) {
		return 0, fmt.Errorf("must be a time in ms, not %.40q", text)
	}
	return ms, nil
}

func (s *Server) infer(w http.ResponseWriter, r *http.Request) {
	came := time.Now()
	m := s.model(w, r)
	if m == nil {
		return
	}
	most := s.o.BodyBytes
	if bound := s.desk.MethodAt(m.Method).MaxBytes; bound > 0 {
		most = min(most, bound)
	}
	if r.ContentLength > most {
		w.Header().Set("Connection", "close")
		fail(w, http.StatusRequestEntityTooLarge, fmt.Sprintf("a body of %d bytes, %d are taken", r.ContentLength, most))
		return
	}
	p := dispatch.Params{Method: m.Method, Function: m.Function, TimeoutMS: -1,
		Customer: r.Header.Get(s.o.CustomerHeader), Token: r.Header.Get(s.o.TokenHeader)}
	client, err := certs.FindClient(s.o.Clients, r.TLS)
	if err == nil {
		err = client.Authorize(s.desk.MethodAt(m.Method).Name, &p.Customer)
	}
	if err != nil {
		fail(w, http.StatusForbidden, err.Error())
		return
	}
	if text := r.Header.Get(s.o.TimeHeader); text != "" {
		if p.TimeoutMS, err = readTime(text); err != nil {
			fail(w, http.StatusBadRequest, fmt.Sprintf("header %s %v", s.o.TimeHeader, err))
			return
		}
	}
	head := -1
	if text := r.Header.Get("Inference-Header-Content-Length"); text != "" {
		n, err := strconv.ParseUint(text, 10, 31)
		if err != nil {
			fail(w, http.StatusBadRequest, fmt.Sprintf("header Inference-Header-Content-Length is no length: %.40q", text))
			return
		}
		head = int(n)
	}
	body, err := readBody(http.MaxBytesReader(w, r.Body, most), r.ContentLength)
	if err != nil {
		status := http.StatusBadRequest
		if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
			status = http.StatusRequestEntityTooLarge
		}
		fail(w, status, "body: "+err.Error())
		return
	}
	in, err := readInfer(body, head)
	if err == nil {
		err = m.check(&in)
	}
	if err == nil {
		err = s.desk.Validate(&p)
	}
	if err != nil {
		fail(w, http.StatusBadRequest, err.Error())
		return
	}
	p.Payload, p.Blob = in.payload(m.Name, m.Version)
	o, there := s.ask(r.Context(), r.Context().Value(connKey{}).(*peer), p, came)
	if !there {
		return
	}
	switch o.kind {
	case isDenied:
		// whole seconds are all that the header knows: at least one, so that nobody comes back at once
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Max(1, math.Ceil(float64(o.comeBack)/10000)))))
		fail(w, http.StatusServiceUnavailable, o.message)
		return
	case isAborted:
		fail(w, http.StatusInternalServerError, o.message)
		return
	case isRefused:
		fail(w, http.StatusBadRequest, o.message)
		return
	}
	out, tail, err := in.answer(m.Name, m.Version, o.value, o.blob)
	if err != nil { // it ran: a client must not take this for a denial
		fail(w, http.StatusInternalServerError, err.Error())
		return
	}
	if tail != nil {
		w.Header().Set("Inference-Header-Content-Length", strconv.Itoa(len(out)))
		w.Header().Set("Content-Type", "application/octet-stream")
	}
	write(w, 200, out, tail...)
}
