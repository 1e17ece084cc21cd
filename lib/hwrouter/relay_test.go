package hwrouter

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hickorywick/hickorywick/lib/hwupstream"
)

// A stream had begun and broke off, and the next upstream answered with an error. Its text was written into the middle of the caller's stream.
func TestAnErrorDoesNotContinueAStream(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "overloaded")
	}))
	defer server.Close()
	response, err := hwupstream.NewClient(time.Second).Do(context.Background(), hwupstream.Attempt{
		ID:          "1",
		Upstream:    server.Listener.Addr().String(),
		Method:      http.MethodGet,
		Path:        "/",
		Header:      http.Header{},
		IdleTimeout: time.Second,
	})
	require.NoError(t, err)
	defer response.Close()
	recorder := httptest.NewRecorder()
	d := &delivery{
		writer:        recorder,
		headerWritten: true,
	}
	var failure *NoContinuationError
	require.ErrorAs(t, d.relay("1", response), &failure)
	assert.Equal(t, http.StatusInternalServerError, failure.Status)
	assert.Empty(t, recorder.Body.String())
}
