package thrift

import (
	"context"
	"encoding/binary"
	"testing"

	wire "github.com/apache/thrift/lib/go/thrift"
)

// heard keeps what a frame asked for.
type heard struct {
	calls  int
	fields map[string]string
	body   []byte
}

func (h *heard) execute(_ int32, fields map[string]string, body []byte) {
	h.calls++
	h.fields, h.body = fields, body
}
func (h *heard) interrupt(int32) { h.calls++ }
func (h *heard) check(int32)     { h.calls++ }

// FuzzDecode: whatever a frame holds, it is an error or one message within the bounds, and nothing larger than the
// frame is kept of it.
func FuzzDecode(f *testing.F) {
	whole := reply(callExecute, 1, wire.CALL, func(ctx context.Context, w *wire.TBinaryProtocol) error {
		_ = writeMap(ctx, w, 1, "method", "query", "rid", "0123456789abcdef")
		_ = w.WriteFieldBegin(ctx, "body", wire.STRING, 2)
		_ = w.WriteBinary(ctx, []byte("body"))
		return w.WriteFieldStop(ctx)
	})[4:]
	f.Add(whole)
	f.Add(whole[:len(whole)-3])
	long := append([]byte(nil), whole...)
	binary.BigEndian.PutUint32(long[len(long)-9:], 0x7fffffff) // the body's length
	f.Add(long)
	f.Add([]byte("\x80\x01\x00\x01\x00\x00\x00\x05check\x00\x00\x00\x01\x00"))
	f.Add([]byte("\x80\x01\x00\x04\x00\x00\x00\x09interrupt\x00\x00\x00\x02\x08\x00\x01\x00\x00\x00\x01\x00"))
	f.Fuzz(func(t *testing.T, frame []byte) {
		h := &heard{}
		err := decode(frame, h)
		if (err == nil) != (h.calls == 1) || h.calls > 1 {
			t.Fatalf("error %v, told %d times", err, h.calls)
		}
		kept := len(h.body)
		for k, v := range h.fields {
			kept += len(k) + len(v)
		}
		if kept > len(frame) || len(h.fields) > fieldsMost {
			t.Fatalf("%d bytes and %d fields are kept of %d", kept, len(h.fields), len(frame))
		}
	})
}

func TestFigures(t *testing.T) {
	for text, good := range map[string]bool{"1500": true, "0.5": true, "": false, "NaN": false, "Inf": false, "-1": false,
		"0": false, "1e9": false, "601000": false, "1500ms": false, "0x10p1": true, "1111111111111111111111111": false} {
		if _, err := figure(text, budgetMost); (err == nil) != good {
			t.Errorf("%q: %v", text, err)
		}
	}
	if hex("0123456789abcdeF", 16) || hex("0123", 16) || !hex("0123456789abcdef", 16) {
		t.Error("hex digits")
	}
	if visible("a\r\nX-Ticket: b", 64) || visible("", 64) || !visible("5c0f6e1a", 64) {
		t.Error("what can stand in a head")
	}
}
