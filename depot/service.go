package depot

import (
	"context"
	"time"

	"rattanpath/link"
)

// RPCName is the name under which holders answer over net/rpc.
const RPCName = "Depot"

// ResignRequest tells a holder that another has the depot in an epoch.
type ResignRequest struct {
	Epoch int64
}

// ResignAnswer says how long ago each machine was last ordered.
type ResignAnswer struct {
	Ages map[string]time.Duration
}

// Service answers other nodes over net/rpc.
type Service struct {
	depot *Depot
}

// NewService returns the service of a node's depot.
func NewService(depot *Depot) *Service { return &Service{depot: depot} }

// Resign makes the node give no more orders; net/rpc gives it its shape.
func (s *Service) Resign(request *ResignRequest, answer *ResignAnswer) error {
	answer.Ages = s.depot.Resign(request.Epoch)
	return nil
}

// Peers asks other nodes over net/rpc. It implements Holders.
type Peers struct {
	dial link.Dial
}

// NewPeers returns a client that dials with a function.
func NewPeers(dial link.Dial) *Peers { return &Peers{dial: dial} }

// Resign implements Holders.
func (p *Peers) Resign(ctx context.Context, address string, epoch int64) (map[string]time.Duration, error) {
	client := link.NewClient(address, p.dial)
	defer client.Close()
	var answer ResignAnswer
	err := client.Call(ctx, RPCName+".Resign", &ResignRequest{Epoch: epoch}, &answer)
	return answer.Ages, err
}
