package frames

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
)

type told struct{ what string }

func (p *told) HandleRequestBlob(id []byte, method string, params, blob []byte) {
	p.what = fmt.Sprintf("asked %s %s %s %x", id, method, params, blob)
}
func (p *told) HandleResponseBlob(id []byte, result []byte, code int, text string, data, blob []byte) {
	p.what = fmt.Sprintf("answered %s %s %d %s %s %x", id, result, code, text, data, blob)
}

func TestFrames(t *testing.T) {
	var b []byte
	b = AppendRequest(b, []byte("7"), "m", []byte(`{"a":1}`), []byte{0, 255})
	b = AppendRequest(b, nil, "n", nil, nil)
	b = AppendResponse(b, []byte(`"x"`), []byte("1"), 0, "", nil, []byte{1})
	b = AppendResponse(b, []byte("8"), nil, -5, "no", []byte("{}"), nil)
	in := bytes.NewReader(b)
	for _, want := range []string{`asked 7 m {"a":1} 00ff`, "asked  n  ", `answered "x" 1 0   01`, "answered 8  -5 no {} "} {
		var p told
		if err := Read(in, 1000, &p); err != nil || p.what != want {
			t.Errorf("%q, %v, want %q", p.what, err, want)
		}
	}
	if err := Read(in, 1000, &told{}); err != io.EOF {
		t.Errorf("at the end: %v", err)
	}
	for text, want := range map[string]string{"\x00\x00\x00\x05ab": "cut short", "\xff\xff\xff\xff": "4294967295 bytes, 1000 are taken",
		"\x00\x00\x00\x01\x01": "no message", "\x00\x00": "unexpected EOF"} {
		if err := Read(strings.NewReader(text), 1000, &told{}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

func FuzzRead(f *testing.F) {
	f.Add(AppendRequest(nil, []byte("7"), "m", []byte("{}"), []byte{1}))
	f.Fuzz(func(t *testing.T, in []byte) {
		var p told
		if err := Read(bytes.NewReader(in), 1<<16, &p); err == nil && p.what == "" {
			t.Error("nothing told")
		} else if errors.Is(err, io.EOF) && len(in) > 0 {
			t.Errorf("%x: %v", in, err)
		}
	})
}
