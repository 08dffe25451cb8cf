package measure

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"

	"github.com/jedib0t/go-pretty/v6/table"
	"golang.org/x/sync/errgroup"
)

// softDeadlineMs is the soft deadline of the method that is measured, in ms.
const softDeadlineMs = 200

// Batching measures one idempotent method under rising load, with batches of up to eight RPCs and without: the
// throughput, and the share answered within the soft deadline. In the batches of the stand-in workers, each RPC but the
// first costs a fifth of a single RPC.
func Batching(ctx context.Context, exe string, o Options, rates []float64, out io.Writer) error {
	w := table.NewWriter()
	w.SetOutputMirror(out)
	w.SetStyle(table.StyleLight)
	w.SetTitle("batches under rising load; %d stand-in workers of 2 cores, %v an RPC, soft deadline %d ms", o.Workers, o.WorkTime, softDeadlineMs)
	w.AppendHeader(table.Row{"load a second", "batch", "ok a second", "in the soft deadline", "not ok", "p50 ms", "p99 ms"})
	for _, batch := range []int{1, 8} {
		o.MaxBatch = batch
		if err := measureBatching(ctx, exe, o, rates, w); err != nil {
			return err
		}
	}
	w.SortBy([]table.SortBy{{Number: 1, Mode: table.AscNumeric}, {Number: 2, Mode: table.AscNumeric}})
	w.Render()
	return ctx.Err()
}

func measureBatching(ctx context.Context, exe string, o Options, rates []float64, w table.Writer) error {
	dir, err := os.MkdirTemp("", "mallow")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	ctx, end := context.WithCancel(ctx)
	defer end()
	var procs, conns errgroup.Group
	defer func() { end(); _ = procs.Wait(); _ = conns.Wait() }()
	o.WorkerCores = 2
	if err := startSystem(ctx, &procs, exe, dir, o, "", ""); err != nil {
		return err
	}
	t := target{name: "batch", method: "query", params: func(f int) []byte {
		return append(strconv.AppendInt([]byte(`{"function":"f`), int64(f), 10), `"}`...)
	}}
	for range 4 {
		c, err := connect(ctx, &conns, filepath.Join(dir, "front.sock"))
		if err != nil {
			return err
		}
		t.conns = append(t.conns, c)
	}
	t.warmUp(ctx, o)
	for _, rate := range rates {
		r := t.openLoop(ctx, rate, o.Duration, o)
		within := int64(0)
		for _, bucket := range r.okLatency.Distribution() {
			if bucket.To <= softDeadlineMs*1000 {
				within += bucket.Count
			}
		}
		quantileMs := func(q float64) string { return fmt.Sprintf("%.1f", float64(r.okLatency.ValueAtQuantile(q))/1000) }
		sent := r.latency.TotalCount()
		w.AppendRow(table.Row{fmt.Sprintf("%.0f", rate), o.MaxBatch, fmt.Sprintf("%.0f", float64(sent-r.failed)/o.Duration.Seconds()),
			fmt.Sprintf("%.3f", float64(within)/float64(max(sent, 1))), r.failed, quantileMs(50), quantileMs(99)})
	}
	return nil
}
