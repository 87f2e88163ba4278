package bench

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

// SyntheticFiles returns the declarations of a fleet with the given numbers of
// hosts, pools and teams. Each pool has one service. Racks of 4 hosts are spread
// over 8 data centres.
func SyntheticFiles(hosts, pools, teams int) config.Files {
	files := make(config.Files)
	var racksYAML, poolsYAML, servicesYAML, teamsYAML strings.Builder
	hostsByPool := make([][]string, pools)
	racksYAML.WriteString("Racks:\n")
	for firstHost := 0; firstHost < hosts; firstHost += hostsPerRack {
		rack := firstHost / hostsPerRack
		_, _ = fmt.Fprintf(&racksYAML, "  r%d:\n    DataCentre: d%d\n    Hosts: [", rack, rack%dataCentres)
		for host := firstHost; host < min(firstHost+hostsPerRack, hosts); host++ {
			_, _ = fmt.Fprintf(&racksYAML, "h%d, ", host)
			hostsByPool[host%pools] = append(hostsByPool[host%pools], fmt.Sprintf("h%d", host))
		}
		racksYAML.WriteString("]\n")
	}
	poolsYAML.WriteString("Pools:\n")
	servicesYAML.WriteString("Services:\n")
	for pool, names := range hostsByPool {
		_, _ = fmt.Fprintf(&poolsYAML, "  p%d:\n    Hosts: [%s]\n", pool, strings.Join(names, ", "))
		_, _ = fmt.Fprintf(&servicesYAML, "  s%d:\n    Pool: p%d\n    Team: t%d\n    Budget: {MinReady: 0}\n    Routes:\n      Get: {Path: /get, Idempotent: true}\n      Post: {Path: /post}\n", pool, pool, pool%teams)
	}
	teamsYAML.WriteString("Teams:\n")
	for team := range teams {
		_, _ = fmt.Fprintf(&teamsYAML, "  t%d: {Slots: 64}\n", team)
	}
	files["10-racks.yaml"] = racksYAML.String()
	files["20-pools.yaml"] = poolsYAML.String()
	files["30-services.yaml"] = servicesYAML.String()
	files["40-teams.yaml"] = teamsYAML.String()
	return files
}

// startFleet starts nodes and, if workers is set, fake workers, and waits until
// the declarations are active. Without workers, the host list still contains the
// declared hosts. If the fleet was created before an error, it is returned with
// the error and must be closed.
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

// listWorkers adds the declared hosts to the host list with an address that
// nothing listens on.
func listWorkers(f *fleet.Fleet, declaration *config.Declaration) {
	for name, info := range declaration.Hosts {
		f.Platform.HostList.Put(core.Host{
			Name:       name,
			Role:       core.RoleWorker,
			State:      core.HostLive,
			DataCentre: info.DataCentre,
			Rack:       info.Rack,
			Address:    "127.0.0.1:1",
		})
	}
}

// quantile returns the q-quantile of sorted values, with q from 0 to 1, or 0 if
// there are none.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
