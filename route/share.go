package route

import (
	"cmp"

	"github.com/cespare/xxhash/v2"

	"rattanpath/config"
)

// slotShare returns the number of a host's slots assigned to the node self. The
// shares of all nodes add up to slots. The remainder of the division goes to the
// nodes that rank first for the host, which differ from host to host.
func slotShare(slots int, host, self string, nodes []string) int64 {
	share := slots / len(nodes)
	if rank(host, self, nodes) < slots%len(nodes) {
		share++
	}
	return int64(share)
}

// rank returns the zero-based position of self among the nodes for a host, by
// rendezvous hashing.
func rank(host, self string, nodes []string) int {
	ownWeight := weight(host, self)
	position := 0
	for _, node := range nodes {
		if order := cmp.Or(cmp.Compare(weight(host, node), ownWeight), cmp.Compare(node, self)); order < 0 {
			position++
		}
	}
	return position
}

// weight returns the rendezvous hash of a host and a node; lower ranks first.
func weight(host, node string) uint64 {
	return xxhash.Sum64String(host + "/" + node)
}

// quotaShare returns this node's share of a limit on all nodes together. It is
// at least 1, because a node cannot forward a request to another node.
func quotaShare(limit, nodes int) int64 {
	return int64(max(1, limit/nodes))
}

// batchShare returns the number of a node's slots in a pool that Batch requests
// may hold at once. It is at least 1, so that long requests make progress.
func batchShare(targets []Target, fraction config.Percent) int64 {
	slots := int64(0)
	for _, target := range targets {
		slots += target.Share
	}
	return max(1, int64(fraction.Fraction()*float64(slots)))
}
