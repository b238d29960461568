// Package fleet runs workflows on the workers of a pool. The leader of the
// control group holds all workers under its term as the fence: it records each
// start before it is sent and each end before the worker may forget it, renews
// leases, and takes over what it finds running after an election. Every other
// instance forwards calls to it.
package fleet

import (
	"context"
	"errors"
	"fmt"
)

// RefusalReason says why a worker did not carry out a call.
type RefusalReason uint8

// Reasons of refusals. After any of them the call had no effect.
const (
	RefusedFence     RefusalReason = iota + 1 // a higher fence was seen
	RefusedOldRun                             // this or a later run ended there or was stopped
	RefusedLate                               // the lease named in the call has ended
	RefusedRoom                               // the task does not fit
	RefusedTicket                             // the policy's ticket is missing or no longer accepted
	RefusedUnhealthy                          // the worker takes nothing now
	RefusedOtherLife                          // another worker, or another life of it, has the address
	RefusedInvalid                            // the call could not be read
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

// NotSentError means that a call never left this process: it has not run and
// never will.
type NotSentError struct {
	Err error
	// Local is set if the cause is this process or its machine, such as a lack
	// of descriptors. It says nothing of the worker.
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

// Run names one run of a task on a worker.
type Run struct {
	Workflow string
	Task     int // flat number within the workflow
	Number   uint64
}

// StartCall starts one run. Lease is a reading of the worker's clock in
// milliseconds up to which everything on the worker may go on.
type StartCall struct {
	Run        Run
	Position   TaskPosition
	Payload    string
	Fence      uint64
	Lease      int64
	Checkpoint string
	Ticket     string
}

// StopCall stops one run, and voids its start if that arrives later.
type StopCall struct {
	Run      Run
	Position TaskPosition
	Fence    uint64
}

// PaceCall sets the share of its speed at which a run works.
type PaceCall struct {
	Run      Run
	Position TaskPosition
	Fence    uint64
	Percent  int
}

// LookCall extends the lease, acknowledges ends and asks for what runs.
type LookCall struct {
	Fence uint64
	Lease int64 // 0 leaves the lease as it is
	// Acknowledged is the number of the last end that the worker may forget.
	Acknowledged uint64
	WaitMillis   int64 // how long the answer may wait for an end
}

// TaskPosition is the place of a task as workers know it.
type TaskPosition struct {
	Workflow                string
	Occurrence, Step, Index int
}

// RunStatus is one run that a worker has.
type RunStatus struct {
	Position   TaskPosition
	Number     uint64
	Checkpoint string
	Progress   int // percent of its work, or of the startup of a serving task
	// Measure is the tail latency in milliseconds of a serving task, and the
	// processors in use, in thousandths, of any other. It lags by half a second.
	Measure int64
}

// RunEnd is one end that a worker still lists.
type RunEnd struct {
	Sequence   uint64
	Position   TaskPosition
	Number     uint64
	How        EndKind
	Checkpoint string
}

// EndKind is how a run ended on its worker.
type EndKind uint8

// Kinds of ends.
const (
	EndDone EndKind = iota + 1
	EndFailed
	EndStopped
	EndLapsed     // the lease ended
	EndGangBroken // another member of its gang ended
	EndGangAlone  // the other members of its gang did not come
)

// Report is a worker's answer to a look.
type Report struct {
	Clock   int64 // reading of the worker's clock, milliseconds
	Born    int64 // start of the worker's life, Unix milliseconds; 0 if not given
	Running []RunStatus
	Ended   []RunEnd
}

// Worker is the interface of one life of a worker. Errors other than a
// RefusedError and a NotSentError leave open whether the call was or will be
// carried out.
type Worker interface {
	// Start returns nil also if the run is there already.
	Start(ctx context.Context, c StartCall) error
	Stop(ctx context.Context, c StopCall) error
	Pace(ctx context.Context, c PaceCall) error
	Look(ctx context.Context, c LookCall) (*Report, error)
	// Close ends open connections.
	Close()
}
