// Package feed follows the platform's journal service: numbered events that tell how the list of workers changes. An
// answer counts once it was read whole and is valid; the number of the last event that counted is asked from.
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

// What the service would have told counts as told so long after it can no longer be reached, after a reload that names
// another service, after it breaks off in the middle of an answer, and after the wait that it was asked for where it
// says nothing: the protocol's figures. They run on until an ask that begins later is answered.
const (
	SilenceExpiry = 7 * time.Second
	ReloadExpiry  = 4 * time.Second
	breakClock    = 2 * time.Second
	waitClock     = 2 * time.Second
)

const (
	wait      = time.Second      // how long the service may hold an ask; silence is noticed soon after
	waitFirst = time.Millisecond // the same where the list is not confirmed: what is known then counts, not what will come
	// For a connection, and for an answer's way beyond the wait; doubling while answers are late: a service that is slow
	// each time must get through at last. What a silent service has to tell counts as told 2 s after the wait.
	slackMin  = 300 * time.Millisecond
	slackMost = 4 * slackMin
	pauseMin  = 10 * time.Millisecond  // before asking again after a break, doubling
	pauseMost = 200 * time.Millisecond // last one
	bodyMost  = 4 << 20                // of one answer
	gapsMost  = 2                      // times that a gap in the numbers is asked about
)

// Worker is an entry of an event, as it goes to the list.
type Worker struct {
	Name, Address string
	State         router.Readiness
	StartedMs     int64 // Unix; 0: long ago
	Zone, Kind    string
	Cell          int
}

// Event is one change of the list of workers, or a whole list.
type Event struct {
	Form    router.ListUpdate
	Pos     uint64
	Workers []Worker
}

// EventHandler takes over what one answer told: events that are whole and valid alone, in their order, or none. With them the list
// is whole and true as of a time; the zero time: nobody knows as of when. It is called from one goroutine at a time.
type EventHandler func(events []Event, asOf time.Time)

// ExpiryHandler tells that what the service knew at a time counts as told by another one, unless an ask that begins after the
// first is answered.
type ExpiryHandler func(since, by time.Time)

// Feed follows one journal service after the other.
type Feed struct {
	list  EventHandler
	lapse ExpiryHandler
	log   zerolog.Logger
	pos   uint64 // the last event that counted
	gaps  int    // answers in a row that left events out
	// Events were left out for good: what they told is not known, until a whole list comes.
	incomplete bool
	answers    bool // the service at the address answered the last ask

	slack time.Duration

	mu      sync.Mutex
	address string
	conn    *httpconn.Conn
	again   bool // the ask that is out is given up for a new one
}

// New follows the service at an address once it runs.
func New(address string, list EventHandler, lapse ExpiryHandler, log zerolog.Logger) *Feed {
	return &Feed{address: address, list: list, lapse: lapse, log: log, slack: slackMin}
}

// SetAddress follows the service at another address from now on; the numbers go on.
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

// AskAgain gives up the ask that is out and asks anew: an answer on its way may be older than one asked for now.
func (f *Feed) AskAgain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.again = true; f.conn != nil {
		f.conn.Close()
	}
}

// refreshed tells whether a new ask is wanted since the last time that it was asked.
func (f *Feed) refreshed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	was := f.again
	f.again = false
	return was
}

// Run asks until the context ends.
func (f *Feed) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, f.closeConn)
	defer f.closeConn() // one that was made while the context ended
	defer stop()
	pause := pauseMin
	outage := outage{log: f.log, answered: time.Now()}
	for ctx.Err() == nil {
		began := time.Now()
		err := f.ask(ctx)
		if err == nil {
			outage.over(began, f.pos)
			pause = pauseMin
			continue
		}
		if ctx.Err() != nil {
			return
		}
		outage.failed(err, f.pos)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, pauseMost)
	}
}

// ask has one answer taken over.
func (f *Feed) ask(ctx context.Context) error {
	if f.refreshed() {
		f.answers = false
	}
	f.mu.Lock()
	conn, address := f.conn, f.address
	f.mu.Unlock()
	if conn != nil && !conn.Reusable() {
		f.drop(conn)
		conn = nil
	}
	if conn == nil {
		var err error
		if conn, err = httpconn.Dial(ctx, address, slackMin); err != nil {
			return err
		}
		f.mu.Lock()
		f.conn = conn
		f.mu.Unlock()
		if f.moved(address) {
			f.drop(conn)
			return nil
		}
	}
	tail := f.pos
	if f.gaps > 0 { // what was left out is told again with all that came before it
		tail = 0
	}
	b := strconv.AppendUint([]byte("GET /journal?tail="), tail, 10)
	hold := wait
	if !f.answers {
		hold = waitFirst
	}
	b = strconv.AppendInt(append(b, "&max_wait="...), hold.Milliseconds(), 10)
	b = append(append(append(b, " HTTP/1.1\r\nHost: "...), address...), "\r\n\r\n"...)
	began := time.Now()
	a, again, err := conn.Exchange(b, began.Add(wait+f.slack), bodyMost)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		f.slack = min(2*f.slack, slackMost)
		f.lapse(time.Now(), began.Add(hold+waitClock))
	case errors.Is(err, httpconn.ErrBadAnswer):
		f.lapse(time.Now(), time.Now().Add(breakClock))
	case err == nil:
		f.slack = slackMin
	}
	was := f.pos
	if err == nil {
		err = f.answered(address, a, began)
	}
	f.answers = err == nil
	if err != nil || !again {
		f.drop(conn)
	}
	if f.moved(address) || err != nil && f.refreshed() { // that we broke off tells nothing of the service
		f.answers = false
		return nil
	}
	if err == nil && f.pos == was && hold == wait && time.Since(began) < wait/2 { // it does not hold asks: don't ask all the time
		time.Sleep(pauseMin)
	}
	return err
}

// answered takes over an answer of the service at an address. Once another is followed it doesn't count, though it was
// read whole: the new one tells it again.
func (f *Feed) answered(address string, a httpconn.Answer, asked time.Time) error {
	switch {
	case f.moved(address):
		return errors.New("the service has moved")
	case a.Status != http.StatusOK:
		return fmt.Errorf("status %d", a.Status)
	}
	return f.Apply(a.Body, asked)
}

// moved tells whether another service is followed by now than that at an address.
func (f *Feed) moved(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.address != address
}

func (f *Feed) drop(conn *httpconn.Conn) {
	conn.Close()
	f.mu.Lock()
	if f.conn == conn {
		f.conn = nil
	}
	f.mu.Unlock()
}

// Apply takes over what an answer, or the configuration, tells: nothing of it where it is not valid as a whole. What
// is known by its number is passed over. After a gap in the numbers all was asked for anew: then all of it counts as one
// whole list, and if the gap is there still, what comes behind it counts, too: a drain told there is better known.
//
// An answer confirms the list as of when it was asked for: what it says it knew at some time after that, and nobody can
// tell when. It confirms nothing where the service knows of other events than we do then, or events are missing. Asked is
// the zero time where nobody can tell when the text was true, as of the configuration's.
func (f *Feed) Apply(text []byte, asked time.Time) error {
	var all map[string]any
	if err := json.Unmarshal(text, &all); err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	entries, is := all["entries"].([]any)
	if !is {
		return fmt.Errorf(`journal: "entries" is missing`)
	}
	anew := f.gaps > 0
	var events []Event
	incomplete := f.incomplete
	last := f.pos
	if anew {
		last = 0
	}
	for i, e := range entries {
		entry, _ := e.(map[string]any)
		pos, is := entry["pos"].(float64)
		if !is || pos < 1 || pos != math.Trunc(pos) || pos > 1<<53 {
			return fmt.Errorf(`journal: entry %d: "pos" is missing`, i)
		}
		if uint64(pos) <= last {
			continue
		}
		hosts, is := entry["hosts"].(map[string]any)
		if !is { // of another kind than ours
			last = uint64(pos)
			continue
		}
		form := router.ListChanges
		if whole, _ := hosts["reset"].(bool); whole {
			form, incomplete = router.ListComplete, false
		} else if uint64(pos) != last+1 {
			if f.gaps < gapsMost {
				f.gaps++
				return fmt.Errorf("journal: entry %d: event %d follows event %d", i, uint64(pos), last)
			}
			incomplete = true
		}
		workers, err := f.workers(hosts["instances"])
		if err != nil {
			return fmt.Errorf("journal: entry %d: %w", i, err)
		}
		last = uint64(pos)
		events = append(events, Event{form, last, workers})
	}
	if anew {
		events = fold(events)
	}
	if anew && last < f.pos { // it told less than is known: the gap may be told later
		return fmt.Errorf("journal: events up to %d are told, %d are known", last, f.pos)
	}
	asOf := asked
	if known, told := all["pos"].(float64); !told || known != float64(last) || incomplete {
		asOf = time.Time{}
	}
	f.list(events, asOf)
	f.pos, f.gaps, f.incomplete = last, 0, incomplete
	return nil
}

// fold makes one event of many: a replay from the start must not bring back, even for a moment, what is gone.
func fold(events []Event) []Event {
	if len(events) == 0 {
		return nil
	}
	out := Event{Form: router.ListChanges, Pos: events[len(events)-1].Pos}
	at := map[string]int{}
	for _, e := range events {
		if e.Form == router.ListComplete {
			out.Form, out.Workers = router.ListComplete, nil
			clear(at)
		}
		for _, w := range e.Workers {
			i, known := at[w.Name]
			if !known {
				at[w.Name] = len(out.Workers)
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

// workers reads a list of instances; one of a state that is unknown is left out.
func (f *Feed) workers(instances any) (out []Worker, err error) {
	list, _ := instances.([]any)
	for i, instance := range list {
		m, _ := instance.(map[string]any)
		word := func(name string) string { s, _ := m[name].(string); return s }
		number := func(name string) float64 { n, _ := m[name].(float64); return n }
		w := Worker{Name: word("instanceId"), Address: word("hostPort"), Zone: word("zone"), Kind: word("machineType"),
			Cell: int(number("cell")), StartedMs: int64(number("startedAtMs"))}
		if w.Name == "" {
			return nil, fmt.Errorf(`instance %d: "instanceId" is missing`, i)
		}
		switch state := word("lifecycle"); state {
		case "active":
			w.State = router.Ready
		case "leaving":
			w.State = router.Draining
		case "left":
			w.State = router.Removed
		default:
			f.log.Warn().Str("worker", w.Name).Str("lifecycle", state).Msg("unknown state, left out")
			continue
		}
		out = append(out, w)
	}
	return out, nil
}
