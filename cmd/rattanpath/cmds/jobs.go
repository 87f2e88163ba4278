package cmds

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"rattanpath/query"
	"rattanpath/views"
)

// managementFlags are the flags of commands that query a management node.
type managementFlags struct {
	Node    string        `help:"Admin address of a management node, IP:port." required:"" env:"RATTANPATH_NODE"`
	Timeout time.Duration `help:"Time after which the node counts as unreachable." default:"3s"`
}

func (m *managementFlags) client() *query.Client { return query.New(m.Timeout) }

// jobsCommand groups the commands on jobs.
type jobsCommand struct {
	List    jobsListCommand    `cmd:"" help:"List the jobs of a service, or of all services, newest first."`
	Explain jobsExplainCommand `cmd:"" help:"Show everything known about a job, and what it is waiting for."`
	Cancel  jobsCancelCommand  `cmd:"" help:"Cancel a job."`
}

type jobsListCommand struct {
	managementFlags
	Service string `help:"List only the jobs of this service."`
}

// Run prints the jobs.
func (c *jobsListCommand) Run(e *env) error {
	jobs, err := c.client().Jobs(e.ctx, c.Node, c.Service)
	if err != nil {
		return err
	}
	return e.print(jobs, jobsTable(jobs))
}

type jobsExplainCommand struct {
	managementFlags
	ID string `arg:"" help:"ID of the job."`
}

// Run prints the job.
func (c *jobsExplainCommand) Run(e *env) error {
	detail, err := c.client().Explain(e.ctx, c.Node, c.ID)
	if err != nil {
		return err
	}
	return e.print(detail, jobText(detail))
}

type jobsCancelCommand struct {
	managementFlags
	ID string `arg:"" help:"ID of the job."`
}

// Run cancels the job.
func (c *jobsCancelCommand) Run(e *env) error {
	job, err := c.client().Cancel(e.ctx, c.Node, c.ID)
	if err != nil {
		return err
	}
	return e.print(job, fmt.Sprintf("job %s of queue %s is cancelled; it was %s\n", job.ID, job.Queue, job.Phase))
}

// hostsCommand shows the hosts of pools.
type hostsCommand struct {
	managementFlags
	Service string `help:"Show only the hosts of this service."`
}

// Run prints the hosts.
func (c *hostsCommand) Run(e *env) error {
	pools, err := c.client().Pools(e.ctx, c.Node, c.Service)
	if err != nil {
		return err
	}
	return e.print(pools, hostsTable(pools))
}

// newTable returns a writer of aligned columns.
func newTable(text *strings.Builder) *tabwriter.Writer {
	return tabwriter.NewWriter(text, 0, 0, 2, ' ', 0)
}

func jobsTable(jobs []views.Job) string {
	var text strings.Builder
	table := newTable(&text)
	_, _ = fmt.Fprintln(table, "JOB\tSERVICE\tPHASE\tAGE\tWAITING\tRUNNING\tDONE\tQUEUE")
	for _, job := range jobs {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\n", job.ID, job.Service, job.Phase, formatAge(job.Age), job.Waiting, job.Running, job.Done, job.Queue)
	}
	_ = table.Flush()
	return text.String()
}

func jobText(detail views.JobDetail) string {
	var text strings.Builder
	_, _ = fmt.Fprintf(&text, "job %s of queue %s, service %s: %s, taken in %s ago\n", detail.ID, detail.Queue, detail.Service, detail.Phase, formatAge(detail.Age))
	_, _ = fmt.Fprintf(&text, "its owner was last confirmed %s ago\n", formatAge(detail.Confirmed))
	if detail.Why != "" {
		_, _ = fmt.Fprintf(&text, "it waits: %s\n", detail.Why)
	}
	table := newTable(&text)
	if len(detail.Tasks) > 0 {
		_, _ = fmt.Fprintln(table, "ROUND\tSTEP\tTASK\tSTATE\tRUN\tFAILED\tPERCENT\tHOST\tDOUBT")
	}
	for _, task := range detail.Tasks {
		_, _ = fmt.Fprintf(table, "%d\t%d\t%d\t%s\t%d\t%d\t%d\t%s\t%s\n", task.Round, task.Step, task.Index, task.State, task.Run, task.Failed, task.Percent, task.Host, task.Doubt)
	}
	_ = table.Flush()
	return text.String()
}

func hostsTable(pools []views.Pool) string {
	var text strings.Builder
	table := newTable(&text)
	_, _ = fmt.Fprintln(table, "SERVICE\tHOST\tCORES\tUSED\tRUNS\tLASTING\tSTATE")
	for _, pool := range pools {
		for _, host := range pool.Hosts {
			_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\t%s\n", pool.Service, host.ID, formatCores(host.CPU), formatCores(host.UsedCPU), host.Runs, host.Lasting, host.State)
		}
	}
	_ = table.Flush()
	return text.String() + interferenceTable(pools)
}

// interferenceTable returns a table of the images that are known to slow each other down or not
// to, or "" if none are.
func interferenceTable(pools []views.Pool) string {
	var text strings.Builder
	table := newTable(&text)
	for _, pool := range pools {
		for i, pair := range pool.Interference {
			if i == 0 {
				_, _ = fmt.Fprintln(table, "\nSERVICE\tSERVING\tBESIDE\tBEST-EFFORT\tVERDICT\tSLOWDOWN\tCONFIDENCE\tAGE")
			}
			_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%t\t%s\t%.2f\t%.1f\t%s\n", pool.Service, pair.Serving, pair.Image, pair.BestEffort, pair.Verdict, pair.Slowdown, pair.Confidence, formatAge(pair.Age))
		}
	}
	_ = table.Flush()
	return text.String()
}

// formatCores formats a CPU amount, in thousandths of a core, as cores.
func formatCores(cpu int64) string { return fmt.Sprintf("%.1f", float64(cpu)/1000) }

// formatAge formats the time since an event; a negative one means that the event
// never happened.
func formatAge(d time.Duration) string {
	if d < 0 {
		return "never"
	}
	return d.Round(time.Millisecond).String()
}

// nodeCommand shows the state of a management node.
type nodeCommand struct {
	managementFlags
}

// Run prints the node's state.
func (c *nodeCommand) Run(e *env) error {
	node, err := c.client().Node(e.ctx, c.Node)
	if err != nil {
		return err
	}
	return e.print(node, nodeText(node))
}

func nodeText(node views.Node) string {
	var text strings.Builder
	_, _ = fmt.Fprintf(&text, "node %s\n", node.Node)
	table := newTable(&text)
	_, _ = fmt.Fprintf(table, "configuration\tversion %d\tread %s ago\n", node.Version, formatAge(node.ConfigAge))
	_, _ = fmt.Fprintf(table, "hosts\t\tread %s ago\n", formatAge(node.HostsAge))
	_, _ = fmt.Fprintf(table, "membership\t\tconfirmed %s ago\n", formatAge(node.MembersAge))
	_, _ = fmt.Fprintf(table, "depot\t%t\t\n", node.Depot)
	for _, cell := range node.Cells {
		_, _ = fmt.Fprintf(table, "cell %s\tepoch %d, %d of %d jobs open\tconfirmed %s ago\n", cell.Service, cell.Epoch, cell.Open, cell.Kept, formatAge(cell.Confirmed))
	}
	for _, limits := range node.Clients {
		_, _ = fmt.Fprintf(table, "clients of %s\t%d of %d connections, %d of %d KB held\t%s\n", limits.Listener,
			limits.Connections, limits.MaxConnections, limits.Bytes>>10, limits.MaxBytes>>10, refusalsText(limits.Refusals))
	}
	_ = table.Flush()
	return text.String()
}

// refusalsText lists the numbers of refused clients by reason.
func refusalsText(refusals map[string]uint64) string {
	if len(refusals) == 0 {
		return "none refused"
	}
	var parts []string
	for _, reason := range slices.Sorted(maps.Keys(refusals)) {
		parts = append(parts, fmt.Sprintf("%d %s", refusals[reason], reason))
	}
	return "refused: " + strings.Join(parts, ", ")
}
