package queue

import "rattanpath/quota"

// Follow records that the configuration replaces a previous one on this node, before it is used.
// complete means that this node has read all versions between the two.
func (c *Config) Follow(previous *Config, complete bool) {
	if previous == nil || !complete || previous.Version >= c.Version {
		return
	}
	c.capsSince, c.activeSince = make(map[string]int64), make(map[string]int64)
	for _, organisation := range c.Organisations {
		before := previous.Organisation(organisation.Name)
		if before != nil && !quota.IsLower(organisation.Cap, before.Cap) {
			c.capsSince[organisation.Name] = previous.CapsSince(organisation.Name)
		}
	}
	for _, service := range c.Services {
		if before, exists := previous.Service(service.Name); exists && !before.Standby && !service.Standby {
			c.activeSince[service.Name] = previous.ActiveSince(service.Name)
		}
	}
}

// CapsSince returns the version since which the cap of an organisation was not higher than now,
// as far as this node has read all versions.
func (c *Config) CapsSince(organisation string) int64 {
	if version, ok := c.capsSince[organisation]; ok {
		return version
	}
	return c.Version
}

// ActiveSince returns the version since which a service was configured and not on standby, as far as
// this node has read all versions.
func (c *Config) ActiveSince(service string) int64 {
	if version, ok := c.activeSince[service]; ok {
		return version
	}
	return c.Version
}
