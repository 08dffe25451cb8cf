package workerlink

import (
	"encoding/base64"
	"slices"
	"strconv"

	"mallowlanding/internal/engine"
	"mallowlanding/internal/frames"
	"mallowlanding/internal/jsonrpc"
	"mallowlanding/internal/outbound"
	"mallowlanding/router"
)

// messageOverhead is about how many bytes a message has besides its payload and blob.
const messageOverhead = 256

// callOut is an RPC on its way to a worker. It keeps what is sent of the RPC, which may end meanwhile.
type callOut struct {
	id                      engine.CallOutID
	key                     string // the id by which the worker answers
	method, function, token string
	spec                    engine.FunctionSpec
	payload, blob           []byte
	conditions              outbound.Conditions
}

func (c *callOut) size() int { return messageOverhead + len(c.payload) + len(c.blob) }

// Ids of requests to a worker, in their JSON form. Those of orders and checks are strings, so that they differ from
// those of call-outs.

func callOutKey(id engine.CallOutID) string { return string(jsonrpc.NumberID(uint64(id))) }

func orderKey(id engine.OrderID) string { return `"o` + strconv.FormatUint(uint64(id), 10) + `"` }

func checkKey(id engine.CheckID) string { return `"c` + strconv.FormatUint(uint64(id), 10) + `"` }

// appendCallOuts appends those of the call-outs that have the given ids: one as host.request, several as host.batch.
func appendCallOuts(out []byte, binary bool, callOuts []*callOut, now router.Time, ids []string) []byte {
	if len(ids) < len(callOuts) {
		callOuts = slices.DeleteFunc(slices.Clone(callOuts), func(c *callOut) bool { return !slices.Contains(ids, c.key) })
	}
	if len(callOuts) == 1 {
		c := callOuts[0]
		return appendMessage(out, binary, c.key, "host.request", c.params(now), c.blob)
	}
	params, blob := batchParams(callOuts, now)
	return appendMessage(out, binary, "", "host.batch", params, blob)
}

// params returns the params of host.request at the time now.
func (c *callOut) params(now router.Time) []byte {
	b := append(make([]byte, 0, messageOverhead+len(c.payload)), `{"method":`...)
	b = jsonrpc.AppendString(b, c.method)
	b = jsonrpc.AppendString(append(b, `,"function":`...), c.function)
	if c.token != "" {
		b = jsonrpc.AppendString(append(b, `,"token":`...), c.token)
	}
	timeLeft := max(0, c.conditions.Deadline-now)
	b = strconv.AppendFloat(append(b, `,"time_ms":`...), float64(timeLeft)/10, 'f', 1, 64)
	b = appendFunction(b, c.spec)
	if len(c.payload) > 0 {
		b = append(append(b, `,"payload":`...), c.payload...)
	}
	return append(b, '}')
}

// batchParams returns the params of host.batch, and the blobs of its requests one after the other.
func batchParams(callOuts []*callOut, now router.Time) (params, blob []byte) {
	params = []byte(`{"requests":[`)
	for i, c := range callOuts {
		if i > 0 {
			params = append(params, ',')
		}
		request := c.params(now)
		params = append(append(params, request[:len(request)-1]...), `,"id":`...)
		params = append(append(params, c.key...), `,"blob_bytes":`...)
		params = append(strconv.AppendInt(params, int64(len(c.blob)), 10), '}')
		blob = append(blob, c.blob...)
	}
	return append(params, "]}"...), blob
}

// holdParams returns the params of host.hold.
func holdParams(function string, spec engine.FunctionSpec, copies int) []byte {
	b := appendFunction(jsonrpc.AppendString([]byte(`{"function":`), function), spec)
	return append(strconv.AppendInt(append(b, `,"copies":`...), int64(copies), 10), '}')
}

func appendFunction(b []byte, spec engine.FunctionSpec) []byte {
	b = strconv.AppendFloat(append(b, `,"memory_mb":`...), spec.MemoryMB, 'f', -1, 64)
	b = strconv.AppendInt(append(b, `,"lanes":`...), int64(spec.Lanes), 10)
	return strconv.AppendFloat(append(b, `,"load_ms":`...), float64(spec.LoadTime)/10, 'f', -1, 64)
}

// appendMessage appends a request, or a notification if id is empty. In JSON the blob is sent in base64 as params.blob.
func appendMessage(out []byte, binary bool, id, method string, params, blob []byte) []byte {
	if binary {
		return frames.AppendRequest(out, []byte(id), method, params, blob)
	}
	if len(blob) > 0 {
		params = append(params[:len(params)-1:len(params)-1], `,"blob":"`...)
		params = append(base64.StdEncoding.AppendEncode(params, blob), `"}`...)
	}
	return append(jsonrpc.AppendRequest(out, jsonrpc.ID(id), method, params), '\n')
}

// appendGreeting appends what a front end sends first: the change of the codec, if there is one, and its name.
func appendGreeting(out []byte, binary bool, frontEnd string) []byte {
	if binary {
		codec := append(jsonrpc.AppendString([]byte(`{"codec":`), frames.CodecName), '}')
		out = appendMessage(out, false, "", "host.codec", codec, nil)
	}
	name := append(jsonrpc.AppendString([]byte(`{"front_end":`), frontEnd), '}')
	return appendMessage(out, binary, "", "host.ping", name, nil)
}
