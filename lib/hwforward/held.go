package hwforward

import (
	"io"
	"strconv"
	"sync/atomic"
)

// held counts the memory of bodies that the router keeps for the time being. Upstreams and callers decide how much they send, so the sum is bounded as well as each body.
type held struct {
	// most is the bound in bytes, 0 is none.
	most int64
	sum  atomic.Int64
}

// take counts memory and reports whether the bound allows it.
func (h *held) take(bytes int64) bool {
	if sum := h.sum.Add(bytes); h.most > 0 && sum > h.most {
		h.sum.Add(-bytes)
		return false
	}
	return true
}

// BodyMemoryError is the cause when bodies would take more memory than the router has for them.
type BodyMemoryError struct {
	Requested int64
	Limit     int64
}

// Error says how much was wanted.
func (e *BodyMemoryError) Error() string {
	return "no room for another " + strconv.FormatInt(e.Requested, 10) + " of " + strconv.FormatInt(e.Limit, 10) + " bytes that bodies may take"
}

// hold counts memory that the request keeps until it ends.
func (d *delivery) hold(bytes int64) error {
	if !d.router.held.take(bytes) {
		return &BodyMemoryError{
			Requested: bytes,
			Limit:     d.router.held.most,
		}
	}
	d.holds += bytes
	return nil
}

// release gives back all that the request has kept.
func (d *delivery) release() {
	d.router.held.sum.Add(-d.holds)
	d.holds = 0
}

// firstPiece is the memory that a body gets before any of it has arrived, in bytes. Longer ones grow with what arrives, because a stated length costs its sender nothing.
const firstPiece = 32 << 10

// BodyTooLargeError is the cause when a body goes beyond its bound.
type BodyTooLargeError struct {
	Limit int64
}

// Error names the bound.
func (e *BodyTooLargeError) Error() string {
	return "the body is larger than " + strconv.FormatInt(e.Limit, 10) + " bytes"
}

// ExcessBodyError is the cause when a body goes on beyond its stated length.
type ExcessBodyError struct{}

// Error says what is wrong.
func (e *ExcessBodyError) Error() string { return "the body is longer than announced" }

// readBody reads a body of at most the given size to its end. Length is the stated one, or below 0. Hold is asked before memory is taken.
func readBody(body io.Reader, length, most int64, hold func(bytes int64) error) ([]byte, error) {
	if length > most {
		return nil, &BodyTooLargeError{
			Limit: most,
		}
	}
	// One byte more tells a body at its bound from one beyond it, and the end of a connection's body is noted only by a read after its last byte.
	room := most + 1
	if length >= 0 {
		room = length + 1
	}
	var buffer []byte
	for {
		if len(buffer) == cap(buffer) {
			next := min(room, max(firstPiece, 2*int64(cap(buffer))))
			if err := hold(next - int64(cap(buffer))); err != nil {
				return nil, err
			}
			buffer = append(make([]byte, 0, next), buffer...)
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case int64(len(buffer)) == room && length >= 0:
			return nil, &ExcessBodyError{}
		case int64(len(buffer)) == room:
			return nil, &BodyTooLargeError{
				Limit: most,
			}
		case err == io.EOF && int64(len(buffer)) < length:
			return nil, io.ErrUnexpectedEOF
		case err == io.EOF:
			return buffer, nil
		case err != nil:
			return nil, err
		}
	}
}
