package plat

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

// maxAnswerBytes bounds what is read of one answer of the platform.
const maxAnswerBytes = 64 << 20

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

// call sends one request and decodes the answer into result. A status other
// than 200 is an error.
func (c client) call(ctx context.Context, method, path string, body []byte, wait time.Duration, result any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "calling the platform")
	}
	response, data, err := c.do(request)
	if err != nil {
		return err
	}
	switch response.StatusCode {
	case http.StatusOK:
		return errors.Wrap(json.Unmarshal(data, result), "reading the platform's answer")
	case http.StatusGone:
		var expired Expired
		if err := json.Unmarshal(data, &expired); err != nil {
			return errors.Wrap(err, "reading the platform's answer")
		}
		return &core.ExpiredError{First: expired.First}
	default:
		return errors.Errorf("the platform answered %s: %s", response.Status, bytes.TrimSpace(data))
	}
}

// do sends one request and returns the answer with its whole body.
func (c client) do(request *http.Request) (*http.Response, []byte, error) {
	response, err := c.http.Do(request)
	if err != nil {
		return nil, nil, errors.Wrap(err, "calling the platform")
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	return response, data, errors.Wrap(err, "reading the platform's answer")
}

// Log is one stream of the platform's append-only log.
type Log struct {
	client client
	path   string
}

// NewLog returns the stream of that name. Each call fails after timeout, to
// which the wait of a read is added; its bytes are counted in traffic, which
// may be nil.
func NewLog(base, stream string, timeout time.Duration, traffic *core.TrafficCounter) *Log {
	return &Log{client: newClient(base, timeout, traffic), path: "/streams/" + url.PathEscape(stream)}
}

// Append adds one record and returns its offset. After an error the record may
// or may not be in the log.
func (l *Log) Append(ctx context.Context, data []byte) (int64, error) {
	var appended Appended
	err := l.client.call(ctx, http.MethodPost, l.path+"/records", data, 0, &appended)
	return appended.Offset, err
}

// Read returns at most limit records from an offset on. At the end of the log
// it waits for up to wait for one to come, and may return none. Its error is a
// core.ExpiredError if the log no longer holds the offset.
func (l *Log) Read(ctx context.Context, from int64, limit int, wait time.Duration) ([]core.Entry, error) {
	query := url.Values{}
	query.Set(FromParam, strconv.FormatInt(from, 10))
	query.Set(LimitParam, strconv.Itoa(limit))
	query.Set(WaitParam, wait.String())
	var records Records
	err := l.client.call(ctx, http.MethodGet, l.path+"/records?"+query.Encode(), nil, wait, &records)
	var expired *core.ExpiredError
	if errors.As(err, &expired) {
		expired.From = from
		return nil, expired
	}
	return records.Entries, err
}

// Bounds returns the oldest offset that can be read and the next one to be
// given.
func (l *Log) Bounds(ctx context.Context) (core.LogBounds, error) {
	var bounds core.LogBounds
	err := l.client.call(ctx, http.MethodGet, l.path, nil, 0, &bounds)
	return bounds, err
}
