package fake

import (
	"time"

	"rattanpath/pool"
	"rattanpath/tasks"
)

const (
	// recordInterval is the time between two records that a host writes about itself.
	recordInterval = 1500 * time.Millisecond
	// CapacityGrace is how long after a capacity has shrunk a host may still be brought
	// over it.
	CapacityGrace = 3*time.Second + recordInterval
)

// formerCapacity is a capacity that a host had until it changed.
type formerCapacity struct {
	capacity tasks.Resources
	until    time.Time
}

// hostRecord is a record that a host has written about itself.
type hostRecord struct {
	info pool.Host
	at   time.Time
}

// SetCapacity changes the capacity of the host. Its next record shows that.
func (r *Runner) SetCapacity(capacity tasks.Resources) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.formerCapacities = append(r.formerCapacities, formerCapacity{r.info.Capacity, time.Now()})
	r.info.Capacity = capacity
}

// SetSilent sets whether the host writes no more records, as if it were cut off from
// the store.
func (r *Runner) SetSilent(silent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = silent
}

// Used returns the resources that the runs of the host occupy.
func (r *Runner) Used() tasks.Resources {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.used()
}

func (r *Runner) used() tasks.Resources {
	var used tasks.Resources
	for _, run := range r.runs {
		used = used.Add(run.resources)
	}
	return used
}

// allowedCapacity returns, for each resource, the most that the runs may occupy after
// a start command that was sent at a time: what the host has now, or had less than
// CapacityGrace before that time.
func (r *Runner) allowedCapacity(sent time.Time) tasks.Resources {
	allowed := r.info.Capacity
	for _, former := range r.formerCapacities {
		if sent.Sub(former.until) < CapacityGrace {
			allowed.CPU = max(allowed.CPU, former.capacity.CPU)
			allowed.MemMB = max(allowed.MemMB, former.capacity.MemMB)
			allowed.GPU = max(allowed.GPU, former.capacity.GPU)
		}
	}
	return allowed
}

// record returns the newest record of the host. It writes one every recordInterval,
// and at once when it restarts or begins to drain, unless it is silent or down.
func (r *Runner) record() hostRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	restarted := r.written.info.Incarnation != r.info.Incarnation
	due := restarted || r.written.info.Draining != r.info.Draining || time.Since(r.written.at) >= recordInterval
	if due && !r.silent && !r.down {
		r.written = hostRecord{info: r.info, at: time.Now()}
		r.written.info.HostTime = r.clock()
	}
	return r.written
}
