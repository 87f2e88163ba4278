package owner

import "rattanpath/queue"

// Partitions of the topic that is dealt out to the nodes; each cell falls to the
// owner of its partition.
const (
	// stride spreads neighbouring services over the partitions, whether the store
	// deals them out in runs or in turn. It has no common divisor with the number
	// of partitions.
	stride = 7
)

// partitionAt returns the partition of the service with a rank among all.
func partitionAt(index, partitions int) int { return index * stride % partitions }

// fleetPartition returns the partition of the duty that no service has.
func fleetPartition(partitions int) int { return partitions - 1 }

// ServicePartition returns the partition of a service, and false if the configuration
// has no such service.
func ServicePartition(table *queue.Table, service string, partitions int) (int, bool) {
	for i, s := range table.Services {
		if s.Name == service {
			return partitionAt(i, partitions), true
		}
	}
	return 0, false
}
