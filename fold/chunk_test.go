package fold

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
)

// stateWithPadding returns a state after so many records, too large for one
// chunk.
func stateWithPadding(t *testing.T, records int) *State {
	t.Helper()
	state := New()
	for i := range records {
		name := fmt.Sprintf("z%d.yaml", i)
		change := &Publish{
			Base: state.Revision,
			Set:  map[string]string{"a.yaml": base, name: strings.Repeat("# padding\n", 20_000)},
		}
		record := Record{Format: Format, RequestID: name, Publish: change}
		state = apply(t, state, encode(t, int64(i), record))
	}
	if state.Revision != int64(records) {
		t.Fatalf("got revision %d, want %d: %+v", state.Revision, records, state.Outcomes)
	}
	return state
}

// jsonChunks returns a state's chunks as they are kept in the log.
func jsonChunks(t *testing.T, state *State) [][]byte {
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
