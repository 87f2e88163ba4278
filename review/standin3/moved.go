package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	jobsPerService = 72
	// rounds is how often all nodes are restarted in turn.
	rounds = 2
	// repeatInterval is the time between two requests that arrive once more, and trafficInterval that
	// between two short jobs for one service.
	repeatInterval, trafficInterval = time.Millisecond, 100 * time.Millisecond
)

// playMoved moves a queue from one service to the next, stops and starts the nodes in turn, and lets
// each of the requests that have handed jobs in arrive once more, at a node that has just started. It
// checks that no task is started twice.
func playMoved(log *record, trouble bool) (bool, error) {
	active, done, broken := make(map[string]int), make(map[string]bool), 0
	log.onBegan = func(worker string, r *run) {
		if active[r.task] > 0 || done[r.task] {
			broken++
			log.line("TWICE: %s begins on %s, %d other runs of it are at work, done before: %t", r.task, worker, active[r.task], done[r.task])
		}
		active[r.task]++
	}
	log.onEnded = func(_ string, r *run, how string) {
		active[r.task]--
		done[r.task] = done[r.task] || how == "done"
	}
	w, err := newWorld(log)
	if err != nil {
		return false, err
	}
	defer w.close()
	services := []string{"alfa", "bravo", "charlie", "delta", "echo", "foxtrot"}
	last := len(services) - 1
	publish := func(version int, name string) {
		var list []any
		routes := []any{route("queue", "/queue/", name, 0)}
		for _, name := range services {
			list = append(list, service(name, false))
			routes = append(routes, route(name, "/"+name+"/", name, 0))
		}
		w.put("config", map[string]any{"version": version, "limits": limits, "routes": routes, "services": list})
	}
	publish(1, services[0])
	for _, name := range services {
		for i := range 2 {
			w.addMachine(name, 16000, "a", fmt.Sprintf("r1-%d", i))
		}
	}
	if err := w.addNodes(4, smallBounds); err != nil {
		return false, err
	}
	if err := w.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	step := map[string]any{"count": 1, "cpu": 100, "memMb": 100, "estRuntimeMs": 90_000}
	job := map[string]any{"spec": spec{Ms: 90_000, CPU: 100}.text(), "steps": []any{step}}
	var ids []string
	for i, name := range services[:last] {
		if i > 0 {
			publish(i+1, name)
			// configApplyMs and half as much again.
			time.Sleep(3 * time.Second)
		}
		c := &client{w: w}
		for k := range jobsPerService {
			id := fmt.Sprintf("%014x%02x", i+1, k)
			if err := c.submit("/queue/", id, job); err != nil {
				return false, err
			}
			ids = append(ids, id)
		}
	}
	publish(last+1, services[last])
	stop := make(chan struct{})
	defer close(stop)
	for i, name := range services {
		go w.traffic(i, name, stop)
	}
	time.Sleep(3 * time.Second)
	for i := range rounds * len(w.nodes) {
		n := w.nodes[i%len(w.nodes)]
		if trouble {
			log.printf("disruption: SIGTERM to %s", n.name)
			<-n.signal(syscall.SIGTERM)
		}
		n.awaitReady()
		var repeated []string
		for k := i; k < len(ids); k += rounds * len(w.nodes) {
			repeated = append(repeated, ids[k])
		}
		w.repeat(i%len(w.nodes), repeated, job)
		time.Sleep(time.Second)
	}
	log.mu.Lock()
	defer log.mu.Unlock()
	log.line("%d starts too many", broken)
	return broken > 0, nil
}

// awaitReady waits until the node is ready, for some seconds at most.
func (n *node) awaitReady() {
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if resp, err := http.Get("http://" + n.address(readyPort) + "/ready"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
	}
}

// repeat sends requests that have handed jobs in once more to one node, one after the other, each from a
// client of its own.
func (w *world) repeat(node int, ids []string, job map[string]any) {
	body, err := json.Marshal(job)
	if err != nil {
		panic(err)
	}
	var wg sync.WaitGroup
	for _, id := range ids {
		wg.Go(func() {
			c := &client{w: w, next: node}
			c.call(http.MethodPost, "/queue/"+id, body)
		})
		time.Sleep(repeatInterval)
	}
	wg.Wait()
}

// traffic hands in short jobs for a service until stop is closed.
func (w *world) traffic(number int, name string, stop <-chan struct{}) {
	short := spec{Ms: 300, CPU: 100}
	step := map[string]any{"count": 6, "cpu": 100, "memMb": 100, "estRuntimeMs": 300}
	job := map[string]any{"spec": short.text(), "steps": []any{step}}
	body, err := json.Marshal(job)
	if err != nil {
		panic(err)
	}
	c := &client{w: w, next: number}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(trafficInterval):
			c.call(http.MethodPost, fmt.Sprintf("/%s/%04x%012x", name, 0xf000+number, i), body)
		}
	}
}
