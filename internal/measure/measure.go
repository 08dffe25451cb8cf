// Package measure times one front end on warm copies beside a client that speaks to the same worker directly, both
// in one run on one machine: the difference and the ratio count, not the figures themselves.
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

// Options say what is measured.
type Options struct {
	Batch       int           // RPCs that may ride one call-out; 0: one
	WorkerCores int           // of each stand-in worker; 0: so many that none waits
	Span        time.Duration // of each measurement
	Workers     int
	Cores       int // that the front end may use
	Payload     int // bytes
	Functions   int
	Work        time.Duration // of each RPC at a worker
	Control     string        // the front end's control element; empty: none
	Rate        float64       // RPCs a second of the open loop; 0: half of what the front end reached
}

const (
	valueLimit = 64 << 20
	rounds     = 4 // turns of the open loops
)

// way is how RPCs are sent: through the front end or straight to workers.
type way struct {
	name   string
	params func(function int) []byte
	method string
	conns  []*jsonrpc.Caller
}

// Run measures and prints a table. Exe is the program itself.
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
	if err := start(ctx, &procs, exe, dir, o, "", ""); err != nil {
		return err
	}
	payload := make([]byte, 0, o.Payload+2)
	payload = append(payload, '"')
	for range max(o.Payload-2, 0) {
		payload = append(payload, 'x')
	}
	payload = append(payload, '"')
	var conns errgroup.Group
	dial := func(socket string) (*jsonrpc.Caller, error) { return connect(ctx, &conns, socket) }
	defer func() { end(); _ = conns.Wait() }()
	front := way{name: "through the front end", method: "query", params: func(f int) []byte {
		b := strconv.AppendInt([]byte(`{"function":"f`), int64(f), 10)
		return append(append(append(b, `","payload":`...), payload...), '}')
	}}
	direct := way{name: "straight to the workers", method: "host.request", params: func(f int) []byte {
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
	w.SetTitle("one front end on %d cores, %d stand-in workers whose work takes %v, payload of %d bytes", o.Cores,
		o.Workers, o.Work, o.Payload)
	w.AppendHeader(table.Row{"way", "load", "RPCs/s", "not ok", "p50 us", "p99 us", "p99.9 us"})
	row := func(name, load string, r result) {
		w.AppendRow(table.Row{name, load, fmt.Sprintf("%.0f", r.rate), r.failed, r.h.ValueAtQuantile(50),
			r.h.ValueAtQuantile(99), r.h.ValueAtQuantile(99.9)})
	}
	most := map[string]result{}
	for _, y := range []way{direct, front} {
		y.warm(ctx, o)
		one := y.closed(ctx, 1, o.Span, o)
		row(y.name, "one at a time", one)
		most[y.name+" alone"] = one
		full := y.closed(ctx, 64, o.Span, o)
		row(y.name, "64 at a time", full)
		most[y.name] = full
	}
	half := cmp.Or(o.Rate, most[front.name].rate/2)
	// in turns, so that what else the machine does falls on both
	open := [2]result{{h: histogram()}, {h: histogram()}}
	for range rounds {
		for i, y := range []way{direct, front} {
			r := y.openLoop(ctx, half, o.Span/rounds, o)
			open[i].h.Merge(r.h)
			open[i].failed += r.failed
			open[i].rate += r.rate / rounds
		}
	}
	for i, y := range []way{direct, front} {
		row(y.name, fmt.Sprintf("open loop, %.0f a second", half), open[i])
	}
	w.Render()
	fmt.Fprintf(out, "added at the median: %d us alone, %d us in the open loop; rate of the front end over direct: %.2f\n",
		most[front.name+" alone"].h.ValueAtQuantile(50)-most[direct.name+" alone"].h.ValueAtQuantile(50),
		open[1].h.ValueAtQuantile(50)-open[0].h.ValueAtQuantile(50), most[front.name].rate/most[direct.name].rate)
	return ctx.Err()
}

type result struct {
	rate   float64
	failed int64
	h      *hdrhistogram.Histogram // of all
	ok     *hdrhistogram.Histogram // of those that were ok; of open loops alone
}

func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60e6, 3) }

// warm asks for each function on each connection, and again: loads take part of a second.
func (y way) warm(ctx context.Context, o Options) {
	for range 2 {
		var group errgroup.Group
		for _, c := range y.conns {
			group.Go(func() error {
				for f := range o.Functions {
					c.Call(ctx, y.method, y.params(f))
				}
				return nil
			})
		}
		_ = group.Wait()
	}
}

// connect dials a socket; the caller's reader runs in the group until the context ends.
func connect(ctx context.Context, conns *errgroup.Group, socket string) (*jsonrpc.Caller, error) {
	nc, err := net.Dial("unix", socket)
	if err != nil {
		return nil, err
	}
	c := jsonrpc.NewCaller(nc, valueLimit)
	conns.Go(func() error { _ = c.Run(ctx); return nil })
	return c, nil
}

// closed keeps n RPCs at work, each sent once the one before it is answered.
func (y way) closed(ctx context.Context, n int, span time.Duration, o Options) result {
	var mu sync.Mutex
	r := result{h: histogram()}
	begin := time.Now()
	var group errgroup.Group
	for i := range n {
		c := y.conns[i%len(y.conns)]
		group.Go(func() error {
			h, failed := histogram(), int64(0)
			for k := i; time.Since(begin) < span && ctx.Err() == nil; k++ {
				sent := time.Now()
				if a := c.Call(ctx, y.method, y.params(k%o.Functions)); a.Err != nil || a.Code != 0 {
					failed++
				}
				_ = h.RecordValue(time.Since(sent).Microseconds())
			}
			mu.Lock()
			defer mu.Unlock()
			r.h.Merge(h)
			r.failed += failed
			return nil
		})
	}
	_ = group.Wait()
	r.rate = float64(r.h.TotalCount()) / time.Since(begin).Seconds()
	return r
}

// openLoop sends at a steady rate, whatever is answered; an RPC's time counts from when it was due.
func (y way) openLoop(ctx context.Context, rate float64, span time.Duration, o Options) result {
	var mu sync.Mutex
	var failed atomic.Int64
	r := result{h: histogram(), ok: histogram()}
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
		y.conns[n%len(y.conns)].CallAsync(y.method, y.params(n%o.Functions), func(a jsonrpc.Response) {
			took := time.Since(due).Microseconds()
			if a.Err != nil || a.Code != 0 {
				failed.Add(1)
			}
			mu.Lock()
			_ = r.h.RecordValue(took)
			if a.Err == nil && a.Code == 0 {
				_ = r.ok.RecordValue(took)
			}
			mu.Unlock()
			wait.Done()
		})
	}
	wait.Wait()
	r.rate = float64(r.h.TotalCount()) / time.Since(begin).Seconds()
	r.failed = failed.Load()
	return r
}

// child runs a subcommand until the context ends, with some environment of its own.
func child(ctx context.Context, procs *errgroup.Group, exe, command, file string, env ...string) error {
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

// start runs roster, workers and a front end as processes of their own.
func start(ctx context.Context, procs *errgroup.Group, exe, dir string, o Options, limits, kserve string) error {
	docs := map[string]string{
		"roster": fmt.Sprintf(`<roster socket="%s/roster.sock" lag-ms="0"/>`, dir),
		"front": fmt.Sprintf(`<front-end name="front"><clients socket="%[1]s/front.sock" open="100000" %[2]s/>%[3]s<workers value-bytes="67108864"/>
<roster socket="%[1]s/roster.sock"/>%[6]s<service>
<method name="query" effect="idempotent" memory-mb="16" lanes="64" load-ms="300" soft-deadline-ms="%[4]d" batch="%[5]d"/><kind name="std" memory-mb="4096"/>
<functions keep-alive-ms="600000"/></service></front-end>`, dir, limits, kserve, softMs, max(o.Batch, 1), o.Control),
	}
	command := map[string]string{"roster": "roster", "front": "serve"}
	order := []string{"roster"}
	for i := range o.Workers {
		name := fmt.Sprintf("worker-%d", i)
		docs[name] = fmt.Sprintf(`<worker name="%[2]s" socket="%[1]s/%[2]s.sock" kind="std" cold="no">
<machine cores="%[4]d" keep-alive-ms="600000"/><work method="query" mean-ms="%[3]g" spread="0"/><roster socket="%[1]s/roster.sock"/></worker>`,
			dir, name, float64(o.Work)/float64(time.Millisecond), cmp.Or(o.WorkerCores, 64))
		command[name] = "worker"
		order = append(order, name)
	}
	for _, name := range append(order, "front") {
		file := filepath.Join(dir, name+".xml")
		if err := os.WriteFile(file, []byte(docs[name]), 0o600); err != nil {
			return err
		}
		cores := 1 // the others' on this machine
		if name == "front" {
			cores = o.Cores
		}
		if err := child(ctx, procs, exe, command[name], file, "GOMAXPROCS="+strconv.Itoa(cores)); err != nil {
			return err
		}
		socket := filepath.Join(dir, name+".sock")
		for try := 0; ; try++ {
			if nc, err := net.Dial("unix", socket); err == nil {
				nc.Close()
				break
			} else if try > 1000 {
				return fmt.Errorf("%s does not serve: %w", name, err)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	time.Sleep(300 * time.Millisecond) // the list of workers comes
	return nil
}
