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

// Server serves one stand-in on a loopback address. It can be killed, which cuts every connection, and started again on the same address.
type Server struct {
	address string
	handler http.Handler
	lock    sync.Mutex
	server  *http.Server
	ended   <-chan error
	// reserved keeps the port of a killed server; nil when another program was faster.
	reserved *reservation
}

// NewServer returns a server that listens on a free loopback port.
func NewServer(handler http.Handler) (*Server, error) {
	s := &Server{
		address: "127.0.0.1:0",
		handler: handler,
	}
	return s, s.Start()
}

// Start listens again after a kill.
func (s *Server) Start() error {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.server != nil {
		return nil
	}
	s.reserved.release()
	s.reserved = nil
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return trace.Wrap(err)
	}
	s.address = listener.Addr().String()
	server := &http.Server{ //nolint:gosec // A stand-in on loopback needs no timeouts.
		Handler: s.handler,
	}
	s.server = server
	s.ended = hwtask.Start(context.Background(), func(context.Context) error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return trace.Wrap(err)
		}
		return nil
	})
	return nil
}

// Kill closes the listener and every connection at once. It does not wait for handlers, because one of them may be the caller.
func (s *Server) Kill() {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.server == nil {
		return
	}
	_ = s.server.Close()
	s.server = nil
	s.reserved, _ = reserve(s.address)
}

// Close ends the server for good and gives its port back.
func (s *Server) Close() {
	s.Kill()
	s.lock.Lock()
	defer s.lock.Unlock()
	s.reserved.release()
	s.reserved = nil
}

// Address returns the IP number and port.
func (s *Server) Address() string { return s.address }

// Listening reports whether the server listens.
func (s *Server) Listening() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.server != nil
}
