package hwfront

import (
	"net"
	"time"
)

const (
	// maxAcceptPause is the longest time between two accepts while too many connections wait for their answers. Clients give a new connection one second to be established, and a router that accepts none for seconds is not ready.
	maxAcceptPause = 500 * time.Millisecond
	// acceptCheckInterval is the time between two checks whether another connection may be accepted.
	acceptCheckInterval = 10 * time.Millisecond
)

// throttledListener pauses before it accepts a connection while too many accepted ones wait for their answers. In the bounded accept queue they cost no memory of the process, and clients beyond it connect to another instance.
type throttledListener struct {
	net.Listener
	full func() bool
}

// Accept waits for the next connection.
func (l throttledListener) Accept() (net.Conn, error) {
	for end := time.Now().Add(maxAcceptPause); l.full() && time.Now().Before(end); {
		time.Sleep(acceptCheckInterval)
	}
	return l.Listener.Accept() //nolint:wrapcheck // http.Server checks the error's concrete type.
}
