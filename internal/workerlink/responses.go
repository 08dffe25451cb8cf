package workerlink

import (
	"bytes"

	"github.com/go-json-experiment/json/jsontext"

	"mallowlanding/internal/jsonrpc"
	"mallowlanding/router"
)

// Error codes of workers' answers. All but Failed and Cancelled prove that the RPC never ran.
const (
	Full       = -32010 // not accepted: no free lane, no memory, or the worker drains
	NotLoaded  = -32011 // the function is not loaded, or its load failed, so the RPC did not run
	Failed     = -32012 // the RPC started to run and failed
	Cancelled  = -32013 // cancelled; it may have run
	LoadFailed = -32014 // a load order's load failed
)

// response is a worker's decoded response. Results and the data of errors have the same members.
type response struct {
	code         int
	message      string
	value        []byte
	blob         []byte
	warmth       router.Warmth
	othersAtCopy int // RPCs of other front ends at the copy
	report       []float64
	copies       int
}

// OutcomeOf returns the outcome that a worker's error code means. An unknown code is Errored: the RPC may have run.
func OutcomeOf(code int) router.Outcome {
	switch code {
	case 0:
		return router.OK
	case Full:
		return router.Full
	case NotLoaded:
		return router.NotLoaded
	case Cancelled:
		return router.Cancelled
	}
	return router.Errored
}

// ParseWarmth returns the state of the copy that a worker reports with word.
func ParseWarmth(word string) router.Warmth { return warmths[word] }

var warmths = map[string]router.Warmth{"stood": router.AlreadyWarm, "began": router.StartedLoad,
	"joined": router.JoinedLoad, "load failed": router.LoadFailed}

// decode sets the members of r from a response's result or error data.
func (r *response) decode(object []byte) {
	if len(object) == 0 || object[0] != '{' {
		return
	}
	_ = jsonrpc.ForEachMember(object, func(name []byte, v jsontext.Value) error {
		switch string(name) {
		case "value":
			r.value = bytes.Clone(v)
		case "warmth":
			word, _ := jsonrpc.ParseString(v)
			r.warmth = warmths[word]
		case "crowd":
			n, _ := jsonrpc.ParseNumber(v)
			r.othersAtCopy = int(min(max(n, 0), 1e6))
		case "report":
			r.report, _ = jsonrpc.ParseNumbers(v)
		case "copies":
			n, _ := jsonrpc.ParseNumber(v)
			r.copies = int(min(max(n, 0), 1000))
		}
		return nil
	})
}
