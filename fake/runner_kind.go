package fake

import "rattanpath/tasks"

// RestartAs starts a new incarnation of a crashed host, which has other labels and another capacity.
func (r *Runner) RestartAs(labels []string, capacity tasks.Resources) {
	r.mu.Lock()
	r.info.Labels, r.info.Capacity, r.formerCapacities = labels, capacity, nil
	r.mu.Unlock()
	r.Restart()
}
