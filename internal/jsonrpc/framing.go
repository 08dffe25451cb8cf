// Package jsonrpc reads and writes JSON-RPC 2.0 (the specification of 2013-01-04) on byte streams.
//
// A stream carries either one JSON value a line, or values that each follow headers with a Content-Length, as in the
// base protocol of the Language Server Protocol. The first byte that is not white space decides: 'C' or 'c' starts a
// header. Responses are framed in the same way.
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

// ErrTooLarge is returned for a value that exceeds the limit. The value is skipped, and reading can continue.
var ErrTooLarge = errors.New("value larger than the limit")

// maxHeader is the maximum size of the headers of one value: far more than any client sends.
const maxHeader = 4096

// Reader reads JSON values from a stream.
type Reader struct {
	source  countingReader
	in      *bufio.Reader
	limit   int
	started bool
	headers bool
	buf     []byte
}

// NewReader returns a Reader of values of up to limit bytes.
func NewReader(r io.Reader, limit int) *Reader {
	reader := &Reader{source: countingReader{in: r}, limit: limit}
	reader.in = bufio.NewReaderSize(&reader.source, 1<<14)
	return reader
}

// countingReader counts the bytes that are read.
type countingReader struct {
	in io.Reader
	n  int64
}

// Read implements io.Reader.
func (c *countingReader) Read(b []byte) (n int, err error) {
	n, err = c.in.Read(b)
	c.n += int64(n)
	return n, err
}

// Offset returns how many bytes of the stream have been consumed.
func (r *Reader) Offset() int64 { return r.source.n - int64(r.in.Buffered()) }

// HasHeaders reports whether the stream's values follow headers. It is valid after the first call of Next.
func (r *Reader) HasHeaders() bool { return r.headers }

// Remaining returns the rest of the stream, to be read in another codec.
func (r *Reader) Remaining() io.Reader { return r.in }

// Next returns the next value, valid until the next call. It returns io.EOF at the end of the stream,
// io.ErrUnexpectedEOF if the stream ends within a value, and ErrTooLarge for a value that it has skipped. After any
// error but ErrTooLarge the stream cannot be read further.
func (r *Reader) Next() ([]byte, error) {
	if !r.started {
		for {
			c, err := r.in.ReadByte()
			if err != nil {
				return nil, err
			}
			if strings.IndexByte(" \t\r\n", c) < 0 {
				r.headers = c == 'C' || c == 'c'
				break
			}
		}
		r.started = true
		if err := r.in.UnreadByte(); err != nil {
			return nil, err
		}
	}
	if r.headers {
		return r.nextWithHeaders()
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

// line returns one line of up to the limit. The last line of a stream may lack the newline.
func (r *Reader) line() ([]byte, error) {
	r.buf = r.buf[:0]
	tooLarge := false
	for {
		part, err := r.in.ReadSlice('\n')
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
			// the stream ends without a newline: the line may hold a complete value, which the decoder finds out
			return r.buf, nil
		}
		return nil, err
	}
}

func (r *Reader) nextWithHeaders() ([]byte, error) {
	length, headerBytes := -1, 0
	for {
		line, err := r.in.ReadSlice('\n')
		headerBytes += len(line)
		if err == bufio.ErrBufferFull || headerBytes > maxHeader {
			return nil, fmt.Errorf("headers of more than %d bytes", maxHeader)
		}
		if err != nil {
			if err == io.EOF && headerBytes > 0 {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		header := strings.TrimRight(string(line), "\r\n")
		if header == "" {
			if length >= 0 {
				break
			}
			if headerBytes == len(line) { // blank lines before the headers
				headerBytes = 0
				continue
			}
			return nil, errors.New("headers without Content-Length")
		}
		name, value, found := strings.Cut(header, ":")
		if !found {
			return nil, fmt.Errorf("header %.40q has no colon", header)
		}
		if strings.EqualFold(name, "Content-Length") {
			if length, err = strconv.Atoi(strings.TrimSpace(value)); err != nil || length < 0 {
				return nil, fmt.Errorf("Content-Length %.40q is not a length", value)
			}
		}
	}
	if length > r.limit {
		if n, err := io.CopyN(io.Discard, r.in, int64(length)); err != nil {
			return nil, fmt.Errorf("value of %d bytes is cut short after %d: %w", length, n, io.ErrUnexpectedEOF)
		}
		return nil, ErrTooLarge
	}
	// the buffer grows with the data received: a claimed length alone allocates nothing
	r.buf = r.buf[:0]
	for len(r.buf) < length {
		n := min(length-len(r.buf), 1<<16)
		start := len(r.buf)
		r.buf = append(r.buf, make([]byte, n)...)
		if _, err := io.ReadFull(r.in, r.buf[start:]); err != nil {
			return nil, fmt.Errorf("value of %d bytes is cut short: %w", length, io.ErrUnexpectedEOF)
		}
	}
	return r.buf, nil
}

// AppendFrame appends value to out, framed with headers or as a line.
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
