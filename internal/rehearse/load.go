package rehearse

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-json-experiment/json/jsontext"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"mallowlanding/internal/clients"
	"mallowlanding/internal/eventloop"
	"mallowlanding/internal/jsonrpc"
	"mallowlanding/internal/kserve/oip"
	"mallowlanding/internal/record"
	"mallowlanding/internal/scenario"
	"mallowlanding/internal/settings"
	"mallowlanding/router"
)

// loadGenerator plays the clients of a scenario, in an open loop: arrivals do not wait for answers.
type loadGenerator struct {
	scenario  *settings.Scenario
	fleet     *fleet
	addRecord func(record.Record)
	start     time.Time

	mu          sync.Mutex
	tallies     *scenario.Tallies
	pools       []*connPool
	deadSince   []time.Time // by front end; zero: it runs
	readers     sync.WaitGroup
	methods     map[string]*settings.Method
	shareIndex  int // every shareCount-th arrival is sent, from this number on
	shareCount  int // 0: all arrivals are sent
	grpcClients []oip.GRPCInferenceServiceClient
	grpcConns   []*grpc.ClientConn
}

// connPool holds the JSON-RPC connections to one front end; each carries many RPCs.
type connPool struct {
	generator *loadGenerator
	frontEnd  int
	mu        sync.Mutex
	conns     []*jsonrpc.Caller
	next      int
}

func newLoadGenerator(s *settings.Scenario, f *fleet, addRecord func(record.Record)) (*loadGenerator, error) {
	g := &loadGenerator{scenario: s, fleet: f, addRecord: addRecord, tallies: scenario.NewTallies(s), methods: map[string]*settings.Method{},
		deadSince: make([]time.Time, s.Fleet.FrontEnds)}
	for i := range s.Service.Methods {
		m := &s.Service.Methods[i]
		g.methods[m.Name] = m
	}
	for i := range s.Fleet.FrontEnds {
		g.pools = append(g.pools, &connPool{generator: g, frontEnd: i, conns: make([]*jsonrpc.Caller, s.Callers.Connections)})
		conn, err := grpc.NewClient("unix:"+f.grpcSocket(i), grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithConnectParams(grpc.ConnectParams{Backoff: redialBackoff, MinConnectTimeout: time.Second}))
		if err != nil {
			return nil, err
		}
		g.grpcConns = append(g.grpcConns, conn)
		g.grpcClients = append(g.grpcClients, oip.NewGRPCInferenceServiceClient(conn))
	}
	return g, nil
}

// redialBackoff bounds how soon gRPC clients reconnect to a front end that restarted.
var redialBackoff = backoff.Config{BaseDelay: 20 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: 300 * time.Millisecond}

// close closes the gRPC connections.
func (g *loadGenerator) close() {
	for _, conn := range g.grpcConns {
		conn.Close()
	}
}

// get returns the next connection in turn, and replaces it if it is closed.
func (p *connPool) get(ctx context.Context) (*jsonrpc.Caller, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next = (p.next + 1) % len(p.conns)
	if conn := p.conns[p.next]; conn != nil && !conn.Closed() {
		return conn, nil
	}
	conn, err := p.dial(ctx)
	if err == nil {
		p.conns[p.next] = conn
	}
	return conn, err
}

// dial opens a connection.
func (p *connPool) dial(ctx context.Context) (*jsonrpc.Caller, error) {
	nc, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "unix", p.generator.fleet.jsonRPCSocket(p.frontEnd))
	if err != nil {
		return nil, err
	}
	conn := jsonrpc.NewCaller(nc, 1<<24)
	conn.Streaming = true
	p.generator.readers.Add(1)
	go func() {
		defer p.generator.readers.Done()
		_ = conn.Run(ctx)
	}()
	return conn, nil
}

// pickFrontEnd chooses a front end at random, as a plain load balancer in front of them would; dead ones are left out
// after the notice time.
func (g *loadGenerator) pickFrontEnd(rng *rand.Rand) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return scenario.ChooseFrontEnd(rng, len(g.deadSince), func(i int) time.Duration {
		if g.deadSince[i].IsZero() {
			return -1
		}
		return time.Since(g.deadSince[i])
	}, eventloop.ToDuration(g.scenario.Callers.Notice))
}

// setFrontEndDead records whether a front end is dead or runs.
func (g *loadGenerator) setFrontEndDead(i int, dead bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.deadSince[i] = (time.Time{}); dead {
		g.deadSince[i] = time.Now()
	}
}

// run sends the scenario's load and waits until every RPC is answered or its client has given up.
func (g *loadGenerator) run(ctx context.Context) {
	arrivals := scenario.NewArrivals(g.scenario)
	g.start = time.Now()
	var rpcs sync.WaitGroup
	for ctx.Err() == nil {
		arrival, more := arrivals.Next()
		if !more {
			break
		}
		if g.shareCount > 1 && arrival.N%g.shareCount != g.shareIndex { // sent by another process
			continue
		}
		if wait := time.Until(g.start.Add(arrival.At)); wait > 0 {
			time.Sleep(wait)
		}
		rpcs.Add(1)
		go func() {
			defer rpcs.Done()
			g.runClient(ctx, arrival)
		}()
	}
	rpcs.Wait()
}

// runClient sends one client's RPC, with its repeats, and counts the result.
func (g *loadGenerator) runClient(ctx context.Context, arrival scenario.Arrival) {
	method := g.methods[arrival.Mix.Method]
	client := scenario.NewClient(g.scenario, method, arrival)
	began := g.start.Add(arrival.At)
	deadline := began.Add(eventloop.ToDuration(method.Deadline))
	outcome := scenario.Lost
	for try := 0; ctx.Err() == nil; try++ {
		timeout, repeat, ok := client.Try(time.Since(g.start), time.Until(deadline))
		if !ok {
			break
		}
		var sent bool
		var retryAfter time.Duration
		outcome, sent, retryAfter = g.sendTry(ctx, g.pickFrontEnd(client.Rand()), fmt.Sprintf("%d/%d", arrival.N, try), client, arrival, timeout, repeat)
		wait, retry := client.Retry(time.Since(g.start), outcome, sent, retryAfter)
		if !retry {
			break
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	if outcome == scenario.Quit { // the client left: not counted
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tallies.Count(method, arrival.At, outcome, time.Since(began))
}

// sendTry sends one try of an RPC and waits for its answer until the timeout. Later answers are still recorded.
func (g *loadGenerator) sendTry(ctx context.Context, frontEnd int, mark string, client *scenario.Client, arrival scenario.Arrival, timeout time.Duration,
	repeat bool) (outcome string, sent bool, retryAfter time.Duration) {
	m, mix, function, token := client.Method, arrival.Mix, arrival.Function, client.Token
	if mix.Protocol != jsonRPCProtocol && !arrival.Once {
		addRecord, timeoutMs := g.tryRecorder(frontEnd, mark, token, function, m, timeout)
		if mix.Protocol == "grpc" {
			return g.sendGRPC(ctx, frontEnd, mark, token, function, mix, m, timeoutMs, addRecord)
		}
		return g.sendHTTP(ctx, frontEnd, mark, token, function, mix, m, timeoutMs, addRecord)
	}
	leaveAfter, closes, impatient := client.Impatient()
	var conn *jsonrpc.Caller
	var err error
	if impatient { // it uses a connection of its own, which it may close
		conn, err = g.pools[frontEnd].dial(ctx)
	} else {
		conn, err = g.pools[frontEnd].get(ctx)
	}
	if err != nil {
		return "lost", false, 0
	}
	params := jsonrpc.AppendString([]byte(`{"function":`), function)
	if mix.Customer != "" {
		params = jsonrpc.AppendString(append(params, `,"customer":`...), mix.Customer)
	}
	if m.Effect == router.Tokened {
		params = jsonrpc.AppendString(append(params, `,"token":`...), token)
	}
	if repeat {
		params = append(params, `,"repeat":true`...)
	}
	addRecord, timeoutMs := g.tryRecorder(frontEnd, mark, token, function, m, timeout)
	params = strconv.AppendFloat(append(params, `,"time_ms":`...), timeoutMs, 'f', 1, 64)
	params = jsonrpc.AppendString(append(params, `,"payload":{"mark":`...), mark)
	if mix.PayloadBytes > 0 {
		params = jsonrpc.AppendString(append(params, `,"fill":`...), strings.Repeat("x", mix.PayloadBytes))
	}
	params = append(params, "}}"...)
	addRecord(record.RPCSent, "")
	first := make(chan jsonrpc.Response, 1)
	var answers atomic.Int32
	var clientLeft atomic.Bool
	conn.CallAsync(m.Name, params, func(resp jsonrpc.Response) {
		// The connection's reader records each answer, also one that comes late or is not the first.
		switch repeated := answers.Add(1) > 1; {
		case resp.Err == nil:
			addRecord(record.RPCAnswered, outcomeOf(resp.Code))
		case !repeated && !clientLeft.Load():
			addRecord(record.ConnectionLost, "")
		}
		select {
		case first <- resp:
		default:
		}
	})
	leave := make(<-chan time.Time)
	if impatient {
		defer conn.Close()
		leave = time.After(leaveAfter)
	}
	select {
	case <-leave:
		clientLeft.Store(true)
		if closes {
			addRecord(record.ClientLeft, "")
			return "quit", true, 0
		}
		conn.Notify("rpc.cancel", []byte(`{"id":1}`))
		addRecord(record.ClientLeft, "")
		select { // a cancelled RPC must still be answered
		case <-first:
		case <-time.After(timeout):
		}
		return "quit", true, 0
	case resp := <-first:
		if resp.Err != nil {
			return "lost", true, 0
		}
		if retryAfterMs, ok := jsonrpc.ParseNumber(jsontext.Value(jsonrpc.Member(resp.Data, "come_back_ms"))); ok {
			retryAfter = time.Duration(retryAfterMs * float64(time.Millisecond))
		}
		return outcomeOf(resp.Code), true, retryAfter
	case <-time.After(timeout):
		return "lost", true, 0
	case <-ctx.Done():
		return "quit", true, 0
	}
}

// tryRecorder returns a function that records the events of one try, and the timeout in ms that the request states.
func (g *loadGenerator) tryRecorder(frontEnd int, mark, token, function string, m *settings.Method, timeout time.Duration) (
	addRecord func(kind, outcome string), timeoutMs float64) {
	timeoutMs = math.Floor(float64(timeout)/1e5) / 10
	return func(kind, outcome string) {
		g.addRecord(record.Record{UnixNS: time.Now().UnixNano(), Source: "client", FrontEnd: frontEndName(frontEnd), RPC: mark, Method: m.Name,
			Function: function, Token: token, DurationMS: timeoutMs, Kind: kind, Outcome: outcome})
	}, timeoutMs
}

// slack is how long a client waits beyond its timeout, so that late answers are recorded, too.
func (g *loadGenerator) slack() time.Duration {
	return eventloop.ToDuration(g.scenario.Slack) + time.Second
}

// sendGRPC is sendTry over KServe's gRPC; one connection carries many RPCs.
func (g *loadGenerator) sendGRPC(ctx context.Context, frontEnd int, mark, token, function string, mix settings.Mix,
	m *settings.Method, timeoutMs float64, addRecord func(kind, outcome string)) (outcome string, sent bool, retryAfter time.Duration) {
	headers := []string{"inference-timeout-ms", strconv.FormatFloat(timeoutMs, 'f', 1, 64)}
	if m.Effect == router.Tokened {
		headers = append(headers, "idempotency-key", token)
	}
	if mix.Customer != "" {
		headers = append(headers, "inference-customer", mix.Customer)
	}
	ctx, cancel := context.WithTimeout(metadata.AppendToOutgoingContext(ctx, headers...),
		time.Duration(timeoutMs*float64(time.Millisecond))+g.slack())
	defer cancel()
	addRecord(record.RPCSent, "")
	_, err := g.grpcClients[frontEnd].ModelInfer(ctx, &oip.ModelInferRequest{ModelName: function,
		Parameters: map[string]*oip.InferParameter{"mark": {ParameterChoice: &oip.InferParameter_StringParam{StringParam: mark}}},
		Inputs: []*oip.ModelInferRequest_InferInputTensor{{Name: "x", Datatype: "INT32", Shape: []int64{1},
			Contents: &oip.InferTensorContents{IntContents: []int32{1}}}}})
	switch st := status.Convert(err); st.Code() {
	case codes.OK:
		outcome = "ok"
	case codes.Unavailable:
		for _, d := range st.Details() { // without RetryInfo, the status is not an answer of the front end
			if info, ok := d.(*errdetails.RetryInfo); ok {
				outcome, retryAfter = "denied", info.RetryDelay.AsDuration()
			}
		}
	case codes.Unknown:
		outcome = "aborted"
	default:
		outcome = "error " + st.Code().String()
	}
	if outcome == "" {
		addRecord(record.ConnectionLost, "")
		return "lost", true, 0
	}
	addRecord(record.RPCAnswered, outcome)
	return outcome, true, retryAfter
}

// sendHTTP is sendTry over KServe's HTTP.
func (g *loadGenerator) sendHTTP(ctx context.Context, frontEnd int, mark, token, function string, mix settings.Mix,
	m *settings.Method, timeoutMs float64, addRecord func(kind, outcome string)) (outcome string, sent bool, retryAfter time.Duration) {
	body := fmt.Sprintf(`{"parameters":{"mark":%q},"inputs":[{"name":"x","datatype":"INT32","shape":[1],"data":[1]}]}`, mark)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://front/v2/models/"+function+"/infer", strings.NewReader(body))
	if err != nil {
		return "lost", false, 0
	}
	req.Header.Set("Inference-Timeout-Ms", strconv.FormatFloat(timeoutMs, 'f', 1, 64))
	if m.Effect == router.Tokened {
		req.Header.Set("Idempotency-Key", token)
	}
	if mix.Customer != "" {
		req.Header.Set("Inference-Customer", mix.Customer)
	}
	// The request has a connection of its own: net/http would send it again if the front end closed a pooled
	// connection.
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "unix", g.fleet.httpSocket(frontEnd))
	if err != nil {
		return "lost", false, 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Duration(timeoutMs*float64(time.Millisecond)) + g.slack()))
	addRecord(record.RPCSent, "")
	req.Close = true
	if err = req.Write(conn); err == nil {
		var resp *http.Response
		if resp, err = http.ReadResponse(bufio.NewReader(conn), req); err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			switch resp.StatusCode {
			case http.StatusOK:
				outcome = "ok"
			case http.StatusServiceUnavailable:
				outcome = "denied"
			case http.StatusInternalServerError:
				outcome = "aborted"
			default:
				outcome = "error " + resp.Status
			}
		}
	}
	if err != nil {
		addRecord(record.ConnectionLost, "")
		return "lost", true, 0
	}
	addRecord(record.RPCAnswered, outcome)
	return outcome, true, 0
}

// outcomeOf returns the outcome that a JSON-RPC error code stands for; 0 is a result.
func outcomeOf(code int) string {
	switch code {
	case 0:
		return "ok"
	case clients.Denied:
		return "denied"
	case clients.Aborted:
		return "aborted"
	}
	return "error " + strconv.Itoa(code)
}
