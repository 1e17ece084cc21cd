package hwlink_test

import (
	"bytes"
	"io"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/hickorywick/hickorywick/lib/hwlink"
)

// Whatever bytes an upstream sends, the result is either an error or a final response that belongs to the request.
func FuzzAnswer(f *testing.F) {
	for _, seed := range []string{
		response("1", "body"),
		response("2", "theirs") + response("1", "mine"),
		"HTTP/1.1 100 Continue\r\n\r\n" + response("1", ""),
		"HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nTransfer-Encoding: chunked\r\n\r\n1;x\r\na\r\n0\r\nT: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\nunframed",
		"HTTP/1.1 200 OK\r\nX: 1\r\n 2\r\n\r\n",
		"garbage\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, received []byte) {
		resp, failure := hwlink.ReadResponseFrom(hwlink.ReadOnlyConn{Reader: bytes.NewReader(received)}, &hwlink.Request{
			Address:  "u",
			Method:   "GET",
			ID:       "1",
			IDHeader: idHeader,
		})
		if failure != nil {
			assert.True(t, failure.MaybeSent)
			return
		}
		assert.GreaterOrEqual(t, resp.Status, 200)
		echoedID := resp.Header.Get(idHeader)
		assert.True(t, echoedID == "1" || echoedID == "", "%q", echoedID)
		body, err := io.ReadAll(resp.Body)
		if err == nil && resp.Length >= 0 {
			assert.EqualValues(t, resp.Length, len(body))
		}
	})
}
