package sched

import (
	"rattanpath/place"
	"rattanpath/quota"
	"rattanpath/tasks"
)

// fairPass keeps organisations within their fair shares of the pool while others have work that
// would take the rest. It is for one pass.
type fairPass struct {
	pool tasks.Resources
	used map[string]tasks.Resources
	// entitled is the dominant share of the pool that each organisation may have running
	// before others come first, and commandBytes the size of its planned start commands up
	// to which they may.
	entitled     map[string]float64
	commandBytes map[string]int
	planned      map[string]int
	// enforced is set while only organisations within their shares may start tasks, and
	// deferred is set once another one was held back.
	enforced bool
	deferred bool
	// heldBack holds the organisations that could not start all that waits.
	heldBack map[string]bool
}

// newFairPass returns nil unless several organisations have work that waits. Callers without an
// organisation count as one of weight 1.
func (c *Cell) newFairPass(jobs []*jobToPlace, hosts []*place.Host, used map[string]tasks.Resources) *fairPass {
	if len(c.quotas.organisations()) == 0 {
		return nil
	}
	waiting := make(map[string]tasks.Resources)
	for _, j := range jobs {
		name := j.entry.job.Policy.Organisation
		waiting[name] = waiting[name].Add(readyResources(j.entry.job))
	}
	if len(waiting) < 2 {
		return nil
	}
	if used == nil {
		used = c.usedByOrganisation()
	}
	f := &fairPass{used: used, entitled: make(map[string]float64), heldBack: make(map[string]bool)}
	for _, h := range hosts {
		f.pool = f.pool.Add(h.Capacity)
	}
	f.setEntitlements(c, waiting)
	f.limitCommands(c, waiting)
	return f
}

func (f *fairPass) setEntitlements(c *Cell, waiting map[string]tasks.Resources) {
	var names []string
	var holders []quota.Holder
	add := func(name string) {
		names = append(names, name)
		holders = append(holders, quota.Holder{Weight: c.quotas.weight(name), Used: f.used[name], Waiting: waiting[name]})
	}
	for name := range waiting {
		add(name)
	}
	for name := range f.used {
		if _, waits := waiting[name]; !waits {
			add(name)
		}
	}
	for i, entitled := range quota.Entitlements(f.pool, holders) {
		f.entitled[names[i]] = entitled
	}
}

// limitCommands divides the start commands that may be planned between the organisations with
// waiting tasks, if their number is limited.
func (f *fairPass) limitCommands(c *Cell, waiting map[string]tasks.Resources) {
	limit := c.options.Link.startQueue
	if limit == 0 {
		return
	}
	weights := 0.0
	for name := range waiting {
		weights += c.quotas.weight(name)
	}
	f.commandBytes, f.planned = make(map[string]int), make(map[string]int)
	for name := range waiting {
		f.commandBytes[name] = int(float64(limit) * c.quotas.weight(name) / weights)
	}
	for _, h := range c.hosts {
		for _, r := range h.runs {
			if r.state == runPlanned && r.entry != nil {
				f.planned[r.entry.job.Policy.Organisation] += r.entry.startSize()
			}
		}
	}
}

// defaultWeight is the weight of callers without an organisation, and of organisations that are
// no longer configured.
const defaultWeight = 1

// weight returns the weight of an organisation.
func (q *quotas) weight(name string) float64 {
	if organisation := q.config.Organisation(name); organisation != nil && organisation.Weight > 0 {
		return organisation.Weight
	}
	return defaultWeight
}

// holdsBack reports whether a job's organisation must leave what is free to others at first.
func (f *fairPass) holdsBack(e *jobEntry) bool {
	if f == nil || !f.enforced || f.isWithinShare(e.job.Policy.Organisation) {
		return false
	}
	f.deferred = true
	f.heldBack[e.job.Policy.Organisation] = true
	return true
}

func (f *fairPass) isWithinShare(name string) bool {
	if f.commandBytes != nil && f.planned[name] >= f.commandBytes[name] {
		return false
	}
	return quota.DominantShare(f.used[name], f.pool) < f.entitled[name]
}

// count counts a run that was assigned. counted is set if f.used includes it already.
func (f *fairPass) count(e *jobEntry, resources tasks.Resources, counted bool) {
	if f == nil {
		return
	}
	name := e.job.Policy.Organisation
	if !counted {
		f.used[name] = f.used[name].Add(resources)
	}
	if f.planned != nil {
		f.planned[name] += e.startSize()
	}
}

// placeJobs assigns the waiting tasks of jobs, which are sorted, to hosts. Of each priority, what
// organisations are entitled to comes first, and then what they ask for beyond that.
func (p *schedulePass) placeJobs(jobs []*jobToPlace) {
	if p.fair == nil {
		for _, j := range jobs {
			p.placeJob(j.entry)
		}
		return
	}
	for len(jobs) > 0 {
		count := 1
		for count < len(jobs) && jobs[count].urgency.Priority == jobs[0].urgency.Priority {
			count++
		}
		p.placeFairly(jobs[:count])
		jobs = jobs[count:]
	}
}

// placeFairly does the same for jobs of one priority.
func (p *schedulePass) placeFairly(jobs []*jobToPlace) {
	var deferred []*jobToPlace
	p.fair.enforced = true
	for _, j := range jobs {
		p.fair.deferred = false
		if p.placeJob(j.entry); p.fair.deferred {
			deferred = append(deferred, j)
		}
	}
	p.fair.enforced = false
	for _, j := range deferred {
		p.placeJob(j.entry)
	}
}
