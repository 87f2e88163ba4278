package engine

import (
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
)

// TestHandlerLearnsConfigs guards against a handler that isn't told of the configurations
// between two requests, and so of the services that queues have used.
func TestHandlerLearnsConfigs(t *testing.T) {
	config := newConfigWatcher(Platform{}, logr.Discard())
	newHandler(config, nil, Platform{}, metrics.NewSet(), logr.Discard())
	if config.OnConfig == nil {
		t.Error("got a watcher that passes no configuration on, want one that does")
	}
}
