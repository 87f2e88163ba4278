package owner

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"rattanpath/core"
	"rattanpath/fake"
	"rattanpath/queue"
	"rattanpath/tasks"
)

// changingConfig is a configuration that changes.
type changingConfig struct {
	config  atomic.Pointer[queue.Config]
	changed core.Signal
}

func (c *changingConfig) Config() *queue.Config    { return c.config.Load() }
func (c *changingConfig) Changed() <-chan struct{} { return c.changed.Changed() }

// setCap activates a version in which an organisation has a cap.
func (c *changingConfig) setCap(version, limit int64) {
	organisations := []queue.Organisation{{Name: "acme", Weight: 1, Cap: tasks.Resources{CPU: limit}}}
	c.config.Store(queue.NewConfig(version, nil, []queue.Service{{Name: testService}}, queue.Limits{}).WithOrganisations(organisations, nil))
	c.changed.Notify()
}

// Guards against cells that go on with the caps of an old configuration, and against a cell that
// has just been claimed knowing none.
func TestCellsFollowCaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(10 * time.Second)
		}()
		s, config := fake.NewStore(), &changingConfig{}
		config.setCap(1, 8000)
		node := startNodeWith(ctx, s, s.Client("a"), "a", 0, config)
		time.Sleep(3 * time.Second)
		for version, limit := range []int64{8000, 4000, 6000} {
			config.setCap(int64(version)+1, limit)
			time.Sleep(50 * time.Millisecond)
			view, err := node.supervisor.Cell(testService).Organisations()
			if err != nil || len(view.Organisations) != 1 {
				t.Fatalf("got %+v, error %v, want one organisation", view, err)
			}
			if got := view.Organisations[0]; got.Cap.CPU != limit || got.Base.CPU != limit/2 || view.Version != int64(version)+1 {
				t.Errorf("got %+v of version %d, want a cap of %d and half of it as the base", got, view.Version, limit)
			}
			if !view.Pending {
				t.Error("got a version that counts as confirmed, want it pending without a leader")
			}
		}
	})
}
