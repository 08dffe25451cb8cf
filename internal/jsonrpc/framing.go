// Package jsonrpc reads and writes JSON-RPC 2.0 (the specification of 2013-01-04) on byte streams.
//
// A stream carries one JSON value a line, or values that each follow headers with a Content-Length, as the Language
// Server Protocol's base protocol has them. Its first byte that is not white space decides: a 'C' or 'c' begins a
// header. What is written back is framed alike.
package jsonrpc

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// ErrTooLarge is a value over the limit. It was read past; the next one follows.
var ErrTooLarge = errors.New("value larger than the limit")

// maxHeader bounds the headers of one value: far more than any client sends.
const maxHeader = 4096

// Reader takes values off a stream.
type Reader struct {
	b       *bufio.Reader
	limit   int
	started bool
	headers bool
	buf     []byte
}

// NewReader reads values of up to limit bytes.
func NewReader(r io.Reader, limit int) *Reader {
	return &Reader{b: bufio.NewReaderSize(r, 1<<14), limit: limit}
}

// HasHeaders tells whether the stream's values follow headers; known once a value was read.
func (r *Reader) HasHeaders() bool { return r.headers }

// Remaining is the stream behind what was taken off it, for a codec that follows.
func (r *Reader) Remaining() io.Reader { return r.b }

// Next returns the next value's bytes, good until the next call. At a clean end it returns io.EOF, within a value
// io.ErrUnexpectedEOF, and ErrTooLarge for a value that was passed over. Any other error ends the stream.
func (r *Reader) Next() ([]byte, error) {
	if !r.started {
		for {
			c, err := r.b.ReadByte()
			if err != nil {
				return nil, err
			}
			if strings.IndexByte(" \t\r\n", c) < 0 {
				r.headers = c == 'C' || c == 'c'
				break
			}
		}
		r.started = true
		if err := r.b.UnreadByte(); err != nil {
			return nil, err
		}
	}
	if r.headers {
		return r.nextBehindHeaders()
	}
	for {
		line, err := r.line()
		if err != nil {
			return nil, err
		}
		if line = bytes.Trim(line, " \t\r\n"); len(line) > 0 {
			return line, nil
		}
	}
}

// line returns one line of up to the limit; the last one may lack its end.
func (r *Reader) line() ([]byte, error) {
	r.buf = r.buf[:0]
	tooLarge := false
	for {
		part, err := r.b.ReadSlice('\n')
		if err == nil && len(r.buf) == 0 && !tooLarge && len(part) <= r.limit+2 {
			return part, nil
		}
		if tooLarge = tooLarge || len(r.buf)+len(part) > r.limit+2; tooLarge {
			r.buf = r.buf[:0]
		} else {
			r.buf = append(r.buf, part...)
		}
		switch {
		case err == bufio.ErrBufferFull:
			continue
		case tooLarge && (err == nil || err == io.EOF):
			return nil, ErrTooLarge
		case err == nil:
			return r.buf, nil
		case err == io.EOF && len(bytes.TrimSpace(r.buf)) > 0:
			// a stream that ends within a line: a whole value is taken, half of one is found out by its reader
			return r.buf, nil
		}
		return nil, err
	}
}

func (r *Reader) nextBehindHeaders() ([]byte, error) {
	length, size := -1, 0
	for {
		part, err := r.b.ReadSlice('\n')
		size += len(part)
		if err == bufio.ErrBufferFull || size > maxHeader {
			return nil, fmt.Errorf("headers of more than %d bytes", maxHeader)
		}
		if err != nil {
			if err == io.EOF && size > 0 {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		text := strings.TrimRight(string(part), "\r\n")
		if text == "" {
			if length >= 0 {
				break
			}
			if size == len(part) { // blank lines before the headers
				size = 0
				continue
			}
			return nil, errors.New("headers without Content-Length")
		}
		name, value, found := strings.Cut(text, ":")
		if !found {
			return nil, fmt.Errorf("header %.40q has no colon", text)
		}
		if strings.EqualFold(name, "Content-Length") {
			if length, err = strconv.Atoi(strings.TrimSpace(value)); err != nil || length < 0 {
				return nil, fmt.Errorf("Content-Length %.40q is not a length", value)
			}
		}
	}
	if length > r.limit {
		if n, err := io.CopyN(io.Discard, r.b, int64(length)); err != nil {
			return nil, fmt.Errorf("value of %d bytes is cut short after %d: %w", length, n, io.ErrUnexpectedEOF)
		}
		return nil, ErrTooLarge
	}
	// read as it comes: a claimed length alone allocates nothing
	r.buf = r.buf[:0]
	for len(r.buf) < length {
		n := min(length-len(r.buf), 1<<16)
		at := len(r.buf)
		r.buf = append(r.buf, make([]byte, n)...)
		if _, err := io.ReadFull(r.b, r.buf[at:]); err != nil {
			return nil, fmt.Errorf("value of %d bytes is cut short: %w", length, io.ErrUnexpectedEOF)
		}
	}
	return r.buf, nil
}

// AppendFrame appends value to out as the stream frames it.
func AppendFrame(out, value []byte, headers bool) []byte {
	if headers {
		out = append(out, "Content-Length: "...)
		out = strconv.AppendInt(out, int64(len(value)), 10)
		out = append(out, "\r\n\r\n"...)
		return append(out, value...)
	}
	out = append(out, value...)
	return append(out, '\n')
}
