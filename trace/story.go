package trace

import (
	"bytes"
	"io"
	"slices"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/pkg/errors"
)

// around is the time before the first and after the last line of a job in which
// lines of its owner and its hosts belong to the story.
const around = time.Second

// maxLine bounds a line of a log.
const maxLine = 1 << 20

// Field is a key and its value in a line of a log.
type Field struct {
	Key   string
	Value string
}

// Line is a line of a log.
type Line struct {
	Time    time.Time
	Node    string
	Message string
	// Fields are all others, in their order.
	Fields []Field
}

// Get returns the value of a field, or nothing.
func (l *Line) Get(key string) string {
	for _, field := range l.Fields {
		if field.Key == key {
			return field.Value
		}
	}
	return ""
}

// Read returns the lines of a log. What stands before a line's time is left out,
// and so are lines without one. The error is that of the reader.
func Read(in io.Reader) ([]Line, error) {
	data, err := io.ReadAll(in)
	if err != nil {
		return nil, errors.Wrap(err, "reading a log")
	}
	var lines []Line
	for _, raw := range bytes.Split(data, []byte("\n")) {
		at := bytes.Index(raw, []byte("time="))
		if at < 0 || len(raw) > maxLine {
			continue
		}
		if line, ok := parse(raw[at:]); ok {
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

// Story returns the lines that tell of a job, in the order of time: its own, and
// those of the cell that decided for it and of the hosts that it ran on, while it
// was under way.
func Story(lines []Line, id string) []Line {
	own := slices.DeleteFunc(slices.Clone(lines), func(l Line) bool { return l.Get("job") != id })
	if len(own) == 0 {
		return nil
	}
	slices.SortStableFunc(own, byTime)
	first, last := own[0].Time.Add(-around), own[len(own)-1].Time.Add(around)
	services, hosts := make(map[string]bool), make(map[string]bool)
	for _, line := range own {
		services[line.Get("service")] = true
		hosts[line.Get("host")] = true
	}
	delete(services, "")
	delete(hosts, "")
	story := slices.DeleteFunc(slices.Clone(lines), func(l Line) bool {
		if l.Get("job") != "" {
			return l.Get("job") != id
		}
		return l.Time.Before(first) || l.Time.After(last) || !services[l.Get("service")] && !hosts[l.Get("host")] || l.Get("host") != "" && !hosts[l.Get("host")]
	})
	slices.SortStableFunc(story, byTime)
	return story
}

func byTime(a, b Line) int { return a.Time.Compare(b.Time) }
