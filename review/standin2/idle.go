package main

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

func init() { cases["idle"] = idleCase }

// idleCase crashes an idle worker, which begins a new life of a smaller kind a second later. A job that needs
// its label comes just after the crash. That is done four times.
func idleCase(w *World) (string, error) {
	large := Kind{CPU: 64000, MemMB: 262144, Labels: []string{"gold", "r1-1"}}
	small := Kind{CPU: 4000, MemMB: 262144, Labels: []string{"gold", "r1-1"}}
	plain := Kind{CPU: 64000, MemMB: 262144, Labels: []string{"plain", "r1-1"}}
	w.Configure(3, []string{"svc-a"}, Route{"/qa/", "svc-a", 4})
	special, err := w.AddWorker("i-0", "svc-a", large)
	if err != nil {
		return "", err
	}
	for i := range 7 {
		if _, err := w.AddWorker(fmt.Sprintf("i-%d", i+1), "svc-a", plain); err != nil {
			return "", err
		}
	}
	for range 3 {
		if _, err := w.AddNode(); err != nil {
			return "", err
		}
	}
	if err := w.AwaitReady("/qa/"); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	const tasks, cpu = 1, 6000
	job := map[string]any{"spec": "ms=300", "steps": []any{map[string]any{"count": tasks, "cpu": cpu, "memMb": 1000, "estRuntimeMs": 300, "requiredLabel": "gold"}}}
	for round := range 4 {
		if status, _ := w.nodes[round%3].Call("POST", "/qa/"+NewID(), job, 3*time.Second); status != 200 {
			return "", errors.New("a job was not accepted")
		}
		// The job is done and the worker idle before the crash.
		time.Sleep(3 * time.Second)
		if w.trouble {
			special.Crash()
		}
		time.Sleep(30 * time.Millisecond)
		if status, _ := w.nodes[round%3].Call("POST", "/qa/"+NewID(), job, 3*time.Second); status != 200 {
			return "", errors.New("a job was not accepted")
		}
		time.Sleep(970 * time.Millisecond)
		if w.trouble {
			if err := special.Boot(small); err != nil {
				return "", err
			}
			time.Sleep(4 * time.Second)
			// It is large again before the next round.
			special.Crash()
			time.Sleep(time.Second)
			if err := special.Boot(large); err != nil {
				return "", err
			}
		}
		time.Sleep(4 * time.Second)
	}
	return w.overCapacity(cpu), nil
}

// overCapacity returns the first start that brought a worker over its capacity, or "". Each task takes cpu.
func (w *World) overCapacity(cpu int64) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, s := range w.starts {
		used := cpu
		for _, earlier := range w.starts[:i] {
			if earlier.worker == s.worker && earlier.life == s.life && earlier.run.isOn(s.at) {
				used += cpu
			}
		}
		if used > s.kind.CPU {
			return fmt.Sprintf("LIMIT: %s was started on %s, life %d, which has %d and brought it to %d of CPU", strings.TrimSpace(s.task), s.worker.id, s.life, s.kind.CPU, used)
		}
	}
	return ""
}
