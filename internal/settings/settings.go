// Package settings reads and writes the XML documents that schema/mallowlanding.xsd describes. It reads them strictly:
// unknown elements and attributes and values out of range are errors that name the file, the line and the reason. Times
// are given in milliseconds.
package settings

import (
	"cmp"
	"encoding/xml"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"mallowlanding/internal/engine"
	"mallowlanding/internal/nameid"
	"mallowlanding/internal/settingkeys"
	"mallowlanding/router"
)

// Service has the settings that all front ends of a service have in common.
type Service struct {
	Pos
	Methods   []Method   `e:"method" need:"yes"`
	Customers []Customer `e:"customer"`
	Zones     []Named    `e:"zone"`
	Cells     []Named    `e:"cell"`
	Kinds     []Kind     `e:"kind"`
	Functions Functions  `e:"functions"`
	CallOuts  CallOuts   `e:"call-outs"`
	Rules     Rules      `e:"rules"`
	Price     Price      `e:"price"`
	Shared    Shared     `e:"shared"`
}

// Method has the settings of the RPCs of one method.
type Method struct {
	Pos
	Name         string      `a:"name" need:"yes"`
	Effect       string      `a:"effect" need:"yes" words:"idempotent tokened side-effecting"`
	Gain         float64     `a:"gain" def:"1" min:"0" max:"1e6"`
	SoftDeadline router.Time `a:"soft-deadline-ms" def:"1000" min:"1" max:"3600000"`
	Deadline     router.Time `a:"deadline-ms" def:"3000" min:"50" max:"3600000"`
	LateShare    float64     `a:"late-share" def:"0" min:"0" max:"1"`
	Group        string      `a:"group" words:"all zone cell"`
	Window       router.Time `a:"window-ms" min:"1" max:"3600000"`
	MemoryMB     float64     `a:"memory-mb" def:"256" min:"1" max:"1e6"`
	Lanes        int         `a:"lanes" def:"1" min:"1" max:"1024"`
	LoadTime     router.Time `a:"load-ms" def:"500" min:"1" max:"600000"`
	MaxBatch     int         `a:"batch" def:"1" min:"1" max:"64"`
	BatchWait    router.Time `a:"batch-wait-ms" def:"2" min:"0" max:"1000"`
	PayloadBytes int64       `a:"payload-bytes" def:"0" min:"0" max:"1073741824"`
	Removed      bool        // not in the latest configuration; keeps its index
}

// Customer is a customer of the service, with a quota and a share of it.
type Customer struct {
	Pos
	Name    string  `a:"name" need:"yes"`
	Quota   float64 `a:"quota-per-s" need:"yes" min:"0" max:"1e9"`
	Share   float64 `a:"share" def:"0" min:"0" max:"1"`
	Removed bool    // not in the latest configuration; keeps its index
}

// Named is a zone or a cell.
type Named struct {
	Pos
	Name string `a:"name" need:"yes"`
}

// Kind is a kind of worker and its memory.
type Kind struct {
	Pos
	Name     string  `a:"name" need:"yes"`
	MemoryMB float64 `a:"memory-mb" need:"yes" min:"1" max:"1e9"`
}

// Functions has the settings of all functions, and overrides for some by name.
type Functions struct {
	Pos
	KeepAlive    router.Time `a:"keep-alive-ms" def:"10000" min:"1" max:"3600000"`
	Orders       bool        `a:"orders" def:"yes"`
	OrderTimeout router.Time `a:"order-time-out-ms" def:"10000" min:"1" max:"600000"`
	LoadWindow   router.Time `a:"load-window-ms" def:"0" min:"0" max:"600000"`
	LoadFree     float64     `a:"load-free" def:"0" min:"0" max:"1e6"`
	LoadShare    float64     `a:"load-share" def:"0" min:"0" max:"1e3"`
	Overrides    []Function  `e:"function"`
}

// Function describes the copies of one function. Attributes that are left out come from the method.
type Function struct {
	Pos
	Name     string      `a:"name" need:"yes"`
	MemoryMB float64     `a:"memory-mb" min:"1" max:"1e6"`
	Lanes    int         `a:"lanes" min:"1" max:"1024"`
	LoadTime router.Time `a:"load-ms" min:"1" max:"600000"`
}

// CallOuts has the limits and permissions of a front end's call-outs.
type CallOuts struct {
	Pos
	MaxCallOuts    int         `a:"most" def:"3" min:"1" max:"250"`
	Overlap        bool        `a:"overlap" def:"no"`
	Cancel         bool        `a:"retract" def:"yes"`
	Check          bool        `a:"check" def:"yes"`
	ConnectTimeout router.Time `a:"connect-time-out-ms" def:"250" min:"1" max:"60000"`
	RetryAfter     router.Time `a:"come-back-ms" def:"500" min:"0" max:"600000"`
	AdviseRetry    bool        `a:"advise" def:"yes"`
	OverShareGain  float64     `a:"over-share-gain" def:"1" min:"0" max:"1"`
}

// Rules has the parameters of the five rules that package audit checks.
type Rules struct {
	Pos
	Drain        router.Time `a:"drain-ms" def:"500" min:"0" max:"600000"`
	Cold         router.Time `a:"cold-ms" def:"10000" min:"0" max:"600000"`
	ColdFrom     float64     `a:"cold-from" def:"0.2" min:"0.001" max:"1"`
	FallMultiple float64     `a:"fall-multiple" def:"2" min:"0.1" max:"100"`
	Fall         router.Time `a:"fall-ms" def:"1000" min:"1" max:"60000"`
}

// Price has costs, in units of gain.
type Price struct {
	Pos
	CrossZone float64 `a:"cross-zone" def:"0" min:"0" max:"1"`
}

// Shared describes how the workers are shared.
type Shared struct {
	Pos
	FrontEnds int `a:"front-ends" def:"0" min:"0" max:"65536"` // 0: as in each front end's own document
}

// FrontEnd is the document of a front end.
type FrontEnd struct {
	Pos
	Name      string     `a:"name" need:"yes"`
	Number    int        `a:"number" def:"0" min:"0" max:"65535"`
	FrontEnds int        `a:"of" def:"1" min:"1" max:"65536"`
	Zone      string     `a:"zone"`
	Seed      int64      `a:"seed" def:"1" min:"0" max:"9007199254740992"`
	Stop      StopWithin `e:"stop"`
	Clients   Clients    `e:"clients" need:"yes"`
	KServe    *KServe    `e:"kserve"`
	Workers   Workers    `e:"workers"`
	Roster    RosterAt   `e:"roster" need:"yes"`
	Control   *ControlAt `e:"control"`
	Service   Service    `e:"service" need:"yes"`
}

// StopWithin bounds the time that a front end takes to stop.
type StopWithin struct {
	Pos
	Within router.Time `a:"within-ms" min:"1" max:"3600000"`
}

// Clients has the settings of a front end towards its clients.
type Clients struct {
	Pos
	Socket          string      `a:"socket" need:"yes"`
	Mode            string      `a:"mode" def:"0600" words:"0600 0660 0666"`
	MaxConnections  int         `a:"connections" def:"1000" min:"1" max:"1000000"`
	ConnOpen        int         `a:"open" def:"1000" min:"1" max:"1000000"`
	ValueBytes      int         `a:"value-bytes" def:"1048576" min:"256" max:"1073741824"`
	AnswerBytes     int         `a:"answer-bytes" def:"1048576" min:"1024" max:"1073741824"`
	WriteTimeout    router.Time `a:"write-time-out-ms" def:"30000" min:"10" max:"3600000"`
	AnswerMargin    router.Time `a:"margin-ms" def:"10" min:"0" max:"10000"`
	CancelWait      router.Time `a:"call-off-ms" def:"200" min:"1" max:"60000"`
	HandOver        string      `a:"hand-over"`
	TotalOpen       int         `a:"whole-open" def:"20000" min:"1" max:"10000000"`
	TotalBytes      int64       `a:"whole-bytes" def:"268435456" min:"1024" max:"1099511627776"`
	PeerOpen        int         `a:"peer-open" def:"0" min:"0" max:"10000000"`
	PeerBytes       int64       `a:"peer-bytes" def:"0" min:"0" max:"1099511627776"`
	ConnBytes       int64       `a:"open-bytes" def:"67108864" min:"0" max:"1099511627776"`
	MaxRouterQueued int         `a:"held" def:"16" min:"0" max:"1000000"`
	Allow           []Allow     `e:"allow"`
}

// Allow permits clients by the user and group ids of their processes. Without any Allow, every process that can open
// the socket is permitted.
type Allow struct {
	Pos
	UID       int64  `a:"uid" def:"-1" min:"-1" max:"4294967295"`
	GID       int64  `a:"gid" def:"-1" min:"-1" max:"4294967295"`
	Methods   string `a:"methods"`   // separated by blanks; left out: all
	Customers string `a:"customers"` // separated by blanks; left out: all
}

// Workers has the settings of a front end towards the workers.
type Workers struct {
	Pos
	ValueBytes int         `a:"value-bytes" def:"1048576" min:"256" max:"1073741824"`
	SendBytes  int         `a:"send-bytes" def:"4194304" min:"1024" max:"1073741824"`
	RedialMin  router.Time `a:"redial-min-ms" def:"20" min:"1" max:"60000"`
	RedialMax  router.Time `a:"redial-max-ms" def:"1000" min:"1" max:"600000"`
}

// RosterAt is where a front end or worker finds the roster, and the file in which a front end caches the worker list.
type RosterAt struct {
	Pos
	Socket string `a:"socket" need:"yes"`
	Cache  string `a:"cache"`
}

// Worker is the document of a stand-in worker.
type Worker struct {
	Pos
	Name    string       `a:"name" need:"yes"`
	Socket  string       `a:"socket" need:"yes"`
	Control string       `a:"control"`
	Zone    string       `a:"zone"`
	Cell    string       `a:"cell"`
	Kind    string       `a:"kind"`
	Cold    bool         `a:"cold" def:"yes"`
	Seed    int64        `a:"seed" def:"1" min:"0" max:"9007199254740992"`
	Log     string       `a:"log"`
	Machine Machine      `e:"machine"`
	Rules   Rules        `e:"rules"`
	Work    []WorkMethod `e:"work"`
	Roster  *RosterAt    `e:"roster"`
	Store   *StoreAt     `e:"store"`
}

// Machine describes the resources and the behaviour of a stand-in worker.
type Machine struct {
	Pos
	Cores          int         `a:"cores" def:"2" min:"1" max:"1024"`
	Speed          float64     `a:"speed" def:"1" min:"0.01" max:"100"`
	MemoryMB       float64     `a:"memory-mb" def:"4096" min:"1" max:"1e9"`
	Queue          int         `a:"queue" def:"64" min:"0" max:"100000"`
	MaxLoads       int         `a:"loads-at-once" def:"4" min:"1" max:"1024"`
	KeepAlive      router.Time `a:"keep-alive-ms" def:"10000" min:"1" max:"3600000"`
	LoadFailShare  float64     `a:"load-fails" def:"0" min:"0" max:"1"`
	ReportInterval router.Time `a:"report-every-ms" def:"200" min:"1" max:"60000"`
	StartShare     float64     `a:"start-share" def:"0.5" min:"0" max:"1"`
	CancelStops    string      `a:"stops" def:"running" words:"nothing waiting running"`
}

// WorkMethod is how long RPCs of a method take at a stand-in worker, and for how long it remembers their tokens.
type WorkMethod struct {
	Pos
	Method string      `a:"method" need:"yes"`
	Mean   router.Time `a:"mean-ms" def:"10" min:"0" max:"600000"`
	Spread float64     `a:"spread" def:"0.3" min:"0" max:"3"`
	Effect string      `a:"effect" def:"idempotent" words:"idempotent tokened side-effecting"`
	Window router.Time `a:"window-ms" def:"3000" min:"1" max:"3600000"`
	Group  string      `a:"group" def:"all" words:"all zone cell"`
}

// StoreAt is the address of the shared store.
type StoreAt struct {
	Pos
	Socket string `a:"socket" need:"yes"`
}

// Roster is the document of the stand-in roster, which can also serve the stand-in store.
type Roster struct {
	Pos
	Socket string      `a:"socket" need:"yes"`
	Lag    router.Time `a:"lag-ms" def:"1000" min:"0" max:"60000"`
	Log    string      `a:"log"`
	Store  *Store      `e:"store"`
}

// Store is the stand-in store that all workers share.
type Store struct {
	Pos
	Socket        string      `a:"socket"` // required in the document of a roster, not in a scenario
	MaxConcurrent int         `a:"at-once" def:"8" min:"1" max:"100000"`
	RefuseFrom    int         `a:"refuses" def:"40" min:"1" max:"1000000"`
	Mean          router.Time `a:"mean-ms" def:"300" min:"0" max:"600000"`
	Thrash        float64     `a:"thrash" def:"0.1" min:"0" max:"10"`
}

// DefaultClients returns the default settings of a front end towards its clients.
func DefaultClients() Clients {
	var c Clients
	e := &element{name: "clients", attrs: []xml.Attr{{Name: xml.Name{Local: "socket"}, Value: "none"}}}
	if err := e.decode(reflect.ValueOf(&c).Elem()); err != nil { // a tag of Clients is invalid
		panic(err)
	}
	return c
}

// ReadFrontEnd reads and checks the document of a front end.
func ReadFrontEnd(file string) (*FrontEnd, error) {
	f := &FrontEnd{}
	if err := readFile(file, "front-end", f); err != nil {
		return nil, err
	}
	return f, f.check()
}

// ReadWorker reads and checks the document of a stand-in worker.
func ReadWorker(file string) (*Worker, error) {
	w := &Worker{}
	if err := readFile(file, "worker", w); err != nil {
		return nil, err
	}
	return w, checkDistinct(w.Work, func(m WorkMethod) (string, Pos) { return m.Method, m.Pos }, "work of method")
}

// ReadRoster reads and checks the document of a stand-in roster.
func ReadRoster(file string) (*Roster, error) {
	r := &Roster{}
	if err := readFile(file, "roster", r); err != nil {
		return nil, err
	}
	if r.Store != nil && r.Store.Socket == "" {
		return nil, r.Store.Errorf("attribute %q of %q is missing", "socket", "store")
	}
	return r, nil
}

// CheckFile reads and checks a document of any kind. It returns the kind, which is the name of its root element.
func CheckFile(file string) (kind string, err error) {
	root, err := parseFile(file)
	if err != nil {
		return "", err
	}
	switch root.name {
	case "front-end":
		_, err = ReadFrontEnd(file)
	case "worker":
		_, err = ReadWorker(file)
	case "roster":
		_, err = ReadRoster(file)
	case "scenario":
		_, err = ReadScenario(file)
	case "experiment":
		_, err = ReadExperiment(file)
	case "control":
		_, err = ReadControl(file)
	case "configuration":
		in, err := openFile(file)
		if err != nil {
			return "", err
		}
		defer in.Close()
		_, err = ReadConfiguration(file, in)
		return root.name, err
	default:
		err = root.pos.Errorf("root element %q is not one of front-end, worker, roster, scenario, control, configuration, experiment", root.name)
	}
	return root.name, err
}

// checkDistinct returns an error at the second item of a name that occurs more than once.
func checkDistinct[T any](items []T, name func(T) (string, Pos), what string) error {
	seen := map[string]bool{}
	for _, item := range items {
		n, pos := name(item)
		if seen[n] {
			return pos.Errorf("%s %q stands twice", what, n)
		}
		seen[n] = true
	}
	return nil
}

func nameAndPos(n Named) (string, Pos) { return n.Name, n.Pos }

func (f *FrontEnd) check() error {
	if f.Number >= f.FrontEndCount() {
		return f.Errorf("number %d of %d front ends: numbers begin at 0", f.Number, f.FrontEndCount())
	}
	if f.Workers.RedialMax < f.Workers.RedialMin {
		return f.Workers.Errorf("redial-max-ms is below redial-min-ms")
	}
	if err := f.Service.check(); err != nil {
		return err
	}
	if f.KServe != nil {
		if err := f.KServe.check(&f.Service); err != nil {
			return err
		}
	}
	if f.Zone != "" && indexByName(f.Service.Zones, f.Zone) < 0 {
		return f.Errorf("zone %q is not defined in the service", f.Zone)
	}
	for _, a := range f.Clients.Allow {
		if a.UID < 0 && a.GID < 0 {
			return a.Errorf("allow without uid and gid permits nobody: give at least one")
		}
		for name := range strings.FieldsSeq(a.Methods) {
			if !slices.ContainsFunc(f.Service.Methods, func(m Method) bool { return m.Name == name }) {
				return a.Errorf("method %q is not defined in the service", name)
			}
		}
		for name := range strings.FieldsSeq(a.Customers) {
			if !slices.ContainsFunc(f.Service.Customers, func(c Customer) bool { return c.Name == name }) {
				return a.Errorf("customer %q is not defined in the service", name)
			}
		}
	}
	longest := router.Time(0)
	for _, m := range f.Service.Methods {
		longest = max(longest, m.Deadline)
		if m.Deadline <= f.Clients.AnswerMargin {
			return m.Errorf("method %q: deadline-ms must be greater than margin-ms of the clients element", m.Name)
		}
	}
	if f.Stop.Within == 0 {
		f.Stop.Within = longest
	}
	if f.Stop.Within < longest {
		return f.Stop.Errorf("within-ms is below the longest deadline, %v ms: open RPCs could not be answered",
			float64(longest)/10)
	}
	return nil
}

func (s *Service) check() error {
	for i := range s.Methods {
		m := &s.Methods[i]
		tokened := m.Effect == router.Tokened
		switch {
		case tokened && (m.Group == "" || m.Window == 0):
			return m.Errorf("method %q is tokened: group and window-ms are missing", m.Name)
		case !tokened && (m.Group != "" || m.Window != 0):
			return m.Errorf("method %q is %s: group and window-ms belong to tokened methods", m.Name, m.Effect)
		case m.MaxBatch > 1 && m.Effect != router.Idempotent:
			return m.Errorf("method %q: only idempotent RPCs can share a call-out (batch)", m.Name)
		case m.SoftDeadline > m.Deadline:
			return m.Errorf("method %q: soft-deadline-ms is over deadline-ms", m.Name)
		case len(m.Name) >= 4 && m.Name[:4] == "rpc.":
			return m.Errorf("method %q: names that begin with rpc. are reserved by JSON-RPC", m.Name)
		}
	}
	names := make([]string, len(s.Functions.Overrides))
	for i, fn := range s.Functions.Overrides {
		names[i] = fn.Name
	}
	if err := nameid.CheckDistinct(names, nameid.Function); err != nil {
		return s.Functions.Errorf("functions: %v", err)
	}
	return cmp.Or(
		checkDistinct(s.Methods, func(m Method) (string, Pos) { return m.Name, m.Pos }, "method"),
		checkDistinct(s.Customers, func(c Customer) (string, Pos) { return c.Name, c.Pos }, "customer"),
		checkDistinct(s.Zones, nameAndPos, "zone"), checkDistinct(s.Cells, nameAndPos, "cell"),
		checkDistinct(s.Kinds, func(k Kind) (string, Pos) { return k.Name, k.Pos }, "kind"))
}

// indexByName returns the index of a name, or -1.
func indexByName(in []Named, name string) int {
	for i, n := range in {
		if n.Name == name {
			return i
		}
	}
	return -1
}

// ZoneID returns the index of a zone. An unknown zone has the index after the last one.
func (s *Service) ZoneID(name string) router.ZoneID {
	if i := indexByName(s.Zones, name); i >= 0 {
		return router.ZoneID(i)
	}
	return router.ZoneID(len(s.Zones))
}

// CellID returns the index of a cell; see ZoneID.
func (s *Service) CellID(name string) router.CellID {
	if i := indexByName(s.Cells, name); i >= 0 {
		return router.CellID(i)
	}
	return router.CellID(len(s.Cells))
}

// KindID returns the index of a kind; see ZoneID.
func (s *Service) KindID(name string) router.KindID {
	for i, k := range s.Kinds {
		if k.Name == name {
			return router.KindID(i)
		}
	}
	return router.KindID(len(s.Kinds))
}

// EngineMethods returns the methods as the engine needs them, in the same order.
func (s *Service) EngineMethods() []engine.Method {
	var out []engine.Method
	for _, m := range s.Methods {
		out = append(out, engine.Method{Name: m.Name, Effect: m.Effect, Group: m.Group, Gain: m.Gain,
			Deadline: m.Deadline, SoftDeadline: m.SoftDeadline, MaxBatch: m.MaxBatch, BatchWait: m.BatchWait, MaxBytes: m.PayloadBytes, Removed: m.Removed})
	}
	return out
}

// FunctionSpecs returns a function that returns the spec of a function's copies, for RPCs of the method at index m.
func (s *Service) FunctionSpecs() func(m int, name string) engine.FunctionSpec {
	overrides := map[string]Function{}
	for _, fn := range s.Functions.Overrides {
		overrides[fn.Name] = fn
	}
	return func(m int, name string) engine.FunctionSpec {
		fn, method := overrides[name], &s.Methods[m]
		return engine.FunctionSpec{MemoryMB: cmp.Or(fn.MemoryMB, method.MemoryMB), Lanes: cmp.Or(fn.Lanes, method.Lanes),
			LoadTime: cmp.Or(fn.LoadTime, method.LoadTime)}
	}
}

// ReportValues are the names of the values in a worker's load report, in their order on the wire.
var ReportValues = []string{settingkeys.Util, settingkeys.Pinned, settingkeys.InHand, settingkeys.Loads}

// FrontEndCount returns how many front ends share the workers: as the service says or, if it does not, as the front
// end's own document says.
func (f *FrontEnd) FrontEndCount() int { return cmp.Or(f.Service.Shared.FrontEnds, f.FrontEnds) }

// RouterSettings returns the settings of the router; package settingkeys has their names.
func (f *FrontEnd) RouterSettings() router.Settings {
	s, c, r, fn := &f.Service, &f.Service.CallOuts, &f.Service.Rules, &f.Service.Functions
	out := router.Settings{
		settingkeys.FrontEnds: float64(f.FrontEndCount()),
		settingkeys.Me:        float64(f.Number),
		settingkeys.Zone:      float64(s.ZoneID(f.Zone)),
		settingkeys.List:      settingkeys.Pushed,
		settingkeys.OverShare: c.OverShareGain,

		settingkeys.Join(settingkeys.May, settingkeys.CallOuts):       float64(c.MaxCallOuts),
		settingkeys.Join(settingkeys.May, settingkeys.Overlap):        c.Overlap,
		settingkeys.Join(settingkeys.May, settingkeys.Retract):        c.Cancel,
		settingkeys.Join(settingkeys.May, settingkeys.Check):          c.Check,
		settingkeys.Join(settingkeys.May, settingkeys.ConnectTimeout): float64(c.ConnectTimeout),
		settingkeys.Join(settingkeys.May, settingkeys.ComeBack):       float64(c.RetryAfter),
		settingkeys.Join(settingkeys.May, settingkeys.Advise):         c.AdviseRetry,

		settingkeys.Join(settingkeys.Price, settingkeys.CrossZone): s.Price.CrossZone,

		settingkeys.Join(settingkeys.Functions, settingkeys.KeepAlive):    float64(fn.KeepAlive),
		settingkeys.Join(settingkeys.Functions, settingkeys.Orders):       fn.Orders,
		settingkeys.Join(settingkeys.Functions, settingkeys.OrderTimeout): float64(fn.OrderTimeout),
		settingkeys.Join(settingkeys.Functions, settingkeys.LoadWindow):   float64(fn.LoadWindow),
		settingkeys.Join(settingkeys.Functions, settingkeys.LoadFree):     fn.LoadFree,
		settingkeys.Join(settingkeys.Functions, settingkeys.LoadShare):    fn.LoadShare,
		settingkeys.Join(settingkeys.Functions, settingkeys.TellsWarm):    true,
		settingkeys.Join(settingkeys.Functions, settingkeys.TellsCrowd):   true,

		settingkeys.Join(settingkeys.Rules, settingkeys.Drain):        float64(r.Drain),
		settingkeys.Join(settingkeys.Rules, settingkeys.Cold):         float64(r.Cold),
		settingkeys.Join(settingkeys.Rules, settingkeys.ColdFrom):     r.ColdFrom,
		settingkeys.Join(settingkeys.Rules, settingkeys.FallMultiple): r.FallMultiple,
		settingkeys.Join(settingkeys.Rules, settingkeys.Fall):         float64(r.Fall),

		settingkeys.Methods:   float64(len(s.Methods)),
		settingkeys.Customers: float64(len(s.Customers)),
	}
	memory := settingkeys.Join(settingkeys.Functions, settingkeys.Memory)
	out[memory] = float64(len(s.Kinds))
	for i, k := range s.Kinds {
		out[settingkeys.Item(memory, i, "")] = k.MemoryMB
	}
	values := settingkeys.Join(settingkeys.Report, settingkeys.Values)
	out[values] = float64(len(ReportValues))
	for i, name := range ReportValues {
		out[settingkeys.Join(values, name)] = float64(i)
	}
	for i, m := range s.Methods {
		out[settingkeys.Item(settingkeys.Methods, i, settingkeys.Gain)] = m.Gain
		out[settingkeys.Item(settingkeys.Methods, i, settingkeys.LateShare)] = m.LateShare
		out[settingkeys.Item(settingkeys.Methods, i, settingkeys.SoftDeadline)] = float64(m.SoftDeadline)
		out[settingkeys.Item(settingkeys.Methods, i, settingkeys.Deadline)] = float64(m.Deadline)
		out[settingkeys.Item(settingkeys.Methods, i, settingkeys.Effect)] = m.Effect
		out[settingkeys.Item(settingkeys.Methods, i, settingkeys.Group)] = m.Group
		out[settingkeys.Item(settingkeys.Methods, i, settingkeys.Window)] = float64(m.Window)
	}
	for i, c := range s.Customers {
		out[settingkeys.Item(settingkeys.Customers, i, settingkeys.Quota)] = c.Quota
		out[settingkeys.Item(settingkeys.Customers, i, settingkeys.Share)] = c.Share
	}
	return out
}

func parseFile(file string) (*element, error) {
	in, err := openFile(file)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	defer in.Close()
	return parse(file, in)
}
