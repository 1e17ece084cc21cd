package hwforward_test

import (
	"io"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// endless sends the head of a signed answer and then the same bytes until its caller closes.
func endless(code int, more string, header ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Signed", "1")
		for i := 0; i+1 < len(header); i += 2 {
			w.Header().Set(header[i], header[i+1])
		}
		w.WriteHeader(code)
		for r.Context().Err() == nil {
			if _, err := io.WriteString(w, strings.Repeat(more, 1+(32<<10)/len(more))); err != nil {
				return
			}
		}
	}
}

// Pattern: the body of an answer never ends. What must not run twice fails without a promise, what may be repeated is answered by another upstream, and a stream is cut.
func TestAnAnswerThatNeverEnds(t *testing.T) {
	for name, bad := range map[string]http.HandlerFunc{
		"body":    endless(http.StatusOK, "x"),
		"refusal": endless(http.StatusServiceUnavailable, "x", "X-Not-Run", "1"),
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, bad, bad)
			got := w.call(http.MethodPost, "/order/1", "x")
			if name == "refusal" {
				assert.Equal(t, http.StatusServiceUnavailable, got.status, "the upstreams said so")
				return
			}
			assert.Equal(t, http.StatusBadGateway, got.status)
			assert.Equal(t, 1, w.runs())
			assert.Contains(t, w.log.String(), "larger than")
		})
		t.Run(name+" of what may be repeated", func(t *testing.T) {
			w := newWorld(t, bad, good)
			for range 4 {
				assert.Equal(t, http.StatusOK, w.call(http.MethodGet, "/safe/1", "").status)
			}
		})
	}
	t.Run("event", func(t *testing.T) {
		w := newWorld(t, endless(http.StatusOK, "data: x"))
		assert.Equal(t, http.StatusBadGateway, w.call(http.MethodPost, "/stream/1", "x").status)
		assert.Contains(t, w.log.String(), "an event that is too large")
	})
	t.Run("events", func(t *testing.T) {
		w := newWorld(t, endless(http.StatusOK, "id: 1\ndata: x\n\n"))
		got := w.call(http.MethodPost, "/resumable/1", "x")
		assert.False(t, got.whole, "the route's time ends it")
	})
}

// Pattern: hundreds of upstreams announce long answers and send little. Memory goes by what has arrived.
func TestAnnouncedLengthsTakeNoMemory(t *testing.T) {
	w := newWorld(t, func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("X-Id", r.Header.Get("X-Id"))
		rw.Header().Set("X-Signed", "1")
		rw.Header().Set("Content-Length", strconv.Itoa(15<<20))
		_, _ = io.WriteString(rw, "little")
		panic(http.ErrAbortHandler)
	})
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range 50 {
		assert.Equal(t, http.StatusBadGateway, w.call(http.MethodPost, "/order/1", "x").status)
	}
	runtime.ReadMemStats(&after)
	assert.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(50<<20), "a fifteenth of what was announced")
}

// Pattern: many upstreams send long bodies at once. Beyond the bound on all of them requests fail one by one, and the others are served.
func TestBodiesTogetherAreBounded(t *testing.T) {
	release := make(chan struct{})
	w := newWorld(t, func(rw http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.RequestURI, "/public/") {
			good(rw, r)
			return
		}
		rw.Header().Set("X-Id", r.Header.Get("X-Id"))
		rw.Header().Set("X-Signed", "1")
		_, _ = io.WriteString(rw, strings.Repeat("x", 4<<20))
		rw.(http.Flusher).Flush()
		<-release
	})
	statuses := make(chan int, 8)
	for range 8 {
		go func() { statuses <- w.call(http.MethodPost, "/public/1", "x").status }()
	}
	failed := 0
	for range 6 {
		// Two fit: each has 4 MiB, for which it takes 8 MiB and more while it grows.
		select {
		case status := <-statuses:
			assert.Equal(t, http.StatusBadGateway, status)
			failed++
		case <-time.After(5 * time.Second):
			t.Fatal("nothing bounds the bodies")
		}
	}
	assert.Equal(t, http.StatusOK, w.call(http.MethodPost, "/order/1", "x").status, "short ones are served all the while")
	assert.Contains(t, w.log.String(), "no room for another")
	close(release)
	for range 8 - failed {
		<-statuses
	}
	require.Eventually(t, func() bool { return strings.Contains(metrics(w), "hickorywick_body_bytes_held 0\n") }, time.Second, time.Millisecond, "all memory is given back")
}

func metrics(w *world) string {
	var text strings.Builder
	w.router.WriteMetrics(&text, w.clock.now())
	return text.String()
}

// Pattern: a sound stream with pauses longer than any write may take, beside one that sends a byte now and then and never a whole event. The first is relayed to its end, the second ends with its route's time.
func TestSlowStreamsAndStalledOnes(t *testing.T) {
	slow := func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("X-Id", r.Header.Get("X-Id"))
		rw.Header().Set("X-Signed", "1")
		for id := range 4 {
			_, _ = io.WriteString(rw, "id: "+strconv.Itoa(id)+"\ndata: x\n\n")
			rw.(http.Flusher).Flush()
			time.Sleep(400 * time.Millisecond)
		}
	}
	w := newWorldWith(t, func(s *settings) { s.WriteTimeout = 200 * time.Millisecond }, slow)
	got := w.call(http.MethodPost, "/stream/1", "x")
	assert.Equal(t, http.StatusOK, got.status)
	assert.True(t, got.whole)
	assert.Equal(t, 4, strings.Count(got.body, "data: x"))

	ended := make(chan struct{})
	stalled := newWorld(t, func(rw http.ResponseWriter, r *http.Request) {
		defer close(ended)
		rw.Header().Set("X-Id", r.Header.Get("X-Id"))
		rw.Header().Set("X-Signed", "1")
		for r.Context().Err() == nil {
			_, _ = io.WriteString(rw, ":")
			rw.(http.Flusher).Flush()
			time.Sleep(50 * time.Millisecond)
		}
	})
	began := time.Now()
	got = stalled.call(http.MethodPost, "/stream/1", "x")
	assert.Equal(t, http.StatusGatewayTimeout, got.status, "it may have run")
	assert.Less(t, time.Since(began), 2500*time.Millisecond, "the route's time is 2 s")
	<-ended
}
