package link

import (
	"context"
	"net"
	"net/rpc"
	"sync"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"rattanpath/guard"
)

// maxConnections limits the open connections of a server.
const maxConnections = 256

// Server serves net/rpc methods to other nodes.
type Server struct {
	address  string
	rpc      *rpc.Server
	wrap     func(net.Conn) net.Conn
	gate     *guard.Gate
	logger   logr.Logger
	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

// NewServer returns a server for an address; Start opens the listener. Every
// accepted connection is passed through wrap, for example to count its bytes.
func NewServer(address string, wrap func(net.Conn) net.Conn, logger logr.Logger) *Server {
	return &Server{
		address: address,
		rpc:     rpc.NewServer(),
		wrap:    wrap,
		logger:  logger,
		conns:   make(map[net.Conn]bool),
	}
}

// Limit sets the gate that accepted connections must pass. It replaces wrap and
// maxConnections. It must be called before Start.
func (s *Server) Limit(gate *guard.Gate) { s.gate = gate }

// Register publishes the methods of a receiver under a service name. It must be
// called before Start.
func (s *Server) Register(name string, receiver any) error {
	return errors.Wrapf(s.rpc.RegisterName(name, receiver), "registering the service %s", name)
}

// Start opens the listener and serves until Stop.
func (s *Server) Start(ctx context.Context) error {
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

// run accepts connections until the listener is closed.
func (s *Server) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if session := s.newSession(conn); session != nil {
			go session.run()
		} else {
			_ = conn.Close()
		}
	}
}

// newSession returns the session of an accepted connection, or nil if there are too many.
func (s *Server) newSession(conn net.Conn) *session {
	if s.gate != nil {
		guarded := s.gate.Admit(conn)
		if guarded == nil {
			return nil
		}
		session := &session{server: s, conn: guarded, guarded: guarded}
		s.track(guarded)
		return session
	}
	session := &session{server: s, conn: s.wrap(conn)}
	if !s.track(session.conn) {
		return nil
	}
	return session
}

// session serves the calls of one connection.
type session struct {
	server *Server
	conn   net.Conn
	// guarded is the connection if it passed a gate, or nil.
	guarded *guard.Conn
}

// run serves calls until either side closes the connection.
func (s *session) run() {
	if s.guarded != nil {
		s.server.rpc.ServeCodec(newGuardedCodec(s.guarded))
	} else {
		s.server.rpc.ServeConn(s.conn)
	}
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	delete(s.server.conns, s.conn)
}

// track adds an open connection; it reports false if the limit is reached. A gate has a
// limit of its own.
func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gate == nil && len(s.conns) >= maxConnections {
		return false
	}
	s.conns[conn] = true
	return true
}

// Stop closes the listener and all connections.
func (s *Server) Stop(context.Context) error {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
	return nil
}

// Address returns the listener's address. It must be called after Start.
func (s *Server) Address() string { return s.listener.Addr().String() }
