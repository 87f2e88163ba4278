package remote

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"rattanpath/core"
)

// maxResponseBytes limits the size of a response body. Longer bodies are
// truncated.
const maxResponseBytes = 64 << 20

// client calls the platform over HTTP.
type client struct {
	base    string
	http    *http.Client
	timeout time.Duration
}

func newClient(base string, timeout time.Duration, traffic *core.TrafficCounter) client {
	transport := &http.Transport{DialContext: traffic.Dial, MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}
	return client{base: base, http: &http.Client{Transport: transport}, timeout: timeout}
}

// call sends one request and decodes the response body into result. It fails
// after the client's timeout plus wait, and if the status is not 200. The error
// for status 410 is a core.ExpiredError.
func (c client) call(ctx context.Context, method, path string, body []byte, wait time.Duration, result any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "calling the platform")
	}
	resp, data, err := c.do(req)
	if err != nil {
		return err
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return errors.Wrap(json.Unmarshal(data, result), "decoding the platform's response")
	case http.StatusGone:
		var reply ExpiredReply
		if err := json.Unmarshal(data, &reply); err != nil {
			return errors.Wrap(err, "decoding the platform's response")
		}
		return &core.ExpiredError{First: reply.First}
	default:
		return errors.Errorf("the platform returned status %s: %s", resp.Status, bytes.TrimSpace(data))
	}
}

// do sends one request and returns the response and its whole body.
func (c client) do(req *http.Request) (*http.Response, []byte, error) {
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, nil, errors.Wrap(err, "calling the platform")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return resp, data, errors.Wrap(err, "reading the platform's response")
}

// Log is a client of one stream of the platform's append-only log.
type Log struct {
	client client
	path   string
}

// NewLog returns a client of the named stream at the URL base. Each call is
// limited by timeout, to which a read adds its wait. Bytes sent and received are
// counted in traffic, which may be nil.
func NewLog(base, stream string, timeout time.Duration, traffic *core.TrafficCounter) *Log {
	return &Log{client: newClient(base, timeout, traffic), path: "/streams/" + url.PathEscape(stream)}
}

// Append appends one record and returns its offset. After an error the outcome
// is unknown: the record may be in the log.
func (l *Log) Append(ctx context.Context, data []byte) (int64, error) {
	var reply AppendReply
	err := l.client.call(ctx, http.MethodPost, l.path+"/records", data, 0, &reply)
	return reply.Offset, err
}

// Read returns at most limit records, starting at the offset from. At the end of
// the log it waits for up to wait for a new record, and may return none. The error
// is a core.ExpiredError if the record at the offset has expired.
func (l *Log) Read(ctx context.Context, from int64, limit int, wait time.Duration) ([]core.Entry, error) {
	query := url.Values{}
	query.Set(FromParam, strconv.FormatInt(from, 10))
	query.Set(LimitParam, strconv.Itoa(limit))
	query.Set(WaitParam, wait.String())
	var reply ReadReply
	err := l.client.call(ctx, http.MethodGet, l.path+"/records?"+query.Encode(), nil, wait, &reply)
	var expired *core.ExpiredError
	if errors.As(err, &expired) {
		expired.From = from
		return nil, expired
	}
	return reply.Entries, err
}

// Bounds returns the oldest offset that can be read and the offset of the next
// record.
func (l *Log) Bounds(ctx context.Context) (core.LogBounds, error) {
	var bounds core.LogBounds
	err := l.client.call(ctx, http.MethodGet, l.path, nil, 0, &bounds)
	return bounds, err
}
