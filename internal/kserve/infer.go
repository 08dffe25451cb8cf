// Package kserve serves clients of the Open Inference Protocol (KServe v2) at a front end, over HTTP/REST with the
// binary tensor data extension and over gRPC. It converts infer requests to RPCs and submits them to the dispatcher;
// it takes no part in the choice of a worker.
package kserve

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strconv"

	"github.com/go-json-experiment/json/jsontext"

	"mallowlanding/internal/jsonrpc"
	"mallowlanding/internal/tensor"
)

// inferRequest is an infer request, decoded from HTTP or gRPC.
type inferRequest struct {
	id         string
	parameters jsontext.Value
	inputs     []tensor.Tensor
	outputs    []requestedOutput
	binary     bool // outputs are binary data unless they say otherwise
}

// requestedOutput is an output that the client asked for.
type requestedOutput struct {
	name   string
	binary bool
}

// parseInfer parses an HTTP body: jsonLen bytes of JSON, followed by the bytes of the tensors. If jsonLen is negative
// the whole body is JSON.
func parseInfer(body []byte, jsonLen int) (in inferRequest, err error) {
	if jsonLen > len(body) {
		return in, fmt.Errorf("Inference-Header-Content-Length is %d, the body has %d bytes", jsonLen, len(body))
	}
	rest := []byte{}
	if jsonLen >= 0 {
		body, rest = body[:jsonLen], body[jsonLen:]
	}
	if !jsonrpc.Valid(body) {
		return in, errors.New("the request is not JSON")
	}
	err = jsonrpc.ForEachMember(body, func(name []byte, v jsontext.Value) error {
		switch string(name) {
		case "id":
			text, ok := jsonrpc.ParseString(v)
			if in.id = text; !ok {
				return errors.New(`"id" must be a string`)
			}
		case "parameters":
			if in.parameters = v; v.Kind() != '{' {
				return errors.New(`"parameters" must be an object`)
			}
			in.binary = bytes.Equal(jsonrpc.Member(v, "binary_data_output"), []byte("true"))
		case "inputs":
			return tensor.ForEachObject(v, "inputs", func(part jsontext.Value) error {
				t, left, err := parseInput(part, rest)
				rest = left
				in.inputs = append(in.inputs, t)
				return err
			})
		case "outputs":
			return tensor.ForEachObject(v, "outputs", func(part jsontext.Value) error {
				name, _ := jsonrpc.ParseString(jsonrpc.Member(part, "name"))
				if name == "" {
					return errors.New("an output has no name")
				}
				flag := jsonrpc.Member(jsonrpc.Member(part, "parameters"), "binary_data")
				in.outputs = append(in.outputs, requestedOutput{name, string(flag) == "true" || flag == nil && in.binary})
				return nil
			})
		}
		return nil
	})
	switch {
	case err != nil:
	case len(in.inputs) == 0:
		err = errors.New(`"inputs" is missing or empty`)
	case len(rest) > 0:
		err = fmt.Errorf("%d bytes of binary data belong to no input", len(rest))
	}
	return in, err
}

// parseInput parses one input. An input with binary_data_size takes its bytes from the front of rest; left is what
// remains of rest.
func parseInput(v jsontext.Value, rest []byte) (t tensor.Tensor, left []byte, err error) {
	t.Name, _ = jsonrpc.ParseString(jsonrpc.Member(v, "name"))
	t.Datatype, _ = jsonrpc.ParseString(jsonrpc.Member(v, "datatype"))
	if t.Name == "" {
		return t, rest, errors.New("an input has no name")
	}
	if t.Shape, err = tensor.ParseShape(jsonrpc.Member(v, "shape")); err != nil {
		return t, rest, fmt.Errorf("input %q: %w", t.Name, err)
	}
	data := jsonrpc.Member(v, "data")
	if size := jsonrpc.Member(jsonrpc.Member(v, "parameters"), "binary_data_size"); size != nil {
		n, err := strconv.ParseUint(string(size), 10, 31)
		switch {
		case data != nil:
			return t, rest, fmt.Errorf("input %q has both data and binary_data_size", t.Name)
		case err != nil:
			return t, rest, fmt.Errorf("input %q: binary_data_size %.40s is no size", t.Name, size)
		case n > uint64(len(rest)):
			return t, rest, fmt.Errorf("input %q: binary_data_size %d, but %d bytes are left of the body", t.Name, n, len(rest))
		}
		t.Raw = rest[:n:n]
		return t, rest[n:], t.Validate()
	}
	if data == nil {
		return t, rest, fmt.Errorf("input %q has no data", t.Name)
	}
	return t, rest, t.ParseJSON(data)
}

// workerPayload returns the payload of the RPC, and the blob with the inputs' bytes, for the worker.
func (in *inferRequest) workerPayload(model, version string) (payload, blob []byte) {
	b := jsonrpc.AppendString([]byte(`{"model":`), model)
	b = jsonrpc.AppendString(append(b, `,"version":`...), version)
	if in.parameters != nil {
		b = append(append(b, `,"parameters":`...), in.parameters...)
	}
	b, blob = tensor.AppendWithBlob(append(b, `,"inputs":`...), in.inputs)
	return append(b, '}'), blob
}

// selectOutputs returns the outputs of a worker's value that the client asked for (all by default), and which of them
// it wants as binary data.
func (in *inferRequest) selectOutputs(model string, value, blob []byte) (selected []tensor.Tensor, binary []bool, err error) {
	outputs, err := tensor.Parse(jsonrpc.Member(value, "outputs"), blob)
	if err != nil {
		return nil, nil, fmt.Errorf("the model's answer can't be read: %w", err)
	}
	if len(in.outputs) == 0 {
		binary = make([]bool, len(outputs))
		for i := range binary {
			binary[i] = in.binary
		}
		return outputs, binary, nil
	}
	for _, requested := range in.outputs {
		index := slices.IndexFunc(outputs, func(o tensor.Tensor) bool { return o.Name == requested.name })
		if index < 0 {
			return nil, nil, fmt.Errorf("model %q has no output %q", model, requested.name)
		}
		selected, binary = append(selected, outputs[index]), append(binary, requested.binary)
	}
	return selected, binary, nil
}

// response returns the JSON of the HTTP response, and the outputs' bytes that follow it; tail is nil if no output is
// binary.
func (in *inferRequest) response(model, version string, value, blob []byte) (body []byte, tail [][]byte, err error) {
	selected, binary, err := in.selectOutputs(model, value, blob)
	if err != nil {
		return nil, nil, err
	}
	b := jsonrpc.AppendString([]byte(`{"model_name":`), model)
	b = jsonrpc.AppendString(append(b, `,"model_version":`...), version)
	if in.id != "" {
		b = jsonrpc.AppendString(append(b, `,"id":`...), in.id)
	}
	b = append(b, `,"outputs":[`...)
	for i, o := range selected {
		if i > 0 {
			b = append(b, ',')
		}
		b = jsonrpc.AppendString(append(b, `{"name":`...), o.Name)
		b = jsonrpc.AppendString(append(b, `,"datatype":`...), o.Datatype)
		b = tensor.AppendShape(append(b, `,"shape":`...), o.Shape)
		if binary[i] {
			b = strconv.AppendInt(append(b, `,"parameters":{"binary_data_size":`...), int64(len(o.Raw)), 10)
			b = append(b, "}}"...)
			tail = append(tail, o.Raw)
			continue
		}
		if b, err = o.AppendJSON(append(b, `,"data":`...)); err != nil {
			return nil, nil, err
		}
		b = append(b, '}')
	}
	return append(b, "]}"...), tail, nil
}
