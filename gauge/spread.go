package gauge

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"rattanpath/config"
	"rattanpath/fold"
)

// Spread is the time from the append of a change until every node has it in
// force.
type Spread struct {
	Nodes, Hosts, Changes int
	P50, Max              time.Duration
}

const (
	spreadPoll    = 200 * time.Microsecond
	spreadTimeout = 15 * time.Second
)

// MeasureSpread publishes changes one after another to a fleet of so many
// nodes and hosts.
func MeasureSpread(ctx context.Context, nodes, hosts, pools, changes int) (*Spread, error) {
	files := Synthesize(hosts, pools, pools)
	f, err := startFleet(ctx, files, nodes, false)
	if f != nil {
		defer f.Close(context.WithoutCancel(ctx))
	}
	if err != nil {
		return nil, err
	}
	log := f.Platform.Log("rattanpath")
	revision := f.LowestRevision()
	var took []time.Duration
	for i := range changes {
		after := changed(files, i)
		change := fold.NewChange(revision, files, after)
		data, err := fold.EncodeRecord(fold.Record{Format: fold.Format, RequestID: fmt.Sprint("change-", i), Publish: &change})
		if err != nil {
			return nil, err
		}
		started := time.Now()
		offset, err := log.Append(ctx, data)
		if err != nil {
			return nil, err
		}
		for f.LowestRevision() <= offset {
			if time.Since(started) > spreadTimeout {
				return nil, errors.Errorf("change %d is not in force everywhere after %s", i, spreadTimeout)
			}
			time.Sleep(spreadPoll)
		}
		took = append(took, time.Since(started))
		revision, files = offset+1, after
	}
	slices.Sort(took)
	return &Spread{Nodes: nodes, Hosts: hosts, Changes: changes, P50: quantile(took, 0.5), Max: took[len(took)-1]}, nil
}

// changed returns the files with the i-th change of a setting.
func changed(files config.Files, i int) config.Files {
	after := maps.Clone(files)
	after["90-change.yaml"] = fmt.Sprintf("Maintenance: {AtOnce: %d}\n", 1+i%100)
	return after
}
