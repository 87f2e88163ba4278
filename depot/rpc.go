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

// ResignResponse says how long ago each machine was last ordered.
type ResignResponse struct {
	Ages map[string]time.Duration
}

// Service answers other nodes over net/rpc.
type Service struct {
	depot *Controller
}

// NewService returns the service of a node's depot.
func NewService(depot *Controller) *Service { return &Service{depot: depot} }

// Resign makes the node give no more orders; net/rpc gives it its shape.
func (s *Service) Resign(request *ResignRequest, answer *ResignResponse) error {
	answer.Ages = s.depot.Resign(request.Epoch)
	return nil
}

// Client asks other nodes over net/rpc. It implements Holders.
type Client struct {
	dial link.Dial
}

// NewClient returns a client that dials with a function.
func NewClient(dial link.Dial) *Client { return &Client{dial: dial} }

// Resign implements Holders.
func (p *Client) Resign(ctx context.Context, address string, epoch int64) (map[string]time.Duration, error) {
	client := link.NewClient(address, p.dial)
	defer client.Close()
	var answer ResignResponse
	err := client.Call(ctx, RPCName+".Resign", &ResignRequest{Epoch: epoch}, &answer)
	return answer.Ages, err
}
