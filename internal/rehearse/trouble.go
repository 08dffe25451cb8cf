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
func (inj *faultInjector) run(ctx context.Context, start time.Time) {
	for n, trouble := range inj.fleet.scenario.Troubles {
		inj.wg.Add(1)
		go func() {
			defer inj.wg.Done()
			if !sleep(ctx, time.Until(start.Add(eventloop.ToDuration(trouble.At)))) {
				return
			}
			inj.log.Info().Str("kind", trouble.Kind).Float64("part", trouble.Part).Float64("size", trouble.Size).
				Dur("for", eventloop.ToDuration(trouble.For)).Msg("trouble starts")
			if err := inj.inject(ctx, trouble, rand.New(rand.NewSource(inj.fleet.scenario.Seed+int64(n)))); err != nil && ctx.Err() == nil {
				inj.log.Error().Err(err).Str("kind", trouble.Kind).Msg("could not inject the trouble")
			}
		}()
	}
	inj.wg.Wait()
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
func (inj *faultInjector) pickWorkers(share float64, rng *rand.Rand) []*settings.Worker {
	inj.fleet.mu.Lock()
	defer inj.fleet.mu.Unlock()
	n := max(1, int(math.Round(share*float64(len(inj.fleet.workers)))))
	var out []*settings.Worker
	for _, i := range rng.Perm(len(inj.fleet.workers))[:min(n, len(inj.fleet.workers))] {
		out = append(out, inj.fleet.workers[i])
	}
	return out
}

// inject plays one trouble. It returns when the trouble has ended or, for a fault that the workers time themselves,
// when the fault has been requested from them.
func (inj *faultInjector) inject(ctx context.Context, trouble settings.Trouble, rng *rand.Rand) error {
	span := eventloop.ToDuration(trouble.For)
	params := fmt.Sprintf(`{"for_ms":%g,"size":%g,"seed":%d}`, float64(trouble.For)/10, trouble.Size, inj.fleet.scenario.Seed)
	sendToEach := func(workers []*settings.Worker, fault, params string) error {
		for _, w := range workers {
			if err := inj.fleet.sendFault(ctx, w, fault, params); err != nil {
				return fmt.Errorf("%s: %w", w.Name, err)
			}
		}
		return nil
	}
	switch trouble.Kind {
	case "burst", "scan": // part of the load that clients send
		return nil
	case "hang":
		return sendToEach(inj.pickWorkers(trouble.Part, rng), "fault.hang", params)
	case "slow":
		return sendToEach(inj.pickWorkers(trouble.Part, rng), "fault.slow", params)
	case "fast-errors":
		return sendToEach(inj.pickWorkers(trouble.Part, rng), "fault.errors", params)
	case "load-fails":
		return sendToEach(inj.pickWorkers(trouble.Part, rng), "fault.load_fails", params)
	case "report-late":
		return sendToEach(inj.pickWorkers(1, rng), "fault.reports_late", params)
	case "flush":
		return sendToEach(inj.pickWorkers(1, rng), "fault.release", params)
	case "half-frame":
		return sendToEach(inj.pickWorkers(trouble.Part, rng), "fault.half_frame", params)
	case "close":
		return sendToEach(inj.pickWorkers(trouble.Part, rng), "fault.close", params)
	case "crash":
		return inj.crashWorkers(ctx, inj.pickWorkers(trouble.Part, rng), span)
	case "ageing":
		workers := inj.pickWorkers(trouble.Part, rng)
		for _, factor := range []float64{1 + trouble.Size/3, 1 + 2*trouble.Size/3, 1 + trouble.Size} {
			p := fmt.Sprintf(`{"for_ms":%g,"size":%g}`, float64(trouble.For)/10, factor)
			if err := sendToEach(workers, "fault.slow", p); err != nil {
				return err
			}
			if !sleep(ctx, span/3) {
				return nil
			}
		}
		return inj.crashWorkers(ctx, workers, time.Second)
	case "zone-loss":
		var workers []*settings.Worker
		for _, w := range inj.pickWorkers(1, rng) {
			if w.Zone == trouble.Zone {
				workers = append(workers, w)
			}
		}
		var wg sync.WaitGroup
		if trouble.Size > 0.5 {
			for i := range inj.fleet.scenario.Fleet.FrontEnds {
				if inj.fleet.scenario.ZoneOf(i) == trouble.Zone {
					wg.Add(1)
					go func() { defer wg.Done(); _ = inj.killFrontEnd(ctx, i, span) }()
				}
			}
		}
		err := inj.crashWorkers(ctx, workers, span)
		wg.Wait()
		return err
	case "deploy":
		workers := inj.pickWorkers(trouble.Part, rng)
		batch := max(1, int(math.Round(trouble.Size*float64(len(workers)))))
		batches := (len(workers) + batch - 1) / batch
		for i := 0; i < len(workers); i += batch {
			for _, w := range workers[i:min(i+batch, len(workers))] {
				if err := inj.replaceWorker(ctx, w, 0); err != nil {
					return err
				}
			}
			if !sleep(ctx, span/time.Duration(batches)) {
				return nil
			}
		}
		return nil
	case "preempt":
		for _, w := range inj.pickWorkers(trouble.Part, rng) {
			if err := inj.replaceWorker(ctx, w, span); err != nil {
				return err
			}
		}
		return nil
	case "config", "config-flood":
		return inj.submitConfigs(ctx, trouble, rng)
	case "config-move":
		return inj.submitMove(ctx)
	case "control-kill":
		return inj.killControlInstance(ctx, rng.Intn(inj.fleet.scenario.Fleet.Control.Instances), span)
	case "control-silence": // pausing all instances looks like a network cut
		return inj.pauseControl(ctx, span)
	case "front-end-kill":
		return inj.killFrontEnd(ctx, rng.Intn(inj.fleet.scenario.Fleet.FrontEnds), span)
	case "front-end-roll":
		for i := range inj.fleet.scenario.Fleet.FrontEnds {
			inj.generator.setFrontEndDead(i, true)
			p := inj.fleet.signalProcess(frontEndName(i), syscall.SIGTERM)
			select {
			case <-p.done:
			case <-ctx.Done():
				return nil
			}
			if err := inj.fleet.startFrontEnd(ctx, i); err != nil {
				return err
			}
			inj.generator.setFrontEndDead(i, false)
			if !sleep(ctx, span/time.Duration(inj.fleet.scenario.Fleet.FrontEnds)) {
				return nil
			}
		}
		return nil
	case "front-end-stall":
		name := frontEndName(rng.Intn(inj.fleet.scenario.Fleet.FrontEnds))
		inj.addEvent(record.ProcessPaused, name)
		inj.fleet.signalProcess(name, syscall.SIGSTOP)
		sleep(ctx, span)
		inj.fleet.signalProcess(name, syscall.SIGCONT)
		inj.addEvent(record.ProcessResumed, name)
		return nil
	}
	return fmt.Errorf("trouble %q cannot be produced with processes on one machine: use the emulator", trouble.Kind)
}

// addEvent records what happens to a front end.
func (inj *faultInjector) addEvent(kind, frontEnd string) {
	inj.fleet.addRecord(record.Record{UnixNS: time.Now().UnixNano(), Kind: kind, Source: "rehearsal", FrontEnd: frontEnd})
}

// crashWorkers kills workers and restarts them cold, with the same names, after the downtime.
func (inj *faultInjector) crashWorkers(ctx context.Context, workers []*settings.Worker, downtime time.Duration) error {
	for _, w := range workers {
		inj.fleet.signalProcess(w.Name, syscall.SIGKILL)
	}
	if !sleep(ctx, downtime) {
		return nil
	}
	for _, w := range workers {
		w.Cold = true
		if err := inj.fleet.startWorker(ctx, w); err != nil {
			return err
		}
	}
	return nil
}

// replaceWorker drains a worker and starts a new one, which is cold, in its place after the downtime.
func (inj *faultInjector) replaceWorker(ctx context.Context, w *settings.Worker, downtime time.Duration) error {
	inj.fleet.signalProcess(w.Name, syscall.SIGTERM)
	next := *w
	next.Cold = true
	inj.fleet.mu.Lock()
	next.Name = fmt.Sprintf("worker-%d", inj.fleet.nextWorker)
	inj.fleet.nextWorker++
	for i := range inj.fleet.workers {
		if inj.fleet.workers[i] == w {
			inj.fleet.workers[i] = &next
		}
	}
	inj.fleet.mu.Unlock()
	if !sleep(ctx, downtime) {
		return nil
	}
	return inj.fleet.startWorker(ctx, &next)
}

// killFrontEnd kills a front end and restarts it after the downtime.
func (inj *faultInjector) killFrontEnd(ctx context.Context, i int, downtime time.Duration) error {
	inj.addEvent(record.ProcessEnded, frontEndName(i))
	inj.generator.setFrontEndDead(i, true)
	p := inj.fleet.signalProcess(frontEndName(i), syscall.SIGKILL)
	<-p.done
	sleep(ctx, downtime)
	if err := inj.fleet.startFrontEnd(ctx, i); err != nil {
		return err
	}
	inj.generator.setFrontEndDead(i, false)
	return nil
}
