package router

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// TestScenarios runs the scenarios in testdata. Each scenario begins with a line "== NAME" and has one step a line; '#'
// begins a comment. Steps before the first scenario apply to all scenarios of the file.
//
//	set NAME VALUE            a setting; before the first other step, or before renew
//	renew                     apply the settings again, those set since included
//	list UPDATE W[:STATE[:START[:ZONE[:CELL]]]] ...   a worker list (START in ms)
//	pause MS                  no event for so long; the next step is in one turn with the timers due by then
//	at T                      time advances to T ms; the router's timers fire when due
//	take RPC fn=F [m=M] [customer=C] [budget=MS] [lanes=N] [mem=MB] [load=MS] [cost=MS] [repeat=1] [times=N]
//	end RPC N OUTCOME [warm=WORD] [crowd=N] [took=MS] [util=N] [closed]   the end of call-out N
//	left RPC                  the client left
//	held W F OUTCOME COPIES [took=MS]   the end of a load order, or the answer to a question for copies
//	checked W OUTCOME [took=MS] [util=N]   the end of a check
//	confirmed MS              the worker list was complete and correct then
//	want ACTION ...           the next action; $x binds a worker or must equal it, !$x must differ from it
//	log TEXT                  a line logged since the last such step contains TEXT
//	reason NAME               why the RPC given up last was not sent
//
// Every action must be expected by a "want" step before the next step of another kind.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenarios: %v", err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		prelude, scenarios, _ := strings.Cut(string(text), "\n== ")
		for part := range strings.SplitSeq(scenarios, "\n== ") {
			name, steps, _ := strings.Cut(part, "\n")
			t.Run(filepath.Base(file)+"/"+name, func(t *testing.T) { runScenario(t, prelude+"\n"+steps) })
		}
	}
}

type timer struct {
	due   Time
	token uint64
}

// scenarioRun runs one scenario. It implements Actions and records what the router does.
type scenarioRun struct {
	t          *testing.T
	now        Time
	settings   Settings
	router     *Router
	rpcs       map[string]*RPC
	names      map[RPCID]string
	bindings   map[string]string
	actions    []string
	logs       []string
	lastReason Reason // of the RPC given up last
	timers     []timer
}

func (s *scenarioRun) record(format string, args ...any) {
	s.actions = append(s.actions, fmt.Sprintf(format, args...))
}
func (s *scenarioRun) Send(p RPCID, w WorkerID, _, by Time) {
	s.record("send %s %d%s", s.names[p], w, formatDeadline(by))
}

func (s *scenarioRun) Deny(p RPCID, retryAfter Time, reason Reason) {
	s.record("deny %s %d", s.names[p], retryAfter/ms)
	s.lastReason = reason
}
func (s *scenarioRun) Abort(p RPCID, reason Reason) {
	s.record("abort %s", s.names[p])
	s.lastReason = reason
}
func (s *scenarioRun) CancelCallOut(p RPCID, n int) { s.record("retract %s %d", s.names[p], n) }
func (s *scenarioRun) Check(w WorkerID)             { s.record("check %d", w) }
func (s *scenarioRun) OrderLoad(w WorkerID, fn FunctionID, n int, by Time) {
	s.record("hold %d %d %d%s", w, fn, n, formatDeadline(by))
}

// formatDeadline shows the deadline of a request, if it has one.
func formatDeadline(by Time) string {
	if by == forever {
		return ""
	}
	return fmt.Sprintf(" by=%d", by/ms)
}

func (s *scenarioRun) SubscribeWorkers() { s.record("listen") }
func (s *scenarioRun) Log(text string)   { s.logs = append(s.logs, text) }
func (s *scenarioRun) SetTimer(after Time, token uint64) {
	s.timers = append(s.timers, timer{s.now + after, token})
}

func parseNumber(t *testing.T, text string) float64 {
	t.Helper()
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func runScenario(t *testing.T, steps string) {
	s := &scenarioRun{t: t, settings: Settings{}, rpcs: map[string]*RPC{}, names: map[RPCID]string{},
		bindings: map[string]string{}}
	for i, line := range strings.Split(steps, "\n") {
		line, _, _ = strings.Cut(line, "#")
		fields := strings.Fields(line)
		if len(fields) == 0 {
			continue
		}
		if fields[0] != "want" && fields[0] != "log" && fields[0] != "reason" && len(s.actions) > 0 {
			t.Fatalf("line %d, before %q: unexpected actions %q", i+2, line, s.actions)
		}
		if fields[0] != "set" && s.router == nil {
			s.router = New(s, s.now, 2, maps.Clone(s.settings))
		}
		if err := s.step(fields, line); err != nil {
			t.Fatalf("line %d, %q: %v", i+2, line, err)
		}
		if fields[0] != "set" && fields[0] != "want" && fields[0] != "log" && fields[0] != "reason" && fields[0] != "pause" {
			s.router.Dispatch(s.now)
		}
	}
	if len(s.actions) > 0 {
		t.Fatalf("at the end: unexpected actions %q", s.actions)
	}
}

var (
	outcomeWords = map[string]Outcome{"ok": OK, "error": Errored, "full": Full, "timeout": TimedOut,
		"connect": ConnectFailed, "reset": Reset, "calledoff": Cancelled, "moot": NotSent, "missed": NotLoaded}
	warmthWords = map[string]Warmth{"": WarmthUnknown, "stood": AlreadyWarm, "began": StartedLoad, "joined": JoinedLoad,
		"failed": LoadFailed}
	stateWords  = map[string]Readiness{"gone": Removed, "ready": Ready, "draining": Draining}
	updateWords = map[string]ListUpdate{"changes": ListChanges, "whole": ListComplete, "cached": ListCached, "failed": ListFailed}
)

func (s *scenarioRun) step(fields []string, line string) error {
	options := map[string]string{}
	for _, word := range fields[1:] {
		if name, value, found := strings.Cut(word, "="); found {
			options[name] = value
		}
	}
	get := func(name string, fallback float64) float64 {
		if text, given := options[name]; given {
			return parseNumber(s.t, text)
		}
		return fallback
	}
	getTime := func(name string, fallback float64) Time { return Time(get(name, fallback) * float64(ms)) }
	worker := func(text string) WorkerID {
		if strings.HasPrefix(text, "$") {
			text = s.bindings[text]
		}
		return WorkerID(parseNumber(s.t, text))
	}
	switch fields[0] {
	case "renew":
		s.router.UpdateSettings(s.now, ParseSettings(maps.Clone(s.settings)))
	case "set":
		switch v, err := strconv.ParseFloat(fields[2], 64); {
		case fields[2] == "yes" || fields[2] == "no":
			s.settings[fields[1]] = fields[2] == "yes"
		case err == nil:
			s.settings[fields[1]] = v
		default:
			s.settings[fields[1]] = fields[2]
		}
	case "list":
		s.router.BeginWorkerList(s.now, updateWords[fields[1]], 1)
		for _, text := range fields[2:] {
			w := strings.Split(text, ":")
			w = append(w, []string{"ready", "0", "0", "0"}[len(w)-1:]...)
			s.router.AddListedWorker(s.now, worker(w[0]), stateWords[w[1]], Time(parseNumber(s.t, w[2]))*ms,
				ZoneID(parseNumber(s.t, w[3])), CellID(parseNumber(s.t, w[4])), 0, 1)
		}
		s.router.EndWorkerList(s.now)
	case "at":
		s.advanceTo(Time(parseNumber(s.t, fields[1])) * ms)
	case "pause":
		s.now += Time(parseNumber(s.t, fields[1])) * ms
		due := s.timers
		s.timers = nil // firing them sets new ones
		for _, tm := range due {
			s.router.TimerFired(s.now, tm.token)
		}
	case "take":
		for i := range int(get("times", 1)) {
			name, id := fields[1], RPCID(len(s.names)+1)
			if options["times"] != "" {
				name += strconv.Itoa(i + 1)
			}
			s.names[id] = name
			s.rpcs[name] = s.router.Submit(s.now, id, MethodID(get("m", 0)), CustomerID(get("customer", 0)),
				FunctionID(get("fn", 1)), getTime("budget", 3000), float64(getTime("cost", 0)), get("mem", 100),
				int(get("lanes", 1)), getTime("load", 500), get("repeat", 0) > 0)
		}
	case "end":
		closed := fields[len(fields)-1] == "closed" || fields[3] == "ok"
		var report []float64
		if options["util"] != "" {
			report = []float64{get("util", 0)}
		}
		s.rpcs[fields[1]].CallOutEnded(s.now, int(parseNumber(s.t, fields[2])), 0, outcomeWords[fields[3]], closed,
			warmthWords[options["warm"]], int(get("crowd", 0)), getTime("took", 50), report)
	case "left":
		s.rpcs[fields[1]].ClientLeft(s.now)
	case "held":
		s.router.LoadOrderEnded(s.now, worker(fields[1]), FunctionID(parseNumber(s.t, fields[2])), outcomeWords[fields[3]],
			int(parseNumber(s.t, fields[4])), getTime("took", 500))
	case "checked":
		var report []float64
		if options["util"] != "" {
			report = []float64{get("util", 0)}
		}
		s.router.CheckEnded(s.now, worker(fields[1]), outcomeWords[fields[2]], getTime("took", 1), report)
	case "confirmed":
		s.router.ConfirmWorkerList(s.now, Time(parseNumber(s.t, fields[1]))*ms)
	case "want":
		return s.expect(fields[1:])
	case "log":
		text := strings.TrimSpace(strings.TrimPrefix(strings.TrimSpace(line), "log"))
		all := strings.Join(s.logs, "\n")
		s.logs = nil
		if !strings.Contains(all, text) {
			return fmt.Errorf("logged %q", all)
		}
	case "reason":
		if s.lastReason.String() != fields[1] {
			return fmt.Errorf("reason is %s", s.lastReason)
		}
	default:
		return fmt.Errorf("unknown step")
	}
	return nil
}

// advanceTo fires the timers due until end in turn; it stops early when the router acts.
func (s *scenarioRun) advanceTo(end Time) {
	for len(s.actions) == 0 {
		next := -1
		for i, tm := range s.timers {
			if tm.due <= end && (next < 0 || tm.due < s.timers[next].due) {
				next = i
			}
		}
		if next < 0 {
			s.now = end
			return
		}
		tm := s.timers[next]
		s.timers = append(s.timers[:next], s.timers[next+1:]...)
		s.now = max(s.now, tm.due)
		s.router.TimerFired(s.now, tm.token)
		s.router.Dispatch(s.now)
	}
}

func (s *scenarioRun) expect(words []string) error {
	if len(s.actions) == 0 {
		return fmt.Errorf("no action")
	}
	got := strings.Fields(s.actions[0])
	if len(got) < len(words) {
		return fmt.Errorf("actions are %q", s.actions)
	}
	for i, word := range words {
		pattern := strings.TrimPrefix(word, "!")
		if strings.HasPrefix(pattern, "$") {
			if _, known := s.bindings[pattern]; !known {
				s.bindings[pattern] = got[i]
			}
			word = strings.Replace(word, pattern, s.bindings[pattern], 1)
		}
		if (got[i] == strings.TrimPrefix(word, "!")) == strings.HasPrefix(word, "!") {
			return fmt.Errorf("actions are %q", s.actions)
		}
	}
	s.actions = s.actions[1:]
	return nil
}

// TestNewNamesWithoutEndAreForgotten guards against memory and housekeeping that grow with each function that a client
// names: the functions unused for longest lose their records, those with RPCs or copies don't.
func TestNewNamesWithoutEndAreForgotten(t *testing.T) {
	s := &scenarioRun{t: t, names: map[RPCID]string{}}
	now := Time(1e6)
	r := New(s, now, 1, Settings{"may.call-outs": 3., "functions.on-miss": "load", "functions.memory.0": 8000., "methods": 1.,
		"methods.0.soft-deadline": 1e4, "methods.0.deadline": 1e8, "methods.0.effect": Idempotent, "functions.keep-alive": 1e7})
	r.BeginWorkerList(now, ListChanges, 1)
	r.AddListedWorker(now, 1, Ready, 0, 0, 0, 0, 1)
	r.EndWorkerList(now)
	const served = FunctionID(1)
	s.names[RPCID(served)] = "served"
	r.Submit(now, RPCID(served), 0, 0, served, 1e8, 0, 100, 2, 0, false)
	r.Dispatch(now)
	const names = 4 * maxFunctions
	for fn := served + 1; fn <= names; fn++ {
		p := r.Submit(now, RPCID(fn), 0, 0, fn, 1e8, 0, 100, 2, 0, false)
		p.ClientLeft(now)
		if now += 1; fn%1000 == 0 {
			r.TimerFired(now, 0)
			r.Dispatch(now)
			if len(r.functions) > maxFunctions {
				t.Fatalf("%d functions are known after housekeeping", len(r.functions))
			}
		}
	}
	if r.functions[served] == nil {
		t.Error("a function with an RPC lost its record")
	}
	if r.functions[names] == nil || r.functions[served+1] != nil {
		t.Error("functions are not forgotten in the order of their last use")
	}
	if want := 100 * float64(len(r.functions)); r.functionMemory != want {
		t.Errorf("memory of all functions is %g, want %g", r.functionMemory, want)
	}
}

// TestUnusedRecordsAreDropped: functions without RPCs and removed workers leave no record; functions with a queued RPC
// or an open call-out keep theirs.
func TestUnusedRecordsAreDropped(t *testing.T) {
	s := &scenarioRun{t: t, names: map[RPCID]string{}}
	now := Time(1e6)
	r := New(s, now, 1, Settings{"may.call-outs": 3., "functions.on-miss": "load", "functions.memory.0": 8000., "methods": 1.,
		"methods.0.soft-deadline": 1e4, "methods.0.deadline": 1e8, "methods.0.effect": Idempotent, "functions.keep-alive": 1e5})
	advanceTo := func(end Time) {
		for ; now < end; now += housekeepingInterval {
			r.TimerFired(now, 0)
			r.Dispatch(now)
		}
	}
	sendList := func(state Readiness, workers ...WorkerID) {
		r.BeginWorkerList(now, ListChanges, 1)
		for _, w := range workers {
			r.AddListedWorker(now, w, state, 0, 0, 0, 0, 1)
		}
		r.EndWorkerList(now)
	}
	sendList(Ready, 1, 2)
	rpcs := map[FunctionID]*RPC{}
	for fn := FunctionID(1); fn <= 9; fn++ {
		s.names[RPCID(fn)] = fmt.Sprint(fn)
		rpcs[fn] = r.Submit(now, RPCID(fn), 0, 0, fn, 1e8, 0, 100, 2, 0, false)
		r.Dispatch(now)
		advanceTo(now + sec)
	}
	if len(r.functions) != 9 || r.functionMemory != 900 || len(s.actions) == 0 {
		t.Fatalf("%d functions, memory %g, actions %v", len(r.functions), r.functionMemory, s.actions)
	}
	for fn, p := range rpcs {
		if fn != 9 {
			p.ClientLeft(now)
			for n := range p.callOuts {
				p.CallOutEnded(now, n, p.callOuts[n].worker.id, OK, true, StartedLoad, 0, sec, nil)
			}
		}
	}
	sendList(Removed, 2)
	advanceTo(now + unusedRetention/2)
	if len(r.functions) != 9 || r.workers[2] == nil {
		t.Errorf("dropped too early: %d functions, worker 2: %v", len(r.functions), r.workers[2])
	}
	advanceTo(now + unusedRetention)
	if len(r.functions) != 1 || r.functions[9] == nil || r.functionMemory != 100 {
		t.Errorf("%d functions, memory %g; want the one that has an RPC", len(r.functions), r.functionMemory)
	}
	if len(r.workers) != 1 || len(r.sortedWorkers) != 1 || r.workers[1] == nil {
		t.Errorf("%d workers, %d in the list; want one", len(r.workers), len(r.sortedWorkers))
	}
	r.LoadOrderEnded(now, 2, 5, OK, 1, sec) // results that arrive very late
	r.CheckEnded(now, 2, Errored, sec, []float64{1})
	sendList(Ready, 2)
	r.Dispatch(now)
	if len(r.workers) != 2 || len(r.workers[2].copies) > 0 {
		t.Error("worker 2 came back without a new record")
	}
}

// TestFrontEndsAgreeOnHomesOfNewFunctions guards against a fleet in which each new front end overestimates the share of
// a function that it has seen once: copies of the function are then loaded on too many workers and displace those of
// other functions.
func TestFrontEndsAgreeOnHomesOfNewFunctions(t *testing.T) {
	const frontEnds, workers, rpcsPerFrontEnd, maxHomes = 40, 111, 60, 3
	homes := map[WorkerID]bool{}
	for me := range frontEnds {
		s := &scenarioRun{t: t, rpcs: map[string]*RPC{}, names: map[RPCID]string{}, bindings: map[string]string{},
			settings: Settings{"methods": 1.0, "methods.0.effect": Idempotent, "may.call-outs": 1.0, "front-ends": 2.0, "me": float64(me)}}
		r := New(s, 0, 2, s.settings)
		r.BeginWorkerList(0, ListComplete, 1)
		for id := range WorkerID(workers) {
			r.AddListedWorker(0, id+1, Ready, 0, 0, 0, 0, 0)
		}
		r.EndWorkerList(0)
		for id := range RPCID(rpcsPerFrontEnd) {
			s.actions = nil
			fn := FunctionID(1000*me + int(id))
			if id == rpcsPerFrontEnd-1 {
				fn = 7
			}
			p := r.Submit(0, id, 0, 0, fn, 30*sec, 0, 100, 4, 0, false)
			r.Dispatch(0)
			if len(s.actions) != 1 || len(p.callOuts) != 1 {
				t.Fatalf("front end %d, RPC %d: actions %q", me, id, s.actions)
			}
			if fn == 7 {
				homes[p.callOuts[0].worker.id] = true
			}
			p.CallOutEnded(0, 0, p.callOuts[0].worker.id, OK, true, AlreadyWarm, 0, 50*ms, nil)
		}
	}
	if len(homes) > maxHomes {
		t.Errorf("%d front ends use %d homes of one function, want at most %d", frontEnds, len(homes), maxHomes)
	}
}
