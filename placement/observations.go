package placement

import "apricotrouter/state"

// ObservationsNotice is the notice of kind transport.KindObservations, which
// the holder of worker sessions sends to the leader every 2 s. A worker whose
// samples did not change may be left out.
type ObservationsNotice struct {
	Workers []WorkerSample `cbor:"1,keyasint"`
}

// WorkerSample is one measurement of all tasks on a worker.
type WorkerSample struct {
	Worker string `cbor:"1,keyasint"`
	// Fence is that of the sender's assignment of the worker.
	Fence uint64 `cbor:"2,keyasint"`
	// SampledAt is when the worker measured, in Unix milliseconds of the
	// sender's clock; the measurement may have been on its way for long.
	SampledAt int64 `cbor:"3,keyasint"`
	// Tasks are all tasks that ran on the worker at SampledAt.
	Tasks []TaskSample `cbor:"4,keyasint"`
}

// TaskSample is one measurement of one task.
type TaskSample struct {
	Task        string          `cbor:"1,keyasint"`
	Incarnation uint64          `cbor:"2,keyasint"`
	Used        state.Resources `cbor:"3,keyasint"`
	// LatencyRatio is the latency of a replica against its latency alone; 0 if
	// not measured.
	LatencyRatio float64 `cbor:"4,keyasint,omitempty"`
}

// Observations are what the leader knows beyond the state. Plan only reads
// them. The zero value knows nothing.
type Observations struct {
	// Since is when the leader was elected, in Unix milliseconds. Actions of
	// earlier leaders are not known, so samples from before are not judged.
	Since int64
	// Workers holds what is known of each worker.
	Workers map[string]*WorkerObservation
	// Updated are the workers with a new sample since the last plan, by id.
	Updated []string
	// Estimates are derived from all samples of this leader; nil for none.
	Estimates *Estimates
	// Evictions are the times of the evictions by interference of the last
	// minute, in Unix milliseconds.
	Evictions []int64
}

// WorkerObservation is what is known of one worker.
type WorkerObservation struct {
	Sample *WorkerSample
	// Above and Below count the samples in a row, taken after the last action
	// had time to take effect, in which the slowest replica was above the
	// limit or well below it.
	Above int
	Below int
	// Throttled is the number of throttled tasks in the sample.
	Throttled int
	// ActedAt is when the last response to interference was committed, in Unix
	// milliseconds; 0 if never.
	ActedAt int64
	// ReleasedAt is when a throttle was last lowered, in Unix milliseconds.
	ReleasedAt int64
	// Hold is the number of samples below that the next release waits for. It
	// doubles when a release turned out to be too early.
	Hold int
}

// InterferencePolicy selects the response to interference.
type InterferencePolicy string

// Responses to interference. The last two are baselines for comparison.
const (
	// InterferenceStepwise avoids the pair, then throttles, then evicts.
	InterferenceStepwise InterferencePolicy = "stepwise"
	// InterferenceIgnore does nothing.
	InterferenceIgnore InterferencePolicy = "ignore"
	// InterferenceEvictAtOnce evicts every batch task of a worker on the first
	// sample above the limit.
	InterferenceEvictAtOnce InterferencePolicy = "evict-at-once"
)
