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

	"mallowlanding/internal/dispatch"
	"mallowlanding/internal/engine"
	"mallowlanding/internal/eventloop"
	"mallowlanding/internal/feed"
	"mallowlanding/internal/nameid"
	"mallowlanding/internal/operatorsettings"
	"mallowlanding/internal/settingkeys"
	"mallowlanding/internal/thrift"
	"mallowlanding/router"
)

// Config is what a front end is told at its start, and again with SIGHUP.
type Config struct {
	Name, ListenAddress, JournalAddress string
	Seed                                int64
	MemoryMB                            float64 // over it the front end is killed
	MaxSockets                          int     // descriptors that it may hold
	KnownEvents                         []byte  // the events up to now
	ModuleSettings                      router.Settings
	Methods                             []engine.Method
	Customers                           []string
	Zones, Kinds                        []string
	ReportValues                        []string // of a load report, by place

	settings map[string]any // as read
}

// Bounds of what a front end can run with.
const (
	socketsLeast = 48
	memoryLeast  = 16 // MB
)

// ConfigError is what is wrong with a configuration: file, place and reason.
type ConfigError struct{ error }

// ReadConfig reads the file that BALANCER_CONFIG names. What is missing there, the variables tell.
func ReadConfig(path string, env func(string) string) (*Config, error) {
	if path == "" {
		return nil, ConfigError{errors.New("BALANCER_CONFIG is not set: it names the configuration's file")}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, ConfigError{fmt.Errorf("configuration: %w", err)}
	}
	c, err := parse(text, env)
	if err != nil {
		return nil, ConfigError{fmt.Errorf("configuration %s: %w", path, err)}
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
	c := &Config{Name: env("BALANCER_NAME"), ListenAddress: env("BALANCER_LISTEN"), KnownEvents: tree["known"]}
	var seed string
	var limits map[string]float64
	var settings map[string]any
	read("name", &c.Name)
	read("listen", &c.ListenAddress)
	read("journal", &c.JournalAddress)
	read("seed", &seed)
	read("limits", &limits)
	read("settings", &settings)
	if err != nil {
		return nil, err
	}
	bits, err := strconv.ParseUint(seed, 16, 64)
	c.Seed, c.MemoryMB, c.MaxSockets = int64(bits), limits["memory_mb"], int(limits["sockets"])
	for _, address := range []struct{ name, value string }{{"listen", c.ListenAddress}, {"journal", c.JournalAddress}} {
		if _, _, e := net.SplitHostPort(address.value); e != nil {
			return nil, fmt.Errorf("%q: %w", address.name, e)
		}
	}
	switch {
	case err != nil:
		return nil, fmt.Errorf(`"seed": %q is no hex number`, seed)
	case len(c.KnownEvents) == 0:
		return nil, errors.New(`"known" is missing`)
	case c.MemoryMB < memoryLeast:
		return nil, fmt.Errorf(`"limits": memory_mb %g, %d are needed`, c.MemoryMB, memoryLeast)
	case c.MaxSockets < socketsLeast:
		return nil, fmt.Errorf(`"limits": sockets %d, %d are needed`, c.MaxSockets, socketsLeast)
	case settings == nil:
		return nil, errors.New(`"settings" is missing`)
	}
	c.settings = settings
	return c, c.take(nil)
}

// take reads the settings. Gone are the places of methods and customers that were removed, by list and place.
func (c *Config) take(gone map[string]map[int]bool) error {
	for _, list := range operatorsettings.ListNames {
		if err := nameid.CheckDistinct(operatorsettings.EntryNames(c.settings, list), func(name string) string { return name }); err != nil {
			return fmt.Errorf(`"settings": %q: %w`, list, err)
		}
	}
	c.ModuleSettings = operatorsettings.FromTree(c.settings)
	c.ModuleSettings[settingkeys.List] = settingkeys.Pushed // the journal service's events come by themselves
	c.ModuleSettings[settingkeys.Join(settingkeys.Rules, settingkeys.ListLasts)] = float64(eventloop.FromDuration(feed.SilenceExpiry))
	c.Customers, c.Zones, c.Kinds = operatorsettings.EntryNames(c.settings, operatorsettings.Customers), operatorsettings.EntryNames(c.settings, operatorsettings.Zones), operatorsettings.EntryNames(c.settings, operatorsettings.Kinds)
	for i := range gone[operatorsettings.Customers] {
		c.Customers[i] = ""
	}
	c.Methods, c.ReportValues = nil, nil // of the settings as they were read
	if err := c.readMethods(operatorsettings.EntryNames(c.settings, operatorsettings.Methods)); err != nil {
		return err
	}
	for i := range gone[operatorsettings.Methods] {
		c.Methods[i].Removed = true
	}
	return nil
}

// keepPlaces puts what the settings list by place where the configuration before had it: RPCs that are open, and
// workers, go by places. What is gone keeps its place and what it was; what is new comes behind.
func (c *Config) keepPlaces(was *Config) error {
	settings, gone := operatorsettings.KeepIndexes(c.settings, was.settings)
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
		num := func(what string) float64 { return c.number(settingkeys.Item(settingkeys.Methods, i, what)) }
		word := func(what string) string {
			v, _ := c.ModuleSettings[settingkeys.Item(settingkeys.Methods, i, what)].(string)
			return v
		}
		m := engine.Method{Name: name, Effect: word(settingkeys.Effect), Group: word(settingkeys.Group), Gain: num(settingkeys.Gain),
			SoftDeadline: router.Time(num(settingkeys.SoftDeadline)), Deadline: router.Time(num(settingkeys.Deadline)), MaxBatch: 1}
		if name == "" || m.Deadline <= 0 {
			return fmt.Errorf(`"settings": method %d lacks its name or its deadline`, i)
		}
		c.Methods = append(c.Methods, m)
	}
	values := settingkeys.Join(settingkeys.Report, settingkeys.Values)
	for i := range int(c.number(values)) {
		word, _ := c.ModuleSettings[settingkeys.Item(values, i, "")].(string)
		c.ReportValues = append(c.ReportValues, word)
	}
	return nil
}

func (c *Config) number(name string) float64 { v, _ := c.ModuleSettings[name].(float64); return v }

// span reads a time of the settings.
func (c *Config) span(level, name string, or time.Duration) time.Duration {
	if v := c.number(settingkeys.Join(level, name)); v > 0 {
		return eventloop.ToDuration(router.Time(v))
	}
	return or
}

// connections is the half of the descriptors that is the clients', and the workers' other half.
func (c *Config) connections() int { return (c.MaxSockets - ownFiles) / 2 }

// bounds are those of the clients' side.
func (c *Config) bounds() thrift.Limits {
	return thrift.Limits{MaxConnections: c.connections(), MaxMemoryMB: c.memoryMost()}
}

// pace is how far apart turns begin at the least: as the module is driven elsewhere.
func (c *Config) pace() time.Duration {
	return eventloop.ToDuration(router.Time(c.number(settingkeys.Tick)))
}

// heap is what Go's collector keeps its own under.
func (c *Config) heap() int64 { return int64(c.MemoryMB * heapPart * (1 << 20)) }

// longest is the longest deadline of a method that there still is: the platform kills us by these.
func (c *Config) longest() (most time.Duration) {
	for _, m := range c.Methods {
		if !m.Removed {
			most = max(most, eventloop.ToDuration(m.Deadline))
		}
	}
	return most
}

// memoryMost is the memory of the largest kind of worker, in MB.
func (c *Config) memoryMost() (most float64) {
	for i := range c.Kinds {
		most = max(most, c.number(settingkeys.Item(settingkeys.Join(settingkeys.Functions, settingkeys.Memory), i, "")))
	}
	return most
}

func (c *Config) service() *dispatch.Service { return dispatch.NewService(c.Methods, c.Customers, nil) }
