package owner

import (
	"context"
	"slices"
	"testing"

	"github.com/go-logr/logr"

	"rattanpath/queue"
	"rattanpath/tasks"
)

// TestOwnerOfReassignedQueue checks that an owner whose configuration has moved a queue
// accepts none of its new jobs from nodes that lag behind, and lists the queues of its jobs.
func TestOwnerOfReassignedQueue(t *testing.T) {
	queues := []*queue.Queue{{Host: "a", Prefix: "/moved/", Policy: tasks.Policy{Service: "other"}}}
	config := queue.NewConfig(5, queues, []queue.Service{{Name: testService}, {Name: "other"}}, queue.Limits{})
	runService(t, config, func(ctx context.Context, service *Service) {
		request := keyRequest("job", "moved", "", 4)
		for i, method := range []func(*Request, *Response) error{service.Submit, service.Cancel} {
			if got := outcome(t, method, request); got != Reassigned {
				t.Errorf("got outcome %v of call %d by a node that lags behind, want %v", got, i, Reassigned)
			}
		}
		client := NewClient(nil, keyConfig{config}, service, "a:1", 32, nil, logr.Discard())
		client.owners = map[int]string{partitionAt(0, 32): "a:1"}
		if list, err := client.Queues(ctx, testService); err != nil || list.ConfigVersion != 5 || len(list.Queues) != 0 {
			t.Errorf("got %+v and error %v, want version 5 and no queue", list, err)
		}
		request.ConfigVersion = 6
		if got := outcome(t, service.Submit, request); got != Done {
			t.Errorf("got outcome %v of a submission of a newer version, want %v", got, Done)
		}
		if list, err := client.Queues(ctx, testService); err != nil || !slices.Equal(list.Queues, []string{"a/moved/"}) {
			t.Errorf("got %+v and error %v, want the queue of the job", list, err)
		}
		if list, err := client.Queues(ctx, "other"); err == nil {
			t.Errorf("got %+v of a service without an owner, want an error", list)
		}
	})
}
