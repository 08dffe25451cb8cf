package httpconn

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"
)

const testMaxBody = 1 << 10

// exchangeWith performs one exchange with a peer that answers with the given bytes and closes the connection.
func exchangeWith(t testing.TB, response []byte) (Response, bool, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		defer nc.Close()
		if _, err := nc.Read(make([]byte, 1024)); err == nil {
			_, _ = nc.Write(response)
			_ = nc.(*net.TCPConn).CloseWrite()
			_, _ = nc.Read(make([]byte, 1)) // until the other side closes
		}
	}()
	c, err := Dial(context.Background(), l.Addr().String(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.netConn.(*net.TCPConn).SetLinger(0) // thousands of fuzzing connections must not leave ports in TIME_WAIT
	return c.Exchange([]byte("GET / HTTP/1.1\r\n\r\n"), time.Now().Add(time.Second), testMaxBody)
}

// TestResponses checks the result of complete, malformed, truncated and oversized responses.
func TestResponses(t *testing.T) {
	endless := make([]byte, 64<<10)
	for i := range endless {
		endless[i] = 'x'
	}
	for _, c := range []struct {
		name, response, body string
		reusable, wantErr    bool
	}{
		{"complete", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", "ab", true, false},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", "ab", true, false},
		{"1xx before the final response", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", "a", true, false},
		{"extra bytes after the response", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nab", "a", false, false},
		{"Connection: close", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\na", "a", false, false},
		{"truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", "", false, true},
		{"too long", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nab", "", false, true},
		{"no length", "HTTP/1.1 200 OK\r\n\r\nab", "", false, true},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", "", false, true},
		{"negative length", "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nab", "", false, true},
		{"truncated chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nab", "", false, true},
		{"no header", "nonsense\r\n\r\n", "", false, true},
		{"endless header", "HTTP/1.1 200 OK\r\nX: " + string(endless), "", false, true},
		{"no response", "", "", false, true},
	} {
		got, reusable, err := exchangeWith(t, []byte(c.response))
		if (err != nil) != c.wantErr || string(got.Body) != c.body || reusable != c.reusable {
			t.Errorf("%s: body %q, reusable %t, error %v", c.name, got.Body, reusable, err)
		}
		if errors.Is(err, ErrNotSent) {
			t.Errorf("%s: reported as not sent: %v", c.name, err)
		}
	}
}

// FuzzExchange checks that any bytes from a worker give an error or a complete response within the limits, in time.
func FuzzExchange(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffff\r\nab"))
	f.Add([]byte("HTTP/1.1 100 \r\n\r\nHTTP/1.1 99 \r\n\r\n"))
	f.Fuzz(func(t *testing.T, response []byte) {
		if a, _, err := exchangeWith(t, response); err == nil && (len(a.Body) > testMaxBody || a.Status < 200) {
			t.Fatalf("status %d, %d bytes", a.Status, len(a.Body))
		}
	})
}
