package intake

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"rattanpath/core"
)

const (
	headerTimeout  = 3 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 16 << 10
	// drainFraction is the part of the grace of a stop in which the node still takes
	// requests, so that callers' balancer has seen that it isn't ready.
	drainFraction = 0.5
	// closeFraction is the part of the grace after which connections are cut off.
	closeFraction = 0.9
)

// Server takes callers' connections and says whether the node is ready.
type Server struct {
	callers   *http.Server
	health    *http.Server
	addresses [2]string
	grace     time.Duration
	ready     func() bool
	stopping  atomic.Bool
	logger    logr.Logger
}

// NewServer returns a server for callers at one address and for the balancer's
// question whether the node is ready at another.
func NewServer(callers, health string, handler *Handler, ready func() bool, grace time.Duration, logger logr.Logger) *Server {
	s := &Server{grace: grace, ready: ready, logger: logger.WithName("intake"), addresses: [2]string{callers, health}}
	errorLog := core.StandardLog(s.logger)
	s.callers = &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          errorLog,
	}
	router := mux.NewRouter()
	router.HandleFunc("/ready", s.serveReady).Methods(http.MethodGet)
	s.health = &http.Server{Handler: router, ReadHeaderTimeout: headerTimeout, ErrorLog: errorLog}
	return s
}

// Ready reports whether the node takes new connections.
func (s *Server) Ready() bool { return !s.stopping.Load() && s.ready() }

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Start listens at both addresses.
func (s *Server) Start(ctx context.Context) error {
	for i, server := range []*http.Server{s.callers, s.health} {
		var config net.ListenConfig
		listener, err := config.Listen(ctx, "tcp", s.addresses[i])
		if err != nil {
			return errors.Wrapf(err, "listening at %s", s.addresses[i])
		}
		go (&listenerServer{server: server, listener: listener, logger: s.logger}).run()
	}
	s.logger.Info("listening for callers", "address", s.addresses[0])
	return nil
}

// listenerServer is a server on its listener.
type listenerServer struct {
	server   *http.Server
	listener net.Listener
	logger   logr.Logger
}

// run serves until the server is closed.
func (l *listenerServer) run() {
	if err := l.server.Serve(l.listener); !errors.Is(err, http.ErrServerClosed) {
		l.logger.Error(err, "no longer listening", "address", l.listener.Addr().String())
	}
}

// SetNotReady makes the node say that it isn't ready.
func (s *Server) SetNotReady() { s.stopping.Store(true) }

// Stop goes on taking requests until the balancer has had time to notice, and
// then waits for those in flight.
func (s *Server) Stop(ctx context.Context) error {
	s.SetNotReady()
	_ = core.Sleep(ctx, time.Duration(float64(s.grace)*drainFraction))
	ctx, cancel := context.WithTimeout(ctx, time.Duration(float64(s.grace)*(closeFraction-drainFraction)))
	defer cancel()
	if err := s.callers.Shutdown(ctx); err != nil {
		s.logger.Info("requests were still in flight at the stop", "err", err.Error())
		_ = s.callers.Close()
	}
	return errors.Wrap(s.health.Close(), "closing the health listener")
}
