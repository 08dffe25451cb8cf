package main

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
)

// Types of the Thrift binary protocol.
const (
	thriftCall   = 1
	thriftReply  = 2
	thriftOneWay = 4
	thriftBool   = 2
	thriftI32    = 8
	thriftString = 11
	thriftMap    = 13
)

// overloadFunction formats the id of a function.
func overloadFunction(number uint64) string { return fmt.Sprintf("%016x", number) }

// executeRequest is an RPC as a client of the overload tests sends it.
type executeRequest struct {
	seq        int32
	method     string
	rpcID      uint64
	function   uint64
	budgetMS   int
	customer   string
	bodyLength int
}

// appendExecute appends the frame of an RPC. It does not use the Thrift library, which is too slow for a flood.
func appendExecute(b []byte, r executeRequest) []byte {
	start := len(b)
	b = appendMessageHeader(b, thriftCall, "execute", r.seq)
	fields := []string{"method", r.method, "rid", overloadFunction(r.rpcID), "budget", fmt.Sprint(r.budgetMS), "acct", r.customer,
		"obj", overloadFunction(r.function), "facts", "memory_mb:100;lanes:4"}
	if r.method == "book" {
		fields = append(fields, "token", overloadFunction(r.rpcID))
	}
	b = append(b, thriftMap, 0, 1, thriftString, thriftString)
	b = binary.BigEndian.AppendUint32(b, uint32(len(fields)/2))
	for _, s := range fields {
		b = appendString(b, s)
	}
	if r.bodyLength > 0 {
		b = append(b, thriftString, 0, 2)
		b = binary.BigEndian.AppendUint32(b, uint32(r.bodyLength))
		b = append(b, make([]byte, r.bodyLength)...)
	}
	return endMessage(b, start)
}

// appendInterrupt appends the frame that takes back an RPC.
func appendInterrupt(b []byte, seq int32) []byte {
	start := len(b)
	b = appendMessageHeader(b, thriftOneWay, "interrupt", 0)
	b = binary.BigEndian.AppendUint32(append(b, thriftI32, 0, 1), uint32(seq))
	return endMessage(b, start)
}

// appendCheck appends the frame of a readiness check, with further fields that the server skips.
func appendCheck(b []byte, method string, seq int32, extraFields int) []byte {
	start := len(b)
	b = appendMessageHeader(b, thriftCall, method, seq)
	for i := range extraFields + 1 {
		b = append(binary.BigEndian.AppendUint16(append(b, thriftBool), uint16(i+1)), 0)
	}
	return endMessage(b, start)
}

func appendMessageHeader(b []byte, messageType byte, method string, seq int32) []byte {
	b = append(b, 0, 0, 0, 0, 0x80, 1, 0, messageType)
	return binary.BigEndian.AppendUint32(appendString(b, method), uint32(seq))
}

func appendString(b []byte, s string) []byte {
	return append(binary.BigEndian.AppendUint32(b, uint32(len(s))), s...)
}

// endMessage ends the message that begins at start and sets its length.
func endMessage(b []byte, start int) []byte {
	b = append(b, 0)
	binary.BigEndian.PutUint32(b[start:], uint32(len(b)-start-4))
	return b
}

// overloadAnswer is the kind of an answer.
type overloadAnswer int

const (
	answeredOK overloadAnswer = iota
	answeredDenied
	answeredAborted
)

// readAnswer reads the next answer of a connection.
func readAnswer(r io.Reader) (seq int32, kind overloadAnswer, err error) {
	var length uint32
	if err := binary.Read(r, binary.BigEndian, &length); err != nil {
		return 0, 0, err
	}
	text := make([]byte, length)
	if _, err := io.ReadFull(r, text); err != nil {
		return 0, 0, err
	}
	const afterName = 8
	if len(text) < afterName || len(text) < afterName+int(binary.BigEndian.Uint32(text[4:]))+7 {
		return 0, 0, errors.New("answer is too short")
	}
	rest := text[afterName+int(binary.BigEndian.Uint32(text[4:])):]
	seq, kind = int32(binary.BigEndian.Uint32(rest)), overloadAnswer(binary.BigEndian.Uint16(rest[5:]))
	if text[3] != thriftReply || kind > answeredAborted {
		return 0, 0, fmt.Errorf("answer of type %d, field %d", text[3], kind)
	}
	return seq, kind, nil
}

// discardAnswers reads a connection until it ends.
func discardAnswers(nc net.Conn) { _, _ = io.Copy(io.Discard, nc) }
