// Package measure compares one front end on warm copies with a client that connects to the same workers directly. Both
// are measured in the same run on one machine, so the differences and ratios are meaningful, not the absolute values.
package measure

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jedib0t/go-pretty/v6/table"
	"golang.org/x/sync/errgroup"

	"mallowlanding/internal/jsonrpc"
)

// Options configures a measurement.
type Options struct {
	MaxBatch       int           // RPCs in one call-out; 0: one
	WorkerCores    int           // of each stand-in worker; 0: enough that no RPC waits for one
	Duration       time.Duration // of each measurement
	Workers        int
	FrontEndCores  int // GOMAXPROCS of the front end
	PayloadBytes   int // of each RPC
	Functions      int
	WorkTime       time.Duration // of each RPC at a worker
	ControlElement string        // XML of the front end's control element; empty: none
	Rate           float64       // RPCs per second of the open loop; 0: half of the front end's closed-loop rate
}

const (
	maxValueBytes  = 64 << 20
	openLoopRounds = 4 // rounds in which the open loops of the two targets alternate
)

// target is where RPCs are sent: through the front end or directly to workers.
type target struct {
	name   string
	params func(function int) []byte
	method string
	conns  []*jsonrpc.Caller
}

// Run measures both targets with closed and open loops and prints a table. Exe is the program's own executable.
func Run(ctx context.Context, exe string, o Options, out io.Writer) error {
	dir, err := os.MkdirTemp("", "mallow")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	ctx, end := context.WithCancel(ctx)
	defer end()
	var procs errgroup.Group
	defer func() { end(); _ = procs.Wait() }()
	if err := startSystem(ctx, &procs, exe, dir, o, "", ""); err != nil {
		return err
	}
	payload := make([]byte, 0, o.PayloadBytes+2)
	payload = append(payload, '"')
	for range max(o.PayloadBytes-2, 0) {
		payload = append(payload, 'x')
	}
	payload = append(payload, '"')
	var conns errgroup.Group
	dial := func(socket string) (*jsonrpc.Caller, error) { return connect(ctx, &conns, socket) }
	defer func() { end(); _ = conns.Wait() }()
	front := target{name: "through the front end", method: "query", params: func(f int) []byte {
		b := strconv.AppendInt([]byte(`{"function":"f`), int64(f), 10)
		return append(append(append(b, `","payload":`...), payload...), '}')
	}}
	direct := target{name: "straight to the workers", method: "host.request", params: func(f int) []byte {
		b := strconv.AppendInt([]byte(`{"method":"query","function":"f`), int64(f), 10)
		b = append(b, `","time_ms":3000,"memory_mb":16,"lanes":64,"load_ms":300,"payload":`...)
		return append(append(b, payload...), '}')
	}}
	for i := range 8 {
		c, err := dial(filepath.Join(dir, "front.sock"))
		if err != nil {
			return err
		}
		front.conns = append(front.conns, c)
		if c, err = dial(filepath.Join(dir, fmt.Sprintf("worker-%d.sock", i%o.Workers))); err != nil {
			return err
		}
		direct.conns = append(direct.conns, c)
	}
	w := table.NewWriter()
	w.SetOutputMirror(out)
	w.SetStyle(table.StyleLight)
	w.SetTitle("one front end on %d cores, %d stand-in workers whose work takes %v, payload of %d bytes", o.FrontEndCores,
		o.Workers, o.WorkTime, o.PayloadBytes)
	w.AppendHeader(table.Row{"way", "load", "RPCs/s", "not ok", "p50 us", "p99 us", "p99.9 us"})
	row := func(name, load string, r result) {
		w.AppendRow(table.Row{name, load, fmt.Sprintf("%.0f", r.rate), r.failed, r.latency.ValueAtQuantile(50),
			r.latency.ValueAtQuantile(99), r.latency.ValueAtQuantile(99.9)})
	}
	results := map[string]result{}
	for _, t := range []target{direct, front} {
		t.warmUp(ctx, o)
		single := t.closedLoop(ctx, 1, o.Duration, o)
		row(t.name, "one at a time", single)
		results[t.name+" alone"] = single
		loaded := t.closedLoop(ctx, 64, o.Duration, o)
		row(t.name, "64 at a time", loaded)
		results[t.name] = loaded
	}
	rate := cmp.Or(o.Rate, results[front.name].rate/2)
	// alternate, so that other load on the machine affects both targets alike
	open := [2]result{{latency: histogram()}, {latency: histogram()}}
	for range openLoopRounds {
		for i, t := range []target{direct, front} {
			r := t.openLoop(ctx, rate, o.Duration/openLoopRounds, o)
			open[i].latency.Merge(r.latency)
			open[i].failed += r.failed
			open[i].rate += r.rate / openLoopRounds
		}
	}
	for i, t := range []target{direct, front} {
		row(t.name, fmt.Sprintf("open loop, %.0f a second", rate), open[i])
	}
	w.Render()
	fmt.Fprintf(out, "added at the median: %d us alone, %d us in the open loop; rate of the front end over direct: %.2f\n",
		results[front.name+" alone"].latency.ValueAtQuantile(50)-results[direct.name+" alone"].latency.ValueAtQuantile(50),
		open[1].latency.ValueAtQuantile(50)-open[0].latency.ValueAtQuantile(50), results[front.name].rate/results[direct.name].rate)
	return ctx.Err()
}

type result struct {
	rate      float64
	failed    int64
	latency   *hdrhistogram.Histogram // of all RPCs, in us
	okLatency *hdrhistogram.Histogram // of RPCs that ended ok, in us; open loops only
}

func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60e6, 3) }

// warmUp calls each function twice on each connection, because loads take part of a second.
func (t target) warmUp(ctx context.Context, o Options) {
	for range 2 {
		var group errgroup.Group
		for _, c := range t.conns {
			group.Go(func() error {
				for f := range o.Functions {
					c.Call(ctx, t.method, t.params(f))
				}
				return nil
			})
		}
		_ = group.Wait()
	}
}

// connect dials a socket. The connection's reader runs in the group until the context ends.
func connect(ctx context.Context, conns *errgroup.Group, socket string) (*jsonrpc.Caller, error) {
	nc, err := net.Dial("unix", socket)
	if err != nil {
		return nil, err
	}
	c := jsonrpc.NewCaller(nc, maxValueBytes)
	conns.Go(func() error { _ = c.Run(ctx); return nil })
	return c, nil
}

// closedLoop keeps n RPCs in flight for the given time: each is sent when the one before it is answered.
func (t target) closedLoop(ctx context.Context, n int, span time.Duration, o Options) result {
	var mu sync.Mutex
	r := result{latency: histogram()}
	begin := time.Now()
	var group errgroup.Group
	for i := range n {
		c := t.conns[i%len(t.conns)]
		group.Go(func() error {
			h, failed := histogram(), int64(0)
			for k := i; time.Since(begin) < span && ctx.Err() == nil; k++ {
				sent := time.Now()
				if a := c.Call(ctx, t.method, t.params(k%o.Functions)); a.Err != nil || a.Code != 0 {
					failed++
				}
				_ = h.RecordValue(time.Since(sent).Microseconds())
			}
			mu.Lock()
			defer mu.Unlock()
			r.latency.Merge(h)
			r.failed += failed
			return nil
		})
	}
	_ = group.Wait()
	r.rate = float64(r.latency.TotalCount()) / time.Since(begin).Seconds()
	return r
}

// openLoop sends at a steady rate, whether or not earlier RPCs are answered. Latency counts from the time at which an
// RPC was due.
func (t target) openLoop(ctx context.Context, rate float64, span time.Duration, o Options) result {
	var mu sync.Mutex
	var failed atomic.Int64
	r := result{latency: histogram(), okLatency: histogram()}
	var wait sync.WaitGroup
	begin := time.Now()
	for n := 0; ctx.Err() == nil; n++ {
		due := begin.Add(time.Duration(float64(n) / rate * float64(time.Second)))
		if due.Sub(begin) >= span {
			break
		}
		for d := time.Until(due); d > 0; d = time.Until(due) {
			if d > 2*time.Millisecond {
				time.Sleep(d - time.Millisecond)
			} else {
				runtime.Gosched() // a sleep would bunch the arrivals
			}
		}
		wait.Add(1)
		t.conns[n%len(t.conns)].CallAsync(t.method, t.params(n%o.Functions), func(a jsonrpc.Response) {
			took := time.Since(due).Microseconds()
			if a.Err != nil || a.Code != 0 {
				failed.Add(1)
			}
			mu.Lock()
			_ = r.latency.RecordValue(took)
			if a.Err == nil && a.Code == 0 {
				_ = r.okLatency.RecordValue(took)
			}
			mu.Unlock()
			wait.Done()
		})
	}
	wait.Wait()
	r.rate = float64(r.latency.TotalCount()) / time.Since(begin).Seconds()
	r.failed = failed.Load()
	return r
}

// startProcess runs a subcommand of the program until the context ends, with env added to its environment.
func startProcess(ctx context.Context, procs *errgroup.Group, exe, command, file string, env ...string) error {
	cmd := exec.CommandContext(ctx, exe, "--log-level", "error", command, file)
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	cmd.Env = append(os.Environ(), env...)
	if err := cmd.Start(); err != nil {
		return err
	}
	procs.Go(func() error { _ = cmd.Wait(); return nil })
	return nil
}

// startSystem starts the roster, the workers and a front end, each as a process, and waits until they accept
// connections. Limits are attributes of the front end's clients element, kserve is its kserve element.
func startSystem(ctx context.Context, procs *errgroup.Group, exe, dir string, o Options, limits, kserve string) error {
	docs := map[string]string{
		"roster": fmt.Sprintf(`<roster socket="%s/roster.sock" lag-ms="0"/>`, dir),
		"front": fmt.Sprintf(`<front-end name="front"><clients socket="%[1]s/front.sock" open="100000" %[2]s/>%[3]s<workers value-bytes="67108864"/>
<roster socket="%[1]s/roster.sock"/>%[6]s<service>
<method name="query" effect="idempotent" memory-mb="16" lanes="64" load-ms="300" soft-deadline-ms="%[4]d" batch="%[5]d"/><kind name="std" memory-mb="4096"/>
<functions keep-alive-ms="600000"/></service></front-end>`, dir, limits, kserve, softDeadlineMs, max(o.MaxBatch, 1), o.ControlElement),
	}
	command := map[string]string{"roster": "roster", "front": "serve"}
	order := []string{"roster"}
	for i := range o.Workers {
		name := fmt.Sprintf("worker-%d", i)
		docs[name] = fmt.Sprintf(`<worker name="%[2]s" socket="%[1]s/%[2]s.sock" kind="std" cold="no">
<machine cores="%[4]d" keep-alive-ms="600000"/><work method="query" mean-ms="%[3]g" spread="0"/><roster socket="%[1]s/roster.sock"/></worker>`,
			dir, name, float64(o.WorkTime)/float64(time.Millisecond), cmp.Or(o.WorkerCores, 64))
		command[name] = "worker"
		order = append(order, name)
	}
	for _, name := range append(order, "front") {
		file := filepath.Join(dir, name+".xml")
		if err := os.WriteFile(file, []byte(docs[name]), 0o600); err != nil {
			return err
		}
		cores := 1 // of the roster and of each worker
		if name == "front" {
			cores = o.FrontEndCores
		}
		if err := startProcess(ctx, procs, exe, command[name], file, "GOMAXPROCS="+strconv.Itoa(cores)); err != nil {
			return err
		}
		socket := filepath.Join(dir, name+".sock")
		for try := 0; ; try++ {
			if nc, err := net.Dial("unix", socket); err == nil {
				nc.Close()
				break
			} else if try > 1000 {
				return fmt.Errorf("%s does not accept connections: %w", name, err)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	time.Sleep(300 * time.Millisecond) // the front end receives the worker list
	return nil
}
