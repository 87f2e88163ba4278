package config

// Config is the merged configuration of a fleet.
type Config struct {
	HostShape   HostShape          `help:"The size of every worker host."`
	Racks       map[string]Rack    `help:"The racks, by name." required:"true"`
	Pools       map[string]Pool    `help:"The pools of hosts, by name." required:"true"`
	Services    map[string]Service `help:"The services, by name." required:"true"`
	Teams       map[string]Team    `help:"The teams that own services, by name."`
	Maintenance Maintenance        `help:"How hosts are maintained."`
	Weights     Weights            `help:"The weights of the four measures of a plan; not used yet."`
}

// HostShape is the size of a worker host.
type HostShape struct {
	Cores       int   `help:"Processor cores of a host; not used yet." default:"32"`
	Memory      Bytes `help:"Memory of a host; not used yet." default:"128GB"`
	Slots       int   `help:"Requests that a host runs at once, over all entry nodes." default:"8"`
	Connections int   `help:"Connections that a host accepts, over all entry nodes." default:"64"`
}

// Rack is a failure domain: a group of hosts that may fail together.
type Rack struct {
	DataCentre string   `help:"The data centre of the rack." required:"true"`
	Hosts      []string `help:"The hosts of the rack, by name." required:"true"`
}

// Pool is a set of hosts that run the same services.
type Pool struct {
	Hosts []string `help:"The hosts of the pool, by name; a host is in exactly one pool."`
	Racks []string `help:"Racks all of whose hosts are in the pool."`
	Spare bool     `help:"Whether the hosts of the pool are spares, which no service may use." default:"false"`
	Batch Percent  `help:"The share of the pool's slots that requests of Batch routes may use at once; the rest is reserved for Interactive ones." default:"75%"`
}

// Service is an application behind the entry nodes, which callers reach under
// the path /NAME/.
type Service struct {
	Pool      string           `help:"The pool whose hosts run the service." required:"true"`
	Team      string           `help:"The team that owns the service."`
	Quota     Quota            `help:"What the service may use of its pool."`
	Queue     Queue            `help:"The queue for requests while all slots are in use."`
	Deadline  Duration         `help:"The longest time that a request may take, waiting included." default:"30s"`
	MaxBody   Bytes            `help:"The largest body of a request." default:"8MB"`
	Attempts  int              `help:"The largest number of attempts per request; only idempotent requests, and those of which no byte was sent, are retried." default:"2"`
	Routes    map[string]Route `help:"The routes of the service, by name." required:"true"`
	Budget    Budget           `help:"The availability that the service must keep during failures and maintenance."`
	Objective Objective        `help:"The service-level objective; not used yet."`
}

// Quota limits the capacity that a service may use.
type Quota struct {
	Slots       int `help:"Requests of the service that run at once over all entry nodes; 0 allows every slot of the pool." default:"0"`
	Connections int `help:"Connections to upstream hosts over all entry nodes; 0 allows every connection of the pool." default:"0"`
}

// Queue limits the requests of a service that wait at an entry node.
type Queue struct {
	Limit int      `help:"The largest number of requests queued at one entry node; further ones are rejected as not run." default:"64"`
	Wait  Duration `help:"The longest time that a request is queued; after it the request is rejected as not run." default:"2s"`
}

// Route is a group of requests, selected by path, that are handled alike.
type Route struct {
	Path       string `help:"The prefix of the path after the service's name; the longest matching prefix wins." required:"true"`
	Class      Class  `help:"Interactive for short requests that users wait for, Batch for long ones." default:"Interactive"`
	Idempotent bool   `help:"Whether a request may run twice without harm; others run at most once." default:"false"`
}

// Budget is the availability that a service must keep.
type Budget struct {
	MinReady           int     `help:"Hosts that must stay ready during every maintenance wave and after the loss of the rack with the most hosts." default:"1"`
	MaxRackShare       Percent `help:"The largest share of the hosts that may be in one rack." default:"100%"`
	MaxDataCentreShare Percent `help:"The largest share of the hosts that may be in one data centre." default:"100%"`
}

// Objective is a service-level objective.
type Objective struct {
	Availability Percent  `help:"The share of requests that get a complete response in time; not used yet." default:"99.9%"`
	Latency      Duration `help:"The latency up to which a response counts as in time; not used yet." default:"1s"`
	Window       Duration `help:"The time window over which the objective is evaluated; not used yet." default:"4w"`
}

// Team is a group that owns services, with a quota that they share.
type Team struct {
	Slots int `help:"Slots that the services of the team may use together; 0 means no limit." default:"0"`
}

// Maintenance controls how hosts are taken out of service.
type Maintenance struct {
	Every  Duration `help:"The interval at which each host is maintained; not used yet." default:"5w"`
	AtOnce int      `help:"Hosts that are in maintenance at once; not used yet." default:"1"`
	Drain  []string `help:"Hosts drained by an operator; they get no new requests."`
}

// Weights are the weights of the measures of a plan; only their ratios matter.
type Weights struct {
	BufferCost int `help:"Weight of the cost of spare hosts; not used yet." default:"1"`
	RollOut    int `help:"Weight of roll-out time; not used yet." default:"1"`
	HostMoves  int `help:"Weight of the number of host moves; not used yet." default:"1"`
	Blocking   int `help:"Weight of the time that short requests wait behind long ones; not used yet." default:"1"`
}
