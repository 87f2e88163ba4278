package owner

import (
	"maps"
	"slices"
	"strings"
	"time"

	"rattanpath/queue"
)

// unservedDelay is how long a service that is assigned to the node has no running cell until
// that is logged.
const unservedDelay = time.Second

// Why an assigned service has no running cell.
const (
	unservedStopping     = "stopping"
	unservedExpired      = "membership expired"
	unservedUnconfirmed  = "assignment awaits the next renewal"
	unservedClaiming     = "claiming"
	unservedNotStarted   = "not started"
	unservedUnconfigured = "no configuration"
)

// allServices stands for the services of a node that has no configuration.
const allServices = "(all)"

// cellLog is what was logged of the cells of a node.
type cellLog struct {
	running  []string
	unserved map[string]unservedService
}

// unservedService is a service without a running cell since a time. why is what was last
// logged, "" if nothing was.
type unservedService struct {
	since time.Time
	why   string
}

// logRunning logs which cells the node runs if that has changed. s.mu must be held.
func (s *Supervisor) logRunning() {
	var running []string
	for service, r := range s.runners {
		if r.isRunning() {
			running = append(running, service)
		}
	}
	slices.Sort(running)
	if slices.Equal(running, s.cellLog.running) {
		return
	}
	s.cellLog.running = running
	s.logger.Info("cells of the node changed", "count", len(running), "services", strings.Join(running, ","))
}

// isRunning reports whether the cell was claimed and not taken over since.
func (r *cellRunner) isRunning() bool {
	if r.cell == nil {
		return false
	}
	select {
	case <-r.cell.Lost():
		return false
	default:
		return true
	}
}

// logUnserved logs why services that are assigned to the node have had no running cell for
// unservedDelay, once for each reason. s.mu must be held.
func (s *Supervisor) logUnserved(now time.Time) {
	reasons := s.unservedReasons()
	maps.DeleteFunc(s.cellLog.unserved, func(service string, _ unservedService) bool { return reasons[service] == "" })
	for service, why := range reasons {
		unserved, found := s.cellLog.unserved[service]
		if !found {
			unserved.since = now
		}
		if took := now.Sub(unserved.since); took >= unservedDelay && why != unserved.why {
			unserved.why = why
			s.logger.Info("assigned service has no running cell", "service", service, "why", why, "for", took.Round(time.Millisecond))
		}
		s.cellLog.unserved[service] = unserved
	}
}

// unservedReasons returns why services that the store has assigned to the node have no running
// cell. s.mu must be held.
func (s *Supervisor) unservedReasons() map[string]string {
	reasons := make(map[string]string)
	assigned, config := s.member.Assigned(), s.config.Config()
	if config == nil {
		if len(assigned) > 0 {
			reasons[allServices] = unservedUnconfigured
		}
		return reasons
	}
	expired, active := s.member.Expired(), s.servicesOf(config, s.member.Partitions())
	for service := range s.servicesOf(config, assigned) {
		if why := s.unservedReason(service, expired, active[service]); why != "" {
			reasons[service] = why
		}
	}
	return reasons
}

// unservedReason returns why a service has no running cell, "" if it has one. active is set if
// the node acts on its assignment.
func (s *Supervisor) unservedReason(service string, expired, active bool) string {
	r := s.runners[service]
	switch {
	case s.stopped:
		return unservedStopping
	case r != nil && r.isRunning():
		return ""
	case r != nil && r.cell != nil:
		return unservedStopping
	case expired:
		return unservedExpired
	case !active:
		return unservedUnconfirmed
	case r != nil:
		return unservedClaiming
	default:
		return unservedNotStarted
	}
}

// servicesOf returns the services whose cells belong to given partitions.
func (s *Supervisor) servicesOf(config *queue.Config, partitions []int) map[string]bool {
	services := make(map[string]bool)
	for i, service := range config.Services {
		if slices.Contains(partitions, partitionAt(i, s.partitions)) {
			services[service.Name] = true
		}
	}
	return services
}

// logUnservedLater logs why services have no running cell if that is so for unservedDelay, as the
// supervisor has no loop any more. The returned function ends it.
func (s *Supervisor) logUnservedLater() (stop func() bool) {
	return time.AfterFunc(unservedDelay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.logUnserved(time.Now())
	}).Stop
}
