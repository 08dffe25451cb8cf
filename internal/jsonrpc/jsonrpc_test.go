package jsonrpc

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
)

// told keeps what a decoder tells, one line each.
type told struct{ lines []string }

func (p *told) say(format string, args ...any) {
	p.lines = append(p.lines, fmt.Sprintf(format, args...))
}
func (p *told) BeginBatch() { p.say("[") }
func (p *told) EndBatch()   { p.say("]") }
func (p *told) HandleRequest(id ID, method string, params []byte) {
	p.say("asked %s %s %s", id, method, params)
}
func (p *told) HandleResponse(id ID, result []byte, code int, message string, data []byte) {
	p.say("answered %s %s %d %s %s", id, result, code, message, data)
}
func (p *told) HandleInvalid(id ID, code int, message string) { p.say("broken %s %d", id, code) }

func decode(value string) string {
	var p told
	new(Decoder).Decode([]byte(value), &p)
	return strings.Join(p.lines, "; ")
}

func TestDecode(t *testing.T) {
	for value, want := range map[string]string{
		`{"jsonrpc":"2.0","id":1,"method":"m","params":{"a":1}}`:                 `asked 1 m {"a":1}`,
		` {"params":[1,2] , "method":"\u006d", "jsonrpc":"2.0"} `:                `asked  m [1,2]`,
		`{"jsonrpc":"2.0","id":"x","result":null}`:                               `answered "x" null 0  `,
		`{"jsonrpc":"2.0","id":1,"error":{"code":-5,"message":"no","data":[7]}}`: `answered 1  -5 no [7]`,
		`{"jsonrpc":"2.0","id":1,"error":7}`:                                     `broken 1 -32600`,
		`{"jsonrpc":"2.0","id":1,"error":{"code":0}}`:                            `broken 1 -32600`,
		`{"jsonrpc":"2.0","id":1,"result":1,"error":{"code":1}}`:                 `broken 1 -32600`,
		`{"jsonrpc":"2.0","id":{},"method":"m"}`:                                 `broken null -32600`,
		`{"jsonrpc":"2.0","id":1,"method":null}`:                                 `broken 1 -32600`,
		`{"jsonrpc":"2.0","id":1,"method":"m","params":null}`:                    `broken 1 -32600`,
		`[{"jsonrpc":"2.0","method":"m"},[],3]`:                                  `[; asked  m ; broken null -32600; broken null -32600; ]`,
		`[]`:                                                                     `broken null -32600`,
		``:                                                                       `broken null -32700`,
		`nul`:                                                                    `broken null -32700`,
		"\"\xff\"":                                                               `broken null -32700`,
		strings.Repeat("[", 1e6):                                                 `broken null -32700`,
		strings.Repeat(`{"a":`, 20000) + "1":                                     `broken null -32700`,
		`{"jsonrpc":"2.0","method":"m"} trailing`:                                `broken null -32700`,
	} {
		if got := decode(value); got != want {
			t.Errorf("%.80s: %s, want %s", value, got, want)
		}
	}
}

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
			t.Errorf("%.60q: %s, want %s", c.in, g, c.want)
		}
	}
}

// Whatever comes, a stream's values are the same however it is cut, and each gets a word.
func FuzzStream(f *testing.F) {
	f.Add([]byte(`{"jsonrpc":"2.0","id":1,"method":"m"}`+"\n"), uint8(3))
	f.Add([]byte("Content-Length: 2\r\n\r\n[]"), uint8(1))
	f.Add([]byte("[1,{\"a\":[]}]\n\n7"), uint8(7))
	f.Fuzz(func(t *testing.T, in []byte, cut uint8) {
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
				said := decode(string(value))
				if said == "" {
					t.Fatalf("%q: nothing told", value)
				}
				out = append(out, said)
			}
		}
		whole, parts := read(bytes.NewReader(in)), read(&chopped{in, int(cut)%13 + 1})
		if strings.Join(whole, "\n") != strings.Join(parts, "\n") {
			t.Errorf("whole %q, cut %q", whole, parts)
		}
	})
}

type chopped struct {
	rest []byte
	n    int
}

func (c *chopped) Read(to []byte) (int, error) {
	if len(c.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(to, c.rest[:min(c.n, len(c.rest))])
	c.rest = c.rest[n:]
	return n, nil
}
