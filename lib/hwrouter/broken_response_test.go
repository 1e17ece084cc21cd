package hwrouter

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hickorywick/hickorywick/lib/hwdocument"
	"github.com/hickorywick/hickorywick/lib/hwintake"
	"github.com/hickorywick/hickorywick/lib/hwrawserver"
	"github.com/hickorywick/hickorywick/lib/hwupstream"
)

// respondBytes starts a server that answers every request with the same bytes, and returns its address.
func respondBytes(t *testing.T, response string) string {
	t.Helper()
	return hwrawserver.Start(t, hwrawserver.Respond("", response)).Address()
}

// brokenHeads are heads of responses up to their last fields, with a status of 200 where it is valid.
func brokenHeads() map[string]string {
	return map[string]string{
		"status 000":               "HTTP/1.1 000 OK\r\n",
		"blank inside a name":      "HTTP/1.1 200 OK\r\nX Note: 1\r\n",
		"blank in an interim name": "HTTP/1.1 103 Early Hints\r\nX Note: 1\r\n\r\nHTTP/1.1 200 OK\r\n",
	}
}

// A caller of the product's edge got an answer without the line whose name was broken, or none at all for a status that can't be written.
func TestACallerNeverGetsABrokenResponse(t *testing.T) {
	for name, head := range brokenHeads() {
		t.Run(name, func(t *testing.T) {
			recorder := httptest.NewRecorder()
			d := &delivery{
				call: &hwintake.Call{
					Pool: hwdocument.Pool{
						Kind: hwdocument.KindService,
					},
				},
				writer:     recorder,
				controller: http.NewResponseController(recorder),
			}
			response, err := hwupstream.NewClient(time.Second).Do(t.Context(), hwupstream.Attempt{
				ID:          "1",
				Upstream:    respondBytes(t, head+"Content-Length: 4\r\n\r\ndone"),
				Method:      http.MethodGet,
				Path:        "/",
				Header:      http.Header{},
				IdleTimeout: time.Second,
			})
			if err == nil {
				err = d.relay("1", response)
				response.Close()
			}
			require.Error(t, err)
			assert.Empty(t, recorder.Body.String())
		})
	}
}

// The outcome of an order was read from a broken response.
func TestAnOrderHasNoOutcomeInABrokenResponse(t *testing.T) {
	for name, head := range brokenHeads() {
		t.Run(name, func(t *testing.T) {
			address := respondBytes(t, head+"Content-Length: 2\r\n\r\n{}")
			_, _, err := (&orderSender{}).roundTrip(t.Context(), http.MethodGet, address, nil)
			assert.Error(t, err)
		})
	}
}

// A list was shorter than announced, and what had come of it was taken for the whole.
func TestAnInstanceListMustComeToItsEnd(t *testing.T) {
	address := respondBytes(t, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n[]")
	client := newListClient(200*time.Millisecond, (&net.Dialer{}).DialContext)
	defer client.CloseIdleConnections()
	_, err := fetchInstanceList(context.Background(), client, "http://"+address)
	assert.Error(t, err)
}

// The list of instances was read from a broken response.
func TestABrokenResponseIsNoInstanceList(t *testing.T) {
	for name, head := range brokenHeads() {
		t.Run(name, func(t *testing.T) {
			address := respondBytes(t, head+"Content-Length: 2\r\n\r\n[]")
			client := newListClient(time.Second, (&net.Dialer{}).DialContext)
			defer client.CloseIdleConnections()
			_, err := fetchInstanceList(context.Background(), client, "http://"+address)
			assert.Error(t, err)
		})
	}
}
