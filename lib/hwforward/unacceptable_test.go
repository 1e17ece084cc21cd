package hwforward_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// spoil returns a handler whose answers are those of another one with a changed header, for all requests or only for those that resume a stream.
func spoil(handler http.HandlerFunc, onlyResumed bool, change func(http.Header)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if onlyResumed && r.Header.Get("Last-Event-Id") == "" {
			handler(w, r)
			return
		}
		handler(&spoiledWriter{
			ResponseWriter: w,
			change:         change,
		}, r)
	}
}

type spoiledWriter struct {
	http.ResponseWriter
	change func(http.Header)
	status int
}

func (w *spoiledWriter) WriteHeader(status int) {
	w.change(w.Header())
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

func (w *spoiledWriter) Write(p []byte) (int, error) {
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap gives http.ResponseController the writer that can flush.
func (w *spoiledWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Streams with a Content-Encoding were relayed as complete successes, because only whole answers were checked for it. What makes an answer unacceptable must hold for whole answers, streams and continuations alike.
func TestAnUnacceptableAnswerIsRejectedOnEveryPath(t *testing.T) {
	for name, change := range map[string]func(http.Header){
		"content encoding":          func(h http.Header) { h.Set("Content-Encoding", "deflate") },
		"identity content encoding": func(h http.Header) { h.Set("Content-Encoding", "identity") },
		"empty content encoding":    func(h http.Header) { h["Content-Encoding"] = []string{""} },
		"no signature":              func(h http.Header) { h.Del("X-Signed") },
		"another request's ID":      func(h http.Header) { h.Set("X-Id", "another") },
	} {
		t.Run(name, func(t *testing.T) {
			for path, handler := range map[string]http.HandlerFunc{
				"/order/1":     respondOK,
				"/safe/1":      respondOK,
				"/stream/1":    streamHandler(0, false),
				"/resumable/1": streamHandler(0, false),
			} {
				bad := spoil(handler, false, change)
				got := newFixture(t, bad, bad, bad).call(http.MethodPost, path, "x", "X-Left", "500")
				// The router waits for the right answer after one with another ID.
				assert.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, got.status, path)
			}
			bad := spoil(streamHandler(5, false), true, change)
			got := newFixture(t, bad, bad, bad).call(http.MethodPost, "/resumable/1", "x", "X-Left", "500")
			assert.Equal(t, http.StatusOK, got.status)
			assert.False(t, got.complete)
			assert.NotContains(t, got.body, "id: 6\n", "nothing of the continuation")
		})
	}
}

// The media type of a stream was compared letter by letter, so one in other case was held back until its end.
func TestAStreamIsRecognisedByItsMediaTypeInAnyForm(t *testing.T) {
	for _, contentType := range []string{"Text/Event-Stream", "text/event-stream ; charset=utf-8", "TEXT/EVENT-STREAM;x=y"} {
		handler := spoil(streamHandler(5, false), false, func(h http.Header) { h.Set("Content-Type", contentType) })
		got := newFixture(t, handler, handler, handler, handler).call(http.MethodPost, "/resumable/1", "x")
		assert.Equal(t, 5, strings.Count(got.body, "data:"), contentType)
	}
}
