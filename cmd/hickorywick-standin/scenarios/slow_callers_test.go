package hwscenarios

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwscript"
	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwworld"
)

// readTimeout bounds a read in case the router never closes the connection.
const readTimeout = 30 * time.Second

func requestHead(length int) string {
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer %s\r\nX-Standin-Tokens: 1000000\r\nContent-Length: %d\r\n\r\n", hwworld.AccountKey("account-1"), length)
}

// TestSlowSendersAreDisconnected sends part of a request and then stalls. With complete headers the router answers with an error response; in both cases it closes the connection.
func TestSlowSendersAreDisconnected(t *testing.T) {
	scenario := newScenario(t, "routers=1", "engines=1", "services=0", "slow-sender=1000")
	cases := []struct {
		name string
		sent string
		want int
	}{
		{
			name: "incomplete headers",
			sent: "POST /v1/chat/completions HTTP/1.1\r\nHost: rou",
		},
		{
			name: "incomplete body",
			sent: requestHead(100) + `{"model":"standin-model",`,
			want: http.StatusBadRequest,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			connection, err := net.Dial("tcp", scenario.World.AllRouters()[0].ClientAddress)
			require.NoError(t, err)
			t.Cleanup(func() { _ = connection.Close() })
			require.NoError(t, connection.SetReadDeadline(time.Now().Add(readTimeout)))
			_, err = connection.Write([]byte(c.sent))
			require.NoError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			if c.want == 0 {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			assert.Equal(t, c.want, response.StatusCode)
			assert.Equal(t, "not-run", response.Header.Get("X-Execution"))
			require.NoError(t, response.Body.Close())
		})
	}
}

// TestStalledReaderReleasesSlot requests a long stream and reads nothing of it. Once the buffers in between are full, writes of the router block until it gives the client up; the slot must be released.
func TestStalledReaderReleasesSlot(t *testing.T) {
	scenario := newScenario(t, "routers=1", "engines=1", "services=0", "token-us=1")
	connection, err := net.Dial("tcp", scenario.World.AllRouters()[0].ClientAddress)
	require.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	require.NoError(t, connection.(*net.TCPConn).SetReadBuffer(4096))
	body := `{"model":"standin-model","stream":true,"messages":[{"role":"user","content":"x"}]}`
	_, err = connection.Write([]byte(requestHead(len(body)) + body))
	require.NoError(t, err)
	inUse := func() int { return scenario.World.AllRouters()[0].Router.Status(time.Now()).Pools[0].InUse }
	require.NoError(t, hwscript.WaitUntil("slot to be taken", func() bool { return inUse() == 1 }))
	require.NoError(t, hwscript.WaitUntil("slot to be released", func() bool { return inUse() == 0 }))
	// The slot is released before the request ends and its line is written.
	require.NoError(t, hwscript.WaitUntil("line of the request's end", func() bool { return strings.Contains(scenario.Log(), "caller-gone") }))
}
