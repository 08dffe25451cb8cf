// Package configclient connects a front end to the control service: it follows the service over gRPC, has new versions
// checked and applied by the front end, and saves the last good one to disk. Package configupdate makes the decisions
// about versions; this package does its I/O.
package configclient

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	rpcstatus "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"mallowlanding/internal/configdiff"
	"mallowlanding/internal/configupdate"
	"mallowlanding/internal/control/wire"
	"mallowlanding/internal/lastgood"
	"mallowlanding/internal/settings"
)

// maxMessageBytes is the maximum size of a response of the service, in bytes.
const maxMessageBytes = 64 << 20

// keepaliveInterval is how long a connection may be idle before it is checked by a keepalive ping.
const keepaliveInterval = 10 * time.Second

// Change is a version that was checked and can be applied.
type Change interface {
	// Apply puts the version in force between two turns of the event loop, all of it or nothing.
	Apply() error
	// Discard releases what was prepared for a version that will not be applied.
	Discard()
}

// Options configure a Client.
type Options struct {
	Name                 string
	Sockets              []string
	Store                lastgood.Store
	RedialMin, RedialMax time.Duration
	ReportInterval       time.Duration
	Counters             func() *wire.Figures
	Check                func(version uint64, text string) (Change, error)
	Log                  zerolog.Logger
}

// Status is the state of a follower.
type Status struct {
	Version   uint64  `json:"version"` // 0: the front end's own settings
	Digest    string  `json:"digest,omitempty"`
	Source    string  `json:"from"` // "own settings", "disk" or "service"
	Saved     bool    `json:"kept"`
	Connected bool    `json:"connected"`
	SilentMs  float64 `json:"silent_ms"` // time since the last message of the service
	Refused   uint64  `json:"refused,omitempty"`
	Reason    string  `json:"reason,omitempty"`
}

// Client follows the control service. Run handles its events one after the other.
type Client struct {
	options  Options
	follower *configupdate.Follower
	events   chan func()
	stopped  chan struct{} // closed when Run ends; later events are dropped

	resources     []settings.Resource // of the version in force
	source        string
	offers        map[configupdate.Version]*offer
	sendRequest   func(*wire.FollowRequest) // nil if there is no stream
	lastMessageAt time.Time
	status        atomic.Pointer[Status]
}

// offer is a version received from the service, with its changes applied to their base.
type offer struct {
	resources []settings.Resource
	text      string
	change    Change
}

// Initial is the configuration that a front end starts with.
type Initial struct {
	Saved  lastgood.Saved
	Source string
}

// LoadInitial reads the saved version from disk. It reports whether there is a good one.
func LoadInitial(options Options) (Initial, bool) {
	saved, problems, ok := options.Store.Load()
	for _, p := range problems {
		options.Log.Warn().Err(p).Msg("a saved configuration is damaged and is ignored")
	}
	if !ok {
		return Initial{Source: "own settings"}, false
	}
	return Initial{Saved: saved, Source: "disk"}, true
}

// New returns a client whose initial configuration is in force.
func New(options Options, initial Initial) *Client {
	c := &Client{options: options, events: make(chan func(), 64), stopped: make(chan struct{}), source: initial.Source,
		lastMessageAt: time.Now(), offers: map[configupdate.Version]*offer{}}
	current := configupdate.VersionRef{}
	if initial.Saved.Version > 0 {
		current = configupdate.VersionRef{Version: configupdate.Version(initial.Saved.Version),
			Digest: configdiff.Digest(initial.Saved.Text)}
		if _, resources, err := configdiff.Canonical("kept", initial.Saved.Text); err == nil { // it was in force
			c.resources = resources
		}
	}
	c.follower = configupdate.New((*actions)(c), current, current.Version > 0)
	c.updateStatus()
	return c
}

// Status returns the current state. It is safe for concurrent use.
func (c *Client) Status() Status {
	return *c.status.Load()
}

// updateStatus updates what Status returns.
func (c *Client) updateStatus() {
	current, saved := c.follower.Current()
	refused, reason := c.follower.LastRefused()
	c.status.Store(&Status{Version: uint64(current.Version), Digest: current.Digest, Source: c.source, Saved: saved,
		Connected: c.sendRequest != nil, SilentMs: float64(time.Since(c.lastMessageAt).Milliseconds()),
		Refused: uint64(refused.Version), Reason: reason})
}

// enqueue has Run execute an event.
func (c *Client) enqueue(event func()) {
	select {
	case c.events <- event:
	case <-c.stopped:
	}
}

// Run follows the control service until the context ends.
func (c *Client) Run(ctx context.Context) error {
	done := make(chan struct{})
	go func() { defer close(done); c.followLeader(ctx) }()
	ticker := time.NewTicker(c.options.ReportInterval)
	defer ticker.Stop()
	for {
		select {
		case event := <-c.events:
			event()
		case <-ticker.C:
			if c.sendRequest != nil {
				current, saved := c.follower.Reported()
				refused, _ := c.follower.LastRefused()
				c.report(&wire.FollowRequest{Version: uint64(current.Version), Digest: current.Digest, Kept: saved,
					Refused: uint64(refused.Version)})
			}
		case <-ctx.Done():
			close(c.stopped)
			<-done
			for _, o := range c.offers {
				if o.change != nil {
					o.change.Discard()
				}
			}
			return nil
		}
		c.updateStatus()
	}
}

// report sends a message, if there is a stream, with the follower's name and current counters.
func (c *Client) report(r *wire.FollowRequest) {
	if c.sendRequest == nil {
		return
	}
	r.Follower = c.options.Name
	if c.options.Counters != nil {
		r.Figures = c.options.Counters()
	}
	c.sendRequest(r)
}

// followLeader keeps a stream to the instance that leads, trying the instances in turn.
func (c *Client) followLeader(ctx context.Context) {
	pause, loggedLoss := c.options.RedialMin, false
	for i := 0; ctx.Err() == nil; i = (i + 1) % len(c.options.Sockets) {
		accepted, err := c.followInstance(ctx, c.options.Sockets[i])
		if ctx.Err() != nil {
			return
		}
		switch {
		case accepted:
			c.options.Log.Warn().Err(err).Str("socket", c.options.Sockets[i]).
				Msg("lost the control service; the configuration in force stays")
			pause, loggedLoss = c.options.RedialMin, true
			continue // another instance may lead by now
		case status.Code(err) == codes.FailedPrecondition && i < len(c.options.Sockets)-1:
			continue
		case !loggedLoss && i == len(c.options.Sockets)-1:
			loggedLoss = true
			c.options.Log.Warn().Err(err).Msg("cannot reach the control service; the configuration in force stays")
		}
		if i == len(c.options.Sockets)-1 {
			select {
			case <-ctx.Done():
			case <-time.After(pause):
			}
			pause = min(2*pause, c.options.RedialMax)
		}
	}
}

// followInstance follows one instance until the stream ends. It reports whether the instance had accepted the stream,
// which only the leader does.
func (c *Client) followInstance(ctx context.Context, socket string) (accepted bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := grpc.NewClient("unix:"+socket, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveInterval / 2}))
	if err != nil {
		return false, err
	}
	defer conn.Close()
	stream, err := wire.NewConfigurationClient(conn).Follow(ctx)
	if err != nil {
		return false, err
	}
	// a goroutine of its own sends the messages, since the service may read slowly
	requests := make(chan *wire.FollowRequest, 64)
	senderDone := make(chan struct{})
	go func() {
		defer close(senderDone)
		for {
			select {
			case r := <-requests:
				if stream.Send(r) != nil {
					cancel()
					return
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	connected := make(chan struct{})
	c.enqueue(func() {
		c.sendRequest = func(r *wire.FollowRequest) {
			select {
			case requests <- r:
			case <-ctx.Done():
			default: // the service does not read: give up the stream; the next one starts with the full state
				cancel()
			}
		}
		c.follower.HandleConnect()
		close(connected)
	})
	defer func() {
		cancel()
		<-senderDone
		c.enqueue(func() {
			c.sendRequest = nil
			c.follower.HandleDisconnect()
		})
	}()
	select {
	case <-connected:
	case <-c.stopped:
		return false, nil
	}
	header, err := stream.Header()
	if err != nil {
		return false, err
	}
	if accepted = header != nil; accepted {
		c.options.Log.Info().Str("socket", socket).Msg("connected to the control service")
		c.enqueue(func() { c.lastMessageAt = time.Now() })
	}
	for {
		r, err := stream.Recv()
		if err != nil {
			return accepted, err
		}
		c.enqueue(func() { c.handleResponse(r) })
	}
}

// handleResponse builds the configuration that a response describes and offers it to the state machine.
func (c *Client) handleResponse(resp *wire.FollowResponse) {
	c.lastMessageAt = time.Now()
	o := configupdate.Offer{VersionRef: configupdate.VersionRef{Version: configupdate.Version(resp.Version), Digest: resp.Digest},
		Nonce: resp.Nonce, Base: configupdate.Version(resp.Base)}
	current, _ := c.follower.Current()
	var base []settings.Resource
	if resp.Base != 0 && o.Base == current.Version {
		base = c.resources
	}
	var set []settings.Resource
	for _, r := range resp.Resources {
		set = append(set, settings.Resource{Type: r.GetId().GetType(), Name: r.GetId().GetName(), Text: r.Text})
	}
	var removed []configdiff.ID
	for _, id := range resp.Removed {
		removed = append(removed, configdiff.ID{Type: id.Type, Name: id.Name})
	}
	resources := configdiff.Patch(base, set, removed)
	text := settings.ResourcesText(resources)
	o.DigestOK = configdiff.Digest(text) == resp.Digest
	// an offer whose change is prepared is not replaced, since Apply may be running
	if previous := c.offers[o.Version]; previous == nil || previous.change == nil {
		c.offers[o.Version] = &offer{resources: resources, text: text}
	}
	c.follower.HandleOffer(o)
}

// actions implements configupdate.Actions for a Client.
type actions Client

// Check implements configupdate.Actions.
func (a *actions) Check(v configupdate.Version) {
	c, o := (*Client)(a), a.offers[v]
	go func() {
		change, err := c.options.Check(uint64(v), o.text)
		c.enqueue(func() {
			if o.change = change; err != nil {
				c.follower.HandleCheckResult(v, err.Error())
				return
			}
			c.follower.HandleCheckResult(v, "")
		})
	}()
}

// Apply implements configupdate.Actions.
func (a *actions) Apply(v configupdate.Version) {
	c, o := (*Client)(a), a.offers[v]
	go func() {
		err := o.change.Apply()
		c.enqueue(func() {
			o.change = nil
			if err != nil {
				c.follower.HandleApplyResult(v, err.Error())
				return
			}
			c.source = "service"
			c.follower.HandleApplyResult(v, "")
		})
	}()
}

// Save implements configupdate.Actions.
func (a *actions) Save(v configupdate.Version) {
	c, o := (*Client)(a), a.offers[v]
	c.resources = o.resources
	for other := range c.offers {
		if other <= v {
			delete(c.offers, other)
		}
	}
	go func() {
		err := c.options.Store.Save(lastgood.Saved{Version: uint64(v), SavedAt: time.Now(), Text: o.text})
		c.enqueue(func() {
			if err != nil {
				c.follower.HandleSaveResult(v, err.Error())
				return
			}
			c.follower.HandleSaveResult(v, "")
		})
	}()
}

// respond sends the answer to the response with the given nonce; extend may add to it.
func (a *actions) respond(nonce string, extend func(*wire.FollowRequest)) {
	c := (*Client)(a)
	current, saved := c.follower.Reported()
	r := &wire.FollowRequest{Version: uint64(current.Version), Digest: current.Digest, Kept: saved, Nonce: nonce}
	if extend != nil {
		extend(r)
	}
	c.report(r)
}

// Accept implements configupdate.Actions.
func (a *actions) Accept(nonce string, _ bool) { a.respond(nonce, nil) }

// Refuse implements configupdate.Actions.
func (a *actions) Refuse(nonce string, v configupdate.Version, reason string) {
	a.respond(nonce, func(r *wire.FollowRequest) {
		r.Refused = uint64(v)
		r.ErrorDetail = &rpcstatus.Status{Code: int32(codes.InvalidArgument), Message: reason}
	})
}

// RequestFull implements configupdate.Actions.
func (a *actions) RequestFull(nonce string) {
	a.respond(nonce, func(r *wire.FollowRequest) { r.Whole = true })
}

// Log implements configupdate.Actions.
func (a *actions) Log(text string) { a.options.Log.Info().Str("from", "configuration").Msg(text) }

// SendStatus implements configupdate.Actions.
func (a *actions) SendStatus(current configupdate.VersionRef, refused configupdate.Version, saved, _ bool) {
	(*Client)(a).report(&wire.FollowRequest{Version: uint64(current.Version), Digest: current.Digest, Kept: saved,
		Refused: uint64(refused)})
}
