// Package rosterwatch keeps a front end's worker list equal to the roster's: it subscribes to the roster, applies
// changes to the engine and the worker links, acknowledges each applied version, and saves the last list to disk for
// the next start.
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

// Options configure a Watcher.
type Options struct {
	FrontEnd string
	Sockets  []string // of rosters; the first that accepts a connection is watched
	Cache    string   // file for the last list; empty: it is not saved
	Zone     func(string) router.ZoneID
	Cell     func(string) router.CellID
	Kind     func(string) router.KindID
	Static   []StaticWorker
	Log      zerolog.Logger
}

// maxListBytes is the maximum size of one worker list: enough for some hundred thousand workers.
const maxListBytes = 64 << 20

// Pauses between attempts to connect to the roster; they double from redialMin to redialMax.
const (
	redialMin = 50 * time.Millisecond
	redialMax = 2 * time.Second
)

// entry is one worker as last listed by the roster, the cache file or the settings. The cache file holds entries.
type entry struct {
	Name   string  `json:"name"`
	Socket string  `json:"socket"`
	State  string  `json:"state"`
	Zone   string  `json:"zone,omitempty"`
	Cell   string  `json:"cell,omitempty"`
	Kind   string  `json:"kind,omitempty"`
	Life   int64   `json:"life"`   // identifies one run of the worker: its start by the roster's clock, ms since 1970
	AgeMs  float64 `json:"age_ms"` // time since that start when the list was sent; below 0: a long time
	static bool    // listed by the settings and not by a roster
}

// StaticWorker is a worker listed in the settings. It counts as ready unless the roster reports another state.
type StaticWorker struct{ Name, Socket, Zone, Cell, Kind string }

// cacheFile is the content of the file in which the last list is saved.
type cacheFile struct {
	SavedUnixMs int64   `json:"saved_unix_ms"`
	Workers     []entry `json:"workers"`
}

// lifetime is one run of a worker and its start by the event loop's clock.
type lifetime struct {
	id      int64
	started router.Time
}

// Watcher watches one roster at a time. Its worker list is used on the event loop's goroutine only; mu guards the
// fields of the connection.
type Watcher struct {
	opts          Options
	loop          *eventloop.Loop
	engine        *engine.Engine
	links         *workerlink.Set
	entries       map[string]entry
	order         []string
	lives         map[string]lifetime
	version       uint64
	cacheWrites   chan []entry
	listReceived  chan struct{}
	receivedOnce  sync.Once
	staticWorkers map[string]entry

	mu         sync.Mutex
	sockets    []string
	conn       net.Conn // connection to the roster
	connSocket string   // socket that conn is connected to
}

// New returns a Watcher. Run starts it.
func New(loop *eventloop.Loop, e *engine.Engine, links *workerlink.Set, opts Options) *Watcher {
	return &Watcher{opts: opts, loop: loop, engine: e, links: links, entries: map[string]entry{}, lives: map[string]lifetime{},
		cacheWrites: make(chan []entry, 1), listReceived: make(chan struct{}), staticWorkers: staticEntries(opts.Static), sockets: opts.Sockets}
}

func staticEntries(list []StaticWorker) map[string]entry {
	out := map[string]entry{}
	for _, w := range list {
		out[w.Name] = entry{Name: w.Name, Socket: w.Socket, State: "ready", Zone: w.Zone, Cell: w.Cell, Kind: w.Kind,
			AgeMs: -1, static: true}
	}
	return out
}

// UpdateSettings applies new settings. All workers are listed again, because zones may have new ids. A static worker
// that the settings no longer list is removed unless the roster lists it. It runs in a turn of the event loop.
func (w *Watcher) UpdateSettings(opts Options) {
	w.opts.Zone, w.opts.Cell, w.opts.Kind = opts.Zone, opts.Cell, opts.Kind
	w.staticWorkers = staticEntries(opts.Static)
	w.engine.BeginWorkerList(router.ListChanges, w.version)
	for _, name := range w.order {
		e := w.entries[name]
		if _, listed := w.staticWorkers[name]; e.static && !listed {
			e.State = "gone"
		}
		w.updateWorker(e)
	}
	w.listStaticWorkers()
	w.engine.EndWorkerList()
	w.mu.Lock()
	w.sockets = opts.Sockets
	if w.conn != nil && !slices.Contains(opts.Sockets, w.connSocket) {
		w.conn.Close() // Run connects to another roster; the last list is used until that one sends its own
	}
	w.mu.Unlock()
}

// RosterState returns the state that the roster last reported for a worker, or "" if it has not listed the worker. It
// runs in a turn of the event loop.
func (w *Watcher) RosterState(name string) string {
	if e, known := w.entries[name]; known && !e.static {
		return e.State
	}
	return ""
}

// listStaticWorkers reports the static workers that the roster has not listed to the engine.
func (w *Watcher) listStaticWorkers() {
	names := make([]string, 0, len(w.staticWorkers))
	for name := range w.staticWorkers {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if w.RosterState(name) == "" {
			w.updateWorker(w.staticWorkers[name])
		}
	}
}

// updateWorker reports one listed worker to the engine, and adds or removes its link.
func (w *Watcher) updateWorker(e entry) {
	life := w.lives[e.Name]
	if err := w.engine.AddListedWorker(e.Name, readinessByState[e.State], life.started, w.opts.Zone(e.Zone), w.opts.Cell(e.Cell), w.opts.Kind(e.Kind)); err != nil {
		w.opts.Log.Error().Err(err).Msg("worker ignored: the engine rejects it")
		return
	}
	if _, known := w.entries[e.Name]; !known {
		w.order = append(w.order, e.Name)
	}
	w.entries[e.Name] = e
	if e.State == "gone" {
		w.links.Remove(e.Name)
		return
	}
	w.links.Add(e.Name, e.Socket, nameid.Worker(e.Name))
	if e.State == "draining" {
		w.links.Drain(e.Name)
	}
}

// Ready reports whether any listed worker is ready. It runs in a turn of the event loop.
func (w *Watcher) Ready() bool {
	for _, e := range w.entries {
		if e.State == "ready" {
			return true
		}
	}
	return false
}

// ListReceived returns a channel that is closed when a list from the roster, not from the cache, has been applied.
func (w *Watcher) ListReceived() <-chan struct{} { return w.listReceived }

var readinessByState = map[string]router.Readiness{"gone": router.Removed, "ready": router.Ready, "draining": router.Draining}

// Run watches the roster until the context ends. It starts with the cached list, if there is one.
func (w *Watcher) Run(ctx context.Context) error {
	w.loadList()
	pause := redialMin
	for ctx.Err() == nil {
		received, err := w.watch(ctx)
		if ctx.Err() != nil {
			break
		}
		if received || pause == redialMin {
			w.opts.Log.Warn().Err(err).Msg("no connection to the roster; using the last worker list")
			w.loop.Post(func() {
				w.engine.BeginWorkerList(router.ListFailed, w.version)
				w.engine.EndWorkerList()
			})
		}
		if received {
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

// dial connects to the first roster that accepts a connection.
func (w *Watcher) dial(ctx context.Context) (nc net.Conn, err error) {
	w.mu.Lock()
	sockets := w.sockets
	w.mu.Unlock()
	for _, socket := range sockets {
		if nc, err = (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "unix", socket); err == nil {
			w.mu.Lock()
			w.conn, w.connSocket = nc, socket
			stale := !slices.Contains(w.sockets, socket)
			w.mu.Unlock()
			if stale { // the settings changed meanwhile
				nc.Close()
			}
			return nc, nil
		}
	}
	return nil, err
}

// watch serves one connection to the roster. received reports whether at least one valid list arrived.
func (w *Watcher) watch(ctx context.Context) (received bool, err error) {
	nc, err := w.dial(ctx)
	if err != nil {
		return false, err
	}
	defer nc.Close()
	stop := context.AfterFunc(ctx, func() { nc.Close() })
	defer stop()
	params := append(jsonrpc.AppendString([]byte(`{"front_end":`), w.opts.FrontEnd), '}')
	request := jsonrpc.AppendFrame(nil, jsonrpc.AppendRequest(nil, nil, "roster.watch", params), false)
	if _, err := nc.Write(request); err != nil {
		return false, err
	}
	r := jsonrpc.NewReader(nc, maxListBytes)
	var dec jsonrpc.Decoder
	handler := &connHandler{watcher: w, acks: make(chan uint64, 1)}
	done := make(chan struct{})
	defer func() { nc.Close(); close(handler.acks); <-done }()
	go func() { defer close(done); sendAcks(nc, handler.acks) }()
	for handler.err == nil {
		value, err := r.Next()
		if err != nil {
			return handler.listReceived, err
		}
		dec.Decode(value, handler)
	}
	return handler.listReceived, handler.err
}

// sendAcks sends the roster versions that have been applied. Of several that wait the last one is enough, because
// versions are applied in order.
func sendAcks(nc net.Conn, versions <-chan uint64) {
	for version := range versions {
		params := append(strconv.AppendUint([]byte(`{"version":`), version, 10), '}')
		value := jsonrpc.AppendFrame(nil, jsonrpc.AppendRequest(nil, nil, "roster.told", params), false)
		if _, err := nc.Write(value); err != nil {
			nc.Close()
		}
	}
}

// connHandler handles the messages of one connection to the roster.
type connHandler struct {
	jsonrpc.IgnoreBatches
	watcher      *Watcher
	acks         chan uint64
	listReceived bool
	err          error
}

// HandleInvalid implements jsonrpc.Handler. It ends the connection.
func (h *connHandler) HandleInvalid(_ jsonrpc.ID, _ int, message string) {
	h.err = errors.New("malformed message from the roster: " + message)
}

// HandleResponse implements jsonrpc.Handler. The watcher sends no requests that have a response.
func (h *connHandler) HandleResponse(jsonrpc.ID, []byte, int, string, []byte) {}

// HandleRequest implements jsonrpc.Handler. It applies roster.list and ignores other methods.
func (h *connHandler) HandleRequest(_ jsonrpc.ID, method string, params []byte) {
	if method != "roster.list" {
		return
	}
	version, complete, hasWorkers := 0.0, false, false
	var workers []entry
	err := jsonrpc.ForEachMember(params, func(name []byte, v jsontext.Value) (err error) {
		switch string(name) {
		case "version":
			version, _ = jsonrpc.ParseNumber(v)
		case "whole":
			complete = v.Kind() == 't'
		case "workers":
			hasWorkers = v.Kind() == '['
			err = json.Unmarshal(v, &workers)
		}
		return err
	})
	if err == nil && !hasWorkers {
		err = errors.New(`"workers" is missing`)
	}
	if err == nil {
		err = checkList(workers)
	}
	if err != nil {
		h.err = fmt.Errorf("invalid worker list, version %v: %w", version, err)
		return
	}
	h.listReceived = true
	update := router.ListChanges
	if complete {
		update = router.ListComplete
	}
	applied := make(chan struct{})
	if !h.watcher.loop.Post(func() {
		h.watcher.applyList(update, uint64(version), workers)
		close(applied)
	}) {
		h.err = net.ErrClosed
		return
	}
	<-applied // the acknowledgment means that the version is in effect
	h.acknowledge(uint64(version))
}

// acknowledge has a version sent to the roster in place of an earlier one that waits. A roster that reads slowly must not
// keep lists from being applied.
func (h *connHandler) acknowledge(version uint64) {
	select {
	case <-h.acks:
	default:
	}
	h.acks <- version // has room, since only this goroutine adds to it
}

func checkList(workers []entry) error {
	names := make([]string, len(workers))
	for i, w := range workers {
		if names[i] = w.Name; w.Name == "" || w.Socket == "" {
			return fmt.Errorf("worker at index %d has no name or no socket", i)
		}
		if _, known := readinessByState[w.State]; !known {
			return fmt.Errorf("worker %q: unknown state %.40q", w.Name, w.State)
		}
	}
	return nameid.CheckDistinct(names, nameid.Worker)
}

// applyList applies a list to the engine and the links, and queues it for the cache file. It runs in a turn of the
// event loop.
func (w *Watcher) applyList(update router.ListUpdate, version uint64, workers []entry) {
	w.version = version
	w.engine.BeginWorkerList(update, version)
	listed := map[string]bool{}
	for _, e := range workers {
		listed[e.Name] = true
		life := w.lives[e.Name]
		if life.id != e.Life {
			life = lifetime{id: e.Life}
			if now := w.loop.Now(); e.AgeMs >= 0 && e.AgeMs*10 < float64(now) {
				life.started = now - router.Time(e.AgeMs*10)
			}
			w.lives[e.Name] = life
		}
		w.updateWorker(e)
	}
	if update == router.ListComplete {
		for _, name := range w.order {
			if e := w.entries[name]; !listed[name] && !e.static && e.State != "gone" {
				e.State = "gone"
				w.entries[name] = e
				w.links.Remove(name)
			}
		}
	}
	w.listStaticWorkers()
	w.engine.EndWorkerList()
	if update != router.ListCached {
		w.receivedOnce.Do(func() { close(w.listReceived) })
	}
	w.opts.Log.Debug().Uint64("version", version).Int("entries", len(workers)).Msg("worker list applied")
	w.queueCacheWrite()
}

// queueCacheWrite queues the current list for WriteCache, replacing one that has not been written yet.
func (w *Watcher) queueCacheWrite() {
	if w.opts.Cache == "" {
		return
	}
	list := make([]entry, 0, len(w.order))
	now := w.loop.Now()
	for _, name := range w.order {
		e := w.entries[name]
		if e.State == "gone" || e.static {
			continue
		}
		if started := w.lives[name].started; started > 0 {
			e.AgeMs = float64(now-started) / 10
		}
		list = append(list, e)
	}
	select {
	case <-w.cacheWrites:
	default:
	}
	w.cacheWrites <- list
}

// WriteCache writes queued lists to the cache file until the context ends.
func (w *Watcher) WriteCache(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case list := <-w.cacheWrites:
			if err := w.saveList(list); err != nil {
				w.opts.Log.Warn().Err(err).Msg("cannot save the worker list")
			}
		}
	}
}

func (w *Watcher) saveList(list []entry) error {
	text, err := json.Marshal(cacheFile{SavedUnixMs: time.Now().UnixMilli(), Workers: list})
	if err != nil {
		return err
	}
	tmp, err := os.CreateTemp(filepath.Dir(w.opts.Cache), filepath.Base(w.opts.Cache)+".*")
	if err != nil {
		return err
	}
	defer os.Remove(tmp.Name())
	_, err = tmp.Write(text)
	if closeErr := tmp.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	return os.Rename(tmp.Name(), w.opts.Cache)
}

func (w *Watcher) loadList() {
	if w.opts.Cache == "" {
		return
	}
	text, err := os.ReadFile(w.opts.Cache)
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	var cached cacheFile
	if err == nil {
		err = json.Unmarshal(text, &cached)
	}
	if err == nil {
		err = checkList(cached.Workers)
	}
	if err != nil {
		w.opts.Log.Warn().Err(err).Str("file", w.opts.Cache).Msg("saved worker list is unreadable and not used")
		return
	}
	elapsed := max(0, float64(time.Now().UnixMilli()-cached.SavedUnixMs))
	for i := range cached.Workers {
		if cached.Workers[i].AgeMs >= 0 {
			cached.Workers[i].AgeMs += elapsed
		}
	}
	w.loop.Post(func() { w.applyList(router.ListCached, 0, cached.Workers) })
}
