package cmds

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"rattanpath/gauge"
)

// measureCommand groups the measurements.
type measureCommand struct {
	Path     measurePath     `cmd:"" help:"Cost of the request path against calling a worker directly."`
	Blocking measureBlocking `cmd:"" help:"How short work fares beside more long work than a pool holds."`
	Spread   measureSpread   `cmd:"" help:"Time from the append of a change until every node has it in force."`
	Control  measureControl  `cmd:"" help:"What control costs a node of an idle fleet."`
	Size     measureSize     `cmd:"" help:"How state and its handling grow with the fleet."`
}

// table returns aligned text of rows whose cells are separated by tabs.
func table(rows ...string) string {
	var text strings.Builder
	writer := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		_, _ = fmt.Fprintln(writer, row)
	}
	_ = writer.Flush()
	return text.String()
}

// measurePath measures the request path.
type measurePath struct{}

// Run prints the comparison.
func (c *measurePath) Run(e *env) error {
	p, err := gauge.MeasurePath(e.ctx)
	if err != nil {
		return err
	}
	row := func(name string, way gauge.RequestCost) string {
		return fmt.Sprintf("%s\t%s\t%s\t%s", name, way.P50, way.P99, way.CPU)
	}
	ratio := func(a, b time.Duration) float64 { return float64(a) / float64(b) }
	text := table("WAY\tP50\tP99\tCPU A REQUEST", row("direct", p.Direct), row("through a node", p.Through),
		fmt.Sprintf("ratio\t%.2f\t%.2f\t%.2f", ratio(p.Through.P50, p.Direct.P50), ratio(p.Through.P99, p.Direct.P99), ratio(p.Through.CPU, p.Direct.CPU)))
	text += fmt.Sprintf("%d requests; %.0f requests a second on one core of a node; %d bytes an idle connection\n", p.Requests, p.PerCore, p.ConnectionBytes)
	return e.print(p, text)
}

// measureBlocking measures short work beside long work.
type measureBlocking struct{}

// Run prints a row for each class of the long work's route.
func (c *measureBlocking) Run(e *env) error {
	results, err := gauge.MeasureBlocking(e.ctx)
	if err != nil {
		return err
	}
	rows := []string{"CLASS OF LONG WORK\tSHORT P50 ALONE\tP50\tP99\tSHORT ANSWERED\tREFUSED\tLONG ANSWERED"}
	for _, b := range results {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%d\t%d\t%d", b.Class, b.Alone, b.P50, b.P99, b.Short, b.NotRun, b.Long))
	}
	return e.print(results, table(rows...))
}

// measureSpread measures the spread of changes.
type measureSpread struct {
	Nodes   int `help:"Entry nodes." default:"8"`
	Hosts   int `help:"Worker hosts." default:"52"`
	Pools   int `help:"Pools." default:"6"`
	Changes int `help:"Changes to publish." default:"100"`
}

// Run prints the time that changes took.
func (c *measureSpread) Run(e *env) error {
	s, err := gauge.MeasureRollout(e.ctx, c.Nodes, c.Hosts, c.Pools, c.Changes)
	if err != nil {
		return err
	}
	text := fmt.Sprintf("%d changes, %d nodes, %d hosts: p50 %s, max %s\n", s.Changes, s.Nodes, s.Hosts, s.P50, s.Max)
	return e.print(s, text)
}

// measureControl measures the cost of control.
type measureControl struct {
	Nodes  []int         `help:"Numbers of entry nodes." default:"8,32,64"`
	Hosts  int           `help:"Worker hosts." default:"730"`
	Pools  int           `help:"Pools." default:"22"`
	Settle time.Duration `help:"Time before the measurement begins." default:"60s"`
}

// Run prints a row for each number of nodes.
func (c *measureControl) Run(e *env) error {
	rows := []string{"NODES\tHOSTS\tBYTES/S A NODE\tCPU % OF A CORE\tMEMORY A NODE"}
	var all []*gauge.ControlPlaneResult
	for _, nodes := range c.Nodes {
		m, err := gauge.MeasureControlPlane(e.ctx, nodes, c.Hosts, c.Pools, c.Settle)
		if err != nil {
			return err
		}
		all = append(all, m)
		rows = append(rows, fmt.Sprintf("%d\t%d\t%.0f\t%.2f\t%d", m.Nodes, m.Hosts, m.BytesPerSecond, m.CPUPercent, m.MemoryBytes))
	}
	return e.print(all, table(rows...))
}

// measureSize measures the growth of state.
type measureSize struct {
	Hosts []int `help:"Numbers of worker hosts." default:"50,200,730,2000"`
	Pools int   `help:"Pools." default:"22"`
}

// Run prints a row for each number of hosts.
func (c *measureSize) Run(e *env) error {
	rows := []string{"HOSTS\tFOLDER\tCHANGE\tSNAPSHOT\tLIST\tSTATE\tFOLD\tDECODE"}
	var all []*gauge.StateResult
	for _, hosts := range c.Hosts {
		m, err := gauge.MeasureState(hosts, c.Pools)
		if err != nil {
			return err
		}
		all = append(all, m)
		rows = append(rows, fmt.Sprintf("%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s", m.Hosts, m.FolderBytes, m.ChangeBytes, m.SnapshotBytes, m.ListBytes, m.StateBytes, m.Fold, m.Decode))
	}
	return e.print(all, table(rows...))
}
