package infra

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"rattanpath/fake"
	"rattanpath/tasks"
)

// lossSeeds is the number of seeds of TestLossChaos.
const lossSeeds = 40

// TestLossChaos guards against two runs of a serving task at once, and a task that stays without one, while hosts
// crash, return under their IDs, lose their records or don't answer, and owners, which lead the machine controller as
// well, are lost one after the other. The lists of the machines are true.
func TestLossChaos(t *testing.T) {
	for seed := range uint64(lossSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				playLosses(ctx, t, rand.New(rand.NewPCG(seed, 0)))
				cancel()
				time.Sleep(5 * time.Second)
			})
		})
	}
}

func playLosses(ctx context.Context, t *testing.T, random *rand.Rand) {
	upTo := func(limit time.Duration) time.Duration { return time.Duration(random.Int64N(int64(limit))) }
	f := newLossyFleet(ctx, t, servingTasks+3)
	lose := f.startOwner(ctx, "node-0")
	time.Sleep(time.Second)
	f.submit(ctx, "job")
	time.Sleep(2 * time.Second)
	for i := range 8 {
		for range 1 + random.IntN(2) {
			f.harm(fmt.Sprintf("h%d", random.IntN(servingTasks+3)), random.IntN(4), upTo)
		}
		time.Sleep(upTo(5 * time.Second))
		if random.IntN(2) == 0 {
			lose()
			time.Sleep(upTo(takeoverTime))
			lose = f.startOwner(ctx, fmt.Sprintf("node-%d", i+1))
		}
		time.Sleep(upTo(3 * time.Second))
	}
	time.Sleep(25 * time.Second)
	for index := range servingTasks {
		if got := f.checker.ActiveRuns(tasks.ID{Job: "job", Index: index}); got != 1 {
			t.Errorf("got %d runs of task %d at the end, want 1", got, index)
		}
	}
	for _, violation := range f.checker.Violations() {
		t.Error(violation)
	}
}

// harm harms a host in one of four ways, and mends it after a time.
func (f *lossyFleet) harm(id string, way int, upTo func(time.Duration) time.Duration) {
	runner := f.runners[id]
	switch way {
	case 0:
		f.crash(id)
		fake.After(upTo(6*time.Second), func() { f.restart(id, runner) })
	case 1:
		runner.SetUnresponsive(true)
		fake.After(upTo(9*time.Second), func() { runner.SetUnresponsive(false) })
	case 2:
		f.removeRecord(id)
		fake.After(upTo(9*time.Second), func() { f.restoreRecord(id) })
	case 3:
		runner.DropHeartbeats(1)
	}
}

// restart starts a crashed host again under its ID.
func (f *lossyFleet) restart(id string, runner *fake.Runner) {
	runner.Restart()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.down, id)
}

// restoreRecord lists a host again.
func (f *lossyFleet) restoreRecord(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.unlisted, id)
}
