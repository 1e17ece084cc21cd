package hwfront

import (
	"context"
	"net"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

// queuedConnections bounds the connections that wait to be accepted: about a third of a second of refusals on half a core. A caller beyond it gets no connection and tries another instance, while one that waits longer would hold a descriptor for nothing.
const queuedConnections = 512

// listen opens a listener whose queue is bounded.
func listen(ctx context.Context, address string) (net.Listener, error) {
	// A caller that disappeared is found by the bounds on reading, writing and idling; probes would cost four system calls for each connection.
	config := net.ListenConfig{
		KeepAlive: -1,
	}
	listener, err := config.Listen(ctx, "tcp4", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := boundQueue(listener.(*net.TCPListener), queuedConnections); err != nil {
		return nil, trace.NewAggregate(err, listener.Close())
	}
	return NewYieldingListener(listener), nil
}

// boundQueue listens once more on the same socket, which changes only the length of its queue: the net package always takes the system's longest.
func boundQueue(listener *net.TCPListener, length int) error {
	raw, err := listener.SyscallConn()
	if err != nil {
		return trace.Wrap(err)
	}
	var failure error
	err = raw.Control(func(fd uintptr) { failure = unix.Listen(int(fd), length) })
	return trace.NewAggregate(err, failure)
}

// YieldingListener is a listener that lets all other work of the process go first before it accepts one more connection, and that accepts what waits in its queue before it closes.
//
// Connections that were accepted at once would put a thousand requests into the process when callers come faster than it serves them, and what keeps the router's knowledge new would wait behind them all. In the listener's queue they cost nothing, and callers that give up there are free to ask another instance.
//
// Closing resets what waits in the queue, callers that have sent their requests already among them. They get an answer in place of that, if only that the instance stops.
type YieldingListener struct {
	net.Listener
	// last is the number of connections that may still be accepted after Close, and open before it.
	last *atomic.Int64
}

// open says that Close was not called.
const open = -1

// emptyQueue is how long a closed listener waits for a connection before its queue counts as empty. Those that wait are there at once.
const emptyQueue = 20 * time.Millisecond

// NewYieldingListener returns a yielding listener over another one.
func NewYieldingListener(listener net.Listener) YieldingListener {
	y := YieldingListener{
		Listener: listener,
		last:     &atomic.Int64{},
	}
	y.last.Store(open)
	return y
}

// bounded is a listener whose waiting can be bounded.
type bounded interface {
	SetDeadline(at time.Time) error
}

// Accept waits for the next connection. After Close it returns what still waits, and then net.ErrClosed.
func (y YieldingListener) Accept() (net.Conn, error) {
	runtime.Gosched()
	if y.last.Load() == open {
		conn, err := y.Listener.Accept()
		// Close ends the waiting.
		if err == nil || y.last.Load() == open {
			return conn, err //nolint:wrapcheck // The server looks at the error's own type.
		}
	}
	if y.last.Add(-1) >= 0 && y.Listener.(bounded).SetDeadline(time.Now().Add(emptyQueue)) == nil {
		if conn, err := y.Listener.Accept(); err == nil {
			return conn, nil
		}
	}
	return nil, trace.NewAggregate(net.ErrClosed, y.Listener.Close())
}

// Close ends the listener once what waits has been accepted. One whose waiting can't be bounded is closed at once.
func (y YieldingListener) Close() error {
	listener, can := y.Listener.(bounded)
	if !can || !y.last.CompareAndSwap(open, queuedConnections) {
		return trace.Wrap(y.Listener.Close())
	}
	return trace.Wrap(listener.SetDeadline(time.Now()))
}
