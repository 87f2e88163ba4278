package admin

import (
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/gorilla/mux"
	"go.uber.org/fx"

	"rattanpath/core"
	"rattanpath/follow"
	"rattanpath/peer"
	"rattanpath/proxy"
	"rattanpath/roster"
	"rattanpath/route"
	"rattanpath/views"
)

func init() {
	core.Modules.Register("admin", fx.Module("admin",
		fx.Provide(newComponents, New),
		fx.Invoke(start),
	))
}

func newComponents(settings core.Settings, follower *follow.Follower, watcher *roster.Watcher, router *route.Router, exchanger *peer.Exchanger, handler *proxy.Handler, server *proxy.Server) *Components {
	return &Components{
		Settings:  settings,
		Follower:  follower,
		Watcher:   watcher,
		Router:    router,
		Exchanger: exchanger,
		Handler:   handler,
		Server:    server,
	}
}

// Server handles the requests of operators.
type Server struct {
	components *Components
	metrics    *metrics.Set
	logger     logr.Logger
	server     *core.AdminServer
}

// New returns a server that listens once the node's lifecycle starts.
func New(components *Components, set *metrics.Set, traffic *core.TrafficCounter, logger logr.Logger) *Server {
	s := &Server{components: components, metrics: set, logger: logger.WithName("admin")}
	router := mux.NewRouter()
	router.HandleFunc(views.HealthPath, s.health).Methods(http.MethodGet)
	router.HandleFunc(views.StatusPath, s.status).Methods(http.MethodGet)
	router.HandleFunc(views.OutcomePath+"{RequestID}", s.outcome).Methods(http.MethodGet)
	router.HandleFunc(views.MetricsPath, s.writeMetrics).Methods(http.MethodGet)
	s.server = core.NewAdminServer(components.Settings.AdminListen, router, s.logger)
	set.NewGauge("rattanpath_control_received_bytes", func() float64 { return float64(traffic.Received()) })
	set.NewGauge("rattanpath_control_sent_bytes", func() float64 { return float64(traffic.Sent()) })
	set.NewGauge("rattanpath_revision", func() float64 { return float64(components.activeRevision()) })
	set.NewGauge("rattanpath_log_age_seconds", func() float64 { return components.logStatus().Age.Seconds() })
	return s
}

func start(lifecycle fx.Lifecycle, server *Server) {
	lifecycle.Append(fx.Hook{OnStart: server.server.Start, OnStop: server.server.Stop})
}

// health responds with 200 if the node is ready for requests, and with 503
// otherwise.
func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	status := s.components.Status()
	if !status.Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	s.server.WriteJSON(w, status)
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	s.server.WriteJSON(w, s.components.Status())
}

func (s *Server) outcome(w http.ResponseWriter, r *http.Request) {
	outcome, known := s.components.Follower.State().Outcome(mux.Vars(r)["RequestID"])
	if !known {
		w.WriteHeader(http.StatusNotFound)
	}
	s.server.WriteJSON(w, outcome)
}

func (s *Server) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	s.metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
