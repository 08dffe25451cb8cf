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

const testTimeout = 10 * time.Second

// TestMain runs mallowlanding itself in place of the tests where MALLOWLANDING_AS_PROGRAM is set.
func TestMain(m *testing.M) {
	if os.Getenv("MALLOWLANDING_AS_PROGRAM") != "" {
		os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// writeConfiguration writes the configuration of a front end with one worker and an unreachable journal service, and
// returns its path.
func writeConfiguration(t *testing.T, listen, worker string) string {
	t.Helper()
	text, err := os.ReadFile("../../internal/platform/testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	knownEvents := fmt.Sprintf(`{"pos":1,"entries":[{"pos":1,"hosts":{"reset":true,"instances":[{"instanceId":"w","hostPort":%q,
		"zone":"a","machineType":"std","cell":1,"lifecycle":"active","startedAtMs":0}]}}]}`, worker)
	config := strings.NewReplacer("$LISTEN", listen, "$JOURNAL", "127.0.0.1:1", `"$KNOWN"`, knownEvents).Replace(string(text))
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// startPlatform runs mallowlanding as the operators' platform does.
func startPlatform(t *testing.T, path string) (cmd *exec.Cmd, log *bytes.Buffer) {
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

var loopbackCount atomic.Uint32

// loopbackAddress returns a loopback address that no other test uses, with port 0. As no other test uses the address, a
// port that a test frees and listens on again later is not taken in between.
func loopbackAddress() string {
	n := loopbackCount.Add(1)
	return fmt.Sprintf("127.1.%d.%d:0", n/250, n%250+1)
}

// unusedAddress returns an address that nothing else listens on, now or later.
func unusedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", loopbackAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// connect dials an address until it accepts a connection.
func connect(t *testing.T, address string) net.Conn {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
		nc, err := net.Dial("tcp", address)
		if err == nil {
			t.Cleanup(func() { nc.Close() })
			return nc
		}
		if time.Now().After(deadline) {
			t.Fatal(err)
		}
	}
}

// sendMessage sends a Thrift message in a frame.
func sendMessage(t *testing.T, nc net.Conn, name string, seq int32, fields map[string]string) {
	t.Helper()
	if _, err := nc.Write(encodeMessage(name, seq, fields)); err != nil {
		t.Fatal(err)
	}
}

// encodeMessage returns a Thrift message in a frame.
func encodeMessage(name string, seq int32, fields map[string]string) []byte {
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

// receiveMessage reads the message of one frame.
func receiveMessage(t *testing.T, nc net.Conn) []byte {
	t.Helper()
	text, err := readFrame(nc)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// readFrame reads the message of one frame, for testTimeout at most.
func readFrame(nc net.Conn) ([]byte, error) {
	if err := nc.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
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

// TestPlatformSecondTermSignal checks that a front end still answers its open RPC after a second SIGTERM, and exits
// with 0.
func TestPlatformSecondTermSignal(t *testing.T) {
	arrived, release := make(chan bool, 1), make(chan bool)
	worker := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
		if in.URL.Path == "/-/gauges" { // a check, which precedes the first call as discovery is unreachable
			return
		}
		arrived <- true
		select {
		case <-release:
		case <-in.Context().Done():
		}
		_, _ = io.WriteString(out, "hold7")
	}))
	defer worker.Close()
	address := unusedAddress(t)
	cmd, log := startPlatform(t, writeConfiguration(t, address, worker.Listener.Addr().String()))
	nc := connect(t, address)
	sendMessage(t, nc, "execute", 1, map[string]string{"method": "query", "rid": "0000000000000001", "budget": "2500", "acct": "acme",
		"obj": "00000000000000f1", "facts": "memory_mb:100;lanes:4"})
	select {
	case <-arrived:
	case <-time.After(testTimeout):
		t.Fatalf("the worker received no call: %s", log)
	}
	for range 2 {
		if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		sendMessage(t, nc, "check", 2, nil) // its response comes after the first signal and before the second
		receiveMessage(t, nc)
	}
	close(release)
	if got := receiveMessage(t, nc); !bytes.Contains(got, []byte("hold7")) {
		t.Errorf("got answer %q, want hold7", got)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("the front end exited with %v: %s", err, log)
	}
}

// TestPlatformWaitsForAddress checks that a front end waits until its predecessor frees the listen address, and then
// serves on it.
func TestPlatformWaitsForAddress(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cmd, log := startPlatform(t, writeConfiguration(t, l.Addr().String(), "127.0.0.1:1"))
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	select {
	case err := <-ended:
		t.Fatalf("the front end exited with %v while the address was taken: %s", err, log)
	case <-time.After(300 * time.Millisecond):
	}
	l.Close()
	nc := connect(t, l.Addr().String())
	for seq, deadline := int32(1), time.Now().Add(testTimeout); ; seq++ {
		sendMessage(t, nc, "check", seq, nil)
		if got := receiveMessage(t, nc); bytes.Contains(got, []byte{wire.BOOL, 0, 3, 1}) {
			break
		} else if time.Now().After(deadline) {
			t.Fatalf("the front end is not ready: %q", got)
		}
	}
	_ = cmd.Process.Kill()
	<-ended
}

// TestPlatformInvalidConfiguration checks that an invalid configuration gives exit code 2 and a message with file,
// location and reason.
func TestPlatformInvalidConfiguration(t *testing.T) {
	path := writeConfiguration(t, "127.0.0.1:0", "127.0.0.1:1")
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, want string }{
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
		cmd, log := startPlatform(t, bad)
		err := cmd.Wait()
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() != exitUsage {
			t.Errorf("%s: the front end exited with %v, want code 2", c.new, err)
		}
		if output := log.String(); !strings.Contains(output, bad) || !strings.Contains(output, c.want) {
			t.Errorf("%s: got message %s", c.new, output)
		}
	}
}
