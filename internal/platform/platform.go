package platform

import (
	"context"
	"errors"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"mallowlanding/internal/admission"
	"mallowlanding/internal/dispatch"
	"mallowlanding/internal/engine"
	"mallowlanding/internal/eventloop"
	"mallowlanding/internal/feed"
	"mallowlanding/internal/httplink"
	"mallowlanding/internal/settingkeys"
	"mallowlanding/internal/thrift"
	"mallowlanding/router"
)

const (
	answerMargin = 10 * time.Millisecond // time reserved in each RPC's budget to send the answer
	// The front end goes on as before for this long after SIGTERM. New connections arrive for 0.4 s after the signal
	// and RPCs for another 0.2 s; RPCs that arrive 0.7 s after it or later need not be answered.
	lameDuckTime = 700 * time.Millisecond
	pollInterval = 5 * time.Millisecond // time between two checks whether all RPCs are answered while leaving
	// The platform kills a front end once the longest deadline of its methods has passed after lameDuckTime. RPCs that
	// are open this long before the kill are answered at that point, whatever is left of their budgets.
	killMargin        = 100 * time.Millisecond
	bindTimeout       = 30 * time.Second      // a predecessor may still hold the address; later the platform gives up
	bindRetryInterval = 20 * time.Millisecond // time between two attempts to listen
	reservedFiles     = 24                    // descriptors of listener, journal connection, standard streams, runtime
	// Shares of MemoryMB.
	heapShare    = 0.7  // for Go's soft memory limit; stacks and code come on top
	requestShare = 0.12 // for large RPCs from when they are read
	answerShare  = 0.12 // for answers that clients have not read
)

// FrontEnd is a front end that runs on the operators' platform.
type FrontEnd struct {
	path         string
	env          func(string) string
	log          zerolog.Logger
	loop         *eventloop.Loop
	engine       *engine.Engine
	dispatcher   *dispatch.Dispatcher
	links        *httplink.LinkSet
	server       *thrift.Server
	feed         *feed.Feed
	epoch        router.Time // the Unix epoch by the event loop's clock
	lameDuckTime time.Duration
	dialer       httplink.Dialer // nil: the default of httplink
	overload     overloadMonitor

	hasList, leaving atomic.Bool // a worker list has been received; SIGTERM has been received

	// The following fields belong to the event loop's goroutine.
	zones, kinds []string
	listed       listedWorkers
	listAsOf     router.Time // when the list was last known to be complete and correct; 0: never
	// From expiresBy on the front end counts as informed of what the journal service knew at expirySince, unless a
	// later request is answered before (see feed.ExpiryHandler). expiresBy is 0 if no expiry is pending.
	expirySince, expiresBy router.Time
}

// loopHandler handles turns of the event loop for the engine, the clients' side and the workers' side.
type loopHandler struct {
	*engine.Engine
	frontEnd *FrontEnd
}

// BeforeEvents implements eventloop.EventsHandler.
func (h loopHandler) BeforeEvents() { h.frontEnd.server.MarkMessages() }

// BeginTurn implements eventloop.Handler.
func (h loopHandler) BeginTurn(now router.Time) {
	h.frontEnd.dispatcher.BeginTurn(now)
	h.frontEnd.links.BeginTurn()
	h.frontEnd.server.BeginTurn(now)
	h.Engine.BeginTurn(now)
}

// NextDue implements eventloop.Handler: it returns the time of the next turn that is needed without an event.
func (h loopHandler) NextDue() (due router.Time, any bool) {
	for _, next := range []func() (router.Time, bool){h.Engine.NextDue, h.frontEnd.dispatcher.NextDue, h.frontEnd.server.NextDue} {
		if t, needed := next(); needed && (!any || t < due) {
			due, any = t, true
		}
	}
	return due, any
}

// EndTurn implements eventloop.Handler.
func (h loopHandler) EndTurn() {
	h.frontEnd.server.HandleMessages()
	h.frontEnd.dispatcher.Admit()
	h.Engine.EndTurn()
	h.frontEnd.server.FlushTurn()
	h.frontEnd.overload.look(time.Now(), h.frontEnd.loop.TakeLoad)
}

// New reads the configuration and creates a front end, which does not listen yet.
func New(path string, env func(string) string, log zerolog.Logger) (*FrontEnd, *Config, error) {
	c, err := ReadConfig(path, env)
	if err != nil {
		return nil, nil, err
	}
	f := &FrontEnd{path: path, env: env, log: log.With().Str("front_end", c.Name).Logger(), loop: eventloop.NewLoop(),
		lameDuckTime: lameDuckTime, listed: newListedWorkers(), zones: c.Zones, kinds: c.Kinds}
	f.loop.SetMinInterval(c.minTurnInterval())
	f.epoch = f.loop.Now() - router.Time(time.Now().UnixMicro()/100)
	f.engine = engine.New(engine.Options{Settings: c.RouterSettings, Seed: c.Seed, Now: f.loop.Now(), AnswerMargin: eventloop.FromDuration(answerMargin),
		Log:      func(text string) { f.log.Info().Str("from", "module").Msg(text) },
		OnGiveUp: f.logGiveUp, Subscribe: func() { f.feed.RequestAgain() }})
	f.dispatcher = dispatch.New(f.engine, dispatch.Options{Methods: c.Methods, Customers: c.Customers, AnswerMargin: eventloop.FromDuration(answerMargin), NoJoin: true})
	f.links = httplink.New(f.loop, f.engine, f.linkOptions(c))
	f.server = thrift.New(f.loop, f.dispatcher, thrift.Options{Limits: c.thriftLimits(), Ready: f.ready, Log: f.log})
	f.overload.log, f.overload.clients = f.log, f.server.Counts()
	f.feed = feed.New(c.JournalAddress, f.handleEvents, f.handleExpiry, f.log)
	return f, c, nil
}

// ready returns the answer to a client's readiness check. A front end that has not received a worker list can't serve.
func (f *FrontEnd) ready() bool { return f.hasList.Load() && !f.leaving.Load() }

func (f *FrontEnd) linkOptions(c *Config) httplink.Options {
	return httplink.Options{ConnectTimeout: c.duration(settingkeys.May, settingkeys.ConnectTimeout, 250*time.Millisecond),
		OrderTimeout:   c.duration(settingkeys.Functions, settingkeys.OrderTimeout, 10*time.Second),
		IdleTimeout:    c.duration(settingkeys.May, settingkeys.IdleClose, 10*time.Second),
		MaxPause:       eventloop.ToDuration(router.MaxPause(c.RouterSettings)),
		MaxConnections: c.maxConnections(), ReportValues: c.ReportValues, Dialer: f.dialer, Log: f.log}
}

// Serve runs a front end until the context ends. It then goes on as before for lameDuckTime, answers the open RPCs and
// returns. Each value on reload makes it read the configuration again.
func Serve(ctx context.Context, path string, reload <-chan os.Signal, log zerolog.Logger) error {
	f, c, err := New(path, os.Getenv, log)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1) // all front ends share the cores; a second thread would only wait for the first
	debug.SetMemoryLimit(c.heapLimit())
	l, err := listen(ctx, c.ListenAddress, log)
	if err != nil {
		return err
	}
	return f.serve(ctx, l, c, reload)
}

// listen listens on the address. While a predecessor that is still answering its RPCs holds it, listen retries.
func listen(ctx context.Context, address string, log zerolog.Logger) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	for until := time.Now().Add(bindTimeout); errors.Is(err, syscall.EADDRINUSE) && time.Now().Before(until); {
		log.Debug().Err(err).Msg("listen address is in use, retrying")
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(bindRetryInterval):
		}
		l, err = net.Listen("tcp", address)
	}
	return l, err
}

func (f *FrontEnd) serve(ctx context.Context, l net.Listener, c *Config, reload <-chan os.Signal) error {
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	loopCtx, stopLoop := context.WithCancel(context.Background())
	defer stopLoop()
	var loopGroup, backgroundGroup errgroup.Group
	loopGroup.Go(func() error { f.loop.Run(loopCtx, loopHandler{f.engine, f}); return nil })
	if err := f.feed.Apply(c.KnownEvents, time.Time{}); err != nil { // not fatal: the journal service sends them again
		f.log.Warn().Err(err).Msg("known events of the configuration are not applied")
	}
	backgroundGroup.Go(func() error { f.feed.Run(background); return nil })
	accepted := make(chan struct{})
	backgroundGroup.Go(func() error { defer close(accepted); return f.server.Serve(l) })
	f.log.Info().Str("listen", l.Addr().String()).Float64("memory_mb", c.MemoryMB).Int("sockets", c.MaxSockets).
		Msg("front end takes RPCs")

	if f.log.GetLevel() <= zerolog.DebugLevel {
		backgroundGroup.Go(func() error { f.logState(background); return nil })
	}
	for running := true; running; {
		select {
		case <-ctx.Done():
			running = false
		case <-reload:
			f.reload(&c)
		}
	}
	began := time.Now()
	f.leaving.Store(true)
	f.log.Info().Msg("front end is leaving")
	f.leave(began, &c, l, accepted, reload)
	counts := make(chan engine.Counts, 1)
	f.loop.Post(func() {
		f.links.Close()
		counts <- f.engine.Counts()
	})
	n := <-counts
	f.server.Close()
	stopBackground()
	_ = backgroundGroup.Wait()
	stopLoop()
	_ = loopGroup.Wait()
	f.log.Info().Int("unanswered", n.Open).Dur("after", time.Since(began)).Uint64("taken", n.Taken).Uint64("ok", n.OK).
		Uint64("denied", n.Denied).Uint64("aborted", n.Aborted).Uint64("left", n.Left).Uint64("call_outs", n.CallOuts).
		Uint64("load_orders", n.Orders).Uint64("checks", n.Checks).Uint64("turns", n.Turns).Object("clients", f.server.Counts()).
		Msg("front end has left")
	return nil
}

// leave goes on as before for lameDuckTime, then accepts the connections in the listener's backlog and no more, and
// returns once all RPCs are answered. Those still open when the platform is about to kill the process are answered
// then. Changes of the worker list and reloads take effect until the end.
func (f *FrontEnd) leave(began time.Time, config **Config, l net.Listener, accepted <-chan struct{}, reload <-chan os.Signal) {
	longest := (*config).longestDeadline()
	answerBy := func() time.Time {
		return began.Add(lameDuckTime + max(longest, (*config).longestDeadline()) - killMargin)
	}
	lameDuckOver, ticker := time.After(f.lameDuckTime), time.NewTicker(pollInterval)
	defer ticker.Stop()
	for accepting, answeredAll := true, false; ; {
		select {
		case <-reload:
			f.reload(config)
		case <-lameDuckOver:
			thrift.StopAccepting(l)
		case <-accepted:
			l.Close()
			accepting, accepted = false, nil
		case now := <-ticker.C:
			if !accepting && f.server.CloseIdle() == 0 || now.After(answerBy().Add(killMargin/2)) {
				l.Close()
				return
			}
			if !answeredAll && now.After(answerBy()) {
				answeredAll = true
				f.loop.Post(f.engine.AnswerAll)
			}
		}
	}
}

// logGiveUp logs at debug level that the router gives up on an RPC, and why the RPC was last not sent.
func (f *FrontEnd) logGiveUp(rpc *engine.RPC, reason router.Reason) {
	f.log.Debug().Str("ticket", rpc.ClientRPCID).Str("method", rpc.Method.Name).Str("what", rpc.Function).Stringer("reason", reason).
		Int("call_outs", rpc.CallOuts()).Msg("the router gave up on an RPC")
}

// logState logs the router's state next to the connections' state once a second.
func (f *FrontEnd) logState(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Second):
			f.loop.Post(func() {
				f.log.Debug().Str("module", f.engine.Describe()).Str("sockets", f.links.Describe()).Msg("state of router and connections")
			})
		}
	}
}

// reload reads the configuration again. An invalid one is rejected, except for its journal service's address, which
// takes effect all the same because the old service sends no more events.
func (f *FrontEnd) reload(config **Config) {
	now := time.Now()
	f.handleExpiry(now, now.Add(feed.ReloadExpiry)) // the old service sends no more events
	c, err := ReadConfig(f.path, f.env)
	if err == nil {
		err = c.keepIndexes(*config)
	}
	if err != nil {
		journal := readJournalAddress(f.path)
		if journal != "" {
			f.feed.SetAddress(journal)
		}
		f.log.Error().Err(err).Str("journal", journal).Msg("new configuration rejected, the old one stays in force")
		return
	}
	*config = c
	f.feed.SetAddress(c.JournalAddress)
	service, prepared, links := c.service(), router.ParseSettings(c.RouterSettings), f.linkOptions(c)
	f.loop.Post(func() {
		f.zones, f.kinds = c.Zones, c.Kinds
		f.engine.UpdateSettings(c.RouterSettings, prepared, c.Methods)
		f.dispatcher.UpdateSettings(service, admission.Settings{})
		f.links.UpdateSettings(links)
	})
	f.loop.SetMinInterval(c.minTurnInterval())
	f.server.UpdateSettings(c.thriftLimits())
	debug.SetMemoryLimit(c.heapLimit())
	f.log.Info().Str("journal", c.JournalAddress).Msg("the new configuration is in force")
}

// handleEvents applies the events of one response of the journal service in a single turn, so that nothing is sent to a
// worker that an earlier event adds and a later one removes.
func (f *FrontEnd) handleEvents(events []feed.Event, asOf time.Time) {
	f.loop.Post(func() {
		for _, e := range events {
			f.applyEvent(e)
		}
		if !asOf.IsZero() {
			f.listAsOf = f.loopTime(asOf)
			if f.listAsOf > f.expirySince {
				f.expiresBy = 0
			}
			f.confirmList()
		}
		f.hasList.Store(true)
	})
}

// handleExpiry limits the validity of the current worker list to the time by; see feed.ExpiryHandler.
func (f *FrontEnd) handleExpiry(since, by time.Time) {
	f.loop.Post(func() {
		f.expirySince = f.loopTime(since)
		if at := f.loopTime(by); f.expiresBy == 0 || at < f.expiresBy {
			f.expiresBy = at
		}
		f.confirmList()
	})
}

// loopTime converts a time to the event loop's clock, rounded down to whole units.
func (f *FrontEnd) loopTime(t time.Time) router.Time {
	return f.loop.Now() - eventloop.FromDuration(time.Since(t)) - 1
}

// confirmList reports the age of the worker list to the router. The router only applies the expiry of an unreachable
// service (feed.SilenceExpiry). If another expiry ends earlier, the list is reported as older by the difference.
func (f *FrontEnd) confirmList() {
	if f.listAsOf == 0 {
		return
	}
	asOf := f.listAsOf
	if f.expiresBy > 0 {
		asOf = min(asOf, f.expiresBy-eventloop.FromDuration(feed.SilenceExpiry))
	}
	f.engine.ConfirmWorkerList(asOf)
}
