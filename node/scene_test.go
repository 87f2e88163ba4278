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
	"rattanpath/fold"
	"rattanpath/follow"
	"rattanpath/peer"
)

// TestScenes plays each script of _fixtures in paused time. A script has one
// command a line; see the methods of scene for what each does.
func TestScenes(t *testing.T) {
	paths, err := filepath.Glob("_fixtures/*.scene")
	if err != nil || len(paths) == 0 {
		t.Fatalf("got scripts %v, %v; want some", paths, err)
	}
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".scene"), func(t *testing.T) {
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			synctest.Test(t, func(t *testing.T) { playScene(t, string(text)) })
		})
	}
}

// sceneBase is the folder that scenes start from; a file named after each
// publisher is laid over it.
const sceneBase = `
Racks: {R: {DataCentre: D, Hosts: [up-0, up-1, up-2]}}
Pools: {P: {Hosts: [up-0, up-1, up-2]}}
Services: {S: {Pool: P, Budget: {MinReady: 0}, Routes: {A: {Path: /}}}}
`

// scene is a control plane in one test: the platform, nodes and operators.
type scene struct {
	t       *testing.T
	line    string
	records *fake.Log
	snaps   *fake.Log
	list    *fake.HostList
	nodes   map[string]*sceneNode
	network sceneNetwork
	// served is the newest revision that a node of that name had in force.
	served map[string]int64
	// mu guards what publishers were told.
	mu      sync.Mutex
	results map[string]string
	// accepted is the newest revision that an operator was told of.
	accepted int64
}

func playScene(t *testing.T, script string) {
	s := &scene{
		t:       t,
		records: fake.NewLog(0),
		snaps:   fake.NewLog(0),
		list:    fake.NewHostList(),
		nodes:   make(map[string]*sceneNode),
		network: sceneNetwork{cuts: make(map[string]bool), services: make(map[string]*peer.Service)},
		served:  make(map[string]int64),
		results: make(map[string]string),
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
		s.play(words[0], words[1:])
		s.check()
	}
	for _, name := range slices.Collect(maps.Keys(s.nodes)) {
		s.kill(name)
	}
}

func (s *scene) play(command string, args []string) {
	commands := map[string]func([]string){
		"nodes":   s.playNodes,
		"start":   func(args []string) { s.each(args, s.start) },
		"kill":    func(args []string) { s.each(args, s.kill) },
		"cut":     func(args []string) { s.setCut(args[0], args[1], true) },
		"heal":    func(args []string) { s.setCut(args[0], args[1], false) },
		"log":     s.playLog,
		"list":    s.playList,
		"host":    s.playHost,
		"publish": s.playPublish,
		"drain":   s.playDrain,
		"race":    s.playRace,
		"told":    s.playTold,
		"wait":    func(args []string) { s.wait(s.duration(args[0])) },
		"within":  s.playWithin,
		"want":    s.playWant,
		"append":  s.playAppend,
	}
	do, known := commands[command]
	if !known {
		s.fatalf("unknown command")
	}
	do(args)
}

// setCut cuts a node off from log, list or peers, or heals that.
func (s *scene) setCut(node, what string, cut bool) {
	s.network.mu.Lock()
	defer s.network.mu.Unlock()
	s.network.cuts[node+"/"+what] = cut
}

func (s *scene) fatalf(format string, args ...any) {
	s.t.Helper()
	s.t.Fatalf("%s: %s", s.line, fmt.Sprintf(format, args...))
}

func (s *scene) each(names []string, do func(string)) {
	for _, name := range names {
		do(name)
	}
}

func (s *scene) duration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		s.fatalf("%v", err)
	}
	return d
}

func (s *scene) number(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		s.fatalf("%v", err)
	}
	return n
}

// playNodes starts nodes n0, n1 and so on: nodes COUNT.
func (s *scene) playNodes(args []string) {
	for i := range s.number(args[0]) {
		s.start(fmt.Sprintf("n%d", i))
	}
}

// playLog changes the faults of the log: log up, down, lose, slow TIME, late
// TIME, expire BELOW, keep RECORDS.
func (s *scene) playLog(args []string) {
	var faults fake.LogFaults
	switch args[0] {
	case "up":
	case "down":
		faults.Down = true
	case "lose":
		faults.LoseAnswers = true
	case "slow":
		faults.Delay = s.duration(args[1])
	case "late":
		faults.Late = s.duration(args[1])
	case "expire":
		s.records.Expire(s.number(args[1]))
		return
	default:
		s.fatalf("unknown state of the log")
	}
	s.records.SetFaults(faults)
	s.snaps.SetFaults(faults)
}

// playList changes the faults of the host list: list up, down, lag TIME.
func (s *scene) playList(args []string) {
	if args[0] == "lag" {
		s.list.SetLag(s.duration(args[1]))
		return
	}
	s.list.SetDown(args[0] == "down")
}

// playHost changes the host list: host NAME leave|remove|back.
func (s *scene) playHost(args []string) {
	switch args[1] {
	case "leave":
		s.list.MarkLeaving(args[0])
	case "remove":
		s.list.Remove(args[0])
	case "back":
		s.list.Put(core.Host{Name: args[0], Role: core.RoleWorker, State: core.HostLive, Address: args[0]})
	default:
		s.fatalf("unknown state of a host")
	}
}

// playAppend appends records that mean nothing: append COUNT.
func (s *scene) playAppend(args []string) {
	for range s.number(args[0]) {
		if _, err := s.records.Append(s.t.Context(), []byte("noise")); err != nil {
			s.fatalf("%v", err)
		}
	}
}

// publishTimeout is how long an operator's command goes on.
const publishTimeout = 10 * time.Second

// publish lets an operator publish a file against a base and keeps the result.
func (s *scene) publish(id string, base int64, text string) {
	ctx, cancel := context.WithTimeout(s.t.Context(), publishTimeout)
	defer cancel()
	publisher := change.NewPublisher(follow.Streams{Records: s.records, Snapshots: s.snaps})
	files := config.Files{"a.yaml": sceneBase, "b.yaml": text}
	revision, err := publisher.Publish(ctx, change.Request{ID: id, Writer: id, Base: base, Files: files})
	s.mu.Lock()
	defer s.mu.Unlock()
	var conflict *change.ConflictError
	var unknown *change.UnknownError
	switch {
	case err == nil:
		s.results[id] = "published"
		s.accepted = max(s.accepted, revision)
	case errors.As(err, &conflict):
		s.results[id] = "conflict"
	case errors.As(err, &unknown):
		s.results[id] = "unknown"
	default:
		s.results[id] = "failed"
	}
}

// playPublish publishes and compares what the operator is told: publish ID
// BASE|current RESULT.
func (s *scene) playPublish(args []string) {
	s.publish(args[0], s.base(args[1]), fileOf(args[0]))
	s.playTold([]string{args[0], args[2]})
}

// playDrain publishes the drain of a host: drain ID HOST.
func (s *scene) playDrain(args []string) {
	s.publish(args[0], s.accepted, "Maintenance: {Drain: ["+args[1]+"]}\n")
	s.playTold([]string{args[0], "published"})
}

// fileOf returns a file whose text differs by publisher, so that two of them
// never publish the same.
func fileOf(id string) string { return "# " + id + "\nMaintenance: {AtOnce: 2}\n" }

func (s *scene) base(text string) int64 {
	if text == "current" {
		return s.accepted
	}
	return s.number(text)
}

// playRace lets operators publish at once against the same base and checks
// that one of them wins: race ID ID...
func (s *scene) playRace(args []string) {
	base := s.accepted
	var racers sync.WaitGroup
	for _, id := range args {
		racers.Go(func() { s.publish(id, base, fileOf(id)) })
	}
	racers.Wait()
	won := 0
	for _, id := range args {
		if s.results[id] == "published" {
			won++
		} else if s.results[id] != "conflict" {
			s.fatalf("%s was told %s, want published or conflict", id, s.results[id])
		}
	}
	if won != 1 {
		s.fatalf("got %d winners, want 1", won)
	}
}

// playTold compares what an operator was told: told ID RESULT.
func (s *scene) playTold(args []string) {
	if got, want := s.results[args[0]], args[1]; got != want {
		s.fatalf("%s was told %s, want %s", args[0], got, want)
	}
}

// wait lets time pass and checks the invariants at every tick.
func (s *scene) wait(d time.Duration) {
	const tick = 50 * time.Millisecond
	for ; d > 0; d -= tick {
		time.Sleep(min(tick, d))
		s.check()
	}
}

// playWithin waits until a wish holds: within TIME WISH...
func (s *scene) playWithin(args []string) {
	deadline := time.Now().Add(s.duration(args[0]))
	for !s.holds(args[1:]) {
		if time.Now().After(deadline) {
			s.fatalf("got %s", s.describe())
		}
		s.wait(50 * time.Millisecond)
	}
}

// playWant checks that a wish holds now: want WISH...
func (s *scene) playWant(args []string) {
	synctest.Wait()
	if !s.holds(args) {
		s.fatalf("got %s", s.describe())
	}
}

// holds reports whether a wish holds: NODE|all revision N|current, NODE|all
// ready BOOL, NODE|all hosts COUNT, snapshot NEXT, or
// records COUNT.
func (s *scene) holds(args []string) bool {
	if args[0] == "snapshot" {
		state, err := follow.ReadSnapshot(s.t.Context(), s.snaps)
		return err == nil && state != nil && state.Next >= s.number(args[1])
	}
	if args[0] == "records" {
		bounds, err := s.records.Bounds(s.t.Context())
		return err == nil && bounds.Next == s.number(args[1])
	}
	for name, node := range s.nodes {
		if args[0] != "all" && args[0] != name {
			continue
		}
		if !s.nodeHolds(node, args[1], args[2]) {
			return false
		}
	}
	return true
}

func (s *scene) nodeHolds(node *sceneNode, what, value string) bool {
	switch what {
	case "revision":
		return node.revision() == s.base(value)
	case "ready":
		return fmt.Sprint(node.router.Table() != nil) == value
	case "hosts":
		return fmt.Sprint(node.hosts()) == value
	default:
		s.fatalf("unknown wish")
		return false
	}
}

func (s *scene) describe() string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(s.nodes)) {
		node := s.nodes[name]
		parts = append(parts, fmt.Sprintf("%s: revision %d next %d hosts %d", name, node.revision(), node.follower.State().Next, node.hosts()))
	}
	return strings.Join(parts, "; ")
}

// check fails if a node went back, if two nodes folded the same records
// differently, or if a node serves what no record brought in force.
func (s *scene) check() {
	s.t.Helper()
	synctest.Wait()
	states := make(map[int64]*fold.State)
	for name, node := range s.nodes {
		revision := node.revision()
		if revision > 0 && revision < s.served[name] {
			s.fatalf("%s serves revision %d after %d", name, revision, s.served[name])
		}
		s.served[name] = max(s.served[name], revision)
		state := node.follower.State()
		if other := states[state.Next]; other != nil && other.Digest != state.Digest {
			s.fatalf("%s folded %d records into another state", name, state.Next)
		}
		states[state.Next] = state
	}
}
