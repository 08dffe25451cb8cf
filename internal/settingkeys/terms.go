// Package settingkeys names the settings that the module reads, once for all that hand settings to it: the adapter for
// the bench translates its wire's words into these, the program its XML.
package settingkeys

import "strconv"

// Levels and names. A setting's full name is its levels joined by dots; see Path and At.
const (
	FrontEnds = "front-ends"
	Me        = "me"
	Zone      = "zone"
	Tick      = "tick"
	List      = "list"
	GainBy    = "gain-by"
	OverShare = "over-share-gain"

	May            = "may"
	Retract        = "retract"
	ConnectTimeout = "connect-time-out"
	Check          = "check"
	CallOuts       = "call-outs"
	ComeBack       = "come-back"
	Advise         = "advise"
	Overlap        = "overlap"
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
	TellsCrowd   = "tells-crowd"
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
	Values = "values"
	How    = "how"

	Rules        = "rules"
	AskEvery     = "ask-every"
	ColdFrom     = "cold-from"
	Cold         = "cold"
	Drain        = "drain"
	ListLasts    = "list-lasts"
	FallMultiple = "fall-multiple"
	Fall         = "fall"
	AnswerGrace  = "answer-grace"
)

// Values that are words.
const (
	Pushed  = "pushed"
	Asked   = "asked"
	InHand  = "in-hand"
	Waiting = "waiting"
	Util    = "util"
	Latency = "latency"
	Served  = "served"
	Errors  = "errors"
	Pinned  = "pinned"
	Loads   = "loads"
)

// Join joins two levels.
func Join(level, name string) string { return level + "." + name }

// Item is the name of a list's i-th place, or of a setting there.
func Item(list string, i int, name string) string {
	at := list + "." + strconv.Itoa(i)
	if name == "" {
		return at
	}
	return at + "." + name
}
