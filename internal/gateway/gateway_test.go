package gateway

import (
	"bufio"
	"cmp"
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
	"mallowlanding/internal/sockio"
)

// TestConversations runs the scripts of testdata. A file has conversations, each under a line '== NAME', with one
// step a line; '#' begins a comment. The front end under test talks to scripted clients, workers and a roster over
// real sockets.
//
//	set ATTRIBUTE=VALUE ...   sets attributes of the element clients; functions.ATTRIBUTE, methods.ATTRIBUTE and
//	                          allow.ATTRIBUTE: of those ($UID: the test's user id); methods, hold: of the methods query, hold;
//	                          control.keep: the file in which the configuration is saved
//	roster up|down            starts or stops the roster
//	worker W [mute|deaf]      starts a worker; mute: it accepts and sends nothing; deaf: it is ready and reads nothing
//	                          until 'W reads'
//	list W=STATE ...          the roster sends a full list and waits for the acknowledgment; list-again: sends it twice
//	changes W=STATE ...       the roster sends changes and waits for the acknowledgment
//	start                     starts the front end and waits until it accepts RPCs
//	stop | left               stop: begins to stop the front end; left: waits until it has stopped
//	C dials [deaf|SOCKET]     a client connects; deaf: it reads nothing until 'C reads'
//	C >* N TEXT | C <* N      C sends TEXT N times in the background; C receives N lines
//	C cut                     C receives the end of the stream, whatever comes before
//	X > TEXT                  X sends TEXT and a newline; X >> "GO STRING" sends the string as it is
//	X < TEXT                  X receives TEXT as its next line; "*" stands for any JSON value; 'headers TEXT': a value
//	                          after headers
//	W < METHOD [$ID]          W receives METHOD as its next message, pings ignored; $ID is bound to its id
//	X nothing MS              X receives nothing for MS ms, pings ignored
//	X closes|half-closes|ends X closes; closes its sending side; receives the end of the stream
//	W fills                   waits until the front end has sent a deaf worker as much as its socket takes
//	W reconnects              waits until the front end has opened another connection
//	W stops                   the worker closes its connections and its socket
//	config ok XML             submits a configuration to the control service, which is started if needed and numbers the
//	                          configuration; it must be accepted. XML: the service's elements, then after '|' the
//	                          others; $DIR: the test's folder
//	config no TEXT XML        submits a configuration, which must be refused for a reason that contains TEXT
//	control up|down           starts or stops the control service
//	cut-file|flip-file|full-file NAME   cuts the file to half, changes a bit of it, or makes writing it impossible
//	runs VERSION FROM         waits until the front end runs the version, loaded from FROM: service, disk or own
//	wait MS                   waits for MS ms
//
// In a TEXT, $ID is the id that was bound, $BIG a string of a million bytes, and $MANY four thousand requests
// separated by commas.
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
		_, conversations, _ := strings.Cut("\n"+string(text), "\n== ")
		for script := range strings.SplitSeq(conversations, "\n== ") {
			name, steps, _ := strings.Cut(script, "\n")
			t.Run(filepath.Base(file)+"/"+name, func(t *testing.T) {
				t.Parallel()
				runConversation(t, steps)
			})
		}
	}
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// stepTimeout is how long a step waits for what it expects.
const stepTimeout = 5 * time.Second

// peer is one connection of a scripted client or worker.
type peer struct {
	nc    net.Conn
	lines chan string // received lines; closed at the end of the stream
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
		return "", errors.New("nothing received before the timeout")
	}
}

// server is a scripted worker or roster.
type server struct {
	l        net.Listener
	mu       sync.Mutex
	conns    []*peer
	accepted chan *peer
}

func serveScript(path, hello string, deaf bool) (*server, error) {
	l, err := net.Listen("unix", path)
	if err != nil {
		return nil, err
	}
	s := &server{l: l, accepted: make(chan *peer, 100)}
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
			s.accepted <- p
		}
	}()
	return s, nil
}

func (s *server) stop() {
	s.l.Close()
	s.closeConns()
}

func (s *server) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.conns {
		p.nc.Close()
	}
	s.conns = nil
}

// conversation is the state of one script.
type conversation struct {
	dir         string
	attrs       map[string]string
	peers       map[string]*peer
	servers     map[string]*server
	bindings    map[string]string
	version     int
	cancel      context.CancelFunc
	done        chan error
	exited      bool
	stopControl context.CancelFunc
	controlDone chan error
}

func runConversation(t *testing.T, steps string) {
	dir, err := os.MkdirTemp("", "ml")
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(dir)
	k := &conversation{dir: dir, attrs: map[string]string{}, peers: map[string]*peer{}, servers: map[string]*server{},
		bindings: map[string]string{"$DIR": dir, "$BIG": `"` + strings.Repeat("x", 1e6) + `"`,
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

func (k *conversation) end(t *testing.T) {
	for _, p := range k.peers {
		p.nc.Close()
	}
	if k.cancel != nil {
		k.cancel()
		if err := k.awaitExit(); err != nil {
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

func (k *conversation) controlUp() error {
	if k.stopControl != nil {
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
	ctx, k.stopControl = context.WithCancel(context.Background())
	k.controlDone = make(chan error, 1)
	ready := make(chan struct{})
	go func() { k.controlDone <- control.Serve(ctx, c, zerolog.Nop(), func() { close(ready) }) }()
	select {
	case <-ready:
		return nil
	case err := <-k.controlDone:
		return err
	}
}

func (k *conversation) controlDown() error {
	if k.stopControl == nil {
		return nil
	}
	k.stopControl()
	k.stopControl = nil
	return <-k.controlDone
}

// config submits a configuration and waits until it is accepted or refused.
func (k *conversation) config(line string) error {
	if err := k.controlUp(); err != nil {
		return err
	}
	head, body, _ := strings.Cut(line, "<")
	service, more, _ := strings.Cut("<"+strings.ReplaceAll(body, "$DIR", k.dir), "|")
	service += `<functions orders="no"/>`
	client, err := control.Dial([]string{k.path("control")})
	if err != nil {
		return err
	}
	defer client.Close()
	ctx, end := context.WithTimeout(context.Background(), 2*stepTimeout)
	defer end()
	version, err := client.Submit(ctx, &wire.SubmitRequest{Text: "<configuration><service>" + service + "</service>" + more + "</configuration>", Unchecked: true})
	if err != nil {
		return err
	}
	for ; ; time.Sleep(5 * time.Millisecond) {
		_, status, err := client.Leader(ctx)
		if err != nil {
			return err
		}
		for _, v := range status.Versions {
			want, ok := strings.CutPrefix(strings.TrimSpace(head), "config no ")
			switch {
			case v.Version != version:
			case v.State == "accepted" && !ok:
				return nil
			case v.State == "withdrawn" && ok && strings.Contains(v.Reason, want):
				return nil
			case v.State != "rolling" && v.State != "waiting":
				return fmt.Errorf("version %d is %s: %s", version, v.State, v.Reason)
			}
		}
	}
}

// damageFile cuts a file to half, changes a bit of it, or blocks its temporary name so that it cannot be replaced.
func (k *conversation) damageFile(step, file string) error {
	if step == "full-file" {
		return os.Mkdir(file+".new", 0o700)
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if step == "cut-file" {
		raw = raw[:len(raw)/2]
	} else {
		raw[len(raw)/2] ^= 4
	}
	return os.WriteFile(file, raw, 0o600)
}

// checkRunning waits until rpc.status reports the version and its source.
func (k *conversation) checkRunning(version, source string) error {
	nc, err := net.Dial("unix", k.path("front"))
	if err != nil {
		return err
	}
	defer nc.Close()
	in := bufio.NewReader(nc)
	last := ""
	for deadline := time.Now().Add(stepTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if _, err := io.WriteString(nc, `{"jsonrpc":"2.0","id":1,"method":"rpc.status"}`+"\n"); err != nil {
			return err
		}
		raw, err := in.ReadString('\n')
		if err != nil {
			return err
		}
		var response struct {
			Result Status `json:"result"`
		}
		if err := json.Unmarshal([]byte(raw), &response); err != nil {
			return err
		}
		if response.Result.Config == nil {
			return fmt.Errorf("rpc.status reports no configuration: %s", raw)
		}
		last = fmt.Sprintf("%d %s", response.Result.Config.Version, strings.Fields(response.Result.Config.Source)[0])
		if last == version+" "+source {
			return nil
		}
	}
	return fmt.Errorf("the front end runs version %s", last)
}

func (k *conversation) awaitExit() error {
	if k.exited {
		return nil
	}
	select {
	case err := <-k.done:
		k.exited = true
		return err
	case <-time.After(2 * stepTimeout):
		return errors.New("the front end does not stop")
	}
}

func (k *conversation) path(name string) string { return filepath.Join(k.dir, name+".sock") }

func (k *conversation) attributes(level string) string {
	out := ""
	for name, value := range k.attrs {
		if before, after, found := strings.Cut(name, "."); found && before == level || !found && level == "" {
			if !found {
				after = name
			}
			out += fmt.Sprintf(" %s=%q", after, value)
		}
	}
	return out
}

// allowElement returns the element allow, if the script sets its attributes.
func (k *conversation) allowElement() string {
	if a := k.attributes("allow"); a != "" {
		return "<allow" + strings.ReplaceAll(a, "$UID", strconv.Itoa(os.Getuid())) + "/>"
	}
	return ""
}

func (k *conversation) start() error {
	for name, value := range map[string]string{"functions.orders": "no", "methods.deadline-ms": "2000", "hold.deadline-ms": "1000"} {
		k.attrs[name] = cmp.Or(k.attrs[name], value)
	}
	controlElement := ""
	if k.attrs["control.keep"] != "" {
		controlElement = fmt.Sprintf(`<control sockets=%q keep=%q redial-min-ms="10" redial-max-ms="50" figures-every-ms="50"/>`, k.path("control"),
			filepath.Join(k.dir, k.attrs["control.keep"]))
	}
	text := fmt.Sprintf(`<front-end name="front"><clients socket=%q%s>%s</clients><workers redial-max-ms="100"/>
<roster socket=%q cache=%q/>%s<service>
<method name="query" effect="idempotent"%s/>
<method name="book" effect="tokened" group="all" window-ms="2000" deadline-ms="1000"/>
<method name="hold" effect="side-effecting"%s/>
<functions%s/></service></front-end>`, k.path("front"), k.attributes(""), k.allowElement(), k.path("roster"),
		filepath.Join(k.dir, "list"), controlElement, k.attributes("methods"), k.attributes("hold"), k.attributes("functions"))
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
	k.exited = false
	ready := make(chan struct{})
	go func() { k.done <- Serve(ctx, f, zerolog.Nop(), func() { close(ready) }) }()
	select {
	case <-ready:
		return nil
	case err := <-k.done:
		k.exited = true
		return err
	}
}

func (k *conversation) step(line string) error {
	words := strings.Fields(line)
	rest := func() string {
		text := strings.TrimSpace(strings.SplitN(line, words[1], 2)[1])
		for name, id := range k.bindings {
			text = strings.ReplaceAll(text, name, id)
		}
		return text
	}
	switch words[0] {
	case "set":
		for _, word := range words[1:] {
			name, value, _ := strings.Cut(word, "=")
			k.attrs[name] = value
		}
		return nil
	case "worker":
		hello := fmt.Sprintf(`{"jsonrpc":"2.0","method":"client.ready","params":{"worker":%q,"protocol":1}}`, words[1])
		deaf := len(words) > 2 && words[2] == "deaf"
		if len(words) > 2 && !deaf {
			hello = ""
		}
		s, err := serveScript(k.path(words[1]), hello, deaf)
		k.servers[words[1]] = s
		return err
	case "roster":
		if words[1] == ">" {
			_, err := io.WriteString(k.peers["roster"].nc, rest()+"\n")
			return err
		}
		if words[1] == "down" {
			k.servers["roster"].stop()
			return nil
		}
		s, err := serveScript(k.path("roster"), "", false)
		k.servers["roster"] = s
		return err
	case "list", "list-again", "changes":
		return k.sendList(words)
	case "start":
		return k.start()
	case "config":
		return k.config(line)
	case "runs":
		return k.checkRunning(words[1], words[2])
	case "control":
		if words[1] == "up" {
			return k.controlUp()
		}
		return k.controlDown()
	case "cut-file", "flip-file", "full-file":
		return k.damageFile(words[0], filepath.Join(k.dir, words[1]))
	case "stop":
		k.cancel()
		return nil
	case "left":
		return k.awaitExit()
	case "wait":
		n, err := strconv.Atoi(words[1])
		time.Sleep(time.Duration(n) * time.Millisecond)
		return err
	}
	if words[1] == "dials" {
		socket := "front"
		if len(words) > 2 && words[2] != "deaf" {
			socket, words = words[2], words[:2]
		}
		nc, err := net.Dial("unix", k.path(socket))
		if err == nil {
			k.peers[words[0]] = &peer{nc: nc, lines: make(chan string, 1<<16)}
			if len(words) == 2 {
				k.peers[words[0]].read()
			}
		}
		return err
	}
	if s := k.servers[words[0]]; s != nil {
		switch words[1] {
		case "stops":
			s.stop()
			return nil
		case "reconnects":
			select {
			case k.peers[words[0]] = <-s.accepted:
				return nil
			case <-time.After(stepTimeout):
				return errors.New("the front end does not connect again")
			}
		case "closes":
			s.closeConns()
			delete(k.peers, words[0])
			return nil
		}
		// the script uses the newest connection
		for k.peers[words[0]] == nil || len(s.accepted) > 0 {
			select {
			case p := <-s.accepted:
				k.peers[words[0]] = p
			case <-time.After(stepTimeout):
				return errors.New("the front end does not connect")
			}
		}
	}
	p := k.peers[words[0]]
	if p == nil {
		return errors.New("no client or server of that name")
	}
	if s := k.servers[words[0]]; s != nil && words[1] == "<" {
		return k.nextRequest(s, words[0], words[2:])
	}
	switch words[1] {
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
		got, err := p.next(stepTimeout)
		if err == nil {
			err = matchJSON(got, rest())
		}
		return err
	case "reads":
		p.read()
		return nil
	case "fills":
		return awaitFull(p.nc)
	case ">*":
		n, err := strconv.Atoi(words[2])
		text := strings.TrimSpace(strings.TrimPrefix(rest(), words[2]))
		go func() { // the write may block until the answers are read
			for i := 0; i < n; i++ {
				_, _ = io.WriteString(p.nc, text+"\n")
			}
		}()
		return err
	case "<*":
		n, err := strconv.Atoi(words[2])
		for i := 0; i < n && err == nil; i++ {
			_, err = p.next(stepTimeout)
		}
		return err
	case "cut":
		for {
			if _, err := p.next(stepTimeout); err == io.EOF {
				return nil
			} else if err != nil {
				return err
			}
		}
	case "nothing":
		n, err := strconv.Atoi(words[2])
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
		if got, err := p.next(stepTimeout); err != io.EOF {
			return fmt.Errorf("got %q, %v", got, err)
		}
		return nil
	}
	return errors.New("unknown step")
}

// fullSocket is more than the small messages that come before a large one, and less than any socket takes.
const fullSocket = 32 << 10

// awaitFull waits until the connection holds unread bytes of a large message.
func awaitFull(nc net.Conn) error {
	socket := sockio.NewSocket(nc)
	for deadline := time.Now().Add(stepTimeout); socket.Unread() < fullSocket; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			return errors.New("the front end sends no large message")
		}
	}
	return nil
}

// nextRequest checks the method of the next request or notification, ignoring pings, and binds its id.
func (k *conversation) nextRequest(s *server, name string, words []string) error {
	for {
		got, err := k.nextLine(s, name)
		if err != nil {
			return err
		}
		var message struct {
			Method string `json:"method"`
			ID     any    `json:"id"`
		}
		if err := json.Unmarshal([]byte(got), &message); err != nil {
			return err
		}
		if message.Method == "host.ping" && words[0] != message.Method {
			continue
		}
		if message.Method != words[0] {
			return fmt.Errorf("got %s", got)
		}
		if len(words) > 1 {
			id, err := json.Marshal(message.ID)
			k.bindings[words[1]] = string(id)
			return err
		}
		return nil
	}
}

// nextLine returns the next line that a scripted server receives. When a connection has ended, it waits for the next
// one.
func (k *conversation) nextLine(s *server, name string) (string, error) {
	for {
		got, err := k.peers[name].next(stepTimeout)
		if err != io.EOF {
			return got, err
		}
		select {
		case k.peers[name] = <-s.accepted:
		case <-time.After(stepTimeout):
			return "", errors.New("the front end does not connect again")
		}
	}
}

// sendList sends a list from the roster and waits for the front end's acknowledgment.
func (k *conversation) sendList(words []string) error {
	k.version++
	entries := []string{}
	for _, word := range words[1:] {
		name, state, _ := strings.Cut(word, "=")
		entries = append(entries, fmt.Sprintf(`{"name":%q,"socket":%q,"state":%q,"life":1,"age_ms":-1}`, name,
			k.path(name), state))
	}
	value := fmt.Sprintf(`{"jsonrpc":"2.0","method":"roster.list","params":{"version":%d,"whole":%t,"workers":[%s]}}`,
		k.version, words[0] != "changes", strings.Join(entries, ","))
	if words[0] == "list-again" {
		value += "\n" + value
	}
	s := k.servers["roster"]
	for k.peers["roster"] == nil || len(s.accepted) > 0 {
		select {
		case k.peers["roster"] = <-s.accepted:
		case <-time.After(stepTimeout):
			return errors.New("the front end does not connect to the roster")
		}
	}
	_, _ = io.WriteString(k.peers["roster"].nc, value+"\n")
	for {
		got, err := k.nextLine(s, "roster")
		if err != nil {
			return err
		}
		if strings.Contains(got, "roster.watch") { // a new connection: send the list again
			_, _ = io.WriteString(k.peers["roster"].nc, value+"\n")
		}
		if strings.Contains(got, "roster.told") && strings.Contains(got, fmt.Sprintf(`"version":%d}`, k.version)) {
			return nil
		}
	}
}

// matchJSON compares JSON; "*" in want matches any value.
func matchJSON(got, want string) error {
	if value, headers := strings.CutPrefix(got, "headers "); headers {
		if want, headers = strings.CutPrefix(want, "headers "); !headers {
			return fmt.Errorf("got headers before %s, want none", value)
		}
		got = value
	}
	return jsontest.Match([]byte(got), []byte(want))
}
