package hwfront

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// Pattern: an instance that is out of processor. Connections that it would not reach in time must not wait in its queue, where they use up its descriptors.
func TestTheListenersQueueIsBounded(t *testing.T) {
	listener, err := listen(context.Background(), "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	raw, err := listener.(YieldingListener).Listener.(*net.TCPListener).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		require.NoError(t, err)
		// For a listening socket the kernel gives the length of its queue here.
		assert.EqualValues(t, queuedConnections, info.Sacked)
	}))
}

// Pattern: a planned stop in a crest. Callers whose connections wait in the queue have sent their requests; all of them are accepted before the listener closes.
func TestWhatWaitsInTheQueueIsAcceptedBeforeTheListenerCloses(t *testing.T) {
	listener, err := listen(context.Background(), "127.0.0.1:0")
	require.NoError(t, err)
	const callers = 100
	for range callers {
		conn, err := net.Dial("tcp4", listener.Addr().String())
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: yard.example\r\n\r\n"))
		require.NoError(t, err)
	}
	require.NoError(t, listener.Close())
	for range callers {
		conn, err := listener.Accept()
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
	}
	_, err = listener.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
	_, err = net.Dial("tcp4", listener.Addr().String())
	require.Error(t, err, "nobody is let in any more")
}
