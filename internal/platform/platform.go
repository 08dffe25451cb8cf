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
	"mallowlanding/internal/nameid"
	"mallowlanding/internal/settingkeys"
	"mallowlanding/internal/thrift"
	"mallowlanding/router"
)

const (
	margin = 10 * time.Millisecond // kept of each RPC's time for the answer's way to the client
	// After SIGTERM connections come for 0.4 s and RPCs for 0.2 s more; what comes 0.7 s after it or later is owed
	// nothing. For so long the front end goes on as before.
	lame = 700 * time.Millisecond
	look = 5 * time.Millisecond // how often a leaving front end looks whether all is answered
	// The platform kills a front end once the longest deadline is over after lame. What is open so long before is
	// answered then, whatever its budget.
	lastWord = 100 * time.Millisecond
	bindFor  = 30 * time.Second      // a predecessor may still hold the address; later than that we are given up
	bindLook = 20 * time.Millisecond // how often it is tried
	ownFiles = 24                    // descriptors for the listener, the journal service, standard streams and the runtime
	heapPart = 0.7                   // of the memory limit: what Go's collector keeps its own under; stacks and code come to it
)

// FrontEnd is one on the platform.
type FrontEnd struct {
	path  string
	env   func(string) string
	log   zerolog.Logger
	loop  *eventloop.Loop
	e     *engine.Engine
	desk  *dispatch.Dispatcher
	links *httplink.LinkSet
	srv   *thrift.Server
	feed  *feed.Feed
	base  router.Time // the loop's time at the Unix epoch
	lame  time.Duration
	dials httplink.Dialer // nil: the links' own

	told, leaving atomic.Bool // it has a list of workers, and can serve; it was told to leave

	// the loop's
	zones, kinds []string
	addresses    map[string]string // of workers, by name
	listAsOf     router.Time       // when the list was last known to be whole and true; 0: nobody has confirmed it
	// What discovery knew at the first time counts as told by the second, unless it is asked later and answers; 0: no
	// such clock runs.
	lapsedSince, lapsesBy router.Time
}

// machine is the engine with both sides.
type machine struct {
	*engine.Engine
	f *FrontEnd
}

// BeginTurn begins a turn.
func (m machine) BeginTurn(now router.Time) {
	m.f.desk.BeginTurn(now)
	m.f.links.BeginTurn()
	m.f.srv.BeginTurn(now)
	m.Engine.BeginTurn(now)
}

// NextDue tells when a turn is wanted though nothing comes.
func (m machine) NextDue() (router.Time, bool) {
	a, anyA := m.Engine.NextDue()
	b, anyB := m.f.desk.NextDue()
	if anyA && (!anyB || a < b) {
		return a, true
	}
	return b, anyB
}

// EndTurn ends a turn.
func (m machine) EndTurn() {
	m.f.desk.Admit()
	m.Engine.EndTurn()
	m.f.srv.FlushTurn()
}

// New reads the configuration and puts a front end together. Nothing is listened to before Serve.
func New(path string, env func(string) string, log zerolog.Logger) (*FrontEnd, *Config, error) {
	c, err := ReadConfig(path, env)
	if err != nil {
		return nil, nil, err
	}
	f := &FrontEnd{path: path, env: env, log: log.With().Str("front_end", c.Name).Logger(), loop: eventloop.NewLoop(),
		lame: lame, addresses: map[string]string{}, zones: c.Zones, kinds: c.Kinds}
	f.loop.SetMinInterval(c.pace())
	f.base = f.loop.Now() - router.Time(time.Now().UnixMicro()/100)
	f.e = engine.New(engine.Options{Settings: c.ModuleSettings, Seed: c.Seed, Now: f.loop.Now(), AnswerMargin: eventloop.FromDuration(margin),
		Log:      func(text string) { f.log.Info().Str("from", "module").Msg(text) },
		OnGiveUp: f.logGivenUp, Subscribe: func() { f.feed.AskAgain() }})
	f.desk = dispatch.New(f.e, dispatch.Options{Methods: c.Methods, Customers: c.Customers, AnswerMargin: eventloop.FromDuration(margin), NoJoin: true})
	f.links = httplink.New(f.loop, f.e, f.linkOptions(c))
	f.srv = thrift.New(f.loop, f.desk, thrift.Options{Limits: c.bounds(), Ready: f.ready, Log: f.log})
	f.feed = feed.New(c.JournalAddress, f.listed, f.lapse, f.log)
	return f, c, nil
}

// ready is what check answers: a front end without any list would serve nobody.
func (f *FrontEnd) ready() bool { return f.told.Load() && !f.leaving.Load() }

func (f *FrontEnd) linkOptions(c *Config) httplink.Options {
	return httplink.Options{ConnectTimeout: c.span(settingkeys.May, settingkeys.ConnectTimeout, 250*time.Millisecond),
		OrderTimeout:   c.span(settingkeys.Functions, settingkeys.OrderTimeout, 10*time.Second),
		IdleTimeout:    c.span(settingkeys.May, settingkeys.IdleClose, 10*time.Second),
		MaxPause:       eventloop.ToDuration(router.MaxPause(c.ModuleSettings)),
		MaxConnections: c.connections(), ReportValues: c.ReportValues, Dialer: f.dials, Log: f.log}
}

// Serve runs a front end until the context ends, and then goes on as before for a while, answers what it holds, and
// leaves. A value on reload has the configuration read again.
func Serve(ctx context.Context, path string, reload <-chan os.Signal, log zerolog.Logger) error {
	f, c, err := New(path, os.Getenv, log)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1) // all front ends share cores; a second thread of ours would only wait for the first
	debug.SetMemoryLimit(c.heap())
	l, err := listen(ctx, c.ListenAddress, log)
	if err != nil {
		return err
	}
	return f.serve(ctx, l, c, reload)
}

// listen takes the address. A predecessor that is still answering what it holds may have it: it is waited for.
func listen(ctx context.Context, address string, log zerolog.Logger) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	for until := time.Now().Add(bindFor); errors.Is(err, syscall.EADDRINUSE) && time.Now().Before(until); {
		log.Debug().Err(err).Msg("the address is taken")
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(bindLook):
		}
		l, err = net.Listen("tcp", address)
	}
	return l, err
}

func (f *FrontEnd) serve(ctx context.Context, l net.Listener, c *Config, reload <-chan os.Signal) error {
	rest, endRest := context.WithCancel(context.Background())
	defer endRest()
	loopCtx, endLoop := context.WithCancel(context.Background())
	defer endLoop()
	var loopGroup, restGroup errgroup.Group
	loopGroup.Go(func() error { f.loop.Run(loopCtx, machine{f.e, f}); return nil })
	if err := f.feed.Apply(c.KnownEvents, time.Time{}); err != nil { // the journal service tells it again
		f.log.Warn().Err(err).Msg("the known events are not taken over")
	}
	restGroup.Go(func() error { f.feed.Run(rest); return nil })
	accepted := make(chan struct{})
	restGroup.Go(func() error { defer close(accepted); return f.srv.Serve(l) })
	f.log.Info().Str("listen", l.Addr().String()).Float64("memory_mb", c.MemoryMB).Int("sockets", c.MaxSockets).
		Msg("front end takes RPCs")

	if f.log.GetLevel() <= zerolog.DebugLevel {
		restGroup.Go(func() error { f.compare(rest); return nil })
	}
	for going := true; going; {
		select {
		case <-ctx.Done():
			going = false
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
		counts <- f.e.Counts()
	})
	n := <-counts
	f.srv.Close()
	endRest()
	_ = restGroup.Wait()
	endLoop()
	_ = loopGroup.Wait()
	f.log.Info().Int("unanswered", n.Open).Dur("after", time.Since(began)).Uint64("taken", n.Taken).Uint64("ok", n.OK).
		Uint64("denied", n.Denied).Uint64("aborted", n.Aborted).Uint64("left", n.Left).Uint64("call_outs", n.CallOuts).
		Uint64("load_orders", n.Orders).Uint64("checks", n.Checks).Uint64("turns", n.Turns).Msg("front end has left")
	return nil
}

// leave goes on as before for a while, then takes what waits in the listener's backlog and no more, and answers all
// that is open; what can't be by its end is given its answer then. The list of workers and reloads count to the last.
func (f *FrontEnd) leave(began time.Time, c **Config, l net.Listener, accepted <-chan struct{}, reload <-chan os.Signal) {
	longest := (*c).longest()
	end := func() time.Time { return began.Add(lame + max(longest, (*c).longest()) - lastWord) }
	lameOver, looks := time.After(f.lame), time.NewTicker(look)
	defer looks.Stop()
	for open, word := true, false; ; {
		select {
		case <-reload:
			f.reload(c)
		case <-lameOver:
			thrift.StopAccepting(l)
		case <-accepted:
			l.Close()
			open, accepted = false, nil
		case now := <-looks.C:
			if !open && f.srv.CloseIdle() == 0 || now.After(end().Add(lastWord/2)) {
				l.Close()
				return
			}
			if !word && now.After(end()) {
				word = true
				f.loop.Post(f.e.AnswerAll)
			}
		}
	}
}

// logGivenUp tells at debug level which bound last held an RPC that the module gives up on.
func (f *FrontEnd) logGivenUp(p *engine.RPC, why router.Reason) {
	f.log.Debug().Str("ticket", p.ClientRPCID).Str("method", p.Method.Name).Str("what", p.Function).Stringer("reason", why).
		Int("call_outs", p.CallOuts()).Msg("given up")
}

// compare logs each second what the module believes beside what the sockets carry.
func (f *FrontEnd) compare(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Second):
			f.loop.Post(func() { f.log.Debug().Str("module", f.e.Describe()).Str("sockets", f.links.Describe()).Msg("view") })
		}
	}
}

// reload reads the configuration again; one that is wrong leaves the old one in force. Only its journal service is
// followed all the same: the old one tells nothing more.
func (f *FrontEnd) reload(config **Config) {
	now := time.Now()
	f.lapse(now, now.Add(feed.ReloadExpiry)) // the old service tells nothing more
	c, err := ReadConfig(f.path, f.env)
	if err == nil {
		err = c.keepPlaces(*config)
	}
	if err != nil {
		journal := readJournal(f.path)
		if journal != "" {
			f.feed.SetAddress(journal)
		}
		f.log.Error().Err(err).Str("journal", journal).Msg("the new configuration is not taken: the old one stands")
		return
	}
	*config = c
	f.feed.SetAddress(c.JournalAddress)
	service, prepared, links := c.service(), router.ParseSettings(c.ModuleSettings), f.linkOptions(c)
	f.loop.Post(func() {
		f.zones, f.kinds = c.Zones, c.Kinds
		f.e.UpdateSettings(c.ModuleSettings, prepared, c.Methods)
		f.desk.UpdateSettings(service, admission.Settings{})
		f.links.UpdateSettings(links)
	})
	f.loop.SetMinInterval(c.pace())
	f.srv.UpdateSettings(c.bounds())
	debug.SetMemoryLimit(c.heap())
	f.log.Info().Str("journal", c.JournalAddress).Msg("the new configuration is in force")
}

// listed takes events of the journal service over, all of one answer in one turn: what an earlier one of them says of
// a worker, and a later one takes back, must send nothing there.
func (f *FrontEnd) listed(events []feed.Event, asOf time.Time) {
	f.loop.Post(func() {
		for _, e := range events {
			f.event(e)
		}
		if !asOf.IsZero() {
			f.listAsOf = f.loopTime(asOf)
			if f.listAsOf > f.lapsedSince {
				f.lapsesBy = 0
			}
			f.confirmList()
		}
		f.told.Store(true)
	})
}

// lapse has what discovery knew at a time count as told by another one: the list as known lasts until then and no longer.
func (f *FrontEnd) lapse(since, by time.Time) {
	f.loop.Post(func() {
		f.lapsedSince = f.loopTime(since)
		if at := f.loopTime(by); f.lapsesBy == 0 || at < f.lapsesBy {
			f.lapsesBy = at
		}
		f.confirmList()
	})
}

// loopTime is a time by the loop's clock, cut to whole units.
func (f *FrontEnd) loopTime(t time.Time) router.Time {
	return f.loop.Now() - eventloop.FromDuration(time.Since(t)) - 1
}

// confirmList tells the module how old the list is. The module knows of the clock for a service that is out of reach
// alone: where another one ends earlier the list is told to be older by as much.
func (f *FrontEnd) confirmList() {
	if f.listAsOf == 0 {
		return
	}
	asOf := f.listAsOf
	if f.lapsesBy > 0 {
		asOf = min(asOf, f.lapsesBy-eventloop.FromDuration(feed.SilenceExpiry))
	}
	f.e.ConfirmWorkerList(asOf)
}

func (f *FrontEnd) event(e feed.Event) {
	f.e.BeginWorkerList(e.Update, e.Pos)
	named := map[string]bool{}
	for _, w := range e.Workers {
		if err := f.worker(w); err != nil {
			f.log.Error().Err(err).Msg("a worker is left out")
		}
		named[w.Name] = true
	}
	f.e.EndWorkerList()
	if e.Update == router.ListComplete {
		for name := range f.addresses {
			if !named[name] {
				f.links.Remove(name)
				delete(f.addresses, name)
			}
		}
	}
}

func (f *FrontEnd) worker(w feed.Worker) error {
	started := router.Time(0)
	if w.StartedMs > 0 {
		started = max(1, router.Time(w.StartedMs*10)+f.base)
	}
	if err := f.e.AddListedWorker(w.Name, w.State, started, router.ZoneID(place(f.zones, w.Zone)), router.CellID(w.Cell),
		router.KindID(place(f.kinds, w.Kind))); err != nil {
		return err
	}
	address := w.Address
	if address == "" {
		address = f.addresses[w.Name]
	}
	if w.State != router.Ready || address == "" { // nothing new goes there
		f.links.Remove(w.Name)
		delete(f.addresses, w.Name)
		return nil
	}
	f.addresses[w.Name] = address
	f.links.Add(w.Name, address, nameid.Worker(w.Name))
	return nil
}

// place is a name's in a list; one that is not there has the place behind all others.
func place(list []string, name string) int {
	for i, known := range list {
		if known == name {
			return i
		}
	}
	return len(list)
}
