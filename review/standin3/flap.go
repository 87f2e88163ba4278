package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

const smallBounds = "seedLagS: 3, addrReuseS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 6, lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, maxStretchMs: 5000, recoveryS: 12, holdMaxMs: 10000, stopMs: 400, gangMs: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, farX: 3, checkpointS: 1, restoreMs: 100, noticeMs: 4500, moveS: 1.5, maintenanceS: 2, fencingRequired: false, leaseMs: 3000, thawSlackMs: 300, paceMs: 100, harmMs: 4000"

const (
	flapPeriod = time.Second
	flapTime   = 6500 * time.Millisecond
	// lastingTime is from when after its last run a task that lasts has to run again, with the 3 s
	// for which it may lack a run.
	lastingTime = 9 * time.Second
	job1        = "5c0e7a21d94b36f8"
	// lastingTasks leave one worker with one task and room for another one, if there are two on each
	// of the others.
	flapWorkers, lastingTasks, tasksPerWorker = 8, 15, 2
)

// playFlap lets one of eight workers go down and up by turns, and checks that each task of a job that
// lasts, at most two a worker, runs again afterwards.
func playFlap(log *record, trouble bool) (bool, error) {
	active := make(map[string]int)
	lastEnd := make(map[string]time.Time)
	began := make(map[string]int)
	runs := make(map[string]int)
	log.onBegan = func(worker string, r *run) { active[r.task]++; began[r.task]++; runs[worker]++ }
	log.onEnded = func(worker string, r *run, _ string) {
		active[r.task]--
		runs[worker]--
		lastEnd[r.task] = time.Now()
	}
	w, err := newWorld(log)
	if err != nil {
		return false, err
	}
	defer w.close()
	w.put("config", map[string]any{
		"version": 1, "limits": limits,
		"routes":   []any{route("serve", "/serve/", "desk", 0)},
		"services": []any{service("desk", false)},
	})
	for i := range flapWorkers {
		w.addMachine("desk", 16000, "a", fmt.Sprintf("r1-%d", i/4))
	}
	if err := w.addNodes(4, smallBounds); err != nil {
		return false, err
	}
	if err := w.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	c := &client{w: w}
	step := map[string]any{"count": lastingTasks, "cpu": 2000, "memMb": 1000, "estRuntimeMs": 1000, "longRunning": true, "antiAffinity": tasksPerWorker, "mayMiss": 2}
	if err := c.submit("/serve/", job1, map[string]any{"spec": spec{CPU: 2000}.text(), "steps": []any{step}}); err != nil {
		return false, err
	}
	missing := func() []string {
		log.mu.Lock()
		defer log.mu.Unlock()
		var tasks []string
		for i := range lastingTasks {
			if task := fmt.Sprintf("%s.0.0.%d", job1, i); active[task] == 0 {
				tasks = append(tasks, task)
			}
		}
		return tasks
	}
	for range 100 {
		if len(missing()) == 0 {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	if len(missing()) > 0 {
		return false, errors.New("the tasks don't run before the disruption")
	}
	time.Sleep(5 * time.Second)
	flapped := ""
	if trouble {
		// That with one task: no other may take it.
		m := w.machines[0]
		log.mu.Lock()
		for _, other := range w.machines {
			if runs[other.worker.id] < tasksPerWorker {
				m = other
			}
		}
		log.mu.Unlock()
		flapped = m.name
		log.printf("disruption: %s goes down and up by turns, period %s, for %s", m.name, flapPeriod, flapTime)
		for begun := time.Now(); time.Since(begun) < flapTime; {
			m.down("flap")
			time.Sleep(flapPeriod / 2)
			m.up()
			time.Sleep(flapPeriod / 2)
		}
		log.printf("disruption over, all workers stay up")
	}
	broken := false
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for _, task := range missing() {
			log.mu.Lock()
			last := lastEnd[task]
			log.mu.Unlock()
			if since := time.Since(last); since > lastingTime && !broken {
				broken = true
				log.printf("LOST: %s has had no run for %.1f s, %d runs before; all workers are up, %s has room for it twice over", task, since.Seconds(), began[task], flapped)
			}
		}
	}
	status, _ := c.call(http.MethodGet, "/serve/"+job1, nil)
	log.printf("at the end the job's state has status %d, tasks without a run: %v", status, missing())
	return broken, nil
}

var limits = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}

func route(name, prefix, service string, priority int) map[string]any {
	return map[string]any{
		"name": name, "host": "app.example", "pathPrefix": prefix, "kind": "unsafe", "timeoutMs": 3000, "targetLatencyMs": 2500,
		"priority": priority, "service": service, "maxAttempts": 4, "stretch": 1.6, "public": false,
	}
}

func service(name string, standby bool) map[string]any {
	return map[string]any{"name": name, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": false, "enforcesCapacity": false, "standby": standby}
}
