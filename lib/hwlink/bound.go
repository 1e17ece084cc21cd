package hwlink

import (
	"io"
	"net/http"
	"strconv"

	"github.com/hickorywick/hickorywick/lib/hwresponse"
)

// Limits on what an upstream may send before the body of a response. A response beyond one of them is invalid, and its connection is closed.
const (
	// maxHeadBytes limits the response heads of one exchange together, interim (1xx) responses included: four times what clients may send.
	maxHeadBytes = 64 << 10
	// maxHeaderFields limits the fields of one head, because a field takes far more memory than its few bytes on the wire.
	maxHeaderFields = 256
	// maxSkippedBodyBytes limits the body of a skipped response to another request. Beyond it, opening a new connection is cheaper than reading on.
	maxSkippedBodyBytes = 256 << 10
)

// headLimiter is a reader that fails once the response heads of an exchange exceed a byte limit.
type headLimiter struct {
	source io.Reader
	// remaining is the number of bytes that may still be read, or unlimited.
	remaining int
}

// unlimited is the value of remaining while a body is read, because whoever reads the body limits it.
const unlimited = -1

// Read reads from the source within the limit.
func (l *headLimiter) Read(p []byte) (int, error) {
	switch l.remaining {
	case unlimited:
		return l.source.Read(p)
	case 0:
		return 0, &FramingError{
			Problem: "head exceeds " + strconv.Itoa(maxHeadBytes) + " bytes",
		}
	}
	n, err := l.source.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}

// readFinalHead reads response heads up to the first one that is not interim.
func (resp *Response) readFinalHead() (*http.Response, error) {
	resp.conn.limiter.remaining = maxHeadBytes
	defer func() { resp.conn.limiter.remaining = unlimited }()
	for range hwresponse.MaxInterim + 1 {
		response, err := http.ReadResponse(resp.conn.reader, &http.Request{
			Method: resp.request.Method,
		})
		switch {
		case err != nil:
			return nil, err
		case len(response.Header) > maxHeaderFields:
			return nil, &FramingError{
				Problem: "more than " + strconv.Itoa(maxHeaderFields) + " header fields",
			}
		}
		if err := hwresponse.CheckHead(response.StatusCode, response.Header); err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
	return nil, hwresponse.InterimLimitError()
}
