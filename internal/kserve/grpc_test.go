package kserve_test

import (
	"context"
	"math"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"mallowlanding/internal/jsonrpc"
	"mallowlanding/internal/kserve/oip"
	"mallowlanding/internal/record"
)

// retries is an ordinary client's policy: what is unavailable is tried again.
const retries = `{"methodConfig":[{"name":[{}],"retryPolicy":{"maxAttempts":4,"initialBackoff":"0.01s",
"maxBackoff":"0.05s","backoffMultiplier":2,"retryableStatusCodes":["UNAVAILABLE"]}}]}`

func dial(t *testing.T, dir string) oip.GRPCInferenceServiceClient {
	c, err := grpc.NewClient("unix:"+filepath.Join(dir, "grpc.sock"),
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDefaultServiceConfig(retries))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return oip.NewGRPCInferenceServiceClient(c)
}

func input(name, datatype string, contents *oip.InferTensorContents, shape ...int64) []*oip.ModelInferRequest_InferInputTensor {
	return []*oip.ModelInferRequest_InferInputTensor{{Name: name, Datatype: datatype, Shape: shape, Contents: contents}}
}

func requests(t *testing.T, dir, function string) (n int) {
	seen, err := record.Read(filepath.Join(dir, "w.log"))
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range seen {
		if r.Kind == record.Request && r.Function == function {
			n++
		}
	}
	return n
}

func TestGRPC(t *testing.T) {
	dir := start(t)
	c := dial(t, dir)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if r, err := c.ServerLive(ctx, &oip.ServerLiveRequest{}); err != nil || !r.Live {
		t.Errorf("live: %v, %v", r, err)
	}
	if r, err := c.ServerReady(ctx, &oip.ServerReadyRequest{}); err != nil || !r.Ready {
		t.Errorf("ready: %v, %v", r, err)
	}
	if r, err := c.ModelReady(ctx, &oip.ModelReadyRequest{Name: "sum", Version: "1"}); err != nil || !r.Ready {
		t.Errorf("model ready: %v, %v", r, err)
	}
	if _, err := c.ModelReady(ctx, &oip.ModelReadyRequest{Name: "sum", Version: "3"}); status.Code(err) != codes.NotFound {
		t.Errorf("no such version: %v", err)
	}
	if r, err := c.ModelMetadata(ctx, &oip.ModelMetadataRequest{Name: "sum"}); err != nil || len(r.Versions) != 2 || r.Inputs[0].Shape[0] != -1 {
		t.Errorf("metadata: %v, %v", r, err)
	}
	nan := float32(math.NaN())
	for _, x := range []struct {
		datatype string
		contents *oip.InferTensorContents
		raw      string
	}{
		{"BOOL", &oip.InferTensorContents{BoolContents: []bool{true}}, "\x01"},
		{"INT8", &oip.InferTensorContents{IntContents: []int32{-1}}, "\xff"},
		{"INT16", &oip.InferTensorContents{IntContents: []int32{-2}}, "\xfe\xff"},
		{"INT32", &oip.InferTensorContents{IntContents: []int32{1}}, "\x01\x00\x00\x00"},
		{"INT64", &oip.InferTensorContents{Int64Contents: []int64{1}}, "\x01\x00\x00\x00\x00\x00\x00\x00"},
		{"UINT8", &oip.InferTensorContents{UintContents: []uint32{255}}, "\xff"},
		{"UINT16", &oip.InferTensorContents{UintContents: []uint32{1}}, "\x01\x00"},
		{"UINT32", &oip.InferTensorContents{UintContents: []uint32{1}}, "\x01\x00\x00\x00"},
		{"UINT64", &oip.InferTensorContents{Uint64Contents: []uint64{1}}, "\x01\x00\x00\x00\x00\x00\x00\x00"},
		{"FP32", &oip.InferTensorContents{Fp32Contents: []float32{nan}}, "\x00\x00\xc0\x7f"},
		{"FP64", &oip.InferTensorContents{Fp64Contents: []float64{1}}, "\x00\x00\x00\x00\x00\x00\xf0\x3f"},
		{"BYTES", &oip.InferTensorContents{BytesContents: [][]byte{{0xff}}}, "\x01\x00\x00\x00\xff"},
	} {
		r, err := c.ModelInfer(ctx, &oip.ModelInferRequest{ModelName: "identity", Id: "9", Inputs: input("x", x.datatype, x.contents, 1)})
		if err != nil || r.Id != "9" || string(r.RawOutputContents[0]) != x.raw || r.Outputs[0].Datatype != x.datatype {
			t.Errorf("%s: %v, %v", x.datatype, r, err)
		}
	}
	for name, r := range map[string]*oip.ModelInferRequest{
		"takes 4 bytes, not 8":         {ModelName: "identity", Inputs: input("x", "FP32", &oip.InferTensorContents{Fp32Contents: []float32{1, 2}}, 1)},
		"300 is no INT8":               {ModelName: "identity", Inputs: input("x", "INT8", &oip.InferTensorContents{IntContents: []int32{300}}, 1)},
		"has contents beside raw":      {ModelName: "identity", Inputs: input("x", "INT8", &oip.InferTensorContents{}, 1), RawInputContents: [][]byte{{1}}},
		"2 raw input contents for 1":   {ModelName: "identity", Inputs: input("x", "INT8", nil, 1), RawInputContents: [][]byte{{1}, {2}}},
		"FP16 has no typed contents":   {ModelName: "identity", Inputs: input("x", "FP16", &oip.InferTensorContents{}, 1)},
		"no inputs":                    {ModelName: "identity"},
		`model "sum" has no input "y"`: {ModelName: "sum", Inputs: input("y", "FP32", nil, 0)},
	} {
		if _, err := c.ModelInfer(ctx, r); status.Code(err) != codes.InvalidArgument || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: %v", name, err)
		}
	}
	small := &oip.ModelInferRequest{ModelName: "small", Inputs: input("x", "UINT8", nil, 400), RawInputContents: [][]byte{make([]byte, 400)}}
	if _, err := c.ModelInfer(ctx, small); status.Code(err) != codes.ResourceExhausted || !strings.Contains(err.Error(), "300 are taken") {
		t.Errorf("too large for its method: %v", err)
	}
	large := &oip.ModelInferRequest{ModelName: "identity", Inputs: input("x", "UINT8", nil, 5000), RawInputContents: [][]byte{make([]byte, 5000)}}
	if _, err := c.ModelInfer(ctx, large); status.Code(err) != codes.ResourceExhausted {
		t.Errorf("too large: %v", err)
	}
}

// What may have run is answered such that an ordinary client's policy does not repeat it; what was denied is repeated.
func TestRetryPolicy(t *testing.T) {
	dir := start(t)
	c := dial(t, dir)
	one := input("x", "FP32", &oip.InferTensorContents{Fp32Contents: []float32{1}}, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if _, err := c.ModelInfer(ctx, &oip.ModelInferRequest{ModelName: "unsafe", Inputs: one}); err != nil {
		t.Fatal(err)
	}
	before := requests(t, dir, "unsafe/1")
	// the stand-in model takes FP32 or INT32 only: it fails once it ran, and that proves nothing
	_, err := c.ModelInfer(ctx, &oip.ModelInferRequest{ModelName: "sum-unsafe", Inputs: input("x", "INT8", &oip.InferTensorContents{IntContents: []int32{1}}, 1)})
	if status.Code(err) != codes.Unknown || requests(t, dir, "sum-unsafe/1") != 1 {
		t.Errorf("failed: %v, %d call-outs", err, requests(t, dir, "sum-unsafe/1"))
	}
	// denied each time: a customer that may not wait has no time; the policy asks again, and nothing ever runs
	short, cancel2 := context.WithTimeout(ctx, 12*time.Millisecond)
	defer cancel2()
	_, err = c.ModelInfer(short, &oip.ModelInferRequest{ModelName: "unsafe", Inputs: one})
	if code := status.Code(err); code != codes.Unavailable && code != codes.DeadlineExceeded {
		t.Errorf("no time: %v", err)
	}
	for _, detail := range status.Convert(err).Details() {
		if _, is := detail.(*errdetails.RetryInfo); !is {
			t.Errorf("detail %v", detail)
		}
	}
	if n := requests(t, dir, "unsafe/1"); n != before {
		t.Errorf("%d call-outs for a denied RPC", n-before)
	}
	// a client that cancels has its RPC stopped at the worker
	leaving, leave := context.WithCancel(ctx)
	time.AfterFunc(100*time.Millisecond, leave)
	if _, err := c.ModelInfer(leaving, &oip.ModelInferRequest{ModelName: "unsafe", Inputs: one}); status.Code(err) != codes.Canceled {
		t.Errorf("cancelled: %v", err)
	}
	time.Sleep(100 * time.Millisecond)
	seen, _ := record.Read(filepath.Join(dir, "w.log"))
	last := seen[len(seen)-1]
	for _, r := range seen {
		if r.Kind == record.Worked {
			last = r
		}
	}
	if last.Time > 250 {
		t.Errorf("it ran on for %v ms", last.Time)
	}
}

// A front end that is told to leave answers the infer that it holds; what comes then is unavailable.
func TestDrain(t *testing.T) {
	dir, stop := startAndStop(t)
	c := dial(t, dir)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	one := input("x", "FP32", &oip.InferTensorContents{Fp32Contents: []float32{1}}, 1)
	held := make(chan error, 1)
	go func() {
		_, err := c.ModelInfer(ctx, &oip.ModelInferRequest{ModelName: "unsafe", Inputs: one})
		held <- err
	}()
	time.Sleep(150 * time.Millisecond) // it runs
	stop()
	if err := <-held; err != nil {
		t.Errorf("held when the front end was told to leave: %v", err)
	}
	if _, err := c.ModelInfer(ctx, &oip.ModelInferRequest{ModelName: "unsafe", Inputs: one}); status.Code(err) != codes.Unavailable {
		t.Errorf("after that: %v", err)
	}
	if n := requests(t, dir, "unsafe/1"); n != 1 {
		t.Errorf("%d call-outs", n)
	}
}

// Of three infers that ride one call-out one resets its stream and one loses its connection; the third has its answer,
// and nothing runs twice.
func TestResetAmidABatch(t *testing.T) {
	dir := start(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	ask := func(ctx context.Context, c oip.GRPCInferenceServiceClient, v int32) (*oip.ModelInferResponse, error) {
		return c.ModelInfer(ctx, &oip.ModelInferRequest{ModelName: "together",
			Inputs: input("x", "INT32", &oip.InferTensorContents{IntContents: []int32{v}}, 1)})
	}
	stays, resets := dial(t, dir), dial(t, dir)
	goes, err := grpc.NewClient("unix:"+filepath.Join(dir, "grpc.sock"), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []oip.GRPCInferenceServiceClient{stays, resets, oip.NewGRPCInferenceServiceClient(goes)} {
		if _, err := ask(ctx, c, 0); err != nil {
			t.Fatal(err)
		}
	}
	before := requests(t, dir, "together/1")
	resetting, reset := context.WithCancel(ctx)
	defer reset()
	type got struct {
		r   *oip.ModelInferResponse
		err error
	}
	answers := [3]chan got{make(chan got, 1), make(chan got, 1), make(chan got, 1)}
	for i, c := range []oip.GRPCInferenceServiceClient{stays, resets, oip.NewGRPCInferenceServiceClient(goes)} {
		in := ctx
		if i == 1 {
			in = resetting
		}
		go func() { r, err := ask(in, c, int32(i+7)); answers[i] <- got{r, err} }()
	}
	for until := time.Now().Add(5 * time.Second); requests(t, dir, "together/1") == before && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	reset() // the batch runs, for 60 ms at the least
	goes.Close()
	if a := <-answers[0]; a.err != nil || string(a.r.RawOutputContents[0]) != "\x07\x00\x00\x00" {
		t.Errorf("the one that stays: %v, %v", a.r, a.err)
	}
	for i := 1; i < 3; i++ {
		if a := <-answers[i]; status.Code(a.err) != codes.Canceled {
			t.Errorf("%d: %v", i, a.err)
		}
	}
	time.Sleep(100 * time.Millisecond)
	if n := requests(t, dir, "together/1") - before; n != 3 {
		t.Errorf("%d RPCs at the worker, want 3", n)
	}
}

// While loads of a model are halted it is not ready; others are, and it is again once it loads.
func TestReadyInHalt(t *testing.T) {
	dir := start(t)
	c := dial(t, dir)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	nc, err := net.Dial("unix", filepath.Join(dir, "control.sock"))
	if err != nil {
		t.Fatal(err)
	}
	faults, ended := jsonrpc.NewCaller(nc, 1<<16), make(chan struct{})
	go func() { defer close(ended); _ = faults.Run(ctx) }()
	defer func() { faults.Close(); <-ended }()
	fail := func(ms string) {
		if a := faults.Call(ctx, "fault.load_fails", []byte(`{"size":1,"for_ms":`+ms+`}`)); a.Err != nil || a.Code != 0 {
			t.Fatal(a)
		}
	}
	ready := func(model string) bool {
		r, err := c.ModelReady(ctx, &oip.ModelReadyRequest{Name: model})
		if err != nil {
			t.Fatal(err)
		}
		return r.Ready
	}
	infer := func() error {
		_, err := c.ModelInfer(ctx, &oip.ModelInferRequest{ModelName: "fails", Inputs: input("x", "INT32", &oip.InferTensorContents{IntContents: []int32{1}}, 1)})
		return err
	}
	fail("60000")
	for ready("fails") {
		if err := infer(); err == nil {
			t.Fatal("ok, though no load can be")
		}
	}
	if !ready("sum") {
		t.Error("another model is not ready")
	}
	fail("0")
	for infer() != nil && ctx.Err() == nil {
	}
	if !ready("fails") {
		t.Error("not ready, though it loads again")
	}
}
