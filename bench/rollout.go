package bench

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"rattanpath/config"
	"rattanpath/replay"
)

// RolloutResult holds the time from appending a change to the log until it is
// active on every node.
type RolloutResult struct {
	Nodes, Hosts, Changes int
	P50, Max              time.Duration
}

const (
	rolloutPollInterval = 200 * time.Microsecond
	rolloutTimeout      = 15 * time.Second
)

// MeasureRollout publishes changes one after another to a fleet with the given
// numbers of nodes, hosts and pools.
func MeasureRollout(ctx context.Context, nodes, hosts, pools, changes int) (*RolloutResult, error) {
	files := SyntheticFiles(hosts, pools, pools)
	f, err := startFleet(ctx, files, nodes, false)
	if f != nil {
		defer f.Close(context.WithoutCancel(ctx))
	}
	if err != nil {
		return nil, err
	}
	log := f.Platform.Log("rattanpath")
	revision := f.LowestRevision()
	var durations []time.Duration
	for i := range changes {
		changedFiles := withChange(files, i)
		change := replay.NewChange(revision, files, changedFiles)
		data, err := replay.EncodeRecord(replay.Record{Format: replay.Format, RequestID: fmt.Sprint("change-", i), Publish: &change})
		if err != nil {
			return nil, err
		}
		started := time.Now()
		offset, err := log.Append(ctx, data)
		if err != nil {
			return nil, err
		}
		for f.LowestRevision() <= offset {
			if time.Since(started) > rolloutTimeout {
				return nil, errors.Errorf("change %d is not active on all nodes after %s", i, rolloutTimeout)
			}
			time.Sleep(rolloutPollInterval)
		}
		durations = append(durations, time.Since(started))
		revision, files = offset+1, changedFiles
	}
	slices.Sort(durations)
	return &RolloutResult{Nodes: nodes, Hosts: hosts, Changes: changes, P50: quantile(durations, 0.5), Max: durations[len(durations)-1]}, nil
}

// withChange returns a copy of files with the i-th change of a setting.
func withChange(files config.Files, i int) config.Files {
	changedFiles := maps.Clone(files)
	changedFiles["90-change.yaml"] = fmt.Sprintf("Maintenance: {AtOnce: %d}\n", 1+i%100)
	return changedFiles
}
