package hwforward_test

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
)

// respondRaw takes over a connection and writes what answer returns for each request on it.
func respondRaw(answer func(number int, r *http.Request) string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, buffered, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		for number := 0; ; number++ {
			if _, err := io.WriteString(conn, answer(number, r)); err != nil {
				return
			}
			if r, err = http.ReadRequest(buffered.Reader); err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
		}
	}
}

func rawResponse(status int, id string, body string, header ...string) string {
	text := fmt.Sprintf("HTTP/1.1 %d x\r\nX-Signed: 1\r\nContent-Length: %d\r\n", status, len(body))
	if id != "" {
		text += "X-Id: " + id + "\r\n"
	}
	for _, line := range header {
		text += line + "\r\n"
	}
	return text + "\r\n" + body
}

// A faulty upstream wrote an earlier refusal once more on a kept connection. Callers were told that requests had not run which the upstream had run, or such a request was sent to a second upstream.
func TestARepeatedRefusalIsNotTakenForTheNextResponse(t *testing.T) {
	for name, copyHasID := range map[string]bool{"with the ID of its request": true, "without an ID": false} {
		t.Run(name, func(t *testing.T) {
			var executed atomic.Int32
			refusedID := ""
			faulty := respondRaw(func(number int, r *http.Request) string {
				if number == 0 {
					refusedID = r.Header.Get("X-Id")
					return rawResponse(http.StatusServiceUnavailable, refusedID, "full", "X-Not-Run: 1")
				}
				executed.Add(1)
				id := ""
				if copyHasID {
					id = refusedID
				}
				return rawResponse(http.StatusServiceUnavailable, id, "full", "X-Not-Run: 1") + rawResponse(http.StatusOK, r.Header.Get("X-Id"), "done")
			})
			f := newFixture(t, faulty)
			f.call(http.MethodPost, "/order/1", "x")
			executed.Store(0)
			got := f.call(http.MethodPost, "/order/1", "x")
			assert.LessOrEqual(t, executed.Load(), int32(1), "it runs at most once")
			if executed.Load() == 1 {
				assert.NotEqual(t, http.StatusServiceUnavailable, got.status, "it has run, so it must not be promised that it has not")
			}
			if copyHasID {
				assert.Equal(t, http.StatusOK, got.status, "the response of the request itself follows the copy")
			}
		})
	}
}

// A stream had begun and broke off, and the next upstream answered with an error in a form that looks like success. Callers found the error's text in the middle of their stream, or the stream ended as if it were complete.
func TestNothingButEventsContinuesAStream(t *testing.T) {
	for name, second := range map[string]http.HandlerFunc{
		"a signed text": func(w http.ResponseWriter, r *http.Request) {
			respondOK(w, r)
		},
		"a signed JSON object": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			w.Header().Set("X-Id", r.Header.Get("X-Id"))
			w.Header().Set("X-Signed", "1")
			_, _ = io.WriteString(w, `{"error":"overloaded"}`+"\n\n")
		},
		"a signed head in the body": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("X-Id", r.Header.Get("X-Id"))
			w.Header().Set("X-Signed", "1")
			_, _ = io.WriteString(w, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\n\r\nfail")
		},
		"an event without its end": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("X-Id", r.Header.Get("X-Id"))
			w.Header().Set("X-Signed", "1")
			_, _ = io.WriteString(w, "id: 8\ndata: 8")
		},
	} {
		t.Run(name, func(t *testing.T) {
			var first atomic.Bool
			handler := func(w http.ResponseWriter, r *http.Request) {
				if first.CompareAndSwap(false, true) {
					streamHandler(7, true)(w, r)
					return
				}
				second(w, r)
			}
			f := newFixture(t, handler, handler)
			got := f.call(http.MethodPost, "/resumable/1", "x")
			assert.Equal(t, encodedEvents(1, 7), got.body)
			assert.False(t, got.complete)
		})
	}
}

// A stream whose framing is complete but that ends inside an event has been broken off by the upstream.
func TestAStreamThatEndsInsideAnEventIsBrokenOff(t *testing.T) {
	half := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Signed", "1")
		_, _ = io.WriteString(w, "id: 1\ndata: 1\n\nid: 2\ndata: ha")
	}
	got := newFixture(t, half).call(http.MethodPost, "/stream/1", "x")
	assert.Equal(t, encodedEvents(1, 1), got.body)
	assert.False(t, got.complete)
}
