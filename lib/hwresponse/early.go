package hwresponse

import (
	"net"
	"strconv"
	"syscall"

	"golang.org/x/sys/unix"
)

// EarlyCloseError reports that a server closed the connection before it had received the whole request. A body that ends with the connection may then be a part of the server's.
type EarlyCloseError struct {
	// Unacknowledged is how many bytes of the request were written and not acknowledged.
	Unacknowledged int
	// Cause is the error with which the write of the request failed, or nil.
	Cause error
}

// Error returns a message with what is known of the request.
func (e *EarlyCloseError) Error() string {
	const message = "the server closed the connection before it had received the whole request: "
	if e.Cause != nil {
		return message + e.Cause.Error()
	}
	return message + strconv.Itoa(e.Unacknowledged) + " bytes not acknowledged"
}

// Unwrap returns the cause.
func (e *EarlyCloseError) Unwrap() error { return e.Cause }

// CheckReceived returns an *EarlyCloseError if not all that was written to a connection has been acknowledged. At the end of a connection, that is exact: a peer that has received everything acknowledges it no later than with the segment that ends the connection. Connections other than sockets pass.
func CheckReceived(c net.Conn) error {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	unacknowledged := 0
	var queryErr error
	err = raw.Control(func(fd uintptr) {
		unacknowledged, queryErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	})
	switch {
	case err != nil:
		return err
	case queryErr != nil:
		return queryErr
	case unacknowledged > 0:
		return &EarlyCloseError{
			Unacknowledged: unacknowledged,
		}
	default:
		return nil
	}
}
