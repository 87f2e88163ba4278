package fake

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"rattanpath/config"
	"rattanpath/core"
	"rattanpath/remote"
)

// maxRecordBytes is the largest record that an append accepts.
const maxRecordBytes = 8 << 20

// Platform serves fake logs and a fake host list over HTTP, with the messages of
// package remote, and runs fake workers. Requests under /trial/ change the hosts,
// inject faults and read the execution counts.
type Platform struct {
	HostList   *HostList
	Executions *ExecutionCounter
	retention  int
	mu         sync.Mutex
	logs       map[string]*Log
	workers    map[string]*Worker
}

// NewPlatform returns a platform without hosts. Each of its logs keeps the newest
// retention records, or all if retention is 0.
func NewPlatform(retention int) *Platform {
	return &Platform{
		HostList:   NewHostList(),
		Executions: NewExecutionCounter(),
		retention:  retention,
		logs:       make(map[string]*Log),
		workers:    make(map[string]*Worker),
	}
}

// Log returns the log of a stream and creates it on first use.
func (p *Platform) Log(stream string) *Log {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.logs[stream] == nil {
		p.logs[stream] = NewLog(p.retention)
	}
	return p.logs[stream]
}

// SetFaults replaces the faults of every log.
func (p *Platform) SetFaults(faults LogFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, log := range p.logs {
		log.SetFaults(faults)
	}
}

// AddWorker starts a worker on a free loopback port and adds it to the host list.
func (p *Platform) AddWorker(name, dataCentre, rack string) (*Worker, error) {
	worker, err := NewWorker(name, "127.0.0.1:0", p.Executions)
	if err != nil {
		return nil, errors.Wrapf(err, "starting worker %s", name)
	}
	p.mu.Lock()
	p.workers[name] = worker
	p.mu.Unlock()
	p.HostList.Put(worker.Host(dataCentre, rack))
	return worker, nil
}

// AddWorkers starts a worker for each host of a declaration.
func (p *Platform) AddWorkers(declaration *config.Declaration) error {
	for name, host := range declaration.Hosts {
		if _, err := p.AddWorker(name, host.DataCentre, host.Rack); err != nil {
			return err
		}
	}
	return nil
}

// Worker returns the worker of the given name, or nil if there is none.
func (p *Platform) Worker(name string) *Worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.workers[name]
}

// Close stops all workers.
func (p *Platform) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, worker := range p.workers {
		worker.Close()
	}
}

// Handler returns the handler of the platform's HTTP interface.
func (p *Platform) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/streams/{Stream}", p.bounds).Methods(http.MethodGet)
	router.HandleFunc("/streams/{Stream}/records", p.read).Methods(http.MethodGet)
	router.HandleFunc("/streams/{Stream}/records", p.append).Methods(http.MethodPost)
	router.HandleFunc("/hosts", p.hosts).Methods(http.MethodGet)
	router.HandleFunc("/trial/hosts/{Name}", p.putHost).Methods(http.MethodPut)
	router.HandleFunc("/trial/hosts/{Name}", p.removeHost).Methods(http.MethodDelete)
	router.HandleFunc("/trial/lag/{Lag}", p.putLag).Methods(http.MethodPut)
	router.HandleFunc("/trial/faults", p.putFaults).Methods(http.MethodPut)
	router.HandleFunc("/trial/workers/{Name}/mode/{Mode}", p.putMode).Methods(http.MethodPut)
	router.HandleFunc("/trial/account", p.executions).Methods(http.MethodGet)
	return router
}

func (p *Platform) stream(r *http.Request) *Log {
	return p.Log(mux.Vars(r)["Stream"])
}

func (p *Platform) bounds(w http.ResponseWriter, r *http.Request) {
	bounds, err := p.stream(r).Bounds(r.Context())
	writeJSON(w, bounds, err)
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, fromErr := strconv.ParseInt(query.Get(remote.FromParam), 10, 64)
	limit, limitErr := strconv.Atoi(query.Get(remote.LimitParam))
	wait, waitErr := time.ParseDuration(query.Get(remote.WaitParam))
	if fromErr != nil || limitErr != nil || waitErr != nil {
		http.Error(w, "bad parameters", http.StatusBadRequest)
		return
	}
	entries, err := p.stream(r).Read(r.Context(), from, limit, wait)
	writeJSON(w, remote.ReadReply{Entries: entries}, err)
}

func (p *Platform) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	offset, err := p.stream(r).Append(r.Context(), data)
	writeJSON(w, remote.AppendReply{Offset: offset}, err)
}

func (p *Platform) hosts(w http.ResponseWriter, r *http.Request) {
	hosts, err := p.HostList.Hosts(r.Context())
	data, encodeErr := json.Marshal(remote.HostsReply{Hosts: hosts})
	if err != nil || encodeErr != nil {
		http.Error(w, "the host list is down", http.StatusServiceUnavailable)
		return
	}
	etag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(data), 16))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	_, _ = w.Write(data)
}

func (p *Platform) putHost(w http.ResponseWriter, r *http.Request) {
	var host core.Host
	if err := json.NewDecoder(r.Body).Decode(&host); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	host.Name = mux.Vars(r)["Name"]
	p.HostList.Put(host)
	writeJSON(w, host, nil)
}

func (p *Platform) removeHost(w http.ResponseWriter, r *http.Request) {
	name := mux.Vars(r)["Name"]
	p.HostList.Remove(name)
	writeJSON(w, name, nil)
}

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults LogFaults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(faults)
	writeJSON(w, faults, nil)
}

func (p *Platform) putLag(w http.ResponseWriter, r *http.Request) {
	lag, err := time.ParseDuration(mux.Vars(r)["Lag"])
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.HostList.SetLag(lag)
	writeJSON(w, lag, nil)
}

func (p *Platform) putMode(w http.ResponseWriter, r *http.Request) {
	worker := p.Worker(mux.Vars(r)["Name"])
	mode, known := workerModes[mux.Vars(r)["Mode"]]
	if worker == nil || !known {
		http.NotFound(w, r)
		return
	}
	worker.SetMode(mode)
	writeJSON(w, worker.Name, nil)
}

var workerModes = map[string]WorkerMode{
	"Healthy": Healthy,
	"FailAll": FailAll,
	"Hang":    Hang,
	"CutOff":  Truncate,
	"Slow":    Slow,
}

// ExecutionReport is the response body of /trial/account: the number of starts by
// request ID and the largest overshoot of any worker.
type ExecutionReport struct {
	Started   map[string]int
	Overshoot int
}

func (p *Platform) executions(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, ExecutionReport{Started: p.Executions.Starts(), Overshoot: p.Executions.Overshoot()}, nil)
}

// writeJSON writes a result as JSON, or an error with the HTTP status that package
// remote expects.
func writeJSON(w http.ResponseWriter, result any, err error) {
	var expired *core.ExpiredError
	switch {
	case errors.As(err, &expired):
		w.WriteHeader(http.StatusGone)
		result = remote.ExpiredReply{First: expired.First}
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_ = json.NewEncoder(w).Encode(result)
}
