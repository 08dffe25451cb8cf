// Package platform puts together a front end as the operators' platform starts it: configuration from
// BALANCER_CONFIG, clients over Thrift, workers over HTTP, the list of workers from the journal service. The engine
// and the module are those of every other front end.
package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"mallowlanding/internal/engine"
	"mallowlanding/internal/feed"
	"mallowlanding/internal/front"
	"mallowlanding/internal/ident"
	"mallowlanding/internal/site"
	"mallowlanding/internal/terms"
	"mallowlanding/internal/thrift"
	"mallowlanding/internal/turn"
	"mallowlanding/router"
)

// Config is what a front end is told at its start, and again with SIGHUP.
type Config struct {
	Name, Listen, Journal string
	Seed                  int64
	MemoryMB              float64 // over it the front end is killed
	Sockets               int     // descriptors that it may hold
	Known                 []byte  // the events up to now
	Module                router.Settings
	Methods               []engine.Method
	Customers             []string
	Zones, Kinds          []string
	Values                []string // of a load report, by place

	settings map[string]any // as read
}

// Bounds of what a front end can run with.
const (
	socketsLeast = 48
	memoryLeast  = 16 // MB
)

// BadConfig is what is wrong with a configuration: file, place and reason.
type BadConfig struct{ error }

// ReadConfig reads the file that BALANCER_CONFIG names. What is missing there, the variables tell.
func ReadConfig(path string, env func(string) string) (*Config, error) {
	if path == "" {
		return nil, BadConfig{errors.New("BALANCER_CONFIG is not set: it names the configuration's file")}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, BadConfig{fmt.Errorf("configuration: %w", err)}
	}
	c, err := parse(text, env)
	if err != nil {
		return nil, BadConfig{fmt.Errorf("configuration %s: %w", path, err)}
	}
	return c, nil
}

func parse(text []byte, env func(string) string) (*Config, error) {
	var tree map[string]json.RawMessage
	if err := json.Unmarshal(text, &tree); err != nil {
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) {
			return nil, fmt.Errorf("byte %d: %w", syntax.Offset, err)
		}
		return nil, err
	}
	var err error
	read := func(name string, to any) {
		if raw, told := tree[name]; told && err == nil {
			if e := json.Unmarshal(raw, to); e != nil {
				err = fmt.Errorf("%q: %w", name, e)
			}
		}
	}
	c := &Config{Name: env("BALANCER_NAME"), Listen: env("BALANCER_LISTEN"), Known: tree["known"]}
	var seed string
	var limits map[string]float64
	var settings map[string]any
	read("name", &c.Name)
	read("listen", &c.Listen)
	read("journal", &c.Journal)
	read("seed", &seed)
	read("limits", &limits)
	read("settings", &settings)
	if err != nil {
		return nil, err
	}
	bits, err := strconv.ParseUint(seed, 16, 64)
	c.Seed, c.MemoryMB, c.Sockets = int64(bits), limits["memory_mb"], int(limits["sockets"])
	for _, address := range []struct{ name, value string }{{"listen", c.Listen}, {"journal", c.Journal}} {
		if _, _, e := net.SplitHostPort(address.value); e != nil {
			return nil, fmt.Errorf("%q: %w", address.name, e)
		}
	}
	switch {
	case err != nil:
		return nil, fmt.Errorf(`"seed": %q is no hex number`, seed)
	case len(c.Known) == 0:
		return nil, errors.New(`"known" is missing`)
	case c.MemoryMB < memoryLeast:
		return nil, fmt.Errorf(`"limits": memory_mb %g, %d are needed`, c.MemoryMB, memoryLeast)
	case c.Sockets < socketsLeast:
		return nil, fmt.Errorf(`"limits": sockets %d, %d are needed`, c.Sockets, socketsLeast)
	case settings == nil:
		return nil, errors.New(`"settings" is missing`)
	}
	c.settings = settings
	return c, c.take(nil)
}

// take reads the settings. Gone are the places of methods and customers that were removed, by list and place.
func (c *Config) take(gone map[string]map[int]bool) error {
	for _, list := range site.Lists {
		if err := ident.Distinct(site.Names(c.settings, list), func(name string) string { return name }); err != nil {
			return fmt.Errorf(`"settings": %q: %w`, list, err)
		}
	}
	c.Module = site.Flat(c.settings)
	c.Module[terms.List] = terms.Pushed // the journal service's events come by themselves
	c.Module[terms.Path(terms.Rules, terms.ListLasts)] = float64(turn.Span(feed.SilenceClock))
	c.Customers, c.Zones, c.Kinds = site.Names(c.settings, site.Customers), site.Names(c.settings, site.Zones), site.Names(c.settings, site.Kinds)
	for i := range gone[site.Customers] {
		c.Customers[i] = ""
	}
	c.Methods, c.Values = nil, nil // of the settings as they were read
	if err := c.readMethods(site.Names(c.settings, site.Methods)); err != nil {
		return err
	}
	for i := range gone[site.Methods] {
		c.Methods[i].Gone = true
	}
	return nil
}

// keepPlaces puts what the settings list by place where the configuration before had it: RPCs that are open, and
// workers, go by places. What is gone keeps its place and what it was; what is new comes behind.
func (c *Config) keepPlaces(was *Config) error {
	settings, gone := site.KeepPlaces(c.settings, was.settings)
	c.settings = settings
	return c.take(gone)
}

// readJournal reads the journal service's address alone, out of a file that need not be right, nor whole; empty: it
// can't be told.
func readJournal(path string) (address string) {
	text, err := os.ReadFile(path)
	if err != nil {
		return ""
	}
	d := json.NewDecoder(bytes.NewReader(text))
	if start, err := d.Token(); err != nil || start != json.Delim('{') {
		return ""
	}
	for d.More() {
		name, err := d.Token()
		var value json.RawMessage
		if err != nil || d.Decode(&value) != nil {
			return ""
		}
		if name == "journal" {
			if json.Unmarshal(value, &address) != nil {
				return ""
			}
			if _, _, err := net.SplitHostPort(address); err != nil {
				return ""
			}
			return address
		}
	}
	return ""
}

// readMethods reads what the engine itself needs of the methods, and the load report's values.
func (c *Config) readMethods(names []string) error {
	if len(names) == 0 {
		return errors.New(`"settings": no methods`)
	}
	for i, name := range names {
		num := func(what string) float64 { return c.number(terms.At(terms.Methods, i, what)) }
		word := func(what string) string { v, _ := c.Module[terms.At(terms.Methods, i, what)].(string); return v }
		m := engine.Method{Name: name, Effect: word(terms.Effect), Group: word(terms.Group), Gain: num(terms.Gain),
			Soft: router.Time(num(terms.SoftDeadline)), Deadline: router.Time(num(terms.Deadline)), Batch: 1}
		if name == "" || m.Deadline <= 0 {
			return fmt.Errorf(`"settings": method %d lacks its name or its deadline`, i)
		}
		c.Methods = append(c.Methods, m)
	}
	values := terms.Path(terms.Report, terms.Values)
	for i := range int(c.number(values)) {
		word, _ := c.Module[terms.At(values, i, "")].(string)
		c.Values = append(c.Values, word)
	}
	return nil
}

func (c *Config) number(name string) float64 { v, _ := c.Module[name].(float64); return v }

// span reads a time of the settings.
func (c *Config) span(level, name string, or time.Duration) time.Duration {
	if v := c.number(terms.Path(level, name)); v > 0 {
		return turn.Duration(router.Time(v))
	}
	return or
}

// connections is the half of the descriptors that is the clients', and the workers' other half.
func (c *Config) connections() int { return (c.Sockets - ownFiles) / 2 }

// bounds are those of the clients' side.
func (c *Config) bounds() thrift.Bounds {
	return thrift.Bounds{Connections: c.connections(), MemoryMost: c.memoryMost()}
}

// pace is how far apart turns begin at the least: as the module is driven elsewhere.
func (c *Config) pace() time.Duration { return turn.Duration(router.Time(c.number(terms.Tick))) }

// heap is what Go's collector keeps its own under.
func (c *Config) heap() int64 { return int64(c.MemoryMB * heapPart * (1 << 20)) }

// longest is the longest deadline of a method that there still is: the platform kills us by these.
func (c *Config) longest() (most time.Duration) {
	for _, m := range c.Methods {
		if !m.Gone {
			most = max(most, turn.Duration(m.Deadline))
		}
	}
	return most
}

// memoryMost is the memory of the largest kind of worker, in MB.
func (c *Config) memoryMost() (most float64) {
	for i := range c.Kinds {
		most = max(most, c.number(terms.At(terms.Path(terms.Functions, terms.Memory), i, "")))
	}
	return most
}

func (c *Config) service() *front.Service { return front.Prepare(c.Methods, c.Customers, nil) }
