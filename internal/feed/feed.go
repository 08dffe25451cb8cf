// Package feed follows the platform's journal service, which reports the changes of the worker list as numbered events.
// A response is applied once it has been read completely and is valid. Each request asks for the events after the last
// one that was applied.
package feed

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"mallowlanding/internal/httpconn"
	"mallowlanding/router"
)

// Time limits of the protocol. Once one has passed after a failure, the front end counts as informed of the changes that
// the service knew of at the failure, even if it has not received them. A request that is sent after the failure and is
// answered ends the time limit.
const (
	SilenceExpiry = 7 * time.Second // after the service has become unreachable
	ReloadExpiry  = 4 * time.Second // after a reload that names another service
	breakExpiry   = 2 * time.Second // after a response that broke off
	waitExpiry    = 2 * time.Second // after the requested wait, if there is no response
)

const (
	maxWait            = time.Second      // longest delay of a response by the service; silence is noticed soon after
	unconfirmedMaxWait = time.Millisecond // the same while the list is unconfirmed: its current state is needed at once
	// The slack is the time that a response may take beyond maxWait. It doubles from minSlack to maxSlack while
	// responses are late, so that a service that is always slow gets through in the end. It stays below waitExpiry,
	// which runs from the end of the requested wait. minSlack is also the time to connect.
	minSlack      = 300 * time.Millisecond
	maxSlack      = 4 * minSlack
	minPause      = 10 * time.Millisecond  // before the first retry after a failure; doubles with each further one
	maxPause      = 200 * time.Millisecond // upper limit of the pause
	maxBody       = 4 << 20                // bytes of one response
	maxGapRetries = 2                      // requests for a full replay after a gap in the event numbers
)

// Worker is the state of one worker in an event.
type Worker struct {
	Name, Address string
	State         router.Readiness
	StartedMs     int64 // Unix time in ms; 0: long ago
	Zone, Kind    string
	Cell          int
}

// Event holds changes of the worker list, or a full list.
type Event struct {
	Update  router.ListUpdate
	Pos     uint64
	Workers []Worker
}

// EventHandler applies the events of one response, in order; there may be none. With them the list is complete and
// correct as of the time asOf, or as of an unknown time if asOf is zero. Calls do not overlap.
type EventHandler func(events []Event, asOf time.Time)

// ExpiryHandler is called after a failure. From the time by on, the front end counts as informed of all that the service
// knew at the time since, unless a request that is sent after since is answered before.
type ExpiryHandler func(since, by time.Time)

// Feed follows a journal service, whose address may change.
type Feed struct {
	onEvents EventHandler
	onExpiry ExpiryHandler
	log      zerolog.Logger
	lastPos  uint64 // number of the last event that was applied
	gaps     int    // consecutive responses with a gap in the event numbers
	// Events are missing for good, so the list is incomplete until a full one arrives.
	incomplete    bool
	lastRequestOK bool // the last request to the service at the address was answered

	slack time.Duration

	mu           sync.Mutex
	address      string
	conn         *httpconn.Conn
	requestAgain bool // the request in flight is dropped for a new one
}

// New returns a Feed that follows the service at the address once Run is called.
func New(address string, onEvents EventHandler, onExpiry ExpiryHandler, log zerolog.Logger) *Feed {
	return &Feed{address: address, onEvents: onEvents, onExpiry: onExpiry, log: log, slack: minSlack}
}

// SetAddress follows the service at another address from now on. The numbering of events continues.
func (f *Feed) SetAddress(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if address == f.address {
		return
	}
	f.address = address
	if f.conn != nil {
		f.conn.Close()
	}
}

func (f *Feed) closeConn() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conn != nil {
		f.conn.Close()
	}
}

// RequestAgain drops the request in flight, whose response may be older than one that is requested now. It has a new
// one sent, which the service is asked to answer at once.
func (f *Feed) RequestAgain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.requestAgain = true; f.conn != nil {
		f.conn.Close()
	}
}

// takeRequestAgain reports whether RequestAgain has been called since the last call of takeRequestAgain.
func (f *Feed) takeRequestAgain() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	requested := f.requestAgain
	f.requestAgain = false
	return requested
}

// Run sends requests until the context ends.
func (f *Feed) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, f.closeConn)
	defer f.closeConn() // closes a connection opened while the context ended
	defer stop()
	pause := minPause
	outage := outage{log: f.log, lastAnsweredAt: time.Now()}
	for ctx.Err() == nil {
		began := time.Now()
		err := f.request(ctx)
		if err == nil {
			outage.requestSucceeded(began, f.lastPos)
			pause = minPause
			continue
		}
		if ctx.Err() != nil {
			return
		}
		outage.requestFailed(err, f.lastPos)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, maxPause)
	}
}

// request sends one request and applies its response.
func (f *Feed) request(ctx context.Context) error {
	if f.takeRequestAgain() {
		f.lastRequestOK = false
	}
	f.mu.Lock()
	conn, address := f.conn, f.address
	f.mu.Unlock()
	if conn != nil && !conn.Reusable() {
		f.dropConn(conn)
		conn = nil
	}
	if conn == nil {
		var err error
		if conn, err = httpconn.Dial(ctx, address, minSlack); err != nil {
			return err
		}
		f.mu.Lock()
		f.conn = conn
		f.mu.Unlock()
		if f.addressChanged(address) {
			f.dropConn(conn)
			return nil
		}
	}
	fromPos := f.lastPos
	if f.gaps > 0 { // request a replay from the start, to fill the gap
		fromPos = 0
	}
	b := strconv.AppendUint([]byte("GET /journal?tail="), fromPos, 10)
	requestWait := maxWait
	if !f.lastRequestOK {
		requestWait = unconfirmedMaxWait
	}
	b = strconv.AppendInt(append(b, "&max_wait="...), requestWait.Milliseconds(), 10)
	b = append(append(append(b, " HTTP/1.1\r\nHost: "...), address...), "\r\n\r\n"...)
	began := time.Now()
	resp, reusable, err := conn.Exchange(b, began.Add(maxWait+f.slack), maxBody)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		f.slack = min(2*f.slack, maxSlack)
		f.onExpiry(time.Now(), began.Add(requestWait+waitExpiry))
	case errors.Is(err, httpconn.ErrBadResponse):
		f.onExpiry(time.Now(), time.Now().Add(breakExpiry))
	case err == nil:
		f.slack = minSlack
	}
	posBefore := f.lastPos
	if err == nil {
		err = f.handleResponse(address, resp, began)
	}
	f.lastRequestOK = err == nil
	if err != nil || !reusable {
		f.dropConn(conn)
	}
	if f.addressChanged(address) || err != nil && f.takeRequestAgain() { // the feed itself closed the connection
		f.lastRequestOK = false
		return nil
	}
	// Don't request in a tight loop if the service answers at once instead of waiting for events.
	if err == nil && f.lastPos == posBefore && requestWait == maxWait && time.Since(began) < maxWait/2 {
		time.Sleep(minPause)
	}
	return err
}

// handleResponse applies a response of the service at the address. It ignores the response if the address has changed:
// the new service reports the same events.
func (f *Feed) handleResponse(address string, resp httpconn.Response, askedAt time.Time) error {
	switch {
	case f.addressChanged(address):
		return errors.New("the journal service's address has changed")
	case resp.Status != http.StatusOK:
		return fmt.Errorf("status %d", resp.Status)
	}
	return f.Apply(resp.Body, askedAt)
}

// addressChanged reports whether the feed no longer follows the service at the address.
func (f *Feed) addressChanged(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.address != address
}

func (f *Feed) dropConn(conn *httpconn.Conn) {
	conn.Close()
	f.mu.Lock()
	if f.conn == conn {
		f.conn = nil
	}
	f.mu.Unlock()
}

// Apply applies the events of a response or of the configuration, or none of them if one is invalid. It skips events
// with known numbers. After a gap in the numbers the feed requests all events again and merges them into a single one.
// If the gap remains after the last retry, the events behind it are applied all the same: they may report a drain.
//
// A response confirms the list as of the time of its request, askedAt: the service produced it at some unknown time
// after that. It confirms nothing if the service knows of other events than the feed, or if events are missing. askedAt
// is zero if nobody knows when the text was correct, as for the configuration's events.
func (f *Feed) Apply(text []byte, askedAt time.Time) error {
	var response map[string]any
	if err := json.Unmarshal(text, &response); err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	entries, ok := response["entries"].([]any)
	if !ok {
		return fmt.Errorf(`journal: "entries" is missing`)
	}
	replay := f.gaps > 0
	var events []Event
	incomplete := f.incomplete
	last := f.lastPos
	if replay {
		last = 0
	}
	for i, e := range entries {
		entry, _ := e.(map[string]any)
		pos, ok := entry["pos"].(float64)
		if !ok || pos < 1 || pos != math.Trunc(pos) || pos > 1<<53 {
			return fmt.Errorf(`journal: entry %d: "pos" is missing`, i)
		}
		if uint64(pos) <= last {
			continue
		}
		hosts, ok := entry["hosts"].(map[string]any)
		if !ok { // not an event of the worker list
			last = uint64(pos)
			continue
		}
		update := router.ListChanges
		if reset, _ := hosts["reset"].(bool); reset {
			update, incomplete = router.ListComplete, false
		} else if uint64(pos) != last+1 {
			if f.gaps < maxGapRetries {
				f.gaps++
				return fmt.Errorf("journal: entry %d: event %d follows event %d", i, uint64(pos), last)
			}
			incomplete = true
		}
		workers, err := f.parseWorkers(hosts["instances"])
		if err != nil {
			return fmt.Errorf("journal: entry %d: %w", i, err)
		}
		last = uint64(pos)
		events = append(events, Event{update, last, workers})
	}
	if replay {
		events = mergeEvents(events)
	}
	if replay && last < f.lastPos { // the replay is behind the feed; a later one may fill the gap
		return fmt.Errorf("journal: replay ends at event %d, event %d is known", last, f.lastPos)
	}
	asOf := askedAt
	if servicePos, ok := response["pos"].(float64); !ok || servicePos != float64(last) || incomplete {
		asOf = time.Time{}
	}
	f.onEvents(events, asOf)
	f.lastPos, f.gaps, f.incomplete = last, 0, incomplete
	return nil
}

// mergeEvents merges events into one with each worker's last state, so that a replay from the start does not list
// removed workers again, not even for a moment.
func mergeEvents(events []Event) []Event {
	if len(events) == 0 {
		return nil
	}
	out := Event{Update: router.ListChanges, Pos: events[len(events)-1].Pos}
	index := map[string]int{}
	for _, e := range events {
		if e.Update == router.ListComplete {
			out.Update, out.Workers = router.ListComplete, nil
			clear(index)
		}
		for _, w := range e.Workers {
			i, known := index[w.Name]
			if !known {
				index[w.Name] = len(out.Workers)
				out.Workers = append(out.Workers, w)
				continue
			}
			if w.Address == "" {
				w.Address = out.Workers[i].Address
			}
			out.Workers[i] = w
		}
	}
	return []Event{out}
}

// parseWorkers parses a list of instances and skips those in an unknown state. Without a list there are none.
func (f *Feed) parseWorkers(instances any) (out []Worker, err error) {
	list, isList := instances.([]any)
	if !isList && instances != nil {
		return nil, errors.New(`"instances" is not a list`)
	}
	for i, instance := range list {
		m, _ := instance.(map[string]any)
		text := func(name string) string { s, _ := m[name].(string); return s }
		number := func(name string) float64 { n, _ := m[name].(float64); return n }
		w := Worker{Name: text("instanceId"), Address: text("hostPort"), Zone: text("zone"), Kind: text("machineType"),
			Cell: int(number("cell")), StartedMs: int64(number("startedAtMs"))}
		if w.Name == "" {
			return nil, fmt.Errorf(`instance %d: "instanceId" is missing`, i)
		}
		switch state := text("lifecycle"); state {
		case "active":
			w.State = router.Ready
		case "leaving":
			w.State = router.Draining
		case "left":
			w.State = router.Removed
		default:
			f.log.Warn().Str("worker", w.Name).Str("lifecycle", state).Msg("worker skipped: unknown lifecycle state")
			continue
		}
		out = append(out, w)
	}
	return out, nil
}
