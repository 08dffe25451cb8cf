package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"mallowlanding/internal/control"
	"mallowlanding/internal/control/wire"
	"mallowlanding/internal/jsonrpc/jsontest"
	"mallowlanding/internal/settings"
)

// A file has conversations, each under a line of '== NAME', one step a line; '#' begins a comment. They are held
// over real sockets between the front end under test and scripted clients, workers and a roster.
//
//	set ATTRIBUTE=VALUE ...   of the element clients; functions.ATTRIBUTE, allow.ATTRIBUTE of those ($UID: one's own)
//	roster up|down            it serves, or is away
//	worker W [mute|deaf]      it serves; mute: it accepts and says nothing; deaf: it is ready and reads nothing
//	list W=STATE ...          the roster tells the whole list, and has it acknowledged; list-again: the same list twice
//	changes W=STATE ...       the roster tells changes
//	start                     the front end runs; it runs already at the first step of a client
//	stop | left               the front end is told to stop; it has left
//	C dials [deaf|SOCKET]     a client connects; deaf: it reads nothing until 'C reads'
//	C >* N TEXT | C <* N      it sends TEXT N times, and goes on meanwhile; it gets N lines
//	C cut                     it gets the end of the stream, whatever comes before
//	X > TEXT                  X sends TEXT and a line's end; X >> "GO STRING" sends it as it is
//	X < TEXT                  the next line that X gets; "*" stands for any JSON value; 'headers TEXT': behind headers
//	W < METHOD [$ID]          the next request or notification that the worker gets, pings passed over; binds its id
//	X nothing MS              X gets nothing for so long
//	X closes|half-closes|ends X closes; closes its sending side; gets the end of the stream
//	W stops                   the worker closes all and serves no more
//	config ok XML             a control service serves from the first such step on, or 'control up'; it numbers the
//	                          configuration (the service's elements, then after '|' the others; $DIR: the folder),
//	                          which is accepted
//	config no TEXT XML        it is turned down, and the reason holds TEXT
//	control up|down           the control service serves, or is away
//	cut-file|flip-file|full-file NAME   half of the file is lost, a bit of it changed, nothing can be written there
//	runs VERSION FROM         the front end tells that it runs it: from service, disk or own
//	wait MS
//
// $ID in a TEXT is the id that was bound; $BIG a string of a million bytes,
// $MANY four thousand requests with commas between.
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
				t.Parallel()
				hold(t, steps)
			})
		}
	}
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const patience = 5 * time.Second

// peer is one connection of a scripted client or worker.
type peer struct {
	nc    net.Conn
	lines chan string // closed at the stream's end
}

func (p *peer) read() {
	go func() {
		nc := p.nc
		defer close(p.lines)
		for b := bufio.NewReader(nc); ; {
			line, err := b.ReadString('\n')
			if line = strings.TrimSpace(line); strings.HasPrefix(line, "Content-Length: ") {
				n, _ := strconv.Atoi(strings.TrimPrefix(line, "Content-Length: "))
				value := make([]byte, n+2)
				_, err = io.ReadFull(b, value)
				line = "headers " + strings.TrimSpace(string(value))
			}
			if line != "" {
				p.lines <- line
			}
			if err != nil {
				return
			}
		}
	}()
}

func (p *peer) next(wait time.Duration) (string, error) {
	select {
	case line, open := <-p.lines:
		if !open {
			return "", io.EOF
		}
		return line, nil
	case <-time.After(wait):
		return "", errors.New("nothing comes")
	}
}

// server is a scripted worker or the roster.
type server struct {
	l     net.Listener
	mu    sync.Mutex
	conns []*peer
	came  chan *peer
}

func serveScript(path, hello string, deaf bool) (*server, error) {
	l, err := net.Listen("unix", path)
	if err != nil {
		return nil, err
	}
	s := &server{l: l, came: make(chan *peer, 100)}
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			if hello != "" {
				_, _ = io.WriteString(nc, hello+"\n")
			}
			p := &peer{nc: nc, lines: make(chan string, 1<<16)}
			if !deaf {
				p.read()
			}
			s.mu.Lock()
			s.conns = append(s.conns, p)
			s.mu.Unlock()
			s.came <- p
		}
	}()
	return s, nil
}

func (s *server) stop() {
	s.l.Close()
	s.drop()
}

func (s *server) drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.conns {
		p.nc.Close()
	}
	s.conns = nil
}

type talk struct {
	dir      string
	set      map[string]string
	peers    map[string]*peer
	servers  map[string]*server
	names    map[string]string
	version  int
	cancel   context.CancelFunc
	done     chan error
	finished bool
	control  context.CancelFunc
	ended    chan error
}

func hold(t *testing.T, steps string) {
	dir, err := os.MkdirTemp("", "ml")
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(dir)
	k := &talk{dir: dir, set: map[string]string{}, peers: map[string]*peer{}, servers: map[string]*server{},
		names: map[string]string{"$DIR": dir, "$BIG": `"` + strings.Repeat("x", 1e6) + `"`,
			"$MANY": strings.Repeat(`{"jsonrpc":"2.0","id":1,"method":"none"},`, 4000) + "1"}}
	defer k.end(t)
	for i, line := range strings.Split(steps, "\n") {
		if line = strings.TrimSpace(line); line == "" || line[0] == '#' {
			continue
		}
		if err := k.step(line); err != nil {
			t.Fatalf("line %d, %q: %v", i+2, line, err)
		}
	}
}

func (k *talk) end(t *testing.T) {
	for _, p := range k.peers {
		p.nc.Close()
	}
	if k.cancel != nil {
		k.cancel()
		if err := k.left(); err != nil {
			t.Error(err)
		}
	}
	if err := k.controlDown(); err != nil {
		t.Error(err)
	}
	for _, s := range k.servers {
		s.stop()
	}
}

func (k *talk) controlUp() error {
	if k.control != nil {
		return nil
	}
	file := filepath.Join(k.dir, "control.xml")
	text := fmt.Sprintf(`<control name="c" socket=%q peer-socket=%q dir=%q beat-ms="20"><rollout stages="1" hold-ms="0"/></control>`,
		k.path("control"), k.path("peer"), filepath.Join(k.dir, "store"))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	c, err := settings.ReadControl(file)
	if err != nil {
		return err
	}
	var ctx context.Context
	ctx, k.control = context.WithCancel(context.Background())
	k.ended = make(chan error, 1)
	ready := make(chan struct{})
	go func() { k.ended <- control.Serve(ctx, c, zerolog.Nop(), func() { close(ready) }) }()
	select {
	case <-ready:
		return nil
	case err := <-k.ended:
		return err
	}
}

func (k *talk) controlDown() error {
	if k.control == nil {
		return nil
	}
	k.control()
	k.control = nil
	return <-k.ended
}

// config has a configuration numbered and waits for its end.
func (k *talk) config(line string) error {
	if err := k.controlUp(); err != nil {
		return err
	}
	head, body, _ := strings.Cut(line, "<")
	service, more, _ := strings.Cut("<"+strings.ReplaceAll(body, "$DIR", k.dir), "|")
	service += `<functions orders="no"/>`
	w, err := control.Dial([]string{k.path("control")})
	if err != nil {
		return err
	}
	defer w.Close()
	ctx, end := context.WithTimeout(context.Background(), 2*patience)
	defer end()
	v, err := w.Submit(ctx, &wire.SubmitRequest{Text: "<configuration><service>" + service + "</service>" + more + "</configuration>", Unchecked: true})
	if err != nil {
		return err
	}
	for ; ; time.Sleep(5 * time.Millisecond) {
		_, st, err := w.Leader(ctx)
		if err != nil {
			return err
		}
		for _, s := range st.Versions {
			want, ok := strings.CutPrefix(strings.TrimSpace(head), "config no ")
			switch {
			case s.Version != v:
			case s.State == "accepted" && !ok:
				return nil
			case s.State == "withdrawn" && ok && strings.Contains(s.Reason, want):
				return nil
			case s.State != "rolling" && s.State != "waiting":
				return fmt.Errorf("version %d is %s: %s", v, s.State, s.Reason)
			}
		}
	}
}

// spoil cuts a file to its half, changes a byte of it, or makes the place such that nothing can be written there.
func (k *talk) spoil(how, file string) error {
	if how == "full-file" {
		return os.Mkdir(file+".new", 0o700)
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if how == "cut-file" {
		raw = raw[:len(raw)/2]
	} else {
		raw[len(raw)/2] ^= 4
	}
	return os.WriteFile(file, raw, 0o600)
}

// runs asks the front end for its status.
func (k *talk) runs(version, from string) error {
	nc, err := net.Dial("unix", k.path("front"))
	if err != nil {
		return err
	}
	defer nc.Close()
	in := bufio.NewReader(nc)
	last := ""
	for until := time.Now().Add(patience); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if _, err := io.WriteString(nc, `{"jsonrpc":"2.0","id":1,"method":"rpc.status"}`+"\n"); err != nil {
			return err
		}
		raw, err := in.ReadString('\n')
		if err != nil {
			return err
		}
		var a struct {
			Result Status `json:"result"`
		}
		if err := json.Unmarshal([]byte(raw), &a); err != nil {
			return err
		}
		if a.Result.Config == nil {
			return fmt.Errorf("no configuration in %s", raw)
		}
		last = fmt.Sprintf("%d %s", a.Result.Config.Version, strings.Fields(a.Result.Config.Source)[0])
		if last == version+" "+from {
			return nil
		}
	}
	return fmt.Errorf("it runs %s", last)
}

func (k *talk) left() error {
	if k.finished {
		return nil
	}
	select {
	case err := <-k.done:
		k.finished = true
		return err
	case <-time.After(2 * patience):
		return errors.New("the front end does not leave")
	}
}

func (k *talk) path(name string) string { return filepath.Join(k.dir, name+".sock") }

func (k *talk) attributes(level string) string {
	out := ""
	for name, value := range k.set {
		if before, after, found := strings.Cut(name, "."); found && before == level || !found && level == "" {
			if !found {
				after = name
			}
			out += fmt.Sprintf(" %s=%q", after, value)
		}
	}
	return out
}

// allow is the list of peers, where the conversation sets one.
func (k *talk) allow() string {
	if a := k.attributes("allow"); a != "" {
		return "<allow" + strings.ReplaceAll(a, "$UID", strconv.Itoa(os.Getuid())) + "/>"
	}
	return ""
}

func (k *talk) start() error {
	if k.set["functions.orders"] == "" {
		k.set["functions.orders"] = "no"
	}
	at := ""
	if k.set["control.keep"] != "" {
		at = fmt.Sprintf(`<control sockets=%q keep=%q redial-min-ms="10" redial-max-ms="50" figures-every-ms="50"/>`, k.path("control"),
			filepath.Join(k.dir, k.set["control.keep"]))
	}
	text := fmt.Sprintf(`<front-end name="front"><clients socket=%q%s>%s</clients><workers redial-max-ms="100"/>
<roster socket=%q cache=%q/>%s<service>
<method name="query" effect="idempotent" deadline-ms="2000"%s/>
<method name="book" effect="tokened" group="all" window-ms="2000" deadline-ms="1000"/>
<method name="hold" effect="side-effecting" deadline-ms="1000"/>
<functions%s/></service></front-end>`, k.path("front"), k.attributes(""), k.allow(), k.path("roster"),
		filepath.Join(k.dir, "list"), at, k.attributes("methods"), k.attributes("functions"))
	file := filepath.Join(k.dir, "front.xml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	f, err := settings.ReadFrontEnd(file)
	if err != nil {
		return err
	}
	var ctx context.Context
	ctx, k.cancel = context.WithCancel(context.Background())
	k.done = make(chan error, 1)
	k.finished = false
	ready := make(chan struct{})
	go func() { k.done <- Serve(ctx, f, zerolog.Nop(), func() { close(ready) }) }()
	select {
	case <-ready:
		return nil
	case err := <-k.done:
		k.finished = true
		return err
	}
}

func (k *talk) step(line string) error {
	f := strings.Fields(line)
	rest := func() string {
		text := strings.TrimSpace(strings.SplitN(line, f[1], 2)[1])
		for name, id := range k.names {
			text = strings.ReplaceAll(text, name, id)
		}
		return text
	}
	switch f[0] {
	case "set":
		for _, word := range f[1:] {
			name, value, _ := strings.Cut(word, "=")
			k.set[name] = value
		}
		return nil
	case "worker":
		hello := fmt.Sprintf(`{"jsonrpc":"2.0","method":"client.ready","params":{"worker":%q,"protocol":1}}`, f[1])
		deaf := len(f) > 2 && f[2] == "deaf"
		if len(f) > 2 && !deaf {
			hello = ""
		}
		s, err := serveScript(k.path(f[1]), hello, deaf)
		k.servers[f[1]] = s
		return err
	case "roster":
		if f[1] == ">" {
			_, err := io.WriteString(k.peers["roster"].nc, rest()+"\n")
			return err
		}
		if f[1] == "down" {
			k.servers["roster"].stop()
			return nil
		}
		s, err := serveScript(k.path("roster"), "", false)
		k.servers["roster"] = s
		return err
	case "list", "list-again", "changes":
		return k.list(f)
	case "start":
		return k.start()
	case "config":
		return k.config(line)
	case "runs":
		return k.runs(f[1], f[2])
	case "control":
		if f[1] == "up" {
			return k.controlUp()
		}
		return k.controlDown()
	case "cut-file", "flip-file", "full-file":
		return k.spoil(f[0], filepath.Join(k.dir, f[1]))
	case "stop":
		k.cancel()
		return nil
	case "left":
		return k.left()
	case "wait":
		n, err := strconv.Atoi(f[1])
		time.Sleep(time.Duration(n) * time.Millisecond)
		return err
	}
	if f[1] == "dials" {
		socket := "front"
		if len(f) > 2 && f[2] != "deaf" {
			socket, f = f[2], f[:2]
		}
		nc, err := net.Dial("unix", k.path(socket))
		if err == nil {
			k.peers[f[0]] = &peer{nc: nc, lines: make(chan string, 1<<16)}
			if len(f) == 2 {
				k.peers[f[0]].read()
			}
		}
		return err
	}
	if s := k.servers[f[0]]; s != nil {
		switch f[1] {
		case "stops":
			s.stop()
			return nil
		case "closes":
			s.drop()
			delete(k.peers, f[0])
			return nil
		}
		// the newest connection is the one spoken on
		for k.peers[f[0]] == nil || len(s.came) > 0 {
			select {
			case p := <-s.came:
				k.peers[f[0]] = p
			case <-time.After(patience):
				return errors.New("no connection comes")
			}
		}
	}
	p := k.peers[f[0]]
	if p == nil {
		return errors.New("nobody of that name")
	}
	if s := k.servers[f[0]]; s != nil && f[1] == "<" {
		return k.asked(s, f[0], f[2:])
	}
	switch f[1] {
	case ">":
		_, err := io.WriteString(p.nc, rest()+"\n")
		return err
	case ">>":
		text, err := strconv.Unquote(rest())
		if err == nil {
			_, err = io.WriteString(p.nc, text)
		}
		return err
	case "<":
		got, err := p.next(patience)
		if err == nil {
			err = same(got, rest())
		}
		return err
	case "reads":
		p.read()
		return nil
	case ">*":
		n, err := strconv.Atoi(f[2])
		text := strings.TrimSpace(strings.TrimPrefix(rest(), f[2]))
		go func() { // it may have to wait for its answers to be read
			for i := 0; i < n; i++ {
				_, _ = io.WriteString(p.nc, text+"\n")
			}
		}()
		return err
	case "<*":
		n, err := strconv.Atoi(f[2])
		for i := 0; i < n && err == nil; i++ {
			_, err = p.next(patience)
		}
		return err
	case "cut":
		for {
			if _, err := p.next(patience); err == io.EOF {
				return nil
			} else if err != nil {
				return err
			}
		}
	case "nothing":
		n, err := strconv.Atoi(f[2])
		if err != nil {
			return err
		}
		for {
			got, err := p.next(time.Duration(n) * time.Millisecond)
			if err != nil {
				return nil
			}
			if !strings.Contains(got, `"host.ping"`) {
				return fmt.Errorf("got %s", got)
			}
		}
	case "closes":
		return p.nc.Close()
	case "half-closes":
		return p.nc.(*net.UnixConn).CloseWrite()
	case "ends":
		if got, err := p.next(patience); err != io.EOF {
			return fmt.Errorf("got %q, %v", got, err)
		}
		return nil
	}
	return errors.New("unknown step")
}

// asked takes the next request that is no ping.
func (k *talk) asked(s *server, name string, words []string) error {
	for {
		got, err := k.heard(s, name)
		if err != nil {
			return err
		}
		var m struct {
			Method string `json:"method"`
			ID     any    `json:"id"`
		}
		if err := json.Unmarshal([]byte(got), &m); err != nil {
			return err
		}
		if m.Method == "host.ping" && words[0] != m.Method {
			continue
		}
		if m.Method != words[0] {
			return fmt.Errorf("got %s", got)
		}
		if len(words) > 1 {
			id, err := json.Marshal(m.ID)
			k.names[words[1]] = string(id)
			return err
		}
		return nil
	}
}

// heard is the next line that a scripted server gets, on a new connection where the last one has ended.
func (k *talk) heard(s *server, name string) (string, error) {
	for {
		got, err := k.peers[name].next(patience)
		if err != io.EOF {
			return got, err
		}
		select {
		case k.peers[name] = <-s.came:
		case <-time.After(patience):
			return "", errors.New("no further connection comes")
		}
	}
}

// list has the roster tell a list, and waits until the front end says that it was told.
func (k *talk) list(f []string) error {
	k.version++
	entries := []string{}
	for _, word := range f[1:] {
		name, state, _ := strings.Cut(word, "=")
		entries = append(entries, fmt.Sprintf(`{"name":%q,"socket":%q,"state":%q,"life":1,"age_ms":-1}`, name,
			k.path(name), state))
	}
	value := fmt.Sprintf(`{"jsonrpc":"2.0","method":"roster.list","params":{"version":%d,"whole":%t,"workers":[%s]}}`,
		k.version, f[0] != "changes", strings.Join(entries, ","))
	if f[0] == "list-again" {
		value += "\n" + value
	}
	s := k.servers["roster"]
	for k.peers["roster"] == nil || len(s.came) > 0 {
		select {
		case k.peers["roster"] = <-s.came:
		case <-time.After(patience):
			return errors.New("the front end does not ask the roster")
		}
	}
	_, _ = io.WriteString(k.peers["roster"].nc, value+"\n")
	for {
		got, err := k.heard(s, "roster")
		if err != nil {
			return err
		}
		if strings.Contains(got, "roster.watch") { // it came anew: tell it again
			_, _ = io.WriteString(k.peers["roster"].nc, value+"\n")
		}
		if strings.Contains(got, "roster.told") && strings.Contains(got, fmt.Sprintf(`"version":%d}`, k.version)) {
			return nil
		}
	}
}

// same compares JSON; "*" in want stands for anything.
func same(got, want string) error {
	if value, headers := strings.CutPrefix(got, "headers "); headers {
		if want, headers = strings.CutPrefix(want, "headers "); !headers {
			return fmt.Errorf("got headers and %s", value)
		}
		got = value
	}
	return jsontest.Same([]byte(got), []byte(want))
}
