package cmds

import (
	"context"
	"fmt"
	"strings"
	"time"

	"rattanpath/core"
	"rattanpath/query"
	"rattanpath/remote"
	"rattanpath/views"
)

// entryNodes queries the entry nodes in the platform's host list.
type entryNodes struct {
	*remote.HostList
	client *query.Client
}

func newEntryNodes(platform string, timeout time.Duration) *entryNodes {
	return &entryNodes{HostList: remote.NewHostList(platform, timeout, nil), client: query.New(timeout)}
}

// Revision returns the active revision of a node.
func (n *entryNodes) Revision(ctx context.Context, host core.Host) (int64, error) {
	status, err := n.client.Status(ctx, host.AdminAddress)
	return status.Revision, err
}

// statusCommand shows the state of every entry node.
type statusCommand struct {
	Platform string        `help:"URL of the platform's host list." env:"RATTANPATH_PLATFORM" default:"http://127.0.0.1:7100"`
	Timeout  time.Duration `help:"Time after which a node counts as unreachable." default:"2s"`
}

// nodeStatus is the status of one node, or the reason why it is not available.
type nodeStatus struct {
	Node   string
	Status *views.Status `json:",omitempty"`
	Reason string        `json:",omitempty"`
}

// Run queries each entry node in the host list and prints a row per node.
func (c *statusCommand) Run(e *env) error {
	nodes := newEntryNodes(c.Platform, c.Timeout)
	hosts, err := nodes.Hosts(e.ctx)
	if err != nil {
		return err
	}
	var all []nodeStatus
	for _, host := range hosts {
		if host.Role != core.RoleEntry {
			continue
		}
		status, err := nodes.client.Status(e.ctx, host.AdminAddress)
		if err != nil {
			all = append(all, nodeStatus{Node: host.Name, Reason: err.Error()})
			continue
		}
		all = append(all, nodeStatus{Node: host.Name, Status: &status})
	}
	return e.print(all, statusTable(all))
}

func statusTable(all []nodeStatus) string {
	var text strings.Builder
	table := newTable(&text)
	_, _ = fmt.Fprintln(table, "NODE\tREADY\tREVISION\tLOG\tLOG AGE\tLIST AGE\tIN FLIGHT\tPEERS")
	for _, node := range all {
		if node.Status == nil {
			_, _ = fmt.Fprintf(table, "%s\tunavailable: %s\n", node.Node, node.Reason)
			continue
		}
		s := node.Status
		_, _ = fmt.Fprintf(table, "%s\t%t\t%d\t%s\t%s\t%s\t%d\t%d\n", s.Node, s.Ready, s.Revision, sourceState(s.Log), sourceAge(s.Log), sourceAge(s.Roster), s.InFlight, len(s.Peers))
	}
	_ = table.Flush()
	return text.String()
}

func sourceState(source views.Source) string {
	if source.Fresh {
		return "fresh"
	}
	return "failing"
}

func sourceAge(source views.Source) string {
	if source.Age < 0 {
		return "never"
	}
	return source.Age.Round(time.Millisecond).String()
}
