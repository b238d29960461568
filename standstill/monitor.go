// Package standstill detects that this process has not run for some time: its
// machine was suspended, or had no processor time for it. What the process reads
// after that may have waited in its sockets, and its senders may have given up.
package standstill

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"apricotrouter/event"
)

const (
	// interval is the time between two signs of life of the process.
	interval = 100 * time.Millisecond
	// minDuration is the shortest interruption that counts. Garbage collection and
	// load delay a timer by tens of milliseconds.
	minDuration = 250 * time.Millisecond
	// readWindow is the time after an interruption within which everything that
	// had arrived before is read.
	readWindow = 300 * time.Millisecond
	// maxGap is the longest run between two interruptions that count as one: the
	// process may not have read everything between them.
	maxGap = 2 * interval
)

// Monitor watches whether the process runs. A nil Monitor never finds that it did
// not.
type Monitor struct {
	clock    clockwork.Clock
	logger   *slog.Logger
	started  time.Time
	lastSeen atomic.Int64 // ns since started
	last     atomic.Pointer[interruption]
	total    prometheus.Counter
}

// interruption is a time in which the process did not run.
type interruption struct{ begin, end time.Duration }

// NewMonitor returns a Monitor and registers its metric. It finds interruptions
// once Run is called.
func NewMonitor(clock clockwork.Clock, logger *slog.Logger, r prometheus.Registerer) *Monitor {
	m := &Monitor{clock: clock, logger: logger, started: clock.Now(), total: prometheus.NewCounter(prometheus.CounterOpts{
		Name: "apricotrouter_standstills_total", Help: "Times that the process did not run for a quarter of a second or more.",
	})}
	if r != nil {
		r.MustRegister(m.total)
	}
	return m
}

func (m *Monitor) now() time.Duration { return m.clock.Since(m.started) }

// Run watches the process until ctx ends.
func (m *Monitor) Run(ctx context.Context) error {
	ticker := m.clock.NewTicker(interval)
	defer ticker.Stop()
	m.lastSeen.Store(int64(max(1, m.now())))
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.Chan():
			m.observe(m.now())
		}
	}
}

// observe records a sign of life.
func (m *Monitor) observe(now time.Duration) {
	lastSeen := time.Duration(m.lastSeen.Swap(int64(now)))
	if now-lastSeen < minDuration {
		return
	}
	begin := lastSeen
	if earlier := m.last.Load(); earlier != nil && begin-earlier.end < maxGap {
		begin = earlier.begin
	}
	m.last.Store(&interruption{begin, now})
	m.total.Inc()
	event.Log(m.logger, event.ProcessStoodStill, slog.Int64("for_ms", (now-lastSeen).Milliseconds()))
}

// MaxWait returns the longest time for which a message that is read now may have
// waited because the process did not run.
func (m *Monitor) MaxWait() time.Duration {
	if m == nil {
		return 0
	}
	now, wait := m.now(), time.Duration(0)
	if lastSeen := time.Duration(m.lastSeen.Load()); lastSeen > 0 && now-lastSeen >= minDuration {
		wait = now - lastSeen // the ticker has not fired yet
	}
	if last := m.last.Load(); last != nil && now-last.end < readWindow {
		wait = max(wait, now-last.begin)
	}
	return wait
}
