package outbound

import (
	"math"
	"slices"

	"mallowlanding/router"
)

const (
	// chunkBytes is how much Next encodes ahead. What the socket does not accept is encoded again.
	chunkBytes = 64 << 10
	// maxKeptBuffer is the size of the buffer that is kept for the next messages.
	maxKeptBuffer = 4 * chunkBytes
	// compactAbove is the number of removed messages from which they are dropped from the middle of the queue.
	compactAbove = 32
)

// Request is one request of a message.
type Request struct {
	ID         string // unique among the requests that have not been sent; empty: a notification
	Conditions Conditions
	Size       int // approximate number of bytes
}

// Message is a message for a worker, of one request or of several that are answered each on its own.
type Message struct {
	Requests []Request
	// AppendTo appends the message as it is sent at the time now, with those of its requests that are still wanted. It
	// must not keep ids.
	AppendTo func(out []byte, now router.Time, ids []string) []byte
}

// Dropped is a request that was removed from the queue and never sent.
type Dropped struct {
	ID  string
	Err error
}

// Queue holds the messages for one connection in the order in which they were added. A message is encoded when the
// connection has room for it, so that what it says of the time left is true, and only if its conditions hold then.
// What has been begun is written to its end: the stream could not be read otherwise.
//
// A Queue is not safe for concurrent use.
type Queue struct {
	pauses   *PauseDetector
	messages []*Message // not begun; a message without requests has been removed
	removed  int        // messages without requests in the middle of the queue
	unsent   map[string]*Message
	bytes    int // sizes of the requests that have not been begun
	// validUntil is a time until which no conditions end to hold, pauses of the process aside.
	validUntil router.Time
	dropped    []Dropped

	buffer []byte     // what Next returned
	ids    []string   // of the message that is encoded
	ends   []int      // where the messages of buffer end
	begun  []*Message // the messages of buffer
	rest   []byte     // the rest of the message in progress; part of buffer or a greeting
	open   []string   // requests of the message in progress that are still wanted; a notification always is
}

// NewQueue returns an empty queue.
func NewQueue(pauses *PauseDetector) *Queue {
	return &Queue{pauses: pauses, unsent: map[string]*Message{}, validUntil: math.MaxInt64}
}

// Greet has bytes written before all messages. It must be called before the first call of Next.
func (q *Queue) Greet(bytes []byte) { q.rest, q.open = bytes, []string{""} }

// Add adds a message at the end.
func (q *Queue) Add(m *Message) {
	for i := range m.Requests {
		q.bytes += m.Requests[i].Size
		if id := m.Requests[i].ID; id != "" {
			q.unsent[id] = m
		}
	}
	q.messages = append(q.messages, m)
	q.expectExpiry(m)
}

// Bytes returns the approximate number of bytes that wait.
func (q *Queue) Bytes() int { return q.bytes + len(q.rest) }

// Empty reports whether nothing is left to write.
func (q *Queue) Empty() bool { return len(q.rest) == 0 && len(q.messages) == q.removed }

// Next returns the bytes to write next; none if the queue is empty. The connection may accept any number of them: Wrote
// must be told before any other call.
func (q *Queue) Next(now router.Time) []byte {
	if len(q.rest) > 0 {
		return q.rest
	}
	q.buffer, q.ends, q.begun = q.buffer[:0], q.ends[:0], q.begun[:0]
	for _, m := range q.messages {
		if q.check(m, now); len(m.Requests) == 0 {
			continue
		}
		q.ids = appendIDs(q.ids[:0], m)
		q.buffer = m.AppendTo(q.buffer, now, q.ids)
		q.ends, q.begun = append(q.ends, len(q.buffer)), append(q.begun, m)
		if len(q.buffer) >= chunkBytes {
			break
		}
	}
	q.compact()
	return q.buffer
}

// Wrote records that the connection accepted the first n of the bytes that Next returned last.
func (q *Queue) Wrote(n int) {
	if len(q.rest) > 0 {
		q.rest = q.rest[n:]
	} else {
		q.wroteMessages(n)
	}
	if len(q.rest) == 0 {
		q.rest, q.open = nil, nil
		if cap(q.buffer) > maxKeptBuffer {
			q.buffer = nil
		}
	}
}

// wroteMessages is Wrote for bytes that begin with a message.
func (q *Queue) wroteMessages(n int) {
	start := 0
	for i, m := range q.begun {
		if n <= start {
			break
		}
		end := q.ends[i]
		if n < end {
			q.rest, q.open = q.buffer[n:end], appendIDs(nil, m)
		}
		q.begin(m)
		start = end
	}
	q.ends, q.begun = q.ends[:0], q.begun[:0]
}

// appendIDs appends the ids of a message's requests.
func appendIDs(ids []string, m *Message) []string {
	for i := range m.Requests {
		ids = append(ids, m.Requests[i].ID)
	}
	return ids
}

// begin removes the first message that has requests, which is m, from the queue.
func (q *Queue) begin(m *Message) {
	for _, r := range m.Requests {
		q.forget(r)
	}
	m.Requests = nil
	q.removed++
	q.trimFront()
}

func (q *Queue) forget(r Request) {
	q.bytes -= r.Size
	delete(q.unsent, r.ID)
}

// trimFront drops the removed messages at the front.
func (q *Queue) trimFront() {
	for len(q.messages) > 0 && len(q.messages[0].Requests) == 0 {
		q.messages[0] = nil
		q.messages = q.messages[1:]
		q.removed--
	}
	if len(q.messages) == 0 {
		q.messages = nil
	}
}

// compact drops the removed messages at the front and, if they are many, those in the middle.
func (q *Queue) compact() {
	q.trimFront()
	if q.removed > compactAbove && q.removed > len(q.messages)/2 {
		q.messages = slices.DeleteFunc(q.messages, func(m *Message) bool { return len(m.Requests) == 0 })
		q.removed = 0
	}
}

// check drops the requests of m whose conditions no longer hold.
func (q *Queue) check(m *Message, now router.Time) {
	q.drop(m, func(r *Request) error { return r.Conditions.Check(now, q.pauses) })
}

// drop removes the requests of m for which why returns an error, and lists them as dropped.
func (q *Queue) drop(m *Message, why func(r *Request) error) {
	q.remove(m, func(r *Request) bool {
		err := why(r)
		if err != nil && r.ID != "" {
			q.dropped = append(q.dropped, Dropped{r.ID, err})
		}
		return err != nil
	})
}

// remove removes the requests of m for which unwanted returns true.
func (q *Queue) remove(m *Message, unwanted func(r *Request) bool) {
	if len(m.Requests) == 0 {
		return
	}
	m.Requests = slices.DeleteFunc(m.Requests, func(r Request) bool {
		removes := unwanted(&r)
		if removes {
			q.forget(r)
		}
		return removes
	})
	if len(m.Requests) == 0 {
		m.AppendTo = nil // releases the payload
		q.removed++
	}
}

// State returns how far a request has got.
func (q *Queue) State(id string) State {
	switch {
	case q.unsent[id] != nil:
		return Unsent
	case slices.Contains(q.open, id):
		return Begun
	}
	return Sent
}

// Withdraw has a request not sent any more, since nobody waits for its answer, and returns how far it has got. It is
// removed if it is unsent; it is not listed as dropped.
func (q *Queue) Withdraw(id string) State {
	state := q.State(id)
	switch state {
	case Unsent:
		q.remove(q.unsent[id], func(r *Request) bool { return r.ID == id })
		q.compact()
	case Begun:
		q.open = slices.DeleteFunc(q.open, func(other string) bool { return other == id })
	}
	return state
}

// RestUnwanted reports whether a message is half written and nobody waits for an answer to it any more.
func (q *Queue) RestUnwanted() bool { return len(q.rest) > 0 && len(q.open) == 0 }

// DropUnsent drops all requests that have not been begun; notifications stay.
func (q *Queue) DropUnsent(err error) {
	for _, m := range q.messages {
		q.drop(m, func(r *Request) error {
			if r.ID == "" {
				return nil
			}
			return err
		})
	}
	q.compact()
}

// Expire drops the requests whose conditions no longer hold. After a pause of the process it may leave that to Next.
func (q *Queue) Expire(now router.Time) {
	if now <= q.validUntil {
		return
	}
	q.validUntil = math.MaxInt64
	for _, m := range q.messages {
		q.check(m, now)
		q.expectExpiry(m)
	}
	q.compact()
}

// expectExpiry has Expire look at the queue when the conditions of m end to hold.
func (q *Queue) expectExpiry(m *Message) {
	for i := range m.Requests {
		q.validUntil = min(q.validUntil, m.Requests[i].Conditions.validUntil())
	}
}

// NextExpiry returns when Expire should be called next; false: not before another message is added.
func (q *Queue) NextExpiry() (due router.Time, ok bool) {
	if q.validUntil == math.MaxInt64 || q.Empty() {
		return 0, false
	}
	return q.validUntil + 1, true
}

// TakeDropped returns the requests that were dropped since the last call.
func (q *Queue) TakeDropped() []Dropped {
	dropped := q.dropped
	q.dropped = nil
	return dropped
}

// HasDropped reports whether TakeDropped has something to return.
func (q *Queue) HasDropped() bool { return len(q.dropped) > 0 }
