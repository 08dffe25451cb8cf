package httpconn

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"
)

const most = 1 << 10

// say has a peer answer one message with these bytes, and close.
func say(t testing.TB, text []byte) (Answer, bool, error) {
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
			_, _ = nc.Write(text)
			_ = nc.(*net.TCPConn).CloseWrite()
			_, _ = nc.Read(make([]byte, 1)) // until the other side closes
		}
	}()
	c, err := Dial(context.Background(), l.Addr().String(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.nc.(*net.TCPConn).SetLinger(0) // thousands of these must not keep their ports
	return c.Exchange([]byte("GET / HTTP/1.1\r\n\r\n"), time.Now().Add(time.Second), most)
}

func TestAnswers(t *testing.T) {
	endless := make([]byte, 64<<10)
	for i := range endless {
		endless[i] = 'x'
	}
	for _, c := range []struct {
		name, text, body string
		again, bad       bool
	}{
		{"whole", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", "ab", true, false},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", "ab", true, false},
		{"1xx in front", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", "a", true, false},
		{"noise behind", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nab", "a", false, false},
		{"to be closed", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\na", "a", false, false},
		{"short", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", "", false, true},
		{"too long", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nab", "", false, true},
		{"no length", "HTTP/1.1 200 OK\r\n\r\nab", "", false, true},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", "", false, true},
		{"negative", "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nab", "", false, true},
		{"chunk cut off", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nab", "", false, true},
		{"no head", "nonsense\r\n\r\n", "", false, true},
		{"head without end", "HTTP/1.1 200 OK\r\nX: " + string(endless), "", false, true},
		{"nothing", "", "", false, true},
	} {
		a, again, err := say(t, []byte(c.text))
		if (err != nil) != c.bad || string(a.Body) != c.body || again != c.again {
			t.Errorf("%s: body %q, again %t, error %v", c.name, a.Body, again, err)
		}
		if errors.Is(err, ErrNotSent) {
			t.Errorf("%s: it was sent: %v", c.name, err)
		}
	}
}

// FuzzExchange: whatever a worker says, it is an error or a whole answer within the bounds, in time.
func FuzzExchange(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffff\r\nab"))
	f.Add([]byte("HTTP/1.1 100 \r\n\r\nHTTP/1.1 99 \r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if a, _, err := say(t, text); err == nil && (len(a.Body) > most || a.Status < 200) {
			t.Fatalf("status %d, %d bytes", a.Status, len(a.Body))
		}
	})
}
