// Package hwfront serves a router's listeners: callers, the platform's readiness question, and metrics. It lets a router stop without cutting a request.
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

// Settings are the listeners and times of a server.
type Settings struct {
	Instance string
	// ClientAddress, Ready and Metrics are addresses; an empty one is not served.
	ClientAddress    string
	ReadinessAddress string
	MetricsAddress   string
	// ReadinessPath is where the platform asks whether the instance takes callers, MetricsPath where metrics are read.
	ReadinessPath string
	MetricsPath   string
	// ReadHeaderTimeout bounds a request's head, IdleTimeout the pause between two requests of a connection.
	ReadHeaderTimeout time.Duration
	IdleTimeout       time.Duration
	MaxHeaderBytes    int
	// MaxKeepAliveConnections is the number of callers' connections beyond which each is closed after its answer. Callers that come again on new connections would otherwise use up the descriptors while the old ones are idle. 0 is no bound.
	MaxKeepAliveConnections int64
	// ShutdownDelay is how long a stopping server still takes connections, until the platform has seen that it is not ready.
	ShutdownDelay time.Duration
	// ShutdownTimeout is how long a stopping server may take as a whole.
	ShutdownTimeout time.Duration
}

// Server serves a router.
type Server struct {
	settings Settings
	router   *hwforward.Router
	logger   *hwevent.Logger
	now      func() time.Time
	servers  []*http.Server
	// listening are the servers' listeners.
	listening []net.Listener
	// open counts the callers' connections, unanswered those of all listeners that are new or carry a request.
	open       atomic.Int64
	unanswered atomic.Int64
	stopping   atomic.Bool
	// stopped is closed when Stop has ended.
	stopped chan struct{}
}

// New returns a server that does not listen yet.
func New(settings Settings, router *hwforward.Router, logger *hwevent.Logger, now func() time.Time) *Server {
	return &Server{
		settings: settings,
		router:   router,
		logger:   logger,
		now:      now,
		stopped:  make(chan struct{}),
	}
}

// Start listens and serves until Stop. It is one half of kratos's server interface.
func (s *Server) Start(ctx context.Context) error {
	tasks := make([]<-chan error, 0, listeners)
	for _, l := range []struct {
		address string
		handler http.Handler
	}{
		{address: s.settings.ClientAddress, handler: s.callers()},
		{address: s.settings.ReadinessAddress, handler: s.readiness()},
		{address: s.settings.MetricsAddress, handler: s.metrics()},
	} {
		if l.address == "" {
			continue
		}
		listener, err := listen(ctx, l.address)
		if err != nil {
			return err
		}
		server := &http.Server{
			Handler:           l.handler,
			ReadHeaderTimeout: s.settings.ReadHeaderTimeout,
			IdleTimeout:       s.settings.IdleTimeout,
			MaxHeaderBytes:    s.settings.MaxHeaderBytes,
			ConnState:         s.counter(l.address == s.settings.ClientAddress),
			ErrorLog:          hwevent.StandardLogger(s.logger, hwevent.LibraryLine),
		}
		s.servers = append(s.servers, server)
		s.listening = append(s.listening, listener)
		tasks = append(tasks, hwtask.Start(ctx, func(context.Context) error {
			err := server.Serve(listener)
			if s.stopping.Load() {
				// What was accepted is still being served.
				<-s.stopped
				return nil
			}
			return trace.Wrap(err)
		}))
	}
	s.logger.Emit(hwevent.RouterStarted, hwevent.With("instance", s.settings.Instance), hwevent.With("callers", s.settings.ClientAddress))
	return hwtask.Join(tasks...)
}

// listeners is the number of listeners that a server may have.
const listeners = 3

// callers serves requests and closes connections while there are too many.
func (s *Server) callers() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if bound := s.settings.MaxKeepAliveConnections; bound > 0 && s.open.Load() > bound {
			w.Header().Set("Connection", "close")
		}
		s.router.ServeHTTP(w, request)
	})
}

// counter follows the states of a listener's connections.
func (s *Server) counter(callers bool) func(net.Conn, http.ConnState) {
	var lock sync.Mutex
	unanswered := map[net.Conn]bool{}
	return func(conn net.Conn, state http.ConnState) {
		if callers {
			switch state {
			case http.StateNew:
				s.open.Add(1)
			case http.StateClosed, http.StateHijacked:
				s.open.Add(-1)
			default:
			}
		}
		waits := state == http.StateNew || state == http.StateActive
		lock.Lock()
		defer lock.Unlock()
		switch {
		case waits && !unanswered[conn]:
			unanswered[conn] = true
			s.unanswered.Add(1)
		case !waits && unanswered[conn]:
			delete(unanswered, conn)
			s.unanswered.Add(-1)
		}
	}
}

// readiness answers the platform's question with the status alone.
func (s *Server) readiness() http.Handler {
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

func (s *Server) metrics() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if request.URL.Path != s.settings.MetricsPath {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		s.router.WriteMetrics(w, s.now())
	})
}

// idlePoll is how often a stopping server looks whether requests are in flight.
const idlePoll = 50 * time.Millisecond

// silentNew is how long a stopping server waits for the first request of connections that it has just accepted. A caller that sends nothing for longer loses nothing.
const silentNew = 500 * time.Millisecond

// Stop lets the platform see that the instance is not ready, serves what comes until then, and finishes what is in flight. It is the other half of kratos's server interface.
//
// The library's server answers no request that it reads once it shuts down, so before that nothing more is let in and all that was let in is answered.
func (s *Server) Stop(ctx context.Context) error {
	defer close(s.stopped)
	began := s.now()
	s.router.StartDraining(began)
	s.logger.Emit(hwevent.RouterStopping, hwevent.With("instance", s.settings.Instance), hwevent.With("in-flight", s.router.InFlight()))
	ctx, cancel := context.WithTimeout(ctx, s.settings.ShutdownTimeout)
	defer cancel()
	for ctx.Err() == nil && (s.now().Sub(began) < s.settings.ShutdownDelay || s.router.InFlight() > 0) {
		hwtask.Sleep(ctx, idlePoll)
	}
	s.stopping.Store(true)
	failures := make([]error, 0, len(s.servers))
	for i, server := range s.servers {
		failures = append(failures, s.listening[i].Close())
		server.SetKeepAlivesEnabled(false)
	}
	closed := s.now()
	for ctx.Err() == nil && (s.router.InFlight() > 0 || s.unanswered.Load() > 0 && s.now().Sub(closed) < silentNew) {
		hwtask.Sleep(ctx, idlePoll)
	}
	for _, server := range s.servers {
		if err := server.Shutdown(ctx); err != nil {
			// What is still in flight is cut: its caller sees that the answer is not whole.
			failures = append(failures, err, server.Close())
		}
	}
	s.logger.Emit(hwevent.RouterStopped, hwevent.With("instance", s.settings.Instance), hwevent.With("in-flight", s.router.InFlight()), hwevent.With("ms", s.now().Sub(began).Milliseconds()))
	return trace.NewAggregate(failures...)
}
