package engine

import (
	"context"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"rattanpath/cell"
	"rattanpath/core"
	"rattanpath/owner"
	"rattanpath/pool"
	"rattanpath/queue"
	"rattanpath/tasks"
	"rattanpath/views"
)

// deskTime bounds the answer to an operator.
const deskTime = 2 * time.Second

// desk answers operators: what the node believes, what the owners of services
// know of jobs and hosts, and the metrics.
type desk struct {
	settings Settings
	queues   *queue.Watcher
	pools    *pool.Watcher
	member   *owner.Member
	owner    *owner.Owner
	finder   *owner.Finder
	set      *metrics.Set
	server   *core.AdminServer
	logger   logr.Logger
}

func newDesk(settings Settings, queues *queue.Watcher, pools *pool.Watcher, member *owner.Member, o *owner.Owner, finder *owner.Finder, set *metrics.Set, logger logr.Logger) *desk {
	d := &desk{
		settings: settings, queues: queues, pools: pools, member: member, owner: o, finder: finder,
		set: set, logger: logger.WithName("desk"),
	}
	set.NewGauge("rattanpath_config_age_seconds", func() float64 { return d.view().ConfigAge.Seconds() })
	set.NewGauge("rattanpath_hosts_age_seconds", func() float64 { return d.view().HostsAge.Seconds() })
	set.NewGauge("rattanpath_membership_age_seconds", func() float64 { return d.view().MembersAge.Seconds() })
	set.NewGauge("rattanpath_cells", func() float64 { return float64(len(d.view().Cells)) })
	d.server = core.NewAdminServer(settings.AdminListen, d.routes(), d.logger)
	return d
}

func (d *desk) routes() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(views.MetricsPath, d.writeMetrics).Methods(http.MethodGet)
	router.HandleFunc(views.NodePath, d.node).Methods(http.MethodGet)
	router.HandleFunc(views.JobsPath, d.jobs).Methods(http.MethodGet)
	router.HandleFunc(views.JobPath+"{ID}", d.explain).Methods(http.MethodGet)
	router.HandleFunc(views.JobPath+"{ID}", d.cancel).Methods(http.MethodDelete)
	router.HandleFunc(views.PoolsPath, d.poolsOf).Methods(http.MethodGet)
	return router
}

func (d *desk) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	d.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// node tells what this node believes.
func (d *desk) node(w http.ResponseWriter, _ *http.Request) { d.server.WriteJSON(w, d.view()) }

func (d *desk) view() views.Node {
	view := views.Node{
		Node: d.settings.Name, ConfigAge: -1, HostsAge: -1, MembersAge: -1,
		Cells: d.owner.Views(), Depot: d.owner.HoldsFleet(),
	}
	if table := d.queues.Table(); table != nil {
		view.Version, view.ConfigAge = table.Version, d.queues.Age()
	}
	if at := d.pools.View().At; !at.IsZero() {
		view.HostsAge = time.Since(at)
	}
	if at := d.member.Renewed(); !at.IsZero() {
		view.MembersAge = time.Since(at)
	}
	return view
}

// services returns the names of the services, or of the one that is asked for.
func (d *desk) services(r *http.Request) []string {
	if name := r.URL.Query().Get("service"); name != "" {
		return []string{name}
	}
	var names []string
	if table := d.queues.Table(); table != nil {
		for _, service := range table.Services {
			names = append(names, service.Name)
		}
	}
	return names
}

func (d *desk) jobs(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), deskTime)
	defer cancel()
	list := []views.Job{}
	for _, service := range d.services(r) {
		jobs, err := d.finder.Jobs(ctx, service)
		if err != nil {
			d.fail(w, http.StatusServiceUnavailable, errors.WithMessagef(err, "service %s", service))
			return
		}
		list = append(list, jobs...)
	}
	d.server.WriteJSON(w, list)
}

func (d *desk) poolsOf(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), deskTime)
	defer cancel()
	list := []views.Pool{}
	for _, service := range d.services(r) {
		one, err := d.finder.Pool(ctx, service)
		if err != nil {
			d.fail(w, http.StatusServiceUnavailable, errors.WithMessagef(err, "service %s", service))
			return
		}
		list = append(list, one)
	}
	d.server.WriteJSON(w, list)
}

// find asks the owners of all services for a job.
func (d *desk) find(ctx context.Context, id string) (views.JobDetail, error) {
	table := d.queues.Table()
	if table == nil {
		return views.JobDetail{}, errors.New("the node has no configuration yet")
	}
	for _, service := range table.Services {
		detail, err := d.finder.Explain(ctx, service.Name, id)
		if err == nil || !errors.Is(err, cell.ErrUnknownJob) {
			return detail, errors.WithMessagef(err, "service %s", service.Name)
		}
	}
	return views.JobDetail{}, cell.ErrUnknownJob
}

func (d *desk) explain(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), deskTime)
	defer cancel()
	detail, err := d.find(ctx, mux.Vars(r)["ID"])
	if err != nil {
		d.fail(w, statusOf(err), err)
		return
	}
	d.server.WriteJSON(w, detail)
}

func (d *desk) cancel(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), deskTime)
	defer cancel()
	detail, err := d.find(ctx, mux.Vars(r)["ID"])
	if err == nil {
		err = d.finder.Cancel(ctx, detail.Service, tasks.Key{Queue: detail.Queue, ID: detail.ID})
	}
	if err != nil {
		d.fail(w, statusOf(err), err)
		return
	}
	d.logger.Info("job cancelled by an operator", "job", detail.ID, "from", r.RemoteAddr)
	d.server.WriteJSON(w, detail.Job)
}

func statusOf(err error) int {
	if errors.Is(err, cell.ErrUnknownJob) {
		return http.StatusNotFound
	}
	return http.StatusServiceUnavailable
}

func (d *desk) fail(w http.ResponseWriter, status int, err error) {
	http.Error(w, err.Error(), status)
}
