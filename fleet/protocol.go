package fleet

import "apricotrouter/state"

// Op is the operation that a call requests from the leader.
type Op uint8

// Operations, with the fields of Request that they use. The numbers are part of
// the protocol between instances.
const (
	OpPing      Op = iota + 1
	OpSubmit       // Host, Path, Workflow
	OpStatus       // Host, Path
	OpCancel       // Host, Path
	OpSetQueues    // Queues
	OpReadQueues
	OpSetZone    // Zone, Evacuated
	OpHeartbeat  // WorkerHeartbeat
	OpWorkerLeft // WorkerHeartbeat.Worker.ID
)

var opNames = [...]string{
	"", "ping", "submit", "status", "cancel", "set-queues", "read-queues",
	"set-zone", "heartbeat", "worker-left",
}

// String returns the name of the operation as in logs.
func (o Op) String() string { return opNames[o] }

// Heartbeat is a worker's report about itself.
type Heartbeat struct {
	Worker   state.PoolWorker `cbor:"1,keyasint"`
	Sequence uint64           `cbor:"2,keyasint"`
	// Clock is the reading of the worker's clock when it sent the heartbeat, in
	// milliseconds.
	Clock int64 `cbor:"3,keyasint"`
	// RemainingMillis is the minimum time until a draining worker shuts down.
	RemainingMillis int64 `cbor:"4,keyasint,omitempty"`
}

// Request is a call to the leader. All operations are idempotent.
type Request struct {
	Op              Op                  `cbor:"1,keyasint"`
	Host            string              `cbor:"2,keyasint,omitempty"`
	Path            string              `cbor:"3,keyasint,omitempty"`
	Workflow        *state.WorkflowSpec `cbor:"4,keyasint,omitempty"`
	Queues          *state.QueueConfig  `cbor:"5,keyasint,omitempty"`
	Zone            string              `cbor:"6,keyasint,omitempty"`
	Evacuated       bool                `cbor:"7,keyasint,omitempty"`
	WorkerHeartbeat *Heartbeat          `cbor:"8,keyasint,omitempty"`
	// RequestID identifies the client's call in the logs of all instances.
	RequestID string `cbor:"9,keyasint,omitempty"`
	// Key is the SHA-256 hash of the key that identifies the caller; empty if the
	// call has none. It is used by OpSubmit, OpStatus and OpCancel.
	Key []byte `cbor:"10,keyasint,omitempty"`
	// TimeoutMillis is how long the instance that received the call tries to carry
	// it out. A copy of the call may reach a leader until then.
	TimeoutMillis int64 `cbor:"11,keyasint,omitempty"`
}

// Outcome is the result of a call.
type Outcome uint8

// Outcomes.
const (
	OutcomeDone         Outcome = iota + 1
	OutcomeRefused              // not carried out and never will be; RetryAfterMillis is the delay before a retry
	OutcomeNotFound             // no such queue
	OutcomeGone                 // no such workflow
	OutcomeInvalid              // malformed; Reason has the cause
	OutcomeUnavailable          // not carried out: no leader or no configuration yet
	OutcomeNotLeader            // not carried out on this instance; Leader may name the leader
	OutcomeUnknown              // may have been carried out
	OutcomeUnauthorized         // not carried out: the call lacks the key of a tenant
)

var outcomeNames = [...]string{"", "done", "refused", "not-found", "gone", "invalid", "unavailable", "not-leader", "unknown", "unauthorized"}

// String returns the name of the outcome as in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Response is the result of a Request.
type Response struct {
	Outcome          Outcome             `cbor:"1,keyasint"`
	Reason           string              `cbor:"2,keyasint,omitempty"`
	RetryAfterMillis int64               `cbor:"3,keyasint,omitempty"`
	Leader           string              `cbor:"4,keyasint,omitempty"`
	Members          []string            `cbor:"5,keyasint,omitempty"` // instances of the control group
	Phase            state.WorkflowPhase `cbor:"6,keyasint,omitempty"`
	Pending          *int                `cbor:"7,keyasint,omitempty"`
	Source           []byte              `cbor:"8,keyasint,omitempty"` // of the queue configuration
}
