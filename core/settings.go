package core

import "time"

// Settings configures one entry node through flags and environment variables.
// Name is required. The default addresses are on the loopback interface; the other
// defaults are safe.
type Settings struct {
	Name       string `help:"Name of this node in the platform's host list." env:"RATTANPATH_NAME" required:""`
	DataCentre string `help:"Data centre of this node." env:"RATTANPATH_DATA_CENTRE"`

	Listen      string `help:"Address that accepts callers' requests, IP:port." env:"RATTANPATH_LISTEN" default:"127.0.0.1:7000"`
	PeerListen  string `help:"Address that accepts calls from other entry nodes, IP:port." env:"RATTANPATH_PEER_LISTEN" default:"127.0.0.1:7001"`
	AdminListen string `help:"Address of the admin server, IP:port." env:"RATTANPATH_ADMIN_LISTEN" default:"127.0.0.1:7002"`

	Platform string   `help:"URL of the platform's log and host list." env:"RATTANPATH_PLATFORM" default:"http://127.0.0.1:7100"`
	Stream   string   `help:"Name of the log stream that holds the records." env:"RATTANPATH_STREAM" default:"rattanpath"`
	Peers    []string `help:"Addresses of peers in addition to those in the platform's host list." env:"RATTANPATH_PEERS"`

	RosterPoll    time.Duration `help:"Interval between reads of the host list." env:"RATTANPATH_ROSTER_POLL" default:"500ms"`
	LogWait       time.Duration `help:"Longest time that a read at the end of the log waits for new records." env:"RATTANPATH_LOG_WAIT" default:"1s"`
	LogTimeout    time.Duration `help:"Timeout of a call to the log, in addition to its wait." env:"RATTANPATH_LOG_TIMEOUT" default:"2s"`
	ExchangeEvery time.Duration `help:"Interval between exchanges with peers." env:"RATTANPATH_EXCHANGE_EVERY" default:"500ms"`
	Fanout        int           `help:"Number of peers called in one exchange." env:"RATTANPATH_FANOUT" default:"2"`

	SnapshotRecords int64         `help:"Number of records after which a snapshot is written." env:"RATTANPATH_SNAPSHOT_RECORDS" default:"64"`
	SnapshotEvery   time.Duration `help:"Interval after which a snapshot is written if there are new records; keep it under a quarter of the log's retention." env:"RATTANPATH_SNAPSHOT_EVERY" default:"10m"`

	Chooser string `help:"Load-balancing plug-in that selects the host of a request." env:"RATTANPATH_CHOOSER" default:"LeastOfTwo"`

	MaxHeaderBytes int           `help:"Maximum size of a request's header, in bytes." env:"RATTANPATH_MAX_HEADER_BYTES" default:"32768"`
	MaxConnections int           `help:"Maximum number of open connections from callers." env:"RATTANPATH_MAX_CONNECTIONS" default:"10000"`
	HeaderTimeout  time.Duration `help:"Timeout for reading a request's header." env:"RATTANPATH_HEADER_TIMEOUT" default:"5s"`
	IdleTimeout    time.Duration `help:"Time after which a caller's idle connection is closed." env:"RATTANPATH_IDLE_TIMEOUT" default:"60s"`

	Linger        time.Duration `help:"Time between reporting not ready and closing the listener during shutdown." env:"RATTANPATH_LINGER" default:"3s"`
	ShutdownGrace time.Duration `help:"Time that requests in flight have to complete during shutdown." env:"RATTANPATH_SHUTDOWN_GRACE" default:"60s"`
}
