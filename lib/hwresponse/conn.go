package hwresponse

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

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
