package proxy

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"go.uber.org/fx"
	"golang.org/x/net/netutil"

	"rattanpath/core"
	"rattanpath/route"
)

func init() {
	core.Modules.Register("proxy", fx.Module("proxy",
		fx.Provide(newFromSettings, NewServer),
		fx.Invoke(start),
	))
}

func newFromSettings(settings core.Settings, router *route.Router, set *metrics.Set) *Handler {
	return New(settings.Name, router, set)
}

// Server is the HTTP server for callers. It shuts down gracefully.
type Server struct {
	settings core.Settings
	handler  *Handler
	server   *http.Server
	logger   logr.Logger
	killed   atomic.Bool
}

// NewServer returns a server that starts listening with the fx lifecycle.
func NewServer(settings core.Settings, handler *Handler, logger logr.Logger) *Server {
	return &Server{
		settings: settings,
		handler:  handler,
		logger:   logger.WithName("proxy"),
		server: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: settings.HeaderTimeout,
			IdleTimeout:       settings.IdleTimeout,
			MaxHeaderBytes:    settings.MaxHeaderBytes,
			ErrorLog:          core.StandardLog(logger.WithName("http")),
		},
	}
}

func start(lifecycle fx.Lifecycle, server *Server) {
	lifecycle.Append(fx.Hook{OnStart: server.start, OnStop: server.stop})
}

func (s *Server) start(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", s.settings.Listen)
	if err != nil {
		return errors.Wrap(err, "starting proxy listener")
	}
	s.logger.Info("proxy listening", "address", listener.Addr().String())
	go s.run(netutil.LimitListener(listener, s.settings.MaxConnections))
	return nil
}

func (s *Server) run(listener net.Listener) {
	if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		s.logger.Error(err, "proxy server failed")
	}
}

// Kill closes all connections at once, as the loss of the host would. It is used
// for fault injection.
func (s *Server) Kill() {
	s.killed.Store(true)
	_ = s.server.Close()
}

// Stopping reports whether the shutdown has begun.
func (s *Server) Stopping() bool { return s.handler.stopping.Load() }

// stop marks the node as not ready, keeps serving for the Linger time so that
// the load balancer takes the node out of rotation, and then waits up to
// ShutdownGrace for the requests in flight.
func (s *Server) stop(ctx context.Context) error {
	if s.killed.Load() {
		return nil
	}
	s.handler.SetStopping()
	s.logger.Info("shutting down", "inFlight", s.handler.InFlight())
	timer := time.NewTimer(s.settings.Linger)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	graceCtx, cancel := context.WithTimeout(ctx, s.settings.ShutdownGrace)
	defer cancel()
	err := s.server.Shutdown(graceCtx)
	if err != nil {
		s.logger.Error(err, "shutdown grace period expired, closing connections with requests in flight", "cutOff", s.handler.InFlight())
		return errors.Wrap(s.server.Close(), "closing proxy connections")
	}
	s.logger.Info("shutdown complete", "cutOff", 0)
	return nil
}
