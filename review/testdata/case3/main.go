// Case 3: after the front end has stood still, the requests that it finds get their answers too late.
package main

import (
	"fmt"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"mallowlanding/review/testdata/lab"
)

const (
	stall  = 1900 * time.Millisecond // the pages: 1,100 to 2,000 ms
	every  = 4 * time.Second         // the pages: every 2 to 4 s
	stalls = 5                       // over 20 s; the pages: for 18 to 37 s
	budget = 1500 * time.Millisecond // of a deadline of 3 s; the pages: 50 to 100% of it
	load   = 1000 * time.Millisecond // of a copy; the pages: 0.51 to 1.1 s on average
	work   = 100 * time.Millisecond
	slack  = 500 * time.Millisecond // STANDING: "Up to half a second after its time it only earns nothing"
	each   = 4                      // requests that come while the front end stands still, 50 ms apart
	first  = 450 * time.Millisecond // when the first of them comes: its time ends 50 ms after the front end goes on
)

func main() { lab.Main(play) }

type request struct {
	sent     time.Time
	answered time.Time
	kind     string
}

func play() bool {
	root, run, folder, temporary := lab.Paths()
	record := lab.NewRecord(filepath.Join(folder, "record.txt"))
	journal := lab.NewJournal(record)
	var instances []lab.Instance
	for i := range 4 {
		w := lab.NewWorker(fmt.Sprintf("w%d", i+1), record)
		w.Load = load
		w.Handle = func(r *lab.Request) lab.Reply {
			record.Add("%s: runs request %s", w.Name, r.Ticket)
			time.Sleep(work)
			return lab.Reply{Body: r.Body}
		}
		instances = append(instances, w.Entry("active"))
	}
	journal.Tell(true, instances...)
	config := lab.Config{Name: "n0", Listen: lab.FreeAddress(), Journal: journal.Address, MemoryMB: 64, Sockets: 384,
		Known: journal.Known(), Settings: lab.Settings()}
	path := filepath.Join(temporary, "config.json")
	config.Write(path)
	frontEnd := lab.Start(root, run, path, config.Listen, filepath.Join(temporary, "front-end.log"), record)
	frontEnd.AwaitReady(record)

	c, err := lab.Dial(config.Listen)
	if err != nil {
		lab.CannotRun("client: %v", err)
	}
	defer c.Close()
	var mu sync.Mutex
	open := map[int32]*request{}
	go func() {
		for {
			a, err := c.Receive()
			if err != nil {
				return
			}
			mu.Lock()
			if p := open[a.Seq]; p != nil && p.answered.IsZero() {
				p.answered, p.kind = time.Now(), a.Kind
				record.Add("client: request %d is %s, %.0f ms after it was sent", a.Seq, a.Kind, p.answered.Sub(p.sent).Seconds()*1000)
			}
			mu.Unlock()
		}
	}()
	var pauses [][2]time.Time
	stoodStill := func(at time.Time) bool {
		for _, p := range pauses {
			if at.After(p[0]) && at.Before(p[1]) {
				return true
			}
		}
		return false
	}
	seq := int32(0)
	send := func(function string) {
		seq++
		mu.Lock()
		open[seq] = &request{sent: time.Now()}
		mu.Unlock()
		record.Add("client: sends request %d for function %s, which waits %v", seq, function, budget)
		if _, err := c.Write(lab.Execute(seq, []byte("seat"), "method", "seat-query", "rid", fmt.Sprintf("%016x", 0xc0000000+int64(seq)),
			"budget", fmt.Sprint(budget.Milliseconds()), "acct", "acme", "obj", function, "facts", "memory_mb:400;lanes:4")); err != nil {
			record.Add("client: %v", err)
		}
	}
	// Ordinary traffic for 3 s, on one function. Its answers are there before the front end stands still.
	for range 30 {
		send("7f3a9c21e0b4d655")
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	for n := range stalls {
		began := time.Now()
		if lab.Trouble() {
			frontEnd.Signal(syscall.SIGSTOP)
			record.Add("platform: the front end stands still")
		}
		for k := range each { // functions that were not called before
			time.Sleep(time.Until(began.Add(first + time.Duration(k)*50*time.Millisecond)))
			send(fmt.Sprintf("%016x", 0xf000+n*each+k))
		}
		time.Sleep(time.Until(began.Add(stall)))
		if lab.Trouble() {
			pauses = append(pauses, [2]time.Time{began, time.Now()})
			frontEnd.Signal(syscall.SIGCONT)
			record.Add("platform: the front end goes on after %.0f ms", time.Since(began).Seconds()*1000)
		}
		time.Sleep(time.Until(began.Add(every)))
	}
	time.Sleep(3 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	late, excused := 0, 0
	for seq := int32(1); seq <= int32(len(open)); seq++ {
		p := open[seq]
		if end := p.sent.Add(budget); stoodStill(end) { // nobody could have answered in time
			excused++
			continue
		}
		if p.answered.IsZero() || p.answered.Sub(p.sent) > budget+slack {
			late++
			record.Add("RULE: request %d: no answer until %v after its time", seq, slack)
		}
	}
	record.Add("%d of %d requests got no answer until %v after their time, %d are excused; the front end has ended: %v", late, len(open), slack, excused, frontEnd.HasEnded())
	fmt.Printf("%d of %d requests got no answer until %v after their time\n", late, len(open), slack)
	return late > 0 || frontEnd.HasEnded()
}
