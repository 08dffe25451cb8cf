// Package platform assembles a front end for the operators' platform: it reads its configuration from the file named by
// BALANCER_CONFIG, serves clients over Thrift, reaches workers over HTTP and gets the worker list from the journal
// service. Its engine and router are those of every other front end.
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

// Config is the configuration of a front end, read at its start and again on SIGHUP.
type Config struct {
	Name, ListenAddress, JournalAddress string
	Seed                                int64
	MemoryMB                            float64 // memory limit, beyond which the platform kills the front end
	MaxSockets                          int     // limit of open file descriptors
	KnownEvents                         []byte  // the journal's events when the file was written, as JSON
	RouterSettings                      router.Settings
	Methods                             []engine.Method
	Customers                           []string
	Zones, Kinds                        []string
	ReportValues                        []string // names of the values of a load report, by index

	rawSettings map[string]any // as in the file
}

// The least resources that a front end can run with.
const (
	minSockets  = 48
	minMemoryMB = 16
)

// ConfigError is an error in a configuration; its text names the file, the place and the reason.
type ConfigError struct{ error }

// ReadConfig reads the file at path, which BALANCER_CONFIG names. A name and a listen address that are missing there
// come from the environment variables BALANCER_NAME and BALANCER_LISTEN.
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
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(text, &fields); err != nil {
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) {
			return nil, fmt.Errorf("byte %d: %w", syntax.Offset, err)
		}
		return nil, err
	}
	var err error
	decode := func(name string, to any) {
		if raw, ok := fields[name]; ok && err == nil {
			if e := json.Unmarshal(raw, to); e != nil {
				err = fmt.Errorf("%q: %w", name, e)
			}
		}
	}
	c := &Config{Name: env("BALANCER_NAME"), ListenAddress: env("BALANCER_LISTEN"), KnownEvents: fields["known"]}
	var seed string
	var limits map[string]float64
	var settings map[string]any
	decode("name", &c.Name)
	decode("listen", &c.ListenAddress)
	decode("journal", &c.JournalAddress)
	decode("seed", &seed)
	decode("limits", &limits)
	decode("settings", &settings)
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
		return nil, fmt.Errorf(`"seed": %q is not a hexadecimal number`, seed)
	case len(c.KnownEvents) == 0:
		return nil, errors.New(`"known" is missing`)
	case c.MemoryMB < minMemoryMB:
		return nil, fmt.Errorf(`"limits": memory_mb %g, must be at least %d`, c.MemoryMB, minMemoryMB)
	case c.MaxSockets < minSockets:
		return nil, fmt.Errorf(`"limits": sockets %d, must be at least %d`, c.MaxSockets, minSockets)
	case settings == nil:
		return nil, errors.New(`"settings" is missing`)
	}
	c.rawSettings = settings
	return c, c.applySettings(nil)
}

// applySettings derives the other fields from rawSettings. removed holds the indexes of the methods and customers that
// have been removed, by the name of their list.
func (c *Config) applySettings(removed map[string]map[int]bool) error {
	for _, list := range operatorsettings.ListNames {
		if err := nameid.CheckDistinct(operatorsettings.EntryNames(c.rawSettings, list), func(name string) string { return name }); err != nil {
			return fmt.Errorf(`"settings": %q: %w`, list, err)
		}
	}
	c.RouterSettings = operatorsettings.FromTree(c.rawSettings)
	c.RouterSettings[settingkeys.List] = settingkeys.Pushed // the journal service sends events without being polled
	c.RouterSettings[settingkeys.Join(settingkeys.Rules, settingkeys.ListLasts)] = float64(eventloop.FromDuration(feed.SilenceExpiry))
	c.Customers, c.Zones, c.Kinds = operatorsettings.EntryNames(c.rawSettings, operatorsettings.Customers), operatorsettings.EntryNames(c.rawSettings, operatorsettings.Zones), operatorsettings.EntryNames(c.rawSettings, operatorsettings.Kinds)
	for i := range removed[operatorsettings.Customers] {
		c.Customers[i] = ""
	}
	c.Methods, c.ReportValues = nil, nil // discard those of an earlier call
	if err := c.parseMethods(operatorsettings.EntryNames(c.rawSettings, operatorsettings.Methods)); err != nil {
		return err
	}
	for i := range removed[operatorsettings.Methods] {
		c.Methods[i].Removed = true
	}
	return nil
}

// keepIndexes reorders the lists of the settings so that entries keep their index of the previous configuration,
// because open RPCs and workers refer to entries by index. Removed entries keep their index and content; new ones are
// appended.
func (c *Config) keepIndexes(previous *Config) error {
	settings, removed := operatorsettings.KeepIndexes(c.rawSettings, previous.rawSettings)
	c.rawSettings = settings
	return c.applySettings(removed)
}

// readJournalAddress returns only the journal service's address from a file that may be invalid or truncated, or an
// empty string if it can't be read.
func readJournalAddress(path string) (address string) {
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

// parseMethods reads the settings of the methods that the engine itself needs, and the names of a load report's values.
func (c *Config) parseMethods(names []string) error {
	if len(names) == 0 {
		return errors.New(`"settings": no methods`)
	}
	for i, name := range names {
		number := func(key string) float64 { return c.number(settingkeys.Item(settingkeys.Methods, i, key)) }
		text := func(key string) string {
			v, _ := c.RouterSettings[settingkeys.Item(settingkeys.Methods, i, key)].(string)
			return v
		}
		m := engine.Method{Name: name, Effect: text(settingkeys.Effect), Group: text(settingkeys.Group), Gain: number(settingkeys.Gain),
			SoftDeadline: router.Time(number(settingkeys.SoftDeadline)), Deadline: router.Time(number(settingkeys.Deadline)), MaxBatch: 1}
		if name == "" || m.Deadline <= 0 {
			return fmt.Errorf(`"settings": method %d has no name or no deadline`, i)
		}
		c.Methods = append(c.Methods, m)
	}
	values := settingkeys.Join(settingkeys.Report, settingkeys.Values)
	for i := range int(c.number(values)) {
		name, _ := c.RouterSettings[settingkeys.Item(values, i, "")].(string)
		c.ReportValues = append(c.ReportValues, name)
	}
	return nil
}

func (c *Config) number(name string) float64 { v, _ := c.RouterSettings[name].(float64); return v }

// duration returns a time of the settings, or fallback if it is missing or 0.
func (c *Config) duration(section, name string, fallback time.Duration) time.Duration {
	if v := c.number(settingkeys.Join(section, name)); v > 0 {
		return eventloop.ToDuration(router.Time(v))
	}
	return fallback
}

// maxConnections returns the limit of connections to clients, which is also that to workers: each side gets half of the
// file descriptors.
func (c *Config) maxConnections() int { return (c.MaxSockets - reservedFiles) / 2 }

// thriftLimits returns the limits of the clients' side.
func (c *Config) thriftLimits() thrift.Limits {
	limits := thrift.Limits{MaxConnections: c.maxConnections(), MaxMemoryMB: c.maxMemoryMB(),
		RequestBytes: c.memoryBytes(requestShare), AnswerBytes: c.memoryBytes(answerShare), IDRetention: 2 * c.longestDeadline()}
	if advise, _ := c.RouterSettings[settingkeys.Join(settingkeys.May, settingkeys.Advise)].(bool); advise {
		limits.RetryAfter = router.Time(c.number(settingkeys.Join(settingkeys.May, settingkeys.ComeBack)))
	}
	return limits
}

// minTurnInterval returns the least time between the starts of two turns of the event loop: the tick of the settings, as
// in the operators' simulator.
func (c *Config) minTurnInterval() time.Duration {
	return eventloop.ToDuration(router.Time(c.number(settingkeys.Tick)))
}

// heapLimit returns the soft memory limit for Go's garbage collector, in bytes.
func (c *Config) heapLimit() int64 { return c.memoryBytes(heapShare) }

// memoryBytes returns a share of the memory limit in bytes.
func (c *Config) memoryBytes(share float64) int64 { return int64(c.MemoryMB * share * (1 << 20)) }

// longestDeadline returns the longest deadline of the methods that have not been removed. It determines when the
// platform kills a front end that is leaving.
func (c *Config) longestDeadline() (longest time.Duration) {
	for _, m := range c.Methods {
		if !m.Removed {
			longest = max(longest, eventloop.ToDuration(m.Deadline))
		}
	}
	return longest
}

// maxMemoryMB returns the memory of the largest kind of worker.
func (c *Config) maxMemoryMB() (largest float64) {
	for i := range c.Kinds {
		largest = max(largest, c.number(settingkeys.Item(settingkeys.Join(settingkeys.Functions, settingkeys.Memory), i, "")))
	}
	return largest
}

func (c *Config) service() *dispatch.Service { return dispatch.NewService(c.Methods, c.Customers, nil) }
