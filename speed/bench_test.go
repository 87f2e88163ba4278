package speed

import (
	"testing"
	"time"
)

// BenchmarkAssess measures an assessment of 500 hosts with runs of 20 kinds each.
func BenchmarkAssess(b *testing.B) {
	l := newLoad(500, 20)
	l.run(2 * time.Second)
	for b.Loop() {
		l.estimator.Assess(l.hosts, l.now)
	}
}
