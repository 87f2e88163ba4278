package place

import (
	"slices"
	"time"

	"rattanpath/tasks"
)

// Host is what placement knows of a host.
type Host struct {
	ID     string
	Rack   string
	Labels []string
	// Free is the capacity that nothing occupies, and Room all of it.
	Free tasks.Resources
	Room tasks.Resources
	// Suspicion rises with the signs that runs fail or stand still there; 0 is
	// none.
	Suspicion int
	// Serving counts the serving tasks there, and Filling those that fill.
	Serving int
	Filling int
}

// Need is what a task needs of its host.
type Need struct {
	Step *tasks.Step
	// Avoid is a host on which the task failed.
	Avoid string
	// Careful means that the task can't afford another failure.
	Careful bool
	// Beside counts the tasks of the same step and round on each host.
	Beside map[string]int
	// Only are the hosts that an advisor allows; nil is all.
	Only map[string]bool
}

// Costs order the hosts on which a task fits; a higher one outweighs all lower
// ones together.
const (
	costFar       = 1000.0
	costAvoid     = 400.0
	costSuspicion = 100.0
	costBeside    = 8.0
	costShared    = 20.0
)

// Allowed reports whether a task may run on a host.
func Allowed(need Need, host *Host) bool {
	step := need.Step
	switch {
	case !host.Free.CanFit(step.RequiredResources()):
		return false
	case step.Label != "" && !slices.Contains(host.Labels, step.Label):
		return false
	case need.Only != nil && !need.Only[host.ID]:
		return false
	case step.MaxPerHost > 0 && need.Beside[host.ID] >= step.MaxPerHost:
		return false
	}
	return true
}

// Cost returns how bad a host is for a task on which it may run.
func Cost(need Need, host *Host) float64 {
	step := need.Step
	cost := leftover(step, host)
	if step.DataRack != "" && host.Rack != step.DataRack {
		cost += costFar
	}
	if need.Avoid == host.ID {
		cost += costAvoid
	}
	weight := costSuspicion
	if need.Careful {
		weight *= 2
	}
	cost += weight * float64(host.Suspicion)
	if step.Lasting {
		cost += costBeside * float64(need.Beside[host.ID])
	}
	if step.Fills {
		cost += costShared * float64(host.Serving)
	}
	if step.Target > 0 {
		cost += costShared * float64(host.Filling)
	}
	return cost
}

// leftover returns the part of a host's processors that stays free beside a
// task, from 0 to 1: the tightest fit keeps wide gaps for wide tasks.
func leftover(step *tasks.Step, host *Host) float64 {
	if host.Room.CPU <= 0 {
		return 0
	}
	return float64(host.Free.CPU-step.RequiredResources().CPU) / float64(host.Room.CPU)
}

// Pick returns the best of the hosts for a task, or nil if it fits on none.
func Pick(need Need, hosts []*Host) *Host {
	var best *Host
	bestCost := 0.0
	for _, host := range hosts {
		if !Allowed(need, host) {
			continue
		}
		if cost := Cost(need, host); best == nil || cost < bestCost {
			best, bestCost = host, cost
		}
	}
	return best
}

// Urgency orders jobs for room: first the better priority; then those that can
// still meet their objective before those that can't, since a late job is worth
// little more the sooner it ends; then by when they must.
type Urgency struct {
	Priority int
	// Late means that the job can't meet its objective any more.
	Late bool
	// Due is when the rest of the job must begin to meet the objective.
	Due time.Time
}

// Before reports whether one job goes before another.
func (u Urgency) Before(other Urgency) bool {
	switch {
	case u.Priority != other.Priority:
		return u.Priority < other.Priority
	case u.Late != other.Late:
		return other.Late
	default:
		return u.Due.Before(other.Due)
	}
}
