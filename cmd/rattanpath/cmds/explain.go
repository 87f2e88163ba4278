package cmds

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/pkg/errors"

	"rattanpath/queue"
	"rattanpath/views"
)

const (
	// keyVariable is the environment variable with the caller's API key. The key can't be given
	// on the command line, which other users of the machine can read.
	keyVariable = "RATTANPATH_KEY"
	// maxKeyBytes limits the file with the key, as headers of callers are.
	maxKeyBytes = 16 << 10
)

// requestExplainCommand explains what would be done with a caller's request.
type requestExplainCommand struct {
	managementFlags
	File    string `arg:"" optional:"" help:"File with the body of the request, as the caller would send it; needed for POST."`
	Host    string `required:"" help:"Host that the caller addresses."`
	Path    string `required:"" help:"Path of the request, as in its URL."`
	Method  string `default:"POST" help:"Method of the request: POST submits a job, GET queries it, DELETE cancels it."`
	KeyFile string `help:"File with the caller's API key. Without it, the environment variable RATTANPATH_KEY holds the key, or there is none."`
	JSON    bool   `help:"Print JSON, as --format=json does."`
}

// Run prints the explanation.
func (c *requestExplainCommand) Run(e *env) error {
	request, err := c.request()
	if err != nil {
		return err
	}
	explanation, err := c.client().ExplainRequest(e.ctx, c.Node, request)
	if err != nil {
		return err
	}
	e.json = e.json || c.JSON
	return e.print(explanation, explanationText(explanation))
}

// request returns the request to explain, with the hash of the key in place of the key.
func (c *requestExplainCommand) request() (views.ExplainRequest, error) {
	request := views.ExplainRequest{Host: c.Host, Method: strings.ToUpper(c.Method), Path: c.Path}
	if c.File != "" {
		body, err := readLimited(c.File, "the body", views.MaxExplainBody)
		if err != nil {
			return request, err
		}
		request.Body = body
	} else if request.Method == http.MethodPost {
		return request, errors.New("a file with the body of the job is needed")
	}
	key, err := c.readKey()
	if err != nil {
		return request, err
	}
	if key != "" {
		hash := queue.HashKey(key)
		request.KeyHash = hash[:]
	}
	return request, nil
}

// readKey returns the caller's key, or "" if there is none. Space around it is removed, as in a
// header.
func (c *requestExplainCommand) readKey() (string, error) {
	if c.KeyFile == "" {
		return strings.TrimSpace(os.Getenv(keyVariable)), nil
	}
	content, err := readLimited(c.KeyFile, "the key", maxKeyBytes)
	if err != nil {
		return "", err
	}
	key := strings.TrimSpace(string(content))
	if key == "" || strings.ContainsAny(key, "\r\n") {
		return "", errors.Errorf("the file with the key, %s, must hold one line", c.KeyFile)
	}
	return key, nil
}

// readLimited reads a file that must neither be empty nor larger than limit bytes.
func readLimited(path, what string, limit int64) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrapf(err, "the file with %s can't be read", what)
	}
	defer func() { _ = file.Close() }()
	content, err := io.ReadAll(io.LimitReader(file, limit+1))
	switch {
	case err != nil:
		return nil, errors.Wrapf(err, "the file with %s can't be read", what)
	case len(content) == 0:
		return nil, errors.Errorf("the file with %s, %s, is empty", what, path)
	case int64(len(content)) > limit:
		return nil, errors.Errorf("the file with %s, %s, is larger than %d bytes", what, path, limit)
	}
	return content, nil
}

// explanationText returns the explanation as lines, and tables of hosts.
func explanationText(x views.Explanation) string {
	var text strings.Builder
	line := func(name, format string, args ...any) {
		_, _ = fmt.Fprintf(&text, "%-13s %s\n", name, fmt.Sprintf(format, args...))
	}
	line("asked node", "%s, configuration %d", x.Node, x.Version)
	if x.Queue != "" {
		line("queue", "%s, service %s, priority %d", x.Queue, x.Service, x.Priority)
	}
	if x.Key != "" {
		line("key", "%s", x.Key)
	}
	if x.Organisation != "" {
		line("organisation", "%s", x.Organisation)
	}
	if x.Operation != "" {
		line("operation", "%s %s", x.Operation, x.JobID)
	}
	if x.Body != "" {
		line("body", "%s", x.Body)
	}
	if len(x.Asked) > 0 {
		line("services", "%s", strings.Join(x.Asked, ", "))
	}
	if x.Placement != nil {
		writePlacement(line, x.Placement)
	}
	line("response", "%d: %s", x.Status, x.Reason)
	if x.RetryAfter > 0 {
		line("retry after", "%s", formatAge(x.RetryAfter))
	}
	if x.Placement != nil {
		writePlacementHosts(&text, x.Placement)
	}
	return text.String()
}

func writePlacement(line func(name, format string, args ...any), p *views.Placement) {
	line("owner", "%s of service %s, epoch %d, confirmed %s ago", p.Node, p.Service, p.Epoch, formatAge(p.Confirmed))
	if p.Job != "" {
		line("job", "%s", p.Job)
	}
	if p.Refused != "" {
		line("refused", "%s", p.Refused)
	}
	if p.Start != "" {
		line("start", "%s", p.Start)
		line("ahead", "jobs that come first: %d", p.Ahead)
	}
	if p.Later+p.StepsOmitted > 0 {
		line("more steps", "%d wait for other steps, %d aren't shown", p.Later, p.StepsOmitted)
	}
}

// writePlacementHosts writes the hosts of each step and those that get no tasks at all.
func writePlacementHosts(text *strings.Builder, p *views.Placement) {
	for i := range p.Steps {
		s := &p.Steps[i]
		_, _ = fmt.Fprintf(text, "\nround %d, step %d: %d tasks wait; start: %s\n", s.Round, s.Step, s.Waiting, s.Start)
		table := newTable(text)
		if len(s.Hosts) > 0 {
			_, _ = fmt.Fprintln(table, "RANK\tHOST\tCOST\tPARTS")
		}
		for rank, h := range s.Hosts {
			_, _ = fmt.Fprintf(table, "%d\t%s\t%.3f\t%s\n", rank+1, h.ID, h.Cost, formatCosts(h.Costs))
		}
		_ = table.Flush()
		writeOmitted(text, s.HostsOmitted, "hosts that can run a task")
		writeRuledOut(text, "RULED OUT", s.RuledOut, s.RuledOutOmitted)
		writeOmitted(text, s.NotCompared, "usable hosts, which were not compared,")
	}
	if len(p.Unusable) > 0 {
		_, _ = fmt.Fprintln(text)
	}
	writeRuledOut(text, "UNUSABLE", p.Unusable, p.UnusableOmitted)
}

func writeRuledOut(text *strings.Builder, title string, hosts []views.RuledOutHost, omitted int) {
	table := newTable(text)
	if len(hosts) > 0 {
		_, _ = fmt.Fprintf(table, "%s\tREASON\n", title)
	}
	for _, h := range hosts {
		_, _ = fmt.Fprintf(table, "%s\t%s\n", h.ID, h.Reason)
	}
	_ = table.Flush()
	writeOmitted(text, omitted, "such hosts")
}

func writeOmitted(text *strings.Builder, count int, what string) {
	if count > 0 {
		_, _ = fmt.Fprintf(text, "%d more %s aren't shown\n", count, what)
	}
}

func formatCosts(parts []views.CostPart) string {
	var texts []string
	for _, part := range parts {
		texts = append(texts, fmt.Sprintf("%s %.3f", part.Name, part.Cost))
	}
	return strings.Join(texts, ", ")
}
