package fold

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// Format is the version of records that this program writes and understands.
const Format = 1

// maxRecordBytes bounds a record that is worth decoding.
const maxRecordBytes = 4 << 20

// Record is one entry of the log, as JSON.
type Record struct {
	Format int
	// RequestID is the same in every copy of a record that a writer sends
	// again after a lost answer.
	RequestID string
	// Writer names the node or operator that wrote the record.
	Writer string
	// Publish is a change of the configuration.
	Publish *Publish `json:",omitempty"`
}

// Publish changes the configuration that is in force at revision Base.
type Publish struct {
	// Base is the revision that the change was made against; 0 is the empty
	// configuration.
	Base int64
	// Set holds the text of files that are new or different.
	Set map[string]string `json:",omitempty"`
	// Removed names files that go away.
	Removed []string `json:",omitempty"`
}

// EncodeRecord returns the record as it is kept in the log.
func EncodeRecord(record Record) ([]byte, error) {
	data, err := json.Marshal(record)
	if err != nil {
		return nil, errors.Wrap(err, "encoding a record")
	}
	if len(data) > maxRecordBytes {
		return nil, errors.Errorf("the record has %d bytes; at most %d are allowed", len(data), maxRecordBytes)
	}
	return data, nil
}

// DecodeRecord parses a record and refuses what this program does not
// understand.
func DecodeRecord(data []byte) (Record, error) {
	var record Record
	if len(data) > maxRecordBytes {
		return record, errors.Errorf("the record has %d bytes", len(data))
	}
	if err := json.Unmarshal(data, &record); err != nil {
		return record, errors.Wrap(err, "the record is not JSON")
	}
	if record.Format > Format {
		return record, &FormatError{Format: record.Format}
	}
	if record.Format < 1 || record.RequestID == "" {
		return record, errors.New("the record has no format or no request id")
	}
	return record, nil
}

// FormatError says that a record was written by a newer program. A node that
// meets one must stop, since guessing would part its state from the others'.
type FormatError struct {
	Format int
}

// Error names the format.
func (e *FormatError) Error() string {
	return errors.Errorf("the record has format %d; this program understands %d", e.Format, Format).Error()
}
