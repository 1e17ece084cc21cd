// Package hwrawserver is an HTTP server for tests that writes its responses byte by byte, which net/http's server would not let it do.
package hwrawserver

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/hickorywick/hickorywick/lib/hwtask"
)

// Handler handles a request whose head was read; its body is left to read. The connection is closed when it returns false.
type Handler func(conn *net.TCPConn, request *http.Request) bool

// Server is a running server.
type Server struct {
	address     string
	handler     Handler
	connections atomic.Int32
	requests    atomic.Int32
	reuses      atomic.Int32
}

// Option changes the listener of a server before it accepts connections.
type Option func(t testing.TB, listener *net.TCPListener)

// ReceiveLittle makes sockets take in little of a request that the handler does not read.
func ReceiveLittle(t testing.TB, listener *net.TCPListener) {
	t.Helper()
	raw, err := listener.SyscallConn()
	require.NoError(t, err)
	var optionErr error
	require.NoError(t, raw.Control(func(fd uintptr) {
		// The kernel raises it to its minimum.
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 1)
	}))
	require.NoError(t, optionErr)
}

// Start starts a server that accepts connections until the test ends.
func Start(t testing.TB, handler Handler, options ...Option) *Server {
	t.Helper()
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{
		IP: net.IPv4(127, 0, 0, 1),
	})
	require.NoError(t, err)
	for _, option := range options {
		option(t, listener)
	}
	s := &Server{
		address: listener.Addr().String(),
		handler: handler,
	}
	accepting := hwtask.Start(t.Context(), func(ctx context.Context) error { return s.accept(ctx, listener) })
	t.Cleanup(func() {
		_ = listener.Close()
		require.ErrorIs(t, <-accepting, net.ErrClosed)
	})
	return s
}

// Address returns the host and port that the server listens on.
func (s *Server) Address() string { return s.address }

// Connections returns how many connections were accepted.
func (s *Server) Connections() int { return int(s.connections.Load()) }

// Requests returns how many heads of requests were read.
func (s *Server) Requests() int { return int(s.requests.Load()) }

// Reuses returns how many heads of requests were read on a connection after another one.
func (s *Server) Reuses() int { return int(s.reuses.Load()) }

// accept accepts connections until the listener is closed.
func (s *Server) accept(ctx context.Context, listener *net.TCPListener) error {
	for {
		conn, err := listener.AcceptTCP()
		if err != nil {
			return err
		}
		s.connections.Add(1)
		// It ends when the client closes the connection, which may be later than the test.
		_ = hwtask.Start(ctx, func(ctx context.Context) error { return s.serve(ctx, conn) })
	}
}

// serve handles the requests on a connection. Their context ends with the test.
func (s *Server) serve(ctx context.Context, conn *net.TCPConn) error {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for isReused := false; ; isReused = true {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return err
		}
		s.requests.Add(1)
		if isReused {
			s.reuses.Add(1)
		}
		if !s.handler(conn, request.WithContext(ctx)) {
			return nil
		}
	}
}

// idPlaceholder stands in the bytes of a response for the ID of the request.
const idPlaceholder = "%ID%"

// Respond returns a handler that reads the whole request, writes the bytes, and keeps the connection. In the bytes, %ID% stands for the request's field with the given name.
func Respond(idHeader, response string) Handler {
	return func(conn *net.TCPConn, request *http.Request) bool {
		_, _ = io.Copy(io.Discard, request.Body)
		return write(conn, request, idHeader, response)
	}
}

// RespondAndClose is Respond with a handler that closes the connection.
func RespondAndClose(idHeader, response string) Handler {
	return func(conn *net.TCPConn, request *http.Request) bool {
		Respond(idHeader, response)(conn, request)
		return false
	}
}

// RespondEarly returns a handler that writes the bytes before it has read the body, calls end, and closes the connection.
func RespondEarly(idHeader, response string, end func(conn *net.TCPConn, request *http.Request)) Handler {
	return func(conn *net.TCPConn, request *http.Request) bool {
		write(conn, request, idHeader, response)
		end(conn, request)
		return false
	}
}

func write(conn *net.TCPConn, request *http.Request, idHeader, response string) bool {
	_, err := io.WriteString(conn, strings.ReplaceAll(response, idPlaceholder, request.Header.Get(idHeader)))
	return err == nil
}

// HalfClose closes the server's direction of a connection and leaves the other open until the test ends.
func HalfClose(conn *net.TCPConn, request *http.Request) {
	_ = conn.CloseWrite()
	<-request.Context().Done()
}

// Reset makes the close of a connection a reset.
func Reset(conn *net.TCPConn, _ *http.Request) { _ = conn.SetLinger(0) }

// Close leaves a connection to be closed as it is.
func Close(*net.TCPConn, *http.Request) {}
