package tensor

import (
	"bytes"
	"encoding/base64"
	"errors"
	"fmt"
	"strconv"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"mallowlanding/internal/jsonrpc"
)

// Tensors are sent to workers and back in one of two encodings. Inline, they are an array of {name, datatype, shape,
// raw}, where raw is the bytes in base64. With a blob, they are an array of {name, datatype, shape, size}, and the blob
// has the bytes of all of them, concatenated.

// ForEachObject calls f for each element of an array of objects. Errors refer to the array by name.
func ForEachObject(v jsontext.Value, name string, f func(part jsontext.Value) error) error {
	if v.Kind() != '[' {
		return fmt.Errorf("%q must be an array", name)
	}
	dec := jsontext.NewDecoder(bytes.NewBuffer(v))
	if _, err := dec.ReadToken(); err != nil {
		return err
	}
	for dec.PeekKind() != ']' {
		part, err := dec.ReadValue()
		if err == nil && part.Kind() != '{' {
			err = fmt.Errorf("%q holds what is no object", name)
		}
		if err == nil {
			err = f(part)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// ParseShape parses a JSON array of dimensions.
func ParseShape(v jsontext.Value) ([]int64, error) {
	var out []int64
	if err := json.Unmarshal(v, &out); err != nil {
		return nil, errors.New("its shape must be an array of whole numbers")
	}
	return out, nil
}

// AppendShape appends shape to b as a JSON array.
func AppendShape(b []byte, shape []int64) []byte {
	b = append(b, '[')
	for i, d := range shape {
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendInt(b, d, 10)
	}
	return append(b, ']')
}

// AppendInline appends tensors to b in the inline encoding.
func AppendInline(b []byte, ts []Tensor) []byte {
	b = append(b, '[')
	for i, t := range ts {
		if i > 0 {
			b = append(b, ',')
		}
		b = jsonrpc.AppendString(append(b, `{"name":`...), t.Name)
		b = jsonrpc.AppendString(append(b, `,"datatype":`...), t.Datatype)
		b = AppendShape(append(b, `,"shape":`...), t.Shape)
		b = base64.StdEncoding.AppendEncode(append(b, `,"raw":"`...), t.Raw)
		b = append(b, `"}`...)
	}
	return append(b, ']')
}

// AppendWithBlob appends tensors to b in the encoding with a blob, and returns that blob.
func AppendWithBlob(b []byte, ts []Tensor) (out, blob []byte) {
	if len(ts) == 1 { // no copy is needed
		blob = ts[0].Raw
	}
	b = append(b, '[')
	for i, t := range ts {
		if i > 0 {
			b = append(b, ',')
		}
		b = jsonrpc.AppendString(append(b, `{"name":`...), t.Name)
		b = jsonrpc.AppendString(append(b, `,"datatype":`...), t.Datatype)
		b = AppendShape(append(b, `,"shape":`...), t.Shape)
		b = append(strconv.AppendInt(append(b, `,"size":`...), int64(len(t.Raw)), 10), '}')
		if len(ts) > 1 {
			blob = append(blob, t.Raw...)
		}
	}
	return append(b, ']'), blob
}

// Parse parses tensors in either encoding and validates them. The Raw of those that have a size is a part of blob, not
// a copy.
func Parse(v, blob []byte) (out []Tensor, err error) {
	err = ForEachObject(v, "tensors", func(part jsontext.Value) (err error) {
		var t Tensor
		t.Name, _ = jsonrpc.ParseString(jsonrpc.Member(part, "name"))
		t.Datatype, _ = jsonrpc.ParseString(jsonrpc.Member(part, "datatype"))
		if t.Shape, err = ParseShape(jsonrpc.Member(part, "shape")); err != nil {
			return err
		}
		if size := jsonrpc.Member(part, "size"); size != nil {
			n, err := strconv.ParseUint(string(size), 10, 31)
			if err != nil || n > uint64(len(blob)) {
				return fmt.Errorf("tensor %q: size %.40s, but %d bytes are left", t.Name, size, len(blob))
			}
			t.Raw, blob = blob[:n:n], blob[n:]
			out = append(out, t)
			return t.Validate()
		}
		text, _ := jsonrpc.ParseString(jsonrpc.Member(part, "raw"))
		if t.Raw, err = base64.StdEncoding.DecodeString(text); err != nil {
			return err
		}
		out = append(out, t)
		return t.Validate()
	})
	return out, err
}
