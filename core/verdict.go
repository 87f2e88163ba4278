package core

import (
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Verdict states whether a request may have been executed by an upstream.
type Verdict uint8

const (
	// NotRun means that no byte of the request reached any upstream.
	NotRun Verdict = iota
	// MayHaveRun means that bytes were sent and no complete response came back.
	MayHaveRun
	// Ran means that the upstream returned a complete response.
	Ran
)

// String returns the value of VerdictHeader.
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

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) {
	return []byte(v.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. It returns an error for an
// unknown name.
func (v *Verdict) UnmarshalText(text []byte) error {
	for _, known := range []Verdict{NotRun, MayHaveRun, Ran} {
		if known.String() == string(text) {
			*v = known
			return nil
		}
	}
	return errors.Errorf("unknown verdict %q", text)
}

// HTTP headers exchanged with callers.
const (
	// VerdictHeader carries the verdict of a response.
	VerdictHeader = "Rattanpath-Verdict"
	// CauseHeader carries the cause of a failed request.
	CauseHeader = "Rattanpath-Cause"
	// TimeoutHeader carries the remaining time of a request, such as "1.5s".
	TimeoutHeader = "Rattanpath-Timeout"
	// NodeHeader carries the name of the entry node that responded.
	NodeHeader = "Rattanpath-Node"
)

// Cause is the reason why a request was refused or failed.
type Cause string

// Causes of failed requests.
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

// RequestError is the error of a request that got no complete response from an
// upstream.
type RequestError struct {
	Verdict Verdict
	Cause   Cause
	// Status is the HTTP status code returned to the caller.
	Status int
	// RetryAfter is the delay suggested to the caller; zero suggests none.
	RetryAfter time.Duration
	// Err is the underlying error, or nil.
	Err error
}

// Error implements error.
func (e *RequestError) Error() string {
	text := fmt.Sprintf("%s: %s (status %d)", e.Verdict, e.Cause, e.Status)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the underlying error.
func (e *RequestError) Unwrap() error { return e.Err }

// Unavailable returns an error with verdict NotRun and status 503 that suggests a
// retry after the given delay.
func Unavailable(cause Cause, retryAfter time.Duration) *RequestError {
	return &RequestError{
		Verdict:    NotRun,
		Cause:      cause,
		Status:     http.StatusServiceUnavailable,
		RetryAfter: retryAfter,
	}
}
