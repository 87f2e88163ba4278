package fake

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/pkg/errors"

	"rattanpath/core"
)

// The port range lies below the usual ephemeral ports, so that outgoing
// connections can't take a port between its check and its use.
const (
	firstPort = 18000
	lastPort  = 32000
	// portStride separates the first ports of processes with consecutive IDs.
	portStride = 401
)

var nextPort atomic.Int64

func init() {
	nextPort.Store(int64(os.Getpid()) * portStride)
}

// FreePorts returns the first of count consecutive loopback ports. They were free
// when checked, but aren't reserved.
func FreePorts(count int) (int, error) {
	for range lastPort - firstPort {
		offset := nextPort.Add(int64(count)) - int64(count)
		base := firstPort + int(offset%int64(lastPort-firstPort-count))
		if allFree(base, count) {
			return base, nil
		}
	}
	return 0, errors.Errorf("no %d consecutive free ports between %d and %d", count, firstPort, lastPort)
}

func allFree(base, count int) bool {
	for port := base; port < base+count; port++ {
		listener, err := net.Listen("tcp", LoopbackAddress(port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// LoopbackAddress returns the address of a loopback port.
func LoopbackAddress(port int) string {
	return fmt.Sprintf("127.0.0.1:%d", port)
}

// PortsPerNode is the number of consecutive ports of an entry node: for callers,
// peers and operators, in this order.
const PortsPerNode = 3

// EntryHost returns the host list entry of an entry node whose ports start at
// basePort.
func EntryHost(name string, basePort int) core.Host {
	return core.Host{
		Name:         name,
		Role:         core.RoleEntry,
		State:        core.HostLive,
		Address:      LoopbackAddress(basePort),
		PeerAddress:  LoopbackAddress(basePort + 1),
		AdminAddress: LoopbackAddress(basePort + 2),
	}
}
