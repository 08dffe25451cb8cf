package outbound

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"mallowlanding/router"
)

// modelRequest is what the model of a queue knows of one request.
type modelRequest struct {
	conditions Conditions
	state      State
	ended      bool // withdrawn while unsent, or dropped
}

// queueModel drives a Queue at random and checks what it writes. The queue's messages tell when they were encoded, and
// which requests they hold.
type queueModel struct {
	t        *rapid.T
	pauses   PauseDetector
	queue    *Queue
	now      router.Time
	requests map[string]*modelRequest
	ids      []string
	lastID   int
	written  []byte // everything that the connection accepted
	parsed   int    // bytes of written that have been checked
	lastSent int    // number of the last request that was begun
}

const (
	modelGreeting = "hello\n"
	modelMaxPause = 50
)

func newQueueModel(t *rapid.T) *queueModel {
	m := &queueModel{t: t, now: 1000, requests: map[string]*modelRequest{}}
	m.pauses.SetLimit(modelMaxPause)
	m.pauses.BeginTurn(m.now)
	m.queue = NewQueue(&m.pauses)
	m.queue.Greet([]byte(modelGreeting))
	return m
}

// draw returns a random number below n.
func (m *queueModel) draw(n int) int { return rapid.IntRange(0, n-1).Draw(m.t, "n") }

// conditions returns conditions that may stop to hold soon.
func (m *queueModel) conditions() Conditions {
	c := Conditions{DecidedAt: m.now, SurvivesPause: m.draw(4) == 0}
	for _, limit := range []*router.Time{&c.Deadline, &c.SendBy, &c.WaitUntil} {
		if m.draw(3) == 0 {
			*limit = m.now + router.Time(m.draw(300))
		}
	}
	return c
}

// add adds a message of several requests, or a notification.
func (m *queueModel) add() {
	message := &Message{}
	padding := strings.Repeat("x", m.draw(3)*m.draw(40<<10))
	for range m.draw(4) {
		m.lastID++
		id := strconv.Itoa(m.lastID)
		c := m.conditions()
		message.Requests = append(message.Requests, Request{ID: id, Conditions: c, Size: 10})
		m.requests[id] = &modelRequest{conditions: c, state: Unsent}
		m.ids = append(m.ids, id)
	}
	if len(message.Requests) == 0 {
		message.Requests = []Request{{Size: 10}}
	}
	message.AppendTo = func(out []byte, now router.Time, ids []string) []byte {
		return fmt.Appendf(out, "%d %s %s\n", now, strings.Join(ids, ","), padding)
	}
	m.queue.Add(message)
}

// write has the connection accept some of the bytes that are due.
func (m *queueModel) write() {
	next := m.queue.Next(m.now)
	if len(next) == 0 && !m.queue.Empty() {
		m.t.Fatal("nothing to write, but the queue is not empty")
	}
	n := len(next)
	if m.draw(2) == 0 {
		n = m.draw(n + 1)
	}
	m.written = append(m.written, next[:n]...)
	m.queue.Wrote(n)
	m.checkBegun()
}

// checkBegun checks the messages that have been begun since the last call.
func (m *queueModel) checkBegun() {
	for m.parsed < len(m.written) {
		line := m.written[m.parsed:]
		end := bytes.IndexByte(line, '\n')
		whole := end >= 0
		if whole {
			line = line[:end]
		}
		if m.parsed == 0 {
			if !strings.HasPrefix(modelGreeting, string(line)) {
				m.t.Fatalf("first written: %q", line)
			}
		} else if !m.checkMessage(string(line), whole) {
			return // not enough of it has been written
		}
		if !whole {
			return
		}
		m.parsed += end + 1
	}
}

// checkMessage checks one message. It returns false if too little of it has been written to tell.
func (m *queueModel) checkMessage(line string, whole bool) bool {
	fields := strings.SplitN(line, " ", 3)
	if len(fields) < 3 {
		return false
	}
	encodedAt, err := strconv.Atoi(fields[0])
	if err != nil {
		m.t.Fatalf("written: %.80q", line)
	}
	for id := range strings.SplitSeq(fields[1], ",") {
		if id == "" {
			continue
		}
		r := m.requests[id]
		if r.state == Unsent {
			m.checkFirstByte(id, r, router.Time(encodedAt))
		}
		r.state = Begun
		if whole {
			r.state = Sent
		}
	}
	return true
}

// checkFirstByte checks a request whose first byte has just been written.
func (m *queueModel) checkFirstByte(id string, r *modelRequest, encodedAt router.Time) {
	number, _ := strconv.Atoi(id)
	switch {
	case r.ended:
		m.t.Fatalf("request %s was written after its end", id)
	case number <= m.lastSent:
		m.t.Fatalf("request %s was written after %d", id, m.lastSent)
	case r.conditions.Check(encodedAt, &PauseDetector{}) != nil:
		m.t.Fatalf("request %s with %+v was begun at %d", id, r.conditions, encodedAt)
	}
	m.lastSent = number
}

// withdraw withdraws a request, whatever its state.
func (m *queueModel) withdraw() {
	if len(m.ids) == 0 {
		return
	}
	id := m.ids[m.draw(len(m.ids))]
	r := m.requests[id]
	state := m.queue.Withdraw(id)
	if r.ended {
		if state == Unsent {
			m.t.Fatalf("request %s was withdrawn again", id)
		}
		return
	}
	if state == Unsent {
		r.ended = true
		return
	}
	if r.state == Unsent && !m.isPartlyWritten(id) {
		m.t.Fatalf("request %s is unsent, but its state is %d", id, state)
	}
}

// isPartlyWritten reports whether so little of the request's message has been written that the model can't read its id.
func (m *queueModel) isPartlyWritten(id string) bool {
	return m.parsed < len(m.written) && m.queue.State(id) != Unsent
}

// takeDropped checks that what was dropped is unsent and had a reason.
func (m *queueModel) takeDropped(allowed error) {
	for _, d := range m.queue.TakeDropped() {
		r := m.requests[d.ID]
		if r == nil || r.ended || r.state != Unsent || d.Err == nil {
			m.t.Fatalf("request %s was dropped: %+v, %v", d.ID, r, d.Err)
		}
		if r.conditions.Check(m.now, &m.pauses) == nil && !errors.Is(d.Err, allowed) {
			m.t.Fatalf("request %s with %+v was dropped at %d: %v", d.ID, r.conditions, m.now, d.Err)
		}
		r.ended = true
	}
}

// step does one random operation.
func (m *queueModel) step() {
	var allowed error
	switch m.draw(12) {
	case 0, 1, 2:
		m.add()
	case 3, 4, 5:
		m.write()
	case 6:
		m.withdraw()
	case 7:
		m.queue.Expire(m.now)
	case 8:
		if m.draw(8) == 0 {
			m.queue.DropUnsent(ErrWithdrawn)
			allowed = ErrWithdrawn
		}
	case 9: // a turn, perhaps after a pause
		m.now += router.Time(m.draw(modelMaxPause + 5))
		m.pauses.BeginTurn(m.now)
	case 10:
		m.now += router.Time(m.draw(20))
	case 11:
		m.checkExpiry()
	}
	m.takeDropped(allowed)
}

// checkExpiry checks that nothing but a pause ends a request before the time that NextExpiry tells.
func (m *queueModel) checkExpiry() {
	due, ok := m.queue.NextExpiry()
	for _, id := range m.ids {
		r := m.requests[id]
		if m.queue.State(id) != Unsent {
			continue
		}
		if last := r.conditions.validUntil(); last < 1<<60 && (!ok || last+1 < due) {
			m.t.Fatalf("request %s ends at %d, but NextExpiry returns %d, %t", id, last+1, due, ok)
		}
	}
}

// finish lets the connection accept everything, and checks that each request has ended in exactly one way.
func (m *queueModel) finish() {
	for !m.queue.Empty() {
		m.write()
		m.takeDropped(nil)
	}
	for _, id := range m.ids {
		if r := m.requests[id]; r.ended == (r.state == Sent) {
			m.t.Fatalf("request %s: %+v", id, r)
		}
	}
	if m.queue.Bytes() != 0 || len(m.queue.unsent) != 0 || len(m.queue.messages) != 0 {
		m.t.Fatalf("an empty queue counts %d bytes, %d requests, %d messages", m.queue.Bytes(), len(m.queue.unsent), len(m.queue.messages))
	}
}

// TestQueueWritesOnlyWhatIsStillWanted guards against requests that are sent after they have ended, at a connection
// that accepts any part of what it is given: each request is either written whole, in order, begun while its conditions
// held, or dropped or withdrawn without a byte written.
func TestQueueWritesOnlyWhatIsStillWanted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newQueueModel(t)
		for range m.draw(400) {
			m.step()
		}
		m.finish()
	})
}

// plain returns a message of requests without conditions, which lists their ids.
func plain(ids ...string) *Message {
	m := &Message{AppendTo: func(out []byte, _ router.Time, ids []string) []byte {
		return append(out, strings.Join(ids, "+")+";"...)
	}}
	for _, id := range ids {
		m.Requests = append(m.Requests, Request{ID: id, Size: 1})
	}
	return m
}

// TestRestUnwanted checks that the rest of a half-written message counts as unwanted once nobody waits for any of its
// requests, and that a greeting or a notification never does.
func TestRestUnwanted(t *testing.T) {
	q := NewQueue(&PauseDetector{})
	q.Greet([]byte("hello;"))
	q.Add(plain("a", "b"))
	q.Add(plain(""))
	var got []bool
	note := func() { got = append(got, q.RestUnwanted()) }
	writeSome := func(n int) { q.Next(1); q.Wrote(n) }
	writeSome(2)
	note() // the greeting
	writeSome(4)
	writeSome(1)
	note() // the message of a and b
	if state := q.Withdraw("a"); state != Begun {
		t.Errorf("state %d", state)
	}
	note()
	q.Withdraw("b")
	note()
	writeSome(len("+b;"))
	note() // written
	if want := []bool{false, false, false, true, false}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// TestBatchLosesWithdrawnRequests checks that a message is sent without those of its requests that were withdrawn.
func TestBatchLosesWithdrawnRequests(t *testing.T) {
	q := NewQueue(&PauseDetector{})
	q.Add(plain("a", "b", "c"))
	q.Add(plain("d"))
	q.Withdraw("b")
	q.Withdraw("d")
	if got := string(q.Next(1)); got != "a+c;" {
		t.Errorf("written: %q", got)
	}
}

// TestPermit checks that a message is begun only while it is wanted and its conditions hold, and that withdrawing it
// tells whether it was.
func TestPermit(t *testing.T) {
	conditions := Conditions{DecidedAt: 100, Deadline: 200, SendBy: 150}
	for _, c := range []struct {
		name    string
		now     router.Time
		turn    router.Time // another turn before; 0: none
		prepare func(p *Permit)
		want    error
	}{
		{"at once", 105, 0, nil, nil},
		{"after its answer", 200, 195, nil, ErrExpired},
		{"without evidence", 151, 145, nil, ErrUnconfirmed},
		{"in a pause", 140, 0, nil, ErrPaused},
		{"after a pause", 141, 140, nil, ErrPaused},
		{"withdrawn", 105, 0, func(p *Permit) { p.Withdraw() }, ErrWithdrawn},
	} {
		var d PauseDetector
		d.SetLimit(10)
		d.BeginTurn(100)
		if c.want == ErrExpired || c.want == ErrUnconfirmed {
			d.SetLimit(0)
		}
		if c.turn > 0 {
			d.BeginTurn(c.turn)
		}
		p := Permit{Conditions: conditions}
		if c.prepare != nil {
			c.prepare(&p)
		}
		if err := p.Begin(c.now, &d); err != c.want {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
		if neverBegun := p.Withdraw(); neverBegun != (c.want != nil) {
			t.Errorf("%s: withdrawn with %t", c.name, neverBegun)
		}
	}
}
