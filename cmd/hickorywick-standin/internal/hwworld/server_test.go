package hwworld_test

import (
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwworld"
)

// TestAKilledServerKeepsItsPort kills a server that has a connection open: connections are refused, nobody else gets the port, and it starts there again.
func TestAKilledServerKeepsItsPort(t *testing.T) {
	server, err := hwworld.NewServer(http.NotFoundHandler())
	require.NoError(t, err)
	t.Cleanup(server.Close)
	for range 3 {
		response, err := http.Get("http://" + server.Address())
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		server.Kill()
		_, err = net.Dial("tcp", server.Address())
		require.Error(t, err, "nobody listens")
		_, err = net.Listen("tcp", server.Address())
		assert.Error(t, err, "the port is taken")
		require.NoError(t, server.Start())
	}
}
