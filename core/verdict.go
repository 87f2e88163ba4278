package core

import (
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Verdict says whether a request may have run on an upstream.
type Verdict uint8

const (
	// NotRun means that no byte of the request reached any upstream.
	NotRun Verdict = iota
	// MayHaveRun means that bytes were sent and no whole answer came back.
	MayHaveRun
	// Ran means that the upstream gave a whole answer.
	Ran
)

// String returns the verdict as callers see it in VerdictHeader.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "NotRun"
	case MayHaveRun:
		return "MayHaveRun"
	case Ran:
		return "Ran"
	default:
		return fmt.Sprintf("Verdict(%d)", uint8(v))
	}
}

// MarshalText encodes the verdict as its name.
func (v Verdict) MarshalText() ([]byte, error) {
	return []byte(v.String()), nil
}

// UnmarshalText decodes a verdict from its name and fails on any other text.
func (v *Verdict) UnmarshalText(text []byte) error {
	for _, known := range []Verdict{NotRun, MayHaveRun, Ran} {
		if known.String() == string(text) {
			*v = known
			return nil
		}
	}
	return errors.Errorf("unknown verdict %q", text)
}

// Names of the headers that carry a verdict and a deadline.
const (
	// VerdictHeader carries the verdict of an answer.
	VerdictHeader = "Rattanpath-Verdict"
	// CauseHeader carries the cause of a refusal or failure.
	CauseHeader = "Rattanpath-Cause"
	// TimeoutHeader carries the time left for a request, such as "1.5s".
	TimeoutHeader = "Rattanpath-Timeout"
	// NodeHeader names the entry node that answered.
	NodeHeader = "Rattanpath-Node"
)

// Cause names why a request was refused or failed.
type Cause string

// The causes of refusals and failures.
const (
	CauseNotReady        Cause = "NotReady"
	CauseNoService       Cause = "NoService"
	CauseNoRoute         Cause = "NoRoute"
	CauseNoHost          Cause = "NoHost"
	CauseQueueFull       Cause = "QueueFull"
	CauseQueueTimeout    Cause = "QueueTimeout"
	CauseQuota           Cause = "Quota"
	CauseBadRequest      Cause = "BadRequest"
	CauseBodyTooLarge    Cause = "BodyTooLarge"
	CauseCancelled       Cause = "Cancelled"
	CauseDeadline        Cause = "Deadline"
	CauseConnect         Cause = "Connect"
	CauseUpstreamFailed  Cause = "UpstreamFailed"
	CauseTruncated       Cause = "Truncated"
	CauseUnboundedAnswer Cause = "UnboundedAnswer"
)

// Failure is a request that got no whole answer from an upstream.
type Failure struct {
	Verdict Verdict
	Cause   Cause
	// Status is the HTTP status code shown to the caller.
	Status int
	// RetryAfter is the wait proposed to the caller; zero proposes none.
	RetryAfter time.Duration
	// Err is the underlying error; it may be nil.
	Err error
}

// Error describes the failure in one line.
func (f *Failure) Error() string {
	text := fmt.Sprintf("%s: %s (status %d)", f.Verdict, f.Cause, f.Status)
	if f.Err != nil {
		text += ": " + f.Err.Error()
	}
	return text
}

// Unwrap returns the underlying error.
func (f *Failure) Unwrap() error { return f.Err }

// Refuse returns a failure with verdict NotRun and status 503, which asks the
// caller to come back after the given wait.
func Refuse(cause Cause, retryAfter time.Duration) *Failure {
	return &Failure{
		Verdict:    NotRun,
		Cause:      cause,
		Status:     http.StatusServiceUnavailable,
		RetryAfter: retryAfter,
	}
}
