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
	"mallowlanding/router"
)

// listenAgain is how often a socket of the kept configuration is tried that a predecessor still serves.
const listenAgain = time.Second

// configured is a front end whose settings change while it runs.
type configured struct {
	own   *settings.FrontEnd // as it was started
	now   atomic.Pointer[settings.FrontEnd]
	loop  *eventloop.Loop
	log   zerolog.Logger
	steer *configclient.Client // nil: no control service
	took  atomic.Int64         // ns of the turn that took the last version over

	booted *settings.Configuration // of the kept version; nil: none

	endSteer func()

	e       *engine.Engine
	desk    *dispatch.Dispatcher
	fo      *rosterwatch.Watcher
	srv     *clients.Server
	ks      *kserve.Server
	clients context.Context // ends with the clients' side
	group   *errgroup.Group // likewise

	mu        sync.Mutex
	stopped   bool
	listeners map[string]net.Listener // by the socket's path, FRONT filled in
}

// newConfigured begins with the kept version, where there is a good one that fits, else with the front end's own settings.
func newConfigured(own *settings.FrontEnd, loop *eventloop.Loop, log zerolog.Logger) *configured {
	c := &configured{own: own, loop: loop, log: log, listeners: map[string]net.Listener{}}
	c.now.Store(own)
	if own.Control == nil {
		return c
	}
	o := c.steering()
	b, ok := configclient.LoadInitial(o)
	if ok {
		conf, next, err := c.read(b.Saved.Version, b.Saved.Text)
		if err == nil {
			c.booted = conf
			c.now.Store(next)
			log.Info().Uint64("version", b.Saved.Version).Dur("age", time.Since(b.Saved.SavedAt)).Msg("begins with the kept configuration")
		} else {
			log.Warn().Err(err).Uint64("version", b.Saved.Version).Msg("the kept configuration does not fit these settings: begins without")
			b = configclient.Initial{Source: "own settings"}
		}
	} else {
		log.Info().Msg("no kept configuration: begins with its own settings")
	}
	c.steer = configclient.New(o, b)
	return c
}

func (c *configured) steering() configclient.Options {
	at := c.own.Control
	return configclient.Options{Name: c.own.Name, Sockets: strings.Fields(at.Sockets), Store: lastgood.Store{FS: lastgood.Disk{}, Path: at.SavePath},
		RedialMin: eventloop.ToDuration(at.RedialMin), RedialMax: eventloop.ToDuration(at.RedialMax), ReportInterval: eventloop.ToDuration(at.ReportInterval),
		Counters: c.figures, Check: c.check, Log: c.log}
}

// read checks a version's text and gives the front end under it.
func (c *configured) read(version uint64, text string) (*settings.Configuration, *settings.FrontEnd, error) {
	conf, err := settings.ReadConfiguration(fmt.Sprintf("version %d", version), strings.NewReader(text))
	if err != nil {
		return nil, nil, err
	}
	next, err := c.own.WithConfiguration(conf, &c.now.Load().Service)
	return conf, next, err
}

// parts names what changes with a version, and follows the control service from now on.
func (c *configured) parts(rest, clientSide context.Context, restGroup, frontGroup *errgroup.Group, e *engine.Engine,
	desk *dispatch.Dispatcher, fo *rosterwatch.Watcher, srv *clients.Server, ks *kserve.Server) {
	c.e, c.desk, c.fo, c.srv, c.ks, c.clients, c.group = e, desk, fo, srv, ks, clientSide, frontGroup
	if c.steer == nil {
		return
	}
	if c.booted != nil {
		for _, l := range c.booted.Listeners {
			restGroup.Go(func() error { c.listenUntil(rest, l); return nil })
		}
	}
	follows, end := context.WithCancel(rest)
	c.endSteer = end
	restGroup.Go(func() error { return c.steer.Run(follows) })
}

// listenUntil opens a socket of the kept configuration: a predecessor that hands over may serve it for a while.
func (c *configured) listenUntil(ctx context.Context, l settings.Listener) {
	for told := false; ctx.Err() == nil; told = true {
		nl, err := clients.Listen(c.path(l), 0o600)
		if err == nil {
			c.serve(l, nl)
			return
		}
		if !told {
			c.log.Warn().Err(err).Str("listener", l.Name).Msg("a listener of the kept configuration is tried again")
		}
		select {
		case <-ctx.Done():
		case <-time.After(listenAgain):
		}
	}
}

func (c *configured) path(l settings.Listener) string {
	return strings.ReplaceAll(l.Socket, "FRONT", c.own.Name)
}

// serve has a listener's clients taken.
func (c *configured) serve(l settings.Listener, nl net.Listener) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		nl.Close()
		return
	}
	c.listeners[c.path(l)] = nl
	var serve func() error
	switch l.Protocol {
	case "json-rpc":
		serve = c.srv.AddListener(c.clients, nl)
	case "http":
		serve = func() error { return c.ks.Serve(nl) }
	default:
		serve = func() error { return c.ks.ServeGRPC(nl) }
	}
	c.group.Go(func() error {
		if err := serve(); err != nil && !errors.Is(err, net.ErrClosed) {
			c.log.Warn().Err(err).Str("listener", l.Name).Msg("a listener has ended")
		}
		return nil
	})
}

// stop has the further listeners take no more, and no version: one that leaves turns none down, either.
func (c *configured) stop() {
	if c.endSteer != nil {
		c.endSteer()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	for _, l := range c.listeners {
		l.Close()
	}
}

// following are the follower's options under a configuration; nil: none.
func (c *configured) following(f *settings.FrontEnd, conf *settings.Configuration) rosterwatch.Options {
	o := rosterwatch.Options{FrontEnd: f.Name, Sockets: []string{f.Roster.Socket}, Cache: f.Roster.Cache,
		Zone: f.Service.ZoneID, Cell: f.Service.CellID, Kind: f.Service.KindID, Log: c.log}
	if conf == nil {
		return o
	}
	if len(conf.Sources) > 0 {
		o.Sockets = nil
	}
	for _, s := range conf.Sources {
		o.Sockets = append(o.Sockets, s.Socket)
	}
	for _, g := range conf.Groups {
		for _, w := range g.Workers {
			o.Static = append(o.Static, rosterwatch.StaticWorker{Name: w.Name, Socket: w.Socket, Zone: g.Zone, Cell: g.Cell, Kind: g.Kind})
		}
	}
	return o
}

// figures are the sums that the control service watches.
func (c *configured) figures() *wire.Figures {
	got := make(chan engine.Counts, 1)
	if !c.loop.Post(func() { got <- c.e.Counts() }) {
		return nil
	}
	n := <-got
	return &wire.Figures{Taken: n.Taken, Ok: n.OK, Denied: n.Denied, Aborted: n.Aborted}
}

// change is a version that was checked.
type change struct {
	c       *configured
	version uint64
	conf    *settings.Configuration
	next    *settings.FrontEnd
	opened  map[string]net.Listener // by path
}

// check holds a version against the schema, this front end's own settings, and what it knows of workers, and opens its
// sockets: what can fail fails here.
func (c *configured) check(version uint64, text string) (configclient.Change, error) {
	conf, next, err := c.read(version, text)
	if err != nil {
		return nil, err
	}
	bad := make(chan error, 1)
	if !c.loop.Post(func() {
		for _, g := range conf.Groups {
			for _, w := range g.Workers {
				if state := c.fo.RosterState(w.Name); state == "gone" || state == "draining" {
					bad <- w.Errorf("worker %q of group %q: the roster told that it is %s", w.Name, g.Name, state)
					return
				}
			}
		}
		bad <- nil
	}) {
		return nil, errors.New("the front end has stopped")
	}
	if err := <-bad; err != nil {
		return nil, err
	}
	ch := &change{c: c, version: version, conf: conf, next: next, opened: map[string]net.Listener{}}
	for _, l := range conf.Listeners {
		path := c.path(l)
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
		ch.opened[path] = nl
	}
	return ch, nil
}

// Discard implements steer.Change.
func (ch *change) Discard() {
	for _, l := range ch.opened {
		l.Close()
	}
}

// Apply implements steer.Change: one turn of the loop, in which nothing can fail any more.
func (ch *change) Apply() error {
	c, next := ch.c, ch.next
	module, methods, customers := next.RouterSettings(), next.Service.EngineMethods(), next.Service.CustomerNames()
	function, following := next.Service.FunctionSpecs(), c.following(next, ch.conf)
	var models []kserve.Model
	if c.ks != nil {
		models = modelsOf(next)
	}
	prepared, service := router.ParseSettings(module), dispatch.NewService(methods, customers, function)
	done := make(chan struct{})
	if !c.loop.Post(func() {
		begin := time.Now()
		c.e.UpdateSettings(module, prepared, methods)
		c.desk.UpdateSettings(service, next.LimitSettings())
		if c.ks != nil {
			c.ks.UpdateSettings(models)
		}
		c.fo.UpdateSettings(following)
		c.now.Store(next)
		c.took.Store(int64(time.Since(begin)))
		close(done)
	}) {
		ch.Discard()
		return errors.New("the front end has stopped")
	}
	<-done
	wanted := map[string]bool{}
	for _, l := range ch.conf.Listeners {
		path := c.path(l)
		wanted[path] = true
		if nl := ch.opened[path]; nl != nil {
			c.serve(l, nl)
		}
	}
	c.mu.Lock()
	for path, l := range c.listeners {
		if !wanted[path] { // who is connected stays
			l.Close()
			delete(c.listeners, path)
		}
	}
	c.mu.Unlock()
	c.log.Info().Uint64("version", ch.version).Dur("turn", time.Duration(c.took.Load())).Int("methods", len(methods)).
		Msg("configuration applied")
	return nil
}
