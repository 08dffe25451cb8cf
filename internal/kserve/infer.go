// Package kserve is a front end's side towards clients of the Open Inference Protocol (KServe v2): HTTP/REST with the
// binary tensor data extension, and gRPC. It turns infers into RPCs at the desk; it decides nothing about an RPC's path.
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

// infer is what an infer asks for, decoded from either protocol.
type infer struct {
	id         string
	parameters jsontext.Value
	inputs     []tensor.Tensor
	outputs    []wanted
	binary     bool // outputs that say nothing come as binary data
}

// wanted is an output that is asked for.
type wanted struct {
	name   string
	binary bool
}

// readInfer reads a body: head bytes of JSON (below 0: all of it), then the tensors' bytes.
func readInfer(body []byte, head int) (in infer, err error) {
	if head > len(body) {
		return in, fmt.Errorf("Inference-Header-Content-Length is %d, the body has %d bytes", head, len(body))
	}
	rest := []byte{}
	if head >= 0 {
		body, rest = body[:head], body[head:]
	}
	if !jsonrpc.Valid(body) {
		return in, errors.New("the request is not JSON")
	}
	err = jsonrpc.ForEachMember(body, func(name []byte, v jsontext.Value) error {
		switch string(name) {
		case "id":
			text, is := jsonrpc.ParseString(v)
			if in.id = text; !is {
				return errors.New(`"id" must be a string`)
			}
		case "parameters":
			if in.parameters = v; v.Kind() != '{' {
				return errors.New(`"parameters" must be an object`)
			}
			in.binary = bytes.Equal(jsonrpc.Member(v, "binary_data_output"), []byte("true"))
		case "inputs":
			return tensor.Each(v, "inputs", func(part jsontext.Value) error {
				t, left, err := readInput(part, rest)
				rest = left
				in.inputs = append(in.inputs, t)
				return err
			})
		case "outputs":
			return tensor.Each(v, "outputs", func(part jsontext.Value) error {
				name, _ := jsonrpc.ParseString(jsonrpc.Member(part, "name"))
				if name == "" {
					return errors.New("an output has no name")
				}
				flag := jsonrpc.Member(jsonrpc.Member(part, "parameters"), "binary_data")
				in.outputs = append(in.outputs, wanted{name, string(flag) == "true" || flag == nil && in.binary})
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

// readInput reads one input; its bytes come off the front of rest where it says so.
func readInput(v jsontext.Value, rest []byte) (t tensor.Tensor, left []byte, err error) {
	t.Name, _ = jsonrpc.ParseString(jsonrpc.Member(v, "name"))
	t.Datatype, _ = jsonrpc.ParseString(jsonrpc.Member(v, "datatype"))
	if t.Name == "" {
		return t, rest, errors.New("an input has no name")
	}
	if t.Shape, err = tensor.ReadShape(jsonrpc.Member(v, "shape")); err != nil {
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
		return t, rest[n:], t.Check()
	}
	if data == nil {
		return t, rest, fmt.Errorf("input %q has no data", t.Name)
	}
	return t, rest, t.FromJSON(data)
}

// payload is the RPC's: what the worker gets.
func (in *infer) payload(model, version string) (payload, blob []byte) {
	b := jsonrpc.AppendString([]byte(`{"model":`), model)
	b = jsonrpc.AppendString(append(b, `,"version":`...), version)
	if in.parameters != nil {
		b = append(append(b, `,"parameters":`...), in.parameters...)
	}
	b, blob = tensor.AppendBeside(append(b, `,"inputs":`...), in.inputs)
	return append(b, '}'), blob
}

// choose gives the outputs of a worker's value that are wanted, and which of them as binary data.
func (in *infer) choose(model string, value, blob []byte) (chosen []tensor.Tensor, binary []bool, err error) {
	outputs, err := tensor.ReadAll(jsonrpc.Member(value, "outputs"), blob)
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
	for _, w := range in.outputs {
		at := slices.IndexFunc(outputs, func(o tensor.Tensor) bool { return o.Name == w.name })
		if at < 0 {
			return nil, nil, fmt.Errorf("model %q has no output %q", model, w.name)
		}
		chosen, binary = append(chosen, outputs[at]), append(binary, w.binary)
	}
	return chosen, binary, nil
}

// answer is the response's JSON, and the tensors' bytes that follow it, as they came; nil: none do.
func (in *infer) answer(model, version string, value, blob []byte) (body []byte, tail [][]byte, err error) {
	chosen, how, err := in.choose(model, value, blob)
	if err != nil {
		return nil, nil, err
	}
	b := jsonrpc.AppendString([]byte(`{"model_name":`), model)
	b = jsonrpc.AppendString(append(b, `,"model_version":`...), version)
	if in.id != "" {
		b = jsonrpc.AppendString(append(b, `,"id":`...), in.id)
	}
	b = append(b, `,"outputs":[`...)
	for i, o := range chosen {
		if i > 0 {
			b = append(b, ',')
		}
		b = jsonrpc.AppendString(append(b, `{"name":`...), o.Name)
		b = jsonrpc.AppendString(append(b, `,"datatype":`...), o.Datatype)
		b = tensor.AppendShape(append(b, `,"shape":`...), o.Shape)
		if how[i] {
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
