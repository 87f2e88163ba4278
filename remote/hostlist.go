package remote

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"rattanpath/core"
)

// HostList is a client of the platform's list of hosts. It is not safe for
// concurrent use.
type HostList struct {
	client client
	// etag is the entity tag of hosts, the list last read.
	etag  string
	hosts []core.Host
}

// NewHostList returns a client of the host list at the URL base. Each call is
// limited by timeout. Bytes sent and received are counted in traffic, which may
// be nil.
func NewHostList(base string, timeout time.Duration, traffic *core.TrafficCounter) *HostList {
	return &HostList{client: newClient(base, timeout, traffic)}
}

// Hosts returns the hosts that are registered with the platform. The list may be
// some seconds old. It is transferred only if it has changed since the last call.
func (l *HostList) Hosts(ctx context.Context) ([]core.Host, error) {
	ctx, cancel := context.WithTimeout(ctx, l.client.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.client.base+"/hosts", nil)
	if err != nil {
		return nil, errors.Wrap(err, "calling the platform")
	}
	if l.etag != "" {
		req.Header.Set("If-None-Match", l.etag)
	}
	resp, data, err := l.client.do(req)
	if err != nil {
		return nil, err
	}
	switch resp.StatusCode {
	case http.StatusNotModified:
		return l.hosts, nil
	case http.StatusOK:
		return l.update(resp.Header.Get("ETag"), data)
	default:
		return nil, errors.Errorf("the platform returned status %s", resp.Status)
	}
}

// update decodes and caches a list.
func (l *HostList) update(etag string, data []byte) ([]core.Host, error) {
	var reply HostsReply
	if err := json.Unmarshal(data, &reply); err != nil {
		return nil, errors.Wrap(err, "decoding the platform's host list")
	}
	l.etag, l.hosts = etag, reply.Hosts
	return l.hosts, nil
}
