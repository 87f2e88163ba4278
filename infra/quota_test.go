package infra

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"rattanpath/fake"
	"rattanpath/sched"
	"rattanpath/tasks"
)

// Guards against stranded quota: a flood at one service must get all that is lent although the
// other cells have asked for none, and not their bases.
func TestQuotaOneServiceFloods(t *testing.T) {
	runQuotas(t, []string{"a", "b", "c", "d"}, func(q *quotaCluster) {
		for range 10 {
			q.submit("a", "acme", stepOf(40, quotaTask))
		}
		q.watch(2*time.Second, quotaCap, quotaTask)
		// Half of the cap is lent; its own base is a quarter of the rest.
		if got, want := q.running("a", "acme"), int64(quotaCap/2+quotaCap/8); got != want {
			t.Errorf("got %d running, want %d", got, want)
		}
		q.submit("b", "beta", stepOf(4, quotaTask))
		q.watch(5*time.Second, quotaCap, quotaTask)
		if got := q.checker.Ends(tasks.EndDone); got < 60 {
			t.Errorf("got %d tasks done, want at least 60", got)
		}
	})
}

// Guards against the sum of several owners' decisions exceeding the cap while all of them have
// more work than they may start.
func TestQuotaAllFlood(t *testing.T) {
	services := []string{"a", "b", "c"}
	runQuotas(t, services, func(q *quotaCluster) {
		for range 10 {
			for _, service := range services {
				q.submit(service, "acme", stepOf(40, quotaTask))
			}
		}
		q.watch(8*time.Second, quotaCap, quotaTask)
		total := q.running("a", "acme") + q.running("b", "acme") + q.running("c", "acme")
		if total < quotaCap*3/4 {
			t.Errorf("got %d of a cap of %d running while all services have more work, want at least three quarters", total, quotaCap)
		}
	})
}

// Guards against what is lent staying with a service whose peak is over.
func TestQuotaAlternatingPeaks(t *testing.T) {
	runQuotas(t, []string{"a", "b", "c"}, func(q *quotaCluster) {
		for i := range 8 {
			service := []string{"a", "b"}[i%2]
			q.submit(service, "acme", stepOf(40, quotaTask))
			q.watch(2500*time.Millisecond, quotaCap, quotaTask)
			if got := q.running(service, "acme"); got < quotaCap/2 {
				t.Errorf("got %d running in peak %d at service %s, want at least half of the cap of %d", got, i, service, quotaCap)
			}
			q.watch(4*time.Second, quotaCap, quotaTask)
		}
	})
}

// Guards against a task that is larger than what idle cells' bases leave never being started.
func TestQuotaLargeTask(t *testing.T) {
	runQuotas(t, []string{"a", "b", "c", "d"}, func(q *quotaCluster) {
		q.config.Store(organisationConfig(2, []string{"a", "b", "c", "d"}, 7500, "acme"))
		q.watch(time.Second, 7500, 0)
		q.submit("a", "acme", stepOf(1, 7000))
		q.submit("b", "acme", stepOf(1, 7000))
		q.watch(6*time.Second, 7500, 7000)
		if got := q.checker.Ends(tasks.EndDone); got != 2 {
			t.Errorf("got %d large tasks done, want both, one after the other", got)
		}
	})
}

// Guards against an owner that is lost with half of its allotment out taking the quota of
// others along, and against its successor exceeding it: what runs is inherited and counts.
func TestQuotaOwnerLost(t *testing.T) {
	runQuotas(t, []string{"a", "b", "c"}, func(q *quotaCluster) {
		q.duration = func(tasks.ID) time.Duration { return 4 * time.Second }
		q.submit("a", "acme", stepOf(7, quotaTask))
		q.watch(2*time.Second, quotaCap, quotaTask)
		q.owners["a"].stop()
		q.mu.Lock()
		q.unreachable["a"] = true
		q.mu.Unlock()
		q.submit("b", "acme", stepOf(40, quotaTask))
		q.watch(2*time.Second, quotaCap, quotaTask)
		q.claim("a")
		q.mu.Lock()
		q.unreachable["a"] = false
		q.mu.Unlock()
		q.submit("a", "acme", stepOf(40, quotaTask))
		q.watch(20*time.Second, quotaCap, quotaTask)
	})
}

// Guards against the owner that the store rejects starting on beside its successor.
func TestQuotaTwoOwners(t *testing.T) {
	runQuotas(t, []string{"a", "b"}, func(q *quotaCluster) {
		for range 6 {
			q.submit("a", "acme", stepOf(40, quotaTask))
		}
		q.watch(2*time.Second, quotaCap, quotaTask)
		q.store.SetFailure(q.owners["a"].name, fake.Unresponsive)
		q.watch(time.Second, quotaCap, quotaTask)
		q.claim("a")
		for range 3 {
			q.submit("a", "acme", stepOf(40, quotaTask))
			q.submit("b", "acme", stepOf(40, quotaTask))
		}
		q.watch(10*time.Second, quotaCap, quotaTask)
	})
}

// Guards against two leaders lending the same quota: the replaced one still believes that it
// leads, and its allotments arrive late.
func TestQuotaLeaderReplaced(t *testing.T) {
	runQuotas(t, []string{"a", "b", "c"}, func(q *quotaCluster) {
		random := rand.New(rand.NewPCG(5, 6))
		q.setAllotFault(func(service string, a sched.Allotment) bool {
			cell := q.owners[service].cell
			fake.After(time.Duration(random.IntN(4000))*time.Millisecond, func() { _ = cell.Allot(a) })
			return random.IntN(3) == 0
		})
		for i := range 6 {
			q.submit([]string{"a", "b", "c"}[i%3], "acme", stepOf(40, quotaTask))
			q.store.SetFailure(fmt.Sprintf("leader%d", i), fake.Unresponsive)
			q.addLeader()
			q.watch(3*time.Second, quotaCap, quotaTask)
		}
	})
}

// Guards against lending what a cell may still have: the call that takes back its allotment is
// lost, it uses all of it again, and another cell asks for the same.
func TestQuotaLostReduction(t *testing.T) {
	for _, replaced := range []bool{false, true} {
		for offset := time.Duration(0); offset < time.Second; offset += 125 * time.Millisecond {
			runQuotas(t, []string{"a", "b"}, func(q *quotaCluster) {
				q.submit("a", "acme", stepOf(11, quotaTask))
				time.Sleep(offset)
				for q.running("a", "acme") < 11*quotaTask {
					time.Sleep(quotaCheckInterval)
				}
				q.setAllotFault(func(service string, _ sched.Allotment) bool { return service == "a" })
				if replaced {
					q.lead()
				}
				q.duration = func(tasks.ID) time.Duration { return 3 * time.Second }
				time.Sleep(700 * time.Millisecond)
				q.submit("b", "acme", stepOf(40, quotaTask))
				time.Sleep(600 * time.Millisecond)
				q.submit("a", "acme", stepOf(40, quotaTask))
				for range 60 {
					q.check(quotaCap, quotaTask)
					time.Sleep(quotaCheckInterval)
				}
			})
		}
	}
}

// Guards against quotas that depend on the list of machines.
func TestQuotaWithoutMachines(t *testing.T) {
	runQuotas(t, []string{"a", "b"}, func(q *quotaCluster) {
		q.cloudDown.Store(true)
		time.Sleep(time.Second)
		q.submit("a", "acme", stepOf(40, quotaTask))
		q.watch(time.Second, quotaCap, quotaTask)
		if got, want := q.running("a", "acme"), int64(quotaCap/2+quotaCap/4); got != want {
			t.Errorf("got %d running while machines can't be listed, want %d", got, want)
		}
	})
}

// Guards against cells going on with what they were lent, or stopping, without a leader.
func TestQuotaLeaderLost(t *testing.T) {
	runQuotas(t, []string{"a", "b"}, func(q *quotaCluster) {
		for range 6 {
			q.submit("a", "acme", stepOf(40, quotaTask))
		}
		q.watch(2*time.Second, quotaCap, quotaTask)
		q.leaders[0].stop()
		time.Sleep(allotmentTime + 2*time.Second)
		if got := q.running("a", "acme"); got != quotaCap/4 {
			t.Errorf("got %d running without a leader, want the base of %d", got, quotaCap/4)
		}
	})
}

// Guards against cells going on within their bases after the cap was lowered below what runs,
// and against stopping what runs.
func TestQuotaLoweredCap(t *testing.T) {
	services := []string{"a", "b"}
	runQuotas(t, services, func(q *quotaCluster) {
		q.duration = func(tasks.ID) time.Duration { return 5 * time.Second }
		q.submit("a", "acme", stepOf(12, quotaTask))
		q.watch(time.Second, quotaCap, quotaTask)
		before := q.running("a", "acme")
		lowered := time.Now()
		q.setAllotFault(func(service string, _ sched.Allotment) bool {
			return service == "b" && time.Since(lowered) < 1200*time.Millisecond
		})
		q.config.Store(organisationConfig(2, services, quotaCap/4, "acme"))
		time.Sleep(350 * time.Millisecond)
		q.submit("b", "acme", stepOf(12, quotaTask))
		for range 60 {
			time.Sleep(quotaCheckInterval)
			if got := q.running("a", "acme") + q.running("b", "acme"); got != before {
				t.Fatalf("got %d running after the cap was lowered to %d, want the same %d as before", got, quotaCap/4, before)
			}
		}
		time.Sleep(2 * time.Second)
		q.watch(10*time.Second, quotaCap/4, quotaTask)
		if got := q.checker.Ends(tasks.EndDone); got < 16 {
			t.Errorf("got %d tasks done, want at least 16: the rest runs once the first are done", got)
		}
	})
}

// Guards against a cap that is changed again and again leaving behind what was lent under a higher
// one, or holding work up.
func TestQuotaChangingCaps(t *testing.T) {
	services := []string{"a", "b", "c"}
	runQuotas(t, services, func(q *quotaCluster) {
		for i := range 8 {
			limit := []int64{quotaCap, quotaCap / 2}[i%2]
			q.config.Store(organisationConfig(int64(i)+2, services, limit, "acme"))
			// Nodes learn of the version within 300 ms, and tasks take a second.
			for range 30 {
				q.submit(services[i%3], "acme", stepOf(1, quotaTask))
				q.check(quotaCap, quotaTask)
				time.Sleep(quotaCheckInterval)
			}
			q.submit(services[(i+1)%3], "acme", stepOf(30, quotaTask))
			q.watch(4*time.Second, limit, quotaTask)
		}
	})
}

// Guards against the cell of a service that was added using its base at once while all of the
// cap is in use elsewhere.
func TestQuotaServiceAdded(t *testing.T) {
	runQuotas(t, []string{"a"}, func(q *quotaCluster) {
		q.duration = func(tasks.ID) time.Duration { return 3 * time.Second }
		for range 4 {
			q.submit("a", "acme", stepOf(40, quotaTask))
		}
		q.watch(4*time.Second, quotaCap, quotaTask)
		q.config.Store(organisationConfig(2, []string{"a", "b"}, quotaCap, "acme"))
		q.claim("b")
		q.submit("b", "acme", stepOf(40, quotaTask))
		q.watch(10*time.Second, quotaCap, quotaTask)
		if got := q.running("b", "acme"); got < quotaCap/4 {
			t.Errorf("got %d running at the new service, want at least its base of %d", got, quotaCap/4)
		}
	})
}

// Guards against the other cells using the base of a service that was removed while its tasks
// still run.
func TestQuotaServiceRemoved(t *testing.T) {
	runQuotas(t, []string{"a", "b"}, func(q *quotaCluster) {
		q.duration = func(tasks.ID) time.Duration { return time.Minute }
		q.submit("a", "acme", stepOf(40, quotaTask))
		q.watch(2*time.Second, quotaCap, quotaTask)
		q.submit("b", "acme", stepOf(40, quotaTask))
		q.watch(2*time.Second, quotaCap, quotaTask)
		q.config.Store(organisationConfig(2, []string{"b"}, quotaCap, "acme"))
		q.owners["a"].stop()
		q.mu.Lock()
		delete(q.owners, "a")
		q.mu.Unlock()
		// Until the leases of the removed service must have expired, its share is held.
		for end := time.Now().Add(serviceRemoval); time.Now().Before(end); time.Sleep(quotaCheckInterval) {
			q.check(quotaCap, quotaTask)
		}
		q.watch(3*time.Second, quotaCap, quotaTask)
		if got := q.running("b", "acme"); got != quotaCap {
			t.Errorf("got %d running at the only service that is left, want the cap of %d", got, quotaCap)
		}
	})
}

// TestQuotaChaos floods services while owners are lost and replaced, calls are lost or come
// late, leaders change and hosts stop answering. At no time may an organisation exceed its
// cap by more than a tenth and a task; once the faults are over, none may be held up by it.
func TestQuotaChaos(t *testing.T) {
	for seed := range *quotaSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			services := []string{"a", "b", "c"}
			runQuotas(t, services, func(q *quotaCluster) {
				random, calls := rand.New(rand.NewPCG(seed, 7)), rand.New(rand.NewPCG(seed, 8))
				q.duration = func(task tasks.ID) time.Duration {
					return time.Duration(200+(task.Index*7919+len(task.Job)*104729)%2500) * time.Millisecond
				}
				q.setAllotFault(func(service string, a sched.Allotment) bool {
					if calls.IntN(4) > 0 {
						return false
					}
					cell := q.owners[service].cell
					fake.After(time.Duration(calls.IntN(5000))*time.Millisecond, func() { _ = cell.Allot(a) })
					return true
				})
				for end := time.Now().Add(40 * time.Second); time.Now().Before(end); {
					q.randomFault(random, services)
					for range random.IntN(10) {
						q.check(quotaCap, 3*quotaTask)
						time.Sleep(quotaCheckInterval)
					}
				}
				q.setAllotFault(func(string, sched.Allotment) bool { return false })
				q.mu.Lock()
				clear(q.unreachable)
				q.mu.Unlock()
				for _, runner := range q.runners {
					runner.SetUnresponsive(false)
				}
				q.lead()
				time.Sleep(6 * time.Second)
				q.submit("a", "acme", stepOf(40, quotaTask))
				q.submit("b", "beta", stepOf(20, 3*quotaTask))
				q.watch(15*time.Second, quotaCap, 3*quotaTask)
			})
		})
	}
}

// randomFault injects a fault or submits jobs.
func (q *quotaCluster) randomFault(random *rand.Rand, services []string) {
	service := services[random.IntN(len(services))]
	duration := time.Duration(random.IntN(4000)) * time.Millisecond
	switch random.IntN(14) {
	case 0:
		q.claim(service)
	case 1:
		q.owners[service].stop()
		q.claim(service)
	case 2:
		name := q.owners[service].name
		q.store.SetFailure(name, fake.Unresponsive)
		time.AfterFunc(duration, func() { q.store.SetFailure(name, fake.NoFailure) })
	case 3:
		q.setUnreachable(service, true)
		time.AfterFunc(duration, func() { q.setUnreachable(service, false) })
	case 4:
		q.lead()
	case 5:
		q.store.SetFailure(fmt.Sprintf("leader%d", len(q.leaders)-1), fake.Unresponsive)
		q.addLeader()
	case 6, 7:
		ids := make([]string, 0, len(q.runners))
		for id := range q.runners {
			ids = append(ids, id)
		}
		slices.Sort(ids)
		runner := q.runners[ids[random.IntN(len(ids))]]
		runner.SetUnresponsive(true)
		time.AfterFunc(duration, func() { runner.SetUnresponsive(false) })
	default:
		q.submit(service, []string{"acme", "beta"}[random.IntN(2)], stepOf(1+random.IntN(25), int64(1+random.IntN(3))*quotaTask))
	}
}

func (q *quotaCluster) setUnreachable(service string, unreachable bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.unreachable[service] = unreachable
}

// setAllotFault sets which allotments are lost.
func (q *quotaCluster) setAllotFault(fault func(service string, a sched.Allotment) bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.allotFault = fault
}
