package hwfront

import (
	"context"
	"net"
	"runtime"

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
	return Yielding{
		Listener: listener,
	}, nil
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

// Yielding is a listener that lets all other work of the process go first before it accepts one more connection.
//
// Connections that were accepted at once would put a thousand requests into the process when callers come faster than it serves them, and what keeps the router's knowledge new would wait behind them all. In the listener's queue they cost nothing, and callers that give up there are free to ask another instance.
type Yielding struct {
	net.Listener
}

// Accept waits for the next connection.
func (y Yielding) Accept() (net.Conn, error) {
	runtime.Gosched()
	return y.Listener.Accept()
}
