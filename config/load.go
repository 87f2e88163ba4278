package config

import "reflect"

// Declaration is a merged and validated set of declaration files.
type Declaration struct {
	Files  Files
	Tree   *Setting
	Config Config
	// Hosts maps host names to their locations and pools.
	Hosts map[string]HostInfo

	// trees holds the parsed files by name, and pools the hosts of each pool in
	// ascending order.
	trees map[string]*Setting
	pools map[string][]string
}

// HostInfo is the location and the pool of a host.
type HostInfo struct {
	Rack       string
	DataCentre string
	// Pool is empty for a host that is in no pool.
	Pool string
	// Drained reports whether the host is listed in Maintenance.Drain.
	Drained bool
}

// Load merges, decodes and validates files. Its errors are of type Problems.
func Load(files Files) (*Declaration, error) {
	return (*Declaration)(nil).Reload(files)
}

// Reload is like Load, but parses only the files that differ from those of d,
// which may be nil.
func (d *Declaration) Reload(files Files) (*Declaration, error) {
	var problems Problems
	trees := d.parse(files, &problems)
	tree := mergeTrees(files, trees, &problems)
	if len(problems) > 0 {
		return nil, problems.err()
	}
	declaration := &Declaration{Files: files, Tree: tree, trees: trees}
	if err := declaration.decodeAndValidate(); err != nil {
		return nil, err
	}
	return declaration, nil
}

// parse returns the trees of the files, by name, without files that are empty
// or invalid.
func (d *Declaration) parse(files Files, problems *Problems) map[string]*Setting {
	trees := make(map[string]*Setting, len(files))
	for _, name := range files.Names() {
		if tree, same := d.cachedTree(name, files[name]); same {
			trees[name] = tree
			continue
		}
		if tree := parseFile(name, files[name], problems); tree != nil {
			trees[name] = tree
		}
	}
	return trees
}

// cachedTree returns the tree of a file if d has the file with the same text.
func (d *Declaration) cachedTree(name, text string) (*Setting, bool) {
	if d == nil || d.Files[name] != text {
		return nil, false
	}
	tree, known := d.trees[name]
	return tree, known
}

func (d *Declaration) decodeAndValidate() error {
	var problems Problems
	decode := decoder{problems: &problems}
	decode.decodeValue(d.Tree, reflect.ValueOf(&d.Config).Elem(), "")
	if len(problems) == 0 {
		validate(d, &problems)
	}
	return problems.err()
}

// mergeTrees merges the trees of the files in the order of their names.
func mergeTrees(files Files, trees map[string]*Setting, problems *Problems) *Setting {
	names := files.Names()
	tree := &Setting{Kind: Map, Position: Position{Line: 1, Column: 1}, Children: make(map[string]*Setting)}
	if len(names) > 0 {
		tree.Position.File = names[0]
	}
	for _, name := range names {
		if later := trees[name]; later != nil {
			tree = merge(tree, later, "", problems)
		}
	}
	return tree
}

// PoolHosts returns the hosts of a pool in ascending order.
func (d *Declaration) PoolHosts(pool string) []string {
	return d.pools[pool]
}

// SlotQuota returns the number of slots that a service may use across all entry
// nodes: its quota if one is set, and otherwise all slots of its pool.
func (d *Declaration) SlotQuota(service string) int {
	s := d.Config.Services[service]
	return quotaOrTotal(s.Quota.Slots, len(d.PoolHosts(s.Pool)), d.Config.HostShape.Slots)
}

// ConnectionQuota returns the number of connections that a service may use
// across all entry nodes: its quota if one is set, and otherwise all
// connections of its pool.
func (d *Declaration) ConnectionQuota(service string) int {
	s := d.Config.Services[service]
	return quotaOrTotal(s.Quota.Connections, len(d.PoolHosts(s.Pool)), d.Config.HostShape.Connections)
}

func quotaOrTotal(quota, hosts, perHost int) int {
	if quota > 0 {
		return quota
	}
	return hosts * perHost
}
