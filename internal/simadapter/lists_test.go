package simadapter

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
)

// Forms of the record that reports a worker list to an instance.
const (
	formChanges  = 0
	formComplete = 1
	formCached   = 2
)

// listSettings are the settings of the instances in the tests of worker lists. Discovery tells changes only to
// instances that have asked for them.
const listSettings = `{"balancers": 1, "registryMode": "subscribe",
	"ceilings": {"mostTries": 3},
	"familyInfo": {"mayLoad": false, "onMiss": "load", "ramMbByKind": [8000]},
	"grades": [{"name": "query", "aimNs": 1000000000, "deadlineNs": 3000000000, "effect": "retryable", "value": 1}],
	"localities": ["hall"], "models": ["std"]}`

// encodeFields encodes fields one behind the other: integers and floats of a fixed size, or bytes. The first field of a
// record is its code.
func encodeFields(t *testing.T, fields ...any) (out []byte) {
	t.Helper()
	for _, field := range fields {
		var err error
		if out, err = binary.Append(out, binary.LittleEndian, field); err != nil {
			t.Fatal(err)
		}
	}
	return out
}

func encodeFrame(t *testing.T, clock uint64, records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	return encodeFields(t, uint32(len(body)), uint32(len(records)), clock, body)
}

// listRecord is a worker list under a number; all of its workers are ready and have been running for long.
func listRecord(t *testing.T, number uint8, workers ...uint32) []byte {
	out := encodeFields(t, uint8(80), number, uint32(len(workers)))
	for _, w := range workers {
		out = append(out, encodeFields(t, uint64(0), uint16(0), w, uint16(0), uint8(1), uint8(0), float32(1))...)
	}
	return out
}

// updateRecord reports the list under a number to the selected instance.
func updateRecord(t *testing.T, form uint8, version uint64, number uint8) []byte {
	return encodeFields(t, uint8(120), form, version, number)
}

func selectRecord(t *testing.T, instance uint16) []byte { return encodeFields(t, uint8(20), instance) }

func startRecord(t *testing.T) []byte {
	return encodeFields(t, uint8(110), uint64(5), uint32(len(listSettings)), []byte(listSettings))
}

func rpcRecord(t *testing.T, id uint32) []byte {
	return encodeFields(t, uint8(130), id, uint16(0), uint32(0), uint64(0x7c55d20a01), uint64(3e9), uint64(0), float32(400), float32(4),
		float32(600), uint8(0))
}

// replyActions are the actions of replies that the tests look at.
type replyActions struct {
	callOuts []uint32 // the workers of the call-outs, in order
	answers  []uint32 // the RPCs that were denied or aborted, in order
}

func decodeReplies(t *testing.T, replies []byte) (actions replyActions) {
	t.Helper()
	fieldSizes := map[uint8]uint64{10: 16, 20: 12, 30: 4, 40: 5, 50: 16, 60: 4, 110: 1, 130: 13, 150: 2}
	for len(replies) > 0 {
		head := &reader{buf: replies}
		length, count := head.u32(), head.u32()
		body := &reader{buf: head.next(uint64(length))}
		for range count {
			code := body.u8()
			size, known := fieldSizes[code]
			if code == 90 { // a log text
				size, known = uint64(body.u16()), true
			}
			fields := body.next(size)
			if !known || body.err != nil {
				t.Fatalf("reply record with code %d: %v", code, body.err)
			}
			switch code {
			case 10: // a call-out
				actions.callOuts = append(actions.callOuts, binary.LittleEndian.Uint32(fields[4:]))
			case 20, 30: // denied, aborted
				actions.answers = append(actions.answers, binary.LittleEndian.Uint32(fields))
			}
		}
		replies = head.buf
	}
	return actions
}

// TestListWithoutEntries guards against the exit of the adapter when discovery reports a list without entries, as it
// does when it is asked and nothing has changed.
func TestListWithoutEntries(t *testing.T) {
	const first, second = 0x03124a07, 0x2c9011f2
	for _, c := range []struct {
		name    string
		records [][]byte // after an instance has started whose cached list, under number 0, has the first worker
		want    []uint32 // workers of the call-outs for an RPC after that
	}{
		{"one entry under the other number", [][]byte{listRecord(t, 1, second), updateRecord(t, formComplete, 2, 1)}, []uint32{second}},
		{"no changes", [][]byte{listRecord(t, 1), updateRecord(t, formChanges, 2, 1)}, []uint32{first}},
		{"no changes, under the number of a list with entries", [][]byte{listRecord(t, 0), updateRecord(t, formChanges, 2, 0)}, []uint32{first}},
		{"no changes, twice", [][]byte{listRecord(t, 1), updateRecord(t, formChanges, 2, 1), updateRecord(t, formChanges, 2, 1)}, []uint32{first}},
		{"no changes, under the highest number", [][]byte{listRecord(t, 15), updateRecord(t, formChanges, 2, 15)}, []uint32{first}},
		{"complete list without workers", [][]byte{listRecord(t, 1), updateRecord(t, formComplete, 2, 1)}, nil},
		{"cached list without workers", [][]byte{listRecord(t, 1), updateRecord(t, formCached, 2, 1)}, nil},
		{"complete list without workers, then a worker", [][]byte{listRecord(t, 1), updateRecord(t, formComplete, 2, 1),
			listRecord(t, 1, second), updateRecord(t, formChanges, 3, 1)}, []uint32{second}},
	} {
		t.Run(c.name, func(t *testing.T) {
			start := [][]byte{selectRecord(t, 3), startRecord(t), listRecord(t, 0, first), updateRecord(t, formCached, 1, 0)}
			in := encodeFrame(t, 10e9, start...)
			in = append(in, encodeFrame(t, 11e9, append([][]byte{selectRecord(t, 3)}, c.records...)...)...)
			in = append(in, encodeFrame(t, 12e9, selectRecord(t, 3), rpcRecord(t, 1))...)
			var out bytes.Buffer
			if err := Serve(bytes.NewReader(in), &out); err != nil {
				t.Fatal(err)
			}
			if got := decodeReplies(t, out.Bytes()); !slices.Equal(got.callOuts, c.want) {
				t.Errorf("call-outs to workers %x, want %x", got.callOuts, c.want)
			}
		})
	}
}

// TestInstanceWithoutWorkers guards against the exit of the adapter, and against an RPC left without its answer, when
// an instance starts with a cached list without workers.
func TestInstanceWithoutWorkers(t *testing.T) {
	in := encodeFrame(t, 10e9, selectRecord(t, 3), startRecord(t), listRecord(t, 0), updateRecord(t, formCached, 1, 0), rpcRecord(t, 1))
	for clock := uint64(10e9); clock < 16e9; clock += 50e6 { // beyond the client's time, with the timer of the housekeeping
		in = append(in, encodeFrame(t, clock, selectRecord(t, 3), encodeFields(t, uint8(10), uint64(0)))...)
	}
	var out bytes.Buffer
	if err := Serve(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if got := decodeReplies(t, out.Bytes()); len(got.callOuts) != 0 || !slices.Equal(got.answers, []uint32{1}) {
		t.Errorf("call-outs to workers %x, RPCs denied or aborted: %d; want none, and one answer to RPC 1", got.callOuts, got.answers)
	}
}

// TestListNeverSent checks that an update which refers to a list that was never sent is an error, also beside others.
func TestListNeverSent(t *testing.T) {
	for number, want := range map[uint8]string{2: "worker list number 2 was never sent", 16: "worker list number 16 was never sent",
		255: "worker list number 255 was never sent"} {
		in := encodeFrame(t, 10e9, selectRecord(t, 3), startRecord(t), listRecord(t, 0), listRecord(t, 1, 7), updateRecord(t, formChanges, 1, number))
		if err := Serve(bytes.NewReader(in), io.Discard); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want %q", err, want)
		}
	}
	in := encodeFrame(t, 10e9, listRecord(t, 16, 7))
	if err := Serve(bytes.NewReader(in), io.Discard); err == nil || !strings.Contains(err.Error(), fmt.Sprintf("worker list number 16: %v", errUnknown)) {
		t.Errorf("a list with a number that is too high: error %v", err)
	}
}
