package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"mallowlanding/internal/clients"
	"mallowlanding/internal/configclient"
	"mallowlanding/internal/control/wire"
	"mallowlanding/internal/dispatch"
	"mallowlanding/internal/engine"
	"mallowlanding/internal/eventloop"
	"mallowlanding/internal/kserve"
	"mallowlanding/internal/lastgood"
	"mallowlanding/internal/rosterwatch"
	"mallowlanding/internal/settings"
	"mallowlanding/internal/workerlink"
	"mallowlanding/router"
)

// listenRetryInterval is the pause between attempts to open a socket that a predecessor may still serve.
const listenRetryInterval = time.Second

// liveConfig applies new configurations to a running front end.
type liveConfig struct {
	initial      *settings.FrontEnd // the settings that the process was started with
	current      atomic.Pointer[settings.FrontEnd]
	loop         *eventloop.Loop
	log          zerolog.Logger
	configClient *configclient.Client // nil: no control service
	lastApply    atomic.Int64         // duration of the turn that applied the last version, in ns

	savedConfig *settings.Configuration // the saved configuration that the process started with; nil: none

	stopConfigClient func()

	engine       *engine.Engine
	dispatcher   *dispatch.Dispatcher
	links        *workerlink.Set
	watcher      *rosterwatch.Watcher
	server       *clients.Server
	kserve       *kserve.Server
	clientsCtx   context.Context // ends when the clients' side is shut down
	clientsGroup *errgroup.Group // goroutines of the clients' side

	mu        sync.Mutex
	stopped   bool
	listeners map[string]net.Listener // of the configuration, by socket path
}

// newLiveConfig starts with the saved configuration if it is valid and fits the front end's own settings, otherwise
// with the own settings alone.
func newLiveConfig(initial *settings.FrontEnd, loop *eventloop.Loop, log zerolog.Logger) *liveConfig {
	c := &liveConfig{initial: initial, loop: loop, log: log, listeners: map[string]net.Listener{}}
	c.current.Store(initial)
	if initial.Control == nil {
		return c
	}
	opts := c.configClientOptions()
	saved, ok := configclient.LoadInitial(opts)
	if ok {
		config, frontEnd, err := c.parse(saved.Saved.Version, saved.Saved.Text)
		if err == nil {
			c.savedConfig = config
			c.current.Store(frontEnd)
			log.Info().Uint64("version", saved.Saved.Version).Dur("age", time.Since(saved.Saved.SavedAt)).Msg("starting with the saved configuration")
		} else {
			log.Warn().Err(err).Uint64("version", saved.Saved.Version).Msg("saved configuration does not fit these settings; starting without it")
			saved = configclient.Initial{Source: "own settings"}
		}
	} else {
		log.Info().Msg("no saved configuration; starting with the front end's own settings")
	}
	c.configClient = configclient.New(opts, saved)
	return c
}

func (c *liveConfig) configClientOptions() configclient.Options {
	control := c.initial.Control
	return configclient.Options{Name: c.initial.Name, Sockets: strings.Fields(control.Sockets), Store: lastgood.Store{FS: lastgood.Disk{}, Path: control.SavePath},
		RedialMin: eventloop.ToDuration(control.RedialMin), RedialMax: eventloop.ToDuration(control.RedialMax), ReportInterval: eventloop.ToDuration(control.ReportInterval),
		Counters: c.counters, Check: c.check, Log: c.log}
}

// parse validates a version's text and returns it with the front end's settings under it.
func (c *liveConfig) parse(version uint64, text string) (*settings.Configuration, *settings.FrontEnd, error) {
	config, err := settings.ReadConfiguration(fmt.Sprintf("version %d", version), strings.NewReader(text))
	if err != nil {
		return nil, nil, err
	}
	frontEnd, err := c.initial.WithConfiguration(config, &c.current.Load().Service)
	return config, frontEnd, err
}

// start sets the components to which new versions are applied, opens the listeners of the saved configuration, and
// connects to the control service.
func (c *liveConfig) start(backgroundCtx, clientsCtx context.Context, backgroundGroup, clientsGroup *errgroup.Group, eng *engine.Engine,
	dispatcher *dispatch.Dispatcher, links *workerlink.Set, watcher *rosterwatch.Watcher, server *clients.Server, kserveServer *kserve.Server) {
	c.engine, c.dispatcher, c.links, c.watcher, c.server, c.kserve = eng, dispatcher, links, watcher, server, kserveServer
	c.clientsCtx, c.clientsGroup = clientsCtx, clientsGroup
	if c.configClient == nil {
		return
	}
	if c.savedConfig != nil {
		for _, l := range c.savedConfig.Listeners {
			backgroundGroup.Go(func() error { c.listenWithRetry(backgroundCtx, l); return nil })
		}
	}
	configCtx, cancel := context.WithCancel(backgroundCtx)
	c.stopConfigClient = cancel
	backgroundGroup.Go(func() error { return c.configClient.Run(configCtx) })
}

// listenWithRetry opens and serves a listener of the saved configuration. It retries, because a predecessor may serve
// the socket until the hand-over is complete.
func (c *liveConfig) listenWithRetry(ctx context.Context, l settings.Listener) {
	for logged := false; ctx.Err() == nil; logged = true {
		nl, err := clients.Listen(c.socketPath(l), 0o600)
		if err == nil {
			c.serveListener(l, nl)
			return
		}
		if !logged {
			c.log.Warn().Err(err).Str("listener", l.Name).Msg("cannot open a listener of the saved configuration yet; retrying")
		}
		select {
		case <-ctx.Done():
		case <-time.After(listenRetryInterval):
		}
	}
}

func (c *liveConfig) socketPath(l settings.Listener) string {
	return strings.ReplaceAll(l.Socket, "FRONT", c.initial.Name)
}

// serveListener starts serving a listener of the configuration.
func (c *liveConfig) serveListener(l settings.Listener, nl net.Listener) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		nl.Close()
		return
	}
	c.listeners[c.socketPath(l)] = nl
	var serve func() error
	switch l.Protocol {
	case "json-rpc":
		serve = c.server.AddListener(c.clientsCtx, nl)
	case "http":
		serve = func() error { return c.kserve.Serve(nl) }
	default:
		serve = func() error { return c.kserve.ServeGRPC(nl) }
	}
	c.clientsGroup.Go(func() error {
		if err := serve(); err != nil && !errors.Is(err, net.ErrClosed) {
			c.log.Warn().Err(err).Str("listener", l.Name).Msg("listener failed")
		}
		return nil
	})
}

// stop closes the listeners of the configuration and disconnects from the control service, so that a front end that is
// stopping neither applies nor refuses a version.
func (c *liveConfig) stop() {
	if c.stopConfigClient != nil {
		c.stopConfigClient()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	for _, l := range c.listeners {
		l.Close()
	}
}

// watcherOptions returns the options of the roster watcher under a configuration; nil: none.
func (c *liveConfig) watcherOptions(frontEnd *settings.FrontEnd, config *settings.Configuration) rosterwatch.Options {
	opts := rosterwatch.Options{FrontEnd: frontEnd.Name, Sockets: []string{frontEnd.Roster.Socket}, Cache: frontEnd.Roster.Cache,
		Zone: frontEnd.Service.ZoneID, Cell: frontEnd.Service.CellID, Kind: frontEnd.Service.KindID, Log: c.log}
	if config == nil {
		return opts
	}
	if len(config.Sources) > 0 {
		opts.Sockets = nil
	}
	for _, s := range config.Sources {
		opts.Sockets = append(opts.Sockets, s.Socket)
	}
	for _, g := range config.Groups {
		for _, w := range g.Workers {
			opts.Static = append(opts.Static, rosterwatch.StaticWorker{Name: w.Name, Socket: w.Socket, Zone: g.Zone, Cell: g.Cell, Kind: g.Kind})
		}
	}
	return opts
}

// counters returns the counters that are reported to the control service.
func (c *liveConfig) counters() *wire.Figures {
	counts := make(chan engine.Counts, 1)
	if !c.loop.Post(func() { counts <- c.engine.Counts() }) {
		return nil
	}
	total := <-counts
	return &wire.Figures{Taken: total.Taken, Ok: total.OK, Denied: total.Denied, Aborted: total.Aborted}
}

// configChange is a version that has been checked. It implements configclient.Change.
type configChange struct {
	live      *liveConfig
	version   uint64
	config    *settings.Configuration
	frontEnd  *settings.FrontEnd
	listeners map[string]net.Listener // new listeners, by socket path
}

// check validates a version against the schema, the front end's own settings and the roster's list, and opens its
// sockets. Everything that can fail is done here and not in Apply.
func (c *liveConfig) check(version uint64, text string) (configclient.Change, error) {
	config, frontEnd, err := c.parse(version, text)
	if err != nil {
		return nil, err
	}
	problem := make(chan error, 1)
	if !c.loop.Post(func() {
		for _, g := range config.Groups {
			for _, w := range g.Workers {
				if state := c.watcher.RosterState(w.Name); state == "gone" || state == "draining" {
					problem <- w.Errorf("worker %q of group %q: the roster told that it is %s", w.Name, g.Name, state)
					return
				}
			}
		}
		problem <- nil
	}) {
		return nil, errors.New("the front end has stopped")
	}
	if err := <-problem; err != nil {
		return nil, err
	}
	ch := &configChange{live: c, version: version, config: config, frontEnd: frontEnd, listeners: map[string]net.Listener{}}
	for _, l := range config.Listeners {
		path := c.socketPath(l)
		c.mu.Lock()
		_, open := c.listeners[path]
		c.mu.Unlock()
		if open {
			continue
		}
		nl, err := clients.Listen(path, os.FileMode(0o600))
		if err != nil {
			ch.Discard()
			return nil, l.Errorf("listener %q: %v", l.Name, err)
		}
		ch.listeners[path] = nl
	}
	return ch, nil
}

// Discard implements configclient.Change.
func (ch *configChange) Discard() {
	for _, l := range ch.listeners {
		l.Close()
	}
}

// Apply implements configclient.Change. The version takes effect in one turn of the event loop, in which nothing can
// fail.
func (ch *configChange) Apply() error {
	c, frontEnd := ch.live, ch.frontEnd
	routerSettings, methods, customers := frontEnd.RouterSettings(), frontEnd.Service.EngineMethods(), frontEnd.Service.CustomerNames()
	functionSpec, watcherOptions := frontEnd.Service.FunctionSpecs(), c.watcherOptions(frontEnd, ch.config)
	var models []kserve.Model
	if c.kserve != nil {
		models = modelsOf(frontEnd)
	}
	parsed, service := router.ParseSettings(routerSettings), dispatch.NewService(methods, customers, functionSpec)
	done := make(chan struct{})
	if !c.loop.Post(func() {
		began := time.Now()
		c.engine.UpdateSettings(routerSettings, parsed, methods)
		c.dispatcher.UpdateSettings(service, frontEnd.LimitSettings())
		c.links.UpdateLimits(linkLimits(frontEnd))
		if c.kserve != nil {
			c.kserve.UpdateSettings(models)
		}
		c.watcher.UpdateSettings(watcherOptions)
		c.current.Store(frontEnd)
		c.lastApply.Store(int64(time.Since(began)))
		close(done)
	}) {
		ch.Discard()
		return errors.New("the front end has stopped")
	}
	<-done
	wanted := map[string]bool{}
	for _, l := range ch.config.Listeners {
		path := c.socketPath(l)
		wanted[path] = true
		if nl := ch.listeners[path]; nl != nil {
			c.serveListener(l, nl)
		}
	}
	c.mu.Lock()
	for path, l := range c.listeners {
		if !wanted[path] { // connections that were accepted on it stay open
			l.Close()
			delete(c.listeners, path)
		}
	}
	c.mu.Unlock()
	c.log.Info().Uint64("version", ch.version).Dur("turn", time.Duration(c.lastApply.Load())).Int("methods", len(methods)).
		Msg("configuration applied")
	return nil
}
