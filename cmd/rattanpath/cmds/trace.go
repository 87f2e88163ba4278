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

// traceCommand tells the story of a job from logs.
type traceCommand struct {
	ID    string   `arg:"" help:"The job's ID."`
	Files []string `arg:"" optional:"" help:"Logs of nodes, in any order; standard input without any." type:"existingfile"`
}

// Run prints the story.
func (c *traceCommand) Run(e *env) error {
	lines, err := c.read()
	if err != nil {
		return err
	}
	story := trace.Timeline(lines, c.ID)
	if len(story) == 0 {
		return errors.Errorf("none of the %d lines tells of job %s", len(lines), c.ID)
	}
	return e.print(story, storyText(story))
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
		return nil, errors.Wrap(err, "opening a log")
	}
	defer func() { _ = file.Close() }()
	lines, err := trace.Read(io.Reader(file))
	return lines, errors.Wrap(err, path)
}

// storyText writes each line with the time since the first.
func storyText(story []trace.Line) string {
	var text strings.Builder
	begun := story[0].Time
	_, _ = fmt.Fprintf(&text, "from %s\n", begun.UTC().Format(time.RFC3339Nano))
	for _, line := range story {
		_, _ = fmt.Fprintf(&text, "%9.3fs  %s  %s", line.Time.Sub(begun).Seconds(), line.Node, line.Message)
		for _, field := range line.Fields {
			_, _ = fmt.Fprintf(&text, " %s=%q", field.Key, field.Value)
		}
		text.WriteString("\n")
	}
	return text.String()
}
