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

// partitionedNetwork is the network between the instances. Instances in cut cannot reach the others, nor be reached by
// them.
type partitionedNetwork struct {
	mu    sync.Mutex
	cut   map[string]bool // peer sockets
	conns map[net.Conn][2]string
}

func (n *partitionedNetwork) dialFrom(own string) Network {
	return func(ctx context.Context, to string) (net.Conn, error) {
		n.mu.Lock()
		blocked := n.cut[own] != n.cut[to]
		n.mu.Unlock()
		if blocked {
			return nil, errors.New("network partitioned")
		}
		nc, err := unixNetwork(ctx, to)
		if err == nil {
			n.mu.Lock()
			n.conns[nc] = [2]string{own, to}
			n.mu.Unlock()
		}
		return nc, err
	}
}

// partition separates the given instances from the others; without arguments it heals the network.
func (n *partitionedNetwork) partition(isolated ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = map[string]bool{}
	for _, name := range isolated {
		n.cut[name] = true
	}
	for nc, ends := range n.conns {
		if n.cut[ends[0]] != n.cut[ends[1]] {
			nc.Close()
			delete(n.conns, nc)
		}
	}
}

// testCluster is a control service under test.
type testCluster struct {
	t       *testing.T
	dir     string
	n       int
	network *partitionedNetwork
	stops   []func()
}

func newTestCluster(t *testing.T, n int) *testCluster {
	dir, err := os.MkdirTemp("", "ml")
	if err != nil {
		t.Fatal(err)
	}
	cluster := &testCluster{t: t, dir: dir, n: n, network: &partitionedNetwork{conns: map[net.Conn][2]string{}}, stops: make([]func(), n)}
	t.Cleanup(func() {
		for i := range n {
			cluster.stop(i)
		}
		os.RemoveAll(dir)
	})
	for i := range n {
		cluster.start(i)
	}
	return cluster
}

func (tc *testCluster) path(name string) string { return filepath.Join(tc.dir, name) }

func (tc *testCluster) peer(i int) string { return tc.path(fmt.Sprintf("c%d.peer", i)) }

func (tc *testCluster) sockets() (out []string) {
	for i := range tc.n {
		out = append(out, tc.path(fmt.Sprintf("c%d.sock", i)))
	}
	return out
}

func (tc *testCluster) start(i int) {
	tc.t.Helper()
	others := ""
	for j := range tc.n {
		if j != i {
			others += fmt.Sprintf(`<instance name="c%d" peer-socket=%q/>`, j, tc.peer(j))
		}
	}
	file := tc.path(fmt.Sprintf("c%d.xml", i))
	text := fmt.Sprintf(`<control name="c%[1]d" socket="%[2]s/c%[1]d.sock" peer-socket=%[3]q dir="%[2]s/d%[1]d" beat-ms="60"><rollout stages="1" hold-ms="0" patience-ms="60000"/>%[4]s</control>`,
		i, tc.dir, tc.peer(i), others)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		tc.t.Fatal(err)
	}
	c, err := settings.ReadControl(file)
	if err != nil {
		tc.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended, ready := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		if err := ServeOver(ctx, c, zerolog.Nop(), func() { close(ready) }, tc.network.dialFrom(tc.peer(i))); err != nil {
			tc.t.Error(err)
		}
	}()
	select {
	case <-ready:
	case <-ended:
		tc.t.FailNow()
	}
	tc.stops[i] = func() { cancel(); <-ended }
}

func (tc *testCluster) stop(i int) {
	if tc.stops[i] != nil {
		tc.stops[i]()
		tc.stops[i] = nil
	}
}

func (tc *testCluster) client(sockets ...string) *Client {
	if len(sockets) == 0 {
		sockets = tc.sockets()
	}
	c, err := Dial(sockets)
	if err != nil {
		tc.t.Fatal(err)
	}
	tc.t.Cleanup(c.Close)
	return c
}

func configurationText(gain int) string {
	return fmt.Sprintf(`<configuration><service><method name="query" effect="idempotent" gain="%d"/><method name="hold" effect="side-effecting"/></service></configuration>`, gain)
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timeout waiting for: %s", what)
		}
	}
}

func submit(t *testing.T, c *Client, gain int) uint64 {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	v, err := c.Submit(ctx, &wire.SubmitRequest{Text: configurationText(gain), By: "test"})
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// The leader is separated from the other two instances while a client submits a version to it. That version must not be
// numbered, a version submitted to the majority must be, and no number may be given twice.
func TestPartition(t *testing.T) {
	cluster := newTestCluster(t, 3)
	c := cluster.client()
	if v := submit(t, c, 1); v != 1 {
		t.Fatalf("first version: got %d, want 1", v)
	}
	_, st, err := c.Leader(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	leader := int(st.Instance[1] - '0')
	cluster.network.partition(cluster.peer(leader))
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	// submits directly to the former leader, which may not have noticed the partition yet
	cc, err := grpc.NewClient("unix:"+cluster.sockets()[leader], grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer cc.Close()
	near := make(chan error, 1)
	go func() {
		_, err := wire.NewConfigurationClient(cc).Submit(ctx, &wire.SubmitRequest{Text: configurationText(66)})
		near <- err
	}()
	var far []string
	for i, socket := range cluster.sockets() {
		if i != leader {
			far = append(far, socket)
		}
	}
	if v := submit(t, cluster.client(far...), 2); v != 2 {
		t.Errorf("version submitted to the majority: got %d, want 2", v)
	}
	if err := <-near; err == nil {
		t.Error("an isolated instance numbered a version")
	}
	cluster.network.partition()
	if v := submit(t, c, 3); v != 3 {
		t.Errorf("version after the partition: got %d, want 3", v)
	}
	for i := range cluster.n { // every leader must return the same versions
		waitFor(t, "the leader lists all three versions", func() bool {
			_, st, err := c.Leader(ctx)
			return err == nil && len(st.Versions) == 3
		})
		for v, gain := range map[uint64]string{1: "1", 2: "2", 3: "3"} {
			got, err := c.Get(ctx, v)
			if err != nil || !strings.Contains(got.Text, `gain="`+gain+`"`) {
				t.Errorf("version %d: %v, %v", v, got, err)
			}
		}
		cluster.stop(i) // the loss of one instance must lose no version
		waitFor(t, "another instance is elected", func() bool { _, _, err := c.Leader(ctx); return err == nil })
		cluster.start(i)
	}
}

// rawFollower is a follower that sends and receives the messages of the stream directly.
type rawFollower struct {
	t         *testing.T
	stream    wire.Configuration_FollowClient
	responses chan *wire.FollowResponse
}

func followRaw(t *testing.T, cluster *testCluster) (*rawFollower, func()) {
	cc, err := grpc.NewClient("unix:"+cluster.sockets()[0], grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	st, err := wire.NewConfigurationClient(cc).Follow(ctx)
	if err != nil {
		t.Fatal(err)
	}
	f := &rawFollower{t, st, make(chan *wire.FollowResponse, 10)}
	go func() {
		for {
			m, err := st.Recv()
			if err != nil {
				return
			}
			f.responses <- m
		}
	}()
	return f, func() { cancel(); cc.Close() }
}

func (f *rawFollower) send(m *wire.FollowRequest) {
	f.t.Helper()
	m.Follower = "raw"
	if err := f.stream.Send(m); err != nil {
		f.t.Fatal(err)
	}
}

func (f *rawFollower) expect(version, base uint64) *wire.FollowResponse {
	f.t.Helper()
	select {
	case m := <-f.responses:
		if m.Version != version || m.Base != base {
			f.t.Fatalf("got version %d on base %d, want version %d on base %d", m.Version, m.Base, version, base)
		}
		return m
	case <-time.After(5 * time.Second):
		f.t.Fatalf("version %d not received", version)
		return nil
	}
}

func (f *rawFollower) expectNothing() {
	f.t.Helper()
	select {
	case m := <-f.responses:
		f.t.Fatalf("unexpected version %d", m.Version)
	case <-time.After(150 * time.Millisecond):
	}
}

// The stream follows the rules of the published protocol: stale nonces are ignored, one response is unacknowledged at a
// time, a slow follower receives only the newest version, a lost NACK is repeated in the first message of the next
// stream, and changes are relative to the version in force.
func TestStream(t *testing.T) {
	cluster := newTestCluster(t, 1)
	c := cluster.client()
	submit(t, c, 1)
	f, end := followRaw(t, cluster)
	f.send(&wire.FollowRequest{})
	first := f.expect(1, 0)
	if len(first.Resources) != 2 || first.Resources[0].Id.Type != "service/method" || first.Resources[0].Id.Name != "hold" {
		t.Errorf("resources of the first version: %v", first.Resources)
	}
	f.send(&wire.FollowRequest{Nonce: "stale", Version: 0})
	f.expectNothing() // the response is still unacknowledged
	f.send(&wire.FollowRequest{Nonce: first.Nonce, Version: 1, Digest: first.Digest, Kept: true})
	waitFor(t, "version 1 is accepted", func() bool {
		_, st, err := c.Leader(context.Background())
		return err == nil && st.Stable == 1 && st.Followers[0].Version == 1
	})
	submit(t, c, 2)
	second := f.expect(2, 1)
	if len(second.Resources) != 1 || second.Resources[0].Id.Name != "query" {
		t.Errorf("changes from version 1 to 2: %v", second.Resources)
	}
	f.send(&wire.FollowRequest{Nonce: first.Nonce, Version: 1, Digest: first.Digest}) // a stale nonce
	for gain := 3; gain < 8; gain++ {
		submit(t, c, gain)
	}
	f.expectNothing()
	f.send(&wire.FollowRequest{Nonce: second.Nonce, Version: 2, Digest: second.Digest})
	seventh := f.expect(7, 2) // the versions in between are never sent
	f.send(&wire.FollowRequest{Nonce: seventh.Nonce, Version: 2, Digest: second.Digest, Whole: true})
	full := f.expect(7, 0)
	if len(full.Resources) != 2 {
		t.Errorf("resources of the full response: %v", full.Resources)
	}
	end() // the NACK is lost; the first message of the next stream repeats it
	f, end = followRaw(t, cluster)
	defer end()
	f.send(&wire.FollowRequest{Version: 2, Digest: second.Digest, Refused: 7})
	waitFor(t, "version 7 is withdrawn", func() bool {
		_, st, err := c.Leader(context.Background())
		return err == nil && st.Versions[0].Version >= 7 && st.Candidate == 0 && st.Followers[0].Refused == 7
	})
	f.expectNothing()
	if m := proto.Clone(full).(*wire.FollowResponse); m.Digest == second.Digest {
		t.Error("versions 2 and 7 have the same digest")
	}
}

// testReportInterval is the time between the reports of a follower that startFollower runs.
const testReportInterval = 20 * time.Millisecond

// startFollower runs a real follower that accepts every valid version without applying anything.
func startFollower(t *testing.T, cluster *testCluster, fs lastgood.FS) (follower *configclient.Client, stop func()) {
	return startReportingFollower(t, cluster, fs, testReportInterval)
}

func startReportingFollower(t *testing.T, cluster *testCluster, fs lastgood.FS, reportInterval time.Duration) (follower *configclient.Client, stop func()) {
	options := configclient.Options{Name: "f", Sockets: cluster.sockets(), Store: lastgood.Store{FS: fs, Path: cluster.path("kept")},
		RedialMin: 5 * time.Millisecond, RedialMax: 20 * time.Millisecond, ReportInterval: reportInterval, Log: zerolog.Nop(),
		Check: func(v uint64, text string) (configclient.Change, error) {
			_, err := settings.ReadConfiguration(fmt.Sprintf("version %d", v), strings.NewReader(text))
			return noopChange{}, err
		}}
	initial, _ := configclient.LoadInitial(options)
	follower = configclient.New(options, initial)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); _ = follower.Run(ctx) }()
	return follower, func() { cancel(); <-ended }
}

type noopChange struct{}

func (noopChange) Apply() error { return nil }
func (noopChange) Discard()     {}

// hangingDisk is a disk whose rename does not return once a version has been saved, as if the machine crashed before
// it acknowledged the version.
type hangingDisk struct {
	lastgood.Disk
	saved   chan struct{}
	release chan struct{}
}

func (d *hangingDisk) Rename(from, to string) error {
	err := d.Disk.Rename(from, to)
	if strings.HasSuffix(from, ".new") {
		close(d.saved)
		<-d.release
	}
	return err
}

// A follower crashes after it has saved a version and before it acknowledges it. After its restart, the control service
// must count it as running that version.
func TestFollowerCrashBeforeAck(t *testing.T) {
	cluster := newTestCluster(t, 1)
	c := cluster.client()
	disk := &hangingDisk{saved: make(chan struct{}), release: make(chan struct{})}
	_, stop := startFollower(t, cluster, disk)
	v := submit(t, c, 1)
	<-disk.saved
	_, st, err := c.Leader(context.Background())
	if err != nil || st.Stable == v || st.Candidate != v {
		t.Errorf("version accepted before the follower acknowledged it: %v, %v", st, err)
	}
	go func() { time.Sleep(10 * time.Millisecond); close(disk.release) }()
	stop()
	follower, stop := startFollower(t, cluster, lastgood.Disk{})
	defer stop()
	waitFor(t, "the version is accepted", func() bool {
		_, st, err := c.Leader(context.Background())
		return err == nil && st.Stable == v
	})
	if got := follower.Status(); got.Version != v || got.Source != "disk" {
		t.Errorf("status of the follower: %+v", got)
	}
}

// TestNotAcceptedWhileSaving guards against a version that counts as accepted while its follower is still saving it, by
// the follower's periodic reports or by the first message of a new stream: a crash in that time would lose it.
func TestNotAcceptedWhileSaving(t *testing.T) {
	for _, test := range []struct {
		name           string
		reportInterval time.Duration
		newStream      bool
	}{
		{"periodic reports", testReportInterval, false},
		{"first message of a new stream", time.Hour, true}, // no periodic report, which would replace the first message
	} {
		t.Run(test.name, func(t *testing.T) {
			cluster := newTestCluster(t, 1)
			c := cluster.client()
			disk := &hangingDisk{saved: make(chan struct{}), release: make(chan struct{})}
			follower, stop := startReportingFollower(t, cluster, disk, test.reportInterval)
			defer stop()
			v := submit(t, c, 1)
			<-disk.saved
			if test.newStream {
				cluster.stop(0)
				waitFor(t, "the follower has lost its stream", func() bool { return !follower.Status().Connected })
				cluster.start(0)
				waitFor(t, "the follower has a new stream", func() bool { return follower.Status().Connected })
			}
			answers := 0
			for until := time.Now().Add(10 * testReportInterval); time.Now().Before(until); time.Sleep(testReportInterval / 4) {
				_, st, err := c.Leader(context.Background())
				if err == nil && (st.Stable == v || st.Candidate != v) {
					t.Fatalf("version accepted before it was saved: %v", st)
				}
				if err == nil {
					answers++
				}
			}
			if answers == 0 {
				t.Error("the service never told the state of the version")
			}
			close(disk.release)
			waitFor(t, "the version is accepted", func() bool {
				_, st, err := c.Leader(context.Background())
				return err == nil && st.Stable == v
			})
		})
	}
}

// The store is restored from an old backup. Followers must keep the version that they run, and the next number must be
// above it.
func TestStoreRestoredFromBackup(t *testing.T) {
	cluster := newTestCluster(t, 1)
	c := cluster.client()
	follower, stop := startFollower(t, cluster, lastgood.Disk{})
	defer stop()
	runs := func(v uint64) func() bool { return func() bool { return follower.Status().Version == v } }
	submit(t, c, 1)
	waitFor(t, "the follower runs version 1", runs(1))
	cluster.stop(0)
	backup, err := os.ReadFile(cluster.path("d0/log.db"))
	if err != nil {
		t.Fatal(err)
	}
	cluster.start(0)
	for gain := 2; gain < 6; gain++ {
		v := submit(t, c, gain)
		waitFor(t, "the follower runs the next version", runs(v))
	}
	cluster.stop(0)
	if err := os.WriteFile(cluster.path("d0/log.db"), backup, 0o600); err != nil {
		t.Fatal(err)
	}
	cluster.start(0)
	waitFor(t, "the restored instance has the follower's report", func() bool {
		_, st, err := c.Leader(context.Background())
		return err == nil && len(st.Followers) == 1 && st.Followers[0].Version == 5
	})
	if got := follower.Status(); got.Version != 5 || got.Refused != 0 {
		t.Errorf("status of the follower: %+v", got)
	}
	if v := submit(t, c, 9); v != 6 {
		t.Errorf("next version: got %d, want 6", v)
	}
	waitFor(t, "the follower runs version 6", runs(6))
}

// Malformed configurations are never numbered, invalid ones only if unchecked, and of two submits with the same base
// only the first succeeds.
func TestSubmit(t *testing.T) {
	cluster := newTestCluster(t, 1)
	c := cluster.client()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
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
		t.Errorf("submit unchecked: %d, %v", v, err)
	}
	if v, err := c.Submit(ctx, &wire.SubmitRequest{Text: configurationText(1), Base: 1}); err != nil || v != 2 {
		t.Errorf("submit with base 1: %d, %v", v, err)
	}
	if _, err := c.Submit(ctx, &wire.SubmitRequest{Text: configurationText(2), Base: 1}); err == nil || !strings.Contains(err.Error(), "the newest version is 2") {
		t.Errorf("second submit with base 1: %v", err)
	}
	if _, err := c.Rollback(ctx, 0, "test", ""); err == nil || !strings.Contains(err.Error(), "no version was accepted before") {
		t.Errorf("rollback: %v", err)
	}
	if _, err := c.Get(ctx, 7); err == nil || !strings.Contains(err.Error(), "no version 7") {
		t.Errorf("get: %v", err)
	}
}
