package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

// record is the file of what was sent, answered and run, and what the check needs of it.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
	// onBegan and onEnded are called, with mu held, for each run.
	onBegan func(worker string, r *run)
	onEnded func(worker string, r *run, how string)
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, start: time.Now()}, err
}

func (l *record) line(format string, args ...any) {
	_, _ = fmt.Fprintf(l.file, "%8.3f  %s\n", time.Since(l.start).Seconds(), fmt.Sprintf(format, args...))
}

func (l *record) printf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.line(format, args...)
}

func (l *record) began(worker string, r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.line("%s run %d begins on %s", r.task, r.number, worker)
	if l.onBegan != nil {
		l.onBegan(worker, r)
	}
}

func (l *record) ended(worker string, r *run, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.line("%s run %d ends on %s: %s", r.task, r.number, worker, how)
	if l.onEnded != nil {
		l.onEnded(worker, r, how)
	}
}

// client calls the nodes in turn.
type client struct {
	w    *world
	key  string
	next int
	http http.Client
}

// call sends a request to a node and returns the status, 0 if there was no answer.
func (c *client) call(method, path string, body []byte) (int, string) {
	n := c.w.nodes[c.next%len(c.w.nodes)]
	req, err := http.NewRequest(method, "http://"+n.address(frontPort)+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = "app.example"
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", "3000")
	if c.key != "" {
		req.Header.Set("X-Key", c.key)
	}
	c.http.Timeout = 3 * time.Second
	resp, err := c.http.Do(req)
	if err != nil {
		c.next++
		c.w.log.printf("client: %s %s at %s: no answer", method, path, n.name)
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	c.w.log.printf("client: %s %s at %s: %d %s", method, path, n.name, resp.StatusCode, bytes.TrimSpace(data))
	if resp.StatusCode >= http.StatusInternalServerError {
		c.next++
	}
	return resp.StatusCode, string(data)
}

// submit hands in a job until it is accepted.
func (c *client) submit(prefix, id string, job map[string]any) error {
	body, err := json.Marshal(job)
	if err != nil {
		return err
	}
	for range 40 {
		if status, _ := c.call(http.MethodPost, prefix+id, body); status == http.StatusOK {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("job %s isn't accepted", id)
}

// text returns a job's spec.
func (s spec) text() string {
	data, _ := json.Marshal(s)
	return string(data)
}
