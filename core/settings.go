package core

import "time"

// Settings are the settings of one entry node. Flags and environment
// variables set them; every field has a safe default but for the name and the
// addresses.
type Settings struct {
	Name       string `help:"Name of this node, as in the platform's host list." env:"RATTANPATH_NAME" required:""`
	DataCentre string `help:"Data centre that this node is in." env:"RATTANPATH_DATA_CENTRE"`

	Listen      string `help:"Address for callers' requests, IP:port." env:"RATTANPATH_LISTEN" default:"127.0.0.1:7000"`
	PeerListen  string `help:"Address for other entry nodes, IP:port." env:"RATTANPATH_PEER_LISTEN" default:"127.0.0.1:7001"`
	AdminListen string `help:"Address for operators, IP:port." env:"RATTANPATH_ADMIN_LISTEN" default:"127.0.0.1:7002"`

	Platform string   `help:"URL of the platform's log and host list." env:"RATTANPATH_PLATFORM" default:"http://127.0.0.1:7100"`
	Stream   string   `help:"Name of the stream that carries records." env:"RATTANPATH_STREAM" default:"rattanpath"`
	Peers    []string `help:"Peer addresses to use besides the platform's host list." env:"RATTANPATH_PEERS"`

	RosterPoll    time.Duration `help:"Time between two reads of the host list." env:"RATTANPATH_ROSTER_POLL" default:"500ms"`
	LogWait       time.Duration `help:"Longest wait of one read at the end of the log." env:"RATTANPATH_LOG_WAIT" default:"1s"`
	LogTimeout    time.Duration `help:"Time after which a call of the log counts as failed, on top of its wait." env:"RATTANPATH_LOG_TIMEOUT" default:"2s"`
	ExchangeEvery time.Duration `help:"Time between two rounds of exchange with peers." env:"RATTANPATH_EXCHANGE_EVERY" default:"500ms"`
	Fanout        int           `help:"Peers asked in one round of exchange." env:"RATTANPATH_FANOUT" default:"2"`

	SnapshotRecords int64         `help:"Records after which a snapshot is due." env:"RATTANPATH_SNAPSHOT_RECORDS" default:"64"`
	SnapshotEvery   time.Duration `help:"Time after which a snapshot is due if any record came; keep it under a quarter of the log's retention." env:"RATTANPATH_SNAPSHOT_EVERY" default:"10m"`

	Chooser string `help:"Plug-in that chooses the host of a request." env:"RATTANPATH_CHOOSER" default:"LeastOfTwo"`

	MaxHeaderBytes int           `help:"Largest header of a request, in bytes." env:"RATTANPATH_MAX_HEADER_BYTES" default:"32768"`
	MaxConnections int           `help:"Callers' connections served at once." env:"RATTANPATH_MAX_CONNECTIONS" default:"10000"`
	HeaderTimeout  time.Duration `help:"Time for a caller to send a request's header." env:"RATTANPATH_HEADER_TIMEOUT" default:"5s"`
	IdleTimeout    time.Duration `help:"Time that a caller's idle connection is kept." env:"RATTANPATH_IDLE_TIMEOUT" default:"60s"`

	Linger        time.Duration `help:"Time between turning unready and closing the listener at a stop." env:"RATTANPATH_LINGER" default:"3s"`
	ShutdownGrace time.Duration `help:"Time that requests in flight have to end at a stop." env:"RATTANPATH_SHUTDOWN_GRACE" default:"60s"`
}
