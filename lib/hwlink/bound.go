package hwlink

import (
	"io"
	"net/http"
	"strconv"
)

// Bounds on what an upstream may send before the body of an answer. Whatever goes beyond them is no answer, and its connection is closed.
const (
	// headBytes bounds the heads of one exchange, interim answers included, in bytes: four times what callers may send.
	headBytes = 64 << 10
	// headFields bounds the fields of one head. Each takes far more memory than its few bytes.
	headFields = 256
	// interimAnswers bounds the interim answers before a final one. Five is what the standard library's client allows.
	interimAnswers = 5
	// strayBytes bounds the body of an answer to another request that is skipped, in bytes. A new connection is cheaper than reading more.
	strayBytes = 256 << 10
)

// headReader passes a connection's bytes on and fails once a head goes beyond its budget.
type headReader struct {
	source io.Reader
	// left is what the head may still take in bytes, or unbounded.
	left int
}

// unbounded is the budget while a body is read, whose reader has bounds of its own.
const unbounded = -1

// Read reads within the budget.
func (h *headReader) Read(p []byte) (int, error) {
	switch h.left {
	case unbounded:
		return h.source.Read(p)
	case 0:
		return 0, &FramingError{
			Problem: "has a head of more than " + strconv.Itoa(headBytes) + " bytes",
		}
	}
	n, err := h.source.Read(p[:min(len(p), h.left)])
	h.left -= n
	return n, err
}

// finalHead reads heads until one that is not interim.
func (a *Response) finalHead() (*http.Response, error) {
	a.conn.head.left = headBytes
	defer func() { a.conn.head.left = unbounded }()
	for range interimAnswers + 1 {
		response, err := http.ReadResponse(a.conn.reader, &http.Request{
			Method: a.request.Method,
		})
		switch {
		case err != nil:
			return nil, err
		case len(response.Header) > headFields:
			return nil, &FramingError{
				Problem: "has more than " + strconv.Itoa(headFields) + " header fields",
			}
		case response.StatusCode >= http.StatusOK:
			return response, nil
		}
	}
	return nil, &FramingError{
		Problem: "came after more than " + strconv.Itoa(interimAnswers) + " interim ones",
	}
}
