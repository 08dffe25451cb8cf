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

// direction of a message between a front end and a worker.
type direction uint8

const (
	toWorker direction = iota
	toFront
)

// cut loses a share of the messages of one direction, for some workers and a time: what neither end sees as broken.
type cut struct {
	until   router.Time
	way     direction
	share   float64
	workers map[string]bool
	fronts  map[int]bool // nil: all
}

// lost draws whether a message is.
func (w *world) lost(f *frontEnd, x *worker, way direction) bool {
	for i := range w.cuts {
		c := &w.cuts[i]
		if w.now < c.until && c.way == way && c.workers[x.set.Name] && (c.fronts == nil || c.fronts[f.i]) &&
			w.net.Float64() < c.share {
			return true
		}
	}
	return false
}

// playable tells what a scenario has that this package can't play.
func playable(s *settings.Scenario) error {
	for _, t := range s.Troubles {
		switch t.Kind {
		case "control-kill", "control-silence":
			return t.Errorf("trouble %q: the emulator has no control service: rehearse it on sockets", t.Kind)
		}
	}
	for _, m := range s.Service.Methods {
		if m.Batch > 1 {
			return m.Errorf("method %q: the emulator has no batches: rehearse it on sockets", m.Name)
		}
	}
	return nil
}

// part draws a share of the workers that are part of the fleet now, one at the least.
func (w *world) part(share float64, rng *rand.Rand) (out []*worker) {
	n := max(1, int(math.Round(share*float64(len(w.fleet)))))
	for _, i := range rng.Perm(len(w.fleet))[:min(n, len(w.fleet))] {
		out = append(out, w.fleet[i])
	}
	return out
}

// trouble makes something go wrong, each kind as rehearsals do, and those that sockets of one machine can't show.
func (w *world) trouble(t settings.Trouble, rng *rand.Rand) {
	each := func(xs []*worker, do func(m *standin.Model)) {
		for _, x := range xs {
			x.do(func() { do(x.model) })
		}
	}
	names := func(xs []*worker) map[string]bool {
		out := map[string]bool{}
		for _, x := range xs {
			out[x.set.Name] = true
		}
		return out
	}
	switch t.Kind {
	case "hang":
		each(w.part(t.Part, rng), func(m *standin.Model) { m.Hang(t.For) })
	case "slow":
		each(w.part(t.Part, rng), func(m *standin.Model) { m.Slow(t.Size, t.For) })
	case "slow-function":
		name := fmt.Sprintf("%s-0", w.s.Load.Mix[0].Method) // the one asked for most
		each(w.part(t.Part, rng), func(m *standin.Model) { m.SlowFunction(name, t.Size, t.For) })
	case "fast-errors":
		each(w.part(t.Part, rng), func(m *standin.Model) { m.FailRPCs(t.Size, t.For) })
	case "load-fails":
		each(w.part(t.Part, rng), func(m *standin.Model) { m.FailLoads(t.Size, t.For) })
	case "report-late":
		each(w.part(1, rng), func(m *standin.Model) { m.DelayReports(router.Time(t.Size*10000), t.For) })
	case "flush":
		each(w.part(1, rng), func(m *standin.Model) {
			m.Release(func(function string) bool { return standin.InReleaseShare(function, t.Size, w.s.Seed) })
		})
	case "half-frame", "close":
		for _, x := range w.part(t.Part, rng) {
			for _, l := range x.links {
				if l.worker == x {
					l.broke()
				}
			}
		}
	case "answers-lost", "cut-to-workers", "cut-from-workers":
		c := cut{until: w.now + t.For, way: toFront, share: t.Size, workers: names(w.part(t.Part, rng))}
		if t.Kind != "answers-lost" {
			c.share = 1
			if c.fronts = map[int]bool{rng.Intn(len(w.fronts)): true}; t.Kind == "cut-to-workers" {
				c.way = toWorker
			}
		}
		w.cuts = append(w.cuts, c)
	case "clock-step":
		f := w.fronts[rng.Intn(len(w.fronts))]
		f.do(f.life, func() {})
		f.ahead += router.Time(t.Size * 10000) // forwards: a loop's clock is monotonic, and pauses look like this
	case "config", "config-flood":
		every := router.Time(10000 / max(t.Size, 0.001))
		for n := 0; router.Time(n+1)*every < t.For; n++ {
			bad := rng.Float64() < t.Part
			text, err := scenario.Configuration(w.s, "/run", n, bad, rng)
			w.after(router.Time(n+1)*every, func() { w.configure(text, err) })
		}
	case "config-move":
		w.configure(scenario.Move(w.s))
	case "crash":
		w.crash(w.part(t.Part, rng), t.For)
	case "ageing":
		xs := w.part(t.Part, rng)
		for i, factor := range []float64{1 + t.Size/3, 1 + 2*t.Size/3, 1 + t.Size} {
			w.after(t.For*router.Time(i)/3, func() { each(xs, func(m *standin.Model) { m.Slow(factor, t.For) }) })
		}
		w.after(t.For, func() { w.crash(xs, 10000) })
	case "zone-loss":
		var xs []*worker
		for _, x := range w.fleet {
			if x.set.Zone == t.Zone {
				xs = append(xs, x)
			}
		}
		if t.Size > 0.5 {
			for _, f := range w.fronts {
				if w.s.ZoneOf(f.i) == t.Zone {
					w.kill(f, t.For)
				}
			}
		}
		w.crash(xs, t.For)
	case "deploy":
		xs := w.part(t.Part, rng)
		batch := max(1, int(math.Round(t.Size*float64(len(xs)))))
		batches := (len(xs) + batch - 1) / batch
		for i := 0; i < len(xs); i += batch {
			w.after(t.For/router.Time(batches)*router.Time(i/batch), func() {
				for _, x := range xs[i:min(i+batch, len(xs))] {
					w.replace(x, 0)
				}
			})
		}
	case "preempt":
		for _, x := range w.part(t.Part, rng) {
			w.replace(x, t.For)
		}
	case "front-end-kill":
		w.kill(w.fronts[rng.Intn(len(w.fronts))], t.For)
	case "front-end-roll": // each leaves once it has answered what it holds: within the longest deadline
		w.roll(0, t.For/router.Time(len(w.fronts)))
	case "front-end-stall":
		w.fronts[rng.Intn(len(w.fronts))].stall(t.For)
	}
}

// configure has each front end take a configuration, or turn it down; the service and its stages are not emulated: what
// is is what front ends do, each a little later than the other.
func (w *world) configure(text string, err error) {
	if err != nil {
		return
	}
	conf, err := settings.ReadConfiguration("version", strings.NewReader(text))
	if err != nil { // they turn it down, all alike
		return
	}
	for _, f := range w.fronts {
		life := f.life
		w.after(w.delay()+w.delay(), func() { f.do(life, func() { f.renew(conf) }) })
	}
}

// crash kills workers; they come back cold, under their names.
func (w *world) crash(xs []*worker, away router.Time) {
	for _, x := range xs {
		x.die()
	}
	w.after(away, func() {
		for _, x := range xs {
			set := *x.set
			set.Cold = true
			next := w.begin(&set)
			for i := range w.fleet {
				if w.fleet[i] == x {
					w.fleet[i] = next
				}
			}
		}
	})
}

// replace drains a worker and has another come in its place, cold, after a time. It ends once front ends must have heard.
func (w *world) replace(x *worker, away router.Time) {
	x.drain()
	w.after(2*(w.s.Fleet.RosterLag+20000), x.die)
	set := *x.set
	set.Name, set.Cold = fmt.Sprintf("worker-%d", w.next), true
	w.next++
	w.after(away, func() {
		next := w.begin(&set)
		for i := range w.fleet {
			if w.fleet[i] == x {
				w.fleet[i] = next
			}
		}
	})
}

// kill kills a front end; it is back after a time.
func (w *world) kill(f *frontEnd, away router.Time) {
	if !f.alive {
		return
	}
	f.die()
	w.after(away, f.begin)
}

// roll tells each front end to leave, one after the other: it denies what comes, answers what it holds, and begins anew.
func (w *world) roll(i int, pause router.Time) {
	if i == len(w.fronts) {
		return
	}
	f := w.fronts[i]
	f.diedAt = w.now // its sockets are closed: clients go elsewhere once they notice
	f.do(f.life, func() { f.desk.Drain() })
	var leave func()
	leave = func() {
		// once all that it holds is answered, nothing more can be sent to it; what was on its way is still denied
		f.closed = f.closed || f.alive && f.e.Counts().Open+f.desk.Waiting() == 0
		if f.alive && (!f.closed || len(f.open) > 0) {
			w.after(50, leave)
			return
		}
		if f.alive { // else it was killed meanwhile, and whoever did that brings it back
			f.die()
			f.begin()
		}
		w.after(pause, func() { w.roll(i+1, pause) })
	}
	w.after(50, leave)
}
