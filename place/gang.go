package place

import "maps"

// PickAll returns hosts for count identical tasks that start together, or nil. It leaves the
// hosts and the counts of siblings as they are.
func PickAll(req Requirements, count int, hosts []*Host) []*Host {
	var picked []*Host
	defer func() {
		for _, h := range picked {
			h.Free = h.Free.Add(req.Step.RequiredResources())
			if requestsNoCPU(req.Step) {
				h.TasksWithoutCPU--
			}
		}
	}()
	req.SiblingsByHost = maps.Clone(req.SiblingsByHost)
	for range count {
		h := Pick(req, hosts)
		if h == nil {
			return nil
		}
		h.Free = h.Free.Sub(req.Step.RequiredResources())
		if requestsNoCPU(req.Step) {
			h.TasksWithoutCPU++
		}
		req.SiblingsByHost[h.ID]++
		picked = append(picked, h)
	}
	return picked
}
