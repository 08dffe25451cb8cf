package standin

import (
	"bytes"
	"context"
	"math"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/go-json-experiment/json/jsontext"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"mallowlanding/internal/clients"
	"mallowlanding/internal/eventloop"
	"mallowlanding/internal/jsonrpc"
	"mallowlanding/internal/record"
	"mallowlanding/internal/settings"
	"mallowlanding/router"
)

// roster tells front ends who runs, drains and is gone, as late as its settings say. It knows of workers by their
// connections to it: one that ends is a process that ended.
type roster struct {
	set    *settings.Roster
	log    zerolog.Logger
	rec    *record.Log
	loop   *eventloop.Loop
	timers eventloop.Timers

	version  uint64
	members  map[string]*membership
	order    []string
	watchers map[*rosterConn]bool
}

// membership is a worker as the roster may tell of it by now.
type membership struct {
	socket, zone, cell, kind, state string
	life                            int64
	started                         router.Time
	cold                            bool
}

// BeginTurn implements turn.Machine.
func (r *roster) BeginTurn(router.Time) {}

// EndTurn implements turn.Machine.
func (r *roster) EndTurn() { r.timers.Fire(r.loop.Now()) }

// NextDue implements turn.Machine.
func (r *roster) NextDue() (router.Time, bool) { return r.timers.NextDue() }

// Roster runs a stand-in roster until the context ends, with a stand-in store where its settings have one.
func Roster(ctx context.Context, set *settings.Roster, log zerolog.Logger, ready func()) error {
	rec, err := record.Open(set.Log)
	if err != nil {
		return err
	}
	defer rec.Close()
	l, err := clients.Listen(set.Socket, 0o600)
	if err != nil {
		return err
	}
	r := &roster{set: set, log: log, rec: rec, loop: eventloop.NewLoop(), members: map[string]*membership{},
		watchers: map[*rosterConn]bool{}}
	var group errgroup.Group
	if set.Store != nil {
		sl, err := clients.Listen(set.Store.Socket, 0o600)
		if err != nil {
			l.Close()
			return err
		}
		group.Go(func() error { return serveStore(ctx, set.Store, sl) })
	}
	group.Go(func() error { r.loop.Run(ctx, r); return nil })
	group.Go(func() error {
		return accept(ctx, l, func(ctx context.Context, nc net.Conn) {
			c := &rosterConn{r: r, server: server{c: jsonrpc.NewConn(nc, valueLimit)}}
			_ = c.c.Serve(ctx, c)
			r.loop.Post(c.gone)
		})
	})
	log.Info().Str("socket", set.Socket).Msg("roster runs")
	if ready != nil {
		ready()
	}
	return group.Wait()
}

type rosterConn struct {
	server
	r        *roster
	frontEnd string   // a watcher's name
	workers  []string // that joined here
}

// HandleRequest implements jsonrpc.Peer.
func (c *rosterConn) HandleRequest(_ jsonrpc.ID, method string, params []byte) {
	params = bytes.Clone(params)
	switch method {
	case "roster.watch":
		c.r.loop.Post(func() {
			c.frontEnd = member(params, "front_end")
			c.r.watchers[c] = true
			c.r.tell(c, true, c.r.order)
		})
	case "roster.join":
		name, state := member(params, "name"), member(params, "state")
		now, unix := c.r.loop.Now(), time.Now().UnixMilli()
		cold := jsontext.Value(jsonrpc.Member(params, "cold")).Kind() == 't'
		c.r.loop.Post(func() {
			if !slices.Contains(c.workers, name) {
				c.workers = append(c.workers, name)
			}
			c.r.after(func() {
				m := c.r.members[name]
				if m == nil {
					m = &membership{}
					c.r.members[name], c.r.order = m, append(c.r.order, name)
				}
				if state == "ready" {
					m.life, m.started, m.cold = unix, now, cold
				}
				m.socket, m.zone, m.cell = member(params, "socket"), member(params, "zone"), member(params, "cell")
				m.kind, m.state = member(params, "kind"), state
				c.r.changed(name)
			})
		})
	}
}

// after does something once the roster's lag is over.
func (r *roster) after(f func()) {
	r.timers.Set(new(eventloop.Timer), r.loop.Now()+r.set.Lag, func(router.Time) { f() })
}

// gone: the connection has ended, and with it the processes that joined on it.
func (c *rosterConn) gone() {
	delete(c.r.watchers, c)
	ended := c.r.loop.Now()
	for _, name := range c.workers {
		c.r.after(func() {
			if m := c.r.members[name]; m != nil && m.started < ended { // else a new life has begun
				m.state = "gone"
				c.r.changed(name)
			}
		})
	}
}

func (r *roster) changed(name string) {
	r.version++
	for c := range r.watchers {
		r.tell(c, false, []string{name})
	}
}

// tell sends a list or changes to one front end, and notes what was told.
func (r *roster) tell(c *rosterConn, whole bool, names []string) {
	b := strconv.AppendUint([]byte(`{"version":`), r.version, 10)
	b = append(strconv.AppendBool(append(b, `,"whole":`...), whole), `,"workers":[`...)
	now, some := r.loop.Now(), false
	for _, name := range names {
		m := r.members[name]
		if whole && m.state == "gone" {
			continue
		}
		if some {
			b = append(b, ',')
		}
		some = true
		b = jsonrpc.AppendString(append(b, `{"name":`...), name)
		for _, f := range [][2]string{{"socket", m.socket}, {"state", m.state}, {"zone", m.zone}, {"cell", m.cell},
			{"kind", m.kind}} {
			b = jsonrpc.AppendString(append(jsonrpc.AppendString(append(b, ','), f[0]), ':'), f[1])
		}
		age := -1.0 // it was warm when it came: long ago
		if m.cold {
			age = float64(now-m.started) / 10
		}
		b = strconv.AppendInt(append(b, `,"life":`...), m.life, 10)
		b = append(strconv.AppendFloat(append(b, `,"age_ms":`...), age, 'f', 1, 64), '}')
	}
	value := jsonrpc.AppendRequest(nil, nil, "roster.list", append(b, "]}"...))
	told := time.Now().UnixNano()
	c.c.Write(value)
	for _, name := range names {
		if m := r.members[name]; !whole || m.state != "gone" {
			if err := r.rec.Add(record.Record{T: told, Kind: record.Told, Who: "roster", FrontEnd: c.frontEnd,
				Worker: name, State: m.state}); err != nil {
				r.log.Error().Err(err).Msg("log")
			}
		}
	}
}

// Shelf is the shared store without I/O: it serves fetches, so many at full pace, more of them slower, and beyond a limit
// none, and keeps the groups' memory of tokens. It belongs to one goroutine.
type Shelf struct {
	set    *settings.Store
	timers *eventloop.Timers
	inHand int
	tokens map[string]router.Time // until when
	swept  router.Time
}

// NewShelf makes an empty one.
func NewShelf(set *settings.Store, timers *eventloop.Timers) *Shelf {
	return &Shelf{set: set, timers: timers, tokens: map[string]router.Time{}}
}

// store serves a Shelf on sockets.
type store struct {
	*Shelf
	loop   *eventloop.Loop
	timers eventloop.Timers
}

// BeginTurn implements turn.Machine.
func (s *store) BeginTurn(router.Time) {}

// EndTurn implements turn.Machine.
func (s *store) EndTurn() { s.timers.Fire(s.loop.Now()) }

// NextDue implements turn.Machine.
func (s *store) NextDue() (router.Time, bool) { return s.timers.NextDue() }

func serveStore(ctx context.Context, set *settings.Store, l net.Listener) error {
	s := &store{loop: eventloop.NewLoop()}
	s.Shelf = NewShelf(set, &s.timers)
	var group errgroup.Group
	group.Go(func() error { s.loop.Run(ctx, s); return nil })
	group.Go(func() error {
		return accept(ctx, l, func(ctx context.Context, nc net.Conn) {
			c := &storeConn{s: s, server: server{c: jsonrpc.NewConn(nc, valueLimit)}}
			_ = c.c.Serve(ctx, c)
		})
	})
	return group.Wait()
}

type storeConn struct {
	server
	s *store
}

// HandleRequest implements jsonrpc.Peer.
func (c *storeConn) HandleRequest(id jsonrpc.ID, method string, params []byte) {
	key := bytes.Clone(id)
	usual, _ := jsonrpc.ParseNumber(jsontext.Value(jsonrpc.Member(params, "usual_ms")))
	window, _ := jsonrpc.ParseNumber(jsontext.Value(jsonrpc.Member(params, "window_ms")))
	token := member(params, "group") + "\x00" + member(params, "token")
	c.s.loop.Post(func() {
		switch method {
		case "store.fetch":
			c.s.Fetch(c.s.loop.Now(), router.Time(usual*10), func(ok bool) {
				if ok {
					c.c.Write(jsonrpc.AppendResult(nil, key, []byte("true")))
					return
				}
				c.c.Write(jsonrpc.AppendError(nil, key, full, "turned away", nil))
			})
		case "token.claim":
			first := c.s.Claim(c.s.loop.Now(), token, router.Time(window*10))
			c.c.Write(jsonrpc.AppendResult(nil, key, strconv.AppendBool(nil, first)))
		default:
			c.c.Write(jsonrpc.AppendError(nil, key, jsonrpc.MethodNotFound, "no such method", nil))
		}
	})
}

// Fetch takes the usual time, longer by its crowd: past at-once fetches the store's pace is shared, and thrash takes
// a further part of it for each of them.
func (s *Shelf) Fetch(now, usual router.Time, done func(ok bool)) {
	if s.inHand >= s.set.RefuseFrom {
		done(false)
		return
	}
	s.inHand++
	crowd := math.Max(1, float64(s.inHand)/float64(s.set.MaxConcurrent))
	took := float64(max(usual, s.set.Mean)) * crowd * (1 + s.set.Thrash*(crowd-1))
	s.timers.Set(new(eventloop.Timer), now+router.Time(took), func(router.Time) {
		s.inHand--
		done(true)
	})
}

// Claim remembers a token for its window; first: it was not remembered.
func (s *Shelf) Claim(now router.Time, token string, window router.Time) bool {
	if now-s.swept > 10000 {
		s.swept = now
		for t, until := range s.tokens {
			if until <= now {
				delete(s.tokens, t)
			}
		}
	}
	if s.tokens[token] > now {
		return false
	}
	s.tokens[token] = now + window
	return true
}
