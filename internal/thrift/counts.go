package thrift

import (
	"sync/atomic"

	"github.com/rs/zerolog"
)

// closeReason is why a connection ended.
type closeReason int

const (
	closedByClient            closeReason = iota
	closedByServer                        // to make room, or because the front end leaves
	closedIdle                            // no message for long
	closedFirstMessageTimeout             // no complete message after the connection was made
	closedMessageTimeout                  // a message that was not complete in time
	closedMalformed                       // a message that can't be decoded
	closedInvalidRPCs                     // too many invalid RPCs in a row
	closedSequence                        // a sequence number used twice, or too many open RPCs
	closedUnreadAnswers                   // answers that the client does not read fill the memory
	closedWriteFailed                     // answers could not be written in time
	closedStuckMessage                    // an incomplete message held memory that others needed
	closedBacklog                         // a client that kept sending more than it may
	closeReasons                          // their number
)

var closeReasonNames = [closeReasons]string{"by_client", "by_server", "idle", "first_message_timeout", "message_timeout",
	"malformed", "invalid_rpcs", "sequence", "unread_answers", "write_failed", "stuck_message",
	"backlog"}

// String implements fmt.Stringer.
func (r closeReason) String() string { return closeReasonNames[r] }

// refusalReason is why an RPC was refused before it reached the dispatcher.
type refusalReason int

const (
	refusedInvalid     refusalReason = iota // its fields are invalid
	refusedDuplicateID                      // its id is that of an open or recent RPC
	refusedMemory                           // no memory for its body
	refusedBacklog                          // the client kept sending, so that an interrupt might have been unread
	refusalReasons                          // their number
)

var refusalReasonNames = [refusalReasons]string{"invalid", "duplicate_id", "memory", "backlog"}

// counts counts what the server did, by reason. Any goroutine may use it.
type counts struct {
	accepted atomic.Uint64
	waits    atomic.Uint64 // times that a reader stopped, because its connection took too much
	closes   [closeReasons]atomic.Uint64
	refusals [refusalReasons]atomic.Uint64
}

// Counts returns what the server has counted since its start, for the log.
func (s *Server) Counts() zerolog.LogObjectMarshaler { return &s.counts }

// MarshalZerologObject implements zerolog.LogObjectMarshaler. It leaves out reasons that did not occur.
func (c *counts) MarshalZerologObject(e *zerolog.Event) {
	e.Uint64("accepted", c.accepted.Load()).Uint64("reader_waits", c.waits.Load())
	for reason := range c.closes {
		if n := c.closes[reason].Load(); n > 0 {
			e.Uint64("closed_"+closeReasonNames[reason], n)
		}
	}
	for reason := range c.refusals {
		if n := c.refusals[reason].Load(); n > 0 {
			e.Uint64("refused_"+refusalReasonNames[reason], n)
		}
	}
}
