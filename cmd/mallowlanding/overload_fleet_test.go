package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Sizes of the overload tests.
const (
	overloadWorkers       = 6
	overloadUsualClients  = 4
	overloadUsualInterval = time.Second / 16
	overloadBudget        = 680 * time.Millisecond // how long usual clients wait
	overloadLostAfter     = 500 * time.Millisecond // an RPC without an answer this long after its time is lost
	crossingTime          = 50 * time.Millisecond  // an RPC sent this long before its connection is closed is sent again
	startAfterGone        = 100 * time.Millisecond // nothing may begin this long after its client has left
	overloadWorkTime      = 25 * time.Millisecond
	overloadWarmUp        = time.Second
	memoryWatchInterval   = 5 * time.Millisecond
)

// overloadFleet is one front end as a process, with stand-ins for the workers and the journal service, and usual
// clients.
type overloadFleet struct {
	t         *testing.T
	discovery *discovery
	servers   []*http.Server
	address   string
	config    string
	stopAll   chan struct{}
	running   sync.WaitGroup
	lastID    atomic.Uint64
	workTime  atomic.Int64 // of an RPC at a worker, ns

	mu         sync.Mutex
	executions map[uint64][]time.Time // start of each execution at a worker, by the RPC's id
	rpcs       []*usualRPC
	goneAt     map[uint64]time.Time // when a client took back an RPC, or closed its connection, by the RPC's id
	peakMB     float64
	process    *exec.Cmd // replaced by restart
	log        *bytes.Buffer
	killedAt   time.Time

	sideEffecting     map[uint64]bool // ids of the usual clients' side-effecting RPCs
	unexpectedAnswers int             // answers to no open RPC
	unexpectedExits   int             // of the process
}

// usualRPC is one RPC of a usual client.
type usualRPC struct {
	request  executeRequest
	resent   bool // it crossed the close of its connection, and was sent again
	sentAt   time.Time
	answered bool
	took     time.Duration // until the answer
	kind     overloadAnswer
}

func newOverloadFleet(t *testing.T, memoryMB, sockets int) *overloadFleet {
	t.Helper()
	f := &overloadFleet{t: t, discovery: newDiscovery(t), stopAll: make(chan struct{}), executions: map[uint64][]time.Time{}, goneAt: map[uint64]time.Time{},
		sideEffecting: map[uint64]bool{}}
	f.workTime.Store(int64(overloadWorkTime))
	f.lastID.Store(uint64(time.Now().UnixNano()))
	f.discovery.publish(f.startWorkers(), true)
	f.address = unusedAddress(t)
	text, err := os.ReadFile("../../internal/platform/testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	config := strings.NewReplacer("$LISTEN", f.address, "$JOURNAL", f.discovery.address, `"$KNOWN"`, string(f.discovery.initialEvents()),
		`"memory_mb":64`, fmt.Sprintf(`"memory_mb":%d`, memoryMB), `"sockets":256`, fmt.Sprintf(`"sockets":%d`, sockets),
		`"mayLoad":false`, `"mayLoad":true`, `"balancers":1`, `"balancers":1,"tickNs":2000000`).Replace(string(text))
	f.config = filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(f.config, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	f.launch()
	f.running.Go(f.watchMemory)
	t.Cleanup(f.end)
	return f
}

func (f *overloadFleet) end() {
	close(f.stopAll)
	f.running.Wait()
	for _, server := range f.servers {
		server.Close()
	}
	if f.t.Failed() {
		f.t.Logf("log of the front end:\n%s", tail(f.log.String(), 4000))
	}
}

// launch starts the front end and waits until it listens.
func (f *overloadFleet) launch() {
	process, log := startPlatform(f.t, f.config)
	f.mu.Lock()
	f.process, f.log = process, log
	f.mu.Unlock()
	connect(f.t, f.address).Close()
}

// signal sends a signal to the front end.
func (f *overloadFleet) signal(signal syscall.Signal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.process.Process.Signal(signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
		f.t.Error(err)
	}
}

// restart kills the front end, which may have ended after a SIGTERM, and starts it again.
func (f *overloadFleet) restart() {
	f.mu.Lock()
	process := f.process
	f.killedAt = time.Now()
	f.mu.Unlock()
	_ = process.Process.Kill()
	if err := process.Wait(); err != nil && process.ProcessState.ExitCode() > 0 {
		f.mu.Lock()
		f.unexpectedExits++
		f.mu.Unlock()
	}
	f.launch()
}

func tail(text string, length int) string { return text[max(0, len(text)-length):] }

// startWorkers starts the workers and returns their entries in the worker list.
func (f *overloadFleet) startWorkers() (instances []any) {
	for i := range overloadWorkers {
		listener, err := net.Listen("tcp", loopbackAddress())
		if err != nil {
			f.t.Fatal(err)
		}
		server := &http.Server{Handler: http.HandlerFunc(f.serveWorker)}
		f.servers = append(f.servers, server)
		go func() { _ = server.Serve(listener) }()
		instances = append(instances, map[string]any{"instanceId": fmt.Sprintf("w%d", i), "hostPort": listener.Addr().String(), "zone": "a",
			"machineType": "std", "cell": 1, "lifecycle": "active", "weight": 1, "startedAtMs": 0})
	}
	return instances
}

func (f *overloadFleet) serveWorker(out http.ResponseWriter, in *http.Request) {
	out.Header().Set("X-Meter", "busy:0.2;x0:0.1")
	switch {
	case in.Method == http.MethodPut:
		out.Header().Set("X-Slots-Up", "1")
		return
	case in.Header.Get("X-Ticket") == "":
		return
	}
	id, _ := strconv.ParseUint(in.Header.Get("X-Ticket"), 16, 64)
	f.mu.Lock()
	f.executions[id] = append(f.executions[id], time.Now())
	f.mu.Unlock()
	time.Sleep(time.Duration(f.workTime.Load()))
	out.Header().Set("X-Remark", "warm")
	_, _ = out.Write([]byte("done"))
}

// newID returns an id that no RPC or function has had before.
func (f *overloadFleet) newID() uint64 { return f.lastID.Add(1) }

// watchMemory records the most memory that the front end's process has used.
func (f *overloadFleet) watchMemory() {
	for f.sleep(memoryWatchInterval) {
		f.mu.Lock()
		process := f.process
		f.mu.Unlock()
		now := anonymousMB(process.Process.Pid)
		f.mu.Lock()
		f.peakMB = max(f.peakMB, now)
		f.mu.Unlock()
	}
}

// anonymousMB returns the anonymous memory of a process in MiB, which is what the platform limits.
func anonymousMB(pid int) float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	_, rest, _ := strings.Cut(string(text), "RssAnon:")
	kb, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
	n, _ := strconv.ParseFloat(kb, 64)
	return n / 1024
}

// sleep returns false if the fleet stopped meanwhile.
func (f *overloadFleet) sleep(d time.Duration) bool {
	select {
	case <-f.stopAll:
		return false
	case <-time.After(d):
		return true
	}
}

// startUsualClients starts clients that each send an RPC at a fixed interval, on one connection while it lasts.
func (f *overloadFleet) startUsualClients() {
	for i := range overloadUsualClients {
		f.running.Go(func() {
			client := &usualClient{fleet: f, number: i}
			f.sleep(overloadUsualInterval * time.Duration(i) / overloadUsualClients)
			for client.run() {
			}
		})
	}
}

// usualClient sends RPCs at a fixed interval. RPCs that cross the close of their connection are sent again, once.
type usualClient struct {
	fleet   *overloadFleet
	number  int
	seq     int32               // of the last RPC on the connection
	open    map[int32]*usualRPC // on the connection; guarded by overloadFleet.mu
	crossed []*usualRPC         // that are to be sent again
}

// run sends RPCs on one connection, while it lasts. It returns false once the fleet has stopped.
func (c *usualClient) run() bool {
	f := c.fleet
	nc, err := net.Dial("tcp", f.address)
	if err != nil {
		return f.sleep(overloadUsualInterval / 8)
	}
	c.seq, c.open = 0, map[int32]*usualRPC{}
	broken := make(chan struct{})
	go func() {
		defer close(broken)
		c.readAnswers(nc)
	}()
	crossed := c.crossed
	c.crossed = nil
	for _, rpc := range crossed {
		rpc.resent = true
		c.send(nc, rpc)
	}
	for running := true; running; {
		if c.openCount() >= openRPCsOfProtocol {
			running = f.sleep(overloadUsualInterval)
			continue
		}
		rpc := &usualRPC{sentAt: time.Now(), request: executeRequest{method: []string{"query", "once", "query", "book"}[int(c.seq)%4], rpcID: f.newID(),
			function: uint64(c.number + 1), budgetMS: int(overloadBudget / time.Millisecond), customer: "acme", bodyLength: 200}}
		f.mu.Lock()
		f.rpcs = append(f.rpcs, rpc)
		f.sideEffecting[rpc.request.rpcID] = rpc.request.method == "once"
		f.mu.Unlock()
		c.send(nc, rpc)
		select {
		case <-broken:
			running = false
		case <-f.stopAll:
			running = false
		case <-time.After(overloadUsualInterval):
		}
	}
	nc.Close()
	<-broken
	c.collectCrossed(time.Now())
	select {
	case <-f.stopAll:
		return false
	default:
		return true
	}
}

// openCount returns the number of RPCs that the client still waits for on its connection.
func (c *usualClient) openCount() (n int) {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	for _, rpc := range c.open {
		if !rpc.answered {
			n++
		}
	}
	return n
}

func (c *usualClient) send(nc net.Conn, rpc *usualRPC) {
	c.seq++
	rpc.request.seq = c.seq
	c.fleet.mu.Lock()
	c.open[c.seq] = rpc
	c.fleet.mu.Unlock()
	_ = nc.SetWriteDeadline(time.Now().Add(overloadBudget + overloadLostAfter))
	_, _ = nc.Write(appendExecute(nil, rpc.request))
}

func (c *usualClient) readAnswers(nc net.Conn) {
	for reader := bufio.NewReader(nc); ; {
		seq, kind, err := readAnswer(reader)
		if err != nil {
			return
		}
		c.fleet.mu.Lock()
		if rpc := c.open[seq]; rpc == nil || rpc.answered {
			c.fleet.unexpectedAnswers++
		} else {
			rpc.answered, rpc.took, rpc.kind = true, time.Since(rpc.sentAt), kind
		}
		c.fleet.mu.Unlock()
	}
}

// collectCrossed notes the RPCs without an answer that were sent shortly before the connection was closed, unless it
// ended with the process: then they may have run.
func (c *usualClient) collectCrossed(closedAt time.Time) {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	if closedAt.Sub(c.fleet.killedAt) < crossingTime {
		return
	}
	for _, rpc := range c.open {
		if !rpc.answered && !rpc.resent && closedAt.Sub(rpc.sentAt) < crossingTime {
			c.crossed = append(c.crossed, rpc)
		}
	}
}

// markGone records that the clients of RPCs have left, or have taken them back.
func (f *overloadFleet) markGone(ids []uint64) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		f.goneAt[id] = now
	}
}

// lateStarts returns how many executions began too long after their client had left, and the longest such time.
func (f *overloadFleet) lateStarts() (n int, longest time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, starts := range f.executions {
		goneAt, gone := f.goneAt[id]
		for _, began := range starts {
			if late := began.Sub(goneAt); gone && late > startAfterGone {
				n, longest = n+1, max(longest, late)
			}
		}
	}
	return n, longest
}

// overloadSummary counts the usual RPCs that were sent in a period.
type overloadSummary struct {
	sent, servedInTime, lost int
	p99                      time.Duration
	peakMB                   float64
	startedLate              int // RPCs that began too long after their client had left
	latestStart              time.Duration
}

func (s overloadSummary) String() string {
	return fmt.Sprintf("%d RPCs, %d served in time, %d lost, p99 %v, peak %.1f MB", s.sent, s.servedInTime, s.lost,
		s.p99.Round(time.Millisecond), s.peakMB)
}

func (s overloadSummary) shareInTime() float64 {
	return float64(s.servedInTime) / float64(max(s.sent, 1))
}

// summarize counts the usual RPCs that were sent between two times.
func (f *overloadFleet) summarize(from, until time.Time) overloadSummary {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := overloadSummary{peakMB: f.peakMB}
	var times []time.Duration
	for _, rpc := range f.rpcs {
		if rpc.sentAt.Before(from) || rpc.sentAt.After(until) {
			continue
		}
		s.sent++
		if !rpc.answered || rpc.took > overloadBudget+overloadLostAfter {
			s.lost++
			rpc.took = time.Since(rpc.sentAt)
		} else if rpc.kind == answeredOK && rpc.took <= overloadBudget {
			s.servedInTime++
		}
		times = append(times, rpc.took)
	}
	if slices.Sort(times); len(times) > 0 {
		s.p99 = times[len(times)*99/100]
	}
	return s
}
