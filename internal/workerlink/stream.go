package workerlink

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"mallowlanding/internal/outbound"
	"mallowlanding/internal/sockio"
	"mallowlanding/router"
)

// stream is the output of one connection. Messages are queued on it before the connection is there; they are written
// once the worker is ready. What is queued on one stream is never written to the connection of another.
//
// The turns of the event loop write what the socket accepts without blocking, which saves a switch of goroutines in
// each turn. While the socket accepts nothing more, a goroutine of the stream waits for it and writes.
type stream struct {
	link *Link

	// set when the worker becomes ready, in a turn of the event loop and with mu held
	conn    net.Conn
	raw     syscall.RawConn
	binary  bool        // frames are sent instead of JSON lines
	batches bool        // the worker accepts host.batch
	unwatch func() bool // has the end of the link's context not end the stream any more

	mu            sync.Mutex
	changed       *sync.Cond
	queue         *outbound.Queue
	blocked       bool // the socket accepts nothing more, and run writes
	ended         bool
	unwantedSince time.Time // when nobody waited any more for the answer to a half-written message
}

func newStream(l *Link) *stream {
	st := &stream{link: l, queue: outbound.NewQueue(&l.set.pauses)}
	st.changed = sync.NewCond(&st.mu)
	return st
}

// attach has the stream write to a connection, whose worker is ready, until the context ends. The greeting is written
// first.
func (st *stream) attach(ctx context.Context, conn net.Conn, greeting []byte, binary, batches bool) error {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.conn, st.raw, st.binary, st.batches = conn, raw, binary, batches
	st.queue.Greet(greeting)
	st.unwatch = context.AfterFunc(ctx, st.end)
	return nil
}

// isReady reports whether the worker is ready to read. Call it in a turn of the event loop.
func (st *stream) isReady() bool { return st.conn != nil }

// acceptsBatches reports whether the worker takes several call-outs in one message. Call it in a turn of the event
// loop.
func (st *stream) acceptsBatches() bool { return st.isReady() && st.binary && st.batches }

// connectionLost ends the stream, whose connection has been lost. Call it in a turn of the event loop.
func (st *stream) connectionLost() {
	if st.unwatch != nil {
		st.unwatch()
	}
	st.end()
}

// end has the stream write nothing more.
func (st *stream) end() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.ended = true
	st.changed.Signal()
}

// flush writes what the socket accepts without blocking and leaves the rest to run.
func (st *stream) flush() {
	st.mu.Lock()
	broken := false
	if st.raw != nil && !st.blocked && !st.ended && !st.queue.Empty() {
		broken = st.writeOrBlock()
	}
	st.mu.Unlock()
	if broken {
		st.conn.Close() // ends the reader, too
	}
}

// writeOrBlock writes what the socket accepts, and has run write the rest. It reports whether the connection is broken.
// The caller holds mu.
func (st *stream) writeOrBlock() (broken bool) {
	var err error
	finished := true
	rawErr := st.raw.Write(func(fd uintptr) bool {
		finished, err = st.writeLocked(fd)
		return true
	})
	if !finished {
		st.blocked = true
		st.changed.Signal()
	}
	return err != nil || rawErr != nil
}

// run writes whenever flush could not write everything, until the stream ends.
func (st *stream) run() {
	for st.awaitBlocked() {
		var err error
		rawErr := st.raw.Write(func(fd uintptr) bool {
			st.mu.Lock()
			defer st.mu.Unlock()
			finished := st.ended
			if !finished {
				finished, err = st.writeLocked(fd)
			}
			st.blocked = !finished
			return finished
		})
		st.link.postDropped(st)
		if err != nil || rawErr != nil {
			st.conn.Close() // ends the reader, too
			return
		}
	}
}

// awaitBlocked waits until the socket accepts nothing more. It returns false once the stream has ended.
func (st *stream) awaitBlocked() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	for !st.blocked && !st.ended {
		st.changed.Wait()
	}
	return !st.ended
}

// writeLocked writes until the queue is empty or the connection fails, and then returns true, or until the socket
// accepts nothing more. A message is begun in the same moment in which its conditions are checked. The caller holds mu.
func (st *stream) writeLocked(fd uintptr) (finished bool, err error) {
	for {
		next := st.queue.Next(st.link.set.loop.Now())
		if len(next) == 0 {
			return true, nil
		}
		n, err := sockio.WriteFD(fd, next)
		if st.queue.Wrote(n); err != nil {
			return true, err
		}
		if n == 0 {
			return false, nil
		}
	}
}

// add queues a message.
func (st *stream) add(m *outbound.Message) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.queue.Add(m)
}

// queuedBytes returns how many bytes wait, approximately.
func (st *stream) queuedBytes() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.queue.Bytes()
}

// hasUnsent reports whether anything waits to be written.
func (st *stream) hasUnsent() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return !st.queue.Empty()
}

// state returns how far a request has got.
func (st *stream) state(key string) outbound.State {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.queue.State(key)
}

// withdraw has a request not sent any more if it is unsent, and returns how far it has got.
func (st *stream) withdraw(key string) outbound.State {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.queue.Withdraw(key)
}

// closeUnlessRestWritten closes the connection after a time if a message is half written, nobody waits for its answer,
// and the worker does not read the rest until then. What the worker has read of it is no message.
func (st *stream) closeUnlessRestWritten(within time.Duration) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if !st.queue.RestUnwanted() {
		return
	}
	st.unwantedSince = time.Now()
	time.AfterFunc(within, func() {
		if st.restUnwantedFor(within) {
			st.link.set.opts.Log.Warn().Str("worker", st.link.name).
				Msg("connection closed: the worker does not read the rest of a request that nobody waits for any more")
			st.conn.Close() // ends the reader, too
		}
	})
}

// restUnwantedFor reports whether nobody has waited for the answer to a half-written message for the given time.
func (st *stream) restUnwantedFor(span time.Duration) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.queue.RestUnwanted() && time.Since(st.unwantedSince) >= span
}

// expire drops the requests whose conditions no longer hold.
func (st *stream) expire(now router.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.queue.Expire(now)
}

// nextExpiry returns when expire has something to drop.
func (st *stream) nextExpiry() (due router.Time, ok bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.queue.NextExpiry()
}

// dropUnsent drops the requests that have not been begun.
func (st *stream) dropUnsent(err error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.queue.DropUnsent(err)
}

// takeDropped returns the requests that were dropped since the last call.
func (st *stream) takeDropped() []outbound.Dropped {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.queue.TakeDropped()
}

// hasDropped reports whether takeDropped has something to return.
func (st *stream) hasDropped() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.queue.HasDropped()
}
