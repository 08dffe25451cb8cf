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

// A file has conversations, each under a line of '== NAME', one step a line; '#' begins a comment. They are held over
// real sockets between the front end under test and scripted clients, workers and a journal service.
//
//	worker W [as V]           it listens; as V: at the address of V, which is gone
//	tell W=STATE ...          the journal service tells an event; the first one is told at the start
//	fleet N at W STATE        an event tells of N more workers at W's address
//	knows N                   the front end believes N workers ready
//	confirmed                 the list is evidence enough for all of its workers
//	feed break|silent|moves   the service breaks off its next answer, says nothing for it, or has a new address that
//	                          the front end is told of with a reload; bad: the front end is told nonsense
//	config OLD=>NEW           a text of the configuration is another from here on
//	start | stop | left       the front end runs; it is told to leave; it has left
//	reload                    the configuration is read again
//	known METHOD              the front end has heard of a method
//	told                      the front end has asked for what comes after the last event
//	C dials                   a client connects
//	C rpc N [FIELD=VALUE]...  it sends an RPC numbered N: method query, customer acme, function F, 1000 ms
//	C takes back N            it sends interrupt
//	C raw "GO STRING"         it sends these bytes
//	C check good|bad          it asks whether the front end is ready until it is answered so
//	C half N [FIELD=VALUE]... it sends the first half of an RPC
//	C rest                    it sends the other half
//	C gone | C resets | C ends  it closes its connection, with a reset, with a FIN whatever it has not read
//	C stands                  its connection is open, and nothing came
//	crowd N                   so many clients connect and say nothing
//	C < N ok BODY             its next answer is N's: ok with BODY, denied or aborted
//	C closed                  its connection ends, whatever comes before
//	W < VERB PATH [H=V]...    a message comes to W on any connection, with these heads; it answers checks by itself
//	W says "GO STRING"        W writes it where the last message came
//	W closes|resets           it ends that connection
//	W gone                    the front end ends the connection of the last message
//	W nothing MS              no message comes to W for so long
//	W late | W up             connections to W come up from now on, but the front end hears of it only at 'up'
//	W dialled                 one has come up that it has not heard of
//	W dropped                 the front end waits for that one no more
//	W empty                   a connection to W ends that nothing came on
//	W other                   the last message came on another connection than the one before
//	wait MS
func TestConversations(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no conversations: %v", err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		_, all, _ := strings.Cut("\n"+string(text), "\n== ")
		for part := range strings.SplitSeq(all, "\n== ") {
			name, steps, _ := strings.Cut(part, "\n")
			t.Run(filepath.Base(file)+"/"+name, func(t *testing.T) {
				goleak.VerifyNone(t, goleak.IgnoreCurrent())
				before := descriptors(t)
				s := &stage{t: t, workers: map[string]*worker{}, clients: map[string]*client{}}
				s.play(steps)
				s.end()
				for until := time.Now().Add(patience); descriptors(t) > before && time.Now().Before(until); {
					time.Sleep(time.Millisecond)
				}
				if now := descriptors(t); now > before {
					t.Errorf("%d descriptors are open, %d were before", now, before)
				}
				goleak.VerifyNone(t, goleak.IgnoreCurrent())
			})
		}
	}
}

// patience is how long a step waits for what must come.
const patience = 3 * time.Second

func descriptors(t *testing.T) int {
	all, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip(err)
	}
	return len(all)
}

type stage struct {
	t       *testing.T
	line    string
	workers map[string]*worker
	clients map[string]*client
	feed    *httptest.Server
	mu      sync.Mutex
	events  []any
	more    chan struct{} // closed with each event
	mood    string
	path    string
	reload  chan os.Signal
	stop    context.CancelFunc
	left    chan error
	listen  string
	config  []string // texts and what stands for them
	asked   int      // the latest number that the journal service was asked from
	f       *FrontEnd
	crowd   []net.Conn
}

type message struct {
	nc   net.Conn
	head *http.Request
}

type worker struct {
	l    net.Listener
	came chan message
	last net.Conn
	was  net.Conn  // of the message before
	ends chan bool // a connection ended; true: nothing had come on it
	late chan bool // nil: connections are told of at once; else once it is closed; under the stage's lock
	up   chan bool // one waits for that
	drop chan bool // nobody waits for that one any more
	mu   sync.Mutex
	all  []net.Conn
}

type client struct {
	nc   net.Conn
	in   *bufio.Reader
	rest []byte
}

func (s *stage) fail(format string, args ...any) {
	s.t.Helper()
	s.t.Fatalf("line %q: %s", s.line, fmt.Sprintf(format, args...))
}

func (s *stage) must(err error) {
	s.t.Helper()
	if err != nil {
		s.fail("%v", err)
	}
}

func (s *stage) play(steps string) {
	s.more = make(chan struct{})
	s.feed = httptest.NewServer(http.HandlerFunc(s.journal))
	for line := range strings.SplitSeq(steps, "\n") {
		line, _, _ = strings.Cut(line, "#")
		if s.line = strings.TrimSpace(line); s.line == "" {
			continue
		}
		words := strings.Fields(s.line)
		_, text, _ := strings.Cut(s.line, `"`)
		if text != "" && words[0] != "config" {
			var err error
			text, err = strconv.Unquote(`"` + text)
			s.must(err)
		}
		w, c := s.workers[words[0]], s.clients[words[0]]
		switch {
		case words[0] == "worker":
			s.worker(words[1], words[2:])
		case words[0] == "tell":
			s.tell(words[1:])
		case words[0] == "fleet":
			s.tellFleet(words[1], s.workers[words[3]], words[4])
		case words[0] == "knows":
			many, err := strconv.Atoi(words[1])
			s.must(err)
			s.until(func() bool { return s.ready() == many })
		case words[0] == "confirmed":
			s.until(func() bool { view := s.view(); return view != "" && !strings.Contains(view, "U") })
		case words[0] == "feed":
			s.turnFeed(words[1])
		case words[0] == "start":
			s.start()
		case words[0] == "config":
			before, after, _ := strings.Cut(strings.TrimSpace(strings.TrimPrefix(s.line, "config")), "=>")
			s.config = append(s.config, before, after)
		case words[0] == "reload":
			s.configure()
			s.reload <- syscall.SIGHUP
		case words[0] == "known":
			s.until(func() bool { _, known := s.f.desk.MethodIndex(words[1]); return known })
		case words[0] == "told":
			s.until(func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.asked >= len(s.events) })
		case words[0] == "crowd":
			n, err := strconv.Atoi(words[1])
			s.must(err)
			for range n {
				nc, err := net.Dial("tcp", s.listen)
				s.must(err)
				s.crowd = append(s.crowd, nc)
			}
		case words[0] == "stop":
			s.stop()
		case words[0] == "left":
			select {
			case err := <-s.left:
				s.must(err)
				s.left = nil
			case <-time.After(patience):
				s.fail("it has not")
			}
		case words[0] == "wait":
			ms, err := strconv.Atoi(words[1])
			s.must(err)
			time.Sleep(time.Duration(ms) * time.Millisecond)
		case words[1] == "dials":
			nc, err := net.Dial("tcp", s.listen)
			s.must(err)
			s.clients[words[0]] = &client{nc: nc, in: bufio.NewReader(nc)}
		case c != nil:
			s.client(c, words[1:], text)
		case w != nil:
			s.work(w, words[1:], text)
		default:
			s.fail("nobody")
		}
	}
}

func (s *stage) client(c *client, words []string, text string) {
	var err error
	switch words[0] {
	case "rpc":
		_, err = c.nc.Write(execute(words[1], words[2:]))
	case "takes":
		seq, _ := strconv.Atoi(words[2])
		_, err = c.nc.Write(frame("interrupt", wire.ONEWAY, 99, func(ctx context.Context, w wire.TProtocol) {
			_ = w.WriteFieldBegin(ctx, "seqid", wire.I32, 1)
			_ = w.WriteI32(ctx, int32(seq))
		}))
	case "raw":
		_, err = c.nc.Write([]byte(text))
	case "check":
		want := map[string]bool{"good": true, "bad": false}[words[1]]
		s.until(func() bool { return s.check(c) == want })
	case "half":
		frame := execute(words[1], words[2:])
		c.rest = frame[len(frame)/2:]
		_, err = c.nc.Write(frame[:len(frame)/2])
	case "rest":
		_, err = c.nc.Write(c.rest)
	case "gone":
		c.nc.Close()
	case "ends":
		s.must(c.nc.(*net.TCPConn).CloseWrite())
	case "resets":
		s.must(c.nc.(*net.TCPConn).SetLinger(0))
		c.nc.Close()
	case "stands":
		_ = c.nc.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		if _, e := c.in.Peek(1); !os.IsTimeout(e) {
			s.fail("it ended, or something came: %v", e)
		}
	case "<":
		want := strings.Join(words[1:], " ")
		_ = c.nc.SetReadDeadline(time.Now().Add(patience))
		if got := answer(c.in); got != want {
			s.fail("got %q", got)
		}
	case "closed":
		_ = c.nc.SetReadDeadline(time.Now().Add(patience))
		if _, e := io.Copy(io.Discard, c.in); os.IsTimeout(e) {
			s.fail("it is open")
		}
	default:
		s.fail("no such step")
	}
	s.must(err)
}

func (s *stage) work(w *worker, words []string, text string) {
	switch words[0] {
	case "<":
		select {
		case m := <-w.came:
			if got := m.head.Method + " " + m.head.RequestURI; got != words[1]+" "+words[2] {
				s.fail("got %s", got)
			}
			for _, head := range words[3:] {
				name, value, _ := strings.Cut(head, "=")
				if got := m.head.Header.Get(name); got != value {
					s.fail("%s is %q", name, got)
				}
			}
			w.was, w.last = w.last, m.nc
		case <-time.After(patience):
			s.fail("nothing came")
		}
	case "late":
		s.mu.Lock()
		w.late = make(chan bool)
		s.mu.Unlock()
	case "up":
		s.mu.Lock()
		close(w.late)
		s.mu.Unlock()
	case "dropped":
		select {
		case <-w.drop:
		case <-time.After(patience):
			s.fail("it is still waited for")
		}
	case "dialled":
		select {
		case <-w.up:
		case <-time.After(patience):
			s.fail("it has not")
		}
	case "empty":
		for {
			select {
			case empty := <-w.ends:
				if empty {
					return
				}
				continue
			case m := <-w.came:
				s.fail("got %s %s", m.head.Method, m.head.RequestURI)
			case <-time.After(patience):
				s.fail("none ended")
			}
		}
	case "other":
		if w.was == w.last {
			s.fail("it is the same")
		}
	case "says":
		_, err := w.last.Write([]byte(text))
		s.must(err)
	case "closes":
		w.last.Close()
	case "resets":
		s.must(w.last.(*net.TCPConn).SetLinger(0))
		w.last.Close()
	case "gone":
		for until := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
			if _, err := w.last.Write([]byte(" ")); err != nil {
				return
			} else if time.Now().After(until) {
				s.fail("it stands")
			}
		}
	case "nothing":
		ms, err := strconv.Atoi(words[1])
		s.must(err)
		select {
		case m := <-w.came:
			s.fail("got %s %s", m.head.Method, m.head.RequestURI)
		case <-time.After(time.Duration(ms) * time.Millisecond):
		}
	default:
		s.fail("no such step")
	}
}

// worker listens and hands over each message that comes, on whichever connection.
func (s *stage) worker(name string, as []string) {
	address := "127.0.0.1:0"
	if len(as) > 0 {
		old := s.workers[as[1]]
		address = old.l.Addr().String()
		old.close()
	}
	l, err := net.Listen("tcp", address)
	s.must(err)
	w := &worker{l: l, came: make(chan message, 64), ends: make(chan bool, 64), up: make(chan bool, 64),
		drop: make(chan bool, 64)}
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
			w.all = append(w.all, nc)
			w.mu.Unlock()
			go func() {
				defer nc.Close()
				empty := true
				for in := bufio.NewReader(nc); ; {
					head, err := http.ReadRequest(in)
					if err != nil {
						w.ends <- empty
						return
					}
					empty = false
					if _, err = io.Copy(io.Discard, head.Body); err != nil {
						return
					}
					if head.RequestURI == "/-/gauges" {
						_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nX-Meter: busy:0.1;x0:0.1\r\nContent-Length: 0\r\n\r\n")
						continue
					}
					w.came <- message{nc, head}
				}
			}()
		}
	}()
}

func (w *worker) close() {
	w.l.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, nc := range w.all {
		nc.Close()
	}
}

// tell adds an event.
func (s *stage) tell(words []string) {
	var list []any
	for _, word := range words {
		name, state, _ := strings.Cut(word, "=")
		list = append(list, s.listed(name, s.workers[name], state))
	}
	s.tellList(list)
}

// tellFleet tells of so many workers, all at the address of one.
func (s *stage) tellFleet(count string, at *worker, state string) {
	many, err := strconv.Atoi(count)
	s.must(err)
	var list []any
	for i := range many {
		list = append(list, s.listed(fmt.Sprintf("fleet-%d", i), at, state))
	}
	s.tellList(list)
}

// listed is a worker's entry in the list.
func (s *stage) listed(name string, w *worker, state string) any {
	return map[string]any{"instanceId": name, "hostPort": w.l.Addr().String(), "zone": "a", "machineType": "std", "cell": 1,
		"lifecycle": state, "weight": 1, "startedAtMs": 0}
}

func (s *stage) tellList(list []any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pos := len(s.events) + 1
	s.events = append(s.events, map[string]any{"pos": pos, "hosts": map[string]any{"generation": pos, "reset": pos == 1, "instances": list}})
	close(s.more)
	s.more = make(chan struct{})
}

func (s *stage) known(tail int) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	text, err := json.Marshal(map[string]any{"pos": len(s.events), "entries": s.events[min(tail, len(s.events)):]})
	s.must(err)
	return text
}

func (s *stage) journal(out http.ResponseWriter, in *http.Request) {
	tail, _ := strconv.Atoi(in.URL.Query().Get("tail"))
	wait, _ := strconv.Atoi(in.URL.Query().Get("max_wait"))
	s.mu.Lock()
	s.asked = max(s.asked, tail)
	more, none := s.more, tail >= len(s.events)
	s.mu.Unlock()
	if none {
		select {
		case <-more:
		case <-in.Context().Done():
			return
		case <-time.After(time.Duration(wait) * time.Millisecond):
		}
	}
	s.mu.Lock()
	mood := s.mood
	s.mood = ""
	s.mu.Unlock()
	text := s.known(tail)
	switch mood {
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

func (s *stage) turnFeed(how string) {
	switch how {
	case "moves":
		old := s.feed
		s.feed = httptest.NewServer(http.HandlerFunc(s.journal))
		s.configure()
		s.reload <- syscall.SIGHUP
		go old.Close()
	case "bad":
		s.must(os.WriteFile(s.path, []byte(`{"name":`), 0o600))
		s.reload <- syscall.SIGHUP
	default:
		s.mu.Lock()
		s.mood = how
		s.mu.Unlock()
	}
}

func (s *stage) configure() {
	text, err := os.ReadFile("testdata/config.json")
	s.must(err)
	text = []byte(strings.NewReplacer("$LISTEN", s.listen, "$JOURNAL", s.feed.Listener.Addr().String(), `"$KNOWN"`,
		string(s.known(0))).Replace(string(text)))
	for i := 0; i < len(s.config); i += 2 {
		text = bytes.ReplaceAll(text, []byte(s.config[i]), []byte(s.config[i+1]))
	}
	s.must(os.WriteFile(s.path, text, 0o600))
}

func (s *stage) start() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	s.must(err)
	s.listen, s.path = l.Addr().String(), filepath.Join(s.t.TempDir(), "config.json")
	s.configure()
	f, c, err := New(s.path, func(string) string { return "" }, zerolog.Nop())
	s.must(err)
	if !strings.Contains(s.t.Name(), "leave") { // others need not wait for what the platform still sends
		f.lame = 0
	}
	f.dials, s.f = s, f
	f.links.UpdateSettings(f.linkOptions(c))
	ctx, stop := context.WithCancel(context.Background())
	s.stop, s.left, s.reload = stop, make(chan error, 1), make(chan os.Signal, 1)
	left := s.left
	go func() { left <- f.serve(ctx, l, c, s.reload) }()
}

func (s *stage) end() {
	for _, c := range s.clients {
		c.nc.Close()
	}
	for _, nc := range s.crowd {
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
	s.feed.CloseClientConnections()
	s.feed.Close()
}

// ready is how many workers the front end believes ready: each has one group of figures in the module's view.
func (s *stage) ready() int { return len(strings.Fields(s.view())) }

// view is the part of the module's view that tells of workers.
func (s *stage) view() string {
	view := make(chan string, 1)
	s.f.loop.Post(func() { view <- s.f.e.Describe() })
	_, workers, _ := strings.Cut(<-view, ";")
	return workers
}

// until waits for what must come.
func (s *stage) until(is func() bool) {
	for until := time.Now().Add(patience); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			s.fail("it is not so")
		}
	}
}

// check asks whether the front end is ready.
func (s *stage) check(c *client) bool {
	_, err := c.nc.Write(frame("check", wire.CALL, 1, func(ctx context.Context, w wire.TProtocol) {}))
	s.must(err)
	_ = c.nc.SetReadDeadline(time.Now().Add(patience))
	var n uint32
	s.must(binary.Read(c.in, binary.BigEndian, &n))
	text := make([]byte, n)
	_, err = io.ReadFull(c.in, text)
	s.must(err)
	return bytes.Contains(text, []byte{wire.BOOL, 0, 3, 1})
}

// Dial implements httplink.Dialer: a connection to a worker that is late comes up, but the front end hears of it only
// once the worker says so, whether it still wants to know or not.
func (s *stage) Dial(ctx context.Context, address string, within time.Duration) (*httpconn.Conn, error) {
	s.mu.Lock()
	var to *worker
	var late chan bool
	for _, w := range s.workers {
		if w.l.Addr().String() == address {
			to, late = w, w.late
		}
	}
	s.mu.Unlock()
	conn, err := httpconn.Dial(context.WithoutCancel(ctx), address, within)
	if late != nil && err == nil {
		stop := context.AfterFunc(ctx, func() { to.drop <- true })
		defer stop()
		to.up <- true
		<-late
	}
	return conn, err
}

// frame encodes a message.
func frame(name string, form wire.TMessageType, seq int32, args func(ctx context.Context, w wire.TProtocol)) []byte {
	ctx, buf := context.Background(), wire.NewTMemoryBuffer()
	w := wire.NewTBinaryProtocolConf(buf, nil)
	_ = w.WriteMessageBegin(ctx, name, form, seq)
	args(ctx, w)
	_ = w.WriteFieldStop(ctx)
	return append(binary.BigEndian.AppendUint32(nil, uint32(buf.Len())), buf.Bytes()...)
}

func execute(number string, changes []string) []byte {
	seq, _ := strconv.Atoi(number)
	fields := map[string]string{"method": "query", "rid": fmt.Sprintf("%016x", seq), "budget": "1000", "acct": "acme",
		"obj": "00000000000000f1", "facts": "memory_mb:100;lanes:4"}
	var names []string
	body := ""
	for _, change := range changes {
		name, value, _ := strings.Cut(change, "=")
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

// answer reads a reply: its number, and ok with its body, denied or aborted.
func answer(in *bufio.Reader) string {
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
	_, _, which, err2 := r.ReadFieldBegin(ctx)
	if err != nil || err2 != nil {
		return fmt.Sprint(err, err2)
	}
	if which != 0 {
		return fmt.Sprintf("%d %s", seq, []string{"", "denied", "aborted"}[which])
	}
	_, _, _, _ = r.ReadFieldBegin(ctx)
	body, err := r.ReadString(ctx)
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(fmt.Sprintf("%d ok %s", seq, body))
}
