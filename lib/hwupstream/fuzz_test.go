package hwupstream_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/tmaxmax/go-sse"

	"github.com/hickorywick/hickorywick/lib/hwupstream"
)

// FuzzEvents lets an upstream stream arbitrary bytes. A stream is complete only if its last event is the end marker, and a malformed stream must not affect the next attempt at the same upstream.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("data: {\"choices\":[]}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("id: 1\nevent: error\ndata: a\ndata: b\n\n"))
	f.Add([]byte("data: [DONE]"))
	f.Add([]byte("data: [DONE]\n\ndata: more\n\n"))
	f.Add([]byte(": comment\n\nretry: x\n\n\r\n\r"))
	f.Add(append([]byte("data: "), bytes.Repeat([]byte("x"), 5000)...))
	var body atomic.Pointer[[]byte]
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set(hwupstream.AttemptIDHeader, r.Header.Get(hwupstream.AttemptIDHeader))
		_, _ = w.Write(*body.Load())
	}))
	f.Cleanup(server.Close)
	client := hwupstream.NewClient(time.Second)
	f.Cleanup(client.Close)
	f.Fuzz(func(t *testing.T, data []byte) {
		body.Store(&data)
		response, err := client.Do(context.Background(), hwupstream.Attempt{
			ID:          "attempt",
			Upstream:    strings.TrimPrefix(server.URL, "http://"),
			Method:      http.MethodGet,
			Path:        "/",
			Header:      http.Header{},
			Idempotent:  true,
			IdleTimeout: 5 * time.Second,
		})
		require.NoError(t, err)
		defer response.Close()
		lastData := ""
		err = response.ReadEvents(4096, func(event sse.Event) error {
			lastData = event.Data
			return nil
		})
		if err == nil {
			assert.Equal(t, hwupstream.DoneMarker, lastData)
			return
		}
		var failure *hwupstream.Error
		require.ErrorAs(t, err, &failure)
		assert.True(t, failure.MaybeSent, "a response that began proves that the request was sent")
	})
}
