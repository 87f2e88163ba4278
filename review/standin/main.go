// Command standin plays the cases of the review that are scripts. It starts the project's
// nodes as processes and stands in for clients, workers and the platform.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	unable = 2
)

// outcome is the result of a case.
type outcome struct {
	code int
	text string
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(unable)
	}
	cases := map[string]func(w *world, trouble bool) outcome{
		"full-store": fullStore, "large-gang": largeGang, "large-record": largeRecord, "lost-ends": lostEnds, "moved-queue": movedQueue, "no-cpu": noCPU, "pending": pending,
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(unable)
	}
	w, err := newWorld(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(unable)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	go w.closeOnSignal()
	w.rec.printf("case %s, trouble %v", os.Args[1], trouble)
	o := play(w, trouble)
	w.rec.printf("result: %s", o.text)
	fmt.Println(o.text)
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		w.copyLogs(keep)
	}
	w.close()
	os.Exit(o.code)
}

// closeOnSignal ends all that was started if the case itself is ended.
func (w *world) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	w.close()
	os.Exit(unable)
}

// copyLogs copies the logs of the nodes to a folder.
func (w *world) copyLogs(folder string) {
	_ = os.MkdirAll(folder, 0o755)
	for _, n := range w.nodes {
		data, _ := os.ReadFile(filepath.Join(w.dir, n.name+".log"))
		_ = os.WriteFile(filepath.Join(folder, n.name+".log"), data, 0o600)
	}
}

func cannot(format string, args ...any) outcome {
	return outcome{unable, "could not run: " + fmt.Sprintf(format, args...)}
}

// begin starts nodes and waits until they serve: a job at each queue is done.
func (w *world) begin(nodes int) error {
	for range nodes {
		if _, err := w.startNode(); err != nil {
			return err
		}
	}
	if err := w.awaitReady(); err != nil {
		return err
	}
	// The users' traffic starts 10 s after the machines do.
	time.Sleep(6 * time.Second)
	return nil
}

// warmUp has a short job done at a queue.
func (w *world) warmUp(host, prefix, id string) error {
	if !w.submit(0, host, prefix+id, job("ms=300", step(1, 500))) {
		return fmt.Errorf("the first job was not accepted")
	}
	if !w.awaitState(host, prefix+id, "completed", 8*time.Second) {
		return fmt.Errorf("the first job was not completed")
	}
	return nil
}

func (w *world) awaitState(host, path, state string, limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		if a := w.quietCall(w.nodes[0], "GET", host, path, nil); strings.Contains(a.body, `"`+state+`"`) {
			w.rec.printf("client: GET %s%s: %s", host, path, a.body)
			return true
		}
	}
	return false
}

func job(spec string, steps ...map[string]any) map[string]any {
	return map[string]any{"spec": spec, "steps": steps}
}

func step(count int, cpu int) map[string]any {
	s := map[string]any{"count": count, "memMb": 64, "estRuntimeMs": 1000}
	if cpu > 0 {
		s["cpu"] = cpu
	}
	return s
}

func with(m map[string]any, key string, value any) map[string]any {
	m[key] = value
	return m
}

// idleSince returns since when none of the runs has been going on: the last end, or the given
// time if that is later. It returns false if one goes on.
func idleSince(runs []runRecord, from time.Time) (time.Time, bool) {
	for _, r := range runs {
		if r.ended.IsZero() {
			return time.Time{}, false
		}
		if r.ended.After(from) {
			from = r.ended
		}
	}
	return from, true
}

func countDone(runs []runRecord) int {
	done := map[string]bool{}
	for _, r := range runs {
		if r.how == "done" {
			done[r.task] = true
		}
	}
	return len(done)
}

// inProgress returns how many of the runs go on.
func inProgress(runs []runRecord) int {
	count := 0
	for _, r := range runs {
		if r.ended.IsZero() {
			count++
		}
	}
	return count
}

// anyEnded reports whether a node has ended by itself.
func (w *world) anyEnded() bool {
	for _, n := range w.nodes {
		if n.process != nil && n.ended() {
			return true
		}
	}
	return false
}

var large = resources{CPU: 32000, MemMB: 131072}
