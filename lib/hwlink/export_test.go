package hwlink

import (
	"net"
	"time"
)

// AnswerOn reads the answer to a request from a connection, for tests that need no network.
func AnswerOn(connection net.Conn, r *Request) (*Response, *ExchangeError) {
	a := &Response{
		links:   New(Settings{}),
		conn:    newConn(connection),
		stop:    func() bool { return true },
		ended:   func() error { return nil },
		request: r,
	}
	if failure := a.readHead(); failure != nil {
		return nil, failure
	}
	return a, nil
}

// Unread is a connection that brings the given bytes and takes whatever is written.
type Unread struct {
	net.Conn
	Bytes interface{ Read(p []byte) (int, error) }
}

// Read reads the given bytes.
func (u Unread) Read(p []byte) (int, error) { return u.Bytes.Read(p) }

// Close does nothing.
func (Unread) Close() error { return nil }

// SetDeadline does nothing.
func (Unread) SetDeadline(time.Time) error { return nil }
