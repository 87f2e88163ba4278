package sink

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// messageRate is the maximum number of lines per second with the same message and
	// reason.
	messageRate = 200
	// warningRate is the same limit for lines at level Warn and above.
	warningRate = 1000
	// maxReasons is the maximum number of reasons of one message with a limit of their
	// own, since a reason may be the text of an error.
	maxReasons = 16
	// otherReasons stands for all further reasons of a message, which share one limit.
	otherReasons = "other reasons"
)

// rateLimiter limits the lines of each message and reason per second, so that a
// common reason can't hide a rare one.
type rateLimiter struct {
	mu       sync.Mutex
	messages map[string]*messageCounts
}

func newRateLimiter() rateLimiter {
	return rateLimiter{messages: make(map[string]*messageCounts)}
}

// messageCounts holds the counts of one message: those of at most maxReasons reasons,
// of which "" is one, and that of all others.
type messageCounts struct {
	reasons map[string]*lineCount
	others  lineCount
}

// lineCount counts the lines of one limit in a second. dropped counts those over the
// limit since the last report.
type lineCount struct {
	second  int64
	written int
	dropped int64
}

// dropCount is the number of dropped lines with a message and reason.
type dropCount struct {
	message string
	reason  string
	count   int64
}

// allow counts a line and reports whether it is within its limit.
func (l *rateLimiter) allow(message, reason string, at time.Time, isWarning bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.messages[message]
	if m == nil {
		m = &messageCounts{reasons: make(map[string]*lineCount)}
		l.messages[message] = m
	}
	rate := messageRate
	if isWarning {
		rate = warningRate
	}
	second := at.Unix()
	return m.countFor(reason, second).allow(rate, second)
}

// countFor returns the count of a reason. If there are too many reasons, it first
// forgets those that aren't in use.
func (m *messageCounts) countFor(reason string, second int64) *lineCount {
	if c := m.reasons[reason]; c != nil {
		return c
	}
	if len(m.reasons) >= maxReasons {
		m.forgetIdle(second)
	}
	if len(m.reasons) >= maxReasons {
		return &m.others
	}
	c := new(lineCount)
	m.reasons[reason] = c
	return c
}

// forgetIdle deletes the counts without lines in the given second or dropped lines to
// report.
func (m *messageCounts) forgetIdle(second int64) {
	for reason, c := range m.reasons {
		if c.second != second && c.dropped == 0 {
			delete(m.reasons, reason)
		}
	}
}

func (c *lineCount) allow(rate int, second int64) bool {
	if second != c.second {
		c.second, c.written = second, 0
	}
	if c.written >= rate {
		c.dropped++
		return false
	}
	c.written++
	return true
}

// takeDropped returns the number of dropped lines and resets it.
func (c *lineCount) takeDropped() int64 {
	dropped := c.dropped
	c.dropped = 0
	return dropped
}

// takeDropped returns the numbers of lines dropped since the last call, sorted by
// message and reason, and resets them.
func (l *rateLimiter) takeDropped() []dropCount {
	l.mu.Lock()
	defer l.mu.Unlock()
	var dropped []dropCount
	for message, m := range l.messages {
		for reason, c := range m.reasons {
			dropped = append(dropped, dropCount{message: message, reason: reason, count: c.takeDropped()})
		}
		dropped = append(dropped, dropCount{message: message, reason: otherReasons, count: m.others.takeDropped()})
	}
	dropped = slices.DeleteFunc(dropped, func(d dropCount) bool { return d.count == 0 })
	slices.SortFunc(dropped, func(a, b dropCount) int {
		return cmp.Or(cmp.Compare(a.message, b.message), cmp.Compare(a.reason, b.reason))
	})
	return dropped
}
