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
	"rattanpath/fold"
	"rattanpath/roster"
)

const (
	exchangeTimeout = time.Second
	// forgetAfter is how long a peer's last word is kept.
	forgetAfter = 30 * time.Second
)

// Rosters gives the platform's hosts.
type Rosters interface {
	Roster() *roster.Roster
	// UpdateFromPeer takes a list that a peer read at the given time.
	UpdateFromPeer(hosts []core.Host, at time.Time)
}

// Exchanger asks a few peers, chosen anew at random, in every round. News
// reach all of n nodes in about log(n) rounds, and what a node sends does not
// grow with n.
type Exchanger struct {
	node     string
	self     string
	fixed    []string
	states   States
	rosters  Rosters
	members  *roster.Members
	service  *Service
	every    time.Duration
	fanout   int
	dial     func(address string) Link
	logger   logr.Logger
	started  time.Time
	links    map[string]Link
	mu       sync.Mutex
	known    map[string]Known
	diverged string
}

// Options are the settings of an exchanger.
type Options struct {
	Node string
	// Self is the node's own peer address.
	Self string
	// Fixed are peer addresses to use besides the host list.
	Fixed  []string
	Every  time.Duration
	Fanout int
	// Dial makes the link to a peer.
	Dial func(address string) Link
}

// New returns an exchanger for the node that options name.
func New(options Options, states States, rosters Rosters, members *roster.Members, load func() Load, logger logr.Logger) *Exchanger {
	e := &Exchanger{
		dial:    options.Dial,
		node:    options.Node,
		self:    options.Self,
		fixed:   options.Fixed,
		states:  states,
		rosters: rosters,
		members: members,
		every:   options.Every,
		fanout:  options.Fanout,
		logger:  logger.WithName("peer"),
		started: time.Now(),
		links:   make(map[string]Link),
		known:   make(map[string]Known),
	}
	e.service = &Service{node: e.node, states: e.states, rosters: e.rosters, load: load, heard: e.hear}
	return e
}

// Service returns the answering side.
func (e *Exchanger) Service() *Service { return e.service }

// Known returns what was last heard of each peer.
func (e *Exchanger) Known() map[string]Known {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.known)
}

// Diverged names a peer that folded the same records into another state, or
// is empty.
func (e *Exchanger) Diverged() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.diverged
}

func (e *Exchanger) hear(standing Standing) {
	e.members.MarkSeen(standing.Node)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.known[standing.Node] = Known{Standing: standing, At: time.Now()}
	maps.DeleteFunc(e.known, func(_ string, k Known) bool { return time.Since(k.At) > forgetAfter })
}

// Run exchanges with peers until the context ends.
func (e *Exchanger) Run(ctx context.Context) {
	defer e.closeLinks()
	for ctx.Err() == nil {
		e.round(ctx)
		_ = core.Sleep(ctx, e.pause())
	}
}

// pause returns the time until the next round.
func (e *Exchanger) pause() time.Duration {
	if !e.members.Joined() {
		return startPause
	}
	return e.every/2 + rand.N(e.every)
}

func (e *Exchanger) closeLinks() {
	for _, link := range e.links {
		link.Close()
	}
}

// round asks some peers at once. A node that is not ready, or that the others
// may not have heard of, asks as many as it may.
func (e *Exchanger) round(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	starting := !e.states.Ready()
	fanout := e.fanout
	if starting || !e.members.Joined() {
		fanout = startFanout
	}
	questions := e.askAll(ctx, e.pick(fanout))
	if starting && e.mayStartFrom(questions) {
		e.states.SetReady()
	}
	if e.heardByAll(questions) {
		e.members.SetJoined()
	}
}

// question is one exchange with a peer.
type question struct {
	exchanger *Exchanger
	ctx       context.Context
	peer      Link
	// answer is nil if the peer can't be asked.
	answer *Answer
}

// run asks the question.
func (q *question) run() { q.answer = q.exchanger.ask(q.ctx, q.peer) }

// askAll asks each address at once and waits for the answers.
func (e *Exchanger) askAll(ctx context.Context, addresses []string) []*question {
	var wg sync.WaitGroup
	questions := make([]*question, len(addresses))
	for i, address := range addresses {
		questions[i] = &question{exchanger: e, ctx: ctx, peer: e.link(address)}
		wg.Go(questions[i].run)
	}
	wg.Wait()
	return questions
}

func (e *Exchanger) link(address string) Link {
	if e.links[address] == nil {
		e.links[address] = e.dial(address)
	}
	return e.links[address]
}

// ask exchanges once with a peer and takes what it has to give. It returns
// nil if the peer can't be asked.
func (e *Exchanger) ask(ctx context.Context, peer Link) *Answer {
	before := e.states.State()
	request := Request{Standing: e.service.standing(before), WantHosts: e.rosters.Roster().Err != nil}
	answer, err := peer.Exchange(ctx, request)
	if err != nil {
		e.logger.V(1).Info("peer can't be asked", "reason", err.Error())
		return nil
	}
	e.hear(answer.Standing)
	e.compare(before, answer)
	if err := e.take(answer); err != nil {
		e.logger.Error(err, "what a peer gave can't be used", "peer", answer.Node)
	}
	return answer
}

// compare raises an alarm if the peer folded the same records differently.
func (e *Exchanger) compare(state *fold.State, answer *Answer) {
	if answer.Next != state.Next || answer.Digest == state.Digest {
		return
	}
	e.mu.Lock()
	e.diverged = answer.Node
	e.mu.Unlock()
	e.logger.Error(errors.New("states diverged"), "a peer has other records", "peer", answer.Node, "next", answer.Next)
}

func (e *Exchanger) take(answer *Answer) error {
	if len(answer.Hosts) > 0 {
		e.rosters.UpdateFromPeer(answer.Hosts, time.Now().Add(-answer.HostsAge))
	}
	if len(answer.Entries) > 0 {
		return e.states.ApplyEntries(answer.Entries)
	}
	if len(answer.State) == 0 {
		return nil
	}
	state, err := fold.Decode(answer.State, answer.Hash)
	if err != nil {
		return err
	}
	e.states.InstallState(state)
	return nil
}

// pick returns at most n addresses of peers, chosen at random.
func (e *Exchanger) pick(n int) []string {
	addresses := e.addresses()
	rand.Shuffle(len(addresses), func(i, j int) {
		addresses[i], addresses[j] = addresses[j], addresses[i]
	})
	return addresses[:min(n, len(addresses))]
}

// addresses returns every peer's address and closes links to those that are
// gone.
func (e *Exchanger) addresses() []string {
	all := slices.Clone(e.fixed)
	for _, host := range e.rosters.Roster().Hosts {
		if host.Role == core.RoleEntry && host.Name != e.node && host.PeerAddress != "" {
			all = append(all, host.PeerAddress)
		}
	}
	slices.Sort(all)
	all = slices.DeleteFunc(slices.Compact(all), func(address string) bool { return address == e.self })
	for address, link := range e.links {
		if _, found := slices.BinarySearch(all, address); !found {
			link.Close()
			delete(e.links, address)
		}
	}
	return all
}
