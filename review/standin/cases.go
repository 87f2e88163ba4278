package main

import (
	"fmt"
	"strings"
	"time"
)

const clientHost = "pule25.example"

// stallTime is for how long a job may have nothing running while its turn has come and there
// is room.
const stallTime = 3 * time.Second

// noCPU hands in a job whose tasks request memory alone.
func noCPU(w *world, trouble bool) outcome {
	if err := w.addPool("svc-a", 8, large); err != nil {
		return cannot("%v", err)
	}
	w.publish(route("r-a", clientHost, "/puxa400/", "svc-a", 4))
	if err := w.begin(3); err != nil {
		return cannot("%v", err)
	}
	if err := w.warmUp(clientHost, "/puxa400/", "00000000000000a0"); err != nil {
		return cannot("%v", err)
	}
	const id = "5c0e7a21d94b36f8"
	cpu := 0
	if !trouble {
		cpu = 1
	}
	if !w.submit(0, clientHost, "/puxa400/"+id, job("ms=500", step(4, cpu))) {
		return cannot("the job was not accepted")
	}
	accepted := time.Now()
	const finish = 14 * time.Second
	for time.Since(accepted) < finish+stallTime && countDone(w.runsOf(id)) < 4 {
		time.Sleep(100 * time.Millisecond)
	}
	for _, n := range w.nodes {
		w.call(n, "GET", clientHost, "/puxa400/"+id, nil)
	}
	if done := countDone(w.runsOf(id)); done < 4 {
		return outcome{broken, fmt.Sprintf("LOST: %d of 4 tasks were done and %d runs started within %v of the job's acknowledgement, on 8 idle workers", done, len(w.runsOf(id)), time.Since(accepted).Round(time.Second))}
	}
	return outcome{held, "held: all tasks were done"}
}

// movedQueue has a configuration send a queue to another service while a job of the queue
// runs, and a client's request for that job arrive again at a node that has started since.
func movedQueue(w *world, trouble bool) outcome {
	for _, service := range []string{"svc-a", "svc-b"} {
		if err := w.addPool(service, 4, large); err != nil {
			return cannot("%v", err)
		}
	}
	w.publish(route("r-a", clientHost, "/puxa400/", "svc-a", 4))
	if err := w.begin(3); err != nil {
		return cannot("%v", err)
	}
	if err := w.warmUp(clientHost, "/puxa400/", "00000000000000a0"); err != nil {
		return cannot("%v", err)
	}
	const id = "5c0e7a21d94b36f8"
	plan := job("ms=15000", step(3, 500))
	if !w.submit(0, clientHost, "/puxa400/"+id, plan) {
		return cannot("the job was not accepted")
	}
	time.Sleep(time.Second)
	if trouble {
		w.publish(route("r-a", clientHost, "/puxa400/", "svc-b", 4))
	}
	time.Sleep(3 * time.Second)
	last := w.nodes[2]
	if trouble {
		w.rec.printf("platform: kills %s, which starts again", last.name)
		last.kill()
		time.Sleep(500 * time.Millisecond)
		if err := last.start(); err != nil {
			return cannot("%v", err)
		}
	}
	if err := w.awaitReady(); err != nil {
		return cannot("%v", err)
	}
	// In touch again: contactMs after the node is back.
	time.Sleep(3500 * time.Millisecond)
	w.call(last, "POST", clientHost, "/puxa400/"+id, plan)
	time.Sleep(4 * time.Second)
	for _, n := range w.nodes {
		w.call(n, "GET", clientHost, "/puxa400/"+id, nil)
	}
	runs := w.runsOf(id)
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			if a.task == b.task && b.started.After(a.started) && (a.ended.IsZero() || b.started.Before(a.ended)) {
				return outcome{broken, fmt.Sprintf("TWICE: %s runs on %s of %s and, from %v later, at the same time on %s of %s", a.task, a.worker, a.service, b.started.Sub(a.started).Round(time.Millisecond), b.worker, b.service)}
			}
		}
	}
	if len(runs) < 3 {
		return cannot("only %d runs started", len(runs))
	}
	return outcome{held, "held: no task ran twice"}
}

// pending has a configuration send a queue to another service while jobs wait in the queue.
func pending(w *world, trouble bool) outcome {
	for _, service := range []string{"svc-a", "svc-b"} {
		if err := w.addPool(service, 3, large); err != nil {
			return cannot("%v", err)
		}
	}
	w.publish(route("r-a", clientHost, "/puxa400/", "svc-a", 4), route("r-b", clientHost, "/kafi706/", "svc-a", 4))
	if err := w.begin(3); err != nil {
		return cannot("%v", err)
	}
	if err := w.warmUp(clientHost, "/puxa400/", "00000000000000a0"); err != nil {
		return cannot("%v", err)
	}
	// Jobs of another queue take all of the pool.
	if !w.submit(0, clientHost, "/kafi706/00000000000000b0", job("ms=40000", step(6, 16000))) {
		return cannot("the job that fills the pool was not accepted")
	}
	time.Sleep(time.Second)
	const waiting = 10
	for i := range waiting {
		if !w.submit(i, clientHost, fmt.Sprintf("/puxa400/5c0e7a21d94b36%02x", i), job("ms=500", step(1, 8000))) {
			return cannot("a job was not accepted")
		}
	}
	time.Sleep(time.Second)
	routes := []map[string]any{route("r-a", clientHost, "/puxa400/", "svc-b", 4), route("r-b", clientHost, "/kafi706/", "svc-a", 4)}
	if trouble {
		w.publish(routes...)
	}
	// visible_ms and 2 s more, and configApplyMs.
	time.Sleep(8 * time.Second)
	begun := len(w.runsOf("5c0e7a21d94b36"))
	var low []string
	for _, n := range w.nodes {
		a := w.call(n, "GET", clientHost, "/puxa400/", nil)
		var count int
		if _, err := fmt.Sscanf(a.body, `{"pending":%d}`, &count); err != nil {
			continue
		}
		if 2*count < waiting-begun {
			low = append(low, fmt.Sprintf("%s gives %d", n.name, count))
		}
	}
	if begun := len(w.runsOf("5c0e7a21d94b36")); begun > 0 {
		return cannot("%d of the waiting jobs have begun", begun)
	}
	if len(low) > 0 {
		return outcome{broken, fmt.Sprintf("MIXED: %d accepted jobs of the queue have not begun, and as pending %s", waiting, strings.Join(low, ", "))}
	}
	return outcome{held, "held: pending counts the waiting jobs"}
}

// lostEnds has the store turn away the node that schedules a service, for a time in which
// tasks of a job end and another service asks for machines.
func lostEnds(w *world, trouble bool) outcome {
	for service, count := range map[string]int{"svc-a": 8, "svc-b": 4} {
		if err := w.addPool(service, count, large); err != nil {
			return cannot("%v", err)
		}
	}
	w.publish(route("r-a", clientHost, "/puxa400/", "svc-a", 4), route("r-b", clientHost, "/kafi706/", "svc-b", 4))
	if err := w.begin(3); err != nil {
		return cannot("%v", err)
	}
	if err := w.warmUp(clientHost, "/puxa400/", "00000000000000a0"); err != nil {
		return cannot("%v", err)
	}
	const id, other = "5c0e7a21d94b36f8", "5c0e7a21d94b36f9"
	// One task of the job fits on a worker.
	plan := job("ms=12000", step(8, 20000), with(step(2, 1000), "dependsOn", []int{0}))
	if !w.submit(0, clientHost, "/puxa400/"+id, plan) {
		return cannot("the job was not accepted")
	}
	accepted := time.Now()
	time.Sleep(time.Second)
	// The other service has more work than its pool holds.
	if !w.submit(1, clientHost, "/kafi706/"+other, job("ms=30000", step(12, 20000))) {
		return cannot("the job of the other service was not accepted")
	}
	traffic := time.Now()
	time.Sleep(time.Until(accepted.Add(11500 * time.Millisecond)))
	owner := w.ownerOf(0)
	if owner == nil {
		return cannot("no node holds the service")
	}
	if trouble {
		w.rec.printf("store: turns %s away", owner.name)
		owner.turnedAway.Store(true)
		time.AfterFunc(9*time.Second, func() {
			w.rec.printf("store: serves %s again", owner.name)
			owner.turnedAway.Store(false)
		})
	}
	// Jobs are asked for finish_s after the end of the traffic.
	const finish = 14 * time.Second
	time.Sleep(time.Until(traffic.Add(finish)))
	for _, n := range w.nodes {
		w.call(n, "GET", clientHost, "/puxa400/"+id, nil)
	}
	time.Sleep(stallTime + 200*time.Millisecond)
	first, second := w.runsOf(id+".0.0."), w.runsOf(id+".0.1.")
	if done := countDone(first); done < 8 {
		return cannot("%d of 8 tasks of the first step have ended done", done)
	}
	since, idle := idleSince(append(first, second...), time.Time{})
	if stood := time.Since(since); idle && countDone(second) < 2 && stood > stallTime {
		w.awaitState(clientHost, "/puxa400/"+id, "completed", 40*time.Second)
		again := 0
		for _, r := range w.runsOf(id + ".0.0.") {
			if r.run > 1 {
				again++
			}
		}
		return outcome{broken, fmt.Sprintf("LOST: all 8 tasks of the first step have ended done, and finish_s after the end of the traffic the job has had nothing running for %v; %d tasks that were done were started again", stood.Round(100*time.Millisecond), again)}
	}
	if len(second) == 0 {
		return cannot("the second step has not begun")
	}
	return outcome{held, "held: the job went on"}
}

// largeRecord has a client hand in a job with many small tasks that run at the same time, and
// looks at two other jobs of the service.
func largeRecord(w *world, trouble bool) outcome {
	const lasting, chain, many = "5c0e7a21d94b36f8", "5c0e7a21d94b36f9", "5c0e7a21d94b36fa"
	w.watched = []string{lasting, chain}
	go w.summarize()
	if err := w.addPool("svc-a", 8, large); err != nil {
		return cannot("%v", err)
	}
	w.publish(route("r-a", clientHost, "/puxa400/", "svc-a", 4), route("r-b", clientHost, "/kafi706/", "svc-a", 4))
	if err := w.begin(3); err != nil {
		return cannot("%v", err)
	}
	if err := w.warmUp(clientHost, "/puxa400/", "00000000000000a0"); err != nil {
		return cannot("%v", err)
	}
	if !w.submit(0, clientHost, "/puxa400/"+lasting, job("lasts", with(step(4, 1000), "longRunning", true))) {
		return cannot("the lasting job was not accepted")
	}
	time.Sleep(2 * time.Second)
	if !w.submit(1, clientHost, "/puxa400/"+chain, job("ms=8000", step(4, 1000), with(step(4, 1000), "dependsOn", []int{0}))) {
		return cannot("the job of two steps was not accepted")
	}
	count := 60
	if trouble {
		count = 600
	}
	// Eight rounds, each due a second after the one before it.
	plan := job("ms=12000", step(count, 20))
	plan["repeats"], plan["intervalMs"], plan["firstMs"] = 8, 1000, time.Now().UnixMilli()
	if !w.submit(2, clientHost, "/kafi706/"+many, plan) {
		return cannot("the job of many tasks was not accepted")
	}
	first := time.Now()
	// The two other jobs are in work on 8 of 256 cores, and the many tasks take 96 at most.
	for time.Since(first) < 38*time.Second && countDone(w.runsOf(chain)) < 8 {
		time.Sleep(200 * time.Millisecond)
	}
	w.rec.printf("the job of many tasks: %d runs started, %d tasks done, %d in progress", len(w.runsOf(many)), countDone(w.runsOf(many)), inProgress(w.runsOf(many)))
	for _, path := range []string{"/puxa400/" + lasting, "/puxa400/" + chain, "/kafi706/" + many} {
		w.call(w.nodes[0], "GET", clientHost, path, nil)
	}
	w.call(w.nodes[1], "POST", clientHost, "/puxa400/5c0e7a21d94b36fb", job("ms=300", step(1, 500)))
	time.Sleep(stallTime)
	return w.judgeStall(chain, 8, lasting, 4)
}

// judgeStall reports whether a job whose tasks end, or one whose tasks last, has stood still
// for longer than it may.
func (w *world) judgeStall(chain string, chainTasks int, lasting string, lastingTasks int) outcome {
	var stalls []string
	if done := countDone(w.runsOf(chain)); done < chainTasks {
		if since, idle := idleSince(w.runsOf(chain), time.Time{}); idle && time.Since(since) > stallTime {
			stalls = append(stalls, fmt.Sprintf("job %s has %d of %d tasks done and nothing running for %v", chain, done, chainTasks, time.Since(since).Round(100*time.Millisecond)))
		}
	}
	for i := range lastingTasks {
		task := fmt.Sprintf("%s.0.0.%d", lasting, i)
		if since, idle := idleSince(w.runsOf(task), time.Time{}); idle && time.Since(since) > 6*time.Second+stallTime {
			stalls = append(stalls, fmt.Sprintf("task %s, which lasts, has no run for %v", task, time.Since(since).Round(100*time.Millisecond)))
		}
	}
	if len(stalls) > 0 {
		return outcome{broken, "LOST: " + strings.Join(stalls, "; ")}
	}
	if countDone(w.runsOf(chain)) < chainTasks {
		return cannot("the job of two steps is late, but goes on")
	}
	return outcome{held, "held: the other jobs went on"}
}

// fullStore has two services do the same work in large jobs, or in small ones.
func fullStore(w *world, trouble bool) outcome {
	const lasting = "5c0e7a21d94b36f8"
	w.watched, w.uneven = []string{lasting}, true
	go w.summarize()
	services := []string{"svc-a", "svc-b", "svc-c"}
	var routes []map[string]any
	for _, service := range services {
		if err := w.addPool(service, 8, large); err != nil {
			return cannot("%v", err)
		}
		routes = append(routes, route("r-"+service, clientHost, "/"+service+"/", service, 4))
	}
	w.publish(routes...)
	if err := w.begin(3); err != nil {
		return cannot("%v", err)
	}
	if err := w.warmUp(clientHost, "/svc-a/", "00000000000000a0"); err != nil {
		return cannot("%v", err)
	}
	if !w.submit(0, clientHost, "/svc-a/"+lasting, job("lasts", with(step(4, 1000), "longRunning", true))) {
		return cannot("the lasting job was not accepted")
	}
	// Each service gets 12,000 tasks of 2 s, of which its pool runs 400 at a time: the work of 60 s.
	const tasks = 12000
	width := 25
	if trouble {
		width = 1000
	}
	begin := time.Now()
	go w.submitMany(services, tasks/width, width)
	for time.Since(begin) < 82*time.Second && w.store.firstFull().IsZero() {
		time.Sleep(200 * time.Millisecond)
	}
	if full := w.store.firstFull(); !full.IsZero() {
		w.rec.printf("store: answers 507 since %v ago", time.Since(full))
		time.Sleep(24 * time.Second)
	}
	w.call(w.nodes[0], "GET", clientHost, "/svc-a/"+lasting, nil)
	w.call(w.nodes[1], "POST", clientHost, "/svc-c/5c0e7a21d94b36fb", job("ms=300", step(1, 500)))
	return w.judgeStall("none", 0, lasting, 4)
}

func (w *world) submitMany(services []string, jobs, width int) {
	for i := range jobs {
		for s, service := range services {
			path := fmt.Sprintf("/%s/%08x%08x", service, s+1, i)
			for range 20 {
				n := w.nodes[i%len(w.nodes)]
				a := w.quietCall(n, "POST", clientHost, path, job("ms=2000", step(width, 640)))
				w.rec.printf("client: POST %s at %s, %d tasks: %d %s", path, n.name, width, a.status, a.body)
				if a.status == 200 {
					break
				}
				time.Sleep(time.Second)
			}
		}
		time.Sleep(time.Duration(width) * 60 * time.Second / 12000)
	}
}

// largeGang hands in a gang whose members fit on one worker.
func largeGang(w *world, trouble bool) outcome {
	const id = "5c0e7a21d94b36f8"
	w.watched = []string{}
	w.delay = 1400 * time.Microsecond
	go w.summarize()
	if err := w.addPool("svc-a", 8, large); err != nil {
		return cannot("%v", err)
	}
	w.publish(route("r-a", clientHost, "/puxa400/", "svc-a", 4))
	if err := w.begin(3); err != nil {
		return cannot("%v", err)
	}
	if err := w.warmUp(clientHost, "/puxa400/", "00000000000000a0"); err != nil {
		return cannot("%v", err)
	}
	size := 100
	if trouble {
		size = 1000
	}
	plan := job(fmt.Sprintf("gang=%d,ms=1000", size), with(step(size, 20), "gang", true))
	if !w.submit(0, clientHost, "/puxa400/"+id, plan) {
		return cannot("the job was not accepted")
	}
	completed := w.awaitState(clientHost, "/puxa400/"+id, "completed", 30*time.Second)
	for _, n := range w.nodes {
		w.call(n, "GET", clientHost, "/puxa400/"+id, nil)
	}
	alone, workers, numbers := 0, map[string]bool{}, map[int]bool{}
	for _, r := range w.runsOf(id) {
		workers[r.worker], numbers[r.run] = true, true
		if r.how == "alone" {
			alone++
		}
	}
	if alone > 0 {
		return outcome{broken, fmt.Sprintf("GANG: %d runs ended alone, in %d tries of the gang on %d workers; the job is completed: %v", alone, len(numbers), len(workers), completed)}
	}
	if !completed {
		return cannot("the job was not completed in 30 s")
	}
	return outcome{held, "held: the gang has worked"}
}
