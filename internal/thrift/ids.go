package thrift

import "strconv"

// acceptID reports whether an RPC with this id is accepted on a connection. The id of an open or recent RPC is
// rejected, unless that RPC is open for another client with fewer ok answers and has had no effect, and is then evicted.
// This protects ordinary clients from one that sends their ids before they do.
func (s *Server) acceptID(rpcID uint64, c *conn) bool {
	for _, ids := range s.recentIDs {
		if p, seen := ids[rpcID]; p != nil && p.conn.okAnswers < c.okAnswers && p.conn != c && p.mayBeEvicted() {
			p.evict()
			s.forgetID(rpcID)
		} else if seen {
			return false
		}
	}
	return true
}

// rpcFinished records that an RPC has finished, whether it was answered, or its client left or took it back. The id of
// an RPC that may have run stays known for a while; any other may come again.
func (s *Server) rpcFinished(p *pending) {
	if !p.wasSent() {
		s.forgetRPC(p)
		return
	}
	for _, ids := range s.recentIDs {
		if ids[p.rpcID] == p {
			ids[p.rpcID] = nil
		}
	}
}

// forgetRPC makes the id of an RPC acceptable again.
func (s *Server) forgetRPC(p *pending) {
	for _, ids := range s.recentIDs {
		if ids[p.rpcID] == p {
			delete(ids, p.rpcID)
		}
	}
}

// forgetID makes an id acceptable again.
func (s *Server) forgetID(rpcID uint64) {
	delete(s.recentIDs[0], rpcID)
	delete(s.recentIDs[1], rpcID)
}

func parseID(rpcID string) uint64 {
	n, _ := strconv.ParseUint(rpcID, 16, 64) // parseParams has checked for 16 hex digits
	return n
}
