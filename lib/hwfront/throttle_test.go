package hwfront

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A client with thousands of requests a second made small routers hold a goroutine and a body for each, until they exceeded their memory. Connections beyond the limit must wait in the accept queue, but not for so long that the router counts as not accepting.
func TestConnectionsWaitInTheQueueWhileTooManyAreUnanswered(t *testing.T) {
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { assert.NoError(t, inner.Close()) }()
	var full atomic.Bool
	l := throttledListener{
		Listener: inner,
		full:     full.Load,
	}
	accept := func() time.Duration {
		client, err := net.Dial("tcp4", inner.Addr().String())
		require.NoError(t, err)
		began := time.Now()
		conn, err := l.Accept()
		require.NoError(t, err)
		require.NoError(t, conn.Close())
		require.NoError(t, client.Close())
		return time.Since(began)
	}
	assert.Less(t, accept(), maxAcceptPause)
	full.Store(true)
	assert.GreaterOrEqual(t, accept(), maxAcceptPause)
	time.AfterFunc(maxAcceptPause/5, func() { full.Store(false) })
	assert.Less(t, accept(), maxAcceptPause)
}
