package place

import (
	"maps"
	"slices"
)

// PickAll returns a host for each of several tasks of a step that start together, or nil.
// It leaves the hosts and the counts of siblings as they are.
func PickAll(reqs []Requirements, hosts []*Host) []*Host {
	if len(reqs) == 0 {
		return nil
	}
	siblings := maps.Clone(reqs[0].SiblingsByHost)
	trial := make([]Host, len(hosts))
	candidates := make([]*Host, len(hosts))
	for i, h := range hosts {
		trial[i] = *h
		candidates[i] = &trial[i]
	}
	picked := make([]*Host, len(reqs))
	for _, i := range isolatedFirst(reqs) {
		req := reqs[i]
		req.SiblingsByHost = siblings
		h := Pick(req, candidates)
		if h == nil {
			return nil
		}
		h.Place(req)
		siblings[h.ID]++
		picked[i] = hosts[slices.Index(candidates, h)]
	}
	return picked
}

// isolatedFirst returns the indexes of tasks, those that need isolation first.
func isolatedFirst(reqs []Requirements) []int {
	var isolated, others []int
	for i := range reqs {
		if reqs[i].Isolated {
			isolated = append(isolated, i)
		} else {
			others = append(others, i)
		}
	}
	return append(isolated, others...)
}
