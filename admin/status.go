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

// Parts are the parts of a node that the status tells of.
type Parts struct {
	Settings  core.Settings
	Follower  *follow.Follower
	Watcher   *roster.Watcher
	Router    *route.Router
	Exchanger *peer.Exchanger
	Handler   *proxy.Handler
	Server    *proxy.Server
}

// Status returns what the node is doing now.
func (p *Parts) Status() views.Status {
	state := p.Follower.State()
	table := p.Router.Table()
	return views.Status{
		Node:       p.Settings.Name,
		DataCentre: p.Settings.DataCentre,
		Ready:      table != nil && !p.Server.Stopping(),
		Stopping:   p.Server.Stopping(),
		Revision:   p.revision(),
		Next:       state.Next,
		Log:        p.log(),
		Roster:     source(p.Watcher.Roster().At, p.Watcher.Roster().Err),
		Diverged:   p.Exchanger.Diverged(),
		InFlight:   p.Handler.InFlight(),
		Peers:      peers(p.Exchanger.Observations()),
		Services:   services(table),
	}
}

// revision returns the configuration that the node serves by; 0 is none.
func (p *Parts) revision() int64 {
	if table := p.Router.Table(); table != nil {
		return table.Revision
	}
	return 0
}

// log returns how old the knowledge from the log is.
func (p *Parts) log() views.Source {
	contact := p.Follower.Contact()
	return source(contact.LastRead, contact.Err)
}

func source(last time.Time, err error) views.Source {
	s := views.Source{Fresh: err == nil && !last.IsZero(), Age: -1}
	if !last.IsZero() {
		s.Age = time.Since(last)
	}
	if err != nil {
		s.Reason = err.Error()
	}
	return s
}

func peers(known map[string]peer.Observation) []views.Peer {
	shown := make([]views.Peer, 0, len(known))
	for node, k := range known {
		shown = append(shown, views.Peer{
			Node:     node,
			Revision: k.Revision,
			Next:     k.Next,
			InFlight: k.Load.InFlight,
			Waiting:  k.Load.Waiting,
			Age:      time.Since(k.At),
		})
	}
	slices.SortFunc(shown, func(a, b views.Peer) int { return cmp.Compare(a.Node, b.Node) })
	return shown
}

func services(table *route.Table) []views.Service {
	if table == nil {
		return nil
	}
	shown := make([]views.Service, 0, len(table.Services))
	for _, service := range table.Services {
		shown = append(shown, views.Service{
			Name:    service.Name,
			Running: service.Running(),
			Waiting: service.Waiting(),
			Hosts:   len(service.Targets),
			Ejected: service.Ejected(),
		})
	}
	slices.SortFunc(shown, func(a, b views.Service) int { return cmp.Compare(a.Name, b.Name) })
	return shown
}
