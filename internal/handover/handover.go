// Package handover passes listening sockets from a process to its successor, so that no client is refused meanwhile,
// and takes one that a service manager opened before.
//
// The old process serves a second socket, which its own user alone may open. The successor connects there, gets the
// listener's descriptor (SCM_RIGHTS), and once it serves, says so with one byte; the old one then stops accepting and
// says so with another. A successor that goes before that byte leaves the old one as it was.
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
	ready = 'r'
	taken = 't'
)

// patience bounds each step of a successor that is there.
const patience = 10 * time.Second

// Listener is one whose descriptor can be passed: a Unix or TCP listener.
type Listener interface {
	net.Listener
	syscall.Conn
}

// Offer gives the listeners, in their order, to a successor that asks at l, until one has taken it or the context ends. Stop is called
// in between: it ends this process's accepting, after which the successor is told. It reports whether one has taken
// it. Offer closes l.
func Offer(ctx context.Context, l net.Listener, listeners []Listener, stop func()) bool {
	end := context.AfterFunc(ctx, func() { l.Close() })
	defer end()
	defer l.Close()
	for {
		nc, err := l.Accept()
		if err != nil {
			return false
		}
		if pass(ctx, nc.(*net.UnixConn), listeners) == nil {
			l.Close() // the path is the successor's now
			stop()
			_, _ = nc.Write([]byte{taken})
			nc.Close()
			return true
		}
		nc.Close()
	}
}

// pass sends the descriptors and waits for the successor's word.
func pass(ctx context.Context, nc *net.UnixConn, listeners []Listener) error {
	end := context.AfterFunc(ctx, func() { nc.Close() })
	defer end()
	var fds []int // theirs, for as long as they are open
	for _, l := range listeners {
		raw, err := l.SyscallConn()
		if err != nil {
			return err
		}
		if err := raw.Control(func(fd uintptr) { fds = append(fds, int(fd)) }); err != nil {
			return err
		}
	}
	if err := nc.SetDeadline(time.Now().Add(patience)); err != nil {
		return err
	}
	if _, _, err := nc.WriteMsgUnix([]byte{0}, syscall.UnixRights(fds...), nil); err != nil {
		return err
	}
	var word [1]byte
	if _, err := nc.Read(word[:]); err != nil {
		return err
	}
	if word[0] != ready {
		return fmt.Errorf("successor says %q", word[0])
	}
	return nil
}

// most is how many listeners a process may pass.
const most = 16

// Request asks the process at path for its listeners. Confirm tells it that this one serves, and returns once the old
// one accepts no more. An error of kind os.ErrNotExist or ECONNREFUSED: nobody is there to ask.
func Request(path string) (ls []Listener, confirm func() error, err error) {
	dialled, err := net.DialTimeout("unix", path, patience)
	if err != nil {
		return nil, nil, err
	}
	nc := dialled.(*net.UnixConn)
	defer func() {
		if err != nil {
			nc.Close()
			for _, l := range ls {
				l.Close()
			}
		}
	}()
	if err = nc.SetDeadline(time.Now().Add(patience)); err != nil {
		return nil, nil, err
	}
	body, rights := make([]byte, 1), make([]byte, syscall.CmsgSpace(4*most))
	_, n, _, _, err := nc.ReadMsgUnix(body, rights)
	if err != nil {
		return nil, nil, err
	}
	messages, err := syscall.ParseSocketControlMessage(rights[:n])
	if err != nil {
		return nil, nil, err
	}
	if len(messages) != 1 {
		return nil, nil, errors.New("hand-over: no descriptor came")
	}
	fds, err := syscall.ParseUnixRights(&messages[0])
	if err != nil {
		return nil, nil, err
	}
	if len(fds) == 0 {
		err = errors.New("hand-over: no descriptor came")
		return nil, nil, err
	}
	for _, fd := range fds {
		var l Listener
		if l, err = fromFD(fd); err != nil {
			return nil, nil, err
		}
		ls = append(ls, l)
	}
	confirm = func() error {
		defer nc.Close()
		if err := nc.SetDeadline(time.Now().Add(patience)); err != nil {
			return err
		}
		if _, err := nc.Write([]byte{ready}); err != nil {
			return err
		}
		var word [1]byte
		if _, err := nc.Read(word[:]); err != nil {
			return err
		}
		return nil
	}
	return ls, confirm, nil
}

func fromFD(fd int) (Listener, error) {
	syscall.CloseOnExec(fd)
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close()
	l, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	passed, is := l.(Listener)
	if !is {
		l.Close()
		return nil, fmt.Errorf("the descriptor passed is a %s listener, which can't be passed on", l.Addr().Network())
	}
	return passed, nil
}

// firstInherited is the first descriptor that a service manager passes (sd_listen_fds(3)).
const firstInherited = 3

// Inherited is the listener that a service manager opened for this process, by the environment's LISTEN_PID and
// LISTEN_FDS; nil: there is none. More than one is an error.
func Inherited() (*net.UnixListener, error) {
	if os.Getenv("LISTEN_PID") != strconv.Itoa(os.Getpid()) {
		return nil, nil
	}
	if n := os.Getenv("LISTEN_FDS"); n != "1" {
		return nil, fmt.Errorf("LISTEN_FDS is %q: one socket is wanted, for the clients", n)
	}
	l, err := fromFD(firstInherited)
	if err != nil {
		return nil, err
	}
	u, is := l.(*net.UnixListener)
	if !is {
		l.Close()
		return nil, fmt.Errorf("the socket passed is a %s one: a Unix socket is wanted, for the clients", l.Addr().Network())
	}
	return u, nil
}
