package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	waitingJobs = 4
	darkTime    = 7 * time.Second
	// pendingAge is visible_ms and 2 s: younger jobs needn't be counted.
	pendingAge = 5 * time.Second
)

// playPending takes the power from both workers of a service, and hands jobs in right after. It checks
// the number of pending jobs that nodes give.
func playPending(log *record, trouble bool) (bool, error) {
	began := make(map[string]bool)
	log.onBegan = func(_ string, r *run) { began[r.task[:16]] = true }
	w, err := newWorld(log)
	if err != nil {
		return false, err
	}
	defer w.close()
	w.put("config", map[string]any{
		"version": 1, "limits": limits,
		"routes":   []any{route("work", "/work/", "desk", 0)},
		"services": []any{service("desk", false)},
	})
	for range 2 {
		w.addMachine("desk", 16000, "a", "r1-0")
	}
	if err := w.addNodes(4, smallBounds); err != nil {
		return false, err
	}
	if err := w.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	c := &client{w: w}
	short := spec{Ms: 400, CPU: 500}
	step := map[string]any{"count": 40, "cpu": 500, "memMb": 100, "estRuntimeMs": 400}
	for i := range 3 {
		id := fmt.Sprintf("00000000000000%02x", i)
		if err := c.submit("/work/", id, map[string]any{"spec": short.text(), "steps": []any{step}}); err != nil {
			return false, err
		}
		time.Sleep(1500 * time.Millisecond)
	}
	if trouble {
		for _, m := range w.machines {
			m.dark("the rack has lost power")
		}
	}
	step["count"] = 1
	accepted := make(map[string]time.Time)
	for i := range waitingJobs {
		id := fmt.Sprintf("aaaaaaaaaaaaaa%02x", i)
		if err := c.submit("/work/", id, map[string]any{"spec": short.text(), "steps": []any{step}}); err != nil {
			return false, err
		}
		accepted[id] = time.Now()
	}
	if trouble {
		time.AfterFunc(darkTime, func() {
			for _, m := range w.machines {
				m.light()
			}
		})
	}
	broken := false
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		sent := time.Now()
		status, text := c.call(http.MethodGet, "/work/", nil)
		var body struct {
			Pending int `json:"pending"`
		}
		if status != http.StatusOK || json.Unmarshal([]byte(text), &body) != nil {
			continue
		}
		log.mu.Lock()
		waiting := 0
		for id, at := range accepted {
			if sent.Sub(at) > pendingAge && !began[id] {
				waiting++
			}
		}
		if 2*body.Pending < waiting {
			broken = true
			log.line("MIXED: pending is given as %d, and %d jobs that were accepted over %s before have not begun", body.Pending, waiting, pendingAge)
		}
		log.mu.Unlock()
	}
	log.mu.Lock()
	defer log.mu.Unlock()
	for id := range accepted {
		if !began[id] {
			return broken, errors.New("job " + id + " never began")
		}
	}
	return broken, nil
}
