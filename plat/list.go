package plat

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"rattanpath/core"
)

// List is the platform's list of hosts. One goroutine at a time may read it.
type List struct {
	client client
	// tag is the entity tag of the list last read, which is hosts.
	tag   string
	hosts []core.Host
}

// NewList returns the list; each call fails after timeout, and its bytes are
// counted in traffic, which may be nil.
func NewList(base string, timeout time.Duration, traffic *core.TrafficCounter) *List {
	return &List{client: newClient(base, timeout, traffic)}
}

// Hosts returns the hosts that the platform knows, as of some seconds ago. It
// asks for the list only if that has changed since the last call.
func (l *List) Hosts(ctx context.Context) ([]core.Host, error) {
	ctx, cancel := context.WithTimeout(ctx, l.client.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.client.base+"/hosts", nil)
	if err != nil {
		return nil, errors.Wrap(err, "calling the platform")
	}
	if l.tag != "" {
		request.Header.Set("If-None-Match", l.tag)
	}
	response, data, err := l.client.do(request)
	if err != nil {
		return nil, err
	}
	switch response.StatusCode {
	case http.StatusNotModified:
		return l.hosts, nil
	case http.StatusOK:
		return l.keep(response.Header.Get("ETag"), data)
	default:
		return nil, errors.Errorf("the platform answered %s", response.Status)
	}
}

func (l *List) keep(tag string, data []byte) ([]core.Host, error) {
	var answer Hosts
	if err := json.Unmarshal(data, &answer); err != nil {
		return nil, errors.Wrap(err, "reading the platform's host list")
	}
	l.tag, l.hosts = tag, answer.Hosts
	return l.hosts, nil
}
