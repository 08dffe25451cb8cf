// Package gateway puts a front end together: engine and loop, clients, links to workers, and the followed list.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"mallowlanding/internal/access"
	"mallowlanding/internal/certs"
	"mallowlanding/internal/clients"
	"mallowlanding/internal/dispatch"
	"mallowlanding/internal/engine"
	"mallowlanding/internal/eventloop"
	"mallowlanding/internal/handover"
	"mallowlanding/internal/kserve"
	"mallowlanding/internal/rosterwatch"
	"mallowlanding/internal/settings"
	"mallowlanding/internal/workerlink"
	"mallowlanding/router"
)

// rosterPatience is how long a successor waits for the roster's list before it takes over by the cached one.
const rosterPatience = 3 * time.Second

// look is how often a leaving front end looks whether all is answered.
const look = 5 * time.Millisecond

// machine is an engine whose turns end with what they made going out.
type machine struct {
	*engine.Engine
	links   *workerlink.Set
	desk    *dispatch.Dispatcher
	clients *clients.Server
}

// BeginTurn begins a turn.
func (m *machine) BeginTurn(now router.Time) {
	m.desk.BeginTurn(now)
	m.links.BeginTurn(now)
	m.Engine.BeginTurn(now)
}

// NextDue tells when a turn is wanted though nothing comes.
func (m *machine) NextDue() (router.Time, bool) {
	a, anyA := m.Engine.NextDue()
	b, anyB := m.desk.NextDue()
	if anyA && (!anyB || a < b) {
		b, anyB = a, true
	}
	if c, anyC := m.links.NextDue(); anyC && (!anyB || c < b) {
		return c, true
	}
	return b, anyB
}

// EndTurn ends a turn.
func (m *machine) EndTurn() {
	m.desk.Admit()
	m.Engine.EndTurn()
	m.links.SendDueBatches()
	m.links.Flush()
	m.clients.Flush()
}

// OutputHooks changes what goes out of a front end. It is there for tests that must see a wrong front end caught; nil
// members change nothing.
type OutputHooks struct {
	Link   func(worker string, l engine.Link) engine.Link
	Client func(c engine.Client) engine.Client
	Answer func(value []byte) []byte
}

// Serve runs a front end until the context ends, and then takes no more RPCs, answers those that it holds, and
// leaves: within the settings' time after the end. Ready is called once RPCs are taken.
func Serve(ctx context.Context, f *settings.FrontEnd, log zerolog.Logger, ready func()) error {
	return ServeWithHooks(ctx, f, log, ready, OutputHooks{})
}

// ServeWithHooks is Serve with what goes out changed.
func ServeWithHooks(ctx context.Context, f *settings.FrontEnd, log zerolog.Logger, ready func(), o OutputHooks) error {
	log = log.With().Str("front_end", f.Name).Logger()
	mode, err := strconv.ParseUint(f.Clients.Mode, 8, 32)
	if err != nil {
		return f.Clients.Errorf("mode: %v", err)
	}
	listener, more, confirm, err := listen(f, os.FileMode(mode), log)
	if err != nil {
		return err
	}
	return serve(ctx, f, log, listener, more, confirm, ready, o)
}

// listen gives the client socket: a service manager's, a predecessor's, or a new one. Confirm tells the predecessor
// that this process serves; nil: there is none.
func listen(f *settings.FrontEnd, mode os.FileMode, log zerolog.Logger) (l *net.UnixListener, more []handover.Listener,
	confirm func() error, err error) {
	if l, err = handover.Inherited(); err != nil || l != nil {
		return l, nil, nil, err
	}
	if f.Clients.HandOver != "" {
		var ls []handover.Listener
		ls, confirm, err = handover.Request(f.Clients.HandOver)
		if err == nil {
			u, is := ls[0].(*net.UnixListener)
			if want := 1 + len(places(f)); !is || len(ls) != want {
				for _, l := range ls {
					l.Close()
				}
				return nil, nil, nil, fmt.Errorf("hand-over: the old process serves %d sockets, these settings %d", len(ls), want)
			}
			log.Info().Str("from", f.Clients.HandOver).Int("sockets", len(ls)).Msg("client sockets taken over")
			return u, ls[1:], confirm, nil
		}
		if !errors.Is(err, os.ErrNotExist) && !errors.Is(err, syscall.ECONNREFUSED) {
			return nil, nil, nil, fmt.Errorf("hand-over: %w", err)
		}
	}
	made, err := clients.Listen(f.Clients.Socket, mode)
	if err != nil {
		return nil, nil, nil, err
	}
	return made.(*net.UnixListener), nil, nil, nil
}

func serve(ctx context.Context, own *settings.FrontEnd, log zerolog.Logger, listener *net.UnixListener,
	more []handover.Listener, confirm func() error, ready func(), o OutputHooks) error {
	loop := eventloop.NewLoop()
	cf := newConfigured(own, loop, log)
	f := cf.now.Load()
	e := engine.New(engine.Options{Settings: f.RouterSettings(), Seed: f.Seed, Now: loop.Now(), AnswerMargin: f.Clients.AnswerMargin,
		CancelWait: f.Clients.CancelWait,
		Log:        func(text string) { log.Info().Str("from", "module").Msg(text) }})

	// parts end in turn: first the clients' side, once all is answered, then the rest, last the loop
	rest, endRest := context.WithCancel(context.Background())
	defer endRest()
	clientSide, endFront := context.WithCancel(context.Background())
	defer endFront()
	loopCtx, endLoop := context.WithCancel(context.Background())
	defer endLoop()

	ls := workerlink.New(rest, loop, e, workerlink.Options{FrontEnd: f.Name,
		ConnectTimeout: eventloop.ToDuration(f.Service.CallOuts.ConnectTimeout), ValueBytes: f.Workers.ValueBytes,
		QueuedBytes: f.Workers.SendBytes, RedialMin: eventloop.ToDuration(f.Workers.RedialMin),
		RedialMax: eventloop.ToDuration(f.Workers.RedialMax), WrapLink: o.Link, Log: log})
	fo := rosterwatch.New(loop, e, ls, cf.following(f, cf.booted))
	desk := dispatch.New(e, dispatch.Options{Methods: f.Service.EngineMethods(), Customers: f.Service.CustomerNames(),
		FunctionSpec: f.Service.FunctionSpecs(), AnswerMargin: f.Clients.AnswerMargin, Limits: f.LimitSettings(), WrapClient: o.Client})
	srv := clients.New(loop, desk, clients.Options{
		Limits: clients.Limits{Connections: f.Clients.MaxConnections, OpenRPCs: f.Clients.ConnOpen,
			ValueBytes: f.Clients.ValueBytes, AnswerBytes: f.Clients.AnswerBytes,
			WriteTimeout: eventloop.ToDuration(f.Clients.WriteTimeout)},
		RewriteAnswer: o.Answer, Allow: allow(f), Status: func() []byte { return status(f, e, desk, cf) }, Log: log})

	var loopGroup, restGroup, frontGroup errgroup.Group
	loopGroup.Go(func() error { loop.Run(loopCtx, &machine{e, ls, desk, srv}); return nil })
	restGroup.Go(func() error { return fo.Run(rest) })
	restGroup.Go(func() error { return fo.WriteCache(rest) })
	failed := make(chan error, 6)
	frontGroup.Go(func() error {
		err := srv.Serve(clientSide, listener)
		if err != nil {
			failed <- err
		}
		return err
	})
	ks, more, err := serveKServe(rest, more, f, &restGroup, &frontGroup, loop, desk, e, fo, failed, log)
	if err != nil {
		failed <- err
	}
	cf.parts(rest, clientSide, &restGroup, &frontGroup, e, desk, fo, srv, ks)
	log.Info().Str("socket", f.Clients.Socket).Int("number", f.Number).Int("of", f.FrontEnds).Msg("front end takes RPCs")
	if ready != nil {
		ready()
	}

	var handed <-chan struct{}
	if err == nil {
		handed, err = handOver(rest, &restGroup, f, listener, more, confirm, fo.ListReceived())
	}
	if err == nil {
		select {
		case <-ctx.Done():
		case err = <-failed:
		case <-handed:
			log.Info().Msg("client socket handed over: what is held is answered")
		}
	}
	cf.stop()
	began := time.Now()
	isHanded := false
	select {
	case <-handed:
		isHanded = true
		srv.CloseRead() // what was sent by now is taken
	default:
		listener.Close()
	}
	within := eventloop.ToDuration(cf.now.Load().Stop.Within)
	deadline := time.After(within)
	open := make(chan int, 1)
	left := -1
drain:
	for {
		loop.Post(func() {
			if !isHanded {
				desk.Drain()
			}
			open <- e.Counts().Open + desk.Waiting()
		})
		if left = <-open; left == 0 && srv.Flushed() && (!isHanded || srv.Connections() == 0) {
			break
		}
		select {
		case <-deadline:
			break drain
		case <-time.After(look):
		}
	}
	counts := make(chan engine.Counts, 1)
	loop.Post(func() { counts <- e.Counts() })
	c := <-counts
	// what was sent by now is read, and denied; what comes later can't be sent
	srv.CloseRead()
	if ks != nil {
		last, end := context.WithTimeout(context.Background(), within)
		ks.Drain(last)
		end()
		ks.Close()
	}
	ended := make(chan struct{})
	go func() { defer close(ended); _ = frontGroup.Wait() }()
	select {
	case <-ended:
	case <-time.After(within):
	}
	endFront()
	<-ended
	endRest()
	_ = restGroup.Wait()
	endLoop()
	_ = loopGroup.Wait()
	ls.Wait()
	log.Info().Int("unanswered", left).Dur("after", time.Since(began)).Uint64("taken", c.Taken).Uint64("ok", c.OK).
		Uint64("denied", c.Denied).Uint64("aborted", c.Aborted).Uint64("left", c.Left).Msg("front end has left")
	return err
}

// serveKServe runs the second front, where the settings have one.
func serveKServe(ctx context.Context, taken []handover.Listener, f *settings.FrontEnd, rest, group *errgroup.Group, loop *eventloop.Loop,
	desk *dispatch.Dispatcher, e *engine.Engine, fo *rosterwatch.Watcher, failed chan<- error, log zerolog.Logger) (*kserve.Server,
	[]handover.Listener, error) {
	k := f.KServe
	if k == nil {
		return nil, nil, nil
	}
	o := kserve.Options{Name: f.Name, BodyBytes: k.BodyBytes, TimeHeader: k.TimeHeader,
		CustomerHeader: k.CustomerHeader, TokenHeader: k.TokenHeader, Ready: fo.Ready, Halted: e.LoadsHalted, Log: log}
	o.Models = modelsOf(f)
	if k.TLS != nil {
		store, err := certs.Open(certs.Files{Cert: k.TLS.Cert, Key: k.TLS.Key, ClientCA: k.TLS.ClientCA}, log)
		if err != nil {
			return nil, nil, k.TLS.Errorf("%v", err)
		}
		rest.Go(func() error {
			store.Watch(ctx, eventloop.ToDuration(k.TLS.ReloadInterval), time.Duration(k.TLS.WarnDays*24*float64(time.Hour)))
			return nil
		})
		o.Keys = store
		for _, c := range k.TLS.Clients {
			o.Clients = append(o.Clients, certs.Client{Name: c.Name, Customer: c.Customer, Methods: strings.Fields(c.Methods)})
		}
	}
	s := kserve.New(loop, desk, o)
	http, grpc := s.Serve, s.ServeGRPC
	if o.Keys != nil {
		http, grpc = s.ServeTLS, s.ServeGRPCTLS
	}
	serves := map[string]func(net.Listener) error{"http unix": s.Serve, "http tcp": http, "grpc unix": s.ServeGRPC,
		"grpc tcp": grpc}
	ls := taken
	for i, at := range places(f) {
		if len(taken) == 0 {
			var l net.Listener
			var err error
			if at.network == "unix" {
				l, err = clients.Listen(at.address, 0o600)
			} else {
				l, err = net.Listen(at.network, at.address)
			}
			if err != nil {
				return s, ls, err
			}
			ls = append(ls, l.(handover.Listener))
		}
		l, serve := ls[i], serves[at.front+" "+at.network]
		log.Info().Str("address", l.Addr().String()).Msg("front end takes infers")
		group.Go(func() error {
			err := serve(l)
			if errors.Is(err, net.ErrClosed) { // handed over
				err = nil
			}
			if err != nil {
				failed <- err
			}
			return err
		})
	}
	return s, ls, nil
}

// modelsOf are a front end's models, by the places of its methods.
func modelsOf(f *settings.FrontEnd) (out []kserve.Model) {
	for i := range f.KServe.Models {
		m := &f.KServe.Models[i]
		out = append(out, kserve.Model{Name: m.Name, Version: m.Version, Platform: m.Platform,
			Method: f.KServe.MethodIndex(&f.Service, m), Function: m.FunctionName(), Inputs: metas(m.Inputs), Outputs: metas(m.Outputs)})
	}
	return out
}

// place is a socket of the second front.
type place struct{ front, network, address string }

// places are the second front's, in the order in which they are handed over.
func places(f *settings.FrontEnd) (out []place) {
	if f.KServe == nil {
		return nil
	}
	for _, p := range []place{{"http", "unix", f.KServe.Socket}, {"http", "tcp", f.KServe.Address},
		{"grpc", "unix", f.KServe.GRPCSocket}, {"grpc", "tcp", f.KServe.GRPCAddress}} {
		if p.address != "" {
			out = append(out, p)
		}
	}
	return out
}

func metas(ts []settings.Tensor) (out []kserve.TensorMeta) {
	for i := range ts {
		dims, _ := ts[i].Dims() // checked with the settings
		out = append(out, kserve.TensorMeta{Name: ts[i].Name, Datatype: ts[i].Datatype, Shape: dims})
	}
	return out
}

// handOver confirms to a predecessor, and offers the socket to a successor; the channel is closed once one has it.
func handOver(ctx context.Context, group *errgroup.Group, f *settings.FrontEnd, listener *net.UnixListener,
	more []handover.Listener, confirm func() error, told <-chan struct{}) (<-chan struct{}, error) {
	handed := make(chan struct{})
	if confirm != nil {
		select { // it takes over once it knows of workers, or when the roster does not say
		case <-told:
		case <-time.After(rosterPatience):
		}
		if err := confirm(); err != nil {
			return handed, fmt.Errorf("hand-over: %w", err)
		}
		for _, l := range append([]handover.Listener{listener}, more...) {
			if u, is := l.(*net.UnixListener); is {
				u.SetUnlinkOnClose(true) // the path is this process's now
			}
		}
	}
	if f.Clients.HandOver == "" {
		return handed, nil
	}
	l, err := clients.Listen(f.Clients.HandOver, 0o600)
	if err != nil {
		return handed, err
	}
	group.Go(func() error {
		all := append([]handover.Listener{listener}, more...)
		if handover.Offer(ctx, l, all, func() {
			for _, l := range all {
				if u, is := l.(*net.UnixListener); is {
					u.SetUnlinkOnClose(false)
				}
				l.Close()
			}
		}) {
			close(handed)
		}
		return nil
	})
	return handed, nil
}

func allow(f *settings.FrontEnd) (list access.Rules) {
	for _, a := range f.Clients.Allow {
		list = append(list, access.Rule{UID: a.UID, GID: a.GID, Methods: strings.Fields(a.Methods),
			Customers: strings.Fields(a.Customers)})
	}
	return list
}
