package thrift

import "time"

// send queues an answer, which is written at the end of the turn. It must be called in a turn of the event loop.
func (c *conn) send(frame []byte) {
	if c.closed {
		return
	}
	if !c.server.reserveAnswer(c, int64(len(frame))) {
		c.end(closedUnreadAnswers)
		return
	}
	c.mu.Lock()
	c.unsent = append(c.unsent, frame...)
	c.reservedUnsent += int64(len(frame))
	unsent := len(c.unsent)
	c.mu.Unlock()
	if unsent > maxUnsentBytes {
		c.end(closedUnreadAnswers)
		return
	}
	if !c.needsFlush {
		c.needsFlush = true
		c.server.toFlush = append(c.server.toFlush, c)
	}
}

// flush writes as much as the socket accepts without blocking, and starts a goroutine that writes the rest.
func (c *conn) flush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing {
		return
	}
	if len(c.unsent) > maxUnsentWhileReading {
		defer c.signalResume()
	}
	n := c.socket.TryWrite(c.unsent)
	c.unsent = c.unsent[n:]
	c.releaseUnsentLocked(int64(n))
	if len(c.unsent) == 0 {
		c.unsent = nil
		return
	}
	c.writing = true
	go c.writeUnsent()
}

func (c *conn) writeUnsent() {
	for {
		c.mu.Lock()
		batch := c.unsent
		if c.unsent = nil; len(batch) == 0 {
			c.writing = false
			c.mu.Unlock()
			return
		}
		c.writingBytes = len(batch)
		c.mu.Unlock()
		_ = c.netConn.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, err := c.netConn.Write(batch)
		c.mu.Lock()
		c.writingBytes = 0
		c.releaseUnsentLocked(int64(len(batch)))
		if err != nil {
			c.releaseUnsentLocked(c.reservedUnsent)
			c.unsent, c.writing = nil, false
		}
		c.mu.Unlock()
		if err != nil {
			c.closeFor(closedWriteFailed) // ends the reader, too
			return
		}
		c.signalResume()
	}
}

// releaseUnsentLocked gives back the reservation of n bytes of answers, unless dropUnsent has. The caller holds mu.
func (c *conn) releaseUnsentLocked(n int64) {
	n = min(n, c.reservedUnsent)
	c.reservedUnsent -= n
	c.server.answers.Release(n)
}

// unsentBytes returns how many bytes of answers the socket has not accepted.
func (c *conn) unsentBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.unsent) + c.writingBytes
}

// hasUnhandled reports whether messages have not been handled, or answers have not been written.
func (c *conn) hasUnhandled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unhandled > 0 || len(c.unsent) > 0 || c.writing
}

// dropUnsent forgets the answers of a connection that has been closed.
func (c *conn) dropUnsent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseUnsentLocked(c.reservedUnsent)
	c.unsent = nil
}

// unreadAnswers returns how many bytes are reserved for answers of the connection.
func (c *conn) unreadAnswers() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reservedUnsent
}
