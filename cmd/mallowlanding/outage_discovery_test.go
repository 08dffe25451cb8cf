package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// discoveryFault is how a journal service fails.
type discoveryFault int

const (
	discoveryRefuses discoveryFault = iota // nobody listens
	discoverySilent                        // it accepts and says nothing
	discoveryTrickle                       // an answer's head, then a byte at a time
	discoveryErrors                        // it answers with status 500
	discoveryHalf                          // it ends in the middle of each answer
	discoveryStale                         // it answers with an older state than it told
)

// tricklePace is from byte to byte: the shortest answer, that nothing is new, takes longer than a front end waits for one. An
// answer that came whole would prove that nothing was new.
const tricklePace = 200 * time.Millisecond

// discovery is a stand-in for the journal service, on a socket of its own so that it can fail in each way.
type discovery struct {
	t       *testing.T
	address string

	mu     sync.Mutex
	events []any
	more   chan struct{} // closed with each event and with each change of how it fails
	failed bool
	fault  discoveryFault
	l      net.Listener
	conns  map[net.Conn]bool
}

func newDiscovery(t *testing.T) *discovery {
	d := &discovery{t: t, more: make(chan struct{}), conns: map[net.Conn]bool{}}
	d.address = d.listen(loopback())
	t.Cleanup(func() { d.fail(discoveryRefuses) })
	return d
}

// listen takes connections at an address, and tells which one it is.
func (d *discovery) listen(address string) string {
	d.t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		d.t.Error(err)
		return address
	}
	d.l = l
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			d.mu.Lock()
			d.conns[nc] = true
			d.mu.Unlock()
			go d.serve(nc)
		}
	}()
	return l.Addr().String()
}

func (d *discovery) tell(instances []any, whole bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	pos := len(d.events) + 1
	d.events = append(d.events, map[string]any{"pos": pos, "hosts": map[string]any{"generation": pos, "reset": whole, "instances": instances}})
	d.wake()
}

func (d *discovery) wake() {
	close(d.more)
	d.more = make(chan struct{})
}

// first is the list as the fleet started with it.
func (d *discovery) first() []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.text(0, 1)
}

func (d *discovery) text(from, to int) []byte {
	text, err := json.Marshal(map[string]any{"pos": to, "entries": d.events[min(from, to):to]})
	if err != nil {
		d.t.Error(err)
	}
	return text
}

func (d *discovery) fail(fault discoveryFault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failed, d.fault = true, fault
	d.wake()
	if fault == discoveryRefuses {
		d.l.Close()
		for nc := range d.conns {
			nc.Close()
		}
	}
}

func (d *discovery) heal() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failed = false; d.fault == discoveryRefuses {
		d.listen(d.address)
	}
	for nc := range d.conns {
		nc.Close()
	}
	d.wake()
}

func (d *discovery) serve(nc net.Conn) {
	defer func() {
		nc.Close()
		d.mu.Lock()
		delete(d.conns, nc)
		d.mu.Unlock()
	}()
	buf := make([]byte, 4096)
	for {
		n, err := nc.Read(buf)
		if err != nil {
			return
		}
		var tail, wait int
		_, _ = fmt.Sscanf(string(buf[:n]), "GET /journal?tail=%d&max_wait=%d", &tail, &wait)
		if !d.answer(nc, tail, time.Duration(wait)*time.Millisecond) {
			return
		}
	}
}

// answer reports whether the connection may go on.
func (d *discovery) answer(nc net.Conn, tail int, wait time.Duration) bool {
	over := time.After(wait)
	for held := true; held; {
		d.mu.Lock()
		more, nothing := d.more, tail >= len(d.events) && !d.failed
		d.mu.Unlock()
		if held = nothing; held {
			select {
			case <-more:
			case <-over:
				held = false
			}
		}
	}
	d.mu.Lock()
	failed, fault := d.failed, d.fault
	text := d.text(tail, len(d.events))
	if failed && fault == discoveryStale {
		text = d.text(0, 1)
	}
	d.mu.Unlock()
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(text))
	if !failed || fault == discoveryStale {
		_, err := io.WriteString(nc, head+string(text))
		return err == nil
	}
	switch fault {
	case discoveryErrors:
		_, err := io.WriteString(nc, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	case discoveryHalf:
		_, _ = io.WriteString(nc, head+string(text[:len(text)/2]))
		return false
	case discoveryTrickle:
		_, err := io.WriteString(nc, head)
		for i := 0; i < len(text) && err == nil; i++ {
			time.Sleep(tricklePace)
			_, err = nc.Write(text[i : i+1])
		}
		return false
	}
	_, _ = nc.Read(make([]byte, 1)) // it says nothing, until the connection ends
	return false
}
