package peer

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"rattanpath/core"
	"rattanpath/replay"
	"rattanpath/roster"
)

const (
	exchangeTimeout = time.Second
	// observationTTL is how long the last standing of an unresponsive peer is kept.
	observationTTL = 30 * time.Second
)

// RosterCache holds the last known list of the platform's hosts.
type RosterCache interface {
	Roster() *roster.Roster
	// UpdateFromPeer installs a list that a peer read at the given time.
	UpdateFromPeer(hosts []core.Host, at time.Time)
}

// Exchanger exchanges with a few randomly chosen peers in every round (gossip).
// An update reaches all n nodes in about log(n) rounds, and the bytes that a
// node sends do not grow with n.
type Exchanger struct {
	node         string
	self         string
	staticPeers  []string
	replica      Replica
	rosterCache  RosterCache
	members      *roster.Members
	service      *Service
	interval     time.Duration
	fanout       int
	dial         func(address string) Client
	logger       logr.Logger
	started      time.Time
	clients      map[string]Client
	mu           sync.Mutex
	observations map[string]Observation
	diverged     string
}

// Options configures an Exchanger.
type Options struct {
	Node string
	// Self is the node's own peer address.
	Self string
	// StaticPeers are peer addresses to use in addition to the host list.
	StaticPeers []string
	Interval    time.Duration
	Fanout      int
	// Dial returns a client of the peer at an address.
	Dial func(address string) Client
}

// New returns an exchanger for the node options.Node.
func New(options Options, replica Replica, rosterCache RosterCache, members *roster.Members, load func() Load, logger logr.Logger) *Exchanger {
	e := &Exchanger{
		dial:         options.Dial,
		node:         options.Node,
		self:         options.Self,
		staticPeers:  options.StaticPeers,
		replica:      replica,
		rosterCache:  rosterCache,
		members:      members,
		interval:     options.Interval,
		fanout:       options.Fanout,
		logger:       logger.WithName("peer"),
		started:      time.Now(),
		clients:      make(map[string]Client),
		observations: make(map[string]Observation),
	}
	e.service = &Service{node: e.node, replica: e.replica, rosterCache: e.rosterCache, load: load, onStanding: e.observe}
	return e
}

// Service returns the server side of the exchange.
func (e *Exchanger) Service() *Service { return e.service }

// Observations returns the last observation of each peer, keyed by node name.
func (e *Exchanger) Observations() map[string]Observation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.observations)
}

// Diverged returns the name of a peer whose state differs after the same
// records, or "" if none was found.
func (e *Exchanger) Diverged() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.diverged
}

func (e *Exchanger) observe(standing Standing) {
	e.members.MarkSeen(standing.Node)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.observations[standing.Node] = Observation{Standing: standing, At: time.Now()}
	maps.DeleteFunc(e.observations, func(_ string, o Observation) bool { return time.Since(o.At) > observationTTL })
}

// Run exchanges with peers until the context ends.
func (e *Exchanger) Run(ctx context.Context) {
	defer e.closeClients()
	for ctx.Err() == nil {
		e.runRound(ctx)
		_ = core.Sleep(ctx, e.nextDelay())
	}
}

// nextDelay returns the time until the next round.
func (e *Exchanger) nextDelay() time.Duration {
	if !e.members.Joined() {
		return startInterval
	}
	return e.interval/2 + rand.N(e.interval)
}

func (e *Exchanger) closeClients() {
	for _, client := range e.clients {
		client.Close()
	}
}

// runRound exchanges with several peers concurrently. A node that is not ready,
// or that its peers may not have observed yet, uses the larger startFanout.
func (e *Exchanger) runRound(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	starting := !e.replica.Ready()
	fanout := e.fanout
	if starting || !e.members.Joined() {
		fanout = startFanout
	}
	exchanges := e.exchangeAll(ctx, e.randomPeers(fanout))
	if starting && e.canStartFrom(exchanges) {
		e.replica.SetReady()
	}
	if e.observedByAll(exchanges) {
		e.members.SetJoined()
	}
}

// exchange is one call to a peer.
type exchange struct {
	exchanger *Exchanger
	ctx       context.Context
	peer      Client
	// response is nil if the call failed.
	response *Response
}

func (x *exchange) run() { x.response = x.exchanger.exchangeWith(x.ctx, x.peer) }

// exchangeAll calls all addresses concurrently and waits for the calls to end.
func (e *Exchanger) exchangeAll(ctx context.Context, addresses []string) []*exchange {
	var wg sync.WaitGroup
	exchanges := make([]*exchange, len(addresses))
	for i, address := range addresses {
		exchanges[i] = &exchange{exchanger: e, ctx: ctx, peer: e.client(address)}
		wg.Go(exchanges[i].run)
	}
	wg.Wait()
	return exchanges
}

func (e *Exchanger) client(address string) Client {
	if e.clients[address] == nil {
		e.clients[address] = e.dial(address)
	}
	return e.clients[address]
}

// exchangeWith calls a peer once and applies its response. It returns nil if
// the call failed.
func (e *Exchanger) exchangeWith(ctx context.Context, peer Client) *Response {
	before := e.replica.State()
	request := Request{Standing: e.service.standing(before), WantHosts: e.rosterCache.Roster().Err != nil}
	response, err := peer.Exchange(ctx, request)
	if err != nil {
		e.logger.V(1).Info("exchange with a peer failed", "reason", err.Error())
		return nil
	}
	e.observe(response.Standing)
	e.checkDivergence(before, response)
	if err := e.applyResponse(response); err != nil {
		e.logger.Error(err, "can't apply the response of a peer", "peer", response.Node)
	}
	return response
}

// checkDivergence reports a peer whose digest differs after the same number of
// records.
func (e *Exchanger) checkDivergence(state *replay.State, response *Response) {
	if response.Next != state.Next || response.Digest == state.Digest {
		return
	}
	e.mu.Lock()
	e.diverged = response.Node
	e.mu.Unlock()
	e.logger.Error(errors.New("states diverged"), "a peer has a different state after the same number of records", "peer", response.Node, "next", response.Next)
}

func (e *Exchanger) applyResponse(response *Response) error {
	if len(response.Hosts) > 0 {
		e.rosterCache.UpdateFromPeer(response.Hosts, time.Now().Add(-max(0, response.HostsAge)))
	}
	if len(response.Entries) > 0 {
		return e.replica.ApplyEntries(response.Entries)
	}
	if len(response.State) == 0 {
		return nil
	}
	state, err := replay.Decode(response.State, response.Hash)
	if err != nil {
		return err
	}
	e.replica.InstallState(state)
	return nil
}

// randomPeers returns at most n randomly chosen peer addresses.
func (e *Exchanger) randomPeers(n int) []string {
	addresses := e.peerAddresses()
	rand.Shuffle(len(addresses), func(i, j int) {
		addresses[i], addresses[j] = addresses[j], addresses[i]
	})
	return addresses[:min(n, len(addresses))]
}

// peerAddresses returns the addresses of all peers and closes the clients of
// addresses that are no longer among them.
func (e *Exchanger) peerAddresses() []string {
	all := slices.Clone(e.staticPeers)
	for _, host := range e.rosterCache.Roster().Hosts {
		if host.Role == core.RoleEntry && host.Name != e.node && host.PeerAddress != "" {
			all = append(all, host.PeerAddress)
		}
	}
	slices.Sort(all)
	all = slices.DeleteFunc(slices.Compact(all), func(address string) bool { return address == e.self })
	for address, client := range e.clients {
		if _, found := slices.BinarySearch(all, address); !found {
			client.Close()
			delete(e.clients, address)
		}
	}
	return all
}
