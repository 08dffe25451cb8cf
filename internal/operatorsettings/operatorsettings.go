// Package operatorsettings translates the settings that operators give an instance, with their own names and units, to
// the router's names and units. It is used by packages simadapter and platform.
package operatorsettings

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"mallowlanding/internal/settingkeys"
	"mallowlanding/router"
)

// keyNames maps the operators' names to the router's. Other names are ignored.
var keyNames = map[string]string{
	"balancers": settingkeys.FrontEnds, "myNumber": settingkeys.Me, "zone": settingkeys.Zone,
	"tickNs":   settingkeys.Tick,
	"ceilings": settingkeys.May, "cancel": settingkeys.Retract, "connectTimeoutNs": settingkeys.ConnectTimeout,
	"mayProbe": settingkeys.Check, "mostTries": settingkeys.CallOuts, "maxRetryAfterNs": settingkeys.ComeBack,
	"retryAfter": settingkeys.Advise, "secondCopies": settingkeys.Overlap, "maxOpen": settingkeys.Open,
	"idleCloseNs": settingkeys.IdleClose, "peers": settingkeys.Tell,
	"clientHabits": settingkeys.Clients, "marksRetry": settingkeys.MarkRepeats,
	"costs": settingkeys.Price, "crossZone": settingkeys.CrossZone, "lateFail": settingkeys.Late,
	"origin": settingkeys.Fetch, "probe": settingkeys.Check, "waste": settingkeys.Waste,
	"customers": settingkeys.Customers, "quotaPerS": settingkeys.Quota, "share": settingkeys.Share,
	"familyInfo": settingkeys.Functions, "idleLifeNs": settingkeys.KeepAlive, "idlePrice": settingkeys.MemoryPrice,
	"loadFloor": settingkeys.LoadFree, "loadRatio": settingkeys.LoadShare, "loadsWithinNs": settingkeys.LoadWindow,
	"mayLoad": settingkeys.Orders, "onMiss": settingkeys.OnMiss, "ramMbByKind": settingkeys.Memory,
	"tellsWarm": settingkeys.TellsWarm, "notesPeersInHand": settingkeys.TellsCrowd,
	"answerWithinNs": settingkeys.OrderTimeout,
	"grades":         settingkeys.Methods, "aimNs": settingkeys.SoftDeadline, "aimStretch": settingkeys.SoftStretch,
	"deadlineNs": settingkeys.Deadline, "effect": settingkeys.Effect, "group": settingkeys.Group,
	"lateShare": settingkeys.LateShare, "value": settingkeys.Gain, "windowNs": settingkeys.Window,
	"overShareWorth": settingkeys.OverShare, "registryMode": settingkeys.List, "worthBy": settingkeys.GainBy,
	"reporting": settingkeys.Report, "names": settingkeys.Values, "how": settingkeys.How,
	"rules": settingkeys.Rules, "askEveryNs": settingkeys.AskEvery, "coldFrom": settingkeys.ColdFrom,
	"coldNs": settingkeys.Cold, "drainGraceNs": settingkeys.Drain, "fallMultiple": settingkeys.FallMultiple,
	"fallNs": settingkeys.Fall, "graceToAnswerNs": settingkeys.AnswerGrace,
	// values of settings
	"retryable": router.Idempotent, "dedup": router.Tokened, "fragile": router.SideEffecting,
	"automatic": settingkeys.Pushed, "subscribe": settingkeys.Asked, "rif": settingkeys.InHand,
	"q": settingkeys.Waiting, "busy": settingkeys.Util, "lat_ms": settingkeys.Latency, "rate": settingkeys.Served,
	"fail_rate": settingkeys.Errors, "x0": settingkeys.Pinned, "x1": settingkeys.Loads,
	// the same report values, by their names on sockets
	"inflight": settingkeys.InHand, "queue": settingkeys.Waiting, "util": settingkeys.Util,
	"latency_ms": settingkeys.Latency, "qps": settingkeys.Served, "eps": settingkeys.Errors,
}

// nanosPerUnit converts the operators' nanoseconds to the router's tenths of a millisecond.
const nanosPerUnit = 100_000

// Translate returns the router's name for one of the operators' names, or the name itself if it is unknown.
func Translate(key string) string {
	if translated, known := keyNames[key]; known {
		return translated
	}
	return key
}

// Parse reads the operators' JSON into router settings.
func Parse(text []byte) (router.Settings, error) {
	var tree map[string]any
	if err := json.Unmarshal(text, &tree); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return FromTree(tree), nil
}

// FromTree is like Parse, for settings already decoded from JSON.
func FromTree(tree map[string]any) router.Settings {
	out := router.Settings{}
	for name, v := range tree {
		if key, known := keyNames[name]; known {
			flatten(out, key, name, v)
		}
	}
	return out
}

// Lists in the operators' settings whose entries have names and are referred to by their index.
const (
	Methods   = "grades"
	Customers = "customers"
	Zones     = "localities"
	Kinds     = "models"
)

// ListNames are the names of all these lists.
var ListNames = []string{Methods, Customers, Zones, Kinds}

// KeepIndexes returns the new settings with every entry of a list at the index it had in the previous ones. A removed
// entry stays at its index as it was, new entries are appended. Removed holds the indexes of removed entries, by list.
// The arguments are not modified.
func KeepIndexes(settings, previous map[string]any) (merged map[string]any, removed map[string]map[int]bool) {
	merged, removed = maps.Clone(settings), map[string]map[int]bool{}
	for _, list := range ListNames {
		before, after := EntryNames(previous, list), EntryNames(settings, list)
		sources := make([]int, len(before)) // index of each merged entry in the new list; -1: removed
		removed[list] = map[int]bool{}
		for i, name := range before {
			if sources[i] = slices.Index(after, name); sources[i] < 0 {
				removed[list][i] = true
			}
		}
		for i, name := range after {
			if !slices.Contains(before, name) {
				sources = append(sources, i)
			}
		}
		merged[list] = reorder(settings[list], previous[list], sources)
		switch list {
		case Kinds: // the memory of each kind's workers is a list with the same indexes
			if functions, ok := settings[functionsKey].(map[string]any); ok {
				functions = maps.Clone(functions)
				old, _ := previous[functionsKey].(map[string]any)
				if _, ok := functions[memoryKey].([]any); ok {
					functions[memoryKey] = reorder(functions[memoryKey], old[memoryKey], sources)
				}
				merged[functionsKey] = functions
			}
		case Zones: // the front end's own zone is given by its index
			if ownIndex, ok := settings[zoneKey].(float64); ok {
				if index := slices.Index(sources, int(ownIndex)); index >= 0 {
					merged[zoneKey] = float64(index)
				}
			}
		}
	}
	return merged, removed
}

// reorder returns the entries of list at the indexes in sources. Where that is -1, it takes the entry of the previous
// list at the same index.
func reorder(list, previous any, sources []int) []any {
	after, _ := list.([]any)
	before, _ := previous.([]any)
	out := make([]any, len(sources))
	for i, source := range sources {
		switch {
		case source >= 0 && source < len(after):
			out[i] = after[source]
		case source < 0 && i < len(before):
			out[i] = before[i]
		}
	}
	return out
}

// Names of operators' settings that KeepIndexes adapts to new indexes.
const (
	functionsKey = "familyInfo"
	memoryKey    = "ramMbByKind"
	zoneKey      = "zone"
)

// EntryNames returns the names of a list's entries by index. The list is one of ListNames.
func EntryNames(tree map[string]any, list string) (names []string) {
	entries, _ := tree[list].([]any)
	for _, entry := range entries {
		name, isString := entry.(string)
		if !isString {
			inner, _ := entry.(map[string]any)
			name, _ = inner["name"].(string)
		}
		names = append(names, name)
	}
	return names
}

// flatten adds the value v of the setting with the operators' name to out, under the router's path. A list is added as
// its length and its entries by index; an entry that is a string is also added as a setting whose value is its index.
func flatten(out router.Settings, path, name string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for name, inner := range v {
			if key, known := keyNames[name]; known {
				flatten(out, settingkeys.Join(path, key), name, inner)
			}
		}
	case []any:
		out[path] = float64(len(v))
		for i, inner := range v {
			flatten(out, settingkeys.Item(path, i, ""), name, inner)
			if value, isString := inner.(string); isString {
				out[settingkeys.Join(path, Translate(value))] = float64(i)
			}
		}
	case float64:
		if strings.HasSuffix(name, "Ns") {
			v /= nanosPerUnit
		}
		out[path] = v
	case bool:
		out[path] = v
	case string:
		out[path] = Translate(v)
	}
}
