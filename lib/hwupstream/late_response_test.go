package hwupstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hickorywick/hickorywick/lib/hwupstream"
)

// A faulty upstream that echoes IDs wrote a late copy of an earlier refusal, without the ID, on a kept connection. It was taken for the response of the next attempt.
func TestALateResponseWithoutAnIDIsNotTakenForTheNextOne(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	served := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			served <- err
			return
		}
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for _, response := range []string{"HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy"} {
			if _, err := http.ReadRequest(reader); err != nil {
				served <- err
				return
			}
			if _, err := io.WriteString(conn, response); err != nil {
				served <- err
				return
			}
		}
		served <- nil
	}()
	client := hwupstream.NewClient(time.Second)
	attempt := func(id string) (*hwupstream.Response, error) {
		return client.Do(context.Background(), hwupstream.Attempt{
			ID:          id,
			Upstream:    listener.Addr().String(),
			Method:      http.MethodGet,
			Path:        "/",
			Header:      http.Header{},
			Idempotent:  true,
			IdleTimeout: time.Second,
		})
	}
	first, err := attempt("1")
	require.NoError(t, err)
	_, err = first.ReadAll(10)
	require.NoError(t, err)
	first.Close()
	_, err = attempt("2")
	var failure *hwupstream.Error
	require.ErrorAs(t, err, &failure)
	assert.True(t, failure.ResponseMismatch)
	assert.True(t, failure.MaybeSent)
	require.NoError(t, <-served)
}
