package kserve

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"fmt"
	"math"
	"net"
	"strings"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"golang.org/x/net/netutil"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"
	grpcpeer "google.golang.org/grpc/peer"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"mallowlanding/internal/certs"
	"mallowlanding/internal/dispatch"
	"mallowlanding/internal/eventloop"
	"mallowlanding/internal/kserve/oip"
	"mallowlanding/internal/tensor"
)

// grpcService implements the protocol's gRPC service for a Server.
type grpcService struct {
	oip.UnimplementedGRPCInferenceServiceServer
	server *Server
}

// maxStreams is the number of requests that a gRPC connection may have open; further ones wait at the client.
const maxStreams = 128

// newGRPC returns a gRPC server. It rejects a message longer than MaxBodyBytes by its length prefix, before reading
// it. A method's own bound is checked by ModelInfer, since the method is known only once the message is read.
func newGRPC(s *Server, opts ...grpc.ServerOption) *grpc.Server {
	g := grpc.NewServer(append(opts, grpc.MaxRecvMsgSize(int(s.options.MaxBodyBytes)), grpc.StatsHandler(connStats{s}),
		grpc.MaxConcurrentStreams(maxStreams), grpc.MaxHeaderListSize(maxHeaderBytes), grpc.ConnectionTimeout(headerTimeout),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: idleTimeout}))...)
	oip.RegisterGRPCInferenceServiceServer(g, &grpcService{server: s})
	return g
}

// ServeGRPC accepts gRPC connections until Close or Drain.
func (s *Server) ServeGRPC(l net.Listener) error {
	return s.grpc[0].Serve(netutil.LimitListener(l, maxConnections))
}

// ServeGRPCTLS is ServeGRPC with TLS, using Options.Certs.
func (s *Server) ServeGRPCTLS(l net.Listener) error {
	return s.grpc[1].Serve(netutil.LimitListener(l, maxConnections))
}

// connStats is a stats handler that attaches a clientConn to each connection, and closes its counterpart at the
// dispatcher when the connection ends.
type connStats struct{ server *Server }

// TagConn implements stats.Handler.
func (connStats) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return context.WithValue(ctx, connKey{}, &clientConn{})
}

// HandleConn implements stats.Handler.
func (c connStats) HandleConn(ctx context.Context, event stats.ConnStats) {
	if _, ended := event.(*stats.ConnEnd); ended {
		client := ctx.Value(connKey{}).(*clientConn)
		c.server.loop.Post(func() {
			if client.conn != nil {
				client.conn.Close()
			}
		})
	}
}

// TagRPC implements stats.Handler.
func (connStats) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (connStats) HandleRPC(context.Context, stats.RPCStats) {}

// ServerLive implements the service.
func (g *grpcService) ServerLive(context.Context, *oip.ServerLiveRequest) (*oip.ServerLiveResponse, error) {
	return &oip.ServerLiveResponse{Live: true}, nil
}

// ServerReady implements the service.
func (g *grpcService) ServerReady(context.Context, *oip.ServerReadyRequest) (*oip.ServerReadyResponse, error) {
	return &oip.ServerReadyResponse{Ready: g.server.isReady(nil)}, nil
}

// ModelReady implements the service.
func (g *grpcService) ModelReady(_ context.Context, r *oip.ModelReadyRequest) (*oip.ModelReadyResponse, error) {
	m, err := g.server.findModel(r.Name, r.Version)
	if err != nil {
		return nil, status.Error(codes.NotFound, err.Error())
	}
	return &oip.ModelReadyResponse{Ready: g.server.isReady(m)}, nil
}

// ServerMetadata implements the service.
func (g *grpcService) ServerMetadata(context.Context, *oip.ServerMetadataRequest) (*oip.ServerMetadataResponse, error) {
	return &oip.ServerMetadataResponse{Name: g.server.options.Name, Version: "2"}, nil
}

// ModelMetadata implements the service.
func (g *grpcService) ModelMetadata(_ context.Context, r *oip.ModelMetadataRequest) (*oip.ModelMetadataResponse, error) {
	m, err := g.server.findModel(r.Name, r.Version)
	if err != nil {
		return nil, status.Error(codes.NotFound, err.Error())
	}
	out := &oip.ModelMetadataResponse{Name: m.Name, Platform: m.Platform, Inputs: tensorMetadata(m.Inputs),
		Outputs: tensorMetadata(m.Outputs)}
	for _, v := range g.server.versions(m.Name) {
		out.Versions = append(out.Versions, v.Version)
	}
	return out, nil
}

func tensorMetadata(ts []TensorMeta) (out []*oip.ModelMetadataResponse_TensorMetadata) {
	for _, t := range ts {
		out = append(out, &oip.ModelMetadataResponse_TensorMetadata{Name: t.Name, Datatype: t.Datatype, Shape: t.Shape})
	}
	return out
}

// ModelInfer implements the service.
func (g *grpcService) ModelInfer(ctx context.Context, r *oip.ModelInferRequest) (*oip.ModelInferResponse, error) {
	received, s := time.Now(), g.server
	m, err := s.findModel(r.ModelName, r.ModelVersion)
	if err != nil {
		return nil, status.Error(codes.NotFound, err.Error())
	}
	p := dispatch.Params{Method: m.Method, Function: m.Function, TimeoutMS: -1}
	if deadline, ok := ctx.Deadline(); ok {
		p.TimeoutMS = max(0, float64(time.Until(deadline))/float64(time.Millisecond))
	}
	md, _ := metadata.FromIncomingContext(ctx)
	if v := md.Get(strings.ToLower(s.options.TimeHeader)); len(v) > 0 { // as over HTTP; the shorter time applies
		ms, err := parseMillis(v[0])
		if err != nil {
			return nil, status.Errorf(codes.InvalidArgument, "%s: %v", s.options.TimeHeader, err)
		}
		if p.TimeoutMS < 0 || ms < p.TimeoutMS {
			p.TimeoutMS = ms
		}
	}
	for name, dst := range map[string]*string{s.options.CustomerHeader: &p.Customer, s.options.TokenHeader: &p.Token} {
		if v := md.Get(strings.ToLower(name)); len(v) > 0 {
			*dst = v[0]
		}
	}
	var state *tls.ConnectionState
	if p, ok := grpcpeer.FromContext(ctx); ok {
		if info, ok := p.AuthInfo.(credentials.TLSInfo); ok {
			state = &info.State
		}
	}
	client, err := certs.FindClient(s.options.Clients, state)
	if err == nil {
		err = client.Authorize(s.dispatcher.MethodAt(m.Method).Name, &p.Customer)
	}
	if err != nil {
		return nil, status.Error(codes.PermissionDenied, err.Error())
	}
	if maxBytes := s.dispatcher.MethodAt(m.Method).MaxBytes; maxBytes > 0 && int64(proto.Size(r)) > maxBytes {
		return nil, status.Errorf(codes.ResourceExhausted, "a message of %d bytes, %d are taken", proto.Size(r), maxBytes)
	}
	in, err := fromProto(r)
	if err == nil {
		err = m.validate(&in)
	}
	if err == nil {
		err = s.dispatcher.Validate(&p)
	}
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	p.Payload, p.Blob = in.workerPayload(m.Name, m.Version)
	o, answered := s.submit(ctx, ctx.Value(connKey{}).(*clientConn), p, received)
	if !answered {
		return nil, status.FromContextError(ctx.Err()).Err()
	}
	switch o.kind {
	case outcomeDenied:
		st := status.New(codes.Unavailable, o.message)
		info := &errdetails.RetryInfo{RetryDelay: durationpb.New(eventloop.ToDuration(o.retryAfter))}
		if detailed, err := st.WithDetails(info); err == nil {
			st = detailed
		}
		return nil, st.Err()
	case outcomeAborted:
		return nil, status.Error(codes.Unknown, o.message)
	case outcomeRejected:
		return nil, status.Error(codes.InvalidArgument, o.message)
	}
	selected, _, err := in.selectOutputs(m.Name, o.value, o.blob)
	if err != nil { // the RPC ran: the client must not take this for a denial
		return nil, status.Error(codes.Unknown, err.Error())
	}
	return toProto(r, m, selected), nil
}

// fromProto converts a gRPC message to an infer request. Either every input has its own contents, or the message has
// the raw contents of all.
func fromProto(r *oip.ModelInferRequest) (in inferRequest, err error) {
	in.id, in.binary = r.Id, len(r.RawInputContents) > 0
	if in.binary && len(r.RawInputContents) != len(r.Inputs) {
		return in, fmt.Errorf("%d raw input contents for %d inputs", len(r.RawInputContents), len(r.Inputs))
	}
	if len(r.Inputs) == 0 {
		return in, fmt.Errorf("no inputs")
	}
	if in.parameters, err = parametersJSON(r.Parameters); err != nil {
		return in, err
	}
	for i, input := range r.Inputs {
		t := tensor.Tensor{Name: input.Name, Datatype: input.Datatype, Shape: input.Shape}
		if in.binary {
			if input.Contents != nil {
				return in, fmt.Errorf("input %q has contents beside raw ones", t.Name)
			}
			t.Raw = r.RawInputContents[i]
		} else if input.Contents != nil {
			if t.Raw, err = encodeContents(t.Datatype, input.Contents); err != nil {
				return in, fmt.Errorf("input %q: %w", t.Name, err)
			}
		}
		if err := t.Validate(); err != nil {
			return in, err
		}
		in.inputs = append(in.inputs, t)
	}
	for _, o := range r.Outputs {
		in.outputs = append(in.outputs, requestedOutput{name: o.Name})
	}
	return in, nil
}

// parametersJSON converts parameters to a JSON object, as HTTP requests have them; nil if there are none.
func parametersJSON(ps map[string]*oip.InferParameter) (jsontext.Value, error) {
	if len(ps) == 0 {
		return nil, nil
	}
	values := map[string]any{}
	for name, p := range ps {
		switch c := p.GetParameterChoice().(type) {
		case *oip.InferParameter_BoolParam:
			values[name] = c.BoolParam
		case *oip.InferParameter_Int64Param:
			values[name] = c.Int64Param
		case *oip.InferParameter_StringParam:
			values[name] = c.StringParam
		case *oip.InferParameter_DoubleParam:
			values[name] = c.DoubleParam
		case *oip.InferParameter_Uint64Param:
			values[name] = c.Uint64Param
		default:
			return nil, fmt.Errorf("parameter %q has no value", name)
		}
	}
	b, err := json.Marshal(values, json.Deterministic(true))
	if err != nil { // JSON has no NaN or infinities
		return nil, fmt.Errorf("parameters: %w", err)
	}
	return b, nil
}

// encodeContents encodes typed contents as a tensor's bytes. Which field holds the elements of a datatype is laid down
// by the specification.
func encodeContents(datatype string, c *oip.InferTensorContents) (raw []byte, err error) {
	le := binary.LittleEndian
	checkRange := func(v int64, minValue, maxValue int64) {
		if v < minValue || v > maxValue {
			err = fmt.Errorf("%d is no %s", v, datatype)
		}
	}
	switch datatype {
	case "BOOL":
		for _, v := range c.BoolContents {
			b := byte(0)
			if v {
				b = 1
			}
			raw = append(raw, b)
		}
	case "INT8":
		for _, v := range c.IntContents {
			checkRange(int64(v), math.MinInt8, math.MaxInt8)
			raw = append(raw, byte(v))
		}
	case "INT16":
		for _, v := range c.IntContents {
			checkRange(int64(v), math.MinInt16, math.MaxInt16)
			raw = le.AppendUint16(raw, uint16(v))
		}
	case "INT32":
		for _, v := range c.IntContents {
			raw = le.AppendUint32(raw, uint32(v))
		}
	case "INT64":
		for _, v := range c.Int64Contents {
			raw = le.AppendUint64(raw, uint64(v))
		}
	case "UINT8":
		for _, v := range c.UintContents {
			checkRange(int64(v), 0, math.MaxUint8)
			raw = append(raw, byte(v))
		}
	case "UINT16":
		for _, v := range c.UintContents {
			checkRange(int64(v), 0, math.MaxUint16)
			raw = le.AppendUint16(raw, uint16(v))
		}
	case "UINT32":
		for _, v := range c.UintContents {
			raw = le.AppendUint32(raw, v)
		}
	case "UINT64":
		for _, v := range c.Uint64Contents {
			raw = le.AppendUint64(raw, v)
		}
	case "FP32":
		for _, v := range c.Fp32Contents {
			raw = le.AppendUint32(raw, math.Float32bits(v))
		}
	case "FP64":
		for _, v := range c.Fp64Contents {
			raw = le.AppendUint64(raw, math.Float64bits(v))
		}
	case "BYTES":
		for _, v := range c.BytesContents {
			raw = append(le.AppendUint32(raw, uint32(len(v))), v...)
		}
	case "FP16":
		err = fmt.Errorf("FP16 has no typed contents: send them raw")
	}
	return raw, err
}

// toProto builds the response. Outputs are sent as raw contents, which needs no conversion of each element.
func toProto(r *oip.ModelInferRequest, m *Model, outputs []tensor.Tensor) *oip.ModelInferResponse {
	out := &oip.ModelInferResponse{ModelName: m.Name, ModelVersion: m.Version, Id: r.Id}
	for _, t := range outputs {
		out.Outputs = append(out.Outputs, &oip.ModelInferResponse_InferOutputTensor{Name: t.Name, Datatype: t.Datatype,
			Shape: t.Shape})
		out.RawOutputContents = append(out.RawOutputContents, t.Raw)
	}
	return out
}
