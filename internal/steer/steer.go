// Package steer is the shell around internal/adopt: it follows a control service over gRPC, has versions checked and
// applied by whoever runs the front end, and keeps the last good one on disk. It decides nothing about a version.
package steer

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

	"mallowlanding/internal/adopt"
	"mallowlanding/internal/control/wire"
	"mallowlanding/internal/lastgood"
	"mallowlanding/internal/resources"
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
	Keep                 lastgood.Store
	RedialMin, RedialMax time.Duration
	FiguresEvery         time.Duration
	Figures              func() *wire.Figures
	Check                func(version uint64, text string) (Change, error)
	Log                  zerolog.Logger
}

// Status is where a follower stands.
type Status struct {
	Version   uint64  `json:"version"` // 0: its own settings
	Digest    string  `json:"digest,omitempty"`
	From      string  `json:"from"` // own settings, disk, service
	Kept      bool    `json:"kept"`
	Connected bool    `json:"connected"`
	SilentMs  float64 `json:"silent_ms"` // since the service was last heard of
	Refused   uint64  `json:"refused,omitempty"`
	Reason    string  `json:"reason,omitempty"`
}

// Steer follows. Its events are done one after the other by Run.
type Steer struct {
	o      Options
	f      *adopt.Follower
	events chan func()
	quit   chan struct{} // closed once Run is over: events are passed over

	parts  []settings.Part // of what is held
	from   string
	offers map[adopt.Version]*offer
	send   func(*wire.FollowRequest) // nil: no stream
	heard  time.Time
	status atomic.Pointer[Status]
}

// offer is a version that came, put together.
type offer struct {
	parts  []settings.Part
	text   string
	change Change
}

// Boot is what a front end begins with.
type Boot struct {
	Kept lastgood.Kept
	From string
}

// Load reads the kept version, if there is a good one, and says so.
func Load(o Options) (Boot, bool) {
	k, problems, ok := o.Keep.Load()
	for _, p := range problems {
		o.Log.Warn().Err(p).Msg("a kept configuration is spoilt and not used")
	}
	if !ok {
		return Boot{From: "own settings"}, false
	}
	return Boot{Kept: k, From: "disk"}, true
}

// New makes a follower that has b in force.
func New(o Options, b Boot) *Steer {
	s := &Steer{o: o, events: make(chan func(), 64), quit: make(chan struct{}), from: b.From, heard: time.Now(),
		offers: map[adopt.Version]*offer{}}
	held := adopt.Held{}
	if b.Kept.Version > 0 {
		held = adopt.Held{Version: adopt.Version(b.Kept.Version), Digest: resources.Digest(b.Kept.Text)}
		if _, parts, err := resources.Canonical("kept", b.Kept.Text); err == nil { // it was in force
			s.parts = parts
		}
	}
	s.f = adopt.New((*port)(s), held, held.Version > 0)
	s.tell()
	return s
}

// Status may be asked by any goroutine.
func (s *Steer) Status() Status {
	return *s.status.Load()
}

// tell renews the status.
func (s *Steer) tell() {
	held, kept := s.f.Held()
	refused, why := s.f.Refused()
	s.status.Store(&Status{Version: uint64(held.Version), Digest: held.Digest, From: s.from, Kept: kept,
		Connected: s.send != nil, SilentMs: float64(time.Since(s.heard).Milliseconds()), Refused: uint64(refused.Version), Reason: why})
}

// post has f done by Run.
func (s *Steer) post(f func()) {
	select {
	case s.events <- f:
	case <-s.quit:
	}
}

// Run follows until the context ends.
func (s *Steer) Run(ctx context.Context) error {
	done := make(chan struct{})
	go func() { defer close(done); s.follow(ctx) }()
	ticker := time.NewTicker(s.o.FiguresEvery)
	defer ticker.Stop()
	for {
		select {
		case f := <-s.events:
			f()
		case <-ticker.C:
			if s.send != nil {
				held, kept := s.f.Held()
				refused, _ := s.f.Refused()
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
func (s *Steer) say(r *wire.FollowRequest) {
	if s.send == nil {
		return
	}
	r.Follower = s.o.Name
	if s.o.Figures != nil {
		r.Figures = s.o.Figures()
	}
	s.send(r)
}

// follow keeps a stream to the instance that leads.
func (s *Steer) follow(ctx context.Context) {
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
func (s *Steer) stream(ctx context.Context, socket string) (stood bool, err error) {
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
		s.f.Connected()
		close(up)
	})
	defer func() {
		end()
		<-sent
		s.post(func() {
			s.send = nil
			s.f.Lost()
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
func (s *Steer) offered(r *wire.FollowResponse) {
	s.heard = time.Now()
	o := adopt.Offer{Held: adopt.Held{Version: adopt.Version(r.Version), Digest: r.Digest}, Nonce: r.Nonce, Base: adopt.Version(r.Base)}
	held, _ := s.f.Held()
	var base []settings.Part
	if r.Base != 0 && o.Base == held.Version {
		base = s.parts
	}
	var set []settings.Part
	for _, p := range r.Resources {
		set = append(set, settings.Part{Type: p.GetId().GetType(), Name: p.GetId().GetName(), Text: p.Text})
	}
	var removed []resources.ID
	for _, id := range r.Removed {
		removed = append(removed, resources.ID{Type: id.Type, Name: id.Name})
	}
	parts := resources.Patch(base, set, removed)
	text := settings.TextOf(parts)
	o.Sound = resources.Digest(text) == r.Digest
	if was := s.offers[o.Version]; was == nil || was.change == nil { // one that is being applied stays
		s.offers[o.Version] = &offer{parts: parts, text: text}
	}
	s.f.Offered(o)
}

// port is what the module acts through.
type port Steer

// Check implements adopt.Port.
func (p *port) Check(v adopt.Version) {
	s, o := (*Steer)(p), p.offers[v]
	go func() {
		change, err := s.o.Check(uint64(v), o.text)
		s.post(func() {
			if o.change = change; err != nil {
				s.f.Checked(v, err.Error())
				return
			}
			s.f.Checked(v, "")
		})
	}()
}

// Apply implements adopt.Port.
func (p *port) Apply(v adopt.Version) {
	s, o := (*Steer)(p), p.offers[v]
	go func() {
		err := o.change.Apply()
		s.post(func() {
			o.change = nil
			if err != nil {
				s.f.Applied(v, err.Error())
				return
			}
			s.from = "service"
			s.f.Applied(v, "")
		})
	}()
}

// Keep implements adopt.Port.
func (p *port) Keep(v adopt.Version) {
	s, o := (*Steer)(p), p.offers[v]
	s.parts = o.parts
	for other := range s.offers {
		if other <= v {
			delete(s.offers, other)
		}
	}
	go func() {
		err := s.o.Keep.Save(lastgood.Kept{Version: uint64(v), Saved: time.Now(), Text: o.text})
		s.post(func() {
			if err != nil {
				s.f.Kept(v, err.Error())
				return
			}
			s.f.Kept(v, "")
		})
	}()
}

func (p *port) answer(nonce string, more func(*wire.FollowRequest)) {
	s := (*Steer)(p)
	held, kept := s.f.Held()
	r := &wire.FollowRequest{Version: uint64(held.Version), Digest: held.Digest, Kept: kept, Nonce: nonce}
	if more != nil {
		more(r)
	}
	s.say(r)
}

// Accept implements adopt.Port.
func (p *port) Accept(nonce string, _ bool) { p.answer(nonce, nil) }

// TurnDown implements adopt.Port.
func (p *port) TurnDown(nonce string, v adopt.Version, why string) {
	p.answer(nonce, func(r *wire.FollowRequest) {
		r.Refused = uint64(v)
		r.ErrorDetail = &rpcstatus.Status{Code: int32(codes.InvalidArgument), Message: why}
	})
}

// AskWhole implements adopt.Port.
func (p *port) AskWhole(nonce string) {
	p.answer(nonce, func(r *wire.FollowRequest) { r.Whole = true })
}

// Log implements adopt.Port.
func (p *port) Log(text string) { p.o.Log.Info().Str("from", "configuration").Msg(text) }

// Tell implements adopt.Port.
func (p *port) Tell(held adopt.Held, refused adopt.Version, kept, _ bool) {
	(*Steer)(p).say(&wire.FollowRequest{Version: uint64(held.Version), Digest: held.Digest, Kept: kept, Refused: uint64(refused)})
}
