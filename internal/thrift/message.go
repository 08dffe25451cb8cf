package thrift

import (
	"time"

	"mallowlanding/internal/dispatch"
)

// messageKind is what a client's message asks for.
type messageKind int

const (
	executeMessage messageKind = iota
	interruptMessage
	checkMessage
	refusedMessage      // an RPC that was not read into memory, because the limit of memory was reached
	inputDrainedMessage // not a message: all that the client had sent has been read
)

// message is one message of a client, from when it has been read until the event loop handles it. It implements
// requestHandler.
type message struct {
	conn       *conn
	kind       messageKind
	seq        int32
	params     dispatch.Params // of an executeMessage
	invalid    error           // why an executeMessage is rejected
	receivedAt time.Time
	reserved   int64 // bytes of the server's account, released when the RPC has finished
	// drained is set if nothing more had been received after this message, so that no interrupt of an RPC before it is
	// unread.
	drained bool
}

// execute implements requestHandler.
func (m *message) execute(seq int32, fields map[string]string, body []byte) {
	m.kind, m.seq = executeMessage, seq
	m.params, m.invalid = m.conn.server.parseParams(fields, body)
}

// interrupt implements requestHandler.
func (m *message) interrupt(seq int32) { m.kind, m.seq = interruptMessage, seq }

// check implements requestHandler.
func (m *message) check(seq int32) { m.kind, m.seq = checkMessage, seq }

// isRPC reports whether the message counts as an open RPC from when it has been read.
func (m *message) isRPC() bool { return m.kind == executeMessage || m.kind == refusedMessage }
