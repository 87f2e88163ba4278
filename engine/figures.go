package engine

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"rattanpath/core"
	"rattanpath/views"
)

// figuresHeaderTimeout bounds the header of a request for metrics.
const figuresHeaderTimeout = 3 * time.Second

// figures serves the node's metrics.
type figures struct {
	address string
	server  *http.Server
	logger  logr.Logger
}

func newFigures(settings Settings, set *metrics.Set, logger logr.Logger) *figures {
	router := mux.NewRouter()
	router.HandleFunc(views.MetricsPath, func(w http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	}).Methods(http.MethodGet)
	return &figures{
		address: settings.AdminListen,
		server:  &http.Server{Handler: router, ReadHeaderTimeout: figuresHeaderTimeout, ErrorLog: core.StandardLog(logger.WithName("http"))},
		logger:  logger.WithName("figures"),
	}
}

func (f *figures) start(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", f.address)
	if err != nil {
		return errors.Wrap(err, "listening for operators")
	}
	go f.run(listener)
	return nil
}

// run serves until the server is closed.
func (f *figures) run(listener net.Listener) {
	if err := f.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		f.logger.Error(err, "no longer serving metrics")
	}
}

func (f *figures) stop(context.Context) error {
	return errors.Wrap(f.server.Close(), "closing operators' connections")
}
