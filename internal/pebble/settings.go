package pebble

import (
	"encoding/json"
	"fmt"
	"strings"

	"mallowlanding/internal/terms"
	"mallowlanding/router"
)

// words maps the wire's names to ours. Names that are not here are passed over.
var words = map[string]string{
	"balancers": terms.FrontEnds, "myNumber": terms.Me, "zone": terms.Zone, "tickNs": terms.Tick,
	"ceilings": terms.May, "cancel": terms.Retract, "connectTimeoutNs": terms.ConnectTimeOut, "mayProbe": terms.Check,
	"mostTries": terms.CallOuts, "maxRetryAfterNs": terms.ComeBack, "retryAfter": terms.Advise,
	"secondCopies": terms.Overlap, "maxOpen": terms.Open, "peers": terms.Tell,
	"costs": terms.Price, "crossZone": terms.CrossZone, "lateFail": terms.Late, "origin": terms.Fetch, "probe": terms.Check,
	"waste":     terms.Waste,
	"customers": terms.Customers, "quotaPerS": terms.Quota, "share": terms.Share,
	"familyInfo": terms.Functions, "idleLifeNs": terms.KeepAlive, "idlePrice": terms.MemoryPrice, "loadFloor": terms.LoadFree,
	"loadRatio": terms.LoadShare, "loadsWithinNs": terms.LoadWindow, "mayLoad": terms.Orders, "onMiss": terms.OnMiss,
	"ramMbByKind": terms.Memory, "tellsWarm": terms.TellsWarm, "notesPeersInHand": terms.TellsCrowd,
	"answerWithinNs": terms.OrderTimeOut,
	"grades":         terms.Methods, "aimNs": terms.SoftDeadline, "aimStretch": terms.SoftStretch, "deadlineNs": terms.Deadline,
	"effect": terms.Effect, "group": terms.Group, "lateShare": terms.LateShare, "value": terms.Gain, "windowNs": terms.Window,
	"overShareWorth": terms.OverShare, "registryMode": terms.List, "worthBy": terms.GainBy,
	"reporting": terms.Report, "names": terms.Values, "how": terms.How,
	"rules": terms.Rules, "askEveryNs": terms.AskEvery, "coldFrom": terms.ColdFrom, "coldNs": terms.Cold, "drainGraceNs": terms.Drain,
	"fallMultiple": terms.FallMultiple, "fallNs": terms.Fall, "graceToAnswerNs": terms.AnswerGrace,
	// values
	"retryable": router.Idempotent, "dedup": router.Tokened, "fragile": router.SideEffecting,
	"automatic": terms.Pushed, "subscribe": terms.Asked, "rif": terms.InHand, "q": terms.Waiting, "busy": terms.Util,
	"lat_ms": terms.Latency, "rate": terms.Served, "fail_rate": terms.Errors, "x0": terms.Pinned, "x1": terms.Loads,
}

func ours(word string) string {
	if w, known := words[word]; known {
		return w
	}
	return word
}

// settings flattens the wire's JSON into our names and units.
func settings(text []byte) (router.Settings, error) {
	var tree map[string]any
	if err := json.Unmarshal(text, &tree); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	out := router.Settings{}
	for name, v := range tree {
		if word, known := words[name]; known {
			flatten(out, word, name, v)
		}
	}
	return out, nil
}

func flatten(out router.Settings, path, name string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for name, inner := range v {
			if word, known := words[name]; known {
				flatten(out, terms.Path(path, word), name, inner)
			}
		}
	case []any:
		out[path] = float64(len(v))
		for i, inner := range v {
			flatten(out, terms.At(path, i, ""), name, inner)
			if value, isWord := inner.(string); isWord {
				out[terms.Path(path, ours(value))] = float64(i)
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
		out[path] = ours(v)
	}
}
