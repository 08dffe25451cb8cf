// Package simadapter speaks the wire pebble-9550 and hands its fields to one router for each instance.
package simadapter

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

var errShort = errors.New("record is cut short")

// reader takes fields off a frame's body. After the first shortage every field is zero and err stays set.
type reader struct {
	b   []byte
	err error
}

func (r *reader) take(n uint64) []byte {
	if r.err != nil || n > uint64(len(r.b)) {
		r.err = errShort
		return nil
	}
	out := r.b[:n]
	r.b = r.b[n:]
	return out
}

func (r *reader) fixed(n uint64) []byte {
	if b := r.take(n); b != nil {
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
	if n*4 > len(r.b) {
		r.err = errShort
		return nil
	}
	out := make([]float64, n)
	for i := range out {
		out[i] = r.f32()
	}
	return out
}

// writer builds a reply.
type writer struct {
	b     []byte
	count uint32
}

const replyHeader = 8

func (w *writer) reset() {
	w.b = append(w.b[:0], make([]byte, replyHeader)...)
	w.count = 0
}

func (w *writer) record(code uint8) { w.b = append(w.b, code); w.count++ }
func (w *writer) u8(v uint8)        { w.b = append(w.b, v) }
func (w *writer) u16(v uint16)      { w.b = binary.LittleEndian.AppendUint16(w.b, v) }
func (w *writer) u32(v uint32)      { w.b = binary.LittleEndian.AppendUint32(w.b, v) }
func (w *writer) u64(v uint64)      { w.b = binary.LittleEndian.AppendUint64(w.b, v) }
func (w *writer) text(s string) {
	s = s[:min(len(s), math.MaxUint16)]
	w.u16(uint16(len(s)))
	w.b = append(w.b, s...)
}

func (w *writer) finish() []byte {
	binary.LittleEndian.PutUint32(w.b, uint32(len(w.b)-replyHeader))
	binary.LittleEndian.PutUint32(w.b[4:], w.count)
	return w.b
}

// readFrame reads one batch. At a clean end of input it returns io.EOF. The body is read as it comes, so a
// claimed length alone allocates nothing.
func readFrame(in io.Reader) (records uint32, clock uint64, body []byte, err error) {
	var head [16]byte
	if n, err := io.ReadFull(in, head[:]); err != nil {
		if n == 0 && err == io.EOF {
			return 0, 0, nil, io.EOF
		}
		return 0, 0, nil, fmt.Errorf("frame header is cut short after %d of 16 bytes", n)
	}
	length := binary.LittleEndian.Uint32(head[0:])
	body, err = io.ReadAll(io.LimitReader(in, int64(length)))
	if err != nil {
		return 0, 0, nil, fmt.Errorf("read frame: %w", err)
	}
	if uint64(len(body)) != uint64(length) {
		return 0, 0, nil, fmt.Errorf("frame is cut short after %d of %d bytes", len(body), length)
	}
	return binary.LittleEndian.Uint32(head[4:]), binary.LittleEndian.Uint64(head[8:]), body, nil
}
