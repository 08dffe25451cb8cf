package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

func init() { cases["sent"] = playSent }

// worker is a stand-in worker that speaks the protocol of docs/protocol.md in JSON. It runs what it gets at once.
type worker struct {
	day  *day
	name string

	mu       sync.Mutex
	hung     chan struct{} // while the worker reads nothing; closed when it goes on
	conn     *net.UnixConn // of the front end
	read     int64         // bytes taken from conn
	received []request
}

// request is a host.request that the worker has received.
type request struct {
	mark  string
	first int64 // offset of its first byte in the connection's stream
	at    time.Time
}

// Read implements io.Reader for the bytes of the front end's connection.
func (w *worker) Read(b []byte) (int, error) {
	w.mu.Lock()
	hung, conn := w.hung, w.conn
	w.mu.Unlock()
	if hung != nil {
		<-hung
	}
	n, err := conn.Read(b)
	w.mu.Lock()
	w.read += int64(n)
	w.mu.Unlock()
	return n, err
}

// hang has the worker read nothing more. It returns a function that has it go on, which returns how many bytes of the
// front end's stream had come until then.
func (w *worker) hang() (goOn func() int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	hung := make(chan struct{})
	w.hung = hung
	return func() int64 {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.hung = nil
		unread := 0
		raw, err := w.conn.SyscallConn()
		w.day.must(err, "connection of the worker")
		_ = raw.Control(func(fd uintptr) { unread, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ) })
		close(hung)
		return w.read + int64(unread)
	}
}

func (w *worker) start() {
	l, err := net.Listen("unix", w.day.path("%s.sock", w.name))
	w.day.must(err, "worker")
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			w.serve(nc.(*net.UnixConn)) // there is one front end
		}
	}()
	roster, err := dialUnix(w.day.path("roster.sock")) // stays open: its end is the end of the worker
	w.day.must(err, "roster")
	fmt.Fprintf(roster, `{"jsonrpc":"2.0","method":"roster.join","params":{"name":%q,"socket":%q,"state":"ready","kind":"std","cold":false}}`+"\n",
		w.name, w.day.path("%s.sock", w.name))
}

func (w *worker) serve(nc *net.UnixConn) {
	defer nc.Close()
	w.mu.Lock()
	w.conn, w.read = nc, 0
	w.mu.Unlock()
	r := bufio.NewReaderSize(w, 4096)
	var writing sync.Mutex
	write := func(format string, args ...any) {
		writing.Lock()
		defer writing.Unlock()
		fmt.Fprintf(nc, format+"\n", args...)
	}
	write(`{"jsonrpc":"2.0","method":"client.ready","params":{"worker":%q,"protocol":1}}`, w.name)
	const report = `"report":[0.1,0.1,0,0]`
	for offset := int64(0); ; {
		line, err := r.ReadBytes('\n')
		if err != nil {
			return
		}
		first := offset
		offset += int64(len(line))
		var m message
		if json.Unmarshal(line, &m) != nil {
			continue
		}
		switch m.Method {
		case "host.request":
			var p struct {
				TimeMS  float64 `json:"time_ms"`
				Payload struct {
					Mark string `json:"mark"`
				} `json:"payload"`
			}
			_ = json.Unmarshal(m.Params, &p)
			w.mu.Lock()
			w.received = append(w.received, request{p.Payload.Mark, first, time.Now()})
			w.mu.Unlock()
			w.day.note("%s receives and runs %s, time_ms %.0f", w.name, p.Payload.Mark, p.TimeMS)
			time.AfterFunc(20*time.Millisecond, func() {
				write(`{"jsonrpc":"2.0","id":%s,"result":{"value":{"worker":%q},"warmth":"stood","crowd":0,%s}}`, m.ID, w.name, report)
			})
		case "host.hold":
			write(`{"jsonrpc":"2.0","id":%s,"result":{"copies":1}}`, m.ID)
		case "host.ping":
			if len(m.ID) > 0 {
				write(`{"jsonrpc":"2.0","id":%s,"result":{%s}}`, m.ID, report)
			}
		}
	}
}

// playSent: a worker takes RPCs and answers none for 8 s; of what it is sent it reads nothing meanwhile. The time of its
// RPCs ends, and their client is answered. Then the worker goes on.
func playSent(d *day) {
	roster := d.write("roster.xml", `<roster socket="DIR/roster.sock" lag-ms="200"/>`)
	d.awaitSocket(d.start("roster", "roster", roster), d.path("roster.sock"))
	workers := map[string]*worker{}
	for i := range 6 {
		w := &worker{day: d, name: fmt.Sprintf("worker-%d", i)}
		workers[w.name] = w
		w.start()
	}
	time.Sleep(400 * time.Millisecond)
	f := &fleet{day: d, service: strings.ReplaceAll(service, `load-ms="300"`, `load-ms="300" lanes="8"`)}
	d.write("front-0.xml", `<front-end name="front-0">
  <clients socket="DIR/front-0.sock"/>
  <roster socket="DIR/roster.sock" cache="DIR/front-0.list"/>`+f.service+"</front-end>\n")
	f.startFront(0)
	time.Sleep(500 * time.Millisecond)
	c, err := newCaller(f.socket(0))
	d.must(err, "connect")
	send := func(mark string, size int) chan answer {
		d.note("client sends hold %s, %d bytes, time_ms 1000", mark, size)
		return c.send("hold", map[string]any{"function": "line-7", "time_ms": 1000,
			"payload": map[string]any{"mark": mark, "image": strings.Repeat("x", size)}})
	}
	home := ""
	for i := range 4 {
		a := <-send(fmt.Sprint("warm-", i), 100)
		if a.code != 0 || a.err != nil {
			d.fail("a call without trouble: %v", a)
		}
		var value struct{ Worker string }
		_ = json.Unmarshal([]byte(a.result), &value)
		home = value.Worker
	}
	w := workers[home]
	var goOn func() int64
	if d.trouble {
		goOn = w.hang() // of six workers, 17%
		d.note("%s hangs", home)
	}
	began := time.Now()
	answeredAt := map[string]time.Time{}
	var marks []string
	var answers []chan answer
	for i := range 8 {
		marks = append(marks, fmt.Sprint("piece-", i))
		answers = append(answers, send(marks[i], 600_000))
	}
	for i, ch := range answers {
		a := <-ch
		if a.err != nil {
			d.fail("connection: %v", a.err)
		}
		answeredAt[marks[i]] = a.at
		d.note("answer to %s: %v", marks[i], a)
	}
	arrived := int64(0)
	if d.trouble {
		time.Sleep(8*time.Second - time.Since(began))
		arrived = goOn()
		d.note("%s goes on; %d bytes of the front end's stream had come until then", home, arrived)
	}
	time.Sleep(time.Second)
	for name, w := range workers {
		w.mu.Lock()
		for _, r := range w.received {
			at, known := answeredAt[r.mark]
			if known && name == home && d.trouble && r.first >= arrived {
				d.broke("%s was answered, and its first byte was sent to %s more than %.1f s after that", r.mark, name, (8*time.Second - at.Sub(began)).Seconds())
			}
		}
		w.mu.Unlock()
	}
}
