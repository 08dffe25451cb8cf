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
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
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

// grpcFront serves the protocol's gRPC form for a Server.
type grpcFront struct {
	oip.UnimplementedGRPCInferenceServiceServer
	s *Server
}

// newGRPC makes the gRPC server: a message over the bound is refused by its length, before it is read. A method's own
// bound is known only once the message is: it is refused then.
func newGRPC(s *Server, more ...grpc.ServerOption) *grpc.Server {
	g := grpc.NewServer(append(more, grpc.MaxRecvMsgSize(int(s.o.BodyBytes)), grpc.StatsHandler(connStats{s}))...)
	oip.RegisterGRPCInferenceServiceServer(g, &grpcFront{s: s})
	return g
}

// ServeGRPC takes gRPC connections until Close or Drain.
func (s *Server) ServeGRPC(l net.Listener) error { return s.grpc[0].Serve(l) }

// ServeGRPCTLS is ServeGRPC with the keys.
func (s *Server) ServeGRPCTLS(l net.Listener) error { return s.grpc[1].Serve(l) }

// connStats gives each connection its place at the desk, and has it leave with the connection.
type connStats struct{ s *Server }

// TagConn implements stats.Handler.
func (connStats) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return context.WithValue(ctx, connKey{}, &peer{})
}

// HandleConn implements stats.Handler.
func (c connStats) HandleConn(ctx context.Context, what stats.ConnStats) {
	if _, ended := what.(*stats.ConnEnd); ended {
		p := ctx.Value(connKey{}).(*peer)
		c.s.loop.Post(func() {
			if p.conn != nil {
				p.conn.Close()
			}
		})
	}
}

// TagRPC implements stats.Handler.
func (connStats) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (connStats) HandleRPC(context.Context, stats.RPCStats) {}

// ServerLive implements the service.
func (g *grpcFront) ServerLive(context.Context, *oip.ServerLiveRequest) (*oip.ServerLiveResponse, error) {
	return &oip.ServerLiveResponse{Live: true}, nil
}

// ServerReady implements the service.
func (g *grpcFront) ServerReady(context.Context, *oip.ServerReadyRequest) (*oip.ServerReadyResponse, error) {
	return &oip.ServerReadyResponse{Ready: g.s.isReady(nil)}, nil
}

// ModelReady implements the service.
func (g *grpcFront) ModelReady(_ context.Context, r *oip.ModelReadyRequest) (*oip.ModelReadyResponse, error) {
	m, err := g.s.find(r.Name, r.Version)
	if err != nil {
		return nil, status.Error(codes.NotFound, err.Error())
	}
	return &oip.ModelReadyResponse{Ready: g.s.isReady(m)}, nil
}

// ServerMetadata implements the service.
func (g *grpcFront) ServerMetadata(context.Context, *oip.ServerMetadataRequest) (*oip.ServerMetadataResponse, error) {
	return &oip.ServerMetadataResponse{Name: g.s.o.Name, Version: "2"}, nil
}

// ModelMetadata implements the service.
func (g *grpcFront) ModelMetadata(_ context.Context, r *oip.ModelMetadataRequest) (*oip.ModelMetadataResponse, error) {
	m, err := g.s.find(r.Name, r.Version)
	if err != nil {
		return nil, status.Error(codes.NotFound, err.Error())
	}
	out := &oip.ModelMetadataResponse{Name: m.Name, Platform: m.Platform, Inputs: metadatas(m.Inputs),
		Outputs: metadatas(m.Outputs)}
	for _, v := range g.s.versions(m.Name) {
		out.Versions = append(out.Versions, v.Version)
	}
	return out, nil
}

func metadatas(ts []TensorMeta) (out []*oip.ModelMetadataResponse_TensorMetadata) {
	for _, t := range ts {
		out = append(out, &oip.ModelMetadataResponse_TensorMetadata{Name: t.Name, Datatype: t.Datatype, Shape: t.Shape})
	}
	return out
}

// ModelInfer implements the service.
func (g *grpcFront) ModelInfer(ctx context.Context, r *oip.ModelInferRequest) (*oip.ModelInferResponse, error) {
	came, s := time.Now(), g.s
	m, err := s.find(r.ModelName, r.ModelVersion)
	if err != nil {
		return nil, status.Error(codes.NotFound, err.Error())
	}
	p := dispatch.Params{Method: m.Method, Function: m.Function, TimeoutMS: -1}
	if deadline, has := ctx.Deadline(); has {
		p.TimeoutMS = max(0, float64(time.Until(deadline))/float64(time.Millisecond))
	}
	md, _ := metadata.FromIncomingContext(ctx)
	if v := md.Get(strings.ToLower(s.o.TimeHeader)); len(v) > 0 { // as over HTTP; the shorter one holds
		ms, err := readTime(v[0])
		if err != nil {
			return nil, status.Errorf(codes.InvalidArgument, "%s: %v", s.o.TimeHeader, err)
		}
		if p.TimeoutMS < 0 || ms < p.TimeoutMS {
			p.TimeoutMS = ms
		}
	}
	for name, to := range map[string]*string{s.o.CustomerHeader: &p.Customer, s.o.TokenHeader: &p.Token} {
		if v := md.Get(strings.ToLower(name)); len(v) > 0 {
			*to = v[0]
		}
	}
	var state *tls.ConnectionState
	if from, is := grpcpeer.FromContext(ctx); is {
		if info, is := from.AuthInfo.(credentials.TLSInfo); is {
			state = &info.State
		}
	}
	client, err := certs.FindClient(s.o.Clients, state)
	if err == nil {
		err = client.Authorize(s.desk.MethodAt(m.Method).Name, &p.Customer)
	}
	if err != nil {
		return nil, status.Error(codes.PermissionDenied, err.Error())
	}
	if most := s.desk.MethodAt(m.Method).MaxBytes; most > 0 && int64(proto.Size(r)) > most {
		return nil, status.Errorf(codes.ResourceExhausted, "a message of %d bytes, %d are taken", proto.Size(r), most)
	}
	in, err := fromProto(r)
	if err == nil {
		err = m.check(&in)
	}
	if err == nil {
		err = s.desk.Validate(&p)
	}
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	p.Payload, p.Blob = in.payload(m.Name, m.Version)
	o, there := s.ask(ctx, ctx.Value(connKey{}).(*peer), p, came)
	if !there {
		return nil, status.FromContextError(ctx.Err()).Err()
	}
	switch o.kind {
	case isDenied:
		st := status.New(codes.Unavailable, o.message)
		info := &errdetails.RetryInfo{RetryDelay: durationpb.New(eventloop.ToDuration(o.comeBack))}
		if with, err := st.WithDetails(info); err == nil {
			st = with
		}
		return nil, st.Err()
	case isAborted:
		return nil, status.Error(codes.Unknown, o.message)
	case isRefused:
		return nil, status.Error(codes.InvalidArgument, o.message)
	}
	chosen, _, err := in.choose(m.Name, o.value, o.blob)
	if err != nil { // it ran: a client must not take this for a denial
		return nil, status.Error(codes.Unknown, err.Error())
	}
	return toProto(r, m, chosen), nil
}

// fromProto takes an infer off its message. Each input has either its contents or its place in the raw contents.
func fromProto(r *oip.ModelInferRequest) (in infer, err error) {
	in.id, in.binary = r.Id, len(r.RawInputContents) > 0
	if in.binary && len(r.RawInputContents) != len(r.Inputs) {
		return in, fmt.Errorf("%d raw input contents for %d inputs", len(r.RawInputContents), len(r.Inputs))
	}
	if len(r.Inputs) == 0 {
		return in, fmt.Errorf("no inputs")
	}
	if in.parameters, err = parametersOf(r.Parameters); err != nil {
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
			if t.Raw, err = rawOf(t.Datatype, input.Contents); err != nil {
				return in, fmt.Errorf("input %q: %w", t.Name, err)
			}
		}
		if err := t.Check(); err != nil {
			return in, err
		}
		in.inputs = append(in.inputs, t)
	}
	for _, o := range r.Outputs {
		in.outputs = append(in.outputs, wanted{name: o.Name})
	}
	return in, nil
}

// parametersOf gives parameters as the JSON that the other form has; nil: there are none.
func parametersOf(ps map[string]*oip.InferParameter) (jsontext.Value, error) {
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
	if err != nil { // not a number
		return nil, fmt.Errorf("parameters: %w", err)
	}
	return b, nil
}

// rawOf gives typed contents as bytes; the fields are the specification's for each datatype.
func rawOf(datatype string, c *oip.InferTensorContents) (raw []byte, err error) {
	le := binary.LittleEndian
	small := func(v int64, least, most int64) {
		if v < least || v > most {
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
			small(int64(v), math.MinInt8, math.MaxInt8)
			raw = append(raw, byte(v))
		}
	case "INT16":
		for _, v := range c.IntContents {
			small(int64(v), math.MinInt16, math.MaxInt16)
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
			small(int64(v), 0, math.MaxUint8)
			raw = append(raw, byte(v))
		}
	case "UINT16":
		for _, v := range c.UintContents {
			small(int64(v), 0, math.MaxUint16)
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

// toProto makes the answer: raw contents, as they are and without a copy for each element.
func toProto(r *oip.ModelInferRequest, m *Model, outputs []tensor.Tensor) *oip.ModelInferResponse {
	out := &oip.ModelInferResponse{ModelName: m.Name, ModelVersion: m.Version, Id: r.Id}
	for _, t := range outputs {
		out.Outputs = append(out.Outputs, &oip.ModelInferResponse_InferOutputTensor{Name: t.Name, Datatype: t.Datatype,
			Shape: t.Shape})
		out.RawOutputContents = append(out.RawOutputContents, t.Raw)
	}
	return out
}
