package change

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"rattanpath/config"
	"rattanpath/core"
	"rattanpath/follow"
	"rattanpath/replay"
)

const (
	// retryInterval is the time between attempts to read or append to the log.
	retryInterval = 250 * time.Millisecond
	// rolloutPollInterval is the time between two polls of all nodes.
	rolloutPollInterval = 50 * time.Millisecond
)

// Request is a configuration to publish.
type Request struct {
	// ID identifies the request; retries of a request must have the same ID.
	ID     string
	Writer string
	// Base is the revision that the files are based on.
	Base  int64
	Files config.Files
}

// RejectedError reports a change that was rejected because it conflicts with
// another or is invalid.
type RejectedError struct {
	Outcome replay.Outcome
	// Revision is the active revision when the rejection was read.
	Revision int64
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("not published: %s (active revision: %d)", e.Outcome.Reason, e.Revision)
}

// UnknownOutcomeError reports that it could not be determined whether a change
// was published.
type UnknownOutcomeError struct {
	RequestID string
	Err       error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("unknown outcome, the change may have been published; retry with request ID %s: %v", e.RequestID, e.Err)
}

// Unwrap returns the underlying error.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// Publisher publishes changes through the log. It is not safe for concurrent
// use.
type Publisher struct {
	streams follow.Streams
	state   *replay.State
}

// NewPublisher returns a publisher that uses the given streams.
func NewPublisher(streams follow.Streams) *Publisher {
	return &Publisher{streams: streams, state: replay.New()}
}

// Current returns the state at the end of the log. After an error the publisher
// keeps the state that it reached.
func (p *Publisher) Current(ctx context.Context) (*replay.State, error) {
	state, err := follow.CatchUp(ctx, p.streams, p.state)
	p.state = state
	return state, err
}

// Publish publishes the files and returns their revision, which is the active
// one if the files are unchanged. It appends the record again after a failed
// append, since duplicates of a record are ignored, until it reads the outcome
// from the log or ctx is done.
//
// The error is a RejectedError if the change was rejected, an
// UnknownOutcomeError if the record may be in the log, and any other error if
// it is not.
func (p *Publisher) Publish(ctx context.Context, request Request) (int64, error) {
	state, err := p.waitCurrent(ctx)
	if err != nil {
		return 0, errors.Wrap(err, "not published: cannot read log")
	}
	if outcome, done := state.Outcome(request.ID); done {
		return p.result(outcome)
	}
	if request.Base != state.Revision {
		return 0, &RejectedError{
			Outcome:  replay.Outcome{RequestID: request.ID, Reason: fmt.Sprintf("made against revision %d; %s published revision %d first", request.Base, state.Writer, state.Revision)},
			Revision: state.Revision,
		}
	}
	change := replay.NewChange(request.Base, state.Files, request.Files)
	if len(change.Set) == 0 && len(change.Removed) == 0 {
		return state.Revision, nil
	}
	data, err := replay.EncodeRecord(replay.Record{Format: replay.Format, RequestID: request.ID, Writer: request.Writer, Publish: &change})
	if err != nil {
		return 0, err
	}
	return p.appendUntilConfirmed(ctx, request.ID, data)
}

// waitCurrent returns the state at the end of the log, and retries until ctx is
// done.
func (p *Publisher) waitCurrent(ctx context.Context) (*replay.State, error) {
	for {
		state, err := p.Current(ctx)
		if err == nil {
			return state, nil
		}
		if core.Sleep(ctx, retryInterval) != nil {
			return nil, err
		}
	}
}

// appendUntilConfirmed appends the record and waits until its outcome is read
// from the log. It appends again only if an append failed and the log, read to
// its end, does not contain the record.
func (p *Publisher) appendUntilConfirmed(ctx context.Context, id string, data []byte) (int64, error) {
	appendNeeded := true
	var appendErr error
	for {
		if appendNeeded {
			_, appendErr = p.streams.Records.Append(ctx, data)
		}
		_, readErr := p.Current(ctx)
		if outcome, found := p.state.Outcome(id); found {
			return p.result(outcome)
		}
		appendNeeded = appendErr != nil && readErr == nil
		if err := core.Sleep(ctx, retryInterval); err != nil {
			return 0, &UnknownOutcomeError{RequestID: id, Err: firstError(appendErr, readErr, err)}
		}
	}
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (p *Publisher) result(outcome replay.Outcome) (int64, error) {
	if !outcome.Accepted {
		return 0, &RejectedError{Outcome: outcome, Revision: p.state.Revision}
	}
	return outcome.Offset + 1, nil
}

// NodeClient lists the hosts and returns the revision that a node serves.
type NodeClient interface {
	Hosts(ctx context.Context) ([]core.Host, error)
	Revision(ctx context.Context, host core.Host) (int64, error)
}

// Rollout is the progress of a revision among the live entry nodes.
type Rollout struct {
	// Active are the nodes that serve the revision or a later one.
	Active []string
	// Pending are the nodes that don't serve it yet or could not be reached.
	Pending []string
}

// AwaitRollout polls the live entry nodes until all serve the revision or ctx is
// done, and returns the last result.
func AwaitRollout(ctx context.Context, nodes NodeClient, revision int64) (Rollout, error) {
	for {
		rollout, err := checkRollout(ctx, nodes, revision)
		if err == nil && len(rollout.Pending) == 0 {
			return rollout, nil
		}
		if err := core.Sleep(ctx, rolloutPollInterval); err != nil {
			return rollout, errors.Wrap(err, "waiting for all nodes")
		}
	}
}

func checkRollout(ctx context.Context, nodes NodeClient, revision int64) (Rollout, error) {
	var rollout Rollout
	hosts, err := nodes.Hosts(ctx)
	if err != nil {
		return rollout, err
	}
	for _, host := range hosts {
		if host.Role != core.RoleEntry || host.State != core.HostLive {
			continue
		}
		active, err := nodes.Revision(ctx, host)
		if err != nil || active < revision {
			rollout.Pending = append(rollout.Pending, host.Name)
			continue
		}
		rollout.Active = append(rollout.Active, host.Name)
	}
	return rollout, nil
}
