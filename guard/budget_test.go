package guard

import (
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

// naiveBudget is a second implementation of the accounting: it adds up all accounts.
type naiveBudget struct {
	held    []int64
	unknown []bool
}

func (n *naiveBudget) sum(onlyUnknown bool) (sum int64) {
	for i, held := range n.held {
		if !onlyUnknown || n.unknown[i] {
			sum += held
		}
	}
	return sum
}

// TestBudgetAccounting compares charges, releases and the change of known and unknown with
// the naive accounting, and guards against bytes that stay charged after all accounts have
// been closed.
func TestBudgetAccounting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, share, unknownLimit = 100, 60, 40
		b := NewBudget(limit, share, unknownLimit)
		var accounts []*Account
		n := &naiveBudget{}
		for range 4 {
			// No account counts as waited for, so that none is evicted.
			accounts = append(accounts, b.Open(func() { t.Fatal("got an eviction, want none") }))
			n.held, n.unknown = append(n.held, 0), append(n.unknown, false)
		}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(accounts)-1).Draw(t, "account")
			bytes := int64(rapid.IntRange(0, 70).Draw(t, "bytes"))
			switch rapid.SampledFrom([]string{"charge", "charge", "release", "releaseAll", "known"}).Draw(t, "action") {
			case "charge":
				fits := n.sum(false)+bytes <= limit && n.held[i]+bytes <= share && (!n.unknown[i] || n.sum(true)+bytes <= unknownLimit)
				if _, err := accounts[i].tryCharge(bytes); (err == nil) != fits {
					t.Fatalf("got error %v for a charge of %d, want one: %t", err, bytes, !fits)
				} else if fits {
					n.held[i] += bytes
				}
			case "release":
				accounts[i].Release(bytes)
				n.held[i] = max(0, n.held[i]-bytes)
			case "releaseAll":
				accounts[i].releaseAll()
				n.held[i] = 0
			case "known":
				n.unknown[i] = bytes%2 == 0
				accounts[i].SetKnown(!n.unknown[i])
			}
			if b.used != n.sum(false) || b.unknownUsed != n.sum(true) {
				t.Fatalf("got %d bytes, %d of unknown callers, want %d and %d", b.used, b.unknownUsed, n.sum(false), n.sum(true))
			}
		}
		for _, a := range accounts {
			a.Close()
		}
		if b.used != 0 || b.unknownUsed != 0 || len(b.accounts) != 0 {
			t.Fatalf("got %d bytes, %d of unknown callers and %d accounts at the end, want none", b.used, b.unknownUsed, len(b.accounts))
		}
	})
}

// naiveVictim is a second implementation of chooseVictim: it compares all pairs.
func naiveVictim(own candidate, others []candidate) int {
	own.waited = max(0, own.waited)
	for i, s := range others {
		beaten := s.weight() <= 0 || !s.evictedBefore(own)
		for j, other := range others {
			if other.weight() > 0 && (other.evictedBefore(s) || j < i && !s.evictedBefore(other)) {
				beaten = true
			}
		}
		if !beaten {
			return i
		}
	}
	return -1
}

// TestChooseVictim compares the choice of the account to evict with the naive one. It guards
// against the eviction of a client that the process doesn't wait for, or of one that
// should be evicted after the one that needs the bytes.
func TestChooseVictim(t *testing.T) {
	draw := rapid.Custom(func(t *rapid.T) candidate {
		return candidate{
			held:    int64(rapid.IntRange(0, 3).Draw(t, "held")),
			waited:  time.Duration(rapid.IntRange(-1, 3).Draw(t, "waited")) * time.Second,
			unknown: rapid.Bool().Draw(t, "unknown"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		own := draw.Draw(t, "own")
		others := rapid.SliceOfN(draw, 0, 6).Draw(t, "others")
		got, want := chooseVictim(own, others), naiveVictim(own, others)
		if got != want {
			t.Fatalf("got %d, want %d", got, want)
		}
		if got >= 0 && (others[got].waited < 0 || others[got].held == 0 || own.unknown && !others[got].unknown) {
			t.Fatalf("got %+v for %+v, want one that holds bytes and is evicted before it", others[got], own)
		}
	})
}

// TestChargeEvicts checks that a client that holds bytes for long is evicted in favour of
// another, which gets the bytes as soon as they are released.
func TestChargeEvicts(t *testing.T) {
	b := NewBudget(100, 80, 100)
	var stalled *Account
	var release sync.WaitGroup
	stalled = b.Open(func() {
		release.Add(1)
		go func() {
			defer release.Done()
			stalled.Close()
		}()
	})
	if err := stalled.Charge(80); err != nil {
		t.Fatal(err)
	}
	stalled.waitingSince.Store(clock() - int64(time.Minute))
	other := b.Open(func() { t.Error("got an eviction of the client that makes progress") })
	other.restartWaiting()
	if err := other.Charge(30); err != nil {
		t.Errorf("got %v, want the bytes of the evicted account", err)
	}
	release.Wait()
	if err := stalled.Charge(1); !errors.Is(err, ErrEvicted) {
		t.Errorf("got %v for a charge after the eviction, want %v", err, ErrEvicted)
	}
}

// TestChargeSpent guards against a charge that waits without a bound, or that exceeds the
// limit, while all bytes are in use by requests that are served.
func TestChargeSpent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(100, 100, 100)
		served := b.Open(func() { t.Error("got an eviction of a client that isn't waited for") })
		if err := served.Charge(90); err != nil {
			t.Fatal(err)
		}
		other := b.Open(func() {})
		start := time.Now()
		if err := other.Charge(20); !errors.Is(err, ErrSpent) || time.Since(start) != chargeWait {
			t.Errorf("got %v after %s, want %v after %s", err, time.Since(start), ErrSpent, chargeWait)
		}
		if err := other.Charge(math.MaxInt32); !errors.Is(err, ErrShare) {
			t.Errorf("got %v, want %v", err, ErrShare)
		}
	})
}

// TestUnknownShare guards against callers without a key that take what known callers need.
func TestUnknownShare(t *testing.T) {
	b := NewBudget(100, 100, 40)
	unknown, known := b.Open(func() {}), b.Open(func() { t.Error("got an eviction of a known caller") })
	unknown.SetKnown(false)
	known.waitingSince.Store(1)
	if _, err := unknown.tryCharge(41); !errors.Is(err, ErrSpent) {
		t.Errorf("got %v for more than the share, want %v", err, ErrSpent)
	}
	if _, err := known.tryCharge(100); err != nil {
		t.Errorf("got %v for a known caller, want all bytes", err)
	}
	if _, err := unknown.tryCharge(1); !errors.Is(err, ErrSpent) {
		t.Errorf("got %v, want %v", err, ErrSpent)
	}
}
