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

// Server takes callers' connections and stops without cutting off a request.
type Server struct {
	settings core.Settings
	handler  *Handler
	server   *http.Server
	logger   logr.Logger
	killed   atomic.Bool
}

// NewServer returns a server that listens once it is started.
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
		return errors.Wrap(err, "listening for callers")
	}
	s.logger.Info("listening for callers", "address", listener.Addr().String())
	go s.run(netutil.LimitListener(listener, s.settings.MaxConnections))
	return nil
}

func (s *Server) run(listener net.Listener) {
	if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		s.logger.Error(err, "no longer listening for callers")
	}
}

// Kill cuts off every caller, as the loss of the host does; for trials.
func (s *Server) Kill() {
	s.killed.Store(true)
	_ = s.server.Close()
}

// Stopping reports whether a stop has begun.
func (s *Server) Stopping() bool { return s.handler.stopping.Load() }

// stop turns the node unready, goes on for a while so that the balancer
// notices, and then waits for the requests in flight.
func (s *Server) stop(ctx context.Context) error {
	if s.killed.Load() {
		return nil
	}
	s.handler.SetStopping()
	s.logger.Info("stopping", "inFlight", s.handler.InFlight())
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
		s.logger.Error(err, "requests were cut off by the stop", "cutOff", s.handler.InFlight())
		return errors.Wrap(s.server.Close(), "closing callers' connections")
	}
	s.logger.Info("stopped", "cutOff", 0)
	return nil
}
