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

// startService runs a roster, a stand-in worker with models, and a front end that serves HTTP and gRPC. It returns the
// directory of their sockets.
func startService(t *testing.T) string {
	dir, _ := startServiceWithStop(t)
	return dir
}

// startServiceWithStop is startService; stop drains and stops only the front end.
func startServiceWithStop(t *testing.T) (dir string, stop func()) {
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
		t.Fatalf("settings in testdata: %v, %v, want 3 files", files, err)
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
	for _, name := range []string{"https", "grpcs"} { // ports that were free a moment ago
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
	time.Sleep(100 * time.Millisecond) // until the front end has the worker list
	return dir, stop
}

// TestHTTP runs the scripts of testdata/http.txt, each under a line '== NAME':
//
//	> METHOD PATH         a request
//	> NAME: VALUE         a header of the request
//	> "GO STRING"         a part of its body, unquoted
//	> TEXT                a part of its body, verbatim
//	< STATUS              the response's status
//	< NAME: VALUE         a header of the response; * stands for any value
//	< TEXT                its JSON; "*" stands for any value
//	< "GO STRING"         the binary data after the JSON
func TestHTTP(t *testing.T) {
	dir := startService(t)
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
			if err := runScript(transport, strings.Split(steps, "\n")); err != nil {
				t.Error(err)
			}
		})
	}
}

func runScript(transport http.RoundTripper, lines []string) error {
	var r *http.Request
	var body, binaryTail []byte
	var response *http.Response
	for _, line := range lines {
		if len(line) < 3 {
			continue
		}
		prefix, value := line[:2], line[2:]
		literal, unquoteErr := strconv.Unquote(value)
		header, headerValue, isHeader := strings.Cut(value, ": ")
		isHeader = isHeader && !strings.ContainsAny(header, `{" `)
		switch {
		case prefix == "> " && (strings.HasPrefix(value, "GET ") || strings.HasPrefix(value, "POST ")):
			method, path, _ := strings.Cut(value, " ")
			var err error
			if r, err = http.NewRequest(method, "http://front"+path, nil); err != nil {
				return err
			}
			body, response = nil, nil
		case prefix == "> " && isHeader:
			r.Header.Set(header, headerValue)
		case prefix == "> " && unquoteErr == nil:
			body = append(body, literal...)
		case prefix == "> ":
			body = append(body, value...)
		case prefix == "< " && response == nil:
			r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
			var err error
			if response, err = transport.RoundTrip(r); err != nil {
				return err
			}
			binaryTail, err = io.ReadAll(response.Body)
			response.Body.Close()
			if err != nil {
				return err
			}
			if strconv.Itoa(response.StatusCode) != value {
				return fmt.Errorf("%s %s: %d, %s", r.Method, r.URL.Path, response.StatusCode, binaryTail)
			}
			if n, err := strconv.Atoi(response.Header.Get("Inference-Header-Content-Length")); err == nil {
				body, binaryTail = binaryTail[:n], binaryTail[n:]
			} else {
				body, binaryTail = binaryTail, nil
			}
		case isHeader:
			if got := response.Header.Get(header); got != headerValue && headerValue != "*" {
				return fmt.Errorf("response header %s is %q", header, got)
			}
		case unquoteErr == nil:
			if literal != string(binaryTail) {
				return fmt.Errorf("binary data after the JSON: %q", binaryTail)
			}
		default:
			if err := jsontest.Match(body, []byte(value)); err != nil {
				return err
			}
		}
	}
	return nil
}

// Over TLS, a client's certificate decides which methods it may call. A client with a certificate that the settings
// don't list is rejected; one without a certificate gets no connection.
func TestTLS(t *testing.T) {
	dir := startService(t)
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
		status        int // HTTP status; 0: no response
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
		if response, err := transport.RoundTrip(r); err == nil {
			status = response.StatusCode
			response.Body.Close()
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
			Inputs: inferInput("x", "FP32", &oip.InferTensorContents{Fp32Contents: []float32{1}}, 1)})
		cancel()
		g.Close()
		if grpcstatus.Code(err) != c.code {
			t.Errorf("%+v: gRPC %v", c, err)
		}
	}
}

// Infer requests batched into one call-out get an answer each, even if one of their clients leaves.
func TestBatch(t *testing.T) {
	dir := startService(t)
	transport := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "unix", filepath.Join(dir, "kserve.sock"))
	}}
	defer transport.CloseIdleConnections()
	infer := func(ctx context.Context, n int) error {
		body := fmt.Sprintf(`{"inputs":[{"name":"x","datatype":"INT32","shape":[1],"data":[%d]}]}`, n)
		r, err := http.NewRequestWithContext(ctx, "POST", "http://front/v2/models/together/infer", strings.NewReader(body))
		if err != nil {
			return err
		}
		response, err := transport.RoundTrip(r)
		if err != nil {
			return err
		}
		defer response.Body.Close()
		text, err := io.ReadAll(response.Body)
		if err == nil && !strings.Contains(string(text), fmt.Sprintf(`"data":[%d]`, n)) {
			err = fmt.Errorf("RPC %d got %s", n, text)
		}
		return err
	}
	if err := infer(context.Background(), 0); err != nil { // the model is loaded from here on
		t.Fatal(err)
	}
	countWorked := func() (n int) {
		records, err := record.Read(filepath.Join(dir, "w.log"))
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range records {
			if r.Kind == record.WorkDone {
				n++
			}
		}
		return n
	}
	before := countWorked()
	var all sync.WaitGroup
	for n := 1; n <= 4; n++ {
		all.Add(1)
		go func() {
			defer all.Done()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if n == 2 { // while the batch runs
				time.AfterFunc(60*time.Millisecond, cancel)
			}
			if err := infer(ctx, n); (err != nil) != (n == 2) {
				t.Error(err)
			}
		}()
	}
	all.Wait()
	if n := countWorked() - before; n < 1 || n > 3 {
		t.Errorf("four RPCs took the work of %d call-outs, want 1 to 3", n)
	}
}

// A body over the bound is rejected before it is read. When a client disconnects, its RPC is cancelled at the worker.
func TestLargeBodyAndClientDisconnect(t *testing.T) {
	dir := startService(t)
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
		t.Errorf("body over the bound: response begins with %q, %v", head, err)
	}
	body := `{"inputs":[{"name":"x","datatype":"FP32","shape":[1],"data":[1]}]}`
	leaving := dial()
	fmt.Fprintf(leaving, "POST /v2/models/unsafe/infer HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	time.Sleep(150 * time.Millisecond) // the RPC runs by then
	leaving.Close()
	deadline := time.Now().Add(2 * time.Second)
	for {
		records, err := record.Read(filepath.Join(dir, "w.log"))
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range records {
			if r.Kind == record.WorkDone {
				if r.DurationMS > 250 {
					t.Errorf("the worker ran the cancelled RPC for %v ms", r.DurationMS)
				}
				return
			}
		}
		if time.Now().After(deadline) {
			t.Fatalf("the RPC never ran, or still runs: %+v", records)
		}
		time.Sleep(10 * time.Millisecond)
	}
}
