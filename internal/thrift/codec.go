// Package thrift serves clients that speak the platform's protocol: Thrift's strict binary protocol in frames over TCP,
// with many open RPCs on a connection and answers in any order. It decodes RPCs for the dispatcher and encodes the one
// answer to each; it does not route RPCs.
//
// Apache's library encodes and decodes the content of a frame. This package implements framing, limits and connections
// itself, because the library's servers answer messages one after the other, and wait for as many bytes as a frame's
// header claims.
package thrift

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"

	wire "github.com/apache/thrift/lib/go/thrift"

	"mallowlanding/router"
)

// Limits of a message. The protocol limits bodies to 16 KiB.
const (
	maxBody   = 16 << 10
	maxFields = 64              // of one RPC
	maxFrame  = maxBody + 8<<10 // a body, and far more than an RPC's fields need

	lengthBytes        = 4  // of the length of a frame or a string
	executeHeaderBytes = 32 // of a frame, at most, that tell the sequence number of an execute message
)

// Methods of the protocol.
const (
	methodExecute   = "execute"
	methodInterrupt = "interrupt"
	methodCheck     = "check"
)

var protocolConfig = &wire.TConfiguration{MaxMessageSize: maxFrame, MaxFrameSize: maxFrame, MaxContainerSize: maxFields,
	TBinaryStrictRead: wire.BoolPtr(true), TBinaryStrictWrite: wire.BoolPtr(true)}

// requestHandler handles the message decoded from a frame.
type requestHandler interface {
	execute(seq int32, fields map[string]string, body []byte)
	interrupt(seq int32)
	check(seq int32)
}

// decode decodes the message in a frame and passes it to the handler. If it returns an error, the message is malformed
// and the handler has not been called.
func decode(frame []byte, handler requestHandler) error {
	ctx, buf := context.Background(), bytes.NewBuffer(frame)
	r := wire.NewTBinaryProtocolConf(&wire.TMemoryBuffer{Buffer: buf}, protocolConfig)
	name, msgType, seq, err := r.ReadMessageBegin(ctx)
	if err != nil {
		return fmt.Errorf("message header: %w", err)
	}
	if oneWay := name == methodInterrupt; msgType != wire.CALL && !(oneWay && msgType == wire.ONEWAY) {
		return fmt.Errorf("message type %d of %.40q", msgType, name)
	}
	var fields map[string]string
	var body []byte
	var interruptSeq int32
	for fieldCount := 0; ; fieldCount++ {
		_, fieldType, fieldID, err := r.ReadFieldBegin(ctx)
		if err != nil {
			return fmt.Errorf("field: %w", err)
		}
		if fieldType == wire.STOP {
			break
		}
		if fieldCount >= maxFields {
			return fmt.Errorf("more than %d fields", maxFields)
		}
		switch {
		case name == methodExecute && fieldID == 1 && fieldType == wire.MAP:
			fields, err = readFields(ctx, r, buf)
		case name == methodExecute && fieldID == 2 && fieldType == wire.STRING:
			body, err = readBytes(buf)
		case name == methodInterrupt && fieldID == 1 && fieldType == wire.I32:
			interruptSeq, err = r.ReadI32(ctx)
		default:
			err = r.Skip(ctx, fieldType)
		}
		if err != nil {
			return fmt.Errorf("field %d: %w", fieldID, err)
		}
	}
	if buf.Len() > 0 {
		return fmt.Errorf("%d bytes after the message", buf.Len())
	}
	switch name {
	case methodExecute:
		if fields == nil {
			return errors.New("execute without fields")
		}
		handler.execute(seq, fields, body)
	case methodInterrupt:
		handler.interrupt(interruptSeq)
	case methodCheck:
		handler.check(seq)
	default:
		return fmt.Errorf("no method %.40q", name)
	}
	return nil
}

// readFields reads a map<string,string>. A name that occurs twice is an error, since its value would be ambiguous.
func readFields(ctx context.Context, r wire.TProtocol, buf *bytes.Buffer) (map[string]string, error) {
	keyType, valueType, n, err := r.ReadMapBegin(ctx)
	if err != nil {
		return nil, err
	}
	if n > 0 && (keyType != wire.STRING || valueType != wire.STRING) {
		return nil, fmt.Errorf("map of types %d and %d, want strings", keyType, valueType)
	}
	if n < 0 || n > maxFields || n*8 > buf.Len() {
		return nil, fmt.Errorf("map of %d fields does not fit the limit or the frame", n)
	}
	fields := make(map[string]string, n)
	for range n {
		k, err := readBytes(buf)
		if err != nil {
			return nil, err
		}
		v, err := readBytes(buf)
		if err != nil {
			return nil, err
		}
		if _, duplicate := fields[string(k)]; duplicate {
			return nil, fmt.Errorf("field %.40q occurs twice", k)
		}
		fields[string(k)] = string(v)
	}
	return fields, nil
}

// readBytes reads a string without copying it: it is a part of the frame. Its length is checked against the rest of the
// frame first.
func readBytes(buf *bytes.Buffer) ([]byte, error) {
	rest := buf.Bytes()
	if len(rest) < lengthBytes {
		return nil, io.ErrUnexpectedEOF
	}
	n := int32(binary.BigEndian.Uint32(rest))
	if n < 0 || int(n) > len(rest)-lengthBytes {
		return nil, fmt.Errorf("string of %d bytes, the frame has %d left", n, len(rest)-lengthBytes)
	}
	return buf.Next(lengthBytes + int(n))[lengthBytes:], nil
}

// readExecuteHeader returns the sequence number of an execute message from the first bytes of its frame. It returns an
// error if they begin another message.
func readExecuteHeader(start []byte) (seq int32, err error) {
	ctx := context.Background()
	r := wire.NewTBinaryProtocolConf(&wire.TMemoryBuffer{Buffer: bytes.NewBuffer(start)}, protocolConfig)
	name, msgType, seq, err := r.ReadMessageBegin(ctx)
	if err == nil && (name != methodExecute || msgType != wire.CALL) {
		err = fmt.Errorf("message type %d of %.40q", msgType, name)
	}
	return seq, err
}

// encodeReply encodes a frame with a reply; writeResult writes the field of the result that is set.
func encodeReply(name string, seq int32, msgType wire.TMessageType, writeResult func(ctx context.Context, w *wire.TBinaryProtocol) error) []byte {
	ctx, buf := context.Background(), wire.NewTMemoryBufferLen(256)
	buf.Write(make([]byte, 4)) // room for the frame's length
	w := wire.NewTBinaryProtocolConf(buf, protocolConfig)
	err := errors.Join(w.WriteMessageBegin(ctx, name, msgType, seq), writeResult(ctx, w), w.WriteMessageEnd(ctx))
	if err != nil { // writing to memory can't fail
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

// encodeAnswer encodes a reply with an Answer: a body, and whether it is good.
func encodeAnswer(name string, seq int32, body []byte, good bool) []byte {
	return encodeReply(name, seq, wire.REPLY, func(ctx context.Context, w *wire.TBinaryProtocol) error {
		return errors.Join(w.WriteFieldBegin(ctx, "success", wire.STRUCT, 0),
			w.WriteFieldBegin(ctx, "body", wire.STRING, 1), w.WriteBinary(ctx, body), writeMap(ctx, w, 2),
			w.WriteFieldBegin(ctx, "good", wire.BOOL, 3), w.WriteBool(ctx, good),
			w.WriteFieldStop(ctx), w.WriteFieldStop(ctx))
	})
}

// encodeShed encodes a reply with a Shed: the RPC is denied, a retry is harmless. A retryAfter of 0 gives no advice
// when to retry.
func encodeShed(seq int32, retryAfter router.Time) []byte {
	return encodeReply(methodExecute, seq, wire.REPLY, func(ctx context.Context, w *wire.TBinaryProtocol) error {
		var pairs []string
		if retryAfter > 0 {
			pairs = []string{"backoff", strconv.FormatInt(int64(retryAfter+9)/10, 10)}
		}
		return errors.Join(w.WriteFieldBegin(ctx, "refused", wire.STRUCT, 1), writeMap(ctx, w, 1, pairs...),
			w.WriteFieldStop(ctx), w.WriteFieldStop(ctx))
	})
}

// encodeFault encodes a reply with a Fault: the RPC is aborted.
func encodeFault(seq int32, cause string) []byte {
	return encodeReply(methodExecute, seq, wire.REPLY, func(ctx context.Context, w *wire.TBinaryProtocol) error {
		return errors.Join(w.WriteFieldBegin(ctx, "failed", wire.STRUCT, 2), writeMap(ctx, w, 1, "cause", cause),
			w.WriteFieldStop(ctx), w.WriteFieldStop(ctx))
	})
}

// isHex reports whether s consists of n lower-case hexadecimal digits.
func isHex(s string, n int) bool {
	return len(s) == n && strings.Trim(s, "0123456789abcdef") == ""
}

// isVisibleASCII reports whether s consists of 1 to maxLen visible ASCII characters, so that it can be sent in an HTTP
// header.
func isVisibleASCII(s string, maxLen int) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return len(s) > 0 && len(s) <= maxLen
}

// parseNumber parses a number greater than 0 and at most limit.
func parseNumber(s string, limit float64) (float64, error) {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || len(s) > 24 || math.IsNaN(v) || v <= 0 || v > limit {
		return 0, fmt.Errorf("%.24q is no figure up to %g", s, limit)
	}
	return v, nil
}

// Limits of the numbers in an RPC's fields, far above those that ordinary clients send.
const (
	maxBudgetMs = 600_000
	maxLanes    = 1024
)
