package workerlink

import (
	"io"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"mallowlanding/internal/eventloop/eventlooptest"
	"mallowlanding/internal/frames"
	"mallowlanding/internal/jsonrpc"
)

// testWorker is a worker that records what it receives, and reads only when the test lets it.
type testWorker struct {
	t        *testing.T
	listener net.Listener
	codecs   string // the member codecs of client.ready, as JSON

	mu       sync.Mutex
	changed  *sync.Cond
	reading  bool
	ready    bool // client.ready is sent on new connections
	conns    []net.Conn
	received []receivedMessage
	ended    []error // how connections ended, in order
}

// receivedMessage is a request or notification that a testWorker has received whole.
type receivedMessage struct {
	method string
	id     string // of a call-off: the id that it names
	timeMS float64
}

func startWorker(t *testing.T, codecs string) *testWorker {
	l, err := net.Listen("unix", filepath.Join(t.TempDir(), "w"))
	if err != nil {
		t.Fatal(err)
	}
	w := &testWorker{t: t, listener: l, codecs: codecs, reading: true, ready: true}
	w.changed = sync.NewCond(&w.mu)
	var serving sync.WaitGroup
	serving.Go(func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			serving.Go(func() { w.serve(nc) })
		}
	})
	t.Cleanup(func() {
		l.Close()
		w.set(func() {
			w.reading, w.ready = true, true
			for _, nc := range w.conns {
				nc.Close()
			}
		})
		serving.Wait()
	})
	return w
}

func (w *testWorker) socket() string { return w.listener.Addr().String() }

// set changes the worker's state.
func (w *testWorker) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
	w.changed.Broadcast()
}

// wait waits until the worker's state is as wanted.
func (w *testWorker) wait(wanted func() bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for !wanted() {
		w.changed.Wait()
	}
}

// gatedReader reads from a connection while the worker reads; meanwhile what arrives stays in the socket.
type gatedReader struct {
	worker *testWorker
	conn   net.Conn
}

// Read implements io.Reader.
func (r gatedReader) Read(b []byte) (int, error) {
	r.worker.wait(func() bool { return r.worker.reading })
	return r.conn.Read(b)
}

func (w *testWorker) serve(nc net.Conn) {
	defer nc.Close()
	w.set(func() { w.conns = append(w.conns, nc) })
	w.wait(func() bool { return w.ready })
	_, _ = io.WriteString(nc, `{"jsonrpc":"2.0","method":"client.ready","params":{"worker":"w","protocol":1,"batches":true,"codecs":`+w.codecs+"}}\n")
	r := jsonrpc.NewReader(gatedReader{w, nc}, 1<<24)
	h := &workerHandler{w: w, nc: nc}
	var dec jsonrpc.Decoder
	var err error
	for err == nil {
		if h.binary {
			err = frames.Read(r.Remaining(), 1<<24, h)
			continue
		}
		var value []byte
		if value, err = r.Next(); err == nil {
			dec.Decode(value, h)
		}
	}
	w.set(func() { w.ended = append(w.ended, err) })
}

// workerHandler handles what a testWorker receives on one connection. It answers nothing.
type workerHandler struct {
	jsonrpc.IgnoreBatches
	w      *testWorker
	nc     net.Conn
	binary bool
}

// HandleInvalid implements jsonrpc.Handler. A line that is cut short is invalid.
func (h *workerHandler) HandleInvalid(jsonrpc.ID, int, string) {}

// HandleResponse implements jsonrpc.Handler.
func (h *workerHandler) HandleResponse(jsonrpc.ID, []byte, int, string, []byte) {}

// HandleResponseBlob implements frames.Handler.
func (h *workerHandler) HandleResponseBlob([]byte, []byte, int, string, []byte, []byte) {}

// HandleRequest implements jsonrpc.Handler.
func (h *workerHandler) HandleRequest(id jsonrpc.ID, method string, params []byte) {
	h.HandleRequestBlob(id, method, params, nil)
}

// HandleRequestBlob implements frames.Handler.
func (h *workerHandler) HandleRequestBlob(id []byte, method string, params, _ []byte) {
	var p struct {
		ID       jsontext.Value `json:"id"`
		TimeMS   float64        `json:"time_ms"`
		Requests []struct {
			ID     jsontext.Value `json:"id"`
			TimeMS float64        `json:"time_ms"`
		} `json:"requests"`
	}
	if len(params) > 0 {
		if err := json.Unmarshal(params, &p); err != nil {
			h.w.t.Errorf("%s: %v", method, err)
		}
	}
	m := receivedMessage{method, string(id), p.TimeMS}
	h.w.set(func() {
		switch method {
		case "host.codec":
			h.binary = true
		case "host.batch":
			for _, part := range p.Requests {
				h.w.received = append(h.w.received, receivedMessage{"host.request", string(part.ID), part.TimeMS})
			}
		case "host.call_off":
			m.id = string(p.ID)
			h.w.received = append(h.w.received, m)
		case "host.ping":
			if len(id) > 0 {
				h.w.received = append(h.w.received, m)
			}
		default:
			h.w.received = append(h.w.received, m)
		}
	})
	if method == "host.codec" {
		_, _ = io.WriteString(h.nc, `{"jsonrpc":"2.0","method":"client.codec","params":{"codec":"cbor"}}`+"\n")
	}
}

// list returns what the worker has received, as text.
func (w *testWorker) list() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for _, m := range w.received {
		out = append(out, m.method+" "+m.id)
	}
	return strings.Join(out, ", ")
}

// expect waits until the worker has received exactly the given messages. Then it waits a little for others.
func (w *testWorker) expect(want string) {
	w.t.Helper()
	for deadline := time.Now().Add(eventlooptest.Timeout); w.list() != want && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(settleTime)
	if got := w.list(); got != want {
		w.t.Fatalf("the worker received %q, want %q", got, want)
	}
}
