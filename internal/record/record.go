// Package record is the form in which those that are not a front end keep what they saw: JSON lines, each written
// as it happens, so that what a killed process saw is kept.
package record

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// Kinds of records, by who keeps them.
const (
	// workers
	Began   = "began"   // a worker's life begins; Cold tells for how long, in ms
	Request = "request" // an RPC came; Cost is its method's mean work in core ms
	Hold    = "hold"    // a load order for N copies came
	Ended   = "ended"   // the worker answers an RPC; N is its error code, 0 for ok
	Worked  = "worked"  // an RPC gives its core back; Time is how long it had it, in ms
	Effect  = "effect"  // an RPC's effect happened
	Dropped = "dropped" // a repeat's effect was dropped by its token
	Fell    = "fell"    // the worker was pushed over
	// the roster
	Told = "told" // a state was sent to a front end
	// clients
	Sent     = "sent"     // an RPC left its client; Time is how long it waits, in ms
	Answer   = "answer"   // an answer came; Outcome is ok, denied or aborted
	Quit     = "quit"     // the client left
	Lost     = "lost"     // the connection broke, with the RPC open on it
	Stopped  = "stopped"  // a front end's process was stopped
	Resumed  = "resumed"  // and goes on
	Killed   = "killed"   // a front end's process was killed or has left
	Restarts = "restarts" // a front end's process began
)

// Record is one line. T is the machine's clock in ns since 1970: all processes of a rehearsal share it.
type Record struct {
	T        int64          `json:"t"`
	Kind     string         `json:"kind"`
	Who      string         `json:"who,omitempty"` // worker, roster or client
	FrontEnd string         `json:"front_end,omitempty"`
	Worker   string         `json:"worker,omitempty"`
	Zone     string         `json:"zone,omitempty"`
	Cell     string         `json:"cell,omitempty"`
	RPC      string         `json:"rpc,omitempty"` // the client's mark of one try, in its payload
	Method   string         `json:"method,omitempty"`
	Function string         `json:"function,omitempty"`
	Token    string         `json:"token,omitempty"`
	Outcome  string         `json:"outcome,omitempty"`
	State    string         `json:"state,omitempty"`
	N        int            `json:"n,omitempty"`
	Time     float64        `json:"time_ms,omitempty"`
	Cost     float64        `json:"cost_ms,omitempty"`
	Cold     float64        `json:"cold_ms,omitempty"`
	From     float64        `json:"cold_from,omitempty"`
	Cores    float64        `json:"cores,omitempty"`
	Payload  jsontext.Value `json:"payload,omitempty"`
}

// Log writes records to a file; nil writes nothing.
type Log struct {
	mu  sync.Mutex
	out *os.File
}

// Open appends to file; an empty name gives a nil Log.
func Open(file string) (*Log, error) {
	if file == "" {
		return nil, nil
	}
	out, err := os.OpenFile(file, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	return &Log{out: out}, nil
}

// Add writes one record with one system call. Its time is now where it has none.
func (l *Log) Add(r Record) error {
	if l == nil {
		return nil
	}
	if r.T == 0 {
		r.T = time.Now().UnixNano()
	}
	text, err := json.Marshal(r)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_, err = l.out.Write(append(text, '\n'))
	return err
}

// Close closes the file.
func (l *Log) Close() error {
	if l == nil {
		return nil
	}
	return l.out.Close()
}

// Read reads a file's records. A last line that is cut short, as a killed process may leave it, is passed over.
func Read(file string) ([]Record, error) {
	in, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer in.Close()
	var out []Record
	b := bufio.NewReader(in)
	for line := 1; ; line++ {
		text, err := b.ReadBytes('\n')
		if err == io.EOF {
			return out, nil
		}
		if err != nil {
			return nil, err
		}
		var r Record
		if err := json.Unmarshal(text, &r); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", file, line, err)
		}
		out = append(out, r)
	}
}
