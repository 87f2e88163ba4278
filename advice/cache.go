package advice

import "time"

const (
	// maxHostsPerQuery limits a query, since the advisor takes time for each host.
	maxHostsPerQuery = 30
	// minHostsPerQuery is the minimum number of hosts in a query, if there are that
	// many.
	minHostsPerQuery = 4
	// hostsPerMissing is the number of hosts to query for each missing ticket, since
	// the advisor allows only some of them.
	hostsPerMissing = 2
	// minRemaining is the minimum remaining validity of a ticket that is used, so
	// that the start command arrives before the ticket expires.
	minRemaining = 150 * time.Millisecond
)

// Host identifies one incarnation of a host.
type Host struct {
	ID          string
	Incarnation int64
}

// Cache holds the advisor's decisions for one step.
type Cache struct {
	tickets map[Host]ticket
	// denied are the IDs of the hosts that the advisor doesn't allow. Denials never
	// expire.
	denied map[string]bool
}

type ticket struct {
	value   string
	expires time.Time
}

// NewCache returns an empty cache.
func NewCache() *Cache {
	return &Cache{tickets: make(map[Host]ticket), denied: make(map[string]bool)}
}

// Update stores the answer to a query. Tickets are keyed by host ID and valid until
// expires; a queried host without a ticket is denied.
func (c *Cache) Update(queried []Host, tickets map[string]string, expires time.Time) {
	for _, host := range queried {
		if value, ok := tickets[host.ID]; ok {
			c.tickets[host] = ticket{value: value, expires: expires}
		} else {
			c.denied[host.ID] = true
		}
	}
}

// Ticket returns the ticket of a host, or false if there is none that stays valid
// for at least minRemaining.
func (c *Cache) Ticket(host Host, now time.Time) (string, bool) {
	t, ok := c.tickets[host]
	return t.value, ok && now.Add(minRemaining).Before(t.expires)
}

// Delete removes the ticket of a host that refused it.
func (c *Cache) Delete(host Host) { delete(c.tickets, host) }

// HostsToQuery returns the hosts to query the advisor for when the given number of
// tickets is needed. The candidate hosts are ordered best first. It returns none
// if there are enough tickets or no host is left to query.
func (c *Cache) HostsToQuery(hosts []Host, missing int, now time.Time) []Host {
	var unknown []Host
	for _, host := range hosts {
		if _, ok := c.Ticket(host, now); ok {
			missing--
		} else if !c.denied[host.ID] {
			unknown = append(unknown, host)
		}
	}
	if missing <= 0 {
		return nil
	}
	count := min(max(hostsPerMissing*missing, minHostsPerQuery), maxHostsPerQuery, len(unknown))
	return unknown[:count]
}
