package rehearse

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"mallowlanding/internal/engine"
	"mallowlanding/internal/gateway"
	"mallowlanding/internal/settings"
	"mallowlanding/internal/standin"
	"mallowlanding/router"
)

// brokenRuleEnv is the environment variable that names the rule that a front end breaks on purpose. The rehearsal
// starts the test binary as its program; see TestMain.
const brokenRuleEnv = "MALLOWLANDING_TEST_BREAKS_RULE"

func TestMain(m *testing.M) {
	if len(os.Args) > 4 && os.Args[1] == "--log-form" {
		if err := runProgram(os.Args[3], os.Args[4]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// runProgram runs the subcommand that a rehearsal starts.
func runProgram(command, file string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	log := zerolog.New(os.Stderr)
	switch command {
	case "roster":
		r, err := settings.ReadRoster(file)
		if err != nil {
			return err
		}
		return standin.Roster(ctx, r, log, nil)
	case "worker":
		w, err := settings.ReadWorker(file)
		if err != nil {
			return err
		}
		return standin.Worker(ctx, w, 2*time.Second, log, nil)
	}
	f, err := settings.ReadFrontEnd(file)
	if err != nil {
		return err
	}
	return gateway.ServeWithHooks(ctx, f, log, nil, ruleBreakingHooks(os.Getenv(brokenRuleEnv)))
}

// ruleBreakingHooks returns output hooks that make a front end break one rule.
func ruleBreakingHooks(rule string) gateway.OutputHooks {
	breaker := &ruleBreaker{rule: rule, links: map[string]engine.Link{}}
	switch rule {
	case "1 twice":
		return gateway.OutputHooks{Answer: breaker.duplicateAnswer}
	case "1":
		return gateway.OutputHooks{Client: func(c engine.Client) engine.Client { return &ruleBreakingClient{Client: c, breaker: breaker} }}
	case "1 late", "2", "3", "4", "5":
		return gateway.OutputHooks{Link: breaker.wrapLink}
	}
	return gateway.OutputHooks{}
}

type ruleBreaker struct {
	rule        string
	mu          sync.Mutex
	links       map[string]engine.Link
	first, last string
	answers     int
	held        *engine.RPC // to be sent again
	heldSince   time.Time
}

// lateSend is for how long a held RPC is kept: past the deadline of its method and the slack of the audit.
const lateSend = 1500 * time.Millisecond

func (b *ruleBreaker) wrapLink(name string, l engine.Link) engine.Link {
	b.links[name], b.last = l, name
	if b.first == "" {
		b.first = name
	}
	return &ruleBreakingLink{Link: l, breaker: b}
}

type ruleBreakingClient struct {
	engine.Client
	breaker *ruleBreaker
}

// OK drops every 20th answer.
func (c *ruleBreakingClient) OK(result, blob []byte) {
	if c.breaker.answers++; c.breaker.answers%20 != 0 {
		c.Client.OK(result, blob)
	}
}

// duplicateAnswer sends every 20th answer twice.
func (b *ruleBreaker) duplicateAnswer(value []byte) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.answers++; b.answers%20 == 0 {
		return append(append(value, '\n'), value...)
	}
	return value
}

type ruleBreakingLink struct {
	engine.Link
	breaker *ruleBreaker
}

func (l *ruleBreakingLink) Send(id engine.CallOutID, rpc *engine.RPC, clientWait, sendBy router.Time) {
	b := l.breaker
	switch b.rule {
	case "1 late": // sends a call-out again when its client has its answer
		l.Link.Send(id, rpc, clientWait, sendBy)
		if now := time.Now(); now.Sub(b.heldSince) > lateSend {
			if b.held != nil {
				l.Link.Send(1<<40|id, b.held, clientWait, sendBy)
			}
			held := engine.RPC{Method: rpc.Method, Function: rpc.Function, Spec: rpc.Spec, Payload: bytes.Clone(rpc.Payload)}
			b.held, b.heldSince = &held, now
		}
	case "2": // sends side-effecting RPCs to two workers
		if l.Link.Send(id, rpc, clientWait, sendBy); rpc.Method.Effect == router.SideEffecting {
			for _, other := range b.links {
				if other != l.Link {
					other.Send(id, rpc, clientWait, sendBy)
					return
				}
			}
		}
	case "3": // sends everything to the worker that was known first, even if it drains
		b.links[b.first].Send(id, rpc, clientWait, sendBy)
	case "4": // overloads the worker that was added last, even if it is cold
		l.Link.Send(id, rpc, clientWait, sendBy)
		for range 10 {
			b.links[b.last].Send(id, rpc, clientWait, sendBy)
		}
	case "5": // orders a load for each RPC
		l.Link.OrderLoad(engine.OrderID(1<<40|uint64(id)), rpc.Function, rpc.Spec, 1, sendBy)
		l.Link.Send(id, rpc, clientWait, sendBy)
	}
}

// prepareDay reads a scenario of testdata, and makes a folder for its processes until the test ends. The folder's path is
// short, since paths of sockets are limited.
func prepareDay(t *testing.T, file string) (s *settings.Scenario, dir string) {
	s, err := settings.ReadScenario(filepath.Join("testdata", file))
	if err != nil {
		t.Fatal(err)
	}
	if dir, err = os.MkdirTemp("", "ml"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	return s, dir
}

// TestAuditorFindsBrokenRules checks that the auditor reports each front end that breaks a rule, with the number of the
// rule, the RPC and the time, and does not report a front end that breaks none.
func TestAuditorFindsBrokenRules(t *testing.T) {
	exe, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name string
		rule int
	}{{"none", 0}, {"1", 1}, {"1 twice", 1}, {"1 late", 1}, {"2", 2}, {"3", 3}, {"4", 4}, {"5", 5}} {
		t.Run(c.name, func(t *testing.T) {
			s, dir := prepareDay(t, "short.xml")
			wrapper := filepath.Join(dir, "program")
			script := fmt.Sprintf("#!/bin/sh\n%s='%s' exec '%s' \"$@\"\n", brokenRuleEnv, c.name, exe)
			if err := os.WriteFile(wrapper, []byte(script), 0o700); err != nil {
				t.Fatal(err)
			}
			// All scripts are written before any process starts: a process that is forked while a script is open for
			// writing inherits the open file, and the script cannot be executed as long as it has it.
			t.Parallel()
			begin := time.Now()
			outcome, err := Play(context.Background(), s, wrapper, filepath.Join(dir, "d"), zerolog.Nop())
			if err != nil {
				t.Fatal(err)
			}
			if c.rule == 0 && (outcome.Audit.RPCs < 100 || outcome.Audit.CallOuts < 100 || outcome.Audit.Effects < 100) {
				t.Errorf("the auditor saw too few RPCs, call-outs or effects: %+v", outcome.Audit)
			}
			found := 0
			for _, violation := range outcome.Audit.Violations {
				if c.rule == 0 || violation.RPC == "" || violation.UnixNS < begin.UnixNano() || violation.UnixNS > time.Now().UnixNano() {
					t.Errorf("unexpected or incomplete violation: %+v", violation)
				}
				if violation.Rule == c.rule {
					found++
				}
			}
			if c.rule > 0 && found == 0 {
				t.Errorf("broken rule not reported: %+v", outcome.Audit)
			}
			if c.rule == 0 && outcome.GainShare() < 0.5 {
				t.Errorf("gain kept is %.2f, want at least 0.5", outcome.GainShare())
			}
		})
	}
}

// TestNothingIsSentLateToHangingWorker guards against RPCs that wait for a worker that reads nothing, and are sent to it
// when it goes on, long after their clients have their answers.
func TestNothingIsSentLateToHangingWorker(t *testing.T) {
	exe, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	s, dir := prepareDay(t, "hang.xml")
	outcome, err := Play(context.Background(), s, exe, filepath.Join(dir, "d"), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	for _, violation := range outcome.Audit.Violations {
		t.Errorf("%+v", violation)
	}
	if outcome.Audit.CallOuts < 100 || outcome.GainShare() < 0.5 {
		t.Errorf("%d call-outs, gain kept %.2f", outcome.Audit.CallOuts, outcome.GainShare())
	}
}
