package thrift

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"mallowlanding/internal/intake"
)

// readBufferBytes is the size of a connection's read buffer. Larger frames are read directly into their own memory.
const readBufferBytes = 1 << 10

// smallFrameBytes is the size up to which a frame is read without a reservation of memory. A connection can have few of
// them, so that they are part of its fixed cost, and ordinary RPCs are read whatever large ones take.
const smallFrameBytes = 2 << 10

// heldPerFrameByte is how many bytes an RPC holds for each byte of its frame: the frame itself, which holds its body,
// and the request to a worker.
const heldPerFrameByte = 2

// reader reads a connection and notes when it has read all that was received.
type reader struct {
	*bufio.Reader
	conn      *conn
	shortRead bool // the last read returned less than it could have
	undrained bool // the event loop has not been told that all input has been read
	extended  bool // the deadline of the message being read has been extended
	// When the connection first had to wait with input unread; zero: all input has been read since.
	backlogSince time.Time
}

func newReader(c *conn) *reader {
	r := &reader{conn: c}
	r.Reader = bufio.NewReaderSize(readerFunc(r.read), readBufferBytes)
	return r
}

type readerFunc func(b []byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(b []byte) (int, error) { return f(b) }

// read reads from the connection. It tells the event loop first if that would block.
func (r *reader) read(b []byte) (int, error) {
	if r.undrained && !r.conn.socket.HasUnread() {
		r.undrained, r.backlogSince = false, time.Time{}
		r.conn.source.Add(&message{conn: r.conn, kind: inputDrainedMessage}, 0)
	}
	n, err := r.conn.netConn.Read(b)
	if isTimeout(err) && r.extendDeadline() {
		n, err = r.conn.netConn.Read(b)
	}
	r.shortRead = n < len(b)
	return n, err
}

// extendDeadline gives a message a little more time, once, if a part of it had been received in time: a stopped process
// finds the deadline over and the bytes unread.
func (r *reader) extendDeadline() bool {
	if r.extended || !r.conn.socket.HasUnread() {
		return false
	}
	r.extended = true
	return r.conn.netConn.SetReadDeadline(time.Now().Add(partialMessageTimeout)) == nil
}

// markDrained notes in a message whether all that had been received has been read with it.
func (r *reader) markDrained(m *message) {
	m.drained = r.Buffered() == 0 && r.shortRead
	if r.undrained = !m.drained; m.drained {
		r.backlogSince = time.Time{}
	}
}

// backlogged reports whether the client has kept sending more than it may for too long. Waited says that the connection
// has just had to wait.
func (r *reader) backlogged(waited bool) bool {
	if !waited {
		return false
	}
	if r.backlogSince.IsZero() {
		r.backlogSince = time.Now()
	}
	if stallEnd := r.conn.server.stall.end(); stallEnd.After(r.backlogSince) { // nothing was read meanwhile
		r.backlogSince = stallEnd
	}
	return time.Since(r.backlogSince) > maxBacklogTime
}

// serve runs a connection until its end.
func (c *conn) serve() {
	reason, err := c.read()
	c.inputEnded.Store(true)
	if c.ended.Load() {
		reason = closeReason(c.endReason.Load())
	}
	if err != nil && reason != closedByClient && reason != closedByServer {
		c.server.options.Log.Debug().Err(err).Stringer("reason", reason).Str("client", c.netConn.RemoteAddr().String()).
			Msg("client connection ended with an error")
	}
	c.server.counts.closes[reason].Add(1)
	if reason == closedByClient || reason == closedMalformed {
		c.dropWaiting()
	}
	c.server.remove(c)
	if reason != closedByClient {
		c.awaitHandled()
	}
	c.netConn.Close()
	if c.sentMessage.Load() {
		c.server.loop.Post(c.shutDown)
	}
	c.server.openDescriptors.Add(-1)
}

// dropWaiting drops the messages that have not been handled.
func (c *conn) dropWaiting() {
	for _, m := range c.source.Clear() {
		c.drop(m)
		c.countHandled(m)
	}
}

// awaitHandled waits a short time for messages to be handled and answers to be written before the connection is closed.
func (c *conn) awaitHandled() {
	for until := time.Now().Add(invalidRPCPause); c.hasUnhandled() && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
}

// read reads messages until the stream ends or is malformed, and returns why it ended.
func (c *conn) read() (closeReason, error) {
	r := newReader(c)
	if err := c.netConn.SetReadDeadline(time.Now().Add(firstMessageTimeout)); err != nil {
		return closedByServer, err
	}
	for {
		waited, ok := c.awaitRoom()
		if !ok {
			return closedByServer, net.ErrClosed
		}
		if r.backlogged(waited) {
			return closedBacklog, fmt.Errorf("messages unread for %v", maxBacklogTime)
		}
		if reason, err := c.awaitMessage(r); err != nil {
			return reason, err
		}
		r.extended = false
		if !c.beginMessage() {
			return closedByServer, net.ErrClosed
		}
		m, err := c.readMessage(r)
		if err != nil {
			return readFailure(err, closedMessageTimeout), err
		}
		c.sentMessage.Store(true)
		c.lastActive.Store(time.Now().UnixNano())
		c.addMessage(m)
		c.endMessage(r.Buffered() > 0)
		if c.invalidRPCs.Load() > 0 && c.pauseAfterInvalid() {
			return closedByClient, io.EOF
		}
		if invalid := c.invalidRPCs.Load(); invalid >= maxInvalidRPCs && !c.hasOpenRPCs() {
			return closedInvalidRPCs, fmt.Errorf("%d invalid RPCs in a row", invalid)
		}
	}
}

// addMessage passes a message to the event loop.
func (c *conn) addMessage(m *message) {
	c.mu.Lock()
	c.unhandled++
	if m.isRPC() {
		c.openRPCs++
	}
	c.mu.Unlock()
	c.source.Add(m, intake.Cost(int(m.reserved/heldPerFrameByte)))
}

// readFailure returns why a connection ends after an error of reading; a timeout is counted as onTimeout.
func readFailure(err error, onTimeout closeReason) closeReason {
	var opErr *net.OpError
	switch {
	case isTimeout(err):
		return onTimeout
	case errors.Is(err, net.ErrClosed):
		return closedByServer
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &opErr):
		return closedByClient
	}
	return closedMalformed
}

// readMessage reads and decodes one message.
func (c *conn) readMessage(r *reader) (*message, error) {
	var head [lengthBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := int32(binary.BigEndian.Uint32(head[:]))
	if n <= 0 || n > maxFrame {
		return nil, fmt.Errorf("frame of %d bytes, limit %d", n, maxFrame)
	}
	m := &message{conn: c, receivedAt: c.server.arrivalTime(c)}
	if n > smallFrameBytes {
		if m.reserved = int64(n) * heldPerFrameByte; !c.server.reserveRequest(c, m.reserved) {
			m.reserved = 0
			return m, c.skipMessage(r, m, int(n))
		}
	}
	frame := make([]byte, n)
	_, err := io.ReadFull(r, frame)
	c.setReserved(0)
	if err == nil {
		err = malformed(decode(frame, m))
	}
	if err != nil {
		c.server.requests.Release(m.reserved)
		return nil, err
	}
	r.markDrained(m)
	return m, nil
}

// malformed marks an error as one of the message's content.
func malformed(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("message: %s", err.Error()) // an EOF within the message is not one of the stream
}

// skipMessage reads an RPC for which there is no memory, without keeping it.
func (c *conn) skipMessage(r *reader, m *message, length int) error {
	start, err := r.Peek(min(length, executeHeaderBytes))
	if err != nil {
		return err
	}
	m.kind = refusedMessage
	if m.seq, err = readExecuteHeader(start); err != nil {
		return malformed(err)
	}
	_, err = io.CopyN(io.Discard, r, int64(length))
	r.markDrained(m)
	return err
}

// awaitRoom waits until the connection may read on: its waiting messages are below their limit, and it takes the answers
// that it is sent. It reports whether it has waited, and whether the connection goes on.
func (c *conn) awaitRoom() (waited, ok bool) {
	if c.ended.Load() {
		return false, false
	}
	if !c.source.Full() && c.unsentBytes() <= maxUnsentWhileReading {
		return false, true
	}
	if c.socket.PeerClosed() {
		c.closeFor(closedByClient)
		return false, false
	}
	c.server.setBlocked(c, true)
	defer c.server.setBlocked(c, false)
	c.server.counts.waits.Add(1)
	for c.source.Full() || c.unsentBytes() > maxUnsentWhileReading {
		<-c.resume
		if c.ended.Load() {
			return true, false
		}
	}
	return true, true
}

// signalResume has the reader look again whether it may read on. Any goroutine may call it.
func (c *conn) signalResume() {
	select {
	case c.resume <- struct{}{}:
	default:
	}
}

// awaitMessage waits for the first byte of a message. It returns an error once the connection has been idle, with no
// open RPC, for idleTimeout.
func (c *conn) awaitMessage(r *reader) (closeReason, error) {
	if !c.sentMessage.Load() {
		_, err := r.Peek(1)
		return readFailure(err, closedFirstMessageTimeout), err
	}
	for r.Buffered() == 0 {
		if err := c.netConn.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
			return closedByServer, err
		}
		_, err := r.Peek(1)
		if err == nil {
			break
		}
		if !isTimeout(err) || !c.hasOpenRPCs() && time.Now().UnixNano()-c.lastActive.Load() >= int64(idleTimeout) {
			return readFailure(err, closedIdle), err
		}
	}
	return closedByServer, c.netConn.SetReadDeadline(time.Now().Add(messageTimeout))
}

// pauseAfterInvalid delays reading after an invalid RPC, so that clients that send those at full speed don't occupy the
// core. It reports whether the client has left meanwhile, so that its other RPCs are not sent to workers in vain.
func (c *conn) pauseAfterInvalid() (clientLeft bool) {
	for until := time.Now().Add(invalidRPCPause); time.Now().Before(until) && !clientLeft; {
		time.Sleep(pollInterval)
		clientLeft = c.socket.PeerClosed()
	}
	return clientLeft
}
