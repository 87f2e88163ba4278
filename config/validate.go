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
	c := &validator{declaration: d, config: &d.Config, tree: d.Tree, problems: problems}
	c.checkHosts()
	c.checkPools()
	c.checkMaintenance()
	if len(*problems) > 0 {
		return
	}
	c.checkServices()
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
func (c *validator) position(path ...string) Position {
	for n := len(path); n > 0; n-- {
		if setting := c.tree.Lookup(path[:n]...); setting != nil {
			return setting.Position
		}
	}
	return c.tree.Position
}

// itemPosition returns the position of a value in the list at a path.
func (c *validator) itemPosition(list []string, value string, path ...string) Position {
	index := slices.Index(list, value)
	setting := c.tree.Lookup(path...)
	if setting == nil || index < 0 || index >= len(setting.Items) {
		return c.position(path...)
	}
	return setting.Items[index].Position
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// checkHosts checks the racks and records the rack of each host.
func (c *validator) checkHosts() {
	c.declaration.Hosts = make(map[string]HostInfo)
	c.declaration.pools = make(map[string][]string)
	if c.config.HostShape.Slots < 1 || c.config.HostShape.Connections < 1 {
		c.problems.add(c.position("HostShape"), "allow at least one of each", "HostShape leaves a host without slots or connections")
	}
	for _, name := range sortedKeys(c.config.Racks) {
		rack := c.config.Racks[name]
		for _, host := range rack.Hosts {
			pos := c.itemPosition(rack.Hosts, host, "Racks", name, "Hosts")
			if !keyPattern.MatchString(host) {
				c.problems.add(pos, "use letters, digits, - and _", "%q is not a host name", host)
				continue
			}
			if info, duplicate := c.declaration.Hosts[host]; duplicate {
				c.problems.add(pos, "keep one of the two", "host %s stands in rack %s and in rack %s", host, info.Rack, name)
				continue
			}
			c.declaration.Hosts[host] = HostInfo{Rack: name, DataCentre: rack.DataCentre}
		}
	}
}

// checkPools checks the pools and records the pool of each host.
func (c *validator) checkPools() {
	if len(c.config.Pools) == 0 {
		c.problems.add(c.position("Pools"), "declare at least one pool", "Pools is empty")
	}
	for _, name := range sortedKeys(c.config.Pools) {
		pool := c.config.Pools[name]
		for _, host := range pool.Hosts {
			c.addToPool(name, host, c.itemPosition(pool.Hosts, host, "Pools", name, "Hosts"))
		}
		for _, rack := range pool.Racks {
			pos := c.itemPosition(pool.Racks, rack, "Pools", name, "Racks")
			if _, known := c.config.Racks[rack]; !known {
				c.problems.add(pos, suggestName(rack, sortedKeys(c.config.Racks)), "pool %s selects the unknown rack %s", name, rack)
				continue
			}
			for _, host := range c.config.Racks[rack].Hosts {
				c.addToPool(name, host, pos)
			}
		}
		slices.Sort(c.declaration.pools[name])
	}
}

// addToPool records the pool of a host, which must be in a rack and in no other
// pool.
func (c *validator) addToPool(pool, host string, pos Position) {
	info, known := c.declaration.Hosts[host]
	switch {
	case !known:
		c.problems.add(pos, "add it to the Hosts of a rack, or mend the name", "pool %s holds host %s, which stands in no rack", pool, host)
	case info.Pool == pool:
		c.problems.add(pos, "drop one of the two", "pool %s selects host %s twice", pool, host)
	case info.Pool != "":
		c.problems.add(pos, "take it out of one of them; a host is in exactly one pool", "host %s is in pool %s and in pool %s", host, info.Pool, pool)
	default:
		info.Pool = pool
		c.declaration.Hosts[host] = info
		c.declaration.pools[pool] = append(c.declaration.pools[pool], host)
	}
}

// checkMaintenance checks the maintenance settings and marks drained hosts.
func (c *validator) checkMaintenance() {
	m := c.config.Maintenance
	if m.AtOnce < 1 {
		c.problems.add(c.position("Maintenance", "AtOnce"), "allow at least 1", "Maintenance.AtOnce would stop all maintenance")
	}
	if m.Every <= 0 {
		c.problems.add(c.position("Maintenance", "Every"), "give a span such as 5w", "Maintenance.Every must be more than 0s")
	}
	for _, host := range m.Drain {
		info, known := c.declaration.Hosts[host]
		if !known {
			c.problems.add(c.itemPosition(m.Drain, host, "Maintenance", "Drain"), "mend the name", "Maintenance.Drain names the unknown host %s", host)
			continue
		}
		info.Drained = true
		c.declaration.Hosts[host] = info
	}
}

func (c *validator) checkServices() {
	if len(c.config.Services) == 0 {
		c.problems.add(c.position("Services"), "declare at least one service", "Services is empty")
	}
	for _, name := range sortedKeys(c.config.Services) {
		if c.checkReferences(name) {
			c.checkLimits(name)
			c.checkRoutes(name)
			c.checkBudget(name)
		}
	}
}

// checkReferences checks the pool and the team of a service, and reports
// whether both are valid.
func (c *validator) checkReferences(name string) bool {
	service := c.config.Services[name]
	pool, known := c.config.Pools[service.Pool]
	pos := c.position("Services", name, "Pool")
	switch {
	case !known:
		c.problems.add(pos, suggestName(service.Pool, sortedKeys(c.config.Pools)), "service %s uses the unknown pool %s", name, service.Pool)
		return false
	case pool.Spare:
		c.problems.add(pos, "name a pool that is not spare", "service %s uses the spare pool %s", name, service.Pool)
		return false
	case len(c.declaration.PoolHosts(service.Pool)) == 0:
		c.problems.add(pos, "give the pool hosts", "service %s uses pool %s, which holds no host", name, service.Pool)
		return false
	}
	if service.Team == "" {
		return true
	}
	if _, known := c.config.Teams[service.Team]; !known {
		c.problems.add(c.position("Services", name, "Team"), suggestName(service.Team, sortedKeys(c.config.Teams)), "service %s belongs to the unknown team %s", name, service.Team)
		return false
	}
	return true
}

// checkLimits checks the quota of a service against its pool's capacity, and its
// time limits.
func (c *validator) checkLimits(name string) {
	service := c.config.Services[name]
	hosts := len(c.declaration.PoolHosts(service.Pool))
	slots := hosts * c.config.HostShape.Slots
	connections := hosts * c.config.HostShape.Connections
	if service.Quota.Slots > slots {
		c.problems.add(c.position("Services", name, "Quota", "Slots"), "lower it or add hosts", "service %s may use %d slots; its pool has %d hosts and %d slots", name, service.Quota.Slots, hosts, slots)
	}
	if service.Quota.Connections > connections {
		c.problems.add(c.position("Services", name, "Quota", "Connections"), "lower it or add hosts", "service %s may use %d connections; its pool has %d hosts and %d connections", name, service.Quota.Connections, hosts, connections)
	}
	if service.Deadline <= 0 {
		c.problems.add(c.position("Services", name, "Deadline"), "give a span such as 30s", "service %s has no time to answer", name)
	}
	if service.Queue.Wait > service.Deadline {
		c.problems.add(c.position("Services", name, "Queue", "Wait"), "lower Queue.Wait or raise Deadline", "service %s lets requests wait for longer than its deadline", name)
	}
	if service.Attempts < 1 {
		c.problems.add(c.position("Services", name, "Attempts"), "allow at least 1", "service %s would send no request", name)
	}
}

func (c *validator) checkRoutes(name string) {
	routes := c.config.Services[name].Routes
	paths := make(map[string]string)
	if len(routes) == 0 {
		c.problems.add(c.position("Services", name, "Routes"), "declare at least one route", "service %s has no routes", name)
	}
	for _, route := range sortedKeys(routes) {
		path := routes[route].Path
		pos := c.position("Services", name, "Routes", route, "Path")
		if !strings.HasPrefix(path, "/") {
			c.problems.add(pos, "start it with /", "route %s of service %s has the path %q", route, name, path)
		}
		if other, duplicate := paths[path]; duplicate {
			c.problems.add(pos, "give each route a path of its own", "routes %s and %s of service %s have the same path", other, route, name)
		}
		paths[path] = route
	}
}

// checkBudget checks that the pool can satisfy the service's budget without its
// drained hosts. MinReady must hold even if the rack with the most remaining
// hosts is lost.
func (c *validator) checkBudget(name string) {
	service := c.config.Services[name]
	inRack := make(map[string]int)
	inDataCentre := make(map[string]int)
	ready := 0
	for _, host := range c.declaration.PoolHosts(service.Pool) {
		info := c.declaration.Hosts[host]
		if info.Drained {
			continue
		}
		ready++
		inRack[info.Rack]++
		inDataCentre[info.DataCentre]++
	}
	rack, rackHosts := largest(inRack)
	if ready-rackHosts < service.Budget.MinReady {
		c.problems.add(c.position("Services", name, "Budget", "MinReady"), "lower MinReady, add hosts in other racks, or drain fewer hosts",
			"service %s must keep %d hosts ready; pool %s has %d that are not drained, and %d of them stand in rack %s",
			name, service.Budget.MinReady, service.Pool, ready, rackHosts, rack)
	}
	c.checkShare(name, "MaxRackShare", "rack "+rack, rackHosts, ready, service.Budget.MaxRackShare)
	dataCentre, dataCentreHosts := largest(inDataCentre)
	c.checkShare(name, "MaxDataCentreShare", "data centre "+dataCentre, dataCentreHosts, ready, service.Budget.MaxDataCentreShare)
}

// checkShare checks that a rack or data centre has no more than the allowed
// share of the ready hosts.
func (c *validator) checkShare(service, setting, location string, hosts, ready int, limit Percent) {
	if ready == 0 || float64(hosts) <= limit.Fraction()*float64(ready) {
		return
	}
	text, _ := limit.MarshalText()
	c.problems.add(c.position("Services", service, "Budget", setting), "spread the pool or raise the share",
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
