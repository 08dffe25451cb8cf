package measure

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"golang.org/x/sync/errgroup"

	"mallowlanding/internal/jsonrpc"
)

// Flood measures one client that sends a single RPC after another with pauses of 20 ms, beside a neighbour that keeps
// thousands of RPCs open: with fair queuing by the front end's admission (held="16", the default) and without
// (held="0").
func Flood(ctx context.Context, exe string, o Options, out io.Writer) error {
	w := table.NewWriter()
	w.SetOutputMirror(out)
	w.SetStyle(table.StyleLight)
	w.SetTitle("single RPCs beside a neighbour that keeps 5,000 open; %d stand-in workers, %v an RPC", o.Workers, o.WorkTime)
	w.AppendHeader(table.Row{"", "neighbour's RPCs/s", "single: sent", "not ok", "p50 ms", "p99 ms"})
	for _, c := range []struct {
		name      string
		maxQueued int
		open      int
	}{{"alone", 16, 0}, {"fair turns", 16, 5000}, {"without", 0, 5000}} {
		r, rate, err := measureFlood(ctx, exe, o, c.maxQueued, c.open)
		if err != nil {
			return err
		}
		quantileMs := func(q float64) string { return fmt.Sprintf("%.1f", float64(r.latency.ValueAtQuantile(q))/1000) }
		w.AppendRow(table.Row{c.name, fmt.Sprintf("%.0f", rate), r.latency.TotalCount(), r.failed, quantileMs(50), quantileMs(99)})
	}
	w.Render()
	return ctx.Err()
}

// measureFlood measures the single RPCs beside openRPCs of the neighbour. rate is the neighbour's RPCs answered ok per
// second.
func measureFlood(ctx context.Context, exe string, o Options, maxQueued, openRPCs int) (r result, rate float64, err error) {
	dir, err := os.MkdirTemp("", "mallow")
	if err != nil {
		return r, 0, err
	}
	defer os.RemoveAll(dir)
	ctx, end := context.WithCancel(ctx)
	defer end()
	var procs, conns errgroup.Group
	defer func() { end(); _ = procs.Wait(); _ = conns.Wait() }()
	if err := startSystem(ctx, &procs, exe, dir, o, fmt.Sprintf(`held="%d"`, maxQueued), ""); err != nil {
		return r, 0, err
	}
	dial := func() (*jsonrpc.Caller, error) { return connect(ctx, &conns, filepath.Join(dir, "front.sock")) }
	neighbour, err := dial()
	if err != nil {
		return r, 0, err
	}
	single, err := dial()
	if err != nil {
		return r, 0, err
	}
	params := func(f int) []byte { return append(strconv.AppendInt([]byte(`{"function":"f`), int64(f), 10), `"}`...) }
	for f := range o.Functions { // load the functions
		single.Call(ctx, "query", params(f))
	}
	var done atomic.Int64
	begin := time.Now()
	var sendNext func(n int)
	sendNext = func(n int) {
		neighbour.CallAsync("query", params(n%o.Functions), func(a jsonrpc.Response) {
			if a.Err == nil && time.Since(begin) < o.Duration {
				if a.Code == 0 {
					done.Add(1)
				}
				sendNext(n)
			}
		})
	}
	for n := range openRPCs {
		sendNext(n)
	}
	time.Sleep(500 * time.Millisecond)
	r.latency = histogram()
	for n := 0; time.Since(begin) < o.Duration && ctx.Err() == nil; n++ {
		sent := time.Now()
		if a := single.Call(ctx, "query", params(n%o.Functions)); a.Err != nil || a.Code != 0 {
			r.failed++
		}
		_ = r.latency.RecordValue(time.Since(sent).Microseconds())
		time.Sleep(20 * time.Millisecond)
	}
	return r, float64(done.Load()) / time.Since(begin).Seconds(), nil
}
