package hwforward

import (
	"io"
	"strconv"
	"sync/atomic"
)

// memoryLimiter limits the memory of all buffered bodies together. Clients and upstreams decide how much they send, so a limit on each body alone is not enough.
type memoryLimiter struct {
	// limit is in bytes; 0 means no limit.
	limit    int64
	reserved atomic.Int64
}

// reserve reserves memory and reports whether the limit allows it.
func (m *memoryLimiter) reserve(bytes int64) bool {
	if sum := m.reserved.Add(bytes); m.limit > 0 && sum > m.limit {
		m.reserved.Add(-bytes)
		return false
	}
	return true
}

// BodyMemoryError reports that buffering a body would exceed the memory limit for all bodies.
type BodyMemoryError struct {
	Requested int64
	Limit     int64
}

// Error returns the requested memory and the limit.
func (e *BodyMemoryError) Error() string {
	return "cannot reserve " + strconv.FormatInt(e.Requested, 10) + " bytes for a body: the limit for all bodies is " + strconv.FormatInt(e.Limit, 10) + " bytes"
}

// reserveMemory reserves memory until the end of the exchange.
func (e *exchange) reserveMemory(bytes int64) error {
	if !e.router.bodyMemory.reserve(bytes) {
		return &BodyMemoryError{
			Requested: bytes,
			Limit:     e.router.bodyMemory.limit,
		}
	}
	e.reservedBytes += bytes
	return nil
}

// releaseMemory releases all memory that the exchange has reserved.
func (e *exchange) releaseMemory() {
	e.router.bodyMemory.reserved.Add(-e.reservedBytes)
	e.reservedBytes = 0
}

// initialBufferBytes is the size of the buffer that is allocated before any of a body has arrived. The buffer grows only as data arrives: a sender could announce a large Content-Length at no cost to itself.
const initialBufferBytes = 32 << 10

// BodyTooLargeError reports that a body exceeds the limit on its size, in bytes.
type BodyTooLargeError struct {
	Limit int64
}

// Error returns the limit.
func (e *BodyTooLargeError) Error() string {
	return "the body is larger than " + strconv.FormatInt(e.Limit, 10) + " bytes"
}

// ExcessBodyError reports that a body continues beyond its announced length.
type ExcessBodyError struct{}

func (e *ExcessBodyError) Error() string { return "the body is longer than announced" }

// readLimited reads a body of at most limit bytes to its end. Length is the announced length, or negative if it is unknown. Reserve is called before memory is allocated.
func readLimited(body io.Reader, length, limit int64, reserve func(bytes int64) error) ([]byte, error) {
	if length > limit {
		return nil, &BodyTooLargeError{
			Limit: limit,
		}
	}
	// The buffer may hold one byte more than the body may have. This distinguishes a body of the maximum size from a larger one, and it allows the read after the last byte, which detects the end of a body on a connection.
	maxCapacity := limit + 1
	if length >= 0 {
		maxCapacity = length + 1
	}
	var buffer []byte
	for {
		if len(buffer) == cap(buffer) {
			capacity := min(maxCapacity, max(initialBufferBytes, 2*int64(cap(buffer))))
			if err := reserve(capacity - int64(cap(buffer))); err != nil {
				return nil, err
			}
			buffer = append(make([]byte, 0, capacity), buffer...)
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case int64(len(buffer)) == maxCapacity && length >= 0:
			return nil, &ExcessBodyError{}
		case int64(len(buffer)) == maxCapacity:
			return nil, &BodyTooLargeError{
				Limit: limit,
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
