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
	"rattanpath/fold"
	"rattanpath/roster"
)

// world is a state and a roster that tests change.
type world struct {
	state *fold.State
	hosts map[string]core.Host
}

func (w *world) State() *fold.State       { return w.state }
func (w *world) Ready() bool              { return true }
func (w *world) Changed() <-chan struct{} { return nil }
func (w *world) Names() []string          { return []string{"node-0"} }
func (w *world) Joined() bool             { return true }
func (w *world) Roster() *roster.Roster   { return &roster.Roster{Hosts: w.hosts} }

// newRouter returns a router for one service on so many hosts.
func newRouter(tb testing.TB, hosts, nodes int) (*Router, *world) {
	tb.Helper()
	names := ""
	for i := range hosts {
		names += fmt.Sprintf("h%d, ", i)
	}
	text := "Racks: {R: {DataCentre: D, Hosts: [" + names + "]}}\nPools: {P: {Racks: [R]}}\n" +
		"Services: {S: {Pool: P, Budget: {MinReady: 0}, Queue: {Wait: 10ms}, Routes: {A: {Path: /}, B: {Path: /long/}}}}\n"
	router := routerOf(tb, text, hosts, nodes)
	return router, router.states.(*world)
}

// routerOf returns a router for a folder of one file, with so many hosts and
// nodes on the list.
func routerOf(tb testing.TB, text string, hosts, nodes int) *Router {
	tb.Helper()
	w := &world{hosts: make(map[string]core.Host)}
	for i := range hosts {
		name := fmt.Sprintf("h%d", i)
		w.hosts[name] = core.Host{Name: name, Role: core.RoleWorker, State: core.HostLive, Address: name}
	}
	for i := range nodes {
		name := fmt.Sprintf("node-%d", i)
		w.hosts[name] = core.Host{Name: name, Role: core.RoleEntry, State: core.HostLive}
	}
	data, err := fold.EncodeRecord(fold.Record{Format: fold.Format, RequestID: "r", Publish: &fold.Change{Set: config.Files{"a.yaml": text}}})
	if err != nil {
		tb.Fatal(err)
	}
	w.state, err = fold.New().Apply(core.Entry{Data: data})
	if err != nil || w.state.Revision == 0 {
		tb.Fatalf("got %+v, %v; want the folder in force", w.state, err)
	}
	router := New("node-0", w, w, w, LeastOfTwo{}, logr.Discard())
	router.step()
	return router
}

// fewNodes is the number of nodes up to which each must have a slot of some
// host of a usual pool.
const fewNodes = 16

// TestSharesAddUp checks that the shares of all nodes of a host add up to its
// slots, and that none of a few nodes is left without any.
func TestSharesAddUp(t *testing.T) {
	for _, count := range []int{1, 2, 3, 7, 8, 9, 16, 64} {
		var nodes []string
		for i := range count {
			nodes = append(nodes, fmt.Sprintf("node-%d", i))
		}
		total := make(map[string]int64)
		for host := range 40 {
			sum := int64(0)
			for _, node := range nodes {
				share := slotShare(8, fmt.Sprintf("h%d", host), node, nodes)
				sum += share
				total[node] += share
			}
			if sum != 8 {
				t.Errorf("got %d slots of h%d shared by %d nodes, want 8", sum, host, count)
			}
		}
		for node, share := range total {
			if share == 0 && count <= fewNodes {
				t.Errorf("got no slot of 40 hosts for %s of %d nodes, want some", node, count)
			}
		}
	}
}

// TestNodeWithoutShare checks that a node that ranks too low for the only host
// may still send it one request at a time.
func TestNodeWithoutShare(t *testing.T) {
	router, _ := newRouter(t, 1, 200)
	targets := router.Table().Services["S"].Targets
	if len(targets) != 1 || targets[0].Share != 1 {
		t.Errorf("got targets %+v, want one slot of the host", targets)
	}
}

// TestChoosersRespectShares takes every slot of every host with each chooser
// and finds the next request refused.
func TestChoosersRespectShares(t *testing.T) {
	for _, name := range Choosers.Names() {
		newChooser, err := Choosers.Lookup(name)
		if err != nil {
			t.Fatal(err)
		}
		router, _ := newRouter(t, 5, 2)
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
		failure, ok := err.(*core.Failure)
		if !ok || failure.Verdict != core.NotRun || failure.Cause != core.CauseQueueTimeout {
			t.Errorf("%s: got %v, want NotRun QueueTimeout", name, err)
		}
	}
}

// TestWaitingRequestGoesByNewestTable lets a host leave while a request waits;
// the request must not get its slot.
func TestWaitingRequestGoesByNewestTable(t *testing.T) {
	router, w := newRouter(t, 2, 8)
	service := router.Table().Services["S"]
	leases := make(map[string]Lease)
	for range 2 {
		lease, err := service.Admit(t.Context(), config.Interactive, nil)
		if err != nil {
			t.Fatal(err)
		}
		leases[lease.Upstream.Name] = lease
	}
	service.Config.Queue.Wait = config.Duration(time.Minute)
	got := make(chan string, 1)
	go func() {
		lease, err := service.Admit(t.Context(), config.Interactive, nil)
		if err != nil {
			got <- err.Error()
			return
		}
		got <- lease.Upstream.Name
	}()
	for service.Waiting() == 0 {
		time.Sleep(time.Millisecond)
	}
	leaving := w.hosts["h0"]
	leaving.State = core.HostLeaving
	w.hosts = maps.Clone(w.hosts)
	w.hosts["h0"] = leaving
	router.step()
	leases["h0"].Release()
	leases["h1"].Release()
	if name := <-got; name != "h1" {
		t.Errorf("got %s, want h1, the host that stays", name)
	}
}

// TestLongestRouteMatches checks which route a path belongs to.
func TestLongestRouteMatches(t *testing.T) {
	router, _ := newRouter(t, 1, 1)
	for path, want := range map[string]string{"/": "A", "/long": "A", "/long/x": "B"} {
		if got, ok := router.Table().Services["S"].Match(path); !ok || got.Name != want {
			t.Errorf("got route %q for %s, want %s", got.Name, path, want)
		}
	}
}

// BenchmarkAdmit measures admission and the choice of a host.
func BenchmarkAdmit(b *testing.B) {
	for _, hosts := range []int{50, 730} {
		router, _ := newRouter(b, hosts, 8)
		service := router.Table().Services["S"]
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			b.ReportAllocs()
			ctx := context.Background()
			for b.Loop() {
				lease, err := service.Admit(ctx, config.Interactive, nil)
				if err != nil {
					b.Fatal(err)
				}
				lease.Release()
			}
		})
	}
}

// TestBatchLeavesSlotsAndQueue fills what Batch routes may hold; a request of a
// Batch route then waits, and Interactive ones get a slot without waiting
// behind it.
func TestBatchLeavesSlotsAndQueue(t *testing.T) {
	router, _ := newRouter(t, 4, 1)
	service := router.Table().Services["S"]
	const batch, interactive = 24, 8
	var leases []Lease
	for range batch {
		lease, err := service.Admit(t.Context(), config.Batch, nil)
		if err != nil {
			t.Fatal(err)
		}
		leases = append(leases, lease)
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
		t.Errorf("got %d waiting, want the one of the Batch route", got)
	}
	leases[0].Release()
	if err := <-admitted; err != nil {
		t.Errorf("got %v for the request that waited, want a slot", err)
	}
}

// TestTeamBound lets two services of a team run as many requests as it may, and
// finds the next one refused until a slot of the other service comes back.
func TestTeamBound(t *testing.T) {
	text := "Racks: {R: {DataCentre: D, Hosts: [h0, h1]}}\nPools: {P: {Hosts: [h0]}, Q: {Hosts: [h1]}}\nTeams: {T: {Slots: 3}}\nServices:\n"
	for service, pool := range map[string]string{"A": "P", "B": "Q"} {
		text += fmt.Sprintf("  %s: {Pool: %s, Team: T, Budget: {MinReady: 0}, Queue: {Wait: 10ms}, Routes: {A: {Path: /}}}\n", service, pool)
	}
	router := routerOf(t, text, 2, 1)
	services := router.Table().Services
	var leases []Lease
	for _, name := range []string{"A", "B", "A"} {
		lease, err := services[name].Admit(t.Context(), config.Interactive, nil)
		if err != nil {
			t.Fatal(err)
		}
		leases = append(leases, lease)
	}
	if _, err := services["B"].Admit(t.Context(), config.Interactive, nil); err == nil {
		t.Error("got a fourth slot of a team that may use 3, want none")
	}
	leases[0].Release()
	if _, err := services["B"].Admit(t.Context(), config.Interactive, nil); err != nil {
		t.Errorf("got %v after a slot came back, want a slot", err)
	}
}
