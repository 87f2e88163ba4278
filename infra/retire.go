package infra

import (
	"context"
	"slices"
	"sync"
	"time"

	"rattanpath/sched"
)

// departedHost is a host that has left its pool, because of an order or by itself.
type departedHost struct {
	sched.RetiredHost
	// at is when a list of the machines showed that it has left.
	at time.Duration
	// called is set once an owner of the pool has been called, and toldEpoch is the epoch of
	// the last one that has answered, 0 if none has or its epoch wasn't known.
	called    bool
	toldEpoch int64
}

// retireDeparted informs the owners of pools which hosts have left. It goes by a list of the
// machines from after the order, if there was one: the cloud also accepts an order that
// it has carried out before, and the machine then stays up with its host. A new owner of a
// pool is told again: the previous one may not have been able to store it.
func (t *term) retireDeparted(ctx context.Context) {
	t.findDeparted()
	t.findAbsent()
	var wg sync.WaitGroup
	defer wg.Wait()
	for service, hosts := range t.departed {
		hosts = slices.DeleteFunc(hosts, func(d *departedHost) bool {
			return t.options.Clock()-d.at > sched.MaxTakeoverWait(t.options.MaxLease)
		})
		if t.departed[service] = hosts; len(hosts) == 0 {
			delete(t.departed, service)
		}
		wg.Go(func() { t.reportDeparted(ctx, service, hosts) })
	}
}

// findDeparted adds the hosts to t.departed that have left because of an order since the last
// call.
func (t *term) findDeparted() {
	for _, m := range t.machines {
		op := t.operations[m.Name]
		if op == nil || op.leaving.ID == "" || t.listedAt <= op.startedAt || m.State == Unknown || m.State == Up && m.Host == op.leaving.ID {
			continue
		}
		t.departed[op.fromPool] = append(t.departed[op.fromPool], &departedHost{RetiredHost: op.leaving, at: t.options.Clock()})
		op.leaving = sched.RetiredHost{}
	}
}

// reportDeparted informs the owner of a pool of those hosts that it hasn't been told of. An
// owner that doesn't report is called only once, since each call delays this term.
func (t *term) reportDeparted(ctx context.Context, service string, hosts []*departedHost) {
	epoch := int64(0)
	if p := t.pools[service]; p != nil {
		epoch = p.report.Epoch
	}
	var unreported []*departedHost
	var retired []sched.RetiredHost
	for _, d := range hosts {
		if !d.called || epoch != 0 && d.toldEpoch != epoch {
			unreported = append(unreported, d)
			retired = append(retired, d.RetiredHost)
		}
	}
	if len(unreported) == 0 {
		return
	}
	done := t.retire(ctx, service, retired)
	for _, d := range unreported {
		d.called = true
		if done {
			d.toldEpoch = epoch
		}
	}
}

// retire informs the owner of a pool which hosts have left it, and reports whether it answered.
func (t *term) retire(ctx context.Context, service string, hosts []sched.RetiredHost) bool {
	ctx, cancel := context.WithTimeout(ctx, cellCallTimeout)
	defer cancel()
	err := t.options.Cells.Retire(ctx, service, hosts)
	if err != nil {
		t.logger.Info("failed to report retired hosts to the pool's owner", "service", service, "hosts", len(hosts), "err", err.Error())
	}
	return err == nil
}
