package hwscenarios

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwscript"
	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwworld"
)

// longestTest bounds a read of a test that went wrong.
const longestTest = 30 * time.Second

func requestHead(length int) string {
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer %s\r\nX-Standin-Tokens: 1000000\r\nContent-Length: %d\r\n\r\n", hwworld.AccountKey("account-1"), length)
}

// TestSlowSendersAreCut sends a part of a request and then nothing. What came whole is answered with a refusal; either way the connection ends.
func TestSlowSendersAreCut(t *testing.T) {
	stage := newStage(t, "routers=1", "engines=1", "services=0", "slow-sender=1000")
	cases := []struct {
		name string
		sent string
		want int
	}{
		{
			name: "half of the headers",
			sent: "POST /v1/chat/completions HTTP/1.1\r\nHost: rou",
		},
		{
			name: "half of the body",
			sent: requestHead(100) + `{"model":"standin-model",`,
			want: http.StatusBadRequest,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			connection, err := net.Dial("tcp", stage.World.AllRouters()[0].ClientAddress)
			require.NoError(t, err)
			t.Cleanup(func() { _ = connection.Close() })
			require.NoError(t, connection.SetReadDeadline(time.Now().Add(longestTest)))
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

// TestACallerThatStopsReadingFreesItsSlot asks for a long stream and reads nothing of it. Once the buffers between are full the router can write no more, and gives the caller up.
func TestACallerThatStopsReadingFreesItsSlot(t *testing.T) {
	stage := newStage(t, "routers=1", "engines=1", "services=0", "token-us=1")
	connection, err := net.Dial("tcp", stage.World.AllRouters()[0].ClientAddress)
	require.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	require.NoError(t, connection.(*net.TCPConn).SetReadBuffer(4096))
	body := `{"model":"standin-model","stream":true,"messages":[{"role":"user","content":"x"}]}`
	_, err = connection.Write([]byte(requestHead(len(body)) + body))
	require.NoError(t, err)
	inUse := func() int { return stage.World.AllRouters()[0].Router.Status(time.Now()).Pools[0].InUse }
	require.NoError(t, hwscript.WaitUntil("a slot in use", func() bool { return inUse() == 1 }))
	require.NoError(t, hwscript.WaitUntil("a free slot", func() bool { return inUse() == 0 }))
	assert.Contains(t, stage.Log(), "caller-gone")
}
