package infra

import (
	"testing"
	"time"

	"rattanpath/sched"
)

// Guards against a negative arrival rate when an owner withdraws jobs that it has reported: the
// pool would count as needing fewer hosts than none.
func TestWithdrawnJobsLeaveNoNegativeRate(t *testing.T) {
	now := time.Duration(0)
	leader := &term{Controller: &Controller{options: Options{Clock: func() time.Duration { return now }}}, pools: make(map[string]*poolState)}
	for _, arrived := range []int64{0, 1000, 100_000, 1000, 1000} {
		leader.recordReport("east", sched.Report{Service: "east", Epoch: 1, Arrived: arrived})
		if got := leader.pools["east"].arrivalRate; got < 0 {
			t.Errorf("got arrival rate %v after a report of %d, want at least 0", got, arrived)
		}
		now += 250 * time.Millisecond
	}
}
