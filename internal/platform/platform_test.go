package platform

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	wire "github.com/apache/thrift/lib/go/thrift"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"mallowlanding/internal/httpconn"
)

// TestConversations runs the scripts in testdata/*.txt over real sockets, between the front end under test and scripted
// clients (C), workers (W, V) and a journal service. Each script begins with a line '== NAME' and has one step a line;
// '#' begins a comment. A step that expects something waits for it.
//
//	worker W [as V]           start worker W; as V: stop worker V and listen on its address
//	tell [W=STATE[@MS] ...]   add an event to the journal, with the Unix time at which W started; events before 'start'
//	                          are in the configuration
//	fleet N at W STATE        add an event with N more workers at W's address
//	knows N                   expect that the router knows N ready workers
//	confirmed                 expect that the router has evidence by the worker list that none of its workers drains
//	feed break|silent         the journal service cuts its next response short, or does not send it
//	feed moves|bad            the journal service gets a new address, which the front end reads in a reload; the front
//	                          end reloads an invalid configuration
//	config OLD=>NEW           replace a text of the configuration from the next time that it is written
//	start | stop | left       start the front end; send it the stop signal; expect that it has returned
//	reload                    write the configuration and reload it
//	known METHOD              expect that the front end knows the method
//	told                      expect that the front end has requested the events after the last one
//	C dials                   client C connects
//	C rpc N [FIELD=VALUE]...  C sends RPC number N: method query, customer acme, one function, budget 1000 ms
//	C takes back N            C sends interrupt for RPC N
//	C raw "GO STRING"         C sends these bytes
//	C check good|bad          C asks whether the front end is ready until it gets this answer
//	C half N [FIELD=VALUE]... C sends the first half of an RPC
//	C rest                    C sends the second half
//	C gone|resets|ends        C closes its connection: both ways, with a reset, or its sending side only
//	C stands                  expect that C's connection is open and nothing has been received
//	crowd N                   N clients connect and send nothing
//	C < N ok BODY             expect that C's next answer is for RPC N: ok with BODY, denied or aborted
//	C closed                  expect that C's connection is closed, whatever is received before
//	W < METHOD PATH [H=V]...  expect a request to W on any connection, with these headers; W answers checks by itself
//	W says "GO STRING"        W writes the bytes to the connection of its last request
//	W closes|resets           W closes or resets that connection
//	W gone                    expect that the front end closes the connection of W's last request
//	W nothing MS              expect that W receives no request within MS
//	W late | W up             from 'late' on, the front end's dials to W return only at 'up'
//	W dialled                 expect that a connection to W is established whose dial has not returned
//	W dropped                 expect that the front end has cancelled that dial
//	W empty                   expect that a connection to W ends without a request
//	W other                   expect that W's last two requests came on different connections
//	wait MS                   sleep
func TestConversations(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts in testdata: %v", err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		_, scripts, _ := strings.Cut("\n"+string(text), "\n== ")
		for script := range strings.SplitSeq(scripts, "\n== ") {
			name, steps, _ := strings.Cut(script, "\n")
			t.Run(filepath.Base(file)+"/"+name, func(t *testing.T) {
				goleak.VerifyNone(t, goleak.IgnoreCurrent())
				before := openDescriptors(t)
				s := &runner{t: t, workers: map[string]*worker{}, clients: map[string]*client{}}
				s.run(steps)
				s.end()
				for until := time.Now().Add(stepTimeout); openDescriptors(t) > before && time.Now().Before(until); {
					time.Sleep(time.Millisecond)
				}
				if now := openDescriptors(t); now > before {
					t.Errorf("%d file descriptors are open, %d were open before", now, before)
				}
				goleak.VerifyNone(t, goleak.IgnoreCurrent())
			})
		}
	}
}

// stepTimeout is how long a step waits for what it expects.
const stepTimeout = 3 * time.Second

func openDescriptors(t *testing.T) int {
	all, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip(err)
	}
	return len(all)
}

type runner struct {
	t                  *testing.T
	step               string
	workers            map[string]*worker
	clients            map[string]*client
	journalServer      *httptest.Server
	mu                 sync.Mutex
	events             []any
	eventAdded         chan struct{} // closed when an event is added
	feedFault          string
	configPath         string
	reload             chan os.Signal
	stop               context.CancelFunc
	left               chan error
	listenAddress      string
	configReplacements []string // pairs of a text and its replacement
	askedFrom          int      // the highest event number that a request asked from
	frontEnd           *FrontEnd
	idleConns          []net.Conn
	log                logBuffer
}

// logBuffer holds the front end's log, which is printed if the script fails.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

type message struct {
	conn net.Conn
	req  *http.Request
}

type worker struct {
	listener  net.Listener
	messages  chan message
	lastConn  net.Conn
	prevConn  net.Conn  // connection of the message before the last one
	ended     chan bool // a connection has ended; true: without a message
	dialGate  chan bool // dials return once it is closed, at once if it is nil; guarded by runner.mu
	dialled   chan bool // a connection is established and its dial waits
	abandoned chan bool // the front end has cancelled that dial
	mu        sync.Mutex
	conns     []net.Conn
}

type client struct {
	conn       net.Conn
	reader     *bufio.Reader
	secondHalf []byte
}

func (s *runner) fail(format string, args ...any) {
	s.t.Helper()
	s.t.Fatalf("step %q: %s; the front end's log:\n%s", s.step, fmt.Sprintf(format, args...), s.log.String())
}

func (s *runner) must(err error) {
	s.t.Helper()
	if err != nil {
		s.fail("%v", err)
	}
}

func (s *runner) run(steps string) {
	s.eventAdded = make(chan struct{})
	s.journalServer = httptest.NewServer(http.HandlerFunc(s.serveJournal))
	for line := range strings.SplitSeq(steps, "\n") {
		line, _, _ = strings.Cut(line, "#")
		if s.step = strings.TrimSpace(line); s.step == "" {
			continue
		}
		words := strings.Fields(s.step)
		_, text, _ := strings.Cut(s.step, `"`)
		if text != "" && words[0] != "config" {
			var err error
			text, err = strconv.Unquote(`"` + text)
			s.must(err)
		}
		w, c := s.workers[words[0]], s.clients[words[0]]
		switch {
		case words[0] == "worker":
			s.addWorker(words[1], words[2:])
		case words[0] == "tell":
			s.addWorkerEvent(words[1:])
		case words[0] == "fleet":
			s.addFleetEvent(words[1], s.workers[words[3]], words[4])
		case words[0] == "knows":
			want, err := strconv.Atoi(words[1])
			s.must(err)
			s.waitFor(func() bool { return s.readyWorkers() == want })
		case words[0] == "confirmed":
			s.waitFor(func() bool { workers := s.describeWorkers(); return workers != "" && !strings.Contains(workers, "U") })
		case words[0] == "feed":
			s.changeFeed(words[1])
		case words[0] == "start":
			s.start()
		case words[0] == "config":
			before, after, _ := strings.Cut(strings.TrimSpace(strings.TrimPrefix(s.step, "config")), "=>")
			s.configReplacements = append(s.configReplacements, before, after)
		case words[0] == "reload":
			s.writeConfig()
			s.reload <- syscall.SIGHUP
		case words[0] == "known":
			s.waitFor(func() bool { _, known := s.frontEnd.dispatcher.MethodIndex(words[1]); return known })
		case words[0] == "told":
			s.waitFor(func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.askedFrom >= len(s.events) })
		case words[0] == "crowd":
			n, err := strconv.Atoi(words[1])
			s.must(err)
			for range n {
				nc, err := net.Dial("tcp", s.listenAddress)
				s.must(err)
				s.idleConns = append(s.idleConns, nc)
			}
		case words[0] == "stop":
			s.stop()
		case words[0] == "left":
			select {
			case err := <-s.left:
				s.must(err)
				s.left = nil
			case <-time.After(stepTimeout):
				s.fail("the front end is still running")
			}
		case words[0] == "wait":
			ms, err := strconv.Atoi(words[1])
			s.must(err)
			time.Sleep(time.Duration(ms) * time.Millisecond)
		case words[1] == "dials":
			nc, err := net.Dial("tcp", s.listenAddress)
			s.must(err)
			s.clients[words[0]] = &client{conn: nc, reader: bufio.NewReader(nc)}
		case c != nil:
			s.clientStep(c, words[1:], text)
		case w != nil:
			s.workerStep(w, words[1:], text)
		default:
			s.fail("unknown step, client or worker")
		}
	}
}

func (s *runner) clientStep(c *client, words []string, text string) {
	var err error
	switch words[0] {
	case "rpc":
		_, err = c.conn.Write(executeFrame(words[1], words[2:]))
	case "takes":
		seq, _ := strconv.Atoi(words[2])
		_, err = c.conn.Write(frame("interrupt", wire.ONEWAY, 99, func(ctx context.Context, w wire.TProtocol) {
			_ = w.WriteFieldBegin(ctx, "seqid", wire.I32, 1)
			_ = w.WriteI32(ctx, int32(seq))
		}))
	case "raw":
		_, err = c.conn.Write([]byte(text))
	case "check":
		want := map[string]bool{"good": true, "bad": false}[words[1]]
		s.waitFor(func() bool { return s.check(c) == want })
	case "half":
		frame := executeFrame(words[1], words[2:])
		c.secondHalf = frame[len(frame)/2:]
		_, err = c.conn.Write(frame[:len(frame)/2])
	case "rest":
		_, err = c.conn.Write(c.secondHalf)
	case "gone":
		c.conn.Close()
	case "ends":
		s.must(c.conn.(*net.TCPConn).CloseWrite())
	case "resets":
		s.must(c.conn.(*net.TCPConn).SetLinger(0))
		c.conn.Close()
	case "stands":
		_ = c.conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		if _, e := c.reader.Peek(1); !os.IsTimeout(e) {
			s.fail("the connection is closed, or something was received: %v", e)
		}
	case "<":
		want := strings.Join(words[1:], " ")
		_ = c.conn.SetReadDeadline(time.Now().Add(stepTimeout))
		if got := readAnswer(c.reader); got != want {
			s.fail("got %q", got)
		}
	case "closed":
		_ = c.conn.SetReadDeadline(time.Now().Add(stepTimeout))
		if _, e := io.Copy(io.Discard, c.reader); os.IsTimeout(e) {
			s.fail("the connection is open")
		}
	default:
		s.fail("no such step")
	}
	s.must(err)
}

func (s *runner) workerStep(w *worker, words []string, text string) {
	switch words[0] {
	case "<":
		select {
		case m := <-w.messages:
			if got := m.req.Method + " " + m.req.RequestURI; got != words[1]+" "+words[2] {
				s.fail("got %s", got)
			}
			for _, header := range words[3:] {
				name, value, _ := strings.Cut(header, "=")
				if got := m.req.Header.Get(name); got != value {
					s.fail("%s is %q", name, got)
				}
			}
			w.prevConn, w.lastConn = w.lastConn, m.conn
		case <-time.After(stepTimeout):
			s.fail("no request was received")
		}
	case "late":
		s.mu.Lock()
		w.dialGate = make(chan bool)
		s.mu.Unlock()
	case "up":
		s.mu.Lock()
		close(w.dialGate)
		s.mu.Unlock()
	case "dropped":
		select {
		case <-w.abandoned:
		case <-time.After(stepTimeout):
			s.fail("the dial is not cancelled")
		}
	case "dialled":
		select {
		case <-w.dialled:
		case <-time.After(stepTimeout):
			s.fail("no connection was established")
		}
	case "empty":
		for {
			select {
			case empty := <-w.ended:
				if empty {
					return
				}
				continue
			case m := <-w.messages:
				s.fail("got %s %s", m.req.Method, m.req.RequestURI)
			case <-time.After(stepTimeout):
				s.fail("no connection has ended without a request")
			}
		}
	case "other":
		if w.prevConn == w.lastConn {
			s.fail("both requests came on the same connection")
		}
	case "says":
		_, err := w.lastConn.Write([]byte(text))
		s.must(err)
	case "closes":
		w.lastConn.Close()
	case "resets":
		s.must(w.lastConn.(*net.TCPConn).SetLinger(0))
		w.lastConn.Close()
	case "gone":
		for until := time.Now().Add(stepTimeout); ; time.Sleep(time.Millisecond) {
			if _, err := w.lastConn.Write([]byte(" ")); err != nil {
				return
			} else if time.Now().After(until) {
				s.fail("the connection is still open")
			}
		}
	case "nothing":
		ms, err := strconv.Atoi(words[1])
		s.must(err)
		select {
		case m := <-w.messages:
			s.fail("got %s %s", m.req.Method, m.req.RequestURI)
		case <-time.After(time.Duration(ms) * time.Millisecond):
		}
	default:
		s.fail("no such step")
	}
}

// addWorker starts a worker that passes each request to the script, on whichever connection it comes.
func (s *runner) addWorker(name string, reuse []string) {
	address := "127.0.0.1:0"
	if len(reuse) > 0 {
		old := s.workers[reuse[1]]
		address = old.listener.Addr().String()
		old.close()
	}
	l, err := net.Listen("tcp", address)
	s.must(err)
	w := &worker{listener: l, messages: make(chan message, 64), ended: make(chan bool, 64), dialled: make(chan bool, 64),
		abandoned: make(chan bool, 64)}
	s.mu.Lock()
	s.workers[name] = w
	s.mu.Unlock()
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.conns = append(w.conns, nc)
			w.mu.Unlock()
			go func() {
				defer nc.Close()
				empty := true
				for in := bufio.NewReader(nc); ; {
					req, err := http.ReadRequest(in)
					if err != nil {
						w.ended <- empty
						return
					}
					empty = false
					if _, err = io.Copy(io.Discard, req.Body); err != nil {
						return
					}
					if req.RequestURI == "/-/gauges" {
						_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nX-Meter: busy:0.1;x0:0.1\r\nContent-Length: 0\r\n\r\n")
						continue
					}
					w.messages <- message{nc, req}
				}
			}()
		}
	}()
}

func (w *worker) close() {
	w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, nc := range w.conns {
		nc.Close()
	}
}

// addWorkerEvent adds an event with the WORKER=STATE pairs in words; there may be none.
func (s *runner) addWorkerEvent(words []string) {
	list := []any{}
	for _, word := range words {
		name, state, _ := strings.Cut(word, "=")
		state, started, _ := strings.Cut(state, "@")
		entry := s.workerEntry(name, s.workers[name], state)
		if started != "" {
			ms, err := strconv.Atoi(started)
			s.must(err)
			entry["startedAtMs"] = ms
		}
		list = append(list, entry)
	}
	s.addEvent(list)
}

// addFleetEvent adds an event with count workers, all at the address of one.
func (s *runner) addFleetEvent(count string, at *worker, state string) {
	n, err := strconv.Atoi(count)
	s.must(err)
	var list []any
	for i := range n {
		list = append(list, s.workerEntry(fmt.Sprintf("fleet-%d", i), at, state))
	}
	s.addEvent(list)
}

// workerEntry returns a worker's entry of an event.
func (s *runner) workerEntry(name string, w *worker, state string) map[string]any {
	return map[string]any{"instanceId": name, "hostPort": w.listener.Addr().String(), "zone": "a", "machineType": "std", "cell": 1,
		"lifecycle": state, "weight": 1, "startedAtMs": 0}
}

func (s *runner) addEvent(list []any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pos := len(s.events) + 1
	s.events = append(s.events, map[string]any{"pos": pos, "hosts": map[string]any{"generation": pos, "reset": pos == 1, "instances": list}})
	close(s.eventAdded)
	s.eventAdded = make(chan struct{})
}

func (s *runner) journalResponse(fromPos int) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	text, err := json.Marshal(map[string]any{"pos": len(s.events), "entries": s.events[min(fromPos, len(s.events)):]})
	s.must(err)
	return text
}

func (s *runner) serveJournal(out http.ResponseWriter, in *http.Request) {
	fromPos, _ := strconv.Atoi(in.URL.Query().Get("tail"))
	wait, _ := strconv.Atoi(in.URL.Query().Get("max_wait"))
	s.mu.Lock()
	s.askedFrom = max(s.askedFrom, fromPos)
	eventAdded, upToDate := s.eventAdded, fromPos >= len(s.events)
	s.mu.Unlock()
	if upToDate {
		select {
		case <-eventAdded:
		case <-in.Context().Done():
			return
		case <-time.After(time.Duration(wait) * time.Millisecond):
		}
	}
	s.mu.Lock()
	fault := s.feedFault
	s.feedFault = ""
	s.mu.Unlock()
	text := s.journalResponse(fromPos)
	switch fault {
	case "break":
		out.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = out.Write(text[:len(text)/2])
		panic(http.ErrAbortHandler)
	case "silent":
		<-in.Context().Done()
	default:
		_, _ = out.Write(text)
	}
}

func (s *runner) changeFeed(how string) {
	switch how {
	case "moves":
		old := s.journalServer
		s.journalServer = httptest.NewServer(http.HandlerFunc(s.serveJournal))
		s.writeConfig()
		s.reload <- syscall.SIGHUP
		go old.Close()
	case "bad":
		s.must(os.WriteFile(s.configPath, []byte(`{"name":`), 0o600))
		s.reload <- syscall.SIGHUP
	default:
		s.mu.Lock()
		s.feedFault = how
		s.mu.Unlock()
	}
}

func (s *runner) writeConfig() {
	text, err := os.ReadFile("testdata/config.json")
	s.must(err)
	text = []byte(strings.NewReplacer("$LISTEN", s.listenAddress, "$JOURNAL", s.journalServer.Listener.Addr().String(), `"$KNOWN"`,
		string(s.journalResponse(0))).Replace(string(text)))
	for i := 0; i < len(s.configReplacements); i += 2 {
		text = bytes.ReplaceAll(text, []byte(s.configReplacements[i]), []byte(s.configReplacements[i+1]))
	}
	s.must(os.WriteFile(s.configPath, text, 0o600))
}

func (s *runner) start() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	s.must(err)
	s.listenAddress, s.configPath = l.Addr().String(), filepath.Join(s.t.TempDir(), "config.json")
	s.writeConfig()
	f, c, err := New(s.configPath, func(string) string { return "" }, zerolog.New(&s.log).With().Timestamp().Logger())
	s.must(err)
	if !strings.Contains(s.t.Name(), "leave") { // the other scripts need no lame duck time
		f.lameDuckTime = 0
	}
	f.dialer, s.frontEnd = s, f
	f.links.UpdateSettings(f.linkOptions(c))
	ctx, stop := context.WithCancel(context.Background())
	s.stop, s.left, s.reload = stop, make(chan error, 1), make(chan os.Signal, 1)
	left := s.left
	go func() { left <- f.serve(ctx, l, c, s.reload) }()
}

func (s *runner) end() {
	for _, c := range s.clients {
		c.conn.Close()
	}
	for _, nc := range s.idleConns {
		nc.Close()
	}
	if s.stop != nil {
		s.stop()
	}
	if s.left != nil {
		<-s.left
	}
	for _, w := range s.workers {
		w.close()
	}
	s.journalServer.CloseClientConnections()
	s.journalServer.Close()
}

// readyWorkers returns the number of workers that the router considers ready: its description has one field for each.
func (s *runner) readyWorkers() int { return len(strings.Fields(s.describeWorkers())) }

// describeWorkers returns the workers' part of the router's description.
func (s *runner) describeWorkers() string {
	description := make(chan string, 1)
	s.frontEnd.loop.Post(func() { description <- s.frontEnd.engine.Describe() })
	_, workers, _ := strings.Cut(<-description, ";")
	return workers
}

// waitFor waits until the condition holds.
func (s *runner) waitFor(condition func() bool) {
	for until := time.Now().Add(stepTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			s.fail("the expected state was not reached in time")
		}
	}
}

// check sends a check on the client's connection and returns whether the front end answers that it is ready.
func (s *runner) check(c *client) bool {
	_, err := c.conn.Write(frame("check", wire.CALL, 1, func(ctx context.Context, w wire.TProtocol) {}))
	s.must(err)
	_ = c.conn.SetReadDeadline(time.Now().Add(stepTimeout))
	var n uint32
	s.must(binary.Read(c.reader, binary.BigEndian, &n))
	text := make([]byte, n)
	_, err = io.ReadFull(c.reader, text)
	s.must(err)
	return bytes.Contains(text, []byte{wire.BOOL, 0, 3, 1})
}

// Dial implements httplink.Dialer. If the worker is late, it establishes the connection at once but returns it only
// when the worker's gate opens, even if the dial has been cancelled meanwhile.
func (s *runner) Dial(ctx context.Context, address string, within time.Duration) (*httpconn.Conn, error) {
	s.mu.Lock()
	var target *worker
	var gate chan bool
	for _, w := range s.workers {
		if w.listener.Addr().String() == address {
			target, gate = w, w.dialGate
		}
	}
	s.mu.Unlock()
	conn, err := httpconn.Dial(context.WithoutCancel(ctx), address, within)
	if gate != nil && err == nil {
		stop := context.AfterFunc(ctx, func() { target.abandoned <- true })
		defer stop()
		target.dialled <- true
		<-gate
	}
	return conn, err
}

// frame encodes a Thrift message in a frame.
func frame(name string, msgType wire.TMessageType, seq int32, args func(ctx context.Context, w wire.TProtocol)) []byte {
	ctx, buf := context.Background(), wire.NewTMemoryBuffer()
	w := wire.NewTBinaryProtocolConf(buf, nil)
	_ = w.WriteMessageBegin(ctx, name, msgType, seq)
	args(ctx, w)
	_ = w.WriteFieldStop(ctx)
	return append(binary.BigEndian.AppendUint32(nil, uint32(buf.Len())), buf.Bytes()...)
}

func executeFrame(seqText string, overrides []string) []byte {
	seq, _ := strconv.Atoi(seqText)
	fields := map[string]string{"method": "query", "rid": fmt.Sprintf("%016x", seq), "budget": "1000", "acct": "acme",
		"obj": "00000000000000f1", "facts": "memory_mb:100;lanes:4"}
	var names []string
	body := ""
	for _, override := range overrides {
		name, value, _ := strings.Cut(override, "=")
		if fields[name] = value; name == "body" {
			body = value
			delete(fields, name)
		} else if value == "" {
			delete(fields, name)
		}
	}
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	return frame("execute", wire.CALL, int32(seq), func(ctx context.Context, w wire.TProtocol) {
		_ = w.WriteFieldBegin(ctx, "fields", wire.MAP, 1)
		_ = w.WriteMapBegin(ctx, wire.STRING, wire.STRING, len(names))
		for _, name := range names {
			_ = w.WriteString(ctx, name)
			_ = w.WriteString(ctx, fields[name])
		}
		_ = w.WriteFieldBegin(ctx, "body", wire.STRING, 2)
		_ = w.WriteBinary(ctx, []byte(body))
	})
}

// readAnswer reads a reply and returns its number, and "ok" with its body, "denied" or "aborted".
func readAnswer(in *bufio.Reader) string {
	var n uint32
	if err := binary.Read(in, binary.BigEndian, &n); err != nil {
		return err.Error()
	}
	text := make([]byte, n)
	if _, err := io.ReadFull(in, text); err != nil {
		return err.Error()
	}
	ctx, buf := context.Background(), wire.NewTMemoryBuffer()
	buf.Write(text)
	r := wire.NewTBinaryProtocolConf(buf, nil)
	_, _, seq, err := r.ReadMessageBegin(ctx)
	_, _, resultField, err2 := r.ReadFieldBegin(ctx)
	if err != nil || err2 != nil {
		return fmt.Sprint(err, err2)
	}
	if resultField != 0 {
		return fmt.Sprintf("%d %s", seq, []string{"", "denied", "aborted"}[resultField])
	}
	_, _, _, _ = r.ReadFieldBegin(ctx)
	body, err := r.ReadString(ctx)
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(fmt.Sprintf("%d ok %s", seq, body))
}
