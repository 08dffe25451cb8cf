// Package control is one instance of the stand-in control service: it numbers configurations, streams them to followers,
// and rolls them out in stages. Three instances agree on everything through the Raft library; what one has told as
// numbered is on the disks of a majority. internal/rollout decides; this package does streams and the store.
package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"mallowlanding/internal/clients"
	"mallowlanding/internal/configdiff"
	"mallowlanding/internal/control/wire"
	"mallowlanding/internal/rollout"
	"mallowlanding/internal/settings"
)

const (
	gather     = 20 * time.Millisecond  // reports that come within it are agreed on together
	pace       = 50 * time.Millisecond  // of the rollout's looks
	agreement  = 5 * time.Second        // a proposal that is not agreed on by then has failed
	dialBound  = time.Second            // of one connection between instances
	lookAtLead = 100 * time.Millisecond // a stream ends so soon after its instance has lost the lead
	snapshots  = 2                      // kept
	logBatch   = 4096                   // log entries between snapshots
	partsKept  = 16                     // versions whose parts are kept at hand
	textBound  = 64 << 20               // bytes of one configuration
)

// Network is how instances reach each other; tests bring one that is cut.
type Network func(ctx context.Context, socket string) (net.Conn, error)

func unixNetwork(ctx context.Context, socket string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "unix", socket)
}

// command is what instances agree on.
type command struct {
	Now     rollout.Millis    `json:"now"`
	Submit  *submit           `json:"submit,omitempty"`
	Back    *back             `json:"rollback,omitempty"`
	Reports []rollout.Report  `json:"reports,omitempty"`
	Set     *rollout.Settings `json:"settings,omitempty"`
}

type submit struct {
	Text   string          `json:"text"`
	Digest string          `json:"digest"`
	By     string          `json:"by"`
	Note   string          `json:"note"`
	Base   rollout.Version `json:"base"`
}

type back struct {
	To   rollout.Version `json:"to"`
	By   string          `json:"by"`
	Note string          `json:"note"`
}

type numbered struct {
	version rollout.Version
	err     error
}

// machine is the state that instances agree on. It is raft.FSM.
type machine struct {
	mu      sync.Mutex
	clock   rollout.Millis // never falls, whoever leads
	state   *rollout.State
	changed chan struct{} // closed and replaced with each change
	log     zerolog.Logger
}

// Apply implements raft.FSM.
func (m *machine) Apply(l *raft.Log) any {
	var c command
	if err := json.Unmarshal(l.Data, &c); err != nil { // an instance of another make: all skip it alike
		m.log.Error().Err(err).Msg("a command can't be read")
		return numbered{err: err}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.clock = max(m.clock, c.Now)
	was, candidate := m.state.Stable, m.state.Candidate
	var out numbered
	if c.Set != nil {
		m.state.Settings = *c.Set
	}
	for _, r := range c.Reports {
		m.state.RecordReport(m.clock, r)
	}
	if s := c.Submit; s != nil {
		out.version, out.err = m.state.Submit(m.clock, s.Text, s.Digest, s.By, s.Note, s.Base)
	}
	if b := c.Back; b != nil {
		out.version, out.err = m.state.Rollback(m.clock, b.To, b.By, b.Note)
	}
	m.state.Tick(m.clock)
	m.tell(was, candidate)
	close(m.changed)
	m.changed = make(chan struct{})
	return out
}

// tell logs a change of what is accepted or rolled out.
func (m *machine) tell(stable, candidate rollout.Version) {
	s := m.state
	if candidate != s.Candidate && candidate != 0 {
		if e := s.Entries[candidate]; e != nil {
			m.log.Info().Uint64("version", uint64(candidate)).Str("state", e.State).Str("reason", e.Reason).Msg("a rollout has ended")
		}
	}
	if s.Candidate != candidate && s.Candidate != 0 {
		m.log.Info().Uint64("version", uint64(s.Candidate)).Int("followers", len(s.Followers)).Msg("a rollout begins")
	}
	if s.Stable != stable {
		m.log.Info().Uint64("version", uint64(s.Stable)).Uint64("before", uint64(stable)).Msg("accepted")
	}
}

type snapshot struct {
	Clock rollout.Millis `json:"clock"`
	State *rollout.State `json:"state"`
}

type frozen []byte

// Snapshot implements raft.FSM.
func (m *machine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	raw, err := json.Marshal(snapshot{m.clock, m.state})
	return frozen(raw), err
}

// Persist implements raft.FSMSnapshot.
func (f frozen) Persist(to raft.SnapshotSink) error {
	if _, err := to.Write(f); err != nil {
		return errors.Join(err, to.Cancel())
	}
	return to.Close()
}

// Release implements raft.FSMSnapshot.
func (f frozen) Release() {}

// Restore implements raft.FSM.
func (m *machine) Restore(from io.ReadCloser) error {
	defer from.Close()
	var s snapshot
	if err := json.NewDecoder(from).Decode(&s); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.clock, m.state = s.Clock, s.State
	close(m.changed)
	m.changed = make(chan struct{})
	return nil
}

// layer carries the library's streams over Unix sockets.
type layer struct {
	net.Listener
	dial Network
}

// Dial implements raft.StreamLayer.
func (l layer) Dial(to raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	ctx, end := context.WithTimeout(context.Background(), min(timeout, dialBound))
	defer end()
	return l.dial(ctx, string(to))
}

// service is one instance.
type service struct {
	wire.UnimplementedConfigurationServer
	set     *settings.Control
	log     zerolog.Logger
	raft    *raft.Raft
	m       *machine
	ctx     context.Context
	reports chan rollout.Report
	term    atomic.Uint64 // in which this instance leads and knows all that was agreed on before

	mu    sync.Mutex
	parts map[rollout.Version][]settings.Resource
}

// Serve runs an instance until the context ends. Ready is called once it can be asked.
func Serve(ctx context.Context, c *settings.Control, log zerolog.Logger, ready func()) error {
	return ServeOver(ctx, c, log, ready, unixNetwork)
}

// ServeOver is Serve over a network of the caller's.
func ServeOver(ctx context.Context, c *settings.Control, log zerolog.Logger, ready func(), dial Network) (err error) {
	log = log.With().Str("control", c.Name).Logger()
	shares, err := c.Roll.Shares()
	if err != nil {
		return err
	}
	set := rollout.Settings{Stages: shares, Hold: rollout.Millis(c.Roll.Hold / 10), AnswerTimeout: rollout.Millis(c.Roll.AnswerTimeout / 10),
		LiveTimeout: rollout.Millis(c.Roll.LiveTimeout / 10), MaxRefusedShare: c.Roll.MaxRefusedShare, MaxOKDrop: c.Roll.MaxOKDrop, MinRPCs: uint64(c.Roll.MinRPCs)}
	if err := os.MkdirAll(c.Dir, 0o700); err != nil {
		return err
	}
	// bbolt syncs each transaction before it is told as done: what was acknowledged is on disk, as far as fsync keeps
	// its word, and a process killed at any byte finds the last whole transaction
	store, err := raftboltdb.New(raftboltdb.Options{Path: filepath.Join(c.Dir, "log.db")})
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	defer func() { err = errors.Join(err, store.Close()) }()
	snaps, err := raft.NewFileSnapshotStoreWithLogger(c.Dir, snapshots, library(log))
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	between, err := clients.Listen(c.Peers, 0o600)
	if err != nil {
		return err
	}
	transport := raft.NewNetworkTransportWithLogger(layer{between, dial}, 3, time.Second, library(log))
	defer transport.Close()
	conf := raft.DefaultConfig()
	beat := time.Duration(c.Beat) * 100 * time.Microsecond
	conf.LocalID, conf.Logger = raft.ServerID(c.Name), library(log)
	conf.HeartbeatTimeout, conf.ElectionTimeout, conf.LeaderLeaseTimeout = beat, beat, beat/2
	conf.CommitTimeout = beat / 10
	conf.SnapshotThreshold, conf.TrailingLogs = logBatch, logBatch
	m := &machine{state: rollout.New(set), changed: make(chan struct{}), log: log}
	r, err := raft.NewRaft(conf, m, store, store, snaps, transport)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	defer func() { err = errors.Join(err, r.Shutdown().Error()) }()
	members := raft.Configuration{Servers: []raft.Server{{ID: conf.LocalID, Address: raft.ServerAddress(c.Peers)}}}
	for _, o := range c.Others {
		members.Servers = append(members.Servers, raft.Server{ID: raft.ServerID(o.Name), Address: raft.ServerAddress(o.Socket)})
	}
	if err := r.BootstrapCluster(members).Error(); err != nil && !errors.Is(err, raft.ErrCantBootstrap) {
		return err
	}
	ctx, end := context.WithCancel(ctx)
	defer end()
	s := &service{set: c, log: log, raft: r, m: m, ctx: ctx, reports: make(chan rollout.Report, 1024),
		parts: map[rollout.Version][]settings.Resource{}}
	l, err := clients.Listen(c.Socket, 0o600)
	if err != nil {
		return err
	}
	g := grpc.NewServer(grpc.MaxRecvMsgSize(textBound),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: time.Second}))
	wire.RegisterConfigurationServer(g, s)
	var all sync.WaitGroup
	all.Go(func() { s.gatherReports(ctx) })
	all.Go(func() { s.tick(ctx, set) })
	stop := context.AfterFunc(ctx, g.Stop)
	defer stop()
	log.Info().Str("socket", c.Socket).Int("instances", len(members.Servers)).Msg("control service takes followers")
	if ready != nil {
		ready()
	}
	err = g.Serve(l)
	if ctx.Err() != nil {
		err = nil
	}
	end()
	all.Wait()
	return err
}

// library has the consensus library's warnings in our log.
func library(log zerolog.Logger) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Error, Output: logWriter{log}, DisableTime: true})
}

type logWriter struct{ log zerolog.Logger }

// Write implements io.Writer.
func (w logWriter) Write(b []byte) (int, error) {
	w.log.Debug().Str("from", "raft").Msg(strings.TrimSpace(string(b)))
	return len(b), nil
}

// leads: an instance that was just elected may not have applied yet what others told before; until it has, it tells
// nobody anything.
func (s *service) leads() bool {
	return s.raft.State() == raft.Leader && s.raft.CurrentTerm() == s.term.Load()
}

// errNotLeader tells who leads.
func (s *service) errNotLeader() error {
	_, id := s.raft.LeaderWithID()
	return status.Errorf(codes.FailedPrecondition, "instance %s does not lead; %s", s.set.Name,
		map[bool]string{true: "nobody does just now", false: "instance " + string(id) + " does"}[id == ""])
}

// agree has a command agreed on by a majority.
func (s *service) agree(c command) (numbered, error) {
	c.Now = rollout.Millis(time.Now().UnixMilli())
	raw, err := json.Marshal(c)
	if err != nil {
		return numbered{}, err
	}
	f := s.raft.Apply(raw, agreement)
	switch err := f.Error(); {
	case errors.Is(err, raft.ErrNotLeader):
		return numbered{}, s.errNotLeader()
	case err != nil: // it may have been agreed on
		return numbered{}, status.Errorf(codes.Unknown, "it may have been numbered, look at the status: %v", err)
	}
	return f.Response().(numbered), nil
}

// gatherReports has what followers tell agreed on, many at once.
func (s *service) gatherReports(ctx context.Context) {
	for {
		var c command
		select {
		case <-ctx.Done():
			return
		case r := <-s.reports:
			c.Reports = append(c.Reports, r)
		}
		after := time.After(gather)
	more:
		for {
			select {
			case r := <-s.reports:
				c.Reports = append(c.Reports, r)
			case <-after:
				break more
			case <-ctx.Done():
				return
			}
		}
		if _, err := s.agree(c); err != nil {
			s.log.Debug().Err(err).Msg("reports lost: followers tell again")
		}
	}
}

// tick has the rollout look at the time while one is under way.
func (s *service) tick(ctx context.Context, set rollout.Settings) {
	ticker := time.NewTicker(pace)
	defer ticker.Stop()
	led := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		term := s.raft.CurrentTerm()
		if s.raft.State() == raft.Leader && s.term.Load() != term {
			// the settings are this instance's now; and once they are agreed on, all before them is applied
			if _, err := s.agree(command{Set: &set}); err == nil {
				s.term.Store(term)
			}
		}
		leads := s.leads()
		if leads != led {
			s.log.Info().Bool("leads", leads).Msg("lead")
		}
		s.m.mu.Lock()
		wants := s.m.state.TickDue(max(s.m.clock, rollout.Millis(time.Now().UnixMilli())))
		s.m.mu.Unlock()
		if leads && wants {
			_, _ = s.agree(command{}) // what fails is tried again
		}
		led = leads
	}
}

// partsOf gives a version's parts; in a call with m locked.
func (s *service) partsOf(e *rollout.Entry) []settings.Resource {
	s.mu.Lock()
	defer s.mu.Unlock()
	if parts, known := s.parts[e.Version]; known {
		return parts
	}
	_, parts, err := configdiff.Canonical("configuration", e.Text)
	if err != nil { // it was canonical when it was numbered
		return nil
	}
	for v := range s.parts {
		if len(s.parts) >= partsKept {
			delete(s.parts, v)
		}
	}
	s.parts[e.Version] = parts
	return parts
}

// Follow implements the stream: one response at a time is unanswered, and the next one brings the newest.
func (s *service) Follow(stream wire.Configuration_FollowServer) error {
	if !s.leads() {
		return s.errNotLeader()
	}
	if err := stream.SendHeader(nil); err != nil { // it is taken, whether there is anything to tell or not
		return err
	}
	ctx, end := context.WithCancel(stream.Context())
	defer end()
	came, failed := make(chan *wire.FollowRequest), make(chan error, 1)
	go func() {
		for {
			r, err := stream.Recv()
			if err != nil {
				failed <- err
				return
			}
			select {
			case came <- r:
			case <-ctx.Done():
				return
			}
		}
	}()
	look := time.NewTicker(lookAtLead)
	defer look.Stop()
	f := &following{s: s}
	for {
		s.m.mu.Lock()
		changed := s.m.changed
		out := f.next()
		s.m.mu.Unlock()
		if out != nil {
			if err := stream.Send(out); err != nil {
				return err
			}
		}
		select {
		case r := <-came:
			if err := f.heard(r); err != nil {
				return err
			}
		case <-changed:
		case <-look.C:
			if !s.leads() {
				return s.errNotLeader()
			}
		case err := <-failed:
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		case <-s.ctx.Done():
			return status.Error(codes.Unavailable, "the instance stops")
		}
	}
}

// following is one follower's stream.
type following struct {
	s       *service
	last    rollout.Report
	sent    uint64 // responses
	nonce   string // not answered yet; empty: all are
	offered rollout.Version
	whole   bool
	refused rollout.Version // on this stream or as told at its beginning
}

// heard takes a message; answers to any response but the last are stale.
func (f *following) heard(r *wire.FollowRequest) error {
	if r.Follower == "" || f.last.Name != "" && r.Follower != f.last.Name {
		return status.Errorf(codes.InvalidArgument, "follower %q on the stream of %q", r.Follower, f.last.Name)
	}
	report := rollout.Report{Name: r.Follower, Version: rollout.Version(r.Version), Digest: r.Digest, Kept: r.Kept,
		Refused: f.last.Refused, Reason: f.last.Reason}
	if g := r.Figures; g != nil {
		report.Counters = rollout.Counters{Taken: g.Taken, OK: g.Ok, Denied: g.Denied, Aborted: g.Aborted}
	} else {
		report.Counters = f.last.Counters
	}
	if f.last.Name == "" || r.Nonce == "" {
		if v := rollout.Version(r.Refused); v != 0 {
			f.refused, report.Refused = v, v
		}
	}
	if r.Nonce != "" && r.Nonce == f.nonce {
		f.nonce = ""
		f.whole = r.Whole
		if r.ErrorDetail != nil {
			f.refused = f.offered
			report.Refused, report.Reason = f.offered, r.ErrorDetail.Message
		}
	}
	f.last = report
	select {
	case f.s.reports <- report:
	case <-f.s.ctx.Done():
	}
	return nil
}

// next is the response that is due now; nil: none is.
func (f *following) next() *wire.FollowResponse {
	st := f.s.m.state
	if f.last.Name == "" || f.nonce != "" {
		return nil
	}
	target := st.Target(f.last.Name)
	e := st.Entries[target]
	if e == nil || target <= f.last.Version || target == f.refused && !f.whole {
		return nil
	}
	parts := f.s.partsOf(e)
	f.sent++
	f.nonce, f.offered = fmt.Sprintf("%s-%d", f.s.set.Name, f.sent), target
	out := &wire.FollowResponse{Version: uint64(target), Nonce: f.nonce, Digest: e.Digest}
	set := parts
	if base := st.Entries[f.last.Version]; !f.whole && base != nil && base.Text != "" && base.Digest == f.last.Digest {
		var removed []configdiff.ID
		set, removed = configdiff.Diff(f.s.partsOf(base), parts)
		out.Base = uint64(base.Version)
		for _, id := range removed {
			out.Removed = append(out.Removed, &wire.ResourceName{Type: id.Type, Name: id.Name})
		}
	}
	f.whole = false
	for _, p := range set {
		out.Resources = append(out.Resources, &wire.Resource{Id: &wire.ResourceName{Type: p.Type, Name: p.Name}, Text: p.Text})
	}
	return out
}

// Submit numbers a configuration.
func (s *service) Submit(_ context.Context, r *wire.SubmitRequest) (*wire.SubmitResponse, error) {
	text, _, err := configdiff.Canonical("configuration", r.Text)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	if !r.Unchecked {
		if _, err := settings.ReadConfiguration("configuration", strings.NewReader(r.Text)); err != nil {
			return nil, status.Error(codes.InvalidArgument, err.Error())
		}
	}
	return s.answer(s.agree(command{Submit: &submit{Text: text, Digest: configdiff.Digest(text), By: r.By, Note: r.Note,
		Base: rollout.Version(r.Base)}}))
}

// Rollback goes back.
func (s *service) Rollback(_ context.Context, r *wire.RollbackRequest) (*wire.SubmitResponse, error) {
	return s.answer(s.agree(command{Back: &back{To: rollout.Version(r.Version), By: r.By, Note: r.Note}}))
}

func (s *service) answer(n numbered, err error) (*wire.SubmitResponse, error) {
	if err != nil {
		return nil, err
	}
	if n.err != nil {
		return nil, status.Error(codes.Aborted, n.err.Error())
	}
	return &wire.SubmitResponse{Version: uint64(n.version)}, nil
}

// Get shows a version.
func (s *service) Get(_ context.Context, r *wire.GetRequest) (*wire.GetResponse, error) {
	if err := s.current(); err != nil {
		return nil, err
	}
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	v := rollout.Version(r.Version)
	if v == 0 {
		v = s.m.state.Stable
	}
	e := s.m.state.Entries[v]
	if e == nil || e.Text == "" {
		return nil, status.Errorf(codes.NotFound, "no version %d, or its text is kept no more", v)
	}
	return &wire.GetResponse{Version: uint64(v), Digest: e.Digest, Text: e.Text}, nil
}

// current makes sure that this instance leads still: another may have been elected on the far side of a split.
func (s *service) current() error {
	if !s.leads() || s.raft.VerifyLeader().Error() != nil {
		return s.errNotLeader()
	}
	return nil
}

// Status tells of versions and followers.
func (s *service) Status(context.Context, *wire.StatusRequest) (*wire.StatusResponse, error) {
	if err := s.current(); err != nil {
		return nil, err
	}
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	st := s.m.state
	out := &wire.StatusResponse{Instance: s.set.Name, Leader: s.set.Name, Stable: uint64(st.Stable),
		Candidate: uint64(st.Candidate), Stage: uint32(st.Stage)}
	for v := st.Newest; v > 0 && len(out.Versions) < 1000; v-- {
		if e := st.Entries[v]; e != nil {
			out.Versions = append(out.Versions, &wire.VersionStatus{Version: uint64(v), Digest: e.Digest, State: e.State,
				Reason: e.Reason, By: e.By, Note: e.Note, UnixMs: int64(e.CreatedAt)})
		}
	}
	for _, f := range st.ListFollowers(rollout.Millis(time.Now().UnixMilli())) {
		out.Followers = append(out.Followers, &wire.FollowerStatus{Name: f.Name, Version: uint64(f.Version),
			Target: uint64(st.Target(f.Name)), Refused: uint64(f.Refused), Reason: f.Reason, Kept: f.Kept, Live: f.Live})
	}
	return out, nil
}
