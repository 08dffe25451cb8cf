package thrift

import (
	"runtime"
	"time"
)

// makeRoom reports whether one more connection may be accepted. At the limit it first closes those whose clients have
// left, or else an idle one, and waits for a descriptor to be closed, since a connection counts until then.
func (s *Server) makeRoom() bool {
	full := func() bool { return int(s.openDescriptors.Load()) >= s.limits.Load().MaxConnections }
	if !full() {
		return true
	}
	if s.closeDeparted() == 0 && !s.closeOneIdle(minIdleToClose) {
		return false
	}
	for until := time.Now().Add(closeTimeout); full() && time.Now().Before(until); {
		runtime.Gosched() // lets the reader of the closed connection end
	}
	return !full()
}

// closeOneIdle closes a connection without an open RPC and reports whether there was one. It prefers connections on which
// nothing was received, then those with a message that has been incomplete for long, then the one that has been idle for
// longest, for minIdle at least. This protects ordinary clients from clients that open hundreds of connections.
func (s *Server) closeOneIdle(minIdle time.Duration) bool {
	keep := map[*conn]bool{} // received a message meanwhile
	for {
		victim := s.nextToClose(keep, minIdle)
		if victim == nil {
			return false
		}
		if victim.closeIfIdle(partialMessageTimeout) {
			return true
		}
		keep[victim] = true
	}
}

// nextToClose returns the connection that is closed first to make room, or nil if none may be closed.
func (s *Server) nextToClose(keep map[*conn]bool, minIdle time.Duration) (victim *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := notClosable
	for c := range s.conns {
		if keep[c] {
			continue
		}
		rank := c.closeRank(minIdle)
		if rank < first || rank == first && rank != notClosable && c.lastActive.Load() < victim.lastActive.Load() {
			victim, first = c, rank
		}
	}
	return victim
}

// setBlocked records whether a connection's reader waits, so that it does not see whether its client leaves.
func (s *Server) setBlocked(c *conn, blocked bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if blocked {
		s.blocked[c] = true
	} else {
		delete(s.blocked, c)
	}
}

// closeDeparted closes the connections that are not read and whose clients have left, and returns their number. Their
// readers end their RPCs.
func (s *Server) closeDeparted() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.blocked {
		if !c.ended.Load() && c.socket.PeerClosed() {
			c.closeFor(closedByClient)
			n++
		}
	}
	return n
}
