// Package fleet runs workflows on the workers of a pool. The leader of the
// control group controls all workers, with a fence derived from its term. It
// records each start before it sends it, and each end before the worker may
// discard it. It renews leases, and adopts the running tasks after an election.
// Every other instance forwards calls to the leader.
package fleet

import (
	"context"
	"errors"
	"fmt"
)

// RefusalReason is the reason why a worker refused a call.
type RefusalReason uint8

// Reasons for refusals. A refused call had no effect.
const (
	RefusedFence            RefusalReason = iota + 1 // the worker has seen a higher fence
	RefusedOldRun                                    // this run or a later one has ended or was stopped
	RefusedLeaseExpired                              // the lease in the call has expired
	RefusedCapacity                                  // the task does not fit
	RefusedTicket                                    // the policy's ticket is missing or no longer valid
	RefusedUnhealthy                                 // the worker accepts no starts at present
	RefusedOtherIncarnation                          // the address belongs to another worker or another incarnation
	RefusedInvalid                                   // the call could not be decoded
)

var refusalNames = [...]string{"", "fence", "old-run", "late", "room", "ticket", "unhealthy", "other-life", "invalid"}

// String returns the name of the reason as in logs.
func (r RefusalReason) String() string { return refusalNames[r] }

// RefusedError means that the worker did not carry out the call.
type RefusedError struct{ Reason RefusalReason }

// Error implements error.
func (e *RefusedError) Error() string { return fmt.Sprintf("worker refused the call: %s", e.Reason) }

// refusal returns the reason of a refusal, or 0 if the outcome is unknown.
func refusal(err error) RefusalReason {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused.Reason
	}
	return 0
}

// NotSentError means that a call never left this process and will not be
// carried out.
type NotSentError struct {
	Err error
	// Local is set if the cause is this process or its machine, such as a lack
	// of file descriptors, rather than the worker.
	Local bool
}

// Error implements error.
func (e *NotSentError) Error() string { return "call was not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// unsent reports whether a call was never sent, and whether the cause was
// local.
func unsent(err error) (unsent, local bool) {
	var e *NotSentError
	if errors.As(err, &e) {
		return true, e.Local
	}
	return false, false
}

// Run identifies one run of a task on a worker.
type Run struct {
	Workflow string
	Task     int // flat number within the workflow
	Number   uint64
}

// StartCall starts one run. Lease is the reading of the worker's clock, in
// milliseconds, at which the lease of all runs on the worker expires.
type StartCall struct {
	Run        Run
	Position   TaskPosition
	Payload    string
	Fence      uint64
	Lease      int64
	Checkpoint string
	Ticket     string
}

// StopCall stops one run, and cancels its start if that arrives later.
type StopCall struct {
	Run      Run
	Position TaskPosition
	Fence    uint64
}

// SetRateCall sets the execution rate of a run in percent of full speed.
type SetRateCall struct {
	Run      Run
	Position TaskPosition
	Fence    uint64
	Percent  int
}

// PollCall polls a worker: it extends the lease, acknowledges ended runs and
// requests a report.
type PollCall struct {
	Fence uint64
	Lease int64 // 0 leaves the lease unchanged
	// Acknowledged is the sequence number of the last end that the worker may
	// discard.
	Acknowledged uint64
	WaitMillis   int64 // how long the response may wait for a run to end
}

// TaskPosition identifies a task in the interface of workers.
type TaskPosition struct {
	Workflow                string
	Occurrence, Step, Index int
}

// RunStatus is one run on a worker.
type RunStatus struct {
	Position   TaskPosition
	Number     uint64
	Checkpoint string
	Progress   int // percent of the work, or of the startup of a serving task
	// Measure is the tail latency in milliseconds for a serving task, and the
	// CPU use in thousandths of a processor for any other. It lags by half a
	// second.
	Measure int64
}

// RunEnd is one ended run that the worker has not discarded yet.
type RunEnd struct {
	Sequence   uint64
	Position   TaskPosition
	Number     uint64
	Kind       EndKind
	Checkpoint string
}

// EndKind is how a run ended on its worker.
type EndKind uint8

// Kinds of ends.
const (
	EndDone EndKind = iota + 1
	EndFailed
	EndStopped
	EndLeaseExpired   // the lease expired
	EndGangBroken     // another member of its gang ended
	EndGangIncomplete // the other members of its gang did not start
)

// Report is a worker's response to a poll.
type Report struct {
	Clock     int64 // reading of the worker's clock in milliseconds
	StartedAt int64 // start time of the incarnation, in Unix milliseconds; 0 if not given
	Running   []RunStatus
	Ended     []RunEnd
}

// Worker is a client of one incarnation of a worker. After an error other than
// a RefusedError or a NotSentError, the call may have been carried out or may
// be carried out later.
type Worker interface {
	// Start also returns nil if the run has already started.
	Start(ctx context.Context, c StartCall) error
	Stop(ctx context.Context, c StopCall) error
	SetRate(ctx context.Context, c SetRateCall) error
	Poll(ctx context.Context, c PollCall) (*Report, error)
	// Close ends the calls in flight and closes open connections. No call is
	// sent after it.
	Close()
}
