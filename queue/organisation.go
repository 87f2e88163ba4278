package queue

import (
	"crypto/sha256"

	"rattanpath/tasks"
)

// Organisation is a group of callers that share keys, a weight and a cap.
type Organisation struct {
	Name string
	// Weight is the organisation's share of a full pool relative to the weights of others.
	Weight float64
	// Cap limits what the organisation has running on the hosts of all services. A
	// resource of 0 has no limit.
	Cap tasks.Resources
}

// KeyHash is the SHA-256 hash of an API key, which identifies the key without revealing it.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of an API key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// WithOrganisations returns a copy of the configuration that requires API keys. holders
// holds the name of the organisation that each key belongs to.
func (c *Config) WithOrganisations(organisations []Organisation, holders map[KeyHash]string) *Config {
	withKeys := *c
	withKeys.RequiresKeys = true
	withKeys.Organisations = organisations
	withKeys.byName = make(map[string]*Organisation, len(organisations))
	withKeys.byKey = make(map[KeyHash]*Organisation, len(holders))
	for i := range organisations {
		withKeys.byName[organisations[i].Name] = &organisations[i]
	}
	for key, name := range holders {
		if organisation := withKeys.byName[name]; organisation != nil {
			withKeys.byKey[key] = organisation
		}
	}
	return &withKeys
}

// Organisation returns the organisation with a name, or nil.
func (c *Config) Organisation(name string) *Organisation { return c.byName[name] }

// ActiveServices returns the number of services that aren't standby.
func (c *Config) ActiveServices() int {
	count := 0
	for _, service := range c.Services {
		if !service.Standby {
			count++
		}
	}
	return count
}

// KeyHolder returns the organisation that holds a key, or nil.
func (c *Config) KeyHolder(key KeyHash) *Organisation { return c.byKey[key] }

// KeyHolderByHash returns the organisation that holds the key with a hash as it is sent between
// nodes, or nil. A hash of another length, such as the empty one of callers without a key, has
// no holder.
func (c *Config) KeyHolderByHash(hash []byte) *Organisation {
	if len(hash) != len(KeyHash{}) {
		return nil
	}
	return c.KeyHolder(KeyHash(hash))
}
