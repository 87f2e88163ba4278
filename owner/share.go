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

// partitionOf returns the partition of the service with a rank among all.
func partitionOf(rank, partitions int) int { return rank * stride % partitions }

// partitionOfFleet returns the partition of the duty that no service has.
func partitionOfFleet(partitions int) int { return partitions - 1 }

// Partition returns the partition of a service, and false if the configuration
// has no such service.
func Partition(table *queue.Config, service string, partitions int) (int, bool) {
	for rank, known := range table.Services {
		if known.Name == service {
			return partitionOf(rank, partitions), true
		}
	}
	return 0, false
}
