package jsonrpc

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"sync"

	"github.com/go-json-experiment/json/jsontext"
)

// Error codes of the specification.
const (
	ParseError     = -32700
	InvalidRequest = -32600
	MethodNotFound = -32601
	InvalidParams  = -32602
)

// ID is a message's id as received: a JSON string, number or null. It is empty for a notification.
type ID []byte

// NullID is the id of responses to messages without a readable id.
var NullID = ID("null")

// Handler receives the messages that a Decoder decodes. The byte slices passed to a method are valid until it returns.
type Handler interface {
	// BeginBatch is called before the messages of a batch, EndBatch after them.
	BeginBatch()
	EndBatch()
	// HandleRequest is called for a request, or for a notification if id is empty. Params are empty if there are none.
	HandleRequest(id ID, method string, params []byte)
	// HandleResponse is called for a response: a result if code is 0, otherwise an error.
	HandleResponse(id ID, result []byte, code int, message string, data []byte)
	// HandleInvalid is called for an invalid message, with the id, code and message of the error response to send.
	HandleInvalid(id ID, code int, message string)
}

// IgnoreBatches can be embedded by handlers that treat the messages of a batch like single ones.
type IgnoreBatches struct{}

// BeginBatch implements Handler for the types that embed IgnoreBatches.
func (IgnoreBatches) BeginBatch() {}

// EndBatch implements Handler for the types that embed IgnoreBatches.
func (IgnoreBatches) EndBatch() {}

// Decoder decodes messages. It reuses its buffers and must not be used by several goroutines at once.
type Decoder struct {
	in  bytes.Buffer
	dec jsontext.Decoder
}

var options = []jsontext.Options{jsontext.AllowDuplicateNames(true)}

// Decode decodes one JSON value and passes its messages to h.
func (d *Decoder) Decode(value []byte, h Handler) {
	if len(value) > 0 && value[0] == '{' { // the usual case; the object is validated while it is decoded
		d.decodeMessage(value, h)
		return
	}
	v, err := d.readSingle(value)
	if err != nil {
		h.HandleInvalid(NullID, ParseError, "not JSON: "+describeError(err))
		return
	}
	if v.Kind() != '[' {
		d.decodeMessage(v, h)
		return
	}
	elems, err := elements(v)
	if err != nil {
		h.HandleInvalid(NullID, ParseError, "not JSON: "+describeError(err))
		return
	}
	if len(elems) == 0 {
		h.HandleInvalid(NullID, InvalidRequest, "an empty batch")
		return
	}
	h.BeginBatch()
	for _, elem := range elems {
		d.decodeMessage(elem, h)
	}
	h.EndBatch()
}

// readSingle reads value, which must be a single JSON value.
func (d *Decoder) readSingle(value []byte) (jsontext.Value, error) {
	d.in = *bytes.NewBuffer(value)
	d.dec.Reset(&d.in, options...)
	v, err := d.dec.ReadValue()
	if err != nil {
		return nil, err
	}
	return v, checkNoTrailingData(value, d.dec.InputOffset())
}

func checkNoTrailingData(value []byte, offset int64) error {
	if rest := bytes.TrimLeft(value[offset:], " \t\r\n"); len(rest) > 0 {
		return fmt.Errorf("more after the value, at byte %d", offset)
	}
	return nil
}

func describeError(err error) string {
	if errors.Is(err, io.ErrUnexpectedEOF) || err == io.EOF {
		return "it ends too soon"
	}
	return err.Error()
}

// elements returns the elements of a valid JSON array.
func elements(v []byte) ([]jsontext.Value, error) {
	dec := jsontext.NewDecoder(bytes.NewBuffer(v), options...)
	if _, err := dec.ReadToken(); err != nil {
		return nil, err
	}
	var elems []jsontext.Value
	for dec.PeekKind() != ']' {
		elem, err := dec.ReadValue()
		if err != nil {
			return nil, err
		}
		elems = append(elems, bytes.Clone(elem))
	}
	return elems, nil
}

// decodeMessage decodes one message and passes it to h.
func (d *Decoder) decodeMessage(object jsontext.Value, h Handler) {
	if object.Kind() != '{' {
		h.HandleInvalid(NullID, InvalidRequest, "a message is an object, not "+kindName(object.Kind()))
		return
	}
	var version, method, id, params, result, errorObject jsontext.Value
	duplicate := ""
	endOffset, err := d.forEachMember(object, func(name []byte, value jsontext.Value) error {
		var target *jsontext.Value
		switch string(name) {
		case "jsonrpc":
			target = &version
		case "method":
			target = &method
		case "id":
			target = &id
		case "params":
			target = &params
		case "result":
			target = &result
		case "error":
			target = &errorObject
		default:
			return nil
		}
		if *target != nil {
			duplicate = string(name)
		}
		*target = value
		return nil
	})
	if err == nil {
		err = checkNoTrailingData(object, endOffset)
	}
	answerTo := ID(id)
	if k := id.Kind(); id == nil || k != '"' && k != '0' && k != 'n' {
		answerTo = NullID
	}
	invalid := func(message string) { h.HandleInvalid(answerTo, InvalidRequest, message) }
	switch {
	case err != nil:
		h.HandleInvalid(NullID, ParseError, "not JSON: "+describeError(err))
	case duplicate != "":
		invalid(fmt.Sprintf("member %q stands twice", duplicate))
	case version == nil:
		invalid(`member "jsonrpc" is missing`)
	case string(version) != `"2.0"`:
		invalid(fmt.Sprintf(`member "jsonrpc" must be "2.0", not %.40s`, version))
	case id != nil && string(answerTo) != string(id):
		invalid(`member "id" must be a string, a number or null, not ` + kindName(id.Kind()))
	case method != nil:
		name, isText := ParseString(method)
		if !isText {
			invalid(`member "method" must be a string, not ` + kindName(method.Kind()))
		} else if k := params.Kind(); params != nil && k != '{' && k != '[' {
			invalid(`member "params" must be an object or an array, not ` + kindName(k))
		} else {
			h.HandleRequest(ID(id), name, params)
		}
	case (result == nil) == (errorObject == nil):
		invalid(`member "method" is missing`)
	case errorObject == nil:
		h.HandleResponse(answerTo, result, 0, "", nil)
	default:
		var code, message, data jsontext.Value
		_ = ForEachMember(errorObject, func(name []byte, value jsontext.Value) error {
			switch string(name) {
			case "code":
				code = value
			case "message":
				message = value
			case "data":
				data = value
			}
			return nil
		})
		number, isNumber := ParseNumber(code)
		text, _ := ParseString(message)
		if !isNumber || number == 0 {
			invalid(`member "error" must be an object with a code other than 0`)
			return
		}
		h.HandleResponse(answerTo, nil, int(number), text, data)
	}
}

func kindName(k jsontext.Kind) string {
	switch k {
	case 'n':
		return "null"
	case 't', 'f':
		return "a truth value"
	case '"':
		return "a string"
	case '0':
		return "a number"
	case '[':
		return "an array"
	case '{':
		return "an object"
	}
	return "nothing"
}

// ForEachMember calls f for each member of a valid JSON object, in order. It stops at f's first error and returns it.
func ForEachMember(object []byte, f func(name []byte, value jsontext.Value) error) error {
	d := decoders.Get().(*Decoder)
	defer decoders.Put(d)
	_, err := d.forEachMember(object, f)
	return err
}

var decoders = sync.Pool{New: func() any { return new(Decoder) }}

// forEachMember is ForEachMember for an object that may be invalid JSON. It returns the offset of the object's end.
func (d *Decoder) forEachMember(object []byte, f func(name []byte, value jsontext.Value) error) (end int64, err error) {
	d.in = *bytes.NewBuffer(object)
	dec := &d.dec
	dec.Reset(&d.in, options...)
	if t, err := dec.ReadToken(); err != nil {
		return 0, err
	} else if t.Kind() != '{' {
		return 0, errors.New("not an object")
	}
	for dec.PeekKind() != '}' {
		name, err := dec.ReadValue()
		if err != nil {
			return 0, err
		}
		var unquoted []byte
		if bytes.IndexByte(name, '\\') < 0 {
			unquoted = object[dec.InputOffset()-int64(len(name))+1 : dec.InputOffset()-1]
		} else if unquoted, err = jsontext.AppendUnquote(nil, name); err != nil {
			return 0, err
		}
		value, err := dec.ReadValue()
		if err != nil {
			return 0, err
		}
		valueEnd := dec.InputOffset()
		if err := f(unquoted, object[valueEnd-int64(len(value)):valueEnd]); err != nil {
			return 0, err
		}
	}
	_, err = dec.ReadToken()
	return dec.InputOffset(), err
}

// ParseString parses a JSON string. It returns false if v is not one.
func ParseString(v jsontext.Value) (string, bool) {
	if len(v) < 2 || v[0] != '"' {
		return "", false
	}
	if bytes.IndexByte(v, '\\') < 0 {
		return string(v[1 : len(v)-1]), true
	}
	b, err := jsontext.AppendUnquote(nil, v)
	return string(b), err == nil
}

// ParseNumber parses a JSON number. It returns false if v is not one or is out of range.
func ParseNumber(v jsontext.Value) (float64, bool) {
	if len(v) == 0 || v.Kind() != '0' {
		return 0, false
	}
	n, err := strconv.ParseFloat(string(v), 64)
	return n, err == nil && !math.IsInf(n, 0)
}

// ParseNumbers parses an array of numbers. It returns false if v is not one or a number is out of range.
func ParseNumbers(v jsontext.Value) ([]float64, bool) {
	if len(v) == 0 || v.Kind() != '[' {
		return nil, false
	}
	var out []float64
	for part := range bytes.SplitSeq(bytes.Trim(v, "[] \t\r\n"), []byte(",")) {
		part = bytes.TrimSpace(part)
		if len(part) == 0 {
			continue
		}
		n, err := strconv.ParseFloat(string(part), 64)
		if err != nil || math.IsInf(n, 0) {
			return nil, false
		}
		out = append(out, n)
	}
	return out, true
}

// AppendString appends s as a JSON string. Invalid UTF-8 in it is replaced.
func AppendString(out []byte, s string) []byte {
	// for invalid UTF-8, AppendQuote returns the replaced text together with an error
	q, _ := jsontext.AppendQuote(out, s)
	return q
}

// AppendRequest appends a request, or a notification if id is empty. Params are JSON, or empty.
func AppendRequest(out []byte, id ID, method string, params []byte) []byte {
	out = append(out, `{"jsonrpc":"2.0",`...)
	if len(id) > 0 {
		out = append(append(append(out, `"id":`...), id...), ',')
	}
	out = AppendString(append(out, `"method":`...), method)
	if len(params) > 0 {
		out = append(append(out, `,"params":`...), params...)
	}
	return append(out, '}')
}

// AppendResult appends a response with a result. The result is JSON.
func AppendResult(out []byte, id ID, result []byte) []byte {
	out = append(append(out, `{"jsonrpc":"2.0","id":`...), id...)
	out = append(append(out, `,"result":`...), result...)
	return append(out, '}')
}

// AppendError appends a response with an error. Data is JSON, or empty.
func AppendError(out []byte, id ID, code int, message string, data []byte) []byte {
	out = append(append(out, `{"jsonrpc":"2.0","id":`...), id...)
	out = strconv.AppendInt(append(out, `,"error":{"code":`...), int64(code), 10)
	out = AppendString(append(out, `,"message":`...), message)
	if len(data) > 0 {
		out = append(append(out, `,"data":`...), data...)
	}
	return append(out, "}}"...)
}

// NumberID returns n as an id.
func NumberID(n uint64) ID { return strconv.AppendUint(nil, n, 10) }

// Uint returns the number of an id made by NumberID. It returns false for another id.
func (id ID) Uint() (uint64, bool) {
	n, err := strconv.ParseUint(string(id), 10, 64)
	return n, err == nil
}

// Valid reports whether text is a single valid JSON value.
func Valid(text []byte) bool { return jsontext.Value(text).IsValid(options...) }

// Member returns a member of a JSON object, or nil if there is no such member or object is not an object.
func Member(object []byte, name string) (value []byte) {
	if len(object) == 0 || object[0] != '{' {
		return nil
	}
	_ = ForEachMember(object, func(n []byte, v jsontext.Value) error {
		if string(n) == name {
			value = v
		}
		return nil
	})
	return value
}
