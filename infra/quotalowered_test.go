package infra

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"rattanpath/fake"
	"rattanpath/queue"
	"rattanpath/sched"
	"rattanpath/tasks"
)

const (
	// loweredCap is a cap below what loweredRunning tasks use.
	loweredCap     = quotaCap / 4
	loweredRunning = 10
	// smallTask is the CPU of a task of which a base of the lowered cap holds several.
	smallTask = quotaTask / 10
	// loweredTime is for how long faults are injected after the cap was lowered.
	loweredTime = 25 * time.Second
)

// lowerCap lowers the cap of an organisation below what it has running at service "a", and gives the
// other services more work than they may start.
func (q *quotaCluster) lowerCap(services []string) {
	q.t.Helper()
	q.duration = func(task tasks.ID) time.Duration {
		if task.Job == "acme-job1" {
			return time.Minute
		}
		return time.Second
	}
	q.submit("a", "acme", stepOf(loweredRunning, quotaTask))
	q.watch(2*time.Second, quotaCap, quotaTask)
	if got, want := q.onHosts("acme"), int64(loweredRunning*quotaTask); got != want {
		q.t.Fatalf("got %d running before the cap was lowered, want %d", got, want)
	}
	q.publishCap(services, loweredCap)
	time.Sleep(time.Second)
	for _, service := range services {
		q.submit(service, "acme", stepOf(40, smallTask))
	}
	q.wantNoStart(2 * time.Second)
}

// wantNoStart checks for a time that the organisation whose cap was lowered starts nothing.
func (q *quotaCluster) wantNoStart(duration time.Duration) {
	q.t.Helper()
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(quotaCheckInterval) {
		if got, want := q.onHosts("acme"), int64(loweredRunning*quotaTask); got > want {
			q.t.Fatalf("got %d running after %v with a cap of %d, want no more than the %d of before", got, q.clock(), loweredCap, want)
		}
	}
}

// TestLoweredCapOutlastsLoss guards against a restriction that is gone with an owner, a leader or an
// allotment: cells then start within their bases while others run more than the lowered cap leaves.
func TestLoweredCapOutlastsLoss(t *testing.T) {
	services := []string{"a", "b", "c", "d"}
	testLoweredCap(t, services, map[string]func(q *quotaCluster){
		"an owner stops":             func(q *quotaCluster) { q.owners["b"].stop(); q.claim("b") },
		"an owner is replaced":       func(q *quotaCluster) { q.claim("b") },
		"all nodes start again":      func(q *quotaCluster) { q.replaceOwners(services); q.forget(); q.lead() },
		"a new leader":               func(q *quotaCluster) { q.lead() },
		"no leader":                  func(q *quotaCluster) { q.leaders[0].isLeader.Store(false) },
		"no leader, and new owners":  func(q *quotaCluster) { q.leaders[0].isLeader.Store(false); q.replaceOwners(services) },
		"allotments are lost":        func(q *quotaCluster) { q.setAllotFault(func(string, sched.Allotment) bool { return true }) },
		"a cell doesn't answer":      func(q *quotaCluster) { q.setUnreachable("c", true); q.lead() },
		"the store turns all away":   func(q *quotaCluster) { q.failStore(4 * time.Second) },
		"a service on standby comes": func(q *quotaCluster) { q.standby("d", true); time.Sleep(8 * time.Second); q.standby("d", false) },
	})
}

// TestLoweredCapOutlastsAddedService guards against the same where the bases of a service that was added
// come on top.
func TestLoweredCapOutlastsAddedService(t *testing.T) {
	services := []string{"a", "b", "c"}
	testLoweredCap(t, services, map[string]func(q *quotaCluster){
		"alone":                  func(q *quotaCluster) { q.addService(services) },
		"a new owner and leader": func(q *quotaCluster) { q.addService(services); q.claim("b"); q.lead() },
	})
}

// testLoweredCap checks that nothing is started around a loss that follows a lowered cap.
func testLoweredCap(t *testing.T, services []string, losses map[string]func(q *quotaCluster)) {
	for name, lose := range losses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runQuotas(t, services, func(q *quotaCluster) {
				q.lowerCap(services)
				lose(q)
				q.wantNoStart(10 * time.Second)
			})
		})
	}
}

// TestRemovedServiceOutlastsOwner guards against the part of a removed service that a new owner uses while
// its tasks still run: the bases are divided by the services that are left.
func TestRemovedServiceOutlastsOwner(t *testing.T) {
	testRemovedService(t, map[string]func(q *quotaCluster){
		"a new owner":            func(q *quotaCluster) { q.replaceOwners([]string{"b"}) },
		"a new owner, restart":   func(q *quotaCluster) { q.replaceOwners([]string{"b"}); q.forget() },
		"two new owners":         func(q *quotaCluster) { q.replaceOwners([]string{"b"}); time.Sleep(time.Second); q.claim("b") },
		"a new owner later":      func(q *quotaCluster) { time.Sleep(2 * time.Second); q.replaceOwners([]string{"b"}) },
		"a new owner, no leader": func(q *quotaCluster) { q.replaceOwners([]string{"b"}); q.leaders[0].stop() },
	})
}

// TestRemovedServiceOutlastsLeader guards against the part of a removed service that a new leader lends
// while its tasks still run, since it doesn't know the service that has gone.
func TestRemovedServiceOutlastsLeader(t *testing.T) {
	testRemovedService(t, map[string]func(q *quotaCluster){
		"a new leader":           func(q *quotaCluster) { q.lead() },
		"a new owner and leader": func(q *quotaCluster) { q.replaceOwners([]string{"b"}); q.lead() },
	})
}

// testRemovedService checks that an organisation keeps to its cap around a loss that follows the removal
// of a service which has used most of it.
func testRemovedService(t *testing.T, losses map[string]func(q *quotaCluster)) {
	for name, lose := range losses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runQuotas(t, []string{"a", "b"}, func(q *quotaCluster) {
				q.duration = func(tasks.ID) time.Duration { return time.Minute }
				q.submit("a", "acme", stepOf(40, quotaTask))
				q.watch(2*time.Second, quotaCap, quotaTask)
				q.submit("b", "acme", stepOf(40, smallTask))
				q.watch(2*time.Second, quotaCap, quotaTask)
				q.removeService("a", []string{"b"})
				time.Sleep(400 * time.Millisecond)
				removed := time.Now()
				lose(q)
				for range 3 {
					q.submit("b", "acme", stepOf(40, quotaTask))
				}
				for ; time.Since(removed) < serviceRemoval; time.Sleep(quotaCheckInterval) {
					q.check(quotaCap, quotaTask)
				}
				q.lead()
				time.Sleep(serviceRemoval)
				if got := q.running("b", "acme"); got < quotaCap*3/4 {
					t.Errorf("got %d running at the only service that is left, want at least three quarters of the cap of %d", got, quotaCap)
				}
			})
		})
	}
}

// removeService publishes a configuration of the services that are left, and ends the cell of another.
func (q *quotaCluster) removeService(name string, left []string) {
	q.publishCap(left, quotaCap)
	q.owners[name].stop()
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.owners, name)
}

// replaceOwners gives all cells a new owner.
func (q *quotaCluster) replaceOwners(services []string) {
	for _, service := range services {
		q.owners[service].stop()
		q.claim(service)
	}
}

// failStore makes the store turn all nodes away for a time.
func (q *quotaCluster) failStore(duration time.Duration) {
	var names []string
	for _, owner := range q.owners {
		names = append(names, owner.name)
	}
	for i := range q.leaders {
		names = append(names, fmt.Sprintf("leader%d", i))
	}
	for _, name := range names {
		q.store.SetFailure(name, fake.Rejecting)
		time.AfterFunc(duration, func() { q.store.SetFailure(name, fake.NoFailure) })
	}
}

// addService publishes a configuration with one more service than the given ones, which has work.
func (q *quotaCluster) addService(services []string) {
	const added = "d"
	q.publishCap(append(slices.Clone(services), added), loweredCap)
	q.claim(added)
	q.submit(added, "acme", stepOf(40, smallTask))
}

// standby publishes a configuration in which a service is on standby or not.
func (q *quotaCluster) standby(name string, standby bool) {
	config := q.config.Load()
	var services []queue.Service
	for _, service := range config.Services {
		if service.Name == name {
			service.Standby = standby
		}
		services = append(services, service)
	}
	q.publish(queue.NewConfig(config.Version+1, nil, services, config.Limits).WithOrganisations(config.Organisations, nil))
}

// TestLoweredCapChaos guards against the same in any order: no fault lets an organisation start anything
// while it has more running than its lowered cap, and its work goes on once it has less.
func TestLoweredCapChaos(t *testing.T) {
	for seed := range *quotaSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			services := []string{"a", "b", "c", "d"}
			runQuotas(t, services, func(q *quotaCluster) {
				random := rand.New(rand.NewPCG(seed, 9))
				q.lowerCap(services)
				for end := time.Now().Add(loweredTime); time.Now().Before(end); {
					q.loweredFault(random, services)
					q.wantNoStart(time.Duration(random.IntN(2000)) * time.Millisecond)
				}
				q.recover()
				time.Sleep(time.Minute - loweredTime)
				q.watch(10*time.Second, loweredCap, quotaTask)
				if got := q.checker.Ends(tasks.EndDone); got < loweredRunning+20 {
					t.Errorf("got %d tasks done, want at least %d: work goes on within the lowered cap", got, loweredRunning+20)
				}
			})
		})
	}
}

// loweredFault injects one fault.
func (q *quotaCluster) loweredFault(random *rand.Rand, services []string) {
	service := services[random.IntN(len(services))]
	duration := time.Duration(random.IntN(5000)) * time.Millisecond
	switch random.IntN(13) {
	case 0:
		q.owners[service].stop()
		q.claim(service)
	case 1:
		q.claim(service)
	case 2:
		q.replaceOwners(services)
		q.forget()
	case 3:
		q.lead()
	case 4:
		q.store.SetFailure(fmt.Sprintf("leader%d", len(q.leaders)-1), fake.Unresponsive)
		q.addLeader()
	case 5:
		leader := q.leaders[len(q.leaders)-1]
		leader.isLeader.Store(false)
		time.AfterFunc(duration, func() { leader.isLeader.Store(true) })
	case 6:
		q.setUnreachable(service, true)
		time.AfterFunc(duration, func() { q.setUnreachable(service, false) })
	case 7:
		q.setAllotFault(func(s string, a sched.Allotment) bool {
			if s != service {
				return false
			}
			cell := q.owners[service].cell
			time.AfterFunc(duration, func() { _ = cell.Allot(a) })
			return true
		})
	case 8:
		q.setAllotFault(func(string, sched.Allotment) bool { return false })
	case 9:
		q.failStore(duration)
	case 10:
		q.publishCap(services, loweredCap)
	case 11:
		// A raise that is taken back before any owner knows of it.
		q.publishCap(services, quotaCap)
		q.publishCap(services, loweredCap)
	default:
		standby := random.IntN(2) == 0
		q.standby(strings.Replace(service, "a", "d", 1), standby)
	}
}

// publishCap publishes the next version, with a cap.
func (q *quotaCluster) publishCap(services []string, limit int64) {
	q.publish(organisationConfig(q.config.Load().Version+1, services, limit, "acme", "beta"))
}

// recover ends all faults.
func (q *quotaCluster) recover() {
	q.setAllotFault(func(string, sched.Allotment) bool { return false })
	q.mu.Lock()
	clear(q.unreachable)
	q.mu.Unlock()
	config := q.config.Load()
	for _, service := range config.Services {
		q.standby(service.Name, false)
	}
	time.Sleep(5 * time.Second)
	q.lead()
}

// TestUnloweredCapWaitsForNoLeader guards against cells that wait for a leader after a restart although
// no cap was lowered: whatever the node has read, they start within their bases at once.
func TestUnloweredCapWaitsForNoLeader(t *testing.T) {
	services := []string{"a", "b"}
	runQuotas(t, services, func(q *quotaCluster) {
		q.publishCap(services, quotaCap)
		time.Sleep(2 * time.Second)
		q.leaders[0].stop()
		q.replaceOwners(services)
		q.forget()
		q.submit("a", "acme", stepOf(40, quotaTask))
		time.Sleep(500 * time.Millisecond)
		if got, want := q.running("a", "acme"), int64(quotaCap/4); got != want {
			t.Errorf("got %d running after new owners without a leader, want the base of %d", got, want)
		}
	})
}
