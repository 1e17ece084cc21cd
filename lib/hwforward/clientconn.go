package hwforward

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// clientConnKey is the context key of the connection on which a request came.
type clientConnKey struct{}

// WithClientConn returns a context for the requests on a client's connection. It suits the ConnContext field of http.Server.
func WithClientConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, conn)
}

// clientLeft reports whether the client has closed its connection, by looking at the socket. A router that sheds load must not rely on the end of the request's context alone: its processor may take most of a second to run the goroutine that reads the end of the connection, and a request that is sent on meanwhile is work for nobody.
func (e *exchange) clientLeft() bool {
	if !e.router.shedding.settings.Enabled {
		return false
	}
	conn, ok := e.request.Context().Value(clientConnKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	left := false
	// Control does not wait for the server's own pending read, unlike Read.
	if err := raw.Control(func(fd uintptr) { left = isClosedByPeer(int(fd)) }); err != nil {
		return false
	}
	return left
}

// isClosedByPeer reports whether the other end of a connection has closed or reset it. What has arrived stays unread.
func isClosedByPeer(fd int) bool {
	var b [1]byte
	n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return n == 0 && err == nil || err == unix.ECONNRESET
}
