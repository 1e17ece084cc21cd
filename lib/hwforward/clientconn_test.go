package hwforward_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hickorywick/hickorywick/lib/hwforward"
)

// connect returns both ends of a TCP connection.
func connect(t *testing.T) (server, client *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { assert.NoError(t, listener.Close()) }()
	opened, err := net.Dial("tcp4", listener.Addr().String())
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = accepted.Close()
		_ = opened.Close()
	})
	return accepted.(*net.TCPConn), opened.(*net.TCPConn)
}

// A router without processor time sent requests on 0.65 s after their clients had closed, because the goroutine that reads the end of a connection had not run. The socket itself must show the end, whatever waits to be read.
func TestAClosedConnectionIsSeenWithoutReadingFromIt(t *testing.T) {
	server, client := connect(t)
	assert.False(t, hwforward.IsClosedByPeer(t, server))
	_, err := client.Write([]byte("next"))
	require.NoError(t, err)
	// A pending read of the server must not delay the check.
	read := make(chan string)
	go func() {
		b := make([]byte, 4)
		_, _ = io.ReadFull(server, b)
		read <- string(b)
	}()
	assert.Equal(t, "next", <-read)
	go func() {
		b, _ := io.ReadAll(server)
		read <- string(b)
	}()
	assert.False(t, hwforward.IsClosedByPeer(t, server))
	require.NoError(t, client.Close())
	assert.Empty(t, <-read)
	assert.True(t, hwforward.IsClosedByPeer(t, server))
}

// What a client has sent ahead must stay readable after the check.
func TestTheCheckOfAConnectionReadsNothing(t *testing.T) {
	server, client := connect(t)
	_, err := client.Write([]byte("next"))
	require.NoError(t, err)
	for range 3 {
		assert.False(t, hwforward.IsClosedByPeer(t, server))
	}
	b := make([]byte, 4)
	_, err = io.ReadFull(server, b)
	require.NoError(t, err)
	assert.Equal(t, "next", string(b))
	require.NoError(t, client.SetLinger(0))
	require.NoError(t, client.Close())
	assert.Eventually(t, func() bool { return hwforward.IsClosedByPeer(t, server) }, time.Second, time.Millisecond, "a reset")
}
