package emulate

import (
	"fmt"
	"math"
	"math/rand"
	"strings"

	"mallowlanding/internal/scenario"
	"mallowlanding/internal/settings"
	"mallowlanding/internal/standin"
	"mallowlanding/router"
)

// direction is the direction of a message between a front end and a worker.
type direction uint8

const (
	toWorker direction = iota
	toFrontEnd
)

// messageLoss drops a share of the messages in one direction, for some workers and a time. Neither end sees its
// connection as lost.
type messageLoss struct {
	until     router.Time
	direction direction
	share     float64
	workers   map[string]bool
	fronts    map[int]bool // nil: all
}

// isMessageLost reports whether a message is dropped; it draws from the network's random numbers.
func (w *world) isMessageLost(f *frontEnd, x *worker, dir direction) bool {
	for i := range w.messageLosses {
		loss := &w.messageLosses[i]
		if w.now < loss.until && loss.direction == dir && loss.workers[x.settings.Name] && (loss.fronts == nil || loss.fronts[f.index]) &&
			w.networkRand.Float64() < loss.share {
			return true
		}
	}
	return false
}

// checkSupported returns an error if the scenario needs something that the emulator does not have.
func checkSupported(s *settings.Scenario) error {
	for _, t := range s.Troubles {
		switch t.Kind {
		case "control-kill", "control-silence":
			return t.Errorf("trouble %q: the emulator has no control service: rehearse it on sockets", t.Kind)
		}
	}
	for _, m := range s.Service.Methods {
		if m.MaxBatch > 1 {
			return m.Errorf("method %q: the emulator has no batches: rehearse it on sockets", m.Name)
		}
	}
	return nil
}

// sampleWorkers draws a share of the fleet's current workers, at least one.
func (w *world) sampleWorkers(share float64, rng *rand.Rand) (out []*worker) {
	n := max(1, int(math.Round(share*float64(len(w.fleet)))))
	for _, i := range rng.Perm(len(w.fleet))[:min(n, len(w.fleet))] {
		out = append(out, w.fleet[i])
	}
	return out
}

// startTrouble injects a trouble. Kinds that rehearsals have, too, take the same course as there; the others are those
// that sockets on one machine can't produce.
func (w *world) startTrouble(t settings.Trouble, rng *rand.Rand) {
	each := func(workers []*worker, do func(m *standin.Model)) {
		for _, x := range workers {
			x.handle(func() { do(x.model) })
		}
	}
	names := func(workers []*worker) map[string]bool {
		out := map[string]bool{}
		for _, x := range workers {
			out[x.settings.Name] = true
		}
		return out
	}
	switch t.Kind {
	case "hang":
		each(w.sampleWorkers(t.Part, rng), func(m *standin.Model) { m.Hang(t.For) })
	case "slow":
		each(w.sampleWorkers(t.Part, rng), func(m *standin.Model) { m.Slow(t.Size, t.For) })
	case "slow-function":
		name := fmt.Sprintf("%s-0", w.scenario.Load.Mix[0].Method) // the most requested function
		each(w.sampleWorkers(t.Part, rng), func(m *standin.Model) { m.SlowFunction(name, t.Size, t.For) })
	case "fast-errors":
		each(w.sampleWorkers(t.Part, rng), func(m *standin.Model) { m.FailRPCs(t.Size, t.For) })
	case "load-fails":
		each(w.sampleWorkers(t.Part, rng), func(m *standin.Model) { m.FailLoads(t.Size, t.For) })
	case "report-late":
		each(w.sampleWorkers(1, rng), func(m *standin.Model) { m.DelayReports(router.Time(t.Size*10000), t.For) })
	case "flush":
		each(w.sampleWorkers(1, rng), func(m *standin.Model) {
			m.Release(func(function string) bool { return standin.InReleaseShare(function, t.Size, w.scenario.Seed) })
		})
	case "half-frame", "close":
		for _, x := range w.sampleWorkers(t.Part, rng) {
			for _, l := range x.links {
				if l.worker == x {
					l.connectionLost()
				}
			}
		}
	case "answers-lost", "cut-to-workers", "cut-from-workers":
		loss := messageLoss{until: w.now + t.For, direction: toFrontEnd, share: t.Size, workers: names(w.sampleWorkers(t.Part, rng))}
		if t.Kind != "answers-lost" {
			loss.share = 1
			if loss.fronts = map[int]bool{rng.Intn(len(w.fronts)): true}; t.Kind == "cut-to-workers" {
				loss.direction = toWorker
			}
		}
		w.messageLosses = append(w.messageLosses, loss)
	case "clock-step":
		f := w.fronts[rng.Intn(len(w.fronts))]
		f.handle(f.life, func() {})
		// forwards only: the event loop's clock is monotonic, and a suspended process sees such a step
		f.clockOffset += router.Time(t.Size * 10000)
	case "config", "config-flood":
		every := router.Time(10000 / max(t.Size, 0.001))
		for n := 0; router.Time(n+1)*every < t.For; n++ {
			bad := rng.Float64() < t.Part
			text, err := scenario.ChangedConfiguration(w.scenario, "/run", n, bad, rng)
			w.after(router.Time(n+1)*every, func() { w.distributeConfiguration(text, err) })
		}
	case "config-move":
		w.distributeConfiguration(scenario.ConfigurationOfOtherShape(w.scenario))
	case "crash":
		w.crashWorkers(w.sampleWorkers(t.Part, rng), t.For)
	case "ageing":
		workers := w.sampleWorkers(t.Part, rng)
		for i, factor := range []float64{1 + t.Size/3, 1 + 2*t.Size/3, 1 + t.Size} {
			w.after(t.For*router.Time(i)/3, func() { each(workers, func(m *standin.Model) { m.Slow(factor, t.For) }) })
		}
		w.after(t.For, func() { w.crashWorkers(workers, 10000) })
	case "zone-loss":
		var workers []*worker
		for _, x := range w.fleet {
			if x.settings.Zone == t.Zone {
				workers = append(workers, x)
			}
		}
		if t.Size > 0.5 {
			for _, f := range w.fronts {
				if w.scenario.ZoneOf(f.index) == t.Zone {
					w.killFrontEnd(f, t.For)
				}
			}
		}
		w.crashWorkers(workers, t.For)
	case "deploy":
		workers := w.sampleWorkers(t.Part, rng)
		batch := max(1, int(math.Round(t.Size*float64(len(workers)))))
		batches := (len(workers) + batch - 1) / batch
		for i := 0; i < len(workers); i += batch {
			w.after(t.For/router.Time(batches)*router.Time(i/batch), func() {
				for _, x := range workers[i:min(i+batch, len(workers))] {
					w.replaceWorker(x, 0)
				}
			})
		}
	case "preempt":
		for _, x := range w.sampleWorkers(t.Part, rng) {
			w.replaceWorker(x, t.For)
		}
	case "front-end-kill":
		w.killFrontEnd(w.fronts[rng.Intn(len(w.fronts))], t.For)
	case "front-end-roll": // each stops once it has answered its RPCs, which takes no longer than the longest deadline
		w.rollFrontEnds(0, t.For/router.Time(len(w.fronts)))
	case "front-end-stall":
		w.fronts[rng.Intn(len(w.fronts))].stall(t.For)
	}
}

// distributeConfiguration has each front end apply a configuration, each after its own delay. A configuration that does
// not parse is rejected by all. The control service and the stages of its rollouts are not emulated.
func (w *world) distributeConfiguration(text string, err error) {
	if err != nil {
		return
	}
	conf, err := settings.ReadConfiguration("version", strings.NewReader(text))
	if err != nil { // all front ends reject it alike
		return
	}
	for _, f := range w.fronts {
		life := f.life
		w.after(w.delay()+w.delay(), func() { f.handle(life, func() { f.updateSettings(conf) }) })
	}
}

// crashWorkers kills workers; after the downtime they start again, cold and under the same names.
func (w *world) crashWorkers(workers []*worker, downtime router.Time) {
	for _, x := range workers {
		x.stop()
	}
	w.after(downtime, func() {
		for _, x := range workers {
			cfg := *x.settings
			cfg.Cold = true
			next := w.startWorker(&cfg)
			for i := range w.fleet {
				if w.fleet[i] == x {
					w.fleet[i] = next
				}
			}
		}
	})
}

// replaceWorker drains a worker and starts a cold one in its place after a delay. The old worker stops after twice the
// roster's lag and 4 s, when front ends must have been notified.
func (w *world) replaceWorker(x *worker, delay router.Time) {
	x.drain()
	w.after(2*(w.scenario.Fleet.RosterLag+20000), x.stop)
	cfg := *x.settings
	cfg.Name, cfg.Cold = fmt.Sprintf("worker-%d", w.nextWorker), true
	w.nextWorker++
	w.after(delay, func() {
		next := w.startWorker(&cfg)
		for i := range w.fleet {
			if w.fleet[i] == x {
				w.fleet[i] = next
			}
		}
	})
}

// killFrontEnd kills a front end and restarts it after the downtime.
func (w *world) killFrontEnd(f *frontEnd, downtime router.Time) {
	if !f.alive {
		return
	}
	f.stop()
	w.after(downtime, f.start)
}

// rollFrontEnds restarts the front ends one after the other, from index i on. Each denies new RPCs, answers those that
// it has, and starts again.
func (w *world) rollFrontEnds(i int, pause router.Time) {
	if i == len(w.fronts) {
		return
	}
	f := w.fronts[i]
	f.diedAt = w.now // its sockets are closed: clients choose other front ends once they notice
	f.handle(f.life, func() { f.dispatcher.Drain() })
	var leave func()
	leave = func() {
		// once all its RPCs are answered, nothing more can be sent to it; RPCs that are already on the way are still denied
		f.closed = f.closed || f.alive && f.engine.Counts().Open+f.dispatcher.Waiting() == 0
		if f.alive && (!f.closed || len(f.openAttempts) > 0) {
			w.after(50, leave)
			return
		}
		if f.alive { // else it was killed meanwhile, and whoever killed it restarts it
			f.stop()
			f.start()
		}
		w.after(pause, func() { w.rollFrontEnds(i+1, pause) })
	}
	w.after(50, leave)
}
