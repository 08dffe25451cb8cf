// Package record implements the logs in which workers, the roster and clients, but not front ends, record what they
// observe. A log is a file of JSON lines; each line is written at once, so that none is lost if the process is killed.
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

// Kinds of records, by the source that writes them.
const (
	// workers
	WorkerStarted    = "began"   // a worker started; ColdMS is the length of its cold start
	RequestReceived  = "request" // the worker received an RPC; WorkMS is the mean work of its method
	LoadOrdered      = "hold"    // the worker received a load order for N copies
	RequestEnded     = "ended"   // the worker responded to an RPC; N is the error code, 0 for ok
	WorkDone         = "worked"  // an RPC released its core; DurationMS is how long it had it
	EffectApplied    = "effect"  // the effect of an RPC happened
	EffectDropped    = "dropped" // the effect of a repeat was dropped, because of its token
	WorkerOverloaded = "fell"    // the cold worker failed: it was sent WorkMS of work, and could do DurationMS
	// the roster
	StateSent = "told" // a worker's state was sent to a front end
	// clients, and the program that starts and stops front ends
	RPCSent        = "sent"     // a client sent an RPC; DurationMS is how long it waits
	RPCAnswered    = "answer"   // the client received the answer; Outcome is ok, denied or aborted
	ClientLeft     = "quit"     // the client left
	ConnectionLost = "lost"     // the connection ended before the answer came
	ProcessPaused  = "stopped"  // a front end's process was suspended
	ProcessResumed = "resumed"  // a suspended front end's process continued
	ProcessEnded   = "killed"   // a front end's process was killed or has exited
	ProcessStarted = "restarts" // a front end's process started
)

// Record is one line of a log. UnixNS is the machine's clock, in ns since 1970; all processes of a rehearsal share it.
// Fields whose names end in MS are in milliseconds.
type Record struct {
	UnixNS     int64          `json:"t"`
	Kind       string         `json:"kind"`
	Source     string         `json:"who,omitempty"` // who wrote the record: the name of a worker, "roster", "client", ...
	FrontEnd   string         `json:"front_end,omitempty"`
	Worker     string         `json:"worker,omitempty"`
	Zone       string         `json:"zone,omitempty"`
	Cell       string         `json:"cell,omitempty"`
	RPC        string         `json:"rpc,omitempty"` // the mark by which the client identifies one try, from the payload
	Method     string         `json:"method,omitempty"`
	Function   string         `json:"function,omitempty"`
	Token      string         `json:"token,omitempty"`
	Outcome    string         `json:"outcome,omitempty"`
	State      string         `json:"state,omitempty"`
	N          int            `json:"n,omitempty"` // see the kinds of records
	DurationMS float64        `json:"time_ms,omitempty"`
	WorkMS     float64        `json:"cost_ms,omitempty"` // core time of the work
	ColdMS     float64        `json:"cold_ms,omitempty"`
	ColdFrom   float64        `json:"cold_from,omitempty"` // the share of its speed that a cold worker starts with
	Cores      float64        `json:"cores,omitempty"`     // of the worker, times their speed
	Payload    jsontext.Value `json:"payload,omitempty"`
	// ArrivedNS is, for what a worker received, when its first byte had reached the worker's socket, in ns since 1970.
	// It is 0 if the worker read it at once.
	ArrivedNS int64 `json:"arrived,omitempty"`
}

// SentNS returns by when what a worker received had been sent.
func (r *Record) SentNS() int64 {
	if r.ArrivedNS > 0 {
		return r.ArrivedNS
	}
	return r.UnixNS
}

// Log writes records to a file. A nil Log discards them. It is safe for concurrent use.
type Log struct {
	mu  sync.Mutex
	out *os.File
}

// Open opens a file for appending records; for an empty name it returns a nil Log.
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

// Add writes a record with a single system call. It sets the time to now if the record has none.
func (l *Log) Add(r Record) error {
	if l == nil {
		return nil
	}
	if r.UnixNS == 0 {
		r.UnixNS = time.Now().UnixNano()
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

// Close closes the log's file.
func (l *Log) Close() error {
	if l == nil {
		return nil
	}
	return l.out.Close()
}

// Read reads the records of a file. It ignores an incomplete last line, which a killed process may leave.
func Read(file string) ([]Record, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var out []Record
	r := bufio.NewReader(f)
	for line := 1; ; line++ {
		text, err := r.ReadBytes('\n')
		if err == io.EOF {
			return out, nil
		}
		if err != nil {
			return nil, err
		}
		var rec Record
		if err := json.Unmarshal(text, &rec); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", file, line, err)
		}
		out = append(out, rec)
	}
}
