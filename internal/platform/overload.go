package platform

import (
	"time"

	"github.com/rs/zerolog"

	"mallowlanding/internal/eventloop"
)

const (
	overloadDelay       = 100 * time.Millisecond // an event that waits for longer means that the event loop is overloaded
	overloadReportEvery = time.Second            // between two looks at the load
)

// overloadMonitor logs when the event loop becomes overloaded and when it no longer is. It belongs to the event loop's
// goroutine.
type overloadMonitor struct {
	log        zerolog.Logger
	clients    zerolog.LogObjectMarshaler // the counts of the clients' side
	overloaded bool
	nextLook   time.Time
	since      time.Time // beginning of the overload
	worst      eventloop.Load
}

// look takes the load since the last look, once per overloadReportEvery, and logs a change of state.
func (m *overloadMonitor) look(now time.Time, takeLoad func() eventloop.Load) {
	if now.Before(m.nextLook) {
		return
	}
	m.nextLook = now.Add(overloadReportEvery)
	load := takeLoad()
	switch overloaded := load.Delay > overloadDelay; {
	case overloaded && !m.overloaded:
		m.overloaded, m.since, m.worst = true, now, load
		m.event(m.log.Warn(), load).Msg("event loop is overloaded")
	case overloaded:
		m.worst = eventloop.Load{Events: max(m.worst.Events, load.Events), Delay: max(m.worst.Delay, load.Delay),
			Turn: max(m.worst.Turn, load.Turn)}
	case m.overloaded:
		m.overloaded = false
		m.event(m.log.Info(), m.worst).Dur("after", now.Sub(m.since)).Msg("event loop is no longer overloaded")
	}
}

func (m *overloadMonitor) event(e *zerolog.Event, load eventloop.Load) *zerolog.Event {
	return e.Int("events", load.Events).Dur("delay", load.Delay).Dur("turn", load.Turn).Object("clients", m.clients)
}
