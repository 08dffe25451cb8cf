// Package configclient is the shell around internal/adopt: it follows a control service over gRPC, has versions checked and
// applied by whoever runs the front end, and keeps the last good one on disk. It decides nothing about a version.
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

// textBound is the most bytes of one response.
const textBound = 64 << 20

// silence is how long a stream may bring nothing before the instance is asked whether it lives.
const silence = 10 * time.Second

// Change is a version that was checked and can act.
type Change interface {
	Apply() error // between two turns, all or nothing
	Discard()     // it will not act: what was made for it goes
}

// Options are a follower's.
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

// Status is where a follower stands.
type Status struct {
	Version   uint64  `json:"version"` // 0: its own settings
	Digest    string  `json:"digest,omitempty"`
	Source    string  `json:"from"` // own settings, disk, service
	Saved     bool    `json:"kept"`
	Connected bool    `json:"connected"`
	SilentMs  float64 `json:"silent_ms"` // since the service was last heard of
	Refused   uint64  `json:"refused,omitempty"`
	Reason    string  `json:"reason,omitempty"`
}

// Client follows. Its events are done one after the other by Run.
type Client struct {
	o      Options
	f      *configupdate.Follower
	events chan func()
	quit   chan struct{} // closed once Run is over: events are passed over

	parts  []settings.Resource // of what is held
	from   string
	offers map[configupdate.Version]*offer
	send   func(*wire.FollowRequest) // nil: no stream
	heard  time.Time
	status atomic.Pointer[Status]
}

// offer is a version that came, put together.
type offer struct {
	parts  []settings.Resource
	text   string
	change Change
}

// Initial is what a front end begins with.
type Initial struct {
	Saved  lastgood.Saved
	Source string
}

// LoadInitial reads the kept version, if there is a good one, and says so.
func LoadInitial(o Options) (Initial, bool) {
	k, problems, ok := o.Store.Load()
	for _, p := range problems {
		o.Log.Warn().Err(p).Msg("a kept configuration is spoilt and not used")
	}
	if !ok {
		return Initial{Source: "own settings"}, false
	}
	return Initial{Saved: k, Source: "disk"}, true
}

// New makes a follower that has b in force.
func New(o Options, b Initial) *Client {
	s := &Client{o: o, events: make(chan func(), 64), quit: make(chan struct{}), from: b.Source, heard: time.Now(),
		offers: map[configupdate.Version]*offer{}}
	held := configupdate.VersionRef{}
	if b.Saved.Version > 0 {
		held = configupdate.VersionRef{Version: configupdate.Version(b.Saved.Version), Digest: configdiff.Digest(b.Saved.Text)}
		if _, parts, err := configdiff.Canonical("kept", b.Saved.Text); err == nil { // it was in force
			s.parts = parts
		}
	}
	s.f = configupdate.New((*port)(s), held, held.Version > 0)
	s.tell()
	return s
}

// Status may be asked by any goroutine.
func (s *Client) Status() Status {
	return *s.status.Load()
}

// tell renews the status.
func (s *Client) tell() {
	held, kept := s.f.Current()
	refused, why := s.f.LastRefused()
	s.status.Store(&Status{Version: uint64(held.Version), Digest: held.Digest, Source: s.from, Saved: kept,
		Connected: s.send != nil, SilentMs: float64(time.Since(s.heard).Milliseconds()), Refused: uint64(refused.Version), Reason: why})
}

// post has f done by Run.
func (s *Client) post(f func()) {
	select {
	case s.events <- f:
	case <-s.quit:
	}
}

// Run follows until the context ends.
func (s *Client) Run(ctx context.Context) error {
	done := make(chan struct{})
	go func() { defer close(done); s.follow(ctx) }()
	ticker := time.NewTicker(s.o.ReportInterval)
	defer ticker.Stop()
	for {
		select {
		case f := <-s.events:
			f()
		case <-ticker.C:
			if s.send != nil {
				held, kept := s.f.Current()
				refused, _ := s.f.LastRefused()
				s.say(&wire.FollowRequest{Version: uint64(held.Version), Digest: held.Digest, Kept: kept, Refused: uint64(refused.Version)})
			}
		case <-ctx.Done():
			close(s.quit)
			<-done
			for _, o := range s.offers {
				if o.change != nil {
					o.change.Discard()
				}
			}
			return nil
		}
		s.tell()
	}
}

// say sends a message with the figures of now.
func (s *Client) say(r *wire.FollowRequest) {
	if s.send == nil {
		return
	}
	r.Follower = s.o.Name
	if s.o.Counters != nil {
		r.Figures = s.o.Counters()
	}
	s.send(r)
}

// follow keeps a stream to the instance that leads.
func (s *Client) follow(ctx context.Context) {
	pause, silent := s.o.RedialMin, false
	for at := 0; ctx.Err() == nil; at = (at + 1) % len(s.o.Sockets) {
		stood, err := s.stream(ctx, s.o.Sockets[at])
		if ctx.Err() != nil {
			return
		}
		switch {
		case stood:
			s.o.Log.Warn().Err(err).Str("socket", s.o.Sockets[at]).Msg("control service lost: what is in force stands")
			pause, silent = s.o.RedialMin, true
			continue // another may lead
		case status.Code(err) == codes.FailedPrecondition && at < len(s.o.Sockets)-1:
			continue
		case !silent && at == len(s.o.Sockets)-1:
			silent = true
			s.o.Log.Warn().Err(err).Msg("no control service is reached: what is in force stands")
		}
		if at == len(s.o.Sockets)-1 {
			select {
			case <-ctx.Done():
			case <-time.After(pause):
			}
			pause = min(2*pause, s.o.RedialMax)
		}
	}
}

// stream follows one instance; stood: it was taken.
func (s *Client) stream(ctx context.Context, socket string) (stood bool, err error) {
	ctx, end := context.WithCancel(ctx)
	defer end()
	cc, err := grpc.NewClient("unix:"+socket, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(textBound)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: silence, Timeout: silence / 2}))
	if err != nil {
		return false, err
	}
	defer cc.Close()
	st, err := wire.NewConfigurationClient(cc).Follow(ctx)
	if err != nil {
		return false, err
	}
	// messages leave by a goroutine of their own: the service may read slowly
	out := make(chan *wire.FollowRequest, 64)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		for {
			select {
			case r := <-out:
				if st.Send(r) != nil {
					end()
					return
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	up := make(chan struct{})
	s.post(func() {
		s.send = func(r *wire.FollowRequest) {
			select {
			case out <- r:
			case <-ctx.Done():
			default: // it reads nothing: the stream is given up, the next one tells all anew
				end()
			}
		}
		s.f.HandleConnect()
		close(up)
	})
	defer func() {
		end()
		<-sent
		s.post(func() {
			s.send = nil
			s.f.HandleDisconnect()
		})
	}()
	select {
	case <-up:
	case <-s.quit:
		return false, nil
	}
	header, err := st.Header()
	if err != nil {
		return false, err
	}
	if stood = header != nil; stood {
		s.o.Log.Info().Str("socket", socket).Msg("follows the control service")
		s.post(func() { s.heard = time.Now() })
	}
	for {
		r, err := st.Recv()
		if err != nil {
			return stood, err
		}
		s.post(func() { s.offered(r) })
	}
}

// offered puts a response together and hands it to the module.
func (s *Client) offered(r *wire.FollowResponse) {
	s.heard = time.Now()
	o := configupdate.Offer{VersionRef: configupdate.VersionRef{Version: configupdate.Version(r.Version), Digest: r.Digest}, Nonce: r.Nonce, Base: configupdate.Version(r.Base)}
	held, _ := s.f.Current()
	var base []settings.Resource
	if r.Base != 0 && o.Base == held.Version {
		base = s.parts
	}
	var set []settings.Resource
	for _, p := range r.Resources {
		set = append(set, settings.Resource{Type: p.GetId().GetType(), Name: p.GetId().GetName(), Text: p.Text})
	}
	var removed []configdiff.ID
	for _, id := range r.Removed {
		removed = append(removed, configdiff.ID{Type: id.Type, Name: id.Name})
	}
	parts := configdiff.Patch(base, set, removed)
	text := settings.ResourcesText(parts)
	o.DigestOK = configdiff.Digest(text) == r.Digest
	if was := s.offers[o.Version]; was == nil || was.change == nil { // one that is being applied stays
		s.offers[o.Version] = &offer{parts: parts, text: text}
	}
	s.f.HandleOffer(o)
}

// port is what the module acts through.
type port Client

// Check implements adopt.Port.
func (p *port) Check(v configupdate.Version) {
	s, o := (*Client)(p), p.offers[v]
	go func() {
		change, err := s.o.Check(uint64(v), o.text)
		s.post(func() {
			if o.change = change; err != nil {
				s.f.HandleCheckResult(v, err.Error())
				return
			}
			s.f.HandleCheckResult(v, "")
		})
	}()
}

// Apply implements adopt.Port.
func (p *port) Apply(v configupdate.Version) {
	s, o := (*Client)(p), p.offers[v]
	go func() {
		err := o.change.Apply()
		s.post(func() {
			o.change = nil
			if err != nil {
				s.f.HandleApplyResult(v, err.Error())
				return
			}
			s.from = "service"
			s.f.HandleApplyResult(v, "")
		})
	}()
}

// Save implements adopt.Port.
func (p *port) Save(v configupdate.Version) {
	s, o := (*Client)(p), p.offers[v]
	s.parts = o.parts
	for other := range s.offers {
		if other <= v {
			delete(s.offers, other)
		}
	}
	go func() {
		err := s.o.Store.Save(lastgood.Saved{Version: uint64(v), SavedAt: time.Now(), Text: o.text})
		s.post(func() {
			if err != nil {
				s.f.HandleSaveResult(v, err.Error())
				return
			}
			s.f.HandleSaveResult(v, "")
		})
	}()
}

func (p *port) answer(nonce string, more func(*wire.FollowRequest)) {
	s := (*Client)(p)
	held, kept := s.f.Current()
	r := &wire.FollowRequest{Version: uint64(held.Version), Digest: held.Digest, Kept: kept, Nonce: nonce}
	if more != nil {
		more(r)
	}
	s.say(r)
}

// Accept implements adopt.Port.
func (p *port) Accept(nonce string, _ bool) { p.answer(nonce, nil) }

// Refuse implements adopt.Port.
func (p *port) Refuse(nonce string, v configupdate.Version, why string) {
	p.answer(nonce, func(r *wire.FollowRequest) {
		r.Refused = uint64(v)
		r.ErrorDetail = &rpcstatus.Status{Code: int32(codes.InvalidArgument), Message: why}
	})
}

// RequestFull implements adopt.Port.
func (p *port) RequestFull(nonce string) {
	p.answer(nonce, func(r *wire.FollowRequest) { r.Whole = true })
}

// Log implements adopt.Port.
func (p *port) Log(text string) { p.o.Log.Info().Str("from", "configuration").Msg(text) }

// SendStatus implements adopt.Port.
func (p *port) SendStatus(held configupdate.VersionRef, refused configupdate.Version, kept, _ bool) {
	(*Client)(p).say(&wire.FollowRequest{Version: uint64(held.Version), Digest: held.Digest, Kept: kept, Refused: uint64(refused)})
}
