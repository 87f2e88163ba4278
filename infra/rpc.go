package infra

import (
	"context"
	"time"

	"rattanpath/link"
)

// RPCName is the name under which the service is registered with net/rpc.
const RPCName = "Depot"

// ResignRequest carries the epoch of the new leader.
type ResignRequest struct {
	Epoch int64
}

// ResignResponse reports the time since the last order for each machine.
type ResignResponse struct {
	Ages map[string]time.Duration
}

// Service serves calls from other nodes over net/rpc.
type Service struct {
	controller *Controller
}

// NewService returns the RPC service of a controller.
func NewService(controller *Controller) *Service { return &Service{controller: controller} }

// Resign calls Controller.Resign. Its signature is required by net/rpc.
func (s *Service) Resign(request *ResignRequest, response *ResignResponse) error {
	response.Ages = s.controller.Resign(request.Epoch)
	return nil
}

// Client calls other nodes over net/rpc. It implements LeaderClient.
type Client struct {
	dial link.Dial
}

// NewClient returns a client that connects with dial.
func NewClient(dial link.Dial) *Client { return &Client{dial: dial} }

// Resign implements LeaderClient.
func (c *Client) Resign(ctx context.Context, address string, epoch int64) (map[string]time.Duration, error) {
	client := link.NewClient(address, c.dial)
	defer client.Close()
	var response ResignResponse
	if err := client.Call(ctx, RPCName+".Resign", &ResignRequest{Epoch: epoch}, &response); err != nil {
		// A late reply may still be decoded into the response.
		return nil, err
	}
	return response.Ages, nil
}
