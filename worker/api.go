// Package worker manages the tasks on the platform's workers. API is the
// interface of a worker and Client implements it over gRPC. Manager runs a
// session with each worker that is assigned to this entry instance. The session
// reconciles the worker's tasks with the replicated log.
package worker

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"apricotrouter/state"
)

// Errors of API. Both mean that the worker did not execute the call. After any
// other error the call may have been executed or may still be executed later.
var (
	// ErrStaleFence means that the worker has seen a higher fence.
	ErrStaleFence = errors.New("worker has seen a higher fence")
	// ErrRefused means that the worker refused the call for another reason.
	ErrRefused = errors.New("worker refused the call")
)

// API is the platform's interface of one worker. Each call ends within the
// deadline of its implementation. Fields with the suffix Ms are readings of the
// worker's monotonic clock in milliseconds, which are not comparable between
// boots of the worker.
type API interface {
	// List returns the running tasks and the ended tasks that no ListRequest
	// has named in Forget. It also raises the worker's fence to that of the
	// request.
	List(ctx context.Context, r ListRequest) (ListResponse, error)
	// Renew extends the lease of the worker.
	Renew(ctx context.Context, r RenewRequest) error
	// Start starts one incarnation of a task, unless StartByMs has passed.
	Start(ctx context.Context, r StartRequest) error
	// Throttle sets the percentage by which the CPU of a task is reduced.
	Throttle(ctx context.Context, r ThrottleRequest) error
	// Checkpoint saves the progress of a running task.
	Checkpoint(ctx context.Context, r TaskRequest) (CheckpointResponse, error)
	// Stop ends a task. A nil error confirms that the task has ended.
	Stop(ctx context.Context, r TaskRequest) error
	// Usage returns the latest usage samples, which lag behind the current
	// usage.
	Usage(ctx context.Context, r UsageRequest) (UsageResponse, error)
}

// TaskKey identifies one incarnation of a task.
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

// ListRequest is the request of List.
type ListRequest struct {
	Fence uint64
	// Forget lists the ended tasks whose end is committed to the log. The
	// worker may delete its records of them.
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

// TaskStatus is the status of one task on a worker.
type TaskStatus struct {
	TaskKey
	State      TaskState
	ExitReason string
	// Throttle is the CPU reduction in percent.
	Throttle int64
}

// ListResponse contains the tasks of a worker at the clock reading NowMs.
type ListResponse struct {
	NowMs  int64
	BootID string // changes when the worker restarts
	Tasks  []TaskStatus
}

// RenewRequest is a request to extend the lease to the clock reading LeaseEndMs.
type RenewRequest struct {
	Fence      uint64
	BootID     string
	LeaseEndMs int64
}

// StartRequest is a request to start one incarnation of a task.
type StartRequest struct {
	TaskKey
	Fence  uint64
	BootID string
	// StartByMs is the clock reading after which the worker ignores the start.
	StartByMs       int64
	Resources       state.Resources
	Checkpoint      string // empty for none
	Owner           string // service name or job id
	Kind            state.TaskKind
	ExpectedSeconds int64 // 0 if unknown
}

// ThrottleRequest is a request to throttle a task. Percent is the CPU reduction.
type ThrottleRequest struct {
	TaskKey
	Fence   uint64
	Percent int64
}

// TaskRequest is the request of Checkpoint and Stop.
type TaskRequest struct {
	TaskKey
	Fence uint64
}

// CheckpointResponse contains the name of the saved checkpoint.
type CheckpointResponse struct {
	Checkpoint string
}

// UsageRequest is a request for the usage of all tasks.
type UsageRequest struct {
	Fence uint64
}

// TaskUsage is one sample of a task's usage.
type TaskUsage struct {
	TaskKey
	SampledMs int64 // worker's clock reading at the time of the sample
	Used      state.Resources
	// LatencyRatio is the latency of a latency-critical task divided by its
	// latency without co-located tasks; 0 if not measured.
	LatencyRatio float64
}

// UsageResponse contains the latest usage samples at the clock reading NowMs.
type UsageResponse struct {
	NowMs int64
	Tasks []TaskUsage
}
