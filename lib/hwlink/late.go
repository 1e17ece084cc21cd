package hwlink

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// arrivedReader reads from a connection. When the deadline of an exchange has interrupted its reads, it goes on with what had arrived by then: a process that gets no processor time around the deadline finds the response and the end of its time together, and the response was in time.
type arrivedReader struct {
	conn net.Conn
	// deadlinePassed reports whether that of the present exchange has passed, and is nil between exchanges.
	deadlinePassed func() bool
	// remaining is how many bytes are left of those that had arrived at the first read after the deadline, or unlimited before that read.
	remaining int
}

// begin begins an exchange with a context.
func (r *arrivedReader) begin(ctx context.Context) {
	// The end of a cancelled exchange is nobody's concern.
	r.deadlinePassed = func() bool { return errors.Is(ctx.Err(), context.DeadlineExceeded) }
	r.remaining = unlimited
}

// end ends an exchange whose connection is kept.
func (r *arrivedReader) end() { r.deadlinePassed = nil }

// Read reads from the connection.
func (r *arrivedReader) Read(p []byte) (int, error) {
	n, err := r.conn.Read(p)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || r.deadlinePassed == nil || !r.deadlinePassed() {
		return n, err
	}
	return r.readArrived(p, err)
}

// readArrived reads what had arrived, or returns the given error if nothing is left of it. It never waits.
func (r *arrivedReader) readArrived(p []byte, interrupted error) (int, error) {
	socket, ok := r.conn.(syscall.Conn)
	if !ok {
		return 0, interrupted
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, interrupted
	}
	n, readErr := 0, interrupted
	err = raw.Control(func(fd uintptr) {
		if r.remaining == unlimited {
			arrived, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ)
			if err != nil {
				return
			}
			r.remaining = arrived
		}
		if r.remaining == 0 {
			// Nothing more is read, but an end that has arrived is one.
			if peeked, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT); err == nil && peeked == 0 {
				readErr = io.EOF
			}
			return
		}
		if read, err := unix.Read(int(fd), p[:min(len(p), r.remaining)]); err == nil && read > 0 {
			r.remaining -= read
			n, readErr = read, nil
		}
	})
	if err != nil {
		return 0, interrupted
	}
	return n, readErr
}
