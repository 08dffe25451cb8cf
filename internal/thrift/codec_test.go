package thrift

import (
	"context"
	"encoding/binary"
	"testing"

	wire "github.com/apache/thrift/lib/go/thrift"
)

// recordingHandler records the message of a frame.
type recordingHandler struct {
	calls  int
	fields map[string]string
	body   []byte
}

func (h *recordingHandler) execute(_ int32, fields map[string]string, body []byte) {
	h.calls++
	h.fields, h.body = fields, body
}
func (h *recordingHandler) interrupt(int32) { h.calls++ }
func (h *recordingHandler) check(int32)     { h.calls++ }

// FuzzDecode checks that any frame gives an error or one message within the limits, which is not larger than the frame.
func FuzzDecode(f *testing.F) {
	complete := encodeReply(methodExecute, 1, wire.CALL, func(ctx context.Context, w *wire.TBinaryProtocol) error {
		_ = writeMap(ctx, w, 1, "method", "query", "rid", "0123456789abcdef")
		_ = w.WriteFieldBegin(ctx, "body", wire.STRING, 2)
		_ = w.WriteBinary(ctx, []byte("body"))
		return w.WriteFieldStop(ctx)
	})[4:]
	f.Add(complete)
	f.Add(complete[:len(complete)-3])
	long := append([]byte(nil), complete...)
	binary.BigEndian.PutUint32(long[len(long)-9:], 0x7fffffff) // the body's length
	f.Add(long)
	f.Add([]byte("\x80\x01\x00\x01\x00\x00\x00\x05check\x00\x00\x00\x01\x00"))
	f.Add([]byte("\x80\x01\x00\x04\x00\x00\x00\x09interrupt\x00\x00\x00\x02\x08\x00\x01\x00\x00\x00\x01\x00"))
	f.Fuzz(func(t *testing.T, frame []byte) {
		h := &recordingHandler{}
		err := decode(frame, h)
		if (err == nil) != (h.calls == 1) || h.calls > 1 {
			t.Fatalf("error %v, handler called %d times", err, h.calls)
		}
		got := len(h.body)
		for k, v := range h.fields {
			got += len(k) + len(v)
		}
		if got > len(frame) || len(h.fields) > maxFields {
			t.Fatalf("got %d bytes and %d fields from a frame of %d bytes", got, len(h.fields), len(frame))
		}
	})
}

// TestFieldValues checks which numbers, ids and header values are accepted.
func TestFieldValues(t *testing.T) {
	for text, valid := range map[string]bool{"1500": true, "0.5": true, "": false, "NaN": false, "Inf": false, "-1": false,
		"0": false, "1e9": false, "601000": false, "1500ms": false, "0x10p1": true, "1111111111111111111111111": false} {
		if _, err := parseNumber(text, maxBudgetMs); (err == nil) != valid {
			t.Errorf("%q: %v", text, err)
		}
	}
	if isHex("0123456789abcdeF", 16) || isHex("0123", 16) || !isHex("0123456789abcdef", 16) {
		t.Error("isHex gives a wrong result")
	}
	if isVisibleASCII("a\r\nX-Ticket: b", 64) || isVisibleASCII("", 64) || !isVisibleASCII("5c0f6e1a", 64) {
		t.Error("isVisibleASCII gives a wrong result")
	}
}
