package gauge

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/go-logr/logr"

	"rattanpath/config"
	"rattanpath/core"
	"rattanpath/fleet"
)

const (
	hostsPerRack = 4
	dataCentres  = 8
)

// Synthesize returns the declarations of a fleet of so many hosts, pools with a
// service each, and teams, spread over 8 data centres.
func Synthesize(hosts, pools, teams int) config.Files {
	files := make(config.Files)
	var racks, members, services, owners strings.Builder
	inPool := make([][]string, pools)
	racks.WriteString("Racks:\n")
	for first := 0; first < hosts; first += hostsPerRack {
		rack := first / hostsPerRack
		_, _ = fmt.Fprintf(&racks, "  r%d:\n    DataCentre: d%d\n    Hosts: [", rack, rack%dataCentres)
		for host := first; host < min(first+hostsPerRack, hosts); host++ {
			_, _ = fmt.Fprintf(&racks, "h%d, ", host)
			inPool[host%pools] = append(inPool[host%pools], fmt.Sprintf("h%d", host))
		}
		racks.WriteString("]\n")
	}
	members.WriteString("Pools:\n")
	services.WriteString("Services:\n")
	for pool, names := range inPool {
		_, _ = fmt.Fprintf(&members, "  p%d:\n    Hosts: [%s]\n", pool, strings.Join(names, ", "))
		_, _ = fmt.Fprintf(&services, "  s%d:\n    Pool: p%d\n    Team: t%d\n    Budget: {MinReady: 0}\n    Routes:\n      Get: {Path: /get, Idempotent: true}\n      Post: {Path: /post}\n", pool, pool, pool%teams)
	}
	owners.WriteString("Teams:\n")
	for team := range teams {
		_, _ = fmt.Fprintf(&owners, "  t%d: {Slots: 64}\n", team)
	}
	files["10-racks.yaml"] = racks.String()
	files["20-pools.yaml"] = members.String()
	files["30-services.yaml"] = services.String()
	files["40-teams.yaml"] = owners.String()
	return files
}

// startFleet starts nodes, and workers if there are to be any, with a folder in
// force. Without workers the host list has them all the same.
func startFleet(ctx context.Context, files config.Files, nodes int, workers bool) (*fleet.Fleet, error) {
	declaration, err := config.Load(files)
	if err != nil {
		return nil, err
	}
	f := fleet.New(0, logr.Discard())
	f.AdjustSettings = func(settings *core.Settings) { settings.Linger = 0 }
	if workers {
		err = f.AddWorkers(declaration)
	} else {
		listWorkers(f, declaration)
	}
	if err != nil {
		return f, err
	}
	if err := f.StartAll(ctx, nodes); err != nil {
		return f, err
	}
	if _, _, err := f.Publish(ctx, "first", 0, files); err != nil {
		return f, err
	}
	return f, f.AwaitInRotation(ctx, nodes)
}

// listWorkers lists the hosts of a declaration at addresses where nobody
// listens.
func listWorkers(f *fleet.Fleet, declaration *config.Declaration) {
	for name, place := range declaration.Hosts {
		f.Platform.List.Put(core.Host{
			Name:       name,
			Role:       core.RoleWorker,
			State:      core.HostLive,
			DataCentre: place.DataCentre,
			Rack:       place.Rack,
			Address:    "127.0.0.1:1",
		})
	}
}

// quantile returns the value below which the share q of sorted values lie.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
