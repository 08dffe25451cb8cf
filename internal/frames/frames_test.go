package frames

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
)

// recorder is a Handler that records the last message as text.
type recorder struct{ call string }

func (r *recorder) HandleRequestBlob(id []byte, method string, params, blob []byte) {
	r.call = fmt.Sprintf("request %s %s %s %x", id, method, params, blob)
}
func (r *recorder) HandleResponseBlob(id []byte, result []byte, code int, text string, data, blob []byte) {
	r.call = fmt.Sprintf("response %s %s %d %s %s %x", id, result, code, text, data, blob)
}

// TestFrames checks that messages survive encoding and decoding, and that Read reports truncated, oversized and invalid
// frames.
func TestFrames(t *testing.T) {
	var b []byte
	b = AppendRequest(b, []byte("7"), "m", []byte(`{"a":1}`), []byte{0, 255})
	b = AppendRequest(b, nil, "n", nil, nil)
	b = AppendResponse(b, []byte(`"x"`), []byte("1"), 0, "", nil, []byte{1})
	b = AppendResponse(b, []byte("8"), nil, -5, "no", []byte("{}"), nil)
	in := bytes.NewReader(b)
	for _, want := range []string{`request 7 m {"a":1} 00ff`, "request  n  ", `response "x" 1 0   01`, "response 8  -5 no {} "} {
		var r recorder
		if err := Read(in, 1000, &r); err != nil || r.call != want {
			t.Errorf("got %q, error %v, want %q", r.call, err, want)
		}
	}
	if err := Read(in, 1000, &recorder{}); err != io.EOF {
		t.Errorf("at the end of the stream: %v, want EOF", err)
	}
	for text, want := range map[string]string{"\x00\x00\x00\x05ab": "cut short", "\xff\xff\xff\xff": "4294967295 bytes, 1000 are taken",
		"\x00\x00\x00\x01\x01": "no message", "\x00\x00": "unexpected EOF"} {
		if err := Read(strings.NewReader(text), 1000, &recorder{}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("reading %q: error %v, want %q", text, err, want)
		}
	}
}

// FuzzRead checks that Read passes a message on or returns an error for any input, and returns io.EOF only at the end
// of the stream.
func FuzzRead(f *testing.F) {
	f.Add(AppendRequest(nil, []byte("7"), "m", []byte("{}"), []byte{1}))
	f.Fuzz(func(t *testing.T, in []byte) {
		var r recorder
		if err := Read(bytes.NewReader(in), 1<<16, &r); err == nil && r.call == "" {
			t.Error("Read returned no error and passed no message on")
		} else if errors.Is(err, io.EOF) && len(in) > 0 {
			t.Errorf("reading %x: %v before the end of the stream", in, err)
		}
	})
}
