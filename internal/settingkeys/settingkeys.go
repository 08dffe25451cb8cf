// Package settingkeys names the settings that a front end reads. Two callers translate into these names: the adapter
// from the words of the simulator, the program from its configuration.
package settingkeys

import "strconv"

// Levels and names of settings. A full name is the levels joined by dots; see Join and Item. Each constant is named
// after its setting.
const (
	FrontEnds = "front-ends"
	Me        = "me" // index of this front end
	Zone      = "zone"
	Tick      = "tick" // least time between the starts of two turns of the event loop
	List      = "list" // how the worker list arrives: Pushed or Asked
	GainBy    = "gain-by"
	OverShare = "over-share-gain"

	May            = "may"
	Retract        = "retract" // whether call-outs may be cancelled
	ConnectTimeout = "connect-time-out"
	Check          = "check"
	CallOuts       = "call-outs"
	ComeBack       = "come-back" // longest time to retry after in a denial
	Advise         = "advise"    // whether clients receive that time
	Overlap        = "overlap"   // whether several call-outs of an RPC may be in flight at the same time
	Open           = "open"
	IdleClose      = "idle-close"
	Tell           = "tell"

	Clients     = "clients"
	MarkRepeats = "mark-repeats"

	Price     = "price"
	CrossZone = "cross-zone"
	Late      = "late"
	Fetch     = "fetch"
	Waste     = "waste"

	Customers = "customers"
	Quota     = "quota"
	Share     = "share"

	Functions    = "functions"
	KeepAlive    = "keep-alive"
	MemoryPrice  = "memory-price"
	LoadFree     = "load-free"
	LoadShare    = "load-share"
	LoadWindow   = "load-window"
	Orders       = "orders"
	OnMiss       = "on-miss"
	Memory       = "memory"
	TellsWarm    = "tells-warm"
	TellsCrowd   = "tells-crowd" // answers report RPCs of other front ends at the copy
	OrderTimeout = "order-time-out"

	Methods      = "methods"
	SoftDeadline = "soft-deadline"
	SoftStretch  = "soft-stretch"
	Deadline     = "deadline"
	Effect       = "effect"
	Group        = "group"
	LateShare    = "late-share"
	Gain         = "gain"
	Window       = "window"

	Report = "report"
	Values = "values" // the names of the values in a worker's report, in order
	How    = "how"

	Rules        = "rules"
	AskEvery     = "ask-every"
	ColdFrom     = "cold-from"     // capacity of a worker at its start, as a share of that of a warm one
	Cold         = "cold"          // for how long a worker is cold after its start
	Drain        = "drain"         // grace: how long after a reported drain a worker may be sent something
	ListLasts    = "list-lasts"    // how old the worker list may be as evidence that workers do not drain
	FallMultiple = "fall-multiple" // a cold worker is overloaded by this multiple of its capacity
	Fall         = "fall"          // window over which the work of a cold worker is summed
	AnswerGrace  = "answer-grace"
)

// Values of settings.
const (
	Pushed  = "pushed"  // the list and its changes arrive without a request
	Asked   = "asked"   // the list and its changes arrive once they are requested
	InHand  = "in-hand" // this and those below: values in a worker's report
	Waiting = "waiting"
	Util    = "util" // share of the cores in use
	Latency = "latency"
	Served  = "served"
	Errors  = "errors"
	Pinned  = "pinned" // share of the memory that cannot be freed
	Loads   = "loads"
)

// Join returns the name of a setting below a level.
func Join(level, name string) string { return level + "." + name }

// Item returns the name of a setting of a list's i-th entry, or of the entry itself if name is empty.
func Item(list string, i int, name string) string {
	key := list + "." + strconv.Itoa(i)
	if name == "" {
		return key
	}
	return key + "." + name
}
