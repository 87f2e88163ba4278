package link

import (
	"context"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
)

// Echo is an RPC service for tests.
type Echo struct{}

// Say returns its argument, or an error if it is empty.
func (Echo) Say(word string, reply *string) error {
	if word == "" {
		return errors.New("empty argument")
	}
	*reply = word
	return nil
}

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, network, address)
}

func startServer(t *testing.T) string {
	t.Helper()
	server := NewServer("127.0.0.1:0", func(conn net.Conn) net.Conn { return conn }, logr.Discard())
	if err := server.Register("Echo", Echo{}); err != nil {
		t.Fatal(err)
	}
	if err := server.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Stop(context.Background()) })
	return server.Address()
}

// TestCall checks that an error returned by a method does not close the
// connection.
func TestCall(t *testing.T) {
	client := NewClient(startServer(t), dial)
	defer client.Close()
	var reply string
	for range 2 {
		if err := client.Call(t.Context(), "Echo.Say", "hello", &reply); err != nil || reply != "hello" {
			t.Fatalf("got %q and %v, want hello", reply, err)
		}
	}
	conn := client.client
	err := client.Call(t.Context(), "Echo.Say", "", &reply)
	var serverErr rpc.ServerError
	if !errors.As(err, &serverErr) {
		t.Errorf("got error %v, want an rpc.ServerError", err)
	}
	if client.client != conn {
		t.Error("got a closed connection after a method's error, want it open")
	}
}

// TestUnresponsiveServer checks that a call to a server that never responds times
// out and closes the connection, so that the next call reconnects.
func TestUnresponsiveServer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	client := NewClient(listener.Addr().String(), dial)
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	var reply string
	if err := client.Call(ctx, "Echo.Say", "hello", &reply); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got error %v from an unresponsive server, want %v", err, context.DeadlineExceeded)
	}
	if client.client != nil {
		t.Error("got an open connection after a timeout, want it closed")
	}
	client.address = startServer(t)
	if err := client.Call(t.Context(), "Echo.Say", "hello", &reply); err != nil {
		t.Errorf("got error %v after reconnecting, want none", err)
	}
}

// TestConnectError checks that a refused connection is reported as a ConnectError.
func TestConnectError(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	err = NewClient(address, dial).Call(t.Context(), "Echo.Say", "hello", new(string))
	var connect *ConnectError
	if !errors.As(err, &connect) || connect.Address != address {
		t.Errorf("got error %v, want a ConnectError for %s", err, address)
	}
}

// TestConnectionLimit checks that the server closes connections above its limit.
func TestConnectionLimit(t *testing.T) {
	address := startServer(t)
	for range maxConnections {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
	}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := conn.Read(make([]byte, 1)); err == nil || isTimeout(err) {
		t.Errorf("got error %v, want the connection closed", err)
	}
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}
