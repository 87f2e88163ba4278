package route

import (
	"cmp"

	"github.com/cespare/xxhash/v2"

	"rattanpath/config"
)

// slotShare returns how many of a host's slots belong to a node, so that the
// shares of all nodes add up to the slots. What does not divide evenly goes to
// the nodes that rank first for that host, which differ from host to host.
func slotShare(slots int, host, self string, nodes []string) int64 {
	share := slots / len(nodes)
	if rank(host, self, nodes) < slots%len(nodes) {
		share++
	}
	return int64(share)
}

// rank returns the number of nodes that come before self for a host, by
// rendezvous hashing.
func rank(host, self string, nodes []string) int {
	own := weight(host, self)
	before := 0
	for _, node := range nodes {
		if order := cmp.Or(cmp.Compare(weight(host, node), own), cmp.Compare(node, self)); order < 0 {
			before++
		}
	}
	return before
}

func weight(host, node string) uint64 {
	return xxhash.Sum64String(host + "/" + node)
}

// quotaShare returns this node's part of a limit that all nodes keep together,
// and at least 1, since a node can't hand a request over to another.
func quotaShare(limit, nodes int) int64 {
	return int64(max(1, limit/nodes))
}

// batchShare returns how many of a node's slots in a pool Batch routes may hold
// at once, and at least 1, so that long work goes on.
func batchShare(targets []Target, part config.Percent) int64 {
	slots := int64(0)
	for _, target := range targets {
		slots += target.Share
	}
	return max(1, int64(part.Fraction()*float64(slots)))
}
