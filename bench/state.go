package bench

import (
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"github.com/pkg/errors"

	"rattanpath/config"
	"rattanpath/core"
	"rattanpath/replay"
)

// StateResult holds the size of the replicated state and the time to process it,
// for one fleet size.
type StateResult struct {
	Hosts, Pools int
	// FolderBytes is the size of the declaration files.
	FolderBytes int
	// ChangeBytes is the size of the record that changes one setting.
	ChangeBytes int
	// SnapshotBytes is the size of an encoded state that holds as many outcomes as
	// a state retains.
	SnapshotBytes int
	// ListBytes is the size of the host list as JSON.
	ListBytes int
	// StateBytes is the memory that a decoded state occupies.
	StateBytes int64
	// Fold is the time to apply one change, and Decode the time to decode a
	// snapshot.
	Fold   time.Duration
	Decode time.Duration
}

const (
	appliedChanges = 10
	decodedStates  = 8
	// outcomeCount is the number of outcomes that a state retains at most.
	outcomeCount = 4096
)

// MeasureState measures the state of a fleet with the given numbers of hosts and
// pools.
func MeasureState(hosts, pools int) (*StateResult, error) {
	files := SyntheticFiles(hosts, pools, pools)
	result := &StateResult{Hosts: hosts, Pools: pools, ListBytes: listBytes(files)}
	for _, text := range files {
		result.FolderBytes += len(text)
	}
	state, err := publishedState(files)
	if err != nil {
		return nil, err
	}
	if err := result.measureApply(state, files); err != nil {
		return nil, err
	}
	for i := range outcomeCount {
		state.Outcomes = append(state.Outcomes, replay.Outcome{RequestID: fmt.Sprintf("00000000-0000-0000-0000-%012d", i), Writer: "operator", Accepted: true})
	}
	return result, result.measureSnapshot(state)
}

// publishedState returns the state after files were published.
func publishedState(files config.Files) (*replay.State, error) {
	data, err := replay.EncodeRecord(replay.Record{Format: replay.Format, RequestID: "first", Publish: &replay.Change{Set: files}})
	if err != nil {
		return nil, err
	}
	state, err := replay.New().Apply(core.Entry{Data: data})
	if err != nil {
		return nil, err
	}
	if state.Revision == 0 {
		return nil, errors.Errorf("the declarations were rejected: %+v", state.Outcomes)
	}
	return state, nil
}

func (s *StateResult) measureApply(state *replay.State, files config.Files) error {
	started := time.Now()
	for i := range appliedChanges {
		changedFiles := withChange(files, i)
		change := replay.NewChange(state.Revision, files, changedFiles)
		data, err := replay.EncodeRecord(replay.Record{Format: replay.Format, RequestID: fmt.Sprint("change-", i), Publish: &change})
		if err != nil {
			return err
		}
		s.ChangeBytes = len(data)
		state, err = state.Apply(core.Entry{Offset: state.Next, Data: data})
		if err != nil {
			return err
		}
		files = changedFiles
	}
	s.Fold = time.Since(started) / appliedChanges
	return nil
}

func (s *StateResult) measureSnapshot(state *replay.State) error {
	data, err := state.Encode()
	if err != nil {
		return err
	}
	s.SnapshotBytes = len(data)
	hash := replay.Hash(data)
	memoryBefore := memoryInUse()
	states := make([]*replay.State, decodedStates)
	started := time.Now()
	for i := range states {
		if states[i], err = replay.Decode(data, hash); err != nil {
			return err
		}
	}
	s.Decode = time.Since(started) / decodedStates
	s.StateBytes = (memoryInUse() - memoryBefore) / decodedStates
	runtime.KeepAlive(states)
	return nil
}

// listBytes returns the size of the JSON host list of the declared fleet, or 0 if
// the declarations are invalid.
func listBytes(files config.Files) int {
	declaration, err := config.Load(files)
	if err != nil {
		return 0
	}
	var hosts []core.Host
	for name, info := range declaration.Hosts {
		hosts = append(hosts, core.Host{Name: name, Role: core.RoleWorker, State: core.HostLive, DataCentre: info.DataCentre, Rack: info.Rack, Address: "10.100.100.100:8080"})
	}
	data, err := json.Marshal(hosts)
	if err != nil {
		return 0
	}
	return len(data)
}
