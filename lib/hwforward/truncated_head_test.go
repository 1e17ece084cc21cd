package hwforward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hickorywick/hickorywick/lib/hwplace"
)

// closingUpstream accepts connections and sends the given bytes in answer to each request, with %ID% replaced by its ID, and then closes the connection.
func closingUpstream(t *testing.T, answer string) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(conn, strings.ReplaceAll(answer, "%ID%", request.Header.Get("X-Id")))
			}()
		}
	}()
	return listener.Addr().String()
}

// An upstream stopped in the middle of its answer's head and closed the connection. Callers of similar systems got a success with an empty or short body, framed as complete.
func TestAnAnswerThatStopsInItsHeadIsNoSuccess(t *testing.T) {
	for name, c := range map[string]struct{ path, head string }{
		"length":             {path: "/order/1", head: "HTTP/1.1 200 OK\r\nX-Id: %ID%\r\nX-Signed: 1\r\nContent-Length: 12\r\n\r\n"},
		"no length":          {path: "/order/1", head: "HTTP/1.1 200 OK\r\nX-Id: %ID%\r\nX-Signed: 1\r\nConnection: close\r\n\r\n"},
		"chunks":             {path: "/order/1", head: "HTTP/1.1 200 OK\r\nX-Id: %ID%\r\nX-Signed: 1\r\nTransfer-Encoding: chunked\r\n\r\n"},
		"stream":             {path: "/stream/1", head: "HTTP/1.1 200 OK\r\nX-Id: %ID%\r\nX-Signed: 1\r\nContent-Type: text/event-stream\r\n\r\n"},
		"after interim":      {path: "/order/1", head: "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: %ID%\r\nX-Signed: 1\r\n\r\n"},
		"lines without a CR": {path: "/order/1", head: "HTTP/1.1 200 OK\nX-Id: %ID%\nX-Signed: 1\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for cut := range len(strings.TrimRight(c.head, "\r\n")) + 1 {
				f := newFixture(t, respondOK)
				list := f.list
				list[0].Address = closingUpstream(t, c.head[:cut])
				f.router.SetUpstreams(f.clock.now(), list, hwplace.EvacuatedZones{})
				got := f.call(http.MethodPost, c.path, "x")
				assert.NotEqual(t, http.StatusOK, got.status, fmt.Sprintf("%q", c.head[:cut]))
				f.front.Close()
			}
		})
	}
}

// The same in the body: it is shorter than its length or lacks its last chunk.
func TestAnAnswerThatStopsInItsBodyIsNoSuccess(t *testing.T) {
	for name, answer := range map[string]string{
		"length":             "Content-Length: 12\r\n\r\nshort",
		"chunk":              "Transfer-Encoding: chunked\r\n\r\n5\r\nsho",
		"last chunk":         "Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
		"trailers":           "Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n0\r\nX-Trailer: 1",
		"end of last chunk":  "Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n0\r\n",
		"chunk size":         "Transfer-Encoding: chunked\r\n\r\n5",
		"no chunk at all":    "Transfer-Encoding: chunked\r\n\r\n",
		"nothing of a body":  "Content-Length: 12\r\n\r\n",
		"one byte too short": "Content-Length: 6\r\n\r\nshort",
	} {
		t.Run(name, func(t *testing.T) {
			for _, path := range []string{"/order/1", "/stream/1"} {
				f := newFixture(t, respondOK)
				head := "HTTP/1.1 200 OK\r\nX-Id: %ID%\r\nX-Signed: 1\r\n"
				if path == "/stream/1" {
					head += "Content-Type: text/event-stream\r\n"
				}
				list := f.list
				list[0].Address = closingUpstream(t, head+answer)
				f.router.SetUpstreams(f.clock.now(), list, hwplace.EvacuatedZones{})
				got := f.call(http.MethodPost, path, "x")
				assert.False(t, got.status == http.StatusOK && got.complete, "%s: %d %q", path, got.status, got.body)
			}
		})
	}
}

// An upstream stopped in the middle of its head and kept the connection. The caller waits no longer than its route allows.
func TestAnAnswerThatStallsInItsHeadEndsWithTheTimeOfItsRoute(t *testing.T) {
	for _, path := range []string{"/order/1", "/stream/1"} {
		f := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Sig")
			t.Cleanup(func() { _ = conn.Close() })
		})
		began := time.Now()
		got := f.call(http.MethodPost, path, "x", "X-Left", "400")
		assert.Equal(t, http.StatusGatewayTimeout, got.status)
		assert.Less(t, time.Since(began), 900*time.Millisecond)
	}
}
