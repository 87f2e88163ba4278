package trace

import (
	"bytes"
	"io"
	"slices"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/pkg/errors"
)

// jobMargin extends the time span of a job's own lines on both sides. Lines of the
// job's cell and hosts within the extended span are part of its timeline.
const jobMargin = time.Second

// maxLineBytes is the maximum length of a log line; longer lines are skipped.
const maxLineBytes = 1 << 20

// Field is a key-value pair of a log line.
type Field struct {
	Key   string
	Value string
}

// Line is a parsed log line.
type Line struct {
	Time    time.Time
	Node    string
	Message string
	// Fields are the remaining key-value pairs except the level, in their order.
	Fields []Field
}

// Get returns the value of the first field with the key, or an empty string.
func (l *Line) Get(key string) string {
	for _, field := range l.Fields {
		if field.Key == key {
			return field.Value
		}
	}
	return ""
}

// Read parses a log in the logfmt format. It ignores any prefix before the time
// field of a line and skips lines that have no time or can't be parsed. It returns
// only errors of the reader.
func Read(in io.Reader) ([]Line, error) {
	data, err := io.ReadAll(in)
	if err != nil {
		return nil, errors.Wrap(err, "reading a log")
	}
	var lines []Line
	for _, raw := range bytes.Split(data, []byte("\n")) {
		start := bytes.Index(raw, []byte("time="))
		if start < 0 || len(raw) > maxLineBytes {
			continue
		}
		if line, ok := parse(raw[start:]); ok {
			lines = append(lines, line)
		}
	}
	return lines, nil
}

func parse(raw []byte) (Line, bool) {
	var line Line
	decoder := logfmt.NewDecoder(bytes.NewReader(raw))
	if !decoder.ScanRecord() {
		return line, false
	}
	for decoder.ScanKeyval() {
		key, value := string(decoder.Key()), string(decoder.Value())
		switch key {
		case "time":
			at, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return line, false
			}
			line.Time = at
		case "level":
		case "node":
			line.Node = value
		case "msg":
			line.Message = value
		default:
			line.Fields = append(line.Fields, Field{key, value})
		}
	}
	return line, decoder.Err() == nil && !line.Time.IsZero()
}

// Timeline returns the lines that concern a job, in time order: the job's own lines,
// and, within their extended span, the lines without a job that name a host of the
// job, or its service and no host.
func Timeline(lines []Line, id string) []Line {
	jobLines := slices.DeleteFunc(slices.Clone(lines), func(l Line) bool { return l.Get("job") != id })
	if len(jobLines) == 0 {
		return nil
	}
	slices.SortStableFunc(jobLines, byTime)
	first, last := jobLines[0].Time.Add(-jobMargin), jobLines[len(jobLines)-1].Time.Add(jobMargin)
	services, hosts := make(map[string]bool), make(map[string]bool)
	for _, line := range jobLines {
		services[line.Get("service")] = true
		hosts[line.Get("host")] = true
	}
	delete(services, "")
	delete(hosts, "")
	timeline := slices.DeleteFunc(slices.Clone(lines), func(l Line) bool {
		if l.Get("job") != "" {
			return l.Get("job") != id
		}
		return l.Time.Before(first) || l.Time.After(last) || !services[l.Get("service")] && !hosts[l.Get("host")] || l.Get("host") != "" && !hosts[l.Get("host")]
	})
	slices.SortStableFunc(timeline, byTime)
	return timeline
}

func byTime(a, b Line) int { return a.Time.Compare(b.Time) }
