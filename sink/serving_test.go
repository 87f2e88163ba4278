package sink

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestServingLinesHaveLimitsOfTheirOwn guards against lines of serving tasks that are hidden by
// those of other tasks with the same message and reason, and against dropped ones that are not
// reported as such.
func TestServingLinesHaveLimitsOfTheirOwn(t *testing.T) {
	const others = 10 * messageRate
	messages := []string{"run assigned", "run ended", "run lost", "run not started"}
	synctest.Test(t, func(t *testing.T) {
		var out syncBuffer
		w := New(&out)
		logger := w.Logger("n1")
		for i := range others {
			for _, message := range messages {
				logger.Info(message, "run", i, "why", fmt.Sprint("reason ", i), "serving", false)
			}
		}
		for _, message := range messages {
			logger.Info(message, "run", 1, "why", "a reason", "serving", true)
		}
		for i := range messageRate + 1 {
			logger.Info("frequent", "run", i, "serving", true)
			// A key with another kind of value doesn't make a line one of a serving task.
			logger.Info("host left", "serving", 1, "number", i)
		}
		time.Sleep(reportInterval + 500*time.Millisecond)
		w.Close()
		for _, message := range messages {
			if got := strings.Count(out.String(), fmt.Sprintf(`msg=%q node=n1 run=1 why="a reason" serving=true`, message)); got != 1 {
				t.Errorf("got %d lines %q of the serving task, want 1", got, message)
			}
		}
		for _, want := range []string{
			`kind=frequent count=1 reason="" why="rate limit exceeded" serving=true`,
			`kind="host left" count=1 reason="" why="rate limit exceeded"` + "\n",
		} {
			if !strings.Contains(out.String(), want) {
				t.Errorf("got no line with %s, want one", want)
			}
		}
	})
}
