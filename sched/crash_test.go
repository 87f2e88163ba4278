package sched

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"

	"rattanpath/fake"
	"rattanpath/lease"
	"rattanpath/pool"
	"rattanpath/tasks"
)

// crashingTask is the task that crashes its hosts in these tests.
var crashingTask = tasks.ID{Job: "crashing"}

// useCrashingTask makes one task crash each host that starts it.
func (tc *testCluster) useCrashingTask(profileOf func(tasks.ID, int) fake.RunProfile) {
	tc.profileOf = func(taskID tasks.ID, run int) fake.RunProfile {
		profile := profileOf(taskID, run)
		profile.CrashesHost = taskID == crashingTask
		return profile
	}
}

func halfSecondRun(tasks.ID, int) fake.RunProfile {
	return fake.RunProfile{Duration: 500 * time.Millisecond}
}

// submitAll submits jobs that use the whole pool and, among them, the one whose first task
// crashes its hosts.
func (tc *testCluster) submitAll(n *node, crashing tasks.Plan) (innocent []string) {
	tc.t.Helper()
	for i := range 12 {
		id := fmt.Sprintf("job%02d", i)
		if err := tc.submit(n, id, simplePlan(4, 1000)); err != nil {
			tc.t.Fatal(err)
		}
		innocent = append(innocent, id)
		if i != 5 {
			continue
		}
		if err := tc.submit(n, crashingTask.Job, crashing); err != nil {
			tc.t.Fatal(err)
		}
	}
	return innocent
}

// wantGivenUp checks that the crashing job has failed, and every other one is completed.
func (tc *testCluster) wantGivenUp(n *node, innocent []string) {
	tc.t.Helper()
	tc.wantPhase(n, crashingTask.Job, tasks.Failed)
	for _, id := range innocent {
		tc.wantPhase(n, id, tasks.Completed)
	}
	if got := tc.checker.Crashes(crashingTask); got < 2 {
		tc.t.Errorf("got %d hosts crashed by the task, want at least 2", got)
	}
}

// TestCrashingTaskIsGivenUp guards against a task that crashes one host after the other,
// and against blaming those that shared a host with it.
func TestCrashingTaskIsGivenUp(t *testing.T) {
	plans := map[string]tasks.Plan{
		"single": simplePlan(3, 1000),
		"gang":   gangPlan(3, 1000),
	}
	for name, plan := range plans {
		t.Run(name, func(t *testing.T) {
			runCluster(t, 6, func(tc *testCluster) {
				tc.useCrashingTask(func(taskID tasks.ID, run int) fake.RunProfile {
					profile := halfSecondRun(taskID, run)
					if name == "gang" && taskID.Job == crashingTask.Job {
						// The member that crashed its host breaks the run of the others.
						profile.EndReason = tasks.EndGangBroken
					}
					return profile
				})
				n := tc.claim("a")
				time.Sleep(100 * time.Millisecond)
				innocent := tc.submitAll(n, plan)
				time.Sleep(40 * time.Second)
				tc.wantGivenUp(n, innocent)
			})
		})
	}
}

// gangPlan returns a plan with one gang.
func gangPlan(count int, cpu int64) tasks.Plan {
	plan := simplePlan(count, cpu)
	plan.Steps[0].Gang = true
	return plan
}

// TestCrashingTaskIsGivenUpByNewOwners guards against owners that forget what a task has
// done: the owner is killed after each crash, before it learns that the host is gone.
func TestCrashingTaskIsGivenUpByNewOwners(t *testing.T) {
	runCluster(t, 6, func(tc *testCluster) {
		tc.useCrashingTask(halfSecondRun)
		n := tc.claim("n0")
		time.Sleep(100 * time.Millisecond)
		innocent := tc.submitAll(n, simplePlan(3, 1000))
		for crashes := range 8 {
			for waited := 0; tc.checker.Crashes(crashingTask) <= crashes && waited < 120; waited++ {
				time.Sleep(50 * time.Millisecond)
			}
			n.stop()
			n = tc.claim(fmt.Sprintf("n%d", crashes+1))
		}
		time.Sleep(40 * time.Second)
		tc.wantGivenUp(n, innocent)
	})
}

// TestCrashCountsOnCordonedHost guards against a task that crashes its hosts for ever because the
// machine controller cordons them, as the emptiest ones, before the owner learns of the crash.
func TestCrashCountsOnCordonedHost(t *testing.T) {
	runCluster(t, 6, func(tc *testCluster) {
		tc.useCrashingTask(halfSecondRun)
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		innocent := tc.submitAll(n, simplePlan(3, 1000))
		crashes := 0
		for range 800 {
			time.Sleep(50 * time.Millisecond)
			if got := tc.checker.Crashes(crashingTask); got > crashes {
				crashes = got
				if _, err := n.cell.Cordon([]string{n.hostOf(crashingTask.Job, 0)}, 4*time.Second, false); err != nil {
					t.Fatal(err)
				}
			}
		}
		tc.wantGivenUp(n, innocent)
	})
}

// TestCrashingServingTaskIsGivenUp guards against a serving task that crashes its hosts, and
// against giving up or stopping the serving tasks beside it.
func TestCrashingServingTaskIsGivenUp(t *testing.T) {
	runCluster(t, 6, func(tc *testCluster) {
		tc.useCrashingTask(func(taskID tasks.ID, run int) fake.RunProfile {
			return fake.RunProfile{Serving: true, StartupTime: 200 * time.Millisecond}
		})
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		for _, id := range []string{"serving", crashingTask.Job} {
			if err := tc.submit(n, id, servingPlan(4, 1000)); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(40 * time.Second)
		tc.wantPhase(n, "serving", tasks.Open)
		// Its siblings must go on serving, as far as their step allows.
		tc.wantPhase(n, crashingTask.Job, tasks.Open)
		for index := range 4 {
			want := 1
			if index == crashingTask.Index {
				want = 0
			}
			sibling := tasks.ID{Job: crashingTask.Job, Index: index}
			if got := tc.checker.ActiveRuns(sibling); got != want {
				t.Errorf("got %d active runs of task %d, want %d", got, index, want)
			}
		}
		if got := tc.checker.Crashes(crashingTask); got < 2 || got > 5 {
			t.Errorf("got %d hosts crashed by the task, want 2 to 5", got)
		}
	})
}

// TestHostsThatCrashByThemselvesFailNoJob crashes hosts again and again under serving tasks
// that have run for a while: none of them is to blame.
func TestHostsThatCrashByThemselvesFailNoJob(t *testing.T) {
	runCluster(t, 3, func(tc *testCluster) {
		tc.profileOf = func(tasks.ID, int) fake.RunProfile {
			return fake.RunProfile{Serving: true, StartupTime: 200 * time.Millisecond}
		}
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		if err := tc.submit(n, "serving", servingPlan(3, 1000)); err != nil {
			t.Fatal(err)
		}
		for i := range 18 {
			time.Sleep(5 * time.Second)
			runner := tc.runners[fmt.Sprintf("h%d", i%3)]
			runner.Crash()
			time.AfterFunc(time.Second, runner.Restart)
		}
		time.Sleep(10 * time.Second)
		tc.wantPhase(n, "serving", tasks.Open)
	})
}

// TestGangSurvivesCrashOfItsHosts guards against a gang that waits for ever after a host
// crashed under it: there aren't as many hosts as members that would have to be alone.
func TestGangSurvivesCrashOfItsHosts(t *testing.T) {
	for _, hosts := range []int{1, 2, 6} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			runCluster(t, hosts, func(tc *testCluster) {
				tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Duration: 5 * time.Second} }
				n := tc.claim("a")
				time.Sleep(100 * time.Millisecond)
				if err := tc.submit(n, "gang", gangPlan(5*hosts, 1000)); err != nil {
					t.Fatal(err)
				}
				time.Sleep(50 * time.Millisecond)
				runner := tc.runners[n.hostOf("gang", 0)]
				runner.Crash()
				time.AfterFunc(time.Second, runner.Restart)
				for _, other := range tc.runners {
					other.BreakGangs()
				}
				time.Sleep(30 * time.Second)
				tc.wantPhase(n, "gang", tasks.Completed)
			})
		})
	}
}

// crashingClient crashes the host that starts the crashing task before it can answer.
type crashingClient struct {
	lease.HostClient
	cluster *testCluster
	// silent means that the connection doesn't break but gives no answer.
	silent bool
}

func (c crashingClient) Start(ctx context.Context, host *pool.Host, command lease.StartCommand) (lease.Reply, error) {
	reply, err := c.HostClient.Start(ctx, host, command)
	if err != nil || command.Task != crashingTask || reply.Reason != lease.Accepted {
		return reply, err
	}
	c.cluster.runners[host.ID].CrashUnder(command.Task)
	if !c.silent {
		return lease.Reply{}, errors.New("connection reset")
	}
	time.Sleep(time.Second)
	return lease.Reply{}, context.DeadlineExceeded
}

// TestCrashBeforeTheAnswerCounts guards against a task that crashes its hosts so soon that no
// start is ever confirmed.
func TestCrashBeforeTheAnswerCounts(t *testing.T) {
	for _, hosts := range []int{1, 2, 6} {
		for _, silent := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d hosts, silent %t", hosts, silent), func(t *testing.T) {
				runCluster(t, hosts, func(tc *testCluster) {
					tc.wrapHosts = func(client lease.HostClient) lease.HostClient { return crashingClient{client, tc, silent} }
					n := tc.claim("a")
					time.Sleep(100 * time.Millisecond)
					innocent := tc.submitAll(n, simplePlan(3, 1000))
					time.Sleep(90 * time.Second)
					tc.wantGivenUp(n, innocent)
				})
			})
		}
	}
}

// TestUnreachableHostFailsNoJob guards against a long task that is given up though no host has
// crashed: new owners can't reach its host until all leases have expired.
func TestUnreachableHostFailsNoJob(t *testing.T) {
	runCluster(t, 4, func(tc *testCluster) {
		tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Duration: time.Hour} }
		n := tc.claim("n0")
		time.Sleep(100 * time.Millisecond)
		if err := tc.submit(n, "job", simplePlan(1, 1000)); err != nil {
			t.Fatal(err)
		}
		for i := range 6 {
			time.Sleep(15 * time.Second)
			host := n.hostOf("job", 0)
			n.stop()
			<-n.done
			n = tc.claim(fmt.Sprintf("n%d", i+1))
			n.hosts.SetPartitioned(host, true)
			time.Sleep(12 * time.Second)
			n.hosts.SetPartitioned(host, false)
		}
		tc.wantPhase(n, "job", tasks.Open)
	})
}

// unprovenRuns returns the largest number of runs on one host whose tasks need isolation.
func (n *node) unprovenRuns() int {
	n.cell.mu.Lock()
	defer n.cell.mu.Unlock()
	highest := 0
	for _, h := range n.cell.hosts {
		count := 0
		for _, r := range h.runs {
			if r.isUnproven() {
				count++
			}
		}
		highest = max(highest, count)
	}
	return highest
}

// TestIsolatedTasksStartOneByOne guards against a task under which a host has crashed by chance
// and which is lost again and again beside others that need isolation: the next one started on
// its host before a report had cleared it.
func TestIsolatedTasksStartOneByOne(t *testing.T) {
	for _, hosts := range []int{1, 2, 6} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			runCluster(t, hosts, func(tc *testCluster) {
				tc.useCrashingTask(func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Duration: 3 * time.Second} })
				n := tc.claim("a")
				time.Sleep(100 * time.Millisecond)
				if err := tc.submit(n, crashingTask.Job, simplePlan(4, 1000)); err != nil {
					t.Fatal(err)
				}
				got := 0
				for range 4000 {
					time.Sleep(10 * time.Millisecond)
					got = max(got, n.unprovenRuns())
				}
				if got != 1 {
					t.Errorf("got up to %d runs on one host whose tasks need isolation, want 1", got)
				}
				tc.wantPhase(n, crashingTask.Job, tasks.Failed)
			})
		})
	}
}

// TestCrashCountsAtOwnerThatCannotReachHost guards against a task that crashes its hosts more
// often than allowed because owners change: a new one that can't reach the host until all leases
// have expired still learns from the host's record that it has restarted.
func TestCrashCountsAtOwnerThatCannotReachHost(t *testing.T) {
	runCluster(t, 3, func(tc *testCluster) {
		tc.useCrashingTask(halfSecondRun)
		n := tc.claim("n0")
		time.Sleep(100 * time.Millisecond)
		if err := tc.submit(n, crashingTask.Job, simplePlan(1, 1000)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
		host := n.hostOf(crashingTask.Job, 0)
		n.stop()
		<-n.done
		n = tc.claim("n1")
		n.hosts.SetPartitioned(host, true)
		for range 300 {
			if time.Sleep(50 * time.Millisecond); tc.checker.Crashes(crashingTask) > 1 {
				break
			}
		}
		if got := n.crashesOf(crashingTask); got != 1 {
			t.Errorf("got %d counted crashes at the start of the second run, want 1", got)
		}
		time.Sleep(40 * time.Second)
		tc.wantPhase(n, crashingTask.Job, tasks.Failed)
		if got := tc.checker.Crashes(crashingTask); got != 4 {
			t.Errorf("got %d hosts crashed by the task, want 4", got)
		}
	})
}

// crashesOf returns how many hosts count as crashed by a task.
func (n *node) crashesOf(taskID tasks.ID) int {
	n.cell.mu.Lock()
	defer n.cell.mu.Unlock()
	return n.cell.byID[taskID.Job].job.Task(taskID).Crashes
}
