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

// discoveryFault is a way in which the journal service fails.
type discoveryFault int

const (
	discoveryRefuses   discoveryFault = iota // connections are refused
	discoveryHangs                           // requests get no response
	discoveryTrickles                        // the header of a response, then its body byte by byte
	discoveryFails                           // every response has status 500
	discoveryTruncates                       // the connection closes in the middle of each response
	discoveryIsStale                         // responses hold an older state than earlier ones
)

// trickleInterval is the time between two bytes. At this pace even the shortest response, that nothing is new, takes
// longer than a front end waits for it; a full response would confirm the worker list.
const trickleInterval = 200 * time.Millisecond

// discovery is a stand-in for the journal service. It handles its connections itself, so that it can fail in every way.
type discovery struct {
	t       *testing.T
	address string

	mu       sync.Mutex
	events   []any
	changed  chan struct{} // closed and replaced at each event and each start or end of a fault
	faulty   bool
	fault    discoveryFault
	listener net.Listener
	conns    map[net.Conn]bool
}

func newDiscovery(t *testing.T) *discovery {
	d := &discovery{t: t, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	d.address = d.listen(loopbackAddress())
	t.Cleanup(func() { d.startFault(discoveryRefuses) })
	return d
}

// listen accepts connections at an address and returns the address with its port.
func (d *discovery) listen(address string) string {
	d.t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		d.t.Error(err)
		return address
	}
	d.listener = listener
	go func() {
		for {
			nc, err := listener.Accept()
			if err != nil {
				return
			}
			d.mu.Lock()
			d.conns[nc] = true
			d.mu.Unlock()
			go d.serve(nc)
		}
	}()
	return listener.Addr().String()
}

// publish appends an event with these instances; reset: the event replaces the full worker list.
func (d *discovery) publish(instances []any, reset bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	pos := len(d.events) + 1
	d.events = append(d.events, map[string]any{"pos": pos, "hosts": map[string]any{"generation": pos, "reset": reset, "instances": instances}})
	d.notify()
}

// notify wakes up the requests that wait for a change. The caller holds mu.
func (d *discovery) notify() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// initialEvents returns the worker list at the start of the fleet, in the form of a response.
func (d *discovery) initialEvents() []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.eventsJSON(0, 1)
}

// eventsJSON returns the response with the events after position from, up to position to. The caller holds mu.
func (d *discovery) eventsJSON(from, to int) []byte {
	text, err := json.Marshal(map[string]any{"pos": to, "entries": d.events[min(from, to):to]})
	if err != nil {
		d.t.Error(err)
	}
	return text
}

func (d *discovery) startFault(fault discoveryFault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faulty, d.fault = true, fault
	d.notify()
	if fault == discoveryRefuses {
		d.listener.Close()
		for nc := range d.conns {
			nc.Close()
		}
	}
}

func (d *discovery) endFault() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.faulty = false; d.fault == discoveryRefuses {
		d.listen(d.address)
	}
	for nc := range d.conns {
		nc.Close()
	}
	d.notify()
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
		if !d.respond(nc, tail, time.Duration(wait)*time.Millisecond) {
			return
		}
	}
}

// respond answers one request, with up to wait for an event after position tail. It reports whether the connection
// stays open.
func (d *discovery) respond(nc net.Conn, tail int, wait time.Duration) bool {
	timeout := time.After(wait)
	for waiting := true; waiting; {
		d.mu.Lock()
		changed, upToDate := d.changed, tail >= len(d.events) && !d.faulty
		d.mu.Unlock()
		if waiting = upToDate; waiting {
			select {
			case <-changed:
			case <-timeout:
				waiting = false
			}
		}
	}
	d.mu.Lock()
	faulty, fault := d.faulty, d.fault
	body := d.eventsJSON(tail, len(d.events))
	if faulty && fault == discoveryIsStale {
		body = d.eventsJSON(0, 1)
	}
	d.mu.Unlock()
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
	if !faulty || fault == discoveryIsStale {
		_, err := io.WriteString(nc, head+string(body))
		return err == nil
	}
	switch fault {
	case discoveryFails:
		_, err := io.WriteString(nc, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	case discoveryTruncates:
		_, _ = io.WriteString(nc, head+string(body[:len(body)/2]))
		return false
	case discoveryTrickles:
		_, err := io.WriteString(nc, head)
		for i := 0; i < len(body) && err == nil; i++ {
			time.Sleep(trickleInterval)
			_, err = nc.Write(body[i : i+1])
		}
		return false
	}
	_, _ = nc.Read(make([]byte, 1)) // no response: block until the connection is closed
	return false
}
