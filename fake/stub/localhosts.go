package stub

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"github.com/pkg/errors"

	"rattanpath/engine"
	"rattanpath/lease"
	"rattanpath/platform"
	"rattanpath/pool"
)

// pathsPath is where the store's server tells its node the addresses at which that node calls the
// hosts.
const pathsPath = "/paths"

// paths serves the addresses by host.
func (s *storeServer) paths(w http.ResponseWriter, _ *http.Request) {
	addresses := make(map[string]string)
	for _, h := range s.platform.Hosts() {
		addresses[h.Runner.Info().ID] = h.path(s.node).address
	}
	_ = json.NewEncoder(w).Encode(addresses)
}

// newLocalPlatform returns the clients of a node whose hosts are called at its own addresses, whichever
// node's record names them: a call for another node takes this node's path.
func newLocalPlatform(settings engine.Settings) engine.Platform {
	p := platform.New(settings)
	p.Hosts = &localHosts{direct: p.Hosts, server: settings.Store}
	return p
}

// localHosts implements lease.HostClient.
type localHosts struct {
	direct lease.HostClient
	server string

	mu        sync.Mutex
	addresses map[string]string
}

// Start implements lease.HostClient.
func (l *localHosts) Start(ctx context.Context, host *pool.Host, command lease.StartCommand) (lease.Reply, error) {
	host, err := l.local(ctx, host)
	if err != nil {
		return lease.Reply{}, err
	}
	return l.direct.Start(ctx, host, command)
}

// Stop implements lease.HostClient.
func (l *localHosts) Stop(ctx context.Context, host *pool.Host, command lease.StopCommand) (lease.Reply, error) {
	host, err := l.local(ctx, host)
	if err != nil {
		return lease.Reply{}, err
	}
	return l.direct.Stop(ctx, host, command)
}

// Pace implements lease.HostClient.
func (l *localHosts) Pace(ctx context.Context, host *pool.Host, command lease.PaceCommand) (lease.Reply, error) {
	host, err := l.local(ctx, host)
	if err != nil {
		return lease.Reply{}, err
	}
	return l.direct.Pace(ctx, host, command)
}

// Heartbeat implements lease.HostClient.
func (l *localHosts) Heartbeat(ctx context.Context, host *pool.Host, heartbeat lease.Heartbeat) (lease.HeartbeatReply, error) {
	host, err := l.local(ctx, host)
	if err != nil {
		return lease.HeartbeatReply{}, err
	}
	return l.direct.Heartbeat(ctx, host, heartbeat)
}

// local returns the host with the address at which this node calls it.
func (l *localHosts) local(ctx context.Context, host *pool.Host) (*pool.Host, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.addresses[host.ID] == "" {
		if err := l.readAddresses(ctx); err != nil {
			return nil, errors.WithMessage(lease.ErrNotSent, err.Error())
		}
	}
	local := *host
	local.Address = l.addresses[host.ID]
	return &local, nil
}

// readAddresses asks the server for the addresses. l.mu must be held.
func (l *localHosts) readAddresses(ctx context.Context) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.server+pathsPath, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(&l.addresses)
}
