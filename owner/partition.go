package owner

import "rattanpath/queue"

const (
	// stride spreads adjacent services over the partitions, so that both range and
	// round-robin assignment balance them. It must be coprime with the number of
	// partitions.
	stride = 7
)

// partitionAt returns the partition of the service at an index of the
// configuration. The service's cell runs on the node that owns this partition.
func partitionAt(index, partitions int) int { return index * stride % partitions }

// fleetPartition returns the partition whose owner runs the machine controller.
func fleetPartition(partitions int) int { return partitions - 1 }

// ServicePartition returns the partition of a service, and false if the
// configuration does not contain the service.
func ServicePartition(config *queue.Config, service string, partitions int) (int, bool) {
	for i, s := range config.Services {
		if s.Name == service {
			return partitionAt(i, partitions), true
		}
	}
	return 0, false
}
