package hwresponse_test

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hickorywick/hickorywick/lib/hwresponse"
)

// connect returns the two ends of a connection.
func connect(t *testing.T) (*hwresponse.Conn, *net.TCPConn) {
	t.Helper()
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{
		IP: net.IPv4(127, 0, 0, 1),
	})
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	client, err := net.Dial("tcp4", listener.Addr().String())
	require.NoError(t, err)
	server, err := listener.AcceptTCP()
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = client.Close()
		_ = server.Close()
	})
	return hwresponse.NewConn(client), server
}

func TestAConnectionWhosePeerHasReceivedEverythingEndsWithEOF(t *testing.T) {
	conn, server := connect(t)
	_, err := conn.Write([]byte("request"))
	require.NoError(t, err)
	_, err = io.ReadFull(server, make([]byte, len("request")))
	require.NoError(t, err)
	_, err = server.Write([]byte("response"))
	require.NoError(t, err)
	require.NoError(t, server.Close())
	text, err := io.ReadAll(conn)
	require.NoError(t, err)
	assert.Equal(t, "response", string(text))
}

// The end was read while nothing was on its way. The rest of the request was then written into the socket's buffer without an error, and the part of the response counted as complete.
func TestNothingIsWrittenAfterTheEndOfAConnection(t *testing.T) {
	conn, server := connect(t)
	require.NoError(t, server.CloseWrite())
	_, err := conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	_, err = conn.Write([]byte("rest of the request"))
	require.Error(t, err)
}

func TestAWriteThatWaitsAtTheEndOfAConnectionIsInterrupted(t *testing.T) {
	conn, server := connect(t)
	written := make(chan error, 1)
	go func() {
		_, err := conn.Write(make([]byte, 64<<20))
		written <- err
	}()
	// The write is under way.
	_, err := io.ReadFull(server, make([]byte, 1))
	require.NoError(t, err)
	require.NoError(t, server.CloseWrite())
	_, err = conn.Read(make([]byte, 1))
	var early *hwresponse.EarlyCloseError
	require.ErrorAs(t, err, &early)
	require.Error(t, <-written)
}

// A response came, and the connection ended, while the request was still arriving.
func TestUnacknowledgedBytesAtTheEndOfAConnectionAreAnError(t *testing.T) {
	conn, server := connect(t)
	require.NoError(t, server.SetReadBuffer(1))
	// More than a socket that is not read takes in, and less than both buffers hold.
	_, err := conn.Write(make([]byte, 256<<10))
	require.NoError(t, err)
	require.NoError(t, server.CloseWrite())
	_, err = conn.Read(make([]byte, 1))
	var early *hwresponse.EarlyCloseError
	require.ErrorAs(t, err, &early)
	assert.Positive(t, early.Unacknowledged)
}
