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

// The forms in which tensors travel to workers and back: an array of {name, datatype, shape, raw}, raw being the bytes
// in base64; or of {name, datatype, shape, size}, with the bytes of all, one behind the other, beside it.

// Each calls f for the elements of an array of objects; name is what an error calls the array.
func Each(v jsontext.Value, name string, f func(part jsontext.Value) error) error {
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

// ReadShape reads a shape.
func ReadShape(v jsontext.Value) ([]int64, error) {
	var out []int64
	if err := json.Unmarshal(v, &out); err != nil {
		return nil, errors.New("its shape must be an array of whole numbers")
	}
	return out, nil
}

// AppendShape appends a shape.
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

// AppendAll appends tensors in the workers' form.
func AppendAll(b []byte, ts []Tensor) []byte {
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

// AppendBeside appends tensors in the workers' form without their bytes, and gives those.
func AppendBeside(b []byte, ts []Tensor) (out, blob []byte) {
	if len(ts) == 1 { // as they are
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

// ReadAll reads tensors in either of the workers' forms, and checks them. Theirs are parts of blob where it has them.
func ReadAll(v, blob []byte) (out []Tensor, err error) {
	err = Each(v, "tensors", func(part jsontext.Value) (err error) {
		var t Tensor
		t.Name, _ = jsonrpc.ParseString(jsonrpc.Member(part, "name"))
		t.Datatype, _ = jsonrpc.ParseString(jsonrpc.Member(part, "datatype"))
		if t.Shape, err = ReadShape(jsonrpc.Member(part, "shape")); err != nil {
			return err
		}
		if size := jsonrpc.Member(part, "size"); size != nil {
			n, err := strconv.ParseUint(string(size), 10, 31)
			if err != nil || n > uint64(len(blob)) {
				return fmt.Errorf("tensor %q: size %.40s, but %d bytes are left", t.Name, size, len(blob))
			}
			t.Raw, blob = blob[:n:n], blob[n:]
			out = append(out, t)
			return t.Check()
		}
		text, _ := jsonrpc.ParseString(jsonrpc.Member(part, "raw"))
		if t.Raw, err = base64.StdEncoding.DecodeString(text); err != nil {
			return err
		}
		out = append(out, t)
		return t.Check()
	})
	return out, err
}
