// Package rosterwatch keeps a front end's list of workers after the roster's: it watches, tells the engine of changes,
// acknowledges what the engine was told, and keeps the last list on disk for the next start.
package rosterwatch

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/rs/zerolog"

	"mallowlanding/internal/engine"
	"mallowlanding/internal/eventloop"
	"mallowlanding/internal/jsonrpc"
	"mallowlanding/internal/nameid"
	"mallowlanding/internal/workerlink"
	"mallowlanding/router"
)

// Options are a follower's settings.
type Options struct {
	FrontEnd string
	Sockets  []string // of rosters: the first that answers is followed
	Cache    string   // file of the last list; empty: none is kept
	Zone     func(string) router.ZoneID
	Cell     func(string) router.CellID
	Kind     func(string) router.KindID
	Static   []StaticWorker
	Log      zerolog.Logger
}

// maxList bounds one list's bytes: some hundred thousand workers.
const maxList = 64 << 20

// pauses between attempts to reach the roster.
const (
	redialMin = 50 * time.Millisecond
	redialMax = 2 * time.Second
)

// entry is one worker as last told. It is what the cache file holds.
type entry struct {
	Name   string  `json:"name"`
	Socket string  `json:"socket"`
	State  string  `json:"state"`
	Zone   string  `json:"zone,omitempty"`
	Cell   string  `json:"cell,omitempty"`
	Kind   string  `json:"kind,omitempty"`
	Life   int64   `json:"life"`   // names one life of the worker: its start by the roster's clock, ms since 1970
	AgeMs  float64 `json:"age_ms"` // since that start, as the list was sent; below 0: long ago
	static bool    // no roster named it: it is the settings' own
}

// StaticWorker is a worker that the settings name themselves: ready unless a roster has told otherwise.
type StaticWorker struct{ Name, Socket, Zone, Cell, Kind string }

type cacheFile struct {
	SavedUnixMs int64   `json:"saved_unix_ms"`
	Workers     []entry `json:"workers"`
}

// life is one life of a worker: when it began, by the loop's clock.
type life struct {
	life    int64
	started router.Time
}

// Watcher follows one roster. Its state belongs to the loop's goroutine.
type Watcher struct {
	o       Options
	loop    *eventloop.Loop
	engine  *engine.Engine
	links   *workerlink.Set
	entries map[string]entry
	order   []string
	lives   map[string]life
	version uint64
	saves   chan []entry
	told    chan struct{}
	once    sync.Once
	static  map[string]entry

	mu      sync.Mutex
	sockets []string
	current net.Conn // of the roster that is followed
	at      string   // its socket
}

// New makes a follower; Run starts it.
func New(loop *eventloop.Loop, e *engine.Engine, l *workerlink.Set, o Options) *Watcher {
	return &Watcher{o: o, loop: loop, engine: e, links: l, entries: map[string]entry{}, lives: map[string]life{},
		saves: make(chan []entry, 1), told: make(chan struct{}), static: statics(o.Static), sockets: o.Sockets}
}

func statics(list []StaticWorker) map[string]entry {
	out := map[string]entry{}
	for _, w := range list {
		out[w.Name] = entry{Name: w.Name, Socket: w.Socket, State: "ready", Zone: w.Zone, Cell: w.Cell, Kind: w.Kind,
			AgeMs: -1, static: true}
	}
	return out
}

// UpdateSettings takes new settings; in a turn. Workers are listed anew, since zones may have new numbers; a worker that the
// settings name no more, and no roster does, is gone.
func (f *Watcher) UpdateSettings(o Options) {
	f.o.Zone, f.o.Cell, f.o.Kind = o.Zone, o.Cell, o.Kind
	f.static = statics(o.Static)
	f.engine.BeginWorkerList(router.ListChanges, f.version)
	for _, name := range f.order {
		e := f.entries[name]
		if _, still := f.static[name]; e.static && !still {
			e.State = "gone"
		}
		f.list(e)
	}
	f.listStatic()
	f.engine.EndWorkerList()
	f.mu.Lock()
	f.sockets = o.Sockets
	if f.current != nil && !slices.Contains(o.Sockets, f.at) {
		f.current.Close() // the next one is looked for; the last list stands until it tells
	}
	f.mu.Unlock()
}

// RosterState tells what a roster said last of a worker; empty: none named it. In a turn.
func (f *Watcher) RosterState(name string) string {
	if e, known := f.entries[name]; known && !e.static {
		return e.State
	}
	return ""
}

// listStatic lists the settings' own workers that no roster has named.
func (f *Watcher) listStatic() {
	names := make([]string, 0, len(f.static))
	for name := range f.static {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if f.RosterState(name) == "" {
			f.list(f.static[name])
		}
	}
}

// list tells the engine of one worker, and keeps or drops its link.
func (f *Watcher) list(w entry) {
	l := f.lives[w.Name]
	if err := f.engine.AddListedWorker(w.Name, states[w.State], l.started, f.o.Zone(w.Zone), f.o.Cell(w.Cell), f.o.Kind(w.Kind)); err != nil {
		f.o.Log.Error().Err(err).Msg("a worker is left out")
		return
	}
	if _, known := f.entries[w.Name]; !known {
		f.order = append(f.order, w.Name)
	}
	f.entries[w.Name] = w
	if w.State == "gone" {
		f.links.Remove(w.Name)
	} else {
		f.links.Add(w.Name, w.Socket, nameid.Worker(w.Name))
	}
}

// Ready tells whether the list names a worker that is ready; in a turn.
func (f *Watcher) Ready() bool {
	for _, e := range f.entries {
		if e.State == "ready" {
			return true
		}
	}
	return false
}

// ListReceived is closed once the roster, not the cache, has told a list.
func (f *Watcher) ListReceived() <-chan struct{} { return f.told }

var states = map[string]router.Readiness{"gone": router.Removed, "ready": router.Ready, "draining": router.Draining}

// Run follows until the context ends. The cached list, if there is one, comes first.
func (f *Watcher) Run(ctx context.Context) error {
	f.loadCache()
	pause := redialMin
	for ctx.Err() == nil {
		told, err := f.watch(ctx)
		if ctx.Err() != nil {
			break
		}
		if told || pause == redialMin {
			f.o.Log.Warn().Err(err).Msg("roster lost: the last list stands")
			f.loop.Post(func() {
				f.engine.BeginWorkerList(router.ListFailed, f.version)
				f.engine.EndWorkerList()
			})
		}
		if told {
			pause = redialMin
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, redialMax)
	}
	return nil
}

// dial finds the first roster that answers.
func (f *Watcher) dial(ctx context.Context) (nc net.Conn, err error) {
	f.mu.Lock()
	sockets := f.sockets
	f.mu.Unlock()
	for _, socket := range sockets {
		if nc, err = (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "unix", socket); err == nil {
			f.mu.Lock()
			f.current, f.at = nc, socket
			stale := !slices.Contains(f.sockets, socket)
			f.mu.Unlock()
			if stale { // the settings changed meanwhile
				nc.Close()
			}
			return nc, nil
		}
	}
	return nil, err
}

// watch serves one connection to the roster; told: at least one list came.
func (f *Watcher) watch(ctx context.Context) (told bool, err error) {
	nc, err := f.dial(ctx)
	if err != nil {
		return false, err
	}
	defer nc.Close()
	stop := context.AfterFunc(ctx, func() { nc.Close() })
	defer stop()
	params := append(jsonrpc.AppendString([]byte(`{"front_end":`), f.o.FrontEnd), '}')
	hello := jsonrpc.AppendFrame(nil, jsonrpc.AppendRequest(nil, nil, "roster.watch", params), false)
	if _, err := nc.Write(hello); err != nil {
		return false, err
	}
	r := jsonrpc.NewReader(nc, maxList)
	var dec jsonrpc.Decoder
	p := &peer{f: f, acks: make(chan uint64, 1)}
	done := make(chan struct{})
	defer func() { nc.Close(); close(p.acks); <-done }()
	go func() { defer close(done); acknowledge(nc, p.acks) }()
	for p.err == nil {
		value, err := r.Next()
		if err != nil {
			return p.told, err
		}
		dec.Decode(value, p)
	}
	return p.told, p.err
}

// acknowledge says which version the engine was told of; of several at once the last is enough.
func acknowledge(nc net.Conn, versions <-chan uint64) {
	for version := range versions {
		params := append(strconv.AppendUint([]byte(`{"version":`), version, 10), '}')
		value := jsonrpc.AppendFrame(nil, jsonrpc.AppendRequest(nil, nil, "roster.told", params), false)
		if _, err := nc.Write(value); err != nil {
			nc.Close()
		}
	}
}

type peer struct {
	jsonrpc.IgnoreBatches
	f    *Watcher
	acks chan uint64
	told bool
	err  error
}

// HandleInvalid implements jsonrpc.Peer.
func (p *peer) HandleInvalid(_ jsonrpc.ID, _ int, message string) {
	p.err = errors.New("nonsense from the roster: " + message)
}

// HandleResponse implements jsonrpc.Peer.
func (p *peer) HandleResponse(jsonrpc.ID, []byte, int, string, []byte) {}

// HandleRequest implements jsonrpc.Peer.
func (p *peer) HandleRequest(_ jsonrpc.ID, method string, params []byte) {
	if method != "roster.list" {
		return
	}
	version, whole := 0.0, false
	var workers []entry
	err := jsonrpc.ForEachMember(params, func(name []byte, v jsontext.Value) (err error) {
		switch string(name) {
		case "version":
			version, _ = jsonrpc.ParseNumber(v)
		case "whole":
			whole = v.Kind() == 't'
		case "workers":
			err = json.Unmarshal(v, &workers)
		}
		return err
	})
	if err == nil {
		err = checkList(workers)
	}
	if err != nil {
		p.err = fmt.Errorf("list %v of the roster: %w", version, err)
		return
	}
	p.told = true
	form := router.ListChanges
	if whole {
		form = router.ListComplete
	}
	applied := make(chan struct{})
	if !p.f.loop.Post(func() {
		p.f.apply(form, uint64(version), workers)
		close(applied)
	}) {
		p.err = net.ErrClosed
		return
	}
	<-applied // what came with this version binds from now on
	p.acks <- uint64(version)
}

func checkList(workers []entry) error {
	names := make([]string, len(workers))
	for i, w := range workers {
		if names[i] = w.Name; w.Name == "" || w.Socket == "" {
			return fmt.Errorf("worker %d has no name or no socket", i)
		}
		if _, known := states[w.State]; !known {
			return fmt.Errorf("worker %q: unknown state %.40q", w.Name, w.State)
		}
	}
	return nameid.CheckDistinct(names, nameid.Worker)
}

// apply brings a list to the engine; in a turn.
func (f *Watcher) apply(form router.ListUpdate, version uint64, workers []entry) {
	f.version = version
	f.engine.BeginWorkerList(form, version)
	named := map[string]bool{}
	for _, w := range workers {
		named[w.Name] = true
		l := f.lives[w.Name]
		if l.life != w.Life {
			l = life{life: w.Life}
			if now := f.loop.Now(); w.AgeMs >= 0 && w.AgeMs*10 < float64(now) {
				l.started = now - router.Time(w.AgeMs*10)
			}
			f.lives[w.Name] = l
		}
		f.list(w)
	}
	if form == router.ListComplete {
		for _, name := range f.order {
			if e := f.entries[name]; !named[name] && !e.static && e.State != "gone" {
				e.State = "gone"
				f.entries[name] = e
				f.links.Remove(name)
			}
		}
	}
	f.listStatic()
	f.engine.EndWorkerList()
	if form != router.ListCached {
		f.once.Do(func() { close(f.told) })
	}
	f.o.Log.Debug().Uint64("version", version).Int("entries", len(workers)).Msg("list of workers")
	f.save()
}

// save hands the list to be written; only the latest is.
func (f *Watcher) save() {
	if f.o.Cache == "" {
		return
	}
	list := make([]entry, 0, len(f.order))
	now := f.loop.Now()
	for _, name := range f.order {
		e := f.entries[name]
		if e.State == "gone" || e.static {
			continue
		}
		if started := f.lives[name].started; started > 0 {
			e.AgeMs = float64(now-started) / 10
		}
		list = append(list, e)
	}
	select {
	case <-f.saves:
	default:
	}
	f.saves <- list
}

// WriteCache writes the lists that come to the cache file until the context ends.
func (f *Watcher) WriteCache(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case list := <-f.saves:
			if err := f.writeCache(list); err != nil {
				f.o.Log.Warn().Err(err).Msg("list not kept")
			}
		}
	}
}

func (f *Watcher) writeCache(list []entry) error {
	text, err := json.Marshal(cacheFile{SavedUnixMs: time.Now().UnixMilli(), Workers: list})
	if err != nil {
		return err
	}
	tmp, err := os.CreateTemp(filepath.Dir(f.o.Cache), filepath.Base(f.o.Cache)+".*")
	if err != nil {
		return err
	}
	defer os.Remove(tmp.Name())
	_, err = tmp.Write(text)
	if err2 := tmp.Close(); err == nil {
		err = err2
	}
	if err != nil {
		return err
	}
	return os.Rename(tmp.Name(), f.o.Cache)
}

func (f *Watcher) loadCache() {
	if f.o.Cache == "" {
		return
	}
	text, err := os.ReadFile(f.o.Cache)
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	var c cacheFile
	if err == nil {
		err = json.Unmarshal(text, &c)
	}
	if err == nil {
		err = checkList(c.Workers)
	}
	if err != nil {
		f.o.Log.Warn().Err(err).Str("file", f.o.Cache).Msg("the kept list is not used")
		return
	}
	since := max(0, float64(time.Now().UnixMilli()-c.SavedUnixMs))
	for i := range c.Workers {
		if c.Workers[i].AgeMs >= 0 {
			c.Workers[i].AgeMs += since
		}
	}
	f.loop.Post(func() { f.apply(router.ListCached, 0, c.Workers) })
}
