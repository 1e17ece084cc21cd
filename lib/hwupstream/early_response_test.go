package hwupstream_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

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

// startEarlyUpstream starts an upstream that responds before it has read the body, and then ends the connection. Its sockets take in little of a request that is not read.
func startEarlyUpstream(t *testing.T, response string, end func(conn *net.TCPConn, request *http.Request)) *byteUpstream {
	t.Helper()
	return startByteUpstream(t, func(conn *net.TCPConn, request *http.Request) bool {
		_, _ = io.WriteString(conn, strings.ReplaceAll(response, "%ID%", request.Header.Get(hwupstream.AttemptIDHeader)))
		end(conn, request.WithContext(t.Context()))
		return false
	}, receiveLittle)
}

// receiveLittle makes the sockets of a listener take in little of what is not read.
func receiveLittle(t *testing.T, listener *net.TCPListener) {
	t.Helper()
	raw, err := listener.SyscallConn()
	require.NoError(t, err)
	var optionErr error
	require.NoError(t, raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 1)
	}))
	require.NoError(t, optionErr)
}

// earlyTries is how often each early response is sent. Which task sees the reset first varies.
const earlyTries = 20

// An upstream responded to a long upload at once, without a length, and reset the connection after a part of the body. The part was taken for the whole.
func TestAPartOfAnEarlyResponseIsNotTheWhole(t *testing.T) {
	for endingName, end := range map[string]func(*net.TCPConn, *http.Request){
		"reset": func(conn *net.TCPConn, _ *http.Request) { _ = conn.SetLinger(0) },
		"close": func(*net.TCPConn, *http.Request) {},
		"half-close": func(conn *net.TCPConn, request *http.Request) {
			_ = conn.CloseWrite()
			<-request.Context().Done()
		},
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
						body, err := send(client, upstream.address, upload, idempotent, false)
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
			upstream := startByteUpstream(t, func(conn *net.TCPConn, request *http.Request) bool {
				respondBytes(goodHead+"\r\n"+goodBody)(conn, request)
				return false
			})
			for range earlyTries {
				for _, idempotent := range []bool{true, false} {
					body, err := send(client, upstream.address, upload, idempotent, false)
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
				upstream := startEarlyUpstream(t, goodHead+framed, func(_ *net.TCPConn, request *http.Request) {
					<-request.Context().Done()
				})
				for range earlyTries {
					body, err := send(client, upstream.address, upload, false, false)
					require.NoError(t, err)
					assert.Equal(t, goodBody, body)
				}
			})
		}
	}
}
