// This file is the interface alone: ids, times, outcomes, and what the module may do (Port). It decides nothing.

package router

// Time is a clock reading or a span, in whole tenths of a millisecond.
type Time int64

// Each kind of id is a type of its own; ids have no order and tell nothing.
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
	Errored                      // the worker answered with an error; it may have run
	Full                         // not taken; it never ran
	TimedOut                     // no answer in time; it may have run
	ConnectFailed                // no connection; it never ran
	Reset                        // the connection broke; it may have run
	Cancelled                    // retracted; it may have run
	NotSent                      // never sent
	NotLoaded                    // not loaded there, or its load failed; it never ran
)

// Warmth is what an answer tells of the copy that ran the RPC.
type Warmth uint8

const (
	WarmthUnknown Warmth = iota
	AlreadyWarm          // a copy stood loaded
	StartedLoad          // this RPC began a load
	JoinedLoad           // it waited for a load begun before
	LoadFailed           // the load failed
)

var outcomeNames = [...]string{OK: "ok", Errored: "error", Full: "full", TimedOut: "time-out", ConnectFailed: "no connection",
	Reset: "broken connection", Cancelled: "called off", NotSent: "not sent", NotLoaded: "not loaded"}

// String is the outcome's name in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Readiness is a worker's state in the list.
type Readiness uint8

const (
	Gone Readiness = iota
	Ready
	Draining
)

// ListUpdate is how the entries that follow relate to the list the front end has.
type ListUpdate uint8

const (
	ListChanges ListUpdate = iota
	ListComplete
	ListCached
	ListFailed
)

// Reason is the bound that last kept an RPC from going out, told when it is given up on.
type Reason uint8

const (
	NoTime           Reason = iota // none: too little time was left, or its attempts are over
	FleetShare                     // our share of RPCs out in the whole fleet
	FunctionOrder                  // an RPC of its function before it found no place
	Attempts                       // the attempts that the settings allow
	Lanes                          // all copies' lanes are taken, or only loads are under way
	Asking                         // a worker is asked whether it has a copy
	LoadTime                       // a load would take longer than its client waits
	FunctionCap                    // the cap of the function's copies
	FleetCap                       // the cap of all copies
	LoadBackoff                    // loads of the function failed or timed out
	LoadPace                       // our share of loads
	ColdWorkers                    // most workers: what a cold one may be sent
	UnhealthyWorkers               // most workers: ill
	Repeats                        // most workers: it may have run, or was there a moment ago
	WorkerShare                    // most workers: full, or with our share of RPCs
	BusyWorkers                    // most workers: more work or memory in use than others
	Unconfirmed                    // most workers, or the one that it would go to: nothing proves that they do not drain
	NotReady                       // most workers: not ready, or there are none
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

// Settings are the front end's settings by name, dots between levels and places in lists: numbers, truths
// and words. Times are in tenths of a millisecond, lists tell their length under the bare name.
type Settings map[string]any

// Actions is what the module acts through.
type Actions interface {
	Send(rpc RPCID, w WorkerID, limit, by Time) // a new call-out; limit 0: until the client's time is up; by: see Hold
	Deny(rpc RPCID, comeBack Time, why Reason)  // final answer: a retry is harmless
	Abort(rpc RPCID, why Reason)                // final answer: promises nothing
	CancelCallOut(rpc RPCID, n int)             // call off the RPC's n-th call-out
	SetTimer(after Time, token uint64)          // ask for Router.Reminded
	Check(w WorkerID)                           // probe a worker
	// OrderLoad orders at least n copies held; 0 only asks. By is the last moment at which its first byte may go out: later it
	// ends as Moot.
	OrderLoad(w WorkerID, fn FunctionID, n int, by Time)
	SubscribeWorkers() // ask for changes of the list from now on
	Log(text string)   // one line for those on call
}
