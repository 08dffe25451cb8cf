package main

import (
	"fmt"
	"time"
)

func init() { cases["denied"] = playDenied }

// playDenied: a worker books and its answer never comes. The front end denies the RPC, which promises that a repeat is
// harmless, and says when to come back. The client comes back then.
func playDenied(d *day) {
	f := &fleet{day: d, workers: 6, fronts: 1, service: service, work: `<work method="query" mean-ms="40" spread="0"/>
  <work method="book" mean-ms="200" spread="0" effect="tokened" window-ms="3000"/>
  <work method="hold" mean-ms="40" spread="0" effect="side-effecting"/>`}
	f.start()
	c, err := newCaller(f.socket(0))
	d.must(err, "connect")
	book := func(token string, repeat bool) chan answer {
		d.note("client sends book, token %s, repeat %t", token, repeat)
		return c.send("book", map[string]any{"function": "line-7", "token": token, "payload": map[string]any{"seat": token}, "repeat": repeat})
	}
	home := 0
	for i := range 4 { // loads the function and shows which worker has it
		a := <-book(fmt.Sprint("warm-", i), false)
		d.note("answer: %v", a)
		if a.code != 0 || a.err != nil {
			d.fail("a call without trouble: %v", a)
		}
		home = f.index(a.result)
	}
	const token = "seat-12"
	sent := time.Now()
	answers := book(token, false)
	if d.trouble { // the worker that has it answers nothing for 8 s: of six, 17%
		f.fault(f.holder(token, home), "fault.hang", map[string]any{"for_ms": 8000})
	}
	for try := 0; ; try++ {
		a := <-answers
		d.note("answer after %.3f s: %v", time.Since(sent).Seconds(), a)
		if a.err != nil {
			d.fail("connection: %v", a.err)
		}
		if a.code != -32001 || try == 2 { // only a denial promises that a repeat is harmless
			break
		}
		time.Sleep(a.back)
		answers = book(token, true)
	}
	time.Sleep(time.Second)
	f.keepRecords(`"` + token + `"`)
	applied := effects(f.logs(), `"kind":"effect"`, `"`+token+`"`)
	if len(applied) == 0 && !d.trouble {
		d.fail("no effect without trouble")
	}
	if len(applied) > 1 {
		d.broke("the booking of token %s took effect %d times; its client only repeated what was denied, no sooner than it was told", token, len(applied))
	}
}
