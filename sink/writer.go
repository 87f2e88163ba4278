package sink

import (
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
)

const (
	// maxQueuedLines is the capacity of the queue, which fills while the output is
	// blocked.
	maxQueuedLines = 4096
	// reservedLines is the part of the queue reserved for lines at level Warn and
	// above.
	reservedLines = maxQueuedLines / 4
	// reportInterval is the time between reports of dropped lines.
	reportInterval = time.Second
	// closeTimeout is how long Close waits while the output is blocked.
	closeTimeout = 300 * time.Millisecond
)

// Writer queues log lines and writes them to an output in the background.
type Writer struct {
	out    io.Writer
	lines  chan []byte
	closed chan struct{}
	done   chan struct{}
	once   sync.Once
	// dropped counts the lines lost since the last report because the queue had no
	// space for them or their write failed. limiter counts those over the rate limit,
	// and servingLimiter does so for lines about serving tasks: other tasks are more and
	// can't hide them.
	dropped        atomic.Int64
	limiter        rateLimiter
	servingLimiter rateLimiter
	textHandler    slog.Handler
}

// New returns a Writer that writes to out until Close is called.
func New(out io.Writer) *Writer {
	w := &Writer{
		out:            out,
		lines:          make(chan []byte, maxQueuedLines),
		closed:         make(chan struct{}),
		done:           make(chan struct{}),
		limiter:        newRateLimiter(),
		servingLimiter: newRateLimiter(),
	}
	w.textHandler = slog.NewTextHandler(w, nil)
	go w.run()
	return w
}

// Logger returns a logger that adds the node's name to each line.
func (w *Writer) Logger(node string) logr.Logger {
	return logr.FromSlogHandler(&handler{writer: w, next: w.textHandler}).WithValues("node", node)
}

// Write queues one line, or drops and counts it if the queue is full. It never
// blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines lost since the last report because the queue
// had no space for them or their write failed.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// isNearlyFull reports whether only the reserved part of the queue is free.
func (w *Writer) isNearlyFull() bool { return len(w.lines) >= maxQueuedLines-reservedLines }

// run writes queued lines and reports dropped ones until Close is called.
func (w *Writer) run() {
	defer close(w.done)
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		case <-tick.C:
			w.reportDropped()
		case <-w.closed:
			w.drain()
			return
		}
	}
}

// writeLine writes one line. An error is only counted, as the log itself is what
// failed.
func (w *Writer) writeLine(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.dropped.Add(1)
	}
}

func (w *Writer) drain() {
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		default:
			return
		}
	}
}

// reportDropped logs the numbers of lines dropped since the last report.
func (w *Writer) reportDropped() {
	logger := slog.New(w.textHandler)
	for _, d := range w.limiter.takeDropped() {
		logger.Warn("log lines dropped", "kind", d.message, "count", d.count, "reason", d.reason, "why", "rate limit exceeded")
	}
	for _, d := range w.servingLimiter.takeDropped() {
		logger.Warn("log lines dropped", "kind", d.message, "count", d.count, "reason", d.reason, "why", "rate limit exceeded", "serving", true)
	}
	if dropped := w.dropped.Swap(0); dropped > 0 {
		logger.Warn("log lines dropped", "count", dropped, "why", "output too slow")
	}
}

// Close writes the queued lines. It gives up after closeTimeout if the output is
// blocked.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.closed) })
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}
