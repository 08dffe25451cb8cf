// Package sock writes to sockets, and looks at them, without waiting.
package sock

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Writer writes to a connection as far as its socket takes bytes at once. Nobody else may be writing meanwhile.
type Writer struct{ raw syscall.RawConn }

// NewWriter makes a writer for a socket's connection; for another kind of connection it takes nothing.
func NewWriter(nc net.Conn) Writer {
	if sc, is := nc.(syscall.Conn); is {
		if raw, err := sc.SyscallConn(); err == nil {
			return Writer{raw}
		}
	}
	return Writer{}
}

// Try writes what the socket takes now and tells how many bytes that were. An error is left for the next write that
// waits: it will meet it, too.
func (w Writer) Try(b []byte) (n int) {
	if w.raw == nil {
		return 0
	}
	_ = w.raw.Write(func(fd uintptr) bool {
		n, _ = unix.Write(int(fd), b)
		return true
	})
	return max(n, 0)
}

// Unread tells whether bytes came that nobody has read.
func Unread(raw syscall.RawConn) (unread bool) {
	_ = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return unread
}

// HungUp tells whether the peer has closed the connection, also where bytes that came before are unread.
func HungUp(raw syscall.RawConn) (hungUp bool) {
	err := raw.Control(func(fd uintptr) {
		look := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(look, 0)
		hungUp = err == nil && n > 0
	})
	return hungUp || err != nil
}
