package stub

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"rattanpath/lease"
	"rattanpath/platform"
	"rattanpath/tasks"
)

// commandBody holds the fields of all commands to a host.
type commandBody struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	UntilMS      int64  `json:"untilMs"`
	FencingToken int64  `json:"fencingToken"`
	LastSeen     int64  `json:"lastSeen"`
	WaitMS       int64  `json:"waitMs"`
	Percent      int    `json:"percent"`
}

func (b *commandBody) until() time.Duration { return time.Duration(b.UntilMS) * time.Millisecond }

func (p *path) handler() http.Handler {
	h, mux := p.host, http.NewServeMux()
	mux.HandleFunc("POST /run-start", p.command(func(ctx context.Context, task tasks.ID, body commandBody) (lease.Reply, error) {
		return h.Runner.Start(ctx, lease.StartCommand{Task: task, Run: body.Run, Spec: body.Spec, LeaseExpiry: body.until(), Token: body.FencingToken}, h.platform.resources(task))
	}))
	mux.HandleFunc("POST /run-stop", p.command(func(ctx context.Context, task tasks.ID, body commandBody) (lease.Reply, error) {
		return h.Runner.Stop(ctx, lease.StopCommand{Task: task, Run: body.Run, Token: body.FencingToken})
	}))
	mux.HandleFunc("POST /pace", p.command(func(ctx context.Context, task tasks.ID, body commandBody) (lease.Reply, error) {
		return h.Runner.Pace(ctx, lease.PaceCommand{Task: task, Run: body.Run, Share: body.Percent, Token: body.FencingToken})
	}))
	mux.HandleFunc("POST /hold", p.heartbeat)
	return mux
}

// refusals maps reasons to those of the host's messages.
var refusals = map[lease.Reason]string{
	lease.RefusedFenced: "fence", lease.RefusedStaleRun: "old", lease.RefusedLeaseExpired: "late", lease.RefusedCapacity: "room",
}

// reply writes a host's reply with more fields, unless the host has gone or can't be reached.
func (p *path) reply(w http.ResponseWriter, r *http.Request, result lease.Reply, err error, fields map[string]any) {
	if !p.isOpen() {
		hang(r)
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	fields["clockMs"], fields["born"] = result.HostTime.Milliseconds(), p.host.Runner.Info().Incarnation
	if result.Reason != lease.Accepted {
		fields["reason"] = refusals[result.Reason]
		reply(w, http.StatusConflict, fields)
		return
	}
	reply(w, http.StatusOK, fields)
}

// readCommand reads the body of a request, which doesn't arrive at a host that can't be
// reached.
func (p *path) readCommand(r *http.Request) (body commandBody, valid bool) {
	data, err := io.ReadAll(r.Body)
	if !p.isOpen() {
		hang(r)
	}
	if err != nil {
		return body, false
	}
	err = json.Unmarshal(data, &body)
	return body, err == nil
}

func (p *path) command(deliver func(ctx context.Context, task tasks.ID, body commandBody) (lease.Reply, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, valid := p.readCommand(r)
		task, err := platform.ParseTaskID(body.Task)
		if !valid || err != nil {
			reply(w, http.StatusBadRequest, map[string]any{})
			return
		}
		p.host.commands.RLock()
		result, err := deliver(r.Context(), task, body)
		p.host.commands.RUnlock()
		p.reply(w, r, result, err, map[string]any{})
	}
}

// endNames maps the reasons of ends to those of the host's messages.
var endNames = map[tasks.EndReason]string{
	tasks.EndDone: "done", tasks.EndFailed: "failed", tasks.EndStopped: "stopped", tasks.EndLeaseExpired: "lapsed",
}

func (p *path) heartbeat(w http.ResponseWriter, r *http.Request) {
	body, valid := p.readCommand(r)
	if !valid {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	result, err := p.host.Runner.Heartbeat(r.Context(), lease.Heartbeat{
		LeaseExpiry: body.until(), Token: body.FencingToken, Acknowledged: body.LastSeen, Wait: time.Duration(body.WaitMS) * time.Millisecond,
	})
	running, finished := [][]any{}, [][]any{}
	for _, run := range result.Runs {
		running = append(running, []any{platform.FormatTaskID(run.Task), run.Run, "", run.Percent, run.Load})
	}
	for _, run := range result.Finished {
		finished = append(finished, []any{run.Sequence, platform.FormatTaskID(run.Task), run.Run, endNames[run.Reason], ""})
	}
	p.reply(w, r, result.Reply, err, map[string]any{"running": running, "finished": finished})
}
