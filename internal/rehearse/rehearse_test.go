package rehearse

import (
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

// The test's executable is the program too: TestMain runs what a rehearsal starts. The environment names the rule
// that a front end breaks on purpose.
const wrongEnv = "MALLOWLANDING_TEST_BREAKS_RULE"

func TestMain(m *testing.M) {
	if len(os.Args) > 4 && os.Args[1] == "--log-form" {
		if err := program(os.Args[3], os.Args[4]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func program(command, file string) error {
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
	return gateway.ServeWithHooks(ctx, f, log, nil, wrong(os.Getenv(wrongEnv)))
}

// wrong is the outgoing side of a front end that breaks one rule.
func wrong(rule string) gateway.OutputHooks {
	w := &wrongSide{rule: rule, links: map[string]engine.Link{}}
	switch rule {
	case "1 twice":
		return gateway.OutputHooks{Answer: w.twice}
	case "1":
		return gateway.OutputHooks{Client: func(c engine.Client) engine.Client { return &wrongClient{Client: c, w: w} }}
	case "2", "3", "4", "5":
		return gateway.OutputHooks{Link: w.link}
	}
	return gateway.OutputHooks{}
}

type wrongSide struct {
	rule        string
	mu          sync.Mutex
	links       map[string]engine.Link
	first, last string
	answers     int
}

func (w *wrongSide) link(name string, l engine.Link) engine.Link {
	w.links[name], w.last = l, name
	if w.first == "" {
		w.first = name
	}
	return &wrongLink{Link: l, w: w}
}

type wrongClient struct {
	engine.Client
	w *wrongSide
}

// OK answers, or never does.
func (c *wrongClient) OK(result, blob []byte) {
	if c.w.answers++; c.w.answers%20 != 0 {
		c.Client.OK(result, blob)
	}
}

// twice has some answers leave twice.
func (w *wrongSide) twice(value []byte) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.answers++; w.answers%20 == 0 {
		return append(append(value, '\n'), value...)
	}
	return value
}

type wrongLink struct {
	engine.Link
	w *wrongSide
}

func (l *wrongLink) Send(id engine.CallOutID, p *engine.RPC, left, by router.Time) {
	w := l.w
	switch w.rule {
	case "2": // side-effecting RPCs go to two workers
		if l.Link.Send(id, p, left, by); p.Method.Effect == router.SideEffecting {
			for _, other := range w.links {
				if other != l.Link {
					other.Send(id, p, left, by)
					return
				}
			}
		}
	case "3": // all goes to the worker known first, drained or not
		w.links[w.first].Send(id, p, left, by)
	case "4": // the worker that came last is pushed, cold or not
		l.Link.Send(id, p, left, by)
		for range 10 {
			w.links[w.last].Send(id, p, left, by)
		}
	case "5": // each RPC orders a load
		l.Link.OrderLoad(engine.OrderID(1<<40|uint64(id)), p.Function, p.Spec, 1, by)
		l.Link.Send(id, p, left, by)
	}
}

// Each front end that breaks a rule is caught, by the rule it breaks, with who and when; one that breaks none is not.
func TestAuditorCatches(t *testing.T) {
	exe, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name string
		rule int
	}{{"none", 0}, {"1", 1}, {"1 twice", 1}, {"2", 2}, {"3", 3}, {"4", 4}, {"5", 5}} {
		t.Run(c.name, func(t *testing.T) {
			s, err := settings.ReadScenario(filepath.Join("testdata", "short.xml"))
			if err != nil {
				t.Fatal(err)
			}
			dir, err := os.MkdirTemp("", "ml")
			if err != nil {
				t.Fatal(err)
			}
			defer os.RemoveAll(dir)
			wrapper := filepath.Join(dir, "program")
			script := fmt.Sprintf("#!/bin/sh\n%s='%s' exec '%s' \"$@\"\n", wrongEnv, c.name, exe)
			if err := os.WriteFile(wrapper, []byte(script), 0o700); err != nil {
				t.Fatal(err)
			}
			// All are written before one starts processes: a child that is being made has the file open for writing, and nothing
			// can run a file that is.
			t.Parallel()
			begin := time.Now()
			o, err := Play(context.Background(), s, wrapper, filepath.Join(dir, "d"), zerolog.Nop())
			if err != nil {
				t.Fatal(err)
			}
			if c.rule == 0 && (o.Audit.RPCs < 100 || o.Audit.CallOuts < 100 || o.Audit.Effects < 100) {
				t.Errorf("the auditor saw too little: %+v", o.Audit)
			}
			caught := 0
			for _, b := range o.Audit.Violations {
				if c.rule == 0 || b.RPC == "" || b.UnixNS < begin.UnixNano() || b.UnixNS > time.Now().UnixNano() {
					t.Errorf("%+v", b)
				}
				if b.Rule == c.rule {
					caught++
				}
			}
			if c.rule > 0 && caught == 0 {
				t.Errorf("not caught: %+v", o.Audit)
			}
			if c.rule == 0 && o.GainShare() < 0.5 {
				t.Errorf("gain kept is %.2f", o.GainShare())
			}
		})
	}
}
