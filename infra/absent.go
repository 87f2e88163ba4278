package infra

import (
	"slices"
	"time"

	"rattanpath/sched"
)

// absencePeriod is how long the lists of the machines must lack a host with runs until it
// counts as gone: two lists in a row.
const absencePeriod = listInterval

// absentHosts tracks the hosts with runs that the lists of the machines lack.
type absentHosts struct {
	// machineOf is the machine on which each host was last listed.
	machineOf map[string]string
	// listedAt is that of the last list.
	listedAt time.Duration
	// since is when the first list that lacked a host was requested.
	since map[sched.RetiredHost]time.Duration
}

// machineList is what the last list of the machines says of hosts.
type machineList struct {
	// machineOf is the machine of each host on a machine that is up, and states the state of
	// each machine.
	machineOf map[string]string
	states    map[string]State
	// hasUnknown is set if a machine is in an unknown state.
	hasUnknown bool
}

func newMachineList(machines []Machine) machineList {
	l := machineList{machineOf: make(map[string]string), states: make(map[string]State)}
	for _, m := range machines {
		l.states[m.Name] = m.State
		l.hasUnknown = l.hasUnknown || m.State == Unknown
		switch {
		case m.State == Up && m.Host != "":
			l.machineOf[m.Host] = m.Name
		case m.State == Up:
			// Its next host is starting, or the entry lacks the host.
			l.states[m.Name] = Unknown
		}
	}
	return l
}

// lacks reports whether a host runs on no machine, given the machine that it was on, or "" if
// that isn't known. A machine in an unknown state may have any host.
func (l *machineList) lacks(host, machine string) bool {
	if l.machineOf[host] != "" {
		return false
	}
	if state, listed := l.states[machine]; listed {
		return state != Unknown
	}
	return !l.hasUnknown
}

// findAbsent adds the hosts to t.departed that have runs but are on no machine: a host is one life
// of its machine, so that it and its runs are over, whoever may reach it. An owner alone would
// have to wait until their leases have expired.
func (t *term) findAbsent() {
	if len(t.machines) == 0 || t.listedAt == t.absent.listedAt {
		// The cloud doesn't know its machines, or the list is the last one.
		return
	}
	t.absent.listedAt = t.listedAt
	list := newMachineList(t.machines)
	now := t.options.Clock()
	t.forgetListed(list)
	for service, p := range t.pools {
		if t.listedAt <= p.reportedAt {
			continue
		}
		for _, host := range p.hostsWithRuns() {
			if !list.lacks(host.ID, t.absent.machineOf[host.ID]) {
				delete(t.absent.since, host)
				continue
			}
			if _, known := t.absent.since[host]; !known {
				t.absent.since[host] = t.listedAt
			}
			if t.listedAt-t.absent.since[host] >= absencePeriod {
				t.addAbsent(service, host, now)
			}
		}
	}
	t.rememberMachines(list)
	for host, since := range t.absent.since {
		if now-since > sched.MaxTakeoverWait(t.options.MaxLease) {
			delete(t.absent.since, host)
		}
	}
}

// forgetListed forgets that hosts were absent that a list has again, whether they have runs or
// not: no further owner is told of them, and they count as gone only after two more lists.
func (t *term) forgetListed(list machineList) {
	for host := range t.absent.since {
		if list.machineOf[host.ID] != "" {
			delete(t.absent.since, host)
		}
	}
	for service, hosts := range t.departed {
		t.departed[service] = slices.DeleteFunc(hosts, func(d *departedHost) bool {
			return d.Unordered && list.machineOf[d.ID] != ""
		})
	}
}

// addAbsent adds a host to t.departed, unless it is there.
func (t *term) addAbsent(service string, host sched.RetiredHost, now time.Duration) {
	for _, d := range t.departed[service] {
		if d.ID == host.ID && d.Incarnation == host.Incarnation {
			return
		}
	}
	t.logger.Info("host is on no machine any more", "host", host.ID, "service", service, "machine", t.absent.machineOf[host.ID], "absent", t.listedAt-t.absent.since[host])
	host.Unordered = true
	t.departed[service] = append(t.departed[service], &departedHost{RetiredHost: host, at: now})
}

// rememberMachines updates t.absent.machineOf by a list. The machine of an unlisted host is kept
// while the host has runs.
func (t *term) rememberMachines(list machineList) {
	previous := t.absent.machineOf
	t.absent.machineOf = list.machineOf
	for _, p := range t.pools {
		for _, host := range p.hostsWithRuns() {
			if machine := previous[host.ID]; machine != "" && t.absent.machineOf[host.ID] == "" {
				t.absent.machineOf[host.ID] = machine
			}
		}
	}
}

// hostsWithRuns returns the hosts of the pool that had runs at the last report.
func (p *poolState) hostsWithRuns() []sched.RetiredHost {
	var hosts []sched.RetiredHost
	for _, h := range p.report.Hosts {
		if h.Runs > 0 {
			hosts = append(hosts, sched.RetiredHost{ID: h.ID, Incarnation: h.Incarnation})
		}
	}
	for _, h := range p.report.Unrecorded {
		hosts = append(hosts, sched.RetiredHost{ID: h.ID, Incarnation: h.Incarnation})
	}
	return hosts
}
