package config

import (
	"maps"
	"slices"
	"strings"
)

// validate checks constraints that span several settings, such as references
// between them and availability budgets. It skips the services if there are
// problems already, since their checks need valid hosts and pools.
func validate(d *Declaration, problems *Problems) {
	v := &validator{declaration: d, config: &d.Config, tree: d.Tree, problems: problems}
	v.checkHosts()
	v.checkPools()
	v.checkMaintenance()
	if len(*problems) > 0 {
		return
	}
	v.checkServices()
}

// validator checks a decoded configuration and collects its problems.
type validator struct {
	declaration *Declaration
	config      *Config
	tree        *Setting
	problems    *Problems
}

// position returns the position of the setting at a path, or of its nearest
// existing parent.
func (v *validator) position(path ...string) Position {
	for n := len(path); n > 0; n-- {
		if setting := v.tree.Lookup(path[:n]...); setting != nil {
			return setting.Position
		}
	}
	return v.tree.Position
}

// itemPosition returns the position of a value in the list at a path.
func (v *validator) itemPosition(list []string, value string, path ...string) Position {
	index := slices.Index(list, value)
	setting := v.tree.Lookup(path...)
	if setting == nil || index < 0 || index >= len(setting.Items) {
		return v.position(path...)
	}
	return setting.Items[index].Position
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// checkHosts checks the racks and records the rack of each host.
func (v *validator) checkHosts() {
	v.declaration.Hosts = make(map[string]HostInfo)
	v.declaration.pools = make(map[string][]string)
	if v.config.HostShape.Slots < 1 || v.config.HostShape.Connections < 1 {
		v.problems.add(v.position("HostShape"), "allow at least one of each", "HostShape leaves a host without slots or connections")
	}
	for _, name := range sortedKeys(v.config.Racks) {
		rack := v.config.Racks[name]
		for _, host := range rack.Hosts {
			pos := v.itemPosition(rack.Hosts, host, "Racks", name, "Hosts")
			if !keyPattern.MatchString(host) {
				v.problems.add(pos, "use letters, digits, - and _", "%q is not a host name", host)
				continue
			}
			if info, duplicate := v.declaration.Hosts[host]; duplicate {
				v.problems.add(pos, "keep one of the two", "host %s stands in rack %s and in rack %s", host, info.Rack, name)
				continue
			}
			v.declaration.Hosts[host] = HostInfo{Rack: name, DataCentre: rack.DataCentre}
		}
	}
}

// checkPools checks the pools and records the pool of each host.
func (v *validator) checkPools() {
	if len(v.config.Pools) == 0 {
		v.problems.add(v.position("Pools"), "declare at least one pool", "Pools is empty")
	}
	for _, name := range sortedKeys(v.config.Pools) {
		pool := v.config.Pools[name]
		for _, host := range pool.Hosts {
			v.addToPool(name, host, v.itemPosition(pool.Hosts, host, "Pools", name, "Hosts"))
		}
		for _, rack := range pool.Racks {
			pos := v.itemPosition(pool.Racks, rack, "Pools", name, "Racks")
			if _, known := v.config.Racks[rack]; !known {
				v.problems.add(pos, suggestName(rack, sortedKeys(v.config.Racks)), "pool %s selects the unknown rack %s", name, rack)
				continue
			}
			for _, host := range v.config.Racks[rack].Hosts {
				v.addToPool(name, host, pos)
			}
		}
		slices.Sort(v.declaration.pools[name])
	}
}

// addToPool records the pool of a host, which must be in a rack and in no other
// pool.
func (v *validator) addToPool(pool, host string, pos Position) {
	info, known := v.declaration.Hosts[host]
	switch {
	case !known:
		v.problems.add(pos, "add it to the Hosts of a rack, or mend the name", "pool %s holds host %s, which stands in no rack", pool, host)
	case info.Pool == pool:
		v.problems.add(pos, "drop one of the two", "pool %s selects host %s twice", pool, host)
	case info.Pool != "":
		v.problems.add(pos, "take it out of one of them; a host is in exactly one pool", "host %s is in pool %s and in pool %s", host, info.Pool, pool)
	default:
		info.Pool = pool
		v.declaration.Hosts[host] = info
		v.declaration.pools[pool] = append(v.declaration.pools[pool], host)
	}
}

// checkMaintenance checks the maintenance settings and marks drained hosts.
func (v *validator) checkMaintenance() {
	m := v.config.Maintenance
	if m.AtOnce < 1 {
		v.problems.add(v.position("Maintenance", "AtOnce"), "allow at least 1", "Maintenance.AtOnce would stop all maintenance")
	}
	if m.Every <= 0 {
		v.problems.add(v.position("Maintenance", "Every"), "give a span such as 5w", "Maintenance.Every must be more than 0s")
	}
	for _, host := range m.Drain {
		info, known := v.declaration.Hosts[host]
		if !known {
			v.problems.add(v.itemPosition(m.Drain, host, "Maintenance", "Drain"), "mend the name", "Maintenance.Drain names the unknown host %s", host)
			continue
		}
		info.Drained = true
		v.declaration.Hosts[host] = info
	}
}

func (v *validator) checkServices() {
	if len(v.config.Services) == 0 {
		v.problems.add(v.position("Services"), "declare at least one service", "Services is empty")
	}
	for _, name := range sortedKeys(v.config.Services) {
		if v.checkReferences(name) {
			v.checkLimits(name)
			v.checkRoutes(name)
			v.checkBudget(name)
		}
	}
}

// checkReferences checks the pool and the team of a service, and reports
// whether both are valid.
func (v *validator) checkReferences(name string) bool {
	service := v.config.Services[name]
	pool, known := v.config.Pools[service.Pool]
	pos := v.position("Services", name, "Pool")
	switch {
	case !known:
		v.problems.add(pos, suggestName(service.Pool, sortedKeys(v.config.Pools)), "service %s uses the unknown pool %s", name, service.Pool)
		return false
	case pool.Spare:
		v.problems.add(pos, "name a pool that is not spare", "service %s uses the spare pool %s", name, service.Pool)
		return false
	case len(v.declaration.PoolHosts(service.Pool)) == 0:
		v.problems.add(pos, "give the pool hosts", "service %s uses pool %s, which holds no host", name, service.Pool)
		return false
	}
	if service.Team == "" {
		return true
	}
	if _, known := v.config.Teams[service.Team]; !known {
		v.problems.add(v.position("Services", name, "Team"), suggestName(service.Team, sortedKeys(v.config.Teams)), "service %s belongs to the unknown team %s", name, service.Team)
		return false
	}
	return true
}

// checkLimits checks the quota of a service against its pool's capacity, and its
// time limits.
func (v *validator) checkLimits(name string) {
	service := v.config.Services[name]
	hosts := len(v.declaration.PoolHosts(service.Pool))
	slots := hosts * v.config.HostShape.Slots
	connections := hosts * v.config.HostShape.Connections
	if service.Quota.Slots > slots {
		v.problems.add(v.position("Services", name, "Quota", "Slots"), "lower it or add hosts", "service %s may use %d slots; its pool has %d hosts and %d slots", name, service.Quota.Slots, hosts, slots)
	}
	if service.Quota.Connections > connections {
		v.problems.add(v.position("Services", name, "Quota", "Connections"), "lower it or add hosts", "service %s may use %d connections; its pool has %d hosts and %d connections", name, service.Quota.Connections, hosts, connections)
	}
	if service.Deadline <= 0 {
		v.problems.add(v.position("Services", name, "Deadline"), "give a span such as 30s", "service %s has no time to answer", name)
	}
	if service.Queue.Wait > service.Deadline {
		v.problems.add(v.position("Services", name, "Queue", "Wait"), "lower Queue.Wait or raise Deadline", "service %s lets requests wait for longer than its deadline", name)
	}
	if service.Attempts < 1 {
		v.problems.add(v.position("Services", name, "Attempts"), "allow at least 1", "service %s would send no request", name)
	}
}

func (v *validator) checkRoutes(name string) {
	routes := v.config.Services[name].Routes
	paths := make(map[string]string)
	if len(routes) == 0 {
		v.problems.add(v.position("Services", name, "Routes"), "declare at least one route", "service %s has no routes", name)
	}
	for _, route := range sortedKeys(routes) {
		path := routes[route].Path
		pos := v.position("Services", name, "Routes", route, "Path")
		if !strings.HasPrefix(path, "/") {
			v.problems.add(pos, "start it with /", "route %s of service %s has the path %q", route, name, path)
		}
		if other, duplicate := paths[path]; duplicate {
			v.problems.add(pos, "give each route a path of its own", "routes %s and %s of service %s have the same path", other, route, name)
		}
		paths[path] = route
	}
}

// checkBudget checks that the pool can satisfy the service's budget without its
// drained hosts. MinReady must hold even if the rack with the most remaining
// hosts is lost.
func (v *validator) checkBudget(name string) {
	service := v.config.Services[name]
	inRack := make(map[string]int)
	inDataCentre := make(map[string]int)
	ready := 0
	for _, host := range v.declaration.PoolHosts(service.Pool) {
		info := v.declaration.Hosts[host]
		if info.Drained {
			continue
		}
		ready++
		inRack[info.Rack]++
		inDataCentre[info.DataCentre]++
	}
	rack, rackHosts := largest(inRack)
	if ready-rackHosts < service.Budget.MinReady {
		v.problems.add(v.position("Services", name, "Budget", "MinReady"), "lower MinReady, add hosts in other racks, or drain fewer hosts",
			"service %s must keep %d hosts ready; pool %s has %d that are not drained, and %d of them stand in rack %s",
			name, service.Budget.MinReady, service.Pool, ready, rackHosts, rack)
	}
	v.checkShare(name, "MaxRackShare", "rack "+rack, rackHosts, ready, service.Budget.MaxRackShare)
	dataCentre, dataCentreHosts := largest(inDataCentre)
	v.checkShare(name, "MaxDataCentreShare", "data centre "+dataCentre, dataCentreHosts, ready, service.Budget.MaxDataCentreShare)
}

// checkShare checks that a rack or data centre has no more than the allowed
// share of the ready hosts.
func (v *validator) checkShare(service, setting, location string, hosts, ready int, limit Percent) {
	if ready == 0 || float64(hosts) <= limit.Fraction()*float64(ready) {
		return
	}
	text, _ := limit.MarshalText()
	v.problems.add(v.position("Services", service, "Budget", setting), "spread the pool or raise the share",
		"service %s allows %s of its hosts in one place; %s carries %d of %d", service, text, location, hosts, ready)
}

// largest returns the key with the largest count and that count. Among equal
// counts it returns the first key in ascending order.
func largest(counts map[string]int) (string, int) {
	best, most := "", 0
	for _, key := range sortedKeys(counts) {
		if counts[key] > most {
			best, most = key, counts[key]
		}
	}
	return best, most
}
