package hwlink_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hickorywick/hickorywick/lib/hwlink"
)

const idHeader = "X-Id"

func links() *hwlink.Transport {
	return hwlink.New(hwlink.Settings{
		DialTimeout:        time.Second,
		IdleTimeout:        10 * time.Second,
		IdleTimeoutMargin:  time.Second,
		MaxIdlePerUpstream: 8,
		TCPUserTimeout:     2 * time.Second,
	})
}

// upstream accepts connections and hands each to serve, with its number from 1.
func upstream(t *testing.T, serve func(number int, conn net.Conn, reader *bufio.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for number := 1; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				serve(number, conn, bufio.NewReader(conn))
			}()
		}
	}()
	return listener.Addr().String()
}

func request(address, id string) *hwlink.Request {
	return &hwlink.Request{
		Address:  address,
		Method:   http.MethodPost,
		Target:   "/a//b/../c?x=%2f",
		Host:     "yard.example",
		Header:   http.Header{idHeader: {id}},
		Body:     []byte("body"),
		ID:       id,
		IDHeader: idHeader,
	}
}

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\n" + idHeader + ": " + id + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// read reads one request with its body.
func read(reader *bufio.Reader) (*http.Request, string, bool) {
	r, err := http.ReadRequest(reader)
	if err != nil {
		return nil, "", false
	}
	body, err := io.ReadAll(r.Body)
	return r, string(body), err == nil
}

func echo(_ int, conn net.Conn, reader *bufio.Reader) {
	for {
		r, body, whole := read(reader)
		if !whole {
			return
		}
		_, _ = io.WriteString(conn, answer(r.Header.Get(idHeader), r.RequestURI+" "+body))
	}
}

// exchange sends a request and reads the whole answer.
func exchange(l *hwlink.Transport, r *hwlink.Request) (string, *hwlink.ExchangeError) {
	a, failure := l.Do(context.Background(), time.Now(), r)
	if failure != nil {
		return "", failure
	}
	defer a.Close()
	body, err := io.ReadAll(a.Body)
	if err != nil {
		return "", &hwlink.ExchangeError{MaybeSent: true, Cause: err}
	}
	a.ReleaseConnection(time.Now())
	return string(body), nil
}

func TestTargetAndBodyGoUnchangedAndTheConnectionIsKept(t *testing.T) {
	l := links()
	address := upstream(t, echo)
	for i := range 5 {
		body, failure := exchange(l, request(address, strconv.Itoa(i)))
		require.Nil(t, failure)
		assert.Equal(t, "/a//b/../c?x=%2f body", body)
	}
	assert.EqualValues(t, 1, l.ConnectionsOpened())
}

// A kept connection that breaks under a request is reported, and the request is never sent again by itself.
func TestABrokenKeptConnectionIsNotRetried(t *testing.T) {
	l := links()
	var requests atomic.Int32
	address := upstream(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		for n := 0; ; n++ {
			r, _, whole := read(reader)
			if !whole {
				return
			}
			requests.Add(1)
			if n > 0 {
				return
			}
			_, _ = io.WriteString(conn, answer(r.Header.Get(idHeader), ""))
		}
	})
	_, failure := exchange(l, request(address, "1"))
	require.Nil(t, failure)
	_, failure = exchange(l, request(address, "2"))
	require.NotNil(t, failure)
	assert.True(t, failure.MaybeSent)
	assert.True(t, failure.ConnectionFailed)
	assert.EqualValues(t, 2, requests.Load())
}

// A kept connection on which the upstream said more than its answer, or which it has closed, is not used again.
func TestAConnectionWithDoubtIsNotUsedAgain(t *testing.T) {
	for name, after := range map[string]func(net.Conn){
		"closed":      func(c net.Conn) { _ = c.Close() },
		"extra bytes": func(c net.Conn) { _, _ = io.WriteString(c, answer("1", "stray")) },
	} {
		t.Run(name, func(t *testing.T) {
			l := links()
			went := make(chan struct{})
			address := upstream(t, func(number int, conn net.Conn, reader *bufio.Reader) {
				r, _, _ := read(reader)
				_, _ = io.WriteString(conn, answer(r.Header.Get(idHeader), "own"))
				if number == 1 {
					time.Sleep(20 * time.Millisecond)
					after(conn)
					close(went)
				}
				_, _, _ = read(reader)
			})
			_, failure := exchange(l, request(address, "1"))
			require.Nil(t, failure)
			<-went
			require.Eventually(t, func() bool {
				body, failure := exchange(l, request(address, "2"))
				return failure == nil && body == "own"
			}, 2*time.Second, 10*time.Millisecond)
			assert.GreaterOrEqual(t, l.ConnectionsOpened(), int64(2))
		})
	}
}

// An answer to an earlier request that comes late is told by its id: it is skipped, and the request's own answer is taken.
func TestALateAnswerOfAnotherRequestIsSkipped(t *testing.T) {
	address := upstream(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		r, _, _ := read(reader)
		_, _ = io.WriteString(conn, answer("another", "theirs")+answer(r.Header.Get(idHeader), "mine"))
	})
	body, failure := exchange(links(), request(address, "1"))
	require.Nil(t, failure)
	assert.Equal(t, "mine", body)
}

func TestACrossedAnswerWithoutLengthIsAFailure(t *testing.T) {
	address := upstream(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		_, _, _ = read(reader)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+idHeader+": another\r\n\r\ntheirs")
	})
	_, failure := exchange(links(), request(address, "1"))
	require.NotNil(t, failure)
	assert.True(t, failure.IDMismatch)
	assert.False(t, failure.ConnectionFailed)
}

// An upstream may answer before it has read a long body. The answer is taken, and the connection, on which the rest of the body is due, is not used again.
func TestAnEarlyAnswerToALongBody(t *testing.T) {
	l := links()
	release := make(chan struct{})
	address := upstream(t, func(number int, conn net.Conn, reader *bufio.Reader) {
		if number > 1 {
			echo(number, conn, reader)
			return
		}
		r, _ := http.ReadRequest(reader)
		_, _ = io.WriteString(conn, answer(r.Header.Get(idHeader), "early"))
		<-release
	})
	defer close(release)
	long := request(address, "1")
	long.Body = []byte(strings.Repeat("x", 16<<20))
	body, failure := exchange(l, long)
	require.Nil(t, failure)
	assert.Equal(t, "early", body)
	body, failure = exchange(l, request(address, "2"))
	require.Nil(t, failure)
	assert.Contains(t, body, "body")
	assert.EqualValues(t, 2, l.ConnectionsOpened())
}

func TestAnAnswerThatBreaksOffIsNotWhole(t *testing.T) {
	for name, head := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address := upstream(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
				_, _, _ = read(reader)
				_, _ = io.WriteString(conn, head)
			})
			_, failure := exchange(links(), request(address, "1"))
			assert.NotNil(t, failure)
		})
	}
}

func TestBytesThatAreNoAnswerAreNotTakenForACrash(t *testing.T) {
	address := upstream(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		_, _, _ = read(reader)
		_, _ = io.WriteString(conn, "garbage garbage garbage\r\n\r\n")
	})
	_, failure := exchange(links(), request(address, "1"))
	require.NotNil(t, failure)
	assert.True(t, failure.MaybeSent)
	assert.False(t, failure.ConnectionFailed)
}

func TestARefusedConnectionHandsNothingOver(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	_, failure := exchange(links(), request(address, "1"))
	require.NotNil(t, failure)
	assert.False(t, failure.MaybeSent)
	assert.False(t, links().CanConnect(context.Background(), address))
}

// Cancelling closes the connection, also while the answer is awaited, so that the upstream stops.
func TestCancellingClosesTheConnection(t *testing.T) {
	arrived, closed := make(chan struct{}), make(chan struct{})
	address := upstream(t, func(_ int, _ net.Conn, reader *bufio.Reader) {
		_, _, _ = read(reader)
		close(arrived)
		_, _ = reader.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan *hwlink.ExchangeError, 1)
	go func() {
		_, failure := links().Do(ctx, time.Now(), request(address, "1"))
		ended <- failure
	}()
	<-arrived
	cancel()
	assert.NotNil(t, <-ended)
	<-closed
}

// A connection is given up before the upstream's own idle timeout ends.
func TestKeepAliveTimeoutOfTheUpstreamIsHeeded(t *testing.T) {
	l := links()
	address := upstream(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		for {
			r, _, whole := read(reader)
			if !whole {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\n"+idHeader+": "+r.Header.Get(idHeader)+"\r\nContent-Length: 0\r\n\r\n")
		}
	})
	for i := range 2 {
		_, failure := exchange(l, request(address, strconv.Itoa(i)))
		require.Nil(t, failure)
	}
	assert.EqualValues(t, 2, l.ConnectionsOpened(), "a second less the margin leaves nothing")
}

// A request that can't be repeated does not trust a connection that has been idle for long: the upstream may have dropped it without notice.
func TestAConnectionThatWasIdleForLongIsNotUsedForARequestThatAsksForAFresherOne(t *testing.T) {
	l := links()
	address := upstream(t, echo)
	now := time.Now()
	send := func(at time.Time, id string, maxIdle time.Duration) {
		r := request(address, id)
		r.MaxConnIdleTime = maxIdle
		a, failure := l.Do(context.Background(), at, r)
		require.Nil(t, failure)
		_, err := io.ReadAll(a.Body)
		require.NoError(t, err)
		a.ReleaseConnection(at)
	}
	send(now, "1", time.Second)
	send(now.Add(500*time.Millisecond), "2", time.Second)
	assert.EqualValues(t, 1, l.ConnectionsOpened())
	send(now.Add(3*time.Second), "3", time.Second)
	assert.EqualValues(t, 2, l.ConnectionsOpened())
	send(now.Add(6*time.Second), "4", 0)
	assert.EqualValues(t, 2, l.ConnectionsOpened())
}
