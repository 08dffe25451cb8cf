package audit

import (
	"strings"
	"testing"

	"mallowlanding/internal/record"
	"mallowlanding/router"
)

// ms is one millisecond in the records' unit.
const ms = nsPerMS

var testLimits = Limits{Methods: map[string]Method{"query": {Effect: router.Idempotent}, "hold": {Effect: router.SideEffecting},
	"book": {Effect: router.Tokened, Group: "all", Window: 10000}}, Slack: 50, DrainGrace: 300, LoadWindow: 1000, FreeLoads: 1}

// rpcRecord returns a record of the client or of worker w about the RPC "1/0" of front end "front".
func rpcRecord(atMS int64, kind, method string) record.Record {
	r := record.Record{UnixNS: atMS * ms, Kind: kind, FrontEnd: "front", RPC: "1/0", Method: method, Source: "client"}
	switch kind {
	case record.RPCSent:
		r.DurationMS = 1000
	case record.RPCAnswered:
		r.Outcome = "aborted"
	case record.RequestReceived:
		r.Source = "w"
	}
	return r
}

// arrived sets when a record's message had arrived at the worker's socket.
func arrived(r record.Record, atMS int64) record.Record {
	r.ArrivedNS = atMS * ms
	return r
}

// with sets a record's mark and token.
func with(r record.Record, mark, token string) record.Record {
	r.RPC, r.Token = mark, token
	return r
}

// TestRequestsAreJudgedByWhenTheyWereSent checks that what a worker reads late, because it hung, is judged by when it
// was sent, and that nothing may be sent for an RPC after its answer, or long after its client left.
func TestRequestsAreJudgedByWhenTheyWereSent(t *testing.T) {
	sent := rpcRecord(1000, record.RPCSent, "hold")
	answered := rpcRecord(1900, record.RPCAnswered, "hold")
	left := rpcRecord(1200, record.ClientLeft, "hold")
	received := func(atMS int64) record.Record { return rpcRecord(atMS, record.RequestReceived, "hold") }
	state := record.Record{UnixNS: 1000 * ms, Kind: record.StateSent, FrontEnd: "front", Worker: "w", State: "draining"}
	order := func(atMS int64) record.Record {
		return record.Record{UnixNS: atMS * ms, Kind: record.LoadOrdered, Source: "w", FrontEnd: "front", Function: "f", N: 1}
	}
	stopped := record.Record{UnixNS: 1910 * ms, Kind: record.ProcessPaused, FrontEnd: "front"}
	resumed := record.Record{UnixNS: 3000 * ms, Kind: record.ProcessResumed, FrontEnd: "front"}
	for _, c := range []struct {
		name    string
		records []record.Record
		rule    int
		text    string
	}{
		{"in time", []record.Record{sent, received(1100), answered}, 0, ""},
		{"sent after the answer", []record.Record{sent, answered, received(8000)}, 1, "6100 ms after its answer"},
		{"read late, sent in time", []record.Record{sent, answered, arrived(received(8000), 1100)}, 0, ""},
		{"read late, sent late", []record.Record{sent, answered, arrived(received(8000), 2000)}, 1, "100 ms after its answer"},
		{"within the slack", []record.Record{sent, answered, received(1940)}, 0, ""},
		{"the front end was stopped", []record.Record{sent, answered, stopped, resumed, received(3010)}, 0, ""},
		{"the client left", []record.Record{sent, left, received(1340)}, 0, ""},
		{"long after the client left", []record.Record{sent, left, received(1360)}, 1, "160 ms after its client had left"},
		{"read late at a draining worker", []record.Record{state, arrived(order(8000), 1200)}, 0, ""},
		{"sent late to a draining worker", []record.Record{state, arrived(order(8000), 1400)}, 3, "after the grace"},
		{"orders read at once after a hang", []record.Record{arrived(order(8000), 1000), arrived(order(8001), 2500)}, 0, ""},
		{"orders sent at once", []record.Record{arrived(order(8000), 1000), arrived(order(8001), 1500)}, 5, "load order 2"},
		{"a repeat joined it and still waits", []record.Record{
			with(rpcRecord(1000, record.RPCSent, "book"), "1/0", "t"), with(rpcRecord(1100, record.RPCSent, "book"), "1/1", "t"),
			with(rpcRecord(1200, record.ClientLeft, "book"), "1/0", "t"), with(rpcRecord(1500, record.RequestReceived, "book"), "1/0", "t"),
			with(rpcRecord(1600, record.RPCAnswered, "book"), "1/1", "t")}, 0, ""},
		{"no repeat waits any more", []record.Record{
			with(rpcRecord(1000, record.RPCSent, "book"), "1/0", "t"), with(rpcRecord(1100, record.RPCSent, "book"), "1/1", "t"),
			with(rpcRecord(1200, record.ClientLeft, "book"), "1/0", "t"), with(rpcRecord(1300, record.RPCAnswered, "book"), "1/1", "t"),
			with(rpcRecord(1500, record.RequestReceived, "book"), "1/0", "t")}, 1, "after its client had left"},
	} {
		violations := Check(testLimits, c.records).Violations
		switch {
		case c.rule == 0 && len(violations) > 0:
			t.Errorf("%s: %+v", c.name, violations)
		case c.rule > 0 && (len(violations) != 1 || violations[0].Rule != c.rule || !strings.Contains(violations[0].Text, c.text)):
			t.Errorf("%s: %+v, want rule %d: %s", c.name, violations, c.rule, c.text)
		}
	}
}
