// Package sockio writes to sockets, and looks at them, without waiting.
package sockio

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Socket writes to a connection as far as its socket takes bytes at once, and tells what its socket knows of the peer.
// Nobody else may be writing meanwhile.
type Socket struct{ raw syscall.RawConn }

// NewSocket makes a writer for a socket's connection; for another kind of connection it takes nothing.
func NewSocket(nc net.Conn) Socket {
	if sc, is := nc.(syscall.Conn); is {
		if raw, err := sc.SyscallConn(); err == nil {
			return Socket{raw}
		}
	}
	return Socket{}
}

// TryWrite writes what the socket takes now and tells how many bytes that were. An error is left for the next write that
// waits: it will meet it, too.
func (w Socket) TryWrite(b []byte) (n int) {
	if w.raw == nil {
		return 0
	}
	n, _ = TryWrite(w.raw, b)
	return n
}

// TryWrite writes what the socket takes now and tells how many bytes that were; that it takes none is no error.
func TryWrite(raw syscall.RawConn, b []byte) (n int, err error) {
	var fault error
	err = raw.Write(func(fd uintptr) bool {
		n, fault = unix.Write(int(fd), b)
		return true
	})
	if fault == unix.EAGAIN || fault == unix.EINTR {
		fault = nil
	}
	return max(n, 0), errors.Join(err, fault)
}

// HasUnread tells whether bytes came that nobody has read.
func (w Socket) HasUnread() bool {
	if w.raw == nil {
		return false
	}
	n, err := peek(w.raw)
	return err == nil && n > 0
}

// IsIdle tells whether the connection stands, and nothing came that nobody has read.
func IsIdle(raw syscall.RawConn) bool {
	_, err := peek(raw)
	return err == unix.EAGAIN
}

// peek looks at the next byte and leaves it there; 0 bytes: the peer has ended its side.
func peek(raw syscall.RawConn) (n int, err error) {
	gone := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if gone != nil {
		return 0, gone
	}
	return n, err
}

// PeerClosed tells whether the peer has closed the connection, also where bytes that came before are unread.
func (w Socket) PeerClosed() (hungUp bool) {
	if w.raw == nil {
		return false
	}
	err := w.raw.Control(func(fd uintptr) {
		look := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(look, 0)
		hungUp = err == nil && n > 0
	})
	return hungUp || err != nil
}
