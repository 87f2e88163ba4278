package stub

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"

	"rattanpath/fake"
)

// endpoint is the address at which all nodes call a host. What becomes of a call depends on the
// node.
type endpoint struct {
	platform *Platform
	address  string
	server   *http.Server

	mu sync.Mutex
	// cutOff holds the nodes whose calls get no answer, and refusing means that the host refuses
	// the connections of the others.
	cutOff   map[string]bool
	refusing bool
	// listener is nil while all nodes are refused.
	listener net.Listener
	// connections maps the open connections to the nodes that have opened them.
	connections map[net.Conn]string
}

// newEndpoint returns an endpoint that listens at a free port.
func newEndpoint(platform *Platform, handler http.Handler) (*endpoint, error) {
	port, err := fake.FreePorts(1)
	if err != nil {
		return nil, err
	}
	e := &endpoint{platform: platform, address: ownAddress(port), cutOff: make(map[string]bool), connections: make(map[net.Conn]string)}
	e.server = &http.Server{Handler: handler, ConnContext: e.open, ConnState: e.changed}
	return e, e.set(func() {})
}

// ownAddress returns an address of a port whose IP address depends on this process. Others, which
// look for free ports at 127.0.0.1, don't take the port while it is closed.
func ownAddress(port int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+pid>>16&0x3f, pid>>8&0xff, pid&0xff, port)
}

// set changes the state. The host goes on listening while it refuses connections if a node is
// cut off, which mustn't be refused; connections of other nodes are then closed.
func (e *endpoint) set(change func()) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
	for conn, node := range e.connections {
		e.closeIfRefused(conn, node)
	}
	if e.refusing && len(e.cutOff) == 0 {
		e.close()
		return nil
	}
	return e.listen()
}

func (e *endpoint) close() {
	if e.listener != nil {
		_ = e.listener.Close()
		e.listener = nil
	}
}

func (e *endpoint) listen() error {
	if e.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.listener = listener
	go e.runServer(listener)
	return nil
}

func (e *endpoint) runServer(listener net.Listener) { _ = e.server.Serve(listener) }

// open finds out who has opened a connection. One that its client has closed is dropped if it may be
// that of a node that is cut off.
func (e *endpoint) open(ctx context.Context, conn net.Conn) context.Context {
	node, open := e.platform.findCaller(conn)
	e.mu.Lock()
	defer e.mu.Unlock()
	if !open && len(e.cutOff) > 0 {
		_ = conn.Close()
	}
	e.connections[conn] = node
	e.closeIfRefused(conn, node)
	return context.WithValue(ctx, callerKey{}, node)
}

// changed forgets a connection that is closed.
func (e *endpoint) changed(conn net.Conn, state http.ConnState) {
	if state == http.StateClosed {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.connections, conn)
	}
}

// closeIfRefused closes a connection if the host refuses those of its node.
func (e *endpoint) closeIfRefused(conn net.Conn, node string) {
	if e.refusing && !e.cutOff[node] {
		_ = conn.Close()
	}
}

// setCut changes whether a node is cut off, and reports whether that has changed anything.
func (e *endpoint) setCut(node string, cut bool) (changed bool, err error) {
	err = e.set(func() {
		changed = e.cutOff[node] != cut
		if cut {
			e.cutOff[node] = true
		} else {
			delete(e.cutOff, node)
		}
	})
	return changed, err
}

func (e *endpoint) isCut(node string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cutOff[node]
}
