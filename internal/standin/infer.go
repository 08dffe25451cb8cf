package standin

import (
	"encoding/binary"
	"fmt"
	"math"
	"strings"

	"mallowlanding/internal/jsonrpc"
	"mallowlanding/internal/tensor"
)

// runModel runs a stand-in model on the payload of an infer request: models named sum* add up the elements of each
// input, all others return their inputs. It returns false if the payload is not that of an infer request.
func runModel(payload, blob []byte) (value, out []byte, isInfer bool, err error) {
	raw := jsonrpc.Member(payload, "inputs")
	if raw == nil {
		return nil, nil, false, nil
	}
	model := member(payload, "model")
	inputs, err := tensor.Parse(raw, blob)
	if err != nil {
		return nil, nil, true, err
	}
	outputs := inputs
	if strings.HasPrefix(model, "sum") {
		outputs = nil
		for _, in := range inputs {
			out, err := sumElements(in)
			if err != nil {
				return nil, nil, true, err
			}
			outputs = append(outputs, out)
		}
	}
	if len(blob) > 0 { // the outputs use the encoding of the inputs
		value, out = tensor.AppendWithBlob([]byte(`{"outputs":`), outputs)
		return append(value, '}'), out, true, nil
	}
	return append(tensor.AppendInline([]byte(`{"outputs":`), outputs), '}'), nil, true, nil
}

// sumElements adds up FP32 or INT32 elements; INT32 sums wrap around.
func sumElements(in tensor.Tensor) (tensor.Tensor, error) {
	out := tensor.Tensor{Name: in.Name, Datatype: in.Datatype, Shape: []int64{1}}
	var floats float32
	var ints uint32
	for rest := in.Raw; len(rest) >= 4; rest = rest[4:] {
		bits := binary.LittleEndian.Uint32(rest)
		ints += bits
		floats += math.Float32frombits(bits)
	}
	switch in.Datatype {
	case "FP32":
		out.Raw = binary.LittleEndian.AppendUint32(nil, math.Float32bits(floats))
	case "INT32":
		out.Raw = binary.LittleEndian.AppendUint32(nil, ints)
	default:
		return out, fmt.Errorf("model sum takes FP32 or INT32, not %s", in.Datatype)
	}
	return out, nil
}
