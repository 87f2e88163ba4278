package cmds

import (
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"rattanpath/trace"
)

// traceCommand shows the timeline of a job, assembled from logs.
type traceCommand struct {
	ID    string   `arg:"" help:"ID of the job."`
	Files []string `arg:"" optional:"" help:"Log files of nodes, in any order; standard input if none is given." type:"existingfile"`
}

// Run prints the timeline.
func (c *traceCommand) Run(e *env) error {
	lines, err := c.read()
	if err != nil {
		return err
	}
	timeline := trace.Timeline(lines, c.ID)
	if len(timeline) == 0 {
		return errors.Errorf("none of the %d log lines concerns job %s", len(lines), c.ID)
	}
	return e.print(timeline, timelineText(timeline))
}

func (c *traceCommand) read() ([]trace.Line, error) {
	if len(c.Files) == 0 {
		return trace.Read(os.Stdin)
	}
	var lines []trace.Line
	for _, path := range c.Files {
		read, err := readFile(path)
		if err != nil {
			return nil, err
		}
		lines = append(lines, read...)
	}
	return lines, nil
}

func readFile(path string) ([]trace.Line, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "opening a log file")
	}
	defer func() { _ = file.Close() }()
	lines, err := trace.Read(io.Reader(file))
	return lines, errors.Wrap(err, path)
}

// timelineText formats the lines, each with the time since the first one.
func timelineText(timeline []trace.Line) string {
	var text strings.Builder
	start := timeline[0].Time
	_, _ = fmt.Fprintf(&text, "from %s\n", start.UTC().Format(time.RFC3339Nano))
	for _, line := range timeline {
		_, _ = fmt.Fprintf(&text, "%9.3fs  %s  %s", line.Time.Sub(start).Seconds(), line.Node, line.Message)
		for _, field := range line.Fields {
			_, _ = fmt.Fprintf(&text, " %s=%q", field.Key, field.Value)
		}
		text.WriteString("\n")
	}
	return text.String()
}
