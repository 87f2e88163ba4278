package config

import (
	"fmt"
	"slices"
)

// Change is one consequence of going from one declaration to another.
type Change struct {
	// Kind names the subject: Host, Budget, Service, Pool or Setting.
	Kind string
	Text string
}

// String formats the change as one line.
func (c Change) String() string { return c.Kind + ": " + c.Text }

// Diff returns what would change from one declaration to another: first hosts
// that move, then budgets, then every setting whose value differs. A nil
// declaration stands for an empty fleet.
func Diff(from, to *Declaration) []Change {
	changes := diffHosts(from.hosts(), to.hosts())
	return append(changes, diffSettings(from.values(), to.values())...)
}

func (d *Declaration) hosts() map[string]Place {
	if d == nil {
		return nil
	}
	return d.Hosts
}

func (d *Declaration) values() map[string]string {
	values := make(map[string]string)
	if d == nil {
		return values
	}
	for _, e := range d.explainAll() {
		values[e.Path] = e.Value
	}
	return values
}

func diffHosts(from, to map[string]Place) []Change {
	var changes []Change
	for _, host := range unionKeys(from, to) {
		before, existed := from[host]
		after, exists := to[host]
		switch {
		case !existed:
			changes = append(changes, Change{"Host", fmt.Sprintf("%s is new, in %s", host, poolName(after.Pool))})
		case !exists:
			changes = append(changes, Change{"Host", fmt.Sprintf("%s goes away, out of %s", host, poolName(before.Pool))})
		case before.Pool != after.Pool:
			changes = append(changes, Change{"Host", fmt.Sprintf("%s moves from %s to %s", host, poolName(before.Pool), poolName(after.Pool))})
		}
		if exists && existed && before.Drained != after.Drained {
			changes = append(changes, Change{"Host", drainText(host, after.Drained)})
		}
	}
	return changes
}

func drainText(host string, drained bool) string {
	if drained {
		return host + " is drained: it gets no new requests"
	}
	return host + " is drained no longer: it gets requests again"
}

func poolName(pool string) string {
	if pool == "" {
		return "no pool"
	}
	return "pool " + pool
}

func diffSettings(from, to map[string]string) []Change {
	var changes []Change
	for _, path := range unionKeys(from, to) {
		before, existed := from[path]
		after, exists := to[path]
		switch {
		case before == after && existed == exists:
			continue
		case !existed:
			changes = append(changes, Change{"Setting", fmt.Sprintf("%s is new: %s", path, after)})
		case !exists:
			changes = append(changes, Change{"Setting", fmt.Sprintf("%s goes away; it was %s", path, before)})
		default:
			changes = append(changes, Change{"Setting", fmt.Sprintf("%s: %s -> %s", path, before, after)})
		}
	}
	return changes
}

func unionKeys[V any](a, b map[string]V) []string {
	keys := append(sortedKeys(a), sortedKeys(b)...)
	slices.Sort(keys)
	return slices.Compact(keys)
}
