package kserve

import (
	"errors"
	"io"

	"mallowlanding/internal/memlimit"
)

const (
	firstBodyBytes = 16 << 10 // allocated for a body before a byte of it has been received
	heldBodies     = 16       // bodies of the largest size that all clients together may have in memory
)

// errNoMemory means that the bodies of other requests take all memory for bodies.
var errNoMemory = errors.New("no memory for the body: other requests take it")

// body is a request's body, with the memory that is reserved for it.
type body struct {
	bytes    []byte
	account  *memlimit.Account
	reserved int64
}

// release gives back the memory of the body, which is used no longer.
func (b *body) release() { b.account.Release(b.reserved) }

// read reads the body up to its end. Memory is reserved and allocated as bytes are received, not as the client claims.
// The length is negative if it is not known.
func (b *body) read(r io.Reader, length int64) error {
	size := int64(firstBodyBytes)
	if length >= 0 {
		size = min(size, length)
	}
	for {
		if !b.account.Reserve(size - b.reserved) {
			return errNoMemory
		}
		b.reserved = size
		grown := make([]byte, len(b.bytes), size)
		copy(grown, b.bytes)
		n, err := io.ReadFull(r, grown[len(b.bytes):size])
		b.bytes = grown[:len(b.bytes)+n]
		switch {
		case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF) && length < 0:
			return nil
		case err != nil:
			return err
		case int64(len(b.bytes)) == length:
			return nil
		}
		size *= 2
		if length >= 0 {
			size = min(size, length)
		}
	}
}
