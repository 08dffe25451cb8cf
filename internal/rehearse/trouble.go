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

// maker makes the day's troubles happen.
type maker struct {
	f       *fleet
	callers *callers
	log     zerolog.Logger
	wg      sync.WaitGroup
	configs configs
}

// run plays all troubles at their times and returns once they are over.
func (m *maker) run(ctx context.Context, start time.Time) {
	for n, t := range m.f.s.Troubles {
		m.wg.Add(1)
		go func() {
			defer m.wg.Done()
			if !sleep(ctx, time.Until(start.Add(eventloop.ToDuration(t.At)))) {
				return
			}
			m.log.Info().Str("kind", t.Kind).Float64("part", t.Part).Float64("size", t.Size).
				Dur("for", eventloop.ToDuration(t.For)).Msg("trouble")
			if err := m.make(ctx, t, rand.New(rand.NewSource(m.f.s.Seed+int64(n)))); err != nil && ctx.Err() == nil {
				m.log.Error().Err(err).Str("kind", t.Kind).Msg("trouble could not be made")
			}
		}()
	}
	m.wg.Wait()
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(max(d, 0)):
		return true
	}
}

// part draws a share of the workers that are part of the fleet now, one at the least.
func (m *maker) part(share float64, rng *rand.Rand) []*settings.Worker {
	m.f.mu.Lock()
	defer m.f.mu.Unlock()
	n := max(1, int(math.Round(share*float64(len(m.f.workers)))))
	var out []*settings.Worker
	for _, i := range rng.Perm(len(m.f.workers))[:min(n, len(m.f.workers))] {
		out = append(out, m.f.workers[i])
	}
	return out
}

func (m *maker) make(ctx context.Context, t settings.Trouble, rng *rand.Rand) error {
	span := eventloop.ToDuration(t.For)
	params := fmt.Sprintf(`{"for_ms":%g,"size":%g,"seed":%d}`, float64(t.For)/10, t.Size, m.f.s.Seed)
	each := func(ws []*settings.Worker, fault, params string) error {
		for _, w := range ws {
			if err := m.f.command(ctx, w, fault, params); err != nil {
				return fmt.Errorf("%s: %w", w.Name, err)
			}
		}
		return nil
	}
	switch t.Kind {
	case "burst", "scan": // the callers make these
		return nil
	case "hang":
		return each(m.part(t.Part, rng), "fault.hang", params)
	case "slow":
		return each(m.part(t.Part, rng), "fault.slow", params)
	case "fast-errors":
		return each(m.part(t.Part, rng), "fault.errors", params)
	case "load-fails":
		return each(m.part(t.Part, rng), "fault.load_fails", params)
	case "report-late":
		return each(m.part(1, rng), "fault.reports_late", params)
	case "flush":
		return each(m.part(1, rng), "fault.release", params)
	case "half-frame":
		return each(m.part(t.Part, rng), "fault.half_frame", params)
	case "close":
		return each(m.part(t.Part, rng), "fault.close", params)
	case "crash":
		return m.crash(ctx, m.part(t.Part, rng), span)
	case "ageing":
		ws := m.part(t.Part, rng)
		for _, factor := range []float64{1 + t.Size/3, 1 + 2*t.Size/3, 1 + t.Size} {
			p := fmt.Sprintf(`{"for_ms":%g,"size":%g}`, float64(t.For)/10, factor)
			if err := each(ws, "fault.slow", p); err != nil {
				return err
			}
			if !sleep(ctx, span/3) {
				return nil
			}
		}
		return m.crash(ctx, ws, time.Second)
	case "zone-loss":
		var ws []*settings.Worker
		for _, w := range m.part(1, rng) {
			if w.Zone == t.Zone {
				ws = append(ws, w)
			}
		}
		var wg sync.WaitGroup
		if t.Size > 0.5 {
			for i := range m.f.s.Fleet.FrontEnds {
				if m.f.s.ZoneOf(i) == t.Zone {
					wg.Add(1)
					go func() { defer wg.Done(); _ = m.killFront(ctx, i, span) }()
				}
			}
		}
		err := m.crash(ctx, ws, span)
		wg.Wait()
		return err
	case "deploy":
		ws := m.part(t.Part, rng)
		batch := max(1, int(math.Round(t.Size*float64(len(ws)))))
		batches := (len(ws) + batch - 1) / batch
		for i := 0; i < len(ws); i += batch {
			for _, w := range ws[i:min(i+batch, len(ws))] {
				if err := m.replace(ctx, w, 0); err != nil {
					return err
				}
			}
			if !sleep(ctx, span/time.Duration(batches)) {
				return nil
			}
		}
		return nil
	case "preempt":
		for _, w := range m.part(t.Part, rng) {
			if err := m.replace(ctx, w, span); err != nil {
				return err
			}
		}
		return nil
	case "config", "config-flood":
		return m.configure(ctx, t, rng)
	case "config-move":
		return m.move(ctx)
	case "control-kill":
		return m.killControl(ctx, rng.Intn(m.f.s.Fleet.Control.Instances), span)
	case "control-silence": // all stand still, as behind a cut
		return m.silence(ctx, span)
	case "front-end-kill":
		return m.killFront(ctx, rng.Intn(m.f.s.Fleet.FrontEnds), span)
	case "front-end-roll":
		for i := range m.f.s.Fleet.FrontEnds {
			m.callers.front(i, true)
			p := m.f.signal(frontEnd(i), syscall.SIGTERM)
			select {
			case <-p.done:
			case <-ctx.Done():
				return nil
			}
			if err := m.f.startFrontEnd(ctx, i); err != nil {
				return err
			}
			m.callers.front(i, false)
			if !sleep(ctx, span/time.Duration(m.f.s.Fleet.FrontEnds)) {
				return nil
			}
		}
		return nil
	case "front-end-stall":
		name := frontEnd(rng.Intn(m.f.s.Fleet.FrontEnds))
		m.note(record.ProcessPaused, name)
		m.f.signal(name, syscall.SIGSTOP)
		sleep(ctx, span)
		m.f.signal(name, syscall.SIGCONT)
		m.note(record.ProcessResumed, name)
		return nil
	}
	return fmt.Errorf("trouble %q: sockets of one machine can't show it: emulate it", t.Kind)
}

func (m *maker) note(kind, frontEnd string) {
	m.f.keep(record.Record{UnixNS: time.Now().UnixNano(), Kind: kind, Source: "rehearsal", FrontEnd: frontEnd})
}

// crash kills workers; they come back cold after a time, under their names.
func (m *maker) crash(ctx context.Context, ws []*settings.Worker, away time.Duration) error {
	for _, w := range ws {
		m.f.signal(w.Name, syscall.SIGKILL)
	}
	if !sleep(ctx, away) {
		return nil
	}
	for _, w := range ws {
		w.Cold = true
		if err := m.f.startWorker(ctx, w); err != nil {
			return err
		}
	}
	return nil
}

// replace drains a worker and has another come in its place, cold, after a time.
func (m *maker) replace(ctx context.Context, w *settings.Worker, away time.Duration) error {
	m.f.signal(w.Name, syscall.SIGTERM)
	next := *w
	next.Cold = true
	m.f.mu.Lock()
	next.Name = fmt.Sprintf("worker-%d", m.f.next)
	m.f.next++
	for i := range m.f.workers {
		if m.f.workers[i] == w {
			m.f.workers[i] = &next
		}
	}
	m.f.mu.Unlock()
	if !sleep(ctx, away) {
		return nil
	}
	return m.f.startWorker(ctx, &next)
}

// killFront kills a front end; it is back after a time.
func (m *maker) killFront(ctx context.Context, i int, away time.Duration) error {
	m.note(record.ProcessEnded, frontEnd(i))
	m.callers.front(i, true)
	p := m.f.signal(frontEnd(i), syscall.SIGKILL)
	<-p.done
	sleep(ctx, away)
	if err := m.f.startFrontEnd(ctx, i); err != nil {
		return err
	}
	m.callers.front(i, false)
	return nil
}
