package main

import (
	"fmt"
	"math/rand"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Times of a soak. The platform kills a front end no sooner than soakKillAfter after SIGTERM, that is, after the longest
// deadline of the configuration and 0.7 s; RPCs that are sent later than soakAnswered after it need no answer.
const (
	soakPhases      = 5
	soakPhase       = 1500 * time.Millisecond
	soakAnswered    = 700 * time.Millisecond
	soakKillAfter   = 3700 * time.Millisecond
	soakRecovery    = 300 * time.Millisecond // after a signal, until the share of served RPCs counts again
	soakCrowdFloods = 3
	soakExamples    = 8 // lost RPCs that are printed
)

// TestOverloadSoak plays seeded runs of floods, with signals in series, and checks the rules from outside. SOAK_SEEDS
// names other seeds, as in "1-50".
func TestOverloadSoak(t *testing.T) {
	first, last := 1, 2
	if text := os.Getenv("SOAK_SEEDS"); text != "" {
		from, to, _ := strings.Cut(text, "-")
		first, _ = strconv.Atoi(from)
		last, _ = strconv.Atoi(to)
	}
	for seed := first; seed <= max(first, last); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runSoak(t, int64(seed)) })
	}
}

// outageWindow is a time in which the front end was stopped, leaving or killed.
type outageWindow struct {
	from, until time.Time
	signal      syscall.Signal
}

// soak is one seeded run.
type soak struct {
	*overloadFleet
	random   *rand.Rand
	memoryMB int
	crowd    bool
	windows  []outageWindow
	steps    []string
}

func runSoak(t *testing.T, seed int64) {
	random := rand.New(rand.NewSource(seed))
	s := &soak{random: random, memoryMB: []int{32, 64, 192}[random.Intn(3)], crowd: random.Intn(3) == 0}
	s.overloadFleet = newOverloadFleet(t, s.memoryMB, []int{256, 384, 1024}[random.Intn(3)])
	s.startUsualClients()
	time.Sleep(overloadWarmUp)
	from := time.Now()
	for range soakPhases {
		s.playPhase()
	}
	until := time.Now()
	time.Sleep(overloadBudget + overloadLostAfter + overloadUsualInterval)
	s.verify(from, until)
}

// playPhase runs one or more floods, and signals beside them.
func (s *soak) playPhase() {
	all, number := floods(), 1
	if s.crowd {
		number = soakCrowdFloods
	}
	var stops []func()
	for range number {
		kind := all[s.random.Intn(len(all))]
		kind.connections = 1 + s.random.Intn(kind.connections)
		s.steps = append(s.steps, fmt.Sprintf("%s x%d", kind.name, kind.connections))
		stops = append(stops, s.startFlood(kind))
	}
	time.Sleep(soakPhase / 3)
	for range s.random.Intn(3) {
		s.sendSignal()
		time.Sleep(time.Duration(s.random.Int63n(int64(soakPhase / 3))))
	}
	time.Sleep(soakPhase / 3)
	var stopping sync.WaitGroup
	for _, stop := range stops {
		stopping.Go(stop)
	}
	stopping.Wait()
}

// sendSignal stops, reloads, restarts or kills the front end.
func (s *soak) sendSignal() {
	from := time.Now()
	signal := []syscall.Signal{syscall.SIGHUP, syscall.SIGSTOP, syscall.SIGSTOP, syscall.SIGTERM, syscall.SIGKILL}[s.random.Intn(5)]
	s.steps = append(s.steps, signal.String())
	switch signal {
	case syscall.SIGHUP:
		s.signal(syscall.SIGHUP)
		return
	case syscall.SIGSTOP:
		s.signal(syscall.SIGSTOP)
		time.Sleep(200*time.Millisecond + time.Duration(s.random.Int63n(int64(time.Second))))
		s.signal(syscall.SIGCONT)
	case syscall.SIGTERM:
		s.signal(syscall.SIGTERM)
		if s.random.Intn(2) == 0 {
			s.signal(syscall.SIGHUP) // right behind it
		}
		time.Sleep(soakKillAfter)
		s.restart()
	case syscall.SIGKILL:
		s.restart()
	}
	s.windows = append(s.windows, outageWindow{from, time.Now(), signal})
}

// excused reports whether an RPC without an answer in time is allowed, because of what was done to the front end.
func (s *soak) excused(rpc *usualRPC) bool {
	due := rpc.sentAt.Add(overloadBudget + overloadLostAfter)
	for _, w := range s.windows {
		switch {
		case w.signal == syscall.SIGTERM && rpc.sentAt.After(w.from.Add(soakAnswered)) && rpc.sentAt.Before(w.until),
			w.signal == syscall.SIGKILL && due.After(w.from) && rpc.sentAt.Before(w.until):
			return true
		case w.signal == syscall.SIGSTOP && due.After(w.from) && rpc.sentAt.Before(w.until):
			if rpc.answered && rpc.sentAt.Add(rpc.took).Before(due.Add(w.until.Sub(w.from))) {
				return true
			}
		}
	}
	return false
}

// disturbed reports whether an RPC was sent so close to a signal that its share does not count.
func (s *soak) disturbed(rpc *usualRPC) bool {
	for _, w := range s.windows {
		if rpc.sentAt.After(w.from.Add(-overloadBudget)) && rpc.sentAt.Before(w.until.Add(soakRecovery)) {
			return true
		}
	}
	return false
}

// verify checks the rules on all RPCs that were sent between two times.
func (s *soak) verify(from, until time.Time) {
	t := s.t
	s.mu.Lock()
	sent, served, lost := 0, 0, 0
	var examples []string
	for _, rpc := range s.rpcs {
		if rpc.sentAt.Before(from) || rpc.sentAt.After(until) {
			continue
		}
		inTime := rpc.answered && rpc.took <= overloadBudget+overloadLostAfter
		if !inTime && !s.excused(rpc) {
			if lost++; lost <= soakExamples {
				examples = append(examples, fmt.Sprintf("sent %v, answered %v after %v, sent again %v", rpc.sentAt.Sub(from).Round(time.Millisecond),
					rpc.answered, rpc.took.Round(time.Millisecond), rpc.resent))
			}
		}
		if !s.disturbed(rpc) {
			sent++
			if rpc.answered && rpc.kind == answeredOK && rpc.took <= overloadBudget {
				served++
			}
		}
	}
	twice, unasked := 0, s.unexpectedAnswers
	for id, times := range s.executions {
		if s.sideEffecting[id] && len(times) > 1 {
			twice++
		}
	}
	peak, exits := s.peakMB, s.unexpectedExits
	s.mu.Unlock()
	late, longest := s.lateStarts()
	t.Logf("%d MB, crowd %v: %s: %d of %d RPCs served in time, %d lost, peak %.1f MB", s.memoryMB, s.crowd,
		strings.Join(s.steps, ", "), served, sent, lost, peak)
	if lost > 0 {
		for _, w := range s.windows {
			t.Logf("%v from %v to %v", w.signal, w.from.Sub(from).Round(time.Millisecond), w.until.Sub(from).Round(time.Millisecond))
		}
		t.Errorf("%d RPCs were lost, the first ones: %s", lost, strings.Join(examples, "; "))
	}
	if !s.crowd && float64(served) < minServedInTime*float64(sent) {
		t.Errorf("%d of %d RPCs were served in time, want %.2f", served, sent, minServedInTime)
	}
	if twice > 0 || unasked > 0 || late > 0 || exits > 0 {
		t.Errorf("%d side-effecting RPCs ran twice, %d unexpected answers, %d RPCs began up to %v after their client had left, %d unexpected exits",
			twice, unasked, late, longest, exits)
	}
	if peak > maxMemoryShare*float64(s.memoryMB) {
		t.Errorf("memory rose to %.1f MB of %d MB", peak, s.memoryMB)
	}
}
