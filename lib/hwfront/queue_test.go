package hwfront

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// On an instance without processor time to spare, connections that it would not serve in time must not wait in its accept queue, where they use up its file descriptors.
func TestAcceptQueueIsBounded(t *testing.T) {
	listener, err := listen(context.Background(), "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	raw, err := listener.(YieldingListener).Listener.(*net.TCPListener).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		require.NoError(t, err)
		// For a listening socket, the kernel reports the length of its accept queue in this field.
		assert.EqualValues(t, acceptQueueLength, info.Sacked)
	}))
}

// A planned stop during a load peak: clients whose connections are in the accept queue have already sent their requests, so all of them must be accepted before the listener closes.
func TestQueuedConnectionsAreAcceptedBeforeListenerCloses(t *testing.T) {
	listener, err := listen(context.Background(), "127.0.0.1:0")
	require.NoError(t, err)
	const clients = 100
	for range clients {
		conn, err := net.Dial("tcp4", listener.Addr().String())
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: yard.example\r\n\r\n"))
		require.NoError(t, err)
	}
	require.NoError(t, listener.Close())
	for range clients {
		conn, err := listener.Accept()
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
	}
	_, err = listener.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
	_, err = net.Dial("tcp4", listener.Addr().String())
	require.Error(t, err, "a closed listener must accept no new connection")
}
