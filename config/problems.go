package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Position is a position in a declaration file; lines and columns start at 1.
type Position struct {
	File   string
	Line   int
	Column int
}

// String formats the position as file:line:column.
func (p Position) String() string {
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

// Problem is an error in a declaration file.
type Problem struct {
	Position Position
	// Text describes the error, and Fix how to correct it.
	Text string
	Fix  string
}

// String formats the problem as one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: %s; %s", p.Position, p.Text, p.Fix)
}

// Problems is an error that lists all problems found.
type Problems []Problem

// Error returns the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

func (p *Problems) add(pos Position, fix, format string, args ...any) {
	*p = append(*p, Problem{Position: pos, Text: fmt.Sprintf(format, args...), Fix: fix})
}

// err returns the problems sorted by position, or nil if there are none.
func (p Problems) err() error {
	if len(p) == 0 {
		return nil
	}
	slices.SortStableFunc(p, func(a, b Problem) int {
		return cmp.Or(
			cmp.Compare(a.Position.File, b.Position.File),
			cmp.Compare(a.Position.Line, b.Position.Line),
			cmp.Compare(a.Position.Column, b.Position.Column),
		)
	})
	return p
}
