// Package sock writes to sockets without waiting.
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
