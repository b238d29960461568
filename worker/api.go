// Package worker talks to the platform's workers. API is the worker's
// interface, Client implements it over gRPC, and Manager keeps one session
// with each worker that is assigned to this entry instance and reconciles it
// with the replicated log.
package worker

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"apricotrouter/state"
)

// Errors of API. Both mean that the worker did not carry the call out. After
// any other error the call may have been carried out, or may be later.
var (
	// ErrStaleFence means that the worker has seen a higher fence.
	ErrStaleFence = errors.New("worker has seen a higher fence")
	// ErrRefused means that the worker refused the call for another reason.
	ErrRefused = errors.New("worker refused the call")
)

// API is the platform's interface of one worker. Each call ends within the
// deadline of its implementation. Readings are of the worker's own monotonic
// clock, in milliseconds, and can't be compared between boots.
type API interface {
	// List returns what runs or has ended and is not forgotten, and raises the fence.
	List(ctx context.Context, r ListRequest) (ListResponse, error)
	// Renew extends the lease of the worker.
	Renew(ctx context.Context, r RenewRequest) error
	// Start starts one incarnation of a task, unless its time has passed.
	Start(ctx context.Context, r StartRequest) error
	// Throttle sets the share of a task's processors that is taken away.
	Throttle(ctx context.Context, r ThrottleRequest) error
	// Checkpoint saves the progress of a running task.
	Checkpoint(ctx context.Context, r TaskRequest) (CheckpointResponse, error)
	// Stop ends a task. An answer without error confirms that it has ended.
	Stop(ctx context.Context, r TaskRequest) error
	// Usage returns the latest samples, which lag behind.
	Usage(ctx context.Context, r UsageRequest) (UsageResponse, error)
}

// TaskKey names one incarnation of a task.
type TaskKey struct {
	Task        string
	Incarnation uint64
}

// String returns TASK@INCARNATION.
func (k TaskKey) String() string {
	return k.Task + "@" + strconv.FormatUint(k.Incarnation, 10)
}

// ParseTaskKey parses TASK@INCARNATION.
func ParseTaskKey(s string) (TaskKey, error) {
	at := strings.LastIndexByte(s, '@')
	if at < 0 {
		return TaskKey{}, fmt.Errorf("task key %q has no incarnation", s)
	}
	n, err := strconv.ParseUint(s[at+1:], 10, 64)
	if err != nil {
		return TaskKey{}, fmt.Errorf("task key %q: %w", s, err)
	}
	return TaskKey{Task: s[:at], Incarnation: n}, nil
}

// ListRequest asks for the tasks of a worker.
type ListRequest struct {
	Fence uint64
	// Forget names ended tasks whose end is committed.
	Forget []TaskKey
}

// TaskState is the state of a task on its worker.
type TaskState string

// States of a task on its worker.
const (
	TaskRunning TaskState = "running"
	TaskExited  TaskState = "exited"
	TaskFailed  TaskState = "failed"
)

// TaskStatus is one task on a worker.
type TaskStatus struct {
	TaskKey
	State      TaskState
	ExitReason string
	// Throttle is the share of its processors taken away, in percent.
	Throttle int64
}

// ListResponse holds the tasks of a worker at one reading.
type ListResponse struct {
	NowMs  int64
	BootID string // changes when the worker restarts
	Tasks  []TaskStatus
}

// RenewRequest extends the lease to LeaseEndMs.
type RenewRequest struct {
	Fence      uint64
	BootID     string
	LeaseEndMs int64
}

// StartRequest starts one incarnation of a task.
type StartRequest struct {
	TaskKey
	Fence  uint64
	BootID string
	// StartByMs is the reading after which the start is void.
	StartByMs       int64
	Resources       state.Resources
	Checkpoint      string // empty for none
	Owner           string // service or job
	Kind            state.TaskKind
	ExpectedSeconds int64 // 0 if unknown
}

// ThrottleRequest sets the throttle of a task.
type ThrottleRequest struct {
	TaskKey
	Fence   uint64
	Percent int64
}

// TaskRequest names a task for Checkpoint and Stop.
type TaskRequest struct {
	TaskKey
	Fence uint64
}

// CheckpointResponse names the checkpoint that was saved.
type CheckpointResponse struct {
	Checkpoint string
}

// UsageRequest asks for the usage of all tasks.
type UsageRequest struct {
	Fence uint64
}

// TaskUsage is one sample of a task's usage.
type TaskUsage struct {
	TaskKey
	SampledMs int64 // worker's reading at the sample
	Used      state.Resources
	// LatencyRatio is the latency of a latency-critical task against its
	// latency alone; 0 if not measured.
	LatencyRatio float64
}

// UsageResponse holds the latest samples.
type UsageResponse struct {
	NowMs int64
	Tasks []TaskUsage
}
