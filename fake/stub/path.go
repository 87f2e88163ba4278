package stub

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"rattanpath/fake"
)

// fillTimeout bounds the connection that fills the queue of a listener.
const fillTimeout = 50 * time.Millisecond

// path is how one node reaches a host: by an address that only this node is told.
type path struct {
	host    *Host
	address string

	mu sync.Mutex
	// cut means that nothing gets through, and closed that the host refuses connections.
	cut, closed bool
	server      *http.Server
	listener    *gate
}

func newPath(host *Host) (*path, error) {
	port, err := fake.FreePorts(1)
	if err != nil {
		return nil, err
	}
	p := &path{host: host, address: ownAddress(port)}
	return p, p.set(func() {})
}

// ownAddress returns an address of a port whose IP address depends on this process. Others, which
// look for free ports at 127.0.0.1, don't take the port while it is closed.
func ownAddress(port int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+pid>>16&0x3f, pid>>8&0xff, pid&0xff, port)
}

// set changes the path's state, and then listens as that requires: a path that is cut stays
// silent even if the host refuses connections.
func (p *path) set(change func()) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
	if p.closed && !p.cut {
		p.close()
		return nil
	}
	if err := p.listen(); err != nil {
		return err
	}
	if p.cut {
		return p.listener.shut()
	}
	return p.listener.open()
}

func (p *path) close() {
	if p.server != nil {
		_ = p.server.Close()
		// A server that hasn't begun to serve doesn't know its listener yet.
		_ = p.listener.Close()
		p.server, p.listener = nil, nil
	}
}

func (p *path) listen() error {
	if p.server != nil {
		return nil
	}
	listener, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.listener = &gate{TCPListener: listener.(*net.TCPListener), opened: closedChannel(), closed: make(chan struct{})}
	p.server = &http.Server{Handler: p.handler()}
	go p.runServer(p.server, p.listener)
	return nil
}

func (p *path) runServer(server *http.Server, listener net.Listener) { _ = server.Serve(listener) }

func (p *path) isCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

// isOpen reports whether calls of the node reach the host and replies the node.
func (p *path) isOpen() bool { return !p.isCut() && p.host.isReachable() }

// gate is a listener that can be shut: new connections are then neither accepted nor refused.
type gate struct {
	*net.TCPListener

	mu sync.Mutex
	// opened is closed while the gate is open, and closed once the listener is.
	opened, closed chan struct{}
	// filler is the connection that fills the queue while the gate is shut.
	filler    net.Conn
	closeOnce sync.Once
}

func closedChannel() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// Accept implements net.Listener.
func (g *gate) Accept() (net.Conn, error) {
	for {
		conn, err := g.TCPListener.Accept()
		var netErr net.Error
		if err == nil || !errors.As(err, &netErr) || !netErr.Timeout() {
			return conn, err
		}
		if !g.awaitOpen() {
			return nil, net.ErrClosed
		}
	}
}

// awaitOpen waits until the gate is open, and reports whether it is rather than closed.
func (g *gate) awaitOpen() bool {
	g.mu.Lock()
	opened := g.opened
	g.mu.Unlock()
	select {
	case <-opened:
		return true
	case <-g.closed:
		return false
	}
}

// Close implements net.Listener.
func (g *gate) Close() error {
	g.closeOnce.Do(func() { close(g.closed) })
	_ = g.open()
	return g.TCPListener.Close()
}

// shut fills the queue of connections to accept, so that the system drops what arrives.
func (g *gate) shut() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.isOpen() {
		return nil
	}
	g.opened = make(chan struct{})
	if err := g.SetDeadline(time.Now()); err != nil {
		return err
	}
	if err := g.setBacklog(0); err != nil {
		return err
	}
	// A queue of length 0 takes one connection. It may have one already.
	g.filler, _ = net.DialTimeout("tcp", g.Addr().String(), fillTimeout)
	return nil
}

// open accepts connections again.
func (g *gate) open() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isOpen() {
		return nil
	}
	if g.filler != nil {
		_ = g.filler.Close()
		g.filler = nil
	}
	if err := g.setBacklog(syscall.SOMAXCONN); err != nil {
		return err
	}
	err := g.SetDeadline(time.Time{})
	close(g.opened)
	return err
}

func (g *gate) isOpen() bool {
	select {
	case <-g.opened:
		return true
	default:
		return false
	}
}

func (g *gate) setBacklog(length int) error {
	raw, err := g.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	err = raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), length) })
	if err != nil {
		return err
	}
	return listenErr
}
