package sched

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"rattanpath/coloc"
	"rattanpath/fake"
	"rattanpath/lease"
	"rattanpath/pool"
	"rattanpath/tasks"
)

const interferenceTarget = 100 * time.Millisecond

// placementRecorder records to which hosts the tasks of jobs whose IDs begin with a word are
// sent, and when.
type placementRecorder struct {
	lease.HostClient

	mu     sync.Mutex
	starts map[string]map[string]int
}

func (p *placementRecorder) Start(ctx context.Context, host *pool.Host, command lease.StartCommand) (lease.Reply, error) {
	word, _, _ := strings.Cut(command.Task.Job, "-")
	p.mu.Lock()
	if p.starts[word] == nil {
		p.starts[word] = make(map[string]int)
	}
	p.starts[word][host.ID]++
	p.mu.Unlock()
	return p.HostClient.Start(ctx, host, command)
}

// take returns the starts by host since the last call.
func (p *placementRecorder) take(word string) map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	starts := p.starts[word]
	delete(p.starts, word)
	return starts
}

// interferenceCluster has a serving task on each host and best-effort jobs of some images. Only
// the image "loud" slows others down, and only the tasks of the image "tender".
type interferenceCluster struct {
	*testCluster
	placements *placementRecorder
	owner      *node
	jobs       int
}

func newInterferenceCluster(tc *testCluster, servingImages ...string) *interferenceCluster {
	ic := &interferenceCluster{testCluster: tc, placements: &placementRecorder{starts: make(map[string]map[string]int)}}
	tc.wrapHosts = func(client lease.HostClient) lease.HostClient {
		ic.placements.HostClient = client
		return ic.placements
	}
	tc.profileOf = func(taskID tasks.ID, _ int) fake.RunProfile {
		word, _, _ := strings.Cut(taskID.Job, "-")
		switch word {
		case "loud":
			return fake.RunProfile{Duration: 3 * time.Second, Interference: 1}
		case "longloud":
			return fake.RunProfile{Duration: 10 * time.Minute, Interference: 1}
		case "longquiet":
			return fake.RunProfile{Duration: 10 * time.Minute}
		case "harsh":
			return fake.RunProfile{Serving: true, Interference: 1, TailLatency: func(float64) time.Duration { return 40 * time.Millisecond }}
		case "tender":
			return fake.RunProfile{Serving: true, TailLatency: func(interference float64) time.Duration {
				return 40*time.Millisecond + time.Duration(interference*float64(35*time.Millisecond))
			}}
		default:
			return fake.RunProfile{Serving: true, TailLatency: func(float64) time.Duration { return 40 * time.Millisecond }}
		}
	}
	ic.owner = tc.claim("a")
	time.Sleep(100 * time.Millisecond)
	for i, image := range servingImages {
		ic.serve(image, fmt.Sprint("r1-h", i))
	}
	time.Sleep(time.Second)
	return ic
}

// serve submits a serving job with one task of an image.
func (ic *interferenceCluster) serve(image, label string) {
	ic.t.Helper()
	plan := servingPlan(1, 1000)
	plan.Steps[0].Target, plan.Steps[0].Image, plan.Steps[0].Label = interferenceTarget, image, label
	ic.mustSubmit(ic.owner, fmt.Sprint(image, "-", ic.jobs), plan)
	ic.jobs++
}

// fill submits a best-effort job. Its ID begins with the word, and its image is the word
// without "long".
func (ic *interferenceCluster) fill(word string, count int, label string) {
	ic.t.Helper()
	ic.jobs++
	plan := simplePlan(count, 500)
	plan.Steps[0].Fills, plan.Steps[0].Label = true, label
	plan.Steps[0].Image = strings.TrimPrefix(word, "long")
	ic.mustSubmit(ic.owner, fmt.Sprint(word, "-", ic.jobs), plan)
}

// fillFor submits a job with two tasks every second.
func (ic *interferenceCluster) fillFor(word string, d time.Duration) {
	ic.t.Helper()
	for range int(d / time.Second) {
		ic.fill(word, 2, "")
		time.Sleep(time.Second)
	}
}

// Guards against best-effort tasks that go on being placed beside serving tasks that they slow
// down while other hosts have room.
func TestDisturbingImagesAreKeptApart(t *testing.T) {
	runCluster(t, 4, func(tc *testCluster) {
		ic := newInterferenceCluster(tc, "tender", "tender", "robust", "robust")
		ic.fillFor("loud", 15*time.Second)
		before := ic.placements.take("loud")
		ic.fillFor("loud", 30*time.Second)
		starts := ic.placements.take("loud")
		t.Logf("starts %v in the first 15 s, %v after that", before, starts)
		if got := starts["h0"] + starts["h1"]; got > 0 {
			t.Errorf("got %d starts beside serving tasks that are disturbed, want none: %v", got, starts)
		}
		if got := starts["h2"] + starts["h3"]; got < 60 {
			t.Errorf("got %d starts beside others, want 60: %v", got, starts)
		}
	})
}

// Guards against a new owner that doesn't learn anew what the one before it knew.
func TestNewOwnerLearnsInterference(t *testing.T) {
	runCluster(t, 4, func(tc *testCluster) {
		ic := newInterferenceCluster(tc, "tender", "tender", "robust", "robust")
		ic.fillFor("loud", 15*time.Second)
		ic.owner.stop()
		ic.owner = tc.claim("b")
		time.Sleep(time.Second)
		ic.fillFor("loud", 15*time.Second)
		ic.placements.take("loud")
		ic.fillFor("loud", 15*time.Second)
		if starts := ic.placements.take("loud"); starts["h0"]+starts["h1"] > 0 || len(starts) == 0 {
			t.Errorf("got starts %v from 15 s after a takeover on, want some and none beside disturbed tasks", starts)
		}
	})
}

// Guards against serving tasks that are placed beside others that they slow down while other
// hosts have room, and against ones that wait where none has.
func TestDisturbingServingImagesAreKeptApart(t *testing.T) {
	for _, test := range []struct {
		name   string
		tender int
		want   []string
	}{{"room", 2, []string{"h2", "h3"}}, {"no room", 4, []string{"h0", "h1", "h2", "h3"}}} {
		t.Run(test.name, func(t *testing.T) {
			runCluster(t, 4, func(tc *testCluster) {
				ic := newInterferenceCluster(tc, slices.Repeat([]string{"tender"}, test.tender)...)
				ic.serve("harsh", "r1-h0")
				time.Sleep(30 * time.Second)
				ic.placements.take("harsh")
				for range 4 {
					ic.serve("harsh", "")
					time.Sleep(time.Second)
				}
				starts := ic.placements.take("harsh")
				got := 0
				for _, host := range test.want {
					got += starts[host]
				}
				if got != 4 {
					t.Errorf("got starts %v, want 4 on %v", starts, test.want)
				}
			})
		})
	}
}

// Guards against tasks that wait because they would disturb others wherever they run, and
// against serving tasks that stay over their target meanwhile.
func TestDisturbingImagesShareWhereThereIsNoRoom(t *testing.T) {
	runCluster(t, 2, func(tc *testCluster) {
		ic := newInterferenceCluster(tc, "tender", "tender")
		over, longest := time.Duration(0), time.Duration(0)
		total := make(map[string]int)
		for range 40 {
			ic.fill("loud", 2, "")
			time.Sleep(100 * time.Millisecond)
			starts := ic.placements.take("loud")
			if starts["h0"]+starts["h1"] != 2 {
				t.Fatalf("got starts %v 100 ms after a job of 2 tasks, want 2", starts)
			}
			for host, count := range starts {
				total[host] += count
			}
			for range 9 {
				time.Sleep(100 * time.Millisecond)
				if over += 100 * time.Millisecond; ic.runners["h0"].TailLatency(tasks.ID{Job: "tender-0"}) <= interferenceTarget {
					over = 0
				}
				longest = max(longest, over)
			}
		}
		if longest > 4*time.Second {
			t.Errorf("got a serving task over its target for %v, want at most 4s", longest)
		}
		if total["h0"] < 30 || total["h1"] < 30 {
			t.Errorf("got starts %v, want at least 30 of 80 on each: all on one host disturb more", total)
		}
	})
}

// shares returns the shares of the runs of jobs whose IDs begin with a word.
func (ic *interferenceCluster) shares(word string) []int {
	ic.owner.cell.mu.Lock()
	defer ic.owner.cell.mu.Unlock()
	var shares []int
	for _, h := range ic.owner.cell.hosts {
		for _, r := range h.runs {
			if strings.HasPrefix(r.id.Job, word) {
				shares = append(shares, r.share)
			}
		}
	}
	return shares
}

// Guards against harmless tasks that are throttled for what others do to the serving tasks of
// their host.
func TestHarmlessImagesAreNotThrottled(t *testing.T) {
	runCluster(t, 2, func(tc *testCluster) {
		ic := newInterferenceCluster(tc, "tender", "tender")
		ic.fill("longquiet", 1, "r1-h0")
		ic.fill("longquiet", 1, "r1-h1")
		ic.fill("longloud", 3, "r1-h0")
		time.Sleep(60 * time.Second)
		quietBelow, loudBelow, over := 0, 0, 0
		const samples = 300
		for range samples {
			time.Sleep(100 * time.Millisecond)
			for _, share := range ic.shares("longquiet") {
				quietBelow += min(1, fullPercent-share)
			}
			for _, share := range ic.shares("longloud") {
				loudBelow += min(1, fullPercent-share)
			}
			if ic.runners["h0"].TailLatency(tasks.ID{Job: "tender-0"}) > interferenceTarget {
				over++
			}
		}
		if quietBelow > 0 {
			t.Errorf("got harmless tasks throttled in %d of %d samples of two, want none", quietBelow, samples)
		}
		if loudBelow < 3*samples {
			t.Errorf("got disturbing tasks throttled in %d of %d samples of three, want all", loudBelow, samples)
		}
		if over > 0 {
			t.Errorf("got the serving task over its target in %d of %d samples, want none", over, samples)
		}
	})
}

// TestKindsOfOneImageAreOrdered guards against a view, and an estimate, that depend on the order of a
// map where an image has both best-effort tasks and others.
func TestKindsOfOneImageAreOrdered(t *testing.T) {
	ordered := []coloc.Kind{{Image: "a"}, {Image: "a", BestEffort: true}, {Image: "b"}, {Image: "b", BestEffort: true}}
	for i, a := range ordered {
		for k, b := range ordered {
			if got, want := compareKinds(a, b), cmp.Compare(i, k); got != want {
				t.Errorf("got %d for %+v and %+v, want %d", got, a, b, want)
			}
		}
	}
}
