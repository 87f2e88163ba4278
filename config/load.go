package config

import "reflect"

// Declaration is a folder of files that merged and passed every check.
type Declaration struct {
	Files  Files
	Tree   *Setting
	Config Config
	// Hosts maps the name of each host to its place.
	Hosts map[string]Place

	// trees are the parsed files, and pools the hosts of each pool in
	// ascending order.
	trees map[string]*Setting
	pools map[string][]string
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
	return (*Declaration)(nil).Reload(files)
}

// Reload does as Load and parses only the files that differ from those of the
// declaration, which may be nil.
func (d *Declaration) Reload(files Files) (*Declaration, error) {
	var problems Problems
	trees := d.parse(files, &problems)
	tree := mergeTrees(files, trees, &problems)
	if len(problems) > 0 {
		return nil, problems.err()
	}
	declaration := &Declaration{Files: files, Tree: tree, trees: trees}
	if err := declaration.fill(); err != nil {
		return nil, err
	}
	return declaration, nil
}

// parse returns the trees of the files that hold anything.
func (d *Declaration) parse(files Files, problems *Problems) map[string]*Setting {
	trees := make(map[string]*Setting, len(files))
	for _, name := range files.Names() {
		if tree, same := d.parsed(name, files[name]); same {
			trees[name] = tree
			continue
		}
		if tree := parseFile(name, files[name], problems); tree != nil {
			trees[name] = tree
		}
	}
	return trees
}

// parsed returns the tree of a file if its text is the same as here.
func (d *Declaration) parsed(name, text string) (*Setting, bool) {
	if d == nil || d.Files[name] != text {
		return nil, false
	}
	tree, known := d.trees[name]
	return tree, known
}

// fill decodes and checks the merged tree.
func (d *Declaration) fill() error {
	var problems Problems
	decode := decoder{problems: &problems}
	decode.value(d.Tree, reflect.ValueOf(&d.Config).Elem(), "")
	if len(problems) == 0 {
		check(d, &problems)
	}
	return problems.err()
}

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
