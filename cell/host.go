package cell

import (
	"context"
	"time"

	"rattanpath/core"
	"rattanpath/lease"
	"rattanpath/pace"
	"rattanpath/pool"
	"rattanpath/tasks"
)

// Times of the calls of a host.
const (
	// holdWait is how long a hold waits for an end.
	holdWait = time.Second
	// holdPause is the time between holds while a host doesn't answer, and while
	// the store keeps its ends from being noted.
	holdPause = 300 * time.Millisecond
	// noteWait is how long a hold waits for the store to note the last ends.
	noteWait = 500 * time.Millisecond
	// lossWait is the wait of a hold while hosts leave calls unanswered: ends are
	// hidden for as long as a lost one waits. lossTime is how long after such a call
	// others are expected.
	lossWait = 300 * time.Millisecond
	lossTime = 5 * time.Second
	// sickTime is how long a host that refuses orders gets no more.
	sickTime = time.Second
)

// run is a run that takes room on a host.
type run struct {
	// entry is the job, or nil for a run that no job knows.
	entry  *entry
	name   tasks.ID
	number int
	room   tasks.Resources
	// sent means that the start was or is being sent, and answered is when the
	// host took it.
	sent     bool
	answered time.Duration
	// doubt is when the answer to the start was given up on; zero if it wasn't.
	doubt time.Duration
	// stopping means that the run is being stopped.
	stopping bool
	// inherited means that an older owner may have started it.
	inherited bool
	// adopted means that an older owner has started it.
	adopted bool
	// percent is how far the run is, as its host last showed. firstSeen is when it
	// was shown first, and rose when the percent last rose.
	percent   int
	firstSeen time.Duration
	rose      time.Duration
	// tail is the response time of a serving task as its host last showed.
	tail time.Duration
	// share is how hard the run works, in percent, and pacing means that an order
	// to change that is under way.
	share  int
	pacing bool
}

// whole is the percent that a host shows of a serving task that is at work, and
// of any other that is done.
const whole = 100

// host is what a cell knows of a host.
type host struct {
	id    string
	info  *pool.Host
	clock lease.Clock
	runs  map[tasks.ID]*run
	// present means that the pool lists the host.
	present bool
	// fenced means that the host has shown its runs under this epoch.
	fenced bool
	// failed counts the holds without an answer since the last one with.
	failed int
	// born is the life that has answered, and lives counts those of this epoch.
	born  int64
	lives int64
	// retired is the life of the host that the depot has ended, and retiredAt when;
	// 0 is none.
	retired   int64
	retiredAt time.Time
	// sure means that the present life has answered since the host was idle or
	// silent. Before, a count of ends may be of an older life.
	sure bool
	// seen is the last end that is noted in the store, and listed the last one
	// that the host has listed.
	seen   int64
	listed int64
	// sickUntil is when the host gets orders again after it refused one.
	sickUntil time.Time
	// cordonedUntil is until when the host gets no new runs, and cordonedSince the
	// beginning of that. With vacate, its runs are moved away.
	cordonedUntil time.Time
	cordonedSince time.Time
	vacate        bool
	record        record
	// share is how hard tasks that fill are to work, in percent, since pacedAt.
	share   int
	pacedAt time.Time

	kick    chan struct{}
	running bool
}

// host returns what is known of a host and begins with nothing.
func (c *Cell) host(id string) *host {
	h := c.hosts[id]
	if h == nil {
		h = &host{id: id, runs: make(map[tasks.ID]*run), kick: make(chan struct{}, 1), share: pace.FullShare}
		c.hosts[id] = h
	}
	return h
}

// life returns when the present life of the host began, or 1 if that isn't
// known.
func (h *host) life() int64 {
	switch {
	case h.born != 0:
		return h.born
	case h.info != nil && h.info.Incarnation != 0:
		return h.info.Incarnation
	default:
		return 1
	}
}

// retireTime is how long a life that the depot has ended counts as over. A host
// that is listed still, and answers, has not gone: the machine had had its
// upkeep before.
const retireTime = 6 * time.Second

// isRetired reports whether the depot has ended the host's present life.
func (h *host) isRetired() bool {
	return h.retired != 0 && h.retired == h.life() && time.Since(h.retiredAt) < retireTime
}

// usable reports whether the host can be given runs.
func (h *host) usable() bool {
	return h.present && h.fenced && h.failed == 0 && !h.info.Draining && h.clock.Synced() && !h.isRetired()
}

// meet takes in what a host says of itself.
func (c *Cell) meet(id string, info *pool.Host) {
	h := c.host(id)
	if h.info != nil && h.info.Incarnation != 0 && info.Incarnation != 0 && info.Incarnation != h.info.Incarnation && h.born != info.Incarnation {
		// Its list will tell.
		h.fenced = false
		kick(h.kick)
	}
	h.info = info
	h.present = true
	c.startHost(h)
}

func (c *Cell) startHost(h *host) {
	if h.running || h.info == nil || c.ctx == nil {
		return
	}
	h.running = true
	loop := &hostLoop{cell: c, host: h}
	c.goRun(loop.run)
}

// used returns the capacity that the runs of a host take.
func (h *host) used() tasks.Resources {
	var used tasks.Resources
	for _, r := range h.runs {
		used = used.Add(r.room)
	}
	return used
}

// hostLoop keeps in touch with one host.
type hostLoop struct {
	cell *Cell
	host *host
}

// run holds the host's lease while there are runs on it, until ctx ends or the
// host is gone and empty.
func (l *hostLoop) run(ctx context.Context) {
	for ctx.Err() == nil {
		order, info, wanted := l.next()
		switch {
		case info == nil:
			return
		case !wanted:
			l.idle(ctx)
			continue
		}
		listing, sent, err := l.ask(ctx, info, order)
		if ctx.Err() != nil {
			return
		}
		if err != nil || listing.Reason != lease.Accepted {
			l.cell.holdFailed(l.host, order.Token, listing.Reason, err)
			_ = core.Sleep(ctx, holdPause)
			continue
		}
		noted := l.cell.listed(l.host, listing, sent)
		l.waitNoted(ctx, noted)
	}
}

// held is the outcome of a hold that was sent at a local time.
type held struct {
	listing lease.HeartbeatReply
	sent    time.Duration
	err     error
}

// ask sends a hold, and another one if it isn't answered soon after its wait: the
// first may be lost or carried out late. The first good answer counts.
func (l *hostLoop) ask(ctx context.Context, info *pool.Host, order lease.Heartbeat) (lease.HeartbeatReply, time.Duration, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan held, 2)
	send := func(order lease.Heartbeat) {
		sent := l.cell.options.Clock()
		listing, err := l.cell.options.Hosts.Heartbeat(ctx, info, order)
		answers <- held{listing, sent, err}
	}
	go send(order)
	again := time.NewTimer(order.Wait + doubtTime)
	defer again.Stop()
	due := l.cell.options.Clock() + order.Wait + doubtTime
	for underWay := 1; ; {
		select {
		case <-again.C:
			if now := l.cell.options.Clock(); now-due > lagTime {
				// This node is too busy to tell: the answer may have come.
				due = now + doubtTime
				again.Reset(doubtTime)
				continue
			}
			l.cell.noteLoss()
			order.Wait = 0
			underWay++
			go send(order)
		case a := <-answers:
			underWay--
			if a.err == nil || underWay == 0 {
				return a.listing, a.sent, a.err
			}
		}
	}
}

// noteLoss notes that a host has left a call unanswered.
func (c *Cell) noteLoss() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lossAt = c.options.Clock()
}

// idle waits until there is something to ask the host.
func (l *hostLoop) idle(ctx context.Context) {
	select {
	case <-l.host.kick:
	case <-time.After(holdWait):
	case <-ctx.Done():
	}
}

// waitNoted waits until the listed ends are noted, so that the next hold need
// not list them again.
func (l *hostLoop) waitNoted(ctx context.Context, noted <-chan struct{}) {
	if noted == nil {
		return
	}
	select {
	case <-noted:
	case <-time.After(noteWait):
	case <-ctx.Done():
	}
}

// next returns the next hold. No host means that it is gone.
func (l *hostLoop) next() (lease.Heartbeat, *pool.Host, bool) {
	c, h := l.cell, l.host
	c.mu.Lock()
	defer c.mu.Unlock()
	if !h.present && len(h.runs) == 0 {
		h.running = false
		delete(c.hosts, h.id)
		return lease.Heartbeat{}, nil, false
	}
	if len(h.runs) == 0 && (h.isRetired() || h.fenced && h.seen == h.listed) {
		h.sure = false
		return lease.Heartbeat{}, h.info, false
	}
	order := lease.Heartbeat{Token: c.token(h)}
	if h.sure {
		order.Acknowledged = h.seen
	}
	if h.fenced && h.failed == 0 {
		order.Wait = holdWait
		if filling, tails := h.sharing(); filling > 0 && len(tails) > 0 {
			order.Wait = paceEvery
		}
		if c.lossAt != 0 && c.options.Clock()-c.lossAt < lossTime {
			order.Wait = min(order.Wait, lossWait)
		}
	}
	if h.seen < h.listed {
		order.Wait = 0
	}
	// A host that doesn't answer is not given longer leases: otherwise they would
	// never be sure to have ended.
	if len(h.runs) > 0 && h.failed == 0 && c.owns() {
		order.LeaseExpiry = h.clock.Grant(c.options.Clock(), c.leaseLength())
	}
	return order, h.info, true
}

// tokenStep is how far apart the tokens of two epochs are.
const tokenStep = 1000

// token returns the token of orders to a host. It rises with each life of the
// host, so that an order to an earlier one is refused by a later one.
func (c *Cell) token(h *host) int64 {
	return c.epoch*tokenStep + min(h.lives, tokenStep-1)
}

// leaseLength is how long a lease is granted for.
func (c *Cell) leaseLength() time.Duration {
	return min(maxLease, time.Duration(float64(c.options.MaxLease)*leaseShare))
}

// inheritedUntil returns when everything that older owners have ordered on a
// host has lapsed.
func (c *Cell) inheritedUntil(h *host) time.Duration {
	if left, known := c.doubts[h.id]; known {
		return c.claimed + left
	}
	longest := time.Duration(float64(c.leaseLength())/lease.MinClockRate) + doubtSlack
	if c.claim.PreviousNode != "" && !c.claim.PreviousReleased {
		longest += ownTime
	}
	return c.claimed + longest
}

// holdFailed notes that a host did not answer a hold, or refused it.
func (c *Cell) holdFailed(h *host, token int64, reason lease.Reason, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h.failed++
	h.sure = false
	if h.failed == 1 {
		c.logger.Info("host lost touch", "host", h.id, "runs", len(h.runs), "refusal", reason.String(), "err", text(err))
	}
	switch reason {
	case lease.RefusedFenced:
		c.fencedOff(h, token)
	case lease.RefusedIncarnation:
		// Another life has the address; this one is over, and with it its runs.
		c.loseRuns(h, "the address belongs to another host")
	}
}

func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// expireLeases gives up the runs of hosts whose every lease has ended.
func (c *Cell) expireLeases() {
	now := c.options.Clock()
	for id, h := range c.hosts {
		inheritedUntil := c.inheritedUntil(h)
		over := h.clock.Expired(now)
		for _, r := range h.runs {
			switch {
			case r.inherited && now > inheritedUntil:
				c.runOver(h, r, tasks.EndLost, "", "every lease of older owners has ended")
			case !r.inherited && r.sent && over && h.failed > 0:
				c.runOver(h, r, tasks.EndLost, "", "the lease has ended")
			}
		}
		if h.info == nil && len(h.runs) == 0 {
			delete(c.hosts, id)
		}
	}
}
