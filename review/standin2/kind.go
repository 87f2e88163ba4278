package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { cases["kind"] = kindCase }

// kindCase submits a job that requires a label just after the store has gone down. The only worker with the
// label crashes meanwhile and begins a new life as a worker of another kind.
func kindCase(w *World) (string, error) {
	gold := Kind{CPU: 64000, MemMB: 262144, Labels: []string{"gold", "r1-1"}}
	plain := Kind{CPU: 64000, MemMB: 262144, Labels: []string{"plain", "r1-1"}}
	w.Configure(3, []string{"svc-a"}, Route{"/qa/", "svc-a", 4})
	special, err := w.AddWorker("i-0", "svc-a", gold)
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
	step := map[string]any{"count": 4, "cpu": 2000, "memMb": 1000, "estRuntimeMs": 800, "requiredLabel": "gold"}
	first, id := NewID(), NewID()
	if status, _ := w.nodes[0].Call("POST", "/qa/"+first, map[string]any{"spec": "ms=800", "steps": []any{step}}, 3*time.Second); status != 200 {
		return "", errors.New("the first job was not accepted")
	}
	time.Sleep(2 * time.Second)
	if w.trouble {
		w.log("the store goes down")
		w.store.SetSilent(true)
		time.AfterFunc(200*time.Millisecond, func() {
			special.Crash()
			time.Sleep(time.Second)
			if err := special.Boot(plain); err != nil {
				w.log("can't boot: %v", err)
			}
		})
		time.AfterFunc(1800*time.Millisecond, func() {
			w.store.SetSilent(false)
			w.log("the store is back")
		})
		time.Sleep(20 * time.Millisecond)
	}
	job := map[string]any{"spec": "ms=800", "steps": []any{step}}
	accepted := false
	for attempt := 0; attempt < 10 && !accepted; attempt++ {
		status, _ := w.nodes[attempt%3].Call("POST", "/qa/"+id, job, 3*time.Second)
		accepted = status == 200
		if !accepted {
			time.Sleep(500 * time.Millisecond)
		}
	}
	if !accepted {
		return "", errors.New("the job was never accepted")
	}
	time.Sleep(8 * time.Second)
	for _, s := range append(w.StartsOf(id), w.StartsOf(first)...) {
		if !contains(s.kind.Labels, "gold") {
			return fmt.Sprintf("ROUTE: %s run %d, which requires the label gold, was started on %s, life %d, with the labels %v", s.task, s.run.number, s.worker.id, s.life, s.kind.Labels), nil
		}
	}
	return "", nil
}
