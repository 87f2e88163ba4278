package replay

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// Format is the current version of the record format. Newer ones are rejected.
const Format = 1

// maxRecordBytes is the largest encoded record that is written or decoded.
const maxRecordBytes = 4 << 20

// Record is the payload of a log entry, encoded as JSON.
type Record struct {
	Format int
	// RequestID identifies the request. A writer that lost the response appends
	// the record again with the same ID, and duplicates are ignored.
	RequestID string
	// Writer names the node or operator that wrote the record.
	Writer string
	// Publish is a configuration change to publish.
	Publish *Change `json:",omitempty"`
}

// Change is a change to the configuration of revision Base.
type Change struct {
	// Base is the revision that the change is based on; 0 is the empty
	// configuration.
	Base int64
	// Set maps the names of added and modified files to their text.
	Set map[string]string `json:",omitempty"`
	// Removed lists the names of deleted files.
	Removed []string `json:",omitempty"`
}

// EncodeRecord returns the record as stored in the log.
func EncodeRecord(record Record) ([]byte, error) {
	data, err := json.Marshal(record)
	if err != nil {
		return nil, errors.Wrap(err, "encoding record")
	}
	if len(data) > maxRecordBytes {
		return nil, errors.Errorf("record has %d bytes, more than the limit of %d", len(data), maxRecordBytes)
	}
	return data, nil
}

// DecodeRecord parses a record. It returns a FormatError for a record of a
// newer format.
func DecodeRecord(data []byte) (Record, error) {
	var record Record
	if len(data) > maxRecordBytes {
		return record, errors.Errorf("record of %d bytes is too large", len(data))
	}
	if err := json.Unmarshal(data, &record); err != nil {
		return record, errors.Wrap(err, "decoding record")
	}
	if record.Format > Format {
		return record, &FormatError{Format: record.Format}
	}
	if record.Format < 1 || record.RequestID == "" {
		return record, errors.New("record has no format or no request ID")
	}
	return record, nil
}

// FormatError reports a record written by a newer version of the program. A
// node must stop there: skipping the record would make its state diverge from
// that of the other nodes.
type FormatError struct {
	Format int
}

// Error implements error.
func (e *FormatError) Error() string {
	return errors.Errorf("unsupported record format %d; the newest supported format is %d", e.Format, Format).Error()
}
