// Case 2: while hundreds of clients connect and say nothing, the requests of usual clients on new connections get their
// answers too late.
package main

import (
	"fmt"
	"net"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"mallowlanding/review/testdata/lab"
)

const (
	sockets  = 256                    // DAYS: 256 to 1,024
	memoryMB = 64                     // DAYS: 32 to 192
	silent   = 1200                   // clients that connect and say nothing; each connects anew once it is closed
	owed     = 3 * time.Second        // a bad client is owed a close within 3 s; it leaves then
	deadline = 600 * time.Millisecond // STANDING: short days "whose settings may give shorter deadlines"
	budget   = 300 * time.Millisecond // BRIEF: a try is given up after 50 to 100% of the deadline
	slack    = 500 * time.Millisecond // STANDING: "Up to half a second after its time it only earns nothing"
	work     = 30 * time.Millisecond
	function = "7f3a9c21e0b4d655"
	quiet    = 2 * time.Second // before the silent clients come
	crowded  = 8 * time.Second // while they connect
	between  = 50 * time.Millisecond
)

func main() { lab.Main(play) }

func play() bool {
	root, run, folder, temporary := lab.Paths()
	record := lab.NewRecord(filepath.Join(folder, "record.txt"))
	journal := lab.NewJournal(record)
	var instances []lab.Instance
	for i := range 4 {
		w := lab.NewWorker(fmt.Sprintf("w%d", i+1), record)
		w.Preload(function)
		w.Handle = func(r *lab.Request) lab.Reply {
			record.Add("%s: runs request %s", w.Name, r.Ticket)
			time.Sleep(work)
			return lab.Reply{Body: r.Body}
		}
		instances = append(instances, w.Entry("active"))
	}
	journal.Tell(true, instances...)
	settings := lab.Settings()
	for _, grade := range settings["grades"].([]any) {
		grade.(map[string]any)["deadlineNs"] = deadline.Nanoseconds()
		grade.(map[string]any)["aimNs"] = deadline.Nanoseconds() / 3
	}
	config := lab.Config{Name: "n0", Listen: lab.FreeAddress(), Journal: journal.Address, MemoryMB: memoryMB, Sockets: sockets,
		Known: journal.Known(), Settings: settings}
	path := filepath.Join(temporary, "config.json")
	config.Write(path)
	frontEnd := lab.Start(root, run, path, config.Listen, filepath.Join(temporary, "front-end.log"), record)
	frontEnd.AwaitReady(record)

	end := time.Now().Add(quiet + crowded)
	var wg sync.WaitGroup
	var mu sync.Mutex
	connections := 0
	if lab.Trouble() {
		time.AfterFunc(quiet, func() {
			record.Add("%d clients connect and say nothing", silent)
			for range silent {
				go silentClient(config.Listen, end, func() { mu.Lock(); connections++; mu.Unlock() })
			}
		})
	}
	var answered, late, closed, refusedConnections int
	slowest := time.Duration(0)
	for number := 1; time.Now().Before(end); number++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, err := lab.Dial(config.Listen)
			if err != nil {
				mu.Lock()
				refusedConnections++
				mu.Unlock()
				return
			}
			defer c.Close()
			sent := time.Now()
			_, err = c.Write(lab.Execute(1, []byte("seat"), "method", "seat-query", "rid", fmt.Sprintf("%016x", 0xd0000000+number), "budget",
				strconv.FormatInt(budget.Milliseconds(), 10), "acct", "acme", "obj", function, "facts", "memory_mb:400;lanes:4"))
			record.Add("client %d: has sent its request, waits %v: %v", number, budget, err)
			_ = c.SetReadDeadline(sent.Add(10 * time.Second))
			a, err := c.Receive()
			took := time.Since(sent)
			mu.Lock()
			defer mu.Unlock()
			if err != nil { // the first request on a connection that is closed with nothing sent: not lost
				closed++
				record.Add("client %d: connection closed after %.0f ms: %v", number, took.Seconds()*1000, err)
				return
			}
			answered++
			slowest = max(slowest, took)
			record.Add("client %d: %s after %.0f ms", number, a.Kind, took.Seconds()*1000)
			if took > budget+slack {
				late++
				record.Add("RULE: client %d had no answer until %v after its time", number, slack)
			}
		}()
		time.Sleep(between)
	}
	wg.Wait()
	text := fmt.Sprintf("%d requests answered, the slowest after %.0f ms; %d of them had no answer until %v after their time; "+
		"%d connections closed without an answer, %d not made; %d silent connections; the front end has ended: %v",
		answered, slowest.Seconds()*1000, late, slack, closed, refusedConnections, connections, frontEnd.HasEnded())
	record.Add("%s", text)
	fmt.Println(text)
	return late > 0 || frontEnd.HasEnded()
}

// silentClient connects, says nothing and waits until it is closed, again and again.
func silentClient(address string, end time.Time, count func()) {
	for time.Now().Before(end) {
		nc, err := net.Dial("tcp", address)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		count()
		_ = nc.SetReadDeadline(time.Now().Add(owed))
		_, _ = nc.Read(make([]byte, 1))
		nc.Close()
	}
}
