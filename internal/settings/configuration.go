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

// Configuration is the document that a control service sends to all front ends. It has the settings that they have in
// common; FrontEnd has those of a single one.
type Configuration struct {
	Pos
	Service   Service       `e:"service" need:"yes"`
	Limits    *Limits       `e:"limits"`
	Groups    []WorkerGroup `e:"group"`
	Sources   []Source      `e:"source"`
	Listeners []Listener    `e:"listener"`
	Models    []Model       `e:"model"`
}

// Limits bound the open RPCs of clients, in number and bytes; see admission.Settings.
type Limits struct {
	Pos
	ConnOpen        int   `a:"open" def:"1000" min:"1" max:"1000000"`
	ConnBytes       int64 `a:"open-bytes" def:"67108864" min:"0" max:"1099511627776"`
	TotalOpen       int   `a:"whole-open" def:"20000" min:"1" max:"10000000"`
	TotalBytes      int64 `a:"whole-bytes" def:"268435456" min:"1024" max:"1099511627776"`
	PeerOpen        int   `a:"peer-open" def:"0" min:"0" max:"10000000"`
	PeerBytes       int64 `a:"peer-bytes" def:"0" min:"0" max:"1099511627776"`
	MaxRouterQueued int   `a:"held" def:"16" min:"0" max:"1000000"`
}

// WorkerGroup is a group of workers that belong to the service even if no roster lists them.
type WorkerGroup struct {
	Pos
	Name    string         `a:"name" need:"yes"`
	Zone    string         `a:"zone"`
	Cell    string         `a:"cell"`
	Kind    string         `a:"kind"`
	Workers []StaticWorker `e:"worker" need:"yes"`
}

// StaticWorker is a worker of a WorkerGroup.
type StaticWorker struct {
	Pos
	Name   string `a:"name" need:"yes"`
	Socket string `a:"socket" need:"yes"`
}

// Source is the socket of a roster. A front end watches the first roster that accepts its connection.
type Source struct {
	Pos
	Name   string `a:"name" need:"yes"`
	Socket string `a:"socket" need:"yes"`
}

// Listener is a further socket for clients, besides the front end's own. FRONT in its path is replaced by the name of
// the front end.
type Listener struct {
	Pos
	Name     string `a:"name" need:"yes"`
	Protocol string `a:"front" def:"json-rpc" words:"json-rpc http grpc"`
	Socket   string `a:"socket" need:"yes"`
}

// ControlAt is where a front end gets its configuration from.
type ControlAt struct {
	Pos
	Sockets        string      `a:"sockets" need:"yes"` // of the control service's instances, separated by blanks
	SavePath       string      `a:"keep" need:"yes"`    // file for the last good version
	RedialMin      router.Time `a:"redial-min-ms" def:"50" min:"1" max:"60000"`
	RedialMax      router.Time `a:"redial-max-ms" def:"1000" min:"1" max:"600000"`
	ReportInterval router.Time `a:"figures-every-ms" def:"500" min:"10" max:"60000"`
}

// Control is the document of one instance of the stand-in control service.
type Control struct {
	Pos
	Name       string      `a:"name" need:"yes"`
	Socket     string      `a:"socket" need:"yes"` // for followers and operators
	PeerSocket string      `a:"peer-socket" need:"yes"`
	Dir        string      `a:"dir" need:"yes"` // directory of its store
	Heartbeat  router.Time `a:"beat-ms" def:"250" min:"20" max:"60000"`
	Rollout    Roll        `e:"rollout"`
	Others     []Instance  `e:"instance"`
}

// Roll has the parameters of rollouts; see rollout.Settings.
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
	Name       string `a:"name" need:"yes"`
	PeerSocket string `a:"peer-socket" need:"yes"`
}

// Shares returns the stages, each as a share of the front ends.
func (r *Roll) Shares() (out []float64, err error) {
	for word := range strings.FieldsSeq(r.Stages) {
		var share float64
		if _, err := fmt.Sscanf(word, "%g", &share); err != nil || share <= 0 || share > 1 ||
			len(out) > 0 && share <= out[len(out)-1] {
			return nil, r.Errorf("stages %q: %q is not a share above the one before and at most 1", r.Stages, word)
		}
		out = append(out, share)
	}
	if len(out) == 0 || out[len(out)-1] != 1 {
		return nil, r.Errorf("stages %q: the last one must be 1", r.Stages)
	}
	return out, nil
}

// ReadControl reads and checks the document of an instance of the control service.
func ReadControl(file string) (*Control, error) {
	c := &Control{}
	if err := readFile(file, "control", c); err != nil {
		return nil, err
	}
	if _, err := c.Rollout.Shares(); err != nil {
		return nil, err
	}
	if len(c.Others)%2 != 0 {
		return nil, c.Errorf("%d instances: an even number tolerates no more failures than one instance fewer; use an odd number", len(c.Others)+1)
	}
	return c, checkDistinct(append(slices.Clone(c.Others), Instance{c.Pos, c.Name, c.PeerSocket}),
		func(i Instance) (string, Pos) { return i.Name, i.Pos }, "instance")
}

// ReadConfiguration reads a configuration and checks everything that does not depend on a front end.
func ReadConfiguration(file string, in io.Reader) (*Configuration, error) {
	c := &Configuration{}
	if err := readDocument(file, in, "configuration", c); err != nil {
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
		case g.Zone != "" && indexByName(c.Service.Zones, g.Zone) < 0:
			return g.Errorf("zone %q is not defined in the service", g.Zone)
		case g.Cell != "" && indexByName(c.Service.Cells, g.Cell) < 0:
			return g.Errorf("cell %q is not defined in the service", g.Cell)
		case g.Kind != "" && c.Service.KindID(g.Kind) == router.KindID(len(c.Service.Kinds)):
			return g.Errorf("kind %q is not defined in the service", g.Kind)
		}
	}
	return cmp.Or(
		checkDistinct(c.Groups, func(g WorkerGroup) (string, Pos) { return g.Name, g.Pos }, "group"),
		checkDistinct(workers, func(w StaticWorker) (string, Pos) { return w.Name, w.Pos }, "worker"),
		checkDistinct(c.Sources, func(s Source) (string, Pos) { return s.Name, s.Pos }, "source"),
		checkDistinct(c.Listeners, func(l Listener) (string, Pos) { return l.Name, l.Pos }, "listener"),
		checkDistinct(c.Listeners, func(l Listener) (string, Pos) { return l.Socket, l.Pos }, "listener of socket"))
}

// WithConfiguration returns the front end's settings with a configuration applied, fully checked. Methods, customers,
// zones, cells and kinds keep the indexes that they have in before, the current service; new ones follow, and removed
// ones keep their index.
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
		if l.Protocol != "json-rpc" && f.KServe == nil {
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
	next.Service = *c.Service.alignedTo(before)
	return &next, nil
}

// AlignService returns the configuration's service with everything at the indexes that it has in before.
func (c *Configuration) AlignService(before *Service) *Service { return c.Service.alignedTo(before) }

// ApplyLimits replaces the limits by those of a configuration; nil leaves them as they are.
func (c *Clients) ApplyLimits(l *Limits) {
	if l == nil {
		return
	}
	c.ConnOpen, c.ConnBytes, c.TotalOpen, c.TotalBytes = l.ConnOpen, l.ConnBytes, l.TotalOpen, l.TotalBytes
	c.PeerOpen, c.PeerBytes, c.MaxRouterQueued = l.PeerOpen, l.PeerBytes, l.MaxRouterQueued
}

// LimitSettings returns the settings of the front end's admission queue.
func (f *FrontEnd) LimitSettings() admission.Settings {
	c, maxRetryAfter := &f.Clients, f.Service.CallOuts.RetryAfter
	if !f.Service.CallOuts.AdviseRetry {
		maxRetryAfter = 0
	}
	return admission.Settings{Total: admission.Limit{RPCs: c.TotalOpen, Bytes: c.TotalBytes},
		Peer: admission.Limit{RPCs: c.PeerOpen, Bytes: c.PeerBytes}, Conn: admission.Limit{RPCs: c.ConnOpen, Bytes: c.ConnBytes},
		MaxRouterQueued: c.MaxRouterQueued, MaxRetryAfter: maxRetryAfter}
}

// CustomerNames returns the names of the customers by index, empty for removed ones.
func (s *Service) CustomerNames() []string {
	out := make([]string, len(s.Customers))
	for i, c := range s.Customers {
		if out[i] = c.Name; c.Removed {
			out[i] = ""
		}
	}
	return out
}

// alignedTo returns s with everything at the indexes that it has in before.
func (s *Service) alignedTo(before *Service) *Service {
	out := *s
	out.Methods = alignByName(before.Methods, s.Methods, func(m *Method) string { return m.Name }, func(m *Method) { m.Removed = true })
	out.Customers = alignByName(before.Customers, s.Customers, func(c *Customer) string { return c.Name }, func(c *Customer) { c.Removed, c.Quota = true, 0 })
	zoneOrCellName := func(n *Named) string { return n.Name }
	out.Zones = alignByName(before.Zones, s.Zones, zoneOrCellName, func(*Named) {})
	out.Cells = alignByName(before.Cells, s.Cells, zoneOrCellName, func(*Named) {})
	out.Kinds = alignByName(before.Kinds, s.Kinds, func(k *Kind) string { return k.Name }, func(*Kind) {})
	return &out
}

// alignByName returns the current items at the indexes that their names have in known; new items follow. Known items
// that are not among the current ones are marked by markRemoved.
func alignByName[T any](known, current []T, name func(*T) string, markRemoved func(*T)) []T {
	out, indexes := slices.Clone(known), map[string]int{}
	for i := range out {
		indexes[name(&out[i])] = i
		markRemoved(&out[i])
	}
	for i := range current {
		if index, exists := indexes[name(&current[i])]; exists {
			out[index] = current[i]
		} else {
			out = append(out, current[i])
		}
	}
	return out
}

// Resource is one resource of a configuration: an element with the path of its type, its name and its XML text.
type Resource struct {
	Type, Name, Text string
}

// resourceOrder is the order of the resource types in a configuration's text, as the schema requires it.
var resourceOrder = []string{"service/method", "service/customer", "service/zone", "service/cell", "service/kind",
	"service/functions", "service/call-outs", "service/rules", "service/price", "service/shared",
	"limits", "group", "source", "listener", "model"}

// ReadResources splits a configuration's text into its resources, in the order of ResourcesText. The text must be
// well-formed; names and values are not checked.
func ReadResources(file string, in io.Reader) ([]Resource, error) {
	root, err := parse(file, in)
	if err != nil {
		return nil, err
	}
	if root.name != "configuration" {
		return nil, root.pos.Errorf("root element %q, want %q", root.name, "configuration")
	}
	var resources []Resource
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
			resource := Resource{Type: path + child.name}
			for _, a := range child.attrs {
				if a.Name.Local == "name" || a.Name.Local == "version" {
					resource.Name = strings.Trim(resource.Name+"/"+a.Value, "/")
				}
			}
			if seen[resource] {
				return child.pos.Errorf("%s %q stands twice", child.name, resource.Name)
			}
			seen[resource] = true
			var b bytes.Buffer
			child.appendTo(&b, "")
			resource.Text = b.String()
			resources = append(resources, resource)
		}
		return nil
	}
	if err := split(root, ""); err != nil {
		return nil, err
	}
	SortResources(resources)
	return resources, nil
}

// SortResources sorts resources into the order of ResourcesText.
func SortResources(resources []Resource) {
	rank := func(r Resource) int {
		if i := slices.Index(resourceOrder, r.Type); i >= 0 {
			return i
		}
		return len(resourceOrder)
	}
	slices.SortFunc(resources, func(a, b Resource) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Type, b.Type), cmp.Compare(a.Name, b.Name))
	})
}

// appendTo appends the XML of an element with the content that was read.
func (e *element) appendTo(b *bytes.Buffer, indent string) {
	fmt.Fprintf(b, "%s<%s", indent, e.name)
	for _, a := range e.attrs {
		fmt.Fprintf(b, " %s=\"%s\"", a.Name.Local, escapeXML(a.Value))
	}
	if len(e.children) == 0 {
		b.WriteString("/>\n")
		return
	}
	b.WriteString(">\n")
	for _, child := range e.children {
		child.appendTo(b, indent+"  ")
	}
	fmt.Fprintf(b, "%s</%s>\n", indent, e.name)
}

// ResourcesText returns the canonical text of resources, which are in order. This text is numbered, digested, saved and
// shown.
func ResourcesText(resources []Resource) string {
	var service, rest strings.Builder
	for _, r := range resources {
		to, indent := &rest, "  "
		if strings.HasPrefix(r.Type, "service/") {
			to, indent = &service, "    "
		}
		for line := range strings.Lines(r.Text) {
			to.WriteString(indent + line)
		}
	}
	return "<configuration>\n  <service>\n" + service.String() + "  </service>\n" + rest.String() + "</configuration>\n"
}
