package gateway

import (
	"os"
	"runtime"
	"strconv"
	"strings"

	"github.com/go-json-experiment/json"

	"mallowlanding/internal/configclient"
	"mallowlanding/internal/dispatch"
	"mallowlanding/internal/engine"
	"mallowlanding/internal/settings"
)

// Status is what a front end tells of itself over its socket (rpc.status).
type Status struct {
	Name    string        `json:"name"`
	Number  int           `json:"number"`
	Of      int           `json:"of"`
	Counts  engine.Counts `json:"counts"`
	Waiting int           `json:"waiting"` // at the gate
	Leaving bool          `json:"leaving"`
	Process Process       `json:"process"`
	Config  *Config       `json:"configuration,omitempty"` // nil: no control service is named
}

// Config is where a front end's configuration stands.
type Config struct {
	configclient.Status
	AppliedUs float64 `json:"applied_us"` // how long the turn stood that took the last version over
}

// Process is what the front end's process has used since it began.
type Process struct {
	Allocated   uint64 `json:"allocated_bytes"`
	Allocations uint64 `json:"allocations"`
	Heap        uint64 `json:"heap_bytes"`
	Collections uint32 `json:"collections"`
	Read        uint64 `json:"read_bytes"`    // by system calls, sockets and files alike; 0: the system does not tell
	Written     uint64 `json:"written_bytes"` // likewise
}

// status is told in a turn.
func status(f *settings.FrontEnd, e *engine.Engine, desk *dispatch.Dispatcher, cf *configured) []byte {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	s := Status{Name: f.Name, Number: f.Number, Of: f.FrontEnds, Counts: e.Counts(), Waiting: desk.Waiting(), Leaving: desk.Draining(),
		Process: Process{Allocated: m.TotalAlloc, Allocations: m.Mallocs, Heap: m.HeapAlloc, Collections: m.NumGC}}
	if cf.steer != nil {
		s.Config = &Config{Status: cf.steer.Status(), AppliedUs: float64(cf.took.Load()) / 1000}
	}
	s.Process.Read, s.Process.Written = moved()
	b, err := json.Marshal(s)
	if err != nil { // a struct of numbers and words
		return []byte("null")
	}
	return b
}

// moved reads what the process's system calls have read and written.
func moved() (read, written uint64) {
	text, err := os.ReadFile("/proc/self/io")
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(text)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		n, _ := strconv.ParseUint(value, 10, 64)
		switch name {
		case "rchar":
			read = n
		case "wchar":
			written = n
		}
	}
	return read, written
}
