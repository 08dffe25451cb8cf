package admission

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	"mallowlanding/router"
)

// Scenarios, each under a line of '== NAME', one step a line:
//
//	gate NAME=N ...              whole, whole-bytes, peer, peer-bytes, conn, conn-bytes, held, come-back
//	at MS                        the time
//	arrive RPC on=C [peer=N] [fn=F] [gain=G] [bytes=N] [times=N]   want is 'waits' unless a line 'refused TEXT' or
//	                             'displaces RPC' follows
//	next RPC ...                 the tickets that have their turns now, in order, and no more; '-': none
//	out RPC | held RPC | done RPC    it went to a worker, is held again, is answered
//	waiting N                    tickets at the gate
func TestScenarios(t *testing.T) {
	text, err := os.ReadFile("testdata/gate.txt")
	if err != nil {
		t.Fatal(err)
	}
	_, all, _ := strings.Cut("\n"+string(text), "\n== ")
	for part := range strings.SplitSeq(all, "\n== ") {
		name, steps, _ := strings.Cut(part, "\n")
		t.Run(name, func(t *testing.T) { play(t, steps) })
	}
}

func play(t *testing.T, steps string) {
	var g *Queue
	now := router.Time(0)
	conns, tickets, names := map[string]*Conn{}, map[string]*Ticket{}, map[*Ticket]string{}
	last := "" // what the last arrival led to, and was not looked at
	for i, line := range strings.Split(steps, "\n") {
		f := strings.Fields(line)
		if len(f) == 0 || f[0] == "#" {
			continue
		}
		fail := func(format string, args ...any) { t.Fatalf("line %d, %q: %s", i+2, line, fmt.Sprintf(format, args...)) }
		o := map[string]string{}
		for _, word := range f[1:] {
			if name, value, found := strings.Cut(word, "="); found {
				o[name] = value
			}
		}
		n := func(name string, or int) int {
			if o[name] == "" {
				return or
			}
			v, err := strconv.Atoi(o[name])
			if err != nil {
				fail("%v", err)
			}
			return v
		}
		if f[0] != "refused" && f[0] != "displaces" && last != "" {
			fail("before it: %s", last)
		}
		switch f[0] {
		case "gate":
			g = New(Settings{Total: Limit{n("whole", 0), int64(n("whole-bytes", 0))},
				Peer: Limit{n("peer", 0), int64(n("peer-bytes", 0))}, Conn: Limit{n("conn", 0), int64(n("conn-bytes", 0))},
				MaxHeld: n("held", 0), MaxRetryAfter: router.Time(n("come-back", 0)) * 10})
		case "at":
			ms, _ := strconv.Atoi(f[1])
			now = router.Time(ms) * 10
		case "arrive":
			c := conns[o["on"]]
			if c == nil {
				c = g.OpenConn(PeerID(n("peer", 0)))
				conns[o["on"]] = c
			}
			for k := range n("times", 1) {
				name := f[1]
				if o["times"] != "" {
					name += strconv.Itoa(k + 1)
				}
				ticket, refused, displaced := c.Enqueue(now, o["fn"], int64(n("bytes", 0)), float64(n("gain", 1)), name)
				if refused != nil {
					last = fmt.Sprintf("refused %s; %d ms", refused.Reason, refused.RetryAfter/10)
					continue
				}
				tickets[name], names[ticket] = ticket, name
				if displaced != nil {
					last = "displaces " + names[displaced]
				}
			}
		case "refused", "displaces":
			if want := strings.Join(f, " "); last != want {
				fail("%s", last)
			}
			last = ""
		case "next":
			got := []string{}
			for ticket := g.Next(); ticket != nil; ticket = g.Next() {
				got = append(got, names[ticket])
			}
			if len(got) == 0 {
				got = []string{"-"}
			}
			if g, w := strings.Join(got, " "), strings.Join(f[1:], " "); g != w {
				fail("%s", g)
			}
		case "out":
			tickets[f[1]].SetHeld(false)
		case "held":
			tickets[f[1]].SetHeld(true)
		case "done":
			tickets[f[1]].Release(now)
		case "waiting":
			if g.Waiting() != mustInt(f[1]) {
				fail("%d wait", g.Waiting())
			}
		default:
			fail("unknown step")
		}
	}
	if last != "" {
		t.Fatalf("at the end: %s", last)
	}
}

func mustInt(s string) int {
	n, err := strconv.Atoi(s)
	if err != nil {
		panic(err)
	}
	return n
}

// BenchmarkGate is one RPC past a gate at which ten thousand wait.
func BenchmarkGate(b *testing.B) {
	g := New(Settings{MaxHeld: 16})
	flood, one := g.OpenConn(1), g.OpenConn(2)
	for range 10000 {
		flood.Enqueue(0, "f", 100, 1, nil)
	}
	for t := g.Next(); t != nil; t = g.Next() {
	}
	b.ReportAllocs()
	for range b.N {
		t, _, _ := one.Enqueue(1, "f", 100, 1, nil)
		if g.Next() != t {
			b.Fatal("it waits behind the flood")
		}
		t.Release(2)
	}
}
