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
	"rattanpath/guard"
)

const (
	// drainFraction is the fraction of the grace period in which a stopping node
	// still accepts requests, so that the load balancer notices that it is not
	// ready.
	drainFraction = 0.5
	// closeFraction is the fraction of the grace period after which remaining
	// connections are closed.
	closeFraction = 0.9
)

// Server serves the callers' API and the readiness check.
type Server struct {
	callers   *http.Server
	health    *http.Server
	addresses [2]string
	grace     time.Duration
	ready     func() bool
	stopping  atomic.Bool
	gates     *guard.Gates
	logger    logr.Logger
}

// NewServer returns a server that serves callers at one address and the load
// balancer's readiness check at another, both through their gates.
func NewServer(callers, health string, handler *Handler, ready func() bool, grace time.Duration, gates *guard.Gates, logger logr.Logger) *Server {
	s := &Server{gates: gates, grace: grace, ready: ready, logger: logger.WithName("intake"), addresses: [2]string{callers, health}}
	errorLog := core.StandardLog(s.logger)
	s.callers = &http.Server{Handler: handler, ErrorLog: errorLog}
	gates.Callers.Configure(s.callers)
	router := mux.NewRouter()
	router.HandleFunc("/ready", s.serveReady).Methods(http.MethodGet)
	s.health = &http.Server{Handler: router, ErrorLog: errorLog}
	gates.Readiness.Configure(s.health)
	return s
}

// Ready reports whether the node accepts new requests.
func (s *Server) Ready() bool { return !s.stopping.Load() && s.ready() }

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Start listens at both addresses.
func (s *Server) Start(ctx context.Context) error {
	gates := []*guard.Gate{s.gates.Callers, s.gates.Readiness}
	for i, server := range []*http.Server{s.callers, s.health} {
		var config net.ListenConfig
		listener, err := config.Listen(ctx, "tcp", s.addresses[i])
		if err != nil {
			return errors.Wrapf(err, "listening at %s", s.addresses[i])
		}
		go (&listenerServer{server: server, listener: gates[i].Listen(listener), logger: s.logger}).run()
	}
	s.logger.Info("listening for callers", "address", s.addresses[0])
	return nil
}

// listenerServer serves HTTP on one listener.
type listenerServer struct {
	server   *http.Server
	listener net.Listener
	logger   logr.Logger
}

// run serves until the server is closed.
func (l *listenerServer) run() {
	if err := l.server.Serve(l.listener); !errors.Is(err, http.ErrServerClosed) {
		l.logger.Error(err, "HTTP server failed", "address", l.listener.Addr().String())
	}
}

// SetNotReady makes the readiness check fail.
func (s *Server) SetNotReady() { s.stopping.Store(true) }

// Stop fails the readiness check, accepts requests until the load balancer has had
// time to notice, and then waits for those in flight.
func (s *Server) Stop(ctx context.Context) error {
	s.SetNotReady()
	_ = core.Sleep(ctx, time.Duration(float64(s.grace)*drainFraction))
	ctx, cancel := context.WithTimeout(ctx, time.Duration(float64(s.grace)*(closeFraction-drainFraction)))
	defer cancel()
	if err := s.callers.Shutdown(ctx); err != nil {
		s.logger.Info("closing connections with requests in flight", "err", err.Error())
		_ = s.callers.Close()
	}
	return errors.Wrap(s.health.Close(), "closing the health listener")
}
