package hwworld_test

import (
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwworld"
)

// TestKilledServerKeepsItsPortReserved kills a server that has an open connection. New connections must be refused, no other listener may bind the port, and the server must be able to restart on it.
func TestKilledServerKeepsItsPortReserved(t *testing.T) {
	server, err := hwworld.NewServer(http.NotFoundHandler())
	require.NoError(t, err)
	t.Cleanup(server.Close)
	for range 3 {
		response, err := http.Get("http://" + server.Address())
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		server.Kill()
		_, err = net.Dial("tcp", server.Address())
		require.Error(t, err, "no listener accepts connections")
		_, err = net.Listen("tcp", server.Address())
		assert.Error(t, err, "the port is still reserved")
		require.NoError(t, server.Start())
	}
}
