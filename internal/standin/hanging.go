package standin

import (
	"net"
	"sort"
	"sync"
	"time"

	"mallowlanding/internal/sockio"
)

// arrivalInterval is how often a hanging worker looks how much has arrived on its connections.
const arrivalInterval = 2 * time.Millisecond

// hangTimer tells until when a worker's process reads nothing.
type hangTimer struct {
	mu    sync.Mutex
	until time.Time
}

// hang has the process read nothing for the given time.
func (h *hangTimer) hang(span time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.until = time.Now().Add(span)
}

func (h *hangTimer) hangs() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Now().Before(h.until)
}

// hangingConn is a connection of a worker. While the worker hangs, nothing is read from it: what arrives fills the
// buffer of its socket, as with a process that is stopped. It records when what it could not read had arrived.
type hangingConn struct {
	net.Conn
	socket sockio.Socket
	timer  *hangTimer
	read   int64     // bytes that have been read
	seen   []arrival // by time
}

// arrival says how many bytes of the stream had arrived at a time.
type arrival struct {
	bytes int64
	at    time.Time
}

func newHangingConn(conn net.Conn, timer *hangTimer) *hangingConn {
	return &hangingConn{Conn: conn, socket: sockio.NewSocket(conn), timer: timer}
}

// Read implements net.Conn. It returns nothing while the worker hangs.
func (c *hangingConn) Read(b []byte) (int, error) {
	c.waitWhileHanging(0)
	n, err := c.Conn.Read(b)
	c.waitWhileHanging(int64(n)) // it may have begun during the read
	c.read += int64(n)
	return n, err
}

// waitWhileHanging waits until the worker reads, and records what arrives meanwhile. Taken bytes have been read by a
// call that has not returned.
func (c *hangingConn) waitWhileHanging(taken int64) {
	for c.timer.hangs() {
		arrived := c.read + taken + int64(c.socket.Unread())
		if len(c.seen) == 0 || c.seen[len(c.seen)-1].bytes < arrived {
			c.seen = append(c.seen, arrival{arrived, time.Now()})
		}
		time.Sleep(arrivalInterval)
	}
}

// arrivedNS returns when the byte at an offset had arrived, in ns since 1970; 0 if it was read at once. Offsets may not
// decrease from call to call.
func (c *hangingConn) arrivedNS(offset int64) int64 {
	i := sort.Search(len(c.seen), func(i int) bool { return c.seen[i].bytes > offset })
	if c.seen = c.seen[i:]; len(c.seen) == 0 {
		return 0
	}
	return c.seen[0].at.UnixNano()
}
