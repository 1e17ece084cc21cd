package hwfront_test

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hickorywick/hickorywick/lib/hwfront"
)

// queuedListener is a listener with connections queued from the start, each with a request to read.
type queuedListener struct {
	queue chan net.Conn
	// answered holds one element for each response written.
	answered chan struct{}
	accepted int
	// backlog is the largest number of accepted but unanswered connections seen by Accept.
	backlog int
}

func (l *queuedListener) Addr() net.Addr { return &net.TCPAddr{} }
func (l *queuedListener) Close() error   { return nil }

func (l *queuedListener) Accept() (net.Conn, error) {
	l.backlog = max(l.backlog, l.accepted-len(l.answered))
	conn, ok := <-l.queue
	if !ok {
		return nil, net.ErrClosed
	}
	l.accepted++
	return conn, nil
}

// queuedConn is a connection whose whole request has already arrived.
type queuedConn struct {
	net.Conn
	request  []byte
	answered chan struct{}
}

func (c *queuedConn) Read(p []byte) (int, error) {
	if len(c.request) == 0 {
		return 0, io.EOF
	}
	n := copy(p, c.request)
	c.request = c.request[n:]
	return n, nil
}

func (c *queuedConn) Write(p []byte) (int, error) {
	c.answered <- struct{}{}
	return len(p), nil
}

func (c *queuedConn) Close() error                     { return nil }
func (c *queuedConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (c *queuedConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (c *queuedConn) SetDeadline(time.Time) error      { return nil }
func (c *queuedConn) SetReadDeadline(time.Time) error  { return nil }
func (c *queuedConn) SetWriteDeadline(time.Time) error { return nil }

// Rejected clients of one account retry on hundreds of new connections at once, on an instance with one processor. Their connections must wait in the accept queue rather than as goroutines of the process.
func TestQueuedConnectionsAreNotAcceptedAllAtOnce(t *testing.T) {
	const clients = 500
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	answered := make(chan struct{}, 2*clients)
	listener := &queuedListener{
		queue:    make(chan net.Conn, clients),
		answered: answered,
	}
	for range clients {
		listener.queue <- &queuedConn{
			request:  []byte("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"),
			answered: answered,
		}
	}
	close(listener.queue)
	err := http.Serve(hwfront.NewYieldingListener(listener), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "no")
	}))
	require.ErrorIs(t, err, net.ErrClosed)
	assert.Equal(t, clients, listener.accepted)
	// The garbage collector or a timer may delay a connection's goroutine once or twice.
	assert.LessOrEqual(t, listener.backlog, clients/10)
}
