package main

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// outageWorker is a stand-in for a worker: it loads a function at its first RPC, and refuses calls and orders while it
// drains.
type outageWorker struct {
	f       *outageFleet
	number  int
	address string

	mu         sync.Mutex
	drained    time.Time // when the drain began; zero: not draining
	hangsUntil time.Time // responses wait until then
	loaded     map[string]bool
	server     *http.Server
}

const (
	outageLoadTime = 80 * time.Millisecond
	outageWorkTime = 25 * time.Millisecond
)

func newOutageWorker(f *outageFleet, number int) *outageWorker {
	w := &outageWorker{f: f, number: number, address: loopbackAddress()}
	w.start()
	f.t.Cleanup(w.stop)
	return w
}

// start simulates the start of a worker process: the worker has no copies and does not drain.
func (w *outageWorker) start() {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		w.f.t.Error(err)
		return
	}
	server := &http.Server{Handler: w}
	w.mu.Lock()
	w.address, w.server, w.drained, w.loaded = l.Addr().String(), server, time.Time{}, map[string]bool{}
	w.mu.Unlock()
	go func() { _ = server.Serve(l) }()
}

func (w *outageWorker) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.server.Close()
}

func (w *outageWorker) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	message := outageMessage{worker: w.number, kind: callMessage, at: time.Now(), status: http.StatusOK}
	w.mu.Lock()
	message.drained = w.drained
	hang := time.Until(w.hangsUntil)
	w.mu.Unlock()
	time.Sleep(hang)
	draining := !message.drained.IsZero()
	parts := strings.Split(in.URL.Path, "/")
	switch {
	case in.Method == http.MethodPut && parts[len(parts)-1] == "0":
		message.kind = queryMessage
		w.writeCopies(out, parts[3])
	case in.Method == http.MethodPut:
		message.kind = orderMessage
		if draining {
			message.status = refuse(out)
		} else {
			w.load(parts[3])
			w.writeCopies(out, parts[3])
		}
	case in.URL.Path == "/ping" || in.URL.Path == "/-/gauges":
		message.kind = checkMessage
		out.Header().Set("X-Meter", "busy:0.1;x0:0.1")
		if draining && !w.f.mode.drainingPass {
			message.status = http.StatusServiceUnavailable
			out.WriteHeader(message.status)
		}
	case draining:
		_, _ = io.Copy(io.Discard, in.Body)
		message.status = refuse(out)
	default:
		_, _ = io.Copy(io.Discard, in.Body)
		remark := "warm"
		if w.load(in.Header.Get("X-Ref")) {
			remark = "cold"
		}
		time.Sleep(w.f.mode.workTime)
		out.Header().Set("X-Remark", remark)
		out.Header().Set("X-Meter", "busy:0.3;x0:0.1")
		_, _ = io.WriteString(out, "done")
	}
	w.f.mu.Lock()
	w.f.messages = append(w.f.messages, message)
	w.f.mu.Unlock()
}

// refuse answers that the message was not executed, and returns the status.
func refuse(out http.ResponseWriter) int {
	out.Header().Set("X-Shed", "1")
	out.WriteHeader(http.StatusServiceUnavailable)
	return http.StatusServiceUnavailable
}

// load loads a function if necessary, and reports whether it did.
func (w *outageWorker) load(function string) bool {
	w.mu.Lock()
	loaded := w.loaded[function]
	w.loaded[function] = true
	w.mu.Unlock()
	if !loaded {
		time.Sleep(outageLoadTime)
	}
	return !loaded
}

// writeCopies writes the number of copies of a function to the response.
func (w *outageWorker) writeCopies(out http.ResponseWriter, function string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	copies := 0
	if w.loaded[function] {
		copies = 1
	}
	out.Header().Set("X-Slots-Up", strconv.Itoa(copies))
}
