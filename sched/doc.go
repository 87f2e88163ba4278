// Package sched schedules the jobs of one service. A Cell accepts jobs, runs
// their tasks on the hosts of the service's pool, and persists everything that
// another node needs to take over. At most one node owns the cell of a service:
// each claim raises the epoch, and the store and the hosts reject writes and
// commands of earlier epochs. A cell keeps organisations within their caps and fair shares, and
// learns from the reports of hosts which of them are slow and which images interfere.
package sched
