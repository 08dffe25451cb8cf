package jsonrpc

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
)

// recorder is a Handler that records each call as a line of text.
type recorder struct{ lines []string }

func (r *recorder) record(format string, args ...any) {
	r.lines = append(r.lines, fmt.Sprintf(format, args...))
}
func (r *recorder) BeginBatch() { r.record("[") }
func (r *recorder) EndBatch()   { r.record("]") }
func (r *recorder) HandleRequest(id ID, method string, params []byte) {
	r.record("request %s %s %s", id, method, params)
}
func (r *recorder) HandleResponse(id ID, result []byte, code int, message string, data []byte) {
	r.record("response %s %s %d %s %s", id, result, code, message, data)
}
func (r *recorder) HandleInvalid(id ID, code int, message string) {
	r.record("invalid %s %d", id, code)
}

func decode(value string) string {
	var r recorder
	new(Decoder).Decode([]byte(value), &r)
	return strings.Join(r.lines, "; ")
}

// TestDecode checks how Decoder passes on valid, invalid and batched messages.
func TestDecode(t *testing.T) {
	for value, want := range map[string]string{
		`{"jsonrpc":"2.0","id":1,"method":"m","params":{"a":1}}`:                 `request 1 m {"a":1}`,
		` {"params":[1,2] , "method":"\u006d", "jsonrpc":"2.0"} `:                `request  m [1,2]`,
		`{"jsonrpc":"2.0","id":"x","result":null}`:                               `response "x" null 0  `,
		`{"jsonrpc":"2.0","id":1,"error":{"code":-5,"message":"no","data":[7]}}`: `response 1  -5 no [7]`,
		`{"jsonrpc":"2.0","id":1,"error":7}`:                                     `invalid 1 -32600`,
		`{"jsonrpc":"2.0","id":1,"error":{"code":0}}`:                            `invalid 1 -32600`,
		`{"jsonrpc":"2.0","id":1,"result":1,"error":{"code":1}}`:                 `invalid 1 -32600`,
		`{"jsonrpc":"2.0","id":{},"method":"m"}`:                                 `invalid null -32600`,
		`{"jsonrpc":"2.0","id":1,"method":null}`:                                 `invalid 1 -32600`,
		`{"jsonrpc":"2.0","id":1,"method":"m","params":null}`:                    `invalid 1 -32600`,
		`[{"jsonrpc":"2.0","method":"m"},[],3]`:                                  `[; request  m ; invalid null -32600; invalid null -32600; ]`,
		`[]`:                                                                     `invalid null -32600`,
		``:                                                                       `invalid null -32700`,
		`nul`:                                                                    `invalid null -32700`,
		"\"\xff\"":                                                               `invalid null -32700`,
		strings.Repeat("[", 1e6):                                                 `invalid null -32700`,
		strings.Repeat(`{"a":`, 20000) + "1":                                     `invalid null -32700`,
		`{"jsonrpc":"2.0","method":"m"} trailing`:                                `invalid null -32700`,
	} {
		if got := decode(value); got != want {
			t.Errorf("decoding %.80s: got %s, want %s", value, got, want)
		}
	}
}

// TestFraming checks that Reader finds the values of a stream in both kinds of framing, and reports framing errors.
func TestFraming(t *testing.T) {
	for _, c := range []struct{ in, want string }{
		{"a\nb\n", "a|b|EOF"},
		{" \n\r\n a \r\n\n\nb", "a|b|EOF"},
		{"", "EOF"},
		{"\n\n", "EOF"},
		{strings.Repeat("x", 50) + "\nb\n", "value larger than the limit|b|EOF"},
		{strings.Repeat("x", 50), "value larger than the limit|EOF"},
		{"Content-Length: 3\r\n\r\nabcContent-Length: 1\n\nd", "abc|d|EOF"},
		{"Content-Length: 30\r\n\r\n" + strings.Repeat("x", 30) + "\nContent-Length: 1\r\n\r\nd", "value larger than the limit|d|EOF"},
		{"Content-Length: 3\r\n\r\nab", "value of 3 bytes is cut short: unexpected EOF"},
		{"Content-Length: 3", "unexpected EOF"},
		{"Content-Length: -3\r\n\r\n", `Content-Length " -3" is not a length`},
		{"Content-Type: x\r\n\r\n", "headers without Content-Length"},
		{"Content\r\n\r\n", `header "Content" has no colon`},
		{"C" + strings.Repeat("x", 20000), "headers of more than 4096 bytes"},
	} {
		r := NewReader(strings.NewReader(c.in), 20)
		var got []string
		for {
			value, err := r.Next()
			if err == nil {
				got = append(got, string(value))
				continue
			}
			got = append(got, err.Error())
			if !errors.Is(err, ErrTooLarge) {
				break
			}
		}
		if g := strings.Join(got, "|"); g != c.want {
			t.Errorf("reading %.60q: got %s, want %s", c.in, g, c.want)
		}
	}
}

// FuzzStream checks for any input that the values read do not depend on how the stream is split into reads, and that
// each value results in at least one call of the Handler.
func FuzzStream(f *testing.F) {
	f.Add([]byte(`{"jsonrpc":"2.0","id":1,"method":"m"}`+"\n"), uint8(3))
	f.Add([]byte("Content-Length: 2\r\n\r\n[]"), uint8(1))
	f.Add([]byte("[1,{\"a\":[]}]\n\n7"), uint8(7))
	f.Fuzz(func(t *testing.T, in []byte, chunkSize uint8) {
		read := func(r io.Reader) (out []string) {
			reader := NewReader(r, 64)
			for {
				value, err := reader.Next()
				if err != nil {
					out = append(out, err.Error())
					if !errors.Is(err, ErrTooLarge) {
						return out
					}
					continue
				}
				decoded := decode(string(value))
				if decoded == "" {
					t.Fatalf("decoding %q: no call of the handler", value)
				}
				out = append(out, decoded)
			}
		}
		whole, chunked := read(bytes.NewReader(in)), read(&chunkedReader{in, int(chunkSize)%13 + 1})
		if strings.Join(whole, "\n") != strings.Join(chunked, "\n") {
			t.Errorf("read at once: %q, read in chunks: %q", whole, chunked)
		}
	})
}

// chunkedReader returns at most chunk bytes per read.
type chunkedReader struct {
	rest  []byte
	chunk int
}

func (c *chunkedReader) Read(to []byte) (int, error) {
	if len(c.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(to, c.rest[:min(c.chunk, len(c.rest))])
	c.rest = c.rest[n:]
	return n, nil
}
