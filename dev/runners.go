package dev

import (
	"context"
	"time"

	"apricotrouter/standin/endpoint"
	workerstandin "apricotrouter/standin/worker"
	"apricotrouter/state"
	"apricotrouter/worker"
)

// pollInterval is the interval between two reconcile passes.
const pollInterval = 50 * time.Millisecond

// endpointSync starts an endpoint for each service replica that runs on a
// simulated worker, as a real worker would, and stops it with the replica.
type endpointSync struct {
	entries     []string
	serviceTime time.Duration
	workers     []*workerstandin.Worker
	endpoints   map[worker.TaskKey]*endpoint.Endpoint
}

func newEndpointSync(entries []string, serviceTime time.Duration, workers []*workerstandin.Worker) *endpointSync {
	return &endpointSync{
		entries: entries, serviceTime: serviceTime, workers: workers,
		endpoints: make(map[worker.TaskKey]*endpoint.Endpoint),
	}
}

func (r *endpointSync) run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			r.stopAll()
			return
		case <-ticker.C:
			r.reconcile()
		}
	}
}

// reconcile starts and stops endpoints to match the running replicas.
func (r *endpointSync) reconcile() {
	for i, w := range r.workers {
		for _, rec := range w.Records() {
			if rec.Kind != state.KindLatencyCritical {
				continue
			}
			running := rec.Finish.IsZero()
			e := r.endpoints[rec.TaskKey]
			switch {
			case running && e == nil:
				r.start(rec, zoneName(i/workersPerZone))
			case !running && e != nil:
				e.Kill()
				r.endpoints[rec.TaskKey] = nil
			}
		}
	}
}

func (r *endpointSync) start(rec workerstandin.Record, zone string) {
	e, err := endpoint.Start(endpoint.Options{
		ID: rec.Task, Service: rec.Owner, Zone: zone, Incarnation: rec.Incarnation,
		Entries: r.entries, ServiceTime: r.serviceTime,
	})
	if err == nil {
		r.endpoints[rec.TaskKey] = e
	}
}

func (r *endpointSync) stopAll() {
	for _, e := range r.endpoints {
		if e != nil {
			e.Kill()
		}
	}
}
