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

// Status is the result of rpc.status: the state of a front end.
type Status struct {
	Name    string        `json:"name"`
	Number  int           `json:"number"`
	Of      int           `json:"of"`
	Counts  engine.Counts `json:"counts"`
	Waiting int           `json:"waiting"` // RPCs queued for admission
	Leaving bool          `json:"leaving"`
	Process Process       `json:"process"`
	Config  *Config       `json:"configuration,omitempty"` // nil: the settings name no control service
}

// Config is the state of a front end's configuration.
type Config struct {
	configclient.Status
	AppliedUs float64 `json:"applied_us"` // duration of the event loop's turn that applied the last version
}

// Process is the resource usage of the front end's process since its start.
type Process struct {
	Allocated   uint64 `json:"allocated_bytes"`
	Allocations uint64 `json:"allocations"`
	Heap        uint64 `json:"heap_bytes"`
	Collections uint32 `json:"collections"`
	Read        uint64 `json:"read_bytes"`    // by system calls, sockets and files included; 0: unknown
	Written     uint64 `json:"written_bytes"` // in the same way
}

// status returns the JSON of Status. It runs in a turn of the event loop.
func status(frontEnd *settings.FrontEnd, eng *engine.Engine, dispatcher *dispatch.Dispatcher, live *liveConfig) []byte {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	s := Status{Name: frontEnd.Name, Number: frontEnd.Number, Of: frontEnd.FrontEnds, Counts: eng.Counts(), Waiting: dispatcher.Waiting(), Leaving: dispatcher.Draining(),
		Process: Process{Allocated: m.TotalAlloc, Allocations: m.Mallocs, Heap: m.HeapAlloc, Collections: m.NumGC}}
	if live.configClient != nil {
		s.Config = &Config{Status: live.configClient.Status(), AppliedUs: float64(live.lastApply.Load()) / 1000}
	}
	s.Process.Read, s.Process.Written = ioBytes()
	b, err := json.Marshal(s)
	if err != nil { // cannot happen: the struct holds only numbers and strings
		return []byte("null")
	}
	return b
}

// ioBytes returns the bytes that the process's system calls have read and written.
func ioBytes() (read, written uint64) {
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
