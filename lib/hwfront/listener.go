package hwfront

import (
	"context"
	"errors"
	"net"
	"os"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

// acceptQueueLength limits the connections that wait to be accepted: half a core refuses that many requests in about a third of a second. A client beyond the limit gets no connection and tries another instance, whereas one that waits longer would hold a file descriptor for nothing.
const acceptQueueLength = 512

// listen opens a listener with a bounded accept queue.
func listen(ctx context.Context, address string) (net.Listener, error) {
	// Keep-alive probes are off, because enabling them costs four system calls per connection. The read, write and idle timeouts detect a client that disappeared.
	config := net.ListenConfig{
		KeepAlive: -1,
	}
	listener, err := config.Listen(ctx, "tcp4", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := setAcceptQueueLength(listener.(*net.TCPListener), acceptQueueLength); err != nil {
		return nil, trace.NewAggregate(err, listener.Close())
	}
	return NewYieldingListener(listener), nil
}

// setAcceptQueueLength calls listen(2) again on the same socket, which changes only its backlog: the net package always uses the system's maximum.
func setAcceptQueueLength(listener *net.TCPListener, length int) error {
	raw, err := listener.SyscallConn()
	if err != nil {
		return trace.Wrap(err)
	}
	var listenErr error
	err = raw.Control(func(fd uintptr) { listenErr = unix.Listen(int(fd), length) })
	return trace.NewAggregate(err, listenErr)
}

// YieldingListener is a listener that yields the processor to all other goroutines before it accepts a connection, and that accepts the connections in its queue before it closes.
//
// If clients connect faster than the process serves them, accepting at once would start a thousand requests, and the tasks that keep the router's state up to date would queue behind them all. In the accept queue, connections cost nothing, and clients that give up can try another instance.
//
// Closing a socket resets the connections in its queue, including those whose clients have already sent a request. This listener accepts them instead, so that their clients get a response, even if it only says that the instance is stopping.
type YieldingListener struct {
	net.Listener
	// remaining is the number of connections that may still be accepted after Close, and notClosed before it.
	remaining *atomic.Int64
}

// notClosed is the value of remaining until Close is called.
const notClosed = -1

// emptyQueueTimeout is how long a closed listener waits for a connection before its queue counts as empty. A queued connection is accepted without delay.
const emptyQueueTimeout = 50 * time.Millisecond

// NewYieldingListener returns a yielding listener that wraps another one.
func NewYieldingListener(listener net.Listener) YieldingListener {
	l := YieldingListener{
		Listener:  listener,
		remaining: &atomic.Int64{},
	}
	l.remaining.Store(notClosed)
	return l
}

// deadlineSetter is a listener whose Accept can time out.
type deadlineSetter interface {
	SetDeadline(at time.Time) error
}

// Accept waits for the next connection. After Close it returns the queued connections, and then net.ErrClosed.
func (l YieldingListener) Accept() (net.Conn, error) {
	runtime.Gosched()
	if l.remaining.Load() == notClosed {
		conn, err := l.Listener.Accept()
		// Close interrupts a waiting Accept by a deadline; that error is not returned.
		if err == nil || l.remaining.Load() == notClosed {
			return conn, err //nolint:wrapcheck // http.Server checks the error's concrete type.
		}
	}
	if l.remaining.Add(-1) >= 0 {
		if conn, queued := l.acceptQueued(); queued {
			return conn, nil
		}
	}
	return nil, trace.NewAggregate(net.ErrClosed, l.Listener.Close())
}

// acceptQueued returns the next connection of the queue, or false if it is empty.
func (l YieldingListener) acceptQueued() (net.Conn, bool) {
	for {
		deadline := time.Now().Add(emptyQueueTimeout)
		if l.Listener.(deadlineSetter).SetDeadline(deadline) != nil {
			return nil, false
		}
		conn, err := l.Listener.Accept()
		if err == nil {
			return conn, true
		}
		// The deadline that Close sets may have replaced this one.
		if !errors.Is(err, os.ErrDeadlineExceeded) || !time.Now().Before(deadline) {
			return nil, false
		}
	}
}

// Close makes Accept close the listener once its queue has been accepted. A listener without deadlines is closed at once.
func (l YieldingListener) Close() error {
	listener, ok := l.Listener.(deadlineSetter)
	if !ok || !l.remaining.CompareAndSwap(notClosed, acceptQueueLength) {
		return trace.Wrap(l.Listener.Close())
	}
	return trace.Wrap(listener.SetDeadline(time.Now()))
}
