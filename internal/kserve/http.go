package kserve

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/net/netutil"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"mallowlanding/internal/admission"
	"mallowlanding/internal/certs"
	"mallowlanding/internal/dispatch"
	"mallowlanding/internal/eventloop"
	"mallowlanding/internal/jsonrpc"
	"mallowlanding/internal/memlimit"
	"mallowlanding/internal/tensor"
	"mallowlanding/router"
)

// TensorMeta is the metadata of a model's input or output. A dimension of -1 in Shape stands for any length.
type TensorMeta struct {
	Name, Datatype string
	Shape          []int64
}

// Model is one version of a served model. An infer request for it becomes an RPC of Method that runs Function.
type Model struct {
	Name, Version, Platform string
	Method                  int // index of the method in the settings
	Function                string
	Inputs, Outputs         []TensorMeta
}

// Options are a server's settings. Ready and LoadsHalted are called on the event loop.
type Options struct {
	Name                                    string // the server's name in its metadata
	Models                                  []Model
	MaxBodyBytes                            int64 // larger bodies are rejected before they are read
	TimeHeader, CustomerHeader, TokenHeader string
	Certs                                   *certs.Store // for ServeTLS and ServeGRPCTLS; nil if neither is used
	Clients                                 []certs.Client
	Ready                                   func() bool                // RPCs are accepted, and some worker could run them
	LoadsHalted                             func(function string) bool // its loads are halted, and no copy of it is loaded
	Log                                     zerolog.Logger
}

// Server serves the protocol over HTTP and gRPC.
type Server struct {
	options    Options
	loop       *eventloop.Loop
	dispatcher *dispatch.Dispatcher
	models     atomic.Pointer[map[string][]*Model] // by name: the model's versions, in the order of the settings
	http       http.Server
	bodies     *memlimit.Account
	grpc       []*grpc.Server // without TLS and, if there are certificates, with TLS

	mu    sync.Mutex
	conns map[net.Conn]*clientConn
}

// clientConn is a client's connection, HTTP or gRPC. conn is its counterpart at the dispatcher, opened by the first
// infer request; it belongs to the event loop.
type clientConn struct {
	conn *dispatch.Conn
}

type connKey struct{}

// New returns a server that submits RPCs to d, which runs on loop.
func New(loop *eventloop.Loop, d *dispatch.Dispatcher, o Options) *Server {
	s := &Server{options: o, loop: loop, dispatcher: d, conns: map[net.Conn]*clientConn{},
		bodies: memlimit.NewAccount(heldBodies * o.MaxBodyBytes)}
	s.UpdateSettings(o.Models)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v2/health/live", func(w http.ResponseWriter, _ *http.Request) { writeResponse(w, 200, []byte(`{"live":true}`)) })
	mux.HandleFunc("GET /v2/health/ready", s.handleReady)
	mux.HandleFunc("GET /v2", s.handleMetadata)
	for _, version := range []string{"", "/versions/{version}"} {
		mux.HandleFunc("GET /v2/models/{model}"+version, s.handleModelMetadata)
		mux.HandleFunc("GET /v2/models/{model}"+version+"/ready", s.handleModelReady)
		mux.HandleFunc("POST /v2/models/{model}"+version+"/infer", s.handleInfer)
	}
	for _, path := range []string{"/v2/repository/", "/v2/models/{model}/config", "/v2/models/{model}/stats",
		"/v2/models/{model}/generate", "/v2/systemsharedmemory/", "/v2/cudasharedmemory/"} {
		mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
			writeError(w, http.StatusNotImplemented, "not served here: "+r.URL.Path)
		})
	}
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeError(w, http.StatusNotFound, fmt.Sprintf("no such path, or not by %s: %.80s", r.Method, r.URL.Path))
	})
	s.http = http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: s.connContext, ConnState: s.connState}
	s.grpc = []*grpc.Server{newGRPC(s)}
	if o.Certs != nil {
		s.grpc = append(s.grpc, newGRPC(s, grpc.Creds(credentials.NewTLS(o.Certs.ServerConfig("h2")))))
	}
	return s
}

// UpdateSettings replaces the models. An infer request that was received before keeps its former model.
func (s *Server) UpdateSettings(models []Model) {
	byName := map[string][]*Model{}
	for i := range models {
		byName[models[i].Name] = append(byName[models[i].Name], &models[i])
	}
	s.models.Store(&byName)
}

// versions returns the versions of a model.
func (s *Server) versions(model string) []*Model { return (*s.models.Load())[model] }

// Limits of a client's connection.
const (
	headerTimeout  = 10 * time.Second // until the headers of a request are complete
	bodyTimeout    = time.Minute      // from its headers to the end of its body
	idleTimeout    = 5 * time.Minute  // between two requests
	maxHeaderBytes = 16 << 10
	maxConnections = 4096 // of one listener; further ones wait in its backlog
)

// Serve accepts HTTP connections until Close or Drain.
func (s *Server) Serve(l net.Listener) error {
	return s.serveHTTP(netutil.LimitListener(l, maxConnections))
}

func (s *Server) serveHTTP(l net.Listener) error {
	if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// ServeTLS is Serve with TLS, using Options.Certs.
func (s *Server) ServeTLS(l net.Listener) error {
	// The limit is below TLS: http.Server recognizes a TLS connection by its type.
	return s.serveHTTP(tls.NewListener(netutil.LimitListener(l, maxConnections), s.options.Certs.ServerConfig("http/1.1")))
}

// Drain stops accepting connections, and returns when all requests received are answered or the context ends.
func (s *Server) Drain(ctx context.Context) {
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		for _, g := range s.grpc { // sends GOAWAY, and waits until open requests are answered
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

// Close closes all connections at once.
func (s *Server) Close() {
	_ = s.http.Close()
	for _, g := range s.grpc {
		g.Stop()
	}
}

func (s *Server) connContext(ctx context.Context, nc net.Conn) context.Context {
	c := &clientConn{}
	s.mu.Lock()
	s.conns[nc] = c
	s.mu.Unlock()
	return context.WithValue(ctx, connKey{}, c)
}

func (s *Server) connState(nc net.Conn, state http.ConnState) {
	if state != http.StateClosed && state != http.StateHijacked {
		return
	}
	s.mu.Lock()
	c := s.conns[nc]
	delete(s.conns, nc)
	s.mu.Unlock()
	if c != nil {
		s.loop.Post(func() {
			if c.conn != nil {
				c.conn.Close()
			}
		})
	}
}

func writeResponse(w http.ResponseWriter, status int, body []byte, tail ...[]byte) {
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

func writeError(w http.ResponseWriter, status int, message string) {
	writeResponse(w, status, append(jsonrpc.AppendString([]byte(`{"error":`), message), '}'))
}

// isReady asks the event loop whether the server is ready and, unless m is nil, whether the model m is ready: its loads
// are not halted, or a copy of it is loaded.
func (s *Server) isReady(m *Model) bool {
	ready := make(chan bool, 1)
	if !s.loop.Post(func() {
		ready <- !s.dispatcher.Draining() && (s.options.Ready == nil || s.options.Ready()) &&
			(m == nil || s.options.LoadsHalted == nil || !s.options.LoadsHalted(m.Function))
	}) {
		return false
	}
	return <-ready
}

func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	if s.isReady(nil) {
		writeResponse(w, 200, []byte(`{"ready":true}`))
		return
	}
	writeResponse(w, http.StatusServiceUnavailable, []byte(`{"ready":false}`))
}

func (s *Server) handleMetadata(w http.ResponseWriter, _ *http.Request) {
	b := jsonrpc.AppendString([]byte(`{"name":`), s.options.Name)
	writeResponse(w, 200, append(b, `,"version":"2","extensions":["binary_tensor_data"]}`...))
}

// findModel finds a version of a model; an empty version selects the last one in the settings.
func (s *Server) findModel(name, version string) (*Model, error) {
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

// pathModel finds the model that the request's path names. If there is none it answers with 404 and returns nil.
func (s *Server) pathModel(w http.ResponseWriter, r *http.Request) *Model {
	m, err := s.findModel(r.PathValue("model"), r.PathValue("version"))
	if err != nil {
		writeError(w, http.StatusNotFound, err.Error())
	}
	return m
}

func (s *Server) handleModelReady(w http.ResponseWriter, r *http.Request) {
	m := s.pathModel(w, r)
	if m == nil {
		return
	}
	ready, status := s.isReady(m), 200
	if !ready {
		status = http.StatusServiceUnavailable
	}
	b := jsonrpc.AppendString([]byte(`{"name":`), m.Name)
	writeResponse(w, status, append(strconv.AppendBool(append(b, `,"ready":`...), ready), '}'))
}

func (s *Server) handleModelMetadata(w http.ResponseWriter, r *http.Request) {
	m := s.pathModel(w, r)
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
	writeResponse(w, 200, append(b, '}'))
}

// validate checks an infer request against the inputs and outputs that the model's metadata lists, if any, so that a
// wrong request is rejected before anything runs.
func (m *Model) validate(in *inferRequest) error {
	for _, t := range in.inputs {
		index := slices.IndexFunc(m.Inputs, func(i TensorMeta) bool { return i.Name == t.Name })
		if index < 0 && len(m.Inputs) > 0 {
			return fmt.Errorf("model %q has no input %q", m.Name, t.Name)
		}
		if index >= 0 && (m.Inputs[index].Datatype != t.Datatype || !shapeAllowed(m.Inputs[index].Shape, t.Shape)) {
			return fmt.Errorf("input %q is %s %v, model %q takes %s %v", t.Name, t.Datatype, t.Shape, m.Name,
				m.Inputs[index].Datatype, m.Inputs[index].Shape)
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

// shapeAllowed reports whether shape matches allowed, in which -1 stands for any length.
func shapeAllowed(allowed, shape []int64) bool {
	if len(allowed) != len(shape) {
		return false
	}
	for i := range allowed {
		if allowed[i] >= 0 && allowed[i] != shape[i] {
			return false
		}
	}
	return true
}

// outcome is the final answer of an RPC.
type outcome struct {
	kind       outcomeKind
	value      []byte // for outcomeOK
	blob       []byte // for outcomeOK: the bytes of the output tensors
	message    string // for all others
	retryAfter router.Time
}

type outcomeKind uint8

const (
	outcomeOK outcomeKind = iota
	outcomeDenied
	outcomeAborted
	outcomeRejected
)

// reply receives the final answer of an RPC; it implements dispatch.Responder. Its buffer holds the one answer, so that
// sending never blocks the event loop.
type reply chan outcome

// OK implements dispatch.Responder.
func (r reply) OK(result, blob []byte) { r <- outcome{kind: outcomeOK, value: result, blob: blob} }

// Denied implements dispatch.Responder.
func (r reply) Denied(message string, retryAfter router.Time) {
	r <- outcome{kind: outcomeDenied, message: message, retryAfter: retryAfter}
}

// Aborted implements dispatch.Responder.
func (r reply) Aborted(cause string) {
	r <- outcome{kind: outcomeAborted, message: "aborted, it may have run: " + cause}
}

// Rejected implements dispatch.Responder.
func (r reply) Rejected(message string) { r <- outcome{kind: outcomeRejected, message: message} }

// submit hands an RPC to the dispatcher and waits for its answer; it returns false if the client left first.
func (s *Server) submit(ctx context.Context, client *clientConn, p dispatch.Params, received time.Time) (outcome, bool) {
	answer := make(reply, 1)
	var request *dispatch.Request
	if !s.loop.Post(func() {
		if client.conn == nil {
			client.conn = s.dispatcher.OpenConn(admission.PeerID(0))
		}
		request = client.conn.Submit(p, eventloop.FromDuration(time.Since(received)), answer)
	}) {
		answer.Denied("denied: this front end has stopped", 0)
	}
	select {
	case o := <-answer:
		return o, true
	case <-ctx.Done():
		s.loop.Post(func() {
			if request != nil {
				request.Abandon()
			}
		})
		return outcome{}, false
	}
}

// parseMillis parses a header's time in milliseconds.
func parseMillis(text string) (float64, error) {
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || ms < 0 || math.IsInf(ms, 0) || math.IsNaN(ms) {
		return 0, fmt.Errorf("must be a time in ms, not %.40q", text)
	}
	return ms, nil
}

// writeBodyError answers a request whose body could not be read.
func writeBodyError(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errNoMemory):
		w.Header().Set("Connection", "close")
		w.Header().Set("Retry-After", "1")
		status = http.StatusServiceUnavailable
	case errors.As(err, &tooLarge):
		status = http.StatusRequestEntityTooLarge
	}
	writeError(w, status, "body: "+err.Error())
}

func (s *Server) handleInfer(w http.ResponseWriter, r *http.Request) {
	received := time.Now()
	m := s.pathModel(w, r)
	if m == nil {
		return
	}
	maxBytes := s.options.MaxBodyBytes
	if methodMax := s.dispatcher.MethodAt(m.Method).MaxBytes; methodMax > 0 {
		maxBytes = min(maxBytes, methodMax)
	}
	if r.ContentLength > maxBytes {
		w.Header().Set("Connection", "close")
		writeError(w, http.StatusRequestEntityTooLarge, fmt.Sprintf("a body of %d bytes, %d are taken", r.ContentLength, maxBytes))
		return
	}
	p := dispatch.Params{Method: m.Method, Function: m.Function, TimeoutMS: -1,
		Customer: r.Header.Get(s.options.CustomerHeader), Token: r.Header.Get(s.options.TokenHeader)}
	client, err := certs.FindClient(s.options.Clients, r.TLS)
	if err == nil {
		err = client.Authorize(s.dispatcher.MethodAt(m.Method).Name, &p.Customer)
	}
	if err != nil {
		writeError(w, http.StatusForbidden, err.Error())
		return
	}
	if text := r.Header.Get(s.options.TimeHeader); text != "" {
		if p.TimeoutMS, err = parseMillis(text); err != nil {
			writeError(w, http.StatusBadRequest, fmt.Sprintf("header %s %v", s.options.TimeHeader, err))
			return
		}
	}
	jsonLen := -1
	if text := r.Header.Get("Inference-Header-Content-Length"); text != "" {
		n, err := strconv.ParseUint(text, 10, 31)
		if err != nil {
			writeError(w, http.StatusBadRequest, fmt.Sprintf("header Inference-Header-Content-Length is no length: %.40q", text))
			return
		}
		jsonLen = int(n)
	}
	_ = http.NewResponseController(w).SetReadDeadline(received.Add(bodyTimeout))
	body := &body{account: s.bodies}
	defer body.release()
	if err := body.read(http.MaxBytesReader(w, r.Body, maxBytes), r.ContentLength); err != nil {
		writeBodyError(w, err)
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	in, err := parseInfer(body.bytes, jsonLen)
	if err == nil {
		err = m.validate(&in)
	}
	if err == nil {
		err = s.dispatcher.Validate(&p)
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	p.Payload, p.Blob = in.workerPayload(m.Name, m.Version)
	o, answered := s.submit(r.Context(), r.Context().Value(connKey{}).(*clientConn), p, received)
	if !answered {
		return
	}
	switch o.kind {
	case outcomeDenied:
		// Retry-After is in whole seconds (a router.Time is in 0.1 ms): round up, and ask for 1 s at least, so that no
		// client retries at once
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Max(1, math.Ceil(float64(o.retryAfter)/10000)))))
		writeError(w, http.StatusServiceUnavailable, o.message)
		return
	case outcomeAborted:
		writeError(w, http.StatusInternalServerError, o.message)
		return
	case outcomeRejected:
		writeError(w, http.StatusBadRequest, o.message)
		return
	}
	out, tail, err := in.response(m.Name, m.Version, o.value, o.blob)
	if err != nil { // the RPC ran: the client must not take this for a denial
		writeError(w, http.StatusInternalServerError, err.Error())
		return
	}
	if tail != nil {
		w.Header().Set("Inference-Header-Content-Length", strconv.Itoa(len(out)))
		w.Header().Set("Content-Type", "application/octet-stream")
	}
	writeResponse(w, 200, out, tail...)
}
