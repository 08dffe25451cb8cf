package httplink

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"mallowlanding/internal/engine"
	"mallowlanding/internal/eventloop"
	"mallowlanding/internal/httpconn"
	"mallowlanding/internal/outbound"
	"mallowlanding/router"
)

// Link sends requests to one worker. Its fields are used on the event loop's goroutine only; exchanges run on their
// own.
type Link struct {
	set       *LinkSet
	name      string
	address   string
	id        router.WorkerID
	idle      []idleConn
	callOuts  map[engine.CallOutID]*exchange
	orders    map[engine.OrderID]*exchange
	exchanges map[*exchange]bool // call-outs, orders and checks that have not ended
	removed   bool
}

type idleConn struct {
	conn  *httpconn.Conn
	since time.Time
}

// closeIdle closes connections that have been idle since before the given time, and those that can't be reused.
func (l *Link) closeIdle(before time.Time) {
	kept := l.idle[:0]
	for _, c := range l.idle {
		if c.since.Before(before) || !c.conn.Reusable() {
			l.closeConn(c.conn)
			continue
		}
		kept = append(kept, c)
	}
	clear(l.idle[len(kept):])
	l.idle = kept
}

func (l *Link) closeConn(c *httpconn.Conn) {
	c.Close()
	l.set.connCount--
}

// takeIdle removes and returns an idle connection that may be reused, or nil if there is none.
func (l *Link) takeIdle() *httpconn.Conn {
	now := time.Now()
	for i := len(l.idle) - 1; i >= 0; i-- {
		c := l.idle[i]
		if now.Sub(c.since) < reuseDelay {
			continue
		}
		l.idle = append(l.idle[:i], l.idle[i+1:]...)
		if c.conn.Reusable() {
			return c.conn
		}
		l.closeConn(c.conn)
	}
	return nil
}

// Send implements engine.Link.
func (l *Link) Send(id engine.CallOutID, rpc *engine.RPC, timeLeft, startBy router.Time) {
	request := callOutRequest{address: l.address, rpcID: rpc.ClientRPCID, method: rpc.Method.Name, function: rpc.Function,
		token: rpc.Token, body: rpc.Blob}
	m := message{label: rpc.ClientRPCID, appendTo: request.appendTo, timeout: eventloop.ToDuration(timeLeft),
		conditions: outbound.Conditions{SendBy: startBy}}
	l.callOuts[id] = l.start(m, func(res result) { l.callOutEnded(id, res) })
}

// callOutRequest is what is sent of an RPC. The RPC itself may end before it is sent.
type callOutRequest struct {
	address, rpcID, method, function, token string
	body                                    []byte
}

func (r *callOutRequest) appendTo(b []byte, timeLeft router.Time) []byte {
	verb := "POST "
	if len(r.body) == 0 {
		verb = "GET "
	}
	b = append(append(append(b, verb...), rpcPath...), r.method...)
	b = appendHost(b, r.address)
	b = append(append(b, "\r\nX-Ticket: "...), r.rpcID...)
	b = append(append(b, "\r\nX-Ref: "...), r.function...)
	b = strconv.AppendInt(append(b, "\r\nX-Max-Ms: "...), max(1, int64(timeLeft/10)), 10)
	if r.token != "" {
		b = append(append(b, "\r\nX-Nonce: "...), r.token...)
	}
	if len(r.body) > 0 {
		b = strconv.AppendInt(append(b, "\r\nContent-Length: "...), int64(len(r.body)), 10)
	}
	return append(append(b, "\r\n\r\n"...), r.body...)
}

// callOutEnded reports the end of a call-out to the engine.
func (l *Link) callOutEnded(id engine.CallOutID, res result) {
	delete(l.callOuts, id)
	if res.err != nil {
		l.set.engine.CallOutEnded(id, l.id, res.outcome(), router.WarmthUnknown, 0, nil, []byte(res.err.Error()), nil)
		return
	}
	o, warmth := parseOutcome(res)
	var body, cause []byte
	if o == router.OK {
		body = res.body
	} else {
		cause = strconv.AppendInt([]byte("worker "+l.name+" answers "), int64(res.status), 10)
	}
	otherRPCs, err := strconv.Atoi(res.headers.company)
	if err != nil || otherRPCs < 0 || otherRPCs > math.MaxInt16 {
		otherRPCs = 0
	}
	l.set.engine.CallOutEnded(id, l.id, o, warmth, otherRPCs, l.set.parseReport(res.headers.meter), cause, body)
}

func appendHost(b []byte, address string) []byte {
	return append(append(b, " HTTP/1.1\r\nHost: "...), address...)
}

// CancelCallOut implements engine.Link.
func (l *Link) CancelCallOut(id engine.CallOutID) (neverSent bool) {
	x := l.callOuts[id]
	return x != nil && x.stop()
}

// CancelLoadOrder implements engine.Link. An order that has been sent stays valid after its connection has closed, so
// the worker can't be notified.
func (l *Link) CancelLoadOrder(id engine.OrderID) {
	if x := l.orders[id]; x != nil {
		x.stopUnsent()
	}
}

// OrderLoad implements engine.Link.
func (l *Link) OrderLoad(id engine.OrderID, function string, _ engine.FunctionSpec, copies int, startBy router.Time) {
	text := append(append([]byte("PUT "+rpcPath), function...), '/')
	text = append(appendHost(strconv.AppendInt(text, int64(copies), 10), l.address), "\r\n\r\n"...)
	m := message{label: "order of " + function, appendTo: always(text), timeout: l.set.options.OrderTimeout,
		conditions: outbound.Conditions{SendBy: startBy}}
	l.orders[id] = l.start(m, func(res result) { l.orderEnded(id, res) })
}

// always returns the appendTo of a message that says the same whenever it is sent.
func always(text []byte) func([]byte, router.Time) []byte {
	return func(out []byte, _ router.Time) []byte { return append(out, text...) }
}

// orderEnded reports the end of a load order to the engine.
func (l *Link) orderEnded(id engine.OrderID, res result) {
	delete(l.orders, id)
	if res.err != nil {
		l.set.engine.LoadOrderEnded(id, res.outcome(), 0)
		return
	}
	n, err := strconv.Atoi(res.headers.slotsUp)
	if err != nil || n < 0 || n > math.MaxInt16 {
		n = 0
	}
	o, _ := parseOutcome(res)
	l.set.engine.LoadOrderEnded(id, o, n)
}

// Check implements engine.Link.
func (l *Link) Check(id engine.CheckID) {
	text := append(appendHost([]byte("GET /-/gauges"), l.address), "\r\n\r\n"...)
	m := message{label: "check", appendTo: always(text), timeout: l.set.options.ConnectTimeout,
		conditions: outbound.Conditions{SurvivesPause: true}}
	l.start(m, func(res result) {
		switch {
		case res.err != nil:
			l.set.engine.CheckEnded(id, res.outcome(), nil)
		case res.status != http.StatusOK:
			l.set.engine.CheckEnded(id, router.Errored, nil)
		default:
			l.set.engine.CheckEnded(id, router.OK, l.set.parseReport(res.headers.meter))
		}
	})
}
