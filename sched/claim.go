package sched

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"

	"rattanpath/store"
	"rattanpath/tasks"
)

const (
	// definitionPrefix and progressPrefix begin the keys of the two records of a
	// job.
	definitionPrefix = "d/"
	progressPrefix   = "p/"
	// partSeparator precedes the name of a part in the keys of a large job's progress,
	// and jobKeyBytes is the length of a job's key before its ID.
	partSeparator = "/"
	jobKeyBytes   = 17
	// leasesKey is the key of the record of unexpired leases, see leaseRecord.
	leasesKey = "doubt"
)

// Claim takes over the cell of a service: it fences all previous owners and
// loads their records. For the nonce see claim.Acquire.
func Claim(ctx context.Context, options Options, nonce string) (*Cell, error) {
	start := options.Clock()
	acquired, err := acquire(ctx, options, nonce)
	if err != nil {
		return nil, err
	}
	c := newCell(options)
	c.epoch = acquired.Epoch
	c.claim = acquired
	c.writer = acquired.NewWriter(options.Journal, Topic(options.Service), options.Clock)
	c.writer.OnRetry = c.writeFailed
	c.writer.OnVerified = c.ownershipVerified
	c.load(acquired.Records)
	c.topic.add(acquired.Records)
	c.topic.appended = 0
	c.claimedAt = options.Clock()
	c.confirmedAt = acquired.SentAt
	c.inheritRuns()
	c.inheritGaps()
	c.logger.Info("cell claimed", "epoch", c.epoch, "before", acquired.PreviousNode, "jobs", len(c.jobs), "open", len(c.open), "took", c.claimedAt-start)
	options.Metrics.Claims.Inc()
	options.Metrics.ClaimSeconds.Update((c.claimedAt - start).Seconds())
	return c, nil
}

// load restores the state of the cell from its records.
func (c *Cell) load(records []store.Record) {
	definitions := make(map[string][]byte)
	progress := make(map[string][]byte)
	parts := make(map[string]map[string][]byte)
	for _, record := range records {
		switch {
		case strings.HasPrefix(record.Key, definitionPrefix):
			definitions[record.Key[len(definitionPrefix):]] = record.Value
		case record.Key == leasesKey:
			c.loadLeases(record.Value)
		case record.Key == capsKey:
			if err := c.quotas.caps.load(record.Value); err != nil {
				c.logger.Error(err, "cannot decode the confirmed caps, waiting for a leader to confirm them")
			}
		case strings.HasPrefix(record.Key, movedPrefix):
			if err := c.moved.load(record.Value); err != nil {
				c.logger.Error(err, "cannot decode the record of a moved queue", "key", record.Key)
			}
		case strings.HasPrefix(record.Key, progressPrefix):
			job, part := splitProgressKey(record.Key)
			if part == "" {
				progress[job] = record.Value
				continue
			}
			if parts[job] == nil {
				parts[job] = make(map[string][]byte)
			}
			parts[job][part] = record.Value
		}
	}
	for key, definition := range definitions {
		job, stored, err := tasks.DecodeStored(definition, progress[key], parts[key])
		if err != nil {
			c.logger.Error(err, "cannot decode the records of a job, skipping it", "key", key)
			continue
		}
		c.addJob(&jobEntry{job: job, definitionWritten: true, stored: stored, persisted: true, persistedPhase: job.Phase})
	}
	c.findOrphans(definitions, parts)
}

// splitProgressKey splits the key of a record of progress into that of the job and the name
// of the part, which is empty for the main record.
func splitProgressKey(key string) (job, part string) {
	key = strings.TrimPrefix(key, progressPrefix)
	if len(key) < jobKeyBytes {
		return key, ""
	}
	id, part, _ := strings.Cut(key[jobKeyBytes:], partSeparator)
	return key[:jobKeyBytes] + id, part
}

// findOrphans collects the keys of the parts of jobs that no longer exist. Such parts remain when
// a node of a version without parts has replaced and then removed the job.
func (c *Cell) findOrphans(definitions map[string][]byte, parts map[string]map[string][]byte) {
	for job, names := range parts {
		if definitions[job] != nil {
			continue
		}
		for name := range names {
			c.orphanKeys = append(c.orphanKeys, progressPrefix+job+partSeparator+name)
		}
	}
}

// maxOrphans limits the orphans that are deleted by one write.
const maxOrphans = 1000

// takeOrphans removes up to maxOrphans keys from orphanKeys and returns the write that deletes
// their records.
func (c *Cell) takeOrphans() jobWrite {
	count := min(len(c.orphanKeys), maxOrphans)
	var records []store.Record
	for _, key := range c.orphanKeys[:count] {
		records = append(records, store.Record{Key: key})
	}
	c.orphanKeys = c.orphanKeys[count:]
	return jobWrite{writes: [][]store.Record{records}}
}

// leaseRecord is the stored form of the leases that may be unexpired when an
// owner stops.
type leaseRecord struct {
	// Epoch is the epoch of the owner that stopped.
	Epoch int64
	// Remaining is how long leases may still be valid, by host.
	Remaining map[string]time.Duration
}

// loadLeases restores the unexpired leases if the owner directly before this
// one released the cell and wrote the record: then no lease has been renewed
// since.
func (c *Cell) loadLeases(value []byte) {
	var record leaseRecord
	if err := json.Unmarshal(value, &record); err != nil {
		c.logger.Error(err, "cannot decode the unexpired leases, assuming that all were just renewed")
		return
	}
	if c.claim.PreviousReleased && record.Epoch == c.epoch-1 {
		c.unexpiredLeases = record.Remaining
	}
}

// encodeLeases returns the record of the leases that may still be valid on
// hosts that this owner can't reach.
func (c *Cell) encodeLeases() (store.Record, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Clock()
	record := leaseRecord{Epoch: c.epoch, Remaining: make(map[string]time.Duration)}
	for id, h := range c.hosts {
		if remaining, known := c.remainingLease(h, now); known {
			record.Remaining[id] = remaining
		}
	}
	value, err := json.Marshal(record)
	return store.Record{Key: leasesKey, Value: value}, errors.Wrap(err, "encoding the unexpired leases")
}

// addJob adds a job to the indexes.
func (c *Cell) addJob(e *jobEntry) {
	c.jobs[e.job.Key] = e
	c.byID[e.job.Key.ID] = e
	if e.job.Phase == tasks.Open {
		c.open[e] = true
		c.addBacklog(e)
	}
}

// inheritRuns registers each run that a previous owner may have started. It
// counts as active until its host has reported its runs.
func (c *Cell) inheritRuns() {
	for _, e := range c.jobs {
		e.job.ForEachActive(func(taskID tasks.ID, task *tasks.Task) {
			task.AssignedAt = time.Now()
			h := c.host(task.Host)
			h.runs[runKey{taskID, task.Run}] = &run{
				entry: e, id: taskID, number: task.Run, state: runInherited,
				resources: e.job.Step(taskID).RequiredResources(), inherited: true, share: unknownShare,
			}
		})
	}
}

// removeInterval is the time between two searches for jobs to be deleted. Each looks at all jobs, of
// which most have ended.
const removeInterval = time.Second

// removeEnded deletes jobs that ended longer ago than the retention time, if a search is due.
func (c *Cell) removeEnded(now time.Time) {
	if now.Sub(c.removedAt) < removeInterval {
		return
	}
	c.removedAt = now
	retention := c.options.JobRetention + retentionMargin
	for key, e := range c.jobs {
		if e.persistedPhase == tasks.Open || e.dirty || now.Sub(e.job.Ended) < retention || c.hasActiveTasks(e) {
			continue
		}
		delete(c.jobs, key)
		delete(c.byID, key.ID)
		e.job.Plan = tasks.Plan{}
		c.markDirty(e, nil)
	}
}

func (c *Cell) hasActiveTasks(e *jobEntry) bool {
	active := false
	e.job.ForEachActive(func(tasks.ID, *tasks.Task) { active = true })
	return active
}
