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

// endlessMemory is what an exchange with an upstream that never stops sending may allocate, in bytes: a small part of the smallest router's 284 MB.
const endlessMemory = 4 << 20

// within checks that an exchange allocates less than a number of bytes.
func within(t *testing.T, bytes uint64, exchange func()) {
	t.Helper()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	exchange()
	runtime.ReadMemStats(&after)
	assert.Less(t, after.TotalAlloc-before.TotalAlloc, bytes)
}

// Pattern: an upstream in trouble sends bytes until its caller closes. Whatever they look like, the exchange ends by itself, in little memory, and tells why.
func TestAnUpstreamThatNeverStopsSending(t *testing.T) {
	for name, c := range map[string]struct{ head, more string }{
		"status line":       {head: "HTTP/1.1 200 ", more: "O"},
		"one header line":   {head: "HTTP/1.1 200 OK\r\nX-Long: ", more: "x"},
		"header fields":     {head: "HTTP/1.1 200 OK\r\n", more: "X-Field: 1\r\n"},
		"continuation line": {head: "HTTP/1.1 200 OK\r\nX-Long: 1\r\n", more: " 1\r\n"},
		"interim answers":   {more: "HTTP/1.1 100 Continue\r\n\r\n"},
		"interim headers":   {more: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
		"junk":              {more: "\x00"},
		"empty lines":       {more: "\r\n"},
		"answers of others": {more: answer("another", "theirs")},
		"one answer of another": {
			head: "HTTP/1.1 200 OK\r\n" + idHeader + ": another\r\nContent-Length: 999999999999\r\n\r\n",
			more: "theirs",
		},
		"chunks of another's answer": {
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
			address := upstream(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
				defer close(closed)
				_, _, _ = read(reader)
				_, err := io.WriteString(conn, c.head)
				for err == nil {
					_, err = conn.Write(more)
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			within(t, endlessMemory, func() {
				a, failure := links().Do(ctx, time.Now(), request(address, "1"))
				if failure == nil {
					// What the body brings is bounded by whoever reads it; its frame is not.
					_, err := io.Copy(io.Discard, io.LimitReader(a.Body, 1<<20))
					require.Error(t, err)
					a.Close()
				} else {
					assert.True(t, failure.MaybeSent)
					assert.False(t, failure.ConnectionFailed, "the upstream did not crash")
					assert.Contains(t, failure.Error(), address)
				}
			})
			require.NoError(t, ctx.Err(), "the exchange ends by itself")
			<-closed
		})
	}
}

func TestAHeadWithinItsBoundsIsTaken(t *testing.T) {
	address := upstream(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		_, _, _ = read(reader)
		_, _ = io.WriteString(conn, strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 5)+
			"HTTP/1.1 200 OK\r\nX-Long: "+strings.Repeat("x", 32<<10)+"\r\n"+
			strings.Repeat("X-Field: 1\r\n", 100)+
			"Content-Length: 200000\r\n\r\n"+strings.Repeat("b", 200_000))
	})
	body, failure := exchange(links(), request(address, "1"))
	require.Nil(t, failure)
	assert.Len(t, body, 200_000, "the bound of the head is not one of the body")
}

// Pattern: an upstream sends the answer to a request twice, the second time late, when the connection carries the next request already.
func TestASecondCopyOfAnAnswerIsNotTheNextRequestsAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		copied string
		// mine tells that the second request gets its own answer in the end.
		mine bool
	}{
		"with a length": {copied: answer("1", "first"), mine: true},
		"in chunks":     {copied: "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n0\r\n\r\n", mine: true},
		"without an id": {copied: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"},
		"to its end":    {copied: "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\n\r\nfirst"},
	} {
		t.Run(name, func(t *testing.T) {
			address := upstream(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
				_, _, _ = read(reader)
				_, _ = io.WriteString(conn, answer("1", "first"))
				if _, _, whole := read(reader); whole {
					_, _ = io.WriteString(conn, c.copied+answer("2", "second"))
				}
			})
			l := links()
			_, failure := exchange(l, request(address, "1"))
			require.Nil(t, failure)
			body, failure := exchange(l, request(address, "2"))
			require.EqualValues(t, 1, l.ConnectionsOpened(), "the connection was in use again")
			if c.mine {
				require.Nil(t, failure)
				assert.Equal(t, "second", body)
				return
			}
			require.NotNil(t, failure)
			assert.True(t, failure.IDMismatch)
			assert.True(t, failure.MaybeSent, "it may have run")
		})
	}
}

// A request without an id, and one that goes to the same upstream again, could not tell a late answer from their own.
func TestRequestsThatCouldNotTellALateAnswerGetANewConnection(t *testing.T) {
	for name, change := range map[string]func(*hwlink.Request){
		"without an id":       func(r *hwlink.Request) { r.ID, r.Header = "", http.Header{} },
		"sent there before":   func(r *hwlink.Request) { r.NewConnection = true },
		"with an id, as ever": func(*hwlink.Request) {},
	} {
		t.Run(name, func(t *testing.T) {
			l := links()
			address := upstream(t, echo)
			for n := range 2 {
				r := request(address, strconv.Itoa(n))
				change(r)
				_, failure := exchange(l, r)
				require.Nil(t, failure)
			}
			want := int64(2)
			if name == "with an id, as ever" {
				want = 1
			}
			assert.Equal(t, want, l.ConnectionsOpened())
		})
	}
}

// BenchmarkExchange is one small request and its answer over a kept connection.
func BenchmarkExchange(b *testing.B) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(b, err)
	b.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			echo(1, conn, bufio.NewReader(conn))
		}
	}()
	l := links()
	for b.Loop() {
		_, failure := exchange(l, request(listener.Addr().String(), "1"))
		require.Nil(b, failure)
	}
}
