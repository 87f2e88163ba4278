package cmds

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"rattanpath/fake"
	"rattanpath/fleet"
)

// fakeCommand runs a fake of the outside platform.
type fakeCommand struct {
	Dir       string `arg:"" help:"Folder of declaration files; a worker is started for each declared host."`
	Listen    string `help:"Address on which the log and the host list are served." default:"127.0.0.1:7100"`
	Nodes     int    `help:"Number of entry nodes in the host list, named node-0 and so on." default:"3"`
	NodePort  int    `help:"First port of the entry nodes; each uses three consecutive ports, for callers, peers and operators." default:"7200"`
	Retention int    `help:"Number of records that each stream keeps; 0 keeps all." default:"0"`
}

// Run serves the fake platform until a signal stops it.
func (c *fakeCommand) Run(e *env) error {
	declaration, err := loadFolder(c.Dir)
	if err != nil {
		return err
	}
	platform := fake.NewPlatform(c.Retention)
	defer platform.Close()
	if err := platform.AddWorkers(declaration); err != nil {
		return err
	}
	for i := range c.Nodes {
		platform.HostList.Put(fake.EntryHost(fleet.NodeName(i), c.NodePort+i*fake.PortsPerNode))
	}
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return errors.Wrap(err, "listening for requests to the fake platform")
	}
	server := &http.Server{Handler: platform.Handler(), ReadHeaderTimeout: time.Minute}
	stop := context.AfterFunc(e.ctx, func() { _ = server.Close() })
	defer stop()
	_, _ = fmt.Fprintf(e.out, "stand-ins at %s: %d workers, %d entry nodes listed\n", listener.Addr(), len(declaration.Hosts), c.Nodes)
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serving the fake platform")
	}
	return nil
}
