// Package eventlooptest has what tests need of a running event loop.
package eventlooptest

import (
	"testing"
	"time"

	"mallowlanding/internal/eventloop"
)

// Timeout is how long Await waits.
const Timeout = 5 * time.Second

// InTurn runs do in a turn of the loop and waits for it.
func InTurn(loop *eventloop.Loop, do func()) {
	done := make(chan bool)
	loop.Post(func() { do(); close(done) })
	<-done
}

// Await waits until what condition returns in a turn of the loop is true. It fails the test if that takes too long.
func Await(t *testing.T, loop *eventloop.Loop, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(Timeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		ok := false
		if InTurn(loop, func() { ok = condition() }); ok {
			return
		}
	}
	t.Fatal("timeout: " + what)
}
