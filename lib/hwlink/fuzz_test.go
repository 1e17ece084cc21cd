package hwlink_test

import (
	"bytes"
	"io"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/hickorywick/hickorywick/lib/hwlink"
)

// Whatever an upstream sends, its answer is either the request's own or a failure.
func FuzzAnswer(f *testing.F) {
	for _, seed := range []string{
		answer("1", "body"),
		answer("2", "theirs") + answer("1", "mine"),
		"HTTP/1.1 100 Continue\r\n\r\n" + answer("1", ""),
		"HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nTransfer-Encoding: chunked\r\n\r\n1;x\r\na\r\n0\r\nT: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\nunframed",
		"HTTP/1.1 200 OK\r\nX: 1\r\n 2\r\n\r\n",
		"garbage\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, sent []byte) {
		a, failure := hwlink.AnswerOn(hwlink.Unread{Bytes: bytes.NewReader(sent)}, &hwlink.Request{
			Address:  "u",
			Method:   "GET",
			ID:       "1",
			IDHeader: idHeader,
		})
		if failure != nil {
			assert.True(t, failure.MaybeSent)
			return
		}
		assert.GreaterOrEqual(t, a.Status, 200)
		echoed := a.Header.Get(idHeader)
		assert.True(t, echoed == "1" || echoed == "", "%q", echoed)
		body, err := io.ReadAll(a.Body)
		if err == nil && a.Length >= 0 {
			assert.EqualValues(t, a.Length, len(body))
		}
	})
}
