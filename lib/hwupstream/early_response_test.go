package hwupstream_test

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hickorywick/hickorywick/lib/hwrawserver"
	"github.com/hickorywick/hickorywick/lib/hwupstream"
)

// uploads are requests' bodies by size: one larger than the sockets' buffers, one that fits into them, and one that is written together with the head.
func uploads() map[string]string {
	return map[string]string{
		"long":     strings.Repeat("x", 8<<20),
		"buffered": strings.Repeat("x", 256<<10),
		"small":    strings.Repeat("x", 24<<10),
		"tiny":     strings.Repeat("x", 100),
	}
}

// startEarlyUpstream starts an upstream that responds before it has read the body, and then ends the connection.
func startEarlyUpstream(t *testing.T, response string, end func(conn *net.TCPConn, request *http.Request)) *hwrawserver.Server {
	t.Helper()
	return hwrawserver.Start(t, hwrawserver.RespondEarly(hwupstream.AttemptIDHeader, response, end), hwrawserver.ReceiveLittle)
}

// earlyTries is how often each early response is sent. Which task sees the reset first varies.
const earlyTries = 20

// An upstream responded to a long upload at once, without a length, and reset the connection after a part of the body. The part was taken for the whole.
func TestAPartOfAnEarlyResponseIsNotTheWhole(t *testing.T) {
	for endingName, end := range map[string]func(*net.TCPConn, *http.Request){
		"reset":      hwrawserver.Reset,
		"close":      hwrawserver.Close,
		"half-close": hwrawserver.HalfClose,
	} {
		for uploadName, upload := range uploads() {
			if uploadName == "tiny" {
				// It arrives with the head, so the upstream has received all of it.
				continue
			}
			t.Run(endingName+" "+uploadName, func(t *testing.T) {
				t.Parallel()
				client := hwupstream.NewClient(time.Second)
				defer client.Close()
				upstream := startEarlyUpstream(t, goodHead+"\r\n"+goodBody, end)
				for range earlyTries {
					for _, idempotent := range []bool{true, false} {
						body, err := send(client, upstream.Address(), upload, idempotent, false)
						var failure *hwupstream.Error
						if assert.ErrorAs(t, err, &failure, "body %q", body) {
							assert.True(t, failure.MaybeSent)
							assert.True(t, failure.ConnectionBroken)
						}
					}
				}
			})
		}
	}
}

// A response that ends with its connection is complete if the upstream has read the whole request.
func TestAResponseUntilTheCloseAfterTheWholeRequestIsComplete(t *testing.T) {
	for uploadName, upload := range uploads() {
		t.Run(uploadName, func(t *testing.T) {
			t.Parallel()
			client := hwupstream.NewClient(time.Second)
			defer client.Close()
			upstream := hwrawserver.Start(t, hwrawserver.RespondAndClose(hwupstream.AttemptIDHeader, goodHead+"\r\n"+goodBody))
			for range earlyTries {
				for _, idempotent := range []bool{true, false} {
					body, err := send(client, upstream.Address(), upload, idempotent, false)
					require.NoError(t, err)
					assert.Equal(t, goodBody, body)
				}
			}
		})
	}
}

// The end of an early response is known if it has a length, or chunks.
func TestAnEarlyResponseWithALengthIsReturned(t *testing.T) {
	for name, framed := range map[string]string{
		"length": "Content-Length: 14\r\n\r\n" + goodBody,
		"chunks": "Transfer-Encoding: chunked\r\n\r\ne\r\n" + goodBody + "\r\n0\r\n\r\n",
	} {
		for uploadName, upload := range uploads() {
			t.Run(name+" "+uploadName, func(t *testing.T) {
				t.Parallel()
				client := hwupstream.NewClient(time.Second)
				defer client.Close()
				upstream := startEarlyUpstream(t, goodHead+framed, hwrawserver.HalfClose)
				for range earlyTries {
					body, err := send(client, upstream.Address(), upload, false, false)
					require.NoError(t, err)
					assert.Equal(t, goodBody, body)
				}
			})
		}
	}
}
