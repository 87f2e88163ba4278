package scribe

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
)

// buffer is a writer that tests may read meanwhile.
type buffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *buffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// TestKindsHaveARate logs one kind far too often and another a little: the first
// is cut to its rate, and how many were left out is told.
func TestKindsHaveARate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out buffer
		s := New(&out)
		logger := s.Logger("n1")
		for i := range 1000 {
			logger.Info("often", "number", i)
		}
		logger.Info("seldom", "number", 1)
		time.Sleep(1500 * time.Millisecond)
		logger.Info("often", "number", 1000)
		s.Close()
		if got := strings.Count(out.String(), "msg=often"); got != kindRate+1 {
			t.Errorf("got %d lines of a kind, want %d in the first second and one more", got, kindRate)
		}
		if got := strings.Count(out.String(), "msg=seldom"); got != 1 {
			t.Errorf("got %d lines of another kind, want 1", got)
		}
		if want := fmt.Sprintf(`msg="log lines left out" kind=often count=%d`, 1000-kindRate); !strings.Contains(out.String(), want) {
			t.Errorf("got\n%s\nwant a line with %s", out.String(), want)
		}
	})
}

// TestAFullPipeBlocksNobody logs to a pipe that nobody reads: no call may wait,
// failures still have a place when others haven't, and what was left out is told
// once the pipe is read.
func TestAFullPipeBlocksNobody(t *testing.T) {
	reader, writer := io.Pipe()
	s := New(writer)
	logger := s.Logger("n1")
	begun := time.Now()
	// Each line is a kind of its own, so that only the queue bounds them.
	for i := range 2 * maxQueued {
		logger.Info(fmt.Sprintf("line %d", i))
	}
	logger.Error(errors.New("broken"), "a failure")
	if took := time.Since(begun); took > time.Second {
		t.Errorf("got %v for logging to a full pipe, want no waiting", took)
	}
	if got := s.Dropped(); got < maxQueued {
		t.Errorf("got %d lines left out, want at least %d", got, maxQueued)
	}
	text := make(chan string)
	go func() {
		var out bytes.Buffer
		_, _ = io.Copy(&out, reader)
		text <- out.String()
	}()
	time.Sleep(countEvery + 200*time.Millisecond)
	s.Close()
	_ = writer.Close()
	got := <-text
	for _, want := range []string{`msg="a failure"`, `why="the reader is too slow"`} {
		if !strings.Contains(got, want) {
			t.Errorf("got no line with %s, want one", want)
		}
	}
}

// TestCloseDoesNotWaitForever closes while nobody reads.
func TestCloseDoesNotWaitForever(t *testing.T) {
	_, writer := io.Pipe()
	s := New(writer)
	s.Logger("n1").Info("nobody reads this")
	begun := time.Now()
	s.Close()
	if took := time.Since(begun); took > 2*closeTime {
		t.Errorf("got %v for closing, want about %v", took, closeTime)
	}
}
