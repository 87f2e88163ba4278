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

// operatorHeaderTimeout bounds the header of an operator's request.
const operatorHeaderTimeout = 5 * time.Second

// Operators is the server of an address at which a node answers operators.
type Operators struct {
	address string
	logger  logr.Logger
	server  *http.Server
}

// NewOperators returns a server that listens once it is started.
func NewOperators(address string, handler http.Handler, logger logr.Logger) *Operators {
	return &Operators{
		address: address,
		logger:  logger,
		server:  &http.Server{Handler: handler, ReadHeaderTimeout: operatorHeaderTimeout, ErrorLog: StandardLog(logger.WithName("http"))},
	}
}

// Start begins to listen; the error is that of the address.
func (o *Operators) Start(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", o.address)
	if err != nil {
		return errors.Wrap(err, "listening for operators")
	}
	o.logger.Info("listening for operators", "address", listener.Addr().String())
	go o.run(listener)
	return nil
}

// run serves until the server is closed.
func (o *Operators) run(listener net.Listener) {
	if err := o.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		o.logger.Error(err, "no longer listening for operators")
	}
}

// Stop ends all connections.
func (o *Operators) Stop(context.Context) error {
	return errors.Wrap(o.server.Close(), "closing operators' connections")
}

// Write answers an operator with a value as JSON.
func (o *Operators) Write(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(value); err != nil {
		o.logger.Error(err, "an answer to an operator failed")
	}
}
