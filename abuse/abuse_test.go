package abuse

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"rattanpath/fake/stub"
)

const (
	// crowdSize is above stub.MaxFDs, so that a node that holds a descriptor for each client
	// exceeds its bound.
	crowdSize = 240
	// onceJobs is the number of jobs that are submitted once during a crowd.
	onceJobs = 5
	// lateRunTime is how long a job that was refused is given to run against that.
	lateRunTime = 500 * time.Millisecond
)

// TestLegalBodies guards against a node that runs out of memory or descriptors by bodies
// of legal size that never end.
func TestLegalBodies(t *testing.T) { withstand(t, legalBodies) }

// TestOversizeBodies guards against a node that reads on, or keeps, bodies far over the
// limit.
func TestOversizeBodies(t *testing.T) { withstand(t, oversizeBodies) }

// TestManyFields guards against requests whose decoded form is many times their size.
func TestManyFields(t *testing.T) { withstand(t, manyFields) }

// TestPipeline guards against a node that keeps what it can't send.
func TestPipeline(t *testing.T) { withstand(t, pipeline) }

// TestSlowClients guards against a node that waits for slow clients without a bound.
func TestSlowClients(t *testing.T) { withstand(t, slow) }

// withstand checks at each kind of address that a node withstands a crowd of clients that
// behave alike.
func withstand(t *testing.T, behave behaviour) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	n := &node{Process: &stub.Process{}}
	for i, to := range n.targets() {
		t.Run(to.name, func(t *testing.T) {
			n := startNode(t)
			n.submit("before")
			crowd := gather(t, crowdSize, n.targets()[i], behave)
			once := n.submitOnce()
			n.runJob("during")
			n.awaitRun("before")
			n.checkAddresses()
			crowd.leave()
			n.checkAfterwards(once)
		})
	}
}

// submit submits a job until it is accepted.
func (n *node) submit(name string) {
	n.t.Helper()
	n.await("submitting "+name, func() (bool, string) {
		status, text := n.call(http.MethodPost, n.jobURL(name), []byte(ordinaryJob))
		return status == http.StatusOK, fmt.Sprint(status, " ", text)
	})
}

// submitOnce submits jobs once each and returns the status of each response by job.
func (n *node) submitOnce() map[string]int {
	statuses := make(map[string]int)
	for i := range onceJobs {
		name := fmt.Sprintf("once-%d", i)
		statuses[name], _ = n.call(http.MethodPost, n.jobURL(name), []byte(ordinaryJob))
	}
	return statuses
}

// checkAfterwards checks a node after a crowd has left.
func (n *node) checkAfterwards(once map[string]int) {
	n.t.Helper()
	n.runJob("afterwards")
	n.checkAddresses()
	n.checkOnce(once)
	n.alive()
	rss, fds := n.peakRSS(), n.peakFDs.Load()
	n.t.Logf("peak: %d MB resident, %d descriptors", rss, fds)
	if rss > stub.MemoryMB {
		n.t.Errorf("resident memory: got a peak of %d MB, want at most %d MB", rss, stub.MemoryMB)
	}
	if fds > stub.MaxFDs {
		n.t.Errorf("descriptors: got a peak of %d, want at most %d", fds, stub.MaxFDs)
	}
}

// checkAddresses checks that one ordinary request is answered at each address that is not
// the callers'.
func (n *node) checkAddresses() {
	n.t.Helper()
	n.awaitStatus("http://" + n.Health() + "/ready")
	n.awaitStatus("http://" + n.Admin() + "/metrics")
	n.await("a call of another node", func() (bool, string) {
		err := n.callAsPeer()
		return err == nil, fmt.Sprint(err)
	})
}

// checkOnce checks that jobs that were submitted once have run if they were accepted, and
// have not run if they were refused.
func (n *node) checkOnce(statuses map[string]int) {
	n.t.Helper()
	for name, status := range statuses {
		if status == http.StatusOK {
			n.awaitRun(name)
		}
	}
	time.Sleep(lateRunTime)
	for name, status := range statuses {
		refused := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
		if refused && n.hasStarted(jobID(name)) {
			n.t.Errorf("job %s: got a run after status %d, want none", name, status)
		}
	}
}
