package sched

import (
	"testing"
	"time"
)

// Guards against an owner that leaves runs on slow hosts for many times as long as it was suspended
// while it assessed the hosts.
func TestLongAssessmentDelaysNextOne(t *testing.T) {
	c := busyCell(10, 1)
	c.options.JudgeHosts = true
	now := time.Now()
	c.assessTime, c.assessedAt = 1200*time.Millisecond, now.Add(-5*time.Second)
	c.assessSpeeds(now)
	if !c.assessedAt.Equal(now) {
		t.Error("got no assessment 5s after one that took 1.2s, want one")
	}
}
