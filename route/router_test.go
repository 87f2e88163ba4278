package route

import (
	"context"
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"rattanpath/config"
	"rattanpath/core"
	"rattanpath/replay"
	"rattanpath/roster"
)

// fakeSources provides a state, a host list and a membership that tests set.
type fakeSources struct {
	state *replay.State
	hosts map[string]core.Host
}

func (f *fakeSources) State() *replay.State     { return f.state }
func (f *fakeSources) Ready() bool              { return true }
func (f *fakeSources) Changed() <-chan struct{} { return nil }
func (f *fakeSources) Names() []string          { return []string{"node-0"} }
func (f *fakeSources) Joined() bool             { return true }
func (f *fakeSources) Roster() *roster.Roster   { return &roster.Roster{Hosts: f.hosts} }

// newTestRouter returns a router with one service on the given number of hosts,
// shared by the given number of entry nodes.
func newTestRouter(tb testing.TB, hosts, nodes int) (*Router, *fakeSources) {
	tb.Helper()
	names := ""
	for i := range hosts {
		names += fmt.Sprintf("h%d, ", i)
	}
	yaml := "Racks: {R: {DataCentre: D, Hosts: [" + names + "]}}\nPools: {P: {Racks: [R]}}\n" +
		"Services: {S: {Pool: P, Budget: {MinReady: 0}, Queue: {Wait: 10ms}, Routes: {A: {Path: /}, B: {Path: /long/}}}}\n"
	router := newRouterFromConfig(tb, yaml, hosts, nodes)
	return router, router.stateSource.(*fakeSources)
}

// newRouterFromConfig returns a router for a configuration of one YAML file and
// the given numbers of hosts and entry nodes.
func newRouterFromConfig(tb testing.TB, yaml string, hosts, nodes int) *Router {
	tb.Helper()
	sources := &fakeSources{hosts: make(map[string]core.Host)}
	for i := range hosts {
		name := fmt.Sprintf("h%d", i)
		sources.hosts[name] = core.Host{Name: name, Role: core.RoleWorker, State: core.HostLive, Address: name}
	}
	for i := range nodes {
		name := fmt.Sprintf("node-%d", i)
		sources.hosts[name] = core.Host{Name: name, Role: core.RoleEntry, State: core.HostLive}
	}
	data, err := replay.EncodeRecord(replay.Record{Format: replay.Format, RequestID: "r", Publish: &replay.Change{Set: config.Files{"a.yaml": yaml}}})
	if err != nil {
		tb.Fatal(err)
	}
	sources.state, err = replay.New().Apply(core.Entry{Data: data})
	if err != nil || sources.state.Revision == 0 {
		tb.Fatalf("got %+v, %v; want an active configuration", sources.state, err)
	}
	router := New("node-0", sources, sources, sources, LeastOfTwo{}, logr.Discard())
	router.refresh()
	return router
}

// maxNodesWithSlots is the largest number of nodes for which each must get a slot
// of some host of a typical pool.
const maxNodesWithSlots = 16

// TestSlotSharesSumToHostSlots checks that the shares of all nodes add up to the
// slots of each host, and that with few nodes each gets some slots.
func TestSlotSharesSumToHostSlots(t *testing.T) {
	for _, count := range []int{1, 2, 3, 7, 8, 9, 16, 64} {
		var nodes []string
		for i := range count {
			nodes = append(nodes, fmt.Sprintf("node-%d", i))
		}
		totals := make(map[string]int64)
		for host := range 40 {
			sum := int64(0)
			for _, node := range nodes {
				share := slotShare(8, fmt.Sprintf("h%d", host), node, nodes)
				sum += share
				totals[node] += share
			}
			if sum != 8 {
				t.Errorf("got %d slots of h%d shared by %d nodes, want 8", sum, host, count)
			}
		}
		for node, share := range totals {
			if share == 0 && count <= maxNodesWithSlots {
				t.Errorf("got no slot of 40 hosts for %s of %d nodes, want some", node, count)
			}
		}
	}
}

// TestNodeWithoutShareGetsOneSlot checks that a node without a share of the only
// host may still send it one request at a time.
func TestNodeWithoutShareGetsOneSlot(t *testing.T) {
	router, _ := newTestRouter(t, 1, 200)
	targets := router.Table().Services["S"].Targets
	if len(targets) != 1 || targets[0].Share != 1 {
		t.Errorf("got targets %+v, want one slot of the host", targets)
	}
}

// TestChoosersRespectShares acquires every slot with each chooser and checks that
// the next request is refused.
func TestChoosersRespectShares(t *testing.T) {
	for _, name := range Choosers.Names() {
		newChooser, err := Choosers.Lookup(name)
		if err != nil {
			t.Fatal(err)
		}
		router, _ := newTestRouter(t, 5, 2)
		router.chooser = newChooser()
		service := router.Table().Services["S"]
		for range 5 * 4 {
			if _, err := service.Admit(t.Context(), config.Interactive, nil); err != nil {
				t.Fatalf("%s: got %v, want a slot", name, err)
			}
		}
		for _, upstream := range service.Targets {
			if got := upstream.Slots.Used(); got != 4 {
				t.Errorf("%s: got %d slots used at %s, want 4", name, got, upstream.Name)
			}
		}
		_, err = service.Admit(t.Context(), config.Interactive, nil)
		requestErr, ok := err.(*core.RequestError)
		if !ok || requestErr.Verdict != core.NotRun || requestErr.Cause != core.CauseQueueTimeout {
			t.Errorf("%s: got error %v, want NotRun QueueTimeout", name, err)
		}
	}
}

// TestWaitingRequestUsesCurrentTable removes a host from the table while a
// request is queued. The request must not get a slot at that host.
func TestWaitingRequestUsesCurrentTable(t *testing.T) {
	router, sources := newTestRouter(t, 2, 8)
	service := router.Table().Services["S"]
	slots := make(map[string]Slot)
	for range 2 {
		slot, err := service.Admit(t.Context(), config.Interactive, nil)
		if err != nil {
			t.Fatal(err)
		}
		slots[slot.Upstream.Name] = slot
	}
	service.Config.Queue.Wait = config.Duration(time.Minute)
	got := make(chan string, 1)
	go func() {
		slot, err := service.Admit(t.Context(), config.Interactive, nil)
		if err != nil {
			got <- err.Error()
			return
		}
		got <- slot.Upstream.Name
	}()
	for service.Waiting() == 0 {
		time.Sleep(time.Millisecond)
	}
	host := sources.hosts["h0"]
	host.State = core.HostLeaving
	sources.hosts = maps.Clone(sources.hosts)
	sources.hosts["h0"] = host
	router.refresh()
	slots["h0"].Release()
	slots["h1"].Release()
	if name := <-got; name != "h1" {
		t.Errorf("got host %s, want h1, the remaining one", name)
	}
}

// TestLongestPathPrefixMatches checks that the route with the longest matching
// path is selected.
func TestLongestPathPrefixMatches(t *testing.T) {
	router, _ := newTestRouter(t, 1, 1)
	for path, want := range map[string]string{"/": "A", "/long": "A", "/long/x": "B"} {
		if got, ok := router.Table().Services["S"].Match(path); !ok || got.Name != want {
			t.Errorf("got route %q for %s, want %s", got.Name, path, want)
		}
	}
}

// BenchmarkAdmit measures admission, including the choice of a host.
func BenchmarkAdmit(b *testing.B) {
	for _, hosts := range []int{50, 730} {
		router, _ := newTestRouter(b, hosts, 8)
		service := router.Table().Services["S"]
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			b.ReportAllocs()
			ctx := context.Background()
			for b.Loop() {
				slot, err := service.Admit(ctx, config.Interactive, nil)
				if err != nil {
					b.Fatal(err)
				}
				slot.Release()
			}
		})
	}
}

// TestBatchLeavesSlotsForInteractive acquires all slots that Batch routes may
// hold. The next Batch request is queued, and Interactive requests get a slot
// without waiting behind it.
func TestBatchLeavesSlotsForInteractive(t *testing.T) {
	router, _ := newTestRouter(t, 4, 1)
	service := router.Table().Services["S"]
	const batch, interactive = 24, 8
	var slots []Slot
	for range batch {
		slot, err := service.Admit(t.Context(), config.Batch, nil)
		if err != nil {
			t.Fatal(err)
		}
		slots = append(slots, slot)
	}
	service.Config.Queue.Wait = config.Duration(time.Minute)
	admitted := make(chan error, 1)
	go func() {
		_, err := service.Admit(t.Context(), config.Batch, nil)
		admitted <- err
	}()
	for service.Waiting() == 0 {
		time.Sleep(time.Millisecond)
	}
	for range interactive {
		if _, err := service.Admit(t.Context(), config.Interactive, nil); err != nil {
			t.Fatalf("got %v for a request of an Interactive route, want a slot", err)
		}
	}
	if got := service.Waiting(); got != 1 {
		t.Errorf("got %d requests queued, want 1 of the Batch route", got)
	}
	slots[0].Release()
	if err := <-admitted; err != nil {
		t.Errorf("got %v for the queued request, want a slot", err)
	}
}

// TestTeamSlotLimit uses all slots of a team with its two services, and checks
// that the next request is refused until the other service releases a slot.
func TestTeamSlotLimit(t *testing.T) {
	yaml := "Racks: {R: {DataCentre: D, Hosts: [h0, h1]}}\nPools: {P: {Hosts: [h0]}, Q: {Hosts: [h1]}}\nTeams: {T: {Slots: 3}}\nServices:\n"
	for service, pool := range map[string]string{"A": "P", "B": "Q"} {
		yaml += fmt.Sprintf("  %s: {Pool: %s, Team: T, Budget: {MinReady: 0}, Queue: {Wait: 10ms}, Routes: {A: {Path: /}}}\n", service, pool)
	}
	router := newRouterFromConfig(t, yaml, 2, 1)
	services := router.Table().Services
	var slots []Slot
	for _, name := range []string{"A", "B", "A"} {
		slot, err := services[name].Admit(t.Context(), config.Interactive, nil)
		if err != nil {
			t.Fatal(err)
		}
		slots = append(slots, slot)
	}
	if _, err := services["B"].Admit(t.Context(), config.Interactive, nil); err == nil {
		t.Error("got a fourth slot for a team limited to 3, want none")
	}
	slots[0].Release()
	if _, err := services["B"].Admit(t.Context(), config.Interactive, nil); err != nil {
		t.Errorf("got %v after a slot was released, want a slot", err)
	}
}
