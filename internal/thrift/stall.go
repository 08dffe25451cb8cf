package thrift

import (
	"sync/atomic"
	"time"
)

const (
	stallGap    = 50 * time.Millisecond  // a longer time without a turn of the event loop is a stall of the process
	stallMemory = 200 * time.Millisecond // messages that are read this soon after a stall may have come during it
	// For the readers to run. They become ready before the sleeping event loop does.
	readAfterStall = time.Millisecond
)

// stallClock knows whether the process was stalled: stopped by a signal, or without a processor. Any goroutine may call
// since.
type stallClock struct {
	lastTurn, stallBegin, stallEnd atomic.Int64 // Unix ns
}

// turn records the beginning of a turn of the event loop.
func (s *stallClock) turn(now time.Time) {
	if last := s.lastTurn.Swap(now.UnixNano()); last > 0 && now.UnixNano()-last > int64(stallGap) {
		s.stallBegin.Store(last)
		s.stallEnd.Store(now.UnixNano())
	}
}

// end returns when the last stall ended.
func (s *stallClock) end() time.Time { return time.Unix(0, s.stallEnd.Load()) }

// endedNow reports whether the present turn is the first one after a stall.
func (s *stallClock) endedNow() bool { return s.stallEnd.Load() == s.lastTurn.Load() }

// since returns how long ago the stall began during which something that is read now may have come; 0: there was none.
func (s *stallClock) since(now time.Time) time.Duration {
	at, last := now.UnixNano(), s.lastTurn.Load()
	switch {
	case last > 0 && at-last > int64(stallGap):
		return time.Duration(at - last)
	case at-s.stallEnd.Load() < int64(stallMemory):
		return time.Duration(at - s.stallBegin.Load())
	}
	return 0
}

// arrivalTime returns when the message that a connection begins to read was received. That is now, unless the process
// was stalled.
func (s *Server) arrivalTime(c *conn) time.Time {
	now := time.Now()
	stall := s.stall.since(now)
	if stall == 0 {
		return now
	}
	return now.Add(-min(stall, c.socket.SinceLastReceived()))
}
