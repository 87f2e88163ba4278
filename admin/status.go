package admin

import (
	"cmp"
	"slices"
	"time"

	"rattanpath/core"
	"rattanpath/follow"
	"rattanpath/peer"
	"rattanpath/proxy"
	"rattanpath/roster"
	"rattanpath/route"
	"rattanpath/views"
)

// Components are the parts of a node that its status is read from.
type Components struct {
	Settings  core.Settings
	Follower  *follow.Follower
	Watcher   *roster.Watcher
	Router    *route.Router
	Exchanger *peer.Exchanger
	Handler   *proxy.Handler
	Server    *proxy.Server
}

// Status returns the current status of the node.
func (c *Components) Status() views.Status {
	state := c.Follower.State()
	table := c.Router.Table()
	return views.Status{
		Node:       c.Settings.Name,
		DataCentre: c.Settings.DataCentre,
		Ready:      table != nil && !c.Server.Stopping(),
		Stopping:   c.Server.Stopping(),
		Revision:   c.activeRevision(),
		Next:       state.Next,
		Log:        c.logStatus(),
		Roster:     sourceStatus(c.Watcher.Roster().ReadAt, c.Watcher.Roster().Err),
		Diverged:   c.Exchanger.Diverged(),
		InFlight:   c.Handler.InFlight(),
		Peers:      peerStatuses(c.Exchanger.Observations()),
		Services:   serviceStatuses(table),
	}
}

// activeRevision returns the revision of the active configuration, or 0 without one.
func (c *Components) activeRevision() int64 {
	if table := c.Router.Table(); table != nil {
		return table.Revision
	}
	return 0
}

// logStatus returns the age and the error of the last read of the log.
func (c *Components) logStatus() views.Source {
	logStatus := c.Follower.LogStatus()
	return sourceStatus(logStatus.LastRead, logStatus.Err)
}

func sourceStatus(lastRead time.Time, err error) views.Source {
	s := views.Source{Fresh: err == nil && !lastRead.IsZero(), Age: -1}
	if !lastRead.IsZero() {
		s.Age = time.Since(lastRead)
	}
	if err != nil {
		s.Reason = err.Error()
	}
	return s
}

func peerStatuses(observations map[string]peer.Observation) []views.Peer {
	statuses := make([]views.Peer, 0, len(observations))
	for node, observation := range observations {
		statuses = append(statuses, views.Peer{
			Node:     node,
			Revision: observation.Revision,
			Next:     observation.Next,
			InFlight: observation.Load.InFlight,
			Waiting:  observation.Load.Waiting,
			Age:      time.Since(observation.At),
		})
	}
	slices.SortFunc(statuses, func(a, b views.Peer) int { return cmp.Compare(a.Node, b.Node) })
	return statuses
}

func serviceStatuses(table *route.Table) []views.Service {
	if table == nil {
		return nil
	}
	statuses := make([]views.Service, 0, len(table.Services))
	for _, service := range table.Services {
		statuses = append(statuses, views.Service{
			Name:    service.Name,
			Running: service.Running(),
			Waiting: service.Waiting(),
			Hosts:   len(service.Targets),
			Ejected: service.Ejected(),
		})
	}
	slices.SortFunc(statuses, func(a, b views.Service) int { return cmp.Compare(a.Name, b.Name) })
	return statuses
}
