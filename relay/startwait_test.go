package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"rattanpath/lease"
)

// Guards against a start command that waits for a batch until its host may be another incarnation under the
// same ID. Heartbeats and stop commands are sent all the same.
func TestStartThatHasWaitedIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		d := newDelegate(&Client{clock: func() time.Duration { return time.Since(begun) }}, nil, "", 1)
		_, waited := d.enqueue(&Request{Start: &lease.StartCommand{Run: 1}})
		d.enqueue(&Request{Heartbeat: &lease.Heartbeat{}})
		d.enqueue(&Request{Stop: &lease.StopCommand{}})
		time.Sleep(maxStartWait + time.Millisecond)
		d.enqueue(&Request{Start: &lease.StartCommand{Run: 2}})
		batch := d.nextBatch()
		if len(batch.Calls) != 3 || batch.Calls[2].Request.Start == nil || batch.Calls[2].Request.Start.Run != 2 {
			t.Errorf("got a batch of %d calls, want the heartbeat, the stop command and the second start", len(batch.Calls))
		}
		select {
		case o := <-waited:
			if !errors.Is(o.err, lease.ErrNotSent) {
				t.Errorf("got error %v of the first start, want %v", o.err, lease.ErrNotSent)
			}
		default:
			t.Error("got no outcome of the first start, want that it wasn't sent")
		}
	})
}
