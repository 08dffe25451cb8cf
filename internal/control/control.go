// Package control implements one instance of the stand-in control service. The service numbers configurations, streams
// them to followers and rolls them out in stages. Its instances (three, usually) replicate their state by Raft, so a
// version number that a client has received is on the disks of a majority. Package rollout makes the decisions; this
// package has the streams and the store.
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
	reportBatchWindow   = 20 * time.Millisecond  // reports received within this window are proposed together
	tickInterval        = 50 * time.Millisecond  // between ticks of a rollout
	applyTimeout        = 5 * time.Second        // bounds the wait until Raft starts a proposal
	dialTimeout         = time.Second            // for a connection between instances
	leaderCheckInterval = 100 * time.Millisecond // a stream ends within this time after its instance has lost the lead
	retainedSnapshots   = 2                      // on disk
	snapshotThreshold   = 4096                   // log entries between snapshots
	maxCachedVersions   = 16                     // versions whose parsed resources are cached
	maxMessageBytes     = 64 << 20               // bytes of one gRPC message, thus of one configuration
	maxHeaderBytes      = 16 << 10               // bytes of one gRPC request's headers
	maxStreams          = 128                    // gRPC requests open on one connection; a follower has one
)

// Network connects to the peer socket of another instance. Tests inject one that can be partitioned.
type Network func(ctx context.Context, socket string) (net.Conn, error)

func unixNetwork(ctx context.Context, socket string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "unix", socket)
}

// command is one entry of the Raft log.
type command struct {
	Now      rollout.Millis    `json:"now"`
	Submit   *submitCommand    `json:"submit,omitempty"`
	Rollback *rollbackCommand  `json:"rollback,omitempty"`
	Reports  []rollout.Report  `json:"reports,omitempty"`
	Settings *rollout.Settings `json:"settings,omitempty"`
}

type submitCommand struct {
	Text   string          `json:"text"`
	Digest string          `json:"digest"`
	By     string          `json:"by"`
	Note   string          `json:"note"`
	Base   rollout.Version `json:"base"`
}

type rollbackCommand struct {
	To   rollout.Version `json:"to"`
	By   string          `json:"by"`
	Note string          `json:"note"`
}

type applyResult struct {
	version rollout.Version
	err     error
}

// stateMachine is the replicated state. It implements raft.FSM.
type stateMachine struct {
	mu      sync.Mutex
	clock   rollout.Millis // never goes back, even when the leader changes
	state   *rollout.State
	changed chan struct{} // closed and replaced at each change
	log     zerolog.Logger
}

// Apply implements raft.FSM.
func (m *stateMachine) Apply(entry *raft.Log) any {
	var c command
	if err := json.Unmarshal(entry.Data, &c); err != nil { // written by another program version; every instance skips it
		m.log.Error().Err(err).Msg("cannot decode a command of the Raft log; skipping it")
		return applyResult{err: err}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.clock = max(m.clock, c.Now)
	stable, candidate := m.state.Stable, m.state.Candidate
	var result applyResult
	if c.Settings != nil {
		m.state.Settings = *c.Settings
	}
	for _, r := range c.Reports {
		m.state.RecordReport(m.clock, r)
	}
	if s := c.Submit; s != nil {
		result.version, result.err = m.state.Submit(m.clock, s.Text, s.Digest, s.By, s.Note, s.Base)
	}
	if b := c.Rollback; b != nil {
		result.version, result.err = m.state.Rollback(m.clock, b.To, b.By, b.Note)
	}
	m.state.Tick(m.clock)
	m.logTransitions(stable, candidate)
	close(m.changed)
	m.changed = make(chan struct{})
	return result
}

// logTransitions logs the end and the start of rollouts and a new accepted version, given the stable version and the
// candidate before the change.
func (m *stateMachine) logTransitions(stable, candidate rollout.Version) {
	s := m.state
	if candidate != s.Candidate && candidate != 0 {
		if e := s.Entries[candidate]; e != nil {
			m.log.Info().Uint64("version", uint64(candidate)).Str("state", e.State).Str("reason", e.Reason).Msg("rollout ended")
		}
	}
	if s.Candidate != candidate && s.Candidate != 0 {
		m.log.Info().Uint64("version", uint64(s.Candidate)).Int("followers", len(s.Followers)).Msg("rollout started")
	}
	if s.Stable != stable {
		m.log.Info().Uint64("version", uint64(s.Stable)).Uint64("before", uint64(stable)).Msg("version accepted")
	}
}

type snapshot struct {
	Clock rollout.Millis `json:"clock"`
	State *rollout.State `json:"state"`
}

type snapshotData []byte

// Snapshot implements raft.FSM.
func (m *stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	data, err := json.Marshal(snapshot{m.clock, m.state})
	return snapshotData(data), err
}

// Persist implements raft.FSMSnapshot.
func (f snapshotData) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(f); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

// Release implements raft.FSMSnapshot.
func (f snapshotData) Release() {}

// Restore implements raft.FSM.
func (m *stateMachine) Restore(reader io.ReadCloser) error {
	defer reader.Close()
	var s snapshot
	if err := json.NewDecoder(reader).Decode(&s); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.clock, m.state = s.Clock, s.State
	close(m.changed)
	m.changed = make(chan struct{})
	return nil
}

// streamLayer carries Raft connections over Unix sockets.
type streamLayer struct {
	net.Listener
	dial Network
}

// Dial implements raft.StreamLayer.
func (l streamLayer) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), min(timeout, dialTimeout))
	defer cancel()
	return l.dial(ctx, string(address))
}

// service is one instance of the control service.
type service struct {
	wire.UnimplementedConfigurationServer
	config    *settings.Control
	log       zerolog.Logger
	raft      *raft.Raft
	fsm       *stateMachine
	ctx       context.Context
	reports   chan rollout.Report
	readyTerm atomic.Uint64 // term in which this instance leads and has applied all earlier entries

	mu        sync.Mutex
	resources map[rollout.Version][]settings.Resource
}

// Serve runs an instance until the context ends. It calls ready, unless nil, once the instance accepts connections.
func Serve(ctx context.Context, config *settings.Control, log zerolog.Logger, ready func()) error {
	return ServeOver(ctx, config, log, ready, unixNetwork)
}

// ServeOver is like Serve, with dial as the network between the instances.
func ServeOver(ctx context.Context, config *settings.Control, log zerolog.Logger, ready func(), dial Network) (err error) {
	log = log.With().Str("control", config.Name).Logger()
	shares, err := config.Rollout.Shares()
	if err != nil {
		return err
	}
	rolloutSettings := rollout.Settings{Stages: shares, Hold: rollout.Millis(config.Rollout.Hold / 10),
		AnswerTimeout: rollout.Millis(config.Rollout.AnswerTimeout / 10), LiveTimeout: rollout.Millis(config.Rollout.LiveTimeout / 10),
		MaxRefusedShare: config.Rollout.MaxRefusedShare, MaxOKDrop: config.Rollout.MaxOKDrop, MinRPCs: uint64(config.Rollout.MinRPCs)}
	if err := os.MkdirAll(config.Dir, 0o700); err != nil {
		return err
	}
	// bbolt syncs each transaction before it reports it as committed: acknowledged entries are on disk, as far as fsync
	// can be trusted, and a process that is killed in the middle of a write finds the last complete transaction.
	store, err := raftboltdb.New(raftboltdb.Options{Path: filepath.Join(config.Dir, "log.db")})
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	defer func() { err = errors.Join(err, store.Close()) }()
	snapshotStore, err := raft.NewFileSnapshotStoreWithLogger(config.Dir, retainedSnapshots, raftLogger(log))
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	peerListener, err := clients.Listen(config.PeerSocket, 0o600)
	if err != nil {
		return err
	}
	transport := raft.NewNetworkTransportWithLogger(streamLayer{peerListener, dial}, 3, time.Second, raftLogger(log))
	defer transport.Close()
	raftConfig := raft.DefaultConfig()
	heartbeat := time.Duration(config.Heartbeat) * 100 * time.Microsecond
	raftConfig.LocalID, raftConfig.Logger = raft.ServerID(config.Name), raftLogger(log)
	raftConfig.HeartbeatTimeout, raftConfig.ElectionTimeout, raftConfig.LeaderLeaseTimeout = heartbeat, heartbeat, heartbeat/2
	raftConfig.CommitTimeout = heartbeat / 10
	raftConfig.SnapshotThreshold, raftConfig.TrailingLogs = snapshotThreshold, snapshotThreshold
	fsm := &stateMachine{state: rollout.New(rolloutSettings), changed: make(chan struct{}), log: log}
	node, err := raft.NewRaft(raftConfig, fsm, store, store, snapshotStore, transport)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	defer func() { err = errors.Join(err, node.Shutdown().Error()) }()
	cluster := raft.Configuration{Servers: []raft.Server{{ID: raftConfig.LocalID, Address: raft.ServerAddress(config.PeerSocket)}}}
	for _, other := range config.Others {
		cluster.Servers = append(cluster.Servers, raft.Server{ID: raft.ServerID(other.Name), Address: raft.ServerAddress(other.PeerSocket)})
	}
	if err := node.BootstrapCluster(cluster).Error(); err != nil && !errors.Is(err, raft.ErrCantBootstrap) {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &service{config: config, log: log, raft: node, fsm: fsm, ctx: ctx, reports: make(chan rollout.Report, 1024),
		resources: map[rollout.Version][]settings.Resource{}}
	listener, err := clients.Listen(config.Socket, 0o600)
	if err != nil {
		return err
	}
	server := grpc.NewServer(grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxConcurrentStreams(maxStreams), grpc.MaxHeaderListSize(maxHeaderBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: time.Second}))
	wire.RegisterConfigurationServer(server, s)
	var background sync.WaitGroup
	background.Go(func() { s.batchReports(ctx) })
	background.Go(func() { s.runTicks(ctx, rolloutSettings) })
	stop := context.AfterFunc(ctx, server.Stop)
	defer stop()
	log.Info().Str("socket", config.Socket).Int("instances", len(cluster.Servers)).Msg("control service is ready for followers")
	if ready != nil {
		ready()
	}
	err = server.Serve(listener)
	if ctx.Err() != nil {
		err = nil
	}
	cancel()
	background.Wait()
	return err
}

// raftLogger passes errors of the Raft library on to log, at debug level.
func raftLogger(log zerolog.Logger) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Error, Output: logWriter{log}, DisableTime: true})
}

type logWriter struct{ log zerolog.Logger }

// Write implements io.Writer.
func (w logWriter) Write(b []byte) (int, error) {
	w.log.Debug().Str("from", "raft").Msg(strings.TrimSpace(string(b)))
	return len(b), nil
}

// isLeader reports whether this instance leads and is up to date. An instance that was just elected may not yet have
// applied entries that earlier leaders acknowledged; until it has, it rejects requests as if it did not lead.
func (s *service) isLeader() bool {
	return s.raft.State() == raft.Leader && s.raft.CurrentTerm() == s.readyTerm.Load()
}

// errNotLeader is the error for a request to an instance that does not lead; it names the leader.
func (s *service) errNotLeader() error {
	_, id := s.raft.LeaderWithID()
	return status.Errorf(codes.FailedPrecondition, "instance %s does not lead; %s", s.config.Name,
		map[bool]string{true: "nobody does just now", false: "instance " + string(id) + " does"}[id == ""])
}

// propose replicates a command to a majority and returns the result of applying it.
func (s *service) propose(c command) (applyResult, error) {
	c.Now = rollout.Millis(time.Now().UnixMilli())
	data, err := json.Marshal(c)
	if err != nil {
		return applyResult{}, err
	}
	future := s.raft.Apply(data, applyTimeout)
	switch err := future.Error(); {
	case errors.Is(err, raft.ErrNotLeader):
		return applyResult{}, s.errNotLeader()
	case err != nil: // it may have been committed
		return applyResult{}, status.Errorf(codes.Unknown, "it may have been numbered, look at the status: %v", err)
	}
	return future.Response().(applyResult), nil
}

// batchReports proposes the reports of followers, many in one command.
func (s *service) batchReports(ctx context.Context) {
	for {
		var c command
		select {
		case <-ctx.Done():
			return
		case r := <-s.reports:
			c.Reports = append(c.Reports, r)
		}
		window := time.After(reportBatchWindow)
	collect:
		for {
			select {
			case r := <-s.reports:
				c.Reports = append(c.Reports, r)
			case <-window:
				break collect
			case <-ctx.Done():
				return
			}
		}
		if _, err := s.propose(c); err != nil {
			s.log.Debug().Err(err).Msg("reports lost; followers will send them again")
		}
	}
}

// runTicks proposes a tick whenever one is due for the rollout, and tracks whether this instance leads.
func (s *service) runTicks(ctx context.Context, rolloutSettings rollout.Settings) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	wasLeader := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		term := s.raft.CurrentTerm()
		if s.raft.State() == raft.Leader && s.readyTerm.Load() != term {
			// a new leader replicates its own settings; once they are committed, all earlier entries are applied
			if _, err := s.propose(command{Settings: &rolloutSettings}); err == nil {
				s.readyTerm.Store(term)
			}
		}
		isLeader := s.isLeader()
		if isLeader != wasLeader {
			s.log.Info().Bool("leads", isLeader).Msg("leadership changed")
		}
		s.fsm.mu.Lock()
		due := s.fsm.state.TickDue(max(s.fsm.clock, rollout.Millis(time.Now().UnixMilli())))
		s.fsm.mu.Unlock()
		if isLeader && due {
			_, _ = s.propose(command{}) // a failure is retried at the next tick
		}
		wasLeader = isLeader
	}
}

// resourcesOf returns the resources of a version. The caller holds the lock of s.fsm.
func (s *service) resourcesOf(e *rollout.Entry) []settings.Resource {
	s.mu.Lock()
	defer s.mu.Unlock()
	if resources, cached := s.resources[e.Version]; cached {
		return resources
	}
	_, resources, err := configdiff.Canonical("configuration", e.Text)
	if err != nil { // cannot happen: the text was canonical when it was numbered
		return nil
	}
	for v := range s.resources {
		if len(s.resources) >= maxCachedVersions {
			delete(s.resources, v)
		}
	}
	s.resources[e.Version] = resources
	return resources
}

// Follow implements the configuration stream. At most one response is unacknowledged; the next one has the newest
// version.
func (s *service) Follow(stream wire.Configuration_FollowServer) error {
	if !s.isLeader() {
		return s.errNotLeader()
	}
	if err := stream.SendHeader(nil); err != nil { // the stream is accepted, even if there is nothing to send
		return err
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	requests, recvErr := make(chan *wire.FollowRequest), make(chan error, 1)
	go func() {
		for {
			r, err := stream.Recv()
			if err != nil {
				recvErr <- err
				return
			}
			select {
			case requests <- r:
			case <-ctx.Done():
				return
			}
		}
	}()
	leaderCheck := time.NewTicker(leaderCheckInterval)
	defer leaderCheck.Stop()
	fs := &followerStream{svc: s}
	for {
		s.fsm.mu.Lock()
		changed := s.fsm.changed
		resp := fs.nextResponse()
		s.fsm.mu.Unlock()
		if resp != nil {
			if err := stream.Send(resp); err != nil {
				return err
			}
		}
		select {
		case r := <-requests:
			if err := fs.handleRequest(r); err != nil {
				return err
			}
		case <-changed:
		case <-leaderCheck.C:
			if !s.isLeader() {
				return s.errNotLeader()
			}
		case err := <-recvErr:
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		case <-s.ctx.Done():
			return status.Error(codes.Unavailable, "the instance stops")
		}
	}
}

// followerStream is the server side of one follower's stream.
type followerStream struct {
	svc           *service
	lastReport    rollout.Report
	sent          uint64 // number of responses sent
	nonce         string // of the unacknowledged response; empty if there is none
	offered       rollout.Version
	fullRequested bool
	refused       rollout.Version // refused on this stream or, by its first message, before it
}

// handleRequest handles a message of the follower. A nonce of any response but the last one is stale and ignored.
func (fs *followerStream) handleRequest(r *wire.FollowRequest) error {
	if r.Follower == "" || fs.lastReport.Name != "" && r.Follower != fs.lastReport.Name {
		return status.Errorf(codes.InvalidArgument, "follower %q on the stream of %q", r.Follower, fs.lastReport.Name)
	}
	report := rollout.Report{Name: r.Follower, Version: rollout.Version(r.Version), Digest: r.Digest, Saved: r.Kept,
		Refused: fs.lastReport.Refused, Reason: fs.lastReport.Reason}
	if counters := r.Figures; counters != nil {
		report.Counters = rollout.Counters{Taken: counters.Taken, OK: counters.Ok, Denied: counters.Denied, Aborted: counters.Aborted}
	} else {
		report.Counters = fs.lastReport.Counters
	}
	if fs.lastReport.Name == "" || r.Nonce == "" {
		if v := rollout.Version(r.Refused); v != 0 {
			fs.refused, report.Refused = v, v
		}
	}
	if r.Nonce != "" && r.Nonce == fs.nonce {
		fs.nonce = ""
		fs.fullRequested = r.Whole
		if r.ErrorDetail != nil {
			fs.refused = fs.offered
			report.Refused, report.Reason = fs.offered, r.ErrorDetail.Message
		}
	}
	fs.lastReport = report
	select {
	case fs.svc.reports <- report:
	case <-fs.svc.ctx.Done():
	}
	return nil
}

// nextResponse returns the response that is due now, or nil. The caller holds the lock of the state machine.
func (fs *followerStream) nextResponse() *wire.FollowResponse {
	state := fs.svc.fsm.state
	if fs.lastReport.Name == "" || fs.nonce != "" {
		return nil
	}
	target := state.Target(fs.lastReport.Name)
	entry := state.Entries[target]
	if entry == nil || target <= fs.lastReport.Version || target == fs.refused && !fs.fullRequested {
		return nil
	}
	resources := fs.svc.resourcesOf(entry)
	fs.sent++
	fs.nonce, fs.offered = fmt.Sprintf("%s-%d", fs.svc.config.Name, fs.sent), target
	resp := &wire.FollowResponse{Version: uint64(target), Nonce: fs.nonce, Digest: entry.Digest}
	changed := resources
	if base := state.Entries[fs.lastReport.Version]; !fs.fullRequested && base != nil && base.Text != "" &&
		base.Digest == fs.lastReport.Digest {
		var removed []configdiff.ID
		changed, removed = configdiff.Diff(fs.svc.resourcesOf(base), resources)
		resp.Base = uint64(base.Version)
		for _, id := range removed {
			resp.Removed = append(resp.Removed, &wire.ResourceName{Type: id.Type, Name: id.Name})
		}
	}
	fs.fullRequested = false
	for _, r := range changed {
		resp.Resources = append(resp.Resources, &wire.Resource{Id: &wire.ResourceName{Type: r.Type, Name: r.Name}, Text: r.Text})
	}
	return resp
}

// Submit checks a configuration and gives it the next version number.
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
	return s.submitResponse(s.propose(command{Submit: &submitCommand{Text: text, Digest: configdiff.Digest(text), By: r.By, Note: r.Note,
		Base: rollout.Version(r.Base)}}))
}

// Rollback rolls an earlier version out again, under a new number.
func (s *service) Rollback(_ context.Context, r *wire.RollbackRequest) (*wire.SubmitResponse, error) {
	return s.submitResponse(s.propose(command{Rollback: &rollbackCommand{To: rollout.Version(r.Version), By: r.By, Note: r.Note}}))
}

func (s *service) submitResponse(result applyResult, err error) (*wire.SubmitResponse, error) {
	if err != nil {
		return nil, err
	}
	if result.err != nil {
		return nil, status.Error(codes.Aborted, result.err.Error())
	}
	return &wire.SubmitResponse{Version: uint64(result.version)}, nil
}

// Get returns the text of a version.
func (s *service) Get(_ context.Context, r *wire.GetRequest) (*wire.GetResponse, error) {
	if err := s.verifyLeader(); err != nil {
		return nil, err
	}
	s.fsm.mu.Lock()
	defer s.fsm.mu.Unlock()
	v := rollout.Version(r.Version)
	if v == 0 {
		v = s.fsm.state.Stable
	}
	e := s.fsm.state.Entries[v]
	if e == nil || e.Text == "" {
		return nil, status.Errorf(codes.NotFound, "no version %d, or its text is kept no more", v)
	}
	return &wire.GetResponse{Version: uint64(v), Digest: e.Digest, Text: e.Text}, nil
}

// verifyLeader makes sure that this instance still leads: in a network partition, the other side may have elected
// another leader.
func (s *service) verifyLeader() error {
	if !s.isLeader() || s.raft.VerifyLeader().Error() != nil {
		return s.errNotLeader()
	}
	return nil
}

// Status lists the versions and the followers.
func (s *service) Status(context.Context, *wire.StatusRequest) (*wire.StatusResponse, error) {
	if err := s.verifyLeader(); err != nil {
		return nil, err
	}
	s.fsm.mu.Lock()
	defer s.fsm.mu.Unlock()
	state := s.fsm.state
	resp := &wire.StatusResponse{Instance: s.config.Name, Leader: s.config.Name, Stable: uint64(state.Stable),
		Candidate: uint64(state.Candidate), Stage: uint32(state.Stage)}
	for v := state.Newest; v > 0 && len(resp.Versions) < 1000; v-- {
		if e := state.Entries[v]; e != nil {
			resp.Versions = append(resp.Versions, &wire.VersionStatus{Version: uint64(v), Digest: e.Digest, State: e.State,
				Reason: e.Reason, By: e.By, Note: e.Note, UnixMs: int64(e.CreatedAt)})
		}
	}
	for _, f := range state.ListFollowers(rollout.Millis(time.Now().UnixMilli())) {
		resp.Followers = append(resp.Followers, &wire.FollowerStatus{Name: f.Name, Version: uint64(f.Version),
			Target: uint64(state.Target(f.Name)), Refused: uint64(f.Refused), Reason: f.Reason, Kept: f.Saved, Live: f.Live})
	}
	return resp, nil
}
