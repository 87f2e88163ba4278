package guard

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// chargeWait is how long a charge waits for bytes that others release.
	chargeWait = 500 * time.Millisecond
	// victimInterval is the time between two choices of an account to evict, since the
	// weight of an account grows while the process waits for it.
	victimInterval = 50 * time.Millisecond
	// minWait is added to the time for which a client keeps the process waiting, so
	// that among clients without delay the one that holds most is chosen.
	minWait = 100 * time.Millisecond
)

var (
	// ErrSpent means that the budget is spent; nothing was charged.
	ErrSpent = errors.New("too many bytes are held for clients")
	// ErrShare means that one connection would hold more than its share.
	ErrShare = errors.New("the connection would hold more than its share")
	// ErrEvicted means that the client was disconnected in favour of others.
	ErrEvicted = errors.New("the client was disconnected in favour of others")
)

// Budget limits the bytes that are held for clients, by what each account was charged.
type Budget struct {
	limit int64
	// share limits one account, and unknownLimit all accounts of unknown callers.
	share        int64
	unknownLimit int64

	mu          sync.Mutex
	used        int64
	peak        int64
	unknownUsed int64
	accounts    map[*Account]bool
	// freed is closed and replaced when bytes are released, if anyone waits for it.
	freed chan struct{}
}

// NewBudget returns a budget of a number of bytes. Of these one account may hold share,
// and all accounts of unknown callers unknownLimit.
func NewBudget(limit, share, unknownLimit int64) *Budget {
	return &Budget{limit: limit, share: share, unknownLimit: unknownLimit, accounts: make(map[*Account]bool)}
}

// Used returns how many bytes are held, the most that were, and the limit.
func (b *Budget) Used() (used, peak, limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, b.peak, b.limit
}

// Account is what is held for one connection.
type Account struct {
	budget *Budget
	// evict ends the connection soon. It must not block.
	evict func()
	// waitingSince is since when the process waits for the client, as a time of clock; 0
	// if it doesn't.
	waitingSince atomic.Int64
	// unknown is written with the budget's mutex held.
	unknown atomic.Bool

	// These are guarded by the budget's mutex.
	held    int64
	evicted bool
	closed  bool
}

// Open returns a new account without charges. It must be closed.
func (b *Budget) Open(evict func()) *Account {
	a := &Account{budget: b, evict: evict}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.accounts[a] = true
	return a
}

// SetKnown says whether the account is that of a caller with a valid key, or of a node. It
// isn't called concurrently.
func (a *Account) SetKnown(known bool) {
	if a.unknown.Load() == !known {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if known {
		b.unknownUsed -= a.held
	} else {
		b.unknownUsed += a.held
	}
	a.unknown.Store(!known)
}

// Charge adds bytes to an account. If the budget is spent, it evicts the account
// that chooseVictim selects, if any, and waits until the bytes are free.
func (a *Account) Charge(bytes int64) error {
	freed, err := a.tryCharge(bytes)
	if !errors.Is(err, ErrSpent) {
		return err
	}
	// The client isn't to blame for this wait.
	start := clock()
	if since := a.waitingSince.Swap(0); since != 0 {
		defer func() { a.waitingSince.Store(since + clock() - start) }()
	}
	for deadline := time.Now().Add(chargeWait); errors.Is(err, ErrSpent); {
		remaining := time.Until(deadline)
		if remaining <= 0 {
			return err
		}
		timer := time.NewTimer(min(victimInterval, remaining))
		select {
		case <-freed:
		case <-timer.C:
		}
		timer.Stop()
		freed, err = a.tryCharge(bytes)
	}
	return err
}

// tryCharge charges bytes if they are free. If not, it returns ErrSpent and a channel
// that is closed when bytes are released.
func (a *Account) tryCharge(bytes int64) (<-chan struct{}, error) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case a.closed || a.evicted:
		return nil, ErrEvicted
	case a.held+bytes > b.share:
		return nil, ErrShare
	case b.fits(a, bytes):
		b.add(a, bytes)
		return nil, nil
	}
	if victim := b.victim(a, bytes); victim != nil {
		victim.evicted = true
		victim.evict()
	}
	if b.freed == nil {
		b.freed = make(chan struct{})
	}
	return b.freed, ErrSpent
}

// fits reports whether an account can be charged bytes.
func (b *Budget) fits(a *Account, bytes int64) bool {
	return b.used+bytes <= b.limit && (!a.unknown.Load() || b.unknownUsed+bytes <= b.unknownLimit)
}

func (b *Budget) add(a *Account, bytes int64) {
	a.held += bytes
	b.used += bytes
	b.peak = max(b.peak, b.used)
	if a.unknown.Load() {
		b.unknownUsed += bytes
	}
}

// victim returns the account to evict so that another can be charged bytes, or nil. There
// is none while evictions that have not ended yet free enough.
func (b *Budget) victim(self *Account, bytes int64) *Account {
	now := clock()
	own := self.candidate(now)
	own.held += bytes
	needed := b.used + bytes - b.limit
	onlyUnknown := self.unknown.Load() && b.unknownUsed+bytes > b.unknownLimit
	if onlyUnknown {
		needed = max(needed, b.unknownUsed+bytes-b.unknownLimit)
	}
	var accounts []*Account
	var candidates []candidate
	for a := range b.accounts {
		switch {
		case a == self || onlyUnknown && !a.unknown.Load():
		case a.evicted:
			needed -= a.held
		default:
			accounts = append(accounts, a)
			candidates = append(candidates, a.candidate(now))
		}
	}
	if needed <= 0 {
		return nil
	}
	if i := chooseVictim(own, candidates); i >= 0 {
		return accounts[i]
	}
	return nil
}

// candidate holds what the choice of an account to evict depends on.
type candidate struct {
	held int64
	// waited is how long the process has been waiting for the client, negative if it
	// doesn't.
	waited  time.Duration
	unknown bool
}

// candidate returns an account as a candidate for eviction. The budget's mutex must be held.
func (a *Account) candidate(now int64) candidate {
	c := candidate{held: a.held, waited: -1, unknown: a.unknown.Load()}
	if since := a.waitingSince.Load(); since != 0 {
		c.waited = max(0, time.Duration(now-since))
	}
	return c
}

// weight is how much a client holds for how long, in bytes times seconds. It is 0 for one
// that the process doesn't wait for.
func (c candidate) weight() float64 {
	if c.waited < 0 {
		return 0
	}
	return float64(c.held) * (c.waited + minWait).Seconds()
}

// chooseVictim returns the index of the candidate to evict in favour of own, or -1 if own
// comes before all of them.
func chooseVictim(own candidate, others []candidate) int {
	own.waited = max(0, own.waited)
	found, last := -1, own
	for i, c := range others {
		if c.weight() > 0 && c.evictedBefore(last) {
			found, last = i, c
		}
	}
	return found
}

// evictedBefore orders candidates: unknown callers come before known ones, then those of larger
// weight.
func (c candidate) evictedBefore(other candidate) bool {
	if c.unknown != other.unknown {
		return c.unknown
	}
	return c.weight() > other.weight()
}

// Release takes bytes off an account, at most what it holds.
func (a *Account) Release(bytes int64) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release(a, min(bytes, a.held))
}

// releaseAll takes all bytes off an account.
func (a *Account) releaseAll() {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release(a, a.held)
}

// Close ends an account. Later charges fail.
func (a *Account) Close() {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release(a, a.held)
	a.closed = true
	delete(b.accounts, a)
}

func (b *Budget) release(a *Account, bytes int64) {
	if bytes <= 0 {
		return
	}
	b.add(a, -bytes)
	if b.freed != nil {
		close(b.freed)
		b.freed = nil
	}
}

// startWaiting notes that the process waits for the client from now on, unless it does
// already.
func (a *Account) startWaiting() { a.waitingSince.CompareAndSwap(0, clock()) }

// restartWaiting notes that the client has made progress.
func (a *Account) restartWaiting() { a.waitingSince.Store(clock()) }

// stopWaiting notes that the client has sent what the process needs.
func (a *Account) stopWaiting() { a.waitingSince.Store(0) }

// begin is the zero of clock.
var begin = time.Now()

// clock returns the time since the process started in nanoseconds, at least 1.
func clock() int64 { return int64(time.Since(begin)) + 1 }
