package rehearse

import (
	"context"
	"fmt"
	"math"
	"math/rand"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"mallowlanding/internal/eventloop"
	"mallowlanding/internal/record"
	"mallowlanding/internal/settings"
)

// faultInjector plays the troubles, the scheduled faults, of a scenario.
type faultInjector struct {
	fleet     *fleet
	generator *loadGenerator
	log       zerolog.Logger
	wg        sync.WaitGroup
	configs   configResults
}

// run starts each trouble at its time and returns when all have ended.
func (m *faultInjector) run(ctx context.Context, start time.Time) {
	for n, t := range m.fleet.scenario.Troubles {
		m.wg.Add(1)
		go func() {
			defer m.wg.Done()
			if !sleep(ctx, time.Until(start.Add(eventloop.ToDuration(t.At)))) {
				return
			}
			m.log.Info().Str("kind", t.Kind).Float64("part", t.Part).Float64("size", t.Size).
				Dur("for", eventloop.ToDuration(t.For)).Msg("trouble starts")
			if err := m.inject(ctx, t, rand.New(rand.NewSource(m.fleet.scenario.Seed+int64(n)))); err != nil && ctx.Err() == nil {
				m.log.Error().Err(err).Str("kind", t.Kind).Msg("could not inject the trouble")
			}
		}()
	}
	m.wg.Wait()
}

// sleep reports false if the context ended before the time had passed.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(max(d, 0)):
		return true
	}
}

// pickWorkers draws a share of the fleet's present workers, at least one.
func (m *faultInjector) pickWorkers(share float64, rng *rand.Rand) []*settings.Worker {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	n := max(1, int(math.Round(share*float64(len(m.fleet.workers)))))
	var out []*settings.Worker
	for _, i := range rng.Perm(len(m.fleet.workers))[:min(n, len(m.fleet.workers))] {
		out = append(out, m.fleet.workers[i])
	}
	return out
}

// inject plays one trouble and returns when it has ended, or when the workers play it on by themselves.
func (m *faultInjector) inject(ctx context.Context, t settings.Trouble, rng *rand.Rand) error {
	span := eventloop.ToDuration(t.For)
	params := fmt.Sprintf(`{"for_ms":%g,"size":%g,"seed":%d}`, float64(t.For)/10, t.Size, m.fleet.scenario.Seed)
	sendToEach := func(workers []*settings.Worker, fault, params string) error {
		for _, w := range workers {
			if err := m.fleet.sendFault(ctx, w, fault, params); err != nil {
				return fmt.Errorf("%s: %w", w.Name, err)
			}
		}
		return nil
	}
	switch t.Kind {
	case "burst", "scan": // part of the load that clients send
		return nil
	case "hang":
		return sendToEach(m.pickWorkers(t.Part, rng), "fault.hang", params)
	case "slow":
		return sendToEach(m.pickWorkers(t.Part, rng), "fault.slow", params)
	case "fast-errors":
		return sendToEach(m.pickWorkers(t.Part, rng), "fault.errors", params)
	case "load-fails":
		return sendToEach(m.pickWorkers(t.Part, rng), "fault.load_fails", params)
	case "report-late":
		return sendToEach(m.pickWorkers(1, rng), "fault.reports_late", params)
	case "flush":
		return sendToEach(m.pickWorkers(1, rng), "fault.release", params)
	case "half-frame":
		return sendToEach(m.pickWorkers(t.Part, rng), "fault.half_frame", params)
	case "close":
		return sendToEach(m.pickWorkers(t.Part, rng), "fault.close", params)
	case "crash":
		return m.crashWorkers(ctx, m.pickWorkers(t.Part, rng), span)
	case "ageing":
		workers := m.pickWorkers(t.Part, rng)
		for _, factor := range []float64{1 + t.Size/3, 1 + 2*t.Size/3, 1 + t.Size} {
			p := fmt.Sprintf(`{"for_ms":%g,"size":%g}`, float64(t.For)/10, factor)
			if err := sendToEach(workers, "fault.slow", p); err != nil {
				return err
			}
			if !sleep(ctx, span/3) {
				return nil
			}
		}
		return m.crashWorkers(ctx, workers, time.Second)
	case "zone-loss":
		var workers []*settings.Worker
		for _, w := range m.pickWorkers(1, rng) {
			if w.Zone == t.Zone {
				workers = append(workers, w)
			}
		}
		var wg sync.WaitGroup
		if t.Size > 0.5 {
			for i := range m.fleet.scenario.Fleet.FrontEnds {
				if m.fleet.scenario.ZoneOf(i) == t.Zone {
					wg.Add(1)
					go func() { defer wg.Done(); _ = m.killFrontEnd(ctx, i, span) }()
				}
			}
		}
		err := m.crashWorkers(ctx, workers, span)
		wg.Wait()
		return err
	case "deploy":
		workers := m.pickWorkers(t.Part, rng)
		batch := max(1, int(math.Round(t.Size*float64(len(workers)))))
		batches := (len(workers) + batch - 1) / batch
		for i := 0; i < len(workers); i += batch {
			for _, w := range workers[i:min(i+batch, len(workers))] {
				if err := m.replaceWorker(ctx, w, 0); err != nil {
					return err
				}
			}
			if !sleep(ctx, span/time.Duration(batches)) {
				return nil
			}
		}
		return nil
	case "preempt":
		for _, w := range m.pickWorkers(t.Part, rng) {
			if err := m.replaceWorker(ctx, w, span); err != nil {
				return err
			}
		}
		return nil
	case "config", "config-flood":
		return m.submitConfigs(ctx, t, rng)
	case "config-move":
		return m.submitMove(ctx)
	case "control-kill":
		return m.killControlInstance(ctx, rng.Intn(m.fleet.scenario.Fleet.Control.Instances), span)
	case "control-silence": // pausing all instances looks like a network cut
		return m.pauseControl(ctx, span)
	case "front-end-kill":
		return m.killFrontEnd(ctx, rng.Intn(m.fleet.scenario.Fleet.FrontEnds), span)
	case "front-end-roll":
		for i := range m.fleet.scenario.Fleet.FrontEnds {
			m.generator.setFrontEndDead(i, true)
			p := m.fleet.signalProcess(frontEndName(i), syscall.SIGTERM)
			select {
			case <-p.done:
			case <-ctx.Done():
				return nil
			}
			if err := m.fleet.startFrontEnd(ctx, i); err != nil {
				return err
			}
			m.generator.setFrontEndDead(i, false)
			if !sleep(ctx, span/time.Duration(m.fleet.scenario.Fleet.FrontEnds)) {
				return nil
			}
		}
		return nil
	case "front-end-stall":
		name := frontEndName(rng.Intn(m.fleet.scenario.Fleet.FrontEnds))
		m.addEvent(record.Stopped, name)
		m.fleet.signalProcess(name, syscall.SIGSTOP)
		sleep(ctx, span)
		m.fleet.signalProcess(name, syscall.SIGCONT)
		m.addEvent(record.Resumed, name)
		return nil
	}
	return fmt.Errorf("trouble %q cannot be produced with processes on one machine: use the emulator", t.Kind)
}

// addEvent records what happens to a front end.
func (m *faultInjector) addEvent(kind, frontEnd string) {
	m.fleet.addRecord(record.Record{T: time.Now().UnixNano(), Kind: kind, Who: "rehearsal", FrontEnd: frontEnd})
}

// crashWorkers kills workers and restarts them cold, with the same names, after the downtime.
func (m *faultInjector) crashWorkers(ctx context.Context, workers []*settings.Worker, downtime time.Duration) error {
	for _, w := range workers {
		m.fleet.signalProcess(w.Name, syscall.SIGKILL)
	}
	if !sleep(ctx, downtime) {
		return nil
	}
	for _, w := range workers {
		w.Cold = true
		if err := m.fleet.startWorker(ctx, w); err != nil {
			return err
		}
	}
	return nil
}

// replaceWorker drains a worker and starts a new one, which is cold, in its place after the downtime.
func (m *faultInjector) replaceWorker(ctx context.Context, w *settings.Worker, downtime time.Duration) error {
	m.fleet.signalProcess(w.Name, syscall.SIGTERM)
	next := *w
	next.Cold = true
	m.fleet.mu.Lock()
	next.Name = fmt.Sprintf("worker-%d", m.fleet.nextWorker)
	m.fleet.nextWorker++
	for i := range m.fleet.workers {
		if m.fleet.workers[i] == w {
			m.fleet.workers[i] = &next
		}
	}
	m.fleet.mu.Unlock()
	if !sleep(ctx, downtime) {
		return nil
	}
	return m.fleet.startWorker(ctx, &next)
}

// killFrontEnd kills a front end and restarts it after the downtime.
func (m *faultInjector) killFrontEnd(ctx context.Context, i int, downtime time.Duration) error {
	m.addEvent(record.Killed, frontEndName(i))
	m.generator.setFrontEndDead(i, true)
	p := m.fleet.signalProcess(frontEndName(i), syscall.SIGKILL)
	<-p.done
	sleep(ctx, downtime)
	if err := m.fleet.startFrontEnd(ctx, i); err != nil {
		return err
	}
	m.generator.setFrontEndDead(i, false)
	return nil
}
