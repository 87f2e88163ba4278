package engine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"rattanpath/core"
	"rattanpath/guard"
	"rattanpath/intake"
	"rattanpath/owner"
	"rattanpath/pool"
	"rattanpath/queue"
	"rattanpath/sched"
	"rattanpath/tasks"
	"rattanpath/views"
)

// adminTimeout limits the processing of an operator's request.
const adminTimeout = 2 * time.Second

// adminServer serves operators over HTTP: the state of the node, the jobs and hosts
// of all services as their owners see them, and metrics.
type adminServer struct {
	settings   Settings
	config     *queue.Watcher
	pools      *pool.Watcher
	member     *owner.Member
	supervisor *owner.Supervisor
	client     *owner.Client
	handler    *intake.Handler
	metrics    *metrics.Set
	gates      *guard.Gates
	server     *core.AdminServer
	logger     logr.Logger
	// explaining is held while a request is explained.
	explaining sync.Mutex
}

func newAdminServer(settings Settings, config *queue.Watcher, pools *pool.Watcher, member *owner.Member, supervisor *owner.Supervisor, client *owner.Client, handler *intake.Handler, set *metrics.Set, gates *guard.Gates, logger logr.Logger) *adminServer {
	s := &adminServer{
		settings: settings, config: config, pools: pools, member: member, supervisor: supervisor, client: client, handler: handler,
		metrics: set, gates: gates, logger: logger.WithName("desk"),
	}
	set.NewGauge("rattanpath_config_age_seconds", func() float64 { return s.nodeView().ConfigAge.Seconds() })
	set.NewGauge("rattanpath_hosts_age_seconds", func() float64 { return s.nodeView().HostsAge.Seconds() })
	set.NewGauge("rattanpath_membership_age_seconds", func() float64 { return s.nodeView().MembersAge.Seconds() })
	set.NewGauge("rattanpath_cells", func() float64 { return float64(len(s.nodeView().Cells)) })
	s.server = core.NewAdminServer(settings.AdminListen, s.routes(), s.logger)
	s.server.Limit(gates.Admin.Configure, gates.Admin.Listen)
	return s
}

func (s *adminServer) routes() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(views.MetricsPath, s.serveMetrics).Methods(http.MethodGet)
	router.HandleFunc(views.NodePath, s.serveNode).Methods(http.MethodGet)
	router.HandleFunc(views.JobsPath, s.serveJobs).Methods(http.MethodGet)
	router.HandleFunc(views.JobPath+"{ID}", s.serveJobDetail).Methods(http.MethodGet)
	router.HandleFunc(views.JobPath+"{ID}", s.serveCancel).Methods(http.MethodDelete)
	router.HandleFunc(views.PoolsPath, s.servePools).Methods(http.MethodGet)
	router.HandleFunc(views.OrganisationsPath, s.serveOrganisations).Methods(http.MethodGet)
	router.HandleFunc(views.ExplainPath, s.serveExplain).Methods(http.MethodPost)
	addProfiles(router)
	return router
}

func (s *adminServer) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	s.metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// serveNode shows the state of this node.
func (s *adminServer) serveNode(w http.ResponseWriter, _ *http.Request) {
	s.server.WriteJSON(w, s.nodeView())
}

// nodeView returns the state of this node. An age is -1 if the data has never been
// read.
func (s *adminServer) nodeView() views.Node {
	view := views.Node{
		Node: s.settings.Name, ConfigAge: -1, HostsAge: -1, MembersAge: -1,
		Cells: s.supervisor.Views(), Clients: clientLimits(s.gates), Depot: s.supervisor.OwnsFleetPartition(),
	}
	if config := s.config.Config(); config != nil {
		view.Version, view.ConfigAge = config.Version, s.config.Age()
	}
	if at := s.pools.View().ReadAt; !at.IsZero() {
		view.HostsAge = time.Since(at)
	}
	if at := s.member.Renewed(); !at.IsZero() {
		view.MembersAge = time.Since(at)
	}
	return view
}

// clientLimits returns the status of the limits on clients.
func clientLimits(gates *guard.Gates) []views.ClientLimits {
	var all []views.ClientLimits
	for _, status := range gates.Status() {
		all = append(all, views.ClientLimits(status))
	}
	return all
}

// requestedServices returns the service named by the query parameter "service", or
// all services if there is none.
func (s *adminServer) requestedServices(r *http.Request) []string {
	if name := r.URL.Query().Get("service"); name != "" {
		return []string{name}
	}
	var names []string
	if config := s.config.Config(); config != nil {
		for _, service := range config.Services {
			names = append(names, service.Name)
		}
	}
	return names
}

func (s *adminServer) serveJobs(w http.ResponseWriter, r *http.Request) {
	serveAll(s, w, r, s.client.Jobs)
}

func (s *adminServer) servePools(w http.ResponseWriter, r *http.Request) {
	serveAll(s, w, r, func(ctx context.Context, service string) ([]views.Pool, error) {
		p, err := s.client.Pool(ctx, service)
		return []views.Pool{p}, err
	})
}

// serveAll shows what the owners of the requested services list, or the first error.
func serveAll[View any](s *adminServer, w http.ResponseWriter, r *http.Request, list func(ctx context.Context, service string) ([]View, error)) {
	ctx, cancel := context.WithTimeout(r.Context(), adminTimeout)
	defer cancel()
	all := []View{}
	for _, service := range s.requestedServices(r) {
		listed, err := list(ctx, service)
		if err != nil {
			s.writeError(w, http.StatusServiceUnavailable, errors.WithMessagef(err, "service %s", service))
			return
		}
		all = append(all, listed...)
	}
	s.server.WriteJSON(w, all)
}

// serveOrganisations shows the organisations in all services. Services whose owner can't be asked
// are listed with the reason, since the caps hold for all of them together.
func (s *adminServer) serveOrganisations(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), adminTimeout)
	defer cancel()
	all := []views.CellOrganisations{}
	for _, service := range s.requestedServices(r) {
		cell, err := s.client.Organisations(ctx, service)
		if err != nil {
			cell = views.CellOrganisations{Service: service, Problem: err.Error()}
		}
		all = append(all, cell)
	}
	s.server.WriteJSON(w, all)
}

// findJob looks for a job at the owners of all services.
func (s *adminServer) findJob(ctx context.Context, id string) (views.JobDetail, error) {
	config := s.config.Config()
	if config == nil {
		return views.JobDetail{}, errors.New("the node has no configuration yet")
	}
	for _, service := range config.Services {
		detail, err := s.client.Explain(ctx, service.Name, id)
		if err == nil || !errors.Is(err, sched.ErrUnknownJob) {
			return detail, errors.WithMessagef(err, "service %s", service.Name)
		}
	}
	return views.JobDetail{}, sched.ErrUnknownJob
}

func (s *adminServer) serveJobDetail(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), adminTimeout)
	defer cancel()
	detail, err := s.findJob(ctx, mux.Vars(r)["ID"])
	if err != nil {
		s.writeError(w, httpStatus(err), err)
		return
	}
	s.server.WriteJSON(w, detail)
}

func (s *adminServer) serveCancel(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), adminTimeout)
	defer cancel()
	detail, err := s.findJob(ctx, mux.Vars(r)["ID"])
	if err == nil {
		err = s.client.Cancel(ctx, detail.Service, tasks.Key{Queue: detail.Queue, ID: detail.ID})
	}
	if err != nil {
		s.writeError(w, httpStatus(err), err)
		return
	}
	s.logger.Info("job cancelled by an operator", "job", detail.ID, "from", r.RemoteAddr)
	s.server.WriteJSON(w, detail.Job)
}

// httpStatus maps an error to the status code of the response.
func httpStatus(err error) int {
	if errors.Is(err, sched.ErrUnknownJob) {
		return http.StatusNotFound
	}
	return http.StatusServiceUnavailable
}

func (s *adminServer) writeError(w http.ResponseWriter, status int, err error) {
	http.Error(w, err.Error(), status)
}
