package replay

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"rattanpath/config"
)

// chunkBytes is the largest payload of a chunk.
const chunkBytes = 256 << 10

// maxChunks is the largest number of chunks in a snapshot.
const maxChunks = 256

// Chunk is one part of a snapshot, as stored in the log.
type Chunk struct {
	Format int
	// Next is the offset of the first record after the snapshot.
	Next int64
	// Hash is the xxHash of the complete snapshot, in hexadecimal.
	Hash string
	// Index is the position of the chunk, from 0 to Count-1.
	Index int
	Count int
	Data  []byte
}

// Encode returns the state as JSON; equal states have equal encodings.
func (s *State) Encode() ([]byte, error) {
	data, err := json.Marshal(s)
	return data, errors.Wrap(err, "encoding snapshot")
}

// Hash returns the xxHash of an encoded state, in hexadecimal.
func Hash(data []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(data))
}

// Decode verifies the hash of an encoded state and parses it.
func Decode(data []byte, hash string) (*State, error) {
	if got := Hash(data); got != hash {
		return nil, errors.Errorf("snapshot hash mismatch: got %s, want %s", got, hash)
	}
	state := New()
	if err := json.Unmarshal(data, state); err != nil {
		return nil, errors.Wrap(err, "decoding snapshot")
	}
	if state.Files == nil {
		state.Files = config.Files{}
	}
	if state.Revision == 0 {
		return state, nil
	}
	declaration, err := config.Load(state.Files)
	if err != nil {
		return nil, errors.Wrap(err, "invalid configuration in snapshot")
	}
	state.declaration = declaration
	return state, nil
}

// Chunks splits the encoded state into chunks for the log.
func (s *State) Chunks() ([]Chunk, error) {
	data, err := s.Encode()
	if err != nil {
		return nil, err
	}
	count := (len(data) + chunkBytes - 1) / chunkBytes
	if count > maxChunks {
		return nil, errors.Errorf("snapshot has %d bytes, more than the limit of %d", len(data), maxChunks*chunkBytes)
	}
	hash := Hash(data)
	chunks := make([]Chunk, count)
	for i := range chunks {
		end := min((i+1)*chunkBytes, len(data))
		chunks[i] = Chunk{Format: Format, Next: s.Next, Hash: hash, Index: i, Count: count, Data: data[i*chunkBytes : end]}
	}
	return chunks, nil
}

// Assembler rebuilds snapshots from chunks. Chunks may arrive out of order,
// repeatedly, and interleaved with those of other snapshots.
type Assembler struct {
	chunks map[string][][]byte
	// Newest is the newest complete snapshot so far, or nil.
	Newest *State
}

// NewAssembler returns an empty assembler.
func NewAssembler() *Assembler {
	return &Assembler{chunks: make(map[string][][]byte)}
}

// Add adds an encoded chunk. It ignores corrupt chunks and those of snapshots
// that are no newer than Newest.
func (a *Assembler) Add(data []byte) {
	var chunk Chunk
	if json.Unmarshal(data, &chunk) != nil || chunk.Format != Format {
		return
	}
	if chunk.Count < 1 || chunk.Count > maxChunks || chunk.Index < 0 || chunk.Index >= chunk.Count {
		return
	}
	if a.Newest != nil && chunk.Next <= a.Newest.Next {
		return
	}
	key := fmt.Sprintf("%d/%s/%d", chunk.Next, chunk.Hash, chunk.Count)
	if a.chunks[key] == nil {
		a.chunks[key] = make([][]byte, chunk.Count)
	}
	a.chunks[key][chunk.Index] = chunk.Data
	a.assemble(key, chunk)
}

// assemble decodes the snapshot with the given key once all its chunks are
// present.
func (a *Assembler) assemble(key string, chunk Chunk) {
	var data []byte
	for _, part := range a.chunks[key] {
		if part == nil {
			return
		}
		data = append(data, part...)
	}
	delete(a.chunks, key)
	state, err := Decode(data, chunk.Hash)
	if err != nil || state.Next != chunk.Next {
		return
	}
	a.Newest = state
}
