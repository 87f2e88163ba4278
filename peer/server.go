package peer

import (
	"context"
	"net"
	"net/rpc"
	"sync"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"go.uber.org/fx"

	"rattanpath/core"
	"rattanpath/follow"
	"rattanpath/roster"
	"rattanpath/route"
)

func init() {
	core.Modules.Register("peer", fx.Module("peer",
		fx.Provide(newFromSettings),
		fx.Invoke(start),
	))
}

// maxInbound bounds the connections that peers hold open to a node.
const maxInbound = 256

func newFromSettings(settings core.Settings, follower *follow.Follower, watcher *roster.Watcher, members *roster.Members, router *route.Router, traffic *core.Traffic, logger logr.Logger) *Exchanger {
	options := Options{
		Node:   settings.Name,
		Self:   settings.PeerListen,
		Fixed:  settings.Peers,
		Every:  settings.ExchangeEvery,
		Fanout: settings.Fanout,
		Dial:   func(address string) Link { return NewLink(address, traffic) },
	}
	return New(options, follower, watcher, members, func() Load { return loadOf(router.Table()) }, logger)
}

func loadOf(table *route.Table) Load {
	var load Load
	if table == nil {
		return load
	}
	for _, service := range table.Services {
		load.InFlight += service.Running()
		load.Waiting += service.Waiting()
	}
	return load
}

func start(lifecycle fx.Lifecycle, loops *core.Loops, exchanger *Exchanger, settings core.Settings, traffic *core.Traffic, logger logr.Logger) error {
	server, err := newServer(settings.PeerListen, exchanger.Service(), traffic, logger)
	if err != nil {
		return err
	}
	lifecycle.Append(fx.Hook{OnStart: server.start, OnStop: server.stop})
	loops.Go(exchanger.Run)
	return nil
}

// server takes peers' connections.
type server struct {
	address  string
	rpc      *rpc.Server
	traffic  *core.Traffic
	logger   logr.Logger
	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

func newServer(address string, service *Service, traffic *core.Traffic, logger logr.Logger) (*server, error) {
	rpcServer := rpc.NewServer()
	if err := rpcServer.RegisterName(serviceName, service); err != nil {
		return nil, errors.Wrap(err, "registering the peer service")
	}
	return &server{address: address, rpc: rpcServer, traffic: traffic, logger: logger.WithName("peer"), conns: make(map[net.Conn]bool)}, nil
}

func (s *server) start(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", s.address)
	if err != nil {
		return errors.Wrap(err, "listening for peers")
	}
	s.listener = listener
	s.logger.Info("listening for peers", "address", listener.Addr().String())
	go s.run()
	return nil
}

// run serves connections until the listener closes.
func (s *server) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		session := &session{server: s, conn: s.traffic.Conn(conn)}
		if !s.add(session.conn) {
			_ = conn.Close()
			continue
		}
		go session.run()
	}
}

// session is one peer's connection.
type session struct {
	server *server
	conn   net.Conn
}

// run answers the peer until it or the server closes the connection.
func (s *session) run() {
	s.server.rpc.ServeConn(s.conn)
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	delete(s.server.conns, s.conn)
}

func (s *server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= maxInbound {
		return false
	}
	s.conns[conn] = true
	return true
}

func (s *server) stop(context.Context) error {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
	return nil
}
