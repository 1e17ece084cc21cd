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
	raw, err := listener.(Yielding).Listener.(*net.TCPListener).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		require.NoError(t, err)
		// For a listening socket the kernel gives the length of its queue here.
		assert.EqualValues(t, queuedConnections, info.Sacked)
	}))
}
