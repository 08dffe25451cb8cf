// Package simadapter speaks the simulator's protocol pebble-9550 and passes the events to one router for each instance
// (front end).
package simadapter

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

var errTruncated = errors.New("record is truncated")

// reader decodes the fields of a frame's body. Once bytes are missing every field is zero and err stays set.
type reader struct {
	buf []byte
	err error
}

// next returns the next n bytes, or nil if fewer are left.
func (r *reader) next(n uint64) []byte {
	if r.err != nil || n > uint64(len(r.buf)) {
		r.err = errTruncated
		return nil
	}
	out := r.buf[:n]
	r.buf = r.buf[n:]
	return out
}

// fixed returns the next n bytes, or zeros if fewer are left.
func (r *reader) fixed(n uint64) []byte {
	if b := r.next(n); b != nil {
		return b
	}
	return make([]byte, n)
}

func (r *reader) u8() uint8    { return r.fixed(1)[0] }
func (r *reader) u16() uint16  { return binary.LittleEndian.Uint16(r.fixed(2)) }
func (r *reader) u32() uint32  { return binary.LittleEndian.Uint32(r.fixed(4)) }
func (r *reader) u64() uint64  { return binary.LittleEndian.Uint64(r.fixed(8)) }
func (r *reader) f32() float64 { return float64(math.Float32frombits(r.u32())) }

func (r *reader) f32s(n int) []float64 {
	if n*4 > len(r.buf) {
		r.err = errTruncated
		return nil
	}
	out := make([]float64, n)
	for i := range out {
		out[i] = r.f32()
	}
	return out
}

// writer encodes a reply: a header, then records.
type writer struct {
	buf   []byte
	count uint32
}

const replyHeader = 8

func (w *writer) reset() {
	w.buf = append(w.buf[:0], make([]byte, replyHeader)...)
	w.count = 0
}

func (w *writer) record(code uint8) { w.buf = append(w.buf, code); w.count++ }
func (w *writer) u8(v uint8)        { w.buf = append(w.buf, v) }
func (w *writer) u16(v uint16)      { w.buf = binary.LittleEndian.AppendUint16(w.buf, v) }
func (w *writer) u32(v uint32)      { w.buf = binary.LittleEndian.AppendUint32(w.buf, v) }
func (w *writer) u64(v uint64)      { w.buf = binary.LittleEndian.AppendUint64(w.buf, v) }
func (w *writer) text(s string) {
	s = s[:min(len(s), math.MaxUint16)]
	w.u16(uint16(len(s)))
	w.buf = append(w.buf, s...)
}

func (w *writer) finish() []byte {
	binary.LittleEndian.PutUint32(w.buf, uint32(len(w.buf)-replyHeader))
	binary.LittleEndian.PutUint32(w.buf[4:], w.count)
	return w.buf
}

// readFrame reads one frame, which holds a batch of events. At a clean end of the input it returns io.EOF. The body is
// read as it arrives, so a stated length alone allocates nothing.
func readFrame(in io.Reader) (records uint32, clock uint64, body []byte, err error) {
	var head [16]byte
	if n, err := io.ReadFull(in, head[:]); err != nil {
		if n == 0 && err == io.EOF {
			return 0, 0, nil, io.EOF
		}
		return 0, 0, nil, fmt.Errorf("frame header is truncated after %d of 16 bytes", n)
	}
	length := binary.LittleEndian.Uint32(head[0:])
	body, err = io.ReadAll(io.LimitReader(in, int64(length)))
	if err != nil {
		return 0, 0, nil, fmt.Errorf("read frame: %w", err)
	}
	if uint64(len(body)) != uint64(length) {
		return 0, 0, nil, fmt.Errorf("frame is truncated after %d of %d bytes", len(body), length)
	}
	return binary.LittleEndian.Uint32(head[4:]), binary.LittleEndian.Uint64(head[8:]), body, nil
}
