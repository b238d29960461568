package dispatch

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// estimateWindow is the length of one histogram window. Samples count for
	// one to two windows.
	estimateWindow  = 5 * time.Second
	publishInterval = 200 * time.Millisecond
	// minSamples is the number of samples below which no quantile is published.
	minSamples      = 30
	maxLatency      = 10 * time.Minute
	estimateFigures = 2 // significant decimal digits of the histograms
)

// estimate holds latency quantiles of the recent successful attempts of one
// service. The quantiles are read without a lock.
type estimate struct {
	p10, p50, p95 atomic.Int64 // nanoseconds; 0 if unknown

	mu            sync.Mutex
	current       *hdrhistogram.Histogram // in microseconds; nil before the first sample
	previous      *hdrhistogram.Histogram
	windowStarted time.Time
	published     time.Time
}

func newEstimate() *estimate {
	return new(estimate)
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), estimateFigures)
}

// observe adds one sample.
func (e *estimate) observe(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current == nil {
		e.current, e.previous = newHistogram(), newHistogram()
	}
	_ = e.current.RecordValue(min(max(1, d.Microseconds()), maxLatency.Microseconds()))
}

// publish recomputes the quantiles, at most every publishInterval, and rotates
// the windows after estimateWindow. It uses scratch to merge both windows.
func (e *estimate) publish(now time.Time, scratch *hdrhistogram.Histogram) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current == nil || now.Sub(e.published) < publishInterval {
		return
	}
	e.published = now
	e.compute(scratch)
	if now.Sub(e.windowStarted) >= estimateWindow {
		e.windowStarted = now
		e.previous, e.current = e.current, e.previous
		e.current.Reset()
	}
}

// compute computes and publishes the quantiles, using all as a buffer; e.mu is
// held.
func (e *estimate) compute(all *hdrhistogram.Histogram) {
	all.Reset()
	all.Merge(e.previous)
	all.Merge(e.current)
	if all.TotalCount() < minSamples {
		e.p10.Store(0)
		e.p50.Store(0)
		e.p95.Store(0)
		return
	}
	e.p10.Store(all.ValueAtQuantile(10) * int64(time.Microsecond))
	e.p50.Store(all.ValueAtQuantile(50) * int64(time.Microsecond))
	e.p95.Store(all.ValueAtQuantile(95) * int64(time.Microsecond))
}

func (e *estimate) p10Latency() time.Duration { return time.Duration(e.p10.Load()) }
func (e *estimate) p50Latency() time.Duration { return time.Duration(e.p50.Load()) }
func (e *estimate) p95Latency() time.Duration { return time.Duration(e.p95.Load()) }
