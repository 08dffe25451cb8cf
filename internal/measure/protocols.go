package measure

import (
	"bytes"
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/jedib0t/go-pretty/v6/table"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"mallowlanding/internal/gateway"
	"mallowlanding/internal/jsonrpc"
	"mallowlanding/internal/kserve/oip"
)

// protocolConcurrency is the number of RPCs kept in flight through each protocol.
const protocolConcurrency = 32

// Protocols measures the same warm function through JSON-RPC, HTTP and gRPC, one protocol after the other in one run,
// with tensors of the given sizes in bytes that the stand-in model returns unchanged.
func Protocols(ctx context.Context, exe string, o Options, sizes []int, out io.Writer) error {
	dir, err := os.MkdirTemp("", "mallow")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	ctx, end := context.WithCancel(ctx)
	defer end()
	var procs, conns errgroup.Group
	defer func() { end(); _ = procs.Wait(); _ = conns.Wait() }()
	kserve := fmt.Sprintf(`<kserve socket="%[1]s/http.sock" grpc-socket="%[1]s/grpc.sock" body-bytes="16777216">
<model name="identity" method="query" function="f0"/></kserve>`, dir)
	if err := startSystem(ctx, &procs, exe, dir, o, `value-bytes="16777216"`, kserve); err != nil {
		return err
	}
	w := table.NewWriter()
	w.SetOutputMirror(out)
	w.SetStyle(table.StyleLight)
	w.SetTitle("one warm function through three fronts, %d at a time; one front end on %d cores, %d stand-in workers",
		protocolConcurrency, o.FrontEndCores, o.Workers)
	w.AppendHeader(table.Row{"tensor", "front", "RPCs/s", "not ok", "p50 us", "p99 us", "allocated", "times", "read", "written"})
	frontEnd, err := connect(ctx, &conns, filepath.Join(dir, "front.sock"))
	if err != nil {
		return err
	}
	defer frontEnd.Close()
	for _, size := range sizes {
		raw := bytes.Repeat([]byte{7}, size)
		for _, f := range []struct {
			name      string
			newClient func() (func() error, func(), error)
		}{
			{"JSON-RPC, base64", func() (func() error, func(), error) { return jsonRPCClient(ctx, &conns, dir, raw) }},
			{"HTTP, binary data", func() (func() error, func(), error) { return httpClient(ctx, dir, raw) }},
			{"gRPC, raw contents", func() (func() error, func(), error) { return grpcClient(ctx, dir, raw) }},
		} {
			call, done, err := f.newClient()
			if err != nil {
				return err
			}
			before, err := statusOf(ctx, frontEnd)
			if err != nil {
				return err
			}
			r := runProtocol(ctx, o.Duration, call)
			done()
			after, err := statusOf(ctx, frontEnd)
			if err != nil {
				return err
			}
			n := float64(max(after.Counts.Taken-before.Counts.Taken, 1))
			each := func(after, before uint64) string { return fmt.Sprintf("%.0f", float64(after-before)/n) }
			usageAfter, usageBefore := after.Process, before.Process
			w.AppendRow(table.Row{size, f.name, fmt.Sprintf("%.0f", r.rate), r.failed, r.latency.ValueAtQuantile(50), r.latency.ValueAtQuantile(99),
				each(usageAfter.Allocated, usageBefore.Allocated), each(usageAfter.Allocations, usageBefore.Allocations), each(usageAfter.Read, usageBefore.Read), each(usageAfter.Written, usageBefore.Written)})
		}
	}
	w.Render()
	fmt.Fprintln(out, "allocated, times, read and written: bytes, allocations, and bytes of system calls an RPC, of the front end's process")
	return ctx.Err()
}

// statusOf returns a front end's status.
func statusOf(ctx context.Context, c *jsonrpc.Caller) (s gateway.Status, err error) {
	a := c.Call(ctx, "rpc.status", nil)
	if a.Err != nil || a.Code != 0 {
		return s, fmt.Errorf("rpc.status: %s, %v", a.Message, a.Err)
	}
	return s, json.Unmarshal(a.Result, &s)
}

// runProtocol keeps RPCs in flight for the given time, after a quarter of it for warming up.
func runProtocol(ctx context.Context, span time.Duration, call func() error) result {
	var mu sync.Mutex
	r := result{latency: histogram()}
	var group errgroup.Group
	begin := time.Now()
	for range protocolConcurrency {
		group.Go(func() error {
			h, failed := histogram(), int64(0)
			for ctx.Err() == nil {
				sent := time.Now()
				if sent.Sub(begin) > span*5/4 {
					break
				}
				err := call()
				if sent.Sub(begin) < span/4 {
					continue
				}
				if err != nil {
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
	r.rate = float64(r.latency.TotalCount()) / span.Seconds()
	return r
}

func jsonRPCClient(ctx context.Context, conns *errgroup.Group, dir string, raw []byte) (func() error, func(), error) {
	c, err := connect(ctx, conns, filepath.Join(dir, "front.sock"))
	if err != nil {
		return nil, nil, err
	}
	b := strconv.AppendInt([]byte(`{"function":"f0","payload":{"model":"identity","inputs":[{"name":"x","datatype":"UINT8","shape":[`), int64(len(raw)), 10)
	b = base64.StdEncoding.AppendEncode(append(b, `],"raw":"`...), raw)
	params := append(b, `"}]}}`...)
	return func() error {
		a := c.Call(ctx, "query", params)
		if a.Err == nil && a.Code != 0 {
			return errors.New(a.Message)
		}
		return a.Err
	}, c.Close, nil
}

func httpClient(ctx context.Context, dir string, raw []byte) (func() error, func(), error) {
	transport := &http.Transport{MaxIdleConnsPerHost: protocolConcurrency, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "unix", filepath.Join(dir, "http.sock"))
	}}
	head := fmt.Sprintf(`{"inputs":[{"name":"x","datatype":"UINT8","shape":[%[1]d],"parameters":{"binary_data_size":%[1]d}}],"parameters":{"binary_data_output":true}}`, len(raw))
	body := append([]byte(head), raw...)
	return func() error {
		r, err := http.NewRequestWithContext(ctx, "POST", "http://front/v2/models/identity/infer", bytes.NewReader(body))
		if err != nil {
			return err
		}
		r.Header.Set("Inference-Header-Content-Length", strconv.Itoa(len(head)))
		answer, err := transport.RoundTrip(r)
		if err != nil {
			return err
		}
		defer answer.Body.Close()
		if n, err := io.Copy(io.Discard, answer.Body); err != nil || answer.StatusCode != 200 || n < int64(len(raw)) {
			return fmt.Errorf("HTTP status %s, %d bytes, error %v", answer.Status, n, err)
		}
		return nil
	}, transport.CloseIdleConnections, nil
}

func grpcClient(ctx context.Context, dir string, raw []byte) (func() error, func(), error) {
	cc, err := grpc.NewClient("unix:"+filepath.Join(dir, "grpc.sock"), grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxValueBytes)))
	if err != nil {
		return nil, nil, err
	}
	c := oip.NewGRPCInferenceServiceClient(cc)
	return func() error {
		r, err := c.ModelInfer(ctx, &oip.ModelInferRequest{ModelName: "identity", RawInputContents: [][]byte{raw},
			Inputs: []*oip.ModelInferRequest_InferInputTensor{{Name: "x", Datatype: "UINT8", Shape: []int64{int64(len(raw))}}}})
		if err == nil && len(r.RawOutputContents[0]) != len(raw) {
			err = errors.New("response tensor has the wrong length")
		}
		return err
	}, func() { cc.Close() }, nil
}
