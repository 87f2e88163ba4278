package gauge

import (
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"github.com/pkg/errors"

	"rattanpath/config"
	"rattanpath/core"
	"rattanpath/fold"
)

// Size is how state and its handling grow with the fleet.
type Size struct {
	Hosts, Pools int
	// FolderBytes is the text of the declarations.
	FolderBytes int
	// ChangeBytes is the record of a change of one setting.
	ChangeBytes int
	// SnapshotBytes is an encoded state after a full ring of outcomes.
	SnapshotBytes int
	// ListBytes is the host list as JSON.
	ListBytes int
	// StateBytes is the memory of a state.
	StateBytes int64
	// Fold is the time to fold one change, Decode that to start from a
	// snapshot.
	Fold   time.Duration
	Decode time.Duration
}

const (
	sizeChanges = 10
	sizeStates  = 8
	outcomes    = 4096
)

// MeasureSize measures a fleet of so many hosts and pools.
func MeasureSize(hosts, pools int) (*Size, error) {
	files := Synthesize(hosts, pools, pools)
	result := &Size{Hosts: hosts, Pools: pools, ListBytes: listBytes(files)}
	for _, text := range files {
		result.FolderBytes += len(text)
	}
	state, err := folded(files)
	if err != nil {
		return nil, err
	}
	if err := result.measureFold(state, files); err != nil {
		return nil, err
	}
	for i := range outcomes {
		state.Outcomes = append(state.Outcomes, fold.Outcome{RequestID: fmt.Sprintf("00000000-0000-0000-0000-%012d", i), Writer: "operator", Accepted: true})
	}
	return result, result.measureSnapshot(state)
}

// folded returns the state after the publication of files.
func folded(files config.Files) (*fold.State, error) {
	data, err := fold.EncodeRecord(fold.Record{Format: fold.Format, RequestID: "first", Publish: &fold.Change{Set: files}})
	if err != nil {
		return nil, err
	}
	state, err := fold.New().Apply(core.Entry{Data: data})
	if err != nil {
		return nil, err
	}
	if state.Revision == 0 {
		return nil, errors.Errorf("the folder was refused: %+v", state.Outcomes)
	}
	return state, nil
}

func (s *Size) measureFold(state *fold.State, files config.Files) error {
	started := time.Now()
	for i := range sizeChanges {
		after := changed(files, i)
		change := fold.NewChange(state.Revision, files, after)
		data, err := fold.EncodeRecord(fold.Record{Format: fold.Format, RequestID: fmt.Sprint("change-", i), Publish: &change})
		if err != nil {
			return err
		}
		s.ChangeBytes = len(data)
		state, err = state.Apply(core.Entry{Offset: state.Next, Data: data})
		if err != nil {
			return err
		}
		files = after
	}
	s.Fold = time.Since(started) / sizeChanges
	return nil
}

func (s *Size) measureSnapshot(state *fold.State) error {
	data, err := state.Encode()
	if err != nil {
		return err
	}
	s.SnapshotBytes = len(data)
	hash := fold.Hash(data)
	before := memoryInUse()
	states := make([]*fold.State, sizeStates)
	started := time.Now()
	for i := range states {
		if states[i], err = fold.Decode(data, hash); err != nil {
			return err
		}
	}
	s.Decode = time.Since(started) / sizeStates
	s.StateBytes = (memoryInUse() - before) / sizeStates
	runtime.KeepAlive(states)
	return nil
}

// listBytes returns the size of the host list of a folder's fleet.
func listBytes(files config.Files) int {
	declaration, err := config.Load(files)
	if err != nil {
		return 0
	}
	var hosts []core.Host
	for name, place := range declaration.Hosts {
		hosts = append(hosts, core.Host{Name: name, Role: core.RoleWorker, State: core.HostLive, DataCentre: place.DataCentre, Rack: place.Rack, Address: "10.100.100.100:8080"})
	}
	data, err := json.Marshal(hosts)
	if err != nil {
		return 0
	}
	return len(data)
}
