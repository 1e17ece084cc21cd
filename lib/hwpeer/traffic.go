package hwpeer

import (
	"net"
	"sync/atomic"

	"github.com/gravitational/trace"
)

// Traffic counts the messages and the bytes on connections between peers. The bytes include framing; with TLS, accepted connections count encrypted bytes and dialled ones plaintext.
type Traffic struct {
	BytesSent     atomic.Int64
	BytesReceived atomic.Int64
	Messages      atomic.Int64
}

// WrapConn returns the connection wrapped so that its bytes are counted.
func (t *Traffic) WrapConn(connection net.Conn) net.Conn {
	return countedConn{
		Conn:    connection,
		traffic: t,
	}
}

// WrapListener returns the listener wrapped so that the bytes of its connections are counted.
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

// Read reads from the connection and counts the bytes.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.BytesReceived.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.BytesSent.Add(int64(n))
	return n, err
}

type countedListener struct {
	net.Listener
	traffic *Traffic
}

// Accept returns the next connection, wrapped so that its bytes are counted.
func (l countedListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return l.traffic.WrapConn(connection), nil
}
