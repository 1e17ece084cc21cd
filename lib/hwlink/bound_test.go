package hwlink_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hickorywick/hickorywick/lib/hwlink"
)

// maxAllocatedBytes is how much an exchange with an upstream that never stops sending may allocate: a small part of the 284 MB of the smallest router.
const maxAllocatedBytes = 4 << 20

// assertAllocatesLess checks that a function allocates less than the given number of bytes.
func assertAllocatesLess(t *testing.T, bytes uint64, f func()) {
	t.Helper()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	assert.Less(t, after.TotalAlloc-before.TotalAlloc, bytes)
}

// A faulty upstream sends bytes until the connection is closed. Whatever the bytes are, the exchange must end by itself with an error, in bounded memory.
func TestEndlessResponseFailsInBoundedMemory(t *testing.T) {
	for name, c := range map[string]struct{ head, more string }{
		"status line":         {head: "HTTP/1.1 200 ", more: "O"},
		"one header line":     {head: "HTTP/1.1 200 OK\r\nX-Long: ", more: "x"},
		"header fields":       {head: "HTTP/1.1 200 OK\r\n", more: "X-Field: 1\r\n"},
		"continuation line":   {head: "HTTP/1.1 200 OK\r\nX-Long: 1\r\n", more: " 1\r\n"},
		"interim answers":     {more: "HTTP/1.1 100 Continue\r\n\r\n"},
		"interim headers":     {more: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
		"junk":                {more: "\x00"},
		"empty lines":         {more: "\r\n"},
		"responses to others": {more: response("another", "theirs")},
		"one response to another": {
			head: "HTTP/1.1 200 OK\r\n" + idHeader + ": another\r\nContent-Length: 999999999999\r\n\r\n",
			more: "theirs",
		},
		"chunked response to another": {
			head: "HTTP/1.1 200 OK\r\n" + idHeader + ": another\r\nTransfer-Encoding: chunked\r\n\r\n",
			more: "4\r\nhalf\r\n",
		},
		"chunk extension": {
			head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;",
			more: "extension",
		},
		"chunk extensions": {
			head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
			more: "1;" + strings.Repeat("e", 1000) + "\r\nx\r\n",
		},
		"trailers": {
			head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n",
			more: "X-Trailer: 1\r\n",
		},
	} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			more := []byte(strings.Repeat(c.more, 1+(32<<10)/len(c.more)))
			address := startUpstream(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
				defer close(closed)
				_, _, _ = readRequest(reader)
				_, err := io.WriteString(conn, c.head)
				for err == nil {
					_, err = conn.Write(more)
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			assertAllocatesLess(t, maxAllocatedBytes, func() {
				resp, failure := newTransport().Do(ctx, time.Now(), newRequest(address, "1"))
				if failure == nil {
					// The body's reader limits its content, but can't limit its framing, such as chunk extensions and trailers.
					_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<20))
					require.Error(t, err)
					resp.Close()
				} else {
					assert.True(t, failure.MaybeSent)
					assert.False(t, failure.ConnectionFailed, "the upstream did not crash")
					assert.Contains(t, failure.Error(), address)
				}
			})
			require.NoError(t, ctx.Err(), "the exchange must end by itself")
			<-closed
		})
	}
}

func TestHeadWithinLimitsIsAccepted(t *testing.T) {
	address := startUpstream(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		_, _, _ = readRequest(reader)
		_, _ = io.WriteString(conn, strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 5)+
			"HTTP/1.1 200 OK\r\nX-Long: "+strings.Repeat("x", 32<<10)+"\r\n"+
			strings.Repeat("X-Field: 1\r\n", 100)+
			"Content-Length: 200000\r\n\r\n"+strings.Repeat("b", 200_000))
	})
	body, failure := roundTrip(newTransport(), newRequest(address, "1"))
	require.Nil(t, failure)
	assert.Len(t, body, 200_000, "the limit on the head must not apply to the body")
}

// An upstream sends the response to a request twice, and the duplicate arrives late, when the connection already carries the next request.
func TestLateDuplicateResponseIsNotMatchedToNextRequest(t *testing.T) {
	for name, c := range map[string]struct {
		duplicate string
		// ownResponse reports that the second request gets its own response in the end.
		ownResponse bool
	}{
		"with a length":   {duplicate: response("1", "first"), ownResponse: true},
		"in chunks":       {duplicate: "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n0\r\n\r\n", ownResponse: true},
		"without an ID":   {duplicate: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"},
		"close-delimited": {duplicate: "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\n\r\nfirst"},
	} {
		t.Run(name, func(t *testing.T) {
			address := startUpstream(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
				_, _, _ = readRequest(reader)
				_, _ = io.WriteString(conn, response("1", "first"))
				if _, _, ok := readRequest(reader); ok {
					_, _ = io.WriteString(conn, c.duplicate+response("2", "second"))
				}
			})
			transport := newTransport()
			_, failure := roundTrip(transport, newRequest(address, "1"))
			require.Nil(t, failure)
			body, failure := roundTrip(transport, newRequest(address, "2"))
			require.EqualValues(t, 1, transport.ConnectionsOpened(), "the connection must have been reused")
			if c.ownResponse {
				require.Nil(t, failure)
				assert.Equal(t, "second", body)
				return
			}
			require.NotNil(t, failure)
			assert.True(t, failure.IDMismatch)
			assert.True(t, failure.MaybeSent, "the request may have been executed")
		})
	}
}

// A request without an ID, or one that is sent to the same upstream again, can't tell a late response to another request from its own.
func TestRequestsThatCannotDetectALateResponseUseANewConnection(t *testing.T) {
	for name, modify := range map[string]func(*hwlink.Request){
		"without an ID":                    func(r *hwlink.Request) { r.ID, r.Header = "", http.Header{} },
		"sent to the same upstream before": func(r *hwlink.Request) { r.NewConnection = true },
		"with an ID":                       func(*hwlink.Request) {},
	} {
		t.Run(name, func(t *testing.T) {
			transport := newTransport()
			address := startUpstream(t, echoRequests)
			for n := range 2 {
				r := newRequest(address, strconv.Itoa(n))
				modify(r)
				_, failure := roundTrip(transport, r)
				require.Nil(t, failure)
			}
			want := int64(2)
			if name == "with an ID" {
				want = 1
			}
			assert.Equal(t, want, transport.ConnectionsOpened())
		})
	}
}

// BenchmarkExchange measures one small request and its response over a reused connection.
func BenchmarkExchange(b *testing.B) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(b, err)
	b.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			echoRequests(1, conn, bufio.NewReader(conn))
		}
	}()
	transport := newTransport()
	for b.Loop() {
		_, failure := roundTrip(transport, newRequest(listener.Addr().String(), "1"))
		require.Nil(b, failure)
	}
}
