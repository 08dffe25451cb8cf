// Package admission bounds what clients may have open and in flight, for a connection, for a peer and for the whole
// front end, and gives connections fair turns, so that one that floods does not starve one with a single RPC. No I/O,
// no clock; the same events, the same decisions.
//
// An RPC arrives with a Ticket. It waits at the gate until its connection's turn: Next hands out tickets one
// connection after the other, within a connection by gain, then first come. What the module holds for a connection is
// bounded (Settings.Held), since it serves its own queue by gain and age, and knows of no connections.
package admission

import (
	"cmp"
	"container/heap"
	"fmt"
	"slices"

	"mallowlanding/router"
)

// Limit is a most of RPCs open and of payload bytes in flight; 0: none.
type Limit struct {
	RPCs  int
	Bytes int64
}

// Settings are the gate's figures.
type Settings struct {
	Total, Peer, Conn Limit
	MaxHeld           int         // RPCs of one function and one connection that the module may hold; 0: no bound
	MaxRetryAfter     router.Time // the longest that clients are told to stay away
}

// heldAll is how many times Held one connection may have held over all functions: a connection that carries many
// functions is not stopped by one of them, but bounded all the same.
const heldAll = 8

// paceFade is the part of the gate's pace that one answer renews.
const paceFade = 1. / 32

// spareLines is how many connections with nothing waiting may be remembered before they are looked through.
const spareLines = 64

// PeerID is who a connection's other side is.
type PeerID uint32

// Rejection tells why an RPC is not taken, and when to come back.
type Rejection struct {
	Reason     string
	RetryAfter router.Time
}

// Queue is one front end's.
type Queue struct {
	set      Settings
	whole    use
	peers    map[PeerID]*use
	turns    []*Conn // with tickets waiting that may pass, in their order
	lines    []*Conn // with tickets waiting, and some that had
	waiting  int
	order    uint64
	pace     float64 // mean time between answers, in units
	lastDone router.Time
}

type use struct {
	rpcs  int
	bytes int64
}

// Conn is the handle of one connection.
type Conn struct {
	g      *Queue
	peer   PeerID
	use    use
	line   line
	held   map[string]int // by function
	all    int
	inTurn bool
	inLine bool // it is in the gate's lines
}

// Ticket is the handle of one RPC at the gate.
type Ticket struct {
	c        *Conn
	Value    any
	function string
	gain     float64
	order    uint64
	bytes    int64
	at       int  // place in the line + 1; 0: it passed
	held     bool // the module holds it
	done     bool
}

// New makes a gate.
func New(s Settings) *Queue { return &Queue{set: s, peers: map[PeerID]*use{}} }

// UpdateSettings takes new figures. What is open stays; where it is more than a bound now, nothing comes in until it is less.
func (g *Queue) UpdateSettings(s Settings) {
	g.set = s
	g.prune()
	for _, c := range g.lines { // a bound that was raised may let some pass
		g.queue(c)
	}
}

// OpenConn tells of a connection.
func (g *Queue) OpenConn(peer PeerID) *Conn { return &Conn{g: g, peer: peer, held: map[string]int{}} }

// Waiting is the number of tickets that wait at the gate.
func (g *Queue) Waiting() int { return g.waiting }

func (u *use) full(b Limit, bytes int64) string {
	switch {
	case b.RPCs > 0 && u.rpcs >= b.RPCs:
		return fmt.Sprintf("%d RPCs are open", u.rpcs)
	case b.Bytes > 0 && u.rpcs > 0 && u.bytes+bytes > b.Bytes:
		return fmt.Sprintf("%d bytes are in flight", u.bytes)
	}
	return ""
}

// Enqueue takes an RPC: a ticket that waits, or a refusal. Where the whole front end is full, a ticket of less gain
// that still waits gives way: it is returned as displaced, refused, and the newcomer takes its place.
func (c *Conn) Enqueue(now router.Time, function string, bytes int64, gain float64, body any) (t *Ticket,
	refused *Rejection, displaced *Ticket) {
	g := c.g
	peer := g.peers[c.peer]
	if peer == nil {
		peer = &use{}
		g.peers[c.peer] = peer
	}
	if why := c.use.full(g.set.Conn, bytes); why != "" {
		return nil, g.refuse(why + " on this connection"), nil
	}
	if why := peer.full(g.set.Peer, bytes); why != "" {
		return nil, g.refuse(why + " for this peer"), nil
	}
	if why := g.whole.full(g.set.Total, bytes); why != "" {
		if displaced = g.least(gain); displaced == nil || g.whole.rpcs > 0 && g.set.Total.Bytes > 0 &&
			g.whole.bytes-displaced.bytes+bytes > g.set.Total.Bytes {
			return nil, g.refuse(why + " at this front end"), nil
		}
		displaced.Release(now)
	}
	g.order++
	t = &Ticket{c: c, Value: body, function: function, gain: gain, order: g.order, bytes: bytes}
	for _, u := range []*use{&c.use, peer, &g.whole} {
		u.rpcs++
		u.bytes += bytes
	}
	heap.Push(&c.line, t)
	g.waiting++
	if !c.inLine {
		c.inLine = true
		g.lines = append(g.lines, c)
		if len(g.lines) > 2*g.waiting+spareLines {
			g.prune()
		}
	}
	g.queue(c)
	return t, nil, displaced
}

func (g *Queue) refuse(why string) *Rejection { return &Rejection{"denied: " + why, g.RetryAfter()} }

// RetryAfter is when what waits now will have been answered, at the pace of late.
func (g *Queue) RetryAfter() router.Time {
	return min(g.set.MaxRetryAfter, max(router.Time(g.pace*float64(g.whole.rpcs)), g.set.MaxRetryAfter/8))
}

// least is the waiting ticket of least gain, the latest of those, if it is less than gain.
func (g *Queue) least(gain float64) (worst *Ticket) {
	g.prune()
	for _, c := range g.lines {
		for _, t := range c.line {
			if t.gain < gain && (worst == nil || cmp.Or(cmp.Compare(worst.gain, t.gain), cmp.Compare(t.order, worst.order)) > 0) {
				worst = t
			}
		}
	}
	return worst
}

// prune forgets connections with nothing waiting.
func (g *Queue) prune() {
	g.lines = slices.DeleteFunc(g.lines, func(c *Conn) bool {
		c.inLine = len(c.line) > 0
		return !c.inLine
	})
}

// queue puts a connection into the order of turns, where it has what may pass.
func (g *Queue) queue(c *Conn) {
	if !c.inTurn && len(c.line) > 0 && c.mayPass() {
		c.inTurn = true
		g.turns = append(g.turns, c)
	}
}

func (c *Conn) mayPass() bool {
	h := c.g.set.MaxHeld
	return h == 0 || c.all < heldAll*h && c.held[c.line[0].function] < h
}

// Next hands out the ticket whose turn it is; nil: none may pass now. It counts as held by the module.
func (g *Queue) Next() *Ticket {
	for len(g.turns) > 0 {
		c := g.turns[0]
		g.turns = append(g.turns[:0], g.turns[1:]...)
		c.inTurn = false
		if len(c.line) == 0 || !c.mayPass() {
			continue
		}
		t := heap.Pop(&c.line).(*Ticket)
		g.waiting--
		t.SetHeld(true)
		g.queue(c) // its next turn comes after all others'
		return t
	}
	return nil
}

// HasNext tells whether Next has a ticket.
func (g *Queue) HasNext() bool { return len(g.turns) > 0 }

// SetHeld tells whether the module holds the RPC, or it is at a worker.
func (t *Ticket) SetHeld(held bool) {
	if t.done || t.held == held || t.at > 0 {
		return
	}
	t.held = held
	c, n := t.c, 1
	if !held {
		n = -1
	}
	c.all += n
	if c.held[t.function] += n; c.held[t.function] == 0 {
		delete(c.held, t.function)
	}
	c.g.queue(c)
}

// Admitted tells whether the ticket has had its turn.
func (t *Ticket) Admitted() bool { return t.at == 0 }

// Release gives the ticket back: its RPC is answered, or nobody waits for it any more.
func (t *Ticket) Release(now router.Time) {
	if t.done {
		return
	}
	c, g := t.c, t.c.g
	if t.at > 0 {
		heap.Remove(&c.line, t.at-1)
		g.waiting--
	} else {
		t.SetHeld(false)
		if g.lastDone > 0 {
			g.pace += (float64(now-g.lastDone) - g.pace) * paceFade
		}
		g.lastDone = now
	}
	t.done = true
	peer := g.peers[c.peer]
	for _, u := range []*use{&c.use, peer, &g.whole} {
		u.rpcs--
		u.bytes -= t.bytes
	}
	if peer.rpcs == 0 {
		delete(g.peers, c.peer)
	}
	g.queue(c)
}

// line is a connection's tickets by gain, then first come.
type line []*Ticket

func (l line) Len() int { return len(l) }
func (l line) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(l[j].gain, l[i].gain), cmp.Compare(l[i].order, l[j].order)) < 0
}
func (l line) Swap(i, j int) {
	l[i], l[j] = l[j], l[i]
	l[i].at, l[j].at = i+1, j+1
}

// Push implements heap.Interface.
func (l *line) Push(x any) {
	t := x.(*Ticket)
	*l = append(*l, t)
	t.at = len(*l)
}

// Pop implements heap.Interface.
func (l *line) Pop() any {
	old := *l
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*l, t.at = old[:len(old)-1], 0
	return t
}
