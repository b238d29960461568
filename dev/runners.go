package dev

import (
	"context"
	"time"

	"apricotrouter/standin/endpoint"
	workerstandin "apricotrouter/standin/worker"
	"apricotrouter/state"
	"apricotrouter/worker"
)

// pollInterval is how often the workers' records are compared with the
// endpoints that run.
const pollInterval = 50 * time.Millisecond

// runners starts an endpoint for each replica of a service that runs on a
// stand-in worker, as a real worker would, and stops it with the replica.
type runners struct {
	entries     []string
	serviceTime time.Duration
	workers     []*workerstandin.Worker
	endpoints   map[worker.TaskKey]*endpoint.Endpoint
}

func newRunners(entries []string, serviceTime time.Duration, workers []*workerstandin.Worker) *runners {
	return &runners{
		entries: entries, serviceTime: serviceTime, workers: workers,
		endpoints: make(map[worker.TaskKey]*endpoint.Endpoint),
	}
}

func (r *runners) run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			r.stopAll()
			return
		case <-ticker.C:
			r.compare()
		}
	}
}

// compare brings the endpoints in line with the replicas that run.
func (r *runners) compare() {
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

func (r *runners) start(rec workerstandin.Record, zone string) {
	e, err := endpoint.Start(endpoint.Options{
		ID: rec.Task, Service: rec.Owner, Zone: zone, Incarnation: rec.Incarnation,
		Entries: r.entries, ServiceTime: r.serviceTime,
	})
	if err == nil {
		r.endpoints[rec.TaskKey] = e
	}
}

func (r *runners) stopAll() {
	for _, e := range r.endpoints {
		if e != nil {
			e.Kill()
		}
	}
}
