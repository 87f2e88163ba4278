package fold

import (
	"encoding/binary"
	"fmt"
	"maps"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"rattanpath/config"
	"rattanpath/core"
)

// maxOutcomes bounds how many outcomes of publishing are kept; at 3,400
// changes a day it covers more than a day.
const maxOutcomes = 4096

// Outcome says what the fold made of a published change.
type Outcome struct {
	RequestID string
	Writer    string
	// Offset is where the record stands in the log.
	Offset   int64
	Accepted bool
	// Reason says why the change was refused.
	Reason string `json:",omitempty"`
}

// State is the fleet's state after all records below Next. A state is never
// changed once another goroutine can see it; Apply makes a new one.
type State struct {
	// Next is the offset of the first record not yet folded.
	Next int64
	// Digest is a hash over every record so far, each chained to the one
	// before; states that end at the same offset have the same digest.
	Digest uint64
	// Revision is the number of the configuration in force: one more than the
	// offset of the record that brought it, and 0 while there is none.
	Revision int64
	// Writer names who published the configuration in force.
	Writer string
	Files  config.Files
	// Outcomes are the newest outcomes, the oldest first.
	Outcomes []Outcome

	declaration *config.Declaration
}

// New returns the state before any record.
func New() *State {
	return &State{Files: config.Files{}}
}

// Declaration returns the configuration in force, or nil while there is none.
func (s *State) Declaration() *config.Declaration { return s.declaration }

// Outcome returns the outcome of a request, if it is still kept.
func (s *State) Outcome(requestID string) (Outcome, bool) {
	for _, outcome := range s.Outcomes {
		if outcome.RequestID == requestID {
			return outcome, true
		}
	}
	return Outcome{}, false
}

// Apply returns the state after one more record. The entry must be the next
// one; a gap is an error, and so is a record of a newer format. A record that
// is damaged or breaks a rule folds to nothing.
func (s *State) Apply(entry core.Entry) (*State, error) {
	if entry.Offset != s.Next {
		return nil, errors.Errorf("record %d follows a state that ends at %d", entry.Offset, s.Next)
	}
	after := *s
	after.Next = entry.Offset + 1
	after.Digest = chain(s.Digest, entry)
	record, err := DecodeRecord(entry.Data)
	var format *FormatError
	switch {
	case errors.As(err, &format):
		return nil, err
	case err != nil || record.Publish == nil:
		return &after, nil
	}
	if _, seen := s.Outcome(record.RequestID); seen {
		return &after, nil
	}
	reason := after.publish(entry.Offset, record)
	after.remember(Outcome{
		RequestID: record.RequestID,
		Writer:    record.Writer,
		Offset:    entry.Offset,
		Accepted:  reason == "",
		Reason:    reason,
	})
	return &after, nil
}

func chain(digest uint64, entry core.Entry) uint64 {
	var head [16]byte
	binary.LittleEndian.PutUint64(head[:8], digest)
	binary.LittleEndian.PutUint64(head[8:], uint64(entry.Offset))
	hash := xxhash.New()
	_, _ = hash.Write(head[:])
	_, _ = hash.Write(entry.Data)
	return hash.Sum64()
}

// publish brings a change in force, or returns why it can't be.
func (s *State) publish(offset int64, record Record) string {
	change := record.Publish
	if change.Base != s.Revision {
		return fmt.Sprintf("made against revision %d; %s published revision %d first", change.Base, s.Writer, s.Revision)
	}
	files := ApplyChange(s.Files, *change)
	declaration, err := s.declaration.Reload(files)
	if err != nil {
		return "invalid: " + err.Error()
	}
	s.Revision = offset + 1
	s.Writer = record.Writer
	s.Files = files
	s.declaration = declaration
	return ""
}

func (s *State) remember(outcome Outcome) {
	first := max(0, len(s.Outcomes)+1-maxOutcomes)
	kept := make([]Outcome, 0, len(s.Outcomes)+1)
	kept = append(kept, s.Outcomes[first:]...)
	s.Outcomes = append(kept, outcome)
}

// ApplyChange returns the files after a change.
func ApplyChange(files config.Files, change Publish) config.Files {
	after := maps.Clone(files)
	maps.Copy(after, change.Set)
	for _, name := range change.Removed {
		delete(after, name)
	}
	return after
}

// ChangeBetween returns the change that turns one set of files into another.
func ChangeBetween(base int64, from, to config.Files) Publish {
	change := Publish{Base: base, Set: make(map[string]string)}
	for _, name := range to.Names() {
		if text, exists := from[name]; !exists || text != to[name] {
			change.Set[name] = to[name]
		}
	}
	for _, name := range from.Names() {
		if _, exists := to[name]; !exists {
			change.Removed = append(change.Removed, name)
		}
	}
	return change
}
