package sched

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

const (
	// minRetryAfter and maxRetryAfter bound the wait that callers of an organisation beyond
	// its share are asked for.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// OverloadError is ErrOverloaded for a job of an organisation with more than its share of what
// waits to be started.
type OverloadError struct {
	// RetryAfter is how long its callers should wait.
	RetryAfter time.Duration
}

// Error implements error.
func (e *OverloadError) Error() string { return ErrOverloaded.Error() }

// Unwrap makes the error an ErrOverloaded.
func (e *OverloadError) Unwrap() error { return ErrOverloaded }

// overloadError returns the error for a job that would be started too late.
func (c *Cell) overloadError(e *jobEntry) error {
	name := e.job.Policy.Organisation
	if name == "" || len(c.quotas.organisations()) == 0 {
		return ErrOverloaded
	}
	bytes := c.organisationBacklog(name) + e.job.UnassignedTasks()*e.startSize()
	wait := c.options.Link.transferTime(bytes)
	// Callers that were refused at the same time return at different times.
	wait = time.Duration(float64(wait) * (0.5 + rand.Float64()))
	return &OverloadError{RetryAfter: min(maxRetryAfter, max(minRetryAfter, wait))}
}

// GangError is ErrOverloaded for a job with a gang whose start commands take the link too long.
type GangError struct {
	// Step is the index of the gang, and Bytes the size of each of Members start commands.
	Step    int
	Members int
	Bytes   int
}

// Error implements error.
func (e *GangError) Error() string { return ErrOverloaded.Error() }

// Unwrap makes the error an ErrOverloaded.
func (e *GangError) Unwrap() error { return ErrOverloaded }

// recordRefusal records why a new job is not accepted.
func (c *Cell) recordRefusal(e *jobEntry, err error) {
	var overload *OverloadError
	var gang *GangError
	switch {
	case errors.As(err, &overload):
		c.recordRefused(e.job.Policy.Organisation, refusedShare)
	case errors.As(err, &gang):
		c.logger.Info("job with a gang too large for the link", "job", e.job.Key.ID, "step", gang.Step, "members", gang.Members, "bytes", gang.Bytes)
	}
}

// isWithinBacklogShare reports whether the start commands of an organisation, with those of a new
// job that must be sent within a time, take no more than its part of the link. Such a job is
// accepted also while others' start commands keep the link busy for longer, since those wait
// behind it.
func (c *Cell) isWithinBacklogShare(e *jobEntry, limit time.Duration) bool {
	if len(c.quotas.organisations()) == 0 {
		return false
	}
	name := e.job.Policy.Organisation
	weights := 0.0
	for other := range c.backlogNames(name) {
		weights += c.quotas.weight(other)
	}
	bytes := c.organisationBacklog(name) + e.job.UnassignedTasks()*e.startSize()
	share := c.quotas.weight(name) / weights
	return float64(c.options.Link.transferTime(bytes)) <= share*float64(limit)
}

// backlogNames returns the organisations with tasks that were never started, and one more.
func (c *Cell) backlogNames(name string) map[string]bool {
	names := map[string]bool{name: true}
	for other := range c.backlogByOrganisation {
		names[other] = true
	}
	if c.organisationBacklog("") > 0 {
		names[""] = true
	}
	return names
}

// organisationBacklog returns the size of the start commands of all tasks of an organisation that
// were never started.
func (c *Cell) organisationBacklog(name string) int {
	if name != "" {
		return c.backlogByOrganisation[name]
	}
	rest := c.backlogBytes
	for _, bytes := range c.backlogByOrganisation {
		rest -= bytes
	}
	return rest
}

// countBacklog adds to the size of the start commands that wait of a job's organisation.
func (c *Cell) countBacklog(e *jobEntry, bytes int) {
	name := e.job.Policy.Organisation
	if name == "" || bytes == 0 {
		return
	}
	if c.backlogByOrganisation == nil {
		c.backlogByOrganisation = make(map[string]int)
	}
	if c.backlogByOrganisation[name] += bytes; c.backlogByOrganisation[name] == 0 {
		delete(c.backlogByOrganisation, name)
	}
}
