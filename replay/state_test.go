package replay

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"rattanpath/config"
	"rattanpath/core"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// A fixed seed makes the results reproducible.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// baseConfig is a complete fleet in which host h is in no pool.
const baseConfig = `
Racks: {R: {DataCentre: D, Hosts: [a, b, c, h]}}
Pools: {P: {Hosts: [a]}, Q: {Hosts: [b]}, S: {Hosts: [c]}}
Services: {V: {Pool: P, Budget: {MinReady: 0}, Routes: {A: {Path: /}}}}
`

// overlays are files that put host h into pools, or don't parse.
var overlays = map[string]string{
	"to P":    "Pools: {P: {Hosts: [a, h]}}\n",
	"to Q":    "Pools: {Q: {Hosts: [b, h]}}\n",
	"to both": "Pools: {P: {Hosts: [a, h]}, Q: {Hosts: [b, h]}}\n",
	"broken":  "Pools: [\n",
}

// modelState is the expected state, computed by a simple reference model from
// the complete history.
type modelState struct {
	revision int64
	files    config.Files
	accepted map[string]bool
}

func replayModel(history []Record) modelState {
	model := modelState{files: config.Files{}, accepted: make(map[string]bool)}
	for offset, record := range history {
		if _, seen := model.accepted[record.RequestID]; seen || record.Publish == nil {
			continue
		}
		files := maps.Clone(model.files)
		for name, text := range record.Publish.Set {
			files[name] = text
		}
		for _, name := range record.Publish.Removed {
			delete(files, name)
		}
		_, err := config.Load(files)
		accept := record.Publish.Base == model.revision && err == nil
		model.accepted[record.RequestID] = accept
		if accept {
			model.revision = int64(offset) + 1
			model.files = files
		}
	}
	return model
}

// drawHistory generates records of concurrent operators: current and stale
// base revisions, duplicates of earlier records, and invalid configurations.
func drawHistory(t *rapid.T) []Record {
	var history []Record
	revision := int64(0)
	for i := range rapid.IntRange(1, 12).Draw(t, "records") {
		if i > 0 && rapid.IntRange(0, 3).Draw(t, "copy") == 0 {
			history = append(history, history[rapid.IntRange(0, i-1).Draw(t, "of")])
			continue
		}
		change := &Change{Base: revision, Set: map[string]string{"a.yaml": baseConfig}}
		if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
			change.Base = int64(rapid.IntRange(0, i).Draw(t, "base"))
		}
		variant := rapid.SampledFrom([]string{"to P", "to Q", "to both", "broken", "none", "remove"}).Draw(t, "variant")
		switch variant {
		case "none":
		case "remove":
			change.Removed = []string{"b.yaml"}
		default:
			change.Set["b.yaml"] = overlays[variant]
		}
		record := Record{Format: Format, RequestID: fmt.Sprintf("r%d", i), Writer: "w", Publish: change}
		history = append(history, record)
		revision = replayModel(history).revision
	}
	return history
}

// TestApplyMatchesModel applies generated histories, restoring from snapshots
// at arbitrary points, and compares each state with the reference model.
func TestApplyMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := drawHistory(t)
		state, restored := New(), New()
		for offset, record := range history {
			entry := encodeEntry(t, int64(offset), record)
			before := state
			state = apply(t, state, entry)
			restored = apply(t, restored, entry)
			if rapid.IntRange(0, 4).Draw(t, "restart") == 0 {
				restored = snapshotRoundTrip(t, restored)
			}
			compareToModel(t, state, replayModel(history[:offset+1]))
			compareStates(t, state, restored)
			checkSinglePool(t, state)
			if state.Revision < before.Revision {
				t.Fatalf("got revision %d after revision %d, want it not to decrease", state.Revision, before.Revision)
			}
		}
	})
}

// testingTB is the part of testing.TB that rapid.T also implements.
type testingTB interface {
	Helper()
	Fatalf(format string, args ...any)
}

func encodeEntry(t testingTB, offset int64, record Record) core.Entry {
	t.Helper()
	data, err := EncodeRecord(record)
	if err != nil {
		t.Fatalf("encoding: %v", err)
	}
	return core.Entry{Offset: offset, Data: data}
}

func apply(t testingTB, state *State, entry core.Entry) *State {
	t.Helper()
	after, err := state.Apply(entry)
	if err != nil {
		t.Fatalf("applying %d: %v", entry.Offset, err)
	}
	return after
}

func snapshotRoundTrip(t testingTB, state *State) *State {
	t.Helper()
	data, err := state.Encode()
	if err != nil {
		t.Fatalf("encoding snapshot: %v", err)
	}
	decoded, err := Decode(data, Hash(data))
	if err != nil {
		t.Fatalf("decoding snapshot: %v", err)
	}
	return decoded
}

func compareToModel(t testingTB, state *State, want modelState) {
	t.Helper()
	if state.Revision != want.revision {
		t.Fatalf("got revision %d, want %d", state.Revision, want.revision)
	}
	if !maps.Equal(state.Files, want.files) {
		t.Fatalf("got files %v, want %v", state.Files, want.files)
	}
	got := make(map[string]bool)
	for _, outcome := range state.Outcomes {
		got[outcome.RequestID] = outcome.Accepted
	}
	if !maps.Equal(got, want.accepted) {
		t.Fatalf("got outcomes %v, want %v", got, want.accepted)
	}
}

func compareStates(t testingTB, a, b *State) {
	t.Helper()
	if a.Digest != b.Digest || a.Revision != b.Revision || !reflect.DeepEqual(a.Outcomes, b.Outcomes) {
		t.Fatalf("got states %+v and %+v, want equal digest, revision and outcomes", a, b)
	}
}

// checkSinglePool fails if a host is in two pools of the active configuration.
func checkSinglePool(t testingTB, state *State) {
	t.Helper()
	if state.Declaration() == nil {
		return
	}
	pools := make(map[string]string)
	for name, pool := range state.Declaration().Config.Pools {
		for _, host := range pool.Hosts {
			if other, twice := pools[host]; twice {
				t.Fatalf("got host %s in pools %s and %s, want one", host, other, name)
			}
			pools[host] = name
		}
	}
}

// TestApplyRejectsGapsAndNewerFormats checks the two errors that Apply
// returns.
func TestApplyRejectsGapsAndNewerFormats(t *testing.T) {
	if _, err := New().Apply(core.Entry{Offset: 1, Data: []byte("{}")}); err == nil {
		t.Error("got no error for a gap, want one")
	}
	_, err := New().Apply(core.Entry{Data: []byte(`{"Format":2,"RequestID":"r"}`)})
	if _, ok := err.(*FormatError); !ok {
		t.Errorf("got %v for a newer format, want a FormatError", err)
	}
}

// TestAssemblerAcceptsChunksInAnyOrder interleaves the chunks of two snapshots
// with a corrupt chunk, a repeated one and those of an outdated snapshot.
func TestAssemblerAcceptsChunksInAnyOrder(t *testing.T) {
	older, newer := multiChunkState(t, 3), multiChunkState(t, 5)
	assembler := NewAssembler()
	olderChunks, newerChunks := encodeChunks(t, older), encodeChunks(t, newer)
	if len(newerChunks) < 2 {
		t.Fatalf("got %d chunks, want several", len(newerChunks))
	}
	assembler.Add([]byte("damaged"))
	assembler.Add(newerChunks[1])
	for _, chunk := range olderChunks {
		assembler.Add(chunk)
	}
	if got, want := assembler.Newest.Next, older.Next; got != want {
		t.Errorf("got snapshot up to %d, want %d, the only complete one", got, want)
	}
	assembler.Add(newerChunks[1])
	for _, chunk := range newerChunks {
		assembler.Add(chunk)
	}
	if got, want := assembler.Newest.Digest, newer.Digest; got != want {
		t.Errorf("got digest %d, want %d", got, want)
	}
	for _, chunk := range olderChunks {
		assembler.Add(chunk)
	}
	if got, want := assembler.Newest.Next, newer.Next; got != want {
		t.Errorf("got snapshot up to %d after adding an older one, want %d", got, want)
	}
}

// FuzzApply checks that no record makes Apply panic or the revision decrease.
func FuzzApply(f *testing.F) {
	f.Add([]byte(`{"Format":1,"RequestID":"r","Publish":{"Base":1,"Set":{"a.yaml":"x"}}}`))
	f.Add([]byte(`{"Format":1,"RequestID":"r","Publish":{"Base":1,"Removed":["a.yaml"]}}`))
	f.Add([]byte(`null`))
	start := apply(f, New(), encodeEntry(f, 0, Record{Format: Format, RequestID: "first", Publish: &Change{Set: map[string]string{"a.yaml": baseConfig}}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		after, err := start.Apply(core.Entry{Offset: 1, Data: data})
		if err != nil {
			return
		}
		if after.Next != 2 || after.Revision < start.Revision || after.Declaration() == nil {
			t.Errorf("got next %d and revision %d, want 2 and at least %d", after.Next, after.Revision, start.Revision)
		}
		checkSinglePool(t, after)
	})
}

// FuzzAssembler checks that no chunk makes the assembler panic.
func FuzzAssembler(f *testing.F) {
	f.Add([]byte(`{"Format":1,"Next":1,"Hash":"x","Index":0,"Count":1,"Data":"e30="}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		assembler := NewAssembler()
		assembler.Add(data)
		if assembler.Newest != nil && assembler.Newest.Next == 0 {
			t.Errorf("got a snapshot up to offset 0, want none")
		}
	})
}
