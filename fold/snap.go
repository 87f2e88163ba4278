package fold

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"rattanpath/config"
)

// chunkBytes is the payload of one chunk of a snapshot.
const chunkBytes = 256 << 10

// maxChunks bounds the chunks of a snapshot.
const maxChunks = 256

// Chunk is one part of a snapshot, as it is kept in the log.
type Chunk struct {
	Format int
	// Next is the offset of the first record that the snapshot leaves out.
	Next int64
	// Hash is the xxhash of the whole snapshot, in hexadecimal digits.
	Hash string
	// Index counts from 0 to Count-1.
	Index int
	Count int
	Data  []byte
}

// Encode returns the state as one block of bytes; equal states give equal
// blocks.
func (s *State) Encode() ([]byte, error) {
	data, err := json.Marshal(s)
	return data, errors.Wrap(err, "encoding a snapshot")
}

// Hash returns the hash of an encoded state.
func Hash(data []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(data))
}

// Decode parses an encoded state after checking its hash.
func Decode(data []byte, hash string) (*State, error) {
	if got := Hash(data); got != hash {
		return nil, errors.Errorf("the snapshot's hash is %s; want %s", got, hash)
	}
	state := New()
	if err := json.Unmarshal(data, state); err != nil {
		return nil, errors.Wrap(err, "the snapshot is not JSON")
	}
	if state.Files == nil {
		state.Files = config.Files{}
	}
	if state.Revision == 0 {
		return state, nil
	}
	declaration, err := config.Load(state.Files)
	if err != nil {
		return nil, errors.Wrap(err, "the snapshot's configuration is invalid")
	}
	state.declaration = declaration
	return state, nil
}

// Chunks cuts the state into the parts that go into the log.
func (s *State) Chunks() ([]Chunk, error) {
	data, err := s.Encode()
	if err != nil {
		return nil, err
	}
	count := (len(data) + chunkBytes - 1) / chunkBytes
	if count > maxChunks {
		return nil, errors.Errorf("the snapshot has %d bytes; at most %d are allowed", len(data), maxChunks*chunkBytes)
	}
	hash := Hash(data)
	chunks := make([]Chunk, count)
	for i := range chunks {
		end := min((i+1)*chunkBytes, len(data))
		chunks[i] = Chunk{Format: Format, Next: s.Next, Hash: hash, Index: i, Count: count, Data: data[i*chunkBytes : end]}
	}
	return chunks, nil
}

// Assembler puts snapshots together from chunks that may come in any order,
// more than once, and mixed with those of other snapshots.
type Assembler struct {
	parts map[string][][]byte
	// Newest is the newest whole snapshot so far, or nil.
	Newest *State
}

// NewAssembler returns an assembler without chunks.
func NewAssembler() *Assembler {
	return &Assembler{parts: make(map[string][][]byte)}
}

// Add takes one chunk as read from the log. A damaged chunk, or one older than
// the newest whole snapshot, is left out.
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
	if a.parts[key] == nil {
		a.parts[key] = make([][]byte, chunk.Count)
	}
	a.parts[key][chunk.Index] = chunk.Data
	a.finish(key, chunk)
}

func (a *Assembler) finish(key string, chunk Chunk) {
	var whole []byte
	for _, part := range a.parts[key] {
		if part == nil {
			return
		}
		whole = append(whole, part...)
	}
	delete(a.parts, key)
	state, err := Decode(whole, chunk.Hash)
	if err != nil || state.Next != chunk.Next {
		return
	}
	a.Newest = state
}
