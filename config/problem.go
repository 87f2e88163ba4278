package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Position is a place in a declaration file; lines and columns count from 1.
type Position struct {
	File   string
	Line   int
	Column int
}

// String formats the position as file:line:column.
func (p Position) String() string {
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

// Problem is one fault of a declaration.
type Problem struct {
	Position Position
	// Text says what is wrong and Mend what to do about it.
	Text string
	Mend string
}

// String formats the problem as one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: %s; %s", p.Position, p.Text, p.Mend)
}

// Problems is an error made of every fault found in a folder.
type Problems []Problem

// Error lists the problems, a line each.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

func (p *Problems) add(at Position, mend, format string, args ...any) {
	*p = append(*p, Problem{Position: at, Text: fmt.Sprintf(format, args...), Mend: mend})
}

// err returns the problems in the order of their positions, or nil if there
// are none.
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
