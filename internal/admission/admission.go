// Package admission limits the open RPCs and payload bytes of each connection, each peer and the whole front end, and
// schedules connections fairly, so that a connection that floods the front end does not starve one with a single RPC.
// It does no I/O and has no clock: the same events always lead to the same decisions.
//
// Each RPC is represented by a Ticket, which waits in the Queue. Queue.Next admits tickets round-robin over the
// connections, within a connection by highest gain, then by order of arrival. The number of RPCs that the router queues
// for one connection is limited (Settings.MaxRouterQueued), because the router orders its own queue by gain and age
// and does not know of connections.
package admission

import (
	"cmp"
	"container/heap"
	"fmt"
	"slices"

	"mallowlanding/router"
)

// Limit is a limit of open RPCs and of their payload bytes; 0: no limit.
type Limit struct {
	RPCs  int
	Bytes int64
}

// Settings are the limits of a queue.
type Settings struct {
	Total, Peer, Conn Limit
	MaxRouterQueued   int         // RPCs of one function and connection in the router's queue; 0: no limit
	MaxRetryAfter     router.Time // upper bound of Rejection.RetryAfter
}

// totalQueuedFactor times Settings.MaxRouterQueued is the limit of one connection's RPCs in the router's queue over all
// functions. A connection with many functions is not blocked by one of them, but still limited.
const totalQueuedFactor = 8

// answerIntervalWeight is the weight of the latest interval in the moving average Queue.answerInterval.
const answerIntervalWeight = 1. / 32

// pruneSlack: Queue.waitingConns is pruned once it holds more connections than twice the number of waiting tickets plus
// this number.
const pruneSlack = 64

// PeerID identifies the client that opened a connection.
type PeerID uint32

// Rejection says why an RPC is not accepted, and after what time the client may retry.
type Rejection struct {
	Reason     string
	RetryAfter router.Time
}

// Queue is the admission queue of one front end.
type Queue struct {
	settings       Settings
	total          usage
	peers          map[PeerID]*usage
	ready          []*Conn // connections with an eligible ticket, in round-robin order
	waitingConns   []*Conn // connections with waiting tickets, and some that no longer have any; see prune
	waiting        int
	lastSeq        uint64
	answerInterval float64 // moving average of the time between answers, in units of router.Time
	lastAnswer     router.Time
}

// usage is the number of open RPCs, and of their payload bytes, of a connection, a peer or the front end.
type usage struct {
	rpcs  int
	bytes int64
}

// Conn is one connection at the queue.
type Conn struct {
	queue            *Queue
	peer             PeerID
	usage            usage
	tickets          gainHeap
	queuedByFunction map[string]int // tickets with routerQueued set, by function
	queuedTotal      int            // the sum of queuedByFunction
	inReady          bool           // the connection is in Queue.ready
	inWaiting        bool           // the connection is in Queue.waitingConns
}

// Ticket represents one RPC at the queue, until Release.
type Ticket struct {
	conn         *Conn
	Value        any // set by Enqueue, for the caller's use
	function     string
	gain         float64
	seq          uint64
	bytes        int64
	heapPos      int  // index in Conn.tickets + 1; 0: admitted
	routerQueued bool // the RPC waits in the router's queue
	released     bool
}

// New makes an empty queue.
func New(s Settings) *Queue { return &Queue{settings: s, peers: map[PeerID]*usage{}} }

// UpdateSettings replaces the limits. Open RPCs stay; while they exceed a new limit, no further RPC is accepted.
func (q *Queue) UpdateSettings(s Settings) {
	q.settings = s
	q.prune()
	for _, c := range q.waitingConns { // a raised limit may make tickets eligible
		q.markReady(c)
	}
}

// OpenConn adds a connection of a peer.
func (q *Queue) OpenConn(peer PeerID) *Conn {
	return &Conn{queue: q, peer: peer, queuedByFunction: map[string]int{}}
}

// Waiting returns the number of tickets that wait for admission.
func (q *Queue) Waiting() int { return q.waiting }

// exceeded says why one more RPC of so many bytes would exceed the limit; empty: it would not. The limit of bytes does
// not apply to the first RPC, however large.
func (u *usage) exceeded(limit Limit, bytes int64) string {
	switch {
	case limit.RPCs > 0 && u.rpcs >= limit.RPCs:
		return fmt.Sprintf("%d RPCs are open", u.rpcs)
	case limit.Bytes > 0 && u.rpcs > 0 && u.bytes+bytes > limit.Bytes:
		return fmt.Sprintf("%d bytes are in flight", u.bytes)
	}
	return ""
}

// Enqueue adds an RPC as a waiting ticket, or rejects it. If the limit of the whole front end is reached, a waiting
// ticket of less gain is displaced by the new one if that makes enough room: it is released and returned as displaced,
// for the caller to deny.
func (c *Conn) Enqueue(now router.Time, function string, bytes int64, gain float64, value any) (t *Ticket,
	rejection *Rejection, displaced *Ticket) {
	q := c.queue
	peer := q.peers[c.peer]
	if peer == nil {
		peer = &usage{}
		q.peers[c.peer] = peer
	}
	if reason := c.usage.exceeded(q.settings.Conn, bytes); reason != "" {
		return nil, q.reject(reason + " on this connection"), nil
	}
	if reason := peer.exceeded(q.settings.Peer, bytes); reason != "" {
		return nil, q.reject(reason + " for this peer"), nil
	}
	if reason := q.total.exceeded(q.settings.Total, bytes); reason != "" {
		if displaced = q.lowestGain(gain); displaced == nil || q.total.rpcs > 0 && q.settings.Total.Bytes > 0 &&
			q.total.bytes-displaced.bytes+bytes > q.settings.Total.Bytes {
			return nil, q.reject(reason + " at this front end"), nil
		}
		displaced.Release(now)
	}
	q.lastSeq++
	t = &Ticket{conn: c, Value: value, function: function, gain: gain, seq: q.lastSeq, bytes: bytes}
	for _, u := range []*usage{&c.usage, peer, &q.total} {
		u.rpcs++
		u.bytes += bytes
	}
	heap.Push(&c.tickets, t)
	q.waiting++
	if !c.inWaiting {
		c.inWaiting = true
		q.waitingConns = append(q.waitingConns, c)
		if len(q.waitingConns) > 2*q.waiting+pruneSlack {
			q.prune()
		}
	}
	q.markReady(c)
	return t, nil, displaced
}

func (q *Queue) reject(reason string) *Rejection {
	return &Rejection{"denied: " + reason, q.RetryAfter()}
}

// RetryAfter estimates the time until all RPCs open now are answered, from the recent rate of answers. It is between an
// eighth of Settings.MaxRetryAfter and the whole of it.
func (q *Queue) RetryAfter() router.Time {
	return min(q.settings.MaxRetryAfter,
		max(router.Time(q.answerInterval*float64(q.total.rpcs)), q.settings.MaxRetryAfter/8))
}

// lowestGain returns the waiting ticket of the lowest gain, of several the latest; nil: none has less than gain.
func (q *Queue) lowestGain(gain float64) (lowest *Ticket) {
	q.prune()
	for _, c := range q.waitingConns {
		for _, t := range c.tickets {
			if t.gain < gain &&
				(lowest == nil || cmp.Or(cmp.Compare(lowest.gain, t.gain), cmp.Compare(t.seq, lowest.seq)) > 0) {
				lowest = t
			}
		}
	}
	return lowest
}

// prune removes connections without waiting tickets from waitingConns.
func (q *Queue) prune() {
	q.waitingConns = slices.DeleteFunc(q.waitingConns, func(c *Conn) bool {
		c.inWaiting = len(c.tickets) > 0
		return !c.inWaiting
	})
}

// markReady appends a connection to the ready ones if its first ticket is eligible.
func (q *Queue) markReady(c *Conn) {
	if !c.inReady && len(c.tickets) > 0 && c.eligible() {
		c.inReady = true
		q.ready = append(q.ready, c)
	}
}

// eligible reports whether the connection's first ticket is within the limits of the router's queue.
func (c *Conn) eligible() bool {
	limit := c.queue.settings.MaxRouterQueued
	return limit == 0 || c.queuedTotal < totalQueuedFactor*limit && c.queuedByFunction[c.tickets[0].function] < limit
}

// Next admits the next ticket, which then counts as queued by the router; nil: none is eligible.
func (q *Queue) Next() *Ticket {
	for len(q.ready) > 0 {
		c := q.ready[0]
		q.ready = append(q.ready[:0], q.ready[1:]...)
		c.inReady = false
		if len(c.tickets) == 0 || !c.eligible() {
			continue
		}
		t := heap.Pop(&c.tickets).(*Ticket)
		q.waiting--
		t.SetRouterQueued(true)
		q.markReady(c) // to the end of the round-robin order
		return t
	}
	return nil
}

// HasNext reports whether Next may return a ticket.
func (q *Queue) HasNext() bool { return len(q.ready) > 0 }

// SetRouterQueued records whether the admitted RPC waits in the router's queue or is in flight to a worker.
func (t *Ticket) SetRouterQueued(queued bool) {
	if t.released || t.routerQueued == queued || t.heapPos > 0 {
		return
	}
	t.routerQueued = queued
	c, n := t.conn, 1
	if !queued {
		n = -1
	}
	c.queuedTotal += n
	if c.queuedByFunction[t.function] += n; c.queuedByFunction[t.function] == 0 {
		delete(c.queuedByFunction, t.function)
	}
	c.queue.markReady(c)
}

// Admitted reports whether Next has returned the ticket.
func (t *Ticket) Admitted() bool { return t.heapPos == 0 }

// Release ends the ticket, whose RPC is answered or no longer waited for.
func (t *Ticket) Release(now router.Time) {
	if t.released {
		return
	}
	c, q := t.conn, t.conn.queue
	if t.heapPos > 0 {
		heap.Remove(&c.tickets, t.heapPos-1)
		q.waiting--
	} else {
		t.SetRouterQueued(false)
		if q.lastAnswer > 0 {
			q.answerInterval += (float64(now-q.lastAnswer) - q.answerInterval) * answerIntervalWeight
		}
		q.lastAnswer = now
	}
	t.released = true
	peer := q.peers[c.peer]
	for _, u := range []*usage{&c.usage, peer, &q.total} {
		u.rpcs--
		u.bytes -= t.bytes
	}
	if peer.rpcs == 0 {
		delete(q.peers, c.peer)
	}
	q.markReady(c)
}

// gainHeap holds a connection's waiting tickets by highest gain, then by order of arrival.
type gainHeap []*Ticket

func (h gainHeap) Len() int { return len(h) }
func (h gainHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[j].gain, h[i].gain), cmp.Compare(h[i].seq, h[j].seq)) < 0
}
func (h gainHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapPos, h[j].heapPos = i+1, j+1
}

// Push implements heap.Interface.
func (h *gainHeap) Push(x any) {
	t := x.(*Ticket)
	*h = append(*h, t)
	t.heapPos = len(*h)
}

// Pop implements heap.Interface.
func (h *gainHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h, t.heapPos = old[:len(old)-1], 0
	return t
}
