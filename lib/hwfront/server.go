// Package hwfront runs a router's HTTP servers for client requests, readiness checks and metrics, and shuts them down gracefully.
package hwfront

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwforward"
	"github.com/hickorywick/hickorywick/lib/hwtask"
)

// Settings hold the addresses, timeouts and limits of a server.
type Settings struct {
	Instance string
	// ClientAddress, ReadinessAddress and MetricsAddress are listen addresses; an empty one is not served.
	ClientAddress    string
	ReadinessAddress string
	MetricsAddress   string
	// ReadinessPath is the path of the platform's readiness checks, and MetricsPath that of the metrics.
	ReadinessPath string
	MetricsPath   string
	// ReadHeaderTimeout limits reading a request's head, IdleTimeout the wait for the next request on a connection.
	ReadHeaderTimeout time.Duration
	IdleTimeout       time.Duration
	MaxHeaderBytes    int
	// MaxKeepAliveConnections is the number of client connections beyond which each is closed after its next response. Clients that retry on new connections would otherwise use up the file descriptors while their old connections are idle. 0 means no limit.
	MaxKeepAliveConnections int64
	// MaxUnansweredConnections is the number of connections without an answer from which clients' connections are accepted only twice a second; each takes memory for its request. 0 means no limit.
	MaxUnansweredConnections int64
	// ShutdownDelay is how long a stopping server keeps accepting connections, so that the platform notices the failing readiness check first.
	ShutdownDelay time.Duration
	// ShutdownTimeout limits the whole shutdown, ShutdownDelay included.
	ShutdownTimeout time.Duration
}

// Server runs the HTTP servers of a router.
type Server struct {
	settings Settings
	router   *hwforward.Router
	logger   *hwevent.Logger
	now      func() time.Time
	// lock guards servers, listeners and acceptsEnded: the process may be told to stop while it still opens listeners.
	lock    sync.Mutex
	servers []*http.Server
	// listeners holds the listener of each entry in servers.
	listeners []net.Listener
	// acceptsEnded holds for each entry in servers a channel that is closed when it accepts no more connections.
	acceptsEnded []<-chan struct{}
	// clientConnections counts the open client connections.
	clientConnections atomic.Int64
	// unansweredConnections counts the connections of all listeners that are new or have a request in progress.
	unansweredConnections atomic.Int64
	stopping              atomic.Bool
	// stopped is closed when Stop returns.
	stopped chan struct{}
	// baseContext returns the context of all requests, which endRequests cancels.
	baseContext func(net.Listener) context.Context
	endRequests context.CancelCauseFunc
}

// New returns a server that is not listening yet.
func New(settings Settings, router *hwforward.Router, logger *hwevent.Logger, now func() time.Time) *Server {
	base, endRequests := context.WithCancelCause(context.Background())
	return &Server{
		settings:    settings,
		router:      router,
		logger:      logger,
		now:         now,
		stopped:     make(chan struct{}),
		baseContext: func(net.Listener) context.Context { return base },
		endRequests: endRequests,
	}
}

// Start listens and serves until Stop. It implements transport.Server of kratos.
func (s *Server) Start(ctx context.Context) error {
	tasks := make([]<-chan error, 0, maxListeners)
	for _, l := range []struct {
		address string
		handler http.Handler
	}{
		{address: s.settings.ClientAddress, handler: s.clientHandler()},
		{address: s.settings.ReadinessAddress, handler: s.readinessHandler()},
		{address: s.settings.MetricsAddress, handler: s.metricsHandler()},
	} {
		if l.address == "" {
			continue
		}
		listener, err := listen(ctx, l.address)
		if err != nil {
			return err
		}
		if l.address == s.settings.ClientAddress {
			listener = throttledListener{
				Listener: listener,
				full:     s.isFull,
			}
		}
		server := &http.Server{
			Handler:           l.handler,
			ReadHeaderTimeout: s.settings.ReadHeaderTimeout,
			IdleTimeout:       s.settings.IdleTimeout,
			MaxHeaderBytes:    s.settings.MaxHeaderBytes,
			ConnState:         s.connStateCounter(l.address == s.settings.ClientAddress),
			BaseContext:       s.baseContext,
			ConnContext:       hwforward.WithClientConn,
			ErrorLog:          hwevent.StandardLogger(s.logger, hwevent.LibraryLine),
		}
		acceptEnded := make(chan struct{})
		if !s.register(server, listener, acceptEnded) {
			return trace.NewAggregate(listener.Close(), hwtask.Join(tasks...))
		}
		tasks = append(tasks, hwtask.Start(ctx, func(context.Context) error {
			err := server.Serve(listener)
			close(acceptEnded)
			if s.stopping.Load() {
				// Accepted requests are still being served until Stop returns.
				<-s.stopped
				return nil
			}
			return trace.Wrap(err)
		}))
	}
	s.logger.Emit(hwevent.RouterStarted, hwevent.With("instance", s.settings.Instance), hwevent.With("callers", s.settings.ClientAddress))
	return hwtask.Join(tasks...)
}

// isFull reports whether connections take as much memory as they may. A stopping server accepts those that wait all the same, so that they are answered.
func (s *Server) isFull() bool {
	limit := s.settings.MaxUnansweredConnections
	return !s.stopping.Load() && (limit > 0 && s.unansweredConnections.Load() >= limit || s.router.MemoryFull())
}

// register makes a server known to Stop. It returns false if Stop no longer waits for new ones.
func (s *Server) register(server *http.Server, listener net.Listener, acceptEnded <-chan struct{}) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.stopping.Load() {
		return false
	}
	s.servers = append(s.servers, server)
	s.listeners = append(s.listeners, listener)
	s.acceptsEnded = append(s.acceptsEnded, acceptEnded)
	return true
}

// maxListeners is the number of listeners that a server may have.
const maxListeners = 3

// clientHandler serves client requests, and closes each connection after its response while there are too many of them.
func (s *Server) clientHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if limit := s.settings.MaxKeepAliveConnections; limit > 0 && s.clientConnections.Load() > limit {
			w.Header().Set("Connection", "close")
		}
		s.router.ServeHTTP(w, request)
	})
}

// connStateCounter returns a ConnState hook that counts a listener's unanswered connections and, if countClients is set, its open ones.
func (s *Server) connStateCounter(countClients bool) func(net.Conn, http.ConnState) {
	var lock sync.Mutex
	awaiting := map[net.Conn]bool{}
	return func(conn net.Conn, state http.ConnState) {
		if countClients {
			switch state {
			case http.StateNew:
				s.clientConnections.Add(1)
			case http.StateClosed, http.StateHijacked:
				s.clientConnections.Add(-1)
			default:
			}
		}
		awaitsResponse := state == http.StateNew || state == http.StateActive
		lock.Lock()
		defer lock.Unlock()
		switch {
		case awaitsResponse && !awaiting[conn]:
			awaiting[conn] = true
			s.unansweredConnections.Add(1)
		case !awaitsResponse && awaiting[conn]:
			delete(awaiting, conn)
			s.unansweredConnections.Add(-1)
		}
	}
}

// readinessHandler reports readiness by the status code alone.
func (s *Server) readinessHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		switch {
		case request.URL.Path != s.settings.ReadinessPath:
			w.WriteHeader(http.StatusNotFound)
		case s.router.Ready(s.now()):
			w.WriteHeader(http.StatusOK)
		default:
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

func (s *Server) metricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if request.URL.Path != s.settings.MetricsPath {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		s.router.WriteMetrics(w, s.now())
	})
}

// drainPollInterval is how often a stopping server checks for requests in flight.
const drainPollInterval = 50 * time.Millisecond

// finalAnswerTime is the part of ShutdownTimeout in which the requests that still wait for an upstream are told that its answer will not come.
const finalAnswerTime = 300 * time.Millisecond

// firstRequestTimeout is how long a stopping server waits for the first request on connections that it has just accepted. A client that sends nothing within this time loses no request.
const firstRequestTimeout = 500 * time.Millisecond

// Stop fails the readiness check, keeps serving until ShutdownDelay is over and no request is in flight, and then closes the listeners and answers what they have accepted. It implements transport.Server of kratos.
//
// An http.Server does not answer requests that it reads after Shutdown was called. Therefore Stop first closes the listeners and waits until every accepted connection has its response.
func (s *Server) Stop(ctx context.Context) error {
	defer close(s.stopped)
	stopStart := s.now()
	s.router.StartDraining(stopStart)
	s.logger.Emit(hwevent.RouterStopping, hwevent.With("instance", s.settings.Instance), hwevent.With("in-flight", s.router.InFlight()))
	ctx, cancel := context.WithTimeout(ctx, s.settings.ShutdownTimeout)
	defer cancel()
	defer time.AfterFunc(s.settings.ShutdownTimeout-finalAnswerTime, func() { s.endRequests(&hwforward.StoppingError{}) }).Stop()
	for ctx.Err() == nil && (s.now().Sub(stopStart) < s.settings.ShutdownDelay || s.router.InFlight() > 0) {
		hwtask.Sleep(ctx, drainPollInterval)
	}
	s.stopping.Store(true)
	s.lock.Lock()
	defer s.lock.Unlock()
	failures := make([]error, 0, len(s.servers))
	for i, server := range s.servers {
		failures = append(failures, s.listeners[i].Close())
		server.SetKeepAlivesEnabled(false)
	}
	// Connections that are still queued are not counted as unanswered yet.
	for _, ended := range s.acceptsEnded {
		select {
		case <-ended:
		case <-ctx.Done():
		}
	}
	closeTime := s.now()
	for ctx.Err() == nil && (s.router.InFlight() > 0 || s.unansweredConnections.Load() > 0 && s.now().Sub(closeTime) < firstRequestTimeout) {
		hwtask.Sleep(ctx, drainPollInterval)
	}
	for _, server := range s.servers {
		if err := server.Shutdown(ctx); err != nil {
			// The responses still in progress are aborted; their clients see that they are truncated.
			failures = append(failures, err, server.Close())
		}
	}
	s.logger.Emit(hwevent.RouterStopped, hwevent.With("instance", s.settings.Instance), hwevent.With("in-flight", s.router.InFlight()), hwevent.With("ms", s.now().Sub(stopStart).Milliseconds()))
	return trace.NewAggregate(failures...)
}
