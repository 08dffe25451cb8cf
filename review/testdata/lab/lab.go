// Package lab has what the cases of the review share: the platform that starts a front end, the journal service,
// workers, and a Thrift client. All of them follow the pages PROTOCOL and DEPLOY and use the standard library only.
package lab

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Record writes the case's record.txt, one line an event, with the time since the start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file at path.
func NewRecord(path string) *Record {
	f, err := os.Create(path)
	if err != nil {
		CannotRun("record: %v", err)
	}
	return &Record{file: f, start: time.Now()}
}

// Add writes one line.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Since returns the time since the record began.
func (r *Record) Since() time.Duration { return time.Since(r.start) }

// CannotRun ends the case with exit code 2.
func CannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", args...)
	panic(cannotRun{})
}

type cannotRun struct{}

// Main runs a case. It exits with 1 if the case reports a broken rule, 0 if the rule held, 2 if the case could not run.
func Main(play func() (broken bool)) {
	code := 2
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-interrupted
		stopAll()
		os.Exit(2)
	}()
	func() {
		defer func() {
			if v := recover(); v != nil {
				if _, expected := v.(cannotRun); !expected {
					fmt.Fprintln(os.Stderr, "the case could not run:", v)
				}
			}
		}()
		defer stopAll()
		if play() {
			code = 1
		} else {
			code = 0
		}
	}()
	os.Exit(code)
}

// Trouble reports whether the case plays its disruption: not with TROUBLE=0.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

var started struct {
	sync.Mutex
	processes []*FrontEnd
	others    []*os.Process
}

// EndAtExit has a process killed when the case ends, if it still runs.
func EndAtExit(p *os.Process) {
	started.Lock()
	defer started.Unlock()
	started.others = append(started.others, p)
}

func stopAll() {
	started.Lock()
	defer started.Unlock()
	for _, f := range started.processes {
		_ = f.cmd.Process.Signal(syscall.SIGCONT)
		_ = f.cmd.Process.Kill()
		<-f.Ended
	}
	for _, p := range started.others {
		_ = p.Kill()
	}
}

// FrontEnd is a process of the program under review.
type FrontEnd struct {
	cmd    *exec.Cmd
	Listen string
	Ended  chan struct{} // closed once the process has ended
	Err    error         // how it ended; valid once Ended is closed
}

// Start starts a front end as the deploy file says: /bin/sh -c RUN from the repository's root.
func Start(root, run, config, listen, logPath string, record *Record) *FrontEnd {
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		CannotRun("log: %v", err)
	}
	cmd := exec.Command("/bin/sh", "-c", run)
	cmd.Dir, cmd.Stdout, cmd.Stderr = root, log, log
	cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+config)
	if err := cmd.Start(); err != nil {
		CannotRun("start of the front end: %v", err)
	}
	f := &FrontEnd{cmd: cmd, Listen: listen, Ended: make(chan struct{})}
	started.Lock()
	started.processes = append(started.processes, f)
	started.Unlock()
	go func() { f.Err = cmd.Wait(); log.Close(); close(f.Ended) }()
	record.Add("platform: started the front end %s, process %d: %s", listen, cmd.Process.Pid, run)
	return f
}

// Signal sends a signal to the process (run ends in exec, so it is the program itself).
func (f *FrontEnd) Signal(s syscall.Signal) { _ = f.cmd.Process.Signal(s) }

// Pid returns the process's id.
func (f *FrontEnd) Pid() int { return f.cmd.Process.Pid }

// HasEnded reports whether the process has ended.
func (f *FrontEnd) HasEnded() bool {
	select {
	case <-f.Ended:
		return true
	default:
		return false
	}
}

// MemoryMB returns the memory of the process in MiB: what it has written itself, without the pages of its program file.
func (f *FrontEnd) MemoryMB() (now float64) {
	text, _ := os.ReadFile("/proc/" + strconv.Itoa(f.Pid()) + "/status")
	for line := range strings.SplitSeq(string(text), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "RssAnon:" {
			now, _ = strconv.ParseFloat(fields[1], 64)
		}
	}
	return now / 1024
}

// AwaitReady asks the front end whether it is ready until it says so.
func (f *FrontEnd) AwaitReady(record *Record) {
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if f.HasEnded() {
			CannotRun("the front end ended at its start: %v", f.Err)
		}
		c, err := Dial(f.Listen)
		if err != nil {
			continue
		}
		good := c.Check()
		c.Close()
		if good {
			record.Add("platform: the front end %s is ready", f.Listen)
			return
		}
	}
	CannotRun("the front end is not ready after 30 s")
}

// FreeAddress returns a loopback address that nothing listens on.
func FreeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		CannotRun("listen: %v", err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Config is a front end's configuration file.
type Config struct {
	Name, Listen, Journal string
	MemoryMB, Sockets     int
	Known                 any
	Settings              map[string]any
}

// Write writes the file in one step, as a new file takes the place of an old one.
func (c Config) Write(path string) {
	text, err := json.Marshal(map[string]any{"name": c.Name, "listen": c.Listen, "seed": "8c1f30d27a5be964", "journal": c.Journal,
		"limits": map[string]any{"cores": 1.0, "memory_mb": c.MemoryMB, "sockets": c.Sockets}, "known": c.Known, "settings": c.Settings})
	if err == nil {
		err = os.WriteFile(path+".new", text, 0o600)
	}
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	if err != nil {
		CannotRun("configuration: %v", err)
	}
}

// Paths returns the root of the repository, the deploy file's run command, the case's folder and a temporary folder.
func Paths() (root, run, folder, temporary string) {
	folder, err := filepath.Abs(os.Getenv("CASE"))
	if err != nil || os.Getenv("CASE") == "" {
		CannotRun("CASE names no folder")
	}
	root = filepath.Dir(filepath.Dir(folder))
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		CannotRun("deploy file: %v", err)
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			run = strings.Trim(strings.TrimSpace(value), `"`)
		}
	}
	if run == "" {
		CannotRun("the deploy file has no run command")
	}
	if temporary = os.Getenv("CASE_TMP"); temporary == "" {
		CannotRun("CASE_TMP names no folder")
	}
	return root, run, folder, temporary
}

// Client is a Thrift connection of a client.
type Client struct {
	net.Conn
	mu sync.Mutex
}

// Dial connects to a front end.
func Dial(address string) (*Client, error) {
	nc, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{Conn: nc}, nil
}

// Check sends a check and reports whether its answer is good.
func (c *Client) Check() bool {
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	defer func() { _ = c.SetDeadline(time.Time{}) }()
	b := header(nil, 1, "check", 1)
	b = append(b, 2, 0, 1, 0, 0) // field 1, bool false; stop
	if _, err := c.Write(frame(b)); err != nil {
		return false
	}
	a, err := c.Receive()
	return err == nil && a.Good
}

func frame(b []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(b))), b...)
}

func header(b []byte, msgType byte, name string, seq int32) []byte {
	b = append(b, 0x80, 0x01, 0, msgType)
	b = appendString(b, name)
	return binary.BigEndian.AppendUint32(b, uint32(seq))
}

func appendString(b []byte, s string) []byte {
	return append(binary.BigEndian.AppendUint32(b, uint32(len(s))), s...)
}

// Execute encodes a request: its fields in pairs, and its body.
func Execute(seq int32, body []byte, pairs ...string) []byte {
	b := header(nil, 1, "execute", seq)
	b = append(b, 13, 0, 1, 11, 11) // field 1: map<string,string>
	b = binary.BigEndian.AppendUint32(b, uint32(len(pairs)/2))
	for _, s := range pairs {
		b = appendString(b, s)
	}
	b = append(b, 11, 0, 2) // field 2: binary
	b = appendString(b, string(body))
	return frame(append(b, 0))
}

// Interrupt encodes the message by which a client takes a request back.
func Interrupt(seq, of int32) []byte {
	b := header(nil, 4, "interrupt", seq)
	b = append(b, 8, 0, 1)
	b = binary.BigEndian.AppendUint32(b, uint32(of))
	return frame(append(b, 0))
}

// Answer is a front end's answer.
type Answer struct {
	Seq    int32
	Kind   string // "served", "refused", "failed", "application exception"
	Good   bool
	Body   []byte
	Fields map[string]string
}

func (a Answer) String() string {
	return fmt.Sprintf("%s, %d bytes, %v", a.Kind, len(a.Body), a.Fields)
}

// Receive reads one answer.
func (c *Client) Receive() (a Answer, err error) {
	var head [4]byte
	if _, err = io.ReadFull(c.Conn, head[:]); err != nil {
		return a, err
	}
	b := make([]byte, binary.BigEndian.Uint32(head[:]))
	if _, err = io.ReadFull(c.Conn, b); err != nil {
		return a, err
	}
	defer func() {
		if v := recover(); v != nil {
			err = fmt.Errorf("an answer that can't be read: %v", v)
		}
	}()
	d := decoder{b}
	kind := d.bytes(4)[3]
	_ = d.string()
	a.Seq = int32(binary.BigEndian.Uint32(d.bytes(4)))
	if kind == 3 {
		a.Kind = "application exception"
		return a, nil
	}
	a.Kind = "empty"
	fieldType, id := d.field()
	if fieldType != 12 {
		return a, fmt.Errorf("result of type %d", fieldType)
	}
	a.Kind = map[int16]string{0: "served", 1: "refused", 2: "failed"}[id]
	for {
		fieldType, _ := d.field()
		switch fieldType {
		case 0:
			return a, nil
		case 11:
			a.Body = []byte(d.string())
		case 2:
			a.Good = d.bytes(1)[0] == 1
		case 13:
			_ = d.bytes(2)
			a.Fields = map[string]string{}
			for range binary.BigEndian.Uint32(d.bytes(4)) {
				k := d.string()
				a.Fields[k] = d.string()
			}
		}
	}
}

type decoder struct{ b []byte }

func (d *decoder) bytes(n int) []byte {
	out := d.b[:n]
	d.b = d.b[n:]
	return out
}

func (d *decoder) string() string {
	n := binary.BigEndian.Uint32(d.bytes(4))
	return string(d.bytes(int(n)))
}

func (d *decoder) field() (fieldType byte, id int16) {
	if fieldType = d.bytes(1)[0]; fieldType == 0 {
		return 0, 0
	}
	return fieldType, int16(binary.BigEndian.Uint16(d.bytes(2)))
}

// Check1 encodes a check.
func Check1() []byte { return frame(append(header(nil, 1, "check", 1), 2, 0, 1, 0, 0)) }
