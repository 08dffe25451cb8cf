package workerlink

import (
	"bytes"
	"context"
	"encoding/base64"
	"fmt"
	"net"
	"time"

	"github.com/go-json-experiment/json/jsontext"

	"mallowlanding/internal/frames"
	"mallowlanding/internal/jsonrpc"
	"mallowlanding/internal/outbound"
)

// ProtocolVersion is the version of the protocol that a worker must state in client.ready.
const ProtocolVersion = 1

// run keeps the link connected until its context ends.
func (l *Link) run() {
	pause := l.set.opts.RedialMin
	for l.ctx.Err() == nil {
		ready, err := l.connect()
		if l.ctx.Err() != nil {
			break
		}
		if ready {
			pause = l.set.opts.RedialMin
			l.set.opts.Log.Info().Str("worker", l.name).AnErr("cause", err).Msg("connection to worker lost")
		} else if pause == l.set.opts.RedialMin {
			l.set.opts.Log.Info().Str("worker", l.name).AnErr("cause", err).Msg("cannot connect to worker")
		}
		select {
		case <-l.ctx.Done():
		case <-time.After(pause):
		}
		if pause = min(2*pause, l.set.opts.RedialMax); ready {
			pause = l.set.opts.RedialMin
		}
	}
}

// connect opens a connection and reads from it to its end. ready reports whether the worker became ready on it.
func (l *Link) connect() (ready bool, err error) {
	conn, err := (&net.Dialer{Timeout: l.set.connectTime()}).DialContext(l.ctx, "unix", l.socket)
	if err != nil {
		return false, err
	}
	stop := context.AfterFunc(l.ctx, func() { conn.Close() })
	defer stop()
	defer conn.Close()
	if err := conn.SetReadDeadline(time.Now().Add(l.set.connectTime())); err != nil {
		return false, err
	}
	h := &connHandler{link: l, conn: conn}
	h.read(jsonrpc.NewReader(conn, l.set.opts.ValueBytes))
	conn.Close()
	if h.ready {
		l.set.loop.Post(func() { l.connectionLost(h.err) })
	}
	return h.ready, h.err
}

// workerReady starts using a connection whose worker is ready, and sends the queued requests. It runs in a turn of the
// event loop.
func (l *Link) workerReady(conn net.Conn, binary, batches bool) {
	out := l.out
	if err := out.attach(l.ctx, conn, appendGreeting(nil, binary, l.set.opts.FrontEnd), binary, batches); err != nil {
		conn.Close() // the reader then ends the connection
		return
	}
	l.set.group.Go(func() error { out.run(); return nil })
	l.flushLater()
}

// connHandler handles the messages that arrive on one connection.
type connHandler struct {
	jsonrpc.IgnoreBatches
	link   *Link
	conn   net.Conn
	ready  bool
	binary bool
	err    error // why the connection ends
}

// read handles messages until the connection ends.
func (h *connHandler) read(r *jsonrpc.Reader) {
	var dec jsonrpc.Decoder
	for h.err == nil {
		if h.binary {
			if err := frames.Read(r.Remaining(), h.link.set.opts.ValueBytes, h); err != nil {
				h.err = err
			}
			continue
		}
		value, err := r.Next()
		if err != nil {
			h.err = err
			return
		}
		dec.Decode(value, h)
	}
}

// HandleInvalid implements jsonrpc.Handler. It ends the connection, since nothing after a malformed message can be
// trusted.
func (h *connHandler) HandleInvalid(_ jsonrpc.ID, _ int, message string) {
	h.err = fmt.Errorf("nonsense from worker %s: %s", h.link.name, message)
}

// HandleRequest implements jsonrpc.Handler.
func (h *connHandler) HandleRequest(_ jsonrpc.ID, method string, params []byte) {
	switch method {
	case "client.ready":
		h.handleReady(params)
	case "client.codec": // the worker sends frames from here on
		h.binary = h.ready
	case "client.fail":
		h.err = fmt.Errorf("worker %s gives up: %.200s", h.link.name, params)
	}
}

// handleReady handles client.ready, the first message of a worker.
func (h *connHandler) handleReady(params []byte) {
	l := h.link
	workerName, version, offersFrames, batches := "", 0.0, false, false
	if len(params) > 0 && params[0] == '{' {
		_ = jsonrpc.ForEachMember(params, func(name []byte, v jsontext.Value) error {
			switch string(name) {
			case "worker":
				workerName, _ = jsonrpc.ParseString(v)
			case "protocol":
				version, _ = jsonrpc.ParseNumber(v)
			case "batches":
				batches = v.Kind() == 't'
			case "codecs":
				offersFrames = bytes.Contains(v, []byte(`"`+frames.CodecName+`"`))
			}
			return nil
		})
	}
	switch {
	case workerName != l.name:
		h.err = fmt.Errorf("worker %.80q answers where %q should", workerName, l.name)
	case version != ProtocolVersion:
		h.err = fmt.Errorf("worker %s speaks protocol %v, not %d", l.name, version, ProtocolVersion)
	case h.ready:
		h.err = fmt.Errorf("worker %s was ready before", l.name)
	default:
		h.ready = true
		h.err = h.conn.SetReadDeadline(time.Time{})
		l.set.loop.Post(func() { l.workerReady(h.conn, offersFrames, batches) })
	}
}

// HandleResponse implements jsonrpc.Handler.
func (h *connHandler) HandleResponse(id jsonrpc.ID, result []byte, code int, message string, data []byte) {
	var blob []byte
	if text, ok := jsonrpc.ParseString(jsonrpc.Member(result, "blob")); ok {
		var err error
		if blob, err = base64.StdEncoding.DecodeString(text); err != nil {
			h.err = fmt.Errorf("worker %s: blob: %w", h.link.name, err)
			return
		}
	}
	h.HandleResponseBlob(id, result, code, message, data, blob)
}

// HandleRequestBlob implements frames.Handler.
func (h *connHandler) HandleRequestBlob(id []byte, method string, params, _ []byte) {
	h.HandleRequest(id, method, params)
}

// HandleResponseBlob implements frames.Handler.
func (h *connHandler) HandleResponseBlob(id []byte, result []byte, code int, message string, data, blob []byte) {
	l, key := h.link, string(id)
	resp := response{code: code, message: message, blob: blob}
	resp.decode(result)
	resp.decode(data)
	l.set.loop.Post(func() { l.handleResponse(key, resp) })
}

// handleResponse ends a request that the worker has answered. A response to a request that has not been sent whole is
// passed over like one to an unknown request. It runs in a turn of the event loop.
func (l *Link) handleResponse(key string, resp response) {
	req := l.inFlight[key]
	if req == nil || l.out.state(key) != outbound.Sent {
		l.set.opts.Log.Debug().Str("worker", l.name).Str("id", key).Msg("response to a request that is not in flight")
		return
	}
	delete(l.inFlight, key)
	req.onResponse(resp)
	l.closeIfIdle()
}
