// Package feed follows the platform's journal service: numbered events that tell how the list of workers changes. An
// answer counts once it was read whole and is valid; the number of the last event that counted is asked from.
package feed

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"mallowlanding/internal/hop"
	"mallowlanding/router"
)

const (
	wait      = time.Second            // how long the service may hold an ask; silence is noticed soon after
	slack     = 300 * time.Millisecond // for the answer's way, beyond the wait
	pauseMin  = 10 * time.Millisecond  // before asking again after a break, doubling
	pauseMost = 200 * time.Millisecond // last one
	bodyMost  = 4 << 20                // of one answer
)

// Worker is an entry of an event, as it goes to the list.
type Worker struct {
	Name, Address string
	State         router.Readiness
	StartedMs     int64 // Unix; 0: long ago
	Zone, Kind    string
	Cell          int
}

// List takes events over. It is called from one goroutine at a time, with whole and valid events alone, in their order.
type List func(form router.ListForm, pos uint64, workers []Worker)

// Feed follows one journal service after the other.
type Feed struct {
	list List
	log  zerolog.Logger
	pos  uint64 // the last event that counted

	mu      sync.Mutex
	address string
	conn    *hop.Conn
}

// New follows the service at an address once it runs.
func New(address string, list List, log zerolog.Logger) *Feed {
	return &Feed{address: address, list: list, log: log}
}

// Move follows the service at another address from now on; the numbers go on.
func (f *Feed) Move(address string) {
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

// Run asks until the context ends.
func (f *Feed) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.conn != nil {
			f.conn.Close()
		}
	})
	defer stop()
	pause, broken := pauseMin, false
	for ctx.Err() == nil {
		err := f.ask(ctx)
		if err == nil {
			if broken {
				f.log.Info().Uint64("pos", f.pos).Msg("the journal service tells again")
			}
			pause, broken = pauseMin, false
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if !broken {
			f.log.Warn().Err(err).Uint64("pos", f.pos).Msg("the journal service does not tell")
		}
		broken = true
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, pauseMost)
	}
}

// ask has one answer taken over.
func (f *Feed) ask(ctx context.Context) error {
	f.mu.Lock()
	conn, address := f.conn, f.address
	f.mu.Unlock()
	if conn == nil || !conn.Clean() {
		var err error
		if conn, err = hop.Dial(ctx, address, slack); err != nil {
			return err
		}
		f.mu.Lock()
		moved := f.address != address
		f.conn = conn
		f.mu.Unlock()
		if moved {
			f.drop(conn)
			return nil
		}
	}
	b := strconv.AppendUint([]byte("GET /journal?tail="), f.pos, 10)
	b = strconv.AppendInt(append(b, "&max_wait="...), wait.Milliseconds(), 10)
	b = append(append(append(b, " HTTP/1.1\r\nHost: "...), address...), "\r\n\r\n"...)
	began := time.Now()
	a, again, err := conn.Exchange(b, began.Add(wait+slack), bodyMost)
	if err == nil && a.Status != http.StatusOK {
		err = fmt.Errorf("status %d", a.Status)
	}
	was := f.pos
	if err == nil {
		err = f.Apply(a.Body)
	}
	if err != nil || !again {
		f.drop(conn)
	}
	if err == nil && f.pos == was && time.Since(began) < wait/2 { // it does not hold asks: don't ask all the time
		time.Sleep(pauseMin)
	}
	return err
}

func (f *Feed) drop(conn *hop.Conn) {
	conn.Close()
	f.mu.Lock()
	if f.conn == conn {
		f.conn = nil
	}
	f.mu.Unlock()
}

// Apply takes over what an answer, or the configuration, tells: nothing of it where it is not valid as a whole. What
// is known by its number is passed over.
func (f *Feed) Apply(text []byte) error {
	var all map[string]any
	if err := json.Unmarshal(text, &all); err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	entries, is := all["entries"].([]any)
	if !is {
		return fmt.Errorf(`journal: "entries" is missing`)
	}
	type event struct {
		form    router.ListForm
		pos     uint64
		workers []Worker
	}
	var events []event
	last := f.pos
	for i, e := range entries {
		entry, _ := e.(map[string]any)
		pos, is := entry["pos"].(float64)
		if !is || pos < 1 {
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
		form := router.Changes
		if whole, _ := hosts["reset"].(bool); whole {
			form = router.Whole
		} else if uint64(pos) != last+1 {
			return fmt.Errorf("journal: entry %d: event %d follows event %d", i, uint64(pos), last)
		}
		workers, err := f.workers(hosts["instances"])
		if err != nil {
			return fmt.Errorf("journal: entry %d: %w", i, err)
		}
		last = uint64(pos)
		events = append(events, event{form, last, workers})
	}
	for _, e := range events {
		f.list(e.form, e.pos, e.workers)
	}
	f.pos = last
	return nil
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
			w.State = router.Gone
		default:
			f.log.Warn().Str("worker", w.Name).Str("lifecycle", state).Msg("unknown state, left out")
			continue
		}
		out = append(out, w)
	}
	return out, nil
}
