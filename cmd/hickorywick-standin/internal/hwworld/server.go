package hwworld

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"

	"github.com/gravitational/trace"

	"github.com/hickorywick/hickorywick/lib/hwtask"
)

// Server serves one stand-in on a loopback address. It can be killed, which closes every connection, and restarted on the same address.
type Server struct {
	address string
	handler http.Handler
	lock    sync.Mutex
	server  *http.Server
	done    <-chan error
	// portReservation holds the port of a killed server. It is nil while the server runs, or if another process bound the port first.
	portReservation *portReservation
}

// NewServer returns a server that listens on a free loopback port.
func NewServer(handler http.Handler) (*Server, error) {
	s := &Server{
		address: "127.0.0.1:0",
		handler: handler,
	}
	return s, s.Start()
}

// Start listens and serves. After Kill it reuses the previous address; it does nothing if the server is already running.
func (s *Server) Start() error {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.server != nil {
		return nil
	}
	s.portReservation.release()
	s.portReservation = nil
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return trace.Wrap(err)
	}
	s.address = listener.Addr().String()
	server := &http.Server{ //nolint:gosec // A stand-in on loopback needs no timeouts.
		Handler: s.handler,
	}
	s.server = server
	s.done = hwtask.Start(context.Background(), func(context.Context) error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return trace.Wrap(err)
		}
		return nil
	})
	return nil
}

// Kill closes the listener and every connection immediately. It does not wait for handlers, because a handler may be its caller.
func (s *Server) Kill() {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.server == nil {
		return
	}
	_ = s.server.Close()
	s.server = nil
	s.portReservation, _ = reservePort(s.address)
}

// Close stops the server permanently and frees its port.
func (s *Server) Close() {
	s.Kill()
	s.lock.Lock()
	defer s.lock.Unlock()
	s.portReservation.release()
	s.portReservation = nil
}

// Address returns the IP address and port.
func (s *Server) Address() string { return s.address }

// Listening reports whether the server is accepting connections.
func (s *Server) Listening() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.server != nil
}
