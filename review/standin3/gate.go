package main

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// gate is a listener that can stop answering, as that of a machine without power: connections that are
// being opened then get no answer.
type gate struct {
	*net.TCPListener

	mu     sync.Mutex
	closed chan struct{}
	held   []net.Conn
}

// newGate listens at an address as soon as it is free.
func newGate(address string) *gate {
	for {
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return &gate{TCPListener: listener.(*net.TCPListener)}
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Accept waits while the gate is shut.
func (g *gate) Accept() (net.Conn, error) {
	for {
		conn, err := g.TCPListener.Accept()
		g.mu.Lock()
		closed := g.closed
		if closed != nil && err == nil {
			g.held = append(g.held, conn)
		}
		g.mu.Unlock()
		if closed == nil {
			return conn, err
		}
		<-closed
	}
}

// shut keeps new connections from being opened, and returns a channel that is closed by open.
func (g *gate) shut() <-chan struct{} {
	g.mu.Lock()
	closed := make(chan struct{})
	g.closed = closed
	g.mu.Unlock()
	_ = g.SetDeadline(time.Now())
	if raw, err := g.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) })
	}
	// The system accepts what fits into the queue, however short.
	for range 8 {
		conn, err := net.DialTimeout("tcp", g.Addr().String(), 20*time.Millisecond)
		if err != nil {
			break
		}
		g.mu.Lock()
		g.held = append(g.held, conn)
		g.mu.Unlock()
	}
	return closed
}

// open ends the time in which the gate was shut, with the listener.
func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.TCPListener.Close()
	for _, conn := range g.held {
		_ = conn.Close()
	}
	close(g.closed)
	g.closed = nil
}
