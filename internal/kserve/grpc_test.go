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

// retryServiceConfig is a common client retry policy: only UNAVAILABLE is retried.
const retryServiceConfig = `{"methodConfig":[{"name":[{}],"retryPolicy":{"maxAttempts":4,"initialBackoff":"0.01s",
"maxBackoff":"0.05s","backoffMultiplier":2,"retryableStatusCodes":["UNAVAILABLE"]}}]}`

func dial(t *testing.T, dir string) oip.GRPCInferenceServiceClient {
	c, err := grpc.NewClient("unix:"+filepath.Join(dir, "grpc.sock"),
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDefaultServiceConfig(retryServiceConfig))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return oip.NewGRPCInferenceServiceClient(c)
}

func inferInput(name, datatype string, contents *oip.InferTensorContents, shape ...int64) []*oip.ModelInferRequest_InferInputTensor {
	return []*oip.ModelInferRequest_InferInputTensor{{Name: name, Datatype: datatype, Shape: shape, Contents: contents}}
}

func countRequests(t *testing.T, dir, function string) (n int) {
	records, err := record.Read(filepath.Join(dir, "w.log"))
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range records {
		if r.Kind == record.RequestReceived && r.Function == function {
			n++
		}
	}
	return n
}

func TestGRPC(t *testing.T) {
	dir := startService(t)
	c := dial(t, dir)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if r, err := c.ServerLive(ctx, &oip.ServerLiveRequest{}); err != nil || !r.Live {
		t.Errorf("ServerLive: %v, %v", r, err)
	}
	if r, err := c.ServerReady(ctx, &oip.ServerReadyRequest{}); err != nil || !r.Ready {
		t.Errorf("ServerReady: %v, %v", r, err)
	}
	if r, err := c.ModelReady(ctx, &oip.ModelReadyRequest{Name: "sum", Version: "1"}); err != nil || !r.Ready {
		t.Errorf("ModelReady: %v, %v", r, err)
	}
	if _, err := c.ModelReady(ctx, &oip.ModelReadyRequest{Name: "sum", Version: "3"}); status.Code(err) != codes.NotFound {
		t.Errorf("ModelReady of an unknown version: %v, want NotFound", err)
	}
	if r, err := c.ModelMetadata(ctx, &oip.ModelMetadataRequest{Name: "sum"}); err != nil || len(r.Versions) != 2 || r.Inputs[0].Shape[0] != -1 {
		t.Errorf("ModelMetadata: %v, %v", r, err)
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
		r, err := c.ModelInfer(ctx, &oip.ModelInferRequest{ModelName: "identity", Id: "9", Inputs: inferInput("x", x.datatype, x.contents, 1)})
		if err != nil || r.Id != "9" || string(r.RawOutputContents[0]) != x.raw || r.Outputs[0].Datatype != x.datatype {
			t.Errorf("%s: %v, %v", x.datatype, r, err)
		}
	}
	for name, r := range map[string]*oip.ModelInferRequest{
		"takes 4 bytes, not 8":         {ModelName: "identity", Inputs: inferInput("x", "FP32", &oip.InferTensorContents{Fp32Contents: []float32{1, 2}}, 1)},
		"300 is no INT8":               {ModelName: "identity", Inputs: inferInput("x", "INT8", &oip.InferTensorContents{IntContents: []int32{300}}, 1)},
		"has contents beside raw":      {ModelName: "identity", Inputs: inferInput("x", "INT8", &oip.InferTensorContents{}, 1), RawInputContents: [][]byte{{1}}},
		"2 raw input contents for 1":   {ModelName: "identity", Inputs: inferInput("x", "INT8", nil, 1), RawInputContents: [][]byte{{1}, {2}}},
		"FP16 has no typed contents":   {ModelName: "identity", Inputs: inferInput("x", "FP16", &oip.InferTensorContents{}, 1)},
		"no inputs":                    {ModelName: "identity"},
		`model "sum" has no input "y"`: {ModelName: "sum", Inputs: inferInput("y", "FP32", nil, 0)},
	} {
		if _, err := c.ModelInfer(ctx, r); status.Code(err) != codes.InvalidArgument || !strings.Contains(err.Error(), name) {
			t.Errorf("want InvalidArgument with %q, got %v", name, err)
		}
	}
	small := &oip.ModelInferRequest{ModelName: "small", Inputs: inferInput("x", "UINT8", nil, 400), RawInputContents: [][]byte{make([]byte, 400)}}
	if _, err := c.ModelInfer(ctx, small); status.Code(err) != codes.ResourceExhausted || !strings.Contains(err.Error(), "300 are taken") {
		t.Errorf("message over the method's bound: %v", err)
	}
	large := &oip.ModelInferRequest{ModelName: "identity", Inputs: inferInput("x", "UINT8", nil, 5000), RawInputContents: [][]byte{make([]byte, 5000)}}
	if _, err := c.ModelInfer(ctx, large); status.Code(err) != codes.ResourceExhausted {
		t.Errorf("message over the server's bound: %v", err)
	}
}

// An RPC that may have run must be answered with a status that a client's retry policy does not retry; a denied one
// with a status that it does.
func TestRetryPolicy(t *testing.T) {
	dir := startService(t)
	c := dial(t, dir)
	inputs := inferInput("x", "FP32", &oip.InferTensorContents{Fp32Contents: []float32{1}}, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if _, err := c.ModelInfer(ctx, &oip.ModelInferRequest{ModelName: "unsafe", Inputs: inputs}); err != nil {
		t.Fatal(err)
	}
	before := countRequests(t, dir, "unsafe/1")
	// the stand-in model takes FP32 or INT32 only: the RPC fails after it ran, so it must not be retried
	_, err := c.ModelInfer(ctx, &oip.ModelInferRequest{ModelName: "sum-unsafe", Inputs: inferInput("x", "INT8", &oip.InferTensorContents{IntContents: []int32{1}}, 1)})
	if status.Code(err) != codes.Unknown || countRequests(t, dir, "sum-unsafe/1") != 1 {
		t.Errorf("RPC that failed at the worker: %v, %d call-outs", err, countRequests(t, dir, "sum-unsafe/1"))
	}
	// the client's time is too short, so that each try is denied: the policy retries, and nothing ever runs
	short, cancelShort := context.WithTimeout(ctx, 12*time.Millisecond)
	defer cancelShort()
	_, err = c.ModelInfer(short, &oip.ModelInferRequest{ModelName: "unsafe", Inputs: inputs})
	if code := status.Code(err); code != codes.Unavailable && code != codes.DeadlineExceeded {
		t.Errorf("RPC with too little time: %v", err)
	}
	for _, detail := range status.Convert(err).Details() {
		if _, ok := detail.(*errdetails.RetryInfo); !ok {
			t.Errorf("status detail %v, want only RetryInfo", detail)
		}
	}
	if n := countRequests(t, dir, "unsafe/1"); n != before {
		t.Errorf("%d call-outs for a denied RPC", n-before)
	}
	// when a client cancels, the worker stops the RPC, which would take 300 ms
	leavingCtx, leave := context.WithCancel(ctx)
	time.AfterFunc(100*time.Millisecond, leave)
	if _, err := c.ModelInfer(leavingCtx, &oip.ModelInferRequest{ModelName: "unsafe", Inputs: inputs}); status.Code(err) != codes.Canceled {
		t.Errorf("cancelled RPC: %v", err)
	}
	time.Sleep(100 * time.Millisecond)
	records, _ := record.Read(filepath.Join(dir, "w.log"))
	lastWorked := records[len(records)-1]
	for _, r := range records {
		if r.Kind == record.WorkDone {
			lastWorked = r
		}
	}
	if lastWorked.DurationMS > 250 {
		t.Errorf("the worker ran the cancelled RPC for %v ms", lastWorked.DurationMS)
	}
}

// A draining front end answers the infer request in flight; requests after it has stopped are UNAVAILABLE.
func TestDrain(t *testing.T) {
	dir, stopFrontEnd := startServiceWithStop(t)
	c := dial(t, dir)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	inputs := inferInput("x", "FP32", &oip.InferTensorContents{Fp32Contents: []float32{1}}, 1)
	inFlight := make(chan error, 1)
	go func() {
		_, err := c.ModelInfer(ctx, &oip.ModelInferRequest{ModelName: "unsafe", Inputs: inputs})
		inFlight <- err
	}()
	time.Sleep(150 * time.Millisecond) // the RPC runs by then
	stopFrontEnd()
	if err := <-inFlight; err != nil {
		t.Errorf("infer in flight when the front end began to drain: %v", err)
	}
	if _, err := c.ModelInfer(ctx, &oip.ModelInferRequest{ModelName: "unsafe", Inputs: inputs}); status.Code(err) != codes.Unavailable {
		t.Errorf("infer after the drain: %v", err)
	}
	if n := countRequests(t, dir, "unsafe/1"); n != 1 {
		t.Errorf("%d call-outs, want 1", n)
	}
}

// Three infer requests are batched into one call-out. One resets its stream and one loses its connection; the third
// must get its answer, and nothing may run twice.
func TestResetDuringBatch(t *testing.T) {
	dir := startService(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	infer := func(ctx context.Context, c oip.GRPCInferenceServiceClient, v int32) (*oip.ModelInferResponse, error) {
		return c.ModelInfer(ctx, &oip.ModelInferRequest{ModelName: "together",
			Inputs: inferInput("x", "INT32", &oip.InferTensorContents{IntContents: []int32{v}}, 1)})
	}
	staying, resetting := dial(t, dir), dial(t, dir)
	closingConn, err := grpc.NewClient("unix:"+filepath.Join(dir, "grpc.sock"), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []oip.GRPCInferenceServiceClient{staying, resetting, oip.NewGRPCInferenceServiceClient(closingConn)} {
		if _, err := infer(ctx, c, 0); err != nil {
			t.Fatal(err)
		}
	}
	before := countRequests(t, dir, "together/1")
	resetCtx, reset := context.WithCancel(ctx)
	defer reset()
	type result struct {
		r   *oip.ModelInferResponse
		err error
	}
	answers := [3]chan result{make(chan result, 1), make(chan result, 1), make(chan result, 1)}
	for i, c := range []oip.GRPCInferenceServiceClient{staying, resetting, oip.NewGRPCInferenceServiceClient(closingConn)} {
		rpcCtx := ctx
		if i == 1 {
			rpcCtx = resetCtx
		}
		go func() { r, err := infer(rpcCtx, c, int32(i+7)); answers[i] <- result{r, err} }()
	}
	for deadline := time.Now().Add(5 * time.Second); countRequests(t, dir, "together/1") == before && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	reset() // the batch still runs: it takes 60 ms at least
	closingConn.Close()
	if a := <-answers[0]; a.err != nil || string(a.r.RawOutputContents[0]) != "\x07\x00\x00\x00" {
		t.Errorf("the client that stayed: %v, %v", a.r, a.err)
	}
	for i := 1; i < 3; i++ {
		if a := <-answers[i]; status.Code(a.err) != codes.Canceled {
			t.Errorf("client %d, which left: %v", i, a.err)
		}
	}
	time.Sleep(100 * time.Millisecond)
	if n := countRequests(t, dir, "together/1") - before; n != 3 {
		t.Errorf("%d RPCs at the worker, want 3", n)
	}
}

// A model is not ready while its loads are halted, and is ready again once it can be loaded. Other models stay ready.
func TestModelNotReadyWhileLoadsHalted(t *testing.T) {
	dir := startService(t)
	c := dial(t, dir)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	nc, err := net.Dial("unix", filepath.Join(dir, "control.sock"))
	if err != nil {
		t.Fatal(err)
	}
	control, ended := jsonrpc.NewCaller(nc, 1<<16), make(chan struct{})
	go func() { defer close(ended); _ = control.Run(ctx) }()
	defer func() { control.Close(); <-ended }()
	failLoads := func(ms string) {
		if a := control.Call(ctx, "fault.load_fails", []byte(`{"size":1,"for_ms":`+ms+`}`)); a.Err != nil || a.Code != 0 {
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
		_, err := c.ModelInfer(ctx, &oip.ModelInferRequest{ModelName: "fails", Inputs: inferInput("x", "INT32", &oip.InferTensorContents{IntContents: []int32{1}}, 1)})
		return err
	}
	failLoads("60000")
	for ready("fails") {
		if err := infer(); err == nil {
			t.Fatal("infer succeeded though every load fails")
		}
	}
	if !ready("sum") {
		t.Error("another model is not ready")
	}
	failLoads("0")
	for infer() != nil && ctx.Err() == nil {
	}
	if !ready("fails") {
		t.Error("model is not ready though it can be loaded again")
	}
}
