package fake

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/pkg/errors"

	"rattanpath/core"
)

// The ports that trials listen on lie below those that systems give to
// outgoing connections, which would otherwise take them at any moment.
const (
	firstPort = 18000
	lastPort  = 32000
	// portStride keeps processes that run at the same time apart.
	portStride = 401
)

var nextPort atomic.Int64

func init() {
	nextPort.Store(int64(os.Getpid()) * portStride)
}

// FreePorts returns the first of count loopback ports in a row that were free a
// moment ago.
func FreePorts(count int) (int, error) {
	for range lastPort - firstPort {
		offset := nextPort.Add(int64(count)) - int64(count)
		base := firstPort + int(offset%int64(lastPort-firstPort-count))
		if allFree(base, count) {
			return base, nil
		}
	}
	return 0, errors.Errorf("no %d free ports in a row", count)
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

// LoopbackAddress returns the loopback address with a port.
func LoopbackAddress(port int) string {
	return fmt.Sprintf("127.0.0.1:%d", port)
}

// PortsPerNode counts the ports of an entry node in a trial: for callers, peers
// and operators, in this order.
const PortsPerNode = 3

// EntryHost returns the entry in the host list of an entry node whose ports
// start at firstPort.
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
