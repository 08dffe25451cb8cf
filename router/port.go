// This file is the interface of the router: ids, times, outcomes, and the actions that it takes (Actions).

package router

// Time is a point in time or a duration, in whole tenths of a millisecond.
type Time int64

// Each kind of id is a type of its own. Ids have no order and carry no meaning.
type (
	RPCID      uint32
	WorkerID   uint32
	FunctionID uint64
	MethodID   uint16
	CustomerID uint32
	ZoneID     uint16
	CellID     uint16
	KindID     uint8
)

// Outcome is how a call-out, a check or a load order ended.
type Outcome uint8

const (
	OK            Outcome = iota // answered
	Errored                      // the worker answered with an error; the RPC may have run
	Full                         // the worker refused the RPC; it never ran
	TimedOut                     // no answer in time; the RPC may have run
	ConnectFailed                // no connection; the RPC never ran
	Reset                        // the connection broke; the RPC may have run
	Cancelled                    // cancelled by CancelCallOut; the RPC may have run
	NotSent                      // the request never left this front end
	NotLoaded                    // not loaded at the worker, or its load failed; the RPC never ran
)

// Warmth is what an answer reports about the copy that ran the RPC.
type Warmth uint8

const (
	WarmthUnknown Warmth = iota
	AlreadyWarm          // the copy was loaded before
	StartedLoad          // the RPC started the load
	JoinedLoad           // the RPC waited for a load already in progress
	LoadFailed
)

var outcomeNames = [...]string{OK: "ok", Errored: "error", Full: "full", TimedOut: "time-out", ConnectFailed: "no connection",
	Reset: "broken connection", Cancelled: "called off", NotSent: "not sent", NotLoaded: "not loaded"}

// String is the outcome's name in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Readiness is a worker's state in the worker list.
type Readiness uint8

const (
	Removed Readiness = iota
	Ready
	Draining
)

// ListUpdate says how the entries that follow relate to the worker list that the front end has.
type ListUpdate uint8

const (
	ListChanges  ListUpdate = iota // only workers that changed
	ListComplete                   // all workers
	ListCached                     // all workers, from a cache
	ListFailed                     // none: the list could not be received, the previous one stays
)

// Reason is why an RPC was last not sent. It is reported when the RPC is given up. "Most workers" marks a reason that
// applies to more workers than any other.
type Reason uint8

const (
	NoTime           Reason = iota // none of the others: too little time is left, or no further call-out is allowed
	FleetShare                     // this front end's share of RPCs in flight in the whole fleet is used up
	FunctionOrder                  // an earlier RPC of the function could not be sent
	Attempts                       // the RPC has had the call-outs that the settings allow
	Lanes                          // the lanes of all copies are taken, or only loads are in progress
	Asking                         // a worker is being asked for copies
	LoadTime                       // a load would take longer than the client waits
	FunctionCap                    // the cap of the function's copies
	FleetCap                       // the cap of all copies
	LoadBackoff                    // loads of the function failed or timed out
	LoadPace                       // this front end's share of loads is used up
	ColdWorkers                    // most workers: cold budget used up
	UnhealthyWorkers               // most workers: unhealthy
	Repeats                        // most workers: the RPC may have run, or was there a moment ago
	WorkerShare                    // most workers: full, or at this front end's share of RPCs
	BusyWorkers                    // most workers: more work or memory in use than at others
	Unconfirmed                    // most workers, or the chosen one: nothing proves that they do not drain
	NotReady                       // most workers: not ready; or there are none
	reasonCount
)

var reasonNames = [reasonCount]string{"no-time", "fleet-share", "function-order", "attempts", "lanes", "asking", "load-time",
	"function-cap", "fleet-cap", "load-backoff", "load-pace", "cold-workers", "ill-workers", "repeats",
	"worker-share", "busy-workers", "unconfirmed", "not-ready"}

// String is the reason's name in logs.
func (r Reason) String() string { return reasonNames[r] }

// Effects of a method, as the settings name them.
const (
	Idempotent    = "idempotent"
	Tokened       = "tokened"
	SideEffecting = "side-effecting"
)

// Settings are the settings of a front end by name. Dots separate levels and list indexes; values are of type float64,
// bool or string. Times are in tenths of a millisecond. The length of a list is stored under the list's own name.
type Settings map[string]any

// Actions is how the router acts. Its implementation is supplied by the caller of New.
type Actions interface {
	// Send starts a call-out. Limit is the time for it; 0: until the client's time is up. By is as in OrderLoad.
	Send(rpc RPCID, w WorkerID, limit, by Time)
	Deny(rpc RPCID, retryAfter Time, reason Reason) // final answer: a retry is harmless
	Abort(rpc RPCID, reason Reason)                 // final answer: nothing is promised
	CancelCallOut(rpc RPCID, n int)                 // cancel the RPC's n-th call-out, counted from 0
	SetTimer(after Time, token uint64)              // call Router.TimerFired with the token after a time
	Check(w WorkerID)                               // health check; its end is reported to Router.CheckEnded
	// OrderLoad orders a worker to hold at least n copies; n = 0 only asks how many it has. By is the last moment at
	// which the first byte may be sent: after that the order ends as NotSent.
	OrderLoad(w WorkerID, fn FunctionID, n int, by Time)
	SubscribeWorkers() // request the worker list and its changes from now on
	Log(text string)   // one line for operators
}
