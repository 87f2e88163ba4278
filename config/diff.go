package config

import (
	"fmt"
	"slices"
)

// Change is one difference between two declarations.
type Change struct {
	// Kind is what changed: Host or Setting.
	Kind string
	Text string
}

// String formats the change as one line.
func (c Change) String() string { return c.Kind + ": " + c.Text }

// Diff returns the changes from one declaration to another: first those of
// hosts, then those of settings. A nil declaration is an empty fleet.
func Diff(from, to *Declaration) []Change {
	changes := diffHosts(from.hostsOrNone(), to.hostsOrNone())
	return append(changes, diffSettings(from.valuesByPath(), to.valuesByPath())...)
}

// hostsOrNone returns the hosts; it allows a nil receiver.
func (d *Declaration) hostsOrNone() map[string]HostInfo {
	if d == nil {
		return nil
	}
	return d.Hosts
}

// valuesByPath returns the value of each setting; it allows a nil receiver.
func (d *Declaration) valuesByPath() map[string]string {
	values := make(map[string]string)
	if d == nil {
		return values
	}
	for _, e := range d.explainAll() {
		values[e.Path] = e.Value
	}
	return values
}

func diffHosts(from, to map[string]HostInfo) []Change {
	var changes []Change
	for _, host := range sortedUnion(from, to) {
		before, existed := from[host]
		after, exists := to[host]
		switch {
		case !existed:
			changes = append(changes, Change{"Host", fmt.Sprintf("%s is new, in %s", host, formatPool(after.Pool))})
		case !exists:
			changes = append(changes, Change{"Host", fmt.Sprintf("%s goes away, out of %s", host, formatPool(before.Pool))})
		case before.Pool != after.Pool:
			changes = append(changes, Change{"Host", fmt.Sprintf("%s moves from %s to %s", host, formatPool(before.Pool), formatPool(after.Pool))})
		}
		if exists && existed && before.Drained != after.Drained {
			changes = append(changes, Change{"Host", formatDrain(host, after.Drained)})
		}
	}
	return changes
}

func formatDrain(host string, drained bool) string {
	if drained {
		return host + " is drained: it gets no new requests"
	}
	return host + " is drained no longer: it gets requests again"
}

func formatPool(pool string) string {
	if pool == "" {
		return "no pool"
	}
	return "pool " + pool
}

func diffSettings(from, to map[string]string) []Change {
	var changes []Change
	for _, path := range sortedUnion(from, to) {
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

func sortedUnion[V any](a, b map[string]V) []string {
	keys := append(sortedKeys(a), sortedKeys(b)...)
	slices.Sort(keys)
	return slices.Compact(keys)
}
