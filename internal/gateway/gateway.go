// Package gateway assembles and runs a front end: the event loop, the engine, the servers for clients, the links to
// workers, and the watcher of the roster.
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

// rosterTimeout is how long a successor waits for the roster's list before it takes over with the cached one.
const rosterTimeout = 3 * time.Second

// drainPollInterval is how often a stopping front end checks whether every RPC is answered.
const drainPollInterval = 5 * time.Millisecond

// loopHandler handles the turns of the event loop. It passes them to the engine, and at the end of a turn also admits
// queued RPCs and sends what the turn produced to workers and clients.
type loopHandler struct {
	*engine.Engine
	links      *workerlink.Set
	dispatcher *dispatch.Dispatcher
	clients    *clients.Server
}

// BeginTurn implements eventloop.Handler.
func (h *loopHandler) BeginTurn(now router.Time) {
	h.dispatcher.BeginTurn(now)
	h.links.BeginTurn(now)
	h.Engine.BeginTurn(now)
}

// NextDue implements eventloop.Handler. It returns the earliest due time of the engine, the dispatcher and the links.
func (h *loopHandler) NextDue() (router.Time, bool) {
	engineDue, hasEngineDue := h.Engine.NextDue()
	nextDue, hasNextDue := h.dispatcher.NextDue()
	if hasEngineDue && (!hasNextDue || engineDue < nextDue) {
		nextDue, hasNextDue = engineDue, true
	}
	if linkDue, hasLinkDue := h.links.NextDue(); hasLinkDue && (!hasNextDue || linkDue < nextDue) {
		return linkDue, true
	}
	return nextDue, hasNextDue
}

// EndTurn implements eventloop.Handler.
func (h *loopHandler) EndTurn() {
	h.dispatcher.Admit()
	h.links.Expire()
	h.Engine.EndTurn()
	h.links.QueueDueBatches()
	h.links.Flush()
	h.clients.Flush()
}

// OutputHooks change the output of a front end. They let tests check that a faulty front end is detected. A nil hook
// changes nothing.
type OutputHooks struct {
	Link   func(worker string, l engine.Link) engine.Link
	Client func(c engine.Client) engine.Client
	Answer func(value []byte) []byte
}

// Serve runs a front end until the context ends. It then accepts no more RPCs, answers the open ones and returns,
// within the time that the settings allow for a stop. ready is called when RPCs are accepted.
func Serve(ctx context.Context, frontEnd *settings.FrontEnd, log zerolog.Logger, ready func()) error {
	return ServeWithHooks(ctx, frontEnd, log, ready, OutputHooks{})
}

// ServeWithHooks is Serve with hooks that change the output.
func ServeWithHooks(ctx context.Context, frontEnd *settings.FrontEnd, log zerolog.Logger, ready func(), hooks OutputHooks) error {
	log = log.With().Str("front_end", frontEnd.Name).Logger()
	mode, err := strconv.ParseUint(frontEnd.Clients.Mode, 8, 32)
	if err != nil {
		return frontEnd.Clients.Errorf("mode: %v", err)
	}
	listener, extra, confirm, err := listen(frontEnd, os.FileMode(mode), log)
	if err != nil {
		return err
	}
	return serve(ctx, frontEnd, log, listener, extra, confirm, ready, hooks)
}

// listen returns the client socket, opened by a service manager, handed over by a predecessor, or new. In a
// hand-over, extra are the predecessor's other listeners, and confirm notifies it that this process serves; otherwise
// both are nil.
func listen(frontEnd *settings.FrontEnd, mode os.FileMode, log zerolog.Logger) (l *net.UnixListener, extra []handover.Listener,
	confirm func() error, err error) {
	if l, err = handover.Inherited(); err != nil || l != nil {
		return l, nil, nil, err
	}
	if frontEnd.Clients.HandOver != "" {
		var listeners []handover.Listener
		listeners, confirm, err = handover.Request(frontEnd.Clients.HandOver)
		if err == nil {
			unixListener, ok := listeners[0].(*net.UnixListener)
			if want := 1 + len(kserveSockets(frontEnd)); !ok || len(listeners) != want {
				for _, l := range listeners {
					l.Close()
				}
				return nil, nil, nil, fmt.Errorf("hand-over: the predecessor serves %d sockets, but these settings need %d", len(listeners), want)
			}
			log.Info().Str("from", frontEnd.Clients.HandOver).Int("sockets", len(listeners)).Msg("client sockets taken over")
			return unixListener, listeners[1:], confirm, nil
		}
		if !errors.Is(err, os.ErrNotExist) && !errors.Is(err, syscall.ECONNREFUSED) {
			return nil, nil, nil, fmt.Errorf("hand-over: %w", err)
		}
	}
	created, err := clients.Listen(frontEnd.Clients.Socket, mode)
	if err != nil {
		return nil, nil, nil, err
	}
	return created.(*net.UnixListener), nil, nil, nil
}

// serve runs a front end on the given listeners.
func serve(ctx context.Context, initial *settings.FrontEnd, log zerolog.Logger, listener *net.UnixListener,
	extra []handover.Listener, confirm func() error, ready func(), hooks OutputHooks) error {
	loop := eventloop.NewLoop()
	live := newLiveConfig(initial, loop, log)
	frontEnd := live.current.Load()
	eng := engine.New(engine.Options{Settings: frontEnd.RouterSettings(), Seed: frontEnd.Seed, Now: loop.Now(), AnswerMargin: frontEnd.Clients.AnswerMargin,
		CancelWait: frontEnd.Clients.CancelWait,
		Log:        func(text string) { log.Info().Str("from", "module").Msg(text) }})

	// shutdown order: the clients' side once every RPC is answered, then the other goroutines, the event loop last
	backgroundCtx, cancelBackground := context.WithCancel(context.Background())
	defer cancelBackground()
	clientsCtx, cancelClients := context.WithCancel(context.Background())
	defer cancelClients()
	loopCtx, cancelLoop := context.WithCancel(context.Background())
	defer cancelLoop()

	linkSet := workerlink.New(backgroundCtx, loop, eng, workerlink.Options{FrontEnd: frontEnd.Name, Limits: linkLimits(frontEnd), ValueBytes: frontEnd.Workers.ValueBytes,
		QueuedBytes: frontEnd.Workers.SendBytes, RedialMin: eventloop.ToDuration(frontEnd.Workers.RedialMin),
		RedialMax: eventloop.ToDuration(frontEnd.Workers.RedialMax), WrapLink: hooks.Link, Log: log})
	watcher := rosterwatch.New(loop, eng, linkSet, live.watcherOptions(frontEnd, live.savedConfig))
	dispatcher := dispatch.New(eng, dispatch.Options{Methods: frontEnd.Service.EngineMethods(), Customers: frontEnd.Service.CustomerNames(),
		FunctionSpec: frontEnd.Service.FunctionSpecs(), AnswerMargin: frontEnd.Clients.AnswerMargin, Limits: frontEnd.LimitSettings(), WrapClient: hooks.Client})
	server := clients.New(loop, dispatcher, clients.Options{
		Limits: clients.Limits{Connections: frontEnd.Clients.MaxConnections, OpenRPCs: frontEnd.Clients.ConnOpen,
			ValueBytes: frontEnd.Clients.ValueBytes, AnswerBytes: frontEnd.Clients.AnswerBytes,
			WriteTimeout: eventloop.ToDuration(frontEnd.Clients.WriteTimeout)},
		RewriteAnswer: hooks.Answer, Allow: accessRules(frontEnd), Status: func() []byte { return status(frontEnd, eng, dispatcher, live) }, Log: log})

	var loopGroup, backgroundGroup, clientsGroup errgroup.Group
	loopGroup.Go(func() error { loop.Run(loopCtx, &loopHandler{eng, linkSet, dispatcher, server}); return nil })
	backgroundGroup.Go(func() error { return watcher.Run(backgroundCtx) })
	backgroundGroup.Go(func() error { return watcher.WriteCache(backgroundCtx) })
	failures := make(chan error, 6)
	clientsGroup.Go(func() error {
		err := server.Serve(clientsCtx, listener)
		if err != nil {
			failures <- err
		}
		return err
	})
	kserveServer, extra, err := serveKServe(backgroundCtx, extra, frontEnd, &backgroundGroup, &clientsGroup, loop, dispatcher, eng, watcher, failures, log)
	if err != nil {
		failures <- err
	}
	live.start(backgroundCtx, clientsCtx, &backgroundGroup, &clientsGroup, eng, dispatcher, linkSet, watcher, server, kserveServer)
	log.Info().Str("socket", frontEnd.Clients.Socket).Int("number", frontEnd.Number).Int("of", frontEnd.FrontEnds).Msg("front end takes RPCs")
	if ready != nil {
		ready()
	}

	var handedOver <-chan struct{}
	if err == nil {
		handedOver, err = handOver(backgroundCtx, &backgroundGroup, frontEnd, listener, extra, confirm, watcher.ListReceived())
	}
	if err == nil {
		select {
		case <-ctx.Done():
		case err = <-failures:
		case <-handedOver:
			log.Info().Msg("client sockets handed over; answering the open RPCs")
		}
	}
	live.stop()
	stopBegan := time.Now()
	wasHandedOver := false
	select {
	case <-handedOver:
		wasHandedOver = true
		server.CloseRead() // RPCs that were sent before are still accepted
	default:
		listener.Close()
	}
	stopTimeout := eventloop.ToDuration(live.current.Load().Stop.Within)
	deadline := time.After(stopTimeout)
	openCount := make(chan int, 1)
	unanswered := -1
drain:
	for {
		loop.Post(func() {
			if !wasHandedOver {
				dispatcher.Drain()
			}
			openCount <- eng.Counts().Open + dispatcher.Waiting()
		})
		if unanswered = <-openCount; unanswered == 0 && server.Flushed() && (!wasHandedOver || server.Connections() == 0) {
			break
		}
		select {
		case <-deadline:
			break drain
		case <-time.After(drainPollInterval):
		}
	}
	counts := make(chan engine.Counts, 1)
	loop.Post(func() { counts <- eng.Counts() })
	total := <-counts
	// RPCs sent before this are read and denied; clients can send no more
	server.CloseRead()
	if kserveServer != nil {
		drainCtx, endDrain := context.WithTimeout(context.Background(), stopTimeout)
		kserveServer.Drain(drainCtx)
		endDrain()
		kserveServer.Close()
	}
	clientsEnded := make(chan struct{})
	go func() { defer close(clientsEnded); _ = clientsGroup.Wait() }()
	select {
	case <-clientsEnded:
	case <-time.After(stopTimeout):
	}
	cancelClients()
	<-clientsEnded
	cancelBackground()
	_ = backgroundGroup.Wait()
	cancelLoop()
	_ = loopGroup.Wait()
	linkSet.Wait()
	log.Info().Int("unanswered", unanswered).Dur("after", time.Since(stopBegan)).Uint64("taken", total.Taken).Uint64("ok", total.OK).
		Uint64("denied", total.Denied).Uint64("aborted", total.Aborted).Uint64("left", total.Left).Msg("front end has left")
	return err
}

// linkLimits returns the limits of the links to workers.
func linkLimits(frontEnd *settings.FrontEnd) workerlink.Limits {
	return workerlink.Limits{ConnectTimeout: eventloop.ToDuration(frontEnd.Service.CallOuts.ConnectTimeout),
		MaxPause: eventloop.ToDuration(router.MaxPause(frontEnd.RouterSettings()))}
}

// serveKServe starts the KServe server, if the settings have one, on the listeners taken over or on new ones. It
// returns the server and its listeners.
func serveKServe(ctx context.Context, takenOver []handover.Listener, frontEnd *settings.FrontEnd, backgroundGroup, clientsGroup *errgroup.Group, loop *eventloop.Loop,
	dispatcher *dispatch.Dispatcher, eng *engine.Engine, watcher *rosterwatch.Watcher, failures chan<- error, log zerolog.Logger) (*kserve.Server,
	[]handover.Listener, error) {
	kserveSettings := frontEnd.KServe
	if kserveSettings == nil {
		return nil, nil, nil
	}
	opts := kserve.Options{Name: frontEnd.Name, MaxBodyBytes: kserveSettings.BodyBytes, TimeHeader: kserveSettings.TimeHeader,
		CustomerHeader: kserveSettings.CustomerHeader, TokenHeader: kserveSettings.TokenHeader, Ready: watcher.Ready, LoadsHalted: eng.LoadsHalted, Log: log}
	opts.Models = modelsOf(frontEnd)
	if kserveSettings.TLS != nil {
		store, err := certs.Open(certs.Files{Cert: kserveSettings.TLS.Cert, Key: kserveSettings.TLS.Key, ClientCA: kserveSettings.TLS.ClientCA}, log)
		if err != nil {
			return nil, nil, kserveSettings.TLS.Errorf("%v", err)
		}
		backgroundGroup.Go(func() error {
			store.Watch(ctx, eventloop.ToDuration(kserveSettings.TLS.ReloadInterval), time.Duration(kserveSettings.TLS.WarnDays*24*float64(time.Hour)))
			return nil
		})
		opts.Certs = store
		for _, c := range kserveSettings.TLS.Clients {
			opts.Clients = append(opts.Clients, certs.Client{Name: c.Name, Customer: c.Customer, Methods: strings.Fields(c.Methods)})
		}
	}
	server := kserve.New(loop, dispatcher, opts)
	http, grpc := server.Serve, server.ServeGRPC
	if opts.Certs != nil {
		http, grpc = server.ServeTLS, server.ServeGRPCTLS
	}
	serveFuncs := map[string]func(net.Listener) error{"http unix": server.Serve, "http tcp": http, "grpc unix": server.ServeGRPC,
		"grpc tcp": grpc}
	listeners := takenOver
	for i, sock := range kserveSockets(frontEnd) {
		if len(takenOver) == 0 {
			var l net.Listener
			var err error
			if sock.network == "unix" {
				l, err = clients.Listen(sock.address, 0o600)
			} else {
				l, err = net.Listen(sock.network, sock.address)
			}
			if err != nil {
				return server, listeners, err
			}
			listeners = append(listeners, l.(handover.Listener))
		}
		l, serve := listeners[i], serveFuncs[sock.protocol+" "+sock.network]
		log.Info().Str("address", l.Addr().String()).Msg("front end serves KServe inference requests")
		clientsGroup.Go(func() error {
			err := serve(l)
			if errors.Is(err, net.ErrClosed) { // closed after a hand-over
				err = nil
			}
			if err != nil {
				failures <- err
			}
			return err
		})
	}
	return server, listeners, nil
}

// modelsOf returns the models of a front end. They refer to its methods by index.
func modelsOf(frontEnd *settings.FrontEnd) (out []kserve.Model) {
	for i := range frontEnd.KServe.Models {
		m := &frontEnd.KServe.Models[i]
		out = append(out, kserve.Model{Name: m.Name, Version: m.Version, Platform: m.Platform,
			Method: frontEnd.KServe.MethodIndex(&frontEnd.Service, m), Function: m.FunctionName(), Inputs: tensorMetas(m.Inputs), Outputs: tensorMetas(m.Outputs)})
	}
	return out
}

// kserveSocket is a socket of the KServe server.
type kserveSocket struct{ protocol, network, address string }

// kserveSockets returns the sockets of the KServe server, in the order in which they are handed over.
func kserveSockets(frontEnd *settings.FrontEnd) (out []kserveSocket) {
	if frontEnd.KServe == nil {
		return nil
	}
	for _, socket := range []kserveSocket{{"http", "unix", frontEnd.KServe.Socket}, {"http", "tcp", frontEnd.KServe.Address},
		{"grpc", "unix", frontEnd.KServe.GRPCSocket}, {"grpc", "tcp", frontEnd.KServe.GRPCAddress}} {
		if socket.address != "" {
			out = append(out, socket)
		}
	}
	return out
}

func tensorMetas(tensors []settings.Tensor) (out []kserve.TensorMeta) {
	for i := range tensors {
		shape, _ := tensors[i].Dims() // validated when the settings were read
		out = append(out, kserve.TensorMeta{Name: tensors[i].Name, Datatype: tensors[i].Datatype, Shape: shape})
	}
	return out
}

// handOver confirms the hand-over to a predecessor, if there is one, and offers the listeners to a successor. The
// returned channel is closed when a successor has taken them.
func handOver(ctx context.Context, group *errgroup.Group, frontEnd *settings.FrontEnd, listener *net.UnixListener,
	extra []handover.Listener, confirm func() error, listReceived <-chan struct{}) (<-chan struct{}, error) {
	handedOver := make(chan struct{})
	if confirm != nil {
		select { // take over when the workers are known, or the roster does not answer in time
		case <-listReceived:
		case <-time.After(rosterTimeout):
		}
		if err := confirm(); err != nil {
			return handedOver, fmt.Errorf("hand-over: %w", err)
		}
		for _, l := range append([]handover.Listener{listener}, extra...) {
			if u, ok := l.(*net.UnixListener); ok {
				u.SetUnlinkOnClose(true) // this process now owns the path
			}
		}
	}
	if frontEnd.Clients.HandOver == "" {
		return handedOver, nil
	}
	l, err := clients.Listen(frontEnd.Clients.HandOver, 0o600)
	if err != nil {
		return handedOver, err
	}
	group.Go(func() error {
		all := append([]handover.Listener{listener}, extra...)
		if handover.Offer(ctx, l, all, func() {
			for _, l := range all {
				if u, ok := l.(*net.UnixListener); ok {
					u.SetUnlinkOnClose(false)
				}
				l.Close()
			}
		}) {
			close(handedOver)
		}
		return nil
	})
	return handedOver, nil
}

func accessRules(frontEnd *settings.FrontEnd) (rules access.Rules) {
	for _, a := range frontEnd.Clients.Allow {
		rules = append(rules, access.Rule{UID: a.UID, GID: a.GID, Methods: strings.Fields(a.Methods),
			Customers: strings.Fields(a.Customers)})
	}
	return rules
}
