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

// callers are the clients of a day: an open loop whose arrivals don't wait for answers.
type callers struct {
	s     *settings.Scenario
	fleet *fleet
	keep  func(record.Record)
	start time.Time

	mu      sync.Mutex
	book    *scenario.Tallies
	pools   []*pool
	dead    []time.Time // since when a front end is known to be dead
	open    sync.WaitGroup
	lookups map[string]*settings.Method
	share   int // of the arrivals: each of-th, from this one on
	of      int // 0: all
	grpc    []oip.GRPCInferenceServiceClient
	dials   []*grpc.ClientConn
}

// pool is the connections to one front end; each carries many RPCs.
type pool struct {
	c     *callers
	i     int
	mu    sync.Mutex
	conns []*jsonrpc.Caller
	next  int
}

func newCallers(s *settings.Scenario, f *fleet, keep func(record.Record)) (*callers, error) {
	c := &callers{s: s, fleet: f, keep: keep, book: scenario.NewTallies(s), lookups: map[string]*settings.Method{},
		dead: make([]time.Time, s.Fleet.FrontEnds)}
	for i := range s.Service.Methods {
		m := &s.Service.Methods[i]
		c.lookups[m.Name] = m
	}
	for i := range s.Fleet.FrontEnds {
		c.pools = append(c.pools, &pool{c: c, i: i, conns: make([]*jsonrpc.Caller, s.Callers.Connections)})
		cc, err := grpc.NewClient("unix:"+f.grpcSocket(i), grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithConnectParams(grpc.ConnectParams{Backoff: redial, MinConnectTimeout: time.Second}))
		if err != nil {
			return nil, err
		}
		c.dials = append(c.dials, cc)
		c.grpc = append(c.grpc, oip.NewGRPCInferenceServiceClient(cc))
	}
	return c, nil
}

// redial is how soon gRPC clients look for a front end again that was gone.
var redial = backoff.Config{BaseDelay: 20 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: 300 * time.Millisecond}

// close ends the connections that outlive an RPC.
func (c *callers) close() {
	for _, cc := range c.dials {
		cc.Close()
	}
}

// get gives a connection, made anew where it broke.
func (p *pool) get(ctx context.Context) (*jsonrpc.Caller, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next = (p.next + 1) % len(p.conns)
	if c := p.conns[p.next]; c != nil && !c.Closed() {
		return c, nil
	}
	c, err := p.dial(ctx)
	if err == nil {
		p.conns[p.next] = c
	}
	return c, err
}

// dial makes a connection.
func (p *pool) dial(ctx context.Context) (*jsonrpc.Caller, error) {
	nc, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "unix", p.c.fleet.socket(p.i))
	if err != nil {
		return nil, err
	}
	c := jsonrpc.NewCaller(nc, 1<<24)
	c.Streaming = true
	p.c.open.Add(1)
	go func() {
		defer p.c.open.Done()
		_ = c.Run(ctx)
	}()
	return c, nil
}

// pick is the plain layer before the front ends.
func (c *callers) pick(rng *rand.Rand) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return scenario.ChooseFrontEnd(rng, len(c.dead), func(i int) time.Duration {
		if c.dead[i].IsZero() {
			return -1
		}
		return time.Since(c.dead[i])
	}, eventloop.ToDuration(c.s.Callers.Notice))
}

// front notes that a front end died or is back.
func (c *callers) front(i int, dead bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead[i] = (time.Time{}); dead {
		c.dead[i] = time.Now()
	}
}

// run sends the day's load and waits until all is answered or given up.
func (c *callers) run(ctx context.Context) {
	arrivals := scenario.NewArrivals(c.s)
	c.start = time.Now()
	var rpcs sync.WaitGroup
	for ctx.Err() == nil {
		a, more := arrivals.Next()
		if !more {
			break
		}
		if c.of > 1 && a.N%c.of != c.share { // another process's
			continue
		}
		if wait := time.Until(c.start.Add(a.At)); wait > 0 {
			time.Sleep(wait)
		}
		rpcs.Add(1)
		go func() {
			defer rpcs.Done()
			c.one(ctx, a)
		}()
	}
	rpcs.Wait()
}

// one is one client's RPC with its repeats.
func (c *callers) one(ctx context.Context, a scenario.Arrival) {
	m := c.lookups[a.Mix.Method]
	cl := scenario.NewClient(c.s, m, a)
	began := c.start.Add(a.At)
	deadline := began.Add(eventloop.ToDuration(m.Deadline))
	outcome := scenario.Lost
	for try := 0; ctx.Err() == nil; try++ {
		span, repeat, goes := cl.Try(time.Since(c.start), time.Until(deadline))
		if !goes {
			break
		}
		var sent bool
		var comeBack time.Duration
		outcome, sent, comeBack = c.try(ctx, c.pick(cl.Rand()), fmt.Sprintf("%d/%d", a.N, try), cl, a, span, repeat)
		wait, again := cl.Retry(time.Since(c.start), outcome, sent, comeBack)
		if !again {
			break
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	if outcome == scenario.Quit { // it wants nothing any more
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.book.Count(m, a.At, outcome, time.Since(began))
}

// try sends one RPC and waits for its answer, for its time and some more: late answers are seen, too.
func (c *callers) try(ctx context.Context, front int, mark string, cl *scenario.Client, a scenario.Arrival, span time.Duration,
	repeat bool) (outcome string, sent bool, comeBack time.Duration) {
	m, mix, function, token := cl.Method, a.Mix, a.Function, cl.Token
	if mix.Protocol != jsonRPC && !a.Once {
		keep, ms := c.keeper(front, mark, token, function, m, span)
		if mix.Protocol == "grpc" {
			return c.tryGRPC(ctx, front, mark, token, function, mix, m, ms, keep)
		}
		return c.tryHTTP(ctx, front, mark, token, function, mix, m, ms, keep)
	}
	patience, closes, impatient := cl.Impatient()
	var conn *jsonrpc.Caller
	var err error
	if impatient { // it has a connection of its own, and may close that
		conn, err = c.pools[front].dial(ctx)
	} else {
		conn, err = c.pools[front].get(ctx)
	}
	if err != nil {
		return "lost", false, 0
	}
	b := jsonrpc.AppendString([]byte(`{"function":`), function)
	if mix.Customer != "" {
		b = jsonrpc.AppendString(append(b, `,"customer":`...), mix.Customer)
	}
	if m.Effect == router.Tokened {
		b = jsonrpc.AppendString(append(b, `,"token":`...), token)
	}
	if repeat {
		b = append(b, `,"repeat":true`...)
	}
	keep, ms := c.keeper(front, mark, token, function, m, span)
	b = strconv.AppendFloat(append(b, `,"time_ms":`...), ms, 'f', 1, 64)
	b = append(jsonrpc.AppendString(append(b, `,"payload":{"mark":`...), mark), "}}"...)
	keep(record.RPCSent, "")
	got := make(chan jsonrpc.Response, 1)
	var answers atomic.Int32
	var left atomic.Bool
	conn.CallAsync(m.Name, b, func(a jsonrpc.Response) {
		// noted here, by the reader: also when nobody waits any more, and answers beyond the first
		switch answered := answers.Add(1) > 1; {
		case a.Err == nil:
			keep(record.RPCAnswered, outcomeOf(a.Code))
		case !answered && !left.Load():
			keep(record.ConnectionLost, "")
		}
		select {
		case got <- a:
		default:
		}
	})
	gone := make(<-chan time.Time)
	if impatient {
		defer conn.Close()
		gone = time.After(patience)
	}
	select {
	case <-gone:
		left.Store(true)
		if closes {
			keep(record.ClientLeft, "")
			return "quit", true, 0
		}
		conn.Notify("rpc.cancel", []byte(`{"id":1}`))
		keep(record.ClientLeft, "")
		select { // its one answer is still owed
		case <-got:
		case <-time.After(span):
		}
		return "quit", true, 0
	case a := <-got:
		if a.Err != nil {
			return "lost", true, 0
		}
		if comeBackMs, is := jsonrpc.ParseNumber(jsontext.Value(jsonrpc.Member(a.Data, "come_back_ms"))); is {
			comeBack = time.Duration(comeBackMs * float64(time.Millisecond))
		}
		return outcomeOf(a.Code), true, comeBack
	case <-time.After(span):
		return "lost", true, 0
	case <-ctx.Done():
		return "quit", true, 0
	}
}

// keeper keeps records of one try; ms is how long its client waits, as it is told.
func (c *callers) keeper(front int, mark, token, function string, m *settings.Method, span time.Duration) (
	keep func(kind, outcome string), ms float64) {
	ms = math.Floor(float64(span)/1e5) / 10
	return func(kind, outcome string) {
		c.keep(record.Record{UnixNS: time.Now().UnixNano(), Source: "client", FrontEnd: frontEnd(front), RPC: mark, Method: m.Name,
			Function: function, Token: token, DurationMS: ms, Kind: kind, Outcome: outcome})
	}, ms
}

// slack is how long a client looks for an answer once its time is up: late ones are seen, too.
func (c *callers) slack() time.Duration { return eventloop.ToDuration(c.s.Slack) + time.Second }

// tryGRPC is try over the second front's gRPC; a connection carries many RPCs.
func (c *callers) tryGRPC(ctx context.Context, front int, mark, token, function string, mix settings.Mix,
	m *settings.Method, ms float64, keep func(kind, outcome string)) (outcome string, sent bool, comeBack time.Duration) {
	headers := []string{"inference-timeout-ms", strconv.FormatFloat(ms, 'f', 1, 64)}
	if m.Effect == router.Tokened {
		headers = append(headers, "idempotency-key", token)
	}
	if mix.Customer != "" {
		headers = append(headers, "inference-customer", mix.Customer)
	}
	ctx, end := context.WithTimeout(metadata.AppendToOutgoingContext(ctx, headers...),
		time.Duration(ms*float64(time.Millisecond))+c.slack())
	defer end()
	keep(record.RPCSent, "")
	_, err := c.grpc[front].ModelInfer(ctx, &oip.ModelInferRequest{ModelName: function,
		Parameters: map[string]*oip.InferParameter{"mark": {ParameterChoice: &oip.InferParameter_StringParam{StringParam: mark}}},
		Inputs: []*oip.ModelInferRequest_InferInputTensor{{Name: "x", Datatype: "INT32", Shape: []int64{1},
			Contents: &oip.InferTensorContents{IntContents: []int32{1}}}}})
	switch st := status.Convert(err); st.Code() {
	case codes.OK:
		outcome = "ok"
	case codes.Unavailable:
		for _, d := range st.Details() { // without it, nobody answered
			if info, is := d.(*errdetails.RetryInfo); is {
				outcome, comeBack = "denied", info.RetryDelay.AsDuration()
			}
		}
	case codes.Unknown:
		outcome = "aborted"
	default:
		outcome = "error " + st.Code().String()
	}
	if outcome == "" {
		keep(record.ConnectionLost, "")
		return "lost", true, 0
	}
	keep(record.RPCAnswered, outcome)
	return outcome, true, comeBack
}

// tryHTTP is try over the second front's HTTP.
func (c *callers) tryHTTP(ctx context.Context, front int, mark, token, function string, mix settings.Mix,
	m *settings.Method, ms float64, keep func(kind, outcome string)) (outcome string, sent bool, comeBack time.Duration) {
	body := fmt.Sprintf(`{"parameters":{"mark":%q},"inputs":[{"name":"x","datatype":"INT32","shape":[1],"data":[1]}]}`, mark)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://front/v2/models/"+function+"/infer", strings.NewReader(body))
	if err != nil {
		return "lost", false, 0
	}
	r.Header.Set("Inference-Timeout-Ms", strconv.FormatFloat(ms, 'f', 1, 64))
	if m.Effect == router.Tokened {
		r.Header.Set("Idempotency-Key", token)
	}
	if mix.Customer != "" {
		r.Header.Set("Inference-Customer", mix.Customer)
	}
	// a connection of its own: a pooled one that the front end closes would be tried again by the library
	nc, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "unix", c.fleet.httpSocket(front))
	if err != nil {
		return "lost", false, 0
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(time.Duration(ms*float64(time.Millisecond)) + c.slack()))
	keep(record.RPCSent, "")
	r.Close = true
	if err = r.Write(nc); err == nil {
		var answer *http.Response
		if answer, err = http.ReadResponse(bufio.NewReader(nc), r); err == nil {
			_, err = io.Copy(io.Discard, answer.Body)
			answer.Body.Close()
			switch answer.StatusCode {
			case http.StatusOK:
				outcome = "ok"
			case http.StatusServiceUnavailable:
				outcome = "denied"
			case http.StatusInternalServerError:
				outcome = "aborted"
			default:
				outcome = "error " + answer.Status
			}
		}
	}
	if err != nil {
		keep(record.ConnectionLost, "")
		return "lost", true, 0
	}
	keep(record.RPCAnswered, outcome)
	return outcome, true, 0
}

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
