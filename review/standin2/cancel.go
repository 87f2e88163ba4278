package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { cases["cancel"] = cancelCase }

// cancelCase cancels a job whose queue was moved to another service after the job was accepted, just after
// the node has lost power that ran the queue's new service.
func cancelCase(w *World) (string, error) {
	kind := Kind{CPU: 64000, MemMB: 262144, Labels: []string{"a", "r1-1"}}
	services := []string{"svc-a", "svc-b"}
	w.Configure(3, services, Route{"/qa/", "svc-a", 4}, Route{"/qb/", "svc-b", 4})
	for i, service := range []string{"svc-a", "svc-a", "svc-b", "svc-b"} {
		if _, err := w.AddWorker(fmt.Sprintf("i-%d", i), service, kind); err != nil {
			return "", err
		}
	}
	for range 5 {
		if _, err := w.AddNode(); err != nil {
			return "", err
		}
	}
	if err := w.AwaitReady("/qa/", "/qb/"); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	id := NewID()
	job := map[string]any{"spec": "lasts", "steps": []map[string]any{{"count": 2, "cpu": 2000, "memMb": 1000, "estRuntimeMs": 500, "longRunning": true, "image": "img", "targetMs": 500}}}
	if status, _ := w.nodes[0].Call("POST", "/qa/"+id, job, 3*time.Second); status != 200 {
		return "", errors.New("the job was not accepted")
	}
	if !Await(5*time.Second, func() bool { return len(w.runningTasks(id)) == 2 }) {
		return "", errors.New("the job's tasks don't run")
	}
	// Planned work: the queue moves. It is in force everywhere after configApplyMs (2,000 ms).
	w.Configure(8, services, Route{"/qa/", "svc-b", 4}, Route{"/qb/", "svc-b", 4})
	time.Sleep(5 * time.Second)
	if status, _ := w.nodes[0].Call("GET", "/qa/"+id, nil, 3*time.Second); status != 200 {
		return "", errors.New("the job isn't known after its queue has moved")
	}
	client := w.nodes[0]
	if w.trouble {
		victim := w.Node(w.store.LastWriter("keyed.cell.svc-b"))
		if victim == nil {
			return "", errors.New("no node has written to the topic of svc-b")
		}
		if victim == client {
			client = w.nodes[1]
		}
		// Just after a renewal of its membership the others take over latest.
		Await(5*time.Second, func() bool { return w.store.SinceJoin(victim.name+"@") < 40*time.Millisecond })
		victim.Kill()
		time.AfterFunc(3500*time.Millisecond, func() { _ = victim.Start() })
	}
	// The client repeats the request at other nodes until it is answered with 2xx or 410.
	acknowledged := false
	for attempt := 0; attempt < 8 && !acknowledged; attempt++ {
		status, _ := client.Call("DELETE", "/qa/"+id, nil, 3*time.Second)
		acknowledged = status/100 == 2 || status == 410
		if !acknowledged {
			time.Sleep(200 * time.Millisecond)
		}
	}
	if !acknowledged {
		return "", errors.New("the cancel was never acknowledged")
	}
	at := time.Now()
	w.log("the cancel is acknowledged")
	// The last disruption ends 3.5 s after the kill. contactMs, cancel_ms and stopMs after that are over
	// well before 14 s.
	time.Sleep(14 * time.Second)
	w.nodes[0].Call("GET", "/qa/"+id, nil, 3*time.Second)
	if tasks := w.runningTasks(id); len(tasks) > 0 {
		return fmt.Sprintf("UNASKED: %v run on %.1f s after the job's cancelling was acknowledged", tasks, time.Since(at).Seconds()), nil
	}
	return "", nil
}

// runningTasks returns the tasks of a job that run on any worker.
func (w *World) runningTasks(job string) []string {
	var tasks []string
	for _, worker := range w.workers {
		tasks = append(tasks, worker.Running(job)...)
	}
	return tasks
}
