// Package handover passes listening sockets from a process to its successor, so that no client is refused during a
// restart, and receives a socket that a service manager has opened.
//
// The old process serves a second socket that only its own user may open. The successor connects to it, receives the
// listeners' descriptors (SCM_RIGHTS), and sends one byte when it serves. The old process then stops accepting and
// replies with another byte. If the successor exits before it sends its byte, the old process continues as before.
package handover

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"syscall"
	"time"
)

const (
	msgReady = 'r' // from the successor: it serves
	msgTaken = 't' // from the old process: it accepts no more
)

// stepTimeout bounds each step of a hand-over with a connected successor.
const stepTimeout = 10 * time.Second

// Listener is a listener whose descriptor can be passed to another process: a Unix or TCP listener.
type Listener interface {
	net.Listener
	syscall.Conn
}

// Offer passes the listeners, in their order, to a successor that connects to handoverListener. It returns true when a
// successor has taken them, false when the context ends. stop must make this process accept no more connections. It is
// called once the successor serves, and the successor is notified after it. Offer closes handoverListener.
func Offer(ctx context.Context, handoverListener net.Listener, listeners []Listener, stop func()) bool {
	stopClose := context.AfterFunc(ctx, func() { handoverListener.Close() })
	defer stopClose()
	defer handoverListener.Close()
	for {
		nc, err := handoverListener.Accept()
		if err != nil {
			return false
		}
		if sendListeners(ctx, nc.(*net.UnixConn), listeners) == nil {
			handoverListener.Close() // the successor now owns the path
			stop()
			_, _ = nc.Write([]byte{msgTaken})
			nc.Close()
			return true
		}
		nc.Close()
	}
}

// sendListeners sends the descriptors and waits until the successor reports that it serves.
func sendListeners(ctx context.Context, nc *net.UnixConn, listeners []Listener) error {
	stopClose := context.AfterFunc(ctx, func() { nc.Close() })
	defer stopClose()
	var fds []int // valid as long as the listeners are open
	for _, l := range listeners {
		raw, err := l.SyscallConn()
		if err != nil {
			return err
		}
		if err := raw.Control(func(fd uintptr) { fds = append(fds, int(fd)) }); err != nil {
			return err
		}
	}
	if err := nc.SetDeadline(time.Now().Add(stepTimeout)); err != nil {
		return err
	}
	if _, _, err := nc.WriteMsgUnix([]byte{0}, syscall.UnixRights(fds...), nil); err != nil {
		return err
	}
	var reply [1]byte
	if _, err := nc.Read(reply[:]); err != nil {
		return err
	}
	if reply[0] != msgReady {
		return fmt.Errorf("hand-over: unexpected byte %q from the successor", reply[0])
	}
	return nil
}

// maxListeners is the maximum number of listeners that a process may pass.
const maxListeners = 16

// Request receives the listeners of the process that offers them at path. confirm notifies that process that this one
// serves, and returns when the old process accepts no more. An error that is os.ErrNotExist or ECONNREFUSED means
// that no process offers listeners.
func Request(path string) (listeners []Listener, confirm func() error, err error) {
	conn, err := net.DialTimeout("unix", path, stepTimeout)
	if err != nil {
		return nil, nil, err
	}
	nc := conn.(*net.UnixConn)
	defer func() {
		if err != nil {
			nc.Close()
			for _, l := range listeners {
				l.Close()
			}
		}
	}()
	if err = nc.SetDeadline(time.Now().Add(stepTimeout)); err != nil {
		return nil, nil, err
	}
	payload, oob := make([]byte, 1), make([]byte, syscall.CmsgSpace(4*maxListeners))
	_, n, _, _, err := nc.ReadMsgUnix(payload, oob)
	if err != nil {
		return nil, nil, err
	}
	messages, err := syscall.ParseSocketControlMessage(oob[:n])
	if err != nil {
		return nil, nil, err
	}
	if len(messages) != 1 {
		return nil, nil, errors.New("hand-over: no descriptor received")
	}
	fds, err := syscall.ParseUnixRights(&messages[0])
	if err != nil {
		return nil, nil, err
	}
	if len(fds) == 0 {
		err = errors.New("hand-over: no descriptor received")
		return nil, nil, err
	}
	for _, fd := range fds {
		var l Listener
		if l, err = listenerFromFD(fd); err != nil {
			return nil, nil, err
		}
		listeners = append(listeners, l)
	}
	confirm = func() error {
		defer nc.Close()
		if err := nc.SetDeadline(time.Now().Add(stepTimeout)); err != nil {
			return err
		}
		if _, err := nc.Write([]byte{msgReady}); err != nil {
			return err
		}
		var reply [1]byte
		if _, err := nc.Read(reply[:]); err != nil {
			return err
		}
		return nil
	}
	return listeners, confirm, nil
}

func listenerFromFD(fd int) (Listener, error) {
	syscall.CloseOnExec(fd)
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close()
	l, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	listener, ok := l.(Listener)
	if !ok {
		l.Close()
		return nil, fmt.Errorf("received a %s listener, which cannot be handed over again", l.Addr().Network())
	}
	return listener, nil
}

// firstInherited is the number of the first descriptor that a service manager passes; see sd_listen_fds(3).
const firstInherited = 3

// Inherited returns the listener that a service manager has opened for this process, as the environment variables
// LISTEN_PID and LISTEN_FDS state; nil: there is none. More than one is an error.
func Inherited() (*net.UnixListener, error) {
	if os.Getenv("LISTEN_PID") != strconv.Itoa(os.Getpid()) {
		return nil, nil
	}
	if n := os.Getenv("LISTEN_FDS"); n != "1" {
		return nil, fmt.Errorf("LISTEN_FDS is %q, want 1: one socket, for the clients", n)
	}
	l, err := listenerFromFD(firstInherited)
	if err != nil {
		return nil, err
	}
	unixListener, ok := l.(*net.UnixListener)
	if !ok {
		l.Close()
		return nil, fmt.Errorf("received a %s socket from the service manager, want a Unix socket for the clients", l.Addr().Network())
	}
	return unixListener, nil
}
