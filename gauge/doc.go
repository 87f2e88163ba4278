// Package gauge measures what docs/MEASURES.md and docs/CAPACITY.md state:
// the cost of the request path, the spread of a change, the cost of control,
// and how state and decisions grow with the fleet.
package gauge
