package main

// What users saw: while the journal service was out of reach, RPCs and load orders went on to workers that had begun to
// drain, long after the drain counted as told (7 s into the silence) and after its grace. The workers turned them away, the
// RPCs were served elsewhere.
//
// Order of events: the service goes out of reach; a busy worker drains; 7 s and the grace pass; sends to it go on until the
// list comes back. However the service fails, the breaks begin at that moment and nothing else changes then.
//
// Cause: the list of workers was used whatever its age. Nothing told the module when the list had last been confirmed, so the
// state "ready" outlived the time for which anybody could know it.
//
// What proved it: all kinds of outage below broke the rule alike, from the end of the grace to the list's return; with the
// choice of the least-loaded worker changed so that workers that turn away draw nothing, fewer sends broke it, but no
// fewer kinds. See docs/incidents/2026-12-02-discovery-out-of-reach.md.

import (
	"bytes"
	"cmp"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	wire "github.com/apache/thrift/lib/go/thrift"
)

// Figures of the protocol and of the settings that these front ends run with.
const (
	silenceClock = 7 * time.Second        // what discovery would have told counts as told so long into its silence
	waitClock    = 3 * time.Second        // and so long after an ask that it leaves unanswered: the wait asked for, and 2 s
	breakClock   = 2 * time.Second        // and so long after an answer that it breaks off
	reloadClock  = 4 * time.Second        // and so long after a reload that moves discovery
	drainGrace   = 500 * time.Millisecond // rules.drainGraceNs
	drainSlack   = 50 * time.Millisecond  // what the protocol adds to each time limit
)

// Moments of an outage, from its begin. The first drains are told by the clock alone, the last comes when it has run out.
const (
	outageFirstDrain  = 600 * time.Millisecond
	outageSecondDrain = 9 * time.Second
	outageLasts       = 12 * time.Second
	outageAfter       = time.Second // how long the load goes on once the list is back
)

// Size of the fleet and of its load.
const (
	outageFrontEnds = 3
	outageWorkers   = 8
	outageStreams   = 4                      // RPCs at once through each front end
	outageThink     = 100 * time.Millisecond // from one RPC of a stream to its next
	outageFunctions = 6
	sparseThink     = 900 * time.Millisecond // the same where there is little traffic
)

// outageMode is one way in which discovery, or a front end during the outage, goes wrong.
type outageMode struct {
	name       string
	discovery  discoveryFault
	config     []string      // texts of the configuration and what stands for them
	clock      time.Duration // when a drain counts as told at the latest; 0: silenceClock
	grace      time.Duration // of the rule on draining; 0: drainGrace
	think      time.Duration // from one RPC of a stream to its next; 0: outageThink
	work       time.Duration // that an RPC takes; 0: outageWorkTime
	restart    bool          // a front end is killed and started again in the outage
	reload     bool          // the front ends are told of another address, that nobody listens at
	pause      bool          // a front end is stopped across the end of the clock
	passChecks bool          // workers that drain pass their checks
	noOrders   bool          // the settings allow no load orders
	servedMin  float64       // share of RPCs served past the clock, at the least
}

type discoveryFault int

const (
	discoveryRefuses discoveryFault = iota // nobody listens
	discoverySilent                        // it accepts and says nothing
	discoveryTrickle                       // an answer's head, then a byte at a time
	discoveryErrors                        // it answers with status 500
	discoveryHalf                          // it ends in the middle of each answer
	discoveryStale                         // it answers with an older state than it told
)

// TestDiscoveryOutage runs front ends, workers and a journal service as processes and sockets of this machine, and counts what
// is sent to workers that drain once their drain counts as told.
func TestDiscoveryOutage(t *testing.T) {
	for _, mode := range []outageMode{
		{name: "refused", discovery: discoveryRefuses, servedMin: 0.95},
		{name: "silent", discovery: discoverySilent, clock: waitClock, servedMin: 0.95},
		{name: "trickle", discovery: discoveryTrickle, clock: waitClock, servedMin: 0.95},
		{name: "errors", discovery: discoveryErrors, servedMin: 0.95},
		{name: "half an answer", discovery: discoveryHalf, clock: breakClock, servedMin: 0.95},
		{name: "an older state", discovery: discoveryStale, servedMin: 0.95},
	} {
		t.Run(mode.name, func(t *testing.T) {
			t.Parallel()
			playOutage(t, mode)
		})
	}
}

// TestDiscoveryOutageBeside is the same with something else going wrong in the outage.
func TestDiscoveryOutageBeside(t *testing.T) {
	for _, mode := range []outageMode{
		{name: "a front end starts in it", discovery: discoveryRefuses, restart: true, servedMin: 0.9},
		{name: "a reload moves discovery out of reach", discovery: discoveryRefuses, reload: true, clock: reloadClock, servedMin: 0.95},
		{name: "a front end stands still in it", discovery: discoverySilent, pause: true, servedMin: 0.6},
		{name: "workers that drain pass their checks", discovery: discoveryRefuses, passChecks: true, servedMin: 0.7},
		{name: "no checks", discovery: discoveryRefuses, config: []string{`"mayProbe":true`, `"mayProbe":false`}},
		{name: "little traffic", discovery: discoveryRefuses, think: sparseThink, servedMin: 0.95},
		{name: "little traffic and no orders", discovery: discoverySilent, think: sparseThink, noOrders: true, servedMin: 0.95},
		{name: "no orders", discovery: discoveryRefuses, noOrders: true, servedMin: 0.95},
	} {
		t.Run(mode.name, func(t *testing.T) {
			t.Parallel()
			playOutage(t, mode)
		})
	}
}

func playOutage(t *testing.T, mode outageMode) {
	f := newOutageFleet(t, mode)
	mode = f.mode
	f.startLoad()
	time.Sleep(1500 * time.Millisecond) // copies are loaded, each worker has had some RPCs

	f.discovery.fail(mode.discovery)
	began := time.Now()
	f.silent(mode.clock)
	told := began.Add(mode.clock)
	at := func(after time.Duration) { time.Sleep(time.Until(began.Add(after))) }
	if mode.reload {
		for i := range f.frontEnds {
			f.reload(i, freeAddress(t))
		}
	}
	at(outageFirstDrain)
	f.drain(0)
	f.drain(1)
	if mode.restart {
		at(2 * time.Second)
		f.restart(0)
	}
	if mode.pause {
		at(6500 * time.Millisecond)
		f.signal(0, syscall.SIGSTOP)
		at(8500 * time.Millisecond)
		f.signal(0, syscall.SIGCONT)
	}
	at(outageSecondDrain)
	f.drain(2)
	at(outageLasts)
	f.discovery.heal()
	f.heard()
	if mode.reload {
		for i := range f.frontEnds {
			f.reload(i, f.discovery.address)
		}
	}
	time.Sleep(outageAfter)
	f.stopLoad()
	f.judge(began, told)
}

// outageFleet is the front ends' processes and all that they speak with.
type outageFleet struct {
	t         *testing.T
	mode      outageMode
	discovery *discovery
	workers   []*outageWorker
	frontEnds []*outageFrontEnd

	silences []silence
	stop     chan struct{}
	streams  sync.WaitGroup
	lateness atomic.Int64 // ns by which this process ran late at the most

	mu    sync.Mutex
	sends []outageSend
	rpcs  []outageRPC
}

type outageFrontEnd struct {
	address, config string
	mu              sync.Mutex
	process         *exec.Cmd
	log             *bytes.Buffer
}

// outageSend is what came to a worker.
type outageSend struct {
	worker  int
	what    string // call, order, check, ask
	at      time.Time
	drained time.Time // when the worker began to drain; zero: it didn't
	status  int
}

// outageRPC is how a client's RPC ended.
type outageRPC struct {
	at     time.Time
	served bool
}

func newOutageFleet(t *testing.T, mode outageMode) *outageFleet {
	mode.clock, mode.grace = cmp.Or(mode.clock, silenceClock), cmp.Or(mode.grace, drainGrace)
	mode.think, mode.work = cmp.Or(mode.think, outageThink), cmp.Or(mode.work, outageWorkTime)
	f := &outageFleet{t: t, mode: mode, stop: make(chan struct{}), discovery: newDiscovery(t)}
	for i := range outageWorkers {
		f.workers = append(f.workers, newOutageWorker(f, i))
	}
	var all []int
	for i := range f.workers {
		all = append(all, i)
	}
	f.discovery.tell(f.list("active", all...), true)
	f.discovery.tell(f.list("active", 0), false) // so that there is an older state than the one that is known
	for range outageFrontEnds {
		fe := &outageFrontEnd{address: freeAddress(t), config: filepath.Join(t.TempDir(), "config.json")}
		f.frontEnds = append(f.frontEnds, fe)
		f.configure(len(f.frontEnds)-1, f.discovery.address)
		f.launch(len(f.frontEnds) - 1)
	}
	return f
}

func (f *outageFleet) list(state string, workers ...int) []any {
	return f.listStarted(state, 0, workers...)
}

// listStarted lists workers that started at a Unix time in ms; 0: long ago.
func (f *outageFleet) listStarted(state string, started int64, workers ...int) (out []any) {
	for _, i := range workers {
		out = append(out, map[string]any{"instanceId": fmt.Sprintf("w%d", i), "hostPort": f.workers[i].address, "zone": "a",
			"machineType": "std", "cell": 1, "lifecycle": state, "weight": 1, "startedAtMs": started})
	}
	return out
}

// configure writes a front end's configuration: the known events are those at the fleet's start.
func (f *outageFleet) configure(i int, journal string) {
	f.t.Helper()
	text, err := os.ReadFile("../../internal/platform/testdata/config.json")
	if err != nil {
		f.t.Fatal(err)
	}
	replace := append([]string{`"drainGraceNs":500000000`, fmt.Sprintf(`"drainGraceNs":%d`, f.mode.grace), "$LISTEN", f.frontEnds[i].address, "$JOURNAL", journal, `"$KNOWN"`, string(f.discovery.first()),
		`"balancers":1`, fmt.Sprintf(`"balancers":%d`, outageFrontEnds), `"myNumber":0`, fmt.Sprintf(`"myNumber":%d`, i)}, f.mode.config...)
	if !f.mode.noOrders {
		replace = append(replace, `"mayLoad":false`, `"mayLoad":true`)
	}
	config := strings.NewReplacer(replace...).Replace(string(text))
	if err := os.WriteFile(f.frontEnds[i].config, []byte(config), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

func (f *outageFleet) launch(i int) {
	f.t.Helper()
	fe := f.frontEnds[i]
	process, log := start(f.t, fe.config)
	fe.mu.Lock()
	fe.process, fe.log = process, log
	fe.mu.Unlock()
}

func (f *outageFleet) signal(i int, signal os.Signal) {
	f.t.Helper()
	if err := f.frontEnds[i].process.Process.Signal(signal); err != nil {
		f.t.Fatal(err)
	}
}

func (f *outageFleet) reload(i int, journal string) {
	f.configure(i, journal)
	f.signal(i, syscall.SIGHUP)
}

func (f *outageFleet) restart(i int) {
	f.signal(i, syscall.SIGKILL)
	_ = f.frontEnds[i].process.Wait()
	f.launch(i)
}

func (f *outageFleet) drain(i int) {
	w := f.workers[i]
	w.mu.Lock()
	w.drained = time.Now()
	w.mu.Unlock()
	f.discovery.tell(f.list("leaving", i), false)
}

// startLoad has clients send RPCs through each front end, and watches how late this process itself runs.
func (f *outageFleet) startLoad() {
	for i, fe := range f.frontEnds {
		for stream := range outageStreams {
			f.streams.Go(func() { f.stream(fe, i*outageStreams+stream) })
		}
	}
	f.streams.Go(func() {
		const pace = 5 * time.Millisecond
		for last := time.Now(); ; {
			select {
			case <-f.stop:
				return
			case <-time.After(pace):
			}
			late := time.Since(last) - pace
			last = time.Now()
			if int64(late) > f.lateness.Load() {
				f.lateness.Store(int64(late))
			}
		}
	})
}

func (f *outageFleet) stopLoad() {
	close(f.stop)
	f.streams.Wait()
}

// stream is one client: an RPC, its answer, a while, the next one.
func (f *outageFleet) stream(fe *outageFrontEnd, number int) {
	var nc net.Conn
	defer func() {
		if nc != nil {
			nc.Close()
		}
	}()
	for seq := int32(1); ; seq++ {
		select {
		case <-f.stop:
			return
		case <-time.After(f.mode.think):
		}
		if nc == nil {
			var err error
			if nc, err = net.Dial("tcp", fe.address); err != nil {
				nc = nil
				continue // it starts, or was killed
			}
			seq = 1
		}
		began := time.Now()
		method := []string{"query", "query", "book", "once"}[int(seq)%4]
		fields := map[string]string{"method": method, "rid": fmt.Sprintf("%08x%08x", number, seq), "budget": "1500", "acct": "acme",
			"obj": fmt.Sprintf("%016x", 1+(number+int(seq))%outageFunctions), "facts": "memory_mb:100;lanes:4"}
		if method == "book" {
			fields["token"] = fmt.Sprintf("%016x%016x", number, seq)
		}
		served, err := execute(nc, seq, fields)
		if err != nil {
			nc.Close()
			nc = nil
		}
		f.mu.Lock()
		f.rpcs = append(f.rpcs, outageRPC{began, served})
		f.mu.Unlock()
	}
}

// execute has one RPC answered.
func execute(nc net.Conn, seq int32, fields map[string]string) (served bool, err error) {
	if _, err := nc.Write(encode("execute", seq, fields)); err != nil {
		return false, err
	}
	if err := nc.SetReadDeadline(time.Now().Add(patience)); err != nil {
		return false, err
	}
	var n uint32
	if err := binary.Read(nc, binary.BigEndian, &n); err != nil {
		return false, err
	}
	text := make([]byte, n)
	if _, err := io.ReadFull(nc, text); err != nil {
		return false, err
	}
	ctx, buf := context.Background(), wire.NewTMemoryBuffer()
	buf.Write(text)
	r := wire.NewTBinaryProtocolConf(buf, nil)
	if _, _, _, err := r.ReadMessageBegin(ctx); err != nil {
		return false, err
	}
	_, _, field, err := r.ReadFieldBegin(ctx)
	return field == 0, err
}

// silence is a time in which discovery tells nothing.
type silence struct {
	from, until time.Time // until: zero while it lasts
	clock       time.Duration
}

// recovery is how long a front end takes at the most to ask again once discovery is back: its last ask may still be out.
const recovery = 2500 * time.Millisecond

// told is when a drain counts as told.
func (f *outageFleet) told(drained time.Time) time.Time {
	for _, s := range f.silences {
		if drained.Before(s.from) || !s.until.IsZero() && drained.After(s.until) {
			continue
		}
		told := s.from.Add(s.clock)
		if drained.After(told) {
			told = drained
		}
		if again := s.until.Add(recovery); !s.until.IsZero() && again.Before(told) {
			told = again
		}
		return told
	}
	return drained
}

// silent begins a time in which discovery tells nothing, heard ends it.
func (f *outageFleet) silent(clock time.Duration) {
	f.silences = append(f.silences, silence{from: time.Now(), clock: cmp.Or(clock, silenceClock)})
}

func (f *outageFleet) heard() { f.silences[len(f.silences)-1].until = time.Now() }

// judge counts what was sent to a worker that drains beyond its grace, and what was served past the clock.
func (f *outageFleet) judge(began, told time.Time) {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	lateness := time.Duration(f.lateness.Load())
	counts := map[string]int{}
	broken, shown := 0, 0
	for _, s := range f.sends {
		if s.at.After(told) {
			counts[s.what]++
			if s.status != http.StatusOK {
				counts[s.what+" turned away"]++
			}
		}
		if s.drained.IsZero() || s.what != "call" && s.what != "order" {
			continue
		}
		if by := f.told(s.drained).Add(f.mode.grace + drainSlack + lateness); s.at.After(by) {
			if broken++; shown < 5 {
				shown++
				f.t.Errorf("%s to worker %d, which drains, %v past its grace, %v into the outage", s.what, s.worker,
					s.at.Sub(by).Round(time.Millisecond), s.at.Sub(began).Round(time.Millisecond))
			}
		}
	}
	served, all := 0, 0
	for _, r := range f.rpcs {
		if r.at.After(told) {
			if all++; r.served {
				served++
			}
		}
	}
	share := float64(served) / float64(max(all, 1))
	f.t.Logf("past the clock: %d of %d RPCs served (%.3f); %v; %d sends and orders to workers that drain; this process up to %v late",
		served, all, share, counts, broken, lateness.Round(time.Millisecond))
	if broken > 0 {
		f.t.Errorf("%d sends and orders to workers that drain", broken)
	}
	if all == 0 || share < f.mode.servedMin {
		f.t.Errorf("served %.3f of %d RPCs past the clock, %.2f are wanted", share, all, f.mode.servedMin)
	}
	if checks := counts["check"]; checks > all+50 {
		f.t.Errorf("%d checks for %d RPCs", checks, all)
	}
	if f.t.Failed() {
		for i, fe := range f.frontEnds {
			f.t.Logf("front end %d: %s", i, fe.log)
		}
	}
}

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
	w := &outageWorker{f: f, number: number, address: "127.0.0.1:0"}
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
	send := outageSend{worker: w.number, what: "call", at: time.Now(), status: http.StatusOK}
	w.mu.Lock()
	send.drained = w.drained
	hangs := time.Until(w.hangs)
	w.mu.Unlock()
	time.Sleep(hangs)
	drains := !send.drained.IsZero()
	parts := strings.Split(in.URL.Path, "/")
	switch {
	case in.Method == http.MethodPut && parts[len(parts)-1] == "0":
		send.what = "ask"
		w.slots(out, parts[3])
	case in.Method == http.MethodPut:
		send.what = "order"
		if drains {
			send.status = turnAway(out)
		} else {
			w.load(parts[3])
			w.slots(out, parts[3])
		}
	case in.URL.Path == "/ping" || in.URL.Path == "/-/gauges":
		send.what = "check"
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

// tricklePace is from byte to byte: the shortest answer, that nothing is new, takes longer than a front end waits for one. An
// answer that came whole would prove that nothing was new.
const tricklePace = 200 * time.Millisecond

// discovery is a stand-in for the journal service, on a socket of its own so that it can fail in each way.
type discovery struct {
	t       *testing.T
	address string

	mu     sync.Mutex
	events []any
	more   chan struct{} // closed with each event and with each change of how it fails
	failed bool
	fault  discoveryFault
	l      net.Listener
	conns  map[net.Conn]bool
}

func newDiscovery(t *testing.T) *discovery {
	d := &discovery{t: t, more: make(chan struct{}), conns: map[net.Conn]bool{}}
	d.address = d.listen("127.0.0.1:0")
	t.Cleanup(func() { d.fail(discoveryRefuses) })
	return d
}

// listen takes connections at an address, and tells which one it is.
func (d *discovery) listen(address string) string {
	d.t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		d.t.Error(err)
		return address
	}
	d.l = l
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			d.mu.Lock()
			d.conns[nc] = true
			d.mu.Unlock()
			go d.serve(nc)
		}
	}()
	return l.Addr().String()
}

func (d *discovery) tell(instances []any, whole bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	pos := len(d.events) + 1
	d.events = append(d.events, map[string]any{"pos": pos, "hosts": map[string]any{"generation": pos, "reset": whole, "instances": instances}})
	d.wake()
}

func (d *discovery) wake() {
	close(d.more)
	d.more = make(chan struct{})
}

// first is the list as the fleet started with it.
func (d *discovery) first() []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.text(0, 1)
}

func (d *discovery) text(from, to int) []byte {
	text, err := json.Marshal(map[string]any{"pos": to, "entries": d.events[min(from, to):to]})
	if err != nil {
		d.t.Error(err)
	}
	return text
}

func (d *discovery) fail(fault discoveryFault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failed, d.fault = true, fault
	d.wake()
	if fault == discoveryRefuses {
		d.l.Close()
		for nc := range d.conns {
			nc.Close()
		}
	}
}

func (d *discovery) heal() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failed = false; d.fault == discoveryRefuses {
		d.listen(d.address)
	}
	for nc := range d.conns {
		nc.Close()
	}
	d.wake()
}

func (d *discovery) serve(nc net.Conn) {
	defer func() {
		nc.Close()
		d.mu.Lock()
		delete(d.conns, nc)
		d.mu.Unlock()
	}()
	buf := make([]byte, 4096)
	for {
		n, err := nc.Read(buf)
		if err != nil {
			return
		}
		var tail, wait int
		_, _ = fmt.Sscanf(string(buf[:n]), "GET /journal?tail=%d&max_wait=%d", &tail, &wait)
		if !d.answer(nc, tail, time.Duration(wait)*time.Millisecond) {
			return
		}
	}
}

// answer reports whether the connection may go on.
func (d *discovery) answer(nc net.Conn, tail int, wait time.Duration) bool {
	over := time.After(wait)
	for held := true; held; {
		d.mu.Lock()
		more, nothing := d.more, tail >= len(d.events) && !d.failed
		d.mu.Unlock()
		if held = nothing; held {
			select {
			case <-more:
			case <-over:
				held = false
			}
		}
	}
	d.mu.Lock()
	failed, fault := d.failed, d.fault
	text := d.text(tail, len(d.events))
	if failed && fault == discoveryStale {
		text = d.text(0, 1)
	}
	d.mu.Unlock()
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(text))
	if !failed || fault == discoveryStale {
		_, err := io.WriteString(nc, head+string(text))
		return err == nil
	}
	switch fault {
	case discoveryErrors:
		_, err := io.WriteString(nc, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	case discoveryHalf:
		_, _ = io.WriteString(nc, head+string(text[:len(text)/2]))
		return false
	case discoveryTrickle:
		_, err := io.WriteString(nc, head)
		for i := 0; i < len(text) && err == nil; i++ {
			time.Sleep(tricklePace)
			_, err = nc.Write(text[i : i+1])
		}
		return false
	}
	_, _ = nc.Read(make([]byte, 1)) // it says nothing, until the connection ends
	return false
}

// TestDiscoveryOutageDrawn draws faults from a seed: outages of all kinds and lengths one after the other, workers that drain, end
// and start again, front ends that stand still, are killed or told of another address, under drawn settings and traffic. The
// environment names further seeds, "FIRST-LAST", for a run by hand.
func TestDiscoveryOutageDrawn(t *testing.T) {
	first, last := 1, 3
	if seeds := os.Getenv("DISCOVERY_OUTAGE_SEEDS"); seeds != "" {
		if _, err := fmt.Sscanf(seeds, "%d-%d", &first, &last); err != nil {
			t.Fatalf("DISCOVERY_OUTAGE_SEEDS: %v", err)
		}
	}
	for seed := first; seed <= last; seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			playDrawnOutages(t, int64(seed))
		})
	}
}

// drawnLasts is how long drawn faults go on.
const drawnLasts = 18 * time.Second

func playDrawnOutages(t *testing.T, seed int64) {
	rng := rand.New(rand.NewSource(seed))
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(rng.Int63n(int64(most-least)))
	}
	chance := func(share float64) bool { return rng.Float64() < share }
	mode := outageMode{grace: between(300*time.Millisecond, 1200*time.Millisecond), think: between(20*time.Millisecond, time.Second),
		work: between(5*time.Millisecond, 700*time.Millisecond), noOrders: chance(0.4)}
	if chance(0.25) {
		mode.config = []string{`"mayProbe":true`, `"mayProbe":false`}
	}
	f := newOutageFleet(t, mode)
	mode = f.mode
	f.startLoad()
	time.Sleep(time.Second)
	began := time.Now()
	var steps sync.WaitGroup
	until := func(at time.Duration) { time.Sleep(time.Until(began.Add(at))) }
	faults := []discoveryFault{discoveryRefuses, discoverySilent, discoveryTrickle, discoveryErrors, discoveryHalf}
	restarts := chance(0.5)
	if !restarts { // one that starts with an old state can't tell that the service's is as old
		faults = append(faults, discoveryStale)
	}

	type outage struct {
		at, lasts time.Duration
		fault     discoveryFault
	}
	var outages []outage
	for at := between(0, 2*time.Second); at < drawnLasts-time.Second; {
		o := outage{at, between(300*time.Millisecond, 14*time.Second), faults[rng.Intn(len(faults))]}
		o.lasts = min(o.lasts, drawnLasts-at)
		outages = append(outages, o)
		at += o.lasts + between(300*time.Millisecond, 3*time.Second)
	}
	steps.Go(func() {
		for _, o := range outages {
			until(o.at)
			f.silent(map[discoveryFault]time.Duration{discoverySilent: waitClock, discoveryTrickle: waitClock, discoveryHalf: breakClock}[o.fault])
			f.discovery.fail(o.fault)
			until(o.at + o.lasts)
			f.discovery.heal()
			f.heard()
		}
	})
	for worker := range outageWorkers - 3 { // three are left to serve
		drain, lasts, away, ends := between(0, drawnLasts-time.Second), between(time.Second, 6*time.Second), between(200*time.Millisecond, 2*time.Second), chance(0.6)
		steps.Go(func() {
			until(drain)
			f.drain(worker)
			if until(drain + lasts); !ends {
				return
			}
			f.workers[worker].end()
			f.discovery.tell(f.list("left", worker), false)
			until(drain + lasts + away)
			f.workers[worker].begin()
			f.discovery.tell(f.listStarted("active", time.Now().UnixMilli(), worker), false)
		})
	}
	if hang, lasts := between(0, drawnLasts), between(time.Second, 5*time.Second); chance(0.5) {
		steps.Go(func() {
			until(hang)
			w := f.workers[outageWorkers-1]
			w.mu.Lock()
			defer w.mu.Unlock()
			w.hangs = time.Now().Add(lasts)
		})
	}
	for i := range f.frontEnds {
		at, lasts, kind := between(0, drawnLasts-4*time.Second), between(100*time.Millisecond, 3*time.Second), rng.Intn(4)
		steps.Go(func() {
			until(at)
			switch kind {
			case 0:
				f.signal(i, syscall.SIGSTOP)
				until(at + lasts)
				f.signal(i, syscall.SIGCONT)
			case 1:
				if restarts {
					f.restart(i)
				}
			case 2: // the same address, as far as the silence's clock goes
				f.reload(i, f.discovery.address)
			}
		})
	}
	steps.Wait()
	until(drawnLasts)
	time.Sleep(outageAfter)
	f.stopLoad()
	t.Logf("grace %v, think %v, work %v, orders %t, outages %v, settings %v", mode.grace, mode.think, mode.work, !mode.noOrders, outages, mode.config)
	f.judge(began, began)
}
