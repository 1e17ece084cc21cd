package hwupstream_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hickorywick/hickorywick/lib/hwupstream"
)

// An answer beyond the limit used to look whole after as many bytes. It is a failure, and none of a crash.
func TestAnAnswerBeyondTheLimitIsAFailure(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 101))
	}))
	defer server.Close()
	for limit, whole := range map[int64]bool{100: false, 101: true} {
		answer, err := hwupstream.NewClient(time.Second).Do(context.Background(), hwupstream.Attempt{
			ID:          "1",
			Upstream:    server.Listener.Addr().String(),
			Method:      http.MethodGet,
			Path:        "/",
			Header:      http.Header{},
			IdleTimeout: time.Second,
		})
		require.NoError(t, err)
		body, err := answer.ReadAll(limit)
		answer.Close()
		if whole {
			require.NoError(t, err)
			assert.Len(t, body, 101)
			continue
		}
		var failure *hwupstream.Error
		require.ErrorAs(t, err, &failure)
		assert.True(t, failure.MaybeSent)
		assert.False(t, failure.ConnectionBroken)
	}
}
