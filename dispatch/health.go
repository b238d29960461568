package dispatch

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// ejectThreshold is the number of consecutive failures after which an
	// endpoint is ejected.
	ejectThreshold = 5
	// ejectionStep is the length of the first ejection. Each consecutive
	// ejection is longer by the same amount, up to maxEjection.
	ejectionStep = 5 * time.Second
	maxEjection  = 60 * time.Second
	// minAvoidance is how long other endpoints are preferred after a failure.
	// Each consecutive failure doubles it, up to maxAvoidance. Otherwise an
	// endpoint that fails fast would seem to be the least loaded one.
	minAvoidance = 100 * time.Millisecond
	maxAvoidance = 5 * time.Second
)

// health counts the failures of an endpoint and ejects it temporarily.
type health struct {
	mu        sync.Mutex
	failures  int // consecutive
	refusals  int // consecutive
	ejections int // consecutive

	ejectedUntil atomic.Int64 // end of the ejection, Unix nanoseconds
	avoidUntil   atomic.Int64 // end of the avoidance, Unix nanoseconds
}

// succeeded resets the counts of consecutive failures.
func (h *health) succeeded() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures, h.refusals, h.ejections = 0, 0, 0
	h.avoidUntil.Store(0)
}

// failed counts a failure and reports whether the endpoint should be ejected.
func (h *health) failed(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.extendAvoidance(h.failures, now)
	h.failures++
	return h.failures >= ejectThreshold
}

// refused counts a request that the endpoint refused without running it. A
// refusal is not a failure, but other endpoints are preferred for a while.
func (h *health) refused(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.extendAvoidance(h.refusals, now)
	h.refusals++
}

// extendAvoidance prefers other endpoints for a time that depends on the number
// of earlier consecutive failures or refusals; h.mu is held.
func (h *health) extendAvoidance(earlier int, now time.Time) {
	length := min(minAvoidance<<min(earlier, 10), maxAvoidance)
	h.avoidUntil.Store(now.Add(length).UnixNano())
}

// eject ejects the endpoint and returns for how long. After the ejection, a
// single failure ejects it again.
func (h *health) eject(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ejections++
	length := min(time.Duration(h.ejections)*ejectionStep, maxEjection)
	h.ejectedUntil.Store(now.Add(length).UnixNano())
	h.failures = ejectThreshold - 1
	return length
}

// avoided reports whether other endpoints are preferred at now.
func (h *health) avoided(now time.Time) bool {
	return now.UnixNano() < h.avoidUntil.Load()
}

// ejected reports whether the endpoint is ejected at now.
func (h *health) ejected(now time.Time) bool {
	return now.UnixNano() < h.ejectedUntil.Load()
}
