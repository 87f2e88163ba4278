package sink

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
)

// syncBuffer is a buffer that is safe for concurrent use.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(line)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// TestRateLimitPerMessage checks that a message logged too often is limited to its
// rate and its dropped lines are reported, while another message is unaffected.
func TestRateLimitPerMessage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out syncBuffer
		w := New(&out)
		logger := w.Logger("n1")
		for i := range 1000 {
			logger.Info("frequent", "number", i)
		}
		logger.Info("rare", "number", 1)
		time.Sleep(1500 * time.Millisecond)
		logger.Info("frequent", "number", 1000)
		w.Close()
		if got := strings.Count(out.String(), "msg=frequent"); got != messageRate+1 {
			t.Errorf("got %d lines of the frequent message, want %d in the first second and one more", got, messageRate)
		}
		if got := strings.Count(out.String(), "msg=rare"); got != 1 {
			t.Errorf("got %d lines of the rare message, want 1", got)
		}
		if want := fmt.Sprintf(`msg="log lines dropped" kind=frequent count=%d`, 1000-messageRate); !strings.Contains(out.String(), want) {
			t.Errorf("got\n%s\nwant a line with %s", out.String(), want)
		}
	})
}

// logLost logs a line as for a lost run.
func logLost(logger logr.Logger, why string, number int) {
	logger.Info("run lost", "run", number, "why", why)
}

// TestRateLimitPerReason checks that a line with a rare reason is written although the
// same message with a common reason exceeds its rate, and that dropped lines are
// reported by reason.
func TestRateLimitPerReason(t *testing.T) {
	const common, rare = "the address belongs to another host", "the host no longer has it"
	synctest.Test(t, func(t *testing.T) {
		var out syncBuffer
		w := New(&out)
		logger := w.Logger("n1")
		for i := range 3000 {
			logLost(logger, common, i)
		}
		logLost(logger, rare, 3000)
		time.Sleep(reportInterval + 500*time.Millisecond)
		w.Close()
		for why, want := range map[string]int{common: messageRate, rare: 1} {
			if got := strings.Count(out.String(), fmt.Sprintf("why=%q", why)); got != want {
				t.Errorf("got %d lines with why=%q, want %d", got, why, want)
			}
		}
		if want := fmt.Sprintf(`kind="run lost" count=%d reason=%q why="rate limit exceeded"`, 3000-messageRate, common); !strings.Contains(out.String(), want) {
			t.Errorf("got no line with %s, want one", want)
		}
	})
}

// TestDistinctReasonsAreBounded checks that a message whose lines all have different
// reasons, such as errors, stays within its rates, that the dropped lines are all
// counted, and that a common reason has a limit of its own again in the next second.
func TestDistinctReasonsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out syncBuffer
		w := New(&out)
		logger := w.Logger("n1")
		for i := range 3000 {
			logLost(logger, fmt.Sprintf("error %d", i), i)
		}
		if got := len(w.limiter.messages["run lost"].reasons); got > maxReasons {
			t.Errorf("got the counts of %d reasons, want at most %d", got, maxReasons)
		}
		time.Sleep(reportInterval + 500*time.Millisecond)
		if got, want := strings.Count(out.String(), `msg="run lost"`), maxReasons+messageRate; got != want {
			t.Errorf("got %d lines with different reasons, want %d", got, want)
		}
		if want := fmt.Sprintf(`count=%d reason=%q`, 3000-maxReasons-messageRate, otherReasons); !strings.Contains(out.String(), want) {
			t.Errorf("got no line with %s, want one", want)
		}
		for i := range messageRate {
			logLost(logger, "the lease has expired", i)
			logLost(logger, fmt.Sprintf("another error %d", i), i)
		}
		w.Close()
		if got := strings.Count(out.String(), `why="the lease has expired"`); got != messageRate {
			t.Errorf("got %d lines of the common reason, want %d", got, messageRate)
		}
	})
}

// TestLoggingDoesNotBlock logs to a pipe without a reader. Calls must not block, an
// error must be kept when the queue has no space for other lines, and the dropped
// lines must be reported once the pipe is read.
func TestLoggingDoesNotBlock(t *testing.T) {
	reader, writer := io.Pipe()
	w := New(writer)
	logger := w.Logger("n1")
	start := time.Now()
	// Each line has its own message, so that only the queue limits them.
	for i := range 2 * maxQueuedLines {
		logger.Info(fmt.Sprintf("line %d", i))
	}
	logger.Error(errors.New("broken"), "write failed")
	if took := time.Since(start); took > time.Second {
		t.Errorf("got %v for logging to a blocked pipe, want less than a second", took)
	}
	if got := w.Dropped(); got < maxQueuedLines {
		t.Errorf("got %d dropped lines, want at least %d", got, maxQueuedLines)
	}
	text := make(chan string)
	go func() {
		var out bytes.Buffer
		_, _ = io.Copy(&out, reader)
		text <- out.String()
	}()
	time.Sleep(reportInterval + 200*time.Millisecond)
	w.Close()
	_ = writer.Close()
	got := <-text
	for _, want := range []string{`msg="write failed"`, `why="output too slow"`} {
		if !strings.Contains(got, want) {
			t.Errorf("got no line with %s, want one", want)
		}
	}
}

// TestCloseTimesOut checks that Close returns while the output is blocked.
func TestCloseTimesOut(t *testing.T) {
	_, writer := io.Pipe()
	w := New(writer)
	w.Logger("n1").Info("never read")
	start := time.Now()
	w.Close()
	if took := time.Since(start); took > 2*closeTimeout {
		t.Errorf("got %v for Close, want about %v", took, closeTimeout)
	}
}
