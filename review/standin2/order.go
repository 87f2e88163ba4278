package main

import (
	"bytes"
	"errors"
	"fmt"
	"sync"
	"time"
)

func init() { cases["order"] = orderCase }

// orderCase cuts the leading machine off from the platform as an order of it for a machine is on its way.
func orderCase(w *World) (string, error) {
	kind := Kind{CPU: 64000, MemMB: 262144, Labels: []string{"a", "r1-1"}}
	w.Configure(3, []string{"svc-a"}, Route{"/qa/", "svc-a", 4})
	var machines []string
	for i := range 8 {
		worker, err := w.AddWorker(fmt.Sprintf("i-%d", i), "svc-a", kind)
		if err != nil {
			return "", err
		}
		machines = append(machines, worker.machine)
	}
	for range 4 {
		if _, err := w.AddNode(); err != nil {
			return "", err
		}
	}
	var once sync.Once
	for _, n := range w.nodes {
		n.cloudLink.onRequest = func(data []byte) {
			if !w.trouble || !bytes.Contains(data, []byte("POST /machine-upkeep")) {
				return
			}
			once.Do(func() {
				w.log("node %s is cut off from the platform", n.name)
				n.cloudLink.Cut()
				n.storeLink.Cut()
				time.AfterFunc(12*time.Second, func() {
					n.cloudLink.Heal()
					n.storeLink.Heal()
					w.log("node %s reaches the platform again", n.name)
				})
			})
		}
	}
	if err := w.AwaitReady("/qa/"); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	w.cloud.Wave(1, machines[:4], 2, 28)
	time.Sleep(30 * time.Second)
	orders := w.cloud.Orders()
	if len(orders) == 0 {
		return "", errors.New("no order was sent")
	}
	highest := map[string]machineOrder{}
	for _, o := range orders {
		if h, known := highest[o.machine]; known && o.token < h.token {
			return fmt.Sprintf("ONE: %s got the order of %s with token %d, %.1f s after that of %s with token %d", o.machine, o.holder, o.token, o.at.Sub(h.at).Seconds(), h.holder, h.token), nil
		}
		if o.token >= highest[o.machine].token {
			highest[o.machine] = o
		}
	}
	return "", nil
}
