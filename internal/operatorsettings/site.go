// Package operatorsettings reads the settings that an instance is given by the operators, under their names and in their units,
// and hands them on under ours. The bench's adapter and the front end on the platform share it.
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

// words maps the wire's names to ours. Names that are not here are passed over.
var words = map[string]string{
	"balancers": settingkeys.FrontEnds, "myNumber": settingkeys.Me, "zone": settingkeys.Zone, "tickNs": settingkeys.Tick,
	"ceilings": settingkeys.May, "cancel": settingkeys.Retract, "connectTimeoutNs": settingkeys.ConnectTimeout, "mayProbe": settingkeys.Check,
	"mostTries": settingkeys.CallOuts, "maxRetryAfterNs": settingkeys.ComeBack, "retryAfter": settingkeys.Advise,
	"secondCopies": settingkeys.Overlap, "maxOpen": settingkeys.Open, "idleCloseNs": settingkeys.IdleClose, "peers": settingkeys.Tell,
	"clientHabits": settingkeys.Clients, "marksRetry": settingkeys.MarkRepeats,
	"costs": settingkeys.Price, "crossZone": settingkeys.CrossZone, "lateFail": settingkeys.Late, "origin": settingkeys.Fetch, "probe": settingkeys.Check,
	"waste":     settingkeys.Waste,
	"customers": settingkeys.Customers, "quotaPerS": settingkeys.Quota, "share": settingkeys.Share,
	"familyInfo": settingkeys.Functions, "idleLifeNs": settingkeys.KeepAlive, "idlePrice": settingkeys.MemoryPrice, "loadFloor": settingkeys.LoadFree,
	"loadRatio": settingkeys.LoadShare, "loadsWithinNs": settingkeys.LoadWindow, "mayLoad": settingkeys.Orders, "onMiss": settingkeys.OnMiss,
	"ramMbByKind": settingkeys.Memory, "tellsWarm": settingkeys.TellsWarm, "notesPeersInHand": settingkeys.TellsCrowd,
	"answerWithinNs": settingkeys.OrderTimeout,
	"grades":         settingkeys.Methods, "aimNs": settingkeys.SoftDeadline, "aimStretch": settingkeys.SoftStretch, "deadlineNs": settingkeys.Deadline,
	"effect": settingkeys.Effect, "group": settingkeys.Group, "lateShare": settingkeys.LateShare, "value": settingkeys.Gain, "windowNs": settingkeys.Window,
	"overShareWorth": settingkeys.OverShare, "registryMode": settingkeys.List, "worthBy": settingkeys.GainBy,
	"reporting": settingkeys.Report, "names": settingkeys.Values, "how": settingkeys.How,
	"rules": settingkeys.Rules, "askEveryNs": settingkeys.AskEvery, "coldFrom": settingkeys.ColdFrom, "coldNs": settingkeys.Cold, "drainGraceNs": settingkeys.Drain,
	"fallMultiple": settingkeys.FallMultiple, "fallNs": settingkeys.Fall, "graceToAnswerNs": settingkeys.AnswerGrace,
	// values
	"retryable": router.Idempotent, "dedup": router.Tokened, "fragile": router.SideEffecting,
	"automatic": settingkeys.Pushed, "subscribe": settingkeys.Asked, "rif": settingkeys.InHand, "q": settingkeys.Waiting, "busy": settingkeys.Util,
	"lat_ms": settingkeys.Latency, "rate": settingkeys.Served, "fail_rate": settingkeys.Errors, "x0": settingkeys.Pinned, "x1": settingkeys.Loads,
	// the same on sockets
	"inflight": settingkeys.InHand, "queue": settingkeys.Waiting, "util": settingkeys.Util, "latency_ms": settingkeys.Latency,
	"qps": settingkeys.Served, "eps": settingkeys.Errors,
}

// nsPerUnit: the operators' times are in nanoseconds, the module's in tenths of a millisecond.
const nsPerUnit = 100_000

// Translate is our word for one of the operators'; one that is unknown stays as it is.
func Translate(word string) string {
	if w, known := words[word]; known {
		return w
	}
	return word
}

// Parse flattens the operators' JSON into our names and units.
func Parse(text []byte) (router.Settings, error) {
	var tree map[string]any
	if err := json.Unmarshal(text, &tree); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return FromTree(tree), nil
}

// FromTree is Settings of what has been decoded.
func FromTree(tree map[string]any) router.Settings {
	out := router.Settings{}
	for name, v := range tree {
		if word, known := words[name]; known {
			flatten(out, word, name, v)
		}
	}
	return out
}

// Lists of the operators' settings whose entries are named and go by their places.
const (
	Methods   = "grades"
	Customers = "customers"
	Zones     = "localities"
	Kinds     = "models"
)

// ListNames are all of them.
var ListNames = []string{Methods, Customers, Zones, Kinds}

// KeepIndexes gives new settings with all that is listed by place where the settings before had it. An entry that is gone
// keeps its place as it was; new ones come behind. Gone tells which are gone, by list. Nothing given is changed.
func KeepIndexes(settings, was map[string]any) (kept map[string]any, gone map[string]map[int]bool) {
	kept, gone = maps.Clone(settings), map[string]map[int]bool{}
	for _, list := range ListNames {
		before, after := EntryNames(was, list), EntryNames(settings, list)
		from := make([]int, len(before)) // places in the new settings; -1: gone
		gone[list] = map[int]bool{}
		for i, name := range before {
			if from[i] = slices.Index(after, name); from[i] < 0 {
				gone[list][i] = true
			}
		}
		for i, name := range after {
			if !slices.Contains(before, name) {
				from = append(from, i)
			}
		}
		kept[list] = arrange(settings[list], was[list], from)
		switch list {
		case Kinds: // what a kind's workers hold is listed beside it
			if family, is := settings[functions].(map[string]any); is {
				family = maps.Clone(family)
				old, _ := was[functions].(map[string]any)
				if _, told := family[memory].([]any); told {
					family[memory] = arrange(family[memory], old[memory], from)
				}
				kept[functions] = family
			}
		case Zones: // our own zone is told by its place
			if own, is := settings[zone].(float64); is {
				if at := slices.Index(from, int(own)); at >= 0 {
					kept[zone] = float64(at)
				}
			}
		}
	}
	return kept, gone
}

// arrange lists the entries of the new list by their places there; those without one are the old list's, at their own.
func arrange(list, was any, from []int) []any {
	after, _ := list.([]any)
	before, _ := was.([]any)
	out := make([]any, len(from))
	for i, place := range from {
		switch {
		case place >= 0 && place < len(after):
			out[i] = after[place]
		case place < 0 && i < len(before):
			out[i] = before[i]
		}
	}
	return out
}

// Names of the operators' settings that KeepPlaces heeds.
const (
	functions = "familyInfo"
	memory    = "ramMbByKind"
	zone      = "zone"
)

// EntryNames are those of a list of the operators' settings, by place: of methods ("grades"), customers ("customers"),
// zones ("localities") and kinds of worker ("models").
func EntryNames(tree map[string]any, list string) (names []string) {
	places, _ := tree[list].([]any)
	for _, place := range places {
		name, isWord := place.(string)
		if !isWord {
			inner, _ := place.(map[string]any)
			name, _ = inner["name"].(string)
		}
		names = append(names, name)
	}
	return names
}

func flatten(out router.Settings, path, name string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for name, inner := range v {
			if word, known := words[name]; known {
				flatten(out, settingkeys.Join(path, word), name, inner)
			}
		}
	case []any:
		out[path] = float64(len(v))
		for i, inner := range v {
			flatten(out, settingkeys.Item(path, i, ""), name, inner)
			if value, isWord := inner.(string); isWord {
				out[settingkeys.Join(path, Translate(value))] = float64(i)
			}
		}
	case float64:
		if strings.HasSuffix(name, "Ns") {
			v /= nsPerUnit
		}
		out[path] = v
	case bool:
		out[path] = v
	case string:
		out[path] = Translate(v)
	}
}
