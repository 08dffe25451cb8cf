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

// roster reports to front ends which workers run, drain or have been removed, with the delay that its settings say. It
// learns of workers from their connections: when a connection ends, so has the process.
type roster struct {
	cfg     *settings.Roster
	log     zerolog.Logger
	records *record.Log
	loop    *eventloop.Loop
	timers  eventloop.Timers

	version  uint64 // of the worker list
	entries  map[string]*rosterEntry
	order    []string // names of the entries, in the order of their first join
	watchers map[*rosterConn]bool
}

// rosterEntry is a worker as the roster reports it now, after its lag.
type rosterEntry struct {
	socket, zone, cell, kind, state string
	life                            int64 // Unix time in ms of the worker's start, which distinguishes its runs
	started                         router.Time
	cold                            bool
}

// BeginTurn implements eventloop.Handler.
func (r *roster) BeginTurn(router.Time) {}

// EndTurn implements eventloop.Handler.
func (r *roster) EndTurn() { r.timers.Fire(r.loop.Now()) }

// NextDue implements eventloop.Handler.
func (r *roster) NextDue() (router.Time, bool) { return r.timers.NextDue() }

// Roster runs a stand-in roster until the context ends, and a stand-in store if its settings have one.
func Roster(ctx context.Context, cfg *settings.Roster, log zerolog.Logger, ready func()) error {
	records, err := record.Open(cfg.Log)
	if err != nil {
		return err
	}
	defer records.Close()
	l, err := clients.Listen(cfg.Socket, 0o600)
	if err != nil {
		return err
	}
	r := &roster{cfg: cfg, log: log, records: records, loop: eventloop.NewLoop(), entries: map[string]*rosterEntry{},
		watchers: map[*rosterConn]bool{}}
	var group errgroup.Group
	if cfg.Store != nil {
		sl, err := clients.Listen(cfg.Store.Socket, 0o600)
		if err != nil {
			l.Close()
			return err
		}
		group.Go(func() error { return serveStore(ctx, cfg.Store, sl) })
	}
	group.Go(func() error { r.loop.Run(ctx, r); return nil })
	group.Go(func() error {
		return accept(ctx, l, func(ctx context.Context, nc net.Conn) {
			c := &rosterConn{r: r, requestHandler: requestHandler{conn: jsonrpc.NewConn(nc, maxValueBytes)}}
			_ = c.conn.Serve(ctx, c)
			r.loop.Post(c.disconnected)
		})
	})
	log.Info().Str("socket", cfg.Socket).Msg("roster started")
	if ready != nil {
		ready()
	}
	return group.Wait()
}

type rosterConn struct {
	requestHandler
	r        *roster
	frontEnd string   // the name of the front end, if it watches
	workers  []string // that joined on this connection
}

// HandleRequest implements jsonrpc.Handler.
func (c *rosterConn) HandleRequest(_ jsonrpc.ID, method string, params []byte) {
	params = bytes.Clone(params)
	switch method {
	case "roster.watch":
		c.r.loop.Post(func() {
			c.frontEnd = member(params, "front_end")
			c.r.watchers[c] = true
			c.r.send(c, true, c.r.order)
		})
	case "roster.join":
		name, state := member(params, "name"), member(params, "state")
		now, unixMS := c.r.loop.Now(), time.Now().UnixMilli()
		cold := jsontext.Value(jsonrpc.Member(params, "cold")).Kind() == 't'
		c.r.loop.Post(func() {
			if !slices.Contains(c.workers, name) {
				c.workers = append(c.workers, name)
			}
			c.r.afterLag(func() {
				e := c.r.entries[name]
				if e == nil {
					e = &rosterEntry{}
					c.r.entries[name], c.r.order = e, append(c.r.order, name)
				}
				if state == "ready" {
					e.life, e.started, e.cold = unixMS, now, cold
				}
				e.socket, e.zone, e.cell = member(params, "socket"), member(params, "zone"), member(params, "cell")
				e.kind, e.state = member(params, "kind"), state
				c.r.broadcast(name)
			})
		})
	}
}

// afterLag calls f after the lag that the settings say.
func (r *roster) afterLag(f func()) {
	r.timers.Set(new(eventloop.Timer), r.loop.Now()+r.cfg.Lag, func(router.Time) { f() })
}

// disconnected handles the end of a connection: the workers that joined on it are removed.
func (c *rosterConn) disconnected() {
	delete(c.r.watchers, c)
	ended := c.r.loop.Now()
	for _, name := range c.workers {
		c.r.afterLag(func() {
			if e := c.r.entries[name]; e != nil && e.started < ended { // otherwise the worker has been started again
				e.state = "gone"
				c.r.broadcast(name)
			}
		})
	}
}

func (r *roster) broadcast(name string) {
	r.version++
	for c := range r.watchers {
		r.send(c, false, []string{name})
	}
}

// send sends the full worker list or changes to one front end, and records the states that it sent.
func (r *roster) send(c *rosterConn, full bool, names []string) {
	b := strconv.AppendUint([]byte(`{"version":`), r.version, 10)
	b = append(strconv.AppendBool(append(b, `,"whole":`...), full), `,"workers":[`...)
	now, sentAny := r.loop.Now(), false
	for _, name := range names {
		e := r.entries[name]
		if full && e.state == "gone" {
			continue
		}
		if sentAny {
			b = append(b, ',')
		}
		sentAny = true
		b = jsonrpc.AppendString(append(b, `{"name":`...), name)
		for _, f := range [][2]string{{"socket", e.socket}, {"state", e.state}, {"zone", e.zone}, {"cell", e.cell},
			{"kind", e.kind}} {
			b = jsonrpc.AppendString(append(jsonrpc.AppendString(append(b, ','), f[0]), ':'), f[1])
		}
		age := -1.0 // a worker that was warm when it joined started long ago
		if e.cold {
			age = float64(now-e.started) / 10
		}
		b = strconv.AppendInt(append(b, `,"life":`...), e.life, 10)
		b = append(strconv.AppendFloat(append(b, `,"age_ms":`...), age, 'f', 1, 64), '}')
	}
	value := jsonrpc.AppendRequest(nil, nil, "roster.list", append(b, "]}"...))
	sentAt := time.Now().UnixNano()
	c.conn.Write(value)
	for _, name := range names {
		if e := r.entries[name]; !full || e.state != "gone" {
			if err := r.records.Add(record.Record{UnixNS: sentAt, Kind: record.StateSent, Source: "roster", FrontEnd: c.frontEnd,
				Worker: name, State: e.state}); err != nil {
				r.log.Error().Err(err).Msg("cannot write the record log")
			}
		}
	}
}

// StoreModel is the model of the shared store, without I/O. It serves up to a number of fetches at full speed, more of
// them slower, and refuses those beyond a limit. It also keeps the tokens of all groups. It belongs to one goroutine.
type StoreModel struct {
	cfg       *settings.Store
	timers    *eventloop.Timers
	active    int                    // fetches
	tokens    map[string]router.Time // when each expires
	lastSweep router.Time
}

// NewStoreModel returns a store without tokens.
func NewStoreModel(cfg *settings.Store, timers *eventloop.Timers) *StoreModel {
	return &StoreModel{cfg: cfg, timers: timers, tokens: map[string]router.Time{}}
}

// store serves a StoreModel on a socket.
type store struct {
	*StoreModel
	loop   *eventloop.Loop
	timers eventloop.Timers
}

// BeginTurn implements eventloop.Handler.
func (s *store) BeginTurn(router.Time) {}

// EndTurn implements eventloop.Handler.
func (s *store) EndTurn() { s.timers.Fire(s.loop.Now()) }

// NextDue implements eventloop.Handler.
func (s *store) NextDue() (router.Time, bool) { return s.timers.NextDue() }

func serveStore(ctx context.Context, cfg *settings.Store, l net.Listener) error {
	s := &store{loop: eventloop.NewLoop()}
	s.StoreModel = NewStoreModel(cfg, &s.timers)
	var group errgroup.Group
	group.Go(func() error { s.loop.Run(ctx, s); return nil })
	group.Go(func() error {
		return accept(ctx, l, func(ctx context.Context, nc net.Conn) {
			c := &storeConn{s: s, requestHandler: requestHandler{conn: jsonrpc.NewConn(nc, maxValueBytes)}}
			_ = c.conn.Serve(ctx, c)
		})
	})
	return group.Wait()
}

type storeConn struct {
	requestHandler
	s *store
}

// HandleRequest implements jsonrpc.Handler.
func (c *storeConn) HandleRequest(id jsonrpc.ID, method string, params []byte) {
	requestID := bytes.Clone(id)
	usual, _ := jsonrpc.ParseNumber(jsontext.Value(jsonrpc.Member(params, "usual_ms")))
	window, _ := jsonrpc.ParseNumber(jsontext.Value(jsonrpc.Member(params, "window_ms")))
	token := member(params, "group") + "\x00" + member(params, "token")
	c.s.loop.Post(func() {
		switch method {
		case "store.fetch":
			c.s.Fetch(c.s.loop.Now(), router.Time(usual*10), func(ok bool) {
				if ok {
					c.conn.Write(jsonrpc.AppendResult(nil, requestID, []byte("true")))
					return
				}
				c.conn.Write(jsonrpc.AppendError(nil, requestID, codeFull, "turned away", nil))
			})
		case "token.claim":
			first := c.s.ClaimToken(c.s.loop.Now(), token, router.Time(window*10))
			c.conn.Write(jsonrpc.AppendResult(nil, requestID, strconv.AppendBool(nil, first)))
		default:
			c.conn.Write(jsonrpc.AppendError(nil, requestID, jsonrpc.MethodNotFound, "no such method", nil))
		}
	})
}

// Fetch simulates the fetch of a function, and calls done when it has ended or is refused. A fetch takes at least its
// usual time or the store's mean, whichever is longer. While there are more fetches than the at-once setting, they
// share the store's speed, and the thrash setting slows them further the more there are.
func (s *StoreModel) Fetch(now, usual router.Time, done func(ok bool)) {
	if s.active >= s.cfg.RefuseFrom {
		done(false)
		return
	}
	s.active++
	overload := math.Max(1, float64(s.active)/float64(s.cfg.MaxConcurrent))
	duration := float64(max(usual, s.cfg.Mean)) * overload * (1 + s.cfg.Thrash*(overload-1))
	s.timers.Set(new(eventloop.Timer), now+router.Time(duration), func(router.Time) {
		s.active--
		done(true)
	})
}

// ClaimToken stores a token for its window; it returns false if the token was stored already.
func (s *StoreModel) ClaimToken(now router.Time, token string, window router.Time) bool {
	if now-s.lastSweep > 10000 {
		s.lastSweep = now
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
