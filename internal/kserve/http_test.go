package kserve_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	grpcstatus "google.golang.org/grpc/status"

	"mallowlanding/internal/certs/certstest"
	"mallowlanding/internal/gateway"
	"mallowlanding/internal/jsonrpc/jsontest"
	"mallowlanding/internal/kserve/oip"
	"mallowlanding/internal/record"
	"mallowlanding/internal/settings"
	"mallowlanding/internal/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// start runs a roster, a stand-in worker with models, and a front end with both fronts; it returns the folder of
// their sockets.
func start(t *testing.T) string {
	dir, _ := startAndStop(t)
	return dir
}

// startAndStop is start; stop tells the front end alone to leave.
func startAndStop(t *testing.T) (dir string, stop func()) {
	dir, err := os.MkdirTemp("", "ml")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	frontCtx, stop := context.WithCancel(ctx)
	var running sync.WaitGroup
	t.Cleanup(func() { stop(); cancel(); running.Wait(); os.RemoveAll(dir) })
	run := func(serve func(ready func()) error) {
		ready := make(chan struct{})
		running.Add(1)
		go func() {
			defer running.Done()
			if err := serve(func() { close(ready) }); err != nil {
				t.Error(err)
			}
		}()
		<-ready
	}
	files, err := filepath.Glob("testdata/*.xml")
	if err != nil || len(files) != 3 {
		t.Fatalf("%v, %v", files, err)
	}
	day := 24 * time.Hour
	ca := certstest.New(t, "ca", nil, time.Now().Add(-day), time.Now().Add(day))
	ca.Write(t, filepath.Join(dir, "ca.pem"), "")
	certstest.New(t, "localhost", ca, time.Now().Add(-day), time.Now().Add(day)).
		Write(t, filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"))
	for _, name := range []string{"app", "stranger"} {
		certstest.New(t, name, ca, time.Now().Add(-day), time.Now().Add(day)).
			Write(t, filepath.Join(dir, name+".pem"), filepath.Join(dir, name+".key"))
	}
	ports := map[string]string{}
	for _, name := range []string{"https", "grpcs"} { // free a moment ago
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		ports[name] = l.Addr().String()
		l.Close()
		if err := os.WriteFile(filepath.Join(dir, name), []byte(ports[name]), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		for name, address := range ports {
			text = bytes.ReplaceAll(text, []byte(strings.ToUpper(name)), []byte(address))
		}
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, filepath.Base(file)), bytes.ReplaceAll(text, []byte("DIR"), []byte(dir)), 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	rs, err := settings.ReadRoster(filepath.Join(dir, "roster.xml"))
	if err != nil {
		t.Fatal(err)
	}
	ws, err := settings.ReadWorker(filepath.Join(dir, "worker.xml"))
	if err != nil {
		t.Fatal(err)
	}
	fs, err := settings.ReadFrontEnd(filepath.Join(dir, "front.xml"))
	if err != nil {
		t.Fatal(err)
	}
	run(func(ready func()) error { return standin.Roster(ctx, rs, zerolog.Nop(), ready) })
	run(func(ready func()) error { return standin.Worker(ctx, ws, 0, zerolog.Nop(), ready) })
	run(func(ready func()) error { return gateway.Serve(frontCtx, fs, zerolog.Nop(), ready) })
	time.Sleep(100 * time.Millisecond) // the list comes
	return dir, stop
}

// Scenarios, each under a line of '== NAME':
//
//	> METHOD PATH         a request
//	> NAME: VALUE         a header of it
//	> "GO STRING"         a part of its body; > TEXT likewise as it is
//	< STATUS              its answer
//	< NAME: VALUE         a header of it
//	< TEXT                its JSON; "*" stands for anything
//	< "GO STRING"         the bytes behind the JSON
func TestHTTP(t *testing.T) {
	dir := start(t)
	transport := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "unix", filepath.Join(dir, "kserve.sock"))
	}}
	defer transport.CloseIdleConnections()
	text, err := os.ReadFile("testdata/http.txt")
	if err != nil {
		t.Fatal(err)
	}
	_, all, _ := strings.Cut("\n"+string(text), "\n== ")
	for part := range strings.SplitSeq(all, "\n== ") {
		name, steps, _ := strings.Cut(part, "\n")
		t.Run(name, func(t *testing.T) {
			if err := play(transport, strings.Split(steps, "\n")); err != nil {
				t.Error(err)
			}
		})
	}
}

func play(transport http.RoundTripper, lines []string) error {
	var r *http.Request
	var body, rest []byte
	var answer *http.Response
	for _, line := range lines {
		if len(line) < 3 {
			continue
		}
		what, value := line[:2], line[2:]
		literal, quoted := strconv.Unquote(value)
		header, headerValue, isHeader := strings.Cut(value, ": ")
		isHeader = isHeader && !strings.ContainsAny(header, `{" `)
		switch {
		case what == "> " && (strings.HasPrefix(value, "GET ") || strings.HasPrefix(value, "POST ")):
			method, path, _ := strings.Cut(value, " ")
			var err error
			if r, err = http.NewRequest(method, "http://front"+path, nil); err != nil {
				return err
			}
			body, answer = nil, nil
		case what == "> " && isHeader:
			r.Header.Set(header, headerValue)
		case what == "> " && quoted == nil:
			body = append(body, literal...)
		case what == "> ":
			body = append(body, value...)
		case what == "< " && answer == nil:
			r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
			var err error
			if answer, err = transport.RoundTrip(r); err != nil {
				return err
			}
			rest, err = io.ReadAll(answer.Body)
			answer.Body.Close()
			if err != nil {
				return err
			}
			if strconv.Itoa(answer.StatusCode) != value {
				return fmt.Errorf("%s %s: %d, %s", r.Method, r.URL.Path, answer.StatusCode, rest)
			}
			if n, err := strconv.Atoi(answer.Header.Get("Inference-Header-Content-Length")); err == nil {
				body, rest = rest[:n], rest[n:]
			} else {
				body, rest = rest, nil
			}
		case isHeader:
			if got := answer.Header.Get(header); got != headerValue && headerValue != "*" {
				return fmt.Errorf("header %s is %q", header, got)
			}
		case quoted == nil:
			if literal != string(rest) {
				return fmt.Errorf("behind the JSON: %q", rest)
			}
		default:
			if err := jsontest.Match(body, []byte(value)); err != nil {
				return err
			}
		}
	}
	return nil
}

// Over TLS a client is known by its certificate: what it may ask for, and whether it is let in at all.
func TestTLS(t *testing.T) {
	dir := start(t)
	text, err := os.ReadFile(filepath.Join(dir, "ca.pem"))
	if err != nil {
		t.Fatal(err)
	}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(text)
	config := func(name string) *tls.Config {
		c := &tls.Config{RootCAs: roots, ServerName: "localhost"}
		if name != "" {
			pair, err := tls.LoadX509KeyPair(filepath.Join(dir, name+".pem"), filepath.Join(dir, name+".key"))
			if err != nil {
				t.Fatal(err)
			}
			c.Certificates = []tls.Certificate{pair}
		}
		return c
	}
	address := func(name string) string {
		text, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil {
			t.Fatal(err)
		}
		return string(text)
	}
	for _, c := range []struct {
		client, model string
		status        int // 0: no answer
		code          codes.Code
	}{{"app", "sum", 200, codes.OK}, {"app", "unsafe", 403, codes.PermissionDenied},
		{"stranger", "sum", 403, codes.PermissionDenied}, {"", "sum", 0, codes.Unavailable}} {
		transport := &http.Transport{TLSClientConfig: config(c.client)}
		r, err := http.NewRequest("POST", "https://"+address("https")+"/v2/models/"+c.model+"/infer",
			strings.NewReader(`{"inputs":[{"name":"x","datatype":"FP32","shape":[1],"data":[1]}]}`))
		if err != nil {
			t.Fatal(err)
		}
		status := 0
		if answer, err := transport.RoundTrip(r); err == nil {
			status = answer.StatusCode
			answer.Body.Close()
		}
		transport.CloseIdleConnections()
		if status != c.status {
			t.Errorf("%+v: HTTP %d", c, status)
		}
		g, err := grpc.NewClient(address("grpcs"), grpc.WithTransportCredentials(credentials.NewTLS(config(c.client))))
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		_, err = oip.NewGRPCInferenceServiceClient(g).ModelInfer(ctx, &oip.ModelInferRequest{ModelName: c.model,
			Inputs: input("x", "FP32", &oip.InferTensorContents{Fp32Contents: []float32{1}}, 1)})
		cancel()
		g.Close()
		if grpcstatus.Code(err) != c.code {
			t.Errorf("%+v: gRPC %v", c, err)
		}
	}
}

// Infers that ride one call-out each have their own answer, also when one of them leaves.
func TestBatch(t *testing.T) {
	dir := start(t)
	transport := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "unix", filepath.Join(dir, "kserve.sock"))
	}}
	defer transport.CloseIdleConnections()
	ask := func(ctx context.Context, n int) error {
		body := fmt.Sprintf(`{"inputs":[{"name":"x","datatype":"INT32","shape":[1],"data":[%d]}]}`, n)
		r, err := http.NewRequestWithContext(ctx, "POST", "http://front/v2/models/together/infer", strings.NewReader(body))
		if err != nil {
			return err
		}
		answer, err := transport.RoundTrip(r)
		if err != nil {
			return err
		}
		defer answer.Body.Close()
		text, err := io.ReadAll(answer.Body)
		if err == nil && !strings.Contains(string(text), fmt.Sprintf(`"data":[%d]`, n)) {
			err = fmt.Errorf("RPC %d got %s", n, text)
		}
		return err
	}
	if err := ask(context.Background(), 0); err != nil { // it is loaded now
		t.Fatal(err)
	}
	worked := func() (n int) {
		seen, err := record.Read(filepath.Join(dir, "w.log"))
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range seen {
			if r.Kind == record.Worked {
				n++
			}
		}
		return n
	}
	before := worked()
	var all sync.WaitGroup
	for n := 1; n <= 4; n++ {
		all.Add(1)
		go func() {
			defer all.Done()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if n == 2 { // while it runs
				time.AfterFunc(60*time.Millisecond, cancel)
			}
			if err := ask(ctx, n); (err != nil) != (n == 2) {
				t.Error(err)
			}
		}()
	}
	all.Wait()
	if n := worked() - before; n < 1 || n > 3 {
		t.Errorf("four RPCs were %d call-outs' work", n)
	}
}

// A body over the bound is refused before it is read; a client that leaves has its RPC called off at the worker.
func TestLargeAndLeaving(t *testing.T) {
	dir := start(t)
	dial := func() net.Conn {
		nc, err := net.Dial("unix", filepath.Join(dir, "kserve.sock"))
		if err != nil {
			t.Fatal(err)
		}
		return nc
	}
	nc := dial()
	defer nc.Close()
	fmt.Fprintf(nc, "POST /v2/models/sum/infer HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000000\r\n\r\n")
	_ = nc.SetReadDeadline(time.Now().Add(5 * time.Second))
	head := make([]byte, 12)
	if _, err := io.ReadFull(nc, head); err != nil || string(head) != "HTTP/1.1 413" {
		t.Errorf("%q, %v", head, err)
	}
	body := `{"inputs":[{"name":"x","datatype":"FP32","shape":[1],"data":[1]}]}`
	leaver := dial()
	fmt.Fprintf(leaver, "POST /v2/models/unsafe/infer HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	time.Sleep(150 * time.Millisecond) // it runs
	leaver.Close()
	until := time.Now().Add(2 * time.Second)
	for {
		seen, err := record.Read(filepath.Join(dir, "w.log"))
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range seen {
			if r.Kind == record.Worked {
				if r.Time > 250 {
					t.Errorf("it ran on for %v ms", r.Time)
				}
				return
			}
		}
		if time.Now().After(until) {
			t.Fatalf("nothing ran, or goes on: %+v", seen)
		}
		time.Sleep(10 * time.Millisecond)
	}
}
