package config

import (
	"maps"
	"slices"
	"strings"
)

// check judges what no single setting shows: references between settings, and
// budgets that could not be kept.
func check(d *Declaration, problems *Problems) {
	c := &checker{declaration: d, config: &d.Config, tree: d.Tree, problems: problems}
	c.hosts()
	c.pools()
	c.maintenance()
	if len(*problems) > 0 {
		return
	}
	c.services()
}

type checker struct {
	declaration *Declaration
	config      *Config
	tree        *Setting
	problems    *Problems
}

// at returns the position of the setting at a path, or of its nearest parent.
func (c *checker) at(path ...string) Position {
	for n := len(path); n > 0; n-- {
		if setting := c.tree.Lookup(path[:n]...); setting != nil {
			return setting.Position
		}
	}
	return c.tree.Position
}

func (c *checker) item(list []string, value string, path ...string) Position {
	index := slices.Index(list, value)
	setting := c.tree.Lookup(path...)
	if setting == nil || index < 0 || index >= len(setting.Items) {
		return c.at(path...)
	}
	return setting.Items[index].Position
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// hosts places every host in its rack.
func (c *checker) hosts() {
	c.declaration.Hosts = make(map[string]Place)
	c.declaration.pools = make(map[string][]string)
	if c.config.HostShape.Slots < 1 || c.config.HostShape.Connections < 1 {
		c.problems.add(c.at("HostShape"), "allow at least one of each", "HostShape leaves a host without slots or connections")
	}
	for _, name := range sortedKeys(c.config.Racks) {
		rack := c.config.Racks[name]
		for _, host := range rack.Hosts {
			at := c.item(rack.Hosts, host, "Racks", name, "Hosts")
			if !keyPattern.MatchString(host) {
				c.problems.add(at, "use letters, digits, - and _", "%q is not a host name", host)
				continue
			}
			if place, twice := c.declaration.Hosts[host]; twice {
				c.problems.add(at, "keep one of the two", "host %s stands in rack %s and in rack %s", host, place.Rack, name)
				continue
			}
			c.declaration.Hosts[host] = Place{Rack: name, DataCentre: rack.DataCentre}
		}
	}
}

// pools gives every selected host its one pool.
func (c *checker) pools() {
	if len(c.config.Pools) == 0 {
		c.problems.add(c.at("Pools"), "declare at least one pool", "Pools is empty")
	}
	for _, name := range sortedKeys(c.config.Pools) {
		pool := c.config.Pools[name]
		for _, host := range pool.Hosts {
			c.join(name, host, c.item(pool.Hosts, host, "Pools", name, "Hosts"))
		}
		for _, rack := range pool.Racks {
			at := c.item(pool.Racks, rack, "Pools", name, "Racks")
			if _, known := c.config.Racks[rack]; !known {
				c.problems.add(at, proposeName(rack, sortedKeys(c.config.Racks)), "pool %s selects the unknown rack %s", name, rack)
				continue
			}
			for _, host := range c.config.Racks[rack].Hosts {
				c.join(name, host, at)
			}
		}
		slices.Sort(c.declaration.pools[name])
	}
}

func (c *checker) join(pool, host string, at Position) {
	place, known := c.declaration.Hosts[host]
	switch {
	case !known:
		c.problems.add(at, "add it to the Hosts of a rack, or mend the name", "pool %s holds host %s, which stands in no rack", pool, host)
	case place.Pool == pool:
		c.problems.add(at, "drop one of the two", "pool %s selects host %s twice", pool, host)
	case place.Pool != "":
		c.problems.add(at, "take it out of one of them; a host is in exactly one pool", "host %s is in pool %s and in pool %s", host, place.Pool, pool)
	default:
		place.Pool = pool
		c.declaration.Hosts[host] = place
		c.declaration.pools[pool] = append(c.declaration.pools[pool], host)
	}
}

func (c *checker) maintenance() {
	m := c.config.Maintenance
	if m.AtOnce < 1 {
		c.problems.add(c.at("Maintenance", "AtOnce"), "allow at least 1", "Maintenance.AtOnce would stop all maintenance")
	}
	if m.Every <= 0 {
		c.problems.add(c.at("Maintenance", "Every"), "give a span such as 5w", "Maintenance.Every must be more than 0s")
	}
	for _, host := range m.Drain {
		place, known := c.declaration.Hosts[host]
		if !known {
			c.problems.add(c.item(m.Drain, host, "Maintenance", "Drain"), "mend the name", "Maintenance.Drain names the unknown host %s", host)
			continue
		}
		place.Drained = true
		c.declaration.Hosts[host] = place
	}
}

func (c *checker) services() {
	if len(c.config.Services) == 0 {
		c.problems.add(c.at("Services"), "declare at least one service", "Services is empty")
	}
	for _, name := range sortedKeys(c.config.Services) {
		if c.reference(name) {
			c.limits(name)
			c.routes(name)
			c.budget(name)
		}
	}
}

// reference checks the names of other settings that a service uses.
func (c *checker) reference(name string) bool {
	service := c.config.Services[name]
	pool, known := c.config.Pools[service.Pool]
	at := c.at("Services", name, "Pool")
	switch {
	case !known:
		c.problems.add(at, proposeName(service.Pool, sortedKeys(c.config.Pools)), "service %s uses the unknown pool %s", name, service.Pool)
		return false
	case pool.Spare:
		c.problems.add(at, "name a pool that is not spare", "service %s uses the spare pool %s", name, service.Pool)
		return false
	case len(c.declaration.PoolHosts(service.Pool)) == 0:
		c.problems.add(at, "give the pool hosts", "service %s uses pool %s, which holds no host", name, service.Pool)
		return false
	}
	if service.Team == "" {
		return true
	}
	if _, known := c.config.Teams[service.Team]; !known {
		c.problems.add(c.at("Services", name, "Team"), proposeName(service.Team, sortedKeys(c.config.Teams)), "service %s belongs to the unknown team %s", name, service.Team)
		return false
	}
	return true
}

func (c *checker) limits(name string) {
	service := c.config.Services[name]
	hosts := len(c.declaration.PoolHosts(service.Pool))
	slots := hosts * c.config.HostShape.Slots
	connections := hosts * c.config.HostShape.Connections
	if service.Quota.Slots > slots {
		c.problems.add(c.at("Services", name, "Quota", "Slots"), "lower it or add hosts", "service %s may use %d slots; its pool has %d hosts and %d slots", name, service.Quota.Slots, hosts, slots)
	}
	if service.Quota.Connections > connections {
		c.problems.add(c.at("Services", name, "Quota", "Connections"), "lower it or add hosts", "service %s may use %d connections; its pool has %d hosts and %d connections", name, service.Quota.Connections, hosts, connections)
	}
	if service.Deadline <= 0 {
		c.problems.add(c.at("Services", name, "Deadline"), "give a span such as 30s", "service %s has no time to answer", name)
	}
	if service.Queue.Wait > service.Deadline {
		c.problems.add(c.at("Services", name, "Queue", "Wait"), "lower Queue.Wait or raise Deadline", "service %s lets requests wait for longer than its deadline", name)
	}
	if service.Attempts < 1 {
		c.problems.add(c.at("Services", name, "Attempts"), "allow at least 1", "service %s would send no request", name)
	}
}

func (c *checker) routes(name string) {
	routes := c.config.Services[name].Routes
	paths := make(map[string]string)
	if len(routes) == 0 {
		c.problems.add(c.at("Services", name, "Routes"), "declare at least one route", "service %s has no routes", name)
	}
	for _, route := range sortedKeys(routes) {
		path := routes[route].Path
		at := c.at("Services", name, "Routes", route, "Path")
		if !strings.HasPrefix(path, "/") {
			c.problems.add(at, "start it with /", "route %s of service %s has the path %q", route, name, path)
		}
		if other, twice := paths[path]; twice {
			c.problems.add(at, "give each route a path of its own", "routes %s and %s of service %s have the same path", other, route, name)
		}
		paths[path] = route
	}
}

// budget checks that the pool could keep the service's budget with the drained
// hosts out of service and the fullest rack lost.
func (c *checker) budget(name string) {
	service := c.config.Services[name]
	inRack := make(map[string]int)
	inDataCentre := make(map[string]int)
	ready := 0
	for _, host := range c.declaration.PoolHosts(service.Pool) {
		place := c.declaration.Hosts[host]
		if place.Drained {
			continue
		}
		ready++
		inRack[place.Rack]++
		inDataCentre[place.DataCentre]++
	}
	rack, rackHosts := fullest(inRack)
	if ready-rackHosts < service.Budget.MinReady {
		c.problems.add(c.at("Services", name, "Budget", "MinReady"), "lower MinReady, add hosts in other racks, or drain fewer hosts",
			"service %s must keep %d hosts ready; pool %s has %d that are not drained, and %d of them stand in rack %s",
			name, service.Budget.MinReady, service.Pool, ready, rackHosts, rack)
	}
	c.share(name, "MaxRackShare", "rack "+rack, rackHosts, ready, service.Budget.MaxRackShare)
	dataCentre, dataCentreHosts := fullest(inDataCentre)
	c.share(name, "MaxDataCentreShare", "data centre "+dataCentre, dataCentreHosts, ready, service.Budget.MaxDataCentreShare)
}

func (c *checker) share(service, setting, where string, hosts, ready int, limit Percent) {
	if ready == 0 || float64(hosts) <= limit.Share()*float64(ready) {
		return
	}
	text, _ := limit.MarshalText()
	c.problems.add(c.at("Services", service, "Budget", setting), "spread the pool or raise the share",
		"service %s allows %s of its hosts in one place; %s carries %d of %d", service, text, where, hosts, ready)
}

// fullest returns the key with the largest count, the first in order of names
// among equals.
func fullest(counts map[string]int) (string, int) {
	best, most := "", 0
	for _, key := range sortedKeys(counts) {
		if counts[key] > most {
			best, most = key, counts[key]
		}
	}
	return best, most
}
