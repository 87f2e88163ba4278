package core

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
)

// adminHeaderTimeout is the time limit for reading the header of a request.
const adminHeaderTimeout = 5 * time.Second

// AdminServer is the HTTP server on a node's admin address.
type AdminServer struct {
	address string
	logger  logr.Logger
	server  *http.Server
	// wrap is nil unless Limit was called.
	wrap func(net.Listener) net.Listener
}

// NewAdminServer returns a server for the address; Start makes it listen.
func NewAdminServer(address string, handler http.Handler, logger logr.Logger) *AdminServer {
	return &AdminServer{
		address: address,
		logger:  logger,
		server:  &http.Server{Handler: handler, ReadHeaderTimeout: adminHeaderTimeout, ErrorLog: StandardLog(logger.WithName("http"))},
	}
}

// Limit sets limits on the server's clients: configure changes the server, and wrap its
// listener. It must be called before Start.
func (s *AdminServer) Limit(configure func(*http.Server), wrap func(net.Listener) net.Listener) {
	configure(s.server)
	s.wrap = wrap
}

// Start listens on the address and serves requests in the background.
func (s *AdminServer) Start(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", s.address)
	if err != nil {
		return errors.Wrap(err, "listening on the admin address")
	}
	s.logger.Info("admin server listening", "address", listener.Addr().String())
	if s.wrap != nil {
		listener = s.wrap(listener)
	}
	go s.run(listener)
	return nil
}

// run serves requests until the server is closed.
func (s *AdminServer) run(listener net.Listener) {
	if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		s.logger.Error(err, "admin server failed")
	}
}

// Stop closes the listener and all connections, also those with requests in
// flight.
func (s *AdminServer) Stop(context.Context) error {
	return errors.Wrap(s.server.Close(), "closing the admin server")
}

// WriteJSON writes a value as the JSON body of a response.
func (s *AdminServer) WriteJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(value); err != nil {
		s.logger.Error(err, "admin response failed")
	}
}
