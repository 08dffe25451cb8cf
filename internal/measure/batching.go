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

// softMs is the soft deadline of the batching measure, in ms.
const softMs = 200

// Batching measures one idempotent method under rising load with batches of up to eight and without: throughput, and
// the share answered within the soft deadline. The stand-in workers' batches cost a fifth of an RPC for each but the
// first.
func Batching(ctx context.Context, exe string, o Options, rates []float64, out io.Writer) error {
	w := table.NewWriter()
	w.SetOutputMirror(out)
	w.SetStyle(table.StyleLight)
	w.SetTitle("batches under rising load; %d stand-in workers of 2 cores, %v an RPC, soft deadline %d ms", o.Workers, o.Work, softMs)
	w.AppendHeader(table.Row{"load a second", "batch", "ok a second", "in the soft deadline", "not ok", "p50 ms", "p99 ms"})
	for _, batch := range []int{1, 8} {
		o.Batch = batch
		if err := batching(ctx, exe, o, rates, w); err != nil {
			return err
		}
	}
	w.SortBy([]table.SortBy{{Number: 1, Mode: table.AscNumeric}, {Number: 2, Mode: table.AscNumeric}})
	w.Render()
	return ctx.Err()
}

func batching(ctx context.Context, exe string, o Options, rates []float64, w table.Writer) error {
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
	if err := start(ctx, &procs, exe, dir, o, "", ""); err != nil {
		return err
	}
	y := way{name: "batch", method: "query", params: func(f int) []byte {
		return append(strconv.AppendInt([]byte(`{"function":"f`), int64(f), 10), `"}`...)
	}}
	for range 4 {
		c, err := connect(ctx, &conns, filepath.Join(dir, "front.sock"))
		if err != nil {
			return err
		}
		y.conns = append(y.conns, c)
	}
	y.warm(ctx, o)
	for _, rate := range rates {
		r := y.openLoop(ctx, rate, o.Span, o)
		within := int64(0)
		for _, bar := range r.ok.Distribution() {
			if bar.To <= softMs*1000 {
				within += bar.Count
			}
		}
		ms := func(q float64) string { return fmt.Sprintf("%.1f", float64(r.ok.ValueAtQuantile(q))/1000) }
		sent := r.h.TotalCount()
		w.AppendRow(table.Row{fmt.Sprintf("%.0f", rate), o.Batch, fmt.Sprintf("%.0f", float64(sent-r.failed)/o.Span.Seconds()),
			fmt.Sprintf("%.3f", float64(within)/float64(max(sent, 1))), r.failed, ms(50), ms(99)})
	}
	return nil
}
