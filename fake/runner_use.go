package fake

import "rattanpath/tasks"

// UsedBy returns what the active runs of the tasks that counts selects occupy.
func (r *Runner) UsedBy(counts func(task tasks.ID) bool) tasks.Resources {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireLease()
	var used tasks.Resources
	for key, run := range r.runs {
		if counts(key.task) {
			used = used.Add(run.resources)
		}
	}
	return used
}
