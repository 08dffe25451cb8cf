package thrift

import (
	"runtime"
	"time"
)

// reserveRequest reserves memory for a message that a connection begins to read. If there is not enough, messages that
// have been incomplete for long make room.
func (s *Server) reserveRequest(c *conn, bytes int64) bool {
	if !s.requests.Reserve(bytes) && (!s.closeStuckReader() || !s.requests.Reserve(bytes)) {
		return false
	}
	c.setReserved(bytes)
	return true
}

// closeStuckReader closes the connection with the most memory reserved for a message that has been incomplete for long,
// and waits a short time until the memory is released. It returns false if there is none.
func (s *Server) closeStuckReader() bool {
	var victim *conn
	most := int64(0)
	s.mu.Lock()
	for c := range s.conns {
		c.mu.Lock()
		if c.reservedReading > most && c.isStuckLocked(partialMessageTimeout) {
			victim, most = c, c.reservedReading
		}
		c.mu.Unlock()
	}
	s.mu.Unlock()
	if victim == nil {
		return false
	}
	before := s.requests.Usage().Used
	victim.closeFor(closedStuckMessage)
	for until := time.Now().Add(closeTimeout); s.requests.Usage().Used >= before && time.Now().Before(until); {
		runtime.Gosched()
	}
	return true
}

// reserveAnswer reserves memory for an answer to a connection. If there is not enough, the connections that hold the
// most unread answers are closed. It returns false if that is this one. It must be called in a turn of the event loop.
func (s *Server) reserveAnswer(c *conn, bytes int64) bool {
	for !s.answers.Reserve(bytes) {
		victim := s.mostUnread()
		if victim == nil || victim == c {
			return false
		}
		victim.end(closedUnreadAnswers)
		victim.dropUnsent()
	}
	return true
}

// mostUnread returns the connection that holds the most unread answers, or nil if none holds any.
func (s *Server) mostUnread() (most *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	bytes := int64(0)
	for c := range s.conns {
		if n := c.unreadAnswers(); n > bytes {
			most, bytes = c, n
		}
	}
	return most
}
