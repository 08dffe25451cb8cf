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

// outageWorker is a stand-in for a worker: it loads a function with its first RPC, and turns calls and orders away while it
// drains.
type outageWorker struct {
	f       *outageFleet
	number  int
	address string

	mu      sync.Mutex
	drained time.Time // zero: it doesn't drain
	hangs   time.Time // until then it answers nothing
	loaded  map[string]bool
	server  *http.Server
}

const (
	outageLoadTime = 80 * time.Millisecond
	outageWorkTime = 25 * time.Millisecond
)

func newOutageWorker(f *outageFleet, number int) *outageWorker {
	w := &outageWorker{f: f, number: number, address: loopback()}
	w.begin()
	f.t.Cleanup(w.end)
	return w
}

// begin starts the worker's process, as it were: empty, and not draining.
func (w *outageWorker) begin() {
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

func (w *outageWorker) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.server.Close()
}

func (w *outageWorker) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	send := outageSend{worker: w.number, what: sentCall, at: time.Now(), status: http.StatusOK}
	w.mu.Lock()
	send.drained = w.drained
	hangs := time.Until(w.hangs)
	w.mu.Unlock()
	time.Sleep(hangs)
	drains := !send.drained.IsZero()
	parts := strings.Split(in.URL.Path, "/")
	switch {
	case in.Method == http.MethodPut && parts[len(parts)-1] == "0":
		send.what = sentAsk
		w.slots(out, parts[3])
	case in.Method == http.MethodPut:
		send.what = sentOrder
		if drains {
			send.status = turnAway(out)
		} else {
			w.load(parts[3])
			w.slots(out, parts[3])
		}
	case in.URL.Path == "/ping" || in.URL.Path == "/-/gauges":
		send.what = sentCheck
		out.Header().Set("X-Meter", "busy:0.1;x0:0.1")
		if drains && !w.f.mode.passChecks {
			send.status = http.StatusServiceUnavailable
			out.WriteHeader(send.status)
		}
	case drains:
		_, _ = io.Copy(io.Discard, in.Body)
		send.status = turnAway(out)
	default:
		_, _ = io.Copy(io.Discard, in.Body)
		remark := "warm"
		if w.load(in.Header.Get("X-Ref")) {
			remark = "cold"
		}
		time.Sleep(w.f.mode.work)
		out.Header().Set("X-Remark", remark)
		out.Header().Set("X-Meter", "busy:0.3;x0:0.1")
		_, _ = io.WriteString(out, "done")
	}
	w.f.mu.Lock()
	w.f.sends = append(w.f.sends, send)
	w.f.mu.Unlock()
}

func turnAway(out http.ResponseWriter) int {
	out.Header().Set("X-Shed", "1")
	out.WriteHeader(http.StatusServiceUnavailable)
	return http.StatusServiceUnavailable
}

// load reports whether the function had to be loaded.
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

func (w *outageWorker) slots(out http.ResponseWriter, function string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	stand := 0
	if w.loaded[function] {
		stand = 1
	}
	out.Header().Set("X-Slots-Up", strconv.Itoa(stand))
}
