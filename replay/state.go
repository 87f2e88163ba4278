package replay

import (
	"encoding/binary"
	"fmt"
	"maps"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"rattanpath/config"
	"rattanpath/core"
)

// maxOutcomes is the number of outcomes kept. At 3,400 changes a day they
// cover more than a day.
const maxOutcomes = 4096

// Outcome is the result of applying a record that publishes a change.
type Outcome struct {
	RequestID string
	Writer    string
	// Offset is the offset of the record in the log.
	Offset   int64
	Accepted bool
	// Reason is why the change was rejected; empty if it was accepted.
	Reason string `json:",omitempty"`
}

// State is the state of the fleet after all records below Next. It is
// immutable once shared between goroutines; Apply returns a new state.
type State struct {
	// Next is the offset of the first record not yet applied.
	Next int64
	// Digest is a hash chain over all records so far. Nodes with the same Next
	// have the same digest unless they diverged.
	Digest uint64
	// Revision identifies the active configuration: one more than the offset
	// of the record that published it, or 0 if there is none.
	Revision int64
	// Writer is the node or operator that published the active configuration.
	Writer string
	Files  config.Files
	// Outcomes are the most recent outcomes, oldest first.
	Outcomes []Outcome

	declaration *config.Declaration
}

// New returns the empty state, before any record.
func New() *State {
	return &State{Files: config.Files{}}
}

// Declaration returns the active configuration, or nil if there is none.
func (s *State) Declaration() *config.Declaration { return s.declaration }

// Outcome returns the outcome of a request, if it is still in Outcomes.
func (s *State) Outcome(requestID string) (Outcome, bool) {
	for _, outcome := range s.Outcomes {
		if outcome.RequestID == requestID {
			return outcome, true
		}
	}
	return Outcome{}, false
}

// Apply returns the state after the given entry, whose offset must be Next. It
// returns an error for any other offset and for a record of a newer format.
// Malformed and duplicate records change only Next and Digest; a change that
// is rejected also adds an outcome.
func (s *State) Apply(entry core.Entry) (*State, error) {
	if entry.Offset != s.Next {
		return nil, errors.Errorf("cannot apply record %d: next offset is %d", entry.Offset, s.Next)
	}
	next := *s
	next.Next = entry.Offset + 1
	next.Digest = nextDigest(s.Digest, entry)
	record, err := DecodeRecord(entry.Data)
	var formatErr *FormatError
	switch {
	case errors.As(err, &formatErr):
		return nil, err
	case err != nil || record.Publish == nil:
		return &next, nil
	}
	if _, duplicate := s.Outcome(record.RequestID); duplicate {
		return &next, nil
	}
	reason := next.applyPublish(entry.Offset, record)
	next.appendOutcome(Outcome{
		RequestID: record.RequestID,
		Writer:    record.Writer,
		Offset:    entry.Offset,
		Accepted:  reason == "",
		Reason:    reason,
	})
	return &next, nil
}

// nextDigest extends the hash chain by an entry.
func nextDigest(digest uint64, entry core.Entry) uint64 {
	var header [16]byte
	binary.LittleEndian.PutUint64(header[:8], digest)
	binary.LittleEndian.PutUint64(header[8:], uint64(entry.Offset))
	hash := xxhash.New()
	_, _ = hash.Write(header[:])
	_, _ = hash.Write(entry.Data)
	return hash.Sum64()
}

// applyPublish activates the published change, or returns why it is rejected.
func (s *State) applyPublish(offset int64, record Record) string {
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

// appendOutcome adds an outcome to a copy of the list, without the oldest if
// the list is full.
func (s *State) appendOutcome(outcome Outcome) {
	first := max(0, len(s.Outcomes)+1-maxOutcomes)
	outcomes := make([]Outcome, 0, len(s.Outcomes)+1)
	outcomes = append(outcomes, s.Outcomes[first:]...)
	s.Outcomes = append(outcomes, outcome)
}

// ApplyChange returns a copy of the files with the change applied.
func ApplyChange(files config.Files, change Change) config.Files {
	changed := maps.Clone(files)
	maps.Copy(changed, change.Set)
	for _, name := range change.Removed {
		delete(changed, name)
	}
	return changed
}

// NewChange returns the change from one set of files to another.
func NewChange(base int64, from, to config.Files) Change {
	change := Change{Base: base, Set: make(map[string]string)}
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
