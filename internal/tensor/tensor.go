// Package tensor implements the tensors of the Open Inference Protocol (KServe v2): their datatypes and shapes, and the
// conversion between JSON values and little-endian bytes. It does no I/O.
package tensor

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"strconv"

	"github.com/go-json-experiment/json/jsontext"
)

// elementSizes has the size in bytes of an element of each datatype; 0 stands for a variable length.
var elementSizes = map[string]int{"BOOL": 1, "UINT8": 1, "UINT16": 2, "UINT32": 4, "UINT64": 8, "INT8": 1, "INT16": 2,
	"INT32": 4, "INT64": 8, "FP16": 2, "FP32": 4, "FP64": 8, "BYTES": 0}

// Tensor is a named tensor. Raw holds its elements as little-endian bytes; each element of datatype BYTES follows its
// length in four bytes.
type Tensor struct {
	Name     string
	Datatype string
	Shape    []int64
	Raw      []byte
}

// ElementCount returns the number of elements of a shape. A negative dimension, or more than 2^31-1 elements, is an
// error.
func ElementCount(shape []int64) (int64, error) {
	n := int64(1)
	for _, d := range shape {
		if d < 0 {
			return 0, fmt.Errorf("shape %v has a negative dimension", shape)
		}
		if d > 0 && n > math.MaxInt32/d {
			return 0, fmt.Errorf("shape %v is too large", shape)
		}
		n *= d
	}
	return n, nil
}

// Validate checks that the bytes match the datatype and the shape.
func (t *Tensor) Validate() error {
	size, known := elementSizes[t.Datatype]
	if !known {
		return fmt.Errorf("tensor %q: unknown datatype %.20q", t.Name, t.Datatype)
	}
	n, err := ElementCount(t.Shape)
	if err != nil {
		return fmt.Errorf("tensor %q: %w", t.Name, err)
	}
	if size > 0 {
		if int64(len(t.Raw)) != n*int64(size) {
			return fmt.Errorf("tensor %q: %s of shape %v takes %d bytes, not %d", t.Name, t.Datatype, t.Shape,
				n*int64(size), len(t.Raw))
		}
		return nil
	}
	rest, count := t.Raw, int64(0)
	for ; len(rest) > 0; count++ {
		if len(rest) < 4 || int64(binary.LittleEndian.Uint32(rest)) > int64(len(rest)-4) {
			return fmt.Errorf("tensor %q: element %d is cut short", t.Name, count)
		}
		rest = rest[4+binary.LittleEndian.Uint32(rest):]
	}
	if count != n {
		return fmt.Errorf("tensor %q: BYTES of shape %v has %d elements, not %d", t.Name, t.Shape, count, n)
	}
	return nil
}

// ParseJSON parses elements in row-major order, from a flat array or nested ones, into Raw, and validates the result.
func (t *Tensor) ParseJSON(data jsontext.Value) error {
	if t.Datatype == "FP16" {
		return fmt.Errorf("tensor %q: FP16 has no JSON form: send it as binary data", t.Name)
	}
	if _, known := elementSizes[t.Datatype]; !known {
		return t.Validate()
	}
	raw, err := t.appendJSON(nil, data, 0)
	if err != nil {
		return fmt.Errorf("tensor %q: %w", t.Name, err)
	}
	t.Raw = raw
	return t.Validate()
}

// maxNesting bounds the depth of nested arrays; it is more than the dimensions that any shape has.
const maxNesting = 64

func (t *Tensor) appendJSON(raw []byte, v jsontext.Value, depth int) ([]byte, error) {
	if v.Kind() != '[' {
		return t.appendElement(raw, v)
	}
	if depth == maxNesting {
		return nil, errors.New("its data nests too deep")
	}
	dec := jsontext.NewDecoder(bytes.NewBuffer(v))
	if _, err := dec.ReadToken(); err != nil {
		return nil, err
	}
	for dec.PeekKind() != ']' {
		part, err := dec.ReadValue()
		if err == nil {
			raw, err = t.appendJSON(raw, part, depth+1)
		}
		if err != nil {
			return nil, err
		}
	}
	return raw, nil
}

func (t *Tensor) appendElement(raw []byte, v jsontext.Value) ([]byte, error) {
	mismatch := fmt.Errorf("%.40s is no %s", v, t.Datatype)
	switch t.Datatype {
	case "BOOL":
		switch v.Kind() {
		case 't':
			return append(raw, 1), nil
		case 'f':
			return append(raw, 0), nil
		}
		return nil, mismatch
	case "BYTES":
		if v.Kind() != '"' {
			return nil, mismatch
		}
		text, err := jsontext.AppendUnquote(nil, v)
		if err != nil {
			return nil, err
		}
		return append(binary.LittleEndian.AppendUint32(raw, uint32(len(text))), text...), nil
	case "FP32", "FP64":
		bits := 8 * elementSizes[t.Datatype]
		n, err := strconv.ParseFloat(string(v), bits)
		if v.Kind() != '0' || err != nil {
			return nil, mismatch
		}
		if bits == 32 {
			return binary.LittleEndian.AppendUint32(raw, math.Float32bits(float32(n))), nil
		}
		return binary.LittleEndian.AppendUint64(raw, math.Float64bits(n)), nil
	}
	size := elementSizes[t.Datatype]
	var bits uint64
	if t.Datatype[0] == 'U' {
		n, err := strconv.ParseUint(string(v), 10, 8*size)
		if v.Kind() != '0' || err != nil {
			return nil, mismatch
		}
		bits = n
	} else {
		n, err := strconv.ParseInt(string(v), 10, 8*size)
		if v.Kind() != '0' || err != nil {
			return nil, mismatch
		}
		bits = uint64(n)
	}
	for range size {
		raw = append(raw, byte(bits))
		bits >>= 8
	}
	return raw, nil
}

// AppendJSON appends the elements to out as a flat array. It returns an error for what JSON can't represent: FP16, NaN
// and infinities, and BYTES that are not UTF-8.
func (t *Tensor) AppendJSON(out []byte) ([]byte, error) {
	if t.Datatype == "FP16" {
		return nil, fmt.Errorf("tensor %q: FP16 has no JSON form: ask for binary data", t.Name)
	}
	size := elementSizes[t.Datatype]
	out = append(out, '[')
	for rest, first := t.Raw, true; len(rest) > 0; first = false {
		if !first {
			out = append(out, ',')
		}
		if size == 0 {
			n := binary.LittleEndian.Uint32(rest)
			var err error
			if out, err = jsontext.AppendQuote(out, rest[4:4+n]); err != nil {
				return nil, fmt.Errorf("tensor %q: an element is not UTF-8: ask for binary data", t.Name)
			}
			rest = rest[4+n:]
			continue
		}
		var bits uint64
		for i := size - 1; i >= 0; i-- {
			bits = bits<<8 | uint64(rest[i])
		}
		rest = rest[size:]
		switch {
		case t.Datatype == "BOOL":
			out = strconv.AppendBool(out, bits != 0)
		case t.Datatype == "FP32" || t.Datatype == "FP64":
			n := math.Float64frombits(bits)
			if size == 4 {
				n = float64(math.Float32frombits(uint32(bits)))
			}
			if math.IsNaN(n) || math.IsInf(n, 0) {
				return nil, fmt.Errorf("tensor %q: %v has no JSON form: ask for binary data", t.Name, n)
			}
			out = strconv.AppendFloat(out, n, 'g', -1, 8*size)
		case t.Datatype[0] == 'U':
			out = strconv.AppendUint(out, bits, 10)
		default:
			shift := 64 - 8*size
			out = strconv.AppendInt(out, int64(bits<<shift)>>shift, 10)
		}
	}
	return append(out, ']'), nil
}
