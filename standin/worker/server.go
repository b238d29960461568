package workerstandin

import (
	"context"
	"errors"
	"net"
	"path"
	"sync"

	"google.golang.org/grpc"

	"apricotrouter/gen/grpc/worker/pb"
	genserver "apricotrouter/gen/grpc/worker/server"
	genworker "apricotrouter/gen/worker"
	"apricotrouter/state"
	"apricotrouter/worker"
)

// Method is the name of a method of the worker service in its API design.
type Method string

// Methods of the worker service.
const (
	MethodList       Method = "List"
	MethodRenew      Method = "Renew"
	MethodStart      Method = "Start"
	MethodThrottle   Method = "Throttle"
	MethodCheckpoint Method = "Checkpoint"
	MethodStop       Method = "Stop"
	MethodUsage      Method = "Usage"
)

// faults are the faults to inject into the gRPC server.
type faults struct {
	mu           sync.Mutex
	unresponsive bool
	drop         map[Method]int // number of next calls whose response is dropped
}

// SetUnresponsive makes the server accept calls without executing them or sending
// responses, or restores it.
func (w *Worker) SetUnresponsive(unresponsive bool) {
	w.faults.mu.Lock()
	defer w.faults.mu.Unlock()
	w.faults.unresponsive = unresponsive
}

// DropResponses makes the server execute the next n calls of the method without
// sending responses.
func (w *Worker) DropResponses(m Method, n int) {
	w.faults.mu.Lock()
	defer w.faults.mu.Unlock()
	if w.faults.drop == nil {
		w.faults.drop = make(map[Method]int)
	}
	w.faults.drop[m] = n
}

// consume returns the faults for the next call of the method and counts the call.
func (f *faults) consume(m Method) (unresponsive, drop bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unresponsive {
		return true, false
	}
	if f.drop[m] > 0 {
		f.drop[m]--
		return false, true
	}
	return false, false
}

// intercept is a gRPC interceptor that injects the faults.
func (w *Worker) intercept(ctx context.Context, req any, info *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
	method := Method(path.Base(info.FullMethod))
	unresponsive, drop := w.faults.consume(method)
	if unresponsive {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	res, err := next(ctx, req)
	if drop {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return res, err
}

// server serves a Worker over gRPC.
type server struct {
	grpc *grpc.Server
	done chan struct{}
}

// Listen serves the worker until Close on a loopback port that the system assigns.
// It returns the address.
func (w *Worker) Listen() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &server{
		grpc: grpc.NewServer(grpc.UnaryInterceptor(w.intercept)),
		done: make(chan struct{}),
	}
	workerpb.RegisterWorkerServer(s.grpc, genserver.New(genworker.NewEndpoints(service{w}), nil))
	w.server = s
	go func() {
		defer close(s.done)
		_ = s.grpc.Serve(listener) // Serve returns after Stop.
	}()
	return listener.Addr().String(), nil
}

// Close stops the server and closes its connections. Tasks continue to run until
// the lease expires.
func (w *Worker) Close() {
	if w.server == nil {
		return
	}
	w.server.grpc.Stop()
	<-w.server.done
	w.server = nil
}

// service adapts a Worker to the generated service interface.
type service struct{ w *Worker }

// serviceError converts the errors of worker.API to those of the service.
func serviceError(err error) error {
	switch {
	case errors.Is(err, worker.ErrStaleFence):
		return genworker.MakeStaleFence(err)
	case errors.Is(err, worker.ErrRefused):
		return genworker.MakeRefused(err)
	default:
		return err
	}
}

// List implements the service.
func (s service) List(ctx context.Context, p *genworker.ListPayload) (*genworker.ListResult, error) {
	q := worker.ListRequest{Fence: p.Fence}
	for _, f := range p.Forget {
		key, err := worker.ParseTaskKey(f)
		if err != nil {
			return nil, serviceError(err)
		}
		q.Forget = append(q.Forget, key)
	}
	l, err := s.w.List(ctx, q)
	if err != nil {
		return nil, serviceError(err)
	}
	res := &genworker.ListResult{NowMs: l.NowMs, BootID: l.BootID, Tasks: []*genworker.WorkerTask{}}
	for _, t := range l.Tasks {
		res.Tasks = append(res.Tasks, &genworker.WorkerTask{
			Task: t.Task, Incarnation: t.Incarnation, State: string(t.State),
			ExitReason: &t.ExitReason, ThrottlePercent: &t.Throttle,
		})
	}
	return res, nil
}

// Renew implements the service.
func (s service) Renew(ctx context.Context, p *genworker.RenewPayload) error {
	return serviceError(s.w.Renew(ctx, worker.RenewRequest{Fence: p.Fence, BootID: p.BootID, LeaseEndMs: p.LeaseEndMs}))
}

// Start implements the service.
func (s service) Start(ctx context.Context, p *genworker.StartPayload) error {
	q := worker.StartRequest{
		TaskKey: worker.TaskKey{Task: p.Task, Incarnation: p.Incarnation},
		Fence:   p.Fence, BootID: p.BootID, StartByMs: p.StartByMs,
		Owner: p.Owner, Kind: state.TaskKind(p.Kind),
	}
	if p.Resources != nil {
		q.Resources = state.Resources{
			MilliCPU: p.Resources.MilliCPU, MemoryMiB: p.Resources.MemoryMib, Accelerators: p.Resources.Accelerators,
		}
	}
	if p.Checkpoint != nil {
		q.Checkpoint = *p.Checkpoint
	}
	if p.ExpectedSeconds != nil {
		q.ExpectedSeconds = *p.ExpectedSeconds
	}
	return serviceError(s.w.Start(ctx, q))
}

// Throttle implements the service.
func (s service) Throttle(ctx context.Context, p *genworker.ThrottlePayload) error {
	return serviceError(s.w.Throttle(ctx, worker.ThrottleRequest{
		TaskKey: worker.TaskKey{Task: p.Task, Incarnation: p.Incarnation}, Fence: p.Fence, Percent: p.Percent,
	}))
}

// Checkpoint implements the service.
func (s service) Checkpoint(ctx context.Context, p *genworker.TaskTarget) (*genworker.CheckpointResult, error) {
	res, err := s.w.Checkpoint(ctx, request(p))
	if err != nil {
		return nil, serviceError(err)
	}
	return &genworker.CheckpointResult{Checkpoint: res.Checkpoint}, nil
}

// Stop implements the service.
func (s service) Stop(ctx context.Context, p *genworker.TaskTarget) error {
	return serviceError(s.w.Stop(ctx, request(p)))
}

// Usage implements the service.
func (s service) Usage(ctx context.Context, p *genworker.UsagePayload) (*genworker.UsageResult, error) {
	u, err := s.w.Usage(ctx, worker.UsageRequest{Fence: p.Fence})
	if err != nil {
		return nil, serviceError(err)
	}
	res := &genworker.UsageResult{NowMs: u.NowMs, Tasks: []*genworker.TaskUsage{}}
	for _, t := range u.Tasks {
		res.Tasks = append(res.Tasks, &genworker.TaskUsage{
			Task: t.Task, Incarnation: t.Incarnation, SampledMs: t.SampledMs, LatencyRatio: t.LatencyRatio,
			Used: &genworker.Resources{
				MilliCPU: t.Used.MilliCPU, MemoryMib: t.Used.MemoryMiB, Accelerators: t.Used.Accelerators,
			},
		})
	}
	return res, nil
}

func request(p *genworker.TaskTarget) worker.TaskRequest {
	return worker.TaskRequest{TaskKey: worker.TaskKey{Task: p.Task, Incarnation: p.Incarnation}, Fence: p.Fence}
}
