package node_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"rattanpath/change"
	"rattanpath/config"
	"rattanpath/core"
	"rattanpath/fake"
	"rattanpath/follow"
	"rattanpath/peer"
	"rattanpath/replay"
)

// TestScenarios runs each script of _fixtures in a synctest bubble, whose clock
// is simulated. A script has one command per line; the methods of scenario
// document the commands.
func TestScenarios(t *testing.T) {
	paths, err := filepath.Glob("_fixtures/*.scenario")
	if err != nil || len(paths) == 0 {
		t.Fatalf("got scripts %v and error %v, want at least one script and no error", paths, err)
	}
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".scenario"), func(t *testing.T) {
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			synctest.Test(t, func(t *testing.T) { runScenario(t, string(text)) })
		})
	}
}

// baseConfig is the first file of every published folder; the second one depends
// on the publisher.
const baseConfig = `
Racks: {R: {DataCentre: D, Hosts: [up-0, up-1, up-2]}}
Pools: {P: {Hosts: [up-0, up-1, up-2]}}
Services: {S: {Pool: P, Budget: {MinReady: 0}, Routes: {A: {Path: /}}}}
`

// scenario runs one script against a simulated platform, nodes and operators.
type scenario struct {
	t         *testing.T
	line      string
	records   *fake.Log
	snapshots *fake.Log
	list      *fake.HostList
	nodes     map[string]*testNode
	network   network
	// newestServed is the newest revision that each node has served, by node name.
	newestServed map[string]int64
	// mu guards results and accepted.
	mu sync.Mutex
	// results holds the result reported to each publisher, by request ID.
	results map[string]string
	// accepted is the newest revision whose publication was reported as successful.
	accepted int64
}

func runScenario(t *testing.T, script string) {
	s := &scenario{
		t:            t,
		records:      fake.NewLog(0),
		snapshots:    fake.NewLog(0),
		list:         fake.NewHostList(),
		nodes:        make(map[string]*testNode),
		network:      network{partitions: make(map[string]bool), services: make(map[string]*peer.Service)},
		newestServed: make(map[string]int64),
		results:      make(map[string]string),
	}
	for _, name := range []string{"up-0", "up-1", "up-2"} {
		s.list.Put(core.Host{Name: name, Role: core.RoleWorker, State: core.HostLive, Address: name})
	}
	for number, line := range strings.Split(script, "\n") {
		words := strings.Fields(line)
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		s.line = fmt.Sprintf("line %d: %s", number+1, line)
		s.runCommand(words[0], words[1:])
		s.checkInvariants()
	}
	for _, name := range slices.Collect(maps.Keys(s.nodes)) {
		s.kill(name)
	}
}

func (s *scenario) runCommand(command string, args []string) {
	commands := map[string]func([]string){
		"nodes":     s.nodesCommand,
		"start":     func(args []string) { s.forEach(args, s.start) },
		"kill":      func(args []string) { s.forEach(args, s.kill) },
		"partition": func(args []string) { s.setPartitioned(args[0], args[1], true) },
		"heal":      func(args []string) { s.setPartitioned(args[0], args[1], false) },
		"log":       s.logCommand,
		"list":      s.listCommand,
		"host":      s.hostCommand,
		"publish":   s.publishCommand,
		"drain":     s.drainCommand,
		"race":      s.raceCommand,
		"result":    s.resultCommand,
		"wait":      func(args []string) { s.wait(s.parseDuration(args[0])) },
		"within":    s.withinCommand,
		"want":      s.wantCommand,
		"append":    s.appendCommand,
	}
	run, known := commands[command]
	if !known {
		s.fatalf("unknown command")
	}
	run(args)
}

// setPartitioned partitions a node from a resource (log, list or peers) or heals
// the partition: partition|heal NODE RESOURCE.
func (s *scenario) setPartitioned(node, resource string, partitioned bool) {
	s.network.mu.Lock()
	defer s.network.mu.Unlock()
	s.network.partitions[node+"/"+resource] = partitioned
}

func (s *scenario) fatalf(format string, args ...any) {
	s.t.Helper()
	s.t.Fatalf("%s: %s", s.line, fmt.Sprintf(format, args...))
}

func (s *scenario) forEach(names []string, f func(string)) {
	for _, name := range names {
		f(name)
	}
}

func (s *scenario) parseDuration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		s.fatalf("%v", err)
	}
	return d
}

func (s *scenario) parseInt(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		s.fatalf("%v", err)
	}
	return n
}

// nodesCommand starts COUNT nodes named n0, n1 and so on: nodes COUNT.
func (s *scenario) nodesCommand(args []string) {
	for i := range s.parseInt(args[0]) {
		s.start(fmt.Sprintf("n%d", i))
	}
}

// logCommand injects a fault into the log: log up|down|lose, log slow|late
// TIME, or log expire BELOW. "lose" drops the responses of appends that took
// effect.
func (s *scenario) logCommand(args []string) {
	var faults fake.LogFaults
	switch args[0] {
	case "up":
	case "down":
		faults.Down = true
	case "lose":
		faults.LoseAnswers = true
	case "slow":
		faults.Delay = s.parseDuration(args[1])
	case "late":
		faults.Late = s.parseDuration(args[1])
	case "expire":
		s.records.Expire(s.parseInt(args[1]))
		return
	default:
		s.fatalf("unknown log fault %q", args[0])
	}
	s.records.SetFaults(faults)
	s.snapshots.SetFaults(faults)
}

// listCommand injects a fault into the host list: list up|down or list lag TIME.
func (s *scenario) listCommand(args []string) {
	if args[0] == "lag" {
		s.list.SetLag(s.parseDuration(args[1]))
		return
	}
	s.list.SetDown(args[0] == "down")
}

// hostCommand changes the host list: host NAME leave|remove|back.
func (s *scenario) hostCommand(args []string) {
	switch args[1] {
	case "leave":
		s.list.MarkLeaving(args[0])
	case "remove":
		s.list.Remove(args[0])
	case "back":
		s.list.Put(core.Host{Name: args[0], Role: core.RoleWorker, State: core.HostLive, Address: args[0]})
	default:
		s.fatalf("unknown host state %q", args[1])
	}
}

// appendCommand appends records that can't be decoded: append COUNT.
func (s *scenario) appendCommand(args []string) {
	for range s.parseInt(args[0]) {
		if _, err := s.records.Append(s.t.Context(), []byte("noise")); err != nil {
			s.fatalf("%v", err)
		}
	}
}

// publishTimeout bounds one publication.
const publishTimeout = 10 * time.Second

// publish publishes a file against a base revision and stores the result.
func (s *scenario) publish(id string, base int64, text string) {
	ctx, cancel := context.WithTimeout(s.t.Context(), publishTimeout)
	defer cancel()
	publisher := change.NewPublisher(follow.Streams{Records: s.records, Snapshots: s.snapshots})
	files := config.Files{"a.yaml": baseConfig, "b.yaml": text}
	revision, err := publisher.Publish(ctx, change.Request{ID: id, Writer: id, Base: base, Files: files})
	s.mu.Lock()
	defer s.mu.Unlock()
	var rejected *change.RejectedError
	var unknown *change.UnknownOutcomeError
	switch {
	case err == nil:
		s.results[id] = "published"
		s.accepted = max(s.accepted, revision)
	case errors.As(err, &rejected):
		s.results[id] = "conflict"
	case errors.As(err, &unknown):
		s.results[id] = "unknown"
	default:
		s.results[id] = "failed"
	}
}

// publishCommand publishes and checks the reported result: publish ID
// BASE|current RESULT.
func (s *scenario) publishCommand(args []string) {
	s.publish(args[0], s.parseRevision(args[1]), changeFile(args[0]))
	s.resultCommand([]string{args[0], args[2]})
}

// drainCommand publishes a configuration that drains a host: drain ID HOST.
func (s *scenario) drainCommand(args []string) {
	s.publish(args[0], s.accepted, "Maintenance: {Drain: ["+args[1]+"]}\n")
	s.resultCommand([]string{args[0], "published"})
}

// changeFile returns a file whose text depends on the publisher, so that no two
// publishers publish the same folder.
func changeFile(id string) string { return "# " + id + "\nMaintenance: {AtOnce: 2}\n" }

func (s *scenario) parseRevision(text string) int64 {
	if text == "current" {
		return s.accepted
	}
	return s.parseInt(text)
}

// raceCommand publishes concurrently against the same base and checks that
// exactly one publication succeeds and the others report a conflict: race ID ID...
func (s *scenario) raceCommand(args []string) {
	base := s.accepted
	var publishers sync.WaitGroup
	for _, id := range args {
		publishers.Go(func() { s.publish(id, base, changeFile(id)) })
	}
	publishers.Wait()
	winners := 0
	for _, id := range args {
		if s.results[id] == "published" {
			winners++
		} else if s.results[id] != "conflict" {
			s.fatalf("got result %s for %s, want published or conflict", s.results[id], id)
		}
	}
	if winners != 1 {
		s.fatalf("got %d successful publications, want 1", winners)
	}
}

// resultCommand checks the result reported to a publisher: result ID RESULT.
func (s *scenario) resultCommand(args []string) {
	if got, want := s.results[args[0]], args[1]; got != want {
		s.fatalf("got result %s for %s, want %s", got, args[0], want)
	}
}

// wait advances the clock by d and checks the invariants at every tick.
func (s *scenario) wait(d time.Duration) {
	const tick = 50 * time.Millisecond
	for ; d > 0; d -= tick {
		time.Sleep(min(tick, d))
		s.checkInvariants()
	}
}

// withinCommand waits until a condition holds and fails after a timeout: within
// TIME CONDITION...
func (s *scenario) withinCommand(args []string) {
	deadline := time.Now().Add(s.parseDuration(args[0]))
	for !s.satisfied(args[1:]) {
		if time.Now().After(deadline) {
			s.fatalf("condition not met in time; got %s", s.describeNodes())
		}
		s.wait(50 * time.Millisecond)
	}
}

// wantCommand checks that a condition holds now: want CONDITION...
func (s *scenario) wantCommand(args []string) {
	synctest.Wait()
	if !s.satisfied(args) {
		s.fatalf("condition not met; got %s", s.describeNodes())
	}
}

// satisfied reports whether a condition holds: NODE|all revision N|current,
// NODE|all ready BOOL, NODE|all hosts COUNT, snapshot NEXT (a snapshot at least
// up to that offset), or records COUNT.
func (s *scenario) satisfied(args []string) bool {
	if args[0] == "snapshot" {
		state, err := follow.ReadSnapshot(s.t.Context(), s.snapshots)
		return err == nil && state != nil && state.Next >= s.parseInt(args[1])
	}
	if args[0] == "records" {
		bounds, err := s.records.Bounds(s.t.Context())
		return err == nil && bounds.Next == s.parseInt(args[1])
	}
	for name, node := range s.nodes {
		if args[0] != "all" && args[0] != name {
			continue
		}
		if !s.nodeSatisfies(node, args[1], args[2]) {
			return false
		}
	}
	return true
}

func (s *scenario) nodeSatisfies(node *testNode, property, value string) bool {
	switch property {
	case "revision":
		return node.revision() == s.parseRevision(value)
	case "ready":
		return fmt.Sprint(node.router.Table() != nil) == value
	case "hosts":
		return fmt.Sprint(node.hosts()) == value
	default:
		s.fatalf("unknown condition %q", property)
		return false
	}
}

func (s *scenario) describeNodes() string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(s.nodes)) {
		node := s.nodes[name]
		parts = append(parts, fmt.Sprintf("%s: revision %d next %d hosts %d", name, node.revision(), node.follower.State().Next, node.hosts()))
	}
	return strings.Join(parts, "; ")
}

// checkInvariants fails if a node serves an older revision than before, or if
// two nodes have different states after the same records.
func (s *scenario) checkInvariants() {
	s.t.Helper()
	synctest.Wait()
	states := make(map[int64]*replay.State)
	for name, node := range s.nodes {
		revision := node.revision()
		if revision > 0 && revision < s.newestServed[name] {
			s.fatalf("%s serves revision %d after %d", name, revision, s.newestServed[name])
		}
		s.newestServed[name] = max(s.newestServed[name], revision)
		state := node.follower.State()
		if other := states[state.Next]; other != nil && other.Digest != state.Digest {
			s.fatalf("%s: got digest %x after %d records, want %x as on another node", name, state.Digest, state.Next, other.Digest)
		}
		states[state.Next] = state
	}
}
