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

func newTransport() *hwlink.Transport {
	return hwlink.New(hwlink.Settings{
		DialTimeout:        time.Second,
		IdleTimeout:        10 * time.Second,
		IdleTimeoutMargin:  time.Second,
		MaxIdlePerUpstream: 8,
		TCPUserTimeout:     2 * time.Second,
	})
}

// startUpstream listens on a local port and calls serve for each connection, numbered from 1. It returns the address.
func startUpstream(t *testing.T, serve func(number int, conn net.Conn, reader *bufio.Reader)) string {
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

func newRequest(address, id string) *hwlink.Request {
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

func response(id, body string) string {
	return "HTTP/1.1 200 OK\r\n" + idHeader + ": " + id + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// readRequest reads one request with its body and reports whether it was complete.
func readRequest(reader *bufio.Reader) (*http.Request, string, bool) {
	r, err := http.ReadRequest(reader)
	if err != nil {
		return nil, "", false
	}
	body, err := io.ReadAll(r.Body)
	return r, string(body), err == nil
}

// echoRequests responds to each request with its target and body.
func echoRequests(_ int, conn net.Conn, reader *bufio.Reader) {
	for {
		r, body, ok := readRequest(reader)
		if !ok {
			return
		}
		_, _ = io.WriteString(conn, response(r.Header.Get(idHeader), r.RequestURI+" "+body))
	}
}

// roundTrip sends a request and reads the whole response body.
func roundTrip(transport *hwlink.Transport, r *hwlink.Request) (string, *hwlink.ExchangeError) {
	resp, failure := transport.Do(context.Background(), time.Now(), r)
	if failure != nil {
		return "", failure
	}
	defer resp.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", &hwlink.ExchangeError{MaybeSent: true, Cause: err}
	}
	resp.ReleaseConnection(time.Now())
	return string(body), nil
}

func TestTargetAndBodyAreSentUnchangedAndConnectionIsReused(t *testing.T) {
	transport := newTransport()
	address := startUpstream(t, echoRequests)
	for i := range 5 {
		body, failure := roundTrip(transport, newRequest(address, strconv.Itoa(i)))
		require.Nil(t, failure)
		assert.Equal(t, "/a//b/../c?x=%2f body", body)
	}
	assert.EqualValues(t, 1, transport.ConnectionsOpened())
}

// A reused connection breaks after a request was sent on it: the failure must be returned to the caller, and the request must not be sent again.
func TestRequestIsNotRetriedWhenReusedConnectionBreaks(t *testing.T) {
	transport := newTransport()
	var requests atomic.Int32
	address := startUpstream(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		for n := 0; ; n++ {
			r, _, ok := readRequest(reader)
			if !ok {
				return
			}
			requests.Add(1)
			if n > 0 {
				return
			}
			_, _ = io.WriteString(conn, response(r.Header.Get(idHeader), ""))
		}
	})
	_, failure := roundTrip(transport, newRequest(address, "1"))
	require.Nil(t, failure)
	_, failure = roundTrip(transport, newRequest(address, "2"))
	require.NotNil(t, failure)
	assert.True(t, failure.MaybeSent)
	assert.True(t, failure.ConnectionFailed)
	assert.EqualValues(t, 2, requests.Load())
}

// An upstream closes an idle connection, or sends more on it than its response. The next request must not use that connection.
func TestConnectionClosedOrWithExtraBytesIsNotReused(t *testing.T) {
	for name, disturb := range map[string]func(net.Conn){
		"closed":      func(c net.Conn) { _ = c.Close() },
		"extra bytes": func(c net.Conn) { _, _ = io.WriteString(c, response("1", "stray")) },
	} {
		t.Run(name, func(t *testing.T) {
			transport := newTransport()
			disturbed := make(chan struct{})
			address := startUpstream(t, func(number int, conn net.Conn, reader *bufio.Reader) {
				r, _, _ := readRequest(reader)
				_, _ = io.WriteString(conn, response(r.Header.Get(idHeader), "own"))
				if number == 1 {
					time.Sleep(20 * time.Millisecond)
					disturb(conn)
					close(disturbed)
				}
				_, _, _ = readRequest(reader)
			})
			_, failure := roundTrip(transport, newRequest(address, "1"))
			require.Nil(t, failure)
			<-disturbed
			require.Eventually(t, func() bool {
				body, failure := roundTrip(transport, newRequest(address, "2"))
				return failure == nil && body == "own"
			}, 2*time.Second, 10*time.Millisecond)
			assert.GreaterOrEqual(t, transport.ConnectionsOpened(), int64(2))
		})
	}
}

// A late response to an earlier request is recognised by its ID: it must be skipped, and the request's own response returned.
func TestLateResponseToAnotherRequestIsSkipped(t *testing.T) {
	address := startUpstream(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		r, _, _ := readRequest(reader)
		_, _ = io.WriteString(conn, response("another", "theirs")+response(r.Header.Get(idHeader), "mine"))
	})
	body, failure := roundTrip(newTransport(), newRequest(address, "1"))
	require.Nil(t, failure)
	assert.Equal(t, "mine", body)
}

func TestCloseDelimitedResponseWithAnotherIDIsAnError(t *testing.T) {
	address := startUpstream(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		_, _, _ = readRequest(reader)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+idHeader+": another\r\n\r\ntheirs")
	})
	_, failure := roundTrip(newTransport(), newRequest(address, "1"))
	require.NotNil(t, failure)
	assert.True(t, failure.IDMismatch)
	assert.False(t, failure.ConnectionFailed)
}

// An upstream may respond before it has read a large body. The response must be returned, and the connection, on which the rest of the body is still to be sent, must not be reused.
func TestEarlyResponseToLargeBodyIsReturnedAndConnectionIsNotReused(t *testing.T) {
	transport := newTransport()
	release := make(chan struct{})
	address := startUpstream(t, func(number int, conn net.Conn, reader *bufio.Reader) {
		if number > 1 {
			echoRequests(number, conn, reader)
			return
		}
		r, _ := http.ReadRequest(reader)
		_, _ = io.WriteString(conn, response(r.Header.Get(idHeader), "early"))
		<-release
	})
	defer close(release)
	large := newRequest(address, "1")
	large.Body = []byte(strings.Repeat("x", 16<<20))
	body, failure := roundTrip(transport, large)
	require.Nil(t, failure)
	assert.Equal(t, "early", body)
	body, failure = roundTrip(transport, newRequest(address, "2"))
	require.Nil(t, failure)
	assert.Contains(t, body, "body")
	assert.EqualValues(t, 2, transport.ConnectionsOpened())
}

func TestTruncatedResponseBodyIsAnError(t *testing.T) {
	for name, head := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address := startUpstream(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
				_, _, _ = readRequest(reader)
				_, _ = io.WriteString(conn, head)
			})
			_, failure := roundTrip(newTransport(), newRequest(address, "1"))
			assert.NotNil(t, failure)
		})
	}
}

func TestMalformedResponseIsNotAConnectionFailure(t *testing.T) {
	address := startUpstream(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		_, _, _ = readRequest(reader)
		_, _ = io.WriteString(conn, "garbage garbage garbage\r\n\r\n")
	})
	_, failure := roundTrip(newTransport(), newRequest(address, "1"))
	require.NotNil(t, failure)
	assert.True(t, failure.MaybeSent)
	assert.False(t, failure.ConnectionFailed)
}

func TestRefusedConnectionSendsNothing(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	_, failure := roundTrip(newTransport(), newRequest(address, "1"))
	require.NotNil(t, failure)
	assert.False(t, failure.MaybeSent)
	assert.Error(t, newTransport().Probe(context.Background(), address))
}

// The check uses no request, so it must tell an open connection from one that the upstream has closed without taking it out of the pool.
func TestAnOpenIdleConnectionShowsThatTheUpstreamLives(t *testing.T) {
	end := make(chan struct{})
	address := startUpstream(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		_, _, _ = readRequest(reader)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Id: 1\r\n\r\nok")
		<-end
		_ = conn.Close()
	})
	transport := newTransport()
	assert.Equal(t, hwlink.IdleNone, transport.IdleState(time.Now(), address))
	_, failure := roundTrip(transport, newRequest(address, "1"))
	require.Nil(t, failure)
	assert.Equal(t, hwlink.IdleOpen, transport.IdleState(time.Now(), address))
	assert.Equal(t, hwlink.IdleOpen, transport.IdleState(time.Now(), address), "it is still there")
	close(end)
	assert.Eventually(t, func() bool { return transport.IdleState(time.Now(), address) == hwlink.IdleClosed }, 2*time.Second, time.Millisecond)
}

// Cancelling must close the connection, even while waiting for the response, so that the upstream stops executing the request.
func TestCancellingClosesTheConnection(t *testing.T) {
	arrived, closed := make(chan struct{}), make(chan struct{})
	address := startUpstream(t, func(_ int, _ net.Conn, reader *bufio.Reader) {
		_, _, _ = readRequest(reader)
		close(arrived)
		_, _ = reader.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan *hwlink.ExchangeError, 1)
	go func() {
		_, failure := newTransport().Do(ctx, time.Now(), newRequest(address, "1"))
		result <- failure
	}()
	<-arrived
	cancel()
	assert.NotNil(t, <-result)
	<-closed
}

// An idle connection must expire before the upstream's own idle timeout does.
func TestUpstreamKeepAliveTimeoutIsHonoured(t *testing.T) {
	transport := newTransport()
	address := startUpstream(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		for {
			r, _, ok := readRequest(reader)
			if !ok {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\n"+idHeader+": "+r.Header.Get(idHeader)+"\r\nContent-Length: 0\r\n\r\n")
		}
	})
	for i := range 2 {
		_, failure := roundTrip(transport, newRequest(address, strconv.Itoa(i)))
		require.Nil(t, failure)
	}
	assert.EqualValues(t, 2, transport.ConnectionsOpened(), "1 s of Keep-Alive timeout less the margin of 1 s leaves no time to reuse the connection")
}

// An upstream may silently drop a connection that has been idle for long. A request that must not be retried sets MaxConnIdleTime to avoid such a connection.
func TestConnectionIdleLongerThanMaxConnIdleTimeIsNotUsed(t *testing.T) {
	transport := newTransport()
	address := startUpstream(t, echoRequests)
	now := time.Now()
	sendAt := func(at time.Time, id string, maxIdle time.Duration) {
		r := newRequest(address, id)
		r.MaxConnIdleTime = maxIdle
		resp, failure := transport.Do(context.Background(), at, r)
		require.Nil(t, failure)
		_, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		resp.ReleaseConnection(at)
	}
	sendAt(now, "1", time.Second)
	sendAt(now.Add(500*time.Millisecond), "2", time.Second)
	assert.EqualValues(t, 1, transport.ConnectionsOpened())
	sendAt(now.Add(3*time.Second), "3", time.Second)
	assert.EqualValues(t, 2, transport.ConnectionsOpened())
	sendAt(now.Add(6*time.Second), "4", 0)
	assert.EqualValues(t, 2, transport.ConnectionsOpened())
}

// An upstream asked for a pause while a connection to it was opened for another request.
func TestAWithheldRequestIsNotSent(t *testing.T) {
	transport := newTransport()
	address := startUpstream(t, echoRequests)
	withheld := newRequest(address, "1")
	withheld.Withhold = func() bool { return true }
	_, failure := roundTrip(transport, withheld)
	require.NotNil(t, failure)
	assert.False(t, failure.MaybeSent)
	assert.False(t, failure.ConnectionFailed)
	body, failure := roundTrip(transport, newRequest(address, "2"))
	require.Nil(t, failure)
	assert.Equal(t, "/a//b/../c?x=%2f body", body, "it is the first request that arrives")
}
