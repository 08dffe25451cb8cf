package main

import (
	"bytes"
	"net"
	"time"
)

// Sizes of the floods.
const (
	floodBatch         = 64 // messages in one write
	floodBurst         = 300
	floodBody          = 16 << 10
	floodDialPause     = time.Millisecond // after a refused connection
	maxSkippedFields   = 6000
	openRPCsOfProtocol = 32 // that a client may have on one connection
)

// flood is one kind of client that takes too much: a number of connections on which it acts at full speed.
type flood struct {
	name        string
	connections int
	reading     floodReading
	run         func(f *overloadFleet, nc net.Conn)
}

// floodReading says who reads the answers on a flood's connections.
type floodReading int

const (
	readsBeside floodReading = iota // a goroutine, beside run
	readsItself                     // run
	readsNever
)

// floods returns all kinds of clients that take too much.
func floods() []flood {
	third := overloadSockets/3 - 2*overloadUsualClients // of the descriptors, which the protocol leaves to clients
	return []flood{
		{name: "checks", connections: 6, run: repeatBatch(func(_ *overloadFleet, b []byte, seq int32) []byte {
			return appendCheck(b, "check", seq, 0)
		})},
		{name: "interrupted RPCs under new names", connections: 8, run: interruptedRPCs},
		{name: "interrupts of nothing", connections: 8, run: repeatBatch(func(_ *overloadFleet, b []byte, seq int32) []byte {
			return appendInterrupt(b, seq)
		})},
		{name: "rejected RPCs", connections: 8, run: repeatBatch(func(f *overloadFleet, b []byte, seq int32) []byte {
			return appendExecute(b, executeRequest{seq: seq, method: "query", rpcID: f.newID(), function: 1, budgetMS: 680, customer: "nobody"})
		})},
		{name: "one id again and again", connections: 8, run: repeatBatch(func(_ *overloadFleet, b []byte, seq int32) []byte {
			return appendExecute(b, executeRequest{seq: seq, method: "query", rpcID: 7, function: 1, budgetMS: 680, customer: "acme"})
		})},
		{name: "unknown methods", connections: 8, run: repeatBatch(func(_ *overloadFleet, b []byte, seq int32) []byte {
			return appendCheck(b, "nothing", seq, 0)
		})},
		{name: "messages of very many fields", connections: 8, run: repeatBatch(func(_ *overloadFleet, b []byte, seq int32) []byte {
			return appendCheck(b, "check", seq, maxSkippedFields)
		})},
		{name: "answers left unread", connections: 24, reading: readsNever, run: repeatBatch(func(_ *overloadFleet, b []byte, seq int32) []byte {
			return appendCheck(b, "check", seq, 0)
		})},
		{name: "RPCs under new names, awaited", connections: 8, reading: readsItself, run: awaitedRPCs},
		{name: "RPCs under new names, interrupted once they run", connections: 8, run: interruptRunningRPCs},
		{name: "new connections closed at once", connections: 16, run: func(*overloadFleet, net.Conn) {}},
		{name: "silent connections", connections: 400, reading: readsItself, run: awaitClose},
		{name: "halves of large RPCs", connections: third, reading: readsItself, run: halfRPC},
		{name: "slowly written large RPCs", connections: third, run: slowRPC},
		{name: "bursts of large RPCs", connections: third, run: burst},
		{name: "RPCs left unread by a closing client", connections: 8, run: sendAndLeave},
	}
}

// repeatBatch writes batches of messages for as long as the connection lasts.
func repeatBatch(appendMessage func(f *overloadFleet, b []byte, seq int32) []byte) func(f *overloadFleet, nc net.Conn) {
	return func(f *overloadFleet, nc net.Conn) {
		var b []byte
		for seq := int32(1); ; {
			b = b[:0]
			for range floodBatch {
				b = appendMessage(f, b, seq)
				seq++
			}
			if _, err := nc.Write(b); err != nil {
				return
			}
		}
	}
}

// interruptedRPCs takes back each RPC, for a function of its own, in the message after it.
func interruptedRPCs(f *overloadFleet, nc net.Conn) {
	var b []byte
	var ids []uint64
	for seq := int32(1); ; {
		b, ids = b[:0], ids[:0]
		for range floodBatch {
			id := f.newID()
			b = appendExecute(b, executeRequest{seq: seq, method: "query", rpcID: id, function: id, budgetMS: 680, customer: "acme"})
			b, ids = appendInterrupt(b, seq), append(ids, id)
			seq++
		}
		_, err := nc.Write(b)
		f.markGone(ids)
		if err != nil {
			return
		}
	}
}

// awaitedRPCs has as many RPCs open as the protocol allows, each for a function of its own.
func awaitedRPCs(f *overloadFleet, nc net.Conn) {
	for seq := int32(1); ; {
		var b []byte
		for range openRPCsOfProtocol {
			id := f.newID()
			b = appendExecute(b, executeRequest{seq: seq, method: "query", rpcID: id, function: id, budgetMS: 680, customer: "acme"})
			seq++
		}
		if _, err := nc.Write(b); err != nil {
			return
		}
		for range openRPCsOfProtocol {
			if _, _, err := readAnswer(nc); err != nil {
				return
			}
		}
	}
}

// interruptRunningRPCs has as many RPCs open as the protocol allows, and takes them back when they have begun.
func interruptRunningRPCs(f *overloadFleet, nc net.Conn) {
	const runningAfter = 4 * time.Millisecond
	for seq := int32(1); ; {
		var begin, end []byte
		var ids []uint64
		for range openRPCsOfProtocol {
			id := f.newID()
			begin = appendExecute(begin, executeRequest{seq: seq, method: "query", rpcID: id, function: id, budgetMS: 680, customer: "acme"})
			end, ids = appendInterrupt(end, seq), append(ids, id)
			seq++
		}
		if _, err := nc.Write(begin); err != nil || !f.sleep(runningAfter) {
			return
		}
		_, err := nc.Write(end)
		f.markGone(ids)
		if err != nil {
			return
		}
	}
}

func awaitClose(_ *overloadFleet, nc net.Conn) { discardAnswers(nc) }

// largeRPC returns the frame of an RPC with the largest body.
func largeRPC(f *overloadFleet, seq int32) []byte {
	return appendExecute(nil, executeRequest{seq: seq, method: "query", rpcID: f.newID(), function: 1, budgetMS: 680, customer: "acme",
		bodyLength: floodBody})
}

func halfRPC(f *overloadFleet, nc net.Conn) {
	message := largeRPC(f, 1)
	if _, err := nc.Write(message[:len(message)-1]); err == nil {
		discardAnswers(nc)
	}
}

func slowRPC(f *overloadFleet, nc net.Conn) {
	const piece = 256
	for seq := int32(1); ; seq++ {
		message := largeRPC(f, seq)
		for len(message) > 0 {
			n, err := nc.Write(message[:min(piece, len(message))])
			if err != nil || !f.sleep(10*time.Millisecond) {
				return
			}
			message = message[n:]
		}
	}
}

func burst(f *overloadFleet, nc net.Conn) {
	body := make([]byte, floodBody+1) // with the end of the message
	var all net.Buffers
	for seq := range int32(floodBurst) {
		message := largeRPC(f, seq+1)
		all = append(all, bytes.Clone(message[:len(message)-len(body)]), body)
	}
	if _, err := all.WriteTo(nc); err == nil {
		f.sleep(300 * time.Millisecond)
	}
}

// sendAndLeave closes the connection as soon as it has written as many RPCs as the protocol allows.
func sendAndLeave(f *overloadFleet, nc net.Conn) {
	var b []byte
	var ids []uint64
	for seq := range int32(openRPCsOfProtocol - 2) {
		id := f.newID()
		b = appendExecute(b, executeRequest{seq: seq + 1, method: "query", rpcID: id, function: id, budgetMS: 680, customer: "acme"})
		ids = append(ids, id)
	}
	_, _ = nc.Write(b)
	nc.Close()
	f.markGone(ids)
}

// startFlood runs a flood until its returned function is called, which waits for its end.
func (f *overloadFleet) startFlood(kind flood) (stop func()) {
	stopped := make(chan struct{})
	ended := make(chan struct{}, kind.connections)
	for range kind.connections {
		go func() {
			defer func() { ended <- struct{}{} }()
			for f.floodOnce(kind, stopped) {
			}
		}()
	}
	return func() {
		close(stopped)
		for range kind.connections {
			<-ended
		}
	}
}

// floodOnce floods on one connection. It returns false once the flood has stopped.
func (f *overloadFleet) floodOnce(kind flood, stopped <-chan struct{}) bool {
	select {
	case <-stopped:
		return false
	default:
	}
	nc, err := net.Dial("tcp", f.address)
	if err != nil {
		return f.sleep(floodDialPause)
	}
	returned := make(chan struct{})
	go func() {
		defer close(returned)
		kind.run(f, nc)
		nc.Close()
	}()
	if kind.reading == readsBeside {
		go discardAnswers(nc)
	}
	select {
	case <-stopped:
	case <-returned:
	}
	nc.Close()
	<-returned
	return true
}
