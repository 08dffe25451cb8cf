// Package thrift is a front end's side towards clients that speak the platform's protocol: Thrift's strict binary
// protocol in frames over TCP, many RPCs open on a connection, answers in any order. It decodes into the desk and
// encodes its one answer; it decides nothing about an RPC's path.
//
// Bytes of one frame are read and written by Apache's library. Framing, bounds and connections are this package's: the
// library's servers answer one message after the other, and wait for as many bytes as a frame claims.
package thrift

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	wire "github.com/apache/thrift/lib/go/thrift"

	"mallowlanding/router"
)

// Bounds of a message. The protocol's bodies have 16 KiB at most.
const (
	bodyMost   = 16 << 10
	fieldsMost = 64               // of one RPC
	frameMost  = bodyMost + 8<<10 // a body, and far more than the fields of an RPC take
)

// what a message asks for.
const (
	callExecute   = "execute"
	callInterrupt = "interrupt"
	callCheck     = "check"
)

var conf = &wire.TConfiguration{MaxMessageSize: frameMost, MaxFrameSize: frameMost, MaxContainerSize: fieldsMost,
	TBinaryStrictRead: wire.BoolPtr(true), TBinaryStrictWrite: wire.BoolPtr(true)}

// peer is told what a frame asked for.
type peer interface {
	execute(seq int32, fields map[string]string, body []byte)
	interrupt(seq int32)
	check(seq int32)
}

// decode reads one frame's message and hands it to p. An error: it can't be read, and p was told nothing.
func decode(frame []byte, p peer) error {
	ctx, buf := context.Background(), bytes.NewBuffer(frame)
	r := wire.NewTBinaryProtocolConf(&wire.TMemoryBuffer{Buffer: buf}, conf)
	name, form, seq, err := r.ReadMessageBegin(ctx)
	if err != nil {
		return fmt.Errorf("head: %w", err)
	}
	if oneWay := name == callInterrupt; form != wire.CALL && !(oneWay && form == wire.ONEWAY) {
		return fmt.Errorf("message type %d of %.40q", form, name)
	}
	var fields map[string]string
	var body []byte
	var number int32
	for {
		_, kind, id, err := r.ReadFieldBegin(ctx)
		if err != nil {
			return fmt.Errorf("field: %w", err)
		}
		if kind == wire.STOP {
			break
		}
		switch {
		case name == callExecute && id == 1 && kind == wire.MAP:
			fields, err = readFields(ctx, r, buf)
		case name == callExecute && id == 2 && kind == wire.STRING:
			body, err = readBytes(ctx, r, buf)
		case name == callInterrupt && id == 1 && kind == wire.I32:
			number, err = r.ReadI32(ctx)
		default:
			err = r.Skip(ctx, kind)
		}
		if err != nil {
			return fmt.Errorf("field %d: %w", id, err)
		}
	}
	if buf.Len() > 0 {
		return fmt.Errorf("%d bytes behind the message", buf.Len())
	}
	switch name {
	case callExecute:
		if fields == nil {
			return errors.New("execute without its fields")
		}
		p.execute(seq, fields, body)
	case callInterrupt:
		p.interrupt(number)
	case callCheck:
		p.check(seq)
	default:
		return fmt.Errorf("no method %.40q", name)
	}
	return nil
}

// readFields reads a map<string,string>. A name that stands twice is an error: which of both would count?
func readFields(ctx context.Context, r wire.TProtocol, buf *bytes.Buffer) (map[string]string, error) {
	key, value, n, err := r.ReadMapBegin(ctx)
	if err != nil {
		return nil, err
	}
	if n > 0 && (key != wire.STRING || value != wire.STRING) {
		return nil, fmt.Errorf("a map of types %d and %d", key, value)
	}
	if n < 0 || n > fieldsMost || n*8 > buf.Len() {
		return nil, fmt.Errorf("a map of %d fields", n)
	}
	fields := make(map[string]string, n)
	for range n {
		k, err := readBytes(ctx, r, buf)
		if err != nil {
			return nil, err
		}
		v, err := readBytes(ctx, r, buf)
		if err != nil {
			return nil, err
		}
		if _, twice := fields[string(k)]; twice {
			return nil, fmt.Errorf("%.40q stands twice", k)
		}
		fields[string(k)] = string(v)
	}
	return fields, nil
}

// readBytes reads a string whose length the frame holds: nothing is made room for that is not there.
func readBytes(ctx context.Context, r wire.TProtocol, buf *bytes.Buffer) ([]byte, error) {
	if head := buf.Bytes(); len(head) >= 4 {
		if n := int32(binary.BigEndian.Uint32(head)); n < 0 || int(n) > len(head)-4 {
			return nil, fmt.Errorf("a string of %d bytes, the frame has %d", n, len(head)-4)
		}
	}
	return r.ReadBinary(ctx)
}

// reply encodes a reply's frame; result writes the field of the result that is set.
func reply(name string, seq int32, form wire.TMessageType, result func(ctx context.Context, w *wire.TBinaryProtocol) error) []byte {
	ctx, buf := context.Background(), wire.NewTMemoryBufferLen(256)
	buf.Write(make([]byte, 4)) // the frame's length
	w := wire.NewTBinaryProtocolConf(buf, conf)
	err := errors.Join(w.WriteMessageBegin(ctx, name, form, seq), result(ctx, w), w.WriteMessageEnd(ctx))
	if err != nil { // a buffer in memory takes all
		panic(fmt.Sprintf("thrift: encode %s: %v", name, err))
	}
	frame := buf.Bytes()
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-4))
	return frame
}

func writeMap(ctx context.Context, w *wire.TBinaryProtocol, id int16, pairs ...string) error {
	err := errors.Join(w.WriteFieldBegin(ctx, "fields", wire.MAP, id),
		w.WriteMapBegin(ctx, wire.STRING, wire.STRING, len(pairs)/2))
	for _, s := range pairs {
		err = errors.Join(err, w.WriteString(ctx, s))
	}
	return err
}

// answered encodes an Answer.
func answered(name string, seq int32, body []byte, good bool) []byte {
	return reply(name, seq, wire.REPLY, func(ctx context.Context, w *wire.TBinaryProtocol) error {
		return errors.Join(w.WriteFieldBegin(ctx, "success", wire.STRUCT, 0),
			w.WriteFieldBegin(ctx, "body", wire.STRING, 1), w.WriteBinary(ctx, body), writeMap(ctx, w, 2),
			w.WriteFieldBegin(ctx, "good", wire.BOOL, 3), w.WriteBool(ctx, good),
			w.WriteFieldStop(ctx), w.WriteFieldStop(ctx))
	})
}

// refused encodes a Shed: trying again is harmless. Come back 0: no advice when.
func refused(seq int32, comeBack router.Time) []byte {
	return reply(callExecute, seq, wire.REPLY, func(ctx context.Context, w *wire.TBinaryProtocol) error {
		var pairs []string
		if comeBack > 0 {
			pairs = []string{"backoff", strconv.FormatInt(int64(comeBack+9)/10, 10)}
		}
		return errors.Join(w.WriteFieldBegin(ctx, "refused", wire.STRUCT, 1), writeMap(ctx, w, 1, pairs...),
			w.WriteFieldStop(ctx), w.WriteFieldStop(ctx))
	})
}

// failed encodes a Fault.
func failed(seq int32, cause string) []byte {
	return reply(callExecute, seq, wire.REPLY, func(ctx context.Context, w *wire.TBinaryProtocol) error {
		return errors.Join(w.WriteFieldBegin(ctx, "failed", wire.STRUCT, 2), writeMap(ctx, w, 1, "cause", cause),
			w.WriteFieldStop(ctx), w.WriteFieldStop(ctx))
	})
}

// hex tells whether s is n hex digits in lower case.
func hex(s string, n int) bool {
	return len(s) == n && strings.Trim(s, "0123456789abcdef") == ""
}

// visible tells whether s is of 1 to most visible ASCII characters: it can stand in a head of HTTP.
func visible(s string, most int) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return len(s) > 0 && len(s) <= most
}

// figure reads a figure that lies above 0 and up to most.
func figure(s string, most float64) (float64, error) {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || len(s) > 24 || math.IsNaN(v) || v <= 0 || v > most {
		return 0, fmt.Errorf("%.24q is no figure up to %g", s, most)
	}
	return v, nil
}

// Bounds of an RPC's figures: a client that tells more is not a usual one.
const (
	budgetMost = 600_000 // ms
	lanesMost  = 1024
)
