package fake

import "rattanpath/tasks"

// UsedBy returns what the active runs of the selected tasks occupy.
func (r *Runner) UsedBy(selects func(task tasks.ID) bool) tasks.Resources {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireLease()
	var used tasks.Resources
	for key, run := range r.runs {
		if selects(key.task) {
			used = used.Add(run.resources)
		}
	}
	return used
}
