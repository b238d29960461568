package dispatch

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// ejectAfter is the number of failures in a row that eject an endpoint.
	ejectAfter = 5
	// ejectFor is the length of the first ejection. Each further one in a row
	// is longer by the same amount, up to ejectForMax.
	ejectFor    = 5 * time.Second
	ejectForMax = 60 * time.Second
	// avoidFor is how long an endpoint comes after all others once it failed;
	// each failure in a row doubles it, up to avoidForMax. An endpoint that
	// fails at once would otherwise look like the one with the least load.
	avoidFor    = 100 * time.Millisecond
	avoidForMax = 5 * time.Second
)

// health counts the failures of an endpoint and ejects it for a while.
type health struct {
	mu        sync.Mutex
	failures  int // in a row
	refusals  int // in a row
	ejections int // in a row

	until atomic.Int64 // end of the ejection, Unix nanoseconds
	avoid atomic.Int64 // end of the avoidance, Unix nanoseconds
}

// succeeded ends a row of failures.
func (h *health) succeeded() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures, h.refusals, h.ejections = 0, 0, 0
	h.avoid.Store(0)
}

// failed counts a failure and reports whether the endpoint should be ejected.
func (h *health) failed(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.avoidAfter(h.failures, now)
	h.failures++
	return h.failures >= ejectAfter
}

// refused notes that the endpoint refused a request without running it. That
// is no failure, but the next request should go elsewhere.
func (h *health) refused(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.avoidAfter(h.refusals, now)
	h.refusals++
}

// avoidAfter avoids the endpoint after a number of earlier failures or
// refusals in a row; h.mu is held.
func (h *health) avoidAfter(earlier int, now time.Time) {
	length := min(avoidFor<<min(earlier, 10), avoidForMax)
	h.avoid.Store(now.Add(length).UnixNano())
}

// eject ejects the endpoint. After it, one more failure ejects it again.
func (h *health) eject(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ejections++
	length := min(time.Duration(h.ejections)*ejectFor, ejectForMax)
	h.until.Store(now.Add(length).UnixNano())
	h.failures = ejectAfter - 1
	return length
}

// avoided reports whether other endpoints are preferred now.
func (h *health) avoided(now time.Time) bool {
	return now.UnixNano() < h.avoid.Load()
}

// ejected reports whether the endpoint is ejected now.
func (h *health) ejected(now time.Time) bool {
	return now.UnixNano() < h.until.Load()
}
