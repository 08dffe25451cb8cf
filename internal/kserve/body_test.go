package kserve

import (
	"bytes"
	"errors"
	"io"
	"runtime"
	"strings"
	"testing"

	"mallowlanding/internal/memlimit"
)

// TestClaimedBodyTakesNoMemory guards against memory that a client takes by claiming a large body and sending a part.
func TestClaimedBodyTakesNoMemory(t *testing.T) {
	const claimed, sent, clients = 64 << 20, 100, 200
	account := memlimit.NewAccount(clients * firstBodyBytes)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var bodies []*body
	for range clients {
		b := &body{account: account}
		if err := b.read(strings.NewReader(strings.Repeat("x", sent)), claimed); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Fatalf("a body that ends early: %v", err)
		}
		bodies = append(bodies, b)
	}
	runtime.ReadMemStats(&after)
	if grown := after.TotalAlloc - before.TotalAlloc; grown > 2*clients*firstBodyBytes {
		t.Errorf("%d bodies of %d bytes took %d bytes", clients, sent, grown)
	}
	if err := (&body{account: account}).read(strings.NewReader("x"), claimed); !errors.Is(err, errNoMemory) {
		t.Errorf("a body beyond the limit: %v", err)
	}
	for _, b := range bodies {
		b.release()
	}
	if used := account.Usage().Used; used != 0 {
		t.Errorf("%d bytes are reserved after all bodies were released", used)
	}
}

// TestBodyIsReadWhole checks that bodies of known and unknown length are read as sent.
func TestBodyIsReadWhole(t *testing.T) {
	for _, size := range []int{0, 1, firstBodyBytes - 1, firstBodyBytes, firstBodyBytes + 1, 5 * firstBodyBytes} {
		want := bytes.Repeat([]byte("abc"), size)[:size]
		for _, length := range []int64{int64(size), -1} {
			b := &body{account: memlimit.NewAccount(1 << 30)}
			if err := b.read(bytes.NewReader(want), length); err != nil || !bytes.Equal(b.bytes, want) {
				t.Errorf("%d bytes, stated %d: got %d bytes, error %v", size, length, len(b.bytes), err)
			}
		}
	}
}
