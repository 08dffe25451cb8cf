// Package clients is a front end's side towards its clients: JSON-RPC 2.0 over Unix stream sockets, as
// docs/protocol.md words it. It hands RPCs to the engine and answers back; it decides nothing about an RPC's path.
package clients

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"mallowlanding/internal/access"
	"mallowlanding/internal/admission"
	"mallowlanding/internal/dispatch"
	"mallowlanding/internal/eventloop"
	"mallowlanding/internal/jsonrpc"
	"mallowlanding/router"
)

// Error codes of our own, in the range that JSON-RPC leaves to servers.
const (
	Denied           = -32001 // a retry is harmless; data.come_back_ms advises when
	Aborted          = -32002 // it may have run
	PermissionDenied = -32003 // the peer may not ask for this
)

// Limits bound what clients may ask of one front end.
type Limits struct {
	Connections  int           // connections at once
	OpenRPCs     int           // RPCs open on one connection
	ValueBytes   int           // bytes of one JSON value
	AnswerBytes  int           // bytes of answers that wait for a slow reader before no more is read from it
	WriteTimeout time.Duration // a reader that takes nothing for so long is cut off
}

// Options are a server's settings.
type Options struct {
	Limits        Limits
	RewriteAnswer func(value []byte) []byte // changes an answer as it leaves; nil: it goes as it is
	Allow         access.Rules              // none: every peer that can open the socket
	Status        func() []byte             // in a turn: what rpc.status answers; nil: it is no method
	Log           zerolog.Logger
}

// Server takes connections. The last field belongs to the loop's goroutine.
type Server struct {
	o        Options
	loop     *eventloop.Loop
	desk     *dispatch.Dispatcher
	mu       sync.Mutex
	conns    map[*conn]bool
	accepted chan struct{}  // closed once no more connections are taken
	more     sync.WaitGroup // other listeners that still take some

	dirty []*conn // with answers of this turn
}

// New makes a server for a desk that loop drives.
func New(loop *eventloop.Loop, d *dispatch.Dispatcher, o Options) *Server {
	return &Server{o: o, loop: loop, desk: d, conns: map[*conn]bool{}, accepted: make(chan struct{})}
}

// Listen makes the socket at path. One that a dead process left is replaced; one that is served, or a file of
// another kind, is an error.
func Listen(path string, mode os.FileMode) (net.Listener, error) {
	if info, err := os.Lstat(path); err == nil {
		if info.Mode()&os.ModeSocket == 0 {
			return nil, fmt.Errorf("socket %s: a file that is no socket stands there", path)
		}
		if c, err := net.DialTimeout("unix", path, time.Second); err == nil {
			c.Close()
			return nil, fmt.Errorf("socket %s: a live process serves it", path)
		}
		if err := os.Remove(path); err != nil {
			return nil, fmt.Errorf("socket %s: left by a dead process: %w", path, err)
		}
	}
	l, err := net.Listen("unix", path)
	if err != nil {
		return nil, err
	}
	if err := os.Chmod(path, mode); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

// Serve takes connections until the context ends, and then ends those that it has. Drain comes before.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	return s.serve(ctx, l, func() { close(s.accepted) })
}

// AddListener has a further listener's connections taken, too, until it is closed; the function that it returns serves.
func (s *Server) AddListener(ctx context.Context, l net.Listener) func() error {
	s.more.Add(1)
	return func() error { return s.serve(ctx, l, s.more.Done) }
}

func (s *Server) serve(ctx context.Context, l net.Listener, over func()) error {
	var all errgroup.Group
	stop := context.AfterFunc(ctx, func() {
		l.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.conns {
			c.nc.Close()
		}
	})
	defer stop()
	var failed error
	for {
		nc, err := l.Accept()
		if err != nil {
			if ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
				s.o.Log.Warn().Err(err).Msg("accept")
				if errors.Is(err, os.ErrDeadlineExceeded) || isTemporary(err) {
					time.Sleep(10 * time.Millisecond) // out of descriptors: others may close some
					continue
				}
				failed = err
			}
			break
		}
		uid, gid, err := peerOf(nc)
		var right access.Permissions
		if err == nil {
			right, err = s.o.Allow.Authorize(uid, gid)
		}
		if err != nil {
			s.o.Log.Warn().Err(err).Msg("a connection is turned away")
			turnAway(nc, PermissionDenied, err.Error())
			continue
		}
		c := newConn(s, nc, admission.PeerID(uid), right)
		s.mu.Lock()
		full := len(s.conns) >= s.o.Limits.Connections
		if !full {
			s.conns[c] = true
		}
		s.mu.Unlock()
		if full {
			s.o.Log.Warn().Int("connections", s.o.Limits.Connections).Msg("a connection is turned away")
			turnAway(nc, Denied, fmt.Sprintf("denied: %d connections are open, no more are taken", s.o.Limits.Connections))
			continue
		}
		all.Go(func() error { c.serve(ctx); return nil })
		if ctx.Err() != nil { // closed between the context's end and its being listed
			nc.Close()
		}
	}
	over()
	_ = all.Wait()
	return failed
}

func isTemporary(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Temporary()
}

// turnAway tells a client why its connection is not taken, and closes it.
func turnAway(nc net.Conn, code int, why string) {
	_ = nc.SetWriteDeadline(time.Now().Add(time.Second))
	_, _ = nc.Write(append(jsonrpc.AppendError(nil, jsonrpc.NullID, code, why, nil), '\n'))
	nc.Close()
}

// peerOf reads the ids of the process at the other end, as they were when it connected.
func peerOf(nc net.Conn) (uid, gid int64, err error) {
	raw, err := nc.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0, 0, err
	}
	var cred *unix.Ucred
	var credErr error
	if err := raw.Control(func(fd uintptr) {
		cred, credErr = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED)
	}); err != nil {
		return 0, 0, err
	}
	if credErr != nil {
		return 0, 0, credErr
	}
	return int64(cred.Uid), int64(cred.Gid), nil
}

// CloseRead has clients' further writes fail: what they sent before is still read, and nothing is lost between a
// write that went well and this front end. Connections end once all on them is answered.
// It waits until the listener, which must be closed, gives no more.
func (s *Server) CloseRead() {
	<-s.accepted
	s.more.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.nc.(*net.UnixConn).CloseRead()
	}
}

// Connections is the number of clients' connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Flush sends the turn's answers; it may be called in a turn alone, at its end.
func (s *Server) Flush() {
	for i, c := range s.dirty {
		c.flush()
		s.dirty[i] = nil
	}
	s.dirty = s.dirty[:0]
}

// Flushed tells whether all answers given so far have been written, or can't be any more.
func (s *Server) Flushed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.waiting() > 0 {
			return false
		}
	}
	return true
}

func appendDenied(out []byte, id jsonrpc.ID, message string, comeBack router.Time) []byte {
	var data []byte
	if comeBack > 0 {
		data = strconv.AppendInt([]byte(`{"come_back_ms":`), int64(comeBack+9)/10, 10)
		data = append(data, '}')
	}
	return jsonrpc.AppendError(out, id, Denied, message, data)
}
