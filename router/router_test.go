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

// A file has scenarios, each under a line of '== NAME', one step a line; '#' begins a comment. What stands before
// the first scenario holds for all of the file.
//
//	set NAME VALUE            a setting, before the first other step
//	renew                     takes the settings anew, those set since among them
//	list FORM W[:STATE[:START[:ZONE[:CELL]]]] ...   a list of workers (START in ms)
//	pause MS                  nothing comes for so long; the next step is in the batch of the timers then due
//	at T                      time goes on to T ms; the module's timers come as they fall due
//	take RPC fn=F [m=M] [customer=C] [budget=MS] [lanes=N] [mem=MB] [load=MS] [cost=MS] [repeat=1] [times=N]
//	end RPC N OUTCOME [warm=WORD] [crowd=N] [took=MS] [util=N] [closed]
//	left RPC                  the client has gone
//	held W F OUTCOME COPIES [took=MS]   an order's answer
//	checked W OUTCOME [took=MS] [util=N]   a check's answer
//	confirmed MS              the list was whole and true then
//	want ACTION ...           the next action; $x binds a worker or must be it, !$x must not be it
//	log TEXT                  a line logged since the last such step holds TEXT
//	reason NAME               the bound that held the RPC given up on last
//
// Every action must be wanted before the next step.
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
			t.Run(filepath.Base(file)+"/"+name, func(t *testing.T) { play(t, prelude+"\n"+steps) })
		}
	}
}

type timer struct {
	due   Time
	token uint64
}

// stage plays one scenario: it is the module's Port and keeps what the module did.
type stage struct {
	t      *testing.T
	now    Time
	set    Settings
	router *Router
	rpcs   map[string]*RPC
	names  map[RPCID]string
	bound  map[string]string
	did    []string
	logs   []string
	reason Reason // of the last RPC given up on
	timers []timer
}

func (s *stage) act(format string, args ...any) { s.did = append(s.did, fmt.Sprintf(format, args...)) }
func (s *stage) Send(p RPCID, w WorkerID, _, by Time) {
	s.act("send %s %d%s", s.names[p], w, beginBy(by))
}

func (s *stage) Deny(p RPCID, comeBack Time, why Reason) {
	s.act("deny %s %d", s.names[p], comeBack/ms)
	s.reason = why
}
func (s *stage) Abort(p RPCID, why Reason) {
	s.act("abort %s", s.names[p])
	s.reason = why
}
func (s *stage) CancelCallOut(p RPCID, n int) { s.act("retract %s %d", s.names[p], n) }
func (s *stage) Check(w WorkerID)             { s.act("check %d", w) }
func (s *stage) OrderLoad(w WorkerID, f FunctionID, n int, by Time) {
	s.act("hold %d %d %d%s", w, f, n, beginBy(by))
}

// beginBy tells until when something may begin, where there is a bound.
func beginBy(by Time) string {
	if by == forever {
		return ""
	}
	return fmt.Sprintf(" by=%d", by/ms)
}

func (s *stage) SubscribeWorkers() { s.act("listen") }
func (s *stage) Log(text string)   { s.logs = append(s.logs, text) }
func (s *stage) SetTimer(after Time, token uint64) {
	s.timers = append(s.timers, timer{s.now + after, token})
}

func number(t *testing.T, text string) float64 {
	t.Helper()
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func play(t *testing.T, steps string) {
	s := &stage{t: t, set: Settings{}, rpcs: map[string]*RPC{}, names: map[RPCID]string{},
		bound: map[string]string{}}
	for i, line := range strings.Split(steps, "\n") {
		line, _, _ = strings.Cut(line, "#")
		f := strings.Fields(line)
		if len(f) == 0 {
			continue
		}
		if f[0] != "want" && f[0] != "log" && f[0] != "reason" && len(s.did) > 0 {
			t.Fatalf("line %d, before %q: also did %q", i+2, line, s.did)
		}
		if f[0] != "set" && s.router == nil {
			s.router = New(s, s.now, 2, maps.Clone(s.set))
		}
		if err := s.step(f, line); err != nil {
			t.Fatalf("line %d, %q: %v", i+2, line, err)
		}
		if f[0] != "set" && f[0] != "want" && f[0] != "log" && f[0] != "reason" && f[0] != "pause" {
			s.router.Dispatch(s.now)
		}
	}
	if len(s.did) > 0 {
		t.Fatalf("at the end: also did %q", s.did)
	}
}

var (
	outcomeWords = map[string]Outcome{"ok": OK, "error": Errored, "full": Full, "timeout": TimedOut,
		"connect": ConnectFailed, "reset": Reset, "calledoff": Cancelled, "moot": NotSent, "missed": NotLoaded}
	warmthWords = map[string]Warmth{"": WarmthUnknown, "stood": AlreadyWarm, "began": StartedLoad, "joined": JoinedLoad,
		"failed": LoadFailed}
	stateWords = map[string]Readiness{"gone": Gone, "ready": Ready, "draining": Draining}
	formWords  = map[string]ListUpdate{"changes": ListChanges, "whole": ListComplete, "cached": ListCached, "failed": ListFailed}
)

func (s *stage) step(f []string, line string) error {
	options := map[string]string{}
	for _, word := range f[1:] {
		if name, value, found := strings.Cut(word, "="); found {
			options[name] = value
		}
	}
	get := func(name string, or float64) float64 {
		if text, told := options[name]; told {
			return number(s.t, text)
		}
		return or
	}
	span := func(name string, or float64) Time { return Time(get(name, or) * float64(ms)) }
	worker := func(text string) WorkerID {
		if strings.HasPrefix(text, "$") {
			text = s.bound[text]
		}
		return WorkerID(number(s.t, text))
	}
	switch f[0] {
	case "renew": // the settings as they are now, with those set since
		s.router.UpdateSettings(s.now, ParseSettings(maps.Clone(s.set)))
	case "set":
		switch v, err := strconv.ParseFloat(f[2], 64); {
		case f[2] == "yes" || f[2] == "no":
			s.set[f[1]] = f[2] == "yes"
		case err == nil:
			s.set[f[1]] = v
		default:
			s.set[f[1]] = f[2]
		}
	case "list":
		s.router.BeginWorkerList(s.now, formWords[f[1]], 1)
		for _, text := range f[2:] {
			w := strings.Split(text, ":")
			w = append(w, []string{"ready", "0", "0", "0"}[len(w)-1:]...)
			s.router.AddListedWorker(s.now, worker(w[0]), stateWords[w[1]], Time(number(s.t, w[2]))*ms,
				ZoneID(number(s.t, w[3])), CellID(number(s.t, w[4])), 0, 1)
		}
		s.router.EndWorkerList(s.now)
	case "at":
		s.goTo(Time(number(s.t, f[1])) * ms)
	case "pause":
		s.now += Time(number(s.t, f[1])) * ms
		for _, tm := range s.timers {
			s.router.TimerFired(s.now, tm.token)
		}
		s.timers = nil
	case "take":
		for i := range int(get("times", 1)) {
			name, id := f[1], RPCID(len(s.names)+1)
			if options["times"] != "" {
				name += strconv.Itoa(i + 1)
			}
			s.names[id] = name
			s.rpcs[name] = s.router.Submit(s.now, id, MethodID(get("m", 0)), CustomerID(get("customer", 0)),
				FunctionID(get("fn", 1)), span("budget", 3000), float64(span("cost", 0)), get("mem", 100),
				int(get("lanes", 1)), span("load", 500), get("repeat", 0) > 0)
		}
	case "end":
		closed := f[len(f)-1] == "closed" || f[3] == "ok"
		var report []float64
		if options["util"] != "" {
			report = []float64{get("util", 0)}
		}
		s.rpcs[f[1]].CallOutEnded(s.now, int(number(s.t, f[2])), 0, outcomeWords[f[3]], closed,
			warmthWords[options["warm"]], int(get("crowd", 0)), span("took", 50), report)
	case "left":
		s.rpcs[f[1]].ClientLeft(s.now)
	case "held":
		s.router.LoadOrderEnded(s.now, worker(f[1]), FunctionID(number(s.t, f[2])), outcomeWords[f[3]],
			int(number(s.t, f[4])), span("took", 500))
	case "checked":
		var report []float64
		if options["util"] != "" {
			report = []float64{get("util", 0)}
		}
		s.router.CheckEnded(s.now, worker(f[1]), outcomeWords[f[2]], span("took", 1), report)
	case "confirmed":
		s.router.ConfirmWorkerList(s.now, Time(number(s.t, f[1]))*ms)
	case "want":
		return s.want(f[1:])
	case "log":
		text := strings.TrimSpace(strings.TrimPrefix(strings.TrimSpace(line), "log"))
		all := strings.Join(s.logs, "\n")
		s.logs = nil
		if !strings.Contains(all, text) {
			return fmt.Errorf("logged %q", all)
		}
	case "reason":
		if s.reason.String() != f[1] {
			return fmt.Errorf("told %s", s.reason)
		}
	default:
		return fmt.Errorf("unknown step")
	}
	return nil
}

// goTo lets the timers fall due in turn; it stops early once the module has acted.
func (s *stage) goTo(end Time) {
	for len(s.did) == 0 {
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

func (s *stage) want(words []string) error {
	if len(s.did) == 0 {
		return fmt.Errorf("did nothing")
	}
	got := strings.Fields(s.did[0])
	if len(got) < len(words) {
		return fmt.Errorf("did %q", s.did)
	}
	for i, word := range words {
		bare := strings.TrimPrefix(word, "!")
		if strings.HasPrefix(bare, "$") {
			if _, known := s.bound[bare]; !known {
				s.bound[bare] = got[i]
			}
			word = strings.Replace(word, bare, s.bound[bare], 1)
		}
		if (got[i] == strings.TrimPrefix(word, "!")) == strings.HasPrefix(word, "!") {
			return fmt.Errorf("did %q", s.did)
		}
	}
	s.did = s.did[1:]
	return nil
}

// TestForgets: functions that nobody asks for and workers that are gone leave no record; what is out, or held, does.
func TestForgets(t *testing.T) {
	s := &stage{t: t, names: map[RPCID]string{}}
	now := Time(1e6)
	r := New(s, now, 1, Settings{"may.call-outs": 3., "functions.on-miss": "load", "functions.memory.0": 8000., "methods": 1.,
		"methods.0.soft-deadline": 1e4, "methods.0.deadline": 1e8, "methods.0.effect": Idempotent, "functions.keep-alive": 1e5})
	to := func(then Time) {
		for ; now < then; now += beat {
			r.TimerFired(now, 0)
			r.Dispatch(now)
		}
	}
	list := func(state Readiness, workers ...WorkerID) {
		r.BeginWorkerList(now, ListChanges, 1)
		for _, w := range workers {
			r.AddListedWorker(now, w, state, 0, 0, 0, 0, 1)
		}
		r.EndWorkerList(now)
	}
	list(Ready, 1, 2)
	open := map[FunctionID]*RPC{}
	for fn := FunctionID(1); fn <= 9; fn++ {
		s.names[RPCID(fn)] = fmt.Sprint(fn)
		open[fn] = r.Submit(now, RPCID(fn), 0, 0, fn, 1e8, 0, 100, 2, 0, false)
		r.Dispatch(now)
		to(now + sec)
	}
	if len(r.fns) != 9 || r.seen != 900 || len(s.did) == 0 {
		t.Fatalf("%d functions, memory %g, did %v", len(r.fns), r.seen, s.did)
	}
	for fn, p := range open {
		if fn != 9 {
			p.ClientLeft(now)
			for n := range p.calls {
				p.CallOutEnded(now, n, p.calls[n].w.id, OK, true, StartedLoad, 0, sec, nil)
			}
		}
	}
	list(Gone, 2)
	to(now + forgetAfter/2)
	if len(r.fns) != 9 || r.workers[2] == nil {
		t.Errorf("forgotten too early: %d functions, worker 2 %v", len(r.fns), r.workers[2])
	}
	to(now + forgetAfter)
	if len(r.fns) != 1 || r.fns[9] == nil || r.seen != 100 {
		t.Errorf("%d functions, memory %g; one has an RPC", len(r.fns), r.seen)
	}
	if len(r.workers) != 1 || len(r.list) != 1 || r.workers[1] == nil {
		t.Errorf("%d workers, %d in the list", len(r.workers), len(r.list))
	}
	r.LoadOrderEnded(now, 2, 5, OK, 1, sec) // answers that come very late
	r.CheckEnded(now, 2, Errored, sec, []float64{1})
	list(Ready, 2)
	r.Dispatch(now)
	if len(r.workers) != 2 || len(r.workers[2].holds) > 0 {
		t.Error("worker 2 is not back as new")
	}
}

// TestFirstHomesAgree guards against a fleet that starts and has each front end guess that a function seen once is
// popular: all of its copies then stand in too many places, and push out others'.
func TestFirstHomesAgree(t *testing.T) {
	const frontEnds, workers, seen, most = 40, 111, 60, 3
	homes := map[WorkerID]bool{}
	for me := range frontEnds {
		s := &stage{t: t, rpcs: map[string]*RPC{}, names: map[RPCID]string{}, bound: map[string]string{},
			set: Settings{"methods": 1.0, "methods.0.effect": Idempotent, "may.call-outs": 1.0, "front-ends": 2.0, "me": float64(me)}}
		r := New(s, 0, 2, s.set)
		r.BeginWorkerList(0, ListComplete, 1)
		for id := range WorkerID(workers) {
			r.AddListedWorker(0, id+1, Ready, 0, 0, 0, 0, 0)
		}
		r.EndWorkerList(0)
		for id := range RPCID(seen) {
			s.did = nil
			fn := FunctionID(1000*me + int(id))
			if id == seen-1 {
				fn = 7
			}
			p := r.Submit(0, id, 0, 0, fn, 30*sec, 0, 100, 4, 0, false)
			r.Dispatch(0)
			if len(s.did) != 1 || len(p.calls) != 1 {
				t.Fatalf("front end %d, RPC %d: did %q", me, id, s.did)
			}
			if fn == 7 {
				homes[p.calls[0].w.id] = true
			}
			p.CallOutEnded(0, 0, p.calls[0].w.id, OK, true, AlreadyWarm, 0, 50*ms, nil)
		}
	}
	if len(homes) > most {
		t.Errorf("%d front ends have %d homes of one function, want %d at the most", frontEnds, len(homes), most)
	}
}
