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

// crowd is a listener at which a number of callers wait from the beginning, each with its request sent.
type crowd struct {
	waiting chan net.Conn
	// answered are the requests that were answered, backlog the most that were accepted and not answered at any accept.
	answered chan struct{}
	accepted int
	backlog  int
}

func (c *crowd) Addr() net.Addr { return &net.TCPAddr{} }
func (c *crowd) Close() error   { return nil }

func (c *crowd) Accept() (net.Conn, error) {
	c.backlog = max(c.backlog, c.accepted-len(c.answered))
	conn, open := <-c.waiting
	if !open {
		return nil, net.ErrClosed
	}
	c.accepted++
	return conn, nil
}

// ready is a connection whose request has arrived whole.
type ready struct {
	net.Conn
	request  []byte
	answered chan struct{}
}

func (r *ready) Read(p []byte) (int, error) {
	if len(r.request) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.request)
	r.request = r.request[n:]
	return n, nil
}

func (r *ready) Write(p []byte) (int, error) {
	r.answered <- struct{}{}
	return len(p), nil
}

func (r *ready) Close() error                     { return nil }
func (r *ready) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (r *ready) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (r *ready) SetDeadline(time.Time) error      { return nil }
func (r *ready) SetReadDeadline(time.Time) error  { return nil }
func (r *ready) SetWriteDeadline(time.Time) error { return nil }

// Pattern: refused callers of one account come again on hundreds of new connections at once, on an instance with one processor. They wait in the listener's queue, not in the process.
func TestWaitingConnectionsDoNotFloodTheProcess(t *testing.T) {
	const callers = 500
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	answered := make(chan struct{}, 2*callers)
	c := &crowd{
		waiting:  make(chan net.Conn, callers),
		answered: answered,
	}
	for range callers {
		c.waiting <- &ready{
			request:  []byte("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"),
			answered: answered,
		}
	}
	close(c.waiting)
	err := http.Serve(hwfront.NewYieldingListener(c), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "no")
	}))
	require.ErrorIs(t, err, net.ErrClosed)
	assert.Equal(t, callers, c.accepted)
	// A connection's goroutine may be set back once or twice by the collector or a timer.
	assert.LessOrEqual(t, c.backlog, callers/10)
}
