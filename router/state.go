package router

// This file holds the records of the router: what it believes of methods, customers, functions, workers and RPCs.

type method struct {
	gain, lateShare      float64
	softDeadline, window Time
	deadline, maxBudget  Time // of all tries of a client together; the longest budget seen
	effect, group        string
	runTime, coreTime    float64 // mean time on a warm copy; mean core time of the hints, 0 without hints
}

type customer struct {
	quota, tokens float64 // this front end's part of the customer's share, per unit of time; RPCs left of it
	refilledAt    Time
}

type function struct {
	id                FunctionID
	lanes             int
	loadTime, runTime float64 // usual time of a load, and of an RPC on a warm copy
	inFlight, queued  int     // open call-outs; queued RPCs
	peak, memory      float64 // recent peak of queued RPCs and call-outs; MB of one copy
	recentWork        float64 // decaying sum of the work of its new RPCs
	coreTime          float64 // mean core time of the hints, 0 without hints
	lastSubmit        Time    // last new RPC
	loadErrors        int     // consecutive
	loadBackoff       Time
	nextLoad          Time // no load starts before
	nextAsk           Time // no worker is asked for copies before
}

// copySet is what is believed of the copies of one function on one worker.
type copySet struct {
	count               int
	loading, byOrder    bool // a load is in progress; a load order started it, not an RPC
	asked               bool // the worker was asked for copies and has not answered
	stateSince, lastUse Time // start or end of the load; last use
	reportedAt          Time // last update of otherRPCs
	inFlight, completed int
	otherRPCs           float64 // RPCs of other front ends, as answers report
}

// worker is the record of one worker.
type worker struct {
	id                             WorkerID
	state                          Readiness
	zone                           ZoneID
	cell                           CellID
	kind                           KindID
	started, removedAt             Time // removedAt is 0 while the worker is listed
	startKnown, inList             bool // started is not just "long ago"; the list being received names the worker
	copies                         map[FunctionID]*copySet
	inFlight                       int
	lastAnswer, fullUntil          Time    // no call-out before fullUntil
	lastTimed                      Time    // last answer that updated slowness
	reportedAt                     Time    // last report
	errorRate, slowness            float64 // smoothed: share of errors; time relative to the function's usual time
	symptom                        string  // why the worker is unhealthy, or ""
	unhealthyUntil, unhealthyPause Time
	checkPending, trialAllowed     bool      // a check has been sent; the next RPC may try the worker
	coldSent                       []callOut // what it was sent while cold
	util, pinned                   float64   // as last reported
	maxInFlight                    float64   // this front end's limit where idle cores allow more than its even share
	evidenceAt                     Time      // start of the last proof that it did not drain
	checkPassedAt                  Time      // when the last check that passed was sent
	checkSentAt                    Time      // when the pending check was sent
	nextCheck, checkPause          Time      // no check for evidence before; the last pause, which doubles
	checkFailed                    bool      // a check failed after the list expired, and none has passed since
	// When the worker looked idle and refused an RPC that it had room for, so that its checks are no evidence; 0:
	// never.
	idleRefusalAt Time
	recentWork    float64 // work done for this front end, averaged
}

// callOut is one attempt of an RPC at a worker; a worker's coldSent uses only sentAt and cost.
type callOut struct {
	worker                       *worker
	copies                       *copySet
	sentAt                       Time
	pausedBefore                 Time // Router.pausedTime when it was sent
	cost                         float64
	ended, cancelled, awaitsLoad bool // awaitsLoad: it started or joined a load
	connBroke                    bool // its connection broke, which says nothing about how the worker treats this RPC
}

// RPC is the handle of one RPC.
type RPC struct {
	router                               *Router
	id                                   RPCID
	method                               *method
	fn                                   *function
	gain                                 float64
	submittedAt, timeoutAt, softDeadline Time // timeoutAt: end of the client's wait; softDeadline: of the answer
	callOuts                             []callOut
	inFlight                             int
	relativeCost                         float64 // its work relative to the function's mean, by its hint
	repeat                               bool    // marked by the client as its repeat
	queued, ended                        bool    // ended: it needs no further answer
	riskWorker                           *worker // worker of the first call-out that may have run
	riskSince                            Time    // start of that call-out
	mayHaveRun                           bool    // a call-out that ended may have run
	blockReason                          Reason  // why it was last not sent
}
