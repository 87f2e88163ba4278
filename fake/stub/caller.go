package stub

import (
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"

	"github.com/pkg/errors"
	"github.com/vishvananda/netlink"
)

const (
	// lookups is how often the socket of a caller is looked for. The system's table changes while
	// it is read, so that an entry can be missed.
	lookups = 3
	// The fields of an entry of the system's table of sockets, and the inode of one that is closed.
	localField, remoteField, inodeField = 1, 2, 9
	closedInode                         = "0"
)

// socketTables are the system's tables of sockets.
var socketTables = []string{"/proc/net/tcp", "/proc/net/tcp6"}

// callerKey is the key of the calling node's name in the context of a connection.
type callerKey struct{}

// callerOf returns the name of the node that has sent a request, "" if it isn't known.
func callerOf(r *http.Request) string {
	name, _ := r.Context().Value(callerKey{}).(string)
	return name
}

// AddCaller makes hosts know the calls of a node by its process, whose ID pid returns. Calls of
// other processes always count as those of a node that isn't cut off.
func (p *Platform) AddCaller(node string, pid func() int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.callers[node] = pid
}

// findCaller returns the node whose process has the other end of a connection, "" if it isn't known,
// and reports whether that end is still open.
func (p *Platform) findCaller(conn net.Conn) (node string, open bool) {
	p.mu.Lock()
	callers := maps.Clone(p.callers)
	p.mu.Unlock()
	if len(callers) == 0 {
		return "", true
	}
	for range lookups {
		inode := clientInode(conn)
		for node, pid := range callers {
			if inode != "" && hasSocket(pid(), inode) {
				return node, true
			}
		}
		if inode != "" && clientInode(conn) == inode {
			return "", true
		}
	}
	return "", false
}

// clientInode returns the inode of the client's socket of a connection on this machine, or "" if it
// is closed. It asks for this socket: the tables take long to read where there are many. They are
// read if the system can't be asked.
func clientInode(conn net.Conn) string {
	socket, err := netlink.SocketGet(conn.RemoteAddr(), conn.LocalAddr())
	switch {
	case errors.Is(err, syscall.ENOENT):
		return ""
	case err != nil:
		return listedInode(conn)
	case socket.INode == 0:
		return ""
	default:
		return strconv.FormatUint(uint64(socket.INode), 10)
	}
}

// listedInode is clientInode by the tables.
func listedInode(conn net.Conn) string {
	local, remote := portSuffix(conn.RemoteAddr()), portSuffix(conn.LocalAddr())
	for _, table := range socketTables {
		if inode := inodeIn(table, local, remote); inode != "" {
			return inode
		}
	}
	return ""
}

// portSuffix returns the end of an address in the system's table of sockets.
func portSuffix(address net.Addr) string {
	return fmt.Sprintf(":%04X", address.(*net.TCPAddr).Port)
}

// inodeIn returns the inode of a socket in a table, by the ends of its addresses, or "".
func inodeIn(table, local, remote string) string {
	data, _ := os.ReadFile(table)
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) > inodeField && strings.HasSuffix(fields[localField], local) && strings.HasSuffix(fields[remoteField], remote) && fields[inodeField] != closedInode {
			return fields[inodeField]
		}
	}
	return ""
}

// hasSocket reports whether a process has a socket open.
func hasSocket(pid int, inode string) bool {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	files, _ := os.ReadDir(dir)
	for _, file := range files {
		if target, _ := os.Readlink(filepath.Join(dir, file.Name())); target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
