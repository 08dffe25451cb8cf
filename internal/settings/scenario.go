package settings

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"mallowlanding/router"
)

func openFile(file string) (io.ReadCloser, error) { return os.Open(file) }

// Scenario is the document of a scenario: a service, a fleet, a load, and the troubles that happen at given times.
type Scenario struct {
	Pos
	Name     string      `a:"name" need:"yes"`
	Length   router.Time `a:"length-ms" need:"yes" min:"100" max:"3600000"`
	Seed     int64       `a:"seed" def:"1" min:"0" max:"9007199254740992"`
	Slack    router.Time `a:"slack-ms" def:"50" min:"0" max:"10000"` // what scheduling and sockets may add to any time
	Service  Service     `e:"service" need:"yes"`
	Fleet    Fleet       `e:"fleet" need:"yes"`
	Load     Load        `e:"load" need:"yes"`
	Callers  Callers     `e:"callers"`
	Troubles []Trouble   `e:"trouble"`
}

// Fleet has the processes that run: front ends, workers, the store and the control service.
type Fleet struct {
	Pos
	FrontEnds int          `a:"front-ends" def:"3" min:"1" max:"1000"`
	RosterLag router.Time  `a:"roster-lag-ms" def:"1000" min:"0" max:"60000"`
	Groups    []Group      `e:"workers" need:"yes"`
	Work      []WorkMethod `e:"work" need:"yes"`
	Store     *Store       `e:"store"`
	Control   *ControlOf   `e:"control"`
	Network   Network      `e:"network"`
}

// Network has the message delays of the emulator. Rehearsals use real sockets with their own delays.
type Network struct {
	Pos
	DelayUs float64 `a:"delay-us" def:"60" min:"1" max:"10000000"` // mean one-way delay
	Spread  float64 `a:"spread" def:"0.5" min:"0" max:"3"`         // standard deviation of the logarithm of the delay
}

// ControlOf is the control service of a fleet.
type ControlOf struct {
	Pos
	Instances int         `a:"instances" def:"3" min:"1" max:"7"`
	Heartbeat router.Time `a:"beat-ms" def:"250" min:"20" max:"60000"`
	Rollout   Roll        `e:"rollout"`
}

// Group is a number of equal workers.
type Group struct {
	Pos
	Count   int     `a:"count" need:"yes" min:"1" max:"10000"`
	Kind    string  `a:"kind"`
	Zone    string  `a:"zone"`
	Cell    string  `a:"cell"`
	Machine Machine `e:"machine"`
}

// Load describes the arrivals of RPCs. It is an open loop: arrivals do not wait for answers.
type Load struct {
	Pos
	Rate      float64 `a:"rate-per-s" need:"yes" min:"0.1" max:"100000"`
	MaxRPCs   int     `a:"most" def:"100000" min:"1" max:"10000000"`
	Functions int     `a:"functions" def:"20" min:"1" max:"100000"`
	Zipf      float64 `a:"zipf" def:"1.1" min:"1.001" max:"10"`

	Process string      `a:"process" def:"poisson" words:"poisson steady bursty diurnal trace"`
	Period  router.Time `a:"period-ms" def:"10000" min:"10" max:"86400000"` // of bursts, or of the diurnal cycle
	Depth   float64     `a:"depth" def:"0.5" min:"0" max:"1"`               // amplitude of the rate, relative to its mean
	Trace   string      `a:"trace"`                                         // file of lines MS METHOD FUNCTION [CUSTOMER]
	Mix     []Mix       `e:"mix" need:"yes"`

	TraceEvents []TraceEvent // content of the trace file, in order
}

// TraceEvent is one line of a trace: an RPC and its time.
type TraceEvent struct {
	At                         router.Time
	Method, Function, Customer string
}

// readTrace reads the trace file. A relative path is relative to the folder of the scenario.
func (l *Load) readTrace() error {
	file := l.Trace
	if !filepath.IsAbs(file) {
		file = filepath.Join(filepath.Dir(l.File), file)
	}
	in, err := os.Open(file)
	if err != nil {
		return l.Errorf("trace: %v", err)
	}
	defer in.Close()
	lines := bufio.NewScanner(in)
	for n := 1; lines.Scan(); n++ {
		f := strings.Fields(lines.Text())
		if len(f) == 0 || strings.HasPrefix(f[0], "#") {
			continue
		}
		at := Pos{file, n}
		ms, err := strconv.ParseFloat(f[0], 64)
		if err != nil || len(f) < 3 || len(f) > 4 {
			return at.Errorf("%.80q is not MS METHOD FUNCTION [CUSTOMER]", lines.Text())
		}
		e := TraceEvent{At: router.Time(ms * 10), Method: f[1], Function: f[2]}
		if len(f) > 3 {
			e.Customer = f[3]
		}
		if len(l.TraceEvents) > 0 && e.At < l.TraceEvents[len(l.TraceEvents)-1].At || e.At < 0 {
			return at.Errorf("%s ms is before the line above, or below 0", f[0])
		}
		l.TraceEvents = append(l.TraceEvents, e)
	}
	return lines.Err()
}

// Mix is the share of one method in the load.
type Mix struct {
	Pos
	Method   string  `a:"method" need:"yes"`
	Share    float64 `a:"share" need:"yes" min:"0" max:"1"`
	Customer string  `a:"customer"`
	Protocol string  `a:"front" def:"json-rpc" words:"json-rpc http grpc"`
	// PayloadBytes is the size of the payload of each RPC over JSON-RPC, beside the mark by which the audit knows it.
	PayloadBytes int `a:"payload-bytes" def:"0" min:"0" max:"16777216"`
}

// Callers describes how clients behave.
type Callers struct {
	Pos
	Connections int         `a:"connections" def:"4" min:"1" max:"10000"`
	Retries     int         `a:"retries" def:"2" min:"0" max:"20"`
	TryShare    float64     `a:"try-share" def:"0.7" min:"0.05" max:"1"`
	Backoff     router.Time `a:"back-off-ms" def:"50" min:"0" max:"60000"`
	// HeedShare is the share of retries that wait as long as the answer asks, ImpatientShare the share of RPCs whose
	// client leaves before the answer, and Notice the time until clients avoid a front end that is down.
	HeedShare      float64     `a:"heed" def:"0.8" min:"0" max:"1"`
	ImpatientShare float64     `a:"impatient" def:"0" min:"0" max:"1"`
	Notice         router.Time `a:"notice-ms" def:"1000" min:"0" max:"60000"`
}

// Trouble is a fault that is injected at a given time.
type Trouble struct {
	Pos
	Kind string      `a:"kind" need:"yes" words:"burst crash hang slow fast-errors load-fails report-late deploy flush scan zone-loss front-end-kill front-end-roll front-end-stall ageing preempt half-frame close config config-flood config-move control-kill control-silence slow-function answers-lost cut-to-workers cut-from-workers clock-step"`
	At   router.Time `a:"at-ms" need:"yes" min:"0" max:"3600000"`
	For  router.Time `a:"for-ms" def:"1000" min:"1" max:"3600000"`
	Part float64     `a:"part" def:"0.15" min:"0" max:"1"`
	Size float64     `a:"size" def:"1" min:"0" max:"1000"`
	Zone string      `a:"zone"`
}

// ZoneOf returns the zone of the n-th worker or front end without a zone of its own: the zones in turn, or "" if there
// are none.
func (s *Scenario) ZoneOf(n int) string {
	if len(s.Service.Zones) == 0 {
		return ""
	}
	return s.Service.Zones[n%len(s.Service.Zones)].Name
}

// Workers returns the initial workers of the fleet, without their sockets.
func (s *Scenario) Workers() (out []*Worker) {
	for _, g := range s.Fleet.Groups {
		for range g.Count {
			n := len(out)
			out = append(out, &Worker{Name: fmt.Sprintf("worker-%d", n), Zone: cmp.Or(g.Zone, s.ZoneOf(n)), Cell: g.Cell, Kind: g.Kind,
				Seed: s.Seed + int64(n), Machine: g.Machine, Rules: s.Service.Rules, Work: s.Fleet.Work})
		}
	}
	return out
}

// ReadScenario reads and checks a scenario.
func ReadScenario(file string) (*Scenario, error) {
	s := &Scenario{}
	if err := readFile(file, "scenario", s); err != nil {
		return nil, err
	}
	return s, s.check()
}

func (s *Scenario) check() error {
	if err := s.Service.check(); err != nil {
		return err
	}
	known := map[string]bool{}
	for _, m := range s.Service.Methods {
		known[m.Name] = true
	}
	for _, w := range s.Fleet.Work {
		if !known[w.Method] {
			return w.Errorf("work of method %q, which the service does not have", w.Method)
		}
	}
	if err := checkDistinct(s.Fleet.Work, func(m WorkMethod) (string, Pos) { return m.Method, m.Pos }, "work of method"); err != nil {
		return err
	}
	for _, t := range s.Troubles {
		if (strings.HasPrefix(t.Kind, "config") || strings.HasPrefix(t.Kind, "control")) && s.Fleet.Control == nil {
			return t.Errorf("trouble %q, but the fleet has no control element", t.Kind)
		}
	}
	if c := s.Fleet.Control; c != nil {
		if _, err := c.Rollout.Shares(); err != nil {
			return err
		}
		if c.Instances%2 == 0 {
			return c.Errorf("%d instances: an even number tolerates no more failures than one instance fewer; use an odd number", c.Instances)
		}
	}
	if (s.Load.Process == "trace") != (s.Load.Trace != "") {
		return s.Load.Errorf("process %q with trace %q: process trace and a trace file require each other", s.Load.Process, s.Load.Trace)
	}
	if s.Load.Trace != "" {
		if err := s.Load.readTrace(); err != nil {
			return err
		}
		for _, e := range s.Load.TraceEvents {
			if !known[e.Method] {
				return s.Load.Errorf("the trace has method %q, which the service does not have", e.Method)
			}
		}
	}
	sum := 0.0
	for _, m := range s.Load.Mix {
		if sum += m.Share; !known[m.Method] {
			return m.Errorf("mix of method %q, which the service does not have", m.Method)
		}
	}
	if sum < 0.999 || sum > 1.001 {
		return s.Load.Errorf("the shares of the mix add up to %g, not 1", sum)
	}
	for _, t := range s.Troubles {
		if t.Kind == "zone-loss" && indexByName(s.Service.Zones, t.Zone) < 0 {
			return t.Errorf("zone %q is not defined in the service", t.Zone)
		}
	}
	return nil
}
