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

func (h *Host) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", h.command(func(ctx context.Context, task tasks.ID, body commandBody) (lease.Reply, error) {
		return h.Runner.Start(ctx, lease.StartCommand{Task: task, Run: body.Run, Spec: body.Spec, LeaseExpiry: body.until(), Token: body.FencingToken}, h.platform.resources(task))
	}))
	mux.HandleFunc("POST /run-stop", h.command(func(ctx context.Context, task tasks.ID, body commandBody) (lease.Reply, error) {
		return h.Runner.Stop(ctx, lease.StopCommand{Task: task, Run: body.Run, Token: body.FencingToken})
	}))
	mux.HandleFunc("POST /pace", h.command(func(ctx context.Context, task tasks.ID, body commandBody) (lease.Reply, error) {
		return h.Runner.Pace(ctx, lease.PaceCommand{Task: task, Run: body.Run, Share: body.Percent, Token: body.FencingToken})
	}))
	mux.HandleFunc("POST /hold", h.heartbeat)
	return mux
}

// refusals maps reasons to those of the host's messages.
var refusals = map[lease.Reason]string{
	lease.RefusedFenced: "fence", lease.RefusedStaleRun: "old", lease.RefusedLeaseExpired: "late", lease.RefusedCapacity: "room",
}

// reply writes a host's reply with more fields, unless the host has gone or the node can't reach it.
func (h *Host) reply(w http.ResponseWriter, r *http.Request, result lease.Reply, err error, fields map[string]any) {
	if !h.isOpenTo(callerOf(r)) {
		hang(r)
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	fields["clockMs"], fields["born"] = result.HostTime.Milliseconds(), h.Runner.Info().Incarnation
	if result.Reason != lease.Accepted {
		fields["reason"] = refusals[result.Reason]
		reply(w, http.StatusConflict, fields)
		return
	}
	reply(w, http.StatusOK, fields)
}

// readCommand reads the body of a request, which doesn't arrive at a host that the
// node can't reach.
func (h *Host) readCommand(r *http.Request) (body commandBody, valid bool) {
	data, err := io.ReadAll(r.Body)
	if !h.awaitRestart(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	if !h.isOpenTo(callerOf(r)) {
		hang(r)
	}
	if err != nil {
		return body, false
	}
	err = json.Unmarshal(data, &body)
	return body, err == nil
}

func (h *Host) command(deliver func(ctx context.Context, task tasks.ID, body commandBody) (lease.Reply, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, valid := h.readCommand(r)
		task, err := platform.ParseTaskID(body.Task)
		if !valid || err != nil {
			reply(w, http.StatusBadRequest, map[string]any{})
			return
		}
		h.commands.RLock()
		result, err := deliver(r.Context(), task, body)
		h.commands.RUnlock()
		h.reply(w, r, result, err, map[string]any{})
	}
}

// endNames maps the reasons of ends to those of the host's messages.
var endNames = map[tasks.EndReason]string{
	tasks.EndDone: "done", tasks.EndFailed: "failed", tasks.EndStopped: "stopped", tasks.EndLeaseExpired: "lapsed",
}

func (h *Host) heartbeat(w http.ResponseWriter, r *http.Request) {
	body, valid := h.readCommand(r)
	if !valid {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	result, err := h.Runner.Heartbeat(r.Context(), lease.Heartbeat{
		LeaseExpiry: body.until(), Token: body.FencingToken, Acknowledged: body.LastSeen, Wait: time.Duration(body.WaitMS) * time.Millisecond,
	})
	running, finished := [][]any{}, [][]any{}
	for _, run := range result.Runs {
		running = append(running, []any{platform.FormatTaskID(run.Task), run.Run, "", run.Percent, run.Load})
	}
	for _, run := range result.Finished {
		finished = append(finished, []any{run.Sequence, platform.FormatTaskID(run.Task), run.Run, endNames[run.Reason], ""})
	}
	h.reply(w, r, result.Reply, err, map[string]any{"running": running, "finished": finished})
}
