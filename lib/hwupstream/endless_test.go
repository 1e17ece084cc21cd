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

// Guards against a response over the size limit being cut at the limit and returned as complete. It must fail, but not as a broken connection, which would count as an upstream crash.
func TestOversizedResponseFails(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 101))
	}))
	defer server.Close()
	for limit, fits := range map[int64]bool{100: false, 101: true} {
		response, err := hwupstream.NewClient(time.Second).Do(context.Background(), hwupstream.Attempt{
			ID:          "1",
			Upstream:    server.Listener.Addr().String(),
			Method:      http.MethodGet,
			Path:        "/",
			Header:      http.Header{},
			IdleTimeout: time.Second,
		})
		require.NoError(t, err)
		body, err := response.ReadAll(limit)
		response.Close()
		if fits {
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
