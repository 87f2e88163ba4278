package gauge

import (
	"context"
	"time"
)

// Control is what control costs a node of a fleet without requests.
type Control struct {
	Nodes, Hosts int
	// BytesPerSecond counts what a node sends and receives.
	BytesPerSecond float64
	// CPUPercent is the share of a core that a node takes, its part of the
	// stand-ins' work included.
	CPUPercent float64
	// MemoryBytes is the memory of a node in use, measured as the growth of
	// this process for each node.
	MemoryBytes int64
}

const controlWatch = 10 * time.Second

// MeasureControl measures an idle fleet of so many nodes and hosts, after it
// has had time to settle: until a node has asked each peer once, the types that
// net/rpc sends first on a connection take up most of the bytes.
func MeasureControl(ctx context.Context, nodes, hosts, pools int, settle time.Duration) (*Control, error) {
	before := memoryInUse()
	f, err := startFleet(ctx, Synthesize(hosts, pools, pools), nodes, false)
	if f != nil {
		defer f.Close(context.WithoutCancel(ctx))
	}
	if err != nil {
		return nil, err
	}
	time.Sleep(settle)
	bytes, processor, started := f.ControlBytes(), processorTime(), time.Now()
	time.Sleep(controlWatch)
	took := time.Since(started)
	result := &Control{Nodes: nodes, Hosts: hosts}
	result.BytesPerSecond = float64(f.ControlBytes()-bytes) / took.Seconds() / float64(nodes)
	result.CPUPercent = 100 * float64(processorTime()-processor) / float64(took) / float64(nodes)
	result.MemoryBytes = (memoryInUse() - before) / int64(nodes)
	return result, nil
}
