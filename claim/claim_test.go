package claim

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"rattanpath/fake"
	"rattanpath/store"
)

const testTopic = "matter"

func clock() time.Duration { return time.Duration(time.Now().UnixNano()) }

func take(t *testing.T, journal Journal, node string) *Claim {
	t.Helper()
	c, err := Take(t.Context(), journal, testTopic, node, node+time.Now().String())
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestClaimFencesOlderOnes lets two nodes claim a topic in turn.
func TestClaimFencesOlderOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fake.NewStore()
		first := take(t, s.Client("a"), "a")
		writer := first.NewWriter(s.Client("a"), testTopic, clock)
		if _, err := writer.Write(t.Context(), []store.Record{{Key: "k", Value: []byte("1")}}); err != nil {
			t.Fatal(err)
		}
		second := take(t, s.Client("b"), "b")
		if second.Epoch <= first.Epoch || second.Before != "a" || second.Released {
			t.Errorf("got epoch %d after %d, before %q, released %v; want a higher epoch after a, not released", second.Epoch, first.Epoch, second.Before, second.Released)
		}
		if len(second.Records) != 1 || string(second.Records[0].Value) != "1" {
			t.Errorf("got records %v, want the one that was written", second.Records)
		}
		if _, err := writer.Write(t.Context(), nil); !errors.Is(err, store.ErrFenced) {
			t.Errorf("got %v for the older claim, want %v", err, store.ErrFenced)
		}
	})
}

// TestClaimWhoseAnswerIsLost tries the claim again under the same nonce.
func TestClaimWhoseAnswerIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fake.NewStore()
		s.LoseAnswers("a", 1, time.Millisecond)
		if _, err := Take(t.Context(), s.Client("a"), testTopic, "a", "nonce"); err == nil {
			t.Fatal("got no error for a lost answer, want one")
		}
		time.Sleep(time.Second)
		c, err := Take(t.Context(), s.Client("a"), testTopic, "a", "nonce")
		if err != nil || c.Epoch != 1 {
			t.Fatalf("got epoch %v and %v, want epoch 1", c, err)
		}
		if _, err := c.NewWriter(s.Client("a"), testTopic, clock).Write(t.Context(), []store.Record{{Key: "k", Value: []byte("1")}}); err != nil {
			t.Errorf("got %v, want the claim to hold", err)
		}
	})
}

// TestLostAnswersCostLittle loses the answers of two writes in a row: the next
// attempt comes soon, and all records are there once.
func TestLostAnswersCostLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fake.NewStore()
		c := take(t, s.Client("a"), "a")
		writer := c.NewWriter(s.Client("a"), testTopic, clock)
		for _, late := range []time.Duration{0, time.Millisecond, 3 * time.Second} {
			s.LoseAnswers("a", 2, late)
			begun := time.Now()
			if _, err := writer.Write(t.Context(), []store.Record{{Key: late.String(), Value: []byte("1")}}); err != nil {
				t.Fatal(err)
			}
			if got, want := time.Since(begun), 3*minAttempt+100*time.Millisecond; got > want {
				t.Errorf("got %v for a write whose first two answers are lost, want at most %v", got, want)
			}
		}
		time.Sleep(5 * time.Second)
		for _, key := range []string{"0s", "1ms", "3s"} {
			if got := string(s.Value(testTopic, key)); got != "1" {
				t.Errorf("got %q for %s, want it written", got, key)
			}
		}
	})
}

// TestAttemptsGrowWithTheStore lets the store take longer than the shortest
// attempt: writes still get through, and soon without a repeat.
func TestAttemptsGrowWithTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fake.NewStore()
		c := take(t, s.Client("a"), "a")
		writer := c.NewWriter(s.Client("a"), testTopic, clock)
		failed := 0
		writer.Failed = func(error) { failed++ }
		s.Slow(2 * minAttempt)
		for i := range 10 {
			if _, err := writer.Write(t.Context(), []store.Record{{Key: "k", Value: []byte{byte(i)}}}); err != nil {
				t.Fatal(err)
			}
		}
		if failed > 6 {
			t.Errorf("got %d attempts given up on in 10 writes, want at most 6", failed)
		}
		s.Slow(0)
	})
}

// slowJournal holds writes back until it is told to let them go.
type slowJournal struct {
	Journal
	release chan struct{}
}

func (j *slowJournal) Append(ctx context.Context, write store.Write) (int64, error) {
	<-j.release
	return j.Journal.Append(ctx, write)
}

// TestClaimsOfOneEpochAreToldApart lets two nodes read the same end of a topic and
// claim the same epoch: only one may have it, though the store takes a second write
// under one number for a repeat of the first.
func TestClaimsOfOneEpochAreToldApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fake.NewStore()
		late := &slowJournal{Journal: s.Client("a"), release: make(chan struct{})}
		claimed := make(chan *Claim, 1)
		go func() {
			c, err := Take(t.Context(), late, testTopic, "a", "nonce of a")
			if err != nil {
				t.Error(err)
			}
			claimed <- c
		}()
		synctest.Wait()
		b := take(t, s.Client("b"), "b")
		close(late.release)
		a := <-claimed
		if a == nil || a.Epoch <= b.Epoch {
			t.Fatalf("got epoch %d for the later claim, want one above %d", a.Epoch, b.Epoch)
		}
		if _, err := b.NewWriter(s.Client("b"), testTopic, clock).Write(t.Context(), []store.Record{{Key: "k"}}); !Lost(err) {
			t.Errorf("got %v for a write of the older claim, want it refused", err)
		}
	})
}

// TestWriteAfterAnUnsureOne gives up on a write that takes effect later, and
// writes something else: both must be there.
func TestWriteAfterAnUnsureOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fake.NewStore()
		c := take(t, s.Client("a"), "a")
		writer := c.NewWriter(s.Client("a"), testTopic, clock)
		s.LoseAnswers("a", 1, 0)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		if _, err := writer.Write(ctx, []store.Record{{Key: "first", Value: []byte("1")}}); err == nil {
			t.Fatal("got no error, want the write to be given up")
		}
		if _, err := writer.Write(t.Context(), []store.Record{{Key: "second", Value: []byte("2")}}); err != nil {
			t.Fatal(err)
		}
		for key, want := range map[string]string{"first": "1", "second": "2"} {
			if got := string(s.Value(testTopic, key)); got != want {
				t.Errorf("got %q for %s, want %q", got, key, want)
			}
		}
	})
}
