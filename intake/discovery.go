package intake

import (
	"context"
	"sync"
	"time"

	"rattanpath/core"
)

const (
	// minAskDelay and maxAskDelay bound the backoff between two rounds of calls to the
	// services that have not listed their queues. The first rounds follow quickly because
	// submissions cost a call to each of these services.
	minAskDelay = 50 * time.Millisecond
	maxAskDelay = time.Second
)

// Run asks the owner of each service once which queues it holds jobs of, until ctx ends. A
// node that has just started doesn't know which services its queues have used.
func (h *Handler) Run(ctx context.Context) {
	delay := minAskDelay
	for ctx.Err() == nil {
		changed := h.history.changed.Changed()
		services := h.history.unsettledServices()
		if len(services) == 0 {
			delay = minAskDelay
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		if err := h.askForQueues(ctx, services); err != nil && delay == maxAskDelay {
			h.logger.Info("services have not listed their queues; submissions need a call to each", "services", services, "err", err.Error())
		}
		if len(h.history.unsettledServices()) > 0 && core.Sleep(ctx, delay) == nil {
			delay = min(2*delay, maxAskDelay)
		}
	}
}

// askForQueues asks services at the same time, so that one that doesn't answer delays no
// other. It returns the error of one of them.
func (h *Handler) askForQueues(ctx context.Context, services []string) error {
	errs := make([]error, len(services))
	var wg sync.WaitGroup
	for i, service := range services {
		wg.Go(func() { errs[i] = h.askService(ctx, service) })
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// askService asks the owner of a service which queues it holds jobs of.
func (h *Handler) askService(ctx context.Context, service string) error {
	list, err := h.client.Queues(ctx, service)
	if err != nil {
		return err
	}
	if h.history.addList(service, list) {
		h.logger.Info("queues of a service learned", "service", service, "queues", len(list.Queues), "version", list.ConfigVersion)
	}
	return nil
}
