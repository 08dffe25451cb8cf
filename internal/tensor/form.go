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

// The form in which tensors travel to workers and back: an array of {name, datatype, shape, raw}, raw being the bytes
// in base64.

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
		b = jsonrpc.AppendText(append(b, `{"name":`...), t.Name)
		b = jsonrpc.AppendText(append(b, `,"datatype":`...), t.Datatype)
		b = AppendShape(append(b, `,"shape":`...), t.Shape)
		b = base64.StdEncoding.AppendEncode(append(b, `,"raw":"`...), t.Raw)
		b = append(b, `"}`...)
	}
	return append(b, ']')
}

// ReadAll reads tensors in the workers' form, and checks them.
func ReadAll(v []byte) (out []Tensor, err error) {
	err = Each(v, "tensors", func(part jsontext.Value) (err error) {
		var t Tensor
		t.Name, _ = jsonrpc.Text(jsonrpc.Member(part, "name"))
		t.Datatype, _ = jsonrpc.Text(jsonrpc.Member(part, "datatype"))
		if t.Shape, err = ReadShape(jsonrpc.Member(part, "shape")); err != nil {
			return err
		}
		text, _ := jsonrpc.Text(jsonrpc.Member(part, "raw"))
		if t.Raw, err = base64.StdEncoding.DecodeString(text); err != nil {
			return err
		}
		out = append(out, t)
		return t.Check()
	})
	return out, err
}
