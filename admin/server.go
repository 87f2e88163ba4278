package admin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"go.uber.org/fx"

	"rattanpath/core"
	"rattanpath/follow"
	"rattanpath/peer"
	"rattanpath/proxy"
	"rattanpath/roster"
	"rattanpath/route"
	"rattanpath/views"
)

const headerTimeout = 5 * time.Second

func init() {
	core.Modules.Register("admin", fx.Module("admin",
		fx.Provide(newParts, New),
		fx.Invoke(start),
	))
}

func newParts(settings core.Settings, follower *follow.Follower, watcher *roster.Watcher, router *route.Router, exchanger *peer.Exchanger, handler *proxy.Handler, server *proxy.Server) *Parts {
	return &Parts{
		Settings:  settings,
		Follower:  follower,
		Watcher:   watcher,
		Router:    router,
		Exchanger: exchanger,
		Handler:   handler,
		Server:    server,
	}
}

// Server answers operators.
type Server struct {
	parts   *Parts
	metrics *metrics.Set
	logger  logr.Logger
	server  *http.Server
}

// New returns a server that listens once it is started.
func New(parts *Parts, set *metrics.Set, traffic *core.Traffic, logger logr.Logger) *Server {
	s := &Server{parts: parts, metrics: set, logger: logger.WithName("admin")}
	router := mux.NewRouter()
	router.HandleFunc(views.HealthPath, s.health).Methods(http.MethodGet)
	router.HandleFunc(views.StatusPath, s.status).Methods(http.MethodGet)
	router.HandleFunc(views.OutcomePath+"{RequestID}", s.outcome).Methods(http.MethodGet)
	router.HandleFunc(views.MetricsPath, s.writeMetrics).Methods(http.MethodGet)
	s.server = &http.Server{Handler: router, ReadHeaderTimeout: headerTimeout, ErrorLog: core.StandardLog(logger.WithName("http"))}
	set.NewGauge("rattanpath_control_received_bytes", func() float64 { return float64(traffic.Received()) })
	set.NewGauge("rattanpath_control_sent_bytes", func() float64 { return float64(traffic.Sent()) })
	set.NewGauge("rattanpath_revision", func() float64 { return float64(parts.revision()) })
	set.NewGauge("rattanpath_log_age_seconds", func() float64 { return parts.log().Age.Seconds() })
	return s
}

func start(lifecycle fx.Lifecycle, server *Server) {
	lifecycle.Append(fx.Hook{OnStart: server.start, OnStop: server.stop})
}

func (s *Server) start(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", s.parts.Settings.AdminListen)
	if err != nil {
		return errors.Wrap(err, "listening for operators")
	}
	s.logger.Info("listening for operators", "address", listener.Addr().String())
	go s.run(listener)
	return nil
}

func (s *Server) run(listener net.Listener) {
	if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		s.logger.Error(err, "no longer listening for operators")
	}
}

func (s *Server) stop(context.Context) error {
	return errors.Wrap(s.server.Close(), "closing operators' connections")
}

// health answers 200 if the node takes requests, else 503.
func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	status := s.parts.Status()
	if !status.Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	s.write(w, status)
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	s.write(w, s.parts.Status())
}

func (s *Server) outcome(w http.ResponseWriter, r *http.Request) {
	outcome, known := s.parts.Follower.State().Outcome(mux.Vars(r)["RequestID"])
	if !known {
		w.WriteHeader(http.StatusNotFound)
	}
	s.write(w, outcome)
}

func (s *Server) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	s.metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

func (s *Server) write(w http.ResponseWriter, value any) {
	if err := json.NewEncoder(w).Encode(value); err != nil {
		s.logger.Error(err, "an answer to an operator failed")
	}
}
