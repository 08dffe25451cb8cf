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

// ID is a message's id as it came: a string, a number or null. An empty one is none: a notification.
type ID []byte

// NullID is the id of answers to what has no readable id.
var NullID = ID("null")

// Handler is told what a value holds. The bytes that it gets are good until it returns.
type Handler interface {
	// BeginBatch precedes the messages of an array, BatchEnds follows them.
	BeginBatch()
	EndBatch()
	// HandleRequest is a request, or a notification where id is empty. Params are empty where there are none.
	HandleRequest(id ID, method string, params []byte)
	// HandleResponse is a response: a result, or an error with its code.
	HandleResponse(id ID, result []byte, code int, message string, data []byte)
	// HandleInvalid is what is no message: the code, and what is wrong, for an answer to id.
	HandleInvalid(id ID, code int, message string)
}

// IgnoreBatches is for peers to embed to whom a batch is no more than its messages.
type IgnoreBatches struct{}

// BeginBatch implements Peer.
func (IgnoreBatches) BeginBatch() {}

// EndBatch implements Peer.
func (IgnoreBatches) EndBatch() {}

// Decoder reads messages out of values. It keeps buffers and serves one goroutine.
type Decoder struct {
	in  bytes.Buffer
	dec jsontext.Decoder
}

var options = []jsontext.Options{jsontext.AllowDuplicateNames(true)}

// Decode tells p what one value holds.
func (d *Decoder) Decode(value []byte, p Handler) {
	if len(value) > 0 && value[0] == '{' { // the ordinary case: it is checked as it is read
		d.one(value, p)
		return
	}
	v, err := d.whole(value)
	if err != nil {
		p.HandleInvalid(NullID, ParseError, "not JSON: "+reason(err))
		return
	}
	if v.Kind() != '[' {
		d.one(v, p)
		return
	}
	parts, err := elements(v)
	if err != nil {
		p.HandleInvalid(NullID, ParseError, "not JSON: "+reason(err))
		return
	}
	if len(parts) == 0 {
		p.HandleInvalid(NullID, InvalidRequest, "an empty batch")
		return
	}
	p.BeginBatch()
	for _, part := range parts {
		d.one(part, p)
	}
	p.EndBatch()
}

// whole reads the one value that there must be.
func (d *Decoder) whole(value []byte) (jsontext.Value, error) {
	d.in = *bytes.NewBuffer(value)
	d.dec.Reset(&d.in, options...)
	v, err := d.dec.ReadValue()
	if err != nil {
		return nil, err
	}
	return v, nothingAfter(value, d.dec.InputOffset())
}

func nothingAfter(value []byte, at int64) error {
	if rest := bytes.TrimLeft(value[at:], " \t\r\n"); len(rest) > 0 {
		return fmt.Errorf("more after the value, at byte %d", at)
	}
	return nil
}

func reason(err error) string {
	if errors.Is(err, io.ErrUnexpectedEOF) || err == io.EOF {
		return "it ends too soon"
	}
	return err.Error()
}

// elements cuts a valid array.
func elements(v []byte) ([]jsontext.Value, error) {
	dec := jsontext.NewDecoder(bytes.NewBuffer(v), options...)
	if _, err := dec.ReadToken(); err != nil {
		return nil, err
	}
	var parts []jsontext.Value
	for dec.PeekKind() != ']' {
		part, err := dec.ReadValue()
		if err != nil {
			return nil, err
		}
		parts = append(parts, bytes.Clone(part))
	}
	return parts, nil
}

// one tells p what one message holds.
func (d *Decoder) one(v jsontext.Value, p Handler) {
	if v.Kind() != '{' {
		p.HandleInvalid(NullID, InvalidRequest, "a message is an object, not "+kindWord(v.Kind()))
		return
	}
	var version, method, id, params, result, failure jsontext.Value
	twice := ""
	end, err := d.members(v, func(name []byte, value jsontext.Value) error {
		var to *jsontext.Value
		switch string(name) {
		case "jsonrpc":
			to = &version
		case "method":
			to = &method
		case "id":
			to = &id
		case "params":
			to = &params
		case "result":
			to = &result
		case "error":
			to = &failure
		default:
			return nil
		}
		if *to != nil {
			twice = string(name)
		}
		*to = value
		return nil
	})
	if err == nil {
		err = nothingAfter(v, end)
	}
	answerTo := ID(id)
	if k := id.Kind(); id == nil || k != '"' && k != '0' && k != 'n' {
		answerTo = NullID
	}
	bad := func(message string) { p.HandleInvalid(answerTo, InvalidRequest, message) }
	switch {
	case err != nil:
		p.HandleInvalid(NullID, ParseError, "not JSON: "+reason(err))
	case twice != "":
		bad(fmt.Sprintf("member %q stands twice", twice))
	case version == nil:
		bad(`member "jsonrpc" is missing`)
	case string(version) != `"2.0"`:
		bad(fmt.Sprintf(`member "jsonrpc" must be "2.0", not %.40s`, version))
	case id != nil && string(answerTo) != string(id):
		bad(`member "id" must be a string, a number or null, not ` + kindWord(id.Kind()))
	case method != nil:
		name, isText := ParseString(method)
		if !isText {
			bad(`member "method" must be a string, not ` + kindWord(method.Kind()))
		} else if k := params.Kind(); params != nil && k != '{' && k != '[' {
			bad(`member "params" must be an object or an array, not ` + kindWord(k))
		} else {
			p.HandleRequest(ID(id), name, params)
		}
	case (result == nil) == (failure == nil):
		bad(`member "method" is missing`)
	case failure == nil:
		p.HandleResponse(answerTo, result, 0, "", nil)
	default:
		var code, message, data jsontext.Value
		_ = ForEachMember(failure, func(name []byte, value jsontext.Value) error {
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
			bad(`member "error" must be an object with a code other than 0`)
			return
		}
		p.HandleResponse(answerTo, nil, int(number), text, data)
	}
}

func kindWord(k jsontext.Kind) string {
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

// ForEachMember calls f for each member of a valid object, in order; f's first error ends it.
func ForEachMember(object []byte, f func(name []byte, value jsontext.Value) error) error {
	d := decoders.Get().(*Decoder)
	defer decoders.Put(d)
	_, err := d.members(object, f)
	return err
}

var decoders = sync.Pool{New: func() any { return new(Decoder) }}

// members also tells where the object ends, and finds out what is not JSON up to there.
func (d *Decoder) members(object []byte, f func(name []byte, value jsontext.Value) error) (end int64, err error) {
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
		var plain []byte
		if bytes.IndexByte(name, '\\') < 0 {
			plain = object[dec.InputOffset()-int64(len(name))+1 : dec.InputOffset()-1]
		} else if plain, err = jsontext.AppendUnquote(nil, name); err != nil {
			return 0, err
		}
		value, err := dec.ReadValue()
		if err != nil {
			return 0, err
		}
		at := dec.InputOffset()
		if err := f(plain, object[at-int64(len(value)):at]); err != nil {
			return 0, err
		}
	}
	_, err = dec.ReadToken()
	return dec.InputOffset(), err
}

// ParseString reads a JSON string.
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

// ParseNumber reads a finite JSON number.
func ParseNumber(v jsontext.Value) (float64, bool) {
	if len(v) == 0 || v.Kind() != '0' {
		return 0, false
	}
	n, err := strconv.ParseFloat(string(v), 64)
	return n, err == nil && !math.IsInf(n, 0)
}

// ParseNumbers reads an array of finite numbers.
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

// AppendString appends a JSON string; what is not UTF-8 in it is replaced.
func AppendString(out []byte, s string) []byte {
	// with invalid UTF-8 the replaced text is returned beside the error
	q, _ := jsontext.AppendQuote(out, s)
	return q
}

// AppendRequest appends a request, or a notification where id is empty. Params are JSON, or empty.
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

// AppendResult appends a response with a result, which is JSON.
func AppendResult(out []byte, id ID, result []byte) []byte {
	out = append(append(out, `{"jsonrpc":"2.0","id":`...), id...)
	out = append(append(out, `,"result":`...), result...)
	return append(out, '}')
}

// AppendError appends a response with an error; data is JSON, or empty.
func AppendError(out []byte, id ID, code int, message string, data []byte) []byte {
	out = append(append(out, `{"jsonrpc":"2.0","id":`...), id...)
	out = strconv.AppendInt(append(out, `,"error":{"code":`...), int64(code), 10)
	out = AppendString(append(out, `,"message":`...), message)
	if len(data) > 0 {
		out = append(append(out, `,"data":`...), data...)
	}
	return append(out, "}}"...)
}

// NumberID is a number as an id.
func NumberID(n uint64) ID { return strconv.AppendUint(nil, n, 10) }

// Uint reads an id that NumberID made.
func (id ID) Uint() (uint64, bool) {
	n, err := strconv.ParseUint(string(id), 10, 64)
	return n, err == nil
}

// Valid tells whether text is one JSON value.
func Valid(text []byte) bool { return jsontext.Value(text).IsValid(options...) }

// Member is an object's member as JSON; empty: there is no such member, or no object.
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
