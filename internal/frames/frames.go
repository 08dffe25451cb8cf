// Package frames is the binary codec between front ends and workers: JSON-RPC messages that can carry a blob of binary
// data. A frame is a length (four bytes, big-endian) and a CBOR array (RFC 8949) of id, method, params, result, code,
// message, data and blob. Params, result and data are JSON in byte strings; an absent one is empty.
package frames

import (
	"encoding/binary"
	"fmt"
	"io"
	"math"

	"github.com/fxamacker/cbor/v2"
)

// CodecName is the name of this codec when front end and worker agree on one.
const CodecName = "cbor"

// message is the CBOR array of a frame.
type message struct {
	_       struct{} `cbor:",toarray"`
	ID      []byte
	Method  string
	Params  []byte
	Result  []byte
	Code    int
	Message string
	Data    []byte
	Blob    []byte
}

// Handler receives the messages that Read decodes. It may keep the byte slices that it is passed.
type Handler interface {
	HandleRequestBlob(id []byte, method string, params, blob []byte)
	HandleResponseBlob(id []byte, result []byte, code int, text string, data, blob []byte)
}

// AppendRequest appends a request, or a notification if id is empty.
func AppendRequest(out, id []byte, method string, params, blob []byte) []byte {
	return appendMessage(out, message{ID: id, Method: method, Params: params, Blob: blob})
}

// AppendResponse appends a response: a result if code is 0, otherwise an error.
func AppendResponse(out, id, result []byte, code int, text string, data, blob []byte) []byte {
	return appendMessage(out, message{ID: id, Result: result, Code: code, Message: text, Data: data, Blob: blob})
}

func appendMessage(out []byte, m message) []byte {
	body, err := cbor.Marshal(m)
	if err != nil { // strings, byte strings and integers can always be encoded
		panic(err)
	}
	if len(body) > math.MaxUint32 {
		panic("frame larger than 4 GiB")
	}
	out = binary.BigEndian.AppendUint32(out, uint32(len(body)))
	return append(out, body...)
}

// Read reads one frame of up to limit bytes and passes its message to h. At the end of the stream it returns io.EOF.
func Read(in io.Reader, limit int, h Handler) error {
	var head [4]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return err
	}
	n := int64(binary.BigEndian.Uint32(head[:]))
	if n > int64(limit) {
		return fmt.Errorf("a frame of %d bytes, %d are taken", n, limit)
	}
	body := make([]byte, 0, min(n, 1<<16))
	for int64(len(body)) < n { // the buffer grows with the data received: a claimed length alone allocates nothing
		at := len(body)
		body = append(body, make([]byte, min(n-int64(at), int64(max(at, 1<<16))))...)
		if _, err := io.ReadFull(in, body[at:]); err != nil {
			return fmt.Errorf("a frame is cut short: %w", io.ErrUnexpectedEOF)
		}
	}
	var m message
	if err := cbor.Unmarshal(body, &m); err != nil {
		return fmt.Errorf("a frame is no message: %w", err)
	}
	if m.Method != "" {
		h.HandleRequestBlob(m.ID, m.Method, m.Params, m.Blob)
		return nil
	}
	h.HandleResponseBlob(m.ID, m.Result, m.Code, m.Message, m.Data, m.Blob)
	return nil
}
