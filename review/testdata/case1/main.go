// Case 1: clients that send hundreds of requests at once have the front end killed for memory.
package main

import (
	"fmt"
	"math/rand"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"mallowlanding/review/testdata/lab"
)

// The limits are those that the bench gives the front ends of taoyuan-campus on its day with bad clients; the page
// allows 32 to 192 MB and 256 to 1,024 descriptors.
const (
	memoryMB    = 64
	sockets     = 384
	badClients  = 100      // with the usual ones less than a third of the descriptors
	requests    = 300      // of each bad client, at once
	bodyBytes   = 16 << 10 // the longest body that the protocol allows
	usual       = 4        // usual clients
	watchPeriod = 5 * time.Millisecond
)

func main() { lab.Main(play) }

func play() bool {
	root, run, folder, temporary := lab.Paths()
	record := lab.NewRecord(filepath.Join(folder, "record.txt"))
	journal := lab.NewJournal(record)
	var instances []lab.Instance
	for i := range 3 {
		w := lab.NewWorker(fmt.Sprintf("w%d", i+1), record)
		w.Handle = func(r *lab.Request) lab.Reply { time.Sleep(30 * time.Millisecond); return lab.Reply{Body: r.Body} }
		instances = append(instances, w.Entry("active"))
	}
	journal.Tell(true, instances...)
	config := lab.Config{Name: "n0", Listen: lab.FreeAddress(), Journal: journal.Address, MemoryMB: memoryMB, Sockets: sockets,
		Known: journal.Known(), Settings: lab.Settings()}
	path := filepath.Join(temporary, "config.json")
	config.Write(path)
	frontEnd := lab.Start(root, run, path, config.Listen, filepath.Join(temporary, "front-end.log"), record)
	frontEnd.AwaitReady(record)

	// The platform kills a front end that is over its limit.
	stop, watched := make(chan bool), make(chan bool)
	peak, killed := 0.0, false
	go func() {
		defer close(watched)
		for {
			select {
			case <-stop:
				return
			case <-time.After(watchPeriod):
			}
			now := frontEnd.MemoryMB()
			peak = max(peak, now)
			if now > memoryMB {
				killed = true
				record.Add("platform: the front end has %.0f MB, its limit is %d MB: killed", now, memoryMB)
				frontEnd.Signal(syscall.SIGKILL)
				return
			}
		}
	}()

	var wg sync.WaitGroup
	for i := range usual {
		wg.Add(1)
		go func() { defer wg.Done(); usualClient(i, config.Listen, record) }()
	}
	time.Sleep(3 * time.Second)
	if lab.Trouble() {
		record.Add("%d bad clients send %d requests at once, of %d bytes each", badClients, requests, bodyBytes)
		for i := range badClients {
			wg.Add(1)
			go func() { defer wg.Done(); badClient(i, config.Listen) }()
		}
	}
	wg.Wait()
	close(stop)
	<-watched
	record.Add("the most memory seen: %.1f MB of %d MB; killed: %v; ended: %v", peak, memoryMB, killed, frontEnd.HasEnded())
	fmt.Printf("the most memory seen: %.1f MB of %d MB; killed for memory: %v\n", peak, memoryMB, killed)
	return killed || frontEnd.HasEnded()
}

// usualClient sends a request of 200 bytes every 50 ms for 6 s.
func usualClient(number int, address string, record *lab.Record) {
	c, err := lab.Dial(address)
	if err != nil {
		record.Add("usual client %d: %v", number, err)
		return
	}
	defer c.Close()
	go func() {
		for {
			a, err := c.Receive()
			if err != nil {
				record.Add("usual client %d: its connection has ended: %v", number, err)
				return
			}
			record.Add("usual client %d: request %d: %v", number, a.Seq, a.Kind)
		}
	}()
	for seq := int32(1); seq <= 120; seq++ {
		rid := fmt.Sprintf("%08x%08x", 0xa0000000+number, seq)
		record.Add("usual client %d: sends request %d", number, seq)
		if _, err := c.Write(lab.Execute(seq, make([]byte, 200), "method", "seat-query", "rid", rid, "budget", "2000", "acct", "acme",
			"obj", "7f3a9c21e0b4d655", "facts", "memory_mb:400;lanes:4")); err != nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
}

// badClient sends all its requests at once and reads what it gets.
func badClient(number int, address string) {
	c, err := lab.Dial(address)
	if err != nil {
		return
	}
	defer c.Close()
	go func() {
		for {
			if _, err := c.Receive(); err != nil {
				return
			}
		}
	}()
	random := rand.New(rand.NewSource(int64(number)))
	body := make([]byte, bodyBytes)
	var all []byte
	for seq := range int32(requests) {
		all = append(all, lab.Execute(seq+1, body, "method", "seat-query", "rid", fmt.Sprintf("%016x", random.Uint64()), "budget", "2000",
			"acct", "acme", "obj", "7f3a9c21e0b4d655", "facts", "memory_mb:400;lanes:4")...)
	}
	_, _ = c.Write(all)
	time.Sleep(2 * time.Second)
}
