package bench

import (
	"context"
	"time"
)

// ControlPlaneResult holds the cost of the control plane per node of an idle
// fleet.
type ControlPlaneResult struct {
	Nodes, Hosts int
	// BytesPerSecond is the control traffic of a node, sent and received.
	BytesPerSecond float64
	// CPUPercent is the CPU time of a node in percent of one core. It includes the
	// node's share of the fake platform's CPU time.
	CPUPercent float64
	// MemoryBytes is the growth of this process's heap and stacks per node.
	MemoryBytes int64
}

const controlPlaneMeasureTime = 10 * time.Second

// MeasureControlPlane measures an idle fleet. It first waits for settle, because
// until each node has called each peer once, most of the traffic is the type
// descriptions that net/rpc sends first on a new connection.
func MeasureControlPlane(ctx context.Context, nodes, hosts, pools int, settle time.Duration) (*ControlPlaneResult, error) {
	memoryBefore := memoryInUse()
	f, err := startFleet(ctx, SyntheticFiles(hosts, pools, pools), nodes, false)
	if f != nil {
		defer f.Close(context.WithoutCancel(ctx))
	}
	if err != nil {
		return nil, err
	}
	time.Sleep(settle)
	bytesBefore, cpuBefore, started := f.ControlBytes(), processCPUTime(), time.Now()
	time.Sleep(controlPlaneMeasureTime)
	elapsed := time.Since(started)
	result := &ControlPlaneResult{Nodes: nodes, Hosts: hosts}
	result.BytesPerSecond = float64(f.ControlBytes()-bytesBefore) / elapsed.Seconds() / float64(nodes)
	result.CPUPercent = 100 * float64(processCPUTime()-cpuBefore) / float64(elapsed) / float64(nodes)
	result.MemoryBytes = (memoryInUse() - memoryBefore) / int64(nodes)
	return result, nil
}
