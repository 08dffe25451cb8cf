package pebble

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"mallowlanding/router"
)

// words maps the wire's names to ours. Names that are not here are passed over.
var words = map[string]string{
	"balancers": "front-ends", "myNumber": "me", "zone": "zone", "tickNs": "tick",
	"ceilings": "may", "cancel": "retract", "connectTimeoutNs": "connect-time-out", "mayProbe": "check",
	"mostTries": "call-outs", "maxRetryAfterNs": "come-back",
	"secondCopies": "overlap", "maxOpen": "open", "peers": "tell",
	"costs": "price", "crossZone": "cross-zone", "lateFail": "late", "origin": "fetch", "probe": "check",
	"waste":     "waste",
	"customers": "customers", "quotaPerS": "quota", "share": "share",
	"familyInfo": "functions", "idleLifeNs": "keep-alive", "idlePrice": "memory-price", "loadFloor": "load-free",
	"loadRatio": "load-share", "loadsWithinNs": "load-window", "mayLoad": "orders", "onMiss": "on-miss",
	"ramMbByKind": "memory", "tellsWarm": "tells-warm", "notesPeersInHand": "tells-crowd",
	"answerWithinNs": "order-time-out",
	"grades":         "methods", "aimNs": "soft-deadline", "aimStretch": "soft-stretch", "deadlineNs": "deadline",
	"effect": "effect", "group": "group", "lateShare": "late-share", "value": "gain", "windowNs": "window",
	"overShareWorth": "over-share-gain", "registryMode": "list", "worthBy": "gain-by",
	"reporting": "report", "names": "values", "how": "how",
	"rules": "rules", "askEveryNs": "ask-every", "coldFrom": "cold-from", "coldNs": "cold", "drainGraceNs": "drain",
	"fallMultiple": "fall-multiple", "fallNs": "fall", "graceToAnswerNs": "answer-grace",
	// values
	"retryable": router.Idempotent, "dedup": router.Tokened, "fragile": router.SideEffecting,
	"automatic": "pushed", "subscribe": "asked", "rif": "in-hand", "q": "waiting", "busy": "util",
	"lat_ms": "latency", "rate": "served", "fail_rate": "errors", "x0": "pinned", "x1": "loads",
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
				flatten(out, path+"."+word, name, inner)
			}
		}
	case []any:
		out[path] = float64(len(v))
		for i, inner := range v {
			flatten(out, path+"."+strconv.Itoa(i), name, inner)
			if value, isWord := inner.(string); isWord {
				out[path+"."+ours(value)] = float64(i)
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
