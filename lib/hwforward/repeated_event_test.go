package hwforward_test

import (
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
)

// An upstream that repeats events between new ones must not make the caller lose or repeat any: what is relayed at once is then no longer one part of what was read.
func TestRepeatedEventsBetweenOthersAreSkipped(t *testing.T) {
	f := newFixture(t, func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("X-Id", r.Header.Get("X-Id"))
		rw.Header().Set("X-Signed", "1")
		rw.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(rw, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 1\ndata: repeated\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\nid: 2\ndata: repeated\n\nid: 5\ndata: e\n\n")
	})
	got := f.call(http.MethodPost, "/stream/1", "x")
	assert.True(t, got.complete)
	assert.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\nid: 5\ndata: e\n\n", got.body)
}
