package router

// This file holds the records that the module keeps: what it believes of methods, customers, functions, workers and
// RPCs. It decides nothing.

type method struct {
	gain, lateShare float64
	soft, window    Time
	deadline, most  Time // of all tries of a client; the longest budget seen of one
	effect, group   string
	work, cost      float64 // mean time on a warm instance; mean of the hints' core time, 0 without hints
}

type customer struct {
	quota, tokens float64 // this front end's part of the share, per unit of time; what is left of it
	at            Time
}

type function struct {
	id         FunctionID
	lanes      int
	load, work float64 // usual time of a load, and on a warm instance
	out, held  int     // RPCs out and held
	need, size float64 // recent peak of their sum; memory of one copy
	asked      float64 // work of its RPCs taken lately
	cost       float64 // mean of the hints' core time, 0 without hints
	needAt     Time    // when one was last taken
	errors     int     // load errors in a row
	backoff    Time
	loadNext   Time // no load before
	askNext    Time // no asking before
}

// instance is what is believed of one function's copies on one worker.
type instance struct {
	copies           int
	loading, ordered bool // a load is under way; it is an order's, no RPC rides on it
	asked            bool // no more is known than that we asked for copies
	since, lastUse   Time // when the load began or ended; when it was last used
	toldAt           Time // when others was last told
	active, executed int
	others           float64 // RPCs of other front ends there, as answers tell
}

// worker is the one record of a worker.
type worker struct {
	id                WorkerID
	state             Readiness
	zone              ZoneID
	cell              CellID
	kind              KindID
	started, goneAt   Time // goneAt: 0 while it is not gone
	known, listed     bool // started is a real start, not "long ago"; the list now coming names it
	holds             map[FunctionID]*instance
	active            int
	heard, fullUntil  Time    // last answer; no call-out before
	timed             Time    // last answer whose time we learned from
	told              Time    // last report
	errors, slow      float64 // smoothed share of errors; smoothed time over the function's usual time
	ill               string  // symptom, or ""
	illUntil, illBack Time
	checking, trial   bool      // a check is out; the next RPC may try it
	sent              []callOut // while cold
	util, pinned      float64   // as last reported
	bound             float64   // RPCs of ours that it is given at once, where its cores leave room for more
	provenAt          Time      // when it last proved not to drain, as of the proof's begin
	passedAt          Time      // when the last check that it passed was sent
	askedAt           Time      // when the check that is out was sent
	askNext, askPause Time      // it is not asked for evidence before; the last pause, doubling
	refused           bool      // a check failed since it last passed one, with the list too old
	turnedAwayAt      Time      // when it looked idle and turned away what it had room for: its checks are no evidence; 0: never
	served            float64   // work done for us per unit of time, lately
}

type callOut struct {
	w                     *worker
	in                    *instance
	at                    Time
	cost                  float64
	done, retracted, cold bool // cold: it began or joined a load
	broke                 bool // its connection did: that tells nothing of the worker's way with this RPC
}

// RPC is the handle of one RPC.
type RPC struct {
	r             *Router
	id            RPCID
	m             *method
	fn            *function
	gain          float64
	at, end, late Time // taken; the client's time is up; an answer earns the late share only
	calls         []callOut
	out           int
	size          float64 // its work over the function's mean, by the hint
	repeat        bool    // a client's, marked
	queued, ended bool
	risk          *worker // worker of the first call-out that may have run
	riskAt        Time
	mayHave       bool   // a call-out that is over may have run
	reason        Reason // the bound that last held it
}
