// Package sockio writes to sockets and inspects them without blocking.
package sockio

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Socket writes to a connection without blocking and reports what its socket knows about the peer. No other goroutine
// may write to the connection during TryWrite.
type Socket struct{ raw syscall.RawConn }

// NewSocket returns a Socket for the connection. If the connection has no file descriptor, TryWrite writes nothing.
func NewSocket(conn net.Conn) Socket {
	if sysConn, ok := conn.(syscall.Conn); ok {
		if raw, err := sysConn.SyscallConn(); err == nil {
			return Socket{raw}
		}
	}
	return Socket{}
}

// TryWrite writes as many bytes as the socket accepts without blocking and returns their number. It ignores errors,
// because the next blocking write returns them.
func (s Socket) TryWrite(b []byte) (n int) {
	if s.raw == nil {
		return 0
	}
	n, _ = TryWrite(s.raw, b)
	return n
}

// TryWrite writes as many bytes as the socket accepts without blocking and returns their number. Writing none because
// the send buffer is full is not an error.
func TryWrite(raw syscall.RawConn, b []byte) (n int, err error) {
	var writeErr error
	err = raw.Write(func(fd uintptr) bool {
		n, writeErr = WriteFD(fd, b)
		return true
	})
	return n, errors.Join(err, writeErr)
}

// WriteFD is TryWrite for the descriptor of a non-blocking socket.
func WriteFD(fd uintptr, b []byte) (n int, err error) {
	for {
		n, err = unix.Write(int(fd), b)
		switch err {
		case unix.EINTR:
			continue
		case unix.EAGAIN:
			err = nil
		}
		return max(n, 0), err
	}
}

// HasUnread reports whether bytes have been received that nobody has read.
func (s Socket) HasUnread() bool { return s.Unread() > 0 }

// Unread returns how many bytes have been received that nobody has read; 0 if that is not known.
func (s Socket) Unread() (n int) {
	if s.raw == nil {
		return 0
	}
	_ = s.raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ) })
	return max(n, 0)
}

// IsIdle reports whether the connection is open and has no unread bytes. It looks for a next byte without consuming it.
func IsIdle(raw syscall.RawConn) (idle bool) {
	_ = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = err == unix.EAGAIN
	})
	return idle
}

// PeerClosed reports whether the peer has closed the connection or its sending side, even if bytes received before that
// are unread.
func (s Socket) PeerClosed() (closed bool) {
	if s.raw == nil {
		return false
	}
	err := s.raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		closed = err == nil && n > 0
	})
	return closed || err != nil
}

// SinceLastReceived returns for how long the peer has sent nothing, to the millisecond; 0 if that is not known.
func (s Socket) SinceLastReceived() (since time.Duration) {
	if s.raw == nil {
		return 0
	}
	_ = s.raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			since = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return since
}
