package control

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"

	"mallowlanding/internal/configclient"
	"mallowlanding/internal/control/wire"
	"mallowlanding/internal/lastgood"
	"mallowlanding/internal/settings"
)

// cable is the network between instances; cut ones reach nobody and are reached by nobody.
type cable struct {
	mu    sync.Mutex
	cut   map[string]bool // peer sockets
	conns map[net.Conn][2]string
}

func (c *cable) from(own string) Network {
	return func(ctx context.Context, to string) (net.Conn, error) {
		c.mu.Lock()
		blocked := c.cut[own] != c.cut[to]
		c.mu.Unlock()
		if blocked {
			return nil, errors.New("cut")
		}
		nc, err := unixNetwork(ctx, to)
		if err == nil {
			c.mu.Lock()
			c.conns[nc] = [2]string{own, to}
			c.mu.Unlock()
		}
		return nc, err
	}
}

// split parts the named from the others; none: all reach each other.
func (c *cable) split(apart ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = map[string]bool{}
	for _, name := range apart {
		c.cut[name] = true
	}
	for nc, ends := range c.conns {
		if c.cut[ends[0]] != c.cut[ends[1]] {
			nc.Close()
			delete(c.conns, nc)
		}
	}
}

// trio is a control service under test.
type trio struct {
	t     *testing.T
	dir   string
	n     int
	cable *cable
	stops []func()
}

func newTrio(t *testing.T, n int) *trio {
	dir, err := os.MkdirTemp("", "ml")
	if err != nil {
		t.Fatal(err)
	}
	r := &trio{t: t, dir: dir, n: n, cable: &cable{conns: map[net.Conn][2]string{}}, stops: make([]func(), n)}
	t.Cleanup(func() {
		for i := range n {
			r.stop(i)
		}
		os.RemoveAll(dir)
	})
	for i := range n {
		r.start(i)
	}
	return r
}

func (r *trio) path(name string) string { return filepath.Join(r.dir, name) }

func (r *trio) peer(i int) string { return r.path(fmt.Sprintf("c%d.peer", i)) }

func (r *trio) sockets() (out []string) {
	for i := range r.n {
		out = append(out, r.path(fmt.Sprintf("c%d.sock", i)))
	}
	return out
}

func (r *trio) start(i int) {
	r.t.Helper()
	others := ""
	for j := range r.n {
		if j != i {
			others += fmt.Sprintf(`<instance name="c%d" peer-socket=%q/>`, j, r.peer(j))
		}
	}
	file := r.path(fmt.Sprintf("c%d.xml", i))
	text := fmt.Sprintf(`<control name="c%[1]d" socket="%[2]s/c%[1]d.sock" peer-socket=%[3]q dir="%[2]s/d%[1]d" beat-ms="60"><rollout stages="1" hold-ms="0" patience-ms="60000"/>%[4]s</control>`,
		i, r.dir, r.peer(i), others)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		r.t.Fatal(err)
	}
	c, err := settings.ReadControl(file)
	if err != nil {
		r.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended, ready := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		if err := ServeOver(ctx, c, zerolog.Nop(), func() { close(ready) }, r.cable.from(r.peer(i))); err != nil {
			r.t.Error(err)
		}
	}()
	select {
	case <-ready:
	case <-ended:
		r.t.FailNow()
	}
	r.stops[i] = func() { cancel(); <-ended }
}

func (r *trio) stop(i int) {
	if r.stops[i] != nil {
		r.stops[i]()
		r.stops[i] = nil
	}
}

func (r *trio) client(sockets ...string) *Client {
	if len(sockets) == 0 {
		sockets = r.sockets()
	}
	c, err := Dial(sockets)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(c.Close)
	return c
}

func document(gain int) string {
	return fmt.Sprintf(`<configuration><service><method name="query" effect="idempotent" gain="%d"/><method name="hold" effect="side-effecting"/></service></configuration>`, gain)
}

func within(t *testing.T, what string, is func() bool) {
	t.Helper()
	for until := time.Now().Add(10 * time.Second); !is(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("never: %s", what)
		}
	}
}

func number(t *testing.T, c *Client, gain int) uint64 {
	t.Helper()
	ctx, end := context.WithTimeout(context.Background(), 10*time.Second)
	defer end()
	v, err := c.Submit(ctx, &wire.SubmitRequest{Text: document(gain), By: "test"})
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// The instance that leads is cut off with a submit on its side: that one is not numbered, the far side's is, and no
// number is given twice.
func TestSplit(t *testing.T) {
	r := newTrio(t, 3)
	c := r.client()
	if v := number(t, c, 1); v != 1 {
		t.Fatalf("the first version is %d", v)
	}
	_, st, err := c.Leader(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	lead := int(st.Instance[1] - '0')
	r.cable.split(r.peer(lead))
	ctx, end := context.WithTimeout(context.Background(), 8*time.Second)
	defer end()
	// on the near side: straight to the instance that led, which may not know yet that it is alone
	cc, err := grpc.NewClient("unix:"+r.sockets()[lead], grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer cc.Close()
	near := make(chan error, 1)
	go func() {
		_, err := wire.NewConfigurationClient(cc).Submit(ctx, &wire.SubmitRequest{Text: document(66)})
		near <- err
	}()
	var far []string
	for i, socket := range r.sockets() {
		if i != lead {
			far = append(far, socket)
		}
	}
	if v := number(t, r.client(far...), 2); v != 2 {
		t.Errorf("the far side's version is %d", v)
	}
	if err := <-near; err == nil {
		t.Error("a version was numbered by an instance alone")
	}
	r.cable.split()
	if v := number(t, c, 3); v != 3 {
		t.Errorf("after the split: version %d", v)
	}
	for i := range r.n { // whoever leads tells the same
		within(t, "all three agree", func() bool {
			_, st, err := c.Leader(ctx)
			return err == nil && len(st.Versions) == 3
		})
		for v, gain := range map[uint64]string{1: "1", 2: "2", 3: "3"} {
			got, err := c.Get(ctx, v)
			if err != nil || !strings.Contains(got.Text, `gain="`+gain+`"`) {
				t.Errorf("version %d: %v, %v", v, got, err)
			}
		}
		r.stop(i) // one death costs no version
		within(t, "another leads", func() bool { _, _, err := c.Leader(ctx); return err == nil })
		r.start(i)
	}
}

// raw is a follower that speaks the stream itself.
type raw struct {
	t  *testing.T
	st wire.Configuration_FollowClient
	in chan *wire.FollowResponse
}

func follow(t *testing.T, r *trio) (*raw, func()) {
	cc, err := grpc.NewClient("unix:"+r.sockets()[0], grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	ctx, end := context.WithCancel(context.Background())
	st, err := wire.NewConfigurationClient(cc).Follow(ctx)
	if err != nil {
		t.Fatal(err)
	}
	f := &raw{t, st, make(chan *wire.FollowResponse, 10)}
	go func() {
		for {
			m, err := st.Recv()
			if err != nil {
				return
			}
			f.in <- m
		}
	}()
	return f, func() { end(); cc.Close() }
}

func (f *raw) say(m *wire.FollowRequest) {
	f.t.Helper()
	m.Follower = "raw"
	if err := f.st.Send(m); err != nil {
		f.t.Fatal(err)
	}
}

func (f *raw) get(version, base uint64) *wire.FollowResponse {
	f.t.Helper()
	select {
	case m := <-f.in:
		if m.Version != version || m.Base != base {
			f.t.Fatalf("version %d to base %d, want %d to %d", m.Version, m.Base, version, base)
		}
		return m
	case <-time.After(5 * time.Second):
		f.t.Fatalf("version %d never comes", version)
		return nil
	}
}

func (f *raw) nothing() {
	f.t.Helper()
	select {
	case m := <-f.in:
		f.t.Fatalf("version %d comes", m.Version)
	case <-time.After(150 * time.Millisecond):
	}
}

// Nonces as on the published protocol: stale answers count for nothing, one response is open at a time, a slow follower
// gets the newest alone, a lost NACK comes with the next stream's first message, and changes go to what is in force.
func TestStream(t *testing.T) {
	r := newTrio(t, 1)
	c := r.client()
	number(t, c, 1)
	f, end := follow(t, r)
	f.say(&wire.FollowRequest{})
	one := f.get(1, 0)
	if len(one.Resources) != 2 || one.Resources[0].Id.Type != "service/method" || one.Resources[0].Id.Name != "hold" {
		t.Errorf("resources %v", one.Resources)
	}
	f.say(&wire.FollowRequest{Nonce: "stale", Version: 0})
	f.nothing() // still waiting for the real answer
	f.say(&wire.FollowRequest{Nonce: one.Nonce, Version: 1, Digest: one.Digest, Kept: true})
	within(t, "version 1 is accepted", func() bool {
		_, st, err := c.Leader(context.Background())
		return err == nil && st.Stable == 1 && st.Followers[0].Version == 1
	})
	number(t, c, 2)
	two := f.get(2, 1)
	if len(two.Resources) != 1 || two.Resources[0].Id.Name != "query" {
		t.Errorf("changes %v", two.Resources)
	}
	f.say(&wire.FollowRequest{Nonce: one.Nonce, Version: 1, Digest: one.Digest}) // a repeated nonce
	for gain := 3; gain < 8; gain++ {
		number(t, c, gain)
	}
	f.nothing()
	f.say(&wire.FollowRequest{Nonce: two.Nonce, Version: 2, Digest: two.Digest})
	seven := f.get(7, 2) // those between are never sent
	f.say(&wire.FollowRequest{Nonce: seven.Nonce, Version: 2, Digest: two.Digest, Whole: true})
	whole := f.get(7, 0)
	if len(whole.Resources) != 2 {
		t.Errorf("whole: %v", whole.Resources)
	}
	end() // its NACK is lost: the next stream's first message has it
	f, end = follow(t, r)
	defer end()
	f.say(&wire.FollowRequest{Version: 2, Digest: two.Digest, Refused: 7})
	within(t, "version 7 is withdrawn", func() bool {
		_, st, err := c.Leader(context.Background())
		return err == nil && st.Versions[0].Version >= 7 && st.Candidate == 0 && st.Followers[0].Refused == 7
	})
	f.nothing()
	if m := proto.Clone(whole).(*wire.FollowResponse); m.Digest == two.Digest {
		t.Error("two versions of one digest")
	}
}

// follower is a real one whose versions do nothing.
func follower(t *testing.T, r *trio, fs lastgood.FS) (s *configclient.Client, stop func()) {
	o := configclient.Options{Name: "f", Sockets: r.sockets(), Store: lastgood.Store{FS: fs, Path: r.path("kept")},
		RedialMin: 5 * time.Millisecond, RedialMax: 20 * time.Millisecond, ReportInterval: 20 * time.Millisecond, Log: zerolog.Nop(),
		Check: func(v uint64, text string) (configclient.Change, error) {
			_, err := settings.ReadConfiguration(fmt.Sprintf("version %d", v), strings.NewReader(text))
			return nothing{}, err
		}}
	b, _ := configclient.LoadInitial(o)
	s = configclient.New(o, b)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); _ = s.Run(ctx) }()
	return s, func() { cancel(); <-ended }
}

type nothing struct{}

func (nothing) Apply() error { return nil }
func (nothing) Discard()     {}

// fatal is a disk on which the machine dies once a version is on it, before anybody hears of that.
type fatal struct {
	lastgood.Disk
	renamed chan struct{}
	forever chan struct{}
}

func (f *fatal) Rename(from, to string) error {
	err := f.Disk.Rename(from, to)
	if strings.HasSuffix(from, ".new") {
		close(f.renamed)
		<-f.forever
	}
	return err
}

// A follower that dies between its write and its ACK is found to run the version when it is back.
func TestDeathBeforeAck(t *testing.T) {
	r := newTrio(t, 1)
	c := r.client()
	disk := &fatal{renamed: make(chan struct{}), forever: make(chan struct{})}
	_, stop := follower(t, r, disk)
	v := number(t, c, 1)
	<-disk.renamed
	_, st, err := c.Leader(context.Background())
	if err != nil || st.Stable == v || st.Candidate != v {
		t.Errorf("accepted before it was acknowledged: %v, %v", st, err)
	}
	go func() { time.Sleep(10 * time.Millisecond); close(disk.forever) }()
	stop()
	s, stop := follower(t, r, lastgood.Disk{})
	defer stop()
	within(t, "it is accepted", func() bool {
		_, st, err := c.Leader(context.Background())
		return err == nil && st.Stable == v
	})
	if got := s.Status(); got.Version != v || got.Source != "disk" {
		t.Errorf("%+v", got)
	}
}

// A store restored from an old backup: what followers run stands, and the next number is above it.
func TestRestoredStore(t *testing.T) {
	r := newTrio(t, 1)
	c := r.client()
	s, stop := follower(t, r, lastgood.Disk{})
	defer stop()
	runs := func(v uint64) func() bool { return func() bool { return s.Status().Version == v } }
	number(t, c, 1)
	within(t, "it runs 1", runs(1))
	r.stop(0)
	backup, err := os.ReadFile(r.path("d0/log.db"))
	if err != nil {
		t.Fatal(err)
	}
	r.start(0)
	for gain := 2; gain < 6; gain++ {
		v := number(t, c, gain)
		within(t, "it runs the next", runs(v))
	}
	r.stop(0)
	if err := os.WriteFile(r.path("d0/log.db"), backup, 0o600); err != nil {
		t.Fatal(err)
	}
	r.start(0)
	within(t, "it is heard of", func() bool {
		_, st, err := c.Leader(context.Background())
		return err == nil && len(st.Followers) == 1 && st.Followers[0].Version == 5
	})
	if got := s.Status(); got.Version != 5 || got.Refused != 0 {
		t.Errorf("%+v", got)
	}
	if v := number(t, c, 9); v != 6 {
		t.Errorf("the next number is %d", v)
	}
	within(t, "it runs 6", runs(6))
}

// What is not well-formed is not numbered; what is not good is only where that was asked for; two who submit to one base.
func TestSubmit(t *testing.T) {
	r := newTrio(t, 1)
	c := r.client()
	ctx, end := context.WithTimeout(context.Background(), 5*time.Second)
	defer end()
	for text, want := range map[string]string{
		"<configuration>\n<service>": "configuration:2: ",
		"<config/>":                  `root element "config"`,
		"<configuration>\n<service>\n<method name=\"a\"/>\n<method name=\"a\"/></service></configuration>":       "configuration:4: method \"a\" stands twice",
		"<configuration>\n<service>\n<method name=\"a\" effect=\"tokened\"/></service></configuration>":          "configuration:3: method \"a\" is tokened",
		"<configuration><service><method name=\"a\" effect=\"idempotent\"/></service><nothing/></configuration>": `unknown element "nothing"`,
	} {
		if _, err := c.Submit(ctx, &wire.SubmitRequest{Text: text}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", text, err)
		}
	}
	if v, err := c.Submit(ctx, &wire.SubmitRequest{Text: "<configuration><nothing/></configuration>", Unchecked: true}); err != nil || v != 1 {
		t.Errorf("unchecked: %d, %v", v, err)
	}
	if v, err := c.Submit(ctx, &wire.SubmitRequest{Text: document(1), Base: 1}); err != nil || v != 2 {
		t.Errorf("base 1: %d, %v", v, err)
	}
	if _, err := c.Submit(ctx, &wire.SubmitRequest{Text: document(2), Base: 1}); err == nil || !strings.Contains(err.Error(), "the newest version is 2") {
		t.Errorf("base 1 again: %v", err)
	}
	if _, err := c.Rollback(ctx, 0, "test", ""); err == nil || !strings.Contains(err.Error(), "no version was accepted before") {
		t.Errorf("rollback: %v", err)
	}
	if _, err := c.Get(ctx, 7); err == nil || !strings.Contains(err.Error(), "no version 7") {
		t.Errorf("get: %v", err)
	}
}
