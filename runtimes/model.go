// Package runtimes learns how long tasks run compared with their declared run
// times, and how fast workers are. Its types have no clock, locks or output; the
// caller passes the time in and may use them from one goroutine only.
//
// Load pattern: declared run times are poor. On a pool with waiting work, actual
// run times were 0.57 (p10), 1.21 (p50), 2.77 (p90) and 7.8 (p99) times the
// declared ones. A step of ten tasks then ends at 2 to 4 times its declared run
// time, so decisions that rely on the declaration take workflows for on time
// that are late. Where declarations are good, the estimates equal them.
package runtimes

import (
	"math"
	"math/bits"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxKeys bounds the number of distributions. Each takes about 6 KB, so that
	// all of them stay below 2% of the memory of the smallest control instance.
	maxKeys = 512
	// minRuns is the weight of recent runs from which a distribution is used.
	// With fewer, a single run that takes seven times as long would double the
	// mean.
	minRuns = 8.0
)

// Key identifies tasks whose run times have a common distribution.
type Key struct {
	Queue, Image string
	Size         int // see SizeRange
}

// SizeRange returns the range of a task's CPU request, in thousandths of a
// processor. The largest request of a range is less than twice the smallest.
func SizeRange(milliCPU int64) int { return bits.Len64(uint64(max(0, milliCPU))) }

// level is how specific a distribution is. Until there are enough runs with a
// key, those with the same image, or else of the same queue, stand in for them.
type level uint8

const (
	levelKey level = iota
	levelImage
	levelQueue
	levels
)

// cell is a key, without the parts that its level ignores.
type cell struct {
	Key
	level level
}

func (k Key) at(l level) cell {
	switch l {
	case levelImage:
		k.Size = 0
	case levelQueue:
		k.Size, k.Image = 0, ""
	}
	return cell{k, l}
}

// Model has the distributions of actual over declared run times.
type Model struct {
	cells *simplelru.LRU[cell, *distribution]
	now   int64 // of the last observation, in milliseconds
}

// NewModel returns a model without observations. Its estimates are the declared
// run times.
func NewModel() *Model {
	cells, err := simplelru.NewLRU[cell, *distribution](maxKeys, nil)
	if err != nil {
		panic(err) // the size is not positive
	}
	return &Model{cells: cells}
}

// Len returns the number of distributions.
func (m *Model) Len() int { return m.cells.Len() }

// Observe records a run that completed a whole task, at full speed and on a
// worker of ordinary speed; see FullRun for other runs. Tasks with the same step
// number belong together, and their run times are usually similar. now is in
// milliseconds of any clock that does not go back. It returns the change if the
// run shows that the run times of the key have changed abruptly, else nil.
func (m *Model) Observe(k Key, step uint64, declaredMillis, actualMillis, now int64) *Change {
	if declaredMillis <= 0 || actualMillis <= 0 {
		return nil
	}
	m.now = max(m.now, now)
	s := sample{step: step, declared: math.Log(float64(declaredMillis)), actual: math.Log(float64(actualMillis))}
	var change *Change
	for l := range levels {
		d, ok := m.cells.Get(k.at(l))
		if !ok {
			d = newDistribution(m.now)
			m.cells.Add(k.at(l), d)
		}
		if before, changed := d.observe(s, m.now); changed && l == levelKey {
			change = &Change{Before: before, After: math.Exp(d.meanLog())}
		}
	}
	return change
}

// Change is an abrupt change of the run times of a key, such as after the
// release of another version of its image.
type Change struct {
	// Before and After are the geometric means of actual over declared run times.
	Before, After float64
}

// Estimate returns what is known about the run time of a task. It is valid until
// the next call of Observe.
func (m *Model) Estimate(k Key, declaredMillis int64) Estimate {
	e := Estimate{declared: float64(max(0, declaredMillis)), base: float64(max(0, declaredMillis)), spread: 1}
	if declaredMillis <= 0 {
		return e
	}
	for l := range levels {
		if d, ok := m.cells.Peek(k.at(l)); ok && d.runsAt(m.now) >= minRuns {
			e.d, e.runs = d, d.runsAt(m.now)
			e.base = math.Exp(d.base(math.Log(e.declared)))
			return e
		}
	}
	return e
}

// FullRun describes a run that did not do a whole task at full speed.
type FullRun struct {
	// Millis is the duration of the observed part of the run.
	Millis int64
	// DonePercent is how much of the task was done when the observation began: 0
	// for a run that did not resume from a checkpoint.
	DonePercent int
	// ReducedMillis is the time that was lost by reduced execution rates: at half
	// the rate for one second, half a second.
	ReducedMillis int64
	// Slowdown is how many times longer tasks take on the worker than elsewhere.
	Slowdown float64
}

const (
	// maxDonePercent is the progress at the beginning of an observation above
	// which the rest says too little about the whole task.
	maxDonePercent = 60
	// maxReducedShare is the share of a run that may be lost by reduced execution
	// rates. The time at which a rate takes effect is only known to about 100 ms.
	maxReducedShare = 0.75
)

// ActualMillis returns how long the whole task would have taken at full speed on
// a worker of ordinary speed, and whether the run allows that conclusion.
func (r FullRun) ActualMillis() (int64, bool) {
	if r.DonePercent < 0 || r.DonePercent > maxDonePercent || r.Millis <= 0 || float64(r.ReducedMillis) > maxReducedShare*float64(r.Millis) {
		return 0, false
	}
	const percent = 100
	whole := float64(r.Millis-max(0, r.ReducedMillis)) * percent / float64(percent-r.DonePercent)
	if r.Slowdown > 0 {
		whole /= r.Slowdown
	}
	return max(1, int64(math.Round(whole))), true
}
