package infra

import (
	"context"

	"rattanpath/sched"
)

// retireDeparted informs the owners of pools which hosts have left because of an order. It
// goes by a list of the machines from after the order: the cloud also accepts an order that
// it has carried out before, and the machine then stays up with its host.
func (t *term) retireDeparted(ctx context.Context) {
	departed := make(map[string][]sched.RetiredHost)
	for _, m := range t.machines {
		op := t.operations[m.Name]
		if op == nil || op.leaving.ID == "" || t.listedAt <= op.startedAt || m.State == Unknown || m.State == Up && m.Host == op.leaving.ID {
			continue
		}
		departed[op.fromPool] = append(departed[op.fromPool], op.leaving)
		op.leaving = sched.RetiredHost{}
	}
	for service, hosts := range departed {
		t.retire(ctx, service, hosts)
	}
}

// retire informs the owner of a pool which hosts have left it.
func (t *term) retire(ctx context.Context, service string, hosts []sched.RetiredHost) {
	ctx, cancel := context.WithTimeout(ctx, cellCallTimeout)
	defer cancel()
	if err := t.options.Cells.Retire(ctx, service, hosts); err != nil {
		t.logger.Info("failed to report retired hosts to the pool's owner", "service", service, "hosts", len(hosts), "err", err.Error())
	}
}
