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

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-json-experiment/json/jsontext"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"mallowlanding/internal/clients"
	"mallowlanding/internal/jsonrpc"
	"mallowlanding/internal/kserve/oip"
	"mallowlanding/internal/record"
	"mallowlanding/internal/settings"
	"mallowlanding/internal/turn"
	"mallowlanding/router"
)

// tally sums up what became of one method's first tries, each with its repeats.
type tally struct {
	Asked, OK, Late, Denied, Aborted, Lost int
	GainAsked, GainKept                    float64
	latency                                *hdrhistogram.Histogram // of ok, in microseconds
}

func newTally() *tally { return &tally{latency: hdrhistogram.New(1, 120e6, 3)} }

// callers are the clients of a day: an open loop whose arrivals don't wait for answers.
type callers struct {
	s     *settings.Scenario
	fleet *fleet
	keep  func(record.Record)
	start time.Time

	mu      sync.Mutex
	methods map[string]*tally
	seconds []*tally
	pools   []*pool
	dead    []time.Time // since when a front end is known to be dead
	open    sync.WaitGroup
	lookups map[string]*settings.Method
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
	c := &callers{s: s, fleet: f, keep: keep, methods: map[string]*tally{}, lookups: map[string]*settings.Method{},
		dead: make([]time.Time, s.Fleet.FrontEnds)}
	for i := range s.Service.Methods {
		m := &s.Service.Methods[i]
		c.lookups[m.Name] = m
		c.methods[m.Name] = newTally()
	}
	for range int(turn.Duration(s.Length)/time.Second) + 1 {
		c.seconds = append(c.seconds, newTally())
	}
	for i := range s.Fleet.FrontEnds {
		c.pools = append(c.pools, &pool{c: c, i: i, conns: make([]*jsonrpc.Caller, s.Clients.Connections)})
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
	if c := p.conns[p.next]; c != nil && !c.Over() {
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
	c.Watch = true
	p.c.open.Add(1)
	go func() {
		defer p.c.open.Done()
		_ = c.Run(ctx)
	}()
	return c, nil
}

// pick is the plain layer before the front ends: each in turn by chance, dead ones left out once that was noticed.
func (c *callers) pick(rng *rand.Rand) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	notice := turn.Duration(c.s.Clients.Notice)
	var alive []int
	for i, since := range c.dead {
		if since.IsZero() || time.Since(since) < notice {
			alive = append(alive, i)
		}
	}
	if len(alive) == 0 {
		return rng.Intn(len(c.dead))
	}
	return alive[rng.Intn(len(alive))]
}

// front notes that a front end died or is back.
func (c *callers) front(i int, dead bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead[i] = (time.Time{}); dead {
		c.dead[i] = time.Now()
	}
}

// rateAt is the arrivals a second at a moment of the day, and the share that is for functions wanted once.
func (c *callers) rateAt(at router.Time) (rate, once float64) {
	rate = c.s.Load.Rate
	for _, t := range c.s.Troubles {
		if at < t.At || at >= t.At+t.For {
			continue
		}
		switch t.Kind {
		case "burst":
			rate *= t.Size
		case "scan":
			once = t.Part
		}
	}
	return rate, once
}

// run sends the day's load and waits until all is answered or given up.
func (c *callers) run(ctx context.Context) {
	rng := rand.New(rand.NewSource(c.s.Seed))
	zipf := rand.NewZipf(rng, c.s.Load.Zipf, 1, uint64(c.s.Load.Functions-1))
	length := turn.Duration(c.s.Length)
	c.start = time.Now()
	var rpcs sync.WaitGroup
	at := time.Duration(0)
	for n := 0; n < c.s.Load.Most && ctx.Err() == nil; n++ {
		rate, once := c.rateAt(turn.Span(at))
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= length {
			break
		}
		method := c.s.Load.Mix[len(c.s.Load.Mix)-1]
		for x, i := rng.Float64(), 0; i < len(c.s.Load.Mix); i++ {
			if x -= c.s.Load.Mix[i].Share; x < 0 {
				method = c.s.Load.Mix[i]
				break
			}
		}
		function := fmt.Sprintf("%s-%d", method.Method, zipf.Uint64())
		if rng.Float64() < once {
			function = fmt.Sprintf("%s-once-%d", method.Method, n)
		}
		seed, due := rng.Int63(), at
		if wait := time.Until(c.start.Add(at)); wait > 0 {
			time.Sleep(wait)
		}
		rpcs.Add(1)
		go func() {
			defer rpcs.Done()
			c.one(ctx, n, seed, due, method, function)
		}()
	}
	rpcs.Wait()
}

// one is one client's RPC with its repeats.
func (c *callers) one(ctx context.Context, n int, seed int64, due time.Duration, mix settings.Mix, function string) {
	rng := rand.New(rand.NewSource(seed))
	m := c.lookups[mix.Method]
	began := c.start.Add(due)
	deadline := began.Add(turn.Duration(m.Deadline))
	token := fmt.Sprintf("t%d-%d", c.s.Seed, n)
	outcome := "lost"
	firstSent := time.Time{}
	for try := 0; try <= c.s.Clients.Retries && ctx.Err() == nil; try++ {
		left := time.Until(deadline)
		if left <= 0 {
			break
		}
		span := time.Duration(float64(turn.Duration(m.Deadline)) *
			(c.s.Clients.TryShare + (1-c.s.Clients.TryShare)*rng.Float64()))
		span = min(span, left)
		mark := fmt.Sprintf("%d/%d", n, try)
		if firstSent.IsZero() {
			firstSent = time.Now()
		}
		var comeBack time.Duration
		var sent bool
		outcome, sent, comeBack = c.try(ctx, c.pick(rng), mark, token, function, mix, m, span, try > 0, rng)
		if outcome == "ok" || outcome == "quit" {
			break
		}
		// idempotent ones go again after any failure, tokened ones of one group within their window, others only
		// after a denial or where nothing was sent
		again := !sent || outcome == "denied" || m.Effect == router.Idempotent ||
			m.Effect == router.Tokened && m.Group == "all" && time.Since(firstSent) < turn.Duration(m.Window)/2
		if !again {
			break
		}
		wait := turn.Duration(c.s.Clients.BackOff)
		if comeBack > 0 && rng.Float64() < c.s.Clients.Heed {
			wait = comeBack
		}
		select {
		case <-time.After(time.Duration(float64(wait) * (0.5 + rng.Float64()))):
		case <-ctx.Done():
		}
	}
	if outcome == "quit" { // it wants nothing any more
		return
	}
	took := time.Since(began)
	c.mu.Lock()
	defer c.mu.Unlock()
	at := min(int(due/time.Second), len(c.seconds)-1)
	for _, t := range []*tally{c.methods[m.Name], c.seconds[at]} {
		t.Asked++
		t.GainAsked += m.Gain
		switch outcome {
		case "ok":
			t.OK++
			if took <= turn.Duration(m.Soft) {
				t.GainKept += m.Gain
			} else {
				t.Late++
				t.GainKept += m.Gain * m.LateShare
			}
			_ = t.latency.RecordValue(min(took.Microseconds(), 120e6))
		case "denied":
			t.Denied++
		case "aborted":
			t.Aborted++
		default:
			t.Lost++
		}
	}
}

// try sends one RPC and waits for its answer, for its time and some more: late answers are seen, too.
func (c *callers) try(ctx context.Context, front int, mark, token, function string, mix settings.Mix,
	m *settings.Method, span time.Duration, repeat bool, rng *rand.Rand) (outcome string, sent bool, comeBack time.Duration) {
	if mix.Front != jsonRPC && !strings.Contains(function, "-once-") {
		keep, ms := c.keeper(front, mark, token, function, m, span)
		if mix.Front == "grpc" {
			return c.tryGRPC(ctx, front, mark, token, function, mix, m, ms, keep)
		}
		return c.tryHTTP(ctx, front, mark, token, function, mix, m, ms, keep)
	}
	impatient := rng.Float64() < c.s.Clients.Impatient
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
	patience := time.Duration(rng.Float64() * float64(turn.Duration(m.Soft)))
	closes := rng.Intn(2) == 0
	b := jsonrpc.AppendText([]byte(`{"function":`), function)
	if mix.Customer != "" {
		b = jsonrpc.AppendText(append(b, `,"customer":`...), mix.Customer)
	}
	if m.Effect == router.Tokened {
		b = jsonrpc.AppendText(append(b, `,"token":`...), token)
	}
	if repeat {
		b = append(b, `,"repeat":true`...)
	}
	keep, ms := c.keeper(front, mark, token, function, m, span)
	b = strconv.AppendFloat(append(b, `,"time_ms":`...), ms, 'f', 1, 64)
	b = append(jsonrpc.AppendText(append(b, `,"payload":{"mark":`...), mark), "}}"...)
	keep(record.Sent, "")
	got := make(chan jsonrpc.Answer, 1)
	var answers atomic.Int32
	var left atomic.Bool
	conn.Ask(m.Name, b, func(a jsonrpc.Answer) {
		// noted here, by the reader: also when nobody waits any more, and answers beyond the first
		switch answered := answers.Add(1) > 1; {
		case a.Err == nil:
			keep(record.Answer, outcomeOf(a.Code))
		case !answered && !left.Load():
			keep(record.Lost, "")
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
			keep(record.Quit, "")
			return "quit", true, 0
		}
		conn.Tell("rpc.cancel", []byte(`{"id":1}`))
		keep(record.Quit, "")
		select { // its one answer is still owed
		case <-got:
		case <-time.After(span):
		}
		return "quit", true, 0
	case a := <-got:
		if a.Err != nil {
			return "lost", true, 0
		}
		if comeBackMs, is := jsonrpc.Number(jsontext.Value(jsonrpc.Member(a.Data, "come_back_ms"))); is {
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
		c.keep(record.Record{T: time.Now().UnixNano(), Who: "client", FrontEnd: frontEnd(front), RPC: mark, Method: m.Name,
			Function: function, Token: token, Time: ms, Kind: kind, Outcome: outcome})
	}, ms
}

// slack is how long a client looks for an answer once its time is up: late ones are seen, too.
func (c *callers) slack() time.Duration { return turn.Duration(c.s.Slack) + time.Second }

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
	keep(record.Sent, "")
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
		keep(record.Lost, "")
		return "lost", true, 0
	}
	keep(record.Answer, outcome)
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
	keep(record.Sent, "")
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
		keep(record.Lost, "")
		return "lost", true, 0
	}
	keep(record.Answer, outcome)
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
