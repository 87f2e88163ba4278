package config

import (
	"reflect"
	"slices"
)

// Declaration is a folder of files that merged and passed every check.
type Declaration struct {
	Files  Files
	Tree   *Setting
	Config Config
	// Hosts maps the name of each host to its place.
	Hosts map[string]Place
}

// Place says where a host stands and which pool it is in.
type Place struct {
	Rack       string
	DataCentre string
	// Pool is empty for a host that no pool selects.
	Pool string
	// Drained says that an operator's drain names the host.
	Drained bool
}

// Load merges, decodes and checks files; its error is a Problems value.
func Load(files Files) (*Declaration, error) {
	var problems Problems
	tree := mergeFiles(files, &problems)
	if len(problems) > 0 {
		return nil, problems.err()
	}
	declaration := &Declaration{Files: files, Tree: tree}
	d := decoder{problems: &problems}
	d.value(tree, reflect.ValueOf(&declaration.Config).Elem(), "")
	if len(problems) > 0 {
		return nil, problems.err()
	}
	check(declaration, &problems)
	if len(problems) > 0 {
		return nil, problems.err()
	}
	return declaration, nil
}

func mergeFiles(files Files, problems *Problems) *Setting {
	names := files.Names()
	tree := &Setting{Kind: Map, Position: Position{Line: 1, Column: 1}, Children: make(map[string]*Setting)}
	if len(names) > 0 {
		tree.Position.File = names[0]
	}
	for _, name := range names {
		later := parseFile(name, files[name], problems)
		if later != nil {
			tree = merge(tree, later, "", problems)
		}
	}
	return tree
}

// PoolHosts returns the hosts of a pool in ascending order.
func (d *Declaration) PoolHosts(pool string) []string {
	var hosts []string
	for host, place := range d.Hosts {
		if place.Pool == pool {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// SlotQuota returns the slots that a service may use over all entry nodes:
// its quota, or every slot of its pool.
func (d *Declaration) SlotQuota(service string) int {
	s := d.Config.Services[service]
	return derive(s.Quota.Slots, len(d.PoolHosts(s.Pool)), d.Config.HostShape.Slots)
}

// ConnectionQuota returns the connections that a service may use over all
// entry nodes: its quota, or every connection of its pool.
func (d *Declaration) ConnectionQuota(service string) int {
	s := d.Config.Services[service]
	return derive(s.Quota.Connections, len(d.PoolHosts(s.Pool)), d.Config.HostShape.Connections)
}

func derive(quota, hosts, perHost int) int {
	if quota > 0 {
		return quota
	}
	return hosts * perHost
}
