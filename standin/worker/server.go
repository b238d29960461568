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

// Method names a method of the worker service, as in the design.
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

// faults are the faults of the gRPC server.
type faults struct {
	mu     sync.Mutex
	silent bool
	lose   map[Method]int
}

// SetSilent lets the server accept calls and neither carry them out nor answer.
func (w *Worker) SetSilent(silent bool) {
	w.faults.mu.Lock()
	defer w.faults.mu.Unlock()
	w.faults.silent = silent
}

// LoseAnswers lets the server carry out the next n calls of the method without
// answering.
func (w *Worker) LoseAnswers(m Method, n int) {
	w.faults.mu.Lock()
	defer w.faults.mu.Unlock()
	if w.faults.lose == nil {
		w.faults.lose = make(map[Method]int)
	}
	w.faults.lose[m] = n
}

// take returns the faults of one call.
func (f *faults) take(m Method) (silent, lose bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.silent {
		return true, false
	}
	if f.lose[m] > 0 {
		f.lose[m]--
		return false, true
	}
	return false, false
}

// intercept applies the faults to a call.
func (w *Worker) intercept(ctx context.Context, req any, info *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
	method := Method(path.Base(info.FullMethod))
	silent, lose := w.faults.take(method)
	if silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	res, err := next(ctx, req)
	if lose {
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

// Listen serves the worker on a loopback port from the system until Close, and
// returns the address.
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

// Close ends the server and its connections. What runs continues under its lease.
func (w *Worker) Close() {
	if w.server == nil {
		return
	}
	w.server.grpc.Stop()
	<-w.server.done
	w.server = nil
}

// service adapts a Worker to the generated service.
type service struct{ w *Worker }

// typed turns the errors of worker.API into those of the service.
func typed(err error) error {
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
			return nil, typed(err)
		}
		q.Forget = append(q.Forget, key)
	}
	l, err := s.w.List(ctx, q)
	if err != nil {
		return nil, typed(err)
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
	return typed(s.w.Renew(ctx, worker.RenewRequest{Fence: p.Fence, BootID: p.BootID, LeaseEndMs: p.LeaseEndMs}))
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
	return typed(s.w.Start(ctx, q))
}

// Throttle implements the service.
func (s service) Throttle(ctx context.Context, p *genworker.ThrottlePayload) error {
	return typed(s.w.Throttle(ctx, worker.ThrottleRequest{
		TaskKey: worker.TaskKey{Task: p.Task, Incarnation: p.Incarnation}, Fence: p.Fence, Percent: p.Percent,
	}))
}

// Checkpoint implements the service.
func (s service) Checkpoint(ctx context.Context, p *genworker.TaskTarget) (*genworker.CheckpointResult, error) {
	res, err := s.w.Checkpoint(ctx, request(p))
	if err != nil {
		return nil, typed(err)
	}
	return &genworker.CheckpointResult{Checkpoint: res.Checkpoint}, nil
}

// Stop implements the service.
func (s service) Stop(ctx context.Context, p *genworker.TaskTarget) error {
	return typed(s.w.Stop(ctx, request(p)))
}

// Usage implements the service.
func (s service) Usage(ctx context.Context, p *genworker.UsagePayload) (*genworker.UsageResult, error) {
	u, err := s.w.Usage(ctx, worker.UsageRequest{Fence: p.Fence})
	if err != nil {
		return nil, typed(err)
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
