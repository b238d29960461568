package worker

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	goa "goa.design/goa/v3/pkg"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"apricotrouter/gen/grpc/worker/client"
	genworker "apricotrouter/gen/worker"
	"apricotrouter/state"
)

// Timeouts of the calls of Client. CallTimeout applies to all calls but Stop and
// Checkpoint.
const (
	CallTimeout       = time.Second
	StopTimeout       = 2 * time.Second
	CheckpointTimeout = 3 * time.Second
)

// maxRedialDelay is the maximum delay between connection attempts. It is well
// below LostAfter, the time after which a worker is reported lost.
const maxRedialDelay = 500 * time.Millisecond

// Client implements API over gRPC.
type Client struct {
	calls *genworker.Client
}

// Dial returns a client of the worker at address. It connects at the first
// call. The returned closer closes the connection.
func Dial(address string) (API, io.Closer, error) {
	retry := backoff.DefaultConfig
	retry.BaseDelay = maxRedialDelay / 5
	retry.MaxDelay = maxRedialDelay
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: retry, MinConnectTimeout: CallTimeout}),
		grpc.WithDisableRetry())
	if err != nil {
		return nil, nil, fmt.Errorf("create client of worker: %w", err)
	}
	return NewClient(conn), conn, nil
}

// NewClient returns a client that uses the given connection.
func NewClient(conn *grpc.ClientConn) *Client {
	c := client.NewClient(conn)
	return &Client{calls: genworker.NewClient(c.List(), c.Renew(), c.Start(), c.Throttle(),
		c.Checkpoint(), c.Stop(), c.Usage())}
}

// apiError converts the error results of the service to the errors of API.
func apiError(err error) error {
	var se *goa.ServiceError
	if !errors.As(err, &se) {
		return err
	}
	switch se.Name {
	case "stale_fence":
		return fmt.Errorf("%w: %s", ErrStaleFence, se.Message)
	case "refused":
		return fmt.Errorf("%w: %s", ErrRefused, se.Message)
	default:
		return err
	}
}

// List implements API.
func (c *Client) List(ctx context.Context, r ListRequest) (ListResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	p := &genworker.ListPayload{Fence: r.Fence}
	for _, k := range r.Forget {
		p.Forget = append(p.Forget, k.String())
	}
	res, err := c.calls.List(ctx, p)
	if err != nil {
		return ListResponse{}, apiError(err)
	}
	out := ListResponse{NowMs: res.NowMs, BootID: res.BootID}
	for _, t := range res.Tasks {
		out.Tasks = append(out.Tasks, TaskStatus{
			TaskKey:    TaskKey{t.Task, t.Incarnation},
			State:      TaskState(t.State),
			ExitReason: deref(t.ExitReason),
			Throttle:   deref(t.ThrottlePercent),
		})
	}
	return out, nil
}

// Renew implements API.
func (c *Client) Renew(ctx context.Context, r RenewRequest) error {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	return apiError(c.calls.Renew(ctx, &genworker.RenewPayload{
		Fence: r.Fence, BootID: r.BootID, LeaseEndMs: r.LeaseEndMs,
	}))
}

// Start implements API.
func (c *Client) Start(ctx context.Context, r StartRequest) error {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	return apiError(c.calls.Start(ctx, &genworker.StartPayload{
		Fence:       r.Fence,
		Task:        r.Task,
		Incarnation: r.Incarnation,
		BootID:      r.BootID,
		StartByMs:   r.StartByMs,
		Resources: &genworker.Resources{
			MilliCPU:     r.Resources.MilliCPU,
			MemoryMib:    r.Resources.MemoryMiB,
			Accelerators: r.Resources.Accelerators,
		},
		Checkpoint:      &r.Checkpoint,
		Owner:           r.Owner,
		Kind:            string(r.Kind),
		ExpectedSeconds: &r.ExpectedSeconds,
	}))
}

// Throttle implements API.
func (c *Client) Throttle(ctx context.Context, r ThrottleRequest) error {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	return apiError(c.calls.Throttle(ctx, &genworker.ThrottlePayload{
		Fence: r.Fence, Task: r.Task, Incarnation: r.Incarnation, Percent: r.Percent,
	}))
}

// Checkpoint implements API.
func (c *Client) Checkpoint(ctx context.Context, r TaskRequest) (CheckpointResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, CheckpointTimeout)
	defer cancel()
	res, err := c.calls.Checkpoint(ctx, taskTarget(r))
	if err != nil {
		return CheckpointResponse{}, apiError(err)
	}
	return CheckpointResponse{Checkpoint: res.Checkpoint}, nil
}

// Stop implements API.
func (c *Client) Stop(ctx context.Context, r TaskRequest) error {
	ctx, cancel := context.WithTimeout(ctx, StopTimeout)
	defer cancel()
	return apiError(c.calls.Stop(ctx, taskTarget(r)))
}

// Usage implements API.
func (c *Client) Usage(ctx context.Context, r UsageRequest) (UsageResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	res, err := c.calls.Usage(ctx, &genworker.UsagePayload{Fence: r.Fence})
	if err != nil {
		return UsageResponse{}, apiError(err)
	}
	out := UsageResponse{NowMs: res.NowMs}
	for _, t := range res.Tasks {
		u := TaskUsage{TaskKey: TaskKey{t.Task, t.Incarnation}, SampledMs: t.SampledMs, LatencyRatio: t.LatencyRatio}
		if t.Used != nil {
			u.Used = state.Resources{
				MilliCPU:     t.Used.MilliCPU,
				MemoryMiB:    t.Used.MemoryMib,
				Accelerators: t.Used.Accelerators,
			}
		}
		out.Tasks = append(out.Tasks, u)
	}
	return out, nil
}

func taskTarget(r TaskRequest) *genworker.TaskTarget {
	return &genworker.TaskTarget{Fence: r.Fence, Task: r.Task, Incarnation: r.Incarnation}
}

// deref returns the value that p points to, or the zero value if p is nil.
func deref[T any](p *T) T {
	if p == nil {
		var zero T
		return zero
	}
	return *p
}
