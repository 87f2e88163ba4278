package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	memoryMB     = 284
	jobsEach     = 170
	stepsOfJob   = 3000
	removedNodes = 3
	// answerTime is how long after the end of the traffic a job may be asked for in vain.
	answerTime = 14 * time.Second
)

// playMemory hands large jobs in that are due next day, and removes all nodes but one. It checks that
// the jobs are known afterwards, while the platform kills processes that exceed their memory.
func playMemory(log *record, trouble bool) (bool, error) {
	w, err := newWorld(log)
	if err != nil {
		return false, err
	}
	defer w.close()
	services := []string{"alfa", "bravo", "charlie", "delta"}
	var routes, list []any
	for _, name := range services {
		routes = append(routes, route(name, "/"+name+"/", name, 0))
		list = append(list, service(name, false))
	}
	w.put("config", map[string]any{"version": 1, "limits": limits, "routes": routes, "services": list})
	for _, name := range services {
		for i := range 2 {
			w.addMachine(name, 16000, "a", fmt.Sprintf("r1-%d", i))
		}
	}
	if err := w.addNodes(4, smallBounds); err != nil {
		return false, err
	}
	var kills atomic.Int64
	for _, n := range w.nodes {
		go n.limitMemory(&kills)
	}
	if err := w.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	c := &client{w: w}
	steps := make([]any, 0, stepsOfJob)
	for range stepsOfJob {
		steps = append(steps, map[string]any{"count": 1, "cpu": 1000, "memMb": 500, "estRuntimeMs": 900})
	}
	job := map[string]any{
		"spec": spec{Ms: 900, CPU: 1000}.text(), "steps": steps,
		"repeats": 1, "firstMs": time.Now().Add(24 * time.Hour).UnixMilli(),
	}
	if body, err := json.Marshal(job); err == nil {
		log.printf("each of the jobs takes %d bytes", len(body))
	}
	for i := range jobsEach {
		for k, name := range services {
			if err := c.submit("/"+name+"/", fmt.Sprintf("%014x%02x", i, k), job); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(2 * time.Second)
	for _, n := range w.nodes {
		log.printf("%s has %d MB", n.name, n.memory()>>20)
	}
	if kills.Load() > 0 {
		return false, fmt.Errorf("processes exceeded their memory before the disruption")
	}
	if trouble {
		for _, n := range w.nodes[:removedNodes] {
			log.printf("disruption: %s is removed for good", n.name)
			n.stop()
		}
		c.next = removedNodes
	}
	time.Sleep(answerTime)
	// Each job is asked for as long as the rule allows, at a node that is there.
	unknown := 0
	for end := time.Now().Add(answerTime); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		unknown = 0
		for k, name := range services {
			if status, _ := c.call(http.MethodGet, "/"+name+"/"+fmt.Sprintf("%014x%02x", 0, k), nil); status != http.StatusOK {
				unknown++
			}
			if trouble {
				c.next = removedNodes
			}
		}
		if unknown == 0 {
			break
		}
	}
	for _, n := range w.nodes {
		log.printf("%s has %d MB", n.name, n.memory()>>20)
	}
	log.printf("%d processes were killed because they exceeded %d MB", kills.Load(), memoryMB)
	if unknown > 0 {
		log.printf("LOST: %d of %d jobs that were accepted get no answer for %s, %s after the end of the traffic", unknown, len(services), answerTime, answerTime)
	}
	return unknown > 0, nil
}

// memory returns how much memory the process has, in bytes.
func (n *node) memory() int64 {
	n.mu.Lock()
	pid := n.process.Pid
	n.mu.Unlock()
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(data)) {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			var kb int64
			_, _ = fmt.Sscan(rest, &kb)
			return kb << 10
		}
	}
	return 0
}

// limitMemory kills the process whenever it exceeds its memory, as the platform does.
func (n *node) limitMemory(kills *atomic.Int64) {
	for {
		time.Sleep(20 * time.Millisecond)
		n.mu.Lock()
		stopping := n.stopping
		n.mu.Unlock()
		if stopping {
			return
		}
		if has := n.memory(); has > memoryMB<<20 {
			n.w.log.printf("the platform kills %s: it has %d MB, more than %d", n.name, has>>20, memoryMB)
			kills.Add(1)
			<-n.signal(syscall.SIGKILL)
		}
	}
}
