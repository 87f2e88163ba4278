// Package owner distributes cells, each of which schedules the jobs of one
// service, over the nodes. It keeps the node in the store's group, which assigns
// partitions to its members, runs the cells of the node's partitions and routes
// calls to the owners of the others.
package owner
