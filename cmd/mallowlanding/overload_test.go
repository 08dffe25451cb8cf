package main

import (
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Targets of the overload tests.
const (
	minServedInTime = 0.95 // share of the usual RPCs
	maxMemoryShare  = 0.8  // of the memory limit
)

// Limits of the front end and length of a flood in the overload tests. For runs by hand the environment may set others.
var (
	overloadMemoryMB = overloadSetting("OVERLOAD_MEMORY_MB", 64)
	overloadSockets  = overloadSetting("OVERLOAD_SOCKETS", 384)
	floodLength      = time.Duration(overloadSetting("OVERLOAD_MS", 2500)) * time.Millisecond
)

func overloadSetting(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}

// TestFloodingClientDoesNotStarveOthers guards against one client's flood that delays the RPCs of others or grows memory.
func TestFloodingClientDoesNotStarveOthers(t *testing.T) {
	for _, kind := range floods() {
		t.Run(kind.name, func(t *testing.T) {
			s := runFlood(t, kind, overloadMemoryMB, overloadSockets, floodLength)
			t.Logf("%v", s)
			if s.shareInTime() < minServedInTime || s.lost > 0 {
				t.Errorf("%d of %d usual RPCs were served in time, %d lost; want %.2f and none", s.servedInTime, s.sent, s.lost, minServedInTime)
			}
			if s.startedLate > 0 {
				t.Errorf("%d RPCs began over %v after their client had left, up to %v", s.startedLate, startAfterGone, s.latestStart)
			}
			if s.peakMB > maxMemoryShare*float64(overloadMemoryMB) {
				t.Errorf("memory rose to %.1f MB, want at most %.1f MB", s.peakMB, maxMemoryShare*float64(overloadMemoryMB))
			}
		})
	}
}

// runFlood runs usual clients beside a flood and summarizes their RPCs sent during the flood.
func runFlood(t *testing.T, kind flood, memoryMB, sockets int, length time.Duration) overloadSummary {
	t.Helper()
	f := newOverloadFleet(t, memoryMB, sockets)
	f.startUsualClients()
	time.Sleep(overloadWarmUp)
	from := time.Now()
	stop := f.startFlood(kind)
	time.Sleep(length)
	until := time.Now()
	stop()
	time.Sleep(overloadBudget + overloadLostAfter + overloadUsualInterval)
	s := f.summarize(from, until)
	s.startedLate, s.latestStart = f.lateStarts()
	return s
}

// TestIDOfDepartedClientIsNotRunTwice guards against a second execution of an RPC whose client left while it ran and
// whose id came again.
func TestIDOfDepartedClientIsNotRunTwice(t *testing.T) {
	f := newOverloadFleet(t, overloadMemoryMB, overloadSockets)
	for range 20 {
		request := executeRequest{seq: 1, method: "once", rpcID: f.newID(), function: 1, budgetMS: 680, customer: "acme"}
		first := connect(t, f.address)
		if _, err := first.Write(appendExecute(nil, request)); err != nil {
			t.Fatal(err)
		}
		f.awaitExecutions(request.rpcID, 1)
		first.Close()
		time.Sleep(5 * time.Millisecond) // the end of the connection is noticed
		second := connect(t, f.address)
		if _, err := second.Write(appendExecute(nil, request)); err != nil {
			t.Fatal(err)
		}
		_ = second.SetReadDeadline(time.Now().Add(testTimeout))
		if _, kind, err := readAnswer(second); err != nil || kind != answeredAborted {
			t.Errorf("the RPC with the id of one that may have run got answer %d, error %v; want aborted", kind, err)
		}
		second.Close()
		if n := len(f.executionsOf(request.rpcID)); n != 1 {
			t.Fatalf("an RPC was executed %d times", n)
		}
	}
}

// TestIDTakenByAnotherClientIsNotRunTwice guards against a second execution of a side-effecting RPC that is open under an
// id which a client with more ok answers sends as well.
func TestIDTakenByAnotherClientIsNotRunTwice(t *testing.T) {
	f := newOverloadFleet(t, overloadMemoryMB, overloadSockets)
	trusted, other := connect(t, f.address), connect(t, f.address)
	send := func(nc net.Conn, request executeRequest) {
		if _, err := nc.Write(appendExecute(nil, request)); err != nil {
			t.Fatal(err)
		}
	}
	expect := func(nc net.Conn, want overloadAnswer) {
		t.Helper()
		_ = nc.SetReadDeadline(time.Now().Add(testTimeout))
		if _, kind, err := readAnswer(nc); err != nil || kind != want {
			t.Errorf("got answer %d, error %v; want answer %d", kind, err, want)
		}
	}
	send(trusted, executeRequest{seq: 1, method: "query", rpcID: f.newID(), function: 1, budgetMS: 680, customer: "acme"})
	expect(trusted, answeredOK)
	request := executeRequest{seq: 2, method: "once", rpcID: f.newID(), function: 1, budgetMS: 680, customer: "acme"}
	send(other, request)
	f.awaitExecutions(request.rpcID, 1)
	send(trusted, request)
	expect(trusted, answeredAborted)
	expect(other, answeredOK)
	if n := len(f.executionsOf(request.rpcID)); n != 1 {
		t.Errorf("an RPC was executed %d times", n)
	}
}

// TestUnreadRPCsOfClosedConnectionAreNotSent guards against RPCs that begin after their client has closed its connection,
// with more behind it than the front end has read.
func TestUnreadRPCsOfClosedConnectionAreNotSent(t *testing.T) {
	const clients, messages, rpcEvery = 6, 5_000, 97
	f := newOverloadFleet(t, overloadMemoryMB, overloadSockets)
	var all sync.WaitGroup
	for range clients {
		nc, err := net.Dial("tcp", f.address)
		if err != nil {
			t.Fatal(err)
		}
		var b []byte
		var ids []uint64
		for seq := int32(1); seq <= messages; seq++ {
			if seq%rpcEvery == 0 || seq > messages-openRPCsOfProtocol/2 {
				ids = append(ids, f.newID())
				b = appendExecute(b, executeRequest{seq: seq, method: "query", rpcID: ids[len(ids)-1], function: 1, budgetMS: 30_000, customer: "acme"})
			} else {
				b = appendCheck(b, "check", seq, 0)
			}
		}
		all.Go(func() {
			go discardAnswers(nc)
			_ = nc.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
			_, _ = nc.Write(b)
			_ = nc.(*net.TCPConn).CloseWrite()
			f.markGone(ids)
		})
		defer nc.Close()
	}
	all.Wait()
	time.Sleep(4 * time.Second)
	if n, longest := f.lateStarts(); n > 0 {
		t.Errorf("%d RPCs began over %v after their client had left, up to %v", n, startAfterGone, longest)
	}
}

// TestTimeOfRPCsRunsWhileProcessIsStopped guards against answers that are late by the time for which the front end was
// stopped when the RPC came.
func TestTimeOfRPCsRunsWhileProcessIsStopped(t *testing.T) {
	const (
		stopped = time.Second
		budget  = 1100 * time.Millisecond
		hang    = 4 * time.Second
	)
	f := newOverloadFleet(t, overloadMemoryMB, overloadSockets)
	nc := connect(t, f.address)
	request := executeRequest{seq: 1, method: "query", rpcID: f.newID(), function: 1, budgetMS: int(budget / time.Millisecond), customer: "acme"}
	if _, err := nc.Write(appendExecute(nil, request)); err != nil {
		t.Fatal(err)
	}
	if _, kind, err := readAnswer(nc); err != nil || kind != answeredOK {
		t.Fatalf("got answer %d, error %v", kind, err)
	}
	f.workTime.Store(int64(hang))
	f.signal(syscall.SIGSTOP)
	time.Sleep(50 * time.Millisecond)
	request.seq, request.rpcID = 2, f.newID()
	sentAt := time.Now()
	if _, err := nc.Write(appendExecute(nil, request)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(stopped)
	f.signal(syscall.SIGCONT)
	_ = nc.SetReadDeadline(time.Now().Add(testTimeout))
	_, _, err := readAnswer(nc)
	if late := time.Since(sentAt) - budget; err != nil || late > overloadLostAfter {
		t.Errorf("answered %v after the client's time, error %v", late.Round(time.Millisecond), err)
	}
}

func (f *overloadFleet) executionsOf(id uint64) []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.executions[id]
}

// awaitExecutions waits until an RPC has begun at a worker so many times.
func (f *overloadFleet) awaitExecutions(id uint64, n int) {
	f.t.Helper()
	for end := time.Now().Add(testTimeout); len(f.executionsOf(id)) < n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("an RPC was executed %d times, want %d", len(f.executionsOf(id)), n)
		}
	}
}
