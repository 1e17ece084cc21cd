package hwresponse

import (
	"errors"
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

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

// Conn is a connection that ends with an *EarlyCloseError in place of io.EOF if its peer has not received all that was written to it. Nothing can be written to it after its end, so that what is still to be written then fails, too.
type Conn struct {
	net.Conn
	ended atomic.Bool
	// writing is held during a write and guards writeErr.
	writing sync.Mutex
	// writeErr is the error of a failed write. A socket reports a reset once: if a write takes the error, reads see a regular end.
	writeErr error
}

// NewConn returns a connection that checks the end of c.
func NewConn(c net.Conn) *Conn {
	return &Conn{
		Conn: c,
	}
}

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.ended.Load() {
		return 0, io.ErrClosedPipe
	}
	n, err := c.Conn.Write(p)
	if err != nil {
		c.writeErr = err
	}
	return n, err
}

// Read reads from the connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		return n, c.endError()
	}
	return n, err
}

// endError returns io.EOF if the peer has received all that was written until the connection's end.
func (c *Conn) endError() error {
	c.ended.Store(true)
	// A write that is still waiting would wait on, because the peer may have closed only its own direction.
	if err := c.SetWriteDeadline(pastDeadline); err != nil {
		return err
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr != nil {
		return &EarlyCloseError{
			Cause: c.writeErr,
		}
	}
	if err := CheckReceived(c.Conn); err != nil {
		return err
	}
	return io.EOF
}

// pastDeadline is a deadline that interrupts what waits on a connection.
var pastDeadline = time.Unix(1, 0)
