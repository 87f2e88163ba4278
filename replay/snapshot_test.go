package replay

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
)

// multiChunkState returns a state after the given number of records, too large
// for a single chunk.
func multiChunkState(t *testing.T, records int) *State {
	t.Helper()
	state := New()
	for i := range records {
		name := fmt.Sprintf("z%d.yaml", i)
		change := &Change{
			Base: state.Revision,
			Set:  map[string]string{"a.yaml": baseConfig, name: strings.Repeat("# padding\n", 20_000)},
		}
		record := Record{Format: Format, RequestID: name, Publish: change}
		state = apply(t, state, encodeEntry(t, int64(i), record))
	}
	if state.Revision != int64(records) {
		t.Fatalf("got revision %d, want %d: %+v", state.Revision, records, state.Outcomes)
	}
	return state
}

// encodeChunks returns a state's chunks as stored in the log.
func encodeChunks(t *testing.T, state *State) [][]byte {
	t.Helper()
	chunks, err := state.Chunks()
	if err != nil {
		t.Fatal(err)
	}
	encoded := make([][]byte, len(chunks))
	for i, chunk := range chunks {
		encoded[i], err = json.Marshal(chunk)
		if err != nil {
			t.Fatal(err)
		}
	}
	return encoded
}
