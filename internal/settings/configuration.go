package settings

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"

	"mallowlanding/internal/admission"
	"mallowlanding/router"
)

// Configuration is what a control service tells all front ends: what they agree on, beside what is each one's own.
type Configuration struct {
	Pos
	Service   Service       `e:"service" need:"yes"`
	Limits    *Limits       `e:"limits"`
	Groups    []WorkerGroup `e:"group"`
	Sources   []Source      `e:"source"`
	Listeners []Listener    `e:"listener"`
	Models    []Model       `e:"model"`
}

// Limits are bounds of what clients may have open; see Clients.
type Limits struct {
	Pos
	Open       int   `a:"open" def:"1000" min:"1" max:"1000000"`
	OpenBytes  int64 `a:"open-bytes" def:"67108864" min:"0" max:"1099511627776"`
	TotalOpen  int   `a:"whole-open" def:"20000" min:"1" max:"10000000"`
	TotalBytes int64 `a:"whole-bytes" def:"268435456" min:"1024" max:"1099511627776"`
	PeerOpen   int   `a:"peer-open" def:"0" min:"0" max:"10000000"`
	PeerBytes  int64 `a:"peer-bytes" def:"0" min:"0" max:"1099511627776"`
	Held       int   `a:"held" def:"16" min:"0" max:"1000000"`
}

// WorkerGroup is workers that are part of the service whether a roster lists them or not.
type WorkerGroup struct {
	Pos
	Name    string         `a:"name" need:"yes"`
	Zone    string         `a:"zone"`
	Cell    string         `a:"cell"`
	Kind    string         `a:"kind"`
	Workers []StaticWorker `e:"worker" need:"yes"`
}

// StaticWorker is one of a group.
type StaticWorker struct {
	Pos
	Name   string `a:"name" need:"yes"`
	Socket string `a:"socket" need:"yes"`
}

// Source is a roster's socket; the first that answers is followed.
type Source struct {
	Pos
	Name   string `a:"name" need:"yes"`
	Socket string `a:"socket" need:"yes"`
}

// Listener is a socket for clients beside the front end's own. FRONT in its path stands for the front end's name.
type Listener struct {
	Pos
	Name   string `a:"name" need:"yes"`
	Front  string `a:"front" def:"json-rpc" words:"json-rpc http grpc"`
	Socket string `a:"socket" need:"yes"`
}

// ControlAt says where a front end's configuration comes from.
type ControlAt struct {
	Pos
	Sockets        string      `a:"sockets" need:"yes"` // of the control service's instances, by blanks
	SavePath       string      `a:"keep" need:"yes"`    // file of the last good version
	RedialMin      router.Time `a:"redial-min-ms" def:"50" min:"1" max:"60000"`
	RedialMax      router.Time `a:"redial-max-ms" def:"1000" min:"1" max:"600000"`
	ReportInterval router.Time `a:"figures-every-ms" def:"500" min:"10" max:"60000"`
}

// Control is the document of one instance of the stand-in control service.
type Control struct {
	Pos
	Name   string      `a:"name" need:"yes"`
	Socket string      `a:"socket" need:"yes"` // for followers and operators
	Peers  string      `a:"peer-socket" need:"yes"`
	Dir    string      `a:"dir" need:"yes"` // of its store
	Beat   router.Time `a:"beat-ms" def:"250" min:"20" max:"60000"`
	Roll   Roll        `e:"rollout"`
	Others []Instance  `e:"instance"`
}

// Roll is how versions reach the front ends.
type Roll struct {
	Pos
	Stages          string      `a:"stages" def:"0.05 0.25 1"`
	Hold            router.Time `a:"hold-ms" def:"2000" min:"0" max:"86400000"`
	AnswerTimeout   router.Time `a:"patience-ms" def:"10000" min:"10" max:"86400000"`
	LiveTimeout     router.Time `a:"live-ms" def:"3000" min:"50" max:"600000"`
	MaxRefusedShare float64     `a:"refused-share" def:"0" min:"0" max:"1"`
	MaxOKDrop       float64     `a:"worse" def:"0.05" min:"0" max:"1"`
	MinRPCs         int         `a:"least-rpcs" def:"200" min:"1" max:"1000000000"`
}

// Instance is another instance of the control service.
type Instance struct {
	Pos
	Name   string `a:"name" need:"yes"`
	Socket string `a:"peer-socket" need:"yes"`
}

// Shares are the stages, each a share of the front ends.
func (r *Roll) Shares() (out []float64, err error) {
	for word := range strings.FieldsSeq(r.Stages) {
		var share float64
		if _, err := fmt.Sscanf(word, "%g", &share); err != nil || share <= 0 || share > 1 ||
			len(out) > 0 && share <= out[len(out)-1] {
			return nil, r.Errorf("stages %q: %q is no share above the one before, at most 1", r.Stages, word)
		}
		out = append(out, share)
	}
	if len(out) == 0 || out[len(out)-1] != 1 {
		return nil, r.Errorf("stages %q: the last one must be 1", r.Stages)
	}
	return out, nil
}

// ReadControl reads and checks the document of a control service's instance.
func ReadControl(file string) (*Control, error) {
	c := &Control{}
	if err := readFile(file, "control", c); err != nil {
		return nil, err
	}
	if _, err := c.Roll.Shares(); err != nil {
		return nil, err
	}
	if len(c.Others)%2 != 0 {
		return nil, c.Errorf("%d instances: an odd number can lose one more", len(c.Others)+1)
	}
	return c, distinct(append(slices.Clone(c.Others), Instance{c.Pos, c.Name, c.Peers}),
		func(i Instance) (string, Pos) { return i.Name, i.Pos }, "instance")
}

// ReadConfiguration reads a configuration and checks all of it that needs no front end.
func ReadConfiguration(file string, in io.Reader) (*Configuration, error) {
	c := &Configuration{}
	if err := read(file, in, "configuration", c); err != nil {
		return nil, err
	}
	return c, c.check()
}

func (c *Configuration) check() error {
	if err := c.Service.check(); err != nil {
		return err
	}
	var workers []StaticWorker
	for i := range c.Groups {
		g := &c.Groups[i]
		workers = append(workers, g.Workers...)
		switch {
		case g.Zone != "" && place(c.Service.Zones, g.Zone) < 0:
			return g.Errorf("zone %q is none of the service's", g.Zone)
		case g.Cell != "" && place(c.Service.Cells, g.Cell) < 0:
			return g.Errorf("cell %q is none of the service's", g.Cell)
		case g.Kind != "" && c.Service.KindID(g.Kind) == router.KindID(len(c.Service.Kinds)):
			return g.Errorf("kind %q is none of the service's", g.Kind)
		}
	}
	return cmp.Or(
		distinct(c.Groups, func(g WorkerGroup) (string, Pos) { return g.Name, g.Pos }, "group"),
		distinct(workers, func(w StaticWorker) (string, Pos) { return w.Name, w.Pos }, "worker"),
		distinct(c.Sources, func(s Source) (string, Pos) { return s.Name, s.Pos }, "source"),
		distinct(c.Listeners, func(l Listener) (string, Pos) { return l.Name, l.Pos }, "listener"),
		distinct(c.Listeners, func(l Listener) (string, Pos) { return l.Socket, l.Pos }, "listener of socket"))
}

// WithConfiguration is the front end under a configuration. Places of methods, customers, zones, cells and kinds stay those of
// before, the front end as it is; new ones follow, and what is gone keeps its place. All of it is checked.
func (f *FrontEnd) WithConfiguration(c *Configuration, before *Service) (*FrontEnd, error) {
	next := *f
	next.Service = c.Service
	next.Clients.ApplyLimits(c.Limits)
	if len(c.Models) > 0 {
		if f.KServe == nil {
			return nil, c.Models[0].Errorf("model %q: this front end has no kserve element to serve it", c.Models[0].Name)
		}
		k := *f.KServe
		k.Models = c.Models
		next.KServe = &k
	}
	for _, l := range c.Listeners {
		if l.Front != "json-rpc" && f.KServe == nil {
			return nil, l.Errorf("listener %q: this front end has no kserve element", l.Name)
		}
	}
	longest := router.Time(0)
	for _, m := range c.Service.Methods {
		longest = max(longest, m.Deadline)
	}
	next.Stop.Within = max(next.Stop.Within, longest)
	if err := next.check(); err != nil {
		return nil, err
	}
	next.Service = *c.Service.after(before)
	return &next, nil
}

// AlignService is the configuration's service with everything at the places that it has in before.
func (c *Configuration) AlignService(before *Service) *Service { return c.Service.after(before) }

// ApplyLimits takes over the bounds of a configuration; nil: it has none.
func (c *Clients) ApplyLimits(l *Limits) {
	if l == nil {
		return
	}
	c.Open, c.OpenBytes, c.TotalOpen, c.TotalBytes = l.Open, l.OpenBytes, l.TotalOpen, l.TotalBytes
	c.PeerOpen, c.PeerBytes, c.Held = l.PeerOpen, l.PeerBytes, l.Held
}

// LimitSettings are the figures of the front end's gate.
func (f *FrontEnd) LimitSettings() admission.Settings {
	c, back := &f.Clients, f.Service.CallOuts.RetryAfter
	if !f.Service.CallOuts.Advise {
		back = 0
	}
	return admission.Settings{Total: admission.Limit{RPCs: c.TotalOpen, Bytes: c.TotalBytes},
		Peer: admission.Limit{RPCs: c.PeerOpen, Bytes: c.PeerBytes}, Conn: admission.Limit{RPCs: c.Open, Bytes: c.OpenBytes},
		MaxRouterQueued: c.Held, MaxRetryAfter: back}
}

// CustomerNames are the customers' by place, empty where one is gone.
func (s *Service) CustomerNames() []string {
	out := make([]string, len(s.Customers))
	for i, c := range s.Customers {
		if out[i] = c.Name; c.Removed {
			out[i] = ""
		}
	}
	return out
}

// after is s with everything at the places that it has in before.
func (s *Service) after(before *Service) *Service {
	out := *s
	out.Methods = settle(before.Methods, s.Methods, func(m *Method) string { return m.Name }, func(m *Method) { m.Removed = true })
	out.Customers = settle(before.Customers, s.Customers, func(c *Customer) string { return c.Name }, func(c *Customer) { c.Removed, c.Quota = true, 0 })
	still := func(n *Named) string { return n.Name }
	out.Zones = settle(before.Zones, s.Zones, still, func(*Named) {})
	out.Cells = settle(before.Cells, s.Cells, still, func(*Named) {})
	out.Kinds = settle(before.Kinds, s.Kinds, func(k *Kind) string { return k.Name }, func(*Kind) {})
	return &out
}

// settle puts what is there now at the places of before; what is not any more is marked.
func settle[T any](before, now []T, name func(*T) string, gone func(*T)) []T {
	out, at := slices.Clone(before), map[string]int{}
	for i := range out {
		at[name(&out[i])] = i
		gone(&out[i])
	}
	for i := range now {
		if place, known := at[name(&now[i])]; known {
			out[place] = now[i]
		} else {
			out = append(out, now[i])
		}
	}
	return out
}

// Resource is one resource of a configuration: an element, by its path and name.
type Resource struct {
	Type, Name, Text string
}

// partOrder is the order of the parts' types in a configuration's text, which the schema asks for.
var partOrder = []string{"service/method", "service/customer", "service/zone", "service/cell", "service/kind",
	"service/functions", "service/call-outs", "service/rules", "service/price", "service/shared", "limits", "group", "source", "listener", "model"}

// ReadResources splits a configuration's text, which must be well-formed; its names and figures need not be good. They come in
// the order of Text.
func ReadResources(file string, in io.Reader) ([]Resource, error) {
	root, err := parse(file, in)
	if err != nil {
		return nil, err
	}
	if root.name != "configuration" {
		return nil, root.pos.Errorf("root element %q, want %q", root.name, "configuration")
	}
	var parts []Resource
	seen := map[Resource]bool{}
	var split func(e *element, path string) error
	split = func(e *element, path string) error {
		for _, a := range e.attrs {
			if a.Name.Space == "" && a.Name.Local != "xmlns" {
				return e.pos.Errorf("unknown attribute %q of %q", a.Name.Local, e.name)
			}
		}
		for _, child := range e.children {
			if child.name == "service" && path == "" {
				if err := split(child, "service/"); err != nil {
					return err
				}
				continue
			}
			p := Resource{Type: path + child.name}
			for _, a := range child.attrs {
				if a.Name.Local == "name" || a.Name.Local == "version" {
					p.Name = strings.Trim(p.Name+"/"+a.Value, "/")
				}
			}
			if seen[p] {
				return child.pos.Errorf("%s %q stands twice", child.name, p.Name)
			}
			seen[p] = true
			var b bytes.Buffer
			child.append(&b, "")
			p.Text = b.String()
			parts = append(parts, p)
		}
		return nil
	}
	if err := split(root, ""); err != nil {
		return nil, err
	}
	SortResources(parts)
	return parts, nil
}

// SortResources puts parts into the order of Text.
func SortResources(parts []Resource) {
	rank := func(p Resource) int {
		if i := slices.Index(partOrder, p.Type); i >= 0 {
			return i
		}
		return len(partOrder)
	}
	slices.SortFunc(parts, func(a, b Resource) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Type, b.Type), cmp.Compare(a.Name, b.Name))
	})
}

// append writes an element as it was read.
func (e *element) append(b *bytes.Buffer, indent string) {
	fmt.Fprintf(b, "%s<%s", indent, e.name)
	for _, a := range e.attrs {
		fmt.Fprintf(b, " %s=\"%s\"", a.Name.Local, escape(a.Value))
	}
	if len(e.children) == 0 {
		b.WriteString("/>\n")
		return
	}
	b.WriteString(">\n")
	for _, child := range e.children {
		child.append(b, indent+"  ")
	}
	fmt.Fprintf(b, "%s</%s>\n", indent, e.name)
}

// ResourcesText is the one text that parts, in their order, stand for: what is numbered, digested, kept and shown.
func ResourcesText(parts []Resource) string {
	var service, rest strings.Builder
	for _, p := range parts {
		to, indent := &rest, "  "
		if strings.HasPrefix(p.Type, "service/") {
			to, indent = &service, "    "
		}
		for line := range strings.Lines(p.Text) {
			to.WriteString(indent + line)
		}
	}
	return "<configuration>\n  <service>\n" + service.String() + "  </service>\n" + rest.String() + "</configuration>\n"
}
