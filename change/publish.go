package change

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"rattanpath/config"
	"rattanpath/core"
	"rattanpath/fold"
	"rattanpath/follow"
)

const (
	// retryPause is the time between two tries to find out an outcome.
	retryPause = 250 * time.Millisecond
	// awaitPause is the time between two rounds of asking every node.
	awaitPause = 50 * time.Millisecond
)

// Request is a configuration to publish.
type Request struct {
	// ID is the same in every attempt to publish the same change.
	ID     string
	Writer string
	// Base is the revision that the files were read from.
	Base  int64
	Files config.Files
}

// ConflictError says that the fold refused a change, and why.
type ConflictError struct {
	Outcome fold.Outcome
	// Revision is the configuration in force when the refusal was seen.
	Revision int64
}

// Error gives the reason.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("not published: %s (in force: revision %d)", e.Outcome.Reason, e.Revision)
}

// UnknownError says that it could not be found out whether a change took
// effect.
type UnknownError struct {
	RequestID string
	Err       error
}

// Error says what is known.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("the change may have been published; ask again with request id %s: %v", e.RequestID, e.Err)
}

// Unwrap returns the error that stood in the way.
func (e *UnknownError) Unwrap() error { return e.Err }

// Publisher publishes changes through the log.
type Publisher struct {
	streams follow.Streams
	state   *fold.State
}

// NewPublisher returns a publisher that reads and writes the streams.
func NewPublisher(streams follow.Streams) *Publisher {
	return &Publisher{streams: streams, state: fold.New()}
}

// Current returns the newest state. After an error the publisher keeps what it
// could read.
func (p *Publisher) Current(ctx context.Context) (*fold.State, error) {
	state, err := follow.CatchUp(ctx, p.streams, p.state)
	p.state = state
	return state, err
}

// Publish brings the files in force and returns their revision, which is the
// old one if nothing differs. It sends the record again after a lost answer,
// since copies of a record count once, until it reads the outcome in the log or
// ctx ends.
//
// Its error is a ConflictError if the fold refused the change, an UnknownError
// if the record may be in the log, and any other if it is not.
func (p *Publisher) Publish(ctx context.Context, request Request) (int64, error) {
	state, err := p.awaitCurrent(ctx)
	if err != nil {
		return 0, errors.Wrap(err, "not published: the log can't be read")
	}
	if outcome, done := state.Outcome(request.ID); done {
		return p.result(outcome)
	}
	if request.Base != state.Revision {
		return 0, &ConflictError{
			Outcome:  fold.Outcome{RequestID: request.ID, Reason: fmt.Sprintf("made against revision %d; %s published revision %d first", request.Base, state.Writer, state.Revision)},
			Revision: state.Revision,
		}
	}
	change := fold.ChangeBetween(request.Base, state.Files, request.Files)
	if len(change.Set) == 0 && len(change.Removed) == 0 {
		return state.Revision, nil
	}
	data, err := fold.EncodeRecord(fold.Record{Format: fold.Format, RequestID: request.ID, Writer: request.Writer, Publish: &change})
	if err != nil {
		return 0, err
	}
	return p.appendUntilSeen(ctx, request.ID, data)
}

// awaitCurrent returns the newest state, and tries again until ctx ends.
func (p *Publisher) awaitCurrent(ctx context.Context) (*fold.State, error) {
	for {
		state, err := p.Current(ctx)
		if err == nil {
			return state, nil
		}
		if core.Sleep(ctx, retryPause) != nil {
			return nil, err
		}
	}
}

// appendUntilSeen appends the record until its outcome is read. It appends
// again only when an append failed and the log, read to its end, does not hold
// the record.
func (p *Publisher) appendUntilSeen(ctx context.Context, id string, data []byte) (int64, error) {
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
		if err := core.Sleep(ctx, retryPause); err != nil {
			return 0, &UnknownError{RequestID: id, Err: firstError(appendErr, readErr, err)}
		}
	}
}

func firstError(all ...error) error {
	for _, err := range all {
		if err != nil {
			return err
		}
	}
	return nil
}

func (p *Publisher) result(outcome fold.Outcome) (int64, error) {
	if !outcome.Accepted {
		return 0, &ConflictError{Outcome: outcome, Revision: p.state.Revision}
	}
	return outcome.Offset + 1, nil
}

// Nodes lists entry nodes and tells which revision one has in force.
type Nodes interface {
	Hosts(ctx context.Context) ([]core.Host, error)
	Revision(ctx context.Context, host core.Host) (int64, error)
}

// Spread is how far a revision has come.
type Spread struct {
	// InForce and Missing name the live entry nodes that have it, and those
	// that have not or could not be asked.
	InForce []string
	Missing []string
}

// Await asks every live entry node until each has the revision in force, or
// ctx ends, and returns the last answers.
func Await(ctx context.Context, nodes Nodes, revision int64) (Spread, error) {
	for {
		spread, err := measure(ctx, nodes, revision)
		if err == nil && len(spread.Missing) == 0 {
			return spread, nil
		}
		if err := core.Sleep(ctx, awaitPause); err != nil {
			return spread, errors.Wrap(err, "waiting for every node")
		}
	}
}

func measure(ctx context.Context, nodes Nodes, revision int64) (Spread, error) {
	var spread Spread
	hosts, err := nodes.Hosts(ctx)
	if err != nil {
		return spread, err
	}
	for _, host := range hosts {
		if host.Role != core.RoleEntry || host.State != core.HostLive {
			continue
		}
		inForce, err := nodes.Revision(ctx, host)
		if err != nil || inForce < revision {
			spread.Missing = append(spread.Missing, host.Name)
			continue
		}
		spread.InForce = append(spread.InForce, host.Name)
	}
	return spread, nil
}
