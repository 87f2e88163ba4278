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

func acquire(t *testing.T, journal Journal, node string) *Claim {
	t.Helper()
	c, err := Acquire(t.Context(), journal, testTopic, node, node+time.Now().String(), clock)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestAcquireFencesPreviousClaim lets two nodes claim a topic one after the other and
// checks that the first can no longer write.
func TestAcquireFencesPreviousClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fake.NewStore()
		first := acquire(t, s.Client("a"), "a")
		writer := first.NewWriter(s.Client("a"), testTopic, clock)
		if _, err := writer.Write(t.Context(), []store.Record{{Key: "k", Value: []byte("1")}}); err != nil {
			t.Fatal(err)
		}
		second := acquire(t, s.Client("b"), "b")
		if second.Epoch <= first.Epoch || second.PreviousNode != "a" || second.PreviousReleased {
			t.Errorf("got epoch %d after %d, previous node %q, released %v; want a higher epoch, previous node \"a\", not released", second.Epoch, first.Epoch, second.PreviousNode, second.PreviousReleased)
		}
		if len(second.Records) != 1 || string(second.Records[0].Value) != "1" {
			t.Errorf("got records %v, want the written record", second.Records)
		}
		if _, err := writer.Write(t.Context(), nil); !errors.Is(err, store.ErrFenced) {
			t.Errorf("got %v for a write under the previous claim, want %v", err, store.ErrFenced)
		}
	})
}

// slowJournal answers appends late.
type slowJournal struct{ Journal }

func (j slowJournal) Append(ctx context.Context, write store.Write) (int64, error) {
	offset, err := j.Journal.Append(ctx, write)
	time.Sleep(10 * time.Second)
	return offset, err
}

// TestClaimCountsFromItsSending guards against an owner that was suspended during its claim
// and takes the ownership as confirmed when it wakes.
func TestClaimCountsFromItsSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fake.NewStore()
		before := clock()
		c := acquire(t, slowJournal{s.Client("a")}, "a")
		if got := c.SentAt - before; got < 0 || got > time.Second {
			t.Errorf("got a claim sent %v after the call, want at most a second", got)
		}
	})
}

// TestAcquireRetryAfterLostResponse checks that a retry with the same nonce finds the
// claim whose response was lost.
func TestAcquireRetryAfterLostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fake.NewStore()
		s.LoseResponses("a", 1, time.Millisecond)
		if _, err := Acquire(t.Context(), s.Client("a"), testTopic, "a", "nonce", clock); err == nil {
			t.Fatal("got no error for a lost response, want one")
		}
		time.Sleep(time.Second)
		c, err := Acquire(t.Context(), s.Client("a"), testTopic, "a", "nonce", clock)
		if err != nil || c.Epoch != 1 || c.SentAt != 0 {
			t.Fatalf("got claim %+v and error %v, want epoch 1, sent at an unknown time", c, err)
		}
		if _, err := c.NewWriter(s.Client("a"), testTopic, clock).Write(t.Context(), []store.Record{{Key: "k", Value: []byte("1")}}); err != nil {
			t.Errorf("got %v, want a write under the claim to succeed", err)
		}
	})
}

// TestWriteRetryAfterLostResponses loses the responses of two attempts in a row. The
// write must be retried soon, and no late attempt may overwrite or drop a record.
func TestWriteRetryAfterLostResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fake.NewStore()
		c := acquire(t, s.Client("a"), "a")
		writer := c.NewWriter(s.Client("a"), testTopic, clock)
		for _, delay := range []time.Duration{0, time.Millisecond, 3 * time.Second} {
			s.LoseResponses("a", 2, delay)
			start := time.Now()
			if _, err := writer.Write(t.Context(), []store.Record{{Key: delay.String(), Value: []byte("1")}}); err != nil {
				t.Fatal(err)
			}
			if got, want := time.Since(start), 3*minAttemptTimeout+100*time.Millisecond; got > want {
				t.Errorf("got %v for a write whose first two responses are lost, want at most %v", got, want)
			}
		}
		time.Sleep(5 * time.Second)
		for _, key := range []string{"0s", "1ms", "3s"} {
			if got := string(s.Value(testTopic, key)); got != "1" {
				t.Errorf("got %q for key %s, want %q", got, key, "1")
			}
		}
	})
}

// TestAttemptTimeoutAdapts makes the store slower than minAttemptTimeout. Writes must
// still succeed, and without retries after the first few.
func TestAttemptTimeoutAdapts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fake.NewStore()
		c := acquire(t, s.Client("a"), "a")
		writer := c.NewWriter(s.Client("a"), testTopic, clock)
		retries := 0
		writer.OnRetry = func(error) { retries++ }
		s.SetExtraLatency(2 * minAttemptTimeout)
		for i := range 10 {
			if _, err := writer.Write(t.Context(), []store.Record{{Key: "k", Value: []byte{byte(i)}}}); err != nil {
				t.Fatal(err)
			}
		}
		if retries > 6 {
			t.Errorf("got %d retries in 10 writes, want at most 6", retries)
		}
		s.SetExtraLatency(0)
	})
}

// blockedJournal blocks appends until release is closed.
type blockedJournal struct {
	Journal
	release chan struct{}
}

func (j *blockedJournal) Append(ctx context.Context, write store.Write) (int64, error) {
	<-j.release
	return j.Journal.Append(ctx, write)
}

// TestConcurrentAcquireSameEpoch lets two nodes claim the same epoch from the same end
// of a topic. Only one may get it, although the store treats a second write with the
// same sequence number as a repeat of the first.
func TestConcurrentAcquireSameEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fake.NewStore()
		blocked := &blockedJournal{Journal: s.Client("a"), release: make(chan struct{})}
		claimed := make(chan *Claim, 1)
		go func() {
			c, err := Acquire(t.Context(), blocked, testTopic, "a", "nonce of a", clock)
			if err != nil {
				t.Error(err)
			}
			claimed <- c
		}()
		synctest.Wait()
		b := acquire(t, s.Client("b"), "b")
		close(blocked.release)
		a := <-claimed
		if a == nil || a.Epoch <= b.Epoch {
			t.Fatalf("got epoch %d for the later claim, want one above %d", a.Epoch, b.Epoch)
		}
		if _, err := b.NewWriter(s.Client("b"), testTopic, clock).Write(t.Context(), []store.Record{{Key: "k"}}); !IsSuperseded(err) {
			t.Errorf("got %v for a write under the previous claim, want it refused", err)
		}
	})
}

// malformedJournal lists an item that can't be decoded.
type malformedJournal struct{ Journal }

func (j malformedJournal) Newest(ctx context.Context, topic string) (store.Snapshot, error) {
	snapshot, err := j.Journal.Newest(ctx, topic)
	snapshot.Malformed = []store.MalformedItem{{Key: "k", Err: errors.New("odd")}}
	return snapshot, err
}

// Guards against an owner that lacks a record of its topic: it would do again what the
// record says is done.
func TestClaimNeedsAllRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		if _, err := Acquire(t.Context(), malformedJournal{fake.NewStore().Client("a")}, testTopic, "a", "nonce", clock); err == nil {
			t.Error("got no error for a list with a malformed item, want one")
		}
	})
}

// TestWriteAfterUnconfirmedWrite abandons a write that takes effect later and makes
// another. Both records must be stored.
func TestWriteAfterUnconfirmedWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fake.NewStore()
		c := acquire(t, s.Client("a"), "a")
		writer := c.NewWriter(s.Client("a"), testTopic, clock)
		s.LoseResponses("a", 1, 0)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		if _, err := writer.Write(ctx, []store.Record{{Key: "first", Value: []byte("1")}}); err == nil {
			t.Fatal("got no error for a write past its deadline, want one")
		}
		if _, err := writer.Write(t.Context(), []store.Record{{Key: "second", Value: []byte("2")}}); err != nil {
			t.Fatal(err)
		}
		for key, want := range map[string]string{"first": "1", "second": "2"} {
			if got := string(s.Value(testTopic, key)); got != want {
				t.Errorf("got %q for key %s, want %q", got, key, want)
			}
		}
	})
}

// failingJournal fails appends with the errors given, one after the other, and applies them after
// that. An append that fails with errNoReply is applied.
type failingJournal struct {
	Journal
	errs *[]error
}

var errNoReply = errors.New("no reply")

func (j failingJournal) Append(ctx context.Context, write store.Write) (int64, error) {
	if len(*j.errs) == 0 {
		return j.Journal.Append(ctx, write)
	}
	err := (*j.errs)[0]
	*j.errs = (*j.errs)[1:]
	if errors.Is(err, errNoReply) {
		_, _ = j.Journal.Append(ctx, write)
	}
	return 0, err
}

// TestRejectedWriteIsGivenUp guards against a write that is repeated for ever although the store
// doesn't take it, and against other records under the sequence number of a write that may have
// been applied: the store would take them for a repetition.
func TestRejectedWriteIsGivenUp(t *testing.T) {
	invalid := func(count int, before ...error) []error {
		for range count {
			before = append(before, store.ErrInvalid)
		}
		return before
	}
	tests := map[string]struct {
		errs []error
		want error
	}{
		"too large":                      {[]error{store.ErrTooLarge}, store.ErrTooLarge},
		"too large after a lost reply":   {[]error{errors.New("timeout"), store.ErrTooLarge}, store.ErrTooLarge},
		"invalid once":                   {invalid(1), nil},
		"invalid again and again":        {invalid(maxInvalid), store.ErrInvalid},
		"refused":                        {[]error{store.ErrRefused, store.ErrFull, store.ErrRefused}, nil},
		"invalid after a refusal":        {invalid(maxInvalid, store.ErrRefused), store.ErrInvalid},
		"invalid after an unknown reply": {invalid(2*maxInvalid, errNoReply), nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := fake.NewStore()
				var errs []error
				writer := acquire(t, s.Client("a"), "a").NewWriter(failingJournal{s.Client("a"), &errs}, testTopic, clock)
				errs = test.errs
				if _, err := writer.Write(t.Context(), []store.Record{{Key: "first", Value: []byte("1")}}); !errors.Is(err, test.want) {
					t.Errorf("got %v, want %v", err, test.want)
				}
				if _, err := writer.Write(t.Context(), []store.Record{{Key: "second", Value: []byte("2")}}); err != nil {
					t.Errorf("got %v for the next write, want none", err)
				}
				if got := string(s.Value(testTopic, "second")); got != "2" {
					t.Errorf("got value %q of the next write, want 2", got)
				}
				if got := string(s.Value(testTopic, "first")); (got == "1") != (test.want == nil) {
					t.Errorf("got value %q after error %v", got, test.want)
				}
			})
		})
	}
}

// invalidJournal loses the reply to the first append, which is applied late or never, and rejects
// all others as invalid.
type invalidJournal struct {
	Journal
	attempts int
}

func (j *invalidJournal) Append(ctx context.Context, _ store.Write) (int64, error) {
	if j.attempts++; j.attempts == 1 {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return 0, store.ErrInvalid
}

// TestUnresolvedWriteEndsClaim guards against an owner that stands still for good because the
// store rejects the repetitions of a write that may have been applied, and against other records
// under the sequence number of that write.
func TestUnresolvedWriteEndsClaim(t *testing.T) {
	for name, timeout := range map[string]time.Duration{"in one write": time.Minute, "over several writes": 700 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := fake.NewStore()
				writer := acquire(t, s.Client("a"), "a").NewWriter(&invalidJournal{Journal: s.Client("a")}, testTopic, clock)
				var err error
				start := time.Now()
				for time.Since(start) < time.Minute && !EndsClaim(err) {
					ctx, cancel := context.WithTimeout(t.Context(), timeout)
					_, err = writer.Write(ctx, []store.Record{{Key: "k", Value: []byte("1")}})
					cancel()
				}
				if took := time.Since(start); !errors.Is(err, ErrUnresolved) || took > 10*time.Second {
					t.Errorf("got %v after %v, want %v within 10s", err, took, ErrUnresolved)
				}
			})
		})
	}
}

// TestFullStoreVerifiesOwnership guards against an owner that a full store keeps from learning
// whether it still owns the topic, either way.
func TestFullStoreVerifiesOwnership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fake.NewStore()
		writer := acquire(t, s.Client("a"), "a").NewWriter(s.Client("a"), testTopic, clock)
		var verifiedAt time.Duration
		writer.OnVerified = func(sent time.Duration) { verifiedAt = sent }
		s.SetLimits(fake.StoreLimits{Total: 1})
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		records := []store.Record{{Key: "k", Value: []byte("1")}}
		if _, err := writer.Write(ctx, records); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("got %v while the store is full, want %v", err, context.DeadlineExceeded)
		}
		if age := clock() - verifiedAt; age > time.Second {
			t.Errorf("got the ownership last verified %v ago, want less than 1s", age)
		}
		s.SetLimits(fake.StoreLimits{})
		acquire(t, s.Client("b"), "b")
		s.SetLimits(fake.StoreLimits{Total: 1})
		ctx, cancel = context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		if _, err := writer.Write(ctx, records); !errors.Is(err, store.ErrFenced) {
			t.Errorf("got %v after another claim, want %v", err, store.ErrFenced)
		}
	})
}
