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
	process         *exec.Cmd
	log             *bytes.Buffer
}

// sendKind is what a message asks of a worker.
type sendKind string

// Kinds of messages. The rule on draining binds calls and orders.
const (
	sentCall  sendKind = "call"
	sentOrder sendKind = "order" // of a load
	sentCheck sendKind = "check"
	sentAsk   sendKind = "ask" // for copies
)

// outageSend is what came to a worker.
type outageSend struct {
	worker  int
	what    sendKind
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
	fe.process, fe.log = start(f.t, fe.config)
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
