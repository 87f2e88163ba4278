package cmds

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"rattanpath/bench"
)

// measureCommand groups the measurements.
type measureCommand struct {
	Path     measurePath     `cmd:"" help:"Cost of the request path, compared with calling a worker directly."`
	Blocking measureBlocking `cmd:"" help:"Latency of short requests while a pool gets more long requests than it can run at once."`
	Spread   measureSpread   `cmd:"" help:"Time from the append of a change until it is active on every node."`
	Control  measureControl  `cmd:"" help:"Cost of the control plane for a node of an idle fleet."`
	Size     measureSize     `cmd:"" help:"Size of the state and cost of handling it, by size of the fleet."`
}

// formatTable aligns the columns of rows whose cells are separated by tabs.
func formatTable(rows ...string) string {
	var text strings.Builder
	writer := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		_, _ = fmt.Fprintln(writer, row)
	}
	_ = writer.Flush()
	return text.String()
}

// measurePath compares requests through a node with direct ones.
type measurePath struct{}

// Run prints the comparison.
func (c *measurePath) Run(e *env) error {
	p, err := bench.MeasurePath(e.ctx)
	if err != nil {
		return err
	}
	row := func(name string, cost bench.RequestCost) string {
		return fmt.Sprintf("%s\t%s\t%s\t%s", name, cost.P50, cost.P99, cost.CPU)
	}
	ratio := func(a, b time.Duration) float64 { return float64(a) / float64(b) }
	text := formatTable("WAY\tP50\tP99\tCPU A REQUEST", row("direct", p.Direct), row("through a node", p.Through),
		fmt.Sprintf("ratio\t%.2f\t%.2f\t%.2f", ratio(p.Through.P50, p.Direct.P50), ratio(p.Through.P99, p.Direct.P99), ratio(p.Through.CPU, p.Direct.CPU)))
	text += fmt.Sprintf("%d requests; %.0f requests a second on one core of a node; %d bytes an idle connection\n", p.Requests, p.PerCore, p.ConnectionBytes)
	return e.print(p, text)
}

// measureBlocking measures the latency of short requests under a load of long
// ones.
type measureBlocking struct{}

// Run prints a row for each class of the route of the long requests.
func (c *measureBlocking) Run(e *env) error {
	results, err := bench.MeasureBlocking(e.ctx)
	if err != nil {
		return err
	}
	rows := []string{"CLASS OF LONG WORK\tSHORT P50 ALONE\tP50\tP99\tSHORT ANSWERED\tREFUSED\tLONG ANSWERED"}
	for _, b := range results {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%d\t%d\t%d", b.Class, b.Alone, b.P50, b.P99, b.Short, b.NotRun, b.Long))
	}
	return e.print(results, formatTable(rows...))
}

// measureSpread measures how fast changes become active on all nodes.
type measureSpread struct {
	Nodes   int `help:"Number of entry nodes." default:"8"`
	Hosts   int `help:"Number of worker hosts." default:"52"`
	Pools   int `help:"Number of pools." default:"6"`
	Changes int `help:"Number of changes to publish." default:"100"`
}

// Run prints the median and the maximum time.
func (c *measureSpread) Run(e *env) error {
	s, err := bench.MeasureRollout(e.ctx, c.Nodes, c.Hosts, c.Pools, c.Changes)
	if err != nil {
		return err
	}
	text := fmt.Sprintf("%d changes, %d nodes, %d hosts: p50 %s, max %s\n", s.Changes, s.Nodes, s.Hosts, s.P50, s.Max)
	return e.print(s, text)
}

// measureControl measures the cost of the control plane.
type measureControl struct {
	Nodes  []int         `help:"Numbers of entry nodes to measure with." default:"8,32,64"`
	Hosts  int           `help:"Number of worker hosts." default:"730"`
	Pools  int           `help:"Number of pools." default:"22"`
	Settle time.Duration `help:"Time to wait before the measurement starts." default:"60s"`
}

// Run prints a row for each number of nodes.
func (c *measureControl) Run(e *env) error {
	rows := []string{"NODES\tHOSTS\tBYTES/S A NODE\tCPU % OF A CORE\tMEMORY A NODE"}
	var all []*bench.ControlPlaneResult
	for _, nodes := range c.Nodes {
		m, err := bench.MeasureControlPlane(e.ctx, nodes, c.Hosts, c.Pools, c.Settle)
		if err != nil {
			return err
		}
		all = append(all, m)
		rows = append(rows, fmt.Sprintf("%d\t%d\t%.0f\t%.2f\t%d", m.Nodes, m.Hosts, m.BytesPerSecond, m.CPUPercent, m.MemoryBytes))
	}
	return e.print(all, formatTable(rows...))
}

// measureSize measures how the state grows with the fleet.
type measureSize struct {
	Hosts []int `help:"Numbers of worker hosts to measure with." default:"50,200,730,2000"`
	Pools int   `help:"Number of pools." default:"22"`
}

// Run prints a row for each number of hosts.
func (c *measureSize) Run(e *env) error {
	rows := []string{"HOSTS\tFOLDER\tCHANGE\tSNAPSHOT\tLIST\tSTATE\tFOLD\tDECODE"}
	var all []*bench.StateResult
	for _, hosts := range c.Hosts {
		m, err := bench.MeasureState(hosts, c.Pools)
		if err != nil {
			return err
		}
		all = append(all, m)
		rows = append(rows, fmt.Sprintf("%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s", m.Hosts, m.FolderBytes, m.ChangeBytes, m.SnapshotBytes, m.ListBytes, m.StateBytes, m.Fold, m.Decode))
	}
	return e.print(all, formatTable(rows...))
}
