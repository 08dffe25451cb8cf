package main

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	wire "github.com/apache/thrift/lib/go/thrift"
)

// outageFleet is the processes of the front ends, and the stand-ins that they talk to.
type outageFleet struct {
	t         *testing.T
	mode      outageMode
	discovery *discovery
	workers   []*outageWorker
	frontEnds []*outageFrontEnd

	silences    []silence
	stop        chan struct{}
	streams     sync.WaitGroup
	maxLateness atomic.Int64 // longest delay of a timer of this process, in ns

	mu       sync.Mutex
	messages []outageMessage
	rpcs     []outageRPC
}

type outageFrontEnd struct {
	address, config string
	process         *exec.Cmd
	log             *bytes.Buffer
}

// messageKind is the kind of a message to a worker.
type messageKind string

// Kinds of messages. The rule on draining applies to calls and orders.
const (
	callMessage  messageKind = "call"
	orderMessage messageKind = "order" // load order
	checkMessage messageKind = "check"
	queryMessage messageKind = "ask" // load order for 0 copies: asks how many the worker has
)

// outageMessage is a message that a worker received.
type outageMessage struct {
	worker  int
	kind    messageKind
	at      time.Time
	drained time.Time // when the worker began to drain; zero: it was not draining
	status  int
}

// outageRPC is the start and the result of a client's RPC.
type outageRPC struct {
	at     time.Time
	served bool
}

func newOutageFleet(t *testing.T, mode outageMode) *outageFleet {
	mode.reportLimit, mode.grace = cmp.Or(mode.reportLimit, silenceLimit), cmp.Or(mode.grace, drainGrace)
	mode.thinkTime, mode.workTime = cmp.Or(mode.thinkTime, outageThinkTime), cmp.Or(mode.workTime, outageWorkTime)
	f := &outageFleet{t: t, mode: mode, stop: make(chan struct{}), discovery: newDiscovery(t)}
	for i := range outageWorkers {
		f.workers = append(f.workers, newOutageWorker(f, i))
	}
	var all []int
	for i := range f.workers {
		all = append(all, i)
	}
	f.discovery.publish(f.instances("active", all...), true)
	f.discovery.publish(f.instances("active", 0), false) // the second event: discoveryIsStale goes back to the first
	for range outageFrontEnds {
		fe := &outageFrontEnd{address: unusedAddress(t), config: filepath.Join(t.TempDir(), "config.json")}
		f.frontEnds = append(f.frontEnds, fe)
		f.configure(len(f.frontEnds)-1, f.discovery.address)
		f.launch(len(f.frontEnds) - 1)
	}
	return f
}

func (f *outageFleet) instances(state string, workers ...int) []any {
	return f.instancesStartedAt(state, 0, workers...)
}

// instancesStartedAt returns list entries of workers that started at a Unix time in ms; 0: long ago.
func (f *outageFleet) instancesStartedAt(state string, started int64, workers ...int) (out []any) {
	for _, i := range workers {
		out = append(out, map[string]any{"instanceId": fmt.Sprintf("w%d", i), "hostPort": f.workers[i].address, "zone": "a",
			"machineType": "std", "cell": 1, "lifecycle": state, "weight": 1, "startedAtMs": started})
	}
	return out
}

// configure writes a front end's configuration. Its known events are those at the start of the fleet.
func (f *outageFleet) configure(i int, journal string) {
	f.t.Helper()
	text, err := os.ReadFile("../../internal/platform/testdata/config.json")
	if err != nil {
		f.t.Fatal(err)
	}
	replacements := append([]string{`"drainGraceNs":500000000`, fmt.Sprintf(`"drainGraceNs":%d`, f.mode.grace), "$LISTEN", f.frontEnds[i].address, "$JOURNAL", journal, `"$KNOWN"`, string(f.discovery.initialEvents()),
		`"balancers":1`, fmt.Sprintf(`"balancers":%d`, outageFrontEnds), `"myNumber":0`, fmt.Sprintf(`"myNumber":%d`, i)}, f.mode.configEdits...)
	if !f.mode.noOrders {
		replacements = append(replacements, `"mayLoad":false`, `"mayLoad":true`)
	}
	config := strings.NewReplacer(replacements...).Replace(string(text))
	if err := os.WriteFile(f.frontEnds[i].config, []byte(config), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

func (f *outageFleet) launch(i int) {
	f.t.Helper()
	fe := f.frontEnds[i]
	fe.process, fe.log = startPlatform(f.t, fe.config)
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
	f.discovery.publish(f.instances("leaving", i), false)
}

// startLoad starts the clients of each front end, and a watch on how late the timers of this process fire.
func (f *outageFleet) startLoad() {
	for i, fe := range f.frontEnds {
		for stream := range outageStreams {
			f.streams.Go(func() { f.runStream(fe, i*outageStreams+stream) })
		}
	}
	f.streams.Go(func() {
		const interval = 5 * time.Millisecond
		for last := time.Now(); ; {
			select {
			case <-f.stop:
				return
			case <-time.After(interval):
			}
			late := time.Since(last) - interval
			last = time.Now()
			if int64(late) > f.maxLateness.Load() {
				f.maxLateness.Store(int64(late))
			}
		}
	})
}

func (f *outageFleet) stopLoad() {
	close(f.stop)
	f.streams.Wait()
}

// runStream is one client: it sends an RPC, waits for the answer, pauses, and sends the next.
func (f *outageFleet) runStream(fe *outageFrontEnd, number int) {
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
		case <-time.After(f.mode.thinkTime):
		}
		if nc == nil {
			var err error
			if nc, err = net.Dial("tcp", fe.address); err != nil {
				nc = nil
				continue // the front end is starting, or was killed
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
		served, err := sendRPC(nc, seq, fields)
		if err != nil {
			nc.Close()
			nc = nil
		}
		f.mu.Lock()
		f.rpcs = append(f.rpcs, outageRPC{began, served})
		f.mu.Unlock()
	}
}

// sendRPC sends one RPC and reports whether it was served.
func sendRPC(nc net.Conn, seq int32, fields map[string]string) (served bool, err error) {
	if _, err := nc.Write(encodeMessage("execute", seq, fields)); err != nil {
		return false, err
	}
	text, err := readFrame(nc)
	if err != nil {
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
