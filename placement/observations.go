package placement

import "apricotrouter/state"

// ObservationsNotice is the one-way message of kind transport.KindObservations.
// An instance with worker sessions sends it to the leader every 2 s. Workers
// whose samples did not change may be omitted.
type ObservationsNotice struct {
	Workers []WorkerSample `cbor:"1,keyasint"`
}

// WorkerSample is one measurement of all tasks on a worker.
type WorkerSample struct {
	Worker string `cbor:"1,keyasint"`
	// Fence is the fence of the sender's assignment of the worker.
	Fence uint64 `cbor:"2,keyasint"`
	// SampledAt is the time of the measurement, in Unix milliseconds of the
	// sender's clock. The measurement may have been in transit for a long time.
	SampledAt int64 `cbor:"3,keyasint"`
	// Tasks are all tasks that ran on the worker at SampledAt.
	Tasks []TaskSample `cbor:"4,keyasint"`
}

// TaskSample is one measurement of one task.
type TaskSample struct {
	Task        string          `cbor:"1,keyasint"`
	Incarnation uint64          `cbor:"2,keyasint"`
	Used        state.Resources `cbor:"3,keyasint"`
	// LatencyRatio is the latency of a replica divided by its latency without
	// co-located tasks, or 0 if it was not measured.
	LatencyRatio float64 `cbor:"4,keyasint,omitempty"`
}

// Observations contains the leader's observations, which are not part of the
// replicated state. Plan does not modify them. The zero value contains no
// observations.
type Observations struct {
	// Since is when the leader was elected, in Unix milliseconds. The leader
	// does not know the mitigations of its predecessors, so samples taken
	// before Since do not count.
	Since int64
	// Workers contains the observations of each worker, by id.
	Workers map[string]*WorkerObservation
	// Updated lists the workers with a new sample since the last plan, sorted
	// by id.
	Updated []string
	// Estimates are derived from all samples that this leader received. They
	// may be nil.
	Estimates *Estimates
	// Evictions are the times of the evictions because of interference or
	// overload during the last minute, in Unix milliseconds.
	Evictions []int64
}

// WorkerObservation contains the observations of one worker.
type WorkerObservation struct {
	Sample *WorkerSample
	// SlowSamples and RecoveredSamples count the consecutive samples in which the slowest
	// replica was above slowRatio or below recoveredRatio. Only samples taken
	// after the last mitigation took effect are counted.
	SlowSamples      int
	RecoveredSamples int
	// Throttled is the number of throttled tasks in the sample.
	Throttled int
	// MitigatedAt is when the last mitigation was committed, in Unix milliseconds,
	// or 0 if there was none.
	MitigatedAt int64
	// ReleasedAt is when a throttle was last lowered, in Unix milliseconds.
	ReleasedAt int64
	// ReleaseSamples is the number of consecutive samples below recoveredRatio that the
	// next release requires. It doubles after a premature release.
	ReleaseSamples int
}

// InterferencePolicy selects the response to interference.
type InterferencePolicy string

// Responses to interference. The last two are baselines for comparison.
const (
	// InterferenceStepwise first avoids placing a harmful class next to a
	// service, then throttles, then evicts.
	InterferenceStepwise InterferencePolicy = "stepwise"
	// InterferenceIgnore does nothing.
	InterferenceIgnore InterferencePolicy = "ignore"
	// InterferenceEvictAtOnce evicts all batch tasks on a worker after the
	// first sample above the limit.
	InterferenceEvictAtOnce InterferencePolicy = "evict-at-once"
)
