package main

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	wire "github.com/apache/thrift/lib/go/thrift"
)

const patience = 10 * time.Second

// TestMain has this test's program be mallowlanding itself, where a test starts it so.
func TestMain(m *testing.M) {
	if os.Getenv("MALLOWLANDING_AS_PROGRAM") != "" {
		os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// configuration is a front end's with one worker, whose journal service is away.
func configuration(t *testing.T, listen, worker string) string {
	t.Helper()
	text, err := os.ReadFile("../../internal/platform/testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	known := fmt.Sprintf(`{"pos":1,"entries":[{"pos":1,"hosts":{"reset":true,"instances":[{"instanceId":"w","hostPort":%q,
		"zone":"a","machineType":"std","cell":1,"lifecycle":"active","startedAtMs":0}]}}]}`, worker)
	config := strings.NewReplacer("$LISTEN", listen, "$JOURNAL", "127.0.0.1:1", `"$KNOWN"`, known).Replace(string(text))
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// start runs the program as the platform does.
func start(t *testing.T, path string) (cmd *exec.Cmd, log *bytes.Buffer) {
	t.Helper()
	cmd, log = exec.Command(os.Args[0], "platform"), &bytes.Buffer{}
	cmd.Env = append(os.Environ(), "MALLOWLANDING_AS_PROGRAM=1", "BALANCER_CONFIG="+path)
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill(); _, _ = cmd.Process.Wait() })
	return cmd, log
}

var loopbacks atomic.Uint32

// loopback is an address of this machine that no other test has, with a port still to be chosen: one that is freed, to
// be listened at later, is taken by nobody meanwhile.
func loopback() string {
	n := loopbacks.Add(1)
	return fmt.Sprintf("127.1.%d.%d:0", n/250, n%250+1)
}

// freeAddress is one that nobody listens at now, nor will.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", loopback())
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func connect(t *testing.T, address string) net.Conn {
	t.Helper()
	for until := time.Now().Add(patience); ; time.Sleep(5 * time.Millisecond) {
		nc, err := net.Dial("tcp", address)
		if err == nil {
			t.Cleanup(func() { nc.Close() })
			return nc
		}
		if time.Now().After(until) {
			t.Fatal(err)
		}
	}
}

// send writes a message in its frame.
func send(t *testing.T, nc net.Conn, name string, seq int32, fields map[string]string) {
	t.Helper()
	if _, err := nc.Write(encode(name, seq, fields)); err != nil {
		t.Fatal(err)
	}
}

// encode is a message in its frame.
func encode(name string, seq int32, fields map[string]string) []byte {
	ctx, buf := context.Background(), wire.NewTMemoryBuffer()
	w := wire.NewTBinaryProtocolConf(buf, nil)
	_ = w.WriteMessageBegin(ctx, name, wire.CALL, seq)
	if fields != nil {
		_ = w.WriteFieldBegin(ctx, "fields", wire.MAP, 1)
		_ = w.WriteMapBegin(ctx, wire.STRING, wire.STRING, len(fields))
		for name, value := range fields {
			_ = w.WriteString(ctx, name)
			_ = w.WriteString(ctx, value)
		}
	}
	_ = w.WriteFieldStop(ctx)
	return append(binary.BigEndian.AppendUint32(nil, uint32(buf.Len())), buf.Bytes()...)
}

// receive reads one frame.
func receive(t *testing.T, nc net.Conn) []byte {
	t.Helper()
	text, err := readFrame(nc)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// readFrame reads one frame, for as long as a test is patient.
func readFrame(nc net.Conn) ([]byte, error) {
	if err := nc.SetReadDeadline(time.Now().Add(patience)); err != nil {
		return nil, err
	}
	var n uint32
	if err := binary.Read(nc, binary.BigEndian, &n); err != nil {
		return nil, err
	}
	text := make([]byte, n)
	_, err := io.ReadFull(nc, text)
	return text, err
}

// TestPlatformToldTwice: told twice to leave it still answers what it holds, and ends well.
func TestPlatformToldTwice(t *testing.T) {
	came, answer := make(chan bool, 1), make(chan bool)
	worker := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
		if in.URL.Path == "/-/gauges" { // it is asked first, as discovery is away
			return
		}
		came <- true
		select {
		case <-answer:
		case <-in.Context().Done():
		}
		_, _ = io.WriteString(out, "hold7")
	}))
	defer worker.Close()
	address := freeAddress(t)
	cmd, log := start(t, configuration(t, address, worker.Listener.Addr().String()))
	nc := connect(t, address)
	send(t, nc, "execute", 1, map[string]string{"method": "query", "rid": "0000000000000001", "budget": "2500", "acct": "acme",
		"obj": "00000000000000f1", "facts": "memory_mb:100;lanes:4"})
	select {
	case <-came:
	case <-time.After(patience):
		t.Fatalf("nothing came to the worker: %s", log)
	}
	for range 2 {
		if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		send(t, nc, "check", 2, nil) // it has its turn between both
		receive(t, nc)
	}
	close(answer)
	if got := receive(t, nc); !bytes.Contains(got, []byte("hold7")) {
		t.Errorf("answered %q", got)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("it ends with %v: %s", err, log)
	}
}

// TestPlatformAddressTaken: it waits for an address that its predecessor still has, and serves there then.
func TestPlatformAddressTaken(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cmd, log := start(t, configuration(t, l.Addr().String(), "127.0.0.1:1"))
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	select {
	case err := <-ended:
		t.Fatalf("it ended with %v: %s", err, log)
	case <-time.After(300 * time.Millisecond):
	}
	l.Close()
	nc := connect(t, l.Addr().String())
	for seq, until := int32(1), time.Now().Add(patience); ; seq++ {
		send(t, nc, "check", seq, nil)
		if got := receive(t, nc); bytes.Contains(got, []byte{wire.BOOL, 0, 3, 1}) {
			break
		} else if time.Now().After(until) {
			t.Fatalf("it is not ready: %q", got)
		}
	}
	_ = cmd.Process.Kill()
	<-ended
}

// TestPlatformBadConfiguration: it ends with code 2, and names file, place and reason.
func TestPlatformBadConfiguration(t *testing.T) {
	path := configuration(t, "127.0.0.1:0", "127.0.0.1:1")
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, said string }{
		{`"memory_mb":64`, `"memory_mb":1`, `"limits": memory_mb 1`},
		{`"sockets":256`, `"sockets":-1`, `"limits": sockets -1`},
		{`"seed":"8c1f30d27a5be964"`, `"seed":"x"`, `"seed"`},
		{`"listen":"127.0.0.1:0"`, `"listen":"nowhere"`, `"listen"`},
		{`{"name":"n3"`, `{"name":`, "byte "},
		{`"name":"book"`, `"name":"query"`, `"query" stands twice`},
		{`"deadlineNs":3000000000`, `"deadlineNs":0`, "deadline"},
	} {
		bad := filepath.Join(t.TempDir(), "bad.json")
		if err := os.WriteFile(bad, bytes.Replace(text, []byte(c.old), []byte(c.new), 1), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd, log := start(t, bad)
		err := cmd.Wait()
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() != exitMisused {
			t.Errorf("%s: it ends with %v", c.new, err)
		}
		if said := log.String(); !strings.Contains(said, bad) || !strings.Contains(said, c.said) {
			t.Errorf("%s: it says %s", c.new, said)
		}
	}
}
