package admission

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	"mallowlanding/router"
)

// TestScenarios runs the scenarios of testdata/scenarios.txt. Each starts with a line '== NAME' and has one step a
// line:
//
//	gate NAME=N ...              makes a queue; the settings are whole, whole-bytes, peer, peer-bytes, conn, conn-bytes
//	                             (limits of RPCs and bytes), held (MaxRouterQueued) and come-back (MaxRetryAfter, in ms)
//	at MS                        sets the time
//	arrive RPC on=C [peer=N] [fn=F] [gain=G] [bytes=N] [times=N]
//	                             enqueues an RPC on connection C, several times with a number appended to its name; it
//	                             must be accepted unless a line 'refused TEXT' or 'displaces RPC' follows
//	refused TEXT; N ms           the last arrival is rejected with this reason and time to retry after
//	displaces RPC                the last arrival displaces another RPC
//	next RPC ...                 the RPCs that are admitted now, in order; '-': none
//	out RPC | held RPC           the RPC is in flight to a worker, or in the router's queue again
//	done RPC                     the RPC is answered
//	waiting N                    the number of RPCs that wait for admission
func TestScenarios(t *testing.T) {
	text, err := os.ReadFile("testdata/scenarios.txt")
	if err != nil {
		t.Fatal(err)
	}
	_, all, _ := strings.Cut("\n"+string(text), "\n== ")
	for part := range strings.SplitSeq(all, "\n== ") {
		name, steps, _ := strings.Cut(part, "\n")
		t.Run(name, func(t *testing.T) { runScenario(t, steps) })
	}
}

func runScenario(t *testing.T, steps string) {
	var q *Queue
	now := router.Time(0)
	conns, tickets, names := map[string]*Conn{}, map[string]*Ticket{}, map[*Ticket]string{}
	outcome := "" // how the last arrival was rejected or displaced another RPC, if no step has checked it yet
	for i, line := range strings.Split(steps, "\n") {
		fields := strings.Fields(line)
		if len(fields) == 0 || fields[0] == "#" {
			continue
		}
		fail := func(format string, args ...any) { t.Fatalf("line %d, %q: %s", i+2, line, fmt.Sprintf(format, args...)) }
		options := map[string]string{}
		for _, word := range fields[1:] {
			if name, value, found := strings.Cut(word, "="); found {
				options[name] = value
			}
		}
		number := func(name string, fallback int) int {
			if options[name] == "" {
				return fallback
			}
			v, err := strconv.Atoi(options[name])
			if err != nil {
				fail("%v", err)
			}
			return v
		}
		if fields[0] != "refused" && fields[0] != "displaces" && outcome != "" {
			fail("unexpected outcome of the arrival before: %s", outcome)
		}
		switch fields[0] {
		case "gate":
			q = New(Settings{Total: Limit{number("whole", 0), int64(number("whole-bytes", 0))},
				Peer:            Limit{number("peer", 0), int64(number("peer-bytes", 0))},
				Conn:            Limit{number("conn", 0), int64(number("conn-bytes", 0))},
				MaxRouterQueued: number("held", 0), MaxRetryAfter: router.Time(number("come-back", 0)) * 10})
		case "at":
			ms, _ := strconv.Atoi(fields[1])
			now = router.Time(ms) * 10
		case "arrive":
			c := conns[options["on"]]
			if c == nil {
				c = q.OpenConn(PeerID(number("peer", 0)))
				conns[options["on"]] = c
			}
			for k := range number("times", 1) {
				name := fields[1]
				if options["times"] != "" {
					name += strconv.Itoa(k + 1)
				}
				ticket, rejection, displaced := c.Enqueue(now, options["fn"], int64(number("bytes", 0)),
					float64(number("gain", 1)), name)
				if rejection != nil {
					outcome = fmt.Sprintf("refused %s; %d ms", rejection.Reason, rejection.RetryAfter/10)
					continue
				}
				tickets[name], names[ticket] = ticket, name
				if displaced != nil {
					outcome = "displaces " + names[displaced]
				}
			}
		case "refused", "displaces":
			if want := strings.Join(fields, " "); outcome != want {
				fail("got %s", outcome)
			}
			outcome = ""
		case "next":
			got := []string{}
			for ticket := q.Next(); ticket != nil; ticket = q.Next() {
				got = append(got, names[ticket])
			}
			if len(got) == 0 {
				got = []string{"-"}
			}
			if admitted, want := strings.Join(got, " "), strings.Join(fields[1:], " "); admitted != want {
				fail("admitted %s", admitted)
			}
		case "out":
			tickets[fields[1]].SetRouterQueued(false)
		case "held":
			tickets[fields[1]].SetRouterQueued(true)
		case "done":
			tickets[fields[1]].Release(now)
		case "waiting":
			if q.Waiting() != mustInt(fields[1]) {
				fail("%d RPCs are waiting", q.Waiting())
			}
		default:
			fail("unknown step")
		}
	}
	if outcome != "" {
		t.Fatalf("unexpected outcome of the last arrival: %s", outcome)
	}
}

func mustInt(s string) int {
	n, err := strconv.Atoi(s)
	if err != nil {
		panic(err)
	}
	return n
}

// BenchmarkAdmission measures the admission of one RPC while another connection has nearly ten thousand RPCs waiting.
func BenchmarkAdmission(b *testing.B) {
	q := New(Settings{MaxRouterQueued: 16})
	busy, single := q.OpenConn(1), q.OpenConn(2)
	for range 10000 {
		busy.Enqueue(0, "f", 100, 1, nil)
	}
	for t := q.Next(); t != nil; t = q.Next() {
	}
	b.ReportAllocs()
	for range b.N {
		t, _, _ := single.Enqueue(1, "f", 100, 1, nil)
		if q.Next() != t {
			b.Fatal("the RPC waits behind those of the other connection")
		}
		t.Release(2)
	}
}
