// Package clients serves a front end's clients: JSON-RPC 2.0 over Unix stream sockets, as specified in
// docs/protocol.md. It decodes requests, passes RPCs to the dispatcher, and sends the answers; it makes no routing
// decisions.
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

// Error codes of this protocol, in the range that JSON-RPC reserves for servers.
const (
	Denied           = -32001 // a retry is harmless; data.come_back_ms is the pause to keep before it
	Aborted          = -32002 // the RPC may have run
	PermissionDenied = -32003 // the access rules forbid this peer the method or customer
)

// Limits are the limits on the clients of one front end.
type Limits struct {
	Connections  int           // connections open at the same time
	OpenRPCs     int           // open RPCs of one connection
	ValueBytes   int           // size of one JSON value
	AnswerBytes  int           // unsent answers of one connection; above this, reading from it pauses
	WriteTimeout time.Duration // a connection whose client reads nothing for this long is closed
}

// Options configure a Server.
type Options struct {
	Limits        Limits
	RewriteAnswer func(value []byte) []byte // replaces each answer before it is sent; nil: answers are sent unchanged
	Allow         access.Rules              // empty: every peer that can open the socket is allowed
	Status        func() []byte             // result of rpc.status, called on the event loop; nil: no such method
	Log           zerolog.Logger
}

// Server accepts clients' connections.
type Server struct {
	opts           Options
	loop           *eventloop.Loop
	dispatcher     *dispatch.Dispatcher
	mu             sync.Mutex
	conns          map[*conn]bool
	acceptDone     chan struct{}  // closed when the main listener accepts no more connections
	extraListeners sync.WaitGroup // counts added listeners that still accept connections

	// used on the event loop's goroutine only
	dirtyConns []*conn // connections with answers queued in this turn of the event loop
}

// New returns a server for a dispatcher that runs on loop.
func New(loop *eventloop.Loop, dispatcher *dispatch.Dispatcher, o Options) *Server {
	return &Server{opts: o, loop: loop, dispatcher: dispatcher, conns: map[*conn]bool{}, acceptDone: make(chan struct{})}
}

// Listen opens a Unix socket at path. A socket left by a dead process is replaced; a socket that a live process serves,
// or a file of another kind, is an error.
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

// Serve accepts connections until the context ends, and then closes the open ones. Drain the dispatcher before that.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	return s.serve(ctx, l, func() { close(s.acceptDone) })
}

// AddListener registers another listener. The returned function accepts its connections until the listener is closed.
func (s *Server) AddListener(ctx context.Context, l net.Listener) func() error {
	s.extraListeners.Add(1)
	return func() error { return s.serve(ctx, l, s.extraListeners.Done) }
}

func (s *Server) serve(ctx context.Context, l net.Listener, acceptEnded func()) error {
	var connGroup errgroup.Group
	stop := context.AfterFunc(ctx, func() {
		l.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.conns {
			c.nc.Close()
		}
	})
	defer stop()
	var acceptErr error
	for {
		nc, err := l.Accept()
		if err != nil {
			if ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
				s.opts.Log.Warn().Err(err).Msg("accept failed")
				if errors.Is(err, os.ErrDeadlineExceeded) || isTemporary(err) {
					time.Sleep(10 * time.Millisecond) // out of file descriptors: other connections may close meanwhile
					continue
				}
				acceptErr = err
			}
			break
		}
		uid, gid, err := peerCredentials(nc)
		var permissions access.Permissions
		if err == nil {
			permissions, err = s.opts.Allow.Authorize(uid, gid)
		}
		if err != nil {
			s.opts.Log.Warn().Err(err).Msg("connection refused: access check failed")
			refuse(nc, PermissionDenied, err.Error())
			continue
		}
		c := newConn(s, nc, admission.PeerID(uid), permissions)
		s.mu.Lock()
		full := len(s.conns) >= s.opts.Limits.Connections
		if !full {
			s.conns[c] = true
		}
		s.mu.Unlock()
		if full {
			s.opts.Log.Warn().Int("connections", s.opts.Limits.Connections).Msg("connection refused: limit of connections reached")
			refuse(nc, Denied, fmt.Sprintf("denied: %d connections are open, no more are taken", s.opts.Limits.Connections))
			continue
		}
		connGroup.Go(func() error { c.serve(ctx); return nil })
		if ctx.Err() != nil { // the context ended before the connection was listed, so it was not closed with the others
			nc.Close()
		}
	}
	acceptEnded()
	_ = connGroup.Wait()
	return acceptErr
}

func isTemporary(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Temporary()
}

// refuse sends the reason why a connection is not accepted, and closes it.
func refuse(nc net.Conn, code int, reason string) {
	_ = nc.SetWriteDeadline(time.Now().Add(time.Second))
	_, _ = nc.Write(append(jsonrpc.AppendError(nil, jsonrpc.NullID, code, reason, nil), '\n'))
	nc.Close()
}

// peerCredentials returns the user and group id that the peer's process had when it connected (SO_PEERCRED).
func peerCredentials(nc net.Conn) (uid, gid int64, err error) {
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

// CloseRead makes clients' further writes fail. What they sent before is still read, so no successful write is lost.
// A connection ends when everything on it is answered. The listeners must be closed before the call; CloseRead first
// waits until none of them accepts connections any more.
func (s *Server) CloseRead() {
	<-s.acceptDone
	s.extraListeners.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.nc.(*net.UnixConn).CloseRead()
	}
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Flush sends the answers of a turn of the event loop. Call it at the end of the turn.
func (s *Server) Flush() {
	for i, c := range s.dirtyConns {
		c.flush()
		s.dirtyConns[i] = nil
	}
	s.dirtyConns = s.dirtyConns[:0]
}

// Flushed reports whether no open connection has answers left to write.
func (s *Server) Flushed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.unsentBytes() > 0 {
			return false
		}
	}
	return true
}

func appendDenied(out []byte, id jsonrpc.ID, message string, retryAfter router.Time) []byte {
	var data []byte
	if retryAfter > 0 {
		data = strconv.AppendInt([]byte(`{"come_back_ms":`), int64(retryAfter+9)/10, 10)
		data = append(data, '}')
	}
	return jsonrpc.AppendError(out, id, Denied, message, data)
}
