package hwpeer

import (
	"net"
	"sync/atomic"

	"github.com/gravitational/trace"
)

// Traffic counts the bytes on connections between peers, framing included.
type Traffic struct {
	BytesSent     atomic.Int64
	BytesReceived atomic.Int64
	Messages      atomic.Int64
}

// WrapConn returns the connection with its bytes counted.
func (t *Traffic) WrapConn(connection net.Conn) net.Conn {
	return countedConn{
		Conn:    connection,
		traffic: t,
	}
}

// WrapListener returns the listener with its connections counted.
func (t *Traffic) WrapListener(listener net.Listener) net.Listener {
	return countedListener{
		Listener: listener,
		traffic:  t,
	}
}

type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read counts what it reads.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.BytesReceived.Add(int64(n))
	return n, err
}

// Write counts what it writes.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.BytesSent.Add(int64(n))
	return n, err
}

type countedListener struct {
	net.Listener
	traffic *Traffic
}

// Accept returns the next connection, counted.
func (l countedListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return l.traffic.WrapConn(connection), nil
}
